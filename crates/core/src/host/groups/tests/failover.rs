//! Failover of a primary, run by several hosts.

use std::time::Duration;

use googletest::prelude::*;
use tanagerdeal_wire::member::{LogPosition, MemberRole, TermRequest};

use super::world::World;
use crate::message::fleet::TermCommand;
use crate::profile::SuspicionPolicy;
use crate::routing::RouteChoice;

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn started(hosts: usize, seed: u64) -> World {
    let mut world = World::new(hosts, seed);
    world.run(secs(4));
    for host in 0..hosts {
        assert_eq!(world.primary(host), Some(0));
    }
    world
}

/// Guards against a killed or frozen primary that is not replaced in time, including after a split
/// vote between two promoters (seeds from 79 on).
#[gtest]
fn frozen_primary_is_replaced_within_two_seconds() {
    for seed in (0..30).chain([79, 127, 182, 188, 264, 325, 379, 393]) {
        let mut world = started(9, seed);
        world.frozen.insert(0);
        let took = world.run_until(secs(9), |world| {
            (0..9).all(|host| world.primary(host).is_some_and(|primary| primary != 0))
        });
        assert_that!(took, some(le(Duration::from_millis(2_000))), "seed {seed}");
        world.frozen.clear();
        world.run(secs(4));
        assert_that!(world.promotions.len(), eq(1), "seed {seed}");
        assert_that!(world.members[0].role, eq(MemberRole::Replica));
        world.check_safety();
    }
}

/// Guards against a primary that loses its state in a restart before it is suspected: it answers
/// probes and was therefore never replaced. Guards also against promoting it with its empty log.
#[gtest]
fn primary_that_restarts_empty_is_replaced() {
    let mut world = started(9, 2);
    for _ in 0..10 {
        world.write(1);
        world.run(Duration::from_millis(40));
    }
    world.members[0].lose_state();
    let took = world.run_until(secs(9), |world| {
        (0..9).all(|host| world.primary(host).is_some_and(|primary| primary != 0))
    });
    assert_that!(took, some(le(secs(2))));
    world.run(secs(2));
    assert_that!(world.members[0].role, eq(MemberRole::Replica));
    assert_that!(world.members[0].end(), eq(world.members[1].end()));
    world.check_safety();
}

/// Guards against a slow failover when the new primary fails right after the first failover.
#[gtest]
fn second_failure_right_after_the_first_is_survived() {
    let mut world = started(9, 3);
    world.frozen.insert(0);
    world.run_until(secs(9), |world| world.primary(0).is_some_and(|primary| primary != 0));
    let second = world.primary(0).unwrap();
    // The first member returns, because a majority is two of three.
    world.frozen = [second].into();
    let took = world.run_until(secs(9), |world| {
        (0..9).all(|host| world.primary(host).is_some_and(|primary| primary != second))
    });
    assert_that!(took, some(le(secs(6))));
    world.check_safety();
}

/// Guards against a promotion caused by a faulty network link of a single host.
#[gtest]
fn bad_link_of_one_host_causes_no_promotion() {
    let mut world = started(9, 4);
    world.cut.insert((2, 0));
    world.run(secs(10));
    assert_that!(world.promotions.len(), eq(0));
    assert_that!(world.members[0].promised, eq(1));
}

/// Guards against a promotion caused by packet loss, and against hosts that stop writing.
#[gtest]
fn packet_loss_causes_no_promotion() {
    for seed in 0..10 {
        let mut world = started(9, seed);
        world.loss = 5;
        world.run(secs(30));
        assert_that!(world.members[0].promised, eq(1), "seed {seed}");
        world.check_safety();
    }
}

/// Guards against a primary in a minority partition that continues to acknowledge writes, and
/// against a promotion by the hosts of that partition.
#[gtest]
fn primary_in_the_minority_is_replaced_and_acknowledges_nothing() {
    let mut world = started(9, 5);
    // Hosts 0, 3 and 6 are in the failure domain of member 0.
    for host in 0..9 {
        for member in 0..3 {
            if (host % 3 == 0) != (member == 0) {
                world.cut.insert((host, member));
            }
        }
    }
    world.split = [(1, 0), (2, 0), (0, 1), (0, 2)].into();
    for _ in 0..60 {
        world.write(0);
        world.run(Duration::from_millis(50));
    }
    assert_that!(world.promotions.len(), eq(1));
    assert_that!(
        world.members[0].role,
        eq(MemberRole::Primary),
        "the old primary cannot learn of the new one"
    );
    world.check_safety();
    assert_that!(world.acknowledged(), eq(0));
    world.cut.clear();
    world.split.clear();
    world.run(secs(2));
    assert_that!(world.members[0].role, eq(MemberRole::Replica));
}

/// Guards against losing a write that two members hold: the member with the most advanced log must
/// take over.
#[gtest]
fn furthest_member_is_promoted() {
    for (behind, ahead) in [(1, 2), (2, 1)] {
        let mut world = started(9, 6);
        world.split.insert((behind, 0));
        for _ in 0..10 {
            world.write(1);
            world.run(Duration::from_millis(40));
        }
        assert_that!(world.acknowledged(), gt(5));
        world.frozen.insert(0);
        world.run_until(secs(9), |world| !world.promotions.is_empty());
        assert_that!(world.promotions[0].2, eq(ahead));
        world.check_safety();
    }
}

/// Guards against a promotion that stalls because commands or replies were lost. Seeds from 169 on
/// cause a split vote between two promoters.
#[gtest]
fn lost_commands_and_answers_are_repeated() {
    for seed in (0..30).chain([169, 187, 235, 325, 330, 344, 374]) {
        let mut world = started(9, seed);
        world.loss = 20;
        world.frozen.insert(0);
        let took = world.run_until(secs(9), |world| {
            (0..9).any(|host| world.primary(host).is_some_and(|primary| primary != 0))
        });
        assert_that!(took, some(le(secs(3))), "seed {seed}");
        world.check_safety();
    }
}

/// Guards against a group that stays fenced because its promoter died between the fence and the
/// promotion.
#[gtest]
fn promoter_that_dies_after_the_fence_is_replaced() {
    let mut world = started(9, 7);
    let request = TermRequest { term: 2, promoter: "dead".to_owned() };
    let group = world.group_name.clone();
    for member in &mut world.members {
        assert!(member.command(&group, &TermCommand::Fence(request.clone())).granted);
    }
    let took = world.run_until(secs(9), |world| {
        !world.promotions.is_empty() && (0..9).all(|host| world.primary(host).is_some())
    });
    assert_that!(took, some(le(secs(3))));
    assert_that!(world.promotions.len(), eq(1));
    assert_that!(world.promotions[0].1, gt(2));
}

/// Guards against a member that stays fenced after a promotion attempt reached only a minority.
#[gtest]
fn fenced_minority_is_taken_back() {
    let mut world = started(9, 8);
    let request = TermRequest { term: 2, promoter: "dead".to_owned() };
    let group = world.group_name.clone();
    world.members[2].command(&group, &TermCommand::Fence(request));
    world.run(secs(2));
    assert_that!(world.primary(0), some(eq(0)), "the primary stays routable meanwhile");
    world.run(secs(6));
    assert_that!(world.members[2].role, ne(MemberRole::Fenced));
    assert_that!(world.promotions.len(), eq(1));
}

/// Guards against two primaries in one term: each member grants a term to one promoter only. Guards
/// also against promoters that block each other after a split vote, and against a host that loses
/// the new primary because several packets in a row are lost (seed 125).
#[gtest]
fn two_promoters_cannot_both_win_a_term() {
    // With the single policy and no rank delay, the hosts start promotions independently.
    for seed in (0..60).chain([79, 89, 125, 140, 261, 314, 337, 343, 384, 396]) {
        let mut world = started(3, seed);
        for host in &mut world.hosts {
            host.profile.policies.suspicion = SuspicionPolicy::Single;
            host.profile.timing.promote_step = Duration::ZERO;
        }
        world.loss = 10;
        world.frozen.insert(0);
        let frozen_at = world.now;
        world.run(secs(8));
        world.check_safety();
        assert_that!(world.promotions.len(), ge(1), "seed {seed}");
        let took = world.promotions[0].0 - frozen_at;
        assert_that!(took, le(secs(2)), "seed {seed}");
        assert_that!(world.primary(1), some(ne(0)), "seed {seed}");
    }
}

/// Guards against a host that was paused during a failover and then acts on its old suspicion.
#[gtest]
fn paused_host_does_not_act_on_old_suspicions() {
    for host in 0..9 {
        let mut world = started(9, 9);
        world.frozen.insert(0);
        let group = world.group(host);
        world.run_until(secs(2), |world| {
            world.hosts[host].failovers.suspected_term(group).is_some()
        });
        world.paused.insert(host);
        // From here on it needs no agreement of other hosts, so that an old suspicion would be
        // enough to start a promotion.
        world.hosts[host].profile.policies.suspicion = SuspicionPolicy::Single;
        let started = world.hosts[host].counters.promotions_started;
        world.run(secs(5));
        assert_that!(world.promotions.len(), eq(1));
        world.paused.clear();
        world.run(secs(5));
        assert_that!(world.hosts[host].counters.promotions_started, eq(started), "host {host}");
        assert_that!(world.promotions.len(), eq(1));
        assert_that!(world.primary(host), some(eq(world.promotions[0].2)));
    }
}

/// Guards against rejecting reads while the primary is down, although replicas can serve them.
#[gtest]
fn reads_go_on_at_replicas_while_the_primary_is_down() {
    let mut world = started(9, 10);
    world.write(1);
    world.run(secs(1));
    world.frozen.insert(0);
    for _ in 0..100 {
        world.tick();
        let choice = world.choose(1, false, LogPosition { term: 1, offset: 1 });
        assert_that!(choice, matches_pattern!(RouteChoice::Endpoint { .. }));
    }
}
