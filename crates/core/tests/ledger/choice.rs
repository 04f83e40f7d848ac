//! Selection of the endpoint for a read.

use std::time::Duration;

use googletest::prelude::*;
use tanagerdeal_core::ledger::endpoint::EndpointRole;

use crate::support::{at, endpoint, host_state, position};

fn chosen(state: &tanagerdeal_core::ledger::state::HostState, floor: bool, now: u64) -> String {
    let floor = floor.then_some(position(1, 5));
    let key = state.read_target("g", floor, &[], at(now));
    key.and_then(|key| state.endpoints.get(key))
        .map_or(String::new(), |endpoint_state| endpoint_state.record.id.clone())
}

/// Guards against needless traffic between failure domains and load on the primary.
#[gtest]
fn a_replica_of_the_own_domain_is_preferred() {
    expect_that!(chosen(&host_state(), true, 10).as_str(), eq("r1"));
}

/// Guards against reads without a minimum position on replicas.
#[gtest]
fn without_a_floor_only_the_primary_will_do() {
    expect_that!(chosen(&host_state(), false, 10).as_str(), eq("p"));
}

/// Guards against work for draining endpoints.
#[gtest]
fn a_draining_endpoint_gets_no_reads() {
    let mut state = host_state();
    let mut record = endpoint("r1", "d1", EndpointRole::Replica);
    record.is_draining = true;
    state.endpoints.register(record, at(5));
    expect_that!(chosen(&state, true, 10).as_str(), not(eq("r1")));
}

/// Guards against reads in an evacuated failure domain.
#[gtest]
fn an_evacuated_domain_gets_no_reads() {
    let mut state = host_state();
    state.evacuated.insert("d1".to_owned(), at(5));
    expect_that!(chosen(&state, true, 10).as_str(), eq("r2"));
}

/// Load pattern: replicas lag for seconds (`replica_lag`). Guards against retries on a replica that
/// has just refused a read.
#[gtest]
fn a_lagging_replica_is_passed_over_until_it_has_the_position() {
    let mut state = host_state();
    let key = state.endpoints.find("r1").unwrap();
    state.endpoints.get_mut(key).unwrap().note_lagging(at(10));
    expect_that!(chosen(&state, true, 20).as_str(), not(eq("r1")));
    let reply = Some(position(1, 5));
    state.endpoints.get_mut(key).unwrap().note_reply(reply, Duration::from_millis(20));
    expect_that!(chosen(&state, true, 30).as_str(), eq("r1"));
}

/// Load pattern: one endpoint is full while others are idle. Guards against a queue in this failure
/// domain that costs more latency than another domain.
#[gtest]
fn work_moves_to_another_domain_when_the_own_one_is_loaded() {
    let mut state = host_state();
    for id in ["p", "r1"] {
        let key = state.endpoints.find(id).unwrap();
        let endpoint_state = state.endpoints.get_mut(key).unwrap();
        (0..80).for_each(|_| endpoint_state.note_reply(None, Duration::from_millis(90)));
        endpoint_state.in_flight = 3;
    }
    expect_that!(chosen(&state, true, 10).as_str(), eq("r2"));
}

/// Guards against reads on an endpoint that does not reply.
#[gtest]
fn a_failing_endpoint_is_the_last_choice() {
    let mut state = host_state();
    let key = state.endpoints.find("r1").unwrap();
    state.endpoints.get_mut(key).unwrap().note_failure(at(5));
    expect_that!(chosen(&state, true, 10).as_str(), not(eq("r1")));
}
