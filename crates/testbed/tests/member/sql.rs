//! The SQL subset of the stand-in of a member.

use crate::common::{TestMember, sqlstate};
use googletest::prelude::*;
use serde_json::json;
use tokio_postgres::{Client, SimpleQueryMessage};

async fn primary_with_stock() -> (TestMember, Client) {
    let member = TestMember::start("a", Some(1)).await;
    let client = member.connect().await.expect("a connection");
    let create = "CREATE TABLE stock (item text PRIMARY KEY, amount int, note text)";
    client.batch_execute(create).await.expect("a table");
    let insert = "INSERT INTO stock (item, amount) VALUES ('bolt', 5), ('nut', 7), ('pin', 9)";
    client.batch_execute(insert).await.expect("rows");
    (member, client)
}

/// Guards against a stand-in that answers the extended protocol differently from the simple one.
#[gtest]
#[tokio::test]
async fn statements_work_in_both_protocols() {
    let (_member, client) = primary_with_stock().await;
    let update = "UPDATE stock SET amount = amount + 1 WHERE item = $1 AND amount < $2";
    expect_that!(client.execute(update, &[&"bolt", &6]).await.expect("an update"), eq(1));
    let select = "SELECT item, amount FROM stock WHERE amount >= $1 ORDER BY amount DESC LIMIT 2";
    let rows = client.query(select, &[&6]).await.expect("rows");
    let found: Vec<(String, i32)> = rows.iter().map(|row| (row.get(0), row.get(1))).collect();
    expect_that!(found, eq(&vec![("pin".to_owned(), 9), ("nut".to_owned(), 7)]));
    let row =
        client.query_one("SELECT count(*), sum(amount) FROM stock", &[]).await.expect("a row");
    expect_that!((row.get::<_, i64>(0), row.get::<_, i64>(1)), eq((3, 22)));
    let delete = "DELETE FROM stock WHERE item = 'nut' RETURNING amount";
    let messages = client.simple_query(delete).await.expect("a deletion");
    let amounts = messages.iter().filter_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    });
    expect_that!(amounts.collect::<Vec<_>>(), eq(&vec!["7".to_owned()]));
    let skip =
        "INSERT INTO stock VALUES ('bolt', 1, NULL), ('cog', 2, 'new') ON CONFLICT DO NOTHING";
    expect_that!(client.execute(skip, &[]).await.expect("an insert"), eq(1));
    client.batch_execute("SET application_name = 'x'").await.expect("SET is accepted");
}

/// Guards against a duplicate request that is not told from other errors by its table.
#[gtest]
#[tokio::test]
async fn duplicate_key_names_its_table() {
    let (_member, client) = primary_with_stock().await;
    let insert = "INSERT INTO tanagerdeal_requests VALUES ('quarry', 'r1', 'done')";
    client.execute(insert, &[]).await.expect("the first row");
    let error = client.execute(insert, &[]).await.expect_err("a duplicate");
    let error = error.as_db_error().expect("an error of the server");
    expect_that!(error.code().code(), eq("23505"));
    expect_that!(error.table(), some(eq("tanagerdeal_requests")));
}

/// Guards against aborted transactions that leave rows, locks or log entries behind.
#[gtest]
#[tokio::test]
async fn aborted_transactions_leave_nothing() {
    let (member, client) = primary_with_stock().await;
    let before = member.status().await.applied;
    client.batch_execute("BEGIN; UPDATE stock SET amount = 0; ROLLBACK").await.expect("a rollback");
    client.batch_execute("BEGIN").await.expect("a block");
    client.batch_execute("DELETE FROM stock").await.expect("a deletion");
    let error = client.batch_execute("SELECT * FROM missing").await.expect_err("an error");
    expect_that!(sqlstate(&error), eq("42P01"));
    let error = client.batch_execute("SELECT 1").await.expect_err("a failed block");
    expect_that!(sqlstate(&error), eq("25P02"));
    client.batch_execute("COMMIT").await.expect("the end of the block");
    let other = member.connect().await.expect("a connection");
    other.batch_execute("BEGIN; DELETE FROM stock").await.expect("a deletion");
    drop(other);
    let row = client.query_one("SELECT sum(amount) FROM stock", &[]).await.expect("a row");
    expect_that!(row.get::<_, i64>(0), eq(21));
    client.batch_execute("UPDATE stock SET amount = 1").await.expect("no lock is left");
    expect_that!(member.status().await.applied.offset, eq(before.offset + 1));
    let executions = member.get("/control/executions").await;
    let texts = executions.as_array().expect("a list").iter().map(|entry| &entry["statement"]);
    expect_that!(texts.filter(|text| **text == json!("DELETE FROM stock")).count(), eq(0));
}

/// Guards against lost updates: the second writer must wait for the first, or fail.
#[gtest]
#[tokio::test]
async fn concurrent_writers_of_a_row_wait_or_fail() {
    let (member, first) = primary_with_stock().await;
    let second = member.connect().await.expect("a connection");
    let add = "UPDATE stock SET amount = amount + 1 WHERE item = 'bolt'";
    first.batch_execute("BEGIN").await.expect("a block");
    first.batch_execute(add).await.expect("an update");
    let waiting = second.batch_execute(add);
    let commit = async {
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        first.batch_execute("COMMIT").await
    };
    let (waited, committed) = tokio::join!(waiting, commit);
    expect_that!((waited.is_ok(), committed.is_ok()), eq((true, true)));
    let row = first.query_one("SELECT amount FROM stock WHERE item = 'bolt'", &[]).await;
    expect_that!(row.expect("a row").get::<_, i32>(0), eq(7));
    first.batch_execute("BEGIN").await.expect("a block");
    first.batch_execute(add).await.expect("an update");
    let error = second.batch_execute(add).await.expect_err("the lock is never released");
    expect_that!(sqlstate(&error), eq("40001"));
}

/// Guards against a member that lets more connections or statements in than it has.
#[gtest]
#[tokio::test]
async fn connections_and_slots_are_limited() {
    let (member, client) = primary_with_stock().await;
    let mut clients = vec![client];
    for _ in 0..3 {
        clients.push(member.connect().await.expect("a connection"));
    }
    let error = member.connect().await.expect_err("a fifth connection");
    expect_that!(sqlstate(&error), eq("53300"));
    let start = std::time::Instant::now();
    let sleeps = clients.iter().map(|client| client.batch_execute("SELECT pg_sleep_ms(100)"));
    for result in futures::future::join_all(sleeps).await {
        expect_that!(result.is_ok(), eq(true));
    }
    expect_that!(start.elapsed().as_millis(), ge(200), "four statements need two rounds of slots");
    let state = member.get("/control/state").await;
    expect_that!(state["peak_connections"], eq(&json!(4)));
    expect_that!(state["refused_connections"], eq(&json!(1)));
}

/// Guards against cancel requests that are ignored or that end the connection.
#[gtest]
#[tokio::test]
async fn cancel_ends_the_statement_only() {
    let (_member, client) = primary_with_stock().await;
    let token = client.cancel_token();
    let cancel = async {
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
        token.cancel_query(tokio_postgres::NoTls).await
    };
    let (slept, cancelled) =
        tokio::join!(client.batch_execute("SELECT pg_sleep_ms(60000)"), cancel);
    expect_that!(cancelled.is_ok(), eq(true));
    expect_that!(sqlstate(&slept.expect_err("a cancelled statement")), eq("57014"));
    client.batch_execute("SELECT 1").await.expect("the connection still works");
}

/// Guards against a proof that finds no key only because nothing was recorded.
#[gtest]
#[tokio::test]
async fn received_bytes_are_searched() {
    let (member, client) = primary_with_stock().await;
    client.batch_execute("SELECT 'needle-in-text'").await.expect("a row");
    let needles = json!({"needles": ["needle-in-text", "never-sent", "service"]});
    let reply = member.post("/control/search", needles).await;
    let reply: serde_json::Value = reply.json().await.expect("a reply");
    expect_that!(reply["counts"], eq(&json!([1, 0, 1])));
    expect_that!(reply["complete"], eq(&json!(true)));
}
