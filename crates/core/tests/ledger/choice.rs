//! Which endpoint runs a read.

use std::time::Duration;

use googletest::prelude::*;
use tanagerdeal_core::ledger::endpoint::EndpointRole;

use crate::support::{at, book, endpoint, position};

fn chosen(book: &tanagerdeal_core::ledger::book::HostBook, floor: bool, now: u64) -> String {
    let floor = floor.then_some(position(1, 5));
    let key = book.read_target("g", floor, &[], at(now));
    key.and_then(|key| book.endpoints.get(key))
        .map_or(String::new(), |state| state.record.id.clone())
}

/// Guards against bytes between failure domains and load on the primary without need.
#[gtest]
fn a_replica_of_the_own_domain_is_preferred() {
    expect_that!(chosen(&book(), true, 10).as_str(), eq("r1"));
}

/// Guards against reads without a floor on replicas.
#[gtest]
fn without_a_floor_only_the_primary_will_do() {
    expect_that!(chosen(&book(), false, 10).as_str(), eq("p"));
}

/// Guards against work for endpoints that leave.
#[gtest]
fn a_draining_endpoint_gets_no_reads() {
    let mut book = book();
    let mut record = endpoint("r1", "d1", EndpointRole::Replica);
    record.is_draining = true;
    book.endpoints.register(record, at(5));
    expect_that!(chosen(&book, true, 10).as_str(), not(eq("r1")));
}

/// Guards against reads in a failure domain that was taken out.
#[gtest]
fn an_evacuated_domain_gets_no_reads() {
    let mut book = book();
    book.evacuated.insert("d1".to_owned(), at(5));
    expect_that!(chosen(&book, true, 10).as_str(), eq("r2"));
}

/// Load pattern: replicas fall behind for seconds (`replica_lag`). Guards against reads that try a
/// replica which has just refused them.
#[gtest]
fn a_lagging_replica_is_passed_over_until_it_has_the_position() {
    let mut book = book();
    let key = book.endpoints.find("r1").unwrap();
    book.endpoints.get_mut(key).unwrap().note_lagging(at(10));
    expect_that!(chosen(&book, true, 20).as_str(), not(eq("r1")));
    let reply = Some(position(1, 5));
    book.endpoints.get_mut(key).unwrap().note_reply(reply, Duration::from_millis(20));
    expect_that!(chosen(&book, true, 30).as_str(), eq("r1"));
}

/// Load pattern: one endpoint is full while others are idle. Guards against a queue in the own
/// failure domain that is longer than the way to another one.
#[gtest]
fn work_moves_to_another_domain_when_the_own_one_is_loaded() {
    let mut book = book();
    for id in ["p", "r1"] {
        let key = book.endpoints.find(id).unwrap();
        let state = book.endpoints.get_mut(key).unwrap();
        (0..80).for_each(|_| state.note_reply(None, Duration::from_millis(90)));
        state.in_flight = 3;
    }
    expect_that!(chosen(&book, true, 10).as_str(), eq("r2"));
}

/// Guards against reads at an endpoint that does not reply.
#[gtest]
fn a_failing_endpoint_is_the_last_choice() {
    let mut book = book();
    let key = book.endpoints.find("r1").unwrap();
    book.endpoints.get_mut(key).unwrap().note_failure(at(5));
    expect_that!(chosen(&book, true, 10).as_str(), not(eq("r1")));
}
