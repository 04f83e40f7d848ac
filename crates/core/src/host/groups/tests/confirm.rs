//! Confirmation of commits, with answers to probes in a fixed order.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use tanagerdeal_wire::member::{LogPosition, MemberRole, MemberStatus};

use super::world::World;
use crate::confirm::{ConfirmOutcome, ConfirmRequest, ConfirmWaiter};
use crate::message::fleet::MemberEvent;
use crate::message::{DispatchKey, SessionKey};
use crate::routing::RouteChoice;
use tanagerdeal_wire::record::WriteDurability;

const COMMIT: LogPosition = LogPosition { term: 1, offset: 1 };

/// One host, and a group whose primary has a commit that no replica has received.
fn with_commit() -> World {
    let mut world = World::new(1, 1);
    world.run(Duration::from_secs(1));
    world.members[0].write(1);
    world
}

fn answer(world: &mut World, member: usize, asked_at: Instant) {
    let status = world.members[member].status(&world.group_name);
    answer_with(world, member, asked_at, status);
}

fn answer_with(world: &mut World, member: usize, asked_at: Instant, status: MemberStatus) {
    let endpoint = world.key(0, member);
    world.handle(0, MemberEvent::Answered { endpoint, asked_at, status });
}

fn wait_for(world: &mut World, durability: WriteDurability) {
    let now = world.now;
    let request = ConfirmRequest {
        waiter: ConfirmWaiter::Commit(DispatchKey::default()),
        group: world.group(0),
        position: COMMIT,
        since: now,
        replicated_by: now + Duration::from_millis(400),
        deadline: now + Duration::from_secs(2),
        durability,
    };
    world.hosts[0].confirms.add(request);
}

/// Settles the waits and returns the outcome, without sending probes.
fn outcome(world: &mut World) -> Option<ConfirmOutcome> {
    let group = world.group(0);
    let state = &mut world.hosts[0];
    state.confirms.settle(world.now, &mut state.endpoints, group);
    state.confirms.take_results().pop().map(|result| result.outcome)
}

fn observe(world: &mut World, member: usize, asked_at: Instant) {
    let status = world.members[member].status(&world.group_name);
    let endpoint = world.key(0, member);
    world.hosts[0].endpoints.observe(world.now, endpoint, asked_at, status);
}

/// Guards against confirming a commit by a probe that was sent before the commit.
#[gtest]
fn probe_sent_before_the_commit_does_not_confirm_it() {
    let mut world = with_commit();
    let before = world.now;
    world.now += Duration::from_millis(10);
    wait_for(&mut world, WriteDurability::Term);
    world.members.iter_mut().for_each(|member| member.log = vec![(1, 1)]);
    (0..3).for_each(|member| observe(&mut world, member, before));
    assert_that!(outcome(&mut world), none());
    let after = world.now;
    (0..3).for_each(|member| observe(&mut world, member, after));
    let confirmed = ConfirmOutcome::Confirmed { position: COMMIT, replicated: true };
    assert_that!(outcome(&mut world), some(eq(confirmed)));
}

/// Guards against confirmation by a majority that does not include the primary.
#[gtest]
fn replicas_alone_do_not_confirm_a_commit() {
    let mut world = with_commit();
    wait_for(&mut world, WriteDurability::Term);
    let now = world.now;
    observe(&mut world, 1, now);
    observe(&mut world, 2, now);
    world.now += Duration::from_millis(500);
    assert_that!(outcome(&mut world), none());
}

/// Guards against acknowledging a commit although the primary was replaced while the host waited
/// for a second member.
#[gtest]
fn wait_for_a_second_member_ends_with_a_new_confirmation() {
    let mut world = with_commit();
    wait_for(&mut world, WriteDurability::Term);
    let early = world.now;
    (0..3).for_each(|member| observe(&mut world, member, early));
    assert_that!(outcome(&mut world), none(), "no second member has the commit");
    world.now += Duration::from_millis(410);
    assert_that!(outcome(&mut world), none(), "the confirmation is older than the wait");
    let late = world.now;
    observe(&mut world, 0, late);
    observe(&mut world, 1, late);
    let confirmed = ConfirmOutcome::Confirmed { position: COMMIT, replicated: false };
    assert_that!(outcome(&mut world), some(eq(confirmed)));
}

/// Guards against an acknowledgement before a second member has received the commit, on a route
/// that requires this.
#[gtest]
fn durable_write_is_not_acknowledged_without_a_second_member() {
    let mut world = with_commit();
    wait_for(&mut world, WriteDurability::Replicated);
    for _ in 0..199 {
        world.now += Duration::from_millis(10);
        let now = world.now;
        (0..3).for_each(|member| observe(&mut world, member, now));
        assert_that!(outcome(&mut world), none());
    }
    world.now += Duration::from_millis(10);
    assert_that!(outcome(&mut world), some(eq(ConfirmOutcome::Expired)));
}

/// Guards against keeping a client waiting until its deadline although the primary was replaced.
#[gtest]
fn higher_term_ends_the_wait_at_once() {
    let mut world = with_commit();
    wait_for(&mut world, WriteDurability::Term);
    for member in [1, 2] {
        assert_that!(outcome(&mut world), none());
        world.members[member].promised = 2;
        world.members[member].role = MemberRole::Fenced;
        let now = world.now;
        observe(&mut world, member, now);
    }
    assert_that!(outcome(&mut world), some(eq(ConfirmOutcome::Fenced)));
}

/// Guards against several probes of a member in flight, and against waits that the round of probes
/// started after the previous one does not serve.
#[gtest]
fn waits_during_a_round_join_the_next_one() {
    let mut world = with_commit();
    let sent = |world: &World| {
        let key = world.key(0, 0);
        world.hosts[0].endpoints.members[key].probe.sent_at
    };
    let first = world.now;
    wait_for(&mut world, WriteDurability::Replicated);
    world.settle(0);
    assert_that!(sent(&world), some(eq(first)));
    world.now += Duration::from_millis(1);
    wait_for(&mut world, WriteDurability::Replicated);
    world.settle(0);
    assert_that!(sent(&world), some(eq(first)), "a probe is in flight");
    world.now += Duration::from_millis(2);
    answer(&mut world, 0, first);
    assert_that!(sent(&world), some(eq(world.now)), "the next probe is sent at once");
}

/// Guards against a session that adopts the position of a replaced primary as its watermark.
#[gtest]
fn position_is_adopted_only_after_a_majority_confirmed_it() {
    let mut world = with_commit();
    let now = world.now;
    let request = ConfirmRequest {
        waiter: ConfirmWaiter::Position(SessionKey::default()),
        group: world.group(0),
        position: LogPosition::default(),
        since: now,
        replicated_by: now,
        deadline: now + Duration::from_secs(1),
        durability: WriteDurability::Term,
    };
    world.hosts[0].confirms.add(request);
    observe(&mut world, 0, now);
    assert_that!(outcome(&mut world), none());
    observe(&mut world, 2, now);
    let confirmed = ConfirmOutcome::Confirmed { position: COMMIT, replicated: false };
    assert_that!(outcome(&mut world), some(eq(confirmed)));
}

/// Guards against applying the status of a member of another group, as returned when an address has
/// been reused.
#[gtest]
fn status_of_another_group_is_ignored() {
    let mut world = with_commit();
    let mut status = world.members[1].status(&world.group_name);
    status.group = tanagerdeal_wire::GroupName::new("other").unwrap();
    (status.role, status.promised_term) = (MemberRole::Primary, 9);
    let now = world.now;
    answer_with(&mut world, 1, now, status);
    assert_that!(world.primary(0), some(eq(0)));
    let choice = world.choose(0, true, LogPosition::default());
    assert_that!(choice, matches_pattern!(RouteChoice::Endpoint { .. }));
}
