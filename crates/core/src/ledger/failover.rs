//! Failover: replacing the primary of a group, planned or not.
//!
//! The host that carries out failovers, the coordinator, holds the duty lease of promotions, the
//! failover lease. It marks the group's row, waits until no host may still use the old primary,
//! promotes the endpoint that has received most of the log, and publishes the result. The promotion
//! is recorded in the row before it is called for, and `step` decides what follows from it.

pub mod choice;
mod complete;
pub mod former;
pub mod step;

use std::collections::HashMap;
use std::time::Duration;

use tanagerdeal_wire::value_type;

use super::clock::{BootInstant, StoreInstant};
use super::endpoint::{EndpointRole, LogPosition};
use super::extension::{GrantedExtensions, may_use_lease};
use super::lease::{HostEntry, HostRecord};
use crate::hash::hash_bytes;

value_type! {
    /// Status of an endpoint that may be promoted.
    pub struct CandidateStatus {
        /// Identity of the endpoint.
        pub id: String,
        /// Failure domain.
        pub domain: String,
        /// Role that the endpoint reports.
        pub role: EndpointRole,
        /// Newest term that the endpoint knows.
        pub term: u64,
        /// Newest log position that it has received.
        pub received: LogPosition,
        /// Whether it may be promoted: it is not draining, and its failure domain is not evacuated.
        pub is_eligible: bool,
    }

    /// An endpoint that has not told its status.
    pub struct UnansweredCandidate {
        /// What is known without its answer: it has received at least this much of the log.
        pub status: CandidateStatus,
        /// Whether it runs: it refuses requests for lack of a slot or connection, or replies to others.
        pub is_running: bool,
        /// Whether another endpoint has taken over its log.
        pub has_successor: bool,
    }
}

/// Direct confirmations by hosts that they no longer use the primary of a marked group. The
/// coordinator collects them.
#[derive(Debug, Default)]
pub struct ConfirmationTable {
    changes: HashMap<String, ChangeConfirmations>,
}

/// Confirmations for one failover.
#[derive(Debug, Default)]
pub struct ChangeConfirmations {
    change_started_version: u64,
    hosts: HashMap<String, HostConfirmation>,
}

/// Confirmation by a process that it no longer uses a primary, with the lease extensions that it
/// has granted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HostConfirmation {
    /// Incarnation of the process.
    pub incarnation: u64,
    /// Hosts that may hold an extension granted by it, and the end of that extension.
    pub extensions: Vec<(String, BootInstant)>,
    /// Until when any host may hold an extension granted by a former process of the host.
    pub predecessor_until: BootInstant,
}

impl HostConfirmation {
    /// A confirmation received at `now`.
    ///
    /// ```
    /// use tanagerdeal_core::ledger::clock::BootInstant;
    /// use tanagerdeal_core::ledger::failover::HostConfirmation;
    ///
    /// let now = BootInstant::from_micros(0);
    /// let confirmation = HostConfirmation::new(7, Default::default(), now);
    /// assert!(!confirmation.may_have_granted("h1", now));
    /// ```
    pub fn new(incarnation: u64, granted: GrantedExtensions, now: BootInstant) -> Self {
        let extensions = granted.extensions.into_iter().map(|(host, left)| (host, now.after(left)));
        Self {
            incarnation,
            extensions: extensions.collect(),
            predecessor_until: now.after(granted.unknown),
        }
    }

    /// Whether `host` may hold an extension granted by the confirming host.
    pub fn may_have_granted(&self, host: &str, now: BootInstant) -> bool {
        now < self.predecessor_until
            || self.extensions.iter().any(|(name, until)| name == host && now < *until)
    }
}

/// Inputs for deciding which hosts may still use a primary.
#[derive(Clone, Copy)]
pub struct ConfirmationView<'a> {
    /// Rows of all hosts, read after the group was marked.
    pub hosts: &'a [HostEntry],
    /// Failure domain of the primary, if known.
    pub domain: Option<&'a str>,
    /// Lower bound of the store's clock at `now`.
    pub store_now: StoreInstant,
    /// Time of the decision.
    pub now: BootInstant,
}

impl CandidateStatus {
    /// Position with which the term of a new primary began, as it shows before it takes commits.
    ///
    /// ```
    /// use tanagerdeal_core::ledger::endpoint::{EndpointRole, LogPosition};
    /// use tanagerdeal_core::ledger::failover::CandidateStatus;
    ///
    /// let (id, domain) = ("e1".to_owned(), "d1".to_owned());
    /// let received = LogPosition { term: 3, number: 40 };
    /// let role = EndpointRole::Primary;
    /// let status = CandidateStatus { id, domain, role, term: 4, received, is_eligible: true };
    /// assert_eq!(status.term_start(), Some(received));
    /// assert_eq!(CandidateStatus { term: 3, ..status }.term_start(), None);
    /// ```
    pub fn term_start(&self) -> Option<LogPosition> {
        (self.received.term < self.term).then_some(self.received)
    }
}

impl ConfirmationTable {
    /// Starts collecting confirmations for a group whose change began with version
    /// `change_started_version` of its row.
    ///
    /// ```
    /// use tanagerdeal_core::ledger::clock::BootInstant;
    /// use tanagerdeal_core::ledger::failover::{ConfirmationTable, HostConfirmation};
    ///
    /// let confirmation =
    ///     HostConfirmation::new(7, Default::default(), BootInstant::from_micros(0));
    /// let mut table = ConfirmationTable::default();
    /// table.begin("g1", 20);
    /// table.note("g1", 20, "h1", confirmation);
    /// assert!(table.of("g1").unwrap().has("h1", 7));
    /// // Another process of the host has said nothing.
    /// assert!(!table.of("g1").unwrap().has("h1", 8));
    /// ```
    pub fn begin(&mut self, group: &str, change_started_version: u64) {
        let confirmations = ChangeConfirmations { change_started_version, hosts: HashMap::new() };
        self.changes.insert(group.to_owned(), confirmations);
    }

    /// Records that a process of `host` follows the given version of the group's row. Confirmations
    /// without a failover in progress, or from before its mark, are ignored.
    pub fn note(&mut self, group: &str, version: u64, host: &str, confirmation: HostConfirmation) {
        let change =
            self.changes.get_mut(group).filter(|change| version >= change.change_started_version);
        if let Some(change) = change {
            change.hosts.insert(host.to_owned(), confirmation);
        }
    }

    /// Confirmations collected for a group.
    pub fn of(&self, group: &str) -> Option<&ChangeConfirmations> {
        self.changes.get(group)
    }

    /// Stops collecting for a group, as its failover is over.
    pub fn end(&mut self, group: &str) {
        self.changes.remove(group);
    }
}

impl ChangeConfirmations {
    /// The confirmation of a process of a host.
    fn find(&self, host: &str, incarnation: u64) -> Option<&HostConfirmation> {
        self.hosts.get(host).filter(|confirmation| confirmation.incarnation == incarnation)
    }

    /// Whether a process of a host has confirmed.
    pub fn has(&self, host: &str, incarnation: u64) -> bool {
        self.find(host, incarnation).is_some()
    }

    /// Hosts that may still use the old primary: they have neither renewed their lease since the
    /// group was marked nor confirmed, and their lease is valid, alone or with extensions. Any
    /// other host has to renew before it uses a primary, and learns of the mark by that.
    ///
    /// ```
    /// use tanagerdeal_core::ledger::clock::{BootInstant, StoreInstant};
    /// use tanagerdeal_core::ledger::failover::{ChangeConfirmations, ConfirmationView};
    ///
    /// let (store_now, now) = (StoreInstant::from_millis(0), BootInstant::from_micros(0));
    /// let view = ConfirmationView { hosts: &[], domain: None, store_now, now };
    /// assert!(ChangeConfirmations::default().missing(view).is_empty());
    /// ```
    pub fn missing<'a>(&self, view: ConfirmationView<'a>) -> Vec<&'a HostRecord> {
        let not_renewed =
            view.hosts.iter().filter(|entry| entry.version < self.change_started_version);
        let records = not_renewed.map(|entry| &entry.record).filter(|record| {
            record.until >= view.store_now && !self.has(&record.host, record.incarnation)
        });
        records.filter(|record| self.may_use_primary(record, view)).collect()
    }

    fn may_use_primary(&self, record: &HostRecord, view: ConfirmationView<'_>) -> bool {
        // If this host does not know the domain of the primary, the other host may: it may then
        // rely on a majority of its own domain.
        let is_own_domain = view.domain.is_none_or(|domain| domain == record.domain);
        let may_have_granted = |other: &HostRecord| {
            let confirmation = self.find(&other.host, other.incarnation);
            confirmation.is_none_or(|known| known.may_have_granted(&record.host, view.now))
        };
        may_use_lease(record, view.hosts, is_own_domain, view.store_now, &may_have_granted)
    }
}

/// The endpoint to promote: the eligible one that has received most. Ties go to the failure domain
/// with the fewest primaries, as counted by `primaries`, so that the loss of one domain affects few
/// groups.
pub fn best_candidate<'a>(
    candidates: impl IntoIterator<Item = &'a CandidateStatus>,
    primaries: &dyn Fn(&str) -> usize,
) -> Option<&'a CandidateStatus> {
    candidates.into_iter().filter(|status| status.is_eligible).max_by(|left, right| {
        left.received
            .cmp(&right.received)
            .then_with(|| primaries(&right.domain).cmp(&primaries(&left.domain)))
            .then_with(|| right.id.cmp(&left.id))
    })
}

/// Time for an endpoint to become primary after the promotion call was accepted. The customers'
/// endpoints need up to 1 s.
const PROMOTION_LIMIT: Duration = Duration::from_millis(3_000);
/// Time without any answer after which an endpoint that is being promoted counts as unreachable.
/// Endpoints answer during their promotion.
const NO_ANSWER_LIMIT: Duration = Duration::from_millis(800);

/// Time limits on an endpoint's promotion.
#[derive(Debug)]
pub struct PromotionTimeout {
    deadline: BootInstant,
    unreachable_at: BootInstant,
}

impl PromotionTimeout {
    /// Starts when the platform has accepted the promotion call.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use tanagerdeal_core::ledger::clock::BootInstant;
    /// use tanagerdeal_core::ledger::failover::PromotionTimeout;
    ///
    /// let now = BootInstant::from_micros(0);
    /// assert!(!PromotionTimeout::new(now).is_over(now));
    /// assert!(PromotionTimeout::new(now).is_over(now.after(Duration::from_secs(1))));
    /// ```
    pub fn new(now: BootInstant) -> Self {
        Self { deadline: now.after(PROMOTION_LIMIT), unreachable_at: now.after(NO_ANSWER_LIMIT) }
    }

    /// Records an answer of an endpoint that is not primary yet.
    pub fn note_answer(&mut self, now: BootInstant) {
        self.unreachable_at = now.after(NO_ANSWER_LIMIT);
    }

    /// Whether to stop waiting: the time limit has passed, or the endpoint does not answer.
    pub fn is_over(&self, now: BootInstant) -> bool {
        now >= self.deadline || now >= self.unreachable_at
    }
}

/// The endpoint that is already primary in a later term than `term`, if there is one. An endpoint
/// that leads an earlier term than another one knows has been replaced.
pub fn successor(candidates: &[CandidateStatus], term: u64) -> Option<&CandidateStatus> {
    let newest = newest_term(candidates);
    let is_successor = |status: &&CandidateStatus| {
        status.role == EndpointRole::Primary && status.term > term && status.term == newest
    };
    candidates.iter().find(is_successor)
}

/// The newest term that any of the endpoints knows; 0 if there are none.
pub fn newest_term(statuses: &[CandidateStatus]) -> u64 {
    statuses.iter().map(|status| status.term).max().unwrap_or(0)
}

/// Rank of a host in the order in which hosts may start the failover of a group; 0 is the first.
///
/// ```
/// use tanagerdeal_core::ledger::failover::rank;
///
/// let ranks: Vec<u32> = ["a", "b"].iter().map(|host| rank("g", host, &["a", "b"])).collect();
/// assert!(ranks == [0, 1] || ranks == [1, 0]);
/// ```
pub fn rank(group: &str, host: &str, hosts: &[&str]) -> u32 {
    let weight = |name: &str| hash_bytes(group.bytes().chain([0]).chain(name.bytes()));
    let own = weight(host);
    let before = hosts.iter().filter(|name| **name != host && weight(name) < own).count();
    u32::try_from(before).unwrap_or(u32::MAX)
}
