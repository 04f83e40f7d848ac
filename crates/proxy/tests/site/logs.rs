//! What an engineer finds afterwards: log lines and metrics.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use serde_json::Value;

use tanagerdeal_standin::StandinClient;

use crate::support::{KEY, SiteDeployment, SiteHost, until, until_done};

fn lines(log: &str) -> Vec<Value> {
    log.lines().map(|line| serde_json::from_str(line).unwrap_or(Value::Null)).collect()
}

/// Guards against refusals that cannot be explained afterwards, against lines that no program can
/// read, and against secrets in them.
#[tokio::test]
async fn a_refusal_can_be_traced_by_its_id() {
    let site = SiteDeployment::start(1).await;
    let mut client = site.session(0, "current").await;
    until_done(&mut client, "READ item").await;
    let id = client.next_id();
    let reply = client.query("COMMIT").await;
    assert_that!(reply.failure, some(anything()));
    let is_logged = async || site.hosts[0].log().contains(&id);
    until("the refusal is logged", is_logged).await;
    let log = site.hosts[0].log();
    let lines = lines(&log);
    assert_that!(lines.iter().all(|line| line.get("event").is_some()), eq(true));
    let refusal = lines.iter().find(|line| line["request"] == id.as_str()).unwrap();
    assert_that!(refusal["event"].as_str(), some(eq("refused")));
    assert_that!(refusal["catalog"].as_u64(), some(eq(1)));
    assert_that!(log, not(contains_substring("MARKED")));
    for event in ["started", "adopted", "gained", "registered", "on"] {
        assert_that!(log, contains_substring(format!(r#""event":"{event}""#)));
    }
}

/// Guards against a lost store that leaves no trace.
#[tokio::test]
async fn the_loss_and_return_of_the_store_are_logged() {
    let site = SiteDeployment::start(1).await;
    site.store.set_down(true);
    until("the loss is logged", async || site.hosts[0].log().contains(r#""event":"lost""#)).await;
    site.store.set_down(false);
    let is_back = async || site.hosts[0].log().contains(r#""event":"regained""#);
    until("the return is logged", is_back).await;
}

/// Guards against metrics that are not served, and against secrets in them.
#[tokio::test]
async fn metrics_are_served() {
    let site = SiteDeployment::start(1).await;
    let mut client = site.session(0, "current").await;
    until_done(&mut client, "READ item").await;
    let (status, body) = site.hosts[0].page("/metrics").await;
    assert_that!(status, contains_substring("200"));
    for name in [
        "tanagerdeal_statements_total",
        "tanagerdeal_statement_seconds_bucket",
        "tanagerdeal_platform_calls_total",
        "tanagerdeal_connections_total",
        "tanagerdeal_catalog_version 1",
        "tanagerdeal_lease_valid 1",
    ] {
        assert_that!(body, contains_substring(name));
    }
    assert_that!(body, not(contains_substring("MARKED")));
}

/// Guards against metrics that the page for operators does not list, and lists that are out of
/// date.
#[tokio::test]
async fn the_page_for_operators_lists_the_metrics_that_are_served() {
    let mut site = SiteDeployment::start(2).await;
    let mut client = site.session(0, "current").await;
    until_done(&mut client, "READ item").await;
    client.query("COMMIT").await;
    let pooled = pooled_host(&site).await;
    site.hosts.push(pooled);
    // Some counters are there once something was counted.
    site.group.kill(0);
    until_done(&mut client, "WRITE item one").await;
    let mut served = BTreeSet::new();
    for host in &site.hosts {
        let (_, text) = host.page("/metrics").await;
        let types = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
        served.extend(types.filter_map(|line| Some(line.split_once(' ')?.0.to_owned())));
    }
    let page = include_str!("../../../../docs/OPERATIONS.md");
    let rows = page.lines().filter(|line| line.starts_with("| `tanagerdeal_"));
    let first_cells = rows.filter_map(|row| row.split('|').nth(1));
    let names = first_cells.flat_map(|cell| cell.split('`').skip(1).step_by(2));
    let listed: BTreeSet<String> = names.map(str::to_owned).collect();
    assert_that!(served, eq(&listed));
}

/// A host that has been the pool host of the primary's endpoint for at least one statement.
async fn pooled_host(site: &SiteDeployment) -> SiteHost {
    // Hosts are distributed over the failure domains by their index; the primary is in the first.
    let host = SiteHost::start_pooled(site.store.address(), 3);
    assert_ne!(host.forwarding.port(), 0);
    host.wait_ready().await;
    until("the host is a pool host", async || {
        read_once(host.callers).await;
        host.page("/metrics").await.1.contains("tanagerdeal_endpoint_limit{")
    })
    .await;
    host
}

async fn read_once(callers: SocketAddr) {
    let (mut client, _) = StandinClient::open(callers, "current", KEY).await.unwrap();
    until_done(&mut client, "READ item").await;
}

/// Guards against a pool host whose load and learned limits cannot be seen, against values that
/// stay when it is one no more, and against a change that is not logged.
#[gtest]
#[tokio::test]
async fn a_pool_host_shows_the_load_of_its_endpoints() {
    let site = SiteDeployment::start(1).await;
    let host = pooled_host(&site).await;
    let (_, body) = host.page("/metrics").await;
    for line in [
        "tanagerdeal_pool_host{endpoint=\"g1-0\",group=\"g1\"} 1",
        "tanagerdeal_endpoint_running{endpoint=\"g1-0\",group=\"g1\"} 0",
        "tanagerdeal_endpoint_waiting{endpoint=\"g1-0\",group=\"g1\",priority=\"1\"} 0",
        "tanagerdeal_endpoint_health{endpoint=\"g1-0\",group=\"g1\",state=\"usable\"} 1",
        "tanagerdeal_endpoint_health{endpoint=\"g1-0\",group=\"g1\",state=\"probing\"} 0",
        "tanagerdeal_endpoint_service_seconds{endpoint=\"g1-0\",group=\"g1\"} 0.0",
    ] {
        expect_that!(body, contains_substring(line));
    }
    expect_that!(host.log(), contains_substring(r#""event":"pool_host_began""#));
    let is_gone = async || !host.page("/metrics").await.1.contains("tanagerdeal_endpoint_limit{");
    until("the values are gone", is_gone).await;
    expect_that!(host.log(), contains_substring(r#""event":"pool_host_ended""#));
    let (_, body) = site.hosts[0].page("/metrics").await;
    expect_that!(body, not(contains_substring("tanagerdeal_pool_host{")));
}

/// Guards against statements that wait for a reader of the log: with a reader that takes nothing,
/// far more lines than any pipe holds are logged while statements are answered as usual.
#[tokio::test]
async fn a_log_that_nobody_reads_delays_no_statement() {
    let mut site = SiteDeployment::start(1).await;
    site.hosts[0].restart_unread();
    site.hosts[0].wait_ready().await;
    let end = Instant::now() + Duration::from_secs(4);
    let mut slowest = Duration::ZERO;
    let mut refused = 0;
    let mut client = site.session(0, "current").await;
    while Instant::now() < end {
        // Each refusal is a line of some 300 bytes, up to 150 a second.
        let began_at = Instant::now();
        let reply = client.query("COMMIT").await;
        slowest = slowest.max(began_at.elapsed());
        refused += usize::from(reply.failure.is_some());
    }
    until_done(&mut client, "READ item").await;
    assert_that!(refused, ge(1_000));
    assert_that!(slowest, lt(Duration::from_millis(400)));
}
