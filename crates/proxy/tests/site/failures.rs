//! Endpoints, hosts and the store fail.

use std::time::Duration;

use googletest::prelude::*;
use serde_json::Value;
use tanagerdeal_standin::configuration;

use crate::support::{KEY, SiteDeployment, until, until_done};

/// Guards against a group that stays without primary, and against an acknowledged write that a
/// change of primary loses although a replica had it.
#[tokio::test]
async fn a_killed_primary_is_replaced() {
    let site = SiteDeployment::start(3).await;
    let mut client = site.session(0, "current").await;
    until_done(&mut client, "WRITE item one").await;
    site.group.kill(0);
    let mut others = [site.session(1, "current").await, site.session(2, "current").await];
    for other in &mut others {
        // A refusal says that nothing has run, so the statement may be sent again.
        until_done(other, "READ item").await;
    }
    assert_that!(until_done(&mut client, "READ item").await.rows, elements_are![eq("one")]);
    until_done(&mut client, "WRITE item two").await;
    assert_that!(site.group.commits("item", "two"), eq(1));
    let promotions = site.store.promotions();
    assert_that!(promotions, len(eq(1)));
    assert_that!(promotions[0].1, ge(1));
}

/// Guards against work for a primary that leaves: another one takes over before it ends.
#[tokio::test]
async fn a_leaving_primary_is_replaced() {
    let site = SiteDeployment::start(2).await;
    let mut client = site.session(0, "current").await;
    until_done(&mut client, "WRITE item one").await;
    site.group.drain(0);
    site.wait_new_primary().await;
    until_done(&mut client, "WRITE item two").await;
    let runs = site.group.runs();
    assert_that!(runs.last().unwrap().member.as_str(), not(eq("g1-0")));
    assert_that!(until_done(&mut client, "READ item").await.rows, elements_are![eq("two")]);
}

/// Guards against a failure domain that was taken out and still gets work.
#[tokio::test]
async fn an_evacuated_domain_gets_no_work() {
    let site = SiteDeployment::start(2).await;
    let mut client = site.session(0, "session").await;
    until_done(&mut client, "WRITE item one").await;
    site.store.put("op", "evacuate/d1", &serde_json::json!({}));
    site.wait_new_primary().await;
    let before = site.group.runs().len();
    for round in 0..5 {
        until_done(&mut client, &format!("WRITE item {round}")).await;
        until_done(&mut client, "READ item").await;
    }
    let members: Vec<String> =
        site.group.runs().split_off(before).into_iter().map(|run| run.member).collect();
    assert_that!(members, each(not(eq("g1-0"))));
}

/// Guards against a host that gives its shares up with its lease, and does not take them over again
/// because their rows have not changed: it wrote each of them to find out.
#[tokio::test]
async fn a_regained_lease_finds_its_shares() {
    let mut site = SiteDeployment::start(1).await;
    until_done(&mut site.session(0, "session").await, "WRITE item one").await;
    // The new process reads the rows when it gets its lease.
    site.hosts[0].kill();
    site.hosts[0].restart();
    site.hosts[0].wait_ready().await;
    let mut client = site.session(0, "session").await;
    let writes = async || {
        let (_, text) = site.hosts[0].page("/metrics").await;
        let shares = text.lines().filter(|line| line.contains("call=\"share\",outcome=\"answered"));
        shares.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok()).sum::<u64>()
    };
    let before = writes().await;
    site.store.set_down(true);
    let has_ended = async || site.hosts[0].log().contains("\"event\":\"ended\",\"part\":\"lease\"");
    until("the lease ends", has_ended).await;
    site.store.set_down(false);
    until("the host is ready", async || site.hosts[0].is_ready().await).await;
    until_done(&mut client, "WRITE item two").await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_that!(writes().await, eq(before));
}

/// Guards against refusals while the store is away: leases, shares and rights go on.
#[tokio::test]
async fn service_goes_on_while_the_store_is_down() {
    let site = SiteDeployment::start(2).await;
    let mut client = site.session(0, "session").await;
    until_done(&mut client, "WRITE item one").await;
    site.store.set_down(true);
    for round in 0..30 {
        let reply = client.query(&format!("WRITE item {round}")).await;
        assert_that!(reply.failure, none());
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    site.store.set_down(false);
    assert_that!(until_done(&mut client, "READ item").await.rows, elements_are![eq("29")]);
}

/// Guards against a fleet that does not come back after all processes were killed at once.
#[tokio::test]
async fn all_hosts_come_back_after_a_kill() {
    let mut site = SiteDeployment::start(3).await;
    let mut client = site.session(0, "current").await;
    until_done(&mut client, "WRITE item one").await;
    site.hosts.iter_mut().for_each(super::support::SiteHost::kill);
    site.hosts.iter_mut().for_each(super::support::SiteHost::restart);
    for index in 0..3 {
        until("the host is ready", async || site.hosts[index].is_ready().await).await;
        let mut client = site.session(index, "current").await;
        assert_that!(until_done(&mut client, "READ item").await.rows, elements_are![eq("one")]);
    }
}

/// Guards against registrations of other writers that disturb the others.
#[tokio::test]
async fn unreadable_registrations_are_ignored() {
    let site = SiteDeployment::start(1).await;
    site.store.put_bytes("servers", "i-garbage", b"\xff\x00{");
    site.store.put("servers", "i-odd", &serde_json::json!({ "service": 7 }));
    let mut client = site.session(0, "current").await;
    tokio::time::sleep(Duration::from_secs(4)).await;
    until_done(&mut client, "WRITE item one").await;
    assert_that!(site.hosts[0].log(), contains_substring("registration_unreadable"));
}

/// Guards against a priced call of the store by each host for each renewal: hosts of a failure
/// domain renew in one transaction.
#[tokio::test]
async fn hosts_of_a_domain_renew_together() {
    let site = SiteDeployment::start(4).await;
    let has_batch = async || (0..4).any(|host| batches(&site.hosts[host].log()) >= 2);
    until("two batches of both hosts", has_batch).await;
}

/// Guards against a host whose lease ends because the relay is frozen: it renews itself and asks
/// another one, and the relay is asked again when it is back.
#[tokio::test]
async fn a_frozen_relay_costs_no_lease() {
    let site = SiteDeployment::start(4).await;
    freeze_relay(&site).await;
}

/// The same with renewals every 4 s and reads of the registrations every 1.2 s: reads find the relay
/// unresponsive again before a renewal asks it, until its lease has ended.
#[tokio::test]
async fn a_frozen_relay_that_only_reads_find_costs_no_lease() {
    let site = SiteDeployment::start_with(4, "config_apply_ms = 6000\ndrain_ms = 5600\n").await;
    freeze_relay(&site).await;
}

/// Freezes a relay for longer than a lease.
async fn freeze_relay(site: &SiteDeployment) {
    // Hosts 0 and 3 are in the same failure domain.
    let pair = [0, 3];
    let relay_of = || pair.into_iter().find(|host| batches(&site.hosts[*host].log()) > 0);
    until("a batch", async || relay_of().is_some()).await;
    let relay = relay_of().unwrap();
    let other = pair.into_iter().find(|host| *host != relay).unwrap();
    let logged = site.hosts[other].log().lines().count();
    site.hosts[relay].signal("STOP");
    // A renewal or a read finds it, whichever asks first.
    let is_found = async || {
        let log = site.hosts[other].log();
        log.lines().skip(logged).any(|line| finds_unresponsive(line, relay))
    };
    until("the relay is found unresponsive", is_found).await;
    // Longer than a lease.
    for _ in 0..30 {
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert_that!(site.hosts[other].is_ready().await, eq(true));
    }
    assert_that!(
        site.hosts[other].log().contains("\"event\":\"ended\",\"part\":\"lease\""),
        eq(false)
    );
    let before = batches(&site.hosts[relay].log());
    site.hosts[relay].signal("CONT");
    until("batches again", async || batches(&site.hosts[relay].log()) > before).await;
}

/// Whether a log line says that a host did not respond as a relay.
fn finds_unresponsive(line: &str, relay: usize) -> bool {
    let event: Value = serde_json::from_str(line).unwrap_or_default();
    let is_finding = event["event"] == "silent" || event["event"] == "no_rows";
    event["part"] == "relay" && is_finding && event["relay"] == format!("h{relay}")
}

/// Batches of two hosts that a host has renewed.
fn batches(log: &str) -> usize {
    log.lines().filter(|line| line.contains("\"batch\"") && line.contains("\"hosts\":2")).count()
}

/// Load pattern: the store is away for some hosts or for all (`platform_down`). Guards against
/// tasks that each try again twice a second: a store that is away gets few calls from a host, and a
/// host that it answers again takes a change over soon.
#[tokio::test]
async fn a_store_that_is_away_gets_few_calls() {
    let site = SiteDeployment::start(1).await;
    let failed = async || {
        let (_, text) = site.hosts[0].page("/metrics").await;
        let calls =
            text.lines().filter(|line| line.starts_with("tanagerdeal_platform_calls_total"));
        let failed = calls.filter(|line| line.contains("refused") || line.contains("unanswered"));
        failed.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok()).sum::<u64>()
    };
    site.store.set_down(true);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = failed().await;
    tokio::time::sleep(Duration::from_secs(8)).await;
    // Four calls a second at most.
    assert_that!(failed().await - before, le(32));
    site.store.set_down(false);
    site.store.put("op", "config", &configuration(2, "g1", &[("acme", &[KEY], 500)]));
    let version = async || site.hosts[0].page("/metrics").await.1.contains("catalog_version 2");
    until("the change is in force", version).await;
}

/// Guards against a lost primary that is not replaced because the hosts without traffic to it have
/// never heard of the suspicion: they started later, or the message was lost.
#[tokio::test]
async fn a_killed_primary_is_replaced_although_others_hear_late() {
    let mut site = SiteDeployment::start(3).await;
    let mut client = site.session(0, "current").await;
    until_done(&mut client, "WRITE item one").await;
    for host in [1, 2] {
        site.hosts[host].kill();
    }
    site.group.kill(0);
    let suspects = || site.store.row("hosts", "h0").unwrap_or_default()["suspects"].clone();
    let is_reported = async || {
        let reply = client_read(&site).await;
        reply && suspects().as_array().is_some_and(|ids| !ids.is_empty())
    };
    until("the suspicion is reported", is_reported).await;
    for host in [1, 2] {
        site.hosts[host].restart();
        site.hosts[host].wait_ready().await;
    }
    until_done(&mut client, "WRITE item two").await;
    assert_that!(site.group.commits("item", "two"), eq(1));
}

/// Sends a read to the first host, whatever becomes of it.
async fn client_read(site: &SiteDeployment) -> bool {
    site.session(0, "current").await.query("READ item").await;
    true
}
