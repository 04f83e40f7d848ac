//! Tests of the order of service, of expected waits and of the concurrency window.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use slotmap::{Key as _, KeyData};
use tanagerdeal_wire::CustomerName;

use super::flow::{FlowEntry, FlowQueue};
use super::{QueueEntry, QueueOrder, QueuePass, QueueTable, QueueTicket, WorkLane, is_admitted};
use crate::message::{EndpointKey, GroupKey, SessionKey};
use crate::profile::SchedulerPolicy;

const FAIR: SchedulerPolicy = SchedulerPolicy::Fair;

fn customer(name: &str) -> CustomerName {
    CustomerName::new(name).unwrap()
}

fn session(number: u64) -> SessionKey {
    SessionKey::from(KeyData::from_ffi(number | 1 << 32))
}

fn endpoint() -> EndpointKey {
    EndpointKey::from(KeyData::from_ffi(1 | 1 << 32))
}

fn group() -> GroupKey {
    GroupKey::from(KeyData::from_ffi(1 | 1 << 32))
}

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

struct Fixture {
    now: Instant,
    policy: SchedulerPolicy,
    queues: QueueTable,
    added: u64,
}

impl Fixture {
    fn new(policy: SchedulerPolicy) -> Self {
        Self { now: Instant::now(), policy, queues: QueueTable::default(), added: 0 }
    }

    fn add(&mut self, name: &str, weight: u32, worth: u32, deadline: Duration) -> QueueTicket {
        self.added += 1;
        let entry = QueueEntry {
            session: session(self.added),
            account: customer(name),
            lane: WorkLane::Write,
            deadline: self.now + deadline,
            weight,
            worth,
        };
        self.queues.enqueue(self.policy, group(), entry).unwrap()
    }

    fn serve(&mut self) -> Option<String> {
        let pass = QueuePass::default();
        let (ticket, session) = self.queues.next(self.policy, group(), &pass)?;
        assert!(!session.is_null());
        self.queues.serve(self.now, &ticket);
        Some(ticket.account.to_string())
    }

    fn serve_count(&mut self, count: usize) -> BTreeMap<String, usize> {
        let mut served = BTreeMap::new();
        for _ in 0..count {
            *served.entry(self.serve().unwrap()).or_default() += 1;
        }
        served
    }

    fn wait(&self, name: &str) -> Duration {
        let name = customer(name);
        self.queues.expected_wait(self.policy, self.now, group(), &name, WorkLane::Write, 1)
    }

    /// Serves one request every 10 ms, so that this becomes the measured rate.
    fn measure(&mut self, count: usize) {
        self.queues.note_full(self.now, group(), WorkLane::Write);
        for _ in 0..count {
            self.now += millis(10);
            self.serve();
        }
    }
}

/// Guards against a customer with a long queue that delays customers with short ones.
#[gtest]
fn service_follows_weights_not_queue_lengths() {
    let mut fixture = Fixture::new(FAIR);
    (0..600).for_each(|_| drop(fixture.add("large", 1, 1, millis(5_000))));
    (0..60).for_each(|_| drop(fixture.add("double", 2, 1, millis(5_000))));
    (0..60).for_each(|_| drop(fixture.add("small", 1, 1, millis(5_000))));
    let served = fixture.serve_count(40);
    let share = |name: &str| served.get(name).copied().unwrap_or(0);
    expect_that!(share("large"), all!(ge(9), le(11)));
    expect_that!(share("small"), all!(ge(9), le(11)));
    expect_that!(share("double"), all!(ge(19), le(21)));
}

/// Guards against an idle customer that accumulates credit and later delays the others.
#[gtest]
fn an_idle_customer_saves_up_no_service() {
    let mut fixture = Fixture::new(FAIR);
    (0..300).for_each(|_| drop(fixture.add("steady", 1, 1, millis(5_000))));
    fixture.serve_count(100);
    (0..300).for_each(|_| drop(fixture.add("late", 1, 1, millis(5_000))));
    let served = fixture.serve_count(40);
    expect_that!(served.get("steady"), some(ge(&19)));
}

/// Guards against an arbitrary order among customers with equal virtual finish times.
#[gtest]
fn earlier_deadline_then_higher_worth_decides_between_equals() {
    let mut fixture = Fixture::new(FAIR);
    fixture.add("a", 1, 1, millis(300));
    fixture.add("b", 1, 9, millis(200));
    fixture.add("c", 1, 5, millis(300));
    let order: Vec<String> = std::iter::from_fn(|| fixture.serve()).collect();
    expect_that!(order, elements_are![eq("b"), eq("c"), eq("a")]);
}

/// Guards against fair service in the baseline policy, which would hide the effect of fair queueing
/// in comparisons.
#[gtest]
fn the_baseline_serves_by_arrival() {
    let mut fixture = Fixture::new(SchedulerPolicy::Fifo);
    (0..5).for_each(|_| drop(fixture.add("large", 1, 1, millis(300))));
    fixture.add("small", 100, 9, millis(200));
    let served = fixture.serve_count(5);
    expect_that!(served.get("large"), some(eq(&5)));
}

/// Guards against requests that wait until their deadline although they cannot meet it, and against
/// refusals for a customer within its share.
#[gtest]
fn late_requests_are_found_at_the_customer_over_its_share() {
    let mut fixture = Fixture::new(FAIR);
    (0..120).for_each(|_| drop(fixture.add("large", 1, 1, millis(1_000))));
    fixture.measure(20);
    (0..5).for_each(|_| drop(fixture.add("small", 1, 1, millis(500))));
    let late = fixture.queues.late(FAIR, fixture.now);
    expect_that!(late, not(is_empty()));
    for (ticket, _, served_at) in &late {
        expect_that!(ticket.account.as_str(), eq("large"));
        expect_that!(*served_at, gt(fixture.now + millis(700)));
    }
    expect_that!(fixture.wait("large"), gt(millis(1_000)));
    expect_that!(fixture.wait("small"), lt(millis(150)));
    expect_that!(fixture.wait("other"), lt(millis(50)));
}

/// Guards against a failover that counts as slow service, after which requests are refused although
/// the new primary is fast.
#[gtest]
fn a_time_without_endpoint_does_not_count_as_service_time() {
    let mut fixture = Fixture::new(FAIR);
    (0..60).for_each(|_| drop(fixture.add("a", 1, 1, millis(9_000))));
    fixture.measure(20);
    fixture.queues.note_unroutable(group(), WorkLane::Write);
    fixture.now += millis(4_000);
    fixture.serve();
    expect_that!(fixture.wait("a"), lt(millis(600)));
}

/// Guards against an endpoint that has stalled but still counts as fast: the expected wait grows
/// with the stall at once, and requests are refused when half of their time has passed.
#[gtest]
fn a_stall_lengthens_the_expected_wait_at_once() {
    let mut fixture = Fixture::new(FAIR);
    (0..60).for_each(|_| drop(fixture.add("a", 1, 1, millis(9_000))));
    fixture.measure(20);
    let before = fixture.wait("a");
    fixture.now += millis(500);
    expect_that!(before, lt(millis(600)));
    expect_that!(fixture.wait("a"), ge(before + millis(490)));
    expect_that!(fixture.queues.late(FAIR, fixture.now), is_empty());
    fixture.now += millis(3_900);
    let late = fixture.queues.late(FAIR, fixture.now).len();
    expect_that!(late, all!(gt(0), lt(40)));
    fixture.now += millis(200);
    // All but the next one, which is served when the stall ends.
    expect_that!(fixture.queues.late(FAIR, fixture.now).len(), eq(39));
}

/// Guards against more work than there are connections, and more than an endpoint can run without
/// queueing.
#[gtest]
fn connections_and_latency_bound_the_work_in_flight() {
    let now = Instant::now();
    let mut queues = QueueTable::default();
    expect_false!(queues.has_room(endpoint()));
    queues.set_connections(endpoint(), 2);
    for _ in 0..2 {
        expect_true!(queues.has_room(endpoint()));
        queues.hold(endpoint());
        queues.begin(endpoint());
    }
    expect_false!(queues.has_room(endpoint()));
    queues.set_connections(endpoint(), 100);
    expect_true!(queues.has_room(endpoint()));
    queues.end(now, endpoint(), WorkLane::Read, Some(millis(1)));
    for step in 0..60 {
        queues.begin(endpoint());
        queues.end(now + millis(100 * step), endpoint(), WorkLane::Read, Some(millis(50)));
    }
    expect_false!(queues.has_room(endpoint()));
}

/// Guards against writes that count as an overload because they are slower than reads.
#[gtest]
fn latencies_of_reads_and_writes_are_not_compared() {
    let now = Instant::now();
    let mut queues = QueueTable::default();
    queues.set_connections(endpoint(), 100);
    for step in 0..60 {
        let at = now + millis(100 * step);
        for (lane, took) in [(WorkLane::Read, 1), (WorkLane::Write, 50)] {
            queues.begin(endpoint());
            queues.end(at, endpoint(), lane, Some(millis(took)));
        }
    }
    queues.begin(endpoint());
    expect_true!(queues.has_room(endpoint()));
}

/// Guards against queues that grow without bound, and against removed tickets that leave state
/// behind.
#[gtest]
fn queues_are_bounded_and_removal_is_complete() {
    let mut fixture = Fixture::new(FAIR);
    let tickets: Vec<_> =
        (0..super::MAX_QUEUED).map(|_| fixture.add("a", 1, 1, millis(100))).collect();
    let entry = QueueEntry {
        session: session(1),
        account: customer("b"),
        lane: WorkLane::Read,
        deadline: fixture.now,
        weight: 1,
        worth: 1,
    };
    expect_that!(fixture.queues.enqueue(FAIR, group(), entry), none());
    tickets.iter().for_each(|ticket| fixture.queues.remove(ticket));
    expect_that!(fixture.queues.backlogged(), is_empty());
    expect_that!(fixture.serve(), none());
}

/// Result of a run with more load than the endpoint can serve, in steps of 10 ms of virtual time.
struct OverloadRun {
    /// Requests served.
    served: usize,
    /// Longest time that an admitted request waited before it was refused.
    longest_refusal: Duration,
}

/// Bound of the check `refused_at_once` of the test bed.
const REFUSAL_BOUND: Duration = Duration::from_millis(1_000);

/// Time from arrival to deadline of the requests of an [`OverloadRun`].
const OVERLOAD_DEADLINE: Duration = Duration::from_millis(5_000);

/// Simulates 20 s: each customer sends a request every `arrival_steps` steps, and `is_served`
/// returns whether a request is served in a step.
fn overload(arrival_steps: usize, is_served: impl Fn(usize) -> bool) -> OverloadRun {
    let mut fixture = Fixture::new(FAIR);
    let mut waiting: BTreeMap<u64, (Instant, QueueTicket)> = BTreeMap::new();
    let mut run = OverloadRun { served: 0, longest_refusal: Duration::ZERO };
    let names = ["a", "b", "c", "d"];
    for step in 0..2_000_usize {
        fixture.now += millis(10);
        let arrivals = names.iter().enumerate();
        for (_, name) in arrivals.filter(|(index, _)| (step + index * 3) % arrival_steps == 0) {
            if is_admitted(fixture.wait(name), OVERLOAD_DEADLINE) {
                let ticket = fixture.add(name, 1, 1, OVERLOAD_DEADLINE);
                waiting.insert(fixture.added, (fixture.now, ticket));
            }
        }
        fixture.queues.note_full(fixture.now, group(), WorkLane::Write);
        if is_served(step)
            && let Some((ticket, _)) = fixture.queues.next(FAIR, group(), &QueuePass::default())
        {
            fixture.queues.serve(fixture.now, &ticket);
            waiting.retain(|_, (_, other)| *other != ticket);
            run.served += 1;
        }
        for (ticket, ..) in fixture.queues.late(FAIR, fixture.now) {
            fixture.queues.remove(&ticket);
            let found = waiting.iter().find(|(_, (_, other))| *other == ticket);
            let (number, added) = found.map(|(number, (added, _))| (*number, *added)).unwrap();
            waiting.remove(&number);
            run.longest_refusal = run.longest_refusal.max(fixture.now - added);
        }
    }
    run
}

/// Guards against requests that are admitted to an overloaded endpoint and refused near their
/// deadline. Load: half as much again as can be served, with services at irregular intervals.
#[gtest]
fn under_steady_overload_refusals_come_at_once() {
    let run = overload(8, |step| step % 3 == 0 || (step / 40) % 5 == 1 && step % 2 == 0);
    expect_that!(run.longest_refusal, le(REFUSAL_BOUND));
    expect_that!(run.served, ge(600));
}

/// Guards against refusals because of a stall shorter than the deadlines. Load: a primary that
/// hangs for 1.2 s until another one takes over.
#[gtest]
fn a_stall_shorter_than_the_deadline_refuses_nobody() {
    let run = overload(24, |step| !(500..620).contains(&step) && step % 4 == 0);
    expect_that!(run.longest_refusal, eq(Duration::ZERO));
    expect_that!(run.served, ge(300));
}

/// Guards against refusals because the first connections to a new endpoint take time to open. Load:
/// a start under load.
#[gtest]
fn a_slow_first_service_refuses_nobody() {
    let run = overload(24, |step| step >= 90 && step % 4 == 0);
    expect_that!(run.longest_refusal, eq(Duration::ZERO));
}

/// Guards against an endpoint that has become slow permanently but still counts as fast. Load: a
/// server at a fifth of its speed.
#[gtest]
fn an_endpoint_that_turns_slow_is_noticed() {
    let run = overload(16, |step| if step < 500 { step % 3 == 0 } else { step % 15 == 0 });
    expect_that!(run.longest_refusal, le(REFUSAL_BOUND));
}

/// Guards against expected waits that are computed for another order than that of service.
#[gtest]
fn the_service_order_is_that_of_repeated_services() {
    let now = Instant::now();
    let mut queue = FlowQueue::default();
    for number in 0..120_u64 {
        let account = ["a", "b", "c", "d"][(number % 7 % 4) as usize];
        let lane = if number % 3 == 0 { WorkLane::Write } else { WorkLane::Read };
        let order = QueueOrder(Some(now + millis(number * 37 % 50)), number);
        let weight = if account == "b" { 3 } else { 1 };
        queue.add(order, FlowEntry { account, lane, item: number, weight, worth: 1 });
        if number % 5 == 0 {
            let (position, _) = queue.next(FAIR, &QueuePass::default()).unwrap();
            queue.serve(now, &position);
        }
    }
    let expected = queue.service_order();
    let served: Vec<u64> = std::iter::from_fn(|| {
        let (position, item) = queue.next(FAIR, &QueuePass::default())?;
        queue.serve(now, &position);
        Some(item)
    })
    .collect();
    expect_that!(served, len(eq(96)));
    expect_that!(expected, eq(&served));
}
