//! Forwarded statements: all interleavings of calls, failures and deadlines.

mod model;

use googletest::prelude::*;

use model::{ModelAttempt, READ, Slip, TRANSACTION, WRITE};

/// Guards against writes that take effect twice or although they were reported as not run or rolled
/// back, transactions on two connections, and replies to statements that have not run.
#[gtest]
fn a_forwarded_statement_is_reported_as_it_ran() {
    for statements in [READ, WRITE, TRANSACTION] {
        let (states, faults) = ModelAttempt::new(statements, Slip::None).explore();
        println!("{statements:?}: {states} states");
        expect_that!(states, gt(1_000), "{statements:?}");
        expect_that!(faults, is_empty(), "{statements:?}");
    }
}

/// Guards against an exploration that misses faults: it finds each rule that is broken, by the
/// assertion that the rule is for.
#[gtest]
fn slips_are_found() {
    let not_run = "what was reported as not run has run";
    for (statements, slip, expected) in [
        (WRITE, Slip::LostWriteIsNotRun, not_run),
        (WRITE, Slip::UnansweredWriteIsNotRun, not_run),
        (WRITE, Slip::SilentWriteIsRepeated, "a write takes effect twice"),
        (TRANSACTION, Slip::FirstIsRepeated, "a write runs twice"),
        (
            TRANSACTION,
            Slip::LostCommitIsRolledBack,
            "a part of a transaction that was reported as rolled back is kept",
        ),
        (WRITE, Slip::DeadlineIsIgnored, "a statement is sent after its deadline"),
    ] {
        let (_, faults) = ModelAttempt::new(statements, slip).explore();
        println!("{slip:?}: {faults:?}");
        expect_that!(faults, contains(eq(&expected)), "{slip:?}");
    }
}
