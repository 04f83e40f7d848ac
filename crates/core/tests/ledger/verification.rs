//! Whether a host may use the primary that a restored store names.

mod model;

use std::time::Duration;

use googletest::prelude::*;
use tanagerdeal_core::ledger::endpoint::EndpointRole;
use tanagerdeal_core::ledger::failover::former::FormerPrimary;
use tanagerdeal_core::ledger::failover::step::{
    ChangeStep, ChangeView, PROMOTION_TERM, next_step, sole_leader,
};
use tanagerdeal_core::ledger::failover::{CandidateStatus, UnansweredCandidate};
use tanagerdeal_core::ledger::group::{GroupEntry, PendingChange, PromotionRecord};
use tanagerdeal_core::ledger::lease::LEASE_TERM;
use tanagerdeal_core::ledger::restoration::REWRITE_TERM;
use tanagerdeal_core::ledger::state::{HostState, PrimaryRefusal};
use tanagerdeal_core::ledger::version::version_in;

use crate::support::{at, endpoint, group, host_state, mark, position, store_at};

/// A row that a host wrote in an era without knowing whether its primary still led, or the row of a
/// copy.
fn unverified(era: u64, number: u64, primary: &str, term: u64) -> GroupEntry {
    let mut entry = group(version_in(era, number), primary, None);
    entry.record.term = term;
    entry
}

/// A row that a host wrote in an era in which it knew the primary.
fn verified(era: u64, number: u64, primary: &str, term: u64) -> GroupEntry {
    let mut entry = unverified(era, number, primary, term);
    entry.record.verified_era = era;
    entry
}

/// State of a host that starts and has a lease, but has not read the row of the group.
fn started_host() -> HostState {
    let mut state = HostState::new("h1", "d1", Default::default(), at(0));
    state.lease.note_clock(at(0), at(0), store_at(0));
    for id in ["p", "r1", "r2"] {
        state.endpoints.register(endpoint(id, "d1", EndpointRole::Replica), at(0));
    }
    state.lease.renewed(at(0));
    state
}

/// Guards against a host that starts after a restoration and uses the primary that the copy names,
/// although it was replaced after the copy was made.
#[gtest]
fn a_started_host_uses_no_primary_of_a_copy() {
    let mut state = started_host();
    state.apply_group(unverified(2, 20, "p", 3), at(1));
    expect_that!(state.primary_permit("g", at(2)), err(eq(PrimaryRefusal::Unverified)));
    state.apply_group(verified(2, 21, "r1", 4), at(3));
    expect_that!(state.primary_permit("g", at(4)), ok(anything()));
}

/// Guards against a wait for hosts that have the row already, in a store that was never restored or
/// long after it was.
#[gtest]
fn a_row_of_its_own_era_is_used_at_once() {
    for entry in [unverified(1, 20, "p", 3), verified(1, 20, "p", 3), verified(4, 20, "p", 3)] {
        let mut state = started_host();
        state.apply_group(entry, at(1));
        expect_that!(state.primary_permit("g", at(2)), ok(anything()));
    }
}

/// Guards against an outage of each group after each restoration: hosts that have had a lease all
/// along know the primary, and state that in the row.
#[gtest]
fn a_host_with_a_lease_goes_on_and_writes_the_row_again() {
    let mut state = host_state();
    state.apply_group(unverified(2, 1, "p", 1), at(1));
    expect_that!(state.primary_permit("g", at(2)), ok(anything()));
    let unwritten: Vec<u64> =
        state.groups.unwritten().map(|entry| entry.record.verified_era).collect();
    expect_that!(unwritten, elements_are![eq(&2)]);
    state.apply_group(verified(2, 2, "p", 1), at(3));
    expect_that!(state.groups.unwritten().count(), eq(0));
}

/// Guards against a host that was cut off while the primary was replaced, and takes the row of the
/// copy for what it knew itself.
#[gtest]
fn a_host_whose_lease_has_ended_knows_no_primary() {
    let mut state = host_state();
    let later = at(1).after(LEASE_TERM);
    state.apply_group(unverified(2, 1, "p", 1), later);
    state.lease.renewed(later);
    expect_that!(state.primary_permit("g", later), err(eq(PrimaryRefusal::Unverified)));
    expect_that!(state.groups.unwritten().count(), eq(0));
    // A further restoration does not make it know one.
    state.apply_group(unverified(3, 1, "p", 1), later);
    expect_that!(state.primary_permit("g", later), err(eq(PrimaryRefusal::Unverified)));
}

/// Guards against a permit from before the restoration that a host without knowledge goes on using.
#[gtest]
fn a_permit_ends_with_the_knowledge() {
    let mut state = host_state();
    let permit = state.primary_permit("g", at(2)).unwrap();
    let later = at(1).after(LEASE_TERM);
    state.apply_group(unverified(2, 1, "p", 1), later);
    state.lease.renewed(later);
    expect_that!(state.is_permit_valid("g", permit, later), eq(false));
}

/// Guards against a host that goes on with the primary that it knew while another one replaces it,
/// which has only the row of the copy and takes this host's renewals for a sign that it has left.
#[gtest]
fn a_change_by_a_host_without_knowledge_ends_all_permits() {
    let mut state = host_state();
    state.apply_group(verified(1, 50, "r1", 4), at(1));
    state.apply_group(unverified(2, 20, "p", 3), at(2));
    expect_that!(state.primary_permit("g", at(2)), ok(anything()));
    let mut marked = unverified(2, 25, "p", 3);
    marked.record.change = mark(9_000);
    state.apply_group(marked, at(3));
    expect_that!(state.primary_permit("g", at(3)), err(eq(PrimaryRefusal::Changing)));
    // The change was given up.
    state.apply_group(unverified(2, 26, "p", 3), at(4));
    expect_that!(state.primary_permit("g", at(4)), err(eq(PrimaryRefusal::Unverified)));
}

/// Guards against an outage beside hosts of earlier builds: their rows say nothing about the era.
#[gtest]
fn a_row_of_an_earlier_build_that_names_the_same_primary_changes_nothing() {
    let mut state = host_state();
    state.apply_group(verified(1, 50, "r1", 4), at(1));
    state.apply_group(unverified(2, 20, "p", 3), at(2));
    state.apply_group(unverified(2, 25, "r1", 4), at(3));
    expect_that!(state.primary_permit("g", at(3)), ok(anything()));
    // A change by such a host follows from the row before.
    state.apply_group(unverified(2, 30, "r2", 5), at(4));
    expect_that!(state.primary_permit("g", at(4)), ok(anything()));
}

/// Guards against a group that is created anew, for a row that was lost, with a primary that was
/// replaced.
#[gtest]
fn a_lost_row_is_unknown_to_a_host_without_a_lease() {
    let mut state = host_state();
    state.note_lost_group("g", version_in(2, 20), at(1).after(LEASE_TERM));
    expect_that!(state.groups.get("g"), none());
}

fn status(id: &str, role: EndpointRole, term: u64) -> CandidateStatus {
    let (id, domain) = (id.to_owned(), "d1".to_owned());
    CandidateStatus { id, domain, role, term, received: position(term, 7), is_eligible: true }
}

fn silent(id: &str) -> UnansweredCandidate {
    let status = status(id, EndpointRole::Replica, 0);
    UnansweredCandidate { status, is_running: false, has_successor: false }
}

/// Guards against a primary that is verified although an endpoint may lead a later term.
#[gtest]
fn the_leader_is_known_when_all_endpoints_have_told_their_status() {
    let former = status("p", EndpointRole::Primary, 3);
    let leader = status("r1", EndpointRole::Primary, 4);
    let replica = status("r2", EndpointRole::Replica, 3);
    let all = [former.clone(), leader.clone(), replica.clone()];
    expect_that!(sole_leader(3, &all, &[]), some(eq(&leader)));
    expect_that!(sole_leader(3, &all[..1], &[silent("r1")]), none());
    // It knows of a later term that none of them leads, or the row does.
    let later = status("r2", EndpointRole::Replica, 4);
    expect_that!(sole_leader(3, &[former.clone(), later], &[]), none());
    expect_that!(sole_leader(4, &[former, replica], &[]), none());
}

/// Guards against a primary that is kept, or published, while an endpoint that does not answer leads
/// a later term: only another promotion gives one that is later still.
#[gtest]
fn an_unverified_primary_is_promoted_again_beside_a_silent_endpoint() {
    let mut record = unverified(2, 20, "p", 3).record;
    record.change = mark(9_000);
    let statuses = [status("p", EndpointRole::Primary, 3)];
    let unanswered = [silent("r1")];
    let view = ChangeView {
        record: &record,
        is_verified: false,
        statuses: &statuses,
        unanswered: &unanswered,
        absent: &[],
        sync_replicas: 0,
        acknowledged: position(3, 7),
        is_status_wait_over: true,
        is_catch_up_over: true,
        is_leaving: false,
        is_accepted: false,
        is_call_over: true,
        now: at(0),
        primaries: &|_| 0,
    };
    expect_that!(next_step(view), eq(ChangeStep::Promote(&statuses[0])));
    expect_that!(PromotionRecord::new("p", view, 2, store_at(0)).is_uncertain, eq(true));
    let verified = ChangeView { is_verified: true, ..view };
    expect_that!(next_step(verified), eq(ChangeStep::Keep(&statuses[0])));
}

/// Guards against endpoints that are asked too early: a promotion from before the restoration, or
/// one that the row records, may still take effect, and endpoints may not have registered again.
#[gtest]
fn endpoints_are_asked_when_no_promotion_can_take_effect() {
    let mut state = started_host();
    let entry = unverified(2, 20, "p", 3);
    state.apply_group(entry.clone(), at(1));
    expect_that!(state.is_verification_due(&entry.record, at(9_000)), eq(false));
    state.note_restoration(at(1));
    let due_at = at(1).after(REWRITE_TERM);
    expect_that!(
        state.is_verification_due(&entry.record, due_at.before(Duration::from_millis(1))),
        eq(false)
    );
    expect_that!(state.is_verification_due(&entry.record, due_at), eq(true));
    let promotion = PromotionRecord {
        endpoint: "r1".to_owned(),
        known_term: 3,
        effective_until: store_at(9_000).after(PROMOTION_TERM),
        is_uncertain: false,
        era: 2,
    };
    let mut marked = entry.record;
    let pending = mark(9_000).unwrap();
    marked.change = Some(PendingChange { promotion: Some(promotion), ..pending });
    expect_that!(state.is_verification_due(&marked, at(9_000).after(PROMOTION_TERM)), eq(false));
    expect_that!(state.is_verification_due(&marked, at(9_010).after(PROMOTION_TERM)), eq(true));
}

/// Guards against a latest primary that is told to step down, and against a former one that is not.
#[gtest]
fn only_a_former_primary_of_a_settled_group_is_told() {
    let mut state = host_state();
    expect_that!(state.former_primaries(), is_empty());
    let mut marked = verified(1, 50, "r1", 4);
    marked.record.change = mark(9_000);
    state.apply_group(marked, at(1));
    expect_that!(state.former_primaries(), is_empty());
    state.apply_group(verified(1, 51, "r1", 4), at(1));
    let (endpoint, group) = ("p".to_owned(), "g".to_owned());
    let former = FormerPrimary { endpoint, group, term: 4 };
    expect_that!(state.former_primaries(), elements_are![eq(&former)]);
    state.apply_group(unverified(2, 20, "r1", 4), at(1).after(LEASE_TERM));
    expect_that!(state.former_primaries(), is_empty());
}

/// Guards against a mark that counts as all there was to know, when the row of the group is lost
/// with the promotion that may have followed.
#[gtest]
fn a_lost_row_of_a_change_in_progress_is_unknown() {
    let mut state = host_state();
    let mut marked = verified(1, 50, "p", 3);
    marked.record.change = mark(9_000);
    state.apply_group(marked, at(1));
    state.note_lost_group("g", version_in(2, 20), at(2));
    expect_that!(state.groups.get("g"), none());
    expect_that!(state.primary_permit("g", at(3)), err(eq(PrimaryRefusal::Changing)));
}
