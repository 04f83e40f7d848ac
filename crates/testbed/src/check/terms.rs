//! Rules on terms and failovers.

use std::collections::{BTreeMap, BTreeSet};

use tanagerdeal_wire::member::{LogPosition, MemberStatus};

use super::{CLOCK_SLACK_US, RunRecord};
use crate::history::Observation;

/// When each term of each group was first seen to have a primary.
fn term_starts<'a>(record: &RunRecord<'a>) -> BTreeMap<(&'a str, u64), u64> {
    let mut starts: BTreeMap<(&str, u64), u64> = BTreeMap::new();
    let mut note = |group: &'a str, term: u64, at_us: u64| {
        let start = starts.entry((group, term)).or_insert(at_us);
        *start = (*start).min(at_us);
    };
    for execution in record.files.executions.iter().filter(|execution| execution.write) {
        note(&execution.group, execution.position.term, execution.end_us);
    }
    for observation in &record.files.observations {
        if let Observation::Promoted(sample) = observation {
            note(&sample.group, sample.term, sample.at_us);
        }
    }
    starts
}

/// An acknowledged write was committed before any newer term of its group had a primary.
///
/// Once a newer term has a primary, a majority has promised it, and the confirmation that comes
/// after the commit cannot succeed.
pub(super) fn no_ack_by_replaced_primary(record: &RunRecord<'_>, violations: &mut Vec<String>) {
    let starts = term_starts(record);
    for view in record.acknowledged() {
        // A host may have repeated the attempt; the acknowledgement belongs to the newest term.
        let writes = view.executions.iter().filter(|execution| execution.write);
        if let Some(execution) = writes.max_by_key(|execution| execution.position.term) {
            let group = execution.group.as_str();
            let newer = starts.range((group, execution.position.term + 1)..=(group, u64::MAX));
            let first = newer.map(|((_, term), at_us)| (*at_us, *term)).min();
            if let Some((at_us, term)) = first
                && at_us + CLOCK_SLACK_US < execution.end_us
            {
                violations.push(format!(
                    "{} was acknowledged by {} in term {}, {} us after term {term} began",
                    view.label(),
                    execution.member,
                    execution.position.term,
                    execution.end_us - at_us
                ));
            }
        }
    }
}

/// Whether the log of a group's final primary contains a position.
fn contains(status: &MemberStatus, position: LogPosition) -> bool {
    let newer = status.term_history.iter().filter(|start| start.term > position.term);
    let first = newer.map(|start| start.offset).min();
    let known = status.term_history.iter().any(|start| start.term == position.term);
    known && position.offset <= first.unwrap_or(status.received.offset)
}

/// Whether the log of the final primary of a group contains a position; a group without a final
/// status counts as having kept everything.
pub(super) fn is_position_kept(record: &RunRecord<'_>, group: &str, position: LogPosition) -> bool {
    let finals = record.files.observations.iter().filter_map(|observation| match observation {
        Observation::FinalPrimary(status) => Some(status),
        _ => None,
    });
    let mut finals = finals.filter(|status| status.group.as_str() == group);
    finals.next().is_none_or(|status| contains(status, position))
}

/// Commits of each request's writes, over all its attempts.
pub(super) fn commits<'a>(
    record: &RunRecord<'a>,
) -> BTreeMap<u64, BTreeSet<(&'a str, LogPosition)>> {
    let mut commits: BTreeMap<u64, BTreeSet<_>> = BTreeMap::new();
    for ((request, _), view) in &record.attempts {
        for execution in view.executions.iter().filter(|execution| execution.write) {
            let commits = commits.entry(*request).or_default();
            commits.insert((execution.group.as_str(), execution.position));
        }
    }
    commits
}

/// Requests whose writes were committed, and all of whose commits the final logs lack.
pub(super) fn lost_requests(record: &RunRecord<'_>) -> BTreeSet<u64> {
    let commits = commits(record).into_iter();
    let lost = commits.filter(|(_, commits)| {
        commits.iter().all(|(group, position)| !is_position_kept(record, group, *position))
    });
    lost.map(|(request, _)| request).collect()
}

/// An acknowledged write is in the log of the final primary, or its session was told of the loss.
///
/// A session can be told only with its next request, so one counts as untold when a later request
/// was executed in a newer term and answered, and none between told of a loss.
pub(super) fn acknowledged_writes_kept(record: &RunRecord<'_>, violations: &mut Vec<String>) {
    let lost = lost_requests(record);
    for view in record.acknowledged().filter(|view| lost.contains(&view.invocation.request)) {
        let written = view.executions.iter().map(|execution| execution.position.term).max();
        let later = record.attempts.values().filter(|other| {
            other.invocation.session == view.invocation.session
                && other.invocation.start_us > view.invocation.start_us
        });
        let (mut told, mut served) = (false, false);
        for other in later {
            let newest = other.executions.iter().map(|execution| execution.position.term).max();
            told |= other.is_told_of_loss();
            served |= other.is_done() && other.invocation.max_age_ms == 0 && newest > written;
        }
        if served && !told {
            violations.push(format!("{} was acknowledged and is lost", view.label()));
        }
    }
}
