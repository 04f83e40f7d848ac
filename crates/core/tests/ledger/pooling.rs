//! Where pooling is in effect, and which host is the pool host of an endpoint.

use std::collections::BTreeMap;

use googletest::prelude::*;
use tanagerdeal_core::ledger::lease::HostEntry;
use tanagerdeal_core::ledger::pooling::{
    FeatureMode, PoolOffer, is_pooled, is_scheduled, pool_host,
};

use crate::support::{host, store_at};

/// Endpoints in the tests of shares; the standard error of a part of them is below 0.8%.
const ENDPOINTS: usize = 4_000;

/// A live host of domain `d1` that offers to run statements.
fn offering(name: &str, weight: u32) -> HostEntry {
    let mut entry = host(name, 1, 10_000, &[]);
    entry.record.pool = Some(PoolOffer { address: "10.0.0.1:2".parse().unwrap(), weight });
    entry
}

/// Name of the pool host of an endpoint of domain `d1`.
fn chosen<'a>(hosts: &'a [HostEntry], endpoint: &str, excluded: &str) -> Option<&'a str> {
    let is_excluded = |name: &str| name == excluded;
    let chosen = pool_host(hosts, store_at(0), "d1", endpoint, &is_excluded);
    chosen.map(|(record, _)| record.host.as_str())
}

/// Guards against a changed bound that switches pooling on where each host has connections enough,
/// or off where it has one or none. Connections of an endpoint, and hosts.
#[gtest]
fn pooling_is_in_effect_where_hosts_have_fewer_than_two_connections() {
    for (connections, hosts) in [(21, 9), (29, 8), (32, 7), (278, 85)] {
        let is_pooled = is_pooled(FeatureMode::Auto, connections, hosts);
        expect_that!(is_pooled, eq(false), "{connections} connections, {hosts} hosts");
    }
    for (connections, hosts) in [(71, 73), (72, 63), (180, 195), (56, 58), (70, 68)] {
        let is_pooled = is_pooled(FeatureMode::Auto, connections, hosts);
        expect_that!(is_pooled, eq(true), "{connections} connections, {hosts} hosts");
    }
}

/// Guards against queues, learned limits and hints of load in deployments whose connections are not
/// pooled: all of their routes differ in priority, so only the missing pool host keeps them off.
#[gtest]
fn statements_are_queued_only_where_connections_are_pooled() {
    let shapes = [(21, 9, false), (32, 7, false), (278, 85, false), (72, 63, true), (56, 58, true)];
    for (connections, hosts, expected) in shapes {
        let is_pooled = is_pooled(FeatureMode::Auto, connections, hosts);
        let is_queued = is_scheduled(FeatureMode::Auto, is_pooled, true);
        expect_that!(is_queued, eq(expected), "{connections} connections, {hosts} hosts");
        expect_that!(is_scheduled(FeatureMode::Auto, is_pooled, false), eq(false));
    }
}

/// Guards against a small host that is given as many endpoints as a large one.
#[gtest]
fn hosts_are_chosen_in_proportion_to_their_weight() {
    let hosts = [offering("h1", 1_000), offering("h2", 1_000), offering("h3", 2_000)];
    let mut counts = BTreeMap::<&str, usize>::new();
    for number in 0..ENDPOINTS {
        let name = chosen(&hosts, &format!("e{number}"), "").unwrap();
        *counts.entry(name).or_default() += 1;
    }
    for (name, share) in [("h1", 0.25), ("h2", 0.25), ("h3", 0.5)] {
        let part = counts[name] as f64 / ENDPOINTS as f64;
        expect_that!(part, near(share, 0.03), "{name}");
    }
}

/// Guards against statements that stay with a host that cannot be reached or is shutting down, and
/// against a change of its endpoints that moves those of other hosts.
#[gtest]
fn an_excluded_or_leaving_host_is_passed_over() {
    let hosts = [offering("h1", 1_000), offering("h2", 1_000), offering("h3", 1_000)];
    let mut leaving = hosts.clone();
    leaving[0].record.is_leaving = true;
    let mut expired = hosts.clone();
    expired[0].record.until = store_at(0);
    let mut moved = 0;
    for number in 0..100 {
        let endpoint = format!("e{number}");
        let former = chosen(&hosts, &endpoint, "");
        let others = [chosen(&hosts, &endpoint, "h1"), chosen(&leaving, &endpoint, "")];
        for other in others.into_iter().chain([chosen(&expired, &endpoint, "")]) {
            match former {
                Some("h1") => expect_that!(other, some(not(eq("h1")))),
                former => expect_that!(other, eq(former)),
            }
        }
        moved += usize::from(former == Some("h1"));
    }
    expect_that!(moved, gt(0));
}

/// Guards against statements that are forwarded to a host of an old build, which runs none, to a
/// host without a part of a processor, or out of the endpoint's failure domain.
#[gtest]
fn hosts_without_an_offer_and_of_other_domains_are_never_chosen() {
    let mut other_domain = offering("h2", 64_000);
    other_domain.record.domain = "d2".to_owned();
    let unfit = [host("h1", 1, 10_000, &[]), other_domain, offering("h3", 0)];
    let mut hosts = unfit.to_vec();
    hosts.push(offering("h4", 1));
    for number in 0..100 {
        let endpoint = format!("e{number}");
        expect_that!(chosen(&hosts, &endpoint, ""), some(eq("h4")));
        expect_that!(chosen(&unfit, &endpoint, ""), none());
    }
}
