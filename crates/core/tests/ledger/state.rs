//! Permission to use a primary, and the state that it depends on.

use std::time::Duration;

use googletest::prelude::*;
use tanagerdeal_core::ledger::catalog::ReadConsistency;
use tanagerdeal_core::ledger::endpoint::EndpointRole;
use tanagerdeal_core::ledger::lease::LEASE_TERM;
use tanagerdeal_core::ledger::state::PrimaryRefusal;

use crate::support::{at, endpoint, group, host_state, mark, route, store_at};

/// Guards against a host that uses a primary after its lease has ended, for example because the
/// host was suspended meanwhile.
#[gtest]
fn a_right_ends_with_the_lease() {
    let state = host_state();
    let permit = state.primary_permit("g", at(0)).unwrap();
    let end = at(0).after(LEASE_TERM);
    expect_that!(
        state.is_permit_valid("g", permit, end.before(Duration::from_millis(1))),
        eq(true)
    );
    expect_that!(state.is_permit_valid("g", permit, end), eq(false));
    expect_that!(state.primary_permit("g", end), err(eq(PrimaryRefusal::NoLease)));
}

/// Guards against a statement that another host has forwarded and that is in doubt, as the lease ends
/// while it is under way.
#[gtest]
fn a_lasting_permit_ends_before_the_lease() {
    let state = host_state();
    let last = LEASE_TERM.as_millis() as u64 - 1;
    expect_that!(state.primary_permit("g", at(last)), ok(anything()));
    expect_that!(state.lasting_permit("g", at(last), at(last - 400)), ok(anything()));
    let refusal = err(eq(PrimaryRefusal::NoLease));
    expect_that!(state.lasting_permit("g", at(last + 400), at(last)), refusal);
}

/// Guards against a lease that ends for other hosts before it ends for its holder.
#[gtest]
fn the_stored_end_is_later_than_the_own_one() {
    let state = host_state();
    let stored = state.lease.stored_end(at(500)).unwrap();
    expect_that!(stored.as_millis(), gt(500 + LEASE_TERM.as_millis() as u64));
}

/// Guards against statements on a primary that is being replaced, also with a permission that was
/// given before.
#[gtest]
fn a_mark_ends_all_rights() {
    let mut state = host_state();
    let permit = state.primary_permit("g", at(10)).unwrap();
    expect_that!(state.apply_group(group(2, "p", mark(9_000)), at(1)), eq(true));
    expect_that!(state.is_permit_valid("g", permit, at(20)), eq(false));
    expect_that!(state.primary_permit("g", at(20)), err(eq(PrimaryRefusal::Changing)));
}

/// Guards against an older row that arrives late, for example from a slow feed.
#[gtest]
fn an_older_row_changes_nothing() {
    let mut state = host_state();
    state.apply_group(group(5, "r1", None), at(1));
    expect_that!(state.apply_group(group(4, "p", None), at(1)), eq(false));
    expect_that!(state.groups.get("g").unwrap().record.primary.as_str(), eq("r1"));
}

/// Guards against a suspicion that never ends: no statement is sent to a suspected primary, so
/// after a partition had healed nothing cleared the suspicion, and failovers were started
/// needlessly.
#[gtest]
fn a_changed_row_ends_suspicions_from_before() {
    let mut state = host_state();
    let key = state.endpoints.find("p").unwrap();
    for millis in [100, 400, 800] {
        state.endpoints.get_mut(key).unwrap().note_failure(at(millis));
    }
    expect_that!(state.suspects(at(900)), elements_are![eq("p")]);
    expect_that!(state.primary_permit("g", at(900)), err(eq(PrimaryRefusal::Unreachable)));
    state.apply_group(group(2, "p", mark(9_000)), at(1));
    state.apply_group(group(3, "p", None), at(1));
    expect_that!(state.suspects(at(1_000)), is_empty());
    expect_that!(state.primary_permit("g", at(1_000)), ok(anything()));
}

/// Guards against work for a draining endpoint, and against an outage while its successor is
/// promoted.
#[gtest]
fn a_leaving_primary_serves_for_a_moment() {
    let mut state = host_state();
    let mut record = endpoint("p", "d1", EndpointRole::Primary);
    record.is_draining = true;
    state.endpoints.register(record.clone(), at(1_000));
    // A heartbeat that repeats the state does not extend the grace period.
    state.endpoints.register(record, at(2_500));
    expect_that!(state.primary_permit("g", at(2_900)), ok(anything()));
    expect_that!(state.primary_permit("g", at(3_100)), err(eq(PrimaryRefusal::Leaving)));
}

/// Guards against work for an evacuated failure domain.
#[gtest]
fn a_primary_of_an_evacuated_domain_serves_for_a_moment() {
    let mut state = host_state();
    state.evacuated.insert("d1".to_owned(), at(1_000));
    expect_that!(state.primary_permit("g", at(1_500)), ok(anything()));
    expect_that!(state.primary_permit("g", at(3_500)), err(eq(PrimaryRefusal::Leaving)));
}

/// Guards against requests that wait in vain: without a usable primary or a minimum position, a
/// statement is refused before it costs a token.
#[gtest]
fn what_cannot_be_served_is_known_at_once() {
    let mut state = host_state();
    state.apply_group(group(2, "p", mark(9_000)), at(1));
    let bounded = route(ReadConsistency::Bounded(Duration::from_millis(1_500)));
    let refusal = err(eq(PrimaryRefusal::Changing));
    expect_that!(state.check_available(&bounded, true, None, at(10)), refusal);
    expect_that!(state.check_available(&bounded, false, None, at(10)), err(anything()));
}

/// Guards against the loss of an endpoint whose registration lapsed during a partition: it stays
/// until its retention time is over, and is kept if it registers again.
#[gtest]
fn a_missing_registration_is_no_death_for_a_while() {
    let mut state = host_state();
    state.endpoints.note_missing("p", at(1_000));
    state.endpoints.note_missing("p", at(4_000));
    expect_that!(state.endpoints.remove_missing(at(900), at(9_000)), is_empty());
    expect_that!(state.primary_permit("g", at(4_000)), ok(anything()));
    state.endpoints.register(endpoint("p", "d1", EndpointRole::Primary), at(4_500));
    expect_that!(state.endpoints.remove_missing(at(5_000), at(9_000)), is_empty());
    state.endpoints.note_missing("p", at(6_000));
    expect_that!(state.endpoints.remove_missing(at(6_001), at(9_000)), elements_are![eq("p")]);
    expect_that!(state.primary_permit("g", at(6_100)), err(eq(PrimaryRefusal::Unregistered)));
}

/// Guards against applying observations of a process to its successor with the same id.
#[gtest]
fn another_process_under_an_id_is_another_endpoint() {
    let mut state = host_state();
    let key = state.endpoints.find("p").unwrap();
    let mut record = endpoint("p", "d1", EndpointRole::Primary);
    record.born = Some(2);
    let (next, is_new) = state.endpoints.register(record, at(10));
    expect_that!(is_new, eq(true));
    expect_that!(next == key, eq(false));
    expect_that!(state.endpoints.get(key).is_none(), eq(true));
}

/// Guards against a count of hosts that includes those whose leases have ended.
#[gtest]
fn live_hosts_are_those_with_a_lease() {
    let mut state = host_state();
    state.hosts =
        vec![crate::support::host("h1", 1, 5_000, &[]), crate::support::host("h2", 2, 900, &[])];
    state.hosts_read_at = store_at(1_000);
    expect_that!(state.live_hosts(), eq(1));
}

/// Load pattern: half of the hosts are cut off from the store for seconds (`primary_cut` with
/// `split`). Guards against choosing other homes because a copy of the host list is old: new homes
/// have no tokens to lend.
#[gtest]
fn hosts_of_an_old_list_stay_homes() {
    let mut state = host_state();
    state.hosts = vec![crate::support::host("h2", 1, 5_000, &[])];
    state.hosts_read_at = store_at(1_000);
    state.lease.note_clock(at(9_000), at(9_000), store_at(9_000));
    expect_that!(state.share_hosts().len(), eq(1));
}

/// Guards against a host that waits for statements on an unreachable primary while it is replaced:
/// a mark does not end the suspicion, although a marked primary is no longer reported.
#[gtest]
fn a_marked_primary_stays_suspected() {
    let mut state = host_state();
    let key = state.endpoints.find("p").unwrap();
    for millis in [100, 400, 800] {
        state.endpoints.get_mut(key).unwrap().note_failure(at(millis));
    }
    expect_that!(state.is_suspect("p", at(900)), eq(true));
    state.apply_group(group(2, "p", mark(9_000)), at(1));
    expect_that!(state.suspects(at(900)), is_empty());
    expect_that!(state.is_suspect("p", at(900)), eq(true));
    expect_that!(state.is_suspect("r1", at(900)), eq(false));
}
