//! Registered endpoints, with what this host has observed of each.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use slotmap::{SlotMap, new_key_type};
use tanagerdeal_wire::{scalar_type, value_type};

use super::absence::{AbsenceTable, SharedAbsence};
use super::clock::BootInstant;

/// Time for which an endpoint counts as lagging after its log lacked a position; others are
/// preferred.
const LAGGING_PAUSE: Duration = Duration::from_millis(250);
/// Time for which an endpoint counts as busy after it refused work; others are preferred.
const BUSY_PAUSE: Duration = Duration::from_millis(30);
/// Age from which on a hint says nothing any more about the wait at an endpoint.
const HINT_WAIT_TERM: Duration = Duration::from_millis(2_000);
/// Age from which on a hint says nothing any more about an endpoint.
const HINT_TERM: Duration = Duration::from_millis(10_000);
/// Weight of the newest sample in the moving average of latency.
const LATENCY_WEIGHT: f64 = 0.1;

new_key_type! {
    /// Key of an endpoint.
    pub struct EndpointKey;
}

scalar_type! {
    /// A position in the log of a group. Positions of a later term are greater.
    #[derive(Default, Deserialize, Serialize)]
    pub struct LogPosition {
        /// Term of the primary that wrote it.
        pub term: u64,
        /// Number of the commit.
        pub number: u64,
    }

    /// Load of an endpoint as its pool host has sent it.
    pub struct LoadHint {
        /// Expected wait of a read before it runs, in microseconds.
        pub expected_wait_us: u32,
        /// Expected duration of a read once it runs, in microseconds.
        pub service_us: u32,
        /// Statements that run.
        pub running: u32,
        /// Statements that may run at once.
        pub limit: u32,
        /// Statements that wait at the pool host.
        pub waiting: u32,
        /// When this host received it.
        pub at: BootInstant,
    }

    /// Role that an endpoint reports.
    pub enum EndpointRole {
        /// Accepts writes.
        Primary,
        /// Replicates from a primary.
        Replica,
    }
}

value_type! {
    /// Registration of an endpoint.
    pub struct EndpointRecord {
        /// Identity of the endpoint's process.
        pub id: String,
        /// Group that the endpoint belongs to.
        pub group: String,
        /// Address for statements.
        pub address: SocketAddr,
        /// Failure domain.
        pub domain: String,
        /// Number of statements that it runs at once.
        pub slots: u32,
        /// Whether it is draining.
        pub is_draining: bool,
        /// Role that the endpoint reports.
        pub role: EndpointRole,
        /// Start time of its process, if it reports one. It distinguishes successive processes with
        /// one id.
        pub born: Option<u64>,
    }
}

/// An endpoint and what this host has observed of it.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointState {
    /// Its registration.
    pub record: EndpointRecord,
    /// When this host learned of it.
    pub known_since: BootInstant,
    /// Newest applied position seen in a reply.
    pub position: LogPosition,
    /// Statements of this host in flight.
    pub in_flight: u32,
    /// Moving average of the latency, in microseconds.
    pub latency_us: f64,
    /// Time of the last reply.
    pub replied_at: Option<BootInstant>,
    /// Time of the first failure since the last reply.
    pub failing_since: Option<BootInstant>,
    /// Failures since the last reply.
    pub failures: u32,
    /// Until when it counts as lagging.
    pub lagging_until: BootInstant,
    /// Until when it counts as busy.
    pub busy_until: BootInstant,
    /// Newest hint of its pool host.
    pub load: Option<LoadHint>,
    /// When this host learned that it is draining.
    pub draining_since: Option<BootInstant>,
    /// When its registration disappeared.
    pub missing_since: Option<BootInstant>,
}

/// Error for a text that is not a log position.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{0:?} is not a log position")]
pub struct PositionError(String);

/// All registered endpoints.
#[derive(Default)]
pub struct EndpointTable {
    states: SlotMap<EndpointKey, EndpointState>,
    keys: HashMap<String, EndpointKey>,
    /// Endpoints that were registered and are away.
    pub absences: AbsenceTable,
}

impl fmt::Display for LogPosition {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.term, self.number)
    }
}

impl FromStr for LogPosition {
    type Err = PositionError;

    fn from_str(text: &str) -> Result<Self, PositionError> {
        let error = || PositionError(text.to_owned());
        let (term, number) = text.split_once('.').ok_or_else(error)?;
        let term = term.parse().map_err(|_| error())?;
        Ok(Self { term, number: number.parse().map_err(|_| error())? })
    }
}

impl EndpointState {
    fn new(record: EndpointRecord, now: BootInstant) -> Self {
        Self {
            record,
            known_since: now,
            position: LogPosition::default(),
            in_flight: 0,
            latency_us: 0.0,
            replied_at: None,
            failing_since: None,
            failures: 0,
            lagging_until: BootInstant::from_micros(0),
            busy_until: BootInstant::from_micros(0),
            load: None,
            draining_since: None,
            missing_since: None,
        }
    }

    fn adopt(&mut self, record: EndpointRecord, now: BootInstant) {
        self.missing_since = None;
        self.draining_since = match record.is_draining {
            true => self.draining_since.or(Some(now)),
            false => None,
        };
        self.record = record;
    }

    /// Records a reply with the applied position and its latency.
    pub fn note_reply(&mut self, position: Option<LogPosition>, took: Duration, now: BootInstant) {
        self.replied_at = Some(now);
        self.failing_since = None;
        self.failures = 0;
        self.position = self.position.max(position.unwrap_or_default());
        let sample = took.as_micros() as f64;
        self.latency_us += (sample - self.latency_us) * LATENCY_WEIGHT;
    }

    /// Resets the failure count, for when earlier failures say nothing about the endpoint any more.
    pub fn forget_failures(&mut self) {
        self.failing_since = None;
        self.failures = 0;
    }

    /// Records that a connection or a statement failed without a reply.
    pub fn note_failure(&mut self, now: BootInstant) {
        self.failing_since.get_or_insert(now);
        self.failures += 1;
    }

    /// Records that the endpoint refused a read because its log lacks the position.
    pub fn note_lagging(&mut self, now: BootInstant) {
        self.lagging_until = now.after(LAGGING_PAUSE);
    }

    /// Records a hint of its pool host, unless a newer one is known.
    ///
    /// ```
    /// use tanagerdeal_core::ledger::clock::BootInstant;
    /// use tanagerdeal_core::ledger::endpoint::{
    ///     EndpointRecord, EndpointRole, EndpointTable, LoadHint,
    /// };
    ///
    /// let record = EndpointRecord {
    ///     id: "e1".to_owned(),
    ///     group: "g1".to_owned(),
    ///     address: "10.0.0.1:1".parse().unwrap(),
    ///     domain: "d1".to_owned(),
    ///     slots: 3,
    ///     is_draining: false,
    ///     role: EndpointRole::Replica,
    ///     born: None,
    /// };
    /// let (mut table, now) = (EndpointTable::default(), BootInstant::from_micros(5));
    /// let (key, _) = table.register(record, now);
    /// let hint = LoadHint {
    ///     expected_wait_us: 9_000,
    ///     service_us: 20_000,
    ///     running: 3,
    ///     limit: 3,
    ///     waiting: 2,
    ///     at: now,
    /// };
    /// table.get_mut(key).unwrap().note_load(hint);
    /// assert_eq!(table.get(key).unwrap().fresh_load(now), Some(hint));
    /// ```
    pub fn note_load(&mut self, hint: LoadHint) {
        self.load = self.load.filter(|known| known.at > hint.at).or(Some(hint));
    }

    /// The hint of its pool host, if it is not too old. Its wait and its queue shrink with its age,
    /// as what waited then is served meanwhile.
    pub fn fresh_load(&self, now: BootInstant) -> Option<LoadHint> {
        let hint = self.load.filter(|hint| now.since(hint.at) < HINT_TERM)?;
        let age = now.since(hint.at).as_secs_f64() / HINT_WAIT_TERM.as_secs_f64();
        let decayed = |value: u32| (f64::from(value) * (1.0 - age).max(0.0)) as u32;
        Some(LoadHint {
            expected_wait_us: decayed(hint.expected_wait_us),
            waiting: decayed(hint.waiting),
            ..hint
        })
    }

    /// Records that the endpoint refused work because it is full.
    pub fn note_busy(&mut self, now: BootInstant) {
        self.busy_until = now.after(BUSY_PAUSE);
    }
}

impl EndpointTable {
    /// Applies a registration. Returns the key, and whether the process was not known before.
    pub fn register(&mut self, record: EndpointRecord, now: BootInstant) -> (EndpointKey, bool) {
        let known = self.keys.get(&record.id).copied();
        self.absences.note_registered(&record);
        let is_same = |key| {
            self.states.get(key).is_some_and(|state: &EndpointState| {
                state.record.born == record.born && state.record.address == record.address
            })
        };
        match known {
            Some(key) if is_same(key) => {
                self.states[key].adopt(record, now);
                (key, false)
            }
            _ => {
                let former = known.and_then(|key| self.states.remove(key));
                let former = former.filter(|former| former.record.born != record.born);
                former.iter().for_each(|it| self.absences.note_restarted(&it.record, now));
                let id = record.id.clone();
                let key = self.states.insert(EndpointState::new(record.clone(), now));
                self.states[key].adopt(record, now);
                self.keys.insert(id, key);
                (key, true)
            }
        }
    }

    /// Records that the registration of an endpoint is gone.
    pub fn note_missing(&mut self, id: &str, now: BootInstant) {
        let key = self.keys.get(id).copied();
        if let Some(state) = key.and_then(|key| self.states.get_mut(key)) {
            state.missing_since.get_or_insert(now);
        }
    }

    /// Removes the endpoints whose registrations disappeared before `gone_before`, and returns
    /// their identities. They count as away from then on.
    pub fn remove_missing(&mut self, gone_before: BootInstant, now: BootInstant) -> Vec<String> {
        let is_gone =
            |state: &EndpointState| state.missing_since.is_some_and(|since| since < gone_before);
        let gone = self.states.values().filter(|state| is_gone(state));
        let ids: Vec<String> = gone.map(|state| state.record.id.clone()).collect();
        for id in &ids {
            let key = self.keys.remove(id);
            let removed = key.and_then(|key| self.states.remove(key));
            if let Some(state) = removed {
                self.absences.note_removed(&state, self.has_successor(&state), now);
            }
        }
        ids
    }

    /// Applies what another host knows of an endpoint of a group that is away, unless it or its
    /// successor is registered.
    pub fn adopt_absence(&mut self, group: &str, shared: &SharedAbsence, now: BootInstant) {
        let is_here = |record: &EndpointRecord| match record.id == shared.id {
            true => record.born == shared.born,
            false => Some(record.address) == shared.address,
        };
        if !self.of_group(group).any(|(_, state)| is_here(&state.record)) {
            self.absences.adopt(group, shared, now);
        }
    }

    /// Whether another endpoint of the group started later at the address of this one. It has taken
    /// over the log there.
    pub fn has_successor(&self, state: &EndpointState) -> bool {
        let is_later = |other: &EndpointState| match (other.record.born, state.record.born) {
            (Some(other), Some(born)) if other != born => other > born,
            _ => other.known_since > state.known_since,
        };
        self.of_group(&state.record.group).any(|(_, other)| {
            other.record.id != state.record.id
                && other.record.address == state.record.address
                && is_later(other)
        })
    }

    /// Removes an endpoint.
    pub fn remove(&mut self, id: &str) -> Option<EndpointKey> {
        let key = self.keys.remove(id)?;
        self.states.remove(key);
        Some(key)
    }

    /// The endpoint with a key.
    pub fn get(&self, key: EndpointKey) -> Option<&EndpointState> {
        self.states.get(key)
    }

    /// The endpoint with a key, to record observations.
    pub fn get_mut(&mut self, key: EndpointKey) -> Option<&mut EndpointState> {
        self.states.get_mut(key)
    }

    /// The key of an endpoint.
    pub fn find(&self, id: &str) -> Option<EndpointKey> {
        self.keys.get(id).copied()
    }

    /// All endpoints of a group.
    pub fn of_group<'a>(
        &'a self,
        group: &'a str,
    ) -> impl Iterator<Item = (EndpointKey, &'a EndpointState)> {
        self.states.iter().filter(move |(_, state)| state.record.group == group)
    }
}
