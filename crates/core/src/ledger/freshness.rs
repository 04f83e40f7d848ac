//! Whether the configuration that decides on the access of clients is current, and when to read it.
//!
//! A configuration counts as fresh for a limited time after a call that has shown it to be the
//! newest one. Renewals confirm it in the first part of that time. If none has, the host reads it in
//! the rest, which leaves room for one call without a reply and for a second one on a new
//! connection.

use std::time::Duration;

use super::clock::BootInstant;
use super::state::HostState;

/// Part of the limit, in percent, that is left for reads when no renewal has confirmed the
/// configuration.
const READ_RESERVE_PERCENT: u32 = 20;
/// Time from the first read to the second, in percent of the limit. Each further interval is twice
/// as long, as a slow store needs more time.
const FIRST_INTERVAL_PERCENT: u32 = 8;
/// Longest time from one read to the next, in percent of the limit. It bounds how long a host takes
/// to notice that the store answers again.
const MAX_INTERVAL_PERCENT: u32 = 25;

/// When to begin to read the configuration that counts as fresh until `deadline`, a time `limit`
/// after it was last confirmed.
///
/// ```
/// use std::time::Duration;
///
/// use tanagerdeal_core::ledger::clock::BootInstant;
/// use tanagerdeal_core::ledger::freshness::first_read_at;
///
/// let deadline = BootInstant::from_micros(3_000_000);
/// let begin = first_read_at(deadline, Duration::from_secs(3));
/// assert_eq!(begin, BootInstant::from_micros(2_400_000));
/// ```
pub fn first_read_at(deadline: BootInstant, limit: Duration) -> BootInstant {
    deadline.before(limit * READ_RESERVE_PERCENT / 100)
}

/// Time from the beginning of a read, before which `failures` reads have failed, to the next one.
/// The read is given up then.
///
/// ```
/// use std::time::Duration;
///
/// use tanagerdeal_core::ledger::freshness::read_interval;
///
/// let interval = |failures| read_interval(Duration::from_secs(3), failures).as_millis();
/// assert_eq!([interval(0), interval(1), interval(2), interval(99)], [240, 480, 750, 750]);
/// ```
pub fn read_interval(limit: Duration, failures: u32) -> Duration {
    let doubled = 2_u32.saturating_pow(failures);
    let interval = (limit * FIRST_INTERVAL_PERCENT / 100).saturating_mul(doubled);
    interval.min(limit * MAX_INTERVAL_PERCENT / 100)
}

impl HostState {
    /// Records that the configuration was confirmed to be the newest one, and that it counts as
    /// fresh until `deadline`.
    ///
    /// ```
    /// use tanagerdeal_core::ledger::clock::BootInstant;
    /// use tanagerdeal_core::ledger::state::HostState;
    ///
    /// let at = BootInstant::from_micros;
    /// let mut state = HostState::new("h1", "d1", Default::default(), at(0));
    /// state.confirm_catalog(at(9));
    /// assert!(state.is_catalog_fresh(at(8)) && !state.is_catalog_fresh(at(9)));
    /// ```
    pub fn confirm_catalog(&mut self, deadline: BootInstant) {
        self.catalog_deadline = self.catalog_deadline.max(deadline);
    }

    /// Until when the configuration counts as fresh; the start of the clock if it was never
    /// confirmed.
    pub fn catalog_deadline(&self) -> BootInstant {
        self.catalog_deadline
    }

    /// Whether the configuration was confirmed so recently that a newer one need not be in force
    /// yet.
    pub fn is_catalog_fresh(&self, now: BootInstant) -> bool {
        now < self.catalog_deadline
    }
}
