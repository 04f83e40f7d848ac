//! Rules on what sessions read.

use std::collections::BTreeMap;

use super::terms::lost_requests;
use super::{AttemptView, CLOCK_SLACK_US, RunRecord};
use crate::history::{Outcome, RequestKind};

/// Column of the amount in the answers to reads and writes.
const AMOUNT_COLUMN: usize = 1;

/// Column of the attempt's tag in the answers to reads.
const TAG_COLUMN: usize = 2;

/// Amounts by item in an answer.
fn amounts(outcome: &Outcome) -> impl Iterator<Item = (&str, i64)> {
    outcome.rows.iter().filter_map(|row| {
        let item = row.first()?.as_deref()?;
        let amount = row.get(AMOUNT_COLUMN)?.as_deref()?.parse().ok()?;
        Some((item, amount))
    })
}

/// A session's reads show at least what its earlier writes made, and amounts only rise.
///
/// A write without a returned amount raises the known least amount by one. A session that was told
/// of a lost write starts from nothing again.
pub(super) fn read_your_writes(record: &RunRecord<'_>, violations: &mut Vec<String>) {
    let mut sessions: BTreeMap<u64, Vec<&AttemptView<'_>>> = BTreeMap::new();
    for view in record.attempts.values() {
        sessions.entry(view.invocation.session).or_default().push(view);
    }
    for (session, mut attempts) in sessions {
        attempts.sort_by_key(|view| view.invocation.start_us);
        let mut least: BTreeMap<String, i64> = BTreeMap::new();
        for view in attempts {
            if view.is_told_of_loss() {
                least.clear();
                continue;
            }
            let Some(outcome) = view.outcome.filter(|_| view.is_done()) else { continue };
            for (item, amount) in amounts(outcome).filter(|_| view.invocation.max_age_ms == 0) {
                let least = least.get(item).copied().unwrap_or(0);
                if amount < least {
                    violations.push(format!(
                        "session {session}: {} shows {amount} of {item}, written up to {least}",
                        view.label()
                    ));
                }
            }
            if view.is_write() {
                raise(&mut least, view, outcome);
            }
        }
    }
}

fn raise(least: &mut BTreeMap<String, i64>, view: &AttemptView<'_>, outcome: &Outcome) {
    for item in &view.invocation.items {
        let known = least.entry(item.clone()).or_insert(0);
        let returned = amounts(outcome).find(|(name, _)| name == item);
        *known = returned.map_or(*known + 1, |(_, amount)| amount.max(*known));
    }
}

/// A read that accepts an age shows all writes that were acknowledged before that age.
///
/// Only writes count that returned their amount and that the final primary has kept.
pub(super) fn reads_within_age(record: &RunRecord<'_>, violations: &mut Vec<String>) {
    let mut written: BTreeMap<&str, Vec<(u64, i64)>> = BTreeMap::new();
    let lost = lost_requests(record);
    for view in record.acknowledged().filter(|view| !lost.contains(&view.invocation.request)) {
        let Some(outcome) = view.outcome else { continue };
        for (item, amount) in amounts(outcome) {
            written.entry(item).or_default().push((outcome.end_us, amount));
        }
    }
    let aged = record.attempts.values().filter(|view| view.invocation.max_age_ms > 0);
    for view in aged.filter(|view| view.is_done()) {
        let age_us = u64::from(view.invocation.max_age_ms) * 1_000 + CLOCK_SLACK_US;
        let Some(oldest) = view.invocation.start_us.checked_sub(age_us) else { continue };
        for (item, amount) in view.outcome.into_iter().flat_map(amounts) {
            let writes = written.get(item).into_iter().flatten();
            let known = writes.filter(|(end_us, _)| *end_us < oldest).map(|(_, amount)| *amount);
            if let Some(known) = known.max().filter(|known| *known > amount) {
                violations.push(format!(
                    "{} shows {amount} of {item}, which was {known} before the accepted age",
                    view.label()
                ));
            }
        }
    }
}

/// An answer has exactly the rows that the request asked for, and carries its own tag.
pub(super) fn whole_answers(record: &RunRecord<'_>, violations: &mut Vec<String>) {
    let reads = record.attempts.values().filter(|view| {
        view.is_done() && matches!(view.invocation.kind, RequestKind::Read | RequestKind::List)
    });
    for view in reads {
        let Some(outcome) = view.outcome else { continue };
        let items = outcome.rows.iter().map(|row| row.first().and_then(Option::as_deref));
        let expected = view.invocation.items.iter().map(|item| Some(item.as_str()));
        let tag = crate::history::request_tag(view.invocation.request, view.invocation.attempt);
        let tagged = |row: &Vec<Option<String>>| {
            row.get(TAG_COLUMN).and_then(Option::as_deref) == Some(tag.as_str())
        };
        if !items.eq(expected) || !outcome.rows.iter().all(tagged) {
            violations.push(format!("{} was answered with {:?}", view.label(), outcome.rows));
        }
    }
}
