//! Failovers in which the endpoint with the most commits cannot tell its status at once.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use serde_json::json;
use tanagerdeal_standin::{EndpointRefusal, StandinClient, configuration};
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::lanes::{Lane, RelayedSite};
use crate::support::{KEY, SiteDeployment, SiteHost, until, until_done};

/// Hosts of a deployment.
const HOSTS: usize = 3;
/// Time from before the loss of the primary until the complete replica tells its status. A failover
/// waits longer for it.
const UNANSWERED_TIME: Duration = Duration::from_millis(3_000);
/// Time for which requests for a status are queued.
const QUEUE_TIME: Duration = Duration::from_millis(700);
/// Staleness that reads accept meanwhile, so that the replica has reads to serve.
const QUEUE_STALENESS: Duration = Duration::from_millis(5_000);
/// Pause between two reads of a client.
const READ_INTERVAL: Duration = Duration::from_millis(20);

/// Writes through the last `writers` hosts after the first replica has stopped to receive commits. The
/// second one is complete. Returns a session for each host.
async fn leave_replica_behind(site: &SiteDeployment, writers: usize) -> Vec<StandinClient> {
    let mut clients = Vec::new();
    for host in 0..HOSTS {
        clients.push(site.session(host, "current").await);
    }
    for client in &mut clients {
        until_done(client, "WRITE item early").await;
    }
    site.group.deafen(1);
    for client in &mut clients[HOSTS - writers..] {
        until_done(client, "WRITE item late").await;
    }
    clients
}

/// Reads through all hosts until another primary leads, as only those that use a primary notice its
/// loss. After a while, `answer` lets the complete replica tell its status.
async fn read_until_promoted(
    site: &SiteDeployment,
    clients: &mut [StandinClient],
    answer: impl AsyncFnOnce(),
) {
    let answer_at = Instant::now() + UNANSWERED_TIME;
    while Instant::now() < answer_at {
        futures::future::join_all(clients.iter_mut().map(|client| client.query("READ item"))).await;
        sleep(READ_INTERVAL).await;
    }
    answer().await;
    until("another primary leads", async || !site.store.promotions().is_empty()).await;
}

/// Expects that the complete replica is promoted and that the last write is kept.
async fn expect_complete(site: &SiteDeployment, clients: &mut [StandinClient]) {
    assert_that!(site.store.promotions()[0].0, eq("g1-2"));
    for client in clients {
        assert_that!(until_done(client, "READ item").await.rows, elements_are![eq("late")]);
    }
}

/// The complete replica refuses requests for a while when the primary is lost.
async fn lose_primary_while(refusal: EndpointRefusal) {
    let site = SiteDeployment::start(HOSTS).await;
    let mut clients = leave_replica_behind(&site, HOSTS).await;
    site.group.refuse(2, refusal);
    site.group.kill(0);
    let answer = async || site.group.refuse(2, EndpointRefusal::None);
    read_until_promoted(&site, &mut clients, answer).await;
    expect_complete(&site, &mut clients).await;
}

/// Guards against a replica that is left out of a failover because its slots are taken: one that had
/// received nothing for seconds was promoted, and reads missed acknowledged commits.
#[tokio::test]
async fn a_busy_replica_is_not_left_out() {
    lose_primary_while(EndpointRefusal::Statements).await;
}

/// Guards against the same with a replica that has as many connections as it accepts.
#[tokio::test]
async fn a_replica_without_a_free_connection_is_not_left_out() {
    lose_primary_while(EndpointRefusal::Connections).await;
}

/// The complete replica cannot be reached for a while when the primary is lost.
async fn lose_primary_without_replica(writers: usize) {
    let relayed = RelayedSite::start(HOSTS).await;
    let mut clients = leave_replica_behind(&relayed.site, writers).await;
    let lane = Lane::to_endpoint(2);
    relayed.cut(&lane, true).await;
    relayed.site.group.kill(0);
    let answer = async || relayed.cut(&lane, false).await;
    read_until_promoted(&relayed.site, &mut clients, answer).await;
    expect_complete(&relayed.site, &mut clients).await;
}

/// Guards against the same with a replica that cannot be reached for a while. It is waited for as
/// the other one is known to lack commits.
#[tokio::test]
async fn a_silent_replica_is_waited_for_when_the_other_one_lacks_commits() {
    lose_primary_without_replica(HOSTS).await;
}

/// Guards against the same when the host that replaces the primary has not seen the last commits, as
/// another host has served them (review/2 beside load).
#[tokio::test]
async fn positions_that_other_hosts_know_count() {
    lose_primary_without_replica(1).await;
}

/// Guards against the same with a replica that takes longer for its status than a silent endpoint is
/// waited for: requests are queued there behind reads (review/2 beside load).
#[tokio::test]
async fn a_replica_that_queues_requests_for_its_status_is_not_left_out() {
    let site = SiteDeployment::start(HOSTS).await;
    let mut config = configuration(2, "g1", &[("acme", &[KEY], 500)]);
    for route in config["routes"].as_array_mut().unwrap() {
        route["maxStalenessMs"] = json!(QUEUE_STALENESS.as_millis() as u64);
    }
    site.store.put("op", "config", &config);
    let is_known = |host: &SiteHost| host.log().contains("\"version\":2");
    until("the configuration is known", async || site.hosts.iter().all(is_known)).await;
    let mut clients = leave_replica_behind(&site, HOSTS).await;
    // A session that has written reads where its write is.
    let mut readers = Vec::new();
    for host in 0..HOSTS {
        let mut reader = site.session(host, "session").await;
        until_done(&mut reader, "WRITE own late").await;
        readers.push(tokio::spawn(async move {
            while !reader.query("READ own").await.state.is_empty() {
                sleep(READ_INTERVAL).await;
            }
        }));
    }
    site.group.delay_status(2, QUEUE_TIME);
    site.group.kill(0);
    read_until_promoted(&site, &mut clients, async || ()).await;
    readers.iter().for_each(JoinHandle::abort);
    expect_complete(&site, &mut clients).await;
}

/// Guards against a group that stays without primary because a replica never answers.
#[tokio::test]
async fn a_replica_that_never_answers_ends_the_wait() {
    for refusal in [EndpointRefusal::None, EndpointRefusal::Statements] {
        let site = SiteDeployment::start(HOSTS).await;
        let mut clients = leave_replica_behind(&site, HOSTS).await;
        match refusal {
            EndpointRefusal::None => site.group.kill(2),
            refusal => site.group.refuse(2, refusal),
        }
        site.group.kill(0);
        read_until_promoted(&site, &mut clients, async || ()).await;
        site.group.refuse(2, EndpointRefusal::None);
        until_done(&mut clients[0], "WRITE item again").await;
    }
}
