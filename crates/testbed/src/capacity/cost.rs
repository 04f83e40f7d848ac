//! Cost of one host.

use std::time::Duration;

use tanagerdeal_wire::wire_type;

wire_type! {
    /// Cost of control on one host for a second.
    #[derive(Copy, Default)]
    pub struct HostCost {
        /// Processor time of the decision core in microseconds.
        pub core_us_per_s: u64,
        /// Encoded bytes sent to and received from other hosts.
        pub bytes_per_s: u64,
        /// Requests to and from other hosts.
        pub requests_per_s: u64,
        /// Probes of members.
        pub probes_per_s: u64,
    }
}

/// Counts since the last reset.
#[derive(Clone, Copy, Default)]
pub(super) struct CostCounter {
    pub(super) core: Duration,
    pub(super) bytes: u64,
    pub(super) requests: u64,
    pub(super) probes: u64,
}

impl CostCounter {
    pub(super) fn per_second(&self, seconds: f64) -> HostCost {
        let rate = |count: u64| (count as f64 / seconds).round() as u64;
        HostCost {
            core_us_per_s: rate(u64::try_from(self.core.as_micros()).unwrap_or(u64::MAX)),
            bytes_per_s: rate(self.bytes),
            requests_per_s: rate(self.requests),
            probes_per_s: rate(self.probes),
        }
    }
}

impl HostCost {
    /// Mean of several hosts.
    ///
    /// ```
    /// use tanagerdeal_testbed::capacity::HostCost;
    ///
    /// let cost = |bytes_per_s| HostCost { bytes_per_s, ..HostCost::default() };
    /// assert_eq!(HostCost::mean(&[cost(10), cost(20)]).bytes_per_s, 15);
    /// ```
    pub fn mean(costs: &[Self]) -> Self {
        let count = costs.len().max(1) as u64;
        let mean = |value: fn(&Self) -> u64| costs.iter().map(value).sum::<u64>() / count;
        Self {
            core_us_per_s: mean(|cost| cost.core_us_per_s),
            bytes_per_s: mean(|cost| cost.bytes_per_s),
            requests_per_s: mean(|cost| cost.requests_per_s),
            probes_per_s: mean(|cost| cost.probes_per_s),
        }
    }
}
