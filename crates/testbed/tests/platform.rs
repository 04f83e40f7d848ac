//! The stand-in of the platform: transactions, change feed, host list and faults.

use std::collections::BTreeSet;

use googletest::prelude::*;
use reqwest::{Client, Response, StatusCode};
use serde_json::{Value, json};
use tanagerdeal_testbed::platform;

/// A client of one stand-in.
struct PlatformClient {
    http: Client,
    base: String,
}

impl PlatformClient {
    async fn start() -> Self {
        let address = platform::start("127.0.0.1:0").await.expect("a free port");
        Self { http: Client::new(), base: format!("http://{address}") }
    }

    async fn post(&self, path: &str, body: Value) -> reqwest::Result<Response> {
        let request = self.http.post(format!("{}{path}", self.base));
        request.header("x-host", "h1").header("x-domain", "akl-a").json(&body).send().await
    }

    async fn get(&self, path: &str) -> Response {
        let request = self.http.get(format!("{}{path}", self.base));
        let request = request.header("x-host", "h1").header("x-domain", "akl-a");
        request.send().await.expect("an answer")
    }

    async fn json(&self, path: &str) -> Value {
        self.get(path).await.json().await.expect("JSON")
    }

    async fn write(&self, key: &str, revision: u64, value: Value) -> StatusCode {
        let body = json!({
            "checks": [{"key": key, "revision": revision}],
            "writes": [{"key": key, "value": value}],
        });
        self.post("/v1/tables/txn", body).await.expect("an answer").status()
    }
}

/// Guards against a store that lets the later of two racing operators overwrite the earlier.
#[gtest]
#[tokio::test]
async fn transaction_with_an_old_revision_is_refused() {
    let client = PlatformClient::start().await;
    expect_that!(client.write("records/a/x", 0, json!({"n": 1})).await, eq(StatusCode::OK));
    expect_that!(client.write("records/a/x", 0, json!({"n": 2})).await, eq(StatusCode::CONFLICT));
    expect_that!(client.write("records/a/x", 1, json!({"n": 3})).await, eq(StatusCode::OK));
    let page = client.json("/v1/tables/read?key=records/a/x").await;
    expect_that!(page["entries"][0]["value"]["n"], eq(&json!(3)));
    expect_that!(page["revision"], eq(&json!(2)));
}

/// Guards against a change feed that hides deletions or cuts a transaction in two.
#[gtest]
#[tokio::test]
async fn change_feed_shows_deletions_and_whole_transactions() {
    let client = PlatformClient::start().await;
    client.write("records/a/x", 0, json!(1)).await;
    let both = json!({"checks": [], "writes": [
        {"key": "records/a/x", "value": null}, {"key": "records/a/y", "value": 2},
    ]});
    client.post("/v1/tables/txn", both).await.expect("an answer");
    client.write("other", 0, json!(3)).await;
    let page = client.json("/v1/tables/changes?after=0&prefix=records/&limit=1").await;
    expect_that!(page["entries"].as_array().map(Vec::len), some(eq(2)));
    expect_that!(page["entries"][0]["value"], eq(&Value::Null));
    expect_that!(page["revision"], eq(&json!(2)));
    let page = client.json("/v1/tables/changes?after=2&prefix=records/&limit=10").await;
    expect_that!(page, eq(&json!({"revision": 3, "entries": []})));
}

/// Guards against a lost answer that also loses the write, which would hide retries that run twice.
#[gtest]
#[tokio::test]
async fn lost_answer_leaves_the_write_in_effect() {
    let client = PlatformClient::start().await;
    client.post("/control/faults", json!({"lose_writes": 1})).await.expect("an answer");
    let body = json!({"checks": [], "writes": [{"key": "k", "value": 1}]});
    let reply = match client.post("/v1/tables/txn", body).await {
        Ok(response) => response.json::<Value>().await,
        Err(error) => Err(error),
    };
    expect_that!(reply.is_err(), eq(true));
    let page = client.json("/v1/tables/read?key=k").await;
    expect_that!(page["entries"][0]["value"], eq(&json!(1)));
    expect_that!(client.write("k", 1, json!(2)).await, eq(StatusCode::OK));
}

/// Guards against an outage of one failure domain that reaches others, or that is not counted.
#[gtest]
#[tokio::test]
async fn refusals_follow_the_failure_domain_and_are_counted() {
    let client = PlatformClient::start().await;
    let faults = json!({"refuse_domains": ["akl-a"]});
    client.post("/control/faults", faults).await.expect("an answer");
    let refused = client.get("/v1/tables/scan?prefix=").await.status();
    expect_that!(refused, eq(StatusCode::SERVICE_UNAVAILABLE));
    let faults = json!({"refuse_domains": ["akl-b"]});
    client.post("/control/faults", faults).await.expect("an answer");
    expect_that!(client.get("/v1/tables/scan?prefix=").await.status(), eq(StatusCode::OK));
    let counts = &client.json("/control/state").await["callers"]["h1"];
    expect_that!(counts["refused"], eq(&json!(1)));
    expect_that!(counts["reads"], eq(&json!(1)));
}

/// Guards against a host list without lag, which would hide faults of hosts that trust it.
#[gtest]
#[tokio::test]
async fn host_list_lags_and_forgets_silent_hosts() {
    let client = PlatformClient::start().await;
    let faults = json!({"host_lag_ms": 300, "host_expiry_ms": 600});
    client.post("/control/faults", faults).await.expect("an answer");
    let entry = json!({
        "host": "h1", "domain": "akl-a", "incarnation": 1, "peer_address": "127.0.0.1:1",
        "admin_address": "127.0.0.1:2", "phase": "live",
    });
    let url = format!("{}/v1/hosts/h1", client.base);
    client.http.put(url).json(&entry).send().await.expect("an answer");
    expect_that!(client.json("/v1/hosts").await["hosts"], eq(&json!([])));
    wait_for_hosts(&client, 1).await;
    wait_for_hosts(&client, 0).await;
}

async fn wait_for_hosts(client: &PlatformClient, count: usize) {
    let deadline = tokio::time::Instant::now() + std::time::Duration::from_secs(20);
    while client.json("/v1/hosts").await["hosts"].as_array().map(Vec::len) != Some(count) {
        assert!(tokio::time::Instant::now() < deadline, "the list never had {count} hosts");
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
}

/// Guards against a first read of the feed that grows with every change ever made, or that lacks keys
/// written or deleted while its parts are read.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn first_read_brings_only_what_hosts_need() {
    let client = PlatformClient::start().await;
    let mut pending = Vec::new();
    for number in 0..1_100 {
        let keys = ["records/a/", "changes/", "audit/"].map(|prefix| format!("{prefix}{number}"));
        let writes = keys.map(|key| json!({"key": key, "value": {}}));
        pending.extend(writes);
    }
    // Few large transactions, because the stand-in accepts some hundred a second.
    for writes in pending.chunks(1_650) {
        let body = json!({"checks": [], "writes": writes});
        let status = client.post("/v1/tables/txn", body).await.expect("an answer").status();
        assert_eq!(status, StatusCode::OK);
    }
    let address = client.base.trim_start_matches("http://").to_owned();
    let timeout = std::time::Duration::from_secs(10);
    let reader =
        tanagerdeal_platform::PlatformClient::new(&address, "h1", "akl-a", timeout, None).unwrap();
    let writer = tokio::spawn(async move {
        for number in 0..300 {
            let status = client.write(&format!("leases/h{number}"), 0, json!({"n": number})).await;
            assert_eq!(status, StatusCode::OK);
        }
    });
    let mut earliest = 2;
    while !writer.is_finished() {
        let page = reader.changes(0).await.unwrap();
        assert!(page.revision >= earliest, "revision {} after {earliest}", page.revision);
        earliest = page.revision;
        // Each lease was one transaction, so the revision tells how many the page must hold.
        let revisions: BTreeSet<u64> = page.entries.iter().map(|entry| entry.revision).collect();
        let leases = (3..=page.revision).filter(|revision| !revisions.contains(revision));
        assert_eq!(leases.count(), 0, "leases missing up to revision {}", page.revision);
        let is_needed = |key: &str| key.starts_with("records/") || key.starts_with("leases/");
        assert!(page.entries.iter().all(|entry| is_needed(&entry.key)));
        assert!(page.entries.len() >= 1_100);
        // Keeps the reads within the stand-in's budget.
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    writer.await.unwrap();
    let page = reader.changes(2).await.unwrap();
    expect_that!((page.revision, page.entries.len()), eq((302, 300)));
}
