//! How many statements an endpoint takes well, and how fast it is.

use std::collections::HashMap;
use std::time::Duration;

use tanagerdeal_wire::scalar_type;

use super::clock::BootInstant;

const UNKNOWN_SERVICE_TIME: Duration = Duration::from_millis(20);
const SERVICE_GAIN: f64 = 0.1;

scalar_type! {
    /// What a statement does.
    pub enum WorkKind {
        /// Reads data.
        Read,
        /// Changes data.
        Write,
        /// Ends a transaction.
        Commit,
    }

    /// Class of statements that take about as long as each other.
    pub struct WorkClass {
        /// Hash of the name of the database.
        pub route: u64,
        /// What the statement does.
        pub kind: WorkKind,
    }
}

/// Stand-in with a fixed limit and mean service times, until the real one is merged.
pub struct EndpointCapacity {
    slots: u32,
    means: HashMap<WorkClass, Duration>,
}

impl EndpointCapacity {
    /// An endpoint that has not replied yet.
    pub fn new(slots: u32) -> Self {
        Self { slots, means: HashMap::new() }
    }

    /// Adopts the registered slots.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Statements that may run at once; at least 1.
    pub fn limit(&self) -> u32 {
        self.slots.max(1)
    }

    /// Records a reply.
    pub fn record(&mut self, _now: BootInstant, work: WorkClass, took: Duration, _running: u32) {
        let mean = self.means.entry(work).or_insert(took);
        *mean = mean.mul_f64(1.0 - SERVICE_GAIN) + took.mul_f64(SERVICE_GAIN);
    }

    /// Records that the endpoint refused work because it is full.
    pub fn record_full(&mut self, _now: BootInstant) {}

    /// Records that there was no reply.
    pub fn record_failure(&mut self, _now: BootInstant) {}

    /// Expected service time.
    pub fn service_time(&self, work: WorkClass) -> Duration {
        self.means.get(&work).copied().unwrap_or(UNKNOWN_SERVICE_TIME)
    }
}
