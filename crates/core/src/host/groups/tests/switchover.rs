//! Planned switchover of a primary that is leaving.

use std::time::Duration;

use googletest::prelude::*;

use super::world::World;
use crate::confirm::ConfirmOutcome;

/// Guards against losing acknowledged writes in a planned switchover, and against several hosts
/// that run it concurrently.
#[gtest]
fn leaving_primary_is_replaced_without_a_lost_write() {
    for seed in 0..10 {
        let mut world = World::new(9, seed);
        world.run(Duration::from_secs(4));
        for _ in 0..20 {
            (0..9).for_each(|host| {
                world.write(host);
            });
            world.run(Duration::from_millis(20));
        }
        world.set_leaving(0);
        let took = world.run_until(Duration::from_secs(5), |world| {
            (0..9).all(|host| world.primary(host).is_some())
        });
        assert_that!(took, some(le(Duration::from_millis(2_500))), "seed {seed}");
        assert_that!(world.primary(0), some(ne(0)), "seed {seed}");
        world.run(Duration::from_secs(4));
        assert_that!(world.promotions.len(), eq(1), "seed {seed}");
        world.check_safety();
        let last = world.promotions[0].2;
        for commit in &world.commits {
            assert_that!(commit.outcome, matches_pattern!(ConfirmOutcome::Confirmed { .. }));
            assert!(world.members[last].contains(commit.id), "seed {seed}: {}", commit.id);
        }
        assert_that!(world.commits.len(), gt(150));
    }
}

/// Guards against losing writes in a switchover whose target lags behind the primary.
#[gtest]
fn target_that_is_behind_catches_up_before_it_takes_over() {
    let mut world = World::new(9, 1);
    world.run(Duration::from_secs(4));
    world.is_replicating = false;
    for _ in 0..20 {
        world.write(2);
        world.tick();
    }
    world.run(Duration::from_secs(1));
    assert_that!(world.acknowledged(), gt(15), "acknowledged before a second member had them");
    world.set_leaving(0);
    // Longer than the hosts need to apply the change, so that only the replica lag holds up the
    // switchover.
    world.run(Duration::from_millis(1_200));
    world.is_replicating = true;
    world.run(Duration::from_secs(8));
    assert_that!(world.primary(0), some(ne(0)));
    assert_that!(world.promotions.len(), eq(1));
    let last = world.promotions[0].2;
    assert!(world.commits.iter().all(|commit| world.members[last].contains(commit.id)));
}

/// Guards against a switchover that aborts running statements, and against one that waits for them
/// without limit.
#[gtest]
fn running_statements_finish_before_the_switchover() {
    let mut world = World::new(9, 3);
    world.run(Duration::from_secs(4));
    world.members[0].running = 1;
    world.set_leaving(0);
    world.run(Duration::from_millis(1_300));
    assert_that!(world.members[0].promised, eq(1));
    world.run(Duration::from_millis(700));
    assert_that!(world.primary(0), some(ne(0)));
}

/// Guards against a switchover to a member that is leaving too.
#[gtest]
fn primary_stays_when_no_member_may_take_over() {
    let mut world = World::new(3, 2);
    world.run(Duration::from_secs(4));
    (0..3).for_each(|member| world.set_leaving(member));
    world.run(Duration::from_secs(3));
    assert_that!(world.promotions.len(), eq(0));
}
