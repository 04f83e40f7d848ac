//! Outcomes of the requests that were due in a part of a run.

use std::collections::{BTreeMap, HashMap};
use std::fmt;

use hdrhistogram::Histogram;
use tanagerdeal_testbed::check::RunFiles;
use tanagerdeal_testbed::history::{HistoryLine, Invocation, Outcome, OutcomeVerdict, RequestKind};
use tanagerdeal_wire::wire_type;

/// Longest latency that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;

/// SQLSTATE of a refusal for the customer's rate.
const RATE_REFUSED: &str = "53400";

wire_type! {
    /// A part of a whole, both counted.
    #[derive(Copy, Default)]
    pub struct CountRatio {
        pub part: u64,
        pub whole: u64,
    }

    /// Service over a time.
    #[derive(Default)]
    pub struct PhaseReport {
        pub requests: u64,
        pub answered: u64,
        pub on_time: u64,
        /// Requests whose connection broke or that were never answered.
        pub cut: u64,
        /// Refusals by SQLSTATE and verdict of the last attempt.
        pub refused: BTreeMap<String, u64>,
        /// Attempts refused for the customer's rate though one bucket for the fleet had a token.
        pub refused_inside_rate: u64,
        /// Percentiles 50 and 99 of answered requests, from when they were due.
        pub latency_us: [u64; 2],
    }
}

/// A logical request with its last outcome.
pub struct RequestView<'a> {
    pub first: &'a Invocation,
    pub last: Option<&'a Outcome>,
    /// Attempts refused for the customer's rate while it was within its rate.
    pub refused_inside: u64,
}

impl fmt::Display for CountRatio {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let percent = self.part as f64 * 100.0 / self.whole.max(1) as f64;
        write!(formatter, "{percent:.2}% ({} of {})", self.part, self.whole)
    }
}

impl RequestView<'_> {
    pub fn is_done(&self) -> bool {
        self.last.is_some_and(|outcome| outcome.verdict == OutcomeVerdict::Done)
    }

    pub fn latency_us(&self) -> u64 {
        self.last.map_or(0, |outcome| outcome.end_us.saturating_sub(self.first.due_us))
    }

    pub fn is_on_time(&self) -> bool {
        self.is_done() && self.latency_us() <= u64::from(self.first.deadline_ms) * 1_000
    }

    pub fn is_write(&self) -> bool {
        matches!(self.first.kind, RequestKind::Write | RequestKind::Transaction)
    }
}

/// Requests of a history by number.
pub fn join_requests<'a>(
    files: &'a RunFiles,
    limits: &HashMap<String, (u32, u32)>,
) -> BTreeMap<u64, RequestView<'a>> {
    let mut requests: BTreeMap<u64, RequestView<'_>> = BTreeMap::new();
    let mut attempts: BTreeMap<(u64, u32), (&Invocation, Option<&Outcome>)> = BTreeMap::new();
    for line in &files.history {
        match line {
            HistoryLine::Invoked(invocation) => {
                let view = RequestView { first: invocation, last: None, refused_inside: 0 };
                requests.entry(invocation.request).or_insert(view);
                attempts.insert((invocation.request, invocation.attempt), (invocation, None));
            }
            HistoryLine::Ended(outcome) => {
                if let Some(view) = requests.get_mut(&outcome.request) {
                    view.last = Some(outcome);
                }
                if let Some(attempt) = attempts.get_mut(&(outcome.request, outcome.attempt)) {
                    attempt.1 = Some(outcome);
                }
            }
            HistoryLine::Opened(_) => {}
        }
    }
    let mut ordered: Vec<_> = attempts.into_values().collect();
    ordered.sort_by_key(|(invocation, _)| invocation.start_us);
    for request in refused_inside(&ordered, limits) {
        if let Some(view) = requests.get_mut(&request) {
            view.refused_inside += 1;
        }
    }
    requests
}

/// Requests refused for the rate though one bucket for the whole fleet would have had a token.
///
/// The bucket starts full; an attempt that it would have admitted takes its token even when it was
/// refused, so that one token is not counted as missing for several requests.
fn refused_inside(
    attempts: &[(&Invocation, Option<&Outcome>)],
    limits: &HashMap<String, (u32, u32)>,
) -> Vec<u64> {
    let mut buckets: HashMap<&str, (f64, u64)> = HashMap::new();
    let mut refused = Vec::new();
    for (invocation, outcome) in attempts {
        let Some((rate, burst)) = limits.get(&invocation.customer) else { continue };
        let (burst, at_us) = (f64::from(*burst), invocation.start_us);
        let (tokens, since) = buckets.entry(&invocation.customer).or_insert((burst, at_us));
        let grown = (at_us - *since) as f64 * f64::from(*rate) / 1_000_000.0;
        (*tokens, *since) = ((*tokens + grown).min(burst), at_us);
        let is_refused = outcome.is_some_and(|outcome| outcome.sqlstate == RATE_REFUSED);
        match *tokens >= 1.0 {
            true if is_refused => refused.push(invocation.request),
            false if is_refused => continue,
            _ => {}
        }
        let taken = if is_refused { 1.0 } else { tokens_of(invocation) };
        *tokens = (*tokens - taken).max(0.0);
    }
    refused
}

/// Tokens that an admitted attempt takes: one for each statement, and for both ends of a transaction.
fn tokens_of(invocation: &Invocation) -> f64 {
    match invocation.kind {
        RequestKind::Transaction => invocation.items.len() as f64 + 2.0,
        _ => 1.0,
    }
}

impl PhaseReport {
    pub fn new<'a>(requests: impl Iterator<Item = &'a RequestView<'a>>) -> Self {
        let mut report = Self::default();
        let mut latency = Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, 3)
            .expect("the bounds and precision are valid");
        for request in requests {
            report.requests += 1;
            report.refused_inside_rate += request.refused_inside;
            report.on_time += u64::from(request.is_on_time());
            match request.last {
                Some(_) if request.is_done() => {
                    report.answered += 1;
                    latency.saturating_record(request.latency_us().max(1));
                }
                Some(outcome) if !is_cut(outcome.verdict) => {
                    let name = format!("{} {:?}", outcome.sqlstate, outcome.verdict);
                    *report.refused.entry(name).or_default() += 1;
                }
                _ => report.cut += 1,
            }
        }
        if !latency.is_empty() {
            report.latency_us = [0.5, 0.99].map(|part| latency.value_at_quantile(part));
        }
        report
    }
}

fn is_cut(verdict: OutcomeVerdict) -> bool {
    matches!(verdict, OutcomeVerdict::Lost | OutcomeVerdict::TimedOut)
}

impl fmt::Display for PhaseReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let whole = self.requests;
        let [p50, p99] = self.latency_us.map(|us| us as f64 / 1_000.0);
        write!(
            formatter,
            "answered {}, on time {}, cut {}, refused {:?}, inside the rate {}, ms p50 {p50:.1} p99 {p99:.1}",
            CountRatio { part: self.answered, whole },
            CountRatio { part: self.on_time, whole },
            self.cut,
            self.refused,
            CountRatio { part: self.refused_inside_rate, whole },
        )
    }
}
