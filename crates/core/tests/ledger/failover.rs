//! Failover of a primary.

use std::time::Duration;

use googletest::prelude::*;
use tanagerdeal_core::ledger::duty::{
    DUTY_LEASE_MARGIN, DutyApplicant, DutyDecision, MIN_DUTY_TERM, decide_duty_lease,
};
use tanagerdeal_core::ledger::endpoint::{EndpointRole, LogPosition};
use tanagerdeal_core::ledger::failover::{
    CandidateStatus, ConfirmationTable, ConfirmationView, HostConfirmation, PromotionTimeout,
    best_candidate, successor,
};
use tanagerdeal_core::ledger::lease::HostEntry;
use tanagerdeal_core::ledger::suspicion::{is_quorum_suspected, is_suspect};

use crate::support::{at, host, host_state, position, store_at};

fn status(id: &str, role: EndpointRole, term: u64, received: LogPosition) -> CandidateStatus {
    CandidateStatus {
        id: id.to_owned(),
        domain: "d1".to_owned(),
        role,
        term,
        received,
        is_eligible: true,
    }
}

fn applicant(host: &str, incarnation: u64) -> DutyApplicant<'_> {
    DutyApplicant { host, incarnation, term: MIN_DUTY_TERM, min_token: 1 }
}

fn view(hosts: &[HostEntry], now: u64) -> ConfirmationView<'_> {
    ConfirmationView { hosts, domain: Some("d1"), store_now: store_at(now), now: at(now) }
}

fn confirmation(incarnation: u64) -> HostConfirmation {
    HostConfirmation::new(incarnation, Default::default(), at(5_000))
}

/// Guards against a promotion while a host may still use the old primary. A host that has renewed
/// after the mark knows of it, and a host whose lease has ended may not use the primary.
#[gtest]
fn a_change_waits_for_hosts_that_have_not_confirmed() {
    let hosts = [
        host("confirmed", 21, 9_000, &[]),
        host("cut", 19, 9_000, &[]),
        host("ended", 18, 4_999, &[]),
    ];
    let mut table = ConfirmationTable::default();
    table.begin("g", 20);
    let missing = |table: &ConfirmationTable, now| -> Vec<String> {
        let missing = table.of("g").unwrap().missing(view(&hosts, now));
        missing.into_iter().map(|record| record.host.clone()).collect()
    };
    expect_that!(missing(&table, 5_000), elements_are![eq("cut")]);
    expect_that!(missing(&table, 9_001), is_empty());
}

/// Guards against a failover that waits for the lease of a host that is cut off only from the
/// store: a planned one took 3.2 s. The host's own confirmation counts as a renewal, but not one of
/// another process, for another group or an earlier failover, or from before the mark.
#[gtest]
fn the_word_of_a_host_counts_as_its_renewal() {
    let hosts = [host("apart", 19, 9_000, &[])];
    let incarnation = hosts[0].record.incarnation;
    let mut table = ConfirmationTable::default();
    let is_missing =
        |table: &ConfirmationTable| !table.of("g").unwrap().missing(view(&hosts, 5_000)).is_empty();
    table.note("g", 20, "apart", confirmation(incarnation));
    table.begin("g", 20);
    expect_that!(is_missing(&table), eq(true), "before the change was begun");
    table.note("g", 19, "apart", confirmation(incarnation));
    expect_that!(is_missing(&table), eq(true), "of an earlier row");
    table.note("g2", 20, "apart", confirmation(incarnation));
    expect_that!(is_missing(&table), eq(true), "of another group");
    table.note("g", 20, "apart", confirmation(incarnation + 1));
    expect_that!(is_missing(&table), eq(true), "of another process");
    table.note("g", 21, "apart", confirmation(incarnation));
    expect_that!(is_missing(&table), eq(false));
    table.begin("g", 30);
    expect_that!(is_missing(&table), eq(true), "of an earlier change");
}

/// Guards against two coordinators with one token, and against a token that decreases: a successor
/// waits until the last call of its predecessor is over.
#[gtest]
fn a_token_rises_with_each_new_holder() {
    let DutyDecision::Take(first) = decide_duty_lease(None, applicant("h1", 1), store_at(0)) else {
        panic!("nobody holds the duty")
    };
    let again = decide_duty_lease(Some(&first), applicant("h1", 1), store_at(100));
    expect_that!(matches!(again, DutyDecision::Take(ref lease) if lease.token == 1), eq(true));
    let end = store_at(0).after(MIN_DUTY_TERM + DUTY_LEASE_MARGIN);
    let early = decide_duty_lease(Some(&first), applicant("h2", 2), end);
    expect_that!(early, eq(&DutyDecision::Wait(end)));
    let late =
        decide_duty_lease(Some(&first), applicant("h2", 2), end.after(Duration::from_millis(1)));
    expect_that!(matches!(late, DutyDecision::Take(ref lease) if lease.token == 2), eq(true));
}

/// Guards against a restarted process that reuses the token of its predecessor, and against one
/// that waits for it: all processes were killed while a group was marked, and the coordinator
/// waited 5 s for the end of its own predecessor's lease (incident inc-dc4a).
#[gtest]
fn a_restarted_holder_goes_on_at_once_with_a_higher_token() {
    let DutyDecision::Take(first) = decide_duty_lease(None, applicant("h1", 1), store_at(0)) else {
        panic!("nobody holds the duty")
    };
    let restarted = decide_duty_lease(Some(&first), applicant("h1", 2), store_at(100));
    let is_taken = |decision: &DutyDecision| {
        matches!(decision, DutyDecision::Take(lease)
        if lease.token == 2 && lease.incarnation == 2)
    };
    expect_that!(is_taken(&restarted), eq(true));
    let other = decide_duty_lease(Some(&first), applicant("h2", 2), store_at(100));
    expect_that!(matches!(other, DutyDecision::Wait(_)), eq(true));
}

/// Guards against a needless loss of commits.
#[gtest]
fn the_endpoint_that_received_most_takes_over() {
    let mut behind = status("a", EndpointRole::Replica, 1, position(1, 4));
    let ahead = status("b", EndpointRole::Replica, 1, position(1, 7));
    expect_that!(best_candidate(&[behind.clone(), ahead.clone()], &|_| 0), some(eq(&ahead)));
    let mut leaving = ahead;
    leaving.is_eligible = false;
    expect_that!(best_candidate(&[behind.clone(), leaving.clone()], &|_| 0), some(eq(&behind)));
    behind.is_eligible = false;
    expect_that!(best_candidate(&[behind, leaving], &|_| 0), none());
}

/// Load pattern: a failure domain is cut off after several failovers. Guards against most primaries
/// in one domain: a choice by name put two of three into the domain that was cut off, so that two
/// thirds of the clients could use one group of three. The received position still has precedence.
#[gtest]
fn changes_spread_primaries_over_failure_domains() {
    let place = |id: &str, domain: &str, number| {
        let mut status = status(id, EndpointRole::Replica, 1, position(1, number));
        status.domain = domain.to_owned();
        status
    };
    let primaries = |domain: &str| if domain == "d1" { 1 } else { 0 };
    let (taken, free) = (place("a", "d1", 7), place("b", "d2", 7));
    let best = best_candidate(&[taken.clone(), free.clone()], &primaries).cloned();
    expect_that!(best, some(eq(&free)));
    let ahead = place("c", "d1", 8);
    expect_that!(best_candidate(&[free, ahead.clone()], &primaries), some(eq(&ahead)));
}

/// Load pattern: the chosen endpoint is cut off between the promotion call and its promotion.
/// Guards against waiting 3 s without a primary. An endpoint that answers gets all of the 3 s.
#[gtest]
fn an_endpoint_that_falls_silent_is_not_waited_for() {
    let mut watch = PromotionTimeout::new(at(0));
    expect_that!(watch.is_over(at(799)), eq(false));
    expect_that!(watch.is_over(at(1_000)), eq(true));
    for now in (0..3_000).step_by(60).map(at) {
        expect_that!(watch.is_over(now), eq(false));
        watch.note_answer(now);
    }
    expect_that!(watch.is_over(at(3_000)), eq(true));
}

/// Guards against a second promotion after the answer to the first one was lost.
#[gtest]
fn a_promotion_that_took_effect_is_found() {
    let old = status("p", EndpointRole::Primary, 1, position(1, 7));
    let new = status("r1", EndpointRole::Primary, 2, position(2, 8));
    expect_that!(successor(&[old.clone(), new.clone()], 1), some(eq(&new)));
    expect_that!(successor(&[old], 1), none());
}

/// Guards against a failover because of one lost connection.
#[gtest]
fn one_failure_is_no_suspicion() {
    let mut state = host_state();
    let key = state.endpoints.find("p").unwrap();
    state.endpoints.get_mut(key).unwrap().note_failure(at(0));
    expect_that!(is_suspect(state.endpoints.get(key).unwrap(), at(5_000)), eq(false));
    state.endpoints.get_mut(key).unwrap().note_failure(at(300));
    expect_that!(is_suspect(state.endpoints.get(key).unwrap(), at(300)), eq(false));
    expect_that!(is_suspect(state.endpoints.get(key).unwrap(), at(700)), eq(true));
    state.endpoints.get_mut(key).unwrap().note_reply(None, Duration::from_millis(1), at(0));
    expect_that!(is_suspect(state.endpoints.get(key).unwrap(), at(800)), eq(false));
}

/// Guards against a failover because a minority of the hosts is cut off from the primary.
#[gtest]
fn half_of_the_hosts_have_to_agree() {
    let hosts = |count: usize| -> Vec<_> {
        (0..4)
            .map(|index| {
                let suspects: &[&str] = if index < count { &["p"] } else { &[] };
                host(&format!("h{index}"), 1, 12_000, suspects)
            })
            .collect()
    };
    expect_that!(is_quorum_suspected("p", &hosts(1), store_at(500)), eq(false));
    expect_that!(is_quorum_suspected("p", &hosts(2), store_at(500)), eq(true));
}

/// Guards against a wait for a whole lease and the loss of a primary that still serves some hosts:
/// while a host is cut off from the store, all others have to suspect the primary.
#[gtest]
fn all_others_have_to_agree_while_a_host_is_cut_off() {
    let mut hosts =
        vec![host("h1", 1, 12_000, &["p"]), host("h2", 1, 12_000, &[]), host("h3", 1, 6_000, &[])];
    expect_that!(is_quorum_suspected("p", &hosts, store_at(500)), eq(false));
    hosts[1].record.suspects.push("p".to_owned());
    expect_that!(is_quorum_suspected("p", &hosts, store_at(500)), eq(true));
}
