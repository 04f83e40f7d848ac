//! Guarantee 1: a session reads its own writes, also after roaming to another host.

use std::time::Duration;

use googletest::prelude::*;
use serde_json::json;
use tanagerdeal_testbed::history::HistoryLine;
use tanagerdeal_testbed::load::RequestMix;

use crate::support::{ProofRun, expect_kept};

/// Guards against reads from a replica that lacks the session's writes, while sessions roam with
/// their tokens, replicas lag, a proxy is killed and the primary is killed.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn g01_roaming_sessions_read_their_writes() {
    let run = ProofRun::start("g01-roaming", 101, 11_000, |load| {
        // Few writes and one session for each small customer: a host that has acknowledged newer
        // writes itself would not read from the replica anyway.
        load.mix = RequestMix {
            reads: 75,
            aged_reads: 0,
            lists: 0,
            writes: 15,
            idempotent_writes: 10,
            transactions: 0,
        };
        load.customers.retain(|customer| customer.sessions <= 2);
        for customer in &mut load.customers {
            (customer.sessions, customer.millirate) = (1, 8_000);
        }
        (load.roam_percent, load.token_percent) = (40, 100);
        // Few items, so that a session reads what it has written shortly before.
        load.items = 2;
    });
    let mut run = run.await;
    for replica in ["orders-1-b", "orders-1-c"] {
        let control = &run.deployment.member(replica).expect("a member").control;
        control.post("/control/faults", &json!({"lag_ms": 250})).await.expect("a lag");
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    run.deployment.kill("akl-b-1").await.expect("a running host");
    tokio::time::sleep(Duration::from_secs(1)).await;
    run.deployment.kill("orders-1-a").await.expect("a running primary");
    run.wait_for_successor("orders-1-a").await;
    let run = run.finish().await;
    expect_kept(&run, 150);
    let roamed = run.files.history.iter().filter(
        |line| matches!(line, HistoryLine::Opened(opened) if opened.with_token && opened.accepted),
    );
    expect_that!(roamed.count(), ge(50));
}
