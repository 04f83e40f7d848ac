//! Random schedules of failures and messages over several hosts.

use std::time::Duration;

use googletest::prelude::*;
use rand::Rng as _;

use super::world::World;

/// Guards against schedules that cause two primaries in a term, an acknowledgement by a replaced
/// primary, or the loss of an acknowledged and replicated write.
#[gtest]
fn random_failures_break_no_guarantee() {
    let (mut promotions, mut acknowledged) = (0, 0);
    for seed in 0..40 {
        let mut world = World::new(6, seed);
        world.run(Duration::from_secs(4));
        for _ in 0..20 {
            inject_fault(&mut world);
            for _ in 0..40 {
                for host in 0..6 {
                    if world.random.random_bool(0.25) {
                        world.write(host);
                    }
                }
                world.tick();
            }
            world.check_safety();
        }
        clear_faults(&mut world);
        world.run(Duration::from_secs(9));
        let primary = world.primary(0);
        assert_that!(primary, some(anything()), "seed {seed}: no primary after 9 s");
        (0..6).for_each(|host| assert_eq!(world.primary(host), primary, "seed {seed}"));
        world.check_safety();
        promotions += world.promotions.len();
        acknowledged += world.acknowledged();
    }
    assert_that!(promotions, gt(60));
    assert_that!(acknowledged, gt(10_000));
}

fn inject_fault(world: &mut World) {
    let (host, member) = (world.random.random_range(0..6), world.random.random_range(0..3));
    match world.random.random_range(0..9) {
        0 => {
            world.frozen.insert(member);
        }
        1 => {
            let primary = world.primary(host).unwrap_or(member);
            world.frozen.insert(primary);
        }
        2 => {
            world.paused.insert(host);
        }
        3 => world.loss = world.random.random_range(0..30),
        4 => {
            (0..6).filter(|host| host % 3 != member).for_each(|host| {
                world.cut.insert((host, member));
            });
            (0..3).filter(|other| *other != member).for_each(|other| {
                world.split.extend([(member, other), (other, member)]);
            });
        }
        5 => world.is_replicating = !world.is_replicating,
        6 => {
            world.cut.insert((host, member));
        }
        _ => clear_faults(world),
    }
}

fn clear_faults(world: &mut World) {
    world.frozen.clear();
    world.paused.clear();
    world.cut.clear();
    world.split.clear();
    world.loss = 0;
    world.is_replicating = true;
}
