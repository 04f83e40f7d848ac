//! Detects that a host is cut off with its failure domain while other domains can serve its
//! clients.
//!
//! A single host that reaches neither the store nor enough others is cut off as well: its lease may
//! not be used.
//!
//! Clients still reach the hosts of a failure domain that is cut off. These hosts can use only the
//! primaries of their own domain, and the hosts of the other domains can use all the others. Unlike
//! the loss of endpoints, a cut shows in that no host of another failure domain answers either.

use std::time::Duration;

use super::clock::BootInstant;
use super::lease::HostRecord;
use super::state::HostState;
use super::suspicion;

/// Interval between pings of the hosts of other failure domains.
pub const PING_INTERVAL: Duration = Duration::from_millis(200);
/// Time without an answer after which a host considers itself cut off: two pings, and an answer
/// delayed by a busy processor.
const NO_ANSWER_LIMIT: Duration = Duration::from_millis(500);
/// Hosts that are pinged in each other failure domain, as one may be down.
const MAX_PINGED_PER_DOMAIN: usize = 3;
/// Time after which the load balancer sends clients to other hosts: it checks once a second, and
/// removes a host after two failed checks.
pub const LOAD_BALANCER_DETECTION_TIME: Duration = Duration::from_millis(2_200);

/// Tells whether hosts of other failure domains answer while a primary there does not.
#[derive(Debug, Default)]
pub struct IsolationProbe {
    asked_since: Option<BootInstant>,
    answered_at: Option<BootInstant>,
}

impl IsolationProbe {
    /// Records whether this host may be cut off. Returns whether to ping other hosts.
    ///
    /// ```
    /// use tanagerdeal_core::ledger::clock::BootInstant;
    /// use tanagerdeal_core::ledger::isolation::IsolationProbe;
    ///
    /// let at = |millis: u64| BootInstant::from_micros(millis * 1_000);
    /// let mut probe = IsolationProbe::default();
    /// assert!(probe.tick(true, at(0)) && !probe.is_isolated(at(400)));
    /// assert!(probe.tick(true, at(500)) && probe.is_isolated(at(500)));
    /// ```
    pub fn tick(&mut self, may_be_cut_off: bool, now: BootInstant) -> bool {
        match may_be_cut_off {
            true => self.asked_since = self.asked_since.or(Some(now)),
            false => *self = Self::default(),
        }
        may_be_cut_off
    }

    /// Records an answer of a host of another failure domain.
    pub fn note_answer(&mut self, now: BootInstant) {
        self.answered_at = Some(now);
    }

    /// Whether hosts of other failure domains have been pinged for a while and none has answered.
    pub fn is_isolated(&self, now: BootInstant) -> bool {
        let has_timed_out = |since: BootInstant| now >= since.after(NO_ANSWER_LIMIT);
        self.asked_since.is_some_and(has_timed_out) && self.answered_at.is_none_or(has_timed_out)
    }
}

impl HostState {
    /// Whether this host may be cut off from most groups: their primaries are in other failure
    /// domains, and one of these does not reply.
    ///
    /// ```
    /// use tanagerdeal_core::ledger::state::HostState;
    /// use tanagerdeal_core::ledger::clock::BootInstant;
    ///
    /// let now = BootInstant::from_micros(0);
    /// assert!(!HostState::new("h1", "d1", Default::default(), now).may_be_cut_off(now));
    /// ```
    pub fn may_be_cut_off(&self, now: BootInstant) -> bool {
        let groups = self.groups.entries().count();
        let primaries = self.groups.entries().filter_map(|entry| {
            let key = self.endpoints.find(&entry.record.primary)?;
            self.endpoints.get(key)
        });
        let remote: Vec<_> = primaries.filter(|state| state.record.domain != self.domain).collect();
        remote.len() * 2 > groups && remote.iter().any(|state| suspicion::is_suspect(state, now))
    }

    /// Whether this host may use no primary although its lease has not ended: it could not renew
    /// it, and neither the hosts of its failure domain nor those of the fleet extend it.
    ///
    /// ```
    /// use tanagerdeal_core::ledger::state::HostState;
    /// use tanagerdeal_core::ledger::clock::BootInstant;
    ///
    /// let now = BootInstant::from_micros(0);
    /// assert!(!HostState::new("h1", "d1", Default::default(), now).lacks_extensions(now));
    /// ```
    pub fn lacks_extensions(&self, now: BootInstant) -> bool {
        let needs_extensions = self.lease.is_valid(now) && !self.lease.is_fresh(now);
        let quorum = self.lease.quorum().filter(|_| needs_extensions);
        quorum.is_some_and(|quorum| !self.extensions.has_quorum(quorum, true, now))
    }

    /// The hosts to ping: some of each other failure domain.
    pub fn pinged_hosts(&self) -> Vec<&HostRecord> {
        let mut pinged: Vec<&HostRecord> = Vec::new();
        let others = self.hosts.iter().map(|entry| &entry.record);
        for record in others.filter(|record| record.domain != self.domain && !record.is_leaving) {
            let count = pinged.iter().filter(|other| other.domain == record.domain).count();
            if count < MAX_PINGED_PER_DOMAIN {
                pinged.push(record);
            }
        }
        pinged
    }
}
