//! One bad run for each way in which a rule can find a violation.

use googletest::prelude::*;
use tanagerdeal_testbed::check::RULES;
use tanagerdeal_testbed::history::{HistoryLine, OperatorAction, OutcomeVerdict, RequestKind};

use crate::good::{ITEM, RunBuilder, SECOND_US, START_US, good_run};

/// A time after everything in the good run, before its bounds on withdrawn things.
const LATER_US: u64 = START_US + 10 * SECOND_US;

/// A time after the bounds of the good run's changes.
const LATE_US: u64 = START_US + 20 * SECOND_US;

/// Expects that a change of the good run violates exactly one rule.
fn expect_violation(rule: &str, spoil: impl FnOnce(&mut RunBuilder)) {
    let mut run = good_run();
    spoil(&mut run);
    expect_that!(run.violated(), eq(&vec![rule]));
}

/// Guards against a rule without a test in this file that shows it to fail.
#[gtest]
fn every_rule_has_a_bad_run() {
    let source = include_str!("bad.rs");
    let tested = |name: &str| source.contains(&format!("expect_violation(\"{name}\""));
    let untested = RULES.iter().map(|rule| rule.name).filter(|name| !tested(name));
    expect_that!(untested.collect::<Vec<_>>(), eq(&Vec::<&str>::new()));
}

/// Guards against a refusal that is held back, comes without a time to come back, or never comes.
#[gtest]
fn late_and_missing_refusals_are_found() {
    let last = |run: &mut RunBuilder, change: fn(&mut tanagerdeal_testbed::history::Outcome)| {
        run.attempt(20, RequestKind::Read, LATER_US);
        run.end(OutcomeVerdict::NotRun, "53300", None);
        if let Some(HistoryLine::Ended(outcome)) = run.files.history.last_mut() {
            change(outcome);
        }
    };
    expect_violation("refused_at_once", |run| last(run, |outcome| outcome.retry_after_ms = None));
    expect_violation("refused_at_once", |run| {
        last(run, |outcome| outcome.end_us = LATER_US + 2 * SECOND_US);
    });
    expect_violation("refused_at_once", |run| {
        last(run, |outcome| outcome.end_us = LATER_US + 60 * SECOND_US);
    });
    expect_violation("refused_at_once", |run| {
        run.attempt(20, RequestKind::Read, LATER_US);
    });
}

/// Guards against a session that does not see its own write.
#[gtest]
fn a_session_that_misses_its_write_is_found() {
    expect_violation("read_your_writes", |run| run.read(20, LATER_US, 2, 0));
    // After a write whose amount was not returned, the amount must have risen.
    expect_violation("read_your_writes", |run| {
        run.attempt(20, RequestKind::Write, LATER_US);
        run.end(OutcomeVerdict::Done, "", None);
        run.execute(20, LATER_US, true, 2, 6);
        run.read(21, LATER_US + SECOND_US, 3, 0);
    });
}

/// Guards against a rule that goes on to expect a write of whose loss the session was told.
#[gtest]
fn a_told_loss_ends_the_expectation() {
    let mut run = good_run();
    run.attempt(20, RequestKind::Read, LATER_US);
    run.end(OutcomeVerdict::NotRun, "40003", None);
    run.read(21, LATER_US + SECOND_US, 2, 0);
    expect_that!(run.violated(), eq(&Vec::<&str>::new()));
}

/// Guards against a read that is older than the age it accepts.
#[gtest]
fn a_read_that_is_too_old_is_found() {
    expect_violation("reads_within_age", |run| run.read(20, LATER_US, 2, 2_000));
}

/// Guards against an acknowledgement for a commit on a primary that was already replaced.
#[gtest]
fn an_acknowledgement_by_a_replaced_primary_is_found() {
    expect_violation("no_ack_by_replaced_primary", |run| {
        run.write(20, START_US + 5 * SECOND_US + 900_000, 3, 1, 3);
    });
}

/// Guards against an acknowledged write that a failover has dropped without telling the session.
#[gtest]
fn a_lost_write_is_found_unless_told() {
    let lose = |run: &mut RunBuilder| {
        run.write(20, START_US + 4 * SECOND_US + 500_000, 2, 1, 4);
    };
    expect_violation("acknowledged_writes_kept", lose);
    let mut run = good_run();
    lose(&mut run);
    run.attempt(21, RequestKind::Read, START_US + 6 * SECOND_US + 100_000);
    run.end(OutcomeVerdict::NotRun, "40003", None);
    expect_that!(run.violated(), eq(&Vec::<&str>::new()));
}

/// Guards against statements of two requests in one transaction, and a request in two.
#[gtest]
fn mixed_transactions_are_found() {
    expect_violation("transactions_not_mixed", |run| {
        run.read(20, LATER_US, 3, 0);
        run.read(21, LATER_US + SECOND_US, 3, 0);
        run.files.executions.iter_mut().for_each(|execution| {
            if execution.transaction == 21 {
                execution.transaction = 20;
            }
        });
    });
    expect_violation("transactions_not_mixed", |run| {
        run.attempt(20, RequestKind::Transaction, LATER_US);
        run.end(OutcomeVerdict::Done, "", None);
        run.execute(20, LATER_US, true, 2, 6);
        run.execute(20, LATER_US, true, 2, 6);
        run.files.executions.last_mut().expect("an execution").transaction = 99;
    });
}

/// Guards against a session that is accepted with a key of another customer.
#[gtest]
fn an_accepted_wrong_key_is_found() {
    expect_violation("only_valid_keys", |run| run.open(false, true));
}

/// Guards against a secret at an endpoint, and against a search that could not have found one.
#[gtest]
fn a_secret_at_an_endpoint_is_found() {
    expect_violation("no_key_at_endpoints", |run| run.search(1, 5, true));
    expect_violation("no_key_at_endpoints", |run| run.search(0, 0, true));
    expect_violation("no_key_at_endpoints", |run| run.search(0, 5, false));
}

/// Guards against a key that still works when the bound after its withdrawal has passed.
#[gtest]
fn a_working_withdrawn_key_is_found() {
    expect_violation("revoked_keys_stop", |run| {
        run.read(20, LATE_US, 3, 0);
        let execution = run.files.executions.last_mut().expect("an execution");
        (execution.member, execution.domain) = ("orders-1-c".to_owned(), "ham-c".to_owned());
    });
    // An answer counts even when no member recorded the execution.
    expect_violation("revoked_keys_stop", |run| {
        run.read(20, LATE_US, 3, 0);
        run.files.executions.pop();
    });
}

/// Guards against a customer that gets more than its rate and burst in any window.
#[gtest]
fn an_excess_over_rate_and_burst_is_found() {
    expect_violation("rate_and_burst", |run| {
        run.read(20, LATER_US, 3, 0);
        run.read(21, LATER_US + 100_000, 3, 0);
    });
    // The excess shows only over a long window: 1.5 requests a second with a rate of 1.
    expect_violation("rate_and_burst", |run| {
        run.limit(1, 8);
        run.files.observations.swap_remove(run.files.observations.len() - 2);
        for number in 0..30 {
            run.read(20 + number, START_US - 40 * SECOND_US + number * 666_666, 0, 0);
        }
    });
}

/// Guards against new work in a failure domain or on an endpoint that has to be idle.
#[gtest]
fn work_out_of_service_is_found() {
    let spoil = |run: &mut RunBuilder, member: &str, domain: &str| {
        run.read(20, LATE_US, 3, 0);
        if let Some(HistoryLine::Invoked(invocation)) = run.files.history.iter_mut().rev().nth(1) {
            invocation.key_name = "other-key".to_owned();
        }
        let execution = run.files.executions.last_mut().expect("an execution");
        (execution.member, execution.domain) = (member.to_owned(), domain.to_owned());
    };
    expect_violation("absent_domain_idle", |run| spoil(run, "orders-1-d", "akl-a"));
    expect_violation("leaving_endpoint_idle", |run| spoil(run, "orders-1-a", "ham-c"));
    let mut run = good_run();
    spoil(&mut run, "orders-1-a", "akl-a");
    run.operate(LATER_US, OperatorAction::DomainIn, "akl-a", 0);
    run.operate(LATER_US, OperatorAction::EndpointServing, "orders-1-a", 0);
    expect_that!(run.violated(), eq(&Vec::<&str>::new()));
}

/// Guards against an answer that is cut, belongs to another item or to another request.
#[gtest]
fn answers_of_others_are_found() {
    let spoil = |run: &mut RunBuilder, change: fn(&mut Vec<Vec<Option<String>>>)| {
        run.read(20, LATER_US, 3, 0);
        if let Some(HistoryLine::Ended(outcome)) = run.files.history.last_mut() {
            change(&mut outcome.rows);
        }
    };
    expect_violation("whole_answers", |run| spoil(run, Vec::clear));
    expect_violation("whole_answers", |run| {
        spoil(run, |rows| rows[0][0] = Some("other:0001".to_owned()));
    });
    expect_violation("whole_answers", |run| {
        spoil(run, |rows| rows[0][2] = Some("op#19.1#".to_owned()));
    });
    expect_violation("whole_answers", |run| spoil(run, |rows| rows.push(rows[0].clone())));
}

/// Guards against a refusal as "not run" of a request that was executed.
#[gtest]
fn an_executed_request_refused_as_not_run_is_found() {
    expect_violation("not_run_is_true", |run| run.execute(5, START_US + 4 * SECOND_US, true, 1, 3));
    expect_violation("not_run_is_true", |run| {
        run.attempt(20, RequestKind::Transaction, LATER_US).items.push(ITEM.to_owned());
        run.end(OutcomeVerdict::NotRun, "57P03", None);
        run.execute(20, LATER_US, true, 2, 6);
    });
}

/// Guards against a request that is committed twice, by one attempt or by two.
#[gtest]
fn a_second_commit_is_found() {
    expect_violation("at_most_once", |run| run.execute(7, START_US + 8 * SECOND_US, true, 2, 6));
    // The first commit was dropped by the failover, so the second is the only one.
    let mut run = good_run();
    run.execute(6, START_US + 4 * SECOND_US + 900_000, true, 1, 4);
    run.execute(6, START_US + 6 * SECOND_US, true, 2, 6);
    expect_that!(run.violated(), eq(&Vec::<&str>::new()));
}

/// Guards against an acknowledgement of a write that no member has executed.
#[gtest]
fn an_acknowledged_write_without_execution_is_found() {
    expect_violation("acknowledged_writes_ran", |run| {
        run.attempt(20, RequestKind::Write, LATER_US);
        run.end(OutcomeVerdict::Done, "", Some(4));
    });
}

/// Guards against a shutdown that breaks off a request.
#[gtest]
fn an_interrupted_request_is_found() {
    expect_violation("shutdown_interrupts_nothing", |run| {
        run.attempt(20, RequestKind::Read, LATER_US);
        run.end(OutcomeVerdict::Lost, "", None);
    });
}

/// Guards against a configuration that comes late, or reverts.
#[gtest]
fn late_and_reverted_configurations_are_found() {
    expect_violation("configuration_in_effect", |run| {
        run.files
            .observations
            .retain(|line| !matches!(line, tanagerdeal_testbed::history::Observation::Host(_)));
        run.sample(START_US + 14 * SECOND_US, 5);
    });
    expect_violation("configuration_in_effect", |run| run.sample(START_US + SECOND_US, 2));
}
