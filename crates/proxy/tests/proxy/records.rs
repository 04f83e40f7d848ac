//! Requests with a request id.

use googletest::prelude::*;

use crate::support;
use crate::support::script::Fault;

const ID: &str = "SET tanagerdeal.request_id = 'order-1'";

/// Guards against a second execution of a write that is repeated after its answer was lost, and
/// against an answer that differs from the first.
#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_write_gets_the_first_outcome() {
    let fleet = support::start().await;
    let client = fleet.connect().await;
    client.batch_execute(ID).await.unwrap();
    fleet.primary().fail_next("COMMIT", Fault::CommitAndClose);
    let first = client.execute("INSERT INTO t VALUES ('once')", &[]).await;
    let again = fleet.connect().await;
    again.batch_execute(ID).await.unwrap();
    let count = again.execute("INSERT INTO t VALUES ('once')", &[]).await.unwrap();
    assert_eq!(count, 1);
    assert_eq!(fleet.commits_of("once"), 1, "first answer: {first:?}");
    let third = fleet.connect().await;
    third.batch_execute(ID).await.unwrap();
    third.batch_execute("INSERT INTO t VALUES ('once')").await.unwrap();
    assert_eq!(fleet.commits_of("once"), 1);
}

/// Guards against a request that failed being taken for one that ran.
#[tokio::test(flavor = "multi_thread")]
async fn a_failed_write_may_be_repeated() {
    let fleet = support::start().await;
    let client = fleet.connect().await;
    client.batch_execute(ID).await.unwrap();
    let error = client.batch_execute("INSERT INTO t VALUES ('fail_here')").await.unwrap_err();
    assert_eq!(error.code().map(|code| code.code()), Some("22012"));
    client.batch_execute("INSERT INTO t VALUES ('better')").await.unwrap();
    assert_eq!(fleet.commits_of("better"), 1);
}

/// Guards against a transaction that runs twice under one request id.
#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_transaction_is_told_that_it_ran() {
    let fleet = support::start().await;
    let client = fleet.connect().await;
    client.batch_execute(ID).await.unwrap();
    client.batch_execute("BEGIN").await.unwrap();
    client.batch_execute("INSERT INTO t VALUES ('explicit')").await.unwrap();
    client.batch_execute("COMMIT").await.unwrap();
    assert_eq!(fleet.commits_of("explicit"), 1);
    let again = fleet.connect().await;
    again.batch_execute(ID).await.unwrap();
    let error = again.batch_execute("BEGIN").await.unwrap_err();
    let error = error.as_db_error().unwrap();
    assert_that!(error.message(), starts_with("ran: "));
    assert_eq!(error.detail(), Some("outcome=COMMIT"));
    again.batch_execute(ID).await.unwrap();
    let block = "BEGIN; INSERT INTO t VALUES ('explicit'); COMMIT";
    again.batch_execute(block).await.unwrap();
    assert_eq!(fleet.commits_of("explicit"), 1);
}

/// Guards against a block that runs twice, and against two executions when both attempts come at the
/// same time.
#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_block_runs_once() {
    let fleet = support::start().await;
    let block = "BEGIN; INSERT INTO t VALUES ('block1'); INSERT INTO t VALUES ('block2'); COMMIT";
    for _ in 0..3 {
        let client = fleet.connect().await;
        client.batch_execute(ID).await.unwrap();
        client.batch_execute(block).await.unwrap();
    }
    assert_eq!((fleet.commits_of("block1"), fleet.commits_of("block2")), (1, 1));
}

/// Guards against a recorded batch whose replies do not fit the messages of the client.
#[tokio::test(flavor = "multi_thread")]
async fn a_recorded_batch_is_answered_alike_each_time() {
    let fleet = support::start().await;
    for _ in 0..2 {
        let client = fleet.connect().await;
        client.batch_execute(ID).await.unwrap();
        let insert = "INSERT INTO t VALUES ('batch', $1)";
        assert_eq!(client.execute(insert, &[&"v"]).await.unwrap(), 1);
    }
    assert_eq!(fleet.commits_of("'batch'"), 1);
}
