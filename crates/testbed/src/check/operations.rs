//! Rules on refusals, operators' changes and shutdowns.

use std::collections::BTreeMap;

use super::{CLOCK_SLACK_US, EFFECT_BOUND_US, RunRecord};
use crate::history::{HostSample, Observation, OperatorAction, OutcomeVerdict};
use crate::load::tag_of;
use crate::member::Execution;

/// Time within which a request is refused that is over its rate or cannot be on time, in
/// microseconds: far below deadlines and far above scheduling delays of a busy test machine.
const REFUSAL_BOUND_US: u64 = 1_000_000;

/// Time after its deadline at which every request must have its final answer, in microseconds.
const DEADLINE_MARGIN_US: u64 = 500_000;

/// Longest time that a shutdown takes, in microseconds; later the host may have a new life.
const SHUTDOWN_US: u64 = 45_000_000;

/// Requests that are given up get their answer at once, with a time to come back where they are
/// refused for load, and every request has its answer at its deadline.
pub(super) fn refused_at_once(record: &RunRecord<'_>, violations: &mut Vec<String>) {
    for view in record.attempts.values() {
        let Some(outcome) = view.outcome else {
            violations.push(format!("{} never ended", view.label()));
            continue;
        };
        let taken = outcome.end_us.saturating_sub(view.invocation.start_us);
        // Each statement has its own deadline: BEGIN, the writes and COMMIT, or SET and the write.
        let statements = view.invocation.items.len().min(2) as u64 + 2;
        let deadline = u64::from(view.invocation.deadline_ms) * 1_000;
        let limit = statements * (deadline + DEADLINE_MARGIN_US);
        let refused_for_load = matches!(outcome.sqlstate.as_str(), "53300" | "53400");
        if outcome.verdict == OutcomeVerdict::TimedOut || taken > limit {
            violations.push(format!("{} had no answer for {taken} us", view.label()));
        } else if refused_for_load && taken > REFUSAL_BOUND_US {
            violations.push(format!("{} was refused only after {taken} us", view.label()));
        } else if refused_for_load && outcome.retry_after_ms.is_none() {
            violations.push(format!("{} was refused without a time to come back", view.label()));
        }
    }
}

/// Times for which something is out of service, as start and end.
fn absences(
    record: &RunRecord<'_>,
    [leaves, returns]: [OperatorAction; 2],
) -> BTreeMap<String, Vec<(u64, u64)>> {
    let mut events: Vec<_> = record.files.operators.iter().collect();
    events.sort_by_key(|event| event.at_us);
    let mut absences: BTreeMap<String, Vec<(u64, u64)>> = BTreeMap::new();
    for event in events {
        let spans = absences.entry(event.name.clone()).or_default();
        if event.action == leaves {
            spans.push((event.at_us + EFFECT_BOUND_US, u64::MAX));
        } else if event.action == returns
            && let Some(span) = spans.last_mut()
        {
            span.1 = span.1.min(event.at_us);
        }
    }
    absences
}

fn find_new_work(
    record: &RunRecord<'_>,
    actions: [OperatorAction; 2],
    place: fn(&Execution) -> &str,
    violations: &mut Vec<String>,
) {
    let absences = absences(record, actions);
    for execution in record.files.executions.iter().filter(|entry| tag_of(entry).is_some()) {
        let spans = absences.get(place(execution)).into_iter().flatten();
        let mut absent = spans.filter(|(from, to)| (*from..*to).contains(&execution.began_us));
        if let Some((from, _)) = absent.next() {
            violations.push(format!(
                "{} in {} began {:?} {} us after it had to be idle",
                execution.member,
                execution.domain,
                execution.statement,
                execution.began_us - from
            ));
        }
    }
}

/// No new work in a failure domain later than the bound after it was taken out.
pub(super) fn absent_domain_idle(record: &RunRecord<'_>, violations: &mut Vec<String>) {
    let actions = [OperatorAction::DomainOut, OperatorAction::DomainIn];
    find_new_work(record, actions, |execution| &execution.domain, violations);
}

/// No new work on an endpoint later than the bound after it was marked as leaving.
pub(super) fn leaving_endpoint_idle(record: &RunRecord<'_>, violations: &mut Vec<String>) {
    let actions = [OperatorAction::EndpointLeaving, OperatorAction::EndpointServing];
    find_new_work(record, actions, |execution| &execution.member, violations);
}

/// No request on a host that shuts down ends without an answer.
pub(super) fn shutdown_interrupts_nothing(record: &RunRecord<'_>, violations: &mut Vec<String>) {
    let asked = record.files.operators.iter();
    let asked = asked.filter(|event| event.action == OperatorAction::ShutDownHost);
    let asked: BTreeMap<&str, u64> =
        asked.map(|event| (event.name.as_str(), event.at_us)).collect();
    for view in record.attempts.values() {
        let Some(at_us) = asked.get(view.invocation.host.as_str()) else { continue };
        let interrupted = matches!(
            view.verdict(),
            Some(OutcomeVerdict::Lost | OutcomeVerdict::MayHaveRun | OutcomeVerdict::TimedOut)
        );
        let window = *at_us..*at_us + SHUTDOWN_US;
        if interrupted && view.outcome.is_some_and(|outcome| window.contains(&outcome.end_us)) {
            violations.push(format!(
                "{} was interrupted by the shutdown of {}",
                view.label(),
                view.invocation.host
            ));
        }
    }
}

/// Hosts that serve keyed requests have every accepted change in effect after the bound, and the
/// revision in effect never falls within a host's life.
pub(super) fn configuration_in_effect(record: &RunRecord<'_>, violations: &mut Vec<String>) {
    let samples = record.files.observations.iter().filter_map(|observation| match observation {
        Observation::Host(sample) => Some(sample),
        _ => None,
    });
    let mut samples: Vec<&HostSample> = samples.collect();
    samples.sort_by_key(|sample| sample.at_us);
    let mut newest: BTreeMap<(&str, u64), u64> = BTreeMap::new();
    for sample in samples {
        let due = record.files.operators.iter();
        let due = due.filter(|event| event.at_us + EFFECT_BOUND_US + CLOCK_SLACK_US < sample.at_us);
        let due = due.map(|event| event.revision).max().unwrap_or(0);
        if sample.serving_keyed && sample.revision < due {
            violations.push(format!(
                "{} serves with revision {} although {due} was accepted before the bound",
                sample.host, sample.revision
            ));
        }
        let newest = newest.entry((&sample.host, sample.life)).or_insert(0);
        if sample.revision < *newest {
            let (host, revision) = (&sample.host, sample.revision);
            violations.push(format!("{host} went back from revision {newest} to {revision}"));
        }
        *newest = (*newest).max(sample.revision);
    }
}
