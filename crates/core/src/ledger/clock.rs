//! Instants of the host's and the store's clock.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tanagerdeal_wire::scalar_type;

scalar_type! {
    /// An instant of this machine's boot clock, in microseconds. It keeps counting while the
    /// machine is suspended, so deadlines that pass meanwhile are noticed.
    pub struct BootInstant(u64);

    /// An instant of the table service's monotonic clock, in milliseconds.
    #[derive(Default, Deserialize, Serialize)]
    pub struct StoreInstant(u64);
}

impl BootInstant {
    /// The instant `micros` microseconds after the machine started.
    ///
    /// ```
    /// use tanagerdeal_core::ledger::clock::BootInstant;
    ///
    /// assert!(BootInstant::from_micros(1) < BootInstant::from_micros(2));
    /// ```
    pub fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Microseconds since the machine started.
    pub fn as_micros(self) -> u64 {
        self.0
    }

    /// The instant a duration later.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use tanagerdeal_core::ledger::clock::BootInstant;
    ///
    /// let start = BootInstant::from_micros(5);
    /// assert_eq!(start.after(Duration::from_micros(2)), BootInstant::from_micros(7));
    /// ```
    pub fn after(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)))
    }

    /// The instant a duration earlier, but not before the start of the machine.
    pub fn before(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)))
    }

    /// Time since an earlier instant; zero if `earlier` is later.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use tanagerdeal_core::ledger::clock::BootInstant;
    ///
    /// let (early, late) = (BootInstant::from_micros(5), BootInstant::from_micros(7));
    /// assert_eq!(late.since(early), Duration::from_micros(2));
    /// assert_eq!(early.since(late), Duration::ZERO);
    /// ```
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl StoreInstant {
    /// The instant at which the store's clock shows `millis`.
    ///
    /// ```
    /// use tanagerdeal_core::ledger::clock::StoreInstant;
    ///
    /// assert_eq!(StoreInstant::from_millis(7).as_millis(), 7);
    /// ```
    pub fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Milliseconds of the store's clock.
    pub fn as_millis(self) -> u64 {
        self.0
    }

    /// The instant a duration later.
    pub fn after(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)))
    }

    /// The instant a duration earlier, but not before the start of the clock.
    pub fn before(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)))
    }

    /// Time since an earlier instant; zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}
