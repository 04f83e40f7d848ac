//! Acknowledgement of commits.

use std::time::Duration;

use googletest::prelude::*;
use tanagerdeal_wire::member::MemberRole;

use super::harness::{TestHost, at};
use crate::message::HostOutput;
use crate::message::caller::{CallerAnswer, CallerCall, RequestEnding};
use crate::statement::StatementClass;
use crate::verdict::{RefusalCode, RunVerdict};

const WRITE: StatementClass = StatementClass::Write;

/// Guards against a commit that is acknowledged without a majority.
#[gtest]
fn a_commit_waits_for_a_majority() {
    let mut host = TestHost::new();
    let session = host.open();
    let plan = host.place(session, WRITE);
    host.members[1].is_reachable = false;
    host.members[2].is_reachable = false;
    host.members[0].applied = at(1, 101);
    let (dispatch, position) = (plan.dispatch, at(1, 101));
    let tag = host.call(CallerCall::ConfirmCommit { dispatch, position });
    host.run(900);
    expect_that!(host.answer(tag), none());
    host.members[1].is_reachable = true;
    host.members[1].applied = at(1, 101);
    host.run(600);
    expect_that!(host.answer(tag), some(matches_pattern!(CallerAnswer::CommitConfirmed { .. })));
}

/// Guards against an acknowledged commit of a replaced primary, and against a client that waits
/// although the replacement is known.
#[gtest]
fn a_commit_of_a_replaced_primary_may_have_run() {
    let mut host = TestHost::new();
    let session = host.open();
    let plan = host.place(session, WRITE);
    for member in &mut host.members[1..] {
        member.promised = 2;
        member.role = MemberRole::Fenced;
    }
    let before = host.now;
    let refusal = host.commit(plan.dispatch, at(1, 101)).unwrap_err();
    expect_that!(refusal.verdict, eq(RunVerdict::MayHaveRun));
    expect_that!(refusal.code, eq(RefusalCode::OutcomeUnknown));
    expect_that!(host.now - before, lt(Duration::from_millis(500)));
    expect_that!(host.state.counters.commits_fenced, eq(1));
}

/// Guards against a shortage of connections while commits wait for lagging replicas.
#[gtest]
fn a_commit_that_waits_holds_no_connection() {
    let mut host = TestHost::new();
    let sessions: Vec<_> = (0..3).map(|_| host.open()).collect();
    for (number, session) in (101..).zip(sessions) {
        let plan = host.place(session, WRITE);
        let (dispatch, position) = (plan.dispatch, at(1, number));
        host.call(CallerCall::ConfirmCommit { dispatch, position });
        expect_that!(host.state.queues.held(plan.endpoint), eq(0));
    }
}

/// Guards against a client that never gets an answer because its request ended before the
/// confirmation.
#[gtest]
fn a_request_that_ends_before_its_confirmation_may_have_run() {
    let mut host = TestHost::new();
    let session = host.open();
    let plan = host.place(session, WRITE);
    host.members.iter_mut().for_each(|member| member.is_reachable = false);
    let (dispatch, position) = (plan.dispatch, at(1, 101));
    let tag = host.call(CallerCall::ConfirmCommit { dispatch, position });
    host.end(dispatch, RequestEnding::Lost, false);
    let Some(CallerAnswer::Refused(refusal)) = host.answer(tag) else { panic!("no answer") };
    expect_that!(refusal.verdict, eq(RunVerdict::MayHaveRun));
    let tag = host.call(CallerCall::ConfirmCommit { dispatch, position });
    let Some(CallerAnswer::Refused(refusal)) = host.answer(tag) else { panic!("no answer") };
    expect_that!(refusal.verdict, eq(RunVerdict::MayHaveRun));
}

/// Guards against requests that wait until their deadlines on a frozen primary that has been
/// replaced. Until it is replaced, it may still answer them.
#[gtest]
fn connections_to_a_lost_primary_are_closed_after_its_replacement() {
    let mut host = TestHost::new();
    host.run(500);
    host.members[0].is_reachable = false;
    host.other_outputs.clear();
    host.run(2_000);
    expect_that!(closed_limits(&host), is_empty());
    host.fail_over(100);
    expect_that!(closed_limits(&host), elements_are![eq("e0")]);
}

/// Endpoints whose connections must all be closed now.
fn closed_limits(host: &TestHost) -> Vec<String> {
    let closed = host.other_outputs.iter().filter_map(|output| match output {
        HostOutput::LimitConnections { name, limit: 0, close_by, .. } if *close_by <= host.now => {
            Some(name.to_string())
        }
        _ => None,
    });
    closed.collect()
}
