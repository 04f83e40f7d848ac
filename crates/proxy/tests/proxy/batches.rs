//! Batches of the extended query protocol.

use std::time::Duration;

use googletest::prelude::*;
use pgwire::messages::extendedquery::{Bind, Close, Describe, Execute, Flush, Parse, Sync};
use pgwire::messages::simplequery::Query;

use crate::support;
use crate::support::raw::RawClient;
use crate::support::script::Fault;

/// Time of a request that transfers hundreds of thousands of rows.
const BATCH_DEADLINE: Duration = Duration::from_secs(120);

fn parse(name: &str, sql: &str) -> Parse {
    Parse::new(Some(name.to_owned()), sql.to_owned(), Vec::new())
}

fn bind(statement: &str) -> Bind {
    Bind::new(None, Some(statement.to_owned()), Vec::new(), Vec::new(), Vec::new())
}

fn execute() -> Execute {
    Execute::new(None, 0)
}

fn query(sql: &str) -> Query {
    Query::new(sql.to_owned())
}

/// Guards against replies that are missing, doubled or out of order when a statement is already
/// prepared on the connection, or has to be prepared by the proxy.
#[tokio::test(flavor = "multi_thread")]
async fn replies_follow_the_messages() {
    let fleet = support::start().await;
    let mut client = RawClient::connect(&fleet).await;
    let whole = ["parsed", "bound", "columns", "row SELECT 'a'", "complete SELECT 1", "ready idle"];
    for _ in 0..3 {
        client.push(&parse("s", "SELECT 'a'")).push(&bind("s"));
        client.push(&Describe::new(b'P', None)).push(&execute()).push(&Sync::new()).flush().await;
        assert_eq!(client.until_ready().await, whole);
    }
    let mut other = RawClient::connect(&fleet).await;
    other.push(&parse("t", "SELECT 'a'")).push(&Sync::new()).flush().await;
    assert_eq!(other.until_ready().await, ["parsed", "ready idle"]);
    for _ in 0..4 {
        other.push(&bind("t")).push(&execute()).push(&Sync::new()).flush().await;
        let expected = ["bound", "row SELECT 'a'", "complete SELECT 1", "ready idle"];
        assert_eq!(other.until_ready().await, expected);
    }
    other.push(&Close::new(b'S', Some("t".to_owned()))).push(&Sync::new()).flush().await;
    assert_eq!(other.until_ready().await, ["closed", "ready idle"]);
    other.push(&bind("t")).push(&execute()).push(&Sync::new()).flush().await;
    assert_eq!(other.until_ready().await, ["error 26000", "ready idle"]);
}

/// Guards against statements that run after an error in their batch.
#[tokio::test(flavor = "multi_thread")]
async fn an_error_skips_to_sync() {
    let fleet = support::start().await;
    let mut client = RawClient::connect(&fleet).await;
    client.push(&parse("", "SELECT fail_here")).push(&bind("")).push(&execute());
    client.push(&parse("", "INSERT INTO t VALUES ('skipped')")).push(&bind("")).push(&execute());
    client.push(&Sync::new()).flush().await;
    assert_eq!(client.until_ready().await, ["parsed", "bound", "error 22012", "ready idle"]);
    client.push(&parse("", "LISTEN x")).push(&bind("")).push(&execute());
    client.push(&parse("", "INSERT INTO t VALUES ('skipped')")).push(&bind("")).push(&execute());
    client.push(&Sync::new()).flush().await;
    assert_eq!(client.until_ready().await, ["error 0A000", "ready idle"]);
    assert_eq!(fleet.commits_of("skipped"), 0);
    client.push(&query("SELECT 'next'")).flush().await;
    assert_eq!(client.until_ready().await.last().unwrap(), "ready idle");
}

/// Guards against a client that waits for ever for replies that it asked for by Flush, and against
/// a connection that is shared before Sync.
#[tokio::test(flavor = "multi_thread")]
async fn flush_returns_replies_before_sync() {
    let fleet = support::start().await;
    let mut client = RawClient::connect(&fleet).await;
    client.push(&parse("", "INSERT INTO t VALUES ('flushed')"));
    client.push(&Describe::new(b'S', None)).push(&Flush::new()).flush().await;
    assert_eq!(client.take(3).await, ["parsed", "parameters", "no data"]);
    client.push(&bind("")).push(&execute()).push(&Flush::new()).flush().await;
    assert_eq!(client.take(2).await, ["bound", "complete INSERT 0 1"]);
    client.push(&Sync::new()).flush().await;
    assert_eq!(client.until_ready().await, ["ready idle"]);
    assert_eq!(fleet.commits_of("flushed"), 1);
    client.push(&parse("", "SELECT fail_here")).push(&bind("")).push(&execute());
    client.push(&Flush::new()).flush().await;
    assert_eq!(client.take(3).await, ["parsed", "bound", "error 22012"]);
    client.push(&bind("")).push(&execute()).push(&Sync::new()).flush().await;
    assert_eq!(client.until_ready().await, ["ready idle"]);
    client.push(&query("SELECT 'next'")).flush().await;
    assert_eq!(client.until_ready().await.len(), 4);
}

/// Guards against transactions whose BEGIN and COMMIT come as extended queries, some of them in one
/// batch with other statements.
#[tokio::test(flavor = "multi_thread")]
async fn transactions_may_use_batches() {
    let fleet = support::start().await;
    let mut client = RawClient::connect(&fleet).await;
    client.push(&parse("", "BEGIN")).push(&bind("")).push(&execute());
    client.push(&parse("", "INSERT INTO t VALUES ('one')")).push(&bind("")).push(&execute());
    client.push(&Sync::new()).flush().await;
    assert_eq!(client.until_ready().await.last().unwrap(), "ready open");
    assert_eq!(fleet.commits_of("'one'"), 0);
    client.push(&parse("", "COMMIT")).push(&bind("")).push(&execute()).push(&Sync::new());
    client.flush().await;
    let expected = ["parsed", "bound", "complete COMMIT", "ready idle"];
    assert_eq!(client.until_ready().await, expected);
    assert_eq!(fleet.commits_of("'one'"), 1);
    client.push(&parse("", "ROLLBACK")).push(&bind("")).push(&execute()).push(&Sync::new());
    client.flush().await;
    assert_eq!(client.until_ready().await.last().unwrap(), "ready idle");
}

/// Guards against portals that lose their rows, or are refused for lack of a position, when they are
/// read in parts.
#[tokio::test(flavor = "multi_thread")]
async fn portals_are_read_in_parts() {
    let fleet = support::start().await;
    let mut client = RawClient::connect(&fleet).await;
    client.push(&query("BEGIN")).flush().await;
    client.until_ready().await;
    let portal = || Some("p".to_owned());
    client.push(&parse("s", "SELECT n FROM numbers WHERE n <= 5"));
    client.push(&Bind::new(portal(), Some("s".to_owned()), vec![], vec![], vec![]));
    client.push(&Execute::new(portal(), 2)).push(&Sync::new()).flush().await;
    let replies = client.until_ready().await;
    assert_eq!(replies[..4], ["parsed", "bound", "row 1", "row 2"]);
    assert_that!(replies[4], starts_with("PortalSuspended"));
    client.push(&Execute::new(portal(), 10)).push(&Sync::new()).flush().await;
    let expected = ["row 3", "row 4", "row 5", "complete SELECT 3", "ready open"];
    assert_eq!(client.until_ready().await, expected);
    client.push(&query("COMMIT")).flush().await;
    assert_eq!(client.until_ready().await, ["complete COMMIT", "ready idle"]);
}

/// Guards against proxy settings that reach an endpoint when they come as extended queries.
#[tokio::test(flavor = "multi_thread")]
async fn proxy_settings_are_answered_by_the_proxy() {
    let fleet = support::start().await;
    let client = fleet.connect().await;
    client.execute("SET tanagerdeal.max_read_age_ms = '250'", &[]).await.unwrap();
    let row = client.query_one("SHOW tanagerdeal.max_read_age_ms", &[]).await.unwrap();
    assert_eq!(row.get::<_, String>(0), "250");
    let error = client.execute("SET tanagerdeal.unknown = '1'", &[]).await.unwrap_err();
    assert_eq!(error.code().map(|code| code.code()), Some("22023"));
    assert!(!fleet.executed().iter().any(|sql| sql.contains("tanagerdeal.")));
}

/// Guards against statements of a pipelining client that run outside of their transaction after its
/// connection was lost in the middle.
#[tokio::test(flavor = "multi_thread")]
async fn a_pipelined_transaction_is_not_continued_after_a_loss() {
    let fleet = support::start().await;
    let mut client = RawClient::connect(&fleet).await;
    fleet.primary().fail_next("'p1'", Fault::Close);
    client.push(&query("BEGIN")).push(&query("INSERT INTO t VALUES ('p1')"));
    client.push(&query("INSERT INTO t VALUES ('p2')")).push(&query("COMMIT")).flush().await;
    let mut replies = Vec::new();
    for _ in 0..4 {
        replies.extend(client.until_ready().await);
    }
    let expected = [
        "complete BEGIN",
        "ready open",
        "error 57P03",
        "ready failed",
        "error 25P02",
        "ready failed",
        "complete ROLLBACK",
        "ready idle",
    ];
    assert_eq!(replies, expected);
    assert_that!(fleet.commits_of("INSERT"), eq(0));
}

/// Guards against a session that can neither prepare nor close statements once it holds too many.
#[tokio::test(flavor = "multi_thread")]
async fn prepared_statements_are_limited() {
    let fleet = support::start().await;
    let mut client = RawClient::connect(&fleet).await;
    for number in 0..1_000 {
        client.push(&parse(&format!("s{number}"), &format!("SELECT {number}")));
    }
    client.push(&Sync::new()).flush().await;
    assert_eq!(client.until_ready().await.len(), 1_001);
    client.push(&parse("more", "SELECT 'more'")).push(&Sync::new()).flush().await;
    assert_eq!(client.until_ready().await, ["error 54000", "ready idle"]);
    client.push(&Close::new(b'S', Some("s7".to_owned()))).push(&Sync::new()).flush().await;
    assert_eq!(client.until_ready().await, ["closed", "ready idle"]);
    client.push(&parse("more", "SELECT 'more'")).push(&bind("more")).push(&execute());
    client.push(&Sync::new()).flush().await;
    assert_eq!(client.until_ready().await[2], "row SELECT 'more'");
}

/// Guards against a transaction that commits the rest after the proxy refused one of its
/// statements, and against a savepoint that cannot undo the refusal.
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_statement_fails_its_transaction() {
    let fleet = support::start().await;
    let mut client = RawClient::connect(&fleet).await;
    for sql in ["BEGIN", "INSERT INTO t VALUES ('r1')", "SAVEPOINT s"] {
        client.push(&query(sql)).flush().await;
        assert_eq!(client.until_ready().await.last().unwrap(), "ready open");
    }
    client.push(&query("LISTEN x")).flush().await;
    assert_eq!(client.until_ready().await, ["error 0A000", "ready failed"]);
    client.push(&query("INSERT INTO t VALUES ('r2')")).flush().await;
    assert_eq!(client.until_ready().await, ["error 25P02", "ready failed"]);
    client.push(&query("ROLLBACK TO SAVEPOINT s")).flush().await;
    assert_eq!(client.until_ready().await.last().unwrap(), "ready open");
    client.push(&query("LISTEN x")).flush().await;
    assert_eq!(client.until_ready().await, ["error 0A000", "ready failed"]);
    client.push(&query("COMMIT")).flush().await;
    assert_eq!(client.until_ready().await, ["complete ROLLBACK", "ready idle"]);
    assert_that!(fleet.commits_of("'r1'"), eq(0));
}

/// Guards against a long batch on which proxy and endpoint wait for each other, each with output that
/// the other does not read.
#[tokio::test(flavor = "multi_thread")]
async fn a_long_batch_with_long_replies_is_answered() {
    // The time of a request is not what is tested: on a busy machine it ends within the batch.
    let fleet = support::start_with_deadline(BATCH_DEADLINE).await;
    let mut client = RawClient::connect(&fleet).await;
    for number in 0..40 {
        let padding = "x".repeat(300_000);
        let sql = format!("SELECT '{padding}', {number} FROM numbers WHERE n <= 20000");
        client.push(&parse("", &sql)).push(&bind("")).push(&execute());
    }
    client.push(&Sync::new()).flush().await;
    let replies = client.until_ready().await;
    let complete = replies.iter().filter(|reply| *reply == "complete SELECT 20000").count();
    let last = &replies[replies.len().saturating_sub(3)..];
    assert_eq!((complete, replies.len()), (40, 40 * 20_003 + 1), "the replies end with {last:?}");
}
