//! Where requests go.

use googletest::prelude::*;
use tanagerdeal_wire::member::{MemberRole, TermStart};

use super::{Table, position};
use crate::profile::ReadPolicy;
use crate::routing::member::ProbeState;
use crate::routing::{PositionCheck, RouteChoice, RouteQuery};

/// Guards against writes at a member that is not the primary of the highest term known.
#[gtest]
fn write_goes_to_the_primary_of_the_highest_term() {
    let mut table = Table::new();
    assert_that!(table.place(table.write()), some(eq(0)));
    let mut status = Table::status(2, 2, 10);
    status.role = MemberRole::Primary;
    table.answer_with(2, status);
    assert_that!(table.place(table.write()), some(eq(2)));
    table.pass(10);
    table.answer(0, 11);
    assert_that!(table.place(table.write()), some(eq(2)), "the old primary still answers");
}

/// Guards against reads of the session's own writes at a replica that has not applied them.
#[gtest]
fn replica_that_is_behind_is_not_chosen() {
    let mut table = Table::new();
    table.answer(0, 20);
    table.answer(2, 20);
    assert_that!(table.place(table.read_at(position(1, 10))), some(eq(1)), "own failure domain");
    assert_that!(table.place(table.read_at(position(1, 11))), some(eq(2)));
    assert_that!(table.place(table.read_at(position(1, 21))), some(eq(0)));
}

/// Guards against current reads that miss a commit which this host has acknowledged.
#[gtest]
fn current_read_contains_what_this_host_acknowledged() {
    let mut table = Table::new();
    let group = table.group();
    table.endpoints.note_acknowledged(group, position(1, 11));
    let choice = table.read_at(position(1, 3));
    assert_that!(table.place(choice.clone()), some(eq(0)));
    let required = position(1, 11);
    assert_that!(choice, matches_pattern!(RouteChoice::Endpoint { required: eq(&required), .. }));
}

/// Guards against reads that all go to the primary because statuses are some milliseconds old.
#[gtest]
fn replica_is_chosen_or_awaited_by_its_apply_rate() {
    let mut table = Table::new();
    for step in 1..=2 {
        table.pass(200);
        table.answer_all(10 + 100 * step);
    }
    // 500 entries a second: 220 now, 230 in 20 ms, and 260 not within 50 ms.
    table.pass(20);
    assert_that!(table.place(table.read_at(position(1, 215))), some(eq(1)));
    let RouteChoice::WaitUntil(at) = table.read_at(position(1, 230)) else {
        panic!("a read waits for a replica that is about to catch up");
    };
    let wait = (at - table.now).as_millis();
    assert_that!(wait, all![ge(15), le(25)]);
    assert_that!(table.place(table.read_at(position(1, 260))), some(eq(0)));
}

/// Guards against reads of data that is older than the request allows.
#[gtest]
fn read_with_an_age_is_served_by_data_that_is_young_enough() {
    let mut table = Table::new();
    for step in 1..=10 {
        table.pass(100);
        table.answer(0, 10 + step);
        table.answer(1, 10);
        table.answer(2, 10 + step.saturating_sub(3));
    }
    // Entry 11 was not there 1 s ago, entry 18 not 300 ms ago.
    assert_that!(table.place(table.read_aged(1_000)), some(eq(1)));
    assert_that!(table.place(table.read_aged(900)), some(eq(2)));
    assert_that!(table.place(table.read_aged(299)), some(eq(0)));
}

/// Guards against an age that is judged by a primary which a majority does not confirm.
#[gtest]
fn age_counts_from_the_last_confirmation() {
    let mut table = Table::new();
    for _ in 0..30 {
        table.pass(100);
        table.answer(0, 10);
    }
    assert_that!(table.place(table.read_aged(2_900)), none());
    table.answer(1, 10);
    assert_that!(table.place(table.read_aged(100)), some(eq(1)));
}

/// Guards against current reads in a partition that a new primary may have left behind.
#[gtest]
fn current_read_needs_a_majority_that_was_heard_recently() {
    let mut table = Table::new();
    table.pass(1_100);
    table.answer(1, 10);
    assert_that!(table.place(table.read_at(position(1, 5))), none());
    table.answer(2, 10);
    assert_that!(table.place(table.read_at(position(1, 5))), some(eq(1)));
}

/// Guards against a session whose lost write is hidden, and against one that is told twice.
#[gtest]
fn lost_write_is_reported_once() {
    let mut table = Table::new();
    let mut status = Table::status(2, 2, 9);
    status.role = MemberRole::Primary;
    status.term_history = vec![TermStart { term: 1, offset: 0 }, TermStart { term: 2, offset: 8 }];
    table.pass(10);
    table.answer_with(2, status);
    let lost = position(1, 10);
    assert_that!(table.read_at(lost), eq(&RouteChoice::WriteLost(position(2, 8))));
    let group = table.group();
    let check = table.endpoints.check(group, lost, position(2, 9));
    assert_that!(check, eq(&PositionCheck::WriteLost(position(2, 8))));
    assert_that!(table.endpoints.check(group, lost, position(1, 10)), eq(&PositionCheck::Behind));
    assert_that!(table.place(table.read_at(position(2, 8))), some(eq(2)));
}

/// Guards against new work at members that are leaving or in a failure domain that is out.
#[gtest]
fn withheld_members_get_no_new_work() {
    let mut table = Table::new();
    table.set_phases(Some(1), Some(0));
    assert_that!(table.place(table.read_at(position(1, 5))), some(eq(2)));
    assert_that!(table.write(), matches_pattern!(RouteChoice::WaitUntil(_)));
    table.set_phases(Some(2), Some(1));
    assert_that!(table.place(table.read_at(position(1, 5))), some(eq(0)));
}

/// Guards against a failure domain that gets its whole load back at once.
#[gtest]
fn load_returns_to_a_failure_domain_in_steps() {
    let mut table = Table::new();
    table.set_phases(Some(1), None);
    table.pass(10_000);
    table.set_phases(None, None);
    let mut last = 0;
    for step in 0..10 {
        let mut count = 0;
        for _ in 0..1_000 {
            table.pass(1);
            table.answer_all(10);
            let place = table.place(table.read_at(position(1, 5))).unwrap();
            count += usize::from(place == 1);
            let key = table.key(place);
            table.endpoints.begin(key);
            table.endpoints.end(table.now, key, false, std::time::Duration::ZERO);
        }
        assert_that!(count, all![ge(step * 100), le(step * 100 + 200)], "step {step}");
        last = count;
    }
    assert_that!(last, gt(900));
}

/// Guards against a second attempt at an endpoint that has just failed.
#[gtest]
fn excluded_and_lost_endpoints_are_skipped() {
    let mut table = Table::new();
    let read = |table: &Table, excluded: &[usize]| {
        let excluded = excluded.iter().map(|index| table.key(*index)).collect();
        table.place(table.endpoints.choose(table.now, &RouteQuery { excluded, ..table.query() }))
    };
    assert_that!(read(&table, &[1]), some(eq(2)));
    assert_that!(read(&table, &[1, 2]), some(eq(0)));
    assert_that!(read(&table, &[0, 1, 2]), none());
    let key = table.key(0);
    table.pass(1);
    table.endpoints.begin(key);
    table.endpoints.end(table.now, key, true, std::time::Duration::ZERO);
    table.pass(1);
    assert_that!(table.write(), matches_pattern!(RouteChoice::WaitUntil(_)));
    table.answer(0, 10);
    assert_that!(table.place(table.write()), some(eq(0)), "it has answered since");
}

/// Guards against a request that is held although no member can serve it.
#[gtest]
fn request_without_a_majority_is_refused_with_a_retry_time() {
    let mut table = Table::new();
    for index in 0..2 {
        let key = table.key(index);
        table.endpoints.members[key].probe.begin(table.now);
    }
    table.pass(1_500);
    table.answer(2, 10);
    let RouteChoice::Unavailable(at) = table.write() else { panic!("no primary can be elected") };
    assert_that!(at, gt(table.now));
}

/// Guards against refusals on a group that this host has just begun to probe: its members answer
/// one after another.
#[gtest]
fn request_waits_for_the_first_answers() {
    let mut table = Table::new();
    for index in 0..3 {
        let key = table.key(index);
        let member = &mut table.endpoints.members[key];
        (member.view, member.probe) = (None, ProbeState::default());
        member.probe.begin(table.now);
    }
    assert_that!(table.write(), matches_pattern!(RouteChoice::WaitUntil(_)));
    table.answer(1, 10);
    assert_that!(table.write(), matches_pattern!(RouteChoice::WaitUntil(_)));
    for index in [0, 2] {
        let key = table.key(index);
        table.endpoints.members[key].probe.fail(table.now);
    }
    assert_that!(table.write(), matches_pattern!(RouteChoice::Unavailable(_)));
    table.answer(0, 10);
    assert_that!(table.write(), matches_pattern!(RouteChoice::Endpoint { .. }));
}

/// Guards against a key that changes with an address, which would end requests in flight.
#[gtest]
fn changed_address_keeps_the_key() {
    let mut table = Table::new();
    let key = table.key(1);
    table.endpoints.begin(key);
    table.adopt("moved");
    assert_that!(table.key(1), eq(key));
    assert_that!(table.endpoints.address(key).unwrap().sql_address, eq("moved"));
    assert_that!(table.endpoints.members[key].in_flight, eq(1));
    table.endpoints.adopt_services(std::iter::empty());
    assert_that!(table.endpoints.address(key), none());
}

/// Guards against a baseline that serves reads from replicas.
#[gtest]
fn reads_go_to_the_primary_under_the_baseline_policy() {
    let mut table = Table::new();
    table.endpoints.settings.reads = ReadPolicy::Primary;
    assert_that!(table.place(table.read_at(position(1, 5))), some(eq(0)));
    table.pass(10);
    table.answer_all(10);
    assert_that!(table.place(table.read_aged(1_000)), some(eq(1)));
}
