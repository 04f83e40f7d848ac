//! Messages that end too early or within a line.

use googletest::prelude::*;
use tanagerdeal_standin::{ReplyFault, StandinClient};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

use crate::support::{KEY, SiteDeployment, SiteHost, until_done};

/// Sends bytes on a new session, ends the connection in order, and returns what the host sent.
async fn send_and_leave(host: &SiteHost, bytes: &str) -> String {
    let mut stream = TcpStream::connect(host.callers).await.unwrap();
    stream.write_all(format!("STARTUP current {KEY}\r\n{bytes}").as_bytes()).await.unwrap();
    stream.shutdown().await.unwrap();
    let mut answer = String::new();
    // A host that has not read everything resets the connection after its answer.
    let _ = stream.read_to_string(&mut answer).await;
    answer
}

/// Guards against a statement whose client left within it: what had arrived was run.
#[tokio::test]
async fn an_unfinished_statement_is_not_run() {
    let site = SiteDeployment::start(1).await;
    until_done(&mut site.session(0, "current").await, "WRITE item one").await;
    for unfinished in ["QUERY 1 WRITE cut 20-rakes-of", "QUERY 1 WRITE cut 20-rakes\r"] {
        send_and_leave(&site.hosts[0], unfinished).await;
    }
    // A whole statement is run, also when its client has ended its side of the connection.
    let answer = send_and_leave(&site.hosts[0], "QUERY 2 WRITE item two\r\n").await;
    assert_that!(answer, contains_substring("COMPLETE sig-2"));
    let ids: Vec<String> = site.group.runs().into_iter().map(|run| run.id).collect();
    assert_that!(ids, not(contains(eq("1"))));
}

/// Guards against a statement that holds another one behind a line feed: an endpoint ran both.
#[tokio::test]
async fn a_line_feed_within_a_statement_smuggles_nothing() {
    let site = SiteDeployment::start(1).await;
    until_done(&mut site.session(0, "current").await, "WRITE item one").await;
    let before = site.group.runs().len();
    let smuggled = "QUERY 1 WRITE item a\nQUERY 2 WRITE item b\r\n";
    let answer = send_and_leave(&site.hosts[0], smuggled).await;
    assert_that!(answer, contains_substring("ERROR MALFORMED"));
    assert_that!(site.group.runs(), len(eq(before)));
}

/// A client at the host beside the first replica, after twelve writes. Replicas get no later one.
async fn writer_beside_held_replica(site: &SiteDeployment) -> StandinClient {
    let mut client = site.session(1, "session").await;
    for number in 0..12 {
        until_done(&mut client, &format!("WRITE item{number} one")).await;
    }
    site.group.hold(1, true);
    site.group.hold(2, true);
    client
}

/// Guards against a reply that is cut off within its position, which is then too low: the session's
/// next read ran on a replica without the session's own write.
#[tokio::test]
async fn a_reply_that_is_cut_off_acknowledges_nothing() {
    let site = SiteDeployment::start(2).await;
    let mut client = writer_beside_held_replica(&site).await;
    // The line end and the last digit of the position.
    site.group.set_reply_fault(Some(ReplyFault::Cut { item: "slip".to_owned(), bytes: 3 }));
    let reply = client.query("WRITE slip two").await;
    site.group.set_reply_fault(None);
    let rows = client.query("READ slip").await.rows;
    let is_kept = reply.failure.is_some() || rows == ["two"];
    assert_that!(is_kept, eq(true), "{reply:?}, then {rows:?}");
    assert_that!(reply.failure, some(eq("INDOUBT")));
}

/// Guards against the same when the reply of a write shows no position at all.
#[tokio::test]
async fn a_write_without_a_position_is_read_on_the_primary() {
    let site = SiteDeployment::start(2).await;
    let mut client = writer_beside_held_replica(&site).await;
    site.group.set_reply_fault(Some(ReplyFault::NoPosition { item: "slip".to_owned() }));
    until_done(&mut client, "WRITE slip two").await;
    assert_that!(until_done(&mut client, "READ slip").await.rows, elements_are![eq("two")]);
}
