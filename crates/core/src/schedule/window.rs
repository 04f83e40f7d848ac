//! Concurrency window for the statements in flight to one endpoint, adapted to their latency.

use std::time::{Duration, Instant};

use super::WorkLane;

/// Initial window; each member runs two or three statements at once.
const INITIAL_WINDOW: f64 = 4.0;

/// Bounds of the window. The number of connections is far below the upper bound.
const MIN_WINDOW: f64 = 1.0;
const MAX_WINDOW: f64 = 64.0;

/// Ratio of the average latency to the baseline above which the window shrinks. Statements of one
/// kind differ in cost, so a low ratio would take a mix of them for an overload.
const MAX_LATENCY_RATIO: f64 = 8.0;

/// Factor by which the window shrinks, and the minimum time between two reductions.
const DECREASE_FACTOR: f64 = 0.7;
const DECREASE_INTERVAL: Duration = Duration::from_millis(100);

/// Weight of a new latency in the average.
const LATENCY_GAIN: f64 = 0.125;

/// Time after which the baseline is measured anew, because the workload or the endpoint may have
/// changed.
const BASELINE_PERIOD: Duration = Duration::from_secs(30);

/// Minimum latency in the computation, so that measurement granularity does not determine the
/// ratio.
const MIN_LATENCY: Duration = Duration::from_micros(200);

/// Window with additive increase and multiplicative decrease, driven by the ratio of latencies to a
/// baseline. The baseline is the lowest latency of a lane in the current and the previous period.
pub(super) struct ConcurrencyWindow {
    size: f64,
    mean_ratio: f64,
    baseline: [Option<Duration>; 2],
    previous_baseline: [Option<Duration>; 2],
    baseline_since: Option<Instant>,
    decreased_at: Option<Instant>,
}

impl Default for ConcurrencyWindow {
    fn default() -> Self {
        Self {
            size: INITIAL_WINDOW,
            mean_ratio: 1.0,
            baseline: [None; 2],
            previous_baseline: [None; 2],
            baseline_since: None,
            decreased_at: None,
        }
    }
}

impl ConcurrencyWindow {
    /// Whether one more statement may run.
    pub(super) fn has_room(&self, running: u32) -> bool {
        f64::from(running) + 1.0 <= self.size
    }

    /// Number of further statements that may run.
    pub(super) fn room(&self, running: u32) -> u32 {
        (self.size as u32).saturating_sub(running)
    }

    /// Records the latency of a statement; `running` includes it.
    pub(super) fn record(&mut self, now: Instant, lane: WorkLane, latency: Duration, running: u32) {
        self.rotate_baseline(now);
        let latency = latency.max(MIN_LATENCY);
        let baseline = &mut self.baseline[lane as usize];
        let current = baseline.map_or(latency, |baseline| baseline.min(latency));
        *baseline = Some(current);
        let baseline = self.previous_baseline[lane as usize]
            .map_or(current, |previous_baseline| previous_baseline.min(current));
        let latency_ratio = latency.as_secs_f64() / baseline.as_secs_f64();
        self.mean_ratio += LATENCY_GAIN * (latency_ratio - self.mean_ratio);
        let may_decrease = self.decreased_at.is_none_or(|at| now >= at + DECREASE_INTERVAL);
        match self.mean_ratio > MAX_LATENCY_RATIO {
            true if may_decrease => {
                self.size = (self.size * DECREASE_FACTOR).max(MIN_WINDOW);
                self.decreased_at = Some(now);
            }
            // The window grows only while it is the limiting factor.
            false if f64::from(running) + 1.0 > self.size => {
                self.size = (self.size + 1.0 / self.size).min(MAX_WINDOW);
            }
            _ => {}
        }
    }

    fn rotate_baseline(&mut self, now: Instant) {
        let since = *self.baseline_since.get_or_insert(now);
        if now >= since + BASELINE_PERIOD {
            self.previous_baseline = std::mem::take(&mut self.baseline);
            self.baseline_since = Some(now);
        }
    }
}
