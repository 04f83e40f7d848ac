//! Report of a run: the five measures and the checker's verdict.

use std::collections::{BTreeMap, HashMap};
use std::fmt;

use tanagerdeal_testbed::check::{RunFiles, check_run};
use tanagerdeal_testbed::deployment::DeploymentPlan;
use tanagerdeal_testbed::history::{Observation, find_tag};
use tanagerdeal_testbed::member::Execution;
use tanagerdeal_wire::wire_type;

use crate::gap::{GroupGap, write_gaps};
use crate::options::{MeasureOptions, Scenario};
use crate::phase::{CountRatio, PhaseReport, RequestView, join_requests};
use crate::run::MeasuredRun;
use crate::script::RunEvent;

wire_type! {
    /// Report of a run.
    pub struct MeasureReport {
        pub company: String,
        pub scenario: String,
        pub policy: String,
        pub seed: u64,
        pub duration_ms: u64,
        pub rate_percent: u64,
        pub service_ms: u32,
        pub events: Vec<RunEvent>,
        /// Service before the first event, and from then on.
        pub normal: PhaseReport,
        pub after: PhaseReport,
        /// Reads executed by replicas: all, current ones, those that accept an age.
        pub replica_reads: [CountRatio; 3],
        /// Gaps without an acknowledged write after the loss of a primary.
        pub gaps: Vec<GroupGap>,
        /// Promotions beyond one for each group that lost its primary.
        pub needless_promotions: i64,
        /// Answered on time over due, by customer, from the first event or the start on.
        pub served: BTreeMap<String, CountRatio>,
        /// Violations of the checker's rules, by rule, with the first of each.
        pub violations: BTreeMap<String, (u64, String)>,
        pub counters: BTreeMap<String, u64>,
    }
}

impl MeasureReport {
    pub fn new(options: &MeasureOptions, plan: &DeploymentPlan, run: &MeasuredRun) -> Self {
        let limit = |customer: &tanagerdeal_testbed::deployment::CustomerPlan| {
            (customer.name.clone(), (customer.record.rate_per_s, customer.record.burst))
        };
        let limits: HashMap<String, (u32, u32)> = plan.customers.iter().map(limit).collect();
        let requests = join_requests(&run.files, &limits);
        let first_event = run.events.first().map_or(u64::MAX, |event| event.at_us);
        let is_normal = |request: &&RequestView<'_>| request.first.due_us < first_event;
        let after: Vec<_> = requests.values().filter(|request| !is_normal(request)).collect();
        let judged = if after.is_empty() { requests.values().collect() } else { after.clone() };
        let lost = run.events.iter().map(|event| event.groups.len() as i64).sum::<i64>();
        Self {
            company: options.company.clone(),
            scenario: options.scenario_name.clone(),
            policy: options.policy.clone(),
            seed: options.seed,
            duration_ms: options.duration_ms,
            rate_percent: options.rate_percent,
            service_ms: options.service_ms,
            events: run.events.clone(),
            normal: PhaseReport::new(requests.values().filter(is_normal)),
            after: PhaseReport::new(after.into_iter()),
            replica_reads: replica_reads(&run.files, &requests),
            gaps: write_gaps(&run.files, &run.events, &requests),
            needless_promotions: promotions(&run.files.observations) - lost,
            served: served(options.scenario, &limits, &judged),
            violations: violations(&run.files),
            counters: run.counters.clone(),
        }
    }
}

/// Reads executed by replicas of all, of current ones, and of those that accept an age.
fn replica_reads(files: &RunFiles, requests: &BTreeMap<u64, RequestView<'_>>) -> [CountRatio; 3] {
    let mut ratios = [CountRatio::default(); 3];
    for execution in files.executions.iter().filter(|execution| !execution.write) {
        let Some(request) = tagged(execution).and_then(|number| requests.get(&number)) else {
            continue;
        };
        let kind = if request.first.max_age_ms == 0 { 1 } else { 2 };
        for index in [0, kind] {
            ratios[index].whole += 1;
            ratios[index].part += u64::from(!execution.primary);
        }
    }
    ratios
}

/// Number of the request that an execution belongs to.
pub fn tagged(execution: &Execution) -> Option<u64> {
    let params = execution.params.iter().flatten().map(String::as_str);
    let mut texts = std::iter::once(execution.statement.as_str()).chain(params);
    texts.find_map(find_tag).map(|(request, _)| request)
}

/// Terms that began beyond the first of each group.
fn promotions(observations: &[Observation]) -> i64 {
    let terms = observations.iter().filter_map(|observation| match observation {
        Observation::Promoted(sample) => Some(sample.term),
        _ => None,
    });
    terms.filter(|term| *term > 1).count() as i64
}

/// Answered on time over due. A customer that sends more than its rate is due its rate.
fn served(
    scenario: Scenario,
    limits: &HashMap<String, (u32, u32)>,
    requests: &[&RequestView<'_>],
) -> BTreeMap<String, CountRatio> {
    let mut ratios: BTreeMap<String, CountRatio> = BTreeMap::new();
    for request in requests {
        let ratio = ratios.entry(request.first.customer.clone()).or_default();
        ratio.whole += 1;
        ratio.part += u64::from(request.is_on_time());
    }
    let times = || requests.iter().map(|request| request.first.due_us);
    let length_us = times().max().unwrap_or(0) - times().min().unwrap_or(0);
    if matches!(scenario, Scenario::Surge | Scenario::SurgeDomain) {
        for (name, ratio) in &mut ratios {
            let due = u64::from(limits[name].0) * length_us / 1_000_000;
            ratio.whole = ratio.whole.min(due);
        }
    }
    ratios
}

fn violations(files: &RunFiles) -> BTreeMap<String, (u64, String)> {
    let mut counts: BTreeMap<String, (u64, String)> = BTreeMap::new();
    for violation in check_run(files) {
        counts.entry(violation.rule.to_owned()).or_insert((0, violation.text)).0 += 1;
    }
    counts
}

impl fmt::Display for MeasureReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { company, scenario, policy, seed, .. } = self;
        let (seconds, percent) = (self.duration_ms / 1_000, self.rate_percent);
        writeln!(
            formatter,
            "{company} {scenario} {policy}: seed {seed}, {seconds} s, {percent}% of the rates, statements {} ms",
            self.service_ms
        )?;
        for event in &self.events {
            writeln!(formatter, "event: {} {:?}", event.text, event.groups)?;
        }
        writeln!(formatter, "normal: {}", self.normal)?;
        writeln!(formatter, "after:  {}", self.after)?;
        let [all, current, aged] = self.replica_reads;
        writeln!(formatter, "reads by replicas: {all}; current {current}; with age {aged}")?;
        let mut gaps: Vec<u64> = self.gaps.iter().map(|gap| gap.gap_ms).collect();
        gaps.sort_unstable();
        if let Some(worst) = gaps.last() {
            let median = gaps[gaps.len() / 2];
            writeln!(formatter, "gaps ms: {gaps:?}, median {median}, worst {worst}")?;
        }
        writeln!(formatter, "needless promotions: {}", self.needless_promotions)?;
        let worst =
            self.served.iter().min_by_key(|(_, ratio)| ratio.part * 1_000_000 / ratio.whole.max(1));
        if let Some((name, ratio)) = worst {
            writeln!(formatter, "worst-served customer: {name} {ratio}")?;
        }
        for (rule, (count, first)) in &self.violations {
            writeln!(formatter, "violated: {rule} {count} times, first: {first}")?;
        }
        writeln!(formatter, "counters: {:?}", self.counters)
    }
}
