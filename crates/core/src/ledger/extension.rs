//! Lease extensions by other hosts, for a host whose renewals fail.
//!
//! The lease term outlasts an outage of the store, so that hosts go on serving during one. But a
//! host that is dead or cut off would block the failover of a primary for the whole term. So a
//! lease alone is enough only for [`FRESH_TERM`] after its renewal. After that its holder needs
//! lease extensions from a majority of the hosts. Each host grants short extensions, unless it
//! knows a row that the requesting host does not know. While no host reaches the store, all grant
//! each other extensions. An isolated host gets none.
//!
//! A host that replaces a primary marks the group's row and notifies the others. A host that knows
//! the mark refuses extensions to hosts that do not, and reports which of its extensions are still
//! valid. As soon as those that may still be valid do not make up a majority, a silent host has
//! certainly stopped using the old primary. A failure domain that is cut off as a whole keeps its
//! own primaries: for these a majority of the hosts of the domain is enough.

use std::collections::HashMap;
use std::time::Duration;

use tanagerdeal_wire::{value_type, wire_type};

use super::clock::{BootInstant, StoreInstant};
use super::lease::{HostEntry, HostRecord, LEASE_TERM};

/// Time after a renewal in which a host needs no extensions: the longest interval between renewals
/// (4 s) and one failed attempt.
pub const FRESH_TERM: Duration = Duration::from_millis(5_000);
/// Validity of an extension, counted from when it was requested.
pub const EXTENSION_TERM: Duration = Duration::from_millis(2_000);
/// Time by which the granting host counts an extension longer than its holder, for the drift
/// between their clocks.
const EXTENSION_MARGIN: Duration = Duration::from_millis(100);
/// Time before the end of [`FRESH_TERM`] at which a host begins to request extensions. Successful
/// renewals are at most 4 s apart, so no host sends requests while the store answers.
const EXTENSION_REQUEST_LEAD: Duration = Duration::from_millis(700);
/// Interval between requests for extensions. An extension outlasts three lost requests.
pub const EXTENSION_REQUEST_INTERVAL: Duration = Duration::from_millis(500);
/// Fleet size up to which extensions are required. In a larger fleet the requests of all hosts
/// during an outage would be tens of thousands a second, so there a lease alone is enough for its
/// whole term.
const MAX_HOSTS: usize = 64;

wire_type! {
    /// Numbers of hosts from whose majorities a host needs extensions.
    #[derive(Copy)]
    pub struct ExtensionQuorum {
        /// Live hosts of the fleet.
        pub hosts: u32,
        /// Live hosts of the failure domain.
        pub domain: u32,
    }
}

value_type! {
    /// Extensions that a host has granted, as reported to other hosts.
    #[derive(Default)]
    pub struct GrantedExtensions {
        /// Hosts, with the longest time for which their extensions may still be valid.
        pub extensions: Vec<(String, Duration)>,
        /// Time for which extensions granted by a former process of the host may still be valid.
        /// The new process has no record of them.
        pub unknown: Duration,
    }
}

/// Lease extensions that a host has received, and those that it has granted.
#[derive(Clone, Debug)]
pub struct ExtensionTable {
    /// Extensions received, by granting host: whether it is in this failure domain, and when the
    /// extension ends.
    received: HashMap<String, (bool, BootInstant)>,
    granted: HashMap<String, BootInstant>,
    /// End of the extensions that a former process of this host may have granted.
    predecessor_until: BootInstant,
}

impl ExtensionQuorum {
    /// The quorum for a host of `domain`, given a list of hosts that was read at `read_at`. `None`
    /// if the fleet is too large to require extensions.
    ///
    /// ```
    /// use tanagerdeal_core::ledger::clock::StoreInstant;
    /// use tanagerdeal_core::ledger::extension::ExtensionQuorum;
    ///
    /// let quorum = ExtensionQuorum::of(&[], StoreInstant::from_millis(0), "d1").unwrap();
    /// assert_eq!((quorum.hosts, quorum.domain), (1, 1));
    /// ```
    pub fn of(hosts: &[HostEntry], read_at: StoreInstant, domain: &str) -> Option<Self> {
        let live = || hosts.iter().map(|entry| &entry.record).filter(|host| host.until > read_at);
        let count = live().count().max(1);
        let in_domain = live().filter(|host| host.domain == domain).count().max(1);
        let number = |count| u32::try_from(count).unwrap_or(u32::MAX);
        (count <= MAX_HOSTS).then(|| Self { hosts: number(count), domain: number(in_domain) })
    }

    /// The larger of the two values, for each of the numbers.
    pub fn max(self, other: Self) -> Self {
        Self { hosts: self.hosts.max(other.hosts), domain: self.domain.max(other.domain) }
    }
}

/// Whether `count` is a majority of `of` hosts.
fn is_majority(count: usize, of: u32) -> bool {
    count as u64 * 2 > u64::from(of)
}

impl ExtensionTable {
    /// The table of a process that started at `started_at`.
    ///
    /// ```
    /// use tanagerdeal_core::ledger::clock::BootInstant;
    /// use tanagerdeal_core::ledger::extension::ExtensionTable;
    ///
    /// let now = BootInstant::from_micros(0);
    /// let table = ExtensionTable::new(now);
    /// assert!(!table.granted(now).unknown.is_zero());
    /// ```
    pub fn new(started_at: BootInstant) -> Self {
        let predecessor_until = started_at.after(EXTENSION_TERM + EXTENSION_MARGIN);
        Self { received: HashMap::new(), granted: HashMap::new(), predecessor_until }
    }

    /// Records an extension granted by another host, for a request sent at `asked_at`.
    pub fn record_received(&mut self, host: &str, is_same_domain: bool, asked_at: BootInstant) {
        self.received.insert(host.to_owned(), (is_same_domain, asked_at.after(EXTENSION_TERM)));
    }

    /// Records that an extension is granted to a host at `now`.
    pub fn grant(&mut self, host: &str, now: BootInstant) {
        self.granted.insert(host.to_owned(), now.after(EXTENSION_TERM + EXTENSION_MARGIN));
    }

    /// The granted extensions that may still be valid.
    pub fn granted(&self, now: BootInstant) -> GrantedExtensions {
        let active = self.granted.iter().map(|(host, until)| (host.clone(), until.since(now)));
        GrantedExtensions {
            extensions: active.filter(|(_, left)| !left.is_zero()).collect(),
            unknown: self.predecessor_until.since(now),
        }
    }

    /// Whether the received extensions satisfy the quorum: a majority of all hosts, or, for what
    /// concerns only this failure domain, a majority of its hosts.
    pub fn has_quorum(
        &self,
        quorum: ExtensionQuorum,
        is_own_domain: bool,
        now: BootInstant,
    ) -> bool {
        let active = || self.received.values().filter(|(_, until)| now < *until);
        let in_domain = active().filter(|(is_same_domain, _)| *is_same_domain).count();
        is_majority(1 + active().count(), quorum.hosts)
            || (is_own_domain && is_majority(1 + in_domain, quorum.domain))
    }
}

/// Whether a host that knows the group versions in `asking` may be granted an extension by a host
/// that knows those in `own`: it must know the same or a newer version of each. Groups are
/// identified by a hash.
///
/// ```
/// use tanagerdeal_core::ledger::extension::is_up_to_date;
///
/// assert!(is_up_to_date(&[(1, 20), (2, 30)], &[(1, 20)]));
/// assert!(!is_up_to_date(&[(1, 20)], &[(1, 21)]));
/// assert!(!is_up_to_date(&[], &[(1, 20)]));
/// ```
pub fn is_up_to_date(asking: &[(u64, u64)], own: &[(u64, u64)]) -> bool {
    own.iter().all(|(group, version)| {
        asking.iter().any(|(known, newest)| known == group && newest >= version)
    })
}

/// Whether a host whose lease was renewed at `renewed_at` requests extensions now.
pub fn needs_extensions(renewed_at: BootInstant, now: BootInstant) -> bool {
    now >= renewed_at.after(FRESH_TERM - EXTENSION_REQUEST_LEAD)
        && now < renewed_at.after(LEASE_TERM)
}

/// Whether a host may still use its lease, as far as its row shows: it needs no extensions yet, or
/// may hold enough of them.
///
/// `may_have_granted` tells for each host in the list whether it may have granted an extension.
/// Hosts whose leases have just ended are included, as they may have granted one before.
pub fn may_use_lease(
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
    let is_recent =
        |other: &&HostRecord| other.until.after(EXTENSION_TERM + EXTENSION_MARGIN) >= now;
    let others = hosts.iter().map(|entry| &entry.record);
    let granting: Vec<&HostRecord> = others
        .filter(is_recent)
        .filter(|other| other.host == record.host || may_have_granted(other))
        .collect();
    let in_domain = granting.iter().filter(|other| other.domain == record.domain).count();
    is_majority(granting.len(), quorum.hosts)
        || (is_own_domain && is_majority(in_domain, quorum.domain))
}
