//! Deployments of stand-ins as child processes.

use std::time::Duration;

use googletest::prelude::*;
use serde_json::{Value, json};
use tanagerdeal_testbed::deployment::{Deployment, DeploymentPlan, wait_until};
use tanagerdeal_testbed::platform::PlatformState;
use tanagerdeal_wire::member::MemberRole;
use tanagerdeal_wire::record::{Record, split_record_key};

async fn small(relayed: bool) -> Deployment {
    let plan = DeploymentPlan { relayed, ..DeploymentPlan::small() };
    Deployment::start(plan).await.expect("a deployment")
}

/// Guards against records that no host could read, which would look like a fault of the hosts.
#[gtest]
#[tokio::test]
async fn records_of_a_deployment_can_be_decoded() {
    let deployment = small(false).await;
    let operator = deployment.operator().expect("a client");
    let page = operator.scan("records/").await.expect("the records");
    expect_that!(page.entries.len(), eq(8 + 8 + 3 + 3 + 3 + 1 + 1));
    for entry in &page.entries {
        let (kind, _) = split_record_key(&entry.key).expect("a record's key");
        let value = entry.value.as_ref().expect("a value");
        expect_that!(Record::decode(kind, value).is_ok(), eq(true), "{}", entry.key);
    }
}

/// Guards against a kill, pause or continuation that hits another process than the named one.
#[gtest]
#[tokio::test]
async fn processes_are_killed_and_paused_by_name() {
    let mut deployment = small(false).await;
    let primary = deployment.primary_of("orders-1").await;
    expect_that!(primary, some(eq("orders-1-a")));
    deployment.pause("orders-1-b").expect("a running process");
    let paused = deployment.member("orders-1-b").expect("a member").status();
    let answer = tokio::time::timeout(Duration::from_millis(300), paused).await;
    expect_that!(answer.is_err(), eq(true));
    deployment.resume("orders-1-b").expect("a stopped process");
    let resumed = deployment.member("orders-1-b").expect("a member").status().await;
    expect_that!(resumed.expect("a status").role, eq(MemberRole::Replica));
    deployment.kill("orders-1-a").await.expect("a running process");
    expect_that!(deployment.primary_of("orders-1").await, none());
    expect_that!(deployment.pause("orders-1-a").is_err(), eq(true));
    expect_that!(deployment.pause("orders-9-a").is_err(), eq(true));
}

/// Guards against a partition between failure domains that replication does not notice.
#[gtest]
#[tokio::test]
async fn replication_stops_at_a_cut_link() {
    let deployment = small(true).await;
    deployment.cut("akl-a", "ham-c", true).await.expect("relayed links");
    let client = deployment.connect_member("orders-1-a").await.expect("a connection");
    client.batch_execute("INSERT INTO items VALUES ('bolt', 1, 'w')").await.expect("a row");
    let primary = deployment.member("orders-1-a").expect("a member");
    let position = primary.status().await.expect("a status").applied;
    let reached =
        async |name: &str| Ok(deployment.member(name)?.status().await?.applied == position);
    wait_until("akl-b has the row", async || reached("orders-1-b").await).await.expect("in time");
    expect_that!(reached("orders-1-c").await.expect("a status"), eq(false));
    deployment.cut("akl-a", "ham-c", false).await.expect("relayed links");
    wait_until("ham-c has the row", async || reached("orders-1-c").await).await.expect("in time");
}

/// Guards against an operator's call that goes through faults meant for hosts, or leaves no count.
#[gtest]
#[tokio::test]
async fn operators_reach_the_platform_past_the_relay() {
    let deployment = small(true).await;
    let operator = deployment.operator().expect("a client");
    let faults = json!({"refuse_hosts": ["akl-a-1"]});
    let merged: Value = deployment.platform().post("/control/faults", &faults).await.expect("set");
    expect_that!(merged["refuse_hosts"], eq(&json!(["akl-a-1"])));
    expect_that!(operator.read("records/domain/akl-a").await.expect("an answer"), some(anything()));
    let state: PlatformState = deployment.platform().get("/control/state").await.expect("a state");
    let counts = state.callers.get("operator").expect("calls of the operator");
    expect_that!((counts.reads, counts.writes), eq((1, 1)));
}
