//! Faults of the platform that tests set, and counts of its calls.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use tanagerdeal_wire::{value_type, wire_type};

wire_type! {
    /// Faults and limits of the platform; body of `POST /control/faults`, where fields that are not
    /// named keep their value.
    #[serde(default)]
    pub struct PlatformFaults {
        /// Every call is refused with 503.
        pub refuse_all: bool,
        /// Milliseconds by which each answer is delayed.
        pub delay_ms: u64,
        /// The connection breaks in place of the answer of as many of the next writes, after they
        /// took effect.
        pub lose_writes: u32,
        /// Calls from these hosts (header `x-host`) are refused.
        pub refuse_hosts: Vec<String>,
        /// Calls from these failure domains (header `x-domain`) are refused.
        pub refuse_domains: Vec<String>,
        /// Reads a second beyond which calls are refused.
        pub reads_per_s: u32,
        /// Writes a second beyond which calls are refused.
        pub writes_per_s: u32,
        /// Milliseconds by which the host list lags.
        pub host_lag_ms: u64,
        /// Milliseconds without a heartbeat after which a host leaves the list.
        pub host_expiry_ms: u64,
    }

    /// Calls of one caller.
    #[derive(Copy, Default)]
    pub struct CallCounts {
        /// Calls that only read, heartbeats excluded.
        pub reads: u64,
        /// Transactions and stored objects.
        pub writes: u64,
        /// Heartbeats.
        pub heartbeats: u64,
        /// Calls of any kind that were refused.
        pub refused: u64,
    }
}

impl Default for PlatformFaults {
    fn default() -> Self {
        Self {
            refuse_all: false,
            delay_ms: 0,
            lose_writes: 0,
            refuse_hosts: Vec::new(),
            refuse_domains: Vec::new(),
            reads_per_s: 2_000,
            writes_per_s: 400,
            host_lag_ms: 2_000,
            host_expiry_ms: 9_000,
        }
    }
}

value_type! {
    /// What a call does, for counting and for the budget.
    #[derive(Copy)]
    pub(super) enum CallKind {
        Read,
        Write,
        Heartbeat,
    }
}

/// Calls admitted in the current second, and all calls by caller.
#[derive(Default)]
pub(super) struct CallLedger {
    window: Option<Instant>,
    reads: u32,
    writes: u32,
    pub(super) callers: BTreeMap<String, CallCounts>,
}

impl CallLedger {
    /// Counts a call and decides whether it is served.
    pub(super) fn admit(
        &mut self,
        now: Instant,
        faults: &PlatformFaults,
        kind: CallKind,
        host: &str,
        domain: &str,
    ) -> bool {
        if self.window.is_none_or(|start| now.duration_since(start) >= Duration::from_secs(1)) {
            (self.window, self.reads, self.writes) = (Some(now), 0, 0);
        }
        let named = |list: &[String], name: &str| list.iter().any(|entry| entry == name);
        let refused = faults.refuse_all
            || named(&faults.refuse_hosts, host)
            || named(&faults.refuse_domains, domain)
            || self.over_budget(faults, kind);
        let counts = self.callers.entry(host.to_owned()).or_default();
        match kind {
            _ if refused => counts.refused += 1,
            CallKind::Read => counts.reads += 1,
            CallKind::Write => counts.writes += 1,
            CallKind::Heartbeat => counts.heartbeats += 1,
        }
        !refused
    }

    fn over_budget(&mut self, faults: &PlatformFaults, kind: CallKind) -> bool {
        match kind {
            CallKind::Read => {
                self.reads += 1;
                self.reads > faults.reads_per_s
            }
            CallKind::Write => {
                self.writes += 1;
                self.writes > faults.writes_per_s
            }
            CallKind::Heartbeat => false,
        }
    }
}
