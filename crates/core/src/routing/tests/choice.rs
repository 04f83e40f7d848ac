//! Choice of an endpoint for a request.

use googletest::prelude::*;
use tanagerdeal_wire::member::{MemberRole, TermStart};

use super::{Fixture, position};
use crate::profile::ReadPolicy;
use crate::routing::member::ProbeState;
use crate::routing::{PositionCheck, RouteChoice, RouteQuery};

/// Guards against writes that go to a member other than the primary of the highest known term, such
/// as a former primary that still answers probes.
#[gtest]
fn write_goes_to_the_primary_of_the_highest_term() {
    let mut table = Fixture::new();
    assert_that!(table.chosen_member(table.write()), some(eq(0)));
    let mut status = Fixture::status(2, 2, 10);
    status.role = MemberRole::Primary;
    table.report_status(2, status);
    assert_that!(table.chosen_member(table.write()), some(eq(2)));
    table.advance(10);
    table.report(0, 11);
    assert_that!(table.chosen_member(table.write()), some(eq(2)), "the old primary still answers");
}

/// Guards against a read that misses the session's own writes, because its replica has not applied
/// them yet.
#[gtest]
fn replica_that_is_behind_is_not_chosen() {
    let mut table = Fixture::new();
    table.report(0, 20);
    table.report(2, 20);
    assert_that!(
        table.chosen_member(table.read_at(position(1, 10))),
        some(eq(1)),
        "own failure domain"
    );
    assert_that!(table.chosen_member(table.read_at(position(1, 11))), some(eq(2)));
    assert_that!(table.chosen_member(table.read_at(position(1, 21))), some(eq(0)));
}

/// Guards against current reads that miss a commit that this host has acknowledged.
#[gtest]
fn current_read_contains_what_this_host_acknowledged() {
    let mut table = Fixture::new();
    let group = table.group();
    table.endpoints.note_acknowledged(group, position(1, 11));
    let choice = table.read_at(position(1, 3));
    assert_that!(table.chosen_member(choice.clone()), some(eq(0)));
    let required = position(1, 11);
    assert_that!(choice, matches_pattern!(RouteChoice::Endpoint { required: eq(&required), .. }));
}

/// Guards against reads that all go to the primary, because the last statuses of the replicas are
/// some milliseconds old and do not include the watermark.
#[gtest]
fn replica_is_chosen_or_awaited_by_its_apply_rate() {
    let mut table = Fixture::new();
    for step in 1..=2 {
        table.advance(200);
        table.report_all(10 + 100 * step);
    }
    // At 500 entries per second a replica is at 220 now, at 230 in 20 ms, and not at 260 within
    // 50 ms.
    table.advance(20);
    assert_that!(table.chosen_member(table.read_at(position(1, 215))), some(eq(1)));
    let RouteChoice::WaitUntil(at) = table.read_at(position(1, 230)) else {
        panic!("a read waits for a replica that is about to catch up");
    };
    let wait = (at - table.now).as_millis();
    assert_that!(wait, all![ge(15), le(25)]);
    assert_that!(table.chosen_member(table.read_at(position(1, 260))), some(eq(0)));
}

/// Guards against reads of data that is staler than the request allows.
#[gtest]
fn read_with_an_age_is_served_by_data_that_is_young_enough() {
    let mut table = Fixture::new();
    for step in 1..=10 {
        table.advance(100);
        table.report(0, 10 + step);
        table.report(1, 10);
        table.report(2, 10 + step.saturating_sub(3));
    }
    // Entry 11 did not exist 1 s ago, and entry 18 did not exist 300 ms ago.
    assert_that!(table.chosen_member(table.read_aged(1_000)), some(eq(1)));
    assert_that!(table.chosen_member(table.read_aged(900)), some(eq(2)));
    assert_that!(table.chosen_member(table.read_aged(299)), some(eq(0)));
}

/// Guards against staleness that is measured against a primary that no majority has confirmed.
#[gtest]
fn age_counts_from_the_last_confirmation() {
    let mut table = Fixture::new();
    for _ in 0..30 {
        table.advance(100);
        table.report(0, 10);
    }
    assert_that!(table.chosen_member(table.read_aged(2_900)), none());
    table.report(1, 10);
    assert_that!(table.chosen_member(table.read_aged(100)), some(eq(1)));
}

/// Guards against stale current reads in a network partition, while the majority outside it may
/// have elected a new primary.
#[gtest]
fn current_read_needs_a_majority_that_was_heard_recently() {
    let mut table = Fixture::new();
    table.advance(1_100);
    table.report(1, 10);
    assert_that!(table.chosen_member(table.read_at(position(1, 5))), none());
    table.report(2, 10);
    assert_that!(table.chosen_member(table.read_at(position(1, 5))), some(eq(1)));
}

/// Guards against a write lost in a failover that is not reported to its session, or reported
/// twice.
#[gtest]
fn lost_write_is_reported_once() {
    let mut table = Fixture::new();
    let mut status = Fixture::status(2, 2, 9);
    status.role = MemberRole::Primary;
    status.term_history = vec![TermStart { term: 1, offset: 0 }, TermStart { term: 2, offset: 8 }];
    table.advance(10);
    table.report_status(2, status);
    let lost = position(1, 10);
    assert_that!(table.read_at(lost), eq(&RouteChoice::WriteLost(position(2, 8))));
    let group = table.group();
    let check = table.endpoints.check(group, lost, position(2, 9));
    assert_that!(check, eq(&PositionCheck::WriteLost(position(2, 8))));
    assert_that!(table.endpoints.check(group, lost, position(1, 10)), eq(&PositionCheck::Behind));
    assert_that!(table.chosen_member(table.read_at(position(2, 8))), some(eq(2)));
}

/// Guards against new requests to members that are leaving or whose failure domain is out.
#[gtest]
fn withheld_members_get_no_new_work() {
    let mut table = Fixture::new();
    table.set_phases(Some(1), Some(0));
    assert_that!(table.chosen_member(table.read_at(position(1, 5))), some(eq(2)));
    assert_that!(table.write(), matches_pattern!(RouteChoice::WaitUntil(_)));
    table.set_phases(Some(2), Some(1));
    assert_that!(table.chosen_member(table.read_at(position(1, 5))), some(eq(0)));
}

/// Guards against a returning failure domain that receives its whole load at once.
#[gtest]
fn load_returns_to_a_failure_domain_in_steps() {
    let mut table = Fixture::new();
    table.set_phases(Some(1), None);
    table.advance(10_000);
    table.set_phases(None, None);
    let mut last = 0;
    for step in 0..10 {
        let mut count = 0;
        for _ in 0..1_000 {
            table.advance(1);
            table.report_all(10);
            let index = table.chosen_member(table.read_at(position(1, 5))).unwrap();
            count += usize::from(index == 1);
            let key = table.key(index);
            table.endpoints.begin(key);
            table.endpoints.end(table.now, key, false, std::time::Duration::ZERO);
        }
        assert_that!(count, all![ge(step * 100), le(step * 100 + 200)], "step {step}");
        last = count;
    }
    assert_that!(last, gt(900));
}

/// Guards against a repeated attempt at an endpoint that has just failed.
#[gtest]
fn excluded_and_lost_endpoints_are_skipped() {
    let mut table = Fixture::new();
    let read = |table: &Fixture, excluded: &[usize]| {
        let excluded = excluded.iter().map(|index| table.key(*index)).collect();
        table.chosen_member(
            table.endpoints.choose(table.now, &RouteQuery { excluded, ..table.query() }),
        )
    };
    assert_that!(read(&table, &[1]), some(eq(2)));
    assert_that!(read(&table, &[1, 2]), some(eq(0)));
    assert_that!(read(&table, &[0, 1, 2]), none());
    let key = table.key(0);
    table.advance(1);
    table.endpoints.begin(key);
    table.endpoints.end(table.now, key, true, std::time::Duration::ZERO);
    table.advance(1);
    assert_that!(table.write(), matches_pattern!(RouteChoice::WaitUntil(_)));
    table.report(0, 10);
    assert_that!(table.chosen_member(table.write()), some(eq(0)), "it has answered since");
}

/// Guards against a request that waits although no majority is reachable to elect a primary.
#[gtest]
fn request_without_a_majority_is_refused_with_a_retry_time() {
    let mut table = Fixture::new();
    for index in 0..2 {
        let key = table.key(index);
        table.endpoints.members[key].probe.begin(table.now);
    }
    table.advance(1_500);
    table.report(2, 10);
    let RouteChoice::Unavailable(at) = table.write() else { panic!("no primary can be elected") };
    assert_that!(at, gt(table.now));
}

/// Guards against requests refused while the first probe responses of a group are outstanding: the
/// members answer one after another.
#[gtest]
fn request_waits_for_the_first_answers() {
    let mut table = Fixture::new();
    for index in 0..3 {
        let key = table.key(index);
        let member = &mut table.endpoints.members[key];
        (member.view, member.probe) = (None, ProbeState::default());
        member.probe.begin(table.now);
    }
    assert_that!(table.write(), matches_pattern!(RouteChoice::WaitUntil(_)));
    table.report(1, 10);
    assert_that!(table.write(), matches_pattern!(RouteChoice::WaitUntil(_)));
    for index in [0, 2] {
        let key = table.key(index);
        table.endpoints.members[key].probe.fail(table.now);
    }
    assert_that!(table.write(), matches_pattern!(RouteChoice::Unavailable(_)));
    table.report(0, 10);
    assert_that!(table.write(), matches_pattern!(RouteChoice::Endpoint { .. }));
}

/// Guards against a changed address that replaces the key of an endpoint, which would end requests
/// in flight.
#[gtest]
fn changed_address_keeps_the_key() {
    let mut table = Fixture::new();
    let key = table.key(1);
    table.endpoints.begin(key);
    table.load_service("moved");
    assert_that!(table.key(1), eq(key));
    assert_that!(table.endpoints.address(key).unwrap().sql_address, eq("moved"));
    assert_that!(table.endpoints.members[key].in_flight, eq(1));
    table.endpoints.adopt_services(std::iter::empty());
    assert_that!(table.endpoints.address(key), none());
}

/// Guards against current reads at replicas under the baseline policy, which sends them to the
/// primary. Reads with a staleness limit may still use replicas.
#[gtest]
fn reads_go_to_the_primary_under_the_baseline_policy() {
    let mut table = Fixture::new();
    table.endpoints.settings.reads = ReadPolicy::Primary;
    assert_that!(table.chosen_member(table.read_at(position(1, 5))), some(eq(0)));
    table.advance(10);
    table.report_all(10);
    assert_that!(table.chosen_member(table.read_aged(1_000)), some(eq(1)));
}
