//! Who gets in, what reaches the endpoints, and what a cancel request reaches.

use std::time::Duration;

use googletest::prelude::*;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio_postgres::NoTls;

use crate::support::script::Fault;
use crate::support::{CUSTOMER, KEY_SECRET, OPEN_ROUTE};

/// Guards against a client's key, user name, options or application name at an endpoint.
#[tokio::test(flavor = "multi_thread")]
async fn endpoints_see_nothing_of_a_start_up() {
    let fleet = crate::support::start().await;
    let mut config = fleet.config();
    config.application_name("caller-application").options("-c caller_option=1");
    let client = crate::support::connect_with(&config).await.unwrap();
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
    let fleet = crate::support::start().await;
    let mut config = fleet.config();
    let error = crate::support::connect_with(config.password("k1.wrong")).await.err().unwrap();
    assert_eq!(error.code().map(|code| code.code()), Some("28P01"));
    let mut open = tokio_postgres::Config::new();
    open.host("127.0.0.1").port(fleet.host.callers.port()).user(CUSTOMER).dbname(OPEN_ROUTE);
    let client = crate::support::connect_with(&open).await.unwrap();
    client.simple_query("SELECT 1").await.unwrap();
}

/// Guards against a cancel request that does not stop the statement it was meant for, or that
/// reaches the next user of the connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_cancel_request_reaches_only_its_own_statement() {
    let fleet = crate::support::start().await;
    let client = std::sync::Arc::new(fleet.connect().await);
    for _ in 0..5 {
        fleet.primary().fail_next("endless", Fault::AwaitCancel);
        let running = client.clone();
        let task =
            tokio::spawn(async move { running.batch_execute("UPDATE endless SET a = 1").await });
        crate::support::eventually("the statement runs", || {
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
    let fleet = crate::support::start().await;
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

/// Guards against invalid input that harms more than its own connection.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_input_closes_only_its_own_connection() {
    let fleet = crate::support::start_with("[limits]\nstartup_timeout_ms = 500\n").await;
    let client = fleet.connect().await;
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
    client.simple_query("SELECT 1").await.unwrap();
}

/// Guards against a message that is longer than the limit being kept in memory.
#[tokio::test(flavor = "multi_thread")]
async fn a_message_above_the_limit_is_refused() {
    let fleet = crate::support::start_with("[limits]\nmax_message_bytes = 10000\n").await;
    let client = fleet.connect().await;
    let sql = format!("SELECT '{}'", "x".repeat(20_000));
    let error = client.simple_query(&sql).await.unwrap_err();
    assert_eq!(error.code().map(|code| code.code()), Some("54000"));
    fleet.connect().await.simple_query("SELECT 1").await.unwrap();
}
