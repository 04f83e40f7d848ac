//! Relays, news between hosts, and shutdown.

use serde_json::json;
use tanagerdeal_wire::peer::{GroupSuspicion, PeerState, ShareResource};
use tanagerdeal_wire::{CustomerName, DomainName, GroupName};

use super::harness::Fleet;
use super::{DOMAINS, millis, secs, settled};
use crate::host::fleet::{may_serve_keyed, status};
use crate::limit::RATE_UNITS;
use crate::membership::host_rank;
use crate::message::caller::{CallerAnswer, CallerCall, SessionOpening};
use crate::message::{CallTag, DrainPhase, HostInput};
use crate::statement::StatementClass;

/// Host of a failure domain with some rank.
fn ranked(fleet: &Fleet, domain: &str, rank: usize) -> usize {
    let hosts = (0..fleet.nodes.len()).filter(|index| fleet.domain(*index) == domain);
    let mut hosts: Vec<usize> = hosts.collect();
    let name = |index: usize| fleet.nodes[index].state.profile.identity.host.clone();
    hosts.sort_by_key(|index| host_rank(domain, name(*index).as_str()));
    hosts[rank]
}

/// Guards against hosts that lose their catalog confirmation when both relays of a failure domain die
/// one after the other.
#[test]
fn relay_death_leaves_catalogs_confirmed() {
    let mut fleet = settled(5);
    for rank in [0, 1] {
        let relay = ranked(&fleet, "akl-b", rank);
        fleet.nodes[relay].is_up = false;
        let mut oldest = millis(0);
        fleet.run_observed(secs(15), |fleet| {
            for node in fleet.nodes.iter().filter(|node| node.is_up) {
                let age = fleet.now - node.state.catalog.confirmed_at().unwrap();
                oldest = oldest.max(age);
                assert!(may_serve_keyed(&node.state, fleet.now), "catalog {age:?} old");
            }
        });
        println!("relay of rank {rank} died: oldest catalog confirmation {oldest:?}");
    }
    let plan = fleet.nodes[ranked(&fleet, "akl-b", 2)].state.hosts.current_plan().clone();
    assert!(plan.is_relay, "no new relay");
}

/// Guards against suspicions that wait for the end of a held pull: they drive failover.
#[test]
fn suspicion_reaches_all_hosts_fast() {
    let mut fleet = settled(5);
    let mut slowest = millis(0);
    for rank in 0..5 {
        let index = ranked(&fleet, "ham-c", rank);
        let suspicion =
            GroupSuspicion { group: GroupName::new(&format!("g{rank}")).unwrap(), term: 3 };
        let (now, node) = (fleet.now, &mut fleet.nodes[index]);
        node.state.own.version += 1;
        let (version, old) = (node.state.own.version, node.state.own.state.clone().unwrap());
        let suspect = PeerState { version, suspicions: vec![suspicion.clone()], ..old };
        let host = suspect.host.clone();
        node.state.hosts.adopt_state(now, now, suspect, None);
        let knows = |node: &super::harness::Node| {
            let known = node.state.hosts.host(&host).and_then(|host| host.state.as_ref());
            known.is_some_and(|state| state.suspicions.contains(&suspicion))
        };
        let mut took = None;
        let start = fleet.now;
        fleet.run_observed(millis(600), |fleet| {
            if took.is_none() && fleet.nodes.iter().all(knows) {
                took = Some(fleet.now - start);
            }
        });
        slowest = slowest.max(took.expect("suspicion did not reach all hosts"));
        fleet.run(secs(2));
    }
    println!("suspicion known to 15 hosts after {slowest:?}");
    assert!(slowest <= millis(300), "took {slowest:?}");
}

/// Guards against messages that grow with the size of the fleet although nothing changed.
#[test]
fn pulls_stay_small() {
    for per_domain in [3, 12] {
        let mut fleet = settled(per_domain);
        fleet.pulls.clear();
        fleet.store_calls.clear();
        fleet.run(secs(20));
        let (hosts, pulls) = (fleet.nodes.len(), fleet.pulls.len());
        let asked: usize = fleet.pulls.iter().map(|pull| pull.2).sum();
        let answered: usize = fleet.pulls.iter().map(|pull| pull.3).sum();
        // Each byte is sent by one host and received by another.
        let mean = 2 * (asked + answered) / hosts / 20;
        let most = (0..hosts).map(|host| bytes_of(&fleet, host)).max().unwrap() / 20;
        let calls = fleet.store_calls.len() / 20;
        println!(
            "{hosts} hosts: {} pulls/s per host, {} B per request, {} B per reply, {mean} B/s per host, \
             {most} B/s at the busiest, {calls} store calls/s",
            pulls / hosts / 20,
            asked / pulls,
            answered / pulls,
        );
        assert!(mean <= 15_000, "{mean} B/s per host");
    }
}

/// Bytes that a host has sent and received in pulls.
fn bytes_of(fleet: &Fleet, host: usize) -> usize {
    let own = fleet.pulls.iter().filter(|pull| pull.0 == host || pull.1 == host);
    own.map(|pull| pull.2 + pull.3).sum()
}

/// Guards against a shutdown that drops the host's share, its place as parent or its running work:
/// readiness fails first, others learn of it, and the share is free again soon.
#[test]
fn drain_announces_and_hands_over() {
    let mut fleet = settled(3);
    let index = fleet.index("akl-a-1");
    fleet.input(index, HostInput::ShutDown);
    fleet.input(index, HostInput::ShutDown);
    assert_eq!(fleet.nodes[index].phases, [DrainPhase::Announced]);
    assert!(!status::report(&fleet.nodes[index].state, fleet.now).ready);
    let host = fleet.nodes[index].state.profile.identity.host.clone();
    let is_known = |fleet: &Fleet| {
        let mut nodes = fleet.nodes.iter();
        nodes.all(|node| node.state.hosts.host(&host).is_some_and(|host| host.leaving))
    };
    fleet.run_until(millis(500), is_known).expect("others do not know that the host leaves");
    let is_finished = |fleet: &Fleet| fleet.nodes[index].phases.contains(&DrainPhase::Finished);
    let took = fleet.run_until(secs(10), is_finished).expect("shutdown does not end");
    println!("idle host: shutdown finished {took:?} after others knew of it");
    let phases = [DrainPhase::Announced, DrainPhase::Draining, DrainPhase::Finished];
    assert_eq!(fleet.nodes[index].phases, phases);
    fleet.nodes[index].is_up = false;
    let others = fleet.nodes.iter().filter(|node| node.is_up);
    let rate = ShareResource::CustomerRate(CustomerName::new("quarry").unwrap());
    let held: u64 = others.map(|node| node.state.shares.held(fleet.now, &rate)).sum();
    assert!((RATE_UNITS - 9..=RATE_UNITS).contains(&held), "{held} held after the handover");
    let domain = DomainName::new("akl-a").unwrap();
    let left = |fleet: &Fleet| {
        let view = fleet.state("akl-b-0").catalog.view(&domain);
        view.is_some_and(|view| view.hosts.len() == 2)
    };
    let took = fleet.run_until(secs(30), left).expect("share is not free");
    println!("place in the share view free {took:?} after the shutdown");
    assert!(took >= secs(8), "share free while loans given by the host may be in use");
}

/// Guards against a shutdown that ends while a request still waits for its answer.
#[test]
fn drain_waits_for_requests() {
    let mut fleet = settled(2);
    let member = json!({"endpoint": "e1", "domain": "akl-a", "sql_address": "e1:1",
        "api_address": "e1:2", "connections": 9, "slots": 3});
    let groups = json!([{"group": "g1", "members": [member]}]);
    fleet.table.put("records/service/s1", Some(json!({"schema": 1, "groups": groups})));
    let route = json!({"schema": 2, "service": "s1", "open": true, "deadline_ms": 9_000});
    fleet.table.put("records/route/r1", Some(route));
    fleet.run(secs(3));
    let index = fleet.index("akl-a-1");
    let (user, database) = ("quarry".to_owned(), "r1".to_owned());
    let opening =
        SessionOpening { user, database, password: None, settings: Vec::new(), wall_ms: 0 };
    fleet.input(index, HostInput::Caller(CallTag(1), CallerCall::OpenSession(opening)));
    let answer = fleet.nodes[index].answers.pop();
    let Some(CallerAnswer::SessionOpened { session }) = answer else { panic!("{answer:?}") };
    let (class, is_retry) = (StatementClass::Write, false);
    let call = CallerCall::PlaceRequest { session, class, is_retry };
    fleet.input(index, HostInput::Caller(CallTag(2), call));
    fleet.input(index, HostInput::ShutDown);
    fleet
        .run_until(secs(20), |fleet| {
            let node = &fleet.nodes[index];
            let is_finished = node.phases.contains(&DrainPhase::Finished);
            assert!(!is_finished || !node.answers.is_empty(), "request has no answer");
            is_finished
        })
        .expect("shutdown does not end");
}

/// Guards against a status page that shows another state than the one in effect.
#[test]
fn status_shows_fleet() {
    let mut fleet = settled(2);
    let index = fleet.index("ham-c-0");
    fleet.nodes[index].is_up = false;
    fleet.run(secs(10));
    let report = status::report(fleet.state("akl-a-0"), fleet.now);
    assert_eq!(report.hosts.len(), DOMAINS.len() * 2);
    let silent: Vec<_> = report.hosts.iter().filter(|host| host.state == "silent").collect();
    assert_eq!(silent.len(), 1);
    assert_eq!(silent[0].host, "ham-c-0");
    assert!(report.ready && report.serving_keyed);
    let asked = fleet.index("akl-a-0");
    fleet.input(asked, HostInput::AskStatus(CallTag(1)));
}

/// Guards against failure domains that count each other as silent for good after a partition, and
/// therefore never agree again that a primary has failed.
#[test]
fn domains_hear_each_other_after_partition() {
    let mut fleet = settled(3);
    let live = fleet.nodes.len() - 1;
    let hears_all = |fleet: &Fleet| {
        fleet.nodes.iter().all(|node| node.state.hosts.live_peers(fleet.now).len() == live)
    };
    fleet.cut_domains("akl-a", "akl-b");
    fleet.cut_domains("akl-a", "ham-c");
    fleet.run(secs(12));
    assert!(!hears_all(&fleet));
    fleet.cut.clear();
    let took = fleet.run_until(secs(4), hears_all).expect("all hosts hear each other");
    println!("all hosts hear each other {took:?} after the partition");
}
