//! Replication, terms and position reports of the stand-in of a member.

use crate::common::{TestMember, sqlstate};
use bytes::BytesMut;
use googletest::prelude::*;
use pgwire::messages::simplequery::Query;
use pgwire::messages::startup::{Password, PasswordMessageFamily, Startup};
use pgwire::messages::{DecodeContext, PgWireBackendMessage, PgWireFrontendMessage};
use serde_json::json;
use tanagerdeal_wire::member::{LogPosition, MemberRole};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

const CREATE: &str = "CREATE TABLE stock (item text PRIMARY KEY, amount int)";

async fn group_of_three() -> [TestMember; 3] {
    let members = [
        TestMember::start("a", Some(1)).await,
        TestMember::start("b", None).await,
        TestMember::start("c", None).await,
    ];
    for replica in &members[1..] {
        expect_that!(replica.follow(1, &members[0]).await.granted, eq(true));
    }
    members
}

async fn execute(member: &TestMember, text: &str) -> std::result::Result<(), String> {
    let client = member.connect().await.map_err(|error| sqlstate(&error))?;
    client.batch_execute(text).await.map_err(|error| sqlstate(&error))
}

async fn total(member: &TestMember) -> i64 {
    let client = member.connect().await.expect("a connection");
    let row = client.query_one("SELECT count(*) FROM stock", &[]).await.expect("a row");
    row.get(0)
}

/// Sends a text over a raw connection and lists what comes back, in order.
async fn raw_exchange(member: &TestMember, text: &str) -> Vec<String> {
    let mut stream = TcpStream::connect(member.addresses.sql).await.expect("a connection");
    let mut startup = Startup::new();
    startup.parameters.insert("user".to_owned(), "proxy".to_owned());
    let password = PasswordMessageFamily::Password(Password::new("service".to_owned()));
    let messages = [
        PgWireFrontendMessage::Startup(startup),
        PgWireFrontendMessage::PasswordMessageFamily(password),
        PgWireFrontendMessage::Query(Query::new(text.to_owned())),
    ];
    let mut output = BytesMut::new();
    messages.iter().for_each(|message| message.encode(&mut output).expect("a message"));
    stream.write_all(&output).await.expect("bytes sent");
    let (mut input, mut seen, mut ready) = (BytesMut::new(), Vec::new(), 0);
    while ready < 2 {
        match PgWireBackendMessage::decode(&mut input, &DecodeContext::default())
            .expect("a message")
        {
            None => assert_ne!(stream.read_buf(&mut input).await.expect("bytes"), 0),
            Some(PgWireBackendMessage::ReadyForQuery(_)) => ready += 1,
            Some(PgWireBackendMessage::ParameterStatus(status)) if ready == 1 => {
                seen.push(format!("{}={}", status.name, status.value));
            }
            Some(PgWireBackendMessage::DataRow(_)) => seen.push("row".to_owned()),
            Some(PgWireBackendMessage::CommandComplete(complete)) => seen.push(complete.tag),
            Some(_) => {}
        }
    }
    seen
}

/// Guards against positions that arrive after the rows or the completion they belong to.
#[gtest]
#[tokio::test]
async fn position_comes_before_rows_and_completions() {
    let member = TestMember::start("a", Some(1)).await;
    execute(&member, CREATE).await.expect("a table");
    let seen = raw_exchange(&member, "INSERT INTO stock VALUES ('bolt', 1)").await;
    expect_that!(seen, eq(&vec!["cluster_position=1/3".to_owned(), "INSERT 0 1".to_owned()]));
    let seen = raw_exchange(&member, "SELECT * FROM stock").await;
    let expected = ["cluster_position=1/3", "row", "SELECT 1"];
    expect_that!(seen, eq(&expected.map(str::to_owned).to_vec()));
    let block = "BEGIN; UPDATE stock SET amount = 2; SELECT * FROM stock; COMMIT";
    let seen = raw_exchange(&member, block).await;
    let expected = [
        "BEGIN",
        "UPDATE 1",
        "cluster_position=1/3",
        "row",
        "SELECT 1",
        "cluster_position=1/4",
        "COMMIT",
    ];
    expect_that!(seen, eq(&expected.map(str::to_owned).to_vec()));
}

/// Guards against replicas that do not catch up, or that show entries before their lag has passed.
#[gtest]
#[tokio::test]
async fn replicas_lag_and_freeze_as_told() {
    let [primary, replica, other] = group_of_three().await;
    execute(&primary, CREATE).await.expect("a table");
    replica.wait_applied(2).await;
    replica.faults(json!({"lag_ms": 400})).await;
    let start = std::time::Instant::now();
    execute(&primary, "INSERT INTO stock VALUES ('bolt', 1)").await.expect("a row");
    other.wait_applied(3).await;
    expect_that!(replica.status().await.applied.offset, eq(2));
    replica.wait_applied(3).await;
    expect_that!(start.elapsed().as_millis(), ge(400));
    other.faults(json!({"freeze_replication": true})).await;
    execute(&primary, "INSERT INTO stock VALUES ('nut', 1)").await.expect("a row");
    replica.wait_applied(4).await;
    expect_that!(other.status().await.applied.offset, eq(3));
    other.faults(json!({"freeze_replication": false})).await;
    other.wait_applied(4).await;
    expect_that!(execute(&replica, "DELETE FROM stock").await, err(eq("25006")));
}

/// Guards against two primaries of one term, which two promoters could otherwise create.
#[gtest]
#[tokio::test]
async fn a_term_is_promised_to_one_promoter() {
    let [primary, replica, _] = group_of_three().await;
    replica.wait_applied(1).await;
    expect_that!(replica.fence(2, "p").await.granted, eq(true));
    expect_that!(replica.fence(2, "q").await.granted, eq(false));
    expect_that!(replica.fence(1, "q").await.granted, eq(false));
    expect_that!(replica.fence(2, "p").await.granted, eq(true));
    expect_that!(replica.promote(2, "q").await.granted, eq(false));
    expect_that!(replica.follow(1, &primary).await.granted, eq(false));
    expect_that!(replica.promote(2, "p").await.granted, eq(true));
    expect_that!(replica.promote(2, "p").await.granted, eq(true));
    let status = replica.status().await;
    expect_that!(status.role, eq(MemberRole::Primary));
    expect_that!(status.applied, eq(LogPosition { term: 2, offset: 2 }));
    expect_that!(status.term_history.last().map(|start| start.offset), some(eq(1)));
}

/// Guards against a replaced primary that keeps writes which its group does not have.
#[gtest]
#[tokio::test]
async fn replaced_primary_drops_its_diverging_tail() {
    let [old, new, other] = group_of_three().await;
    execute(&old, CREATE).await.expect("a table");
    new.wait_applied(2).await;
    other.wait_applied(2).await;
    for member in [&new, &other] {
        expect_that!(member.fence(2, "p").await.granted, eq(true));
    }
    // Nobody told the old primary, so it goes on executing.
    execute(&old, "INSERT INTO stock VALUES ('lost-1', 1), ('lost-2', 1)").await.expect("rows");
    expect_that!(old.status().await.role, eq(MemberRole::Primary));
    expect_that!(new.promote(2, "p").await.granted, eq(true));
    expect_that!(other.follow(2, &new).await.granted, eq(true));
    execute(&new, "INSERT INTO stock VALUES ('kept', 1)").await.expect("a row");
    other.wait_applied(4).await;
    expect_that!(old.follow(2, &new).await.granted, eq(true));
    old.wait_applied(4).await;
    expect_that!(total(&old).await, eq(1));
    expect_that!(old.status().await.term_history, eq(&new.status().await.term_history));
    expect_that!(execute(&old, "DELETE FROM stock").await, err(eq("25006")));
}

/// Guards against a write of an open transaction that a fence should have stopped.
#[gtest]
#[tokio::test]
async fn a_fence_stops_open_transactions() {
    let member = TestMember::start("a", Some(1)).await;
    execute(&member, CREATE).await.expect("a table");
    let client = member.connect().await.expect("a connection");
    client.batch_execute("BEGIN").await.expect("a block");
    client.batch_execute("INSERT INTO stock VALUES ('bolt', 1)").await.expect("a row");
    expect_that!(member.fence(2, "p").await.granted, eq(true));
    let error = client.batch_execute("COMMIT").await.expect_err("a fenced commit");
    expect_that!(sqlstate(&error), eq("25006"));
    expect_that!(total(&member).await, eq(0));
    expect_that!(member.promote(2, "p").await.granted, eq(true));
    execute(&member, "INSERT INTO stock VALUES ('bolt', 1)").await.expect("no lock is left");
}

/// Guards against faults of the member API that hit the wrong failure domain.
#[gtest]
#[tokio::test]
async fn api_faults_follow_the_failure_domain() {
    let member = TestMember::start("a", Some(1)).await;
    let faults = json!({"refuse_domains": ["akl-b"], "blackhole_domains": ["ham-c"]});
    member.faults(faults).await;
    let ask = |domain: &'static str| {
        let url = format!("http://{}/v1/status", member.addresses.api);
        let request = member.http.get(url).header("x-domain", domain);
        request.timeout(std::time::Duration::from_millis(300)).send()
    };
    let statuses = tokio::join!(ask("akl-a"), ask("akl-b"), ask("ham-c"));
    expect_that!(statuses.0.expect("an answer").status().as_u16(), eq(200));
    expect_that!(statuses.1.expect("an answer").status().as_u16(), eq(503));
    expect_that!(statuses.2.expect_err("no answer").is_timeout(), eq(true));
}

/// Guards against a dropped connection that is not dropped, which would hide reconnection faults.
#[gtest]
#[tokio::test]
async fn connections_are_dropped_on_request() {
    let member = TestMember::start("a", Some(1)).await;
    let client = member.connect().await.expect("a connection");
    member.post("/control/drop", json!({})).await;
    let error = client.batch_execute("SELECT 1").await.expect_err("a closed connection");
    expect_that!(error.is_closed(), eq(true));
    execute(&member, "SELECT 1").await.expect("new connections are accepted");
}
