//! Recent demand for a resource on this host, and the pace of requests for loans.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use tanagerdeal_wire::HostName;

/// Time constant of the average demand.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);

/// Time constant of the average demand that shows a sudden rise.
const RISE_WINDOW: Duration = Duration::from_millis(100);

/// Time for which a peak of connections counts as demand.
const PEAK_KEPT: Duration = Duration::from_secs(2);

/// Shortest time between two requests for the same resource to the same host. It is longer than
/// [`BORROW_TIMEOUT`], so that never two are in flight.
const PEER_PAUSE: Duration = Duration::from_millis(300);

/// Time after which a request for a loan counts as unanswered.
pub(crate) const BORROW_TIMEOUT: Duration = Duration::from_millis(200);

/// Shortest and longest time between two rounds of requests for one resource. The pause doubles
/// with each round that brings nothing, which bounds the messages for a customer over its rate.
const LEAST_PAUSE: Duration = Duration::from_millis(20);
const MOST_PAUSE: Duration = Duration::from_secs(1);

/// Time without an answer after which a host is silent, and time after which it is asked again.
const SILENCE_AFTER: Duration = Duration::from_millis(100);
const SILENCE_KEPT: Duration = Duration::from_secs(10);

/// Longest pause between rounds for which a request waits. A longer one follows several rounds that
/// brought nothing, which are a sign of a customer over its rate.
const WAITED_PAUSE: Duration = Duration::from_millis(40);

/// Averages of requests a second, decaying exponentially.
#[derive(Default)]
pub(crate) struct DemandMeter {
    per_s: f64,
    rising_per_s: f64,
    noted_at: Option<Instant>,
}

/// Highest number of connections wanted at once lately.
#[derive(Default)]
pub(crate) struct PeakMeter {
    current: u64,
    previous: u64,
    since: Option<Instant>,
}

/// Requests for loans of one resource.
#[derive(Default)]
pub(crate) struct BorrowPace {
    asked: HashMap<HostName, Instant>,
    /// Hosts that have not answered, since when.
    pending: HashMap<HostName, Instant>,
    open: Vec<Instant>,
    next_round: Option<Instant>,
    pause: Duration,
    /// Units that each host of the last round was asked for.
    wanted: u64,
}

impl DemandMeter {
    /// Counts one request.
    pub(crate) fn note(&mut self, now: Instant) {
        self.per_s = self.rate(now) + 1.0 / DEMAND_WINDOW.as_secs_f64();
        self.rising_per_s =
            self.rising_per_s * self.decay(now, RISE_WINDOW) + 1.0 / RISE_WINDOW.as_secs_f64();
        self.noted_at = Some(now);
    }

    /// Requests a second.
    pub(crate) fn rate(&self, now: Instant) -> f64 {
        self.per_s * self.decay(now, DEMAND_WINDOW)
    }

    /// Requests a second without the latest one: a single request is no lasting demand.
    pub(crate) fn lasting_rate(&self, now: Instant) -> f64 {
        let decay = self.decay(now, DEMAND_WINDOW);
        (self.per_s - 1.0 / DEMAND_WINDOW.as_secs_f64()).max(0.0) * decay
    }

    /// Requests a second in the last moments, without the latest one.
    pub(crate) fn rising_rate(&self, now: Instant) -> f64 {
        let decay = self.decay(now, RISE_WINDOW);
        (self.rising_per_s - 1.0 / RISE_WINDOW.as_secs_f64()).max(0.0) * decay
    }

    fn decay(&self, now: Instant, window: Duration) -> f64 {
        let passed = self.noted_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        (-passed.as_secs_f64() / window.as_secs_f64()).exp()
    }
}

impl PeakMeter {
    /// Counts connections wanted at this instant.
    pub(crate) fn note(&mut self, now: Instant, wanted: u64) {
        let since = *self.since.get_or_insert(now);
        if now >= since + PEAK_KEPT {
            self.previous = std::mem::take(&mut self.current);
            self.since = Some(now);
        }
        self.current = self.current.max(wanted);
    }

    /// The highest number.
    pub(crate) fn peak(&self) -> u64 {
        self.current.max(self.previous)
    }
}

impl BorrowPace {
    /// Whether a new round of requests may be sent.
    pub(crate) fn may_ask(&self, now: Instant) -> bool {
        self.next_round.is_none_or(|at| now >= at)
    }

    /// Whether a host may be asked.
    pub(crate) fn may_ask_host(&self, now: Instant, host: &HostName) -> bool {
        self.asked.get(host).is_none_or(|at| now >= *at + PEER_PAUSE)
    }

    /// Notes that a round begins, with the units that each host is asked for. A round to
    /// the home is followed by one to others without a longer pause.
    pub(crate) fn begin_round(&mut self, now: Instant, units: u64, is_home: bool) {
        self.wanted = units;
        self.pause = match is_home {
            true => self.pause.max(LEAST_PAUSE),
            false => (self.pause * 2).clamp(LEAST_PAUSE, MOST_PAUSE),
        };
        self.next_round = Some(now + self.pause);
        self.asked.retain(|_, at| now < *at + PEER_PAUSE);
        self.pending.retain(|_, at| now < *at + SILENCE_KEPT);
    }

    /// Whether a host has left a request unanswered for so long that another one takes its place
    /// for a while.
    pub(crate) fn is_silent(&self, now: Instant, host: &HostName) -> bool {
        let asked_at = self.pending.get(host).copied();
        asked_at.is_some_and(|at| now >= at + SILENCE_AFTER && now < at + SILENCE_KEPT)
    }

    /// Notes that a round to all hosts begins, with the next one after a fixed interval.
    pub(crate) fn begin_regular(&mut self, now: Instant, interval: Duration) {
        self.next_round = Some(now + interval);
    }

    /// Notes that a host was asked.
    pub(crate) fn ask(&mut self, now: Instant, host: HostName) {
        self.pending.entry(host.clone()).or_insert(now);
        self.asked.insert(host, now);
        self.open.push(now + BORROW_TIMEOUT);
    }

    /// Notes an answer. A loan makes the next round worth while at once.
    pub(crate) fn answer(&mut self, now: Instant, units: u64) {
        self.open.retain(|until| *until > now);
        self.open.pop();
        if units > 0 {
            self.pause = Duration::ZERO;
            self.next_round = Some(now + LEAST_PAUSE);
        }
    }

    /// Notes an answer to a request for tokens. A host that lent all that was
    /// asked for may have more at once; others are drained, as they are for a customer over its rate.
    pub(crate) fn answer_tokens(
        &mut self,
        now: Instant,
        host: &HostName,
        is_full: impl Fn(u64) -> bool,
    ) {
        self.open.retain(|until| *until > now);
        self.open.pop();
        self.pending.remove(host);
        if self.wanted > 0 && is_full(self.wanted) {
            self.pause = Duration::ZERO;
            self.next_round = Some(now);
            self.asked.remove(host);
        }
    }

    /// Whether an answer is expected, or a round by an instant may bring tokens.
    pub(crate) fn may_bring(&self, now: Instant, until: Instant) -> bool {
        let has_round = self.next_round.is_some_and(|at| at <= until);
        self.is_open(now) || (has_round && self.pause <= WAITED_PAUSE)
    }

    /// Whether an answer is still expected.
    pub(crate) fn is_open(&self, now: Instant) -> bool {
        self.open.iter().any(|until| *until > now)
    }

    /// Forgets requests without an answer.
    pub(crate) fn prune(&mut self, now: Instant) {
        self.open.retain(|until| *until > now);
    }
}
