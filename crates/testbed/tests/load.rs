//! Runs of the load generator against whole deployments, judged by the checker.

use std::time::Duration;

use googletest::prelude::*;
use tanagerdeal_testbed::check::{RunFiles, check_run};
use tanagerdeal_testbed::deployment::{Deployment, DeploymentPlan, RunObserver};
use tanagerdeal_testbed::history::{Observation, read_lines};
use tanagerdeal_testbed::load::{LoadPlan, LoadReport, run_load};

/// A run with its report.
struct FinishedRun {
    files: RunFiles,
    report: LoadReport,
}

async fn start(plan: DeploymentPlan) -> (Deployment, RunObserver) {
    let mut deployment = Deployment::start(plan).await.expect("a deployment");
    deployment.start_hosts().await.expect("hosts");
    let observer = deployment.observe();
    (deployment, observer)
}

async fn finish(deployment: &Deployment, observer: RunObserver) -> FinishedRun {
    let files = RunFiles {
        history: read_lines(&deployment.directory().join("history.jsonl")).expect("the history"),
        executions: deployment.executions().expect("the executions"),
        operators: Vec::new(),
        observations: observer.finish(deployment).await.expect("a settled deployment"),
    };
    let report = LoadReport::new(&files.history, &files.executions);
    println!("{report}");
    FinishedRun { files, report }
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
    let plan = DeploymentPlan { relayed: true, ..DeploymentPlan::small() };
    let (deployment, observer) = start(plan).await;
    let load = LoadPlan::for_deployment(&deployment, 50, 5_000);
    run_load(load, &deployment.directory().join("history.jsonl")).await.expect("a run");
    let run = finish(&deployment, observer).await;
    expect_that!(check_run(&run.files), eq(&Vec::new()));
    expect_that!(run.report.total.requests, gt(300));
    expect_that!(answered(&run.report), ge(980));
    let searched = run.files.observations.iter();
    let searched = searched.filter(|line| matches!(line, Observation::Searched(_)));
    expect_that!(searched.count(), eq(3));
}

/// Guards against a failover that loses, repeats or hides acknowledged writes.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_primary_breaks_no_guarantee() {
    let (mut deployment, observer) = start(DeploymentPlan::small()).await;
    let load = LoadPlan::for_deployment(&deployment, 50, 10_000);
    let history = deployment.directory().join("history.jsonl");
    let running = tokio::spawn(async move { run_load(load, &history).await });
    // The run begins after the customers' items have aged; the kill falls into its middle.
    tokio::time::sleep(Duration::from_secs(7)).await;
    deployment.kill("orders-1-a").await.expect("a running primary");
    running.await.expect("a task").expect("a run");
    let run = finish(&deployment, observer).await;
    expect_that!(check_run(&run.files), eq(&Vec::new()));
    let gap = run.report.longest_write_gap_us.get("orders-1").copied();
    expect_that!(gap, some(lt(9_000_000)));
}
