//! Order and refusal of the statements that wait for one endpoint.

mod simulation;

use std::time::Duration;

use googletest::prelude::*;
use tanagerdeal_core::ledger::admission::{
    AdmissionDecision, EndpointAdmission, RefusalReason, TicketKey, WorkOutcome,
};
use tanagerdeal_core::ledger::capacity::WorkKind;

use self::simulation::{
    Outcome, Simulation, Stream, mean_refusal, of_stream, refused_within, served, wait_quantile,
};
use crate::support::{at, demand};

/// Statements that 4 slots serve in a second: 200.
const SLOTS: u32 = 4;

const URGENT: Stream = Stream {
    customer: "urgent",
    priority: 0,
    kind: WorkKind::Read,
    service_ms: 20,
    per_s: 50,
    patience_ms: 100,
    active_ms: (0, 10_000),
    is_retried: false,
};
const BULK: Stream = Stream { customer: "bulk", priority: 2, patience_ms: 300, ..URGENT };

const SERVICE: Duration = Duration::from_millis(URGENT.service_ms);

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Prints what became of each stream, for the figures of the design notes.
fn report(name: &str, streams: &[Stream], outcomes: &[Outcome]) {
    for (index, stream) in streams.iter().enumerate() {
        let of = of_stream(outcomes, index, 0, u64::MAX / 1_000);
        println!(
            "{name}: {} at {}/s: served {:.3} of {}, wait p50 {:?} p99 {:?}, refused within 5 ms {:.3}, \
             mean {:?}",
            stream.customer,
            stream.per_s,
            served(&of),
            of.len(),
            wait_quantile(&of, 0.5),
            wait_quantile(&of, 0.99),
            refused_within(&of, millis(5)),
            mean_refusal(&of),
        );
    }
}

fn run(name: &str, streams: &[Stream]) -> Vec<Outcome> {
    let outcomes = Simulation::new(SLOTS, streams).run();
    report(name, streams, &outcomes);
    outcomes
}

/// Tickets that may start.
fn started(admission: &mut EndpointAdmission, now: u64) -> Vec<TicketKey> {
    let decisions = admission.take_decisions(at(now));
    let tickets = decisions.into_iter().filter_map(|decision| match decision {
        AdmissionDecision::Start(ticket) => Some(ticket),
        AdmissionDecision::Refuse(..) => None,
    });
    tickets.collect()
}

/// An endpoint with one slot that is busy from 0 ms on, and the ticket of the running statement.
fn busy_endpoint() -> (EndpointAdmission, TicketKey) {
    let mut admission = EndpointAdmission::new(1, at(0));
    let ticket = admission.submit(at(0), demand("first", 0, at(300))).unwrap();
    assert_eq!(started(&mut admission, 0), [ticket]);
    (admission, ticket)
}

fn complete(admission: &mut EndpointAdmission, ticket: TicketKey, now: u64) -> Vec<TicketKey> {
    admission.finish(at(now), ticket, WorkOutcome::Completed { took: SERVICE });
    started(admission, now)
}

/// Load: a surge of the lowest priority beside urgent work. Guards against urgent work that waits
/// behind it, and against slots that stay idle meanwhile. Fails without the levels, e.g. with
/// `priority: 0` in `EndpointAdmission::submit`.
#[gtest]
fn a_surge_of_the_lowest_priority_does_not_delay_urgent_work() {
    let outcomes = run("surge", &[URGENT, Stream { per_s: 400, ..BULK }]);
    let urgent = of_stream(&outcomes, 0, 0, 10_000);
    expect_that!(served(&urgent), ge(0.99));
    expect_that!(wait_quantile(&urgent, 0.95), le(millis(25)));
    let started = outcomes.iter().filter(|outcome| outcome.start.is_some()).count();
    expect_that!(started, ge(1_700));
}

/// Load: urgent work that needs 80% of the endpoint, beside more of the lowest priority than the
/// rest. Guards against shares that are fixed by weights: urgent work would wait for its share. The
/// lowest priority delays it by the starts that it is due and by the statements that run. Fails with
/// a `FLOOR_STARTS` of 2.
#[gtest]
fn urgent_work_that_needs_most_of_the_endpoint_gets_it() {
    let outcomes = run("heavy", &[Stream { per_s: 160, ..URGENT }, Stream { per_s: 200, ..BULK }]);
    let urgent = of_stream(&outcomes, 0, 0, 10_000);
    expect_that!(served(&urgent), ge(0.95));
    expect_that!(wait_quantile(&urgent, 0.5), le(millis(20)));
}

/// Load: one customer sends more than the endpoint serves, beside eight with little work of the
/// same priority. Guards against refusals of the small ones. Fails with one flow for all customers,
/// e.g. an empty `account` in `EndpointAdmission::enqueue`.
#[gtest]
fn a_hot_customer_takes_only_its_share() {
    let small = ["a", "b", "c", "d", "e", "f", "g", "h"].map(|customer| Stream {
        customer,
        per_s: 10,
        ..URGENT
    });
    let hot = Stream { customer: "hot", per_s: 400, ..URGENT };
    let streams = [&small[..], &[hot]].concat();
    let outcomes = run("hot", &streams);
    for index in 0..small.len() {
        expect_that!(served(&of_stream(&outcomes, index, 0, 10_000)), ge(0.98));
    }
    // The rest of 200 a second.
    let hot = of_stream(&outcomes, small.len(), 0, 10_000);
    expect_that!(served(&hot), all!(ge(0.25), le(0.33)));
}

/// Load: work of three priorities, of which the endpoint serves the two upper ones and a part of
/// the lowest. Guards against refusals of the upper ones, and against refusals of the lowest near
/// its deadline. Fails if `EndpointAdmission::wait_at` doesn't divide by the share, and without
/// `is_admitted` in `submit`.
#[gtest]
fn in_an_overload_the_lowest_priority_is_refused_first_and_at_once() {
    let middle = Stream { customer: "middle", priority: 1, per_s: 80, ..URGENT };
    let streams = [URGENT, middle, Stream { per_s: 200, ..BULK }];
    let outcomes = run("overload", &streams);
    expect_that!(served(&of_stream(&outcomes, 0, 0, 10_000)), ge(0.99));
    expect_that!(served(&of_stream(&outcomes, 1, 0, 10_000)), ge(0.97));
    let bulk = of_stream(&outcomes, 2, 0, 10_000);
    expect_that!(served(&bulk), all!(ge(0.25), le(0.4)));
    expect_that!(refused_within(&bulk, millis(5)), ge(0.9));
}

/// Load: a burst of 100 statements at once, whose clients come back when they were told to. Guards
/// against a time to retry that doesn't follow from the rate of service: if it is too short, the
/// retries are refused as well; if it is too long, the slots are idle. Fails if
/// `EndpointAdmission::refuse` doesn't add the interval to the last retry.
#[gtest]
fn clients_that_retry_when_they_were_told_to_are_served() {
    let burst = Stream {
        customer: "burst",
        per_s: 100_000,
        active_ms: (1_000, 1_001),
        is_retried: true,
        ..URGENT
    };
    // Replies from which the service time is learned.
    let warm_up = Stream { active_ms: (0, 900), ..URGENT };
    let outcomes = run("retry", &[warm_up, burst]);
    let burst = of_stream(&outcomes, 1, 0, 10_000);
    let (first, retries): (Vec<_>, Vec<_>) = burst.iter().partition(|outcome| !outcome.is_retry);
    expect_that!(first.len(), all!(ge(80), le(120)));
    expect_that!(retries.len(), ge(60));
    expect_that!(served(&retries), ge(0.9));
    let last = retries.iter().map(|outcome| outcome.arrived).max().unwrap();
    // All of the burst takes 5 ms a statement.
    let ideal = millis(5) * u32::try_from(first.len()).unwrap();
    expect_that!(last.since(at(1_000)), all!(ge(ideal.mul_f64(0.7)), le(ideal.mul_f64(1.3))));
}

/// Load: urgent work of twice what the endpoint serves, for 10 s, beside a little of the lowest
/// priority. Guards against a priority that is never served. Fails without `owed_level` in
/// `TurnTable::take_next`.
#[gtest]
fn the_lowest_priority_is_not_starved() {
    let outcomes =
        run("starvation", &[Stream { per_s: 400, ..URGENT }, Stream { per_s: 20, ..BULK }]);
    let bulk = of_stream(&outcomes, 1, 0, 10_000);
    for second in 1..9 {
        let of_second = of_stream(&bulk, 1, second * 1_000, second * 1_000 + 1_000);
        let served = of_second.iter().filter(|outcome| outcome.start.is_some()).count();
        expect_that!(served, ge(3));
    }
    let urgent = of_stream(&outcomes, 0, 0, 10_000);
    expect_that!(served(&urgent), ge(0.43));
}

/// Load: a new urgent statement arrives before the next statement of an open transaction. Guards
/// against transactions that hold locks while they wait for new work. Fails if `submit` ignores
/// `is_continuation`.
#[gtest]
fn open_transactions_finish_before_new_ones_start() {
    let (mut admission, first) = busy_endpoint();
    let new = admission.submit(at(1), demand("a", 0, at(300))).unwrap();
    let mut continuation = demand("b", 2, at(300));
    continuation.is_continuation = true;
    let continuation = admission.submit(at(2), continuation).unwrap();
    expect_that!(complete(&mut admission, first, 20), elements_are![eq(&continuation)]);
    expect_that!(complete(&mut admission, continuation, 40), elements_are![eq(&new)]);
}

/// Guards against slots that go to statements whose clients no longer wait. Fails without
/// `refuse_expired` in `take_decisions`.
#[gtest]
fn a_statement_that_has_expired_leaves_the_queue() {
    let (mut admission, first) = busy_endpoint();
    let expired = admission.submit(at(1), demand("a", 0, at(60))).unwrap();
    let waiting = admission.submit(at(2), demand("a", 0, at(300))).unwrap();
    expect_that!(admission.take_decisions(at(3)), is_empty());
    expect_that!(admission.next_deadline(), some(le(at(60))));
    admission.finish(at(61), first, WorkOutcome::Completed { took: SERVICE });
    let decisions = admission.take_decisions(at(61));
    expect_that!(decisions, len(eq(2)));
    let is_refused = |decision: &AdmissionDecision| {
        matches!(decision, AdmissionDecision::Refuse(ticket, refusal)
            if *ticket == expired && refusal.reason == RefusalReason::Expired)
    };
    expect_true!(decisions.iter().any(is_refused));
    expect_that!(decisions, contains(eq(&AdmissionDecision::Start(waiting))));
}

/// Load: an endpoint that stops replying. Guards against statements that wait for it until their
/// deadlines, and against new ones that are queued meanwhile. Fails if `remaining_time` is 0 once
/// the service time has passed.
#[gtest]
fn the_expected_wait_grows_while_an_endpoint_stalls() {
    let (mut admission, _) = busy_endpoint();
    let waiting = admission.submit(at(1), demand("a", 0, at(200))).unwrap();
    admission.take_decisions(at(1));
    let mut last = admission.summary(at(40)).expected_wait;
    for now in (60..200).step_by(20) {
        let wait = admission.summary(at(now)).expected_wait;
        expect_that!(wait, gt(last));
        last = wait;
    }
    let mut refused_at = None;
    while let Some(now) = admission.next_deadline().filter(|_| refused_at.is_none()) {
        let decisions = admission.take_decisions(now);
        let is_refused = |decision: &AdmissionDecision| matches!(decision, AdmissionDecision::Refuse(ticket, _) if *ticket == waiting);
        refused_at = decisions.iter().any(is_refused).then_some(now);
    }
    expect_that!(refused_at, some(all!(ge(at(90)), le(at(130)))));
    let refusal = admission.submit(at(200), demand("a", 0, at(300))).unwrap_err();
    expect_that!(refusal.reason, eq(RefusalReason::Backlog));
    expect_that!(refusal.retry_after, ge(millis(100)));
}

/// Load: a stall of 500 ms and a surge of three times what the endpoint serves. Guards against
/// refusals after both are over. Fails if `DemandMeter::decay` returns 1.
#[gtest]
fn after_a_surge_and_a_stall_all_work_is_served() {
    let surge = Stream { per_s: 600, active_ms: (2_000, 4_000), ..URGENT };
    let steady = Stream { per_s: 60, ..URGENT };
    let streams = [steady, surge, Stream { priority: 2, ..steady }];
    let outcomes = Simulation::new(SLOTS, &streams).stalled(5_000, 5_500).run();
    report("after", &streams, &outcomes);
    for index in [0, 2] {
        expect_that!(served(&of_stream(&outcomes, index, 0, 2_000)), ge(0.99));
        expect_that!(served(&of_stream(&outcomes, index, 4_600, 4_900)), ge(0.99));
        expect_that!(served(&of_stream(&outcomes, index, 6_000, 10_000)), ge(0.99));
    }
}

/// Load: 4 slots, 70 statements a second of 10 to 60 ms, and three times as many for 3 s. Guards
/// against refusals of urgent writes in the peak, and against refusals of reads that leave their
/// slots to the lowest priority. Reads that find all slots taken by long statements may be refused,
/// since these run to their end. Fails if `has_less_urgent` returns false.
#[gtest]
fn a_peak_leaves_no_slots_to_less_urgent_work() {
    let write =
        Stream { kind: WorkKind::Write, service_ms: 35, per_s: 15, patience_ms: 150, ..URGENT };
    let read = Stream { priority: 1, service_ms: 10, per_s: 45, patience_ms: 60, ..URGENT };
    let report_read = Stream { service_ms: 60, per_s: 10, ..BULK };
    let streams = [write, read, report_read];
    let peak =
        |stream: Stream| Stream { per_s: stream.per_s * 2, active_ms: (4_000, 7_000), ..stream };
    let outcomes = Simulation::new(SLOTS, &[streams, streams.map(peak)].concat()).run();
    report("peak", &[streams, streams.map(peak)].concat(), &outcomes);
    for index in 0..3 {
        expect_that!(served(&of_stream(&outcomes, index, 0, 4_000)), ge(0.97));
        expect_that!(served(&of_stream(&outcomes, index, 8_000, 10_000)), ge(0.97));
    }
    expect_that!(served(&of_stream(&outcomes, 0, 4_000, 7_000)), ge(0.97));
    expect_that!(served(&of_stream(&outcomes, 1, 4_000, 7_000)), ge(0.7));
}

/// Guards against statements that are sent one after another to an endpoint that refuses them
/// because it is full. Fails if `finish` doesn't set `full_until`.
#[gtest]
fn a_full_endpoint_gets_no_statement_for_a_moment() {
    let (mut admission, first) = busy_endpoint();
    let waiting = admission.submit(at(1), demand("a", 0, at(300))).unwrap();
    admission.finish(at(2), first, WorkOutcome::Full);
    expect_that!(started(&mut admission, 2), is_empty());
    let resumed = admission.next_deadline().unwrap();
    expect_that!(resumed, all!(gt(at(2)), le(at(40))));
    expect_that!(
        admission.take_decisions(resumed),
        elements_are![eq(&AdmissionDecision::Start(waiting))]
    );
}

/// Guards against a slot for a client that has left, and against a slot that is lost with it.
/// Fails if `EndpointAdmission::cancel` doesn't withdraw the statement.
#[gtest]
fn a_cancelled_statement_is_not_started() {
    let (mut admission, first) = busy_endpoint();
    let cancelled = admission.submit(at(1), demand("a", 0, at(300))).unwrap();
    let waiting = admission.submit(at(2), demand("b", 0, at(300))).unwrap();
    admission.cancel(at(3), cancelled);
    expect_that!(complete(&mut admission, first, 20), elements_are![eq(&waiting)]);
    admission.finish(at(25), waiting, WorkOutcome::Cancelled);
    expect_that!(admission.summary(at(25)).running, eq(0));
    expect_that!(admission.next_deadline(), none());
}

/// Load: more statements than the queue holds. Guards against unbounded memory use, and against an
/// urgent statement that is refused because less urgent ones fill the queue. Fails without
/// `displace` in `submit`.
#[gtest]
fn an_urgent_statement_displaces_the_least_urgent_one_from_a_full_queue() {
    let (mut admission, _) = busy_endpoint();
    let submitted = (0..1_024).map(|_| admission.submit(at(1), demand("a", 1, at(10_000_000))));
    expect_that!(submitted.filter(|result| result.is_ok()).count(), eq(1_024));
    let refusal = admission.submit(at(2), demand("b", 1, at(10_000_000))).unwrap_err();
    expect_that!(refusal.reason, eq(RefusalReason::QueueFull));
    expect_that!(admission.submit(at(2), demand("b", 0, at(10_000_000))), ok(anything()));
    let decisions = admission.take_decisions(at(2));
    let is_displaced = |decision: &AdmissionDecision| {
        matches!(decision, AdmissionDecision::Refuse(_, refusal)
            if refusal.reason == RefusalReason::QueueFull)
    };
    expect_that!(decisions.iter().filter(|decision| is_displaced(decision)).count(), eq(1));
    expect_that!(admission.summary(at(2)).waiting.values().sum::<usize>(), eq(1_024));
}
