//! Window on the statements in flight to one endpoint, adapted to their latency.

use std::time::{Duration, Instant};

use super::WorkLane;

/// Statements in flight at the start; each member runs two or three at once.
const FIRST_WINDOW: f64 = 4.0;

/// Bounds of the window. Connections are far scarcer than the upper bound.
const LEAST_WINDOW: f64 = 1.0;
const MOST_WINDOW: f64 = 64.0;

/// Latency, as a multiple of the least seen, above which the window shrinks. Statements of one kind
/// differ in their cost, so that a low multiple would take a mix of them for overload.
const LATENCY_MULTIPLE: f64 = 8.0;

/// Factor by which the window shrinks, and the shortest time between two reductions.
const DECREASE: f64 = 0.7;
const DECREASE_PAUSE: Duration = Duration::from_millis(100);

/// Weight of a new latency in the average.
const LATENCY_GAIN: f64 = 0.125;

/// Time after which the least latency is measured anew, because the work or the endpoint may have
/// changed.
const LEAST_KEPT: Duration = Duration::from_secs(30);

/// Shortest latency that counts as the least, so that rounding does not decide the multiple.
const LEAST_LATENCY: Duration = Duration::from_micros(200);

/// Additive increase and multiplicative decrease around a multiple of the least latency.
pub(super) struct LatencyWindow {
    size: f64,
    multiple: f64,
    least: [Option<Duration>; 2],
    previous: [Option<Duration>; 2],
    measured_since: Option<Instant>,
    reduced_at: Option<Instant>,
}

impl Default for LatencyWindow {
    fn default() -> Self {
        Self {
            size: FIRST_WINDOW,
            multiple: 1.0,
            least: [None; 2],
            previous: [None; 2],
            measured_since: None,
            reduced_at: None,
        }
    }
}

impl LatencyWindow {
    /// Whether one more statement may run.
    pub(super) fn has_room(&self, running: u32) -> bool {
        f64::from(running) + 1.0 <= self.size
    }

    /// Statements that may run in addition.
    pub(super) fn room(&self, running: u32) -> u32 {
        (self.size as u32).saturating_sub(running)
    }

    /// Takes the latency of a statement into account; `running` includes it.
    pub(super) fn note(&mut self, now: Instant, lane: WorkLane, took: Duration, running: u32) {
        self.renew_least(now);
        let took = took.max(LEAST_LATENCY);
        let least = &mut self.least[lane as usize];
        let current = least.map_or(took, |least| least.min(took));
        *least = Some(current);
        let least = self.previous[lane as usize].map_or(current, |previous| previous.min(current));
        let multiple = took.as_secs_f64() / least.as_secs_f64();
        self.multiple += LATENCY_GAIN * (multiple - self.multiple);
        let may_reduce = self.reduced_at.is_none_or(|at| now >= at + DECREASE_PAUSE);
        match self.multiple > LATENCY_MULTIPLE {
            true if may_reduce => {
                self.size = (self.size * DECREASE).max(LEAST_WINDOW);
                self.reduced_at = Some(now);
            }
            // The window grows only while it is what limits the work.
            false if f64::from(running) + 1.0 > self.size => {
                self.size = (self.size + 1.0 / self.size).min(MOST_WINDOW);
            }
            _ => {}
        }
    }

    fn renew_least(&mut self, now: Instant) {
        let since = *self.measured_since.get_or_insert(now);
        if now >= since + LEAST_KEPT {
            self.previous = std::mem::take(&mut self.least);
            self.measured_since = Some(now);
        }
    }
}
