//! The host list, served with a lag.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use tanagerdeal_wire::HostName;
use tanagerdeal_wire::platform::{HostEntry, HostList};

/// Least time between two kept snapshots of the list.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(50);

/// Snapshots kept; with [`SNAPSHOT_INTERVAL`] they cover a lag of up to 60 s.
const SNAPSHOT_COUNT: usize = 1_200;

/// Hosts with a recent heartbeat, and the list as it was at earlier times.
#[derive(Default)]
pub(super) struct HostTable {
    heartbeats: BTreeMap<HostName, (Instant, HostEntry)>,
    snapshots: VecDeque<(Instant, HostList)>,
}

impl HostTable {
    pub(super) fn beat(&mut self, now: Instant, entry: HostEntry) {
        self.heartbeats.insert(entry.host.clone(), (now, entry));
    }

    /// Drops silent hosts and keeps a snapshot of the list.
    pub(super) fn tick(&mut self, now: Instant, expiry: Duration) {
        self.heartbeats.retain(|_, (heard_at, _)| now.duration_since(*heard_at) < expiry);
        let last = self.snapshots.back().map(|(at, _)| *at);
        if last.is_none_or(|at| now.duration_since(at) >= SNAPSHOT_INTERVAL) {
            self.snapshots.push_back((now, self.current()));
        }
        while self.snapshots.len() > SNAPSHOT_COUNT {
            self.snapshots.pop_front();
        }
    }

    /// The list as it was `lag` ago; empty before the first snapshot of that age.
    pub(super) fn list(&self, now: Instant, lag: Duration) -> HostList {
        if lag.is_zero() {
            return self.current();
        }
        let mut old = self.snapshots.iter().rev();
        let found = old.find(|(at, _)| now.duration_since(*at) >= lag);
        found.map_or_else(|| HostList { hosts: Vec::new() }, |(_, list)| list.clone())
    }

    fn current(&self) -> HostList {
        HostList { hosts: self.heartbeats.values().map(|(_, entry)| entry.clone()).collect() }
    }
}
