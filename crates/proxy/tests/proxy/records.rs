//! Requests with a request id.

use googletest::prelude::*;

use crate::support::script::Fault;

const ID: &str = "SET tanagerdeal.request_id = 'order-1'";

/// Guards against a second execution of a write that is repeated after its answer was lost, and
/// against an answer that differs from the first.
#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_write_gets_the_first_outcome() {
    let fleet = crate::support::start().await;
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
    let fleet = crate::support::start().await;
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
    let fleet = crate::support::start().await;
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
