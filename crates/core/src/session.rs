//! Client sessions, and the requests and transactions that they have on endpoints.

pub(crate) mod mark;
pub(crate) mod placement;
pub(crate) mod setting;
#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, HashMap};
use std::time::Instant;

use slotmap::SlotMap;
use tanagerdeal_wire::member::LogPosition;
use tanagerdeal_wire::token::{GroupWatermark, SessionToken};
use tanagerdeal_wire::{CustomerName, GroupName, KeyName, RouteName, value_type};

use crate::message::caller::RequestRecord;
use crate::message::{CallTag, DispatchKey, EndpointKey, GroupKey, SessionKey};
use crate::schedule::{QueueTicket, WorkLane};
use crate::statement::StatementClass;
use crate::verdict::{RequestRefusal, RunVerdict};
use mark::GroupMark;
use setting::SessionSettings;

/// Sessions by key, and their requests on endpoints.
#[derive(Default)]
pub struct SessionTable {
    pub(crate) entries: SlotMap<SessionKey, SessionEntry>,
    pub(crate) dispatches: SlotMap<DispatchKey, DispatchEntry>,
    counts: HashMap<CustomerName, u32>,
    /// Revision of the catalog against which all sessions were checked last.
    pub(crate) checked_revision: Option<u64>,
}

/// A key as it was when the session was opened.
pub(crate) struct SessionCredential {
    pub(crate) name: KeyName,
    pub(crate) digest: String,
}

/// A client session.
pub(crate) struct SessionEntry {
    /// Customer of the key, or the account that all sessions of an open route share.
    pub(crate) account: CustomerName,
    /// User name that the client gave; the default shard key.
    pub(crate) user: String,
    pub(crate) route: RouteName,
    /// Absent on an open route.
    pub(crate) credential: Option<SessionCredential>,
    pub(crate) settings: SessionSettings,
    pub(crate) marks: BTreeMap<GroupName, GroupMark>,
    pub(crate) opened_at: Instant,
    pub(crate) wall_ms: u64,
    /// Request that has not been placed yet.
    pub(crate) waiting: Option<WaitingRequest>,
    /// Request that runs, or transaction that is open.
    pub(crate) dispatch: Option<DispatchKey>,
    /// The last request, for judging whether it may be placed again.
    pub(crate) attempt: Option<RequestAttempt>,
    /// Confirmations of a position that were asked for and have not come.
    pub(crate) open_positions: u32,
    /// Why the session ends as soon as nothing of it runs.
    pub(crate) closing: Option<RequestRefusal>,
}

/// Where a request waits.
#[derive(Clone, Copy, Eq, PartialEq)]
pub(crate) enum WaitStage {
    /// For a token of its customer's rate.
    Token,
    /// For the primary's confirmed position.
    Position,
    /// For an endpoint.
    Endpoint,
}

/// A request that has not been placed yet.
pub(crate) struct WaitingRequest {
    pub(crate) tag: CallTag,
    pub(crate) stage: WaitStage,
    pub(crate) arrived: Instant,
    pub(crate) group: GroupKey,
    pub(crate) lane: WorkLane,
    /// Whether the connection stays with the session because the request belongs to a transaction.
    pub(crate) in_transaction: bool,
    pub(crate) attempt: RequestAttempt,
    pub(crate) ticket: Option<QueueTicket>,
}

value_type! {
    /// What must stay the same when a request is placed again.
    pub(crate) struct RequestAttempt {
        pub(crate) class: StatementClass,
        pub(crate) deadline: Instant,
        pub(crate) record: Option<RequestRecord>,
        pub(crate) repeatable: bool,
        /// Whether it is no part of an open transaction; such a part cannot be placed elsewhere.
        pub(crate) is_single: bool,
        /// Whether an earlier placement may have run.
        pub(crate) verdict: RunVerdict,
        /// Endpoints that failed earlier placements.
        pub(crate) excluded: Vec<EndpointKey>,
    }
}

/// A request or transaction on an endpoint.
pub(crate) struct DispatchEntry {
    pub(crate) session: SessionKey,
    pub(crate) endpoint: EndpointKey,
    pub(crate) group: GroupKey,
    pub(crate) lane: WorkLane,
    pub(crate) required: LogPosition,
    pub(crate) started: Instant,
    pub(crate) deadline: Instant,
    /// Whether a statement runs.
    pub(crate) is_running: bool,
    /// Whether it holds a connection.
    pub(crate) is_holding: bool,
    /// Whether the transaction was open after the last request.
    pub(crate) in_transaction: bool,
    /// The call that waits for the acknowledgement of a commit.
    pub(crate) commit: Option<CallTag>,
}

impl SessionTable {
    /// Sessions that are open.
    ///
    /// ```
    /// assert_eq!(tanagerdeal_core::session::SessionTable::default().len(), 0);
    /// ```
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no session is open.
    ///
    /// ```
    /// assert!(tanagerdeal_core::session::SessionTable::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Requests and open transactions on endpoints.
    ///
    /// ```
    /// assert_eq!(tanagerdeal_core::session::SessionTable::default().running(), 0);
    /// ```
    pub fn running(&self) -> usize {
        self.dispatches.len()
    }

    /// Sessions open for a customer.
    ///
    /// ```
    /// use tanagerdeal_core::session::SessionTable;
    /// use tanagerdeal_wire::CustomerName;
    ///
    /// let customer = CustomerName::new("quarry").unwrap();
    /// assert_eq!(SessionTable::default().count(&customer), 0);
    /// ```
    pub fn count(&self, customer: &CustomerName) -> u32 {
        self.counts.get(customer).copied().unwrap_or(0)
    }

    pub(crate) fn insert(&mut self, entry: SessionEntry) -> SessionKey {
        *self.counts.entry(entry.account.clone()).or_default() += 1;
        self.entries.insert(entry)
    }

    pub(crate) fn remove(&mut self, key: SessionKey) -> Option<SessionEntry> {
        let entry = self.entries.remove(key)?;
        match self.counts.get_mut(&entry.account) {
            Some(count) if *count > 1 => *count -= 1,
            _ => {
                self.counts.remove(&entry.account);
            }
        }
        Some(entry)
    }
}

impl SessionEntry {
    /// Wall clock in milliseconds since the Unix epoch.
    pub(crate) fn wall_at(&self, now: Instant) -> u64 {
        let passed = now.saturating_duration_since(self.opened_at).as_millis();
        self.wall_ms.saturating_add(u64::try_from(passed).unwrap_or(u64::MAX))
    }

    /// Whether a transaction is open on an endpoint.
    pub(crate) fn in_transaction(&self) -> bool {
        self.dispatch.is_some()
    }

    /// Text that places the session on a group.
    pub(crate) fn shard_key(&self) -> &str {
        match self.settings.shard_key.as_str() {
            "" => &self.user,
            key => key,
        }
    }

    /// The sealed session token.
    pub(crate) fn token(&self, secret: &[u8]) -> String {
        let watermarks = self
            .marks
            .iter()
            .map(|(group, mark)| GroupWatermark { group: group.clone(), position: mark.position })
            .collect();
        SessionToken { customer: self.account.clone(), watermarks }.seal(secret)
    }
}
