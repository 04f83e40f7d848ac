//! Confirmation of commits and log positions by a majority of a group.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use tanagerdeal_wire::member::LogPosition;
use tanagerdeal_wire::record::WriteDurability;
use tanagerdeal_wire::{scalar_type, value_type};

use crate::message::{DispatchKey, GroupKey, SessionKey};
use crate::routing::EndpointTable;

/// Time within which a second member usually receives a commit, and the probe intervals during and
/// after it. The longer interval keeps a group with replica lag from being probed in a busy loop.
const FAST_PERIOD: Duration = Duration::from_millis(50);
const FAST_INTERVAL: Duration = Duration::from_millis(5);
const SLOW_INTERVAL: Duration = Duration::from_millis(20);

value_type! {
    /// What waits for a confirmation.
    #[derive(Copy)]
    pub enum ConfirmWaiter {
        /// A request, for its commit.
        Commit(DispatchKey),
        /// A session that has no watermark yet and adopts the primary's position.
        Position(SessionKey),
    }

    /// A wait for confirmation.
    pub struct ConfirmRequest {
        /// What waits.
        pub waiter: ConfirmWaiter,
        /// The group whose members have to confirm.
        pub group: GroupKey,
        /// Log position of the commit. Ignored for [`ConfirmWaiter::Position`].
        pub position: LogPosition,
        /// When the commit was reported. Only answers to probes sent at or after this time count.
        pub since: Instant,
        /// When the wait for a second member to receive the commit ends.
        pub replicated_by: Instant,
        /// When the wait expires.
        pub deadline: Instant,
        /// Durability that an acknowledgement requires.
        pub durability: WriteDurability,
    }

    /// The result of a wait for confirmation.
    pub struct ConfirmResult {
        /// What waited.
        pub waiter: ConfirmWaiter,
        /// How the wait ended.
        pub outcome: ConfirmOutcome,
    }

    /// How a wait for confirmation ended.
    #[derive(Copy)]
    pub enum ConfirmOutcome {
        /// A majority has confirmed the term, and a commit has reached the required durability.
        Confirmed {
            /// Position of the commit, or the primary's for [`ConfirmWaiter::Position`].
            position: LogPosition,
            /// Whether a second member has received the commit.
            replicated: bool,
        },
        /// The group has a higher term, or a majority of members has promised one.
        Fenced,
        /// The deadline passed before any other outcome.
        Expired,
    }
}

/// Waits for confirmation by group, and the results not taken yet.
#[derive(Default)]
pub struct ConfirmTable {
    waits: BTreeMap<GroupKey, Vec<ConfirmRequest>>,
    results: Vec<ConfirmResult>,
}

impl ConfirmTable {
    /// Adds a wait. The group is probed when its waits are next settled.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    ///
    /// use tanagerdeal_core::confirm::{ConfirmRequest, ConfirmTable, ConfirmWaiter};
    /// use tanagerdeal_core::message::{DispatchKey, GroupKey};
    /// use tanagerdeal_wire::member::LogPosition;
    /// use tanagerdeal_wire::record::WriteDurability;
    ///
    /// let now = Instant::now();
    /// let mut confirms = ConfirmTable::default();
    /// confirms.add(ConfirmRequest {
    ///     waiter: ConfirmWaiter::Commit(DispatchKey::default()),
    ///     group: GroupKey::default(),
    ///     position: LogPosition { term: 1, offset: 1 },
    ///     since: now,
    ///     replicated_by: now + Duration::from_millis(400),
    ///     deadline: now + Duration::from_secs(5),
    ///     durability: WriteDurability::Term,
    /// });
    /// assert!(confirms.take_results().is_empty());
    /// ```
    pub fn add(&mut self, request: ConfirmRequest) {
        self.waits.entry(request.group).or_default().push(request);
    }

    /// Returns the results of the waits that have ended since the last call.
    ///
    /// ```
    /// use tanagerdeal_core::confirm::ConfirmTable;
    ///
    /// assert!(ConfirmTable::default().take_results().is_empty());
    /// ```
    pub fn take_results(&mut self) -> Vec<ConfirmResult> {
        std::mem::take(&mut self.results)
    }

    /// Groups with waits.
    pub(crate) fn groups(&self) -> Vec<GroupKey> {
        self.waits.keys().copied().collect()
    }

    /// Ends the waits of a group that can be decided by the current state of its members.
    pub(crate) fn settle(&mut self, now: Instant, endpoints: &mut EndpointTable, key: GroupKey) {
        let Some(waits) = self.waits.get_mut(&key) else { return };
        let results = &mut self.results;
        waits.retain(|request| match evaluate(now, endpoints, request) {
            Some(outcome) => {
                results.push(ConfirmResult { waiter: request.waiter, outcome });
                if let (ConfirmWaiter::Commit(_), ConfirmOutcome::Confirmed { position, .. }) =
                    (request.waiter, outcome)
                {
                    endpoints.note_acknowledged(key, position);
                }
                false
            }
            None => true,
        });
        if waits.is_empty() {
            self.waits.remove(&key);
        }
    }

    /// The probes that the waits of a group still need.
    pub(crate) fn need(&self, now: Instant, endpoints: &EndpointTable, key: GroupKey) -> ProbeNeed {
        let waits = self.waits.get(&key).map_or(&[][..], Vec::as_slice);
        let confirmed_at = endpoints.confirmed(key).map(|(at, _)| at);
        let open = |request: &&ConfirmRequest| {
            confirmed_at.is_none_or(|at| at < needed_since(now, request))
        };
        let since = waits.iter().filter(open).map(|request| needed_since(now, request)).max();
        match since {
            Some(since) => ProbeNeed::Since(since),
            None => match waits.iter().map(|request| request.since).max() {
                None => ProbeNeed::Nothing,
                Some(newest) if now < newest + FAST_PERIOD => ProbeNeed::Progress(FAST_INTERVAL),
                Some(_) => ProbeNeed::Progress(SLOW_INTERVAL),
            },
        }
    }
}

scalar_type! {
    /// Probes of the members of a group that waits need.
    pub(crate) enum ProbeNeed {
        /// Nothing beyond the periodic probes.
        Nothing,
        /// Probes at this interval for new received positions. The term is already confirmed.
        Progress(Duration),
        /// Answers to probes sent at this time or later.
        Since(Instant),
    }
}

/// The earliest time at which a confirmation of the term counts for a wait.
///
/// If no second member receives a commit in time, the commit is acknowledged only on a confirmation
/// that is newer than this wait, because the primary may have been replaced meanwhile.
fn needed_since(now: Instant, request: &ConfirmRequest) -> Instant {
    match request.waiter {
        ConfirmWaiter::Commit(_) if now >= request.replicated_by => {
            request.since.max(request.replicated_by)
        }
        _ => request.since,
    }
}

/// The outcome of a wait by the current state of the members, or `None` while it continues.
fn evaluate(
    now: Instant,
    endpoints: &EndpointTable,
    request: &ConfirmRequest,
) -> Option<ConfirmOutcome> {
    let expired = (now >= request.deadline).then_some(ConfirmOutcome::Expired);
    let Some(group) = endpoints.groups.get(request.group) else { return expired };
    let confirmed = endpoints.confirmed(request.group);
    let confirmed_since = |since| confirmed.filter(|(at, _)| *at >= since);
    match request.waiter {
        ConfirmWaiter::Position(_) => {
            let outcome = |(_, position)| ConfirmOutcome::Confirmed { position, replicated: false };
            confirmed_since(request.since).map(outcome).or(expired)
        }
        ConfirmWaiter::Commit(_) => {
            let position = request.position;
            let is_fenced = group.term > position.term
                || endpoints.count_above(group, position.term) >= group.majority();
            // With three members, a majority is the primary and one replica.
            let replicated = group.members.len() > 1
                && endpoints.count_received(group, position) >= group.majority();
            let since = if replicated { request.since } else { needed_since(now, request) };
            let is_confirmed = group.term == position.term && confirmed_since(since).is_some();
            let is_enough = replicated
                || (request.durability == WriteDurability::Term
                    && (now >= request.replicated_by || group.members.len() == 1));
            match () {
                () if is_fenced => Some(ConfirmOutcome::Fenced),
                () if is_confirmed && is_enough => {
                    Some(ConfirmOutcome::Confirmed { position, replicated })
                }
                () => expired,
            }
        }
    }
}
