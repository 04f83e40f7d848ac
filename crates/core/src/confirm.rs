//! Confirmation of commits and positions by a majority of a group.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use tanagerdeal_wire::member::LogPosition;
use tanagerdeal_wire::record::WriteDurability;
use tanagerdeal_wire::{scalar_type, value_type};

use crate::message::{DispatchKey, GroupKey, SessionKey};
use crate::routing::EndpointTable;

/// Time within which a second member usually receives a commit, and rest between probes during it
/// and after it. Longer rests keep a group whose replicas lag from being probed in a loop.
const EAGER_TIME: Duration = Duration::from_millis(50);
const EAGER_REST: Duration = Duration::from_millis(5);
const PATIENT_REST: Duration = Duration::from_millis(20);

value_type! {
    /// Who waits for a confirmation.
    #[derive(Copy)]
    pub enum ConfirmWaiter {
        /// The commit of a request.
        Commit(DispatchKey),
        /// A session that has no watermark yet and adopts the primary's position.
        Position(SessionKey),
    }

    /// A wait for confirmation.
    pub struct ConfirmRequest {
        /// Who waits.
        pub waiter: ConfirmWaiter,
        /// The group.
        pub group: GroupKey,
        /// Position of the commit; ignored for a position.
        pub position: LogPosition,
        /// When the commit was reported; only answers to later probes count.
        pub since: Instant,
        /// When the wait for a second member's receipt ends.
        pub replicated_by: Instant,
        /// When the client's wait ends.
        pub deadline: Instant,
        /// What is needed for an acknowledgement.
        pub durability: WriteDurability,
    }

    /// The end of a wait.
    pub struct ConfirmResult {
        /// Who waited.
        pub waiter: ConfirmWaiter,
        /// How it ended.
        pub outcome: ConfirmOutcome,
    }

    /// How a wait for confirmation ended.
    #[derive(Copy)]
    pub enum ConfirmOutcome {
        /// Confirmed at this position; `replicated` when a second member has received it.
        Confirmed {
            /// The commit's position, or the primary's for a position.
            position: LogPosition,
            /// Whether a second member has received it.
            replicated: bool,
        },
        /// A majority has promised a higher term, or one member follows it.
        Fenced,
        /// The deadline passed.
        Expired,
    }
}

/// Waits by group.
#[derive(Default)]
pub struct ConfirmTable {
    waits: BTreeMap<GroupKey, Vec<ConfirmRequest>>,
    results: Vec<ConfirmResult>,
}

impl ConfirmTable {
    /// Adds a wait; the group is probed at the next run of the systems.
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

    /// Takes the waits that have ended since the last call.
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

    /// Ends the waits of a group that are decided by what is known now.
    pub(crate) fn settle(&mut self, now: Instant, endpoints: &mut EndpointTable, key: GroupKey) {
        let Some(waits) = self.waits.get_mut(&key) else { return };
        let results = &mut self.results;
        waits.retain(|request| match judge(now, endpoints, request) {
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

    /// What the waits of a group still need from its members.
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
                Some(newest) if now < newest + EAGER_TIME => ProbeNeed::Progress(EAGER_REST),
                Some(_) => ProbeNeed::Progress(PATIENT_REST),
            },
        }
    }
}

scalar_type! {
    /// What is needed from the members of a group.
    pub(crate) enum ProbeNeed {
        /// Nothing beyond the periodic probes.
        Nothing,
        /// New received positions, at this rest after the last probe; the term is confirmed already.
        Progress(Duration),
        /// Answers to probes sent at that time or later.
        Since(Instant),
    }
}

/// From when on a confirmation of the term counts for a wait.
///
/// A commit that has waited for a second member in vain is acknowledged only on a confirmation that
/// is newer than that wait, because the primary may have been replaced during it.
fn needed_since(now: Instant, request: &ConfirmRequest) -> Instant {
    match request.waiter {
        ConfirmWaiter::Commit(_) if now >= request.replicated_by => {
            request.since.max(request.replicated_by)
        }
        _ => request.since,
    }
}

/// How a wait ends by what is known now; nothing while it goes on.
fn judge(
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
            // With three members a majority is the primary and a second one.
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
