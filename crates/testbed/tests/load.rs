//! Runs of the load generator against whole deployments, judged by the checker.

use std::time::Duration;

use googletest::prelude::*;
use tanagerdeal_testbed::check::{RunFiles, check_run};
use tanagerdeal_testbed::clock::now_us;
use tanagerdeal_testbed::deployment::{
    Deployment, DeploymentPlan, PLATFORM_DOMAIN, RunObserver, wait_until,
};
use tanagerdeal_testbed::history::{Observation, OperatorAction, OperatorEvent, read_lines};
use tanagerdeal_testbed::load::{LoadError, LoadPlan, LoadReport, SurgePlan, run_load};
use tanagerdeal_testbed::relay::RelayState;
use tanagerdeal_wire::platform::{TableWrite, TxnRequest};
use tokio::sync::Mutex;
use tokio::task::JoinHandle;

/// A run with its report.
struct FinishedRun {
    files: RunFiles,
    report: LoadReport,
}

/// Lets one deployment run at a time, so that runs do not take the machine from each other.
static ONE_RUN: Mutex<()> = Mutex::const_new(());

async fn start(plan: DeploymentPlan) -> (Deployment, RunObserver) {
    let mut deployment = Deployment::start(plan).await.expect("a deployment");
    deployment.start_hosts().await.expect("hosts");
    let observer = deployment.observe();
    (deployment, observer)
}

async fn finish(
    deployment: &Deployment,
    observer: RunObserver,
    operators: Vec<OperatorEvent>,
) -> FinishedRun {
    let files = RunFiles {
        history: read_lines(&deployment.directory().join("history.jsonl")).expect("the history"),
        executions: deployment.executions().expect("the executions"),
        operators,
        observations: observer.finish(deployment).await.expect("a settled deployment"),
    };
    let report = LoadReport::new(&files.history, &files.executions);
    println!("{report}");
    FinishedRun { files, report }
}

/// Starts a run of 12 s at half of the customers' rates.
fn start_load(deployment: &Deployment) -> JoinHandle<std::result::Result<(), LoadError>> {
    let load = LoadPlan::for_deployment(deployment, 50, 12_000);
    let history = deployment.directory().join("history.jsonl");
    tokio::spawn(async move { run_load(load, &history).await })
}

/// Waits until the members have executed so many statements, about 140 a second in such a run.
async fn wait_for_work(deployment: &Deployment, statements: usize) {
    wait_until("the members have work", async || Ok(deployment.executions()?.len() >= statements))
        .await
        .expect("in time");
}

/// Share of requests that were answered in time, in thousandths.
fn answered(report: &LoadReport) -> u64 {
    report.total.on_time * 1_000 / report.total.requests.max(1)
}

/// Guards against a run in normal operation that breaks a guarantee, also with links between
/// failure domains that take their time.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn normal_operation_keeps_all_guarantees() {
    let _turn = ONE_RUN.lock().await;
    let plan = DeploymentPlan { relayed: true, ..DeploymentPlan::small() };
    let (deployment, observer) = start(plan).await;
    let load = LoadPlan::for_deployment(&deployment, 50, 5_000);
    run_load(load, &deployment.directory().join("history.jsonl")).await.expect("a run");
    let run = finish(&deployment, observer, Vec::new()).await;
    expect_that!(check_run(&run.files), eq(&Vec::new()));
    expect_that!(run.report.total.requests, gt(300));
    expect_that!(answered(&run.report), ge(980));
    let relay: RelayState = deployment.relay().get("/control/state").await.expect("a state");
    for link in ["akl-a akl-b", "ham-c akl-b", "akl-a platform"] {
        expect_that!(relay.bytes.get(link), some(gt(&0)), "nothing passed from {link}");
    }
    let unknown = |link: &&String| link.starts_with(' ') || link.ends_with(' ');
    expect_that!(relay.bytes.keys().find(unknown), none(), "a caller of an unknown domain");
    let searched = run.files.observations.iter();
    let searched = searched.filter(|line| matches!(line, Observation::Searched(_)));
    expect_that!(searched.count(), eq(3));
}

/// Guards against a failover that loses, repeats or hides acknowledged writes.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_primary_breaks_no_guarantee() {
    let _turn = ONE_RUN.lock().await;
    let (mut deployment, observer) = start(DeploymentPlan::small()).await;
    let running = start_load(&deployment);
    wait_for_work(&deployment, 500).await;
    deployment.kill("orders-1-a").await.expect("a running primary");
    running.await.expect("a task").expect("a run");
    let run = finish(&deployment, observer, Vec::new()).await;
    expect_that!(check_run(&run.files), eq(&Vec::new()));
    let gap = run.report.longest_write_gap_us.get("orders-1").copied();
    expect_that!(gap, some(lt(9_000_000)));
}

/// Guards against a customer that gets more than its rate and burst over all hosts together, or that
/// takes the others' answers away, when it sends five times its rate and most of it to one host.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_surging_customer_stays_within_its_limit() {
    let _turn = ONE_RUN.lock().await;
    let (deployment, observer) = start(DeploymentPlan::small()).await;
    let mut load = LoadPlan::for_deployment(&deployment, 50, 10_000);
    load.skewed_hosts = true;
    load.customers[0].surge = Some(SurgePlan { from_ms: 3_000, to_ms: 9_000, factor: 10 });
    run_load(load, &deployment.directory().join("history.jsonl")).await.expect("a run");
    let run = finish(&deployment, observer, Vec::new()).await;
    expect_that!(check_run(&run.files), eq(&Vec::new()));
    let surging = &run.report.customers["yard-1"];
    let refused = surging.outcomes.get("not_run").copied().unwrap_or(0);
    expect_that!(refused, gt(surging.requests / 4), "the customer was over its rate");
    let steady = &run.report.customers["yard-2"];
    expect_that!(steady.on_time * 100, ge(steady.requests * 90));
}

/// Guards against acknowledgements by a primary that is cut off with the hosts of its failure domain.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_primary_in_the_minority_breaks_no_guarantee() {
    let _turn = ONE_RUN.lock().await;
    let plan = DeploymentPlan { relayed: true, ..DeploymentPlan::small() };
    let (deployment, observer) = start(plan).await;
    let running = start_load(&deployment);
    wait_for_work(&deployment, 500).await;
    for other in ["akl-b", "ham-c", PLATFORM_DOMAIN] {
        deployment.cut("akl-a", other, true).await.expect("relayed links");
    }
    running.await.expect("a task").expect("a run");
    for other in ["akl-b", "ham-c", PLATFORM_DOMAIN] {
        deployment.cut("akl-a", other, false).await.expect("relayed links");
    }
    let run = finish(&deployment, observer, Vec::new()).await;
    expect_that!(check_run(&run.files), eq(&Vec::new()));
    let terms = run.files.observations.iter();
    let terms = terms.filter(|line| matches!(line, Observation::Promoted(_)));
    expect_that!(terms.count(), ge(2), "the majority has elected another primary");
}

/// Guards against a withdrawn key, an absent failure domain and a shutdown that take effect late or
/// break requests off.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn operators_changes_take_effect() {
    let _turn = ONE_RUN.lock().await;
    let (mut deployment, observer) = start(DeploymentPlan::small()).await;
    let running = start_load(&deployment);
    wait_for_work(&deployment, 200).await;
    let key = deployment.key_name("yard-2");
    let mut operators =
        vec![change(&deployment, OperatorAction::WithdrawKey, &format!("key/{key}"), None).await];
    let state = serde_json::json!({"schema": 1, "state": "out"});
    let out = change(&deployment, OperatorAction::DomainOut, "domain/ham-c", Some(state));
    operators.push(out.await);
    wait_for_work(&deployment, 700).await;
    let event = |name: &str| OperatorEvent {
        at_us: now_us(),
        action: OperatorAction::ShutDownHost,
        name: name.to_owned(),
        revision: 0,
    };
    operators.push(event("akl-b-1"));
    deployment.terminate("akl-b-1").expect("a running host");
    running.await.expect("a task").expect("a run");
    let code = deployment.wait_host("akl-b-1", Duration::from_secs(60)).await;
    expect_that!(code.expect("an end"), some(eq(0)));
    let run = finish(&deployment, observer, operators).await;
    expect_that!(check_run(&run.files), eq(&Vec::new()));
}

/// Writes a record as operators do, and waits until a host has it in effect.
async fn change(
    deployment: &Deployment,
    action: OperatorAction,
    record: &str,
    value: Option<serde_json::Value>,
) -> OperatorEvent {
    let operator = deployment.operator().expect("a client");
    let key = format!("records/{record}");
    let txn = TxnRequest { checks: Vec::new(), writes: vec![TableWrite { key, value }] };
    let revision = operator.transact(&txn).await.expect("a stored change");
    wait_until("a host has the change", async || {
        for host in deployment.hosts() {
            let status: serde_json::Value = host.admin.get("/status").await?;
            if status["revision"].as_u64() >= Some(revision) {
                return Ok(true);
            }
        }
        Ok(false)
    })
    .await
    .expect("in time");
    let name = record.split_once('/').map_or(record, |(_, name)| name).to_owned();
    OperatorEvent { at_us: now_us(), action, name, revision }
}
