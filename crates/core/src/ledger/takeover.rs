//! Decisions of a change of primary.
//!
//! The host that carries it out holds a duty under a fencing token. It marks the group's row, waits
//! until no host may still use the old primary, has the endpoint promoted that received most, and
//! publishes the result.

use std::collections::HashMap;
use std::time::Duration;

use tanagerdeal_wire::{value_type, wire_type};

use super::clock::{BootInstant, StoreInstant};
use super::consent::{GrantedStays, may_go_on};
use super::endpoint::{EndpointRole, LogPosition};
use super::lease::{HostEntry, HostRecord};
use crate::hash::hash_bytes;

/// Time for which a holder keeps the duty without renewing it. It covers two calls of a store that
/// is a hundred times slower than usual (0.4 s each) and a promotion call (0.9 s).
pub const DUTY_TERM: Duration = Duration::from_secs(3);
/// Time after the end of a duty before another host starts. The holder's calls end within its duty;
/// the margin covers a holder that is paused between its last look at the clock and its call.
pub const DUTY_MARGIN: Duration = Duration::from_millis(1_000);

wire_type! {
    /// The row of the duty to change primaries.
    pub struct DutyRecord {
        /// Name of the host.
        pub holder: String,
        /// Incarnation of the host.
        pub incarnation: u64,
        /// Fencing token; it increases when the holder changes.
        pub token: u64,
        /// End of the duty, unless it is renewed.
        pub until: StoreInstant,
    }
}

value_type! {
    /// Status of an endpoint that could take over.
    pub struct CandidateStatus {
        /// Identity.
        pub id: String,
        /// Failure domain.
        pub domain: String,
        /// Role as it sees itself.
        pub role: EndpointRole,
        /// Newest term that it knows.
        pub term: u64,
        /// Newest position that it has received.
        pub received: LogPosition,
        /// Whether it may be chosen: it stays, and its failure domain takes work.
        pub is_eligible: bool,
    }
}

/// What to do about the duty.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DutyDecision {
    /// Write this row under the condition that the known one still stands.
    Take(DutyRecord),
    /// Another host holds the duty until then.
    Wait(StoreInstant),
}

/// Decides how a host gets the duty or keeps it. A process that was started again on the same host
/// takes the duty at once, as its predecessor is dead and its connections with it.
///
/// ```
/// use tanagerdeal_core::ledger::clock::StoreInstant;
/// use tanagerdeal_core::ledger::takeover::{DutyDecision, duty_decision};
///
/// let now = StoreInstant::from_millis(100);
/// let DutyDecision::Take(duty) = duty_decision(None, "h1", 7, now) else { panic!("free") };
/// assert_eq!((duty.token, duty.holder.as_str()), (1, "h1"));
/// ```
pub fn duty_decision(
    known: Option<&DutyRecord>,
    host: &str,
    incarnation: u64,
    now: StoreInstant,
) -> DutyDecision {
    let take = |token| {
        let until = now.after(DUTY_TERM);
        DutyDecision::Take(DutyRecord { holder: host.to_owned(), incarnation, token, until })
    };
    match known {
        None => take(1),
        Some(duty) if duty.holder == host && duty.incarnation == incarnation => take(duty.token),
        Some(duty) if duty.holder == host => take(duty.token + 1),
        Some(duty) if duty.until.after(DUTY_MARGIN) < now => take(duty.token + 1),
        Some(duty) => DutyDecision::Wait(duty.until.after(DUTY_MARGIN)),
    }
}

/// What hosts have told the holder of the duty directly: that they no longer use the primary of a
/// group that it has marked.
#[derive(Debug, Default)]
pub struct ConfirmationTable {
    changes: HashMap<String, ChangeConfirmations>,
}

/// Confirmations of one change.
#[derive(Debug, Default)]
pub struct ChangeConfirmations {
    marked_version: u64,
    hosts: HashMap<String, HostConfirmation>,
}

/// The word of a process that it no longer uses a primary, with the stays that it has granted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HostConfirmation {
    /// Incarnation of the host.
    pub incarnation: u64,
    /// Hosts that may have a stay of it, and until when.
    pub stays: Vec<(String, BootInstant)>,
    /// Until when any host may have a stay of a process that ran there before.
    pub unknown_until: BootInstant,
}

impl HostConfirmation {
    /// The confirmation that came at an instant.
    ///
    /// ```
    /// use tanagerdeal_core::ledger::clock::BootInstant;
    /// use tanagerdeal_core::ledger::takeover::HostConfirmation;
    ///
    /// let now = BootInstant::from_micros(0);
    /// let confirmation = HostConfirmation::new(7, Default::default(), now);
    /// assert!(!confirmation.may_have_granted("h1", now));
    /// ```
    pub fn new(incarnation: u64, granted: GrantedStays, now: BootInstant) -> Self {
        let stays = granted.stays.into_iter().map(|(host, left)| (host, now.after(left)));
        Self { incarnation, stays: stays.collect(), unknown_until: now.after(granted.unknown) }
    }

    /// Whether a host may have a stay of the one that has confirmed.
    pub fn may_have_granted(&self, host: &str, now: BootInstant) -> bool {
        now < self.unknown_until
            || self.stays.iter().any(|(name, until)| name == host && now < *until)
    }
}

/// The hosts and the moment for which it is asked who may still use a primary.
#[derive(Clone, Copy)]
pub struct ConfirmationView<'a> {
    /// Rows of all hosts, read after the mark.
    pub hosts: &'a [HostEntry],
    /// Failure domain of the primary; none when it is not known.
    pub domain: Option<&'a str>,
    /// The earliest time that the store's clock can show now.
    pub store_now: StoreInstant,
    /// Now.
    pub now: BootInstant,
}

impl ConfirmationTable {
    /// Begins to collect for a group that is marked since a version of its row.
    ///
    /// ```
    /// use tanagerdeal_core::ledger::clock::BootInstant;
    /// use tanagerdeal_core::ledger::takeover::{ConfirmationTable, HostConfirmation};
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
    pub fn begin(&mut self, group: &str, marked_version: u64) {
        let confirmations = ChangeConfirmations { marked_version, hosts: HashMap::new() };
        self.changes.insert(group.to_owned(), confirmations);
    }

    /// Notes that a process of a host obeys the group's row of a version. What belongs to no change, or
    /// to an earlier one, is dropped.
    pub fn note(&mut self, group: &str, version: u64, host: &str, confirmation: HostConfirmation) {
        let change = self.changes.get_mut(group).filter(|change| version >= change.marked_version);
        if let Some(change) = change {
            change.hosts.insert(host.to_owned(), confirmation);
        }
    }

    /// What has been collected for a group.
    pub fn of(&self, group: &str) -> Option<&ChangeConfirmations> {
        self.changes.get(group)
    }

    /// Forgets a group, as its change is over.
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

    /// The hosts that may still use the old primary: they have not renewed since the group was marked,
    /// their process has not confirmed either, and their lease holds, alone or with stays of others. Who
    /// is not on the list has to renew first, and learns of the mark then.
    ///
    /// ```
    /// use tanagerdeal_core::ledger::clock::{BootInstant, StoreInstant};
    /// use tanagerdeal_core::ledger::takeover::{ChangeConfirmations, ConfirmationView};
    ///
    /// let (store_now, now) = (StoreInstant::from_millis(0), BootInstant::from_micros(0));
    /// let view = ConfirmationView { hosts: &[], domain: None, store_now, now };
    /// assert!(ChangeConfirmations::default().missing(view).is_empty());
    /// ```
    pub fn missing<'a>(&self, view: ConfirmationView<'a>) -> Vec<&'a HostRecord> {
        let unseen = view.hosts.iter().filter(|entry| entry.version < self.marked_version);
        let records = unseen.map(|entry| &entry.record).filter(|record| {
            record.until >= view.store_now && !self.has(&record.host, record.incarnation)
        });
        records.filter(|record| self.may_go_on(record, view)).collect()
    }

    fn may_go_on(&self, record: &HostRecord, view: ConfirmationView<'_>) -> bool {
        // A host that knows more of the primary than this one may rely on its own domain.
        let is_own_domain = view.domain.is_none_or(|domain| domain == record.domain);
        let may_have_granted = |other: &HostRecord| {
            let confirmation = self.find(&other.host, other.incarnation);
            confirmation.is_none_or(|known| known.may_have_granted(&record.host, view.now))
        };
        may_go_on(record, view.hosts, is_own_domain, view.store_now, &may_have_granted)
    }
}

/// The endpoint to promote: of the eligible ones, the one that has received most. Of several, the one in
/// the failure domain with the fewest primaries, given by `primaries`, so that a domain that is lost or
/// cut off takes few of them with it.
pub fn best_candidate<'a>(
    candidates: &'a [CandidateStatus],
    primaries: &dyn Fn(&str) -> usize,
) -> Option<&'a CandidateStatus> {
    candidates.iter().filter(|status| status.is_eligible).max_by(|left, right| {
        left.received
            .cmp(&right.received)
            .then_with(|| primaries(&right.domain).cmp(&primaries(&left.domain)))
            .then_with(|| right.id.cmp(&left.id))
    })
}

/// Time that an endpoint has to take over after the call was accepted; the users' need up to 1 s.
const LEAD_LIMIT: Duration = Duration::from_millis(3_000);
/// Time without any answer after which an endpoint that was called for is taken for unreachable. It
/// answers while it takes over.
const SILENT_LIMIT: Duration = Duration::from_millis(800);

/// Waiting for an endpoint to take over.
#[derive(Debug)]
pub struct LeadWatch {
    deadline: BootInstant,
    silent_at: BootInstant,
}

impl LeadWatch {
    /// Begins when the platform has accepted the call.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use tanagerdeal_core::ledger::clock::BootInstant;
    /// use tanagerdeal_core::ledger::takeover::LeadWatch;
    ///
    /// let now = BootInstant::from_micros(0);
    /// assert!(!LeadWatch::new(now).is_over(now));
    /// assert!(LeadWatch::new(now).is_over(now.after(Duration::from_secs(1))));
    /// ```
    pub fn new(now: BootInstant) -> Self {
        Self { deadline: now.after(LEAD_LIMIT), silent_at: now.after(SILENT_LIMIT) }
    }

    /// Notes that the endpoint has answered, although it does not lead yet.
    pub fn note_answer(&mut self, now: BootInstant) {
        self.silent_at = now.after(SILENT_LIMIT);
    }

    /// Whether there is nothing to wait for: the time is over, or the endpoint is silent.
    pub fn is_over(&self, now: BootInstant) -> bool {
        now >= self.deadline || now >= self.silent_at
    }
}

/// The endpoint that leads a later term than the known one, if a change has already taken effect.
pub fn successor(candidates: &[CandidateStatus], term: u64) -> Option<&CandidateStatus> {
    candidates
        .iter()
        .filter(|status| status.role == EndpointRole::Primary && status.term > term)
        .max_by_key(|status| status.term)
}

/// Place of a host in the order in which the hosts start a change of a group.
///
/// ```
/// use tanagerdeal_core::ledger::takeover::rank;
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
