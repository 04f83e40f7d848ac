//! Who gets in, what reaches the endpoints, and what a cancel request reaches.

use std::time::Duration;

use googletest::prelude::*;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio_postgres::NoTls;

use crate::support;
use crate::support::script::Fault;
use crate::support::{CUSTOMER, KEY_SECRET, OPEN_ROUTE};

/// Guards against a client's key, user name, options or application name at an endpoint.
#[tokio::test(flavor = "multi_thread")]
async fn endpoints_see_nothing_of_a_start_up() {
    let fleet = support::start().await;
    let mut config = fleet.config();
    config.application_name("caller-application").options("-c caller_option=1");
    let client = support::connect_with(&config).await.unwrap();
    client.simple_query("SELECT 1").await.unwrap();
    client.query("SELECT $1::text", &[&"x"]).await.unwrap();
    client.batch_execute("UPDATE t SET a = 1").await.unwrap();
    for endpoint in &fleet.endpoints {
        let bytes = endpoint.received();
        for secret in [KEY_SECRET, CUSTOMER, "k1.", "caller-application", "caller_option"] {
            let found = bytes.windows(secret.len()).any(|part| part == secret.as_bytes());
            assert!(!found, "{secret} at {}", endpoint.name);
        }
    }
}

/// Guards against a session for a wrong key, and against a key on a route that is open to all.
#[tokio::test(flavor = "multi_thread")]
async fn keys_are_checked_except_on_open_routes() {
    let fleet = support::start().await;
    let mut config = fleet.config();
    let error = support::connect_with(config.password("k1.wrong")).await.err().unwrap();
    assert_eq!(error.code().map(|code| code.code()), Some("28P01"));
    let mut open = tokio_postgres::Config::new();
    open.host("127.0.0.1").port(fleet.host.callers.port()).user(CUSTOMER).dbname(OPEN_ROUTE);
    let client = support::connect_with(&open).await.unwrap();
    client.simple_query("SELECT 1").await.unwrap();
}

/// Guards against a cancel request that does not stop the statement it was meant for, or that
/// reaches the next user of the connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_cancel_request_reaches_only_its_own_statement() {
    let fleet = support::start().await;
    let client = std::sync::Arc::new(fleet.connect().await);
    for _ in 0..5 {
        fleet.primary().fail_next("endless", Fault::AwaitCancel);
        let running = client.clone();
        let task =
            tokio::spawn(async move { running.batch_execute("UPDATE endless SET a = 1").await });
        support::eventually("the statement runs", || {
            fleet.primary().executed().last().is_some_and(|(_, sql)| sql.contains("endless"))
        })
        .await;
        let others = fleet.connect().await;
        client.cancel_token().cancel_query(NoTls).await.unwrap();
        let error = task.await.unwrap().unwrap_err();
        assert_eq!(error.code().map(|code| code.code()), Some("57014"));
        others.batch_execute("UPDATE t SET other = 1").await.unwrap();
        client.batch_execute("UPDATE t SET next = 1").await.unwrap();
    }
    client.cancel_token().cancel_query(NoTls).await.unwrap();
    for (pid, text) in fleet.primary().cancels() {
        assert_that!(text, some(contains_substring("endless")), "connection {pid}");
    }
    assert_that!(fleet.primary().cancels(), len(eq(5)));
}

/// Guards against a cancel request with a wrong secret.
#[tokio::test(flavor = "multi_thread")]
async fn a_cancel_request_needs_the_secret() {
    let fleet = support::start().await;
    let client = fleet.connect().await;
    fleet.primary().fail_next("guarded", Fault::Delay(Duration::from_millis(300)));
    let running =
        tokio::spawn(async move { client.batch_execute("UPDATE guarded SET a = 1").await });
    for pid in 1..50_i32 {
        let mut socket = TcpStream::connect(fleet.host.callers).await.unwrap();
        let mut packet = Vec::new();
        packet.extend_from_slice(&16_i32.to_be_bytes());
        packet.extend_from_slice(&80_877_102_i32.to_be_bytes());
        packet.extend_from_slice(&pid.to_be_bytes());
        packet.extend_from_slice(&0_i32.to_be_bytes());
        socket.write_all(&packet).await.unwrap();
    }
    running.await.unwrap().unwrap();
    assert_that!(fleet.primary().cancels(), is_empty());
}

async fn refused_startups(fleet: &support::TestFleet) -> u64 {
    let metrics = fleet.page("/metrics").await;
    let line =
        metrics.lines().find_map(|line| line.strip_prefix("tanagerdeal_refused_startups_total "));
    line.unwrap().parse().unwrap()
}

/// Guards against invalid input that harms more than its own connection.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_input_closes_only_its_own_connection() {
    let fleet = support::start_with("[limits]\nstartup_timeout_ms = 500\n").await;
    let client = fleet.connect().await;
    let before = refused_startups(&fleet).await;
    let inputs: [&[u8]; 6] = [
        b"GET / HTTP/1.1\r\n\r\n",
        &[0, 0, 0, 8, 0, 9, 0, 0],
        &[0x7f, 0xff, 0xff, 0xff, 0, 3, 0, 0],
        &[0, 0, 0, 1],
        &[0, 0, 0, 9, 0, 3, 0, 0, 0],
        &[0xff; 4096],
    ];
    for input in inputs {
        let mut socket = TcpStream::connect(fleet.host.callers).await.unwrap();
        socket.write_all(input).await.unwrap();
        let mut rest = Vec::new();
        let _ = socket.read_to_end(&mut rest).await;
    }
    let mut dripping = TcpStream::connect(fleet.host.callers).await.unwrap();
    let mut is_closed = false;
    for _ in 0..100 {
        is_closed = dripping.write_all(&[0]).await.is_err();
        if is_closed {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(is_closed, "a client that sends a byte at a time is kept for ever");
    let end = std::time::Instant::now() + Duration::from_secs(20);
    while refused_startups(&fleet).await < before + 7 {
        assert!(std::time::Instant::now() < end, "not all refused connections are counted");
    }
    client.simple_query("SELECT 1").await.unwrap();
}

/// Guards against a message that is longer than the limit being kept in memory.
#[tokio::test(flavor = "multi_thread")]
async fn a_message_above_the_limit_is_refused() {
    let fleet = support::start_with("[limits]\nmax_message_bytes = 10000\n").await;
    let client = fleet.connect().await;
    let sql = format!("SELECT '{}'", "x".repeat(20_000));
    let error = client.simple_query(&sql).await.unwrap_err();
    assert_eq!(error.code().map(|code| code.code()), Some("54000"));
    fleet.connect().await.simple_query("SELECT 1").await.unwrap();
}

/// Guards against more sessions than the host has memory for, and against a place that is not freed.
#[tokio::test(flavor = "multi_thread")]
async fn sessions_above_the_limit_are_refused() {
    let fleet = support::start_with("[limits]\nmax_sessions = 3\n").await;
    let mut clients = Vec::new();
    let refused = loop {
        match support::connect_with(&fleet.config()).await {
            Ok(client) => clients.push(client),
            Err(error) => break error,
        }
    };
    assert_eq!(refused.code().map(|code| code.code()), Some("53300"));
    assert!(clients.len() <= 3);
    drop(clients.pop());
    let end = std::time::Instant::now() + Duration::from_secs(20);
    while support::connect_with(&fleet.config()).await.is_err() {
        assert!(std::time::Instant::now() < end, "the place of a closed session is not freed");
    }
}

/// Guards against a cancel request that is ignored while the statement waits for an endpoint.
#[tokio::test(flavor = "multi_thread")]
async fn a_waiting_statement_can_be_cancelled() {
    let fleet = support::start().await;
    let mut blocked = Vec::new();
    for number in 0..40 {
        fleet.primary().fail_next("SET blocked", Fault::Delay(Duration::from_secs(2)));
        let client = fleet.connect().await;
        blocked.push(tokio::spawn(async move {
            let _ = client.batch_execute(&format!("UPDATE t SET blocked = {number}")).await;
        }));
    }
    let busy = || fleet.primary().executed().iter().any(|(_, sql)| sql.contains("blocked"));
    support::eventually("the primary is busy", busy).await;
    let client = std::sync::Arc::new(fleet.connect().await);
    let waiting = client.clone();
    let task = tokio::spawn(async move { waiting.batch_execute("UPDATE t SET waiting = 1").await });
    let mut task = std::pin::pin!(task);
    let error = loop {
        client.cancel_token().cancel_query(NoTls).await.unwrap();
        let short = Duration::from_millis(20);
        if let Ok(result) = tokio::time::timeout(short, &mut task).await {
            break result.unwrap().unwrap_err();
        }
    };
    assert_eq!(error.code().map(|code| code.code()), Some("57014"));
    let message = error.as_db_error().unwrap().message().to_owned();
    let has_run = fleet.primary().executed().iter().any(|(_, sql)| sql.contains("waiting"));
    assert_eq!(has_run, !message.starts_with("not run: "), "{message}");
}

/// Guards against sessions that are kept for ever without a request.
#[tokio::test(flavor = "multi_thread")]
async fn idle_sessions_are_closed() {
    let limits = "[limits]\nidle_session_ms = 200\nidle_in_transaction_ms = 100\n";
    let fleet = support::start_with(limits).await;
    let idle = fleet.connect().await;
    let open = fleet.connect().await;
    open.batch_execute("BEGIN").await.unwrap();
    open.batch_execute("INSERT INTO t VALUES ('idle')").await.unwrap();
    support::eventually("both close", || idle.is_closed() && open.is_closed()).await;
    assert_eq!(fleet.commits_of("'idle'"), 0);
}
