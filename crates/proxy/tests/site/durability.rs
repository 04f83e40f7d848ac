//! Failovers of a group with a synchronous replica: acknowledged commits are in the log of the endpoint
//! that is promoted.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use serde_json::json;
use tanagerdeal_standin::{StandinClient, configuration};
use tokio::time::sleep;

use crate::support::{KEY, SiteDeployment, SiteHost, WAIT_LIMIT, until, until_done};

/// Hosts of a deployment.
const HOSTS: usize = 3;
/// Time for which nothing may be promoted. Without synchronous replicas, the wait for an endpoint
/// that has more commits ends before.
const WITHHELD_TIME: Duration = Duration::from_millis(8_000);
/// Pause between two reads of a client.
const READ_INTERVAL: Duration = Duration::from_millis(20);

/// A deployment whose group has one synchronous replica, with a session at each host.
async fn start() -> (SiteDeployment, Vec<StandinClient>) {
    let site = SiteDeployment::start(HOSTS).await;
    site.group.replicate_to(1);
    let mut config = configuration(2, "g1", &[("acme", &[KEY], 500)]);
    config["services"][0]["syncReplicas"] = json!(1);
    site.store.put("op", "config", &config);
    let is_known = |host: &SiteHost| host.log().contains("\"version\":2");
    until("the configuration is known", async || site.hosts.iter().all(is_known)).await;
    let mut clients = Vec::new();
    for host in 0..HOSTS {
        clients.push(site.session(host, "current").await);
    }
    for client in &mut clients {
        until_done(client, "WRITE item early").await;
    }
    (site, clients)
}

/// Writes that only the first replica and the primary receive.
async fn write_beside_deaf(site: &SiteDeployment, clients: &mut [StandinClient]) {
    site.group.deafen(2);
    for client in clients {
        until_done(client, "WRITE item late").await;
    }
}

/// Reads through all hosts, as only those that use a primary notice its loss.
async fn read_once(clients: &mut [StandinClient]) {
    futures::future::join_all(clients.iter_mut().map(|client| client.query("READ item"))).await;
    sleep(READ_INTERVAL).await;
}

/// Expects that all hosts read the last acknowledged write.
async fn expect_kept(clients: &mut [StandinClient]) {
    for client in clients {
        assert_that!(until_done(client, "READ item").await.rows, elements_are![eq("late")]);
    }
}

/// Expects that nothing is promoted while the only endpoint that answers lacks commits.
async fn expect_withheld(site: &SiteDeployment, clients: &mut [StandinClient]) {
    let end = Instant::now() + WITHHELD_TIME;
    while Instant::now() < end {
        read_once(clients).await;
        assert_that!(site.store.promotions(), is_empty());
    }
}

/// Guards against acknowledged commits that are lost because the replica that has them is draining:
/// another one that had received nothing for seconds was promoted (review/11).
#[tokio::test]
async fn a_draining_replica_with_acknowledged_commits_is_not_passed_over() {
    let (site, mut clients) = start().await;
    site.group.drain(1);
    let is_known = |host: &SiteHost| host.log().contains("\"draining\":true");
    until("the drain is known", async || site.hosts.iter().all(is_known)).await;
    write_beside_deaf(&site, &mut clients).await;
    site.group.kill(0);
    let end = Instant::now() + WAIT_LIMIT;
    while site.store.promotions().is_empty() {
        assert!(Instant::now() < end, "nothing is promoted");
        read_once(&mut clients).await;
    }
    assert_that!(site.store.promotions()[0].0, eq("g1-1"));
    // It is replaced as soon as another replica has its commits.
    site.group.undeafen(2);
    until("it is replaced", async || site.store.promotions().len() > 1).await;
    assert_that!(site.store.promotions()[1].0, eq("g1-2"));
    expect_kept(&mut clients).await;
}

/// Guards against acknowledged commits that are lost because both endpoints that have them are down:
/// the wait for them ended before they were back.
#[tokio::test]
async fn acknowledged_commits_are_kept_until_the_primary_is_back() {
    let (site, mut clients) = start().await;
    write_beside_deaf(&site, &mut clients).await;
    site.group.kill(1);
    site.group.kill(0);
    expect_withheld(&site, &mut clients).await;
    site.group.revive(0).await.unwrap();
    expect_kept(&mut clients).await;
    assert_that!(site.store.promotions(), is_empty());
}

/// Guards against the same when the synchronous replica is back first.
#[tokio::test]
async fn acknowledged_commits_are_kept_until_a_replica_that_has_them_is_back() {
    let (site, mut clients) = start().await;
    write_beside_deaf(&site, &mut clients).await;
    site.group.kill(1);
    site.group.kill(0);
    expect_withheld(&site, &mut clients).await;
    site.group.revive(1).await.unwrap();
    expect_kept(&mut clients).await;
    assert_that!(site.store.promotions()[0].0, eq("g1-1"));
}
