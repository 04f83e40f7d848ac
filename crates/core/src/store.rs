//! Calls of the store in flight, back-off, and when the store was last reached.

use std::time::{Duration, Instant};

use rand::Rng as _;
use rand::rngs::SmallRng;
use tanagerdeal_wire::value_type;

/// Maximum back-off of a relay; the return of the store is noticed within that time.
const MAX_RELAY_BACKOFF: Duration = Duration::from_secs(2);

/// Maximum back-off of any other host. With 1,500 hosts the attempts during an outage then stay at
/// about 200 per second, below the limit of the store.
const MAX_BACKOFF: Duration = Duration::from_secs(8);

/// A read without an answer for this long counts as a failure to reach the store.
const UNANSWERED_AFTER: Duration = Duration::from_millis(700);

/// Time for which a failed attempt is reported to other hosts. Relays retry more often than that.
const FAILURE_REPORTED_FOR: Duration = Duration::from_secs(4);

/// Time for which a failed attempt counts on this host, which may be one that retries rarely.
const FAILURE_KEPT_FOR: Duration = Duration::from_secs(20);

value_type! {
    /// A read of the change feed in flight.
    #[derive(Copy)]
    pub struct FeedRead {
        /// Revision after which entries were requested.
        pub after: u64,
        /// When it was sent.
        pub sent_at: Instant,
    }
}

/// Connection state of the store as seen by this host.
#[derive(Default)]
pub struct StoreState {
    /// The reads of the change feed in flight, in the order in which they were sent.
    pub feed: Vec<FeedRead>,
    /// Revision up to which this host has read the change feed from the store itself. The feed
    /// contains leases, which other hosts do not relay.
    pub feed_revision: u64,
    /// When the next read of the change feed may be sent; absent before the first.
    pub feed_due: Option<Instant>,
    /// When a host that is not a relay reads the change feed itself; absent while other hosts keep
    /// its catalog fresh.
    pub fallback_at: Option<Instant>,
    /// When the next read of the host list is due; absent before the first.
    pub list_due: Option<Instant>,
    /// Whether a read of the host list is in flight.
    pub is_listing: bool,
    /// When the next heartbeat is due; absent before the first.
    pub heartbeat_due: Option<Instant>,
    reached_at: Option<Instant>,
    failed_at: Option<Instant>,
    consecutive_failures: u32,
}

impl StoreState {
    /// When the store last answered.
    pub(crate) fn reached_at(&self) -> Option<Instant> {
        self.reached_at
    }

    /// Records an answer of the store.
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
        self.consecutive_failures = 0;
    }

    /// Records a call that failed or timed out.
    pub fn note_failure(&mut self, now: Instant) {
        self.failed_at = Some(now);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
    }

    /// Whether the latest attempts to reach the store failed. A host that has not tried recently
    /// does not know, and returns `false`.
    pub fn is_failing(&self, now: Instant) -> bool {
        self.has_failed_within(now, FAILURE_REPORTED_FOR)
    }

    /// Whether the last attempt failed, even if it was several back-off intervals ago.
    pub(crate) fn has_failed(&self, now: Instant) -> bool {
        self.has_failed_within(now, FAILURE_KEPT_FOR)
    }

    fn has_failed_within(&self, now: Instant, max_age: Duration) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) <= max_age;
        let is_overdue =
            |feed: &FeedRead| now.saturating_duration_since(feed.sent_at) >= UNANSWERED_AFTER;
        self.failed_at.is_some_and(is_recent) || self.feed.iter().any(is_overdue)
    }

    /// Removes the answered read of the change feed from the reads in flight. The send time that
    /// the runtime records is slightly later than the core's, so of equal reads the answered one is
    /// the last that was sent by that time.
    pub(crate) fn end_read(&mut self, after: u64, asked_at: Instant) {
        let is_answered = |read: &FeedRead| read.after == after && read.sent_at <= asked_at;
        if let Some(index) = self.feed.iter().rposition(is_answered) {
            self.feed.remove(index);
        }
    }

    /// Whether the last attempt to reach the store failed and none has succeeded since.
    pub(crate) fn is_backing_off(&self) -> bool {
        self.consecutive_failures > 0
    }

    /// Back-off before the next attempt: it doubles with each failure up to a maximum, and up to
    /// half of it is random, so that hosts do not all return to a slow store at once.
    pub(crate) fn pause(&self, base: Duration, is_relay: bool, random: &mut SmallRng) -> Duration {
        let max_backoff = if is_relay { MAX_RELAY_BACKOFF } else { MAX_BACKOFF };
        let pause = base.saturating_mul(1 << self.consecutive_failures.min(6)).min(max_backoff);
        pause.mul_f64(random.random_range(0.5..1.0))
    }
}
