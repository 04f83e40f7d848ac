//! Cost of control on one host, as slopes over the number of hosts, groups, customers and changes.
//!
//! Several decision cores run in one process on virtual time. Messages between them are encoded as on
//! the wire and counted; members and the table service are modelled as far as the cores need them.

mod commit;
mod cost;
mod fleet;
mod session;
mod table;

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};
use tanagerdeal_wire::{value_type, wire_type};

use fleet::CoreFleet;

pub use commit::{CommitCost, measure_commits};
pub use cost::HostCost;
pub use session::{SessionCost, measure_sessions};

/// Virtual time before the measurement, in which hosts find each other and take their shares.
const WARM_UP: Duration = Duration::from_secs(20);

/// Virtual time that is measured.
const MEASURED: Duration = Duration::from_secs(20);

value_type! {
    /// One fleet to be measured.
    #[derive(Copy)]
    pub struct CapacityCase {
        /// Failure domains.
        pub domains: usize,
        /// Hosts.
        pub hosts: usize,
        /// Groups of three members.
        pub groups: usize,
        /// Customers, each with a key.
        pub customers: usize,
        /// Changes of records in the measured time.
        pub changes: usize,
    }
}

wire_type! {
    /// What one fleet cost.
    pub struct CapacityResult {
        /// Failure domains.
        pub domains: usize,
        /// Hosts.
        pub hosts: usize,
        /// Groups of three members.
        pub groups: usize,
        /// Customers, each with a key.
        pub customers: usize,
        /// Changes of records in the measured time.
        pub changes: usize,
        /// Mean over all hosts.
        pub mean: HostCost,
        /// Host with the most bytes, a relay as a rule.
        pub busiest: HostCost,
        /// Reads of the store a second by all hosts.
        pub store_reads_per_s: u64,
        /// Writes of the store a second by all hosts, heartbeats included.
        pub store_writes_per_s: u64,
        /// Resident memory of the process per host in KB, the shared model included.
        pub memory_kb: u64,
        /// Longest time in milliseconds from a change until all hosts had it in effect.
        pub slowest_change_ms: u64,
    }
}

/// Runs one fleet and returns its cost.
///
/// ```no_run
/// use tanagerdeal_testbed::capacity::{CapacityCase, run_case};
///
/// let case = CapacityCase { domains: 3, hosts: 9, groups: 3, customers: 8, changes: 0 };
/// assert!(run_case(&case).mean.bytes_per_s > 0);
/// ```
pub fn run_case(case: &CapacityCase) -> CapacityResult {
    let memory_before = resident_kb("self");
    let mut fleet = CoreFleet::new(case);
    fleet.run(WARM_UP);
    let memory_after = resident_kb("self");
    fleet.reset_costs();
    let slowest = run_changes(&mut fleet, case.changes);
    let seconds = fleet.measured().as_secs_f64().max(1.0);
    let costs = fleet.costs(seconds);
    let (reads, writes) = fleet.store_calls();
    let per_s = |count: u64| (count as f64 / seconds).round() as u64;
    let hosts = case.hosts.max(1) as u64;
    CapacityResult {
        domains: case.domains,
        hosts: case.hosts,
        groups: case.groups,
        customers: case.customers,
        changes: case.changes,
        mean: HostCost::mean(&costs),
        busiest: costs.iter().max_by_key(|cost| cost.bytes_per_s).cloned().unwrap_or_default(),
        store_reads_per_s: per_s(reads),
        store_writes_per_s: per_s(writes),
        memory_kb: memory_after.saturating_sub(memory_before) / hosts,
        slowest_change_ms: u64::try_from(slowest.as_millis()).unwrap_or(u64::MAX),
    }
}

/// Spreads the changes evenly over the measured time and waits for each to be in effect.
fn run_changes(fleet: &mut CoreFleet, changes: usize) -> Duration {
    let Some(pause) = MEASURED.checked_div(u32::try_from(changes).unwrap_or(u32::MAX)) else {
        fleet.run(MEASURED);
        return Duration::ZERO;
    };
    let mut slowest = Duration::ZERO;
    for number in 0..changes {
        let took = fleet.change(number);
        slowest = slowest.max(took);
        fleet.run(pause.saturating_sub(took));
    }
    slowest
}

/// Resident memory of a process, or of this one as `self`, in KB; 0 where the system does not tell.
fn resident_kb(process: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
}

/// Processor time of this thread that a closure took, which other processes do not change.
fn timed<T>(action: impl FnOnce() -> T) -> (T, Duration) {
    let started_at = thread_time();
    let value = action();
    (value, thread_time().saturating_sub(started_at))
}

fn thread_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::try_from(time).unwrap_or_default()
}
