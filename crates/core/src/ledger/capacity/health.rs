//! Failures of an endpoint, and the limit that they put on the statements in flight.

use std::time::Duration;

use super::EndpointHealth;
use crate::ledger::clock::BootInstant;

/// Weight of a statement in the failure rate.
const FAILURE_GAIN: f64 = 1.0 / 16.0;
/// Failure rate from which on an endpoint gets less. Three failures among ten statements reach it.
const MAX_FAILURE_RATE: f64 = 0.15;
/// Least time between two reductions, because statements that were sent together fail together.
const CUT_INTERVAL: Duration = Duration::from_millis(100);
/// Pause before the next probe after the first failed one; it doubles with each further one.
const PROBE_PAUSE: Duration = Duration::from_millis(100);
/// Most doublings of the pause, so that an endpoint that returns is noticed within 0.4 s.
const MAX_PAUSE_DOUBLINGS: u32 = 2;
/// Successive replies for each step back up. They double with each relapse.
const STEP_REPLIES: u32 = 4;
/// Most doublings of these replies.
const MAX_RELAPSES: u32 = 4;
/// Time without a failure after which one relapse is forgotten.
const RELAPSE_TERM: Duration = Duration::from_secs(5);

/// Failures of an endpoint.
#[derive(Default)]
pub(super) struct HealthRecord {
    failure_rate: f64,
    /// Limit after refusals and failures; `None` if there is none.
    ceiling: Option<u32>,
    /// Whether the ceiling is due to failures.
    has_failed: bool,
    is_probing: bool,
    probe_at: Option<BootInstant>,
    failed_probes: u32,
    relapses: u32,
    /// When a failure or the end of a term last changed the relapses.
    relapse_at: Option<BootInstant>,
    cut_at: Option<BootInstant>,
    /// Successive replies since the last step.
    replies: u32,
}

impl HealthRecord {
    /// Limit on the statements in flight because of failures and refusals.
    pub(super) fn ceiling(&self) -> Option<u32> {
        self.ceiling
    }

    /// Whether a statement may be sent: not while a probe is not due.
    pub(super) fn may_send(&self, now: BootInstant) -> bool {
        !self.is_probing || self.probe_at.is_none_or(|at| now >= at)
    }

    pub(super) fn state(&self) -> EndpointHealth {
        match self.is_probing {
            true => EndpointHealth::Probing,
            false if self.has_failed => EndpointHealth::Failing,
            false => EndpointHealth::Usable,
        }
    }

    /// Records a reply of an endpoint whose limit without failures is `learned`.
    pub(super) fn note_reply(&mut self, now: BootInstant, learned: u32) {
        self.failure_rate -= FAILURE_GAIN * self.failure_rate;
        if self.relapse_at.is_some_and(|at| now >= at.after(RELAPSE_TERM)) {
            self.relapses = self.relapses.saturating_sub(1);
            self.relapse_at = (self.relapses > 0).then_some(now);
        }
        let Some(ceiling) = self.ceiling else { return };
        self.replies += 1;
        if self.replies < STEP_REPLIES << self.relapses.min(MAX_RELAPSES) {
            return;
        }
        self.replies = 0;
        match self.is_probing {
            true => self.leave_probing(),
            false if ceiling + 1 >= learned => (self.ceiling, self.has_failed) = (None, false),
            false => self.ceiling = Some(ceiling + 1),
        }
    }

    /// The ceiling of 1 stays, and later steps raise it.
    fn leave_probing(&mut self) {
        (self.is_probing, self.probe_at, self.failed_probes) = (false, None, 0);
        self.failure_rate = 0.0;
    }

    /// Records a refusal because the endpoint is full, at a limit of `limit`.
    pub(super) fn note_full(&mut self, now: BootInstant, limit: u32) {
        self.replies = 0;
        if self.may_cut(now) {
            self.ceiling = Some(limit.saturating_sub(1).max(1));
        }
    }

    /// Records a failure at a limit of `limit`.
    pub(super) fn note_failure(&mut self, now: BootInstant, limit: u32) {
        self.failure_rate += FAILURE_GAIN * (1.0 - self.failure_rate);
        self.replies = 0;
        self.relapse_at = self.relapse_at.map(|_| now);
        if self.is_probing {
            let doublings = self.failed_probes.min(MAX_PAUSE_DOUBLINGS);
            self.failed_probes = self.failed_probes.saturating_add(1);
            self.probe_at = Some(now.after(PROBE_PAUSE * (1 << doublings)));
            return;
        }
        if self.failure_rate < MAX_FAILURE_RATE || !self.may_cut(now) {
            return;
        }
        match limit {
            0 | 1 => self.begin_probing(now),
            limit => (self.ceiling, self.has_failed) = (Some(limit / 2), true),
        }
    }

    fn begin_probing(&mut self, now: BootInstant) {
        (self.ceiling, self.has_failed, self.is_probing) = (Some(1), true, true);
        self.probe_at = Some(now.after(PROBE_PAUSE));
        // The first time is no relapse: an endpoint that was stopped once returns quickly.
        self.relapses = (self.relapses + u32::from(self.relapse_at.is_some())).min(MAX_RELAPSES);
        self.relapse_at = Some(now);
    }

    fn may_cut(&mut self, now: BootInstant) -> bool {
        let may_cut = self.cut_at.is_none_or(|at| now >= at.after(CUT_INTERVAL));
        if may_cut {
            self.cut_at = Some(now);
        }
        may_cut
    }
}
