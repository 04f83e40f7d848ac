//! Runs of the load generator and their checks.

use googletest::prelude::*;
use tanagerdeal_testbed::check::{RunFiles, check_run};
use tanagerdeal_testbed::deployment::{Deployment, DeploymentPlan};
use tanagerdeal_testbed::history::{HistoryLine, OutcomeVerdict, read_lines};
use tanagerdeal_testbed::load::{LoadPlan, LoadReport, run_load};

/// Guards against a run through the proxies in normal operation that breaks a guarantee.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn normal_operation_keeps_all_guarantees() {
    let mut deployment = Deployment::start(DeploymentPlan::small()).await.expect("a deployment");
    deployment.start_hosts().await.expect("hosts");
    let plan = LoadPlan::for_deployment(&deployment, 50, 5_000);
    let history = deployment.directory().join("history.jsonl");
    run_load(plan, &history).await.expect("a run");
    let files = RunFiles {
        history: read_lines(&history).expect("the history"),
        executions: deployment.executions().expect("the executions"),
        ..RunFiles::default()
    };
    let report = LoadReport::new(&files.history, &files.executions);
    println!("{report}");
    expect_that!(check_run(&files), len(eq(0)));
    expect_that!(report.total.requests, gt(100));
    let done = files.history.iter().filter(|line| {
        matches!(line, HistoryLine::Ended(outcome) if outcome.verdict == OutcomeVerdict::Done)
    });
    expect_that!(done.count() as u64, ge(report.total.requests * 99 / 100));
}
