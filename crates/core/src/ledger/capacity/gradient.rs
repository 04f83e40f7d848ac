//! Number of statements in flight at which throughput is at its best, found by comparison of the
//! durations at two levels.

/// Replies that are taken at one level before the other one follows.
const EPOCH_REPLIES: u32 = 16;
/// Epochs of one comparison: lower and upper level alternate as in base, trial, trial, base, which
/// cancels a steady drift of the speed.
const EPOCHS: usize = 4;
/// Comparisons after which a trial ends.
const MAX_COMPARISONS: u32 = 8;
/// Difference of two epochs at one level, as a logarithm, above which the speed has changed within
/// the comparison. Three standard errors at a spread of 0.7.
const MAX_DRIFT: f64 = 0.75;
/// Elasticity of duration over concurrency below which another statement in flight is worthwhile.
/// At 1, throughput does not rise with concurrency; at 0, it rises in proportion.
const RAISE_ELASTICITY: f64 = 0.8;
/// Elasticity above which a statement fewer costs no noticeable throughput. The distance to the
/// former is a hysteresis.
const LOWER_ELASTICITY: f64 = 0.9;
/// Replies at the limit between two trials, while neither has changed the level.
const MIN_REST_REPLIES: u32 = 64;
const MAX_REST_REPLIES: u32 = 1_024;

/// Direction and size of a trial.
#[derive(Clone, Copy, Eq, PartialEq)]
enum TrialStep {
    Up,
    /// A third fewer, to come down quickly to a level that is far below the slots.
    DownFar,
    Down,
}

/// A level that is being compared with the present one.
struct LevelTrial {
    step: TrialStep,
    level: u32,
    epoch: usize,
    replies: u32,
    sums: [f64; EPOCHS],
    /// Sum over the comparisons of the logarithm of the duration at the upper level relative to the
    /// lower one.
    rise: f64,
    comparisons: u32,
    discarded: u32,
}

/// Limit on the statements in flight.
pub(super) struct GradientWindow {
    level: u32,
    max: u32,
    trial: Option<LevelTrial>,
    next: TrialStep,
    rest: u32,
    rest_replies: u32,
    /// Successive replies at the limit.
    full_replies: u32,
}

/// Result of a comparison.
#[derive(Clone, Copy, Eq, PartialEq)]
enum TrialVerdict {
    Move,
    Keep,
    Undecided,
}

impl LevelTrial {
    fn new(step: TrialStep, level: u32) -> Self {
        let sums = [0.0; EPOCHS];
        Self { step, level, epoch: 0, replies: 0, sums, rise: 0.0, comparisons: 0, discarded: 0 }
    }

    fn is_at_trial(&self) -> bool {
        matches!(self.epoch, 1 | 2)
    }

    /// Ends a comparison, in which each level had two epochs.
    fn close(&mut self, base: u32, variance: f64) -> TrialVerdict {
        let [first, second, third, fourth] =
            std::mem::take(&mut self.sums).map(|sum| sum / f64::from(EPOCH_REPLIES));
        self.epoch = 0;
        let is_steady = (first - fourth).abs() < MAX_DRIFT && (second - third).abs() < MAX_DRIFT;
        match is_steady {
            true => {
                let difference = (second + third - first - fourth) / 2.0;
                self.rise += if self.level > base { difference } else { -difference };
                self.comparisons += 1;
            }
            false => self.discarded += 1,
        }
        self.verdict(base, variance)
    }

    fn verdict(&self, base: u32, variance: f64) -> TrialVerdict {
        if self.comparisons == 0 {
            return TrialVerdict::Undecided;
        }
        let (lower, upper) = (base.min(self.level), base.max(self.level));
        let ratio = (f64::from(upper) / f64::from(lower)).ln();
        let rise = self.rise / f64::from(self.comparisons);
        // Two means, each of two epochs.
        let replies = f64::from(self.comparisons * EPOCH_REPLIES * 2);
        let error = (variance * 2.0 / replies).sqrt();
        let is_over = self.comparisons + self.discarded >= MAX_COMPARISONS;
        match self.step {
            TrialStep::Up if rise + error < RAISE_ELASTICITY * ratio => TrialVerdict::Move,
            TrialStep::Up if rise - error > RAISE_ELASTICITY * ratio => TrialVerdict::Keep,
            TrialStep::Up if is_over => TrialVerdict::Keep,
            TrialStep::Up => TrialVerdict::Undecided,
            _ if rise - error > LOWER_ELASTICITY * ratio => TrialVerdict::Move,
            _ if rise + error < LOWER_ELASTICITY * ratio => TrialVerdict::Keep,
            _ if is_over && rise > LOWER_ELASTICITY * ratio => TrialVerdict::Move,
            _ if is_over => TrialVerdict::Keep,
            _ => TrialVerdict::Undecided,
        }
    }
}

impl GradientWindow {
    /// A window that starts from the slots of an endpoint. One more covers the round trip.
    pub(super) fn new(slots: u32) -> Self {
        let slots = slots.max(1);
        Self {
            level: slots,
            max: slots.saturating_add(1),
            trial: None,
            next: TrialStep::DownFar,
            rest: MIN_REST_REPLIES,
            rest_replies: MIN_REST_REPLIES,
            full_replies: 0,
        }
    }

    /// Statements that may run at once now: the level, or that of the trial.
    pub(super) fn limit(&self) -> u32 {
        let trial = self.trial.as_ref().filter(|trial| trial.is_at_trial());
        trial.map_or(self.level, |trial| trial.level)
    }

    /// Examines the level soon, because the endpoint's speed has changed.
    pub(super) fn examine(&mut self) {
        self.rest_replies = MIN_REST_REPLIES;
        self.rest = self.rest.min(MIN_REST_REPLIES);
    }

    /// Records the logarithm of a duration relative to its class, with the variance of such values.
    /// Only replies after a full turnover at the limit count: before, the statement has run at
    /// another level.
    pub(super) fn record(&mut self, relative: f64, variance: f64, running: u32) {
        let limit = self.limit();
        self.full_replies = if running == limit { self.full_replies + 1 } else { 0 };
        if self.full_replies <= limit {
            return;
        }
        let base = self.level;
        let Some(trial) = &mut self.trial else {
            self.rest = self.rest.saturating_sub(1);
            if self.rest == 0 {
                self.start();
            }
            return;
        };
        trial.sums[trial.epoch] += relative;
        trial.replies += 1;
        if trial.replies < EPOCH_REPLIES {
            return;
        }
        (trial.replies, trial.epoch) = (0, trial.epoch + 1);
        self.full_replies = 0;
        if trial.epoch < EPOCHS {
            return;
        }
        match trial.close(base, variance) {
            TrialVerdict::Undecided => {}
            verdict => self.finish(verdict),
        }
    }

    fn start(&mut self) {
        let level = match self.next {
            TrialStep::Up => self.level + 1,
            TrialStep::DownFar => self.level - (self.level / 3).max(1),
            TrialStep::Down => self.level - 1,
        };
        match level {
            0 => self.next = TrialStep::Up,
            level if level > self.max => self.next = TrialStep::Down,
            level => self.trial = Some(LevelTrial::new(self.next, level)),
        }
    }

    fn finish(&mut self, verdict: TrialVerdict) {
        let Some(trial) = self.trial.take() else { return };
        let is_single = trial.level + 1 == self.level;
        if verdict == TrialVerdict::Move {
            self.level = trial.level;
            (self.rest_replies, self.rest) = (MIN_REST_REPLIES, 1);
            self.next = match trial.step {
                TrialStep::Up => TrialStep::Up,
                _ => TrialStep::DownFar,
            };
            return;
        }
        self.next = match trial.step {
            TrialStep::Up => TrialStep::Down,
            TrialStep::DownFar if !is_single => TrialStep::Down,
            _ => TrialStep::Up,
        };
        self.rest = self.rest_replies;
        self.rest_replies = (self.rest_replies * 2).min(MAX_REST_REPLIES);
    }
}
