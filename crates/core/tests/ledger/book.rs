//! The right to use a primary.

use std::time::Duration;

use googletest::prelude::*;
use tanagerdeal_core::ledger::book::PrimaryRefusal;
use tanagerdeal_core::ledger::catalog::ReadConsistency;
use tanagerdeal_core::ledger::endpoint::EndpointRole;
use tanagerdeal_core::ledger::lease::LEASE_TERM;

use crate::support::{at, book, endpoint, group, mark, route, store_at};

/// Guards against a host that goes on using a primary after its lease has ended, as when it was
/// suspended meanwhile.
#[gtest]
fn a_right_ends_with_the_lease() {
    let book = book();
    let right = book.primary_right("g", at(0)).unwrap();
    let end = at(0).after(LEASE_TERM);
    expect_that!(book.is_right_good("g", right, end.before(Duration::from_millis(1))), eq(true));
    expect_that!(book.is_right_good("g", right, end), eq(false));
    expect_that!(book.primary_right("g", end), err(eq(PrimaryRefusal::NoLease)));
}

/// Guards against a lease that others see end before its holder does.
#[gtest]
fn the_stored_end_is_later_than_the_own_one() {
    let book = book();
    let stored = book.lease.stored_end(at(500)).unwrap();
    expect_that!(stored.as_millis(), gt(500 + LEASE_TERM.as_millis() as u64));
}

/// Guards against statements on a primary that is being changed, also under a right that was given
/// before.
#[gtest]
fn a_mark_ends_all_rights() {
    let mut book = book();
    let right = book.primary_right("g", at(10)).unwrap();
    expect_that!(book.adopt_group(group(2, "p", mark(9_000))), eq(true));
    expect_that!(book.is_right_good("g", right, at(20)), eq(false));
    expect_that!(book.primary_right("g", at(20)), err(eq(PrimaryRefusal::Changing)));
}

/// Guards against an older row that arrives late, as from a slow feed.
#[gtest]
fn an_older_row_changes_nothing() {
    let mut book = book();
    book.adopt_group(group(5, "r1", None));
    expect_that!(book.adopt_group(group(4, "p", None)), eq(false));
    expect_that!(book.groups.get("g").unwrap().record.primary.as_str(), eq("r1"));
}

/// Guards against a suspicion that outlives its reason: after a cut had healed no statement was
/// sent to a suspected primary, so nothing ended the suspicion, and changes of primary began in
/// vain (trouble-1 of sleeperdesk, seconds 38 to 41).
#[gtest]
fn a_changed_row_ends_suspicions_from_before() {
    let mut book = book();
    let key = book.endpoints.find("p").unwrap();
    for millis in [100, 400, 800] {
        book.endpoints.get_mut(key).unwrap().note_failure(at(millis));
    }
    expect_that!(book.suspects(at(900)), elements_are![eq("p")]);
    expect_that!(book.primary_right("g", at(900)), err(eq(PrimaryRefusal::Unreachable)));
    book.adopt_group(group(2, "p", mark(9_000)));
    book.adopt_group(group(3, "p", None));
    expect_that!(book.suspects(at(1_000)), is_empty());
    expect_that!(book.primary_right("g", at(1_000)), ok(anything()));
}

/// Guards against work for an endpoint that leaves, and against an outage while its successor is
/// made.
#[gtest]
fn a_leaving_primary_serves_for_a_moment() {
    let mut book = book();
    let mut record = endpoint("p", "d1", EndpointRole::Primary);
    record.is_draining = true;
    book.endpoints.register(record.clone(), at(1_000));
    // A heartbeat that repeats the state does not prolong the time.
    book.endpoints.register(record, at(2_500));
    expect_that!(book.primary_right("g", at(2_900)), ok(anything()));
    expect_that!(book.primary_right("g", at(3_100)), err(eq(PrimaryRefusal::Leaving)));
}

/// Guards against work for a failure domain that was taken out.
#[gtest]
fn a_primary_of_an_evacuated_domain_serves_for_a_moment() {
    let mut book = book();
    book.evacuated.insert("d1".to_owned(), at(1_000));
    expect_that!(book.primary_right("g", at(1_500)), ok(anything()));
    expect_that!(book.primary_right("g", at(3_500)), err(eq(PrimaryRefusal::Leaving)));
}

/// Guards against requests that wait for what cannot come: without primary and floor a statement is
/// refused before it costs a token.
#[gtest]
fn what_cannot_be_served_is_known_at_once() {
    let mut book = book();
    book.adopt_group(group(2, "p", mark(9_000)));
    let bounded = route(ReadConsistency::Bounded(Duration::from_millis(1_500)));
    let refusal = err(eq(PrimaryRefusal::Changing));
    expect_that!(book.is_served(&bounded, true, None, at(10)), refusal);
    expect_that!(book.is_served(&bounded, false, None, at(10)), err(anything()));
}

/// Guards against a registration that lapsed during a cut: the endpoint stays until its time is
/// over, and comes back with the next registration.
#[gtest]
fn a_missing_registration_is_no_death_for_a_while() {
    let mut book = book();
    book.endpoints.note_missing("p", at(1_000));
    book.endpoints.note_missing("p", at(4_000));
    expect_that!(book.endpoints.remove_missing(at(900)), is_empty());
    expect_that!(book.primary_right("g", at(4_000)), ok(anything()));
    book.endpoints.register(endpoint("p", "d1", EndpointRole::Primary), at(4_500));
    expect_that!(book.endpoints.remove_missing(at(5_000)), is_empty());
    book.endpoints.note_missing("p", at(6_000));
    expect_that!(book.endpoints.remove_missing(at(6_001)), elements_are![eq("p")]);
    expect_that!(book.primary_right("g", at(6_100)), err(eq(PrimaryRefusal::Unregistered)));
}

/// Guards against what was seen of a process being held against the one that follows it.
#[gtest]
fn another_process_under_an_id_is_another_endpoint() {
    let mut book = book();
    let key = book.endpoints.find("p").unwrap();
    let mut record = endpoint("p", "d1", EndpointRole::Primary);
    record.born = Some(2);
    let (next, is_new) = book.endpoints.register(record, at(10));
    expect_that!(is_new, eq(true));
    expect_that!(next == key, eq(false));
    expect_that!(book.endpoints.get(key).is_none(), eq(true));
}

/// Guards against a count of hosts that includes those whose lease has ended.
#[gtest]
fn live_hosts_are_those_with_a_lease() {
    let mut book = book();
    book.hosts =
        vec![crate::support::host("h1", 1, 5_000, &[]), crate::support::host("h2", 2, 900, &[])];
    book.hosts_read_at = store_at(1_000);
    expect_that!(book.live_hosts(), eq(1));
}

/// Load pattern: half of the hosts are cut off from the store for seconds (`primary_cut` with
/// `split`). Guards against homes that are replaced because a copy of the list has grown old: the
/// new ones have nothing to lend (scale-1 of the grown pcfc-tanager, seconds 16 to 20).
#[gtest]
fn hosts_of_an_old_list_stay_homes() {
    let mut book = book();
    book.hosts = vec![crate::support::host("h2", 1, 5_000, &[])];
    book.hosts_read_at = store_at(1_000);
    book.lease.note_clock(at(9_000), at(9_000), store_at(9_000));
    expect_that!(book.share_hosts().len(), eq(1));
}

/// Guards against a host that gives statements on a silent primary time to end while it is
/// replaced: a mark does not end the suspicion, although a primary that is being changed is no
/// longer reported.
#[gtest]
fn a_marked_primary_stays_suspected() {
    let mut book = book();
    let key = book.endpoints.find("p").unwrap();
    for millis in [100, 400, 800] {
        book.endpoints.get_mut(key).unwrap().note_failure(at(millis));
    }
    expect_that!(book.is_suspect("p", at(900)), eq(true));
    book.adopt_group(group(2, "p", mark(9_000)));
    expect_that!(book.suspects(at(900)), is_empty());
    expect_that!(book.is_suspect("p", at(900)), eq(true));
    expect_that!(book.is_suspect("r1", at(900)), eq(false));
}
