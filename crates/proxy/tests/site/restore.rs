//! A store that was restored from a copy some seconds old.

use std::time::Duration;

use googletest::prelude::*;
use serde_json::json;
use tanagerdeal_standin::configuration;
use tokio::time::sleep;

use crate::freshness::{APPLY_LIMIT, put_config, time_to_version};
use crate::support::{KEY, OTHER_KEY, SiteDeployment, until, until_done};

/// Guards against rows of a restored store that are ignored because their versions look old, or
/// known because the same number was given out before.
#[tokio::test]
async fn a_configuration_after_a_restoration_takes_effect() {
    let site = SiteDeployment::start(4).await;
    let backup = site.store.backup();
    for number in 2..4 {
        put_config(&site, number);
    }
    for host in 0..4 {
        time_to_version(&site, host, 3).await;
    }
    site.store.restore(&backup);
    // Its row gets a number that was given out before.
    put_config(&site, 5);
    for host in 0..4 {
        assert_that!(time_to_version(&site, host, 5).await, le(APPLY_LIMIT), "host {host}");
    }
    let mut client = site.session(0, "current").await;
    until_done(&mut client, "WRITE item one").await;
}

/// Guards against a configuration that goes back: the copy holds an older one, and the operator has
/// not written the newer one again yet.
#[tokio::test]
async fn an_older_configuration_of_a_copy_changes_nothing() {
    let site = SiteDeployment::start(1).await;
    let backup = site.store.backup();
    site.store.put("op", "config", &configuration(2, "g1", &[("acme", &[OTHER_KEY], 500)]));
    time_to_version(&site, 0, 2).await;
    site.store.restore(&backup);
    sleep(APPLY_LIMIT).await;
    let (_, reply) =
        tanagerdeal_standin::StandinClient::open(site.hosts[0].callers, "current", KEY)
            .await
            .unwrap();
    assert_that!(reply.failure, some(eq("NOAUTH")));
    assert_that!(site.hosts[0].log().contains("\"restored\""), eq(true));
}

/// Guards against work in a failure domain that operators have taken out, because the copy lacks
/// that. They write it again; if they do not, the domain is back after a while.
#[tokio::test]
async fn a_copy_takes_no_evacuation_back_at_once() {
    let site = SiteDeployment::start(2).await;
    let has_logged = |host: usize, event: &str| {
        site.hosts[host].log().contains(&format!("\"domain\":\"d2\",\"event\":\"{event}\""))
    };
    let backup = site.store.backup();
    site.store.put("op", "evacuate/d2", &json!({}));
    for host in 0..2 {
        until("the domain is taken out", async || has_logged(host, "evacuated")).await;
    }
    site.store.restore(&backup);
    sleep(Duration::from_secs(3)).await;
    site.store.put("op", "evacuate/d2", &json!({}));
    sleep(Duration::from_secs(4)).await;
    for host in 0..2 {
        assert_that!(has_logged(host, "returned"), eq(false));
    }
    site.store.restore(&backup);
    for host in 0..2 {
        until("the domain is back", async || has_logged(host, "returned")).await;
    }
}

/// Guards against a group that has no primary after the store has lost a change of primary: the
/// hosts write again what they know, and a later change takes place.
#[tokio::test]
async fn a_lost_change_of_primary_is_written_again() {
    let site = SiteDeployment::start(3).await;
    let primary = || {
        let row = site.store.row("groups", "g1").unwrap_or_default();
        row["primary"].as_str().unwrap_or_default().to_owned()
    };
    let mut client = site.session(1, "current").await;
    until_done(&mut client, "WRITE item one").await;
    let backup = site.store.backup();
    site.group.drain(0);
    until("the primary is replaced", async || primary() != "g1-0").await;
    let successor = primary();
    until_done(&mut client, "WRITE item two").await;
    site.store.restore(&backup);
    until("the change is written again", async || primary() == successor).await;
    until_done(&mut client, "WRITE item three").await;
    // No second change was needed for that.
    assert_that!(site.store.promotions().len(), eq(1));
}

/// Guards against work for an endpoint that is leaving, because the copy lacks that it has said so.
#[tokio::test]
async fn an_endpoint_of_a_copy_goes_on_draining() {
    let site = SiteDeployment::start(1).await;
    // An endpoint that does not write its row again by itself.
    let put_state = |state: &str| {
        let row = json!({ "service": "g1", "address": "127.0.0.1:9", "zone": "d3", "version": "v1",
            "slots": 2, "state": state, "coldRemainingMs": 0, "sequence": 1, "born": 1,
            "databaseRole": "replica" });
        site.store.put("servers", "g1-9", &row);
    };
    let registrations = |is_draining: bool| {
        let part =
            format!("\"draining\":{is_draining},\"endpoint\":\"g1-9\",\"event\":\"registered\"");
        site.hosts[0].log().matches(&part).count()
    };
    put_state("ready");
    until("the endpoint is known", async || registrations(false) == 1).await;
    let backup = site.store.backup();
    put_state("draining");
    until("the endpoint is draining", async || registrations(true) == 1).await;
    site.store.restore(&backup);
    // Less than the time for which the word of before counts, and more than between two reads.
    sleep(Duration::from_millis(4_500)).await;
    assert_that!(registrations(false), eq(1));
}

/// Guards against tasks that try at once, because a store that was restored while it refuses calls is
/// held for one that answers: no call is made for a version of an earlier era.
#[tokio::test]
async fn a_restored_store_that_refuses_calls_is_not_reachable() {
    let site = SiteDeployment::start(1).await;
    let logs = |event: &str| {
        let part = format!("\"event\":\"{event}\"");
        let log = site.hosts[0].log();
        log.lines()
            .filter(|line| line.contains(&part) && line.contains("\"part\":\"store\""))
            .count()
    };
    let backup = site.store.backup();
    site.store.set_down(true);
    site.store.restore(&backup);
    until("the store is away", async || logs("lost") == 1).await;
    // Each table is read again meanwhile.
    sleep(Duration::from_secs(6)).await;
    assert_that!(logs("regained"), eq(0));
    assert_that!(logs("lost"), eq(1));
    site.store.set_down(false);
    until("the store is back", async || logs("regained") == 1).await;
    put_config(&site, 2);
    time_to_version(&site, 0, 2).await;
}
