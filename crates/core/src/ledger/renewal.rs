//! Renewal of the leases of several hosts in one transaction.
//!
//! The hosts of a failure domain send their renewals to one of them, the relay. All send at the
//! same instant of the store's clock, so that the relay can write all rows in one transaction. The
//! conditions are those that each host would have used: its own row has the version that it knows,
//! and the rows that it relies on have the versions that the relay knows. A host counts its lease
//! from when it sent its request, which is before the relay wrote. A host that gets no answer, or a
//! refusal, renews by itself.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use tanagerdeal_wire::{value_type, wire_type};

use super::clock::{BootInstant, StoreInstant};
use super::lease::{HostEntry, HostRecord};
use super::state::live_hosts;
use crate::hash::hash_bytes;

/// Time for which a relay collects requests. Hosts know the store's clock to a few milliseconds,
/// and a busy processor may delay a host by some tens of milliseconds.
pub const BATCH_DELAY: Duration = Duration::from_millis(150);
/// Time limit on the relay's answer: collecting, a call to a store that is ten times slower than
/// usual, and the network round trip. A host that gets no answer renews by itself well within its
/// lease.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(600);
/// Fleet size from which on urgent changes are renewed through the relay as well. A partition of
/// the store takes 300 transactions a second, so 40 simultaneous renewals take about as long as a
/// relay collects requests.
pub const MAX_DIRECT_HOSTS: usize = 40;
/// Time for which a relay that did not answer is not used: two renewal intervals.
pub const UNRESPONSIVE_TERM: Duration = Duration::from_secs(8);
/// Entries that the store accepts in one transaction.
pub const MAX_ENTRIES: usize = 100;
/// Entries for the epoch of the groups: the condition on its row.
const EPOCH_ENTRIES: usize = 1;
/// Entries for each host of a batch: the condition on its row and the new row.
const ENTRIES_PER_HOST: usize = 2;

wire_type! {
    /// A host's request to have its lease renewed.
    pub struct RenewalRequest {
        /// Version of the host's row; 0 if it has none.
        pub own_version: u64,
        /// Digest of the versions of the rows that the host relies on.
        pub basis: u64,
        /// The row to write. The relay sets the end of the lease.
        pub record: HostRecord,
    }

    /// How recent the relay's copy of the endpoint registrations is.
    #[derive(Copy)]
    pub struct RegistrationView {
        /// Version of the table up to which the relay has read.
        pub as_of: u64,
        /// Version of the last change other than a heartbeat.
        pub changed: u64,
    }

    /// Summary of the relay's list of hosts.
    #[derive(Copy)]
    pub struct HostListView {
        /// Digest of the list, without the fields that change with each renewal.
        pub digest: u64,
        /// When the list was read.
        pub read_at: StoreInstant,
        /// Earliest end of the leases that were valid at that time.
        pub until: StoreInstant,
    }

    /// Answer to a host whose lease was renewed.
    pub struct RenewalAnswer {
        /// New version of the host's row.
        pub version: u64,
        /// The store's clock when the row was written.
        pub now: StoreInstant,
        /// Registrations, if the relay could read them after the request came.
        pub registrations: Option<RegistrationView>,
        /// Hosts, if the relay could read them after the request came.
        pub hosts: Option<HostListView>,
    }
}

value_type! {
    /// A request that waits at the relay.
    pub struct QueuedRenewal {
        /// Number of the call at the requesting host.
        pub call: u64,
        /// Address to answer; none for the relay's own request.
        pub address: Option<SocketAddr>,
        /// When the requesting host stops waiting for an answer.
        pub deadline: BootInstant,
        /// The request.
        pub request: RenewalRequest,
    }

    /// Requests taken out of the queue.
    #[derive(Default)]
    pub struct RenewalBatch {
        /// Requests to renew together.
        pub agreed: Vec<QueuedRenewal>,
        /// Requests to refuse: they rely on other rows than the relay, or are past their deadline.
        pub declined: Vec<QueuedRenewal>,
    }
}

/// Requests that wait at the relay.
#[derive(Default)]
pub struct RenewalQueue {
    waiting: Vec<QueuedRenewal>,
}

impl RenewalQueue {
    /// Adds a request. It replaces an earlier one of the same host, whose sender no longer waits
    /// for it.
    ///
    /// ```
    /// # use tanagerdeal_core::ledger::renewal::{QueuedRenewal, RenewalQueue};
    /// fn enqueue(queue: &mut RenewalQueue, renewal: QueuedRenewal) {
    ///     queue.add(renewal);
    ///     assert!(!queue.is_empty());
    /// }
    /// ```
    pub fn add(&mut self, renewal: QueuedRenewal) {
        let host = renewal.request.record.host.clone();
        self.waiting.retain(|other| other.request.record.host != host);
        self.waiting.push(renewal);
    }

    /// Takes the requests out of the queue that rely on the rows of `basis`, at most `max_hosts`.
    /// Further ones stay queued. All others are refused.
    ///
    /// ```
    /// use tanagerdeal_core::ledger::clock::BootInstant;
    /// use tanagerdeal_core::ledger::renewal::RenewalQueue;
    ///
    /// let batch = RenewalQueue::default().take(7, 30, BootInstant::from_micros(0));
    /// assert!(batch.agreed.is_empty() && batch.declined.is_empty());
    /// ```
    pub fn take(&mut self, basis: u64, max_hosts: usize, now: BootInstant) -> RenewalBatch {
        let mut batch = RenewalBatch::default();
        for renewal in std::mem::take(&mut self.waiting) {
            let is_current = now < renewal.deadline;
            match renewal.request.basis == basis && is_current {
                true if batch.agreed.len() < max_hosts => batch.agreed.push(renewal),
                true => self.waiting.push(renewal),
                false => batch.declined.push(renewal),
            }
        }
        batch
    }

    /// Whether no request waits.
    ///
    /// ```
    /// assert!(tanagerdeal_core::ledger::renewal::RenewalQueue::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

/// Whether a lease relies on the rows of all groups beside their epoch, when it also relies on
/// `other_rows` rows. It does while a host of a build without the epoch is live. With more groups
/// than fit into a renewal, such a build holds no lease and so changes no group.
///
/// ```
/// use tanagerdeal_core::ledger::renewal::relies_on_group_rows;
///
/// assert!(relies_on_group_rows(20, 4, false));
/// assert!(!relies_on_group_rows(20, 4, true));
/// assert!(!relies_on_group_rows(3_100, 4, false));
/// ```
pub fn relies_on_group_rows(groups: usize, other_rows: usize, is_epoch_sufficient: bool) -> bool {
    let entries = groups + other_rows + EPOCH_ENTRIES + ENTRIES_PER_HOST;
    !is_epoch_sufficient && entries <= MAX_ENTRIES
}

/// Number of hosts that one transaction can renew when all of them rely on `relied_rows` rows; at
/// least one.
///
/// ```
/// use tanagerdeal_core::ledger::renewal::max_batch;
///
/// // A large site: the configuration, five failure domains and the epoch of the groups.
/// assert_eq!(max_batch(7), 46);
/// ```
pub fn max_batch(relied_rows: usize) -> usize {
    (MAX_ENTRIES.saturating_sub(relied_rows) / ENTRIES_PER_HOST).max(1)
}

/// Digest of the rows that a lease relies on, given as table, key and version in any order.
///
/// ```
/// use tanagerdeal_core::ledger::renewal::renewal_basis;
///
/// let basis = |version| renewal_basis([("groups", "g1", version)].into_iter());
/// assert_eq!(basis(3), basis(3));
/// assert_ne!(basis(3), basis(4));
/// ```
pub fn renewal_basis<'a>(rows: impl Iterator<Item = (&'a str, &'a str, u64)>) -> u64 {
    let hashes = rows.map(|(table, key, version)| {
        let names = table.bytes().chain([0]).chain(key.bytes()).chain([0]);
        hash_bytes(names.chain(version.to_le_bytes()))
    });
    hashes.fold(0, u64::wrapping_add)
}

/// The host that renews and reads for the others of a failure domain: of the live hosts that are
/// not `is_silent`, one with the fastest link, since it sends pages of rows to all others. Ties are
/// broken by an order that differs by domain. A host that is alone in its domain has no relay.
///
/// ```
/// use tanagerdeal_core::ledger::clock::StoreInstant;
/// use tanagerdeal_core::ledger::renewal::relay;
///
/// assert_eq!(relay(&[], StoreInstant::from_millis(0), "d1", &|_| false), None);
/// ```
pub fn relay<'a>(
    hosts: &'a [HostEntry],
    read_at: StoreInstant,
    domain: &str,
    is_silent: &dyn Fn(&str) -> bool,
) -> Option<&'a str> {
    let live = live_hosts(hosts, read_at).filter(|host| host.domain == domain);
    let live: Vec<&HostRecord> = live.collect();
    let order = |name: &str| hash_bytes(domain.bytes().chain([0]).chain(name.bytes()));
    let answering = live.iter().filter(|host| !is_silent(&host.host));
    let first = answering.min_by_key(|host| (Reverse(host.link_mbps), order(&host.host)));
    first.map(|host| host.host.as_str()).filter(|_| live.len() > 1)
}

/// Time until the hosts of a failure domain renew next. They all renew at multiples of the interval
/// in the store's clock, with an offset that differs by domain.
///
/// ```
/// use std::time::Duration;
/// use tanagerdeal_core::ledger::clock::StoreInstant;
/// use tanagerdeal_core::ledger::renewal::time_to_renewal_slot;
///
/// let interval = Duration::from_millis(4_000);
/// let wait = time_to_renewal_slot(StoreInstant::from_millis(9_000), interval, "d");
/// let slot = StoreInstant::from_millis(9_000).after(wait);
/// assert!(wait <= interval && time_to_renewal_slot(slot, interval, "d") == interval);
/// ```
pub fn time_to_renewal_slot(now: StoreInstant, interval: Duration, domain: &str) -> Duration {
    let interval_ms = u64::try_from(interval.as_millis()).unwrap_or(u64::MAX).max(1);
    let phase_ms = hash_bytes(domain.bytes()) % interval_ms;
    Duration::from_millis(interval_ms - (now.as_millis() + phase_ms) % interval_ms)
}

/// Summary of the relay's list of hosts, as sent to other hosts.
///
/// ```
/// use tanagerdeal_core::ledger::clock::StoreInstant;
/// use tanagerdeal_core::ledger::renewal::list_view;
///
/// let read_at = StoreInstant::from_millis(5);
/// assert_eq!(list_view(&[], read_at).until, read_at);
/// ```
pub fn list_view(hosts: &[HostEntry], read_at: StoreInstant) -> HostListView {
    let live = hosts.iter().filter(|entry| entry.record.until > read_at);
    let until = live.map(|entry| entry.record.until).min().unwrap_or(read_at);
    let bytes = hosts.iter().flat_map(|entry| {
        let record = &entry.record;
        let is_live = record.until > read_at;
        let names = record.host.bytes().chain([0]).chain(record.domain.bytes()).chain([0]);
        let peers = record.peers.to_string().into_bytes();
        let flags = [u8::from(record.is_leaving), u8::from(is_live)];
        let suspects = record.suspects.iter().flat_map(|id| id.bytes().chain([0]));
        names.chain(record.incarnation.to_le_bytes()).chain(peers).chain(flags).chain(suspects)
    });
    HostListView { digest: hash_bytes(bytes), read_at, until }
}

/// Applies a relay's summary if the list of hosts differs only by renewals, and returns whether
/// that is so. Otherwise the list has to be read.
///
/// ```
/// use tanagerdeal_core::ledger::clock::StoreInstant;
/// use tanagerdeal_core::ledger::renewal::{apply_view, list_view};
///
/// let mut read_at = StoreInstant::from_millis(5);
/// let view = list_view(&[], StoreInstant::from_millis(9));
/// assert!(apply_view(&mut [], &mut read_at, &view));
/// assert_eq!(read_at, view.read_at);
/// ```
pub fn apply_view(
    hosts: &mut [HostEntry],
    read_at: &mut StoreInstant,
    view: &HostListView,
) -> bool {
    let is_same = list_view(hosts, *read_at).digest == view.digest;
    if is_same && view.read_at > *read_at {
        let live = hosts.iter_mut().filter(|entry| entry.record.until > *read_at);
        live.for_each(|entry| entry.record.until = entry.record.until.max(view.until));
        *read_at = view.read_at;
    }
    is_same
}
