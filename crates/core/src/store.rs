//! Calls of the platform in flight, and when the platform was last reached.

use std::time::{Duration, Instant};

use rand::Rng as _;
use rand::rngs::SmallRng;
use tanagerdeal_wire::value_type;

/// Longest pause between attempts of a relay; a store that returns is noticed within that time.
const MAX_RELAY_PAUSE: Duration = Duration::from_secs(2);

/// Longest pause between attempts of any other host. At 1,500 hosts the attempts during an outage
/// then stay at about 200 a second, below what the store allows.
const MAX_PAUSE: Duration = Duration::from_secs(8);

/// A call without an answer for this long counts as a sign that the store is not reachable.
const SILENT_AFTER: Duration = Duration::from_millis(700);

/// How long a failed attempt is worth a report to other hosts; relays try more often than that.
const FAILURE_RECENT: Duration = Duration::from_secs(4);

/// How long a failed attempt counts for the host itself, which may be one that seldom tries.
const FAILURE_KNOWN: Duration = Duration::from_secs(20);

value_type! {
    /// A read of the change feed in flight.
    #[derive(Copy)]
    pub struct FeedRead {
        /// Revision after which entries were asked for.
        pub after: u64,
        /// When it was sent.
        pub sent_at: Instant,
    }
}

/// What this host knows about the platform.
#[derive(Default)]
pub struct StoreState {
    /// The reads of the change feed in flight, in the order in which they were sent.
    pub feed: Vec<FeedRead>,
    /// Revision up to which this host has read the feed itself, with the leases that other hosts do not
    /// relay.
    pub feed_revision: u64,
    /// When the next read of the change feed may be sent; absent before the first.
    pub feed_due: Option<Instant>,
    /// When a host that is no relay reads the change feed itself; absent while others keep it fresh.
    pub fallback_at: Option<Instant>,
    /// When the host list is read next.
    pub list_due: Option<Instant>,
    /// Whether a read of the host list is in flight.
    pub is_listing: bool,
    /// When the next heartbeat is due.
    pub heartbeat_due: Option<Instant>,
    reached_at: Option<Instant>,
    failed_at: Option<Instant>,
    failures: u32,
}

impl StoreState {
    /// When the platform last answered.
    pub(crate) fn reached_at(&self) -> Option<Instant> {
        self.reached_at
    }

    /// Notes an answer of the platform.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use tanagerdeal_core::store::StoreState;
    ///
    /// let now = Instant::now();
    /// let mut store = StoreState::default();
    /// store.note_failure(now);
    /// assert!(store.is_failing(now));
    /// store.note_answer(now);
    /// assert!(!store.is_failing(now));
    /// ```
    pub fn note_answer(&mut self, now: Instant) {
        self.reached_at = self.reached_at.max(Some(now));
        self.failed_at = None;
        self.failures = 0;
    }

    /// Notes a call that failed, or was not answered in time.
    pub fn note_failure(&mut self, now: Instant) {
        self.failed_at = Some(now);
        self.failures = self.failures.saturating_add(1);
    }

    /// Whether the latest attempts to reach the platform failed. A host that has not tried for a
    /// while does not know, and says no.
    pub fn is_failing(&self, now: Instant) -> bool {
        self.has_failed_within(now, FAILURE_RECENT)
    }

    /// Whether the last attempt failed, even if it was some pauses ago.
    pub(crate) fn has_failed(&self, now: Instant) -> bool {
        self.has_failed_within(now, FAILURE_KNOWN)
    }

    fn has_failed_within(&self, now: Instant, limit: Duration) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) <= limit;
        let waits = |feed: &FeedRead| now.saturating_duration_since(feed.sent_at) >= SILENT_AFTER;
        self.failed_at.is_some_and(is_recent) || self.feed.iter().any(waits)
    }

    /// Takes the read of the change feed that was answered off the list. The runtime notes the time
    /// somewhat later than the core, so of equal reads it is the last one sent by then.
    pub(crate) fn end_read(&mut self, after: u64, asked_at: Instant) {
        let is_answered = |read: &FeedRead| read.after == after && read.sent_at <= asked_at;
        if let Some(place) = self.feed.iter().rposition(is_answered) {
            self.feed.remove(place);
        }
    }

    /// Whether the last attempt to reach the platform failed and none has succeeded since.
    pub(crate) fn is_backing_off(&self) -> bool {
        self.failures > 0
    }

    /// Pause before the next attempt: twice as long after each failure, half of it random, so that
    /// hosts do not return to a slow store all at once.
    pub(crate) fn pause(&self, base: Duration, is_relay: bool, random: &mut SmallRng) -> Duration {
        let longest = if is_relay { MAX_RELAY_PAUSE } else { MAX_PAUSE };
        let pause = base.saturating_mul(1 << self.failures.min(6)).min(longest);
        pause.mul_f64(random.random_range(0.5..1.0))
    }
}
