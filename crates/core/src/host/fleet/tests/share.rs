//! Leases, share views and base shares.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom as _;
use rand::{Rng as _, SeedableRng as _};

use tanagerdeal_wire::EndpointName;

use super::harness::Fleet;
use super::{DOMAINS, secs, settled};
use crate::limit::RATE_UNITS;
use crate::share::BaseShare;

/// A base share that may be used now.
fn usable(fleet: &Fleet, index: usize) -> Option<BaseShare> {
    let base = fleet.nodes[index].state.base.base;
    base.filter(|base| base.numerator > 0 && fleet.now < base.valid_until)
}

/// Checks that neither rates nor connections are given out twice. A process that is paused counts: it
/// may resume and use its share before it hears anything.
fn check_sums(fleet: &Fleet) {
    let indices = (0..fleet.nodes.len()).filter(|index| fleet.nodes[*index].is_up);
    let shares: Vec<_> = indices.filter_map(|index| usable(fleet, index)).collect();
    let sum: u64 = shares.iter().map(BaseShare::rate_units).sum();
    assert!(sum <= RATE_UNITS, "shares {shares:?}");
    for total in [1, 2, 7, 20, 31] {
        let endpoint = EndpointName::new(&format!("e{total}")).unwrap();
        let given: u64 = shares.iter().map(|base| base.connections(&endpoint, total)).sum();
        assert!(given <= u64::from(total), "{given} of {total} units, shares {shares:?}");
    }
}

fn denominators(fleet: &Fleet) -> Vec<u64> {
    let indices = 0..fleet.nodes.len();
    indices.filter_map(|index| usable(fleet, index)).map(|base| base.denominator).collect()
}

/// Guards against a fleet that never gives out the whole rate.
#[test]
fn settled_fleet_holds_everything() {
    let mut fleet = settled(3);
    assert_eq!(denominators(&fleet), [9; 9]);
    fleet.run_observed(secs(200), check_sums);
    assert_eq!(denominators(&fleet), [9; 9], "shares lost without a failure");
}

/// Guards against limits that loosen or tighten while the store is down for a minute.
#[test]
fn minute_without_store_changes_nothing() {
    let mut fleet = settled(3);
    fleet.without_store.extend(DOMAINS.map(str::to_owned));
    fleet.run_observed(secs(60), |fleet| assert_eq!(denominators(fleet), [9; 9]));
    let start = fleet.now;
    fleet.without_store.clear();
    fleet.run_observed(secs(60), |fleet| {
        let after = fleet.now - start;
        assert_eq!(denominators(fleet), [9; 9], "{after:?} after the outage");
    });
}

/// Guards against a dead host whose share is lost for good, or is used before its lease has ended.
#[test]
fn share_of_dead_host_is_freed_after_its_lease() {
    let mut fleet = settled(3);
    let dead = fleet.index("akl-b-2");
    fleet.nodes[dead].is_up = false;
    let valid_until = fleet.nodes[dead].state.base.base.unwrap().valid_until;
    let start = fleet.now;
    let is_raised = |fleet: &Fleet| denominators(fleet).iter().filter(|n| **n == 6).count() == 2;
    let took = fleet.run_until(secs(130), is_raised).expect("share is not freed");
    println!("share of a dead host in use by the others after {took:?}");
    assert!(start + took > valid_until, "raised before the lease ended");
    check_sums(&fleet);
}

/// Guards against a holder that resumes after a pause and believes that it still has its lease.
#[test]
fn paused_holder_gets_new_lease_only() {
    let mut fleet = settled(3);
    let paused = fleet.index("ham-c-1");
    fleet.nodes[paused].is_paused = true;
    fleet.run_observed(secs(130), check_sums);
    assert!(usable(&fleet, paused).is_none(), "lease outlasted the pause");
    fleet.nodes[paused].is_paused = false;
    fleet.run_observed(secs(30), check_sums);
    assert_eq!(fleet.nodes[paused].state.lease.generation, 2);
    assert_eq!(denominators(&fleet), [9; 9], "host did not get a share again");
}

/// Guards against a renewal whose answer was lost being taken for another host's, or not at all.
#[test]
fn lost_answer_of_renewal_is_recognised() {
    let mut fleet = settled(3);
    let before: Vec<_> = fleet.nodes.iter().map(|node| node.state.lease.valid_until).collect();
    fleet.lost_answers = 9;
    fleet.run(secs(16));
    assert_eq!(fleet.lost_answers, 0);
    for (node, before) in fleet.nodes.iter().zip(before) {
        let lease = &node.state.lease;
        assert!(lease.valid_until > before, "renewal not counted");
        assert_eq!((lease.generation, lease.is_superseded), (1, false));
        assert!(lease.read_back_after.is_none());
    }
}

/// Guards against two processes of one host that both use its share.
#[test]
fn restarted_host_supersedes_the_old_process() {
    let mut fleet = settled(2);
    let index = fleet.index("akl-a-0");
    let old = fleet.nodes[index].state.base.base.unwrap();
    fleet.restart(index);
    let valid_until = old.valid_until;
    fleet.run_observed(secs(89), |fleet| {
        let others = (0..fleet.nodes.len()).filter_map(|index| usable(fleet, index));
        let sum: u64 = others.map(|base| base.rate_units()).sum();
        let old = if fleet.now < valid_until { old.rate_units() } else { 0 };
        assert!(sum + old <= RATE_UNITS, "share of the old process is used by the new one");
    });
    fleet.run_observed(secs(60), check_sums);
    assert_eq!(denominators(&fleet), [6; 6]);
}

/// Guards against a failure domain whose part of every rate is lost after it has gone, or is used
/// twice when it returns.
#[test]
fn failure_domain_leaves_and_returns() {
    let mut fleet = settled(2);
    let gone: Vec<usize> = (0..6).filter(|index| fleet.domain(*index) == "akl-b").collect();
    gone.iter().for_each(|index| fleet.nodes[*index].is_up = false);
    fleet.run_observed(secs(150), check_sums);
    assert_eq!(denominators(&fleet), [4; 4], "part of the failure domain not taken over");
    gone.iter().for_each(|index| fleet.restart(*index));
    fleet.run_observed(secs(60), check_sums);
    assert_eq!(denominators(&fleet), [6; 6], "failure domain did not get its part back");
}

/// Guards against a host, or a whole failure domain, that takes its share while a paused process still
/// holds a larger one under a valid lease and has not heard of the change.
#[test]
fn returning_hosts_wait_for_paused_holder() {
    for (gone, paused) in [(&["akl-b-2"][..], "akl-b-0"), (&["akl-b-0", "akl-b-1"], "ham-c-1")] {
        let mut fleet = settled(2 + gone.len() % 2);
        let hosts = fleet.nodes.len();
        let gone: Vec<usize> = gone.iter().map(|host| fleet.index(host)).collect();
        let paused = fleet.index(paused);
        gone.iter().for_each(|index| fleet.nodes[*index].is_up = false);
        fleet.run_observed(secs(150), check_sums);
        assert_eq!(denominators(&fleet).len(), hosts - gone.len());
        fleet.nodes[paused].is_paused = true;
        gone.iter().for_each(|index| fleet.restart(*index));
        fleet.run_observed(secs(60), check_sums);
        assert!(usable(&fleet, paused).is_some(), "lease of the paused host should still be valid");
        assert!(gone.iter().all(|index| usable(&fleet, *index).is_none()), "did not wait");
        fleet.nodes[paused].is_paused = false;
        fleet.run_observed(secs(20), check_sums);
        assert_eq!(denominators(&fleet), vec![hosts as u64; hosts]);
    }
}

/// Guards against any order of deaths, restarts, pauses, partitions, outages and lost answers in which
/// the base shares of a rate, or the units of a resource, add up to more than there is.
#[test]
fn shares_never_exceed_the_whole() {
    for seed in 0..4 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut fleet = settled(2 + usize::from(seed % 2 == 0));
        for _ in 0..25 {
            disturb(&mut fleet, &mut random);
            let time = Duration::from_millis(random.random_range(200..40_000));
            fleet.run_observed(time, check_sums);
        }
        fleet.without_store.clear();
        fleet.cut.clear();
        fleet.nodes.iter_mut().for_each(|node| node.is_paused = false);
        (0..fleet.nodes.len()).for_each(|index| {
            if !fleet.nodes[index].is_up {
                fleet.restart(index);
            }
        });
        fleet.run_observed(secs(260), check_sums);
        let hosts = fleet.nodes.len();
        assert_eq!(denominators(&fleet), vec![hosts as u64; hosts], "seed {seed} does not settle");
    }
}

fn disturb(fleet: &mut Fleet, random: &mut SmallRng) {
    let index = random.random_range(0..fleet.nodes.len());
    let domain = *DOMAINS.choose(random).unwrap();
    let other = *DOMAINS.choose(random).unwrap();
    match random.random_range(0..9) {
        0 => fleet.nodes[index].is_up = false,
        1 if !fleet.nodes[index].is_up => fleet.restart(index),
        2 => fleet.nodes[index].is_paused = true,
        3 => fleet.nodes.iter_mut().for_each(|node| node.is_paused = false),
        4 => drop(fleet.without_store.insert(domain.to_owned())),
        5 => fleet.without_store.clear(),
        6 => fleet.lost_answers = random.random_range(1..6),
        7 if domain != other => fleet.cut_domains(domain, other),
        8 => fleet.cut.clear(),
        _ => fleet.store_delay = Duration::from_millis(random.random_range(0..1_500)),
    }
}
