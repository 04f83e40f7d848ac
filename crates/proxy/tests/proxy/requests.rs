//! Requests of an unmodified client through a host to scripted endpoints.

use std::time::Duration;

use googletest::prelude::*;
use tanagerdeal_wire::member::LogPosition;
use tokio_postgres::{SimpleQueryMessage, SimpleQueryRow};

use crate::support;
use crate::support::script::{Fault, TERM};

fn rows(messages: Vec<SimpleQueryMessage>) -> Vec<SimpleQueryRow> {
    let row = |message| match message {
        SimpleQueryMessage::Row(row) => Some(row),
        _ => None,
    };
    messages.into_iter().filter_map(row).collect()
}

fn message_of(error: &tokio_postgres::Error) -> String {
    error.as_db_error().map_or_else(|| error.to_string(), |error| error.message().to_owned())
}

/// Guards against replies that reach the wrong session: every row holds the text of its statement.
#[tokio::test(flavor = "multi_thread")]
async fn each_session_gets_its_own_replies() {
    let fleet = support::start().await;
    let mut tasks = Vec::new();
    for session in 0..8 {
        let client = fleet.connect().await;
        tasks.push(tokio::spawn(async move {
            for number in 0..25 {
                let sql = format!("SELECT 's{session}n{number}'");
                let rows = rows(client.simple_query(&sql).await.unwrap());
                assert_eq!(rows.len(), 1);
                assert_eq!(rows[0].get(0), Some(sql.as_str()));
                let value = format!("p{session}n{number}");
                let row = client.query_one("SELECT $1::text", &[&value]).await.unwrap();
                assert_eq!(row.get::<_, String>(0), value);
            }
        }));
    }
    for task in tasks {
        task.await.unwrap();
    }
}

/// Guards against rows that are lost between the endpoint and the client when a result is longer
/// than the buffer of a session.
#[tokio::test(flavor = "multi_thread")]
async fn long_results_arrive_complete() {
    let fleet = support::start().await;
    let client = fleet.connect().await;
    let sql = "SELECT n FROM numbers WHERE n <= 20000";
    let rows = client.query(sql, &[]).await.unwrap();
    let numbers: Vec<u32> =
        rows.iter().map(|row| row.get::<_, String>(0).parse().unwrap()).collect();
    assert_eq!(numbers, (1..=20_000).collect::<Vec<u32>>());
}

/// Guards against statements of one transaction on several connections, and against the mixing of
/// two transactions on one.
#[tokio::test(flavor = "multi_thread")]
async fn a_transaction_keeps_its_connection() {
    let fleet = support::start().await;
    let mut tasks = Vec::new();
    for session in 0..4 {
        let mut client = fleet.connect().await;
        tasks.push(tokio::spawn(async move {
            for number in 0..5 {
                let transaction = client.transaction().await.unwrap();
                for step in 0..3 {
                    let sql = format!("UPDATE t SET v = {step} WHERE k = 't{session}x{number}'");
                    transaction.execute(&sql, &[]).await.unwrap();
                }
                transaction.commit().await.unwrap();
            }
        }));
    }
    for task in tasks {
        task.await.unwrap();
    }
    let executed = fleet.primary().executed();
    for session in 0..4 {
        for number in 0..5 {
            let name = format!("'t{session}x{number}'");
            let pids: Vec<i32> = executed
                .iter()
                .filter(|(_, sql)| sql.contains(&name))
                .map(|(pid, _)| *pid)
                .collect();
            assert_eq!(pids.len(), 3, "{name}");
            assert!(pids.iter().all(|pid| *pid == pids[0]), "{name}: {pids:?}");
        }
    }
    assert_no_interleaving(&executed);
}

/// Between BEGIN and COMMIT of a connection, all statements belong to one transaction.
fn assert_no_interleaving(executed: &[(i32, String)]) {
    let mut open: std::collections::HashMap<i32, Option<String>> = Default::default();
    for (pid, sql) in executed {
        match (sql.as_str(), open.get_mut(pid)) {
            ("BEGIN", _) | ("START TRANSACTION", _) => drop(open.insert(*pid, None)),
            ("COMMIT", _) => drop(open.remove(pid)),
            (sql, Some(name)) => {
                let found = sql.split('\'').nth(1).map(str::to_owned);
                assert!(name.is_none() || *name == found, "{pid}: {sql} after {name:?}");
                *name = found;
            }
            _ => {}
        }
    }
}

/// Guards against a session that stays unusable after an error of the endpoint, and against an
/// error that reaches the client without its SQLSTATE.
#[tokio::test(flavor = "multi_thread")]
async fn errors_of_the_endpoint_are_passed_on() {
    let fleet = support::start().await;
    let client = fleet.connect().await;
    let error = client.simple_query("SELECT fail_here").await.unwrap_err();
    assert_eq!(error.code().map(|code| code.code()), Some("22012"));
    let error = client.query("SELECT fail_here, $1::text", &[&"x"]).await.unwrap_err();
    assert_eq!(error.code().map(|code| code.code()), Some("22012"));
    let error = client.batch_execute("INSERT INTO t VALUES ('fail_here')").await.unwrap_err();
    assert_eq!(error.code().map(|code| code.code()), Some("22012"));
    assert_eq!(rows(client.simple_query("SELECT 1").await.unwrap()).len(), 1);
}

/// Guards against a truncated result that looks complete, and against the reuse of its connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_truncated_result_is_an_error() {
    let fleet = support::start().await;
    let client = fleet.connect().await;
    for endpoint in &fleet.endpoints {
        endpoint.fail_next("n <= 5000", Fault::Truncate);
    }
    let result = client.simple_query("SELECT n FROM numbers WHERE n <= 5000").await;
    let error = result.map(|messages| messages.len()).unwrap_err();
    assert_that!(message_of(&error), starts_with("may have run: "));
    assert_eq!(rows(client.simple_query("SELECT 2").await.unwrap()).len(), 1);
}

/// Guards against a write that is reported as not run although the endpoint may have run it.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_write_may_have_run() {
    let fleet = support::start().await;
    let client = fleet.connect().await;
    fleet.primary().fail_next("lost_before", Fault::Close);
    let error = client.batch_execute("INSERT INTO t VALUES ('lost_before')").await.unwrap_err();
    assert_that!(message_of(&error), starts_with("may have run: "));
    assert_eq!(error.code().map(|code| code.code()), Some("08007"));
    fleet.primary().fail_next("lost_after", Fault::CommitAndClose);
    let error = client.batch_execute("INSERT INTO t VALUES ('lost_after')").await.unwrap_err();
    assert_that!(message_of(&error), starts_with("may have run: "));
    assert_eq!(fleet.commits_of("lost_before"), 0);
    assert_eq!(fleet.commits_of("lost_after"), 1);
    client.batch_execute("INSERT INTO t VALUES ('next')").await.unwrap();
    assert_eq!(fleet.commits_of("next"), 1);
}

/// Guards against statements that run outside of the transaction that they belong to, after its
/// connection was lost.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_transaction_runs_nothing_more() {
    let fleet = support::start().await;
    let client = fleet.connect().await;
    client.batch_execute("BEGIN").await.unwrap();
    client.batch_execute("INSERT INTO t VALUES ('first')").await.unwrap();
    fleet.primary().fail_next("second", Fault::Close);
    let error = client.batch_execute("INSERT INTO t VALUES ('second')").await.unwrap_err();
    assert_that!(message_of(&error), starts_with("not run: transaction rolled back"));
    let error = client.batch_execute("INSERT INTO t VALUES ('third')").await.unwrap_err();
    assert_eq!(error.code().map(|code| code.code()), Some("25P02"));
    client.batch_execute("COMMIT").await.unwrap();
    assert_eq!(fleet.commits_of("INSERT INTO t"), 0);
    client.batch_execute("INSERT INTO t VALUES ('fourth')").await.unwrap();
    assert_eq!(fleet.commits_of("fourth"), 1);
}

/// Guards against "not run" for a COMMIT that was sent.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_commit_may_have_run() {
    let fleet = support::start().await;
    let client = fleet.connect().await;
    client.batch_execute("BEGIN").await.unwrap();
    client.batch_execute("INSERT INTO t VALUES ('kept')").await.unwrap();
    fleet.primary().fail_next("COMMIT", Fault::CommitAndClose);
    let error = client.batch_execute("COMMIT").await.unwrap_err();
    assert_that!(message_of(&error), starts_with("may have run: "));
    assert_eq!(fleet.commits_of("kept"), 1);
}

/// Guards against an acknowledgement at the position of an earlier result, when COMMIT reports none.
#[tokio::test(flavor = "multi_thread")]
async fn a_commit_without_a_position_is_not_acknowledged() {
    let fleet = support::start().await;
    let client = fleet.connect().await;
    client.batch_execute("BEGIN").await.unwrap();
    client.batch_execute("INSERT INTO t VALUES ('explicit')").await.unwrap();
    client.simple_query("SELECT 'position'").await.unwrap();
    fleet.primary().fail_next("COMMIT", Fault::NoPosition);
    let error = client.batch_execute("COMMIT").await.unwrap_err();
    assert_that!(message_of(&error), starts_with("may have run: "));
    fleet.primary().fail_next("COMMIT", Fault::NoPosition);
    let block = "BEGIN; INSERT INTO t VALUES ('block'); SELECT 'position'; COMMIT";
    let error = client.batch_execute(block).await.unwrap_err();
    assert_that!(message_of(&error), starts_with("may have run: "));
    client.batch_execute("BEGIN").await.unwrap();
    client.batch_execute("INSERT INTO t VALUES ('outer')").await.unwrap();
    fleet.primary().fail_next("COMMIT", Fault::CommitAndClose);
    let block = "/* a /* nested */ comment */ -- and another\nBEGIN; SELECT 1; COMMIT";
    let error = client.batch_execute(block).await.unwrap_err();
    assert_that!(message_of(&error), starts_with("may have run: "));
    assert_eq!(fleet.commits_of("'outer'"), 1);
}

/// Guards against rows older than the session's own write: the replica says that it has caught up,
/// but answers at an older position.
#[tokio::test(flavor = "multi_thread")]
async fn a_read_at_an_old_position_is_placed_again() {
    let fleet = support::start().await;
    let client = fleet.connect().await;
    client.batch_execute("INSERT INTO t VALUES ('mine')").await.unwrap();
    for endpoint in &fleet.endpoints {
        endpoint.fail_next("old", Fault::Position(LogPosition { term: TERM, offset: 1 }));
    }
    let rows = rows(client.simple_query("SELECT 'old'").await.unwrap());
    assert_eq!(rows.len(), 1);
    let runs = fleet.executed().iter().filter(|sql| sql.contains("'old'")).count();
    assert!(runs >= 2, "the first result was accepted");
}

/// Guards against rows without a position, whose age nobody knows.
#[tokio::test(flavor = "multi_thread")]
async fn rows_without_a_position_are_not_passed_on() {
    let fleet = support::start().await;
    let client = fleet.connect().await;
    client.batch_execute("INSERT INTO t VALUES ('mine')").await.unwrap();
    for endpoint in &fleet.endpoints {
        for _ in 0..8 {
            endpoint.fail_next("ageless", Fault::NoPosition);
        }
    }
    let result = client.simple_query("SELECT 'ageless'").await;
    assert!(result.is_err(), "rows of unknown age were accepted");
}

/// Guards against replies that belong to another statement: what follows the end of a reply is not
/// taken for the next one.
#[tokio::test(flavor = "multi_thread")]
async fn late_replies_are_not_taken_for_the_next_statement() {
    let fleet = support::start().await;
    let client = fleet.connect().await;
    for endpoint in &fleet.endpoints {
        endpoint.fail_next("with_extra", Fault::Extra);
        endpoint.fail_next("with_crossed", Fault::Crossed);
    }
    let _ = client.simple_query("SELECT 'with_extra'").await;
    for number in 0..10 {
        let sql = format!("SELECT 'after{number}'");
        let rows = rows(client.simple_query(&sql).await.unwrap());
        assert_eq!(rows.len(), 1);
        assert_eq!(rows[0].get(0), Some(sql.as_str()));
    }
    let _ = client.simple_query("SELECT 'with_crossed'").await;
    let sql = "SELECT 'after crossed'";
    assert_eq!(rows(client.simple_query(sql).await.unwrap())[0].get(0), Some(sql));
}

/// Guards against a second result that is taken for a part of the first.
#[tokio::test(flavor = "multi_thread")]
async fn a_result_that_was_not_asked_for_is_an_error() {
    let fleet = support::start().await;
    let client = fleet.connect().await;
    for endpoint in &fleet.endpoints {
        endpoint.fail_next("'doubled'", Fault::Twice);
    }
    let result = client.simple_query("SELECT 'doubled'").await;
    let error = result.map(|messages| messages.len()).unwrap_err();
    assert_that!(message_of(&error), starts_with("may have run: "));
    assert_eq!(rows(client.simple_query("SELECT 3").await.unwrap()).len(), 1);
}

/// Guards against a request that is held past its deadline.
#[tokio::test(flavor = "multi_thread")]
async fn a_passed_deadline_is_an_error() {
    let fleet = support::start().await;
    let client = fleet.connect().await;
    client.batch_execute("SET tanagerdeal.deadline_ms = '300'").await.unwrap();
    fleet.primary().fail_next("too_slow", Fault::Delay(Duration::from_secs(20)));
    let started = std::time::Instant::now();
    let error = client.batch_execute("INSERT INTO t VALUES ('too_slow')").await.unwrap_err();
    assert_that!(message_of(&error), starts_with("may have run: "));
    assert!(started.elapsed() < Duration::from_secs(15));
}

/// Guards against session settings that are lost, or reach other sessions, when connections are
/// shared.
#[tokio::test(flavor = "multi_thread")]
async fn settings_follow_their_session() {
    let fleet = support::start().await;
    let first = fleet.connect().await;
    let second = fleet.connect().await;
    first.batch_execute("SET statement_timeout = 1234").await.unwrap();
    for number in 0..6 {
        first.batch_execute(&format!("UPDATE t SET a = {number}")).await.unwrap();
        second.batch_execute(&format!("UPDATE t SET b = {number}")).await.unwrap();
    }
    let mut set: std::collections::HashMap<i32, bool> = Default::default();
    for (pid, sql) in fleet.primary().executed() {
        match sql.as_str() {
            "SET statement_timeout = 1234" => drop(set.insert(pid, true)),
            "RESET ALL" => drop(set.insert(pid, false)),
            sql => {
                let is_set = set.get(&pid).copied().unwrap_or_default();
                assert!(!sql.contains("SET a =") || is_set, "lost before {sql}");
                assert!(!sql.contains("SET b =") || !is_set, "leaked into {sql}");
            }
        }
    }
}

/// Guards against a connection that serves another session although it holds settings, or has lost
/// prepared statements, without the proxy's knowledge.
#[tokio::test(flavor = "multi_thread")]
async fn connections_in_an_unknown_state_are_closed() {
    let fleet = support::start().await;
    let client = fleet.connect().await;
    for endpoint in &fleet.endpoints {
        endpoint.fail_next("'stale'", Fault::Stale);
    }
    let texts =
        ["DISCARD ALL", "SELECT set_config('a', 'b', false)", "DO $$ x $$", "SELECT 'stale'"];
    for sql in texts {
        let _ = client.simple_query(sql).await;
    }
    for number in 0..20 {
        client.simple_query(&format!("SELECT 'later', {number}")).await.unwrap();
        client.batch_execute(&format!("UPDATE t SET later = {number}")).await.unwrap();
    }
    for endpoint in &fleet.endpoints {
        let executed = endpoint.executed();
        for (index, (pid, sql)) in executed.iter().enumerate() {
            let is_last = !executed[index + 1..].iter().any(|(later, _)| later == pid);
            assert!(!texts.contains(&sql.as_str()) || is_last, "reused after {sql}");
        }
    }
    for sql in texts {
        assert!(fleet.executed().iter().any(|executed| executed == sql), "{sql} was not executed");
    }
}

/// Guards against the loss of prepared statements between connections, and against their mixing.
#[tokio::test(flavor = "multi_thread")]
async fn prepared_statements_work_on_every_connection() {
    let fleet = support::start().await;
    let client = fleet.connect().await;
    let other = fleet.connect().await;
    let statement = client.prepare("SELECT $1::text, 'a'").await.unwrap();
    let different = other.prepare("SELECT $1::text, 'b'").await.unwrap();
    for number in 0..20 {
        let value = format!("v{number}");
        let row = client.query_one(&statement, &[&value]).await.unwrap();
        assert_eq!(row.get::<_, String>(0), value);
        let row = other.query_one(&different, &[&value]).await.unwrap();
        assert_eq!(row.get::<_, String>(0), value);
    }
}

/// Guards against a text with several statements outside of a transaction block, and against a
/// block that loses one of its parts.
#[tokio::test(flavor = "multi_thread")]
async fn several_statements_only_as_one_block() {
    let fleet = support::start().await;
    let client = fleet.connect().await;
    let error = client.batch_execute("SELECT 1; SELECT 2").await.unwrap_err();
    assert_eq!(error.code().map(|code| code.code()), Some("0A000"));
    let block = "BEGIN; INSERT INTO t VALUES ('b1'); INSERT INTO t VALUES ('b2'); COMMIT";
    client.batch_execute(block).await.unwrap();
    assert_eq!((fleet.commits_of("b1"), fleet.commits_of("b2")), (1, 1));
}
