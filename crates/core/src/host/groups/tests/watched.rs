//! Groups in a fleet that is so large that only some hosts watch each group.

use std::time::Duration;

use googletest::prelude::*;

use super::world::World;

const HOSTS: usize = 30;

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn watchers(world: &World) -> Vec<usize> {
    let probes = |host: &usize| {
        let endpoints = &world.hosts[*host].endpoints;
        endpoints.groups[world.group(*host)].is_probed
    };
    (0..HOSTS).filter(|host| !world.paused.contains(host)).filter(probes).collect()
}

fn started(seed: u64) -> World {
    let mut world = World::new(HOSTS, seed);
    world.run(secs(5));
    assert_eq!(watchers(&world).len(), 5, "seed {seed}");
    world
}

/// Guards against a probe load that grows with the number of hosts, and against hosts that do not
/// know the primary because they do not probe it.
#[gtest]
fn five_hosts_in_all_failure_domains_watch_a_group() {
    for seed in 0..5 {
        let mut world = started(seed);
        let before = watchers(&world);
        for domain in 0..3 {
            assert_that!(before.iter().filter(|host| *host % 3 == domain).count(), ge(1));
        }
        world.run(secs(10));
        assert_that!(watchers(&world), eq(&before));
        assert_that!((0..HOSTS).all(|host| world.known_primary(host) == Some(0)), eq(true));
        assert_that!(world.members[0].promised, eq(1));
    }
}

/// Guards against restricting the watchers in a small fleet.
#[gtest]
fn all_hosts_of_a_small_fleet_watch() {
    let mut world = World::new(15, 1);
    world.run(secs(5));
    for host in 0..15 {
        assert_that!(world.hosts[host].endpoints.groups[world.group(host)].is_probed, eq(true));
    }
}

/// Guards against a primary that is not replaced because two of its watchers died at the same time.
/// Every host learns of the new primary from announcements.
#[gtest]
fn primary_is_replaced_although_two_watchers_died_with_it() {
    for seed in 0..10 {
        let mut world = started(seed);
        let all = watchers(&world);
        let first = usize::try_from(seed).unwrap() % 5;
        world.paused = [all[first], all[(first + 1) % 5]].into();
        world.frozen.insert(0);
        let took = world.run_until(secs(9), |world| {
            let running = (0..HOSTS).filter(|host| !world.paused.contains(host));
            running
                .into_iter()
                .all(|host| world.known_primary(host).is_some_and(|member| member != 0))
        });
        assert_that!(took, some(le(secs(2))), "seed {seed}");
        assert_that!(world.promotions.len(), eq(1), "seed {seed}");
        world.check_safety();
    }
}

/// Guards against a group without watchers after all of them have died. Other hosts take over when
/// the dead hosts no longer count as live, which is after 3.5 s plus 0.12 s per host.
#[gtest]
fn other_hosts_watch_when_all_watchers_die() {
    let mut world = started(1);
    world.paused = watchers(&world).into_iter().collect();
    world.run(Duration::from_millis(3_500 + 120 * 30 + 400));
    assert_that!(watchers(&world).len(), eq(5));
    world.frozen.insert(0);
    let took = world.run_until(secs(9), |world| !world.promotions.is_empty());
    assert_that!(took, some(le(secs(2))));
    world.check_safety();
}

/// Guards against a first request on an unwatched group that waits for the next periodic probe or
/// is routed to a replaced primary, and against probing the group for ever afterwards.
#[gtest]
fn host_that_starts_to_use_a_group_routes_at_once() {
    for seed in 0..5 {
        let mut world = started(seed);
        world.frozen.insert(0);
        world.run(secs(5));
        world.frozen.clear();
        world.run(secs(5));
        let primary = world.promotions[0].2;
        let watching = watchers(&world);
        let host = (0..HOSTS).find(|host| !watching.contains(host)).unwrap();
        world.use_group(host);
        world.run(Duration::from_millis(40));
        assert_that!(world.primary(host), eq(Some(primary)));
        assert!(world.write(host));
        world.run(Duration::from_millis(200));
        assert_that!(world.acknowledged(), eq(1), "seed {seed}");
        assert_that!(watchers(&world).contains(&host), eq(true));
        world.run(secs(11));
        assert_that!(watchers(&world), eq(&watching));
        world.check_safety();
    }
}

/// Guards against a suspicion raised because the host itself stopped probing.
#[gtest]
fn host_that_stops_to_probe_suspects_nothing() {
    let mut world = started(3);
    world.loss = 5;
    let watching = watchers(&world);
    let host = (0..HOSTS).find(|host| !watching.contains(host)).unwrap();
    for _ in 0..3 {
        world.use_group(host);
        world.run(secs(12));
        assert_that!(world.hosts[host].failovers.suspected_term(world.group(host)), none());
    }
    assert_that!(world.members[0].promised, eq(1));
}
