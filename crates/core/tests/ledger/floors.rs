//! Positions that reads have to see.

use std::time::Duration;

use googletest::prelude::*;
use tanagerdeal_core::ledger::catalog::ReadConsistency;
use tanagerdeal_core::ledger::floor::{FloorHistory, PrimaryObservation};

use crate::support::{at, book, group, position, route};

const AGE: Duration = Duration::from_millis(1_500);

fn observation(millis: u64, number: u64) -> PrimaryObservation {
    PrimaryObservation { sent_at: at(millis), position: position(1, number) }
}

/// Guards against a read of data that is older than its route accepts: an observation counts only
/// if it was sent within the age before the read began.
#[gtest]
fn an_observation_that_is_too_old_gives_no_floor() {
    let mut history = FloorHistory::default();
    history.observe(observation(1_000, 5));
    expect_that!(history.floor(at(2_500), AGE), some(eq(position(1, 5))));
    expect_that!(history.floor(at(2_501), AGE), none());
}

/// Guards against reads that are sent to the primary without need: the lowest sufficient position
/// is the one that most replicas have.
#[gtest]
fn the_oldest_sufficient_observation_is_the_floor() {
    let mut history = FloorHistory::default();
    for (millis, number) in [(0, 1), (500, 2), (1_000, 3), (1_500, 4)] {
        history.observe(observation(millis, number));
    }
    expect_that!(history.floor(at(2_000), AGE), some(eq(position(1, 2))));
    expect_that!(history.floor(at(2_100), AGE), some(eq(position(1, 3))));
}

/// Guards against a history that forgets the newest observation because others came shortly before.
#[gtest]
fn the_newest_of_dense_observations_is_kept() {
    let mut history = FloorHistory::default();
    history.observe(observation(1_000, 5));
    history.observe(observation(1_010, 6));
    expect_that!(history.floor(at(2_505), AGE), some(eq(position(1, 6))));
}

/// Guards against floors of a former primary whose last commits were rolled back.
#[gtest]
fn floors_of_a_former_primary_are_forgotten() {
    let mut book = book();
    let right = book.primary_right("g", at(10)).unwrap();
    book.observe_primary("g", right, observation(10, 9), at(20));
    let bounded = route(ReadConsistency::Bounded(AGE));
    expect_that!(book.read_floor(&bounded, None, at(30)), some(eq(position(1, 9))));
    book.adopt_group(group(2, "r1", None));
    expect_that!(book.read_floor(&bounded, None, at(30)), none());
    // A reply that was under way when the row changed proves nothing any more.
    book.observe_primary("g", right, observation(15, 10), at(40));
    expect_that!(book.read_floor(&bounded, None, at(50)), none());
}

/// Guards against a session that misses its own commit on a replica.
#[gtest]
fn a_session_sees_its_own_commits() {
    let mut book = book();
    let right = book.primary_right("g", at(10)).unwrap();
    book.observe_primary("g", right, observation(10, 9), at(20));
    let session = route(ReadConsistency::Session(AGE));
    let floor = book.read_floor(&session, Some(position(1, 12)), at(30));
    expect_that!(floor, some(eq(position(1, 12))));
}

/// Guards against a session that waits for ever for a commit that a change of primary rolled back.
#[gtest]
fn a_commit_of_an_earlier_term_gives_way_to_the_new_primary() {
    let mut book = book();
    book.adopt_group(group(2, "r1", None));
    let right = book.primary_right("g", at(10)).unwrap();
    let observed = PrimaryObservation { sent_at: at(10), position: position(2, 8) };
    book.observe_primary("g", right, observed, at(20));
    let session = route(ReadConsistency::Session(AGE));
    let floor = book.read_floor(&session, Some(position(1, 12)), at(30));
    expect_that!(floor, some(eq(position(2, 8))));
}

/// Guards against current reads on replicas.
#[gtest]
fn a_current_read_has_no_floor() {
    let mut book = book();
    let right = book.primary_right("g", at(10)).unwrap();
    book.observe_primary("g", right, observation(10, 9), at(20));
    expect_that!(book.read_floor(&route(ReadConsistency::Current), None, at(30)), none());
}
