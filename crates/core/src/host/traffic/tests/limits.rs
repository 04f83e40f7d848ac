//! Rate limits, loans, connection limits and queues.

use std::time::Duration;

use googletest::prelude::*;
use serde_json::json;
use tanagerdeal_wire::CustomerName;
use tanagerdeal_wire::peer::{BorrowRequest, PeerRequest, ShareLoan, ShareResource};
use tanagerdeal_wire::{EndpointName, HostName};

use super::harness::TestHost;
use crate::message::caller::{CallerAnswer, CallerCall, RequestEnding};
use crate::message::{HostOutput, SessionKey};
use crate::share::BaseShare;
use crate::statement::StatementClass;
use crate::verdict::{RefusalCode, RunVerdict};

const READ: StatementClass = StatementClass::Read;
const WRITE: StatementClass = StatementClass::Write;

fn rate() -> ShareResource {
    ShareResource::CustomerRate(CustomerName::new("quarry").unwrap())
}

fn set_rate(host: &mut TestHost, rate_per_s: u32, burst: u32) {
    let record = json!({"schema": 1, "rate_per_s": rate_per_s, "burst": burst});
    host.put("records/customer/quarry", Some(record));
    host.run(10_000);
}

fn serve(host: &mut TestHost, session: SessionKey, count: usize) {
    for _ in 0..count {
        let plan = host.place(session, READ);
        host.complete(plan.dispatch);
    }
}

/// Guards against requests beyond rate and burst, and against a refusal without a usable retry
/// time.
#[gtest]
fn a_customer_over_its_rate_is_refused_with_a_time() {
    let mut host = TestHost::new();
    set_rate(&mut host, 2, 5);
    let session = host.open();
    let plan = host.place(session, READ);
    host.complete(plan.dispatch);
    serve(&mut host, session, 4);
    let refusal = host.try_place(session, READ).unwrap_err();
    expect_that!(refusal.code, eq(RefusalCode::RateExceeded));
    expect_that!(refusal.verdict, eq(RunVerdict::NotRun));
    let wait = refusal.retry_at.unwrap() - host.now;
    expect_that!(wait, le(Duration::from_millis(501)));
    host.run(u64::try_from(wait.as_millis()).unwrap() + 1);
    expect_that!(host.try_place(session, READ), ok(anything()));
}

/// Guards against a transaction that fails because its customer is briefly out of tokens.
#[gtest]
fn a_statement_of_a_transaction_waits_for_a_token() {
    let mut host = TestHost::new();
    set_rate(&mut host, 2, 2);
    let session = host.open();
    let begin = host.place(session, StatementClass::Begin { read_only: false });
    host.end(begin.dispatch, RequestEnding::Answered, true);
    let write = host.place(session, WRITE);
    host.end(write.dispatch, RequestEnding::Answered, true);
    let tag = host.submit(session, WRITE);
    host.run(400);
    expect_that!(host.answer(tag), none());
    host.run(120);
    let Some(CallerAnswer::RequestPlaced(plan)) = host.answer(tag) else { panic!("not placed") };
    host.end(plan.dispatch, RequestEnding::Answered, true);
    host.set(session, "deadline_ms", "300");
    let refusal = host.try_place(session, WRITE).unwrap_err();
    expect_that!(refusal.code, eq(RefusalCode::RateExceeded));
    expect_that!(host.try_place(session, StatementClass::Rollback), ok(anything()));
}

/// Guards against more work on an endpoint than it has connections for, and against a queue that
/// does not continue when a connection becomes free.
#[gtest]
fn connections_bound_the_work_and_the_queue_goes_on() {
    let mut host = TestHost::new();
    host.put(
        "records/customer/quarry",
        Some(json!({"schema": 1, "rate_per_s": 900, "burst": 900})),
    );
    let sessions: Vec<_> = (0..6).map(|_| host.open()).collect();
    let tags: Vec<_> = sessions.iter().map(|session| host.submit(*session, WRITE)).collect();
    let placed: Vec<_> = tags.iter().map(|tag| host.answer(*tag)).collect();
    expect_that!(placed.iter().flatten().count(), eq(4));
    host.call(CallerCall::AbandonRequest { session: sessions[4] });
    let Some(CallerAnswer::RequestPlaced(plan)) = &placed[0] else { panic!("not placed") };
    host.complete(plan.dispatch);
    expect_that!(host.answer(tags[5]), some(matches_pattern!(CallerAnswer::RequestPlaced(_))));
    expect_that!(host.answer(tags[4]), none());
    host.call(CallerCall::CloseSession { session: sessions[1] });
    expect_that!(host.state.queues.held(plan.endpoint), eq(3));
    expect_that!(host.submit(sessions[4], WRITE), not(eq(tags[4])));
    expect_that!(host.state.sessions.running(), eq(4));
}

/// Guards against a request that waits until its deadline although it cannot be served in time.
#[gtest]
fn a_request_that_cannot_be_on_time_is_refused_at_once() {
    let mut host = TestHost::new();
    host.put(
        "records/customer/quarry",
        Some(json!({"schema": 1, "rate_per_s": 900, "burst": 900})),
    );
    let sessions: Vec<_> = (0..30).map(|_| host.open()).collect();
    for session in &sessions {
        host.set(*session, "deadline_ms", "2000");
    }
    let tags: Vec<_> = sessions.iter().map(|session| host.submit(*session, WRITE)).collect();
    let mut refused = 0;
    let mut open = Vec::new();
    // One write ends every 200 ms, so about ten of the waiting ones can be served in time.
    for _ in 0..5 {
        for tag in &tags {
            match host.answer(*tag) {
                Some(CallerAnswer::RequestPlaced(plan)) => open.push(plan.dispatch),
                Some(CallerAnswer::Refused(refusal)) => {
                    expect_that!(refusal.code, eq(RefusalCode::Overloaded));
                    expect_that!(refusal.retry_at, some(gt(host.now)));
                    refused += 1;
                }
                _ => {}
            }
        }
        host.run(200);
        let dispatch = open.remove(0);
        host.complete(dispatch);
    }
    expect_that!(refused, all!(ge(8), le(22)));
}

/// Guards against the use of connections that have been lent, which must also be closed.
#[gtest]
fn lent_connections_are_not_used() {
    let mut host = TestHost::new();
    let resource = ShareResource::EndpointConnections(EndpointName::new("e0").unwrap());
    let borrower = HostName::new("h2").unwrap();
    let request = BorrowRequest { resource, units: 4, valid_ms: 10_000, borrower, incarnation: 1 };
    host.other_outputs.clear();
    let loan = host.state.shares.lend(host.now, &request);
    expect_that!(loan.units, eq(2));
    host.run(20);
    let limits: Vec<_> = host.other_outputs.iter().filter_map(limit_of).collect();
    expect_that!(limits, elements_are![eq(&("e0".to_owned(), 2))]);
    let sessions: Vec<_> = (0..3).map(|_| host.open()).collect();
    let tags: Vec<_> = sessions.iter().map(|session| host.submit(*session, WRITE)).collect();
    expect_that!(tags.iter().filter_map(|tag| host.answer(*tag)).count(), eq(2));
    host.run(10_000);
    let limits: Vec<_> = host.other_outputs.iter().filter_map(limit_of).collect();
    expect_that!(limits.last(), some(eq(&("e0".to_owned(), 4))));
}

fn limit_of(output: &HostOutput) -> Option<(String, u32)> {
    match output {
        HostOutput::LimitConnections { name, limit, .. } => Some((name.to_string(), *limit)),
        _ => None,
    }
}

/// Guards against a host that has too few connections for its requests and does not borrow any, and
/// against borrowed connections that are used until the very end of their loan.
#[gtest]
fn connections_are_borrowed_and_given_up_in_time() {
    let mut host = TestHost::new();
    host.join_peer();
    host.set_ninth_base_share();
    host.run(40);
    let sessions = [host.open(), host.open()];
    let tags = sessions.map(|session| host.submit(session, WRITE));
    let Some(CallerAnswer::RequestPlaced(first)) = host.answer(tags[0]) else { panic!("waits") };
    host.run(200);
    expect_that!(host.answer(tags[1]), none());
    let (call, asked) = host.last_borrow_request().expect("a loan is requested");
    let resource = ShareResource::EndpointConnections(EndpointName::new("e0").unwrap());
    expect_that!((&asked.resource, asked.units), eq((&resource, 1)));
    host.other_outputs.clear();
    host.answer_borrow(call, ShareLoan { resource, units: 1, millitokens: 0, valid_ms: 10_000 });
    let Some(CallerAnswer::RequestPlaced(second)) = host.answer(tags[1]) else { panic!("waits") };
    let lent_at = host.now;
    host.complete(first.dispatch);
    host.complete(second.dispatch);
    host.run(9_000);
    let last = host.other_outputs.iter().rev().find_map(|output| match output {
        HostOutput::LimitConnections { name, limit, close_by, .. } if name.as_str() == "e0" => {
            Some((*limit, *close_by))
        }
        _ => None,
    });
    let (limit, close_by) = last.expect("the limit was lowered");
    expect_that!(limit, eq(1));
    expect_that!(close_by, lt(lent_at + Duration::from_secs(10)));
}

/// Guards against a host that was paused and places work on connections whose share has ended.
#[gtest]
fn a_paused_host_does_not_use_ended_connections() {
    let mut host = TestHost::new();
    let session = host.open();
    let valid_until = host.now + Duration::from_secs(3);
    let base = BaseShare { numerator: 1, denominator: 1, rank: 0, valid_until };
    host.state.shares.set_base(host.now, base);
    expect_that!(host.try_place(session, WRITE).map(|plan| host.complete(plan.dispatch)), ok(()));
    host.now += Duration::from_secs(4);
    let public = host.open_with(("anyone", "public", None), &[]).unwrap();
    let tag = host.submit(public, WRITE);
    expect_that!(host.answer(tag), none());
}

/// Guards against requests within the rate that are refused because they arrived at a host with a
/// small share.
#[gtest]
fn a_request_waits_for_a_loan() {
    let mut host = TestHost::new();
    set_rate(&mut host, 20, 4);
    host.join_peer();
    host.set_ninth_base_share();
    let session = host.open();
    let tag = host.submit(session, WRITE);
    expect_that!(host.answer(tag), none());
    let (call, asked) = host.last_borrow_request().expect("a loan is requested");
    expect_that!(asked.resource, eq(&rate()));
    let loan =
        ShareLoan { resource: rate(), units: asked.units, millitokens: 1_000, valid_ms: 10_000 };
    host.answer_borrow(call, loan);
    expect_that!(host.answer(tag), some(matches_pattern!(CallerAnswer::RequestPlaced(_))));
}

/// Guards against requests of a customer over its rate that wait although nothing can be borrowed.
#[gtest]
fn without_a_loan_the_refusal_is_immediate() {
    let mut host = TestHost::new();
    set_rate(&mut host, 1, 4);
    host.join_peer();
    host.set_ninth_base_share();
    let session = host.open();
    let tag = host.submit(session, WRITE);
    let (call, _) = host.last_borrow_request().expect("a loan is requested");
    host.answer_borrow(call, ShareLoan { resource: rate(), units: 0, millitokens: 0, valid_ms: 0 });
    let refusal = host.await_result(tag).unwrap_err();
    expect_that!(refusal.code, eq(RefusalCode::RateExceeded));
    expect_that!(refusal.retry_at, some(gt(host.now)));
}

/// Guards against a flood of loan requests that bring nothing.
#[gtest]
fn requests_for_loans_are_paced() {
    let mut host = TestHost::new();
    set_rate(&mut host, 1, 4);
    host.join_peer();
    let session = host.open();
    host.other_outputs.clear();
    let mut refused = 0;
    for _ in 0..200 {
        refused += u32::from(
            host.try_place(session, WRITE).map(|plan| host.complete(plan.dispatch)).is_err(),
        );
        host.run(10);
    }
    let is_borrow = |output: &&HostOutput| {
        matches!(output, HostOutput::SendPeer { request: PeerRequest::Borrow(_), .. })
    };
    expect_that!(refused, gt(100));
    expect_that!(host.other_outputs.iter().filter(is_borrow).count(), le(20));
}
