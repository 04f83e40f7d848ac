//! Endpoints, hosts and the store fail.

use std::time::Duration;

use googletest::prelude::*;

use crate::support::{SiteDeployment, until, until_done};

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
    until("another primary leads", async || !site.store.promotions().is_empty()).await;
    let group = || site.store.row("groups", "g1").unwrap_or_default();
    until("the result is published", async || group()["change"].is_null()).await;
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
    until("another primary leads", async || !site.store.promotions().is_empty()).await;
    let group = || site.store.row("groups", "g1").unwrap_or_default();
    until("the result is published", async || group()["change"].is_null()).await;
    let before = site.group.runs().len();
    for round in 0..5 {
        until_done(&mut client, &format!("WRITE item {round}")).await;
        until_done(&mut client, "READ item").await;
    }
    let members: Vec<String> =
        site.group.runs().split_off(before).into_iter().map(|run| run.member).collect();
    assert_that!(members, each(not(eq("g1-0"))));
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
