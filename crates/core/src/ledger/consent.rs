//! Consent: how long a host goes on whose renewals fail.
//!
//! A lease outlasts an outage of the store, so that nobody stops when the store does. But while one host
//! is dead or cut off, whatever it might still do would block the others for as long. So a lease counts
//! alone only for a short while after its renewal. After that its holder needs stays of a majority of
//! the hosts: each grants one for a moment, unless it knows of a row that the asking host does not know.
//! When the store is away from all, all grant each other stays. A host that is alone gets none.
//!
//! A host that wants to replace a primary marks its row and tells the others. Whoever has heard of the
//! mark grants no stay to those who have not, and tells which of its stays still run. So as soon as
//! fewer hosts than a majority can have granted one, a silent host has stopped for certain. A failure
//! domain that is cut off as a whole keeps its own primaries: there a majority of the domain is enough.

use std::collections::HashMap;
use std::time::Duration;

use tanagerdeal_wire::{value_type, wire_type};

use super::clock::{BootInstant, StoreInstant};
use super::lease::{HostEntry, HostRecord, LEASE_TERM};

/// Time after a renewal in which a host needs no stays: the longest interval between renewals (4 s) and
/// an attempt that fails.
pub const FRESH_TERM: Duration = Duration::from_millis(5_000);
/// Time for which a stay holds, counted from when it was asked for.
pub const STAY_TERM: Duration = Duration::from_millis(2_000);
/// Time by which a host that grants a stay counts it longer, for the drift of two clocks.
const STAY_MARGIN: Duration = Duration::from_millis(100);
/// Time before a host needs stays at which it begins to ask for them. Renewals that succeed are at most
/// 4 s apart, so that nobody asks while the store answers.
const ASK_LEAD: Duration = Duration::from_millis(700);
/// Time between two questions for stays; a stay outlasts three that are lost.
pub const ASK_INTERVAL: Duration = Duration::from_millis(500);
/// Hosts up to which consent is asked for. In a larger fleet the questions of all hosts during an outage
/// would be tens of thousands a second, so there a lease counts alone for its whole term.
const MAX_HOSTS: usize = 64;

wire_type! {
    /// The numbers of hosts of whose majorities a host needs stays.
    #[derive(Copy)]
    pub struct ConsentQuorum {
        /// All hosts.
        pub hosts: u32,
        /// Hosts of its failure domain.
        pub domain: u32,
    }
}

value_type! {
    /// Stays that a host has granted, as it tells of them.
    #[derive(Default)]
    pub struct GrantedStays {
        /// Hosts, and how long their stays still run at most.
        pub stays: Vec<(String, Duration)>,
        /// How long stays of an earlier process of the host may run, which it does not know.
        pub unknown: Duration,
    }
}

/// The stays of a host: those that it has got, and those that it has granted.
#[derive(Clone, Debug)]
pub struct StayLedger {
    /// Stays got, by host: whether it is in the own failure domain, and until when.
    got: HashMap<String, (bool, BootInstant)>,
    granted: HashMap<String, BootInstant>,
    /// Until when stays of an earlier process of this host may run.
    unknown_until: BootInstant,
}

impl ConsentQuorum {
    /// The quorum of a host of a failure domain among the hosts of a list that was read at `read_at`;
    /// none in a fleet that is too large.
    ///
    /// ```
    /// use tanagerdeal_core::ledger::clock::StoreInstant;
    /// use tanagerdeal_core::ledger::consent::ConsentQuorum;
    ///
    /// let quorum = ConsentQuorum::of(&[], StoreInstant::from_millis(0), "d1").unwrap();
    /// assert_eq!((quorum.hosts, quorum.domain), (1, 1));
    /// ```
    pub fn of(hosts: &[HostEntry], read_at: StoreInstant, domain: &str) -> Option<Self> {
        let live = || hosts.iter().map(|entry| &entry.record).filter(|host| host.until > read_at);
        let count = live().count().max(1);
        let same = live().filter(|host| host.domain == domain).count().max(1);
        let number = |count| u32::try_from(count).unwrap_or(u32::MAX);
        (count <= MAX_HOSTS).then(|| Self { hosts: number(count), domain: number(same) })
    }

    /// The larger number of each of two.
    pub fn max(self, other: Self) -> Self {
        Self { hosts: self.hosts.max(other.hosts), domain: self.domain.max(other.domain) }
    }
}

/// Whether a number of hosts is a majority of a number.
fn is_majority(count: usize, of: u32) -> bool {
    count as u64 * 2 > u64::from(of)
}

impl StayLedger {
    /// The ledger of a process that started at an instant.
    ///
    /// ```
    /// use tanagerdeal_core::ledger::clock::BootInstant;
    /// use tanagerdeal_core::ledger::consent::StayLedger;
    ///
    /// let now = BootInstant::from_micros(0);
    /// let ledger = StayLedger::new(now);
    /// assert!(!ledger.granted(now).unknown.is_zero());
    /// ```
    pub fn new(started_at: BootInstant) -> Self {
        let unknown_until = started_at.after(STAY_TERM + STAY_MARGIN);
        Self { got: HashMap::new(), granted: HashMap::new(), unknown_until }
    }

    /// Notes a stay of another host, for a question that was sent at `asked_at`.
    pub fn note_got(&mut self, host: &str, is_same_domain: bool, asked_at: BootInstant) {
        self.got.insert(host.to_owned(), (is_same_domain, asked_at.after(STAY_TERM)));
    }

    /// Grants a host a stay from now on.
    pub fn grant(&mut self, host: &str, now: BootInstant) {
        self.granted.insert(host.to_owned(), now.after(STAY_TERM + STAY_MARGIN));
    }

    /// The stays that have been granted and may still run.
    pub fn granted(&self, now: BootInstant) -> GrantedStays {
        let running = self.granted.iter().map(|(host, until)| (host.clone(), until.since(now)));
        GrantedStays {
            stays: running.filter(|(_, left)| !left.is_zero()).collect(),
            unknown: self.unknown_until.since(now),
        }
    }

    /// Whether a host with a quorum has the stays that it needs at an instant: of a majority of all
    /// hosts, or for what concerns its own failure domain alone, of the hosts there.
    pub fn suffices(&self, quorum: ConsentQuorum, is_own_domain: bool, now: BootInstant) -> bool {
        let running = || self.got.values().filter(|(_, until)| now < *until);
        let same = running().filter(|(is_same, _)| *is_same).count();
        is_majority(1 + running().count(), quorum.hosts)
            || (is_own_domain && is_majority(1 + same, quorum.domain))
    }
}

/// Whether a host that knows the group rows of some versions may be granted a stay by one that knows
/// `own`: it knows all of them, or newer ones. Groups are told apart by a hash.
///
/// ```
/// use tanagerdeal_core::ledger::consent::knows_all;
///
/// assert!(knows_all(&[(1, 20), (2, 30)], &[(1, 20)]));
/// assert!(!knows_all(&[(1, 20)], &[(1, 21)]));
/// assert!(!knows_all(&[], &[(1, 20)]));
/// ```
pub fn knows_all(asking: &[(u64, u64)], own: &[(u64, u64)]) -> bool {
    own.iter().all(|(group, version)| {
        asking.iter().any(|(known, newest)| known == group && newest >= version)
    })
}

/// Whether a host asks for stays at an instant, with a lease that was renewed at `renewed_at`.
pub fn is_asking(renewed_at: BootInstant, now: BootInstant) -> bool {
    now >= renewed_at.after(FRESH_TERM - ASK_LEAD) && now < renewed_at.after(LEASE_TERM)
}

/// Whether a host may have stays that suffice, or needs none yet, as far as its row shows.
///
/// `may_have_granted` tells of each host of the list whether it may have granted one; those whose leases
/// have ended may have done so until a moment ago.
pub fn may_go_on(
    record: &HostRecord,
    hosts: &[HostEntry],
    is_own_domain: bool,
    now: StoreInstant,
    may_have_granted: &dyn Fn(&HostRecord) -> bool,
) -> bool {
    let Some(quorum) = record.consent else { return true };
    if record.until.before(LEASE_TERM - FRESH_TERM) >= now {
        return true;
    }
    let is_recent = |other: &&HostRecord| other.until.after(STAY_TERM + STAY_MARGIN) >= now;
    let others = hosts.iter().map(|entry| &entry.record);
    let granting: Vec<&HostRecord> = others
        .filter(is_recent)
        .filter(|other| other.host == record.host || may_have_granted(other))
        .collect();
    let same = granting.iter().filter(|other| other.domain == record.domain).count();
    is_majority(granting.len(), quorum.hosts) || (is_own_domain && is_majority(same, quorum.domain))
}
