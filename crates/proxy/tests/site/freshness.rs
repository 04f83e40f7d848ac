//! Configurations that take effect in time although calls to the store are not answered.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use serde_json::json;
use tanagerdeal_adapter::store::StoreClient;
use tanagerdeal_standin::{StandinClient, StoreFault, configuration};
use tokio::time::sleep;

use crate::lanes::{Lane, RelayedSite};
use crate::support::{KEY, SiteDeployment, until};

/// Time in which a configuration has to be in force.
pub const APPLY_LIMIT: Duration = Duration::from_secs(3);
/// Time after an outage from which on hosts are expected to know the configuration.
const RECOVERY_LIMIT: Duration = Duration::from_secs(4);

/// Writes a version of the configuration.
pub fn put_config(site: &SiteDeployment, number: u64) {
    site.store.put("op", "config", &configuration(number, "g1", &[("acme", &[KEY], 500)]));
}

/// Waits until a host has a version of the configuration, and returns how long that took.
pub async fn time_to_version(site: &SiteDeployment, host: usize, number: u64) -> Duration {
    let begin = Instant::now();
    let line = format!("tanagerdeal_catalog_version {number}");
    until("the configuration is in force", async || {
        site.hosts[host].page("/metrics").await.1.contains(&line)
    })
    .await;
    begin.elapsed()
}

/// Guards against a renewal that waits for a hanging feed of the groups, and with it everything
/// that a renewal would find out (mafundi-dsm, several-at-once, seeds 6 and 17).
#[tokio::test]
async fn a_hanging_feed_delays_no_configuration() {
    let site = SiteDeployment::start(1).await;
    site.store.set_fault(StoreFault::SilentFeeds);
    site.store.put("groups", "!epoch", &json!({}));
    // Until a renewal has met the other epoch.
    sleep(APPLY_LIMIT).await;
    put_config(&site, 2);
    assert_that!(time_to_version(&site, 0, 2).await, le(APPLY_LIMIT));
}

/// Guards against a configuration that only a renewal could show, while the store is unavailable in
/// part: it answers neither writes nor feeds.
#[tokio::test]
async fn a_store_without_writes_delays_no_configuration() {
    let site = SiteDeployment::start(1).await;
    site.store.set_fault(StoreFault::ReadsOnly);
    sleep(APPLY_LIMIT).await;
    put_config(&site, 2);
    assert_that!(time_to_version(&site, 0, 2).await, le(APPLY_LIMIT));
}

/// Guards against hosts that stay with an old configuration after an outage: a call that got no
/// answer, the pause after it, and further calls that are lost with it. Three hosts without a relay
/// are at different points of that when the outage ends.
#[tokio::test]
async fn hosts_know_the_configuration_soon_after_an_outage() {
    let site = SiteDeployment::start(3).await;
    for (number, silence_ms) in [(2, 2_600), (3, 3_900), (4, 5_200)] {
        site.store.set_fault(StoreFault::Silent);
        put_config(&site, number);
        sleep(Duration::from_millis(silence_ms)).await;
        site.store.set_fault(StoreFault::None);
        let begin = Instant::now();
        for host in 0..3 {
            time_to_version(&site, host, number).await;
            assert_that!(begin.elapsed(), le(RECOVERY_LIMIT), "host {host}, version {number}");
        }
    }
}

/// Guards against idle connections to the store that went silent without a reset: each call that
/// takes one of them times out.
#[tokio::test]
async fn silent_connections_delay_no_configuration() {
    let relayed = RelayedSite::start(1).await;
    let site = &relayed.site;
    for number in 2..6 {
        relayed.break_open(&Lane::to_store(0), "silence").await;
        put_config(site, number);
        assert_that!(time_to_version(site, 0, number).await, le(RECOVERY_LIMIT));
    }
}

/// Guards against hosts that hear of nothing new from a relay whose connections to the store have gone
/// silent for good, like their own, some seconds before a configuration is written.
#[tokio::test]
async fn silent_connections_of_all_hosts_delay_no_configuration() {
    let relayed = RelayedSite::start(4).await;
    let site = &relayed.site;
    for number in 2..5 {
        for host in 0..4 {
            relayed.break_open(&Lane::to_store(host), "silence").await;
        }
        sleep(Duration::from_millis(4_500)).await;
        put_config(site, number);
        let begin = Instant::now();
        for host in 0..4 {
            time_to_version(site, host, number).await;
            assert_that!(begin.elapsed(), le(APPLY_LIMIT), "host {host}, version {number}");
        }
    }
}

/// Guards against time-outs and pauses that add up: the renewal, the read of the configuration and
/// the feed each lose a call to a connection that went silent while it was idle, as a firewall may
/// do it, and each waits a while after that (pcfc-tanager, silent-store-frozen-hosts, seed 3). The
/// configuration is written right after a renewal, which leaves the most time to the next one.
#[tokio::test]
async fn connections_that_die_while_idle_delay_no_configuration() {
    let relayed = RelayedSite::start(1).await;
    let site = &relayed.site;
    let break_idle = async || relayed.break_open(&Lane::to_store(0), "silence").await;
    for number in 2..8 {
        let row = site.store.row("hosts", "h0");
        until("a renewal", async || site.store.row("hosts", "h0") != row).await;
        // Both before the next renewal, after 2.1 s.
        break_idle().await;
        put_config(site, number);
        let begin = Instant::now();
        sleep(Duration::from_millis(1_500)).await;
        break_idle().await;
        time_to_version(site, 0, number).await;
        assert_that!(begin.elapsed(), le(APPLY_LIMIT), "version {number}");
    }
}

/// Guards against one time-out for each idle connection, when all of them have gone silent: after
/// the first one, further calls use new connections.
#[tokio::test]
async fn only_one_call_is_lost_to_silent_connections() {
    let relayed = RelayedSite::start(0).await;
    let lane = Lane::to_store(0);
    let address = relayed.open(relayed.site.store.address(), &lane).await;
    let store = StoreClient::new(&address.to_string()).unwrap();
    let limit = Duration::from_millis(500);
    for _ in 0..3 {
        let calls = (0..4).map(|_| store.read("op", limit));
        let results = futures::future::join_all(calls).await;
        assert_that!(results.iter().filter(|result| result.is_err()).count(), eq(0));
        relayed.break_open(&lane, "silence").await;
        let mut lost = 0;
        while store.read("op", limit).await.is_err() {
            lost += 1;
        }
        assert_that!(lost, le(1));
    }
}

/// Guards against the pause of an outage after connections were lost: the long polls on them fail,
/// although the store answers.
#[tokio::test]
async fn lost_connections_are_no_outage() {
    let relayed = RelayedSite::start(1).await;
    for _ in 0..3 {
        // Until a renewal was answered on the connections of now.
        sleep(APPLY_LIMIT).await;
        relayed.break_open(&Lane::to_store(0), "reset").await;
    }
    sleep(APPLY_LIMIT).await;
    let log = relayed.site.hosts[0].log();
    let is_outage = |line: &&str| line.contains("\"store\"") && line.contains("\"lost\"");
    assert_that!(log.lines().filter(is_outage).collect::<Vec<_>>(), is_empty());
}

/// Guards against a final refusal by a host that cannot know: without the store, a database or a key
/// may have been added since. A client that is told to come back asks again.
#[tokio::test]
async fn a_host_without_confirmation_gives_no_final_refusal() {
    let site = SiteDeployment::start(1).await;
    let refusal = async |database: &str, key: &str| {
        StandinClient::open(site.hosts[0].callers, database, key).await.unwrap().1
    };
    assert_that!(refusal("nowhere", KEY).await.failure, some(eq("NODB")));
    assert_that!(refusal("current", "wrong").await.failure, some(eq("NOAUTH")));
    site.store.set_fault(StoreFault::Silent);
    sleep(APPLY_LIMIT + Duration::from_millis(500)).await;
    for (database, key) in [("nowhere", KEY), ("current", "wrong")] {
        let reply = refusal(database, key).await;
        assert_that!(reply.failure, some(eq("BUSY")), "{database} {key}");
        assert_that!(reply.text, contains_substring("retry after"));
    }
    // What it knows it goes on serving.
    assert_that!(refusal("current", KEY).await.state.as_str(), eq("I"));
    site.store.set_fault(StoreFault::None);
    until("final refusals again", async || {
        refusal("nowhere", KEY).await.failure.as_deref() == Some("NODB")
    })
    .await;
}
