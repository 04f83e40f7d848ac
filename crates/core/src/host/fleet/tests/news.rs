//! States of hosts passed on between many failure domains.

use std::time::Instant;

use tanagerdeal_wire::peer::{GroupSuspicion, PeerBeat, PeerState};
use tanagerdeal_wire::{DomainName, GroupName, HostName};

use super::harness::{Fleet, Node};
use super::{millis, secs};
use crate::host::fleet::may_serve_keyed;
use crate::membership::HostTable;

const WIDE: [&str; 11] = ["d0", "d1", "d2", "d3", "d4", "d5", "d6", "d7", "d8", "d9", "d10"];

fn wide(per_domain: usize) -> Fleet {
    let mut fleet = Fleet::new(&WIDE, per_domain);
    fleet.run(secs(25));
    fleet
}

fn state(host: &str, version: u64, unchanged: u64, fleet_epoch: u64) -> PeerState {
    PeerState {
        host: HostName::new(host).unwrap(),
        domain: DomainName::new("d1").unwrap(),
        incarnation: 9,
        version,
        unchanged,
        age_ms: 0,
        peer_address: "h1:1".to_owned(),
        leaving: false,
        store_reached_ms: Some(1),
        store_failing: false,
        view_epoch: 1,
        fleet_epoch,
        suspicions: Vec::new(),
    }
}

fn table(own: &str, home: &str) -> HostTable {
    HostTable::new(HostName::new(own).unwrap(), DomainName::new(home).unwrap(), 100)
}

fn assert_hears_all(fleet: &Fleet) {
    let hosts = fleet.nodes.len();
    for node in &fleet.nodes {
        let heard = node.state.hosts.others(fleet.now).count();
        let host = &node.state.profile.identity.host;
        assert_eq!(heard, hosts - 1, "{host} lost hosts");
    }
}

/// Guards against hosts that count others as silent because relays pass on fewer states, and against
/// relays whose traffic grows with the number of links.
#[test]
fn hosts_of_many_failure_domains_stay_heard() {
    for per_domain in [1, 2, 4] {
        let mut fleet = wide(per_domain);
        fleet.pulls.clear();
        fleet.run_observed(secs(30), assert_hears_all);
        let bytes = |host: usize| {
            let own = fleet.pulls.iter().filter(|pull| pull.0 == host || pull.1 == host);
            own.map(|pull| pull.2 + pull.3).sum::<usize>() / 30
        };
        let most = (0..fleet.nodes.len()).map(bytes).max().unwrap();
        println!("{} hosts in 11 failure domains: {most} B/s at the busiest", fleet.nodes.len());
        assert!(most <= 15_000, "{most} B/s");
    }
}

/// Guards against suspicions that reach other failure domains too late for a failover.
#[test]
fn suspicion_crosses_many_failure_domains_fast() {
    let mut fleet = wide(3);
    let mut slowest = millis(0);
    for index in (0..fleet.nodes.len()).step_by(4) {
        let group = GroupName::new(&format!("g{index}")).unwrap();
        let (now, node) = (fleet.now, &mut fleet.nodes[index]);
        // The next own heartbeat, which knows of no suspicion, must not end it meanwhile.
        node.state.own.heartbeat_due = Some(now + secs(1));
        node.state.own.version += 1;
        let (version, old) = (node.state.own.version, node.state.own.state.clone().unwrap());
        let suspicions = vec![GroupSuspicion { group: group.clone(), term: 3 }];
        let suspect = PeerState { version, unchanged: 0, suspicions, ..old };
        node.state.hosts.adopt_state(now, now, suspect, None);
        let knows = |node: &Node| node.state.hosts.suspicions(now, &group, 3).count() == 1;
        let (mut took, start) = (None, fleet.now);
        fleet.run_observed(millis(900), |fleet| {
            let mut others = (0..fleet.nodes.len()).filter(|other| *other != index);
            if took.is_none() && others.all(|other| knows(&fleet.nodes[other])) {
                took = Some(fleet.now - start);
            }
        });
        slowest = slowest.max(took.expect("suspicion did not reach all hosts"));
        fleet.run(secs(2));
    }
    println!("suspicion known to 33 hosts in 11 failure domains after {slowest:?}");
    assert!(slowest <= millis(300), "took {slowest:?}");
}

/// Guards against refused requests in an outage of the store because reports of it come too seldom.
#[test]
fn evidence_spreads_over_many_failure_domains() {
    let mut fleet = wide(2);
    fleet.without_store.extend(WIDE.map(str::to_owned));
    let (mut seen, mut refused) = (0, 0);
    fleet.run_observed(secs(30), |fleet| {
        seen += fleet.nodes.len();
        let nodes = fleet.nodes.iter();
        refused += nodes.filter(|node| !may_serve_keyed(&node.state, fleet.now)).count();
    });
    println!("22 hosts in 11 failure domains without store: {refused} of {seen} refused");
    assert_eq!(refused, 0);
}

/// Guards against hosts that lose sight of a failure domain that they reach through a third one only.
#[test]
fn cut_failure_domains_hear_of_each_other_by_others() {
    let mut fleet = wide(2);
    fleet.cut_domains("d0", "d1");
    fleet.cut_domains("d0", "d2");
    fleet.run_observed(secs(30), assert_hears_all);
}

/// Guards against a heartbeat that makes an outdated state look current: adopted epochs let other hosts
/// raise their shares.
#[test]
fn heartbeat_needs_the_state_that_it_refers_to() {
    let (now, home) = (Instant::now(), "d1");
    let mut sender = table("h2", home);
    let mut receiver = table("h3", home);
    sender.adopt_state(now, now, state("h1", 1, 0, 1), None);
    receiver.adopt_state(now, now, state("h1", 1, 0, 1), None);
    receiver.adopt_state(now, now, state("h2", 1, 0, 1), None);
    sender.adopt_state(now, now, state("h3", 1, 0, 1), None);
    // The receiver misses version 2, in which the epoch changed.
    sender.adopt_state(now, now, state("h1", 2, 0, 2), None);
    let seen = sender.sequence();
    sender.adopt_state(now, now, state("h1", 3, 1, 2), None);
    let (states, beats) = sender.news_after(now, seen, &HostName::new("h3").unwrap());
    assert!(states.is_empty());
    let [beat] = &beats[..] else { panic!("{beats:?}") };
    assert!(receiver.expand(beat.clone()).is_none());
    receiver.adopt_state(now, now, state("h1", 2, 0, 2), None);
    let expanded = receiver.expand(beat.clone()).unwrap();
    assert_eq!((expanded.version, expanded.fleet_epoch), (3, 2));
    let other = PeerBeat { incarnation: 8, ..beat.clone() };
    assert!(receiver.expand(other).is_none());
}
