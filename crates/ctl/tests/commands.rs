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

/// Key in the configurations below, which no output may hold.
const SECRET: &str = "sesame-4711";

/// A directory with configuration files.
struct ConfigFiles {
    directory: tempfile::TempDir,
}

impl ConfigFiles {
    fn new() -> Self {
        Self { directory: tempfile::TempDir::new().unwrap() }
    }

    fn write(&self, name: &str, config: &Value) -> String {
        let file = self.directory.path().join(name);
        std::fs::write(&file, config.to_string()).unwrap();
        file.display().to_string()
    }
}

/// A configuration without findings.
fn sound_config(version: u64) -> Value {
    json!({
        "version": version,
        "routes": [{ "host": "orders", "service": "g1", "kind": "bounded_staleness",
                     "timeoutMs": 2000, "targetLatencyMs": 400, "maxStalenessMs": 1500 }],
        "services": [{ "name": "g1", "connectionLimit": 20 }],
        "limits": { "headerTimeoutMs": 3000, "transactionIdleMs": 5000 },
        "tenants": [{ "name": "quarry", "apiKeys": [SECRET], "ratePerS": 10, "burstSize": 20 }],
    })
}

/// Exit status, output and messages of a check; none of them holds the key.
fn check(arguments: &[&str]) -> (i32, String, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_tanagerctl"));
    let output = command.arg("check-config").args(arguments).output().unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    let (lines, messages) = (text(output.stdout), text(output.stderr));
    expect_that!(lines, not(contains_substring(SECRET)));
    expect_that!(messages, not(contains_substring(SECRET)));
    (output.status.code().unwrap(), lines, messages)
}

/// Guards against an exit status that a script cannot rely on.
#[gtest]
fn the_check_exits_by_severity() {
    let files = ConfigFiles::new();
    let sound = files.write("sound.json", &sound_config(7));
    expect_that!(check(&[&sound]), eq(&(0, String::new(), String::new())));
    let mut config = sound_config(7);
    config["routes"][0]["targetLatencyMs"] = json!(2500);
    let warned = files.write("warned.json", &config);
    let (status, lines, _) = check(&[&warned]);
    expect_that!((status, lines.lines().count()), eq((0, 1)));
    let (status, _, messages) = check(&["--strict", &warned]);
    expect_that!((status, messages.as_str()), (eq(1), contains_substring("0 errors, 1 warnings")));
    config["routes"][0]["timeoutMs"] = json!(0);
    let wrong = files.write("wrong.json", &config);
    expect_that!(check(&[&wrong]).0, eq(1));
}

/// Guards against a check that passes what it could not read.
#[gtest]
fn unreadable_files_and_stores_have_a_status_of_their_own() {
    let files = ConfigFiles::new();
    let sound = files.write("sound.json", &sound_config(7));
    let unversioned = files.write("unversioned.json", &json!({ "routes": [] }));
    let misplaced = files.write("misplaced.json", &json!({ "version": 7, "tenants": SECRET }));
    let missing = files.directory.path().join("missing.json").display().to_string();
    for arguments in [
        vec![missing.as_str()],
        vec![unversioned.as_str()],
        vec![misplaced.as_str()],
        vec![sound.as_str(), "--against", unversioned.as_str()],
        vec![sound.as_str(), "--store", "127.0.0.1:1"],
        vec![sound.as_str(), "--store", "127.0.0.1:1", "--against", sound.as_str()],
    ] {
        expect_that!(check(&arguments).0, eq(2), "{arguments:?}");
    }
}

/// Guards against entries that hosts drop without a word, and against a key of the wrong form that
/// is printed.
#[gtest]
fn entries_that_cannot_be_read_are_errors() {
    let files = ConfigFiles::new();
    let mut config = sound_config(7);
    config["tenants"][0]["apiKeys"] = json!(SECRET);
    config["tenants"][0]["ratePerS"] = json!("fast");
    config["routes"][0]["priority"] = json!(256);
    config["routes"][0]["maxStalenessMs"] = json!(-5);
    config["routes"][0]["timoutMs"] = json!(9);
    let (status, lines, _) = check(&[&files.write("config.json", &config)]);
    expect_that!(status, eq(1));
    expect_that!(lines, contains_substring("error: customer \"quarry\": "));
    expect_that!(lines, contains_substring("apiKeys = (hidden); ratePerS = \"fast\""));
    expect_that!(lines, contains_substring("maxStalenessMs = -5; priority = 256"));
    expect_that!(lines, contains_substring("a whole number from 0 to 255"));
    expect_that!(lines, contains_substring("warning: route \"orders\": a field is not known"));
}

/// Guards against an age bound that an operator takes for one in effect.
#[gtest]
fn an_age_bound_that_is_ignored_is_warned_of() {
    let files = ConfigFiles::new();
    let mut config = sound_config(7);
    config["routes"][0]["kind"] = json!("primary");
    let (status, lines, _) = check(&[&files.write("config.json", &config)]);
    expect_that!((status, lines.lines().count()), eq((0, 1)));
    expect_that!(lines, contains_substring("ignores the age bound: 1500 ms"));
}

/// Guards against JSON that a script cannot read, and against withdrawn keys that are not told.
#[gtest]
fn differences_to_a_file_are_printed_as_json() {
    let files = ConfigFiles::new();
    let former = files.write("former.json", &sound_config(7));
    let mut config = sound_config(8);
    config["tenants"][0]["apiKeys"] = json!(["other"]);
    config["services"][0]["connectionLimit"] = json!(30);
    let changed = files.write("changed.json", &config);
    let (status, lines, _) = check(&["--json", &changed, "--against", &former]);
    expect_that!(status, eq(0));
    let report: Value = serde_json::from_str(&lines).unwrap();
    let finding = |rule: &str| {
        let findings = report["findings"].as_array().unwrap();
        findings.iter().find(|finding| finding["rule"] == rule).unwrap().clone()
    };
    expect_that!(report["version"], eq(&json!(8)));
    let withdrawn = finding("keys-withdrawn");
    expect_that!(withdrawn["severity"], eq(&json!("difference")));
    expect_that!(withdrawn["name"], eq(&json!("quarry")));
    expect_that!(withdrawn["stops_clients"], eq(&json!(true)));
    let connections = finding("connections");
    expect_that!(connections["value"], eq(&json!("30 connections")));
    expect_that!(connections["former"], eq(&json!("20 connections")));
    expect_that!(lines, not(contains_substring("\"other\"")));
    expect_that!(check(&[&former, "--against", &changed]).0, eq(1));
}

/// Guards against a comparison with another row than the one in force, and against a check that
/// writes.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn the_version_in_force_is_read_from_the_store() {
    let store = tanagerdeal_standin::StandinStore::start().await.unwrap();
    let address = store.address().to_string();
    let files = ConfigFiles::new();
    let sound = files.write("sound.json", &sound_config(8));
    let arguments = [sound.as_str(), "--store", address.as_str()];
    let (status, lines, messages) = tokio::task::block_in_place(|| check(&arguments));
    expect_that!((status, lines.as_str()), eq((0, "")));
    expect_that!(messages, contains_substring("holds no configuration"));
    expect_that!(store.row("op", "config"), none());
    store.put("op", "config", &sound_config(7));
    store.put("op", "config2", &sound_config(99));
    let (status, lines, _) = tokio::task::block_in_place(|| check(&arguments));
    expect_that!(status, eq(0));
    expect_that!(lines, eq("difference: configuration: version: 8, before: 7\n"));
    expect_that!(store.row("op", "config"), some(eq(&sound_config(7))));
}

/// Serves a metrics page, and returns its address.
async fn serve_metrics(text: &'static str) -> String {
    let router = Router::new().route("/metrics", get(move || async move { text }));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move { axum::serve(listener, router).await });
    address
}

/// Metrics of a pool host whose endpoint fails, and of one whose statements are not queued.
const POOL_METRICS: &str = "# TYPE tanagerdeal_pool_host gauge\n\
    tanagerdeal_sessions 4\n\
    tanagerdeal_pool_host{endpoint=\"e1\",group=\"g1\"} 1\n\
    tanagerdeal_pool_host{endpoint=\"e2\",group=\"g1\"} 1\n\
    tanagerdeal_endpoint_limit{endpoint=\"e1\",group=\"g1\"} 3\n\
    tanagerdeal_endpoint_running{endpoint=\"e1\",group=\"g1\"} 2\n\
    tanagerdeal_endpoint_waiting{endpoint=\"e1\",group=\"g1\",priority=\"0\"} 1\n\
    tanagerdeal_endpoint_waiting{endpoint=\"e1\",group=\"g1\",priority=\"2\"} 5\n\
    tanagerdeal_endpoint_service_seconds{endpoint=\"e1\",group=\"g1\"} 0.0215\n\
    tanagerdeal_endpoint_health{endpoint=\"e1\",group=\"g1\",state=\"usable\"} 0\n\
    tanagerdeal_endpoint_health{endpoint=\"e1\",group=\"g1\",state=\"failing\"} 1\n";

/// Guards against a load or a health that is shown for the wrong endpoint, and against one host
/// that does not answer hiding the endpoints of the others.
#[gtest]
#[tokio::test]
async fn endpoints_are_shown_as_their_pool_hosts_see_them() {
    let address = serve_metrics(POOL_METRICS).await;
    let run = async |arguments: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_tanagerctl"));
        command.args(arguments);
        tokio::task::spawn_blocking(move || command.output().unwrap()).await.unwrap()
    };
    let output = run(&["--json", "endpoints", "--admin", &address]).await;
    let report: Value = serde_json::from_slice(&output.stdout).unwrap();
    let expected = json!([
        { "endpoint": "e1", "group": "g1", "pool_host": address, "limit": 3, "running": 2,
          "waiting": { "0": 1, "2": 5 }, "service_us": 21500, "health": "failing" },
        { "endpoint": "e2", "group": "g1", "pool_host": address, "limit": null, "running": null,
          "waiting": {}, "service_us": null, "health": null },
    ]);
    expect_that!(report["endpoints"], eq(&expected));
    let both = format!("{address},127.0.0.1:1");
    let output = run(&["endpoints", "--admin", &both]).await;
    let text = String::from_utf8(output.stdout).unwrap();
    expect_that!(output.status.code(), some(eq(3)));
    expect_that!(String::from_utf8(output.stderr).unwrap(), contains_substring("127.0.0.1:1"));
    expect_that!(text, contains_substring("0:1 2:5"));
    expect_that!(text, contains_substring("21.5 failing"));
}
