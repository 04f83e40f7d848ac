//! Recent demand for a resource on this host, and back-off of loan requests.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use tanagerdeal_wire::HostName;

/// Time constant of the average demand.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(1);

/// Time constant of the short-term average, which shows a sudden rise of demand.
const SHORT_TERM_TIME_CONSTANT: Duration = Duration::from_millis(100);

/// Minimum time for which a peak of connections counts as demand.
const PEAK_PERIOD: Duration = Duration::from_secs(2);

/// Minimum time between two requests for the same resource to the same host. It is longer than
/// [`BORROW_TIMEOUT`], so that there are never two in flight.
const PEER_REQUEST_INTERVAL: Duration = Duration::from_millis(300);

/// Time after which a loan request without an answer has timed out.
pub(crate) const BORROW_TIMEOUT: Duration = Duration::from_millis(200);

/// Shortest and longest time between two rounds of loan requests for one resource. The back-off
/// doubles with each round without a loan, which limits the messages for a customer over its rate.
const MIN_BACKOFF: Duration = Duration::from_millis(20);
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Time without an answer after which a host counts as unresponsive, and time after which it is
/// asked again.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(100);
const UNRESPONSIVE_RETRY: Duration = Duration::from_secs(10);

/// Longest back-off for which a request still waits for the next round. A longer one follows
/// several rounds without a loan, which indicates a customer over its rate.
const MAX_AWAITED_BACKOFF: Duration = Duration::from_millis(40);

/// Exponentially decaying averages of requests per second.
#[derive(Default)]
pub(crate) struct DemandMeter {
    mean_per_s: f64,
    short_term_per_s: f64,
    updated_at: Option<Instant>,
}

/// Highest number of connections wanted at once, over the current and the previous interval of
/// [`PEAK_PERIOD`].
#[derive(Default)]
pub(crate) struct PeakMeter {
    current: u64,
    previous: u64,
    since: Option<Instant>,
}

/// Loan requests for one resource: those in flight, and when more may be sent.
#[derive(Default)]
pub(crate) struct BorrowBackoff {
    last_asked: HashMap<HostName, Instant>,
    /// Hosts that have not answered, with the time of the first unanswered request.
    unanswered_since: HashMap<HostName, Instant>,
    in_flight: Vec<Instant>,
    next_round_at: Option<Instant>,
    delay: Duration,
    /// Units requested from each host in the last round.
    units_requested: u64,
}

impl DemandMeter {
    /// Counts one request.
    pub(crate) fn record(&mut self, now: Instant) {
        self.mean_per_s = self.rate(now) + 1.0 / DEMAND_TIME_CONSTANT.as_secs_f64();
        self.short_term_per_s = self.short_term_per_s * self.decay(now, SHORT_TERM_TIME_CONSTANT)
            + 1.0 / SHORT_TERM_TIME_CONSTANT.as_secs_f64();
        self.updated_at = Some(now);
    }

    /// Average requests per second.
    pub(crate) fn rate(&self, now: Instant) -> f64 {
        self.mean_per_s * self.decay(now, DEMAND_TIME_CONSTANT)
    }

    /// Average requests per second without the latest one: a single request is not sustained
    /// demand.
    pub(crate) fn sustained_rate(&self, now: Instant) -> f64 {
        let decay = self.decay(now, DEMAND_TIME_CONSTANT);
        (self.mean_per_s - 1.0 / DEMAND_TIME_CONSTANT.as_secs_f64()).max(0.0) * decay
    }

    /// Short-term average of requests per second without the latest one.
    pub(crate) fn short_term_rate(&self, now: Instant) -> f64 {
        let decay = self.decay(now, SHORT_TERM_TIME_CONSTANT);
        (self.short_term_per_s - 1.0 / SHORT_TERM_TIME_CONSTANT.as_secs_f64()).max(0.0) * decay
    }

    fn decay(&self, now: Instant, time_constant: Duration) -> f64 {
        let elapsed =
            self.updated_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        (-elapsed.as_secs_f64() / time_constant.as_secs_f64()).exp()
    }
}

impl PeakMeter {
    /// Records the number of connections wanted at an instant.
    pub(crate) fn record(&mut self, now: Instant, wanted: u64) {
        let since = *self.since.get_or_insert(now);
        if now >= since + PEAK_PERIOD {
            self.previous = std::mem::take(&mut self.current);
            self.since = Some(now);
        }
        self.current = self.current.max(wanted);
    }

    pub(crate) fn peak(&self) -> u64 {
        self.current.max(self.previous)
    }
}

impl BorrowBackoff {
    /// Whether a new round of requests may be sent.
    pub(crate) fn may_ask(&self, now: Instant) -> bool {
        self.next_round_at.is_none_or(|at| now >= at)
    }

    /// Whether enough time has passed since the last request to a host.
    pub(crate) fn may_ask_host(&self, now: Instant, host: &HostName) -> bool {
        self.last_asked.get(host).is_none_or(|at| now >= *at + PEER_REQUEST_INTERVAL)
    }

    /// Starts a round in which each host is asked for `units`. A round to the home host does not
    /// lengthen the back-off, so that a round to other hosts can follow soon.
    pub(crate) fn begin_round(&mut self, now: Instant, units: u64, is_home: bool) {
        self.units_requested = units;
        self.delay = match is_home {
            true => self.delay.max(MIN_BACKOFF),
            false => (self.delay * 2).clamp(MIN_BACKOFF, MAX_BACKOFF),
        };
        self.next_round_at = Some(now + self.delay);
        self.last_asked.retain(|_, at| now < *at + PEER_REQUEST_INTERVAL);
        self.unanswered_since.retain(|_, at| now < *at + UNRESPONSIVE_RETRY);
    }

    /// Whether a host has left a request unanswered for so long that another one takes its place
    /// for a while.
    pub(crate) fn is_silent(&self, now: Instant, host: &HostName) -> bool {
        let unanswered_at = self.unanswered_since.get(host).copied();
        unanswered_at
            .is_some_and(|at| now >= at + UNRESPONSIVE_AFTER && now < at + UNRESPONSIVE_RETRY)
    }

    /// Starts a round to all hosts at a fixed interval, without back-off.
    pub(crate) fn begin_regular(&mut self, now: Instant, interval: Duration) {
        self.next_round_at = Some(now + interval);
    }

    /// Records a request sent to a host.
    pub(crate) fn ask(&mut self, now: Instant, host: HostName) {
        self.unanswered_since.entry(host.clone()).or_insert(now);
        self.last_asked.insert(host, now);
        self.in_flight.push(now + BORROW_TIMEOUT);
    }

    /// Records an answer. A loan resets the back-off, because another round is likely to succeed as
    /// well.
    pub(crate) fn record_answer(&mut self, now: Instant, units: u64) {
        self.in_flight.retain(|until| *until > now);
        self.in_flight.pop();
        if units > 0 {
            self.delay = Duration::ZERO;
            self.next_round_at = Some(now + MIN_BACKOFF);
        }
    }

    /// Records an answer to a request for tokens. A host that lent the full amount may have more
    /// and can be asked again at once. Any other host has no tokens left, which is the case for all
    /// hosts when a customer is over its rate.
    pub(crate) fn record_token_answer(
        &mut self,
        now: Instant,
        host: &HostName,
        is_full_loan: impl Fn(u64) -> bool,
    ) {
        self.in_flight.retain(|until| *until > now);
        self.in_flight.pop();
        self.unanswered_since.remove(host);
        if self.units_requested > 0 && is_full_loan(self.units_requested) {
            self.delay = Duration::ZERO;
            self.next_round_at = Some(now);
            self.last_asked.remove(host);
        }
    }

    /// Whether an answer is outstanding, or a round that starts by `until` is likely to bring
    /// tokens.
    pub(crate) fn may_bring(&self, now: Instant, until: Instant) -> bool {
        let has_round = self.next_round_at.is_some_and(|at| at <= until);
        self.is_open(now) || (has_round && self.delay <= MAX_AWAITED_BACKOFF)
    }

    /// Whether a request is in flight that has not timed out.
    pub(crate) fn is_open(&self, now: Instant) -> bool {
        self.in_flight.iter().any(|until| *until > now)
    }

    /// Drops requests that timed out.
    pub(crate) fn prune(&mut self, now: Instant) {
        self.in_flight.retain(|until| *until > now);
    }
}
