//! The lease of a host: until when it may act on the rows that it knows.
//!
//! A renewal is a write on condition that the catalog, the evacuations and the groups are those that
//! the host knows; a single row, the epoch, changes with any group. So a host that changes a row can tell which hosts no longer act
//! on the old one: those that have renewed since, and those whose leases have ended.

use std::net::SocketAddr;
use std::time::Duration;

use tanagerdeal_wire::wire_type;

use super::clock::{BootInstant, StoreInstant};
use super::extension::{ExtensionQuorum, FRESH_TERM};
use super::pooling::PoolOffer;

/// Validity of a lease. It outlasts the store's usual outages of up to 9 s by one renewal interval
/// of 4 s. A failover may have to wait that long for a host that is cut off.
pub const LEASE_TERM: Duration = Duration::from_secs(13);
/// Longest time between renewals, even if configuration changes may take longer to take effect.
pub const MAX_RENEW_INTERVAL: Duration = Duration::from_secs(4);
/// Margin by which the stored end of a lease is later than the end that its holder observes. It
/// covers the drift between two monotonic clocks over a lease.
const LEASE_MARGIN: Duration = Duration::from_millis(250);
/// Time from when a renewal is sent to the stored end of the lease.
pub(super) const STORED_LEASE_TERM: Duration = LEASE_TERM.saturating_add(LEASE_MARGIN);
/// Inverse of the largest rate at which two monotonic clocks drift apart. Quartz clocks stay below
/// a tenth of that rate.
const DRIFT_DIVISOR: u32 = 1_000;

wire_type! {
    /// The row of a host.
    pub struct HostRecord {
        /// Name of the host.
        pub host: String,
        /// Distinguishes the successive processes of a host.
        pub incarnation: u64,
        /// Failure domain.
        pub domain: String,
        /// Address for messages from other hosts.
        pub peers: SocketAddr,
        /// When the lease has certainly ended.
        pub until: StoreInstant,
        /// Identities of primaries that the host suspects.
        pub suspects: Vec<String>,
        /// Whether the host is shutting down.
        pub is_leaving: bool,
        /// Speed of its network link, in Mbit/s; 0 if unknown.
        #[serde(default)]
        pub link_mbps: u32,
        /// Quorum of lease extensions that the host needs once its lease is no longer fresh. `None`
        /// if it needs none.
        #[serde(default)]
        pub consent: Option<ExtensionQuorum>,
        /// Whether the host writes the epoch row with each change of a group.
        #[serde(default)]
        pub writes_epoch: bool,
        /// Time of day of the host minus the store's clock, in milliseconds. `None` in rows of
        /// builds that do not report usage.
        #[serde(default)]
        pub time_offset_ms: Option<i64>,
        /// Offer to run statements of other hosts. `None` in rows of builds that run none.
        #[serde(default)]
        pub pool: Option<PoolOffer>,
    }
}

/// A row of a host with its version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HostEntry {
    /// Version of the row.
    pub version: u64,
    /// Content of the row.
    pub record: HostRecord,
}

/// Reading of the store's monotonic clock, with the times of the call that returned it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoreClock {
    sent_at: BootInstant,
    received_at: BootInstant,
    now: StoreInstant,
}

/// The lease of this host.
#[derive(Default)]
pub struct HostLease {
    until: Option<BootInstant>,
    quorum: Option<ExtensionQuorum>,
    /// The largest quorum that was sent with renewals since the last successful one. The outer
    /// `None` means that there were none.
    attempted: Option<Option<ExtensionQuorum>>,
    clock: Option<StoreClock>,
}

impl StoreClock {
    /// Upper bound of the store's clock at `now`.
    pub fn latest(&self, now: BootInstant) -> StoreInstant {
        self.now.after(now.since(self.sent_at) + Duration::from_millis(1))
    }

    /// Lower bound of the store's clock at `now`.
    ///
    /// ```
    /// use tanagerdeal_core::ledger::clock::{BootInstant, StoreInstant};
    /// use tanagerdeal_core::ledger::lease::HostLease;
    ///
    /// let at = |millis: u64| BootInstant::from_micros(millis * 1_000);
    /// let mut lease = HostLease::default();
    /// lease.note_clock(at(10), at(30), StoreInstant::from_millis(500));
    /// let clock = lease.clock().unwrap();
    /// assert_eq!(clock.earliest(at(40)), StoreInstant::from_millis(510));
    /// assert_eq!(clock.latest(at(40)), StoreInstant::from_millis(531));
    /// // Whoever reads 510 there knows that it was not before 19 here.
    /// assert_eq!(clock.not_after(StoreInstant::from_millis(510)), at(19));
    /// ```
    pub fn earliest(&self, now: BootInstant) -> StoreInstant {
        let passed = now.since(self.received_at);
        let missing = self.received_at.since(now) + Duration::from_micros(999);
        match passed.is_zero() {
            true => self.now.before(missing),
            false => self.now.after(passed),
        }
    }

    /// A local instant no later than the one at which the store's clock showed `time`.
    pub fn not_after(&self, time: StoreInstant) -> BootInstant {
        let forward = time.since(self.now);
        let instant = match forward.is_zero() {
            true => self.sent_at.before(self.now.since(time)),
            false => self.sent_at.after(forward),
        };
        instant.before(Duration::from_millis(1))
    }

    /// Distance between the bounds of the store's clock at `now`.
    fn uncertainty(&self, now: BootInstant) -> Duration {
        self.received_at.since(self.sent_at) + now.since(self.received_at) / DRIFT_DIVISOR
    }
}

impl HostLease {
    /// Records the store's clock from the reply to a call that was sent at `sent_at` and received
    /// at `received_at`, unless an earlier reply gives tighter bounds.
    pub fn note_clock(
        &mut self,
        sent_at: BootInstant,
        received_at: BootInstant,
        now: StoreInstant,
    ) {
        let clock = StoreClock { sent_at, received_at, now };
        let uncertainty = clock.uncertainty(received_at);
        if self.clock.is_none_or(|known| uncertainty <= known.uncertainty(received_at)) {
            self.clock = Some(clock);
        }
    }

    /// The store's clock, once a reply has shown it.
    pub fn clock(&self) -> Option<StoreClock> {
        self.clock
    }

    /// The end of the lease to store with a renewal that is sent at `sent_at`.
    pub fn stored_end(&self, sent_at: BootInstant) -> Option<StoreInstant> {
        let clock = self.clock.as_ref()?;
        Some(clock.latest(sent_at).after(STORED_LEASE_TERM))
    }

    /// Records the quorum of a renewal that is being sent. Until a renewal has succeeded, the row
    /// may hold the quorum of any attempt, so the largest numbers apply.
    pub fn note_attempt(&mut self, quorum: Option<ExtensionQuorum>) {
        let known = self.attempted.flatten();
        self.attempted = Some(match (known, quorum) {
            (Some(known), Some(quorum)) => Some(known.max(quorum)),
            (known, quorum) => known.or(quorum),
        });
    }

    /// Records the success of a renewal that was sent at `sent_at`.
    ///
    /// ```
    /// use tanagerdeal_core::ledger::clock::BootInstant;
    /// use tanagerdeal_core::ledger::lease::{HostLease, LEASE_TERM};
    ///
    /// let sent_at = BootInstant::from_micros(10);
    /// let mut lease = HostLease::default();
    /// assert!(!lease.is_valid(sent_at));
    /// lease.renewed(sent_at);
    /// assert!(lease.is_valid(sent_at));
    /// assert!(!lease.is_valid(sent_at.after(LEASE_TERM)));
    /// ```
    pub fn renewed(&mut self, sent_at: BootInstant) {
        let until = sent_at.after(LEASE_TERM);
        self.until = Some(self.until.map_or(until, |known| known.max(until)));
        self.quorum = self.attempted.take().unwrap_or(self.quorum);
    }

    /// The quorum of extensions that the holder needs once the lease is no longer fresh.
    pub fn quorum(&self) -> Option<ExtensionQuorum> {
        self.quorum
    }

    /// When the last successful renewal was sent.
    pub fn renewed_at(&self) -> Option<BootInstant> {
        self.until.map(|until| until.before(LEASE_TERM))
    }

    /// Whether the lease was renewed so recently that the holder needs no extensions.
    pub fn is_fresh(&self, now: BootInstant) -> bool {
        self.renewed_at().is_some_and(|renewed_at| now < renewed_at.after(FRESH_TERM))
    }

    /// Whether the lease is valid at `now`.
    pub fn is_valid(&self, now: BootInstant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// When the lease ends.
    pub fn until(&self) -> Option<BootInstant> {
        self.until
    }
}
