//! Guarantee 13: a graceful shutdown interrupts no request.

use std::time::Duration;

use googletest::prelude::*;
use tanagerdeal_testbed::history::{OperatorAction, OutcomeVerdict};

use crate::support::{ProofRun, expect_kept};

/// Guards against requests and transactions that a host drops when it shuts down under load, one
/// host after the other.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn g13_shutdown_under_load() {
    let mut run =
        ProofRun::start("g13-shutdown", 1301, 12_000, |load| load.mix.transactions = 25).await;
    for host in ["akl-b-1", "ham-c-1"] {
        run.note(OperatorAction::ShutDownHost, host, 0);
        run.deployment.terminate(host).expect("a running host");
        let code = run.deployment.wait_host(host, Duration::from_secs(45)).await.expect("an end");
        expect_that!(code, some(eq(0)));
    }
    let run = run.finish().await;
    expect_kept(&run, 200);
    let used = run.attempts().into_iter();
    let used = used.filter(|(invocation, outcome)| {
        invocation.host != "akl-a-1" && outcome.verdict == OutcomeVerdict::Done
    });
    expect_that!(used.count(), ge(20));
    expect_that!(run.count(OutcomeVerdict::Lost), eq(0));
}
