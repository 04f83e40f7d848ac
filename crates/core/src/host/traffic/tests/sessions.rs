//! Watermarks, settings, transactions and retries of a session.

use googletest::prelude::*;

use super::harness::{TestHost, WALL_MS, at};
use crate::message::caller::{CallerAnswer, CallerCall, RequestEnding};
use crate::statement::StatementClass;
use crate::verdict::{RefusalCode, RunVerdict};

const READ: StatementClass = StatementClass::Read;
const WRITE: StatementClass = StatementClass::Write;
const BEGIN: StatementClass = StatementClass::Begin { read_only: false };

/// Guards against a first read that misses what the client wrote through another session.
#[gtest]
fn a_first_read_waits_for_the_primarys_confirmed_position() {
    let mut host = TestHost::new();
    let session = host.open();
    host.members[0].applied = at(1, 150);
    let tag = host.submit(session, READ);
    let plan = host.await_result(tag).unwrap();
    expect_that!(plan.required, ge(at(1, 150)));
    expect_that!(host.index(plan.endpoint), eq(0));
    host.complete(plan.dispatch);
    let stale = host.open_with(("quarry", "stale", Some("k1.x")), &[]).unwrap();
    let tag = host.submit(stale, READ);
    expect_that!(host.answer(tag), some(matches_pattern!(CallerAnswer::RequestPlaced(_))));
}

/// Guards against a session that does not see its own write, on this host or, with its token, on
/// another one.
#[gtest]
fn a_session_reads_its_writes_here_and_elsewhere() {
    let mut host = TestHost::new();
    let session = host.open();
    let token = host.write(session, 120, false);
    let mut other = TestHost::new();
    other.members[0].applied = at(1, 120);
    other.run(1_000);
    let settings = [("session_token", token.as_str())];
    let roamed = other.open_with(("quarry", "main", Some("k1.x")), &settings).unwrap();
    for (host, session) in [(&mut host, session), (&mut other, roamed)] {
        let plan = host.place(session, READ);
        expect_that!(host.index(plan.endpoint), eq(0));
        expect_that!(plan.required, ge(at(1, 120)));
        let (dispatch, position) = (plan.dispatch, at(1, 119));
        let answer = host.ask(CallerCall::CheckRead { dispatch, position });
        let CallerAnswer::Refused(refusal) = answer else { panic!("stale read accepted") };
        expect_that!(refusal.verdict, eq(RunVerdict::Ran));
        let position = at(1, 120);
        let answer = host.ask(CallerCall::CheckRead { dispatch, position });
        expect_that!(answer, eq(&CallerAnswer::ReadAccepted));
    }
    let foreign = other.open_with(("mill", "main", Some("k2.x")), &settings).unwrap_err();
    expect_that!(foreign.code, eq(RefusalCode::InvalidValue));
}

/// Guards against a read that is older than an earlier read of the same session.
#[gtest]
fn reads_of_a_session_never_go_back() {
    let mut host = TestHost::new();
    let session = host.open_with(("quarry", "stale", Some("k1.x")), &[]).unwrap();
    let plan = host.place(session, READ);
    let (dispatch, seen) = (plan.dispatch, Some(at(1, 140)));
    let (ending, in_transaction) = (RequestEnding::Answered, false);
    host.call(CallerCall::EndRequest { dispatch, ending, seen, in_transaction });
    host.members[0].applied = at(1, 140);
    host.run(1_000);
    let plan = host.place(session, READ);
    expect_that!(plan.required, ge(at(1, 140)));
    expect_that!(host.index(plan.endpoint), eq(0));
    host.complete(plan.dispatch);
    // A read of bounded age does not cover what the client may have written elsewhere.
    host.members[0].applied = at(1, 170);
    host.run(20);
    host.set(session, "max_read_age_ms", "0");
    let plan = host.place(session, READ);
    expect_that!(plan.required, ge(at(1, 170)));
}

/// Guards against a lost write that is never reported, or is reported with every request.
#[gtest]
fn a_lost_write_is_reported_once() {
    let mut host = TestHost::new();
    let session = host.open();
    host.write(session, 120, false);
    host.fail_over(110);
    let refusal = host.try_place(session, READ).unwrap_err();
    expect_that!(refusal.code, eq(RefusalCode::WriteLost));
    expect_that!(refusal.verdict, eq(RunVerdict::NotRun));
    expect_that!(host.place(session, READ).required, ge(at(2, 110)));
    expect_that!(host.state.counters.writes_lost, eq(1));
}

/// Guards against a token of a newer term that hides the loss of an older write.
#[gtest]
fn a_newer_token_does_not_hide_a_lost_write() {
    let mut host = TestHost::new();
    let (session, other) = (host.open(), host.open());
    host.write(session, 120, false);
    host.fail_over(110);
    let token = host.write_after_failover(other, 115);
    host.set(session, "session_token", &token);
    let refusal = host.try_place(session, WRITE).unwrap_err();
    expect_that!(refusal.code, eq(RefusalCode::WriteLost));
    expect_that!(host.try_place(session, READ).map(|plan| plan.required), ok(ge(&at(2, 115))));
}

/// Guards against a transaction that runs on several connections, and against a session that moves
/// to another group within one.
#[gtest]
fn a_transaction_keeps_its_endpoint() {
    let mut host = TestHost::new();
    let session = host.open();
    let begin = host.place(session, BEGIN);
    let refusal = host.try_place(session, READ).unwrap_err();
    expect_that!(refusal.code, eq(RefusalCode::Unsupported));
    host.end(begin.dispatch, RequestEnding::Answered, true);
    expect_that!(host.set(session, "shard_key", "b"), matches_pattern!(CallerAnswer::Refused(_)));
    for class in [READ, WRITE, StatementClass::InTransaction] {
        let plan = host.place(session, class);
        expect_that!((plan.dispatch, plan.endpoint), eq((begin.dispatch, begin.endpoint)));
        expect_false!(plan.repeatable);
        host.end(plan.dispatch, RequestEnding::Answered, true);
    }
    expect_that!(host.state.sessions.running(), eq(1));
    let commit = host.place(session, StatementClass::Commit);
    host.complete(commit.dispatch);
    expect_that!(host.state.sessions.running(), eq(0));
    expect_that!(host.set(session, "shard_key", "b"), eq(&CallerAnswer::SettingChanged));
}

/// Guards against a write that runs twice because its request id was used for another request or is
/// older than the retention of outcomes.
#[gtest]
fn a_request_id_belongs_to_the_next_write_only() {
    let mut host = TestHost::new();
    let session = host.open();
    host.set(session, "request_id", "order-1");
    let read = host.place(session, READ);
    expect_that!(read.record, none());
    host.complete(read.dispatch);
    let write = host.place(session, WRITE);
    let record = write.record.as_ref().unwrap();
    expect_that!((record.customer.as_str(), record.request_id.as_str()), eq(("quarry", "order-1")));
    host.complete(write.dispatch);
    let next = host.place(session, WRITE);
    expect_that!(next.record, none());
    host.complete(next.dispatch);
    let made_ms = WALL_MS - 25 * 3_600_000;
    let id = format!("{:08x}-{:04x}-7000-8000-000000000000", made_ms >> 16, made_ms & 0xffff);
    host.set(session, "request_id", &id);
    let refusal = host.try_place(session, BEGIN).unwrap_err();
    expect_that!(refusal.verdict, eq(RunVerdict::MayHaveRun));
    expect_that!(host.place(session, BEGIN).record, none());
}

/// Guards against a write that is sent twice, and against a lost read that is not retried.
#[gtest]
fn only_repeatable_requests_are_placed_again() {
    let mut host = TestHost::new();
    let session = host.open();
    let read = host.place(session, READ);
    host.end(read.dispatch, RequestEnding::Lost, false);
    let again = host.retry(session).unwrap();
    expect_that!(again.endpoint, not(eq(read.endpoint)));
    expect_that!(again.deadline, eq(read.deadline));
    host.complete(again.dispatch);
    host.run(500);
    let write = host.place(session, WRITE);
    expect_false!(write.repeatable);
    host.end(write.dispatch, RequestEnding::Lost, false);
    let refusal = host.retry(session).unwrap_err();
    expect_that!(refusal.verdict, eq(RunVerdict::MayHaveRun));
    host.run(500);
    host.set(session, "request_id", "order-2");
    let write = host.place(session, WRITE);
    host.end(write.dispatch, RequestEnding::Lost, false);
    host.run(500);
    let again = host.retry(session).unwrap();
    expect_that!(again.record, eq(&write.record));
}

/// Guards against a retry that runs a statement outside its transaction.
#[gtest]
fn a_part_of_a_transaction_is_not_placed_again() {
    let mut host = TestHost::new();
    let session = host.open();
    let begin = host.place(session, BEGIN);
    host.end(begin.dispatch, RequestEnding::Answered, true);
    let write = host.place(session, WRITE);
    host.end(write.dispatch, RequestEnding::NotSent, false);
    let refusal = host.retry(session).unwrap_err();
    expect_that!(refusal.verdict, eq(RunVerdict::NotRun));
}

/// Guards against retries that multiply an overload, and against a false "not run" when the retry
/// budget is used up.
#[gtest]
fn retries_end_with_the_budget_and_a_true_verdict() {
    let mut host = TestHost::new();
    let session = host.open();
    host.set(session, "repeatable", "on");
    let mut plan = host.place(session, WRITE);
    let mut retries = 0;
    let refusal = loop {
        host.end(plan.dispatch, RequestEnding::Lost, false);
        host.run(20);
        match host.retry(session) {
            Ok(again) => plan = again,
            Err(refusal) => break refusal,
        }
        retries += 1;
        assert!(retries < 100, "retries are not bounded");
    };
    expect_that!(retries, all!(ge(10), le(30)));
    expect_that!(refusal.verdict, eq(RunVerdict::MayHaveRun));
    expect_that!(refusal.code, eq(RefusalCode::OutcomeUnknown));
}
