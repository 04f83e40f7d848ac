//! Propagation of records.

use std::time::Instant;

use serde_json::json;
use tanagerdeal_wire::peer::CatalogEntry;
use tanagerdeal_wire::{CustomerName, KeyName};

use super::harness::{Fleet, Node};
use super::{DOMAINS, KEY, has_key, millis, secs, settled};
use crate::catalog::CatalogTable;
use crate::host::fleet::may_serve_keyed;
use crate::profile::WithoutStorePolicy;

fn entry(key: &str, revision: u64, value: Option<&str>) -> CatalogEntry {
    CatalogEntry { key: key.to_owned(), revision, value: value.map(str::to_owned) }
}

fn customer(rate: u32) -> String {
    json!({"schema": 1, "rate_per_s": rate, "burst": 1}).to_string()
}

/// Guards against a revoked key that works on in failure domains cut off from the store.
#[test]
fn withdrawal_reaches_hosts_without_store() {
    let mut fleet = settled(5);
    fleet.without_store.extend(["akl-b".to_owned(), "ham-c".to_owned()]);
    fleet.run(secs(10));
    let slowest = (0..20).map(|round| {
        withdraw_and_grant(&mut fleet, round);
        fleet.run_until(secs(5), |fleet| !fleet.nodes.iter().any(has_key)).unwrap()
    });
    let slowest = slowest.max().unwrap();
    println!("withdrawal in effect on 15 hosts within {slowest:?}, store reached by one domain");
    assert!(slowest <= secs(2), "took {slowest:?}");
}

/// Grants the key, lets the fleet settle, and withdraws it at some point of the feed interval.
fn withdraw_and_grant(fleet: &mut Fleet, round: u64) {
    let value = json!({"schema": 1, "customer": "quarry", "salt": "s", "digest": "d"});
    fleet.table.put(KEY, Some(value));
    fleet.run(secs(3) + millis(37 * round));
    assert!(fleet.nodes.iter().all(has_key));
    fleet.table.put(KEY, None);
}

/// Guards against a withdrawal that is lost when the store fails right after one relay has read it,
/// while two failure domains cannot reach each other.
#[test]
fn withdrawal_spreads_after_store_fails() {
    let mut fleet = settled(5);
    fleet.cut_domains("akl-a", "ham-c");
    let slowest = (0..10).map(|round| {
        withdraw_and_grant(&mut fleet, round);
        fleet.fails_after = Some(fleet.table.revision);
        fleet.run_until(secs(2), |fleet| !fleet.without_store.is_empty()).unwrap();
        let took = fleet.run_until(secs(5), |fleet| !fleet.nodes.iter().any(has_key)).unwrap();
        fleet.fails_after = None;
        fleet.without_store.clear();
        fleet.run(secs(5));
        took
    });
    let slowest = slowest.max().unwrap();
    println!("withdrawal in effect on 15 hosts {slowest:?} after the store failed");
    assert!(slowest <= secs(2), "took {slowest:?}");
}

/// Guards against an older entry that overwrites a newer one when it comes late by another path.
#[test]
fn older_revision_is_ignored() {
    let (now, name) = (Instant::now(), CustomerName::new("quarry").unwrap());
    let mut catalog = CatalogTable::default();
    let key = "records/customer/quarry";
    catalog.apply(now, vec![entry(key, 7, Some(&customer(70)))], 7);
    let late = catalog.apply(now, vec![entry(key, 5, Some(&customer(50)))], 6);
    assert_eq!((late.applied, late.ignored), (0, 1));
    assert_eq!(catalog.customer(&name).unwrap().rate_per_s, 70);
    assert_eq!(catalog.revision(), 7);
}

/// Guards against a deleted key that a slow path brings back, with and without its tombstone.
#[test]
fn deleted_record_stays_deleted() {
    let (now, key) = (Instant::now(), KEY);
    let value = json!({"schema": 1, "customer": "q", "salt": "s", "digest": "d"}).to_string();
    let mut catalog = CatalogTable::default();
    catalog.apply(now, vec![entry(key, 3, Some(&value)), entry(key, 8, None)], 8);
    let late = catalog.apply(now, vec![entry(key, 3, Some(&value))], 3);
    assert_eq!(late.ignored, 1);
    let mut fresh = CatalogTable::default();
    fresh.apply(now, Vec::new(), 8);
    let late = fresh.apply(now, vec![entry(key, 3, Some(&value))], 3);
    assert_eq!(late.ignored, 1);
    for catalog in [&catalog, &fresh] {
        assert!(catalog.key(&KeyName::new("k1").unwrap()).is_none());
    }
    let (relayed, through) = catalog.entries_after(3, usize::MAX).unwrap();
    assert_eq!((relayed, through), (vec![entry(key, 8, None)], 8));
}

/// Guards against a record of a newer schema that is lost, applied in part, or takes the last
/// understood one out of effect.
#[test]
fn unknown_schema_is_kept_and_relayed() {
    let (now, name) = (Instant::now(), CustomerName::new("quarry").unwrap());
    let mut catalog = CatalogTable::default();
    let key = "records/customer/quarry";
    let newer = r#"{"schema":9,"rate":[1,2]}"#;
    catalog.apply(now, vec![entry(key, 2, Some(&customer(20)))], 2);
    let count = catalog.apply(now, vec![entry(key, 4, Some(newer))], 4);
    assert_eq!((count.applied, count.rejected), (1, 1));
    assert_eq!(catalog.customer(&name).unwrap().rate_per_s, 20);
    assert_eq!(catalog.unknown().map(|(key, _)| key).collect::<Vec<_>>(), [key]);
    let (relayed, _) = catalog.entries_after(2, usize::MAX).unwrap();
    assert_eq!(relayed, [entry(key, 4, Some(newer))]);
    catalog.apply(now, vec![entry(key, 5, Some(&customer(50)))], 5);
    assert_eq!(catalog.customer(&name).unwrap().rate_per_s, 50);
    assert_eq!(catalog.unknown().count(), 0);
}

/// Guards against answers that are cut within a transaction, or skip entries when they are cut.
#[test]
fn pages_end_between_transactions() {
    let now = Instant::now();
    let mut source = CatalogTable::default();
    let keys = (0..40).map(|number| (format!("records/customer/c{number}"), 1 + number / 4));
    let entries = keys.map(|(key, revision)| entry(&key, revision, Some(&customer(1)))).collect();
    source.apply(now, entries, 10);
    let mut target = CatalogTable::default();
    while target.revision() < source.revision() {
        let (entries, through) = source.entries_after(target.revision(), 100).unwrap();
        let last = entries.last().unwrap().revision;
        assert_eq!(entries.iter().filter(|entry| entry.revision == last).count(), 4);
        target.apply(now, entries, through);
    }
    assert_eq!(target.customers().count(), 40);
}

/// Guards against refused requests during a store outage, and against keyed requests that are served
/// by a failure domain that cannot know whether a change was accepted elsewhere.
#[test]
fn keyed_requests_need_evidence_without_store() {
    let mut fleet = settled(3);
    fleet.without_store.extend(DOMAINS.map(str::to_owned));
    let start = fleet.now;
    fleet.run_observed(secs(60), |fleet| {
        let mut nodes = fleet.nodes.iter();
        let refusing = nodes.find(|node| !may_serve_keyed(&node.state, fleet.now));
        let host = refusing.map(|node| node.state.profile.identity.host.as_str());
        assert_eq!(host, None, "refused {:?} after the store failed", fleet.now - start);
    });
    fleet.cut_domains("akl-a", "akl-b");
    fleet.cut_domains("akl-a", "ham-c");
    fleet.run(secs(5));
    for (index, node) in fleet.nodes.iter().enumerate() {
        assert!(!may_serve_keyed(&node.state, fleet.now), "served by {}", fleet.domain(index));
    }
    let index = fleet.index("akl-a-0");
    fleet.nodes[index].state.profile.policies.without_store = WithoutStorePolicy::Always;
    assert!(may_serve_keyed(&fleet.nodes[index].state, fleet.now));
    fleet.nodes[index].state.profile.policies.without_store = WithoutStorePolicy::Never;
    assert!(!may_serve_keyed(&fleet.nodes[index].state, fleet.now));
}

/// Guards against evidence from hosts that merely have not tried to reach the store: here one failure
/// domain still reaches it, so that changes can be accepted.
#[test]
fn no_evidence_while_one_domain_reaches_store() {
    let mut fleet = settled(3);
    fleet.without_store.extend(["akl-b".to_owned(), "akl-a".to_owned()]);
    for (one, other) in [("akl-a", "ham-c"), ("akl-b", "ham-c"), ("akl-a", "akl-b")] {
        fleet.cut_domains(one, other);
    }
    fleet.run_observed(secs(30), |fleet| {
        for node in &fleet.nodes {
            let confirmed_at = node.state.catalog.confirmed_at().unwrap();
            let is_fresh = fleet.now - confirmed_at <= secs(4);
            assert!(is_fresh || !may_serve_keyed(&node.state, fleet.now));
        }
    });
}

/// Guards against keyed requests that are refused behind a slow store, against many reads in flight and
/// retries in step while it is slow or refuses, and against a confirmation younger than its read.
#[test]
fn store_calls_stay_few_in_outage() {
    let mut fleet = settled(3);
    fleet.store_delay = millis(3_000);
    fleet.run(secs(5));
    fleet.store_calls.clear();
    let (mut seen, mut refused, mut oldest) = (0, 0, millis(0));
    fleet.run_observed(secs(60), |fleet| {
        for node in &fleet.nodes {
            seen += 1;
            refused += u32::from(!may_serve_keyed(&node.state, fleet.now));
            let age = fleet.now - node.state.catalog.confirmed_at().unwrap();
            assert!(age >= millis(3_000));
            oldest = oldest.max(age);
            let most = if node.state.hosts.current_plan().is_relay { 8 } else { 1 };
            assert!(node.state.store.feed.len() <= most);
        }
    });
    println!("keyed requests refused at {refused} of {seen} instants with 3 s latency");
    println!("oldest confirmation of the catalog with 3 s latency: {oldest:?}");
    assert_eq!(refused, 0);
    let feeds =
        |fleet: &Fleet| fleet.store_calls.iter().filter(|(_, _, kind)| *kind == "feed").count();
    let slow = feeds(&fleet);
    fleet.store_delay = millis(0);
    fleet.run(secs(5));
    fleet.without_store.extend(DOMAINS.map(str::to_owned));
    fleet.store_calls.clear();
    fleet.run(secs(60));
    let refused = feeds(&fleet);
    println!("feed reads of 9 hosts in 60 s: {slow} with 3 s latency, {refused} while refused");
    // One in each feed interval per relay, one in flight per other host: at most 60 s / 0.5 s and
    // 60 s / 3 s; while refused, 60 s / (1 s + shortest pause).
    assert!(slow <= 6 * 121 + 3 * 21, "{slow} reads");
    assert!(refused <= 6 * 35 + 3 * 20, "{refused} reads");
}

/// Guards against a withdrawn key that works for more than 5 s after the first host has the change, which
/// is when the operator's tool calls it accepted; also in a failure domain that reaches only the store.
#[test]
fn withdrawal_stops_key_behind_slow_store() {
    for (latency, is_cut) in
        [1_000, 3_000, 3_600, 4_500, 8_000].into_iter().flat_map(|l| [(l, false), (l, true)])
    {
        let mut fleet = settled(3);
        fleet.store_delay = millis(latency);
        if is_cut {
            fleet.cut_domains("akl-a", "akl-b");
            fleet.cut_domains("akl-a", "ham-c");
        }
        fleet.run(secs(20));
        let (mut seen, mut refused) = (0, 0);
        fleet.run_observed(secs(20), |fleet| {
            seen += fleet.nodes.len();
            let nodes = fleet.nodes.iter();
            refused += nodes.filter(|node| !may_serve_keyed(&node.state, fleet.now)).count();
        });
        fleet.table.put(KEY, None);
        let (mut accepted_at, mut last) = (None, None);
        let serves =
            |fleet: &Fleet, node: &Node| has_key(node) && may_serve_keyed(&node.state, fleet.now);
        fleet.run_observed(secs(20), |fleet| {
            if !fleet.nodes.iter().all(has_key) {
                accepted_at.get_or_insert(fleet.now);
            }
            if fleet.nodes.iter().any(|node| serves(fleet, node)) {
                last = Some(fleet.now);
            }
        });
        let accepted_at = accepted_at.expect("withdrawal did not come into effect");
        let took = last.map_or(millis(0), |last| last.saturating_duration_since(accepted_at));
        println!(
            "{latency} ms, cut {is_cut}: {refused} of {seen} refused, key stopped in {took:?}"
        );
        assert!(took <= secs(5), "key worked for {took:?} with {latency} ms latency");
        assert!(refused == 0 || latency > 3_000, "refused with {latency} ms latency");
    }
}
