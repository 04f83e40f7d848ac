//! Guarantee 13: a graceful shutdown interrupts no request.

use std::net::SocketAddr;
use std::time::Duration;

use googletest::prelude::*;
use tanagerdeal_testbed::clock::now_us;
use tanagerdeal_testbed::history::{
    HistoryLine, Invocation, OperatorAction, Outcome, OutcomeVerdict, RequestKind, request_tag,
};
use tokio_postgres::NoTls;
use tokio_postgres::error::SqlState;

use crate::support::{ProofRun, expect_kept};

/// Time for which a transaction stays open: past the notice of 2 s, so that it ends while the host
/// only waits for its last transactions.
const OPEN_TIME: Duration = Duration::from_secs(5);

/// Pause of a client that was refused for load.
const COME_BACK: Duration = Duration::from_millis(50);

/// Numbers of the long transactions, above those of the load.
const FIRST_REQUEST: u64 = 9_000_000;

/// Runs a transaction of two inserts that stays open for a while.
async fn run_long(address: SocketAddr, password: &str, tag: &str) -> OutcomeVerdict {
    let mut config = tokio_postgres::Config::new();
    config.host(address.ip().to_string()).port(address.port());
    config.user("yard-4").password(password).dbname("orders");
    let Ok((client, connection)) = config.connect(NoTls).await else {
        return OutcomeVerdict::NotRun;
    };
    tokio::spawn(connection);
    let insert = |number: u32| {
        format!("INSERT INTO orders VALUES ('{tag}{number}', 'yard-4', 'bolt', '{tag}')")
    };
    // A refusal of the first statement has not run, so no transaction is open that a shutdown could
    // interrupt; the client comes back until it has one.
    while let Err(error) = client.batch_execute("BEGIN").await {
        println!("long transaction, not begun: {error:?}");
        if error.code() != Some(&SqlState::TOO_MANY_CONNECTIONS) {
            return OutcomeVerdict::Lost;
        }
        tokio::time::sleep(COME_BACK).await;
    }
    let result = async {
        client.batch_execute(&insert(1)).await?;
        tokio::time::sleep(OPEN_TIME).await;
        client.batch_execute(&insert(2)).await?;
        client.batch_execute("COMMIT").await
    };
    match result.await {
        Ok(()) => OutcomeVerdict::Done,
        Err(error) => {
            println!("long transaction: {error:?}");
            OutcomeVerdict::Lost
        }
    }
}

/// Starts a long transaction through a host and returns its lines of the history.
async fn long_transaction(run: &ProofRun, host: &str, number: u64) -> [HistoryLine; 2] {
    let (request, attempt) = (FIRST_REQUEST + number, 1);
    let password = run.deployment.password("yard-4");
    let address = run.deployment.host(host).expect("a host").caller;
    let start_us = now_us();
    let verdict = run_long(address, &password, &request_tag(request, attempt)).await;
    let invocation = Invocation {
        request,
        attempt,
        process: request,
        session: request,
        customer: "yard-4".to_owned(),
        key_name: run.deployment.key_name("yard-4"),
        host: host.to_owned(),
        kind: RequestKind::Transaction,
        items: vec!["1".to_owned(), "2".to_owned()],
        request_id: None,
        max_age_ms: 0,
        deadline_ms: 5_000,
        due_us: start_us,
        start_us,
    };
    let outcome = Outcome {
        request,
        attempt,
        end_us: now_us(),
        verdict,
        sqlstate: String::new(),
        message: String::new(),
        retry_after_ms: None,
        rows: Vec::new(),
    };
    [HistoryLine::Invoked(invocation), HistoryLine::Ended(outcome)]
}

/// Guards against requests and transactions that hosts drop when they shut down under load, and
/// against a transaction that is cut off because it lasts longer than the notice.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn g13_shutdown_under_load() {
    let mut run =
        ProofRun::start("g13-shutdown", 1301, 12_000, |load| load.mix.transactions = 25).await;
    for (number, host) in ["akl-b-1", "ham-c-1"].into_iter().enumerate() {
        let terminate = async {
            tokio::time::sleep(Duration::from_millis(500)).await;
            run.deployment.terminate(host).expect("a running host");
            now_us()
        };
        let long = long_transaction(&run, host, number as u64);
        let (lines, asked_at_us) = tokio::join!(long, terminate);
        run.added.extend(lines);
        run.note_at(asked_at_us, OperatorAction::ShutDownHost, host, 0);
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
