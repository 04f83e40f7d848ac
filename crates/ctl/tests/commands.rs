//! Runs of the tool against the platform's stand-in.

use std::net::SocketAddr;
use std::process::{Command, Output, Stdio};

use axum::routing::get;
use axum::{Json, Router};
use googletest::prelude::*;
use serde_json::{Value, json};
use tanagerdeal_wire::platform::{HostEntry, HostPhase};
use tanagerdeal_wire::{DomainName, HostName};
use tokio::net::TcpListener;

/// A platform, and one host that reports every revision as in effect.
struct TestFleet {
    platform: SocketAddr,
}

impl TestFleet {
    async fn start() -> Self {
        let platform = tanagerdeal_testbed::platform::start("127.0.0.1:0").await.unwrap();
        let fleet = Self { platform };
        fleet.control(json!({"host_lag_ms": 0, "host_expiry_ms": 600_000})).await;
        fleet.add_host().await;
        fleet
    }

    async fn control(&self, faults: Value) {
        let url = format!("http://{}/control/faults", self.platform);
        let response = reqwest::Client::new().post(url).json(&faults).send().await.unwrap();
        assert!(response.status().is_success());
    }

    async fn add_host(&self) {
        let report = json!({"host": "h1", "domain": "d1", "revision": 1_000_000, "groups": []});
        let router = Router::new().route("/status", get(move || async { Json(report) }));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let entry = HostEntry {
            host: HostName::new("h1").unwrap(),
            domain: DomainName::new("d1").unwrap(),
            incarnation: 1,
            peer_address: "127.0.0.1:1".to_owned(),
            admin_address: listener.local_addr().unwrap().to_string(),
            phase: HostPhase::Live,
        };
        tokio::spawn(async move { axum::serve(listener, router).await });
        let url = format!("http://{}/v1/hosts/h1", self.platform);
        reqwest::Client::new().put(url).json(&entry).send().await.unwrap();
    }

    async fn run(&self, arguments: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_tanagerctl"));
        command.args(["--json", "--actor", "ann", "--platform", &self.platform.to_string()]);
        command.args(arguments);
        tokio::task::spawn_blocking(move || command.output().unwrap()).await.unwrap()
    }

    async fn run_ok(&self, arguments: &[&str]) -> Value {
        let output = self.run(arguments).await;
        assert!(output.status.success(), "{arguments:?}: {output:?}");
        serde_json::from_slice(&output.stdout).unwrap_or(Value::Null)
    }
}

/// Guards against a lost update: of two changes from the same revision only one is accepted.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_change_from_an_old_revision_is_a_conflict() {
    let fleet = TestFleet::start().await;
    let put = ["put", "customer", "quarry", "rate_per_s=10", "burst=20"];
    let first = fleet.run_ok(&put).await;
    let expected = first["revision"].to_string();
    let expect = ["--expect", expected.as_str()];
    let change = [&["put", "customer", "quarry", "rate_per_s=11"], &expect[..]].concat();
    fleet.run_ok(&change).await;
    let second = fleet.run(&change).await;
    expect_that!(second.status.code(), some(eq(4)));
    let audit = fleet.run(&["audit"]).await;
    let text = String::from_utf8(audit.stdout).unwrap();
    expect_that!(text.lines().count(), eq(3));
    expect_that!(text, contains_substring("conflict: found revision"));
}

/// Guards against a change made twice after its response was lost.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_response_is_recognised_by_the_change_id() {
    let fleet = TestFleet::start().await;
    fleet.control(json!({"lose_writes": 1})).await;
    let put = ["put", "customer", "quarry", "rate_per_s=10", "burst=20", "--change-id", "c1"];
    let outcome = fleet.run_ok(&put).await;
    expect_that!(outcome["outcome"], eq(&json!("accepted earlier")));
    let history = fleet.run(&["history", "customer", "quarry"]).await;
    expect_that!(String::from_utf8(history.stdout).unwrap().lines().count(), eq(1));
}

/// Guards against an older tool that drops the fields of a newer schema.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn fields_that_are_not_given_are_kept() {
    let fleet = TestFleet::start().await;
    let first = ["put", "customer", "quarry", "schema=2", "rate_per_s=10", "burst=20", "worth=7"];
    fleet.run_ok(&[&first[..], &["colour=red"]].concat()).await;
    fleet.run_ok(&["put", "customer", "quarry", "schema=1", "rate_per_s=12"]).await;
    let record = fleet.run_ok(&["get", "customer", "quarry"]).await;
    let value = json!({
        "schema": 2, "rate_per_s": 12, "burst": 20, "worth": 7, "colour": "red"
    });
    expect_that!(record["value"], eq(&value));
}

/// Guards against a record that no host could decode, and against a secret in the store.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn records_are_checked_and_secrets_are_not_stored() {
    let fleet = TestFleet::start().await;
    let invalid = fleet.run(&["put", "customer", "quarry", "rate_per_s=fast", "burst=1"]).await;
    expect_that!(invalid.status.code(), some(eq(2)));
    let created = fleet.run(&["key", "quarry", "k1"]).await;
    let text = String::from_utf8(created.stdout).unwrap();
    let line: Value = serde_json::from_str(text.lines().last().unwrap()).unwrap();
    let secret = line["key"].as_str().unwrap().rsplit_once('.').unwrap().1.to_owned();
    let scan = format!("http://{}/v1/tables/scan?prefix=", fleet.platform);
    let stored = reqwest::get(scan).await.unwrap().text().await.unwrap();
    expect_that!(stored, contains_substring("records/key/k1"));
    expect_that!(stored, not(contains_substring(secret)));
}

/// Guards against a change that is called accepted although no host has it in effect.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_change_that_no_host_has_is_not_accepted() {
    let fleet = TestFleet::start().await;
    let http = reqwest::Client::new();
    let entry = json!({
        "host": "h1", "domain": "d1", "incarnation": 1, "peer_address": "127.0.0.1:1",
        "admin_address": "127.0.0.1:1", "phase": "live"
    });
    http.put(format!("http://{}/v1/hosts/h1", fleet.platform)).json(&entry).send().await.unwrap();
    let put = ["--wait-ms", "500", "put", "domain", "d1", "state=out"];
    expect_that!(fleet.run(&put).await.status.code(), some(eq(3)));
}

/// Guards against a panic when the reader of a long output has closed the pipe.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_closed_pipe_ends_the_tool_quietly() {
    let fleet = TestFleet::start().await;
    fleet.run_ok(&["put", "customer", "quarry", "rate_per_s=10", "burst=20"]).await;
    let platform = fleet.platform.to_string();
    let ended = tokio::task::spawn_blocking(move || {
        let mut command = Command::new(env!("CARGO_BIN_EXE_tanagerctl"));
        command.args(["--platform", &platform, "list", "customer"]);
        let mut child = command.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().unwrap();
        drop(child.stdout.take());
        child.wait_with_output().unwrap()
    });
    let output = ended.await.unwrap();
    expect_that!(output.status.code(), some(eq(0)));
    expect_that!(output.stderr, is_empty());
}

/// Guards against a failed request whose cause cannot be found from its id.
#[gtest]
fn a_story_shows_the_request_and_what_changed_around_it() {
    let directory = tempfile::TempDir::new().unwrap();
    let write = |name: &str, text: &str| {
        let file = directory.path().join(name);
        std::fs::write(&file, text).unwrap();
        file
    };
    let first = write(
        "h1.log",
        "{\"at_ms\":1000,\"part\":\"request\",\"event\":\"refused\",\"request\":\"r1\",\"group\":\"g1\"}\n\
         {\"at_ms\":1100,\"part\":\"store\",\"event\":\"lost\"}\n\
         {\"at_ms\":1001,\"part\":\"request\",\"event\":\"refused\",\"request\":\"r2\",\"group\":\"g1\"}\n",
    );
    let second = write(
        "h2.log",
        "{\"at_ms\":900,\"part\":\"takeover\",\"event\":\"began\",\"group\":\"g1\"}\n\
         {\"at_ms\":900,\"part\":\"takeover\",\"event\":\"began\",\"group\":\"g2\"}\n\
         {\"at_ms\":9000,\"part\":\"takeover\",\"event\":\"done\",\"group\":\"g1\"}\n",
    );
    let output = Command::new(env!("CARGO_BIN_EXE_tanagerctl"))
        .args(["story", "--request", "r1"])
        .args([&first, &second])
        .output()
        .unwrap();
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let events: Vec<&str> = text
        .lines()
        .filter_map(|line| line.split_once("\"event\":\""))
        .map(|part| part.1)
        .collect();
    expect_that!(
        events,
        elements_are![starts_with("began"), starts_with("refused"), starts_with("lost")]
    );
}
