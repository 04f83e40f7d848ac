//! Endpoints that are away, and may come back with their log.
//!
//! A commit of a group with synchronous replicas is acknowledged once as many of them have received
//! it. So an endpoint that is away may be the only one, beside the primary, that has it.

use std::net::SocketAddr;
use std::time::Duration;

use tanagerdeal_wire::{value_type, wire_type};

use super::clock::BootInstant;
use super::endpoint::{EndpointRecord, EndpointState, LogPosition};
use super::position::PrimaryObservation;

/// Time for which an endpoint whose registration is gone may come back with its log. After that it
/// counts as lost for good. Crashed endpoints of the customers are back after 7 s.
pub const RETURN_LIMIT: Duration = Duration::from_millis(30_000);
/// Time after which nothing is known any more of an endpoint that was lost.
const MEMORY_LIMIT: Duration = Duration::from_millis(600_000);

value_type! {
    /// An endpoint that is away, or a former process of one that has started again without its log.
    pub struct AbsentEndpoint {
        /// Identity.
        pub id: String,
        /// Its group.
        pub group: String,
        /// Its address, if an endpoint that starts there has its log.
        pub address: Option<SocketAddr>,
        /// Start time of the process, if it was reported.
        pub born: Option<u64>,
        /// Since when it is away.
        pub since: BootInstant,
        /// From when on it cannot have received commits any more.
        pub ended_at: BootInstant,
        /// The first position of the primary that was seen after that. It has received no more.
        pub reach: Option<LogPosition>,
        /// Whether it is back, or another endpoint has taken over its log.
        pub is_back: bool,
    }
}

wire_type! {
    /// An absent endpoint as sent to other hosts.
    pub struct SharedAbsence {
        /// Identity.
        pub id: String,
        /// Address, if it is known.
        pub address: Option<SocketAddr>,
        /// Start time of the process, if it was reported.
        pub born: Option<u64>,
        /// Time for which it has been away, in milliseconds.
        pub away_ms: u32,
        /// Newest position up to which it may have received commits, if it is known.
        pub reach: Option<LogPosition>,
    }
}

/// The endpoints that are away.
#[derive(Debug, Default)]
pub struct AbsenceTable {
    entries: Vec<AbsentEndpoint>,
}

impl AbsentEndpoint {
    /// Whether the endpoint may have received commits beyond a position.
    ///
    /// ```
    /// use tanagerdeal_core::ledger::absence::AbsentEndpoint;
    /// use tanagerdeal_core::ledger::clock::BootInstant;
    /// use tanagerdeal_core::ledger::endpoint::LogPosition;
    ///
    /// let at = |number| LogPosition { term: 1, number };
    /// let now = BootInstant::from_micros(0);
    /// let (id, group) = ("e1".to_owned(), "g1".to_owned());
    /// let absent = AbsentEndpoint {
    ///     id,
    ///     group,
    ///     address: None,
    ///     born: None,
    ///     since: now,
    ///     ended_at: now,
    ///     reach: Some(at(7)),
    ///     is_back: false,
    /// };
    /// assert!(absent.may_have_more(at(6)) && !absent.may_have_more(at(7)));
    /// ```
    pub fn may_have_more(&self, received: LogPosition) -> bool {
        self.reach.is_none_or(|reach| reach > received)
    }

    /// Whether the endpoint may still come back with its log.
    ///
    /// ```
    /// use tanagerdeal_core::ledger::absence::{AbsenceTable, RETURN_LIMIT};
    /// use tanagerdeal_core::ledger::clock::BootInstant;
    ///
    /// let (mut table, now) = (AbsenceTable::default(), BootInstant::from_micros(0));
    /// table.note_unregistered("e1", "g1", now);
    /// let absent = table.of_group("g1").next().unwrap();
    /// assert!(absent.may_return(now) && !absent.may_return(now.after(RETURN_LIMIT)));
    /// ```
    pub fn may_return(&self, now: BootInstant) -> bool {
        now < self.since.after(RETURN_LIMIT)
    }

    /// Converts the entry for other hosts.
    pub fn share(&self, now: BootInstant) -> SharedAbsence {
        let away_ms = u32::try_from(now.since(self.since).as_millis()).unwrap_or(u32::MAX);
        let Self { id, address, born, reach, .. } = self.clone();
        SharedAbsence { id, address, born, away_ms, reach }
    }

    /// An entry of an endpoint that is away from now on.
    fn new(record: &EndpointRecord, now: BootInstant) -> Self {
        Self {
            id: record.id.clone(),
            group: record.group.clone(),
            address: Some(record.address),
            born: record.born,
            since: now,
            ended_at: now,
            reach: None,
            is_back: false,
        }
    }

    fn is_process(&self, id: &str, born: Option<u64>) -> bool {
        self.id == id && self.born == born
    }
}

impl AbsenceTable {
    /// Records that an endpoint whose registration is gone is no longer used. `has_successor` says
    /// whether another one has taken over its log.
    pub fn note_removed(&mut self, state: &EndpointState, has_successor: bool, now: BootInstant) {
        let since = state.missing_since.unwrap_or(now);
        let absent = AbsentEndpoint { since, ..AbsentEndpoint::new(&state.record, now) };
        self.insert(AbsentEndpoint { is_back: has_successor, ..absent }, now);
    }

    /// Records that an endpoint has started again under its identity, without its log. Whatever
    /// starts at its address does not have it either.
    pub fn note_restarted(&mut self, record: &EndpointRecord, now: BootInstant) {
        self.insert(AbsentEndpoint { address: None, ..AbsentEndpoint::new(record, now) }, now);
    }

    fn insert(&mut self, absent: AbsentEndpoint, now: BootInstant) {
        self.entries.retain(|entry| {
            now < entry.since.after(MEMORY_LIMIT) && !entry.is_process(&absent.id, absent.born)
        });
        self.entries.push(absent);
    }

    /// Records a registration: an endpoint is back, or another one has taken over the log at its
    /// address.
    pub fn note_registered(&mut self, record: &EndpointRecord) {
        for entry in &mut self.entries {
            let has_successor = entry.id != record.id
                && entry.group == record.group
                && entry.address == Some(record.address);
            entry.is_back |= has_successor || entry.is_process(&record.id, record.born);
        }
    }

    /// Records a position that a primary has shown.
    pub fn note_position(&mut self, group: &str, observation: &PrimaryObservation) {
        let ended = self.entries.iter_mut().filter(|entry| {
            entry.group == group && entry.reach.is_none() && entry.ended_at <= observation.sent_at
        });
        ended.for_each(|entry| entry.reach = Some(observation.position));
    }

    /// Records that a primary which is to be replaced is not registered. It counts as away from now
    /// on, unless more is known of it.
    pub fn note_unregistered(&mut self, id: &str, group: &str, now: BootInstant) {
        if self.entries.iter().all(|entry| entry.id != id) {
            let (id, group) = (id.to_owned(), group.to_owned());
            let (address, born, reach) = (None, None, None);
            let (since, ended_at, is_back) = (now, now, false);
            let absent =
                AbsentEndpoint { id, group, address, born, since, ended_at, reach, is_back };
            self.insert(absent, now);
        }
    }

    /// Applies what another host knows of an endpoint that is not registered.
    pub(super) fn adopt(&mut self, group: &str, shared: &SharedAbsence, now: BootInstant) {
        let SharedAbsence { id, address, born, away_ms, reach } = shared.clone();
        match self.entries.iter_mut().find(|it| it.is_process(&id, born)) {
            Some(known) => known.reach = known.reach.or(reach),
            None => {
                let since = now.before(Duration::from_millis(u64::from(away_ms)));
                let (group, ended_at, is_back) = (group.to_owned(), now, false);
                let absent =
                    AbsentEndpoint { id, group, address, born, since, ended_at, reach, is_back };
                self.insert(absent, now);
            }
        }
    }

    /// Endpoints of a group that are not back. Those that cannot come back any more took what only
    /// they had along.
    pub fn of_group(&self, group: &str) -> impl Iterator<Item = &AbsentEndpoint> {
        self.entries.iter().filter(move |entry| entry.group == group && !entry.is_back)
    }
}
