//! Guarantee 14: an accepted configuration is in effect everywhere within seconds and never reverts.

use std::time::Duration;

use googletest::prelude::*;
use serde_json::json;
use tanagerdeal_platform::change::ChangeOutcome;
use tanagerdeal_testbed::history::OperatorAction;
use tanagerdeal_wire::record::RecordKind;

use crate::support::{ProofRun, expect_kept, submit};

const FLEET: (RecordKind, &str) = (RecordKind::Configuration, "fleet");

/// Cuts ham-c off from the store and from the other failure domains, or heals the links.
async fn isolate(run: &ProofRun, cut: bool) {
    let domains: &[&str] = if cut { &["ham-c"] } else { &[] };
    run.platform_faults(json!({"delay_ms": 0, "refuse_domains": domains})).await;
    for other in ["akl-a", "akl-b"] {
        run.deployment.cut("ham-c", other, cut).await.expect("relayed links");
    }
}

/// Guards against a change that some host misses, takes back or serves without, when two operators
/// race on one record, responses of the store are lost after they took effect, the store is slow,
/// and a failure domain is cut off from everything but its callers.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn g14_raced_changes_take_effect_everywhere() {
    let mut run = ProofRun::start("g14-raced", 1401, 18_000, |_| ()).await;
    let (mut accepted, mut conflicts) = (0, 0);
    for round in 0..6 {
        match round {
            1 => run.platform_faults(json!({"lose_writes": 2})).await,
            2 => run.platform_faults(json!({"delay_ms": 300})).await,
            3 => isolate(&run, true).await,
            5 => isolate(&run, false).await,
            _ => {}
        }
        let [one, other] = [20 + round, 30 + round];
        let (first, second) = tokio::join!(
            submit(&run.deployment, "one", FLEET, Some(json!({"retry_percent": one}))),
            submit(&run.deployment, "other", FLEET, Some(json!({"retry_percent": other}))),
        );
        for outcome in [first, second] {
            match outcome {
                ChangeOutcome::Accepted(revision) | ChangeOutcome::Repeated(revision) => {
                    accepted += 1;
                    run.accepted(OperatorAction::Configure, "fleet", revision).await;
                }
                ChangeOutcome::Conflict(_) => conflicts += 1,
            }
        }
        // Longer than the bound in the round in which a domain has to stop serving.
        let pause_ms = if round == 3 { 7_000 } else { 300 };
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
    let run = run.finish().await;
    expect_kept(&run, 200);
    expect_that!(accepted, ge(6));
    expect_that!(accepted + conflicts, eq(12));
    expect_that!(conflicts, ge(1));
}
