//! Report of a run: outcomes, latency, share of replicas, write gaps.

use std::collections::{BTreeMap, HashMap};
use std::fmt;

use hdrhistogram::Histogram;
use tanagerdeal_wire::wire_type;

use crate::history::{HistoryLine, Invocation, Outcome, OutcomeVerdict, RequestKind, find_tag};
use crate::member::Execution;

/// Longest latency that the report tells apart, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;

wire_type! {
    /// Outcomes and latency of a customer's requests, or of all requests.
    #[derive(Default)]
    pub struct CustomerReport {
        /// Requests that were due.
        pub requests: u64,
        /// Requests by the outcome of their last attempt.
        pub outcomes: BTreeMap<String, u64>,
        /// Requests answered within their deadline, counted from when they were due.
        pub on_time: u64,
        /// Latency in microseconds of answered requests, from when they were due: percentiles 50,
        /// 90, 99 and 100.
        pub latency_us: [u64; 4],
    }

    /// Report of a run.
    #[derive(Default)]
    pub struct LoadReport {
        /// All requests.
        pub total: CustomerReport,
        /// By customer.
        pub customers: BTreeMap<String, CustomerReport>,
        /// Reads executed.
        pub reads: u64,
        /// Reads executed by replicas.
        pub replica_reads: u64,
        /// Longest time without an acknowledged write in microseconds, by group.
        pub longest_write_gap_us: BTreeMap<String, u64>,
    }
}

impl LoadReport {
    /// Makes the report from a history and the members' executions.
    ///
    /// ```
    /// use tanagerdeal_testbed::load::LoadReport;
    ///
    /// assert_eq!(LoadReport::new(&[], &[]).total.requests, 0);
    /// ```
    pub fn new(history: &[HistoryLine], executions: &[Execution]) -> Self {
        let requests = last_attempts(history);
        let mut by_customer: BTreeMap<&str, Vec<&RequestView>> = BTreeMap::new();
        for request in requests.values() {
            by_customer.entry(&request.first.customer).or_default().push(request);
        }
        let reports = by_customer.iter().map(|(name, list)| ((*name).to_owned(), summarise(list)));
        let tagged = executions.iter().filter(|execution| tag_of(execution).is_some());
        let reads: Vec<&Execution> = tagged.filter(|execution| !execution.write).collect();
        Self {
            total: summarise(&requests.values().collect::<Vec<_>>()),
            customers: reports.collect(),
            reads: reads.len() as u64,
            replica_reads: reads.iter().filter(|execution| !execution.primary).count() as u64,
            longest_write_gap_us: write_gaps(&requests, executions),
        }
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let all = std::iter::once(("all", &self.total));
        let customers = self.customers.iter().map(|(name, report)| (name.as_str(), report));
        for (name, report) in all.chain(customers) {
            let [p50, p90, p99, max] = report.latency_us.map(|us| us as f64 / 1_000.0);
            writeln!(
                formatter,
                "{name}: {} requests, {} on time, {:?}, ms p50 {p50} p90 {p90} p99 {p99} max {max}",
                report.requests, report.on_time, report.outcomes
            )?;
        }
        writeln!(formatter, "reads: {}, by replicas: {}", self.reads, self.replica_reads)?;
        for (group, gap) in &self.longest_write_gap_us {
            writeln!(formatter, "{group}: longest write gap {} ms", gap / 1_000)?;
        }
        Ok(())
    }
}

/// A logical request: its first invocation and its last outcome.
struct RequestView<'a> {
    first: &'a Invocation,
    last: Option<&'a Outcome>,
}

fn last_attempts(history: &[HistoryLine]) -> BTreeMap<u64, RequestView<'_>> {
    let mut requests: BTreeMap<u64, RequestView<'_>> = BTreeMap::new();
    for line in history {
        match line {
            HistoryLine::Invoked(invocation) => {
                let view = RequestView { first: invocation, last: None };
                requests.entry(invocation.request).or_insert(view);
            }
            HistoryLine::Ended(outcome) => {
                if let Some(view) = requests.get_mut(&outcome.request) {
                    view.last = Some(outcome);
                }
            }
            HistoryLine::Opened(_) => {}
        }
    }
    requests
}

fn summarise(requests: &[&RequestView<'_>]) -> CustomerReport {
    let mut report = CustomerReport { requests: requests.len() as u64, ..Default::default() };
    let mut latency = Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, 3)
        .expect("the bounds and precision are valid");
    for request in requests {
        let verdict = request.last.map(|outcome| outcome.verdict);
        let name = match verdict.and_then(|verdict| serde_json::to_value(verdict).ok()) {
            Some(serde_json::Value::String(name)) => name,
            _ => "unfinished".to_owned(),
        };
        *report.outcomes.entry(name).or_default() += 1;
        if let Some(outcome) = request.last.filter(|_| verdict == Some(OutcomeVerdict::Done)) {
            let taken = outcome.end_us.saturating_sub(request.first.due_us);
            latency.saturating_record(taken.max(1));
            report.on_time += u64::from(taken <= u64::from(request.first.deadline_ms) * 1_000);
        }
    }
    if !latency.is_empty() {
        report.latency_us = [0.5, 0.9, 0.99, 1.0].map(|part| latency.value_at_quantile(part));
    }
    report
}

/// Attempt that an execution belongs to.
pub(crate) fn tag_of(execution: &Execution) -> Option<(u64, u32)> {
    let params = execution.params.iter().flatten().map(String::as_str);
    std::iter::once(execution.statement.as_str()).chain(params).find_map(find_tag)
}

fn write_gaps(
    requests: &BTreeMap<u64, RequestView<'_>>,
    executions: &[Execution],
) -> BTreeMap<String, u64> {
    let writes = executions.iter().filter(|execution| execution.write);
    let groups: HashMap<u64, &str> = writes
        .filter_map(|execution| Some((tag_of(execution)?.0, execution.group.as_str())))
        .collect();
    let mut acknowledged: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for (number, request) in requests {
        let is_write = matches!(request.first.kind, RequestKind::Write | RequestKind::Transaction);
        let done = request.last.filter(|outcome| outcome.verdict == OutcomeVerdict::Done);
        if let (true, Some(outcome), Some(group)) = (is_write, done, groups.get(number)) {
            acknowledged.entry(group).or_default().push(outcome.end_us);
        }
    }
    let gaps = acknowledged.into_iter().map(|(group, mut times)| {
        times.sort_unstable();
        let longest = times.windows(2).map(|pair| pair[1] - pair[0]).max();
        (group.to_owned(), longest.unwrap_or(0))
    });
    gaps.collect()
}
