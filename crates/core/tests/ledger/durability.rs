//! Acknowledged commits of groups with synchronous replicas, in any order of faults.

mod model;

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use model::{GroupEvent, GroupModel, events};
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{RngAlgorithm, RngSeed, TestRng, TestRunner};
use tanagerdeal_core::ledger::absence::{AbsenceTable, AbsentEndpoint, RETURN_LIMIT};
use tanagerdeal_core::ledger::catalog::{GroupLimits, SiteCatalog};
use tanagerdeal_core::ledger::endpoint::{EndpointRecord, EndpointRole, EndpointTable};
use tanagerdeal_core::ledger::failover::step::{ChangeStep, ChangeView, next_step};
use tanagerdeal_core::ledger::failover::{CandidateStatus, UnansweredCandidate};
use tanagerdeal_core::ledger::group::GroupRecord;
use tanagerdeal_core::ledger::position::PrimaryObservation;

use crate::support::{at, endpoint, group, host_state, position};

/// Series of events in which the choice without synchronous replicas has to lose commits.
const SERIES: usize = 2_000;

/// A replica receives nothing, the other one drains, and the primary crashes (review/11).
const DRAINING: [GroupEvent; 7] = [
    GroupEvent::Write,
    GroupEvent::Deafen(2, true),
    GroupEvent::Drain(1),
    GroupEvent::Write,
    GroupEvent::Crash(0, 7_000),
    GroupEvent::Pass(7_500),
    GroupEvent::Pass(10_000),
];
/// The same with a replica that crashes as well.
const DOWN: [GroupEvent; 6] = [
    GroupEvent::Deafen(2, true),
    GroupEvent::Write,
    GroupEvent::Crash(1, 7_000),
    GroupEvent::Crash(0, 7_000),
    GroupEvent::Pass(6_900),
    GroupEvent::Pass(10_000),
];

/// Plays events with as many synchronous replicas; the host decides as if there were `known_sync`.
fn played(sync: usize, known_sync: usize, events: &[GroupEvent]) -> GroupModel {
    let mut model = GroupModel::new(sync, known_sync);
    events.iter().for_each(|event| model.apply(*event));
    model
}

/// Guards against commits that are lost because the replica that has them drains, or is down beside
/// the primary. Shows that the choice without synchronous replicas loses them.
#[gtest]
fn the_known_series_lose_nothing() {
    for events in [DRAINING.as_slice(), &DOWN] {
        expect_that!(played(1, 0, events).lost, gt(0));
        expect_that!(played(1, 1, events).lost, eq(0));
    }
    expect_that!(played(1, 1, &DRAINING).promotions, ge(1));
}

/// Guards against a model that cannot lose commits.
#[gtest]
fn the_choice_without_synchronous_replicas_loses_commits() {
    let random = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(ProptestConfig::default(), random);
    let series = (0..SERIES).map(|_| events().new_tree(&mut runner).unwrap().current());
    expect_that!(series.filter(|events| played(1, 0, events).lost > 0).count(), gt(0));
}

fn replica(id: &str, number: u64) -> CandidateStatus {
    CandidateStatus {
        id: id.to_owned(),
        domain: "d1".to_owned(),
        role: EndpointRole::Replica,
        term: 1,
        received: position(1, number),
        is_eligible: true,
    }
}

fn untold(id: &str) -> UnansweredCandidate {
    let status = replica(id, 0);
    UnansweredCandidate { status, is_running: false, has_successor: false }
}

/// A view of a group with one synchronous replica whose primary `p` has not told its status.
fn lost<'s, 'v>(
    record: &'v GroupRecord,
    statuses: &'s [CandidateStatus],
    unanswered: &'s [UnansweredCandidate],
) -> ChangeView<'s, 'v> {
    ChangeView {
        record,
        is_verified: true,
        statuses,
        unanswered,
        absent: &[],
        sync_replicas: 1,
        acknowledged: position(1, 0),
        is_status_wait_over: false,
        is_catch_up_over: false,
        is_leaving: false,
        is_accepted: false,
        is_call_over: true,
        now: at(0),
        primaries: &|_| 0,
    }
}

/// Guards against a choice among too few logs: two endpoints that are missing may have a commit that
/// no other one has. Once one of them has a successor, the others have it.
#[gtest]
fn two_missing_endpoints_withhold_a_promotion() {
    let record = group(1, "p", None).record;
    let statuses = [replica("r1", 7)];
    let mut unanswered = [untold("p"), untold("r2")];
    let view = lost(&record, &statuses, &unanswered);
    expect_that!(next_step(view), eq(ChangeStep::Wait));
    let is_over = ChangeView { is_status_wait_over: true, ..view };
    expect_that!(next_step(is_over), eq(ChangeStep::Withhold));
    unanswered[1].has_successor = true;
    let view = lost(&record, &statuses, &unanswered);
    expect_that!(next_step(view), eq(ChangeStep::Promote(&statuses[0])));
    let none = ChangeView { statuses: &[], ..view };
    expect_that!(next_step(none), eq(ChangeStep::Wait));
}

/// Guards against a group that stays without primary because of an endpoint that left long ago:
/// what the primary had when that one was gone is known.
#[gtest]
fn an_absent_endpoint_counts_only_if_it_may_have_more() {
    let record = group(1, "p", None).record;
    let (statuses, unanswered) = ([replica("r1", 7)], [untold("p")]);
    let mut table = AbsenceTable::default();
    table.note_unregistered("r2", "g", at(1_000));
    let absent: Vec<AbsentEndpoint> = table.of_group("g").cloned().collect();
    let view = ChangeView { absent: &absent, ..lost(&record, &statuses, &unanswered) };
    expect_that!(next_step(view), eq(ChangeStep::Wait));
    for (number, step) in [(7, ChangeStep::Promote(&statuses[0])), (8, ChangeStep::Wait)] {
        let reach = Some(position(1, number));
        let absent = [AbsentEndpoint { reach, ..absent[0].clone() }];
        expect_that!(next_step(ChangeView { absent: &absent, ..view }), eq(step));
    }
}

/// Guards against a promotion beside an endpoint that was lost for good, while another one that may
/// have the commits that it took along can come back: the time alone proves nothing.
#[gtest]
fn an_endpoint_that_was_lost_for_good_is_missing_until_nobody_can_come_back() {
    let record = group(1, "p", None).record;
    let (statuses, unanswered) = ([replica("r1", 7)], [untold("p")]);
    let mut table = AbsenceTable::default();
    table.note_unregistered("r2", "g", at(1_000));
    let absent: Vec<AbsentEndpoint> = table.of_group("g").cloned().collect();
    let view = ChangeView {
        absent: &absent,
        is_status_wait_over: true,
        now: at(1_000).after(RETURN_LIMIT),
        ..lost(&record, &statuses, &unanswered)
    };
    expect_that!(next_step(view), eq(ChangeStep::Withhold));
    let is_alone = ChangeView { unanswered: &[], ..view };
    expect_that!(next_step(is_alone), eq(ChangeStep::Promote(&statuses[0])));
}

/// Guards against a log that was given up and is promoted while the one that has the later term is
/// down, or answers and has to leave (review/13).
#[gtest]
fn a_log_that_was_given_up_waits_for_the_later_term() {
    let record = group(1, "p", None).record;
    let record = GroupRecord { term: 2, term_start: Some(position(1, 5)), ..record };
    let (given_up, unanswered) = (replica("r1", 7), [untold("p")]);
    let mut later = replica("p", 0);
    (later.received, later.term) = (position(2, 6), 2);
    later.is_eligible = false;
    let alone = [given_up.clone()];
    let view = ChangeView {
        sync_replicas: 0,
        is_status_wait_over: true,
        ..lost(&record, &alone, &unanswered)
    };
    expect_that!(next_step(view), eq(ChangeStep::Withhold));
    let gone = ChangeView { unanswered: &[], ..view };
    expect_that!(next_step(gone), eq(ChangeStep::Promote(&alone[0])));
    let leaving = [given_up.clone(), later.clone()];
    let has_leaving = ChangeView { statuses: &leaving, unanswered: &[], ..view };
    expect_that!(next_step(has_leaving), eq(ChangeStep::Promote(&leaving[1])));
    later.role = EndpointRole::Primary;
    let leading = [given_up, later];
    let leader =
        ChangeView { statuses: &leading, is_leaving: true, is_catch_up_over: true, ..has_leaving };
    expect_that!(next_step(leader), eq(ChangeStep::Withhold));
}

/// Guards against a wait for a position that a reply of the primary showed before any replica had
/// received it: nobody was told that it was committed.
#[gtest]
fn a_position_that_was_seen_is_waited_for_and_not_required() {
    let record = group(1, "p", None).record;
    let (statuses, unanswered) = ([replica("r1", 7), replica("r2", 6)], [untold("p")]);
    let view = ChangeView { acknowledged: position(1, 8), ..lost(&record, &statuses, &unanswered) };
    expect_that!(next_step(view), eq(ChangeStep::Wait));
    let is_over = ChangeView { is_status_wait_over: true, ..view };
    expect_that!(next_step(is_over), eq(ChangeStep::Promote(&statuses[0])));
    // What the term began with is required.
    let record = GroupRecord { term: 2, term_start: Some(position(1, 8)), ..record.clone() };
    let required = ChangeView { record: &record, ..is_over };
    expect_that!(next_step(required), eq(ChangeStep::Withhold));
}

/// Guards against a group that stays without primary for good after two endpoints were lost for good.
#[gtest]
fn the_longest_log_is_promoted_once_nobody_can_come_back() {
    let record = group(1, "p", None).record;
    let statuses = [replica("r1", 6), replica("r2", 7)];
    let record = GroupRecord { term: 2, term_start: Some(position(1, 8)), ..record };
    let view = ChangeView { is_status_wait_over: true, ..lost(&record, &statuses, &[]) };
    expect_that!(next_step(view), eq(ChangeStep::Promote(&statuses[1])));
}

/// Guards against a planned change to a replica that lacks commits of a primary that still answers,
/// however long it waits.
#[gtest]
fn a_leaving_primary_is_kept_until_a_replica_has_its_commits() {
    let record = group(1, "p", None).record;
    let leaving = CandidateStatus { role: EndpointRole::Primary, ..replica("p", 9) };
    let behind = [leaving.clone(), replica("r1", 7)];
    let view = ChangeView {
        is_leaving: true,
        is_status_wait_over: true,
        is_catch_up_over: true,
        ..lost(&record, &behind, &[])
    };
    expect_that!(next_step(view), eq(ChangeStep::Withhold));
    let caught_up = [leaving, replica("r1", 9)];
    let view = ChangeView { statuses: &caught_up, ..view };
    expect_that!(next_step(view), eq(ChangeStep::Promote(&caught_up[1])));
}

/// Guards against a number of synchronous replicas that was lowered and counts for as long as
/// configurations follow each other.
#[gtest]
fn a_lowered_number_counts_for_a_while_only() {
    let mut state = host_state();
    let versions = [(2, 0, 1), (3, 1_000, 0), (4, 10_000, 0), (5, 14_000, 0)];
    for (version, now_ms, sync_replicas) in versions {
        let groups = vec![("g".to_owned(), GroupLimits { connections: 20, sync_replicas })];
        let limit = Duration::from_secs(3);
        let catalog = SiteCatalog::new(version, Vec::new(), Vec::new(), groups, limit, limit);
        state.adopt_catalog(Arc::new(catalog), at(now_ms));
    }
    expect_that!(state.sync_replicas("g", at(15_900)), eq(1));
    expect_that!(state.sync_replicas("g", at(16_000)), eq(0));
}

fn registered(id: &str, port: u16, born: u64) -> EndpointRecord {
    let record = endpoint(id, "d1", EndpointRole::Replica);
    EndpointRecord { address: ([10, 0, 0, 1], port).into(), born: Some(born), ..record }
}

fn away(table: &EndpointTable, now_ms: u64) -> Vec<&str> {
    let absent = table.absences.of_group("g").filter(|absent| absent.may_return(at(now_ms)));
    absent.map(|absent| absent.id.as_str()).collect()
}

/// Guards against an endpoint that is forgotten while it is down, and against a wait for one that is
/// back, under its identity or another one.
#[gtest]
fn an_endpoint_is_away_until_it_or_its_successor_registers() {
    let mut table = EndpointTable::default();
    for (id, port) in [("e1", 1), ("e2", 2)] {
        table.register(registered(id, port, 1), at(0));
        table.note_missing(id, at(1_000));
    }
    expect_that!(away(&table, 1_000), is_empty());
    table.remove_missing(at(2_000), at(6_000));
    expect_that!(away(&table, 6_000), unordered_elements_are![eq(&"e1"), eq(&"e2")]);
    table.register(registered("e1", 1, 1), at(7_000));
    expect_that!(away(&table, 7_000), elements_are![eq(&"e2")]);
    table.register(registered("e3", 2, 2), at(8_000));
    expect_that!(away(&table, 8_000), is_empty());
    table.absences.note_unregistered("e2", "g", at(9_000));
    expect_that!(away(&table, 9_000), is_empty());
}

/// Guards against an endpoint that started again without its log and counts as one that has it, and
/// against a lost one that counts for good.
#[gtest]
fn a_restart_without_the_log_leaves_a_former_process_away() {
    let mut table = EndpointTable::default();
    table.register(registered("e1", 1, 1), at(0));
    table.register(registered("e1", 1, 2), at(1_000));
    expect_that!(away(&table, 1_000), elements_are![eq(&"e1")]);
    table.register(registered("e4", 1, 3), at(2_000));
    expect_that!(away(&table, 2_000), elements_are![eq(&"e1")]);
    let observation = PrimaryObservation { sent_at: at(3_000), position: position(1, 4) };
    table.absences.note_position("g", &observation);
    let reach = table.absences.of_group("g").map(|absent| absent.reach).next();
    expect_that!(reach, some(some(eq(position(1, 4)))));
    let over = 1_000 + RETURN_LIMIT.as_millis() as u64;
    expect_that!(away(&table, over), is_empty());
}

/// Guards against a host that has just started and knows of no endpoint that is away.
#[gtest]
fn other_hosts_tell_which_endpoints_are_away() {
    let mut table = EndpointTable::default();
    table.register(registered("e1", 1, 1), at(0));
    table.note_missing("e1", at(1_000));
    table.remove_missing(at(2_000), at(6_000));
    let shared: Vec<_> =
        table.absences.of_group("g").map(|absent| absent.share(at(7_000))).collect();
    let mut started = EndpointTable::default();
    started.adopt_absence("g", &shared[0], at(500_000));
    expect_that!(away(&started, 500_000), elements_are![eq(&"e1")]);
    expect_that!(away(&started, 500_000 + 24_000), is_empty());
    let mut has_successor = EndpointTable::default();
    has_successor.register(registered("e2", 1, 2), at(0));
    has_successor.adopt_absence("g", &shared[0], at(500_000));
    expect_that!(away(&has_successor, 500_000), is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 3_000, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Guards against acknowledged commits that a promoted endpoint lacks, and against a group that
    /// stays without primary: in any order of crashes, replicas that receive nothing, replacements
    /// and restarts without the log.
    #[test]
    fn acknowledged_commits_survive_failovers(sync in 1..3_usize, events in events()) {
        let mut model = played(sync, sync, &events);
        prop_assert_eq!(model.lost, 0);
        prop_assert_eq!(model.returned, 0);
        prop_assert!(model.serves_when_healed());
        prop_assert_eq!(model.lost, 0);
    }

    /// Guards against commits that a promotion gave up and a later one brings back, after reads that
    /// missed them (review/13), and against a group that stays without primary for that.
    #[test]
    fn commits_that_were_given_up_stay_away(events in events()) {
        let mut model = played(0, 0, &events);
        prop_assert_eq!(model.returned, 0);
        prop_assert!(model.serves_when_healed());
        prop_assert_eq!(model.returned, 0);
    }
}
