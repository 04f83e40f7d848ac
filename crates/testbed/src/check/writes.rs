//! Rules on executions of requests.

use std::collections::{BTreeMap, BTreeSet};

use super::terms::{commits, is_position_kept};
use super::{AttemptView, RunRecord};
use crate::history::{OutcomeVerdict, RequestKind};
use crate::load::tag_of;
use crate::member::Execution;

/// A transaction of a member: member, connection and number.
type TransactionId<'a> = (&'a str, u64, u64);

fn transaction_of(execution: &Execution) -> TransactionId<'_> {
    (&execution.member, execution.connection, execution.transaction)
}

/// Statements of different attempts never share a transaction, and an attempt has one transaction.
pub(super) fn transactions_not_mixed(record: &RunRecord<'_>, violations: &mut Vec<String>) {
    let mut attempts: BTreeMap<TransactionId<'_>, BTreeSet<(u64, u32)>> = BTreeMap::new();
    for execution in &record.files.executions {
        if let Some(tag) = tag_of(execution) {
            attempts.entry(transaction_of(execution)).or_default().insert(tag);
        }
    }
    for (transaction, tags) in attempts.iter().filter(|(_, tags)| tags.len() > 1) {
        violations.push(format!("transaction {transaction:?} has statements of {tags:?}"));
    }
    let transactions =
        record.attempts.values().filter(|view| view.invocation.kind == RequestKind::Transaction);
    for view in transactions.filter(|view| view.is_done()) {
        let used: BTreeSet<_> = view.executions.iter().map(|entry| transaction_of(entry)).collect();
        if used.len() > 1 {
            violations.push(format!("{} ran in {used:?}", view.label()));
        }
    }
}

/// Nothing was executed of an attempt that was refused with "not run".
///
/// Statements of a transaction before the refused one may have run; they are rolled back and leave
/// no committed write, so only writes count for transactions.
pub(super) fn not_run_is_true(record: &RunRecord<'_>, violations: &mut Vec<String>) {
    let refused = |view: &&AttemptView<'_>| view.verdict() == Some(OutcomeVerdict::NotRun);
    for view in record.attempts.values().filter(refused) {
        let is_transaction = view.invocation.kind == RequestKind::Transaction;
        let counts = |execution: &&&Execution| execution.write || !is_transaction;
        if let Some(execution) = view.executions.iter().find(counts) {
            violations.push(format!(
                "{} was refused as not run, but {} executed {:?}",
                view.label(),
                execution.member,
                execution.statement
            ));
        }
    }
}

/// A request's writes are committed at most once, however often it was attempted.
///
/// A commit that a failover dropped does not count, since its repetition is not a second effect;
/// without a final status of the group every commit counts.
pub(super) fn at_most_once(record: &RunRecord<'_>, violations: &mut Vec<String>) {
    for (request, commits) in commits(record) {
        let kept = commits.iter();
        let kept = kept.filter(|(group, position)| is_position_kept(record, group, *position));
        if kept.count() > 1 {
            violations.push(format!("request {request} was committed at {commits:?}"));
        }
    }
}

/// The writes of an acknowledged request were executed by some attempt of it.
pub(super) fn acknowledged_writes_ran(record: &RunRecord<'_>, violations: &mut Vec<String>) {
    let commits = commits(record);
    for view in record.acknowledged() {
        if !commits.contains_key(&view.invocation.request) {
            violations.push(format!("{} was acknowledged, but never executed", view.label()));
        }
    }
}
