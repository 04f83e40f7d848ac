//! Authorization by key, customer and route, and its revocation.

use std::time::Duration;

use googletest::prelude::*;

use super::harness::{TestHost, at};
use crate::message::caller::{CallerAnswer, CallerCall, RequestEnding};
use crate::message::{DrainPhase, HostOutput, SessionKey};
use crate::statement::StatementClass;
use crate::verdict::{RefusalCode, RunVerdict};

const OPEN_TRANSACTION: StatementClass = StatementClass::Begin { read_only: false };

fn closed(host: &TestHost, session: SessionKey) -> Option<RefusalCode> {
    host.other_outputs.iter().find_map(|output| match output {
        HostOutput::CloseSession(key, refusal) if *key == session => Some(refusal.code),
        _ => None,
    })
}

/// Guards against answers that reveal which customers, keys or routes exist, and against a key that
/// opens sessions of another customer.
#[gtest]
fn wrong_names_and_keys_get_one_same_refusal() {
    let mut host = TestHost::new();
    let openings = [
        ("quarry", "main", Some("k1.wrong")),
        ("quarry", "main", Some("k9.x")),
        ("nobody", "main", Some("k1.x")),
        ("quarry", "nowhere", Some("k1.x")),
        ("quarry", "main", Some("k2.x")),
        ("quarry", "closed", Some("k1.x")),
        ("quarry", "main", Some("no-dot")),
        ("quarry", "main", None),
        ("quarry", "bad name", Some("k1.x")),
    ];
    let refusals: Vec<_> =
        openings.iter().map(|opening| host.open_with(*opening, &[]).unwrap_err()).collect();
    expect_that!(refusals[0].code, eq(RefusalCode::InvalidKey));
    expect_true!(refusals.iter().all(|refusal| *refusal == refusals[0]));
    expect_that!(host.state.counters.sessions_refused, eq(9));
    let asked = ["main", "nowhere"].map(|database| {
        let database = database.to_owned();
        host.ask(CallerCall::AskRoute { database })
    });
    expect_that!(asked[0], eq(&asked[1]));
    expect_that!(host.open_with(("mill", "closed", Some("k2.x")), &[]), ok(anything()));
}

/// Guards against an open route on which a client without a key uses up the rate of the customer
/// that it names, or reads that customer's tokens.
#[gtest]
fn an_open_route_gives_no_customers_rights() {
    let mut host = TestHost::new();
    let session = host.open();
    let token = host.write(session, 101, true);
    let open = host.open_with(("quarry", "public", None), &[]).unwrap();
    for _ in 0..300 {
        let plan = host.place(open, StatementClass::Read);
        host.complete(plan.dispatch);
    }
    expect_that!(
        host.set(open, "session_token", &token),
        matches_pattern!(CallerAnswer::Refused(_))
    );
    let plan = host.place(session, StatementClass::Read);
    expect_that!(plan.record, none());
    let open_token = host.show(open, "session_token");
    let answer = host.set(session, "session_token", &open_token);
    expect_that!(answer, matches_pattern!(CallerAnswer::Refused(_)));
}

/// Guards against a revoked key that still works, and against a false "not run" for a commit in
/// progress.
#[gtest]
fn a_revoked_key_stops_at_once_but_running_requests_end() {
    let mut host = TestHost::new();
    let (idle, busy, open) = (host.open(), host.open(), host.open());
    let begin = host.place(open, OPEN_TRANSACTION);
    host.end(begin.dispatch, RequestEnding::Answered, true);
    let plan = host.place(busy, StatementClass::Write);
    host.put("records/key/k1", None);
    let refusal = host.try_place(open, StatementClass::Write).unwrap_err();
    expect_that!(refusal.code, eq(RefusalCode::InvalidKey));
    host.run(20);
    for session in [idle, busy, open] {
        expect_that!(closed(&host, session), some(eq(RefusalCode::InvalidKey)));
    }
    expect_that!(host.commit(plan.dispatch, at(1, 100)), ok(anything()));
    host.complete(plan.dispatch);
    let rollback = host.place(open, StatementClass::Rollback);
    host.complete(rollback.dispatch);
    expect_true!(host.state.sessions.is_empty());
    expect_that!(host.state.sessions.running(), eq(0));
}

/// Guards against a waiting request that is placed after its customer was removed.
#[gtest]
fn a_waiting_request_of_a_removed_customer_is_refused() {
    let mut host = TestHost::new();
    let session = host.open();
    host.members.iter_mut().for_each(|member| member.is_reachable = false);
    let tag = host.submit(session, StatementClass::Read);
    expect_that!(host.answer(tag), none());
    host.put("records/customer/quarry", None);
    host.run(20);
    let refusal = host.await_result(tag).unwrap_err();
    expect_that!(refusal.code, eq(RefusalCode::InvalidKey));
    expect_that!(refusal.verdict, eq(RunVerdict::NotRun));
}

/// Guards against requests with a key on records that may be out of date, and against open routes
/// that stop as well.
#[gtest]
fn without_catalog_confirmation_only_open_routes_are_served() {
    let mut host = TestHost::new();
    let keyed = host.open();
    let open = host.open_with(("anyone", "public", None), &[]).unwrap();
    host.is_store_reachable = false;
    host.run(4_500);
    let refusal = host.try_place(keyed, StatementClass::Write).unwrap_err();
    expect_that!(refusal.code, eq(RefusalCode::Unavailable));
    expect_that!(refusal.retry_at, some(gt(host.now)));
    let refusal = host.open_with(("quarry", "main", Some("k1.x")), &[]).unwrap_err();
    expect_that!(refusal.code, eq(RefusalCode::Unavailable));
    host.place(open, StatementClass::Write);
}

/// Guards against a customer that takes all sessions of a host.
#[gtest]
fn sessions_of_a_customer_are_bounded() {
    let mut host = TestHost::new();
    let sessions: Vec<_> = (0..3).map(|_| host.open()).collect();
    let refusal = host.open_with(("quarry", "main", Some("k1.x")), &[]).unwrap_err();
    expect_that!(refusal.code, eq(RefusalCode::LimitExceeded));
    host.call(CallerCall::CloseSession { session: sessions[0] });
    expect_that!(host.open_with(("quarry", "main", Some("k1.x")), &[]), ok(anything()));
}

/// Guards against a shutdown that interrupts a transaction or waits for idle sessions.
#[gtest]
fn a_draining_host_closes_idle_sessions_and_finishes_transactions() {
    let mut host = TestHost::new();
    let (idle, open) = (host.open(), host.open());
    let begin = host.place(open, OPEN_TRANSACTION);
    host.end(begin.dispatch, RequestEnding::Answered, true);
    host.state.drain.phase = DrainPhase::Draining;
    host.state.drain.finish_by = Some(host.now + Duration::from_secs(30));
    host.run(40);
    expect_that!(closed(&host, idle), some(eq(RefusalCode::ShuttingDown)));
    expect_that!(closed(&host, open), none());
    let refusal = host.open_with(("quarry", "main", Some("k1.x")), &[]).unwrap_err();
    expect_that!(refusal.code, eq(RefusalCode::ShuttingDown));
    let commit = host.place(open, StatementClass::Commit);
    expect_that!(commit.dispatch, eq(begin.dispatch));
    host.complete(commit.dispatch);
    host.run(20);
    expect_that!(closed(&host, open), some(eq(RefusalCode::ShuttingDown)));
}
