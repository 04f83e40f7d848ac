//! Statements, transactions and session state.

use googletest::prelude::*;

use crate::support::{SiteDeployment, until_done};

/// Guards against a session that misses its own write, on the host that made it and on another one
/// whose route demands current data.
#[tokio::test]
async fn a_write_is_seen_by_its_session_and_by_current_reads() {
    let site = SiteDeployment::start(2).await;
    let mut writer = site.session(0, "session").await;
    until_done(&mut writer, "WRITE item one").await;
    let own = writer.query("READ item").await;
    assert_that!(own.rows, elements_are![eq("one")]);
    let mut reader = site.session(1, "current").await;
    let current = until_done(&mut reader, "READ item").await;
    assert_that!(current.rows, elements_are![eq("one")]);
    // The client gets what the endpoint signed.
    assert_that!(current.signature, some(starts_with("sig-")));
}

/// Guards against a session that reads its own write on a replica that does not have it yet.
#[tokio::test]
async fn a_replica_that_is_behind_does_not_serve_the_writer() {
    let site = SiteDeployment::start(1).await;
    let mut client = site.session(0, "session").await;
    until_done(&mut client, "WRITE item one").await;
    site.group.hold(1, true);
    site.group.hold(2, true);
    until_done(&mut client, "WRITE item two").await;
    for _ in 0..10 {
        assert_that!(client.query("READ item").await.rows, elements_are![eq("two")]);
    }
}

/// Guards against bounded reads that all go to the primary, from a host with a replica in its own
/// failure domain.
#[tokio::test]
async fn bounded_reads_run_on_replicas() {
    let site = SiteDeployment::start(2).await;
    let mut client = site.session(1, "bounded").await;
    // The first read has no floor yet and goes to the primary.
    for _ in 0..10 {
        until_done(&mut client, "READ item").await;
    }
    let runs = site.group.runs();
    let on_replicas = runs.iter().filter(|run| run.member != "g1-0").count();
    assert_that!(on_replicas, ge(8));
}

/// Guards against statements of a transaction on another connection or outside it, and against
/// statements that the client did not send.
#[tokio::test]
async fn a_transaction_keeps_to_its_text_and_order() {
    let site = SiteDeployment::start(1).await;
    let mut client = site.session(0, "current").await;
    assert_that!(client.query("BEGIN").await.state.as_str(), eq("T"));
    assert_that!(client.query("WRITE item one").await.state.as_str(), eq("T"));
    let commit = client.next_id();
    assert_that!(client.query("READ item").await.rows, elements_are![eq("one")]);
    assert_that!(client.query("COMMIT").await.state.as_str(), eq("I"));
    let texts: Vec<String> = site.group.runs().into_iter().map(|run| run.text).collect();
    assert_that!(texts, elements_are![eq("WRITE item one"), eq("READ item"), eq("COMMIT")]);
    assert_that!(site.group.runs().iter().any(|run| run.id == commit), eq(true));
}

/// Guards against writes of a transaction that was rolled back, by its client or by its end.
#[tokio::test]
async fn a_transaction_without_commit_leaves_nothing() {
    let site = SiteDeployment::start(1).await;
    let mut client = site.session(0, "current").await;
    client.query("BEGIN").await;
    client.query("WRITE item one").await;
    assert_that!(client.query("ROLLBACK").await.state.as_str(), eq("I"));
    let mut leaver = site.session(0, "current").await;
    leaver.query("BEGIN").await;
    leaver.query("WRITE item two").await;
    drop(leaver);
    let mut reader = site.session(0, "current").await;
    assert_that!(until_done(&mut reader, "READ item").await.rows, elements_are![eq("none")]);
    assert_that!(site.group.commits("item", "two"), eq(0));
}

/// Guards against values and prepared names that reach another client over a shared connection.
#[tokio::test]
async fn session_state_stays_with_its_client() {
    let site = SiteDeployment::start(1).await;
    let (mut left, mut right) =
        (site.session(0, "current").await, site.session(0, "current").await);
    left.query("SET zone a").await;
    left.query("PREPARE s1 WRITE q1").await;
    right.query("PREPARE s1 READ q2").await;
    for round in 0..3 {
        until_done(&mut left, &format!("EXECUTE s1 item {round}")).await;
        let seen = until_done(&mut right, "EXECUTE s1 item").await;
        assert_that!(seen.rows, elements_are![eq(&round.to_string())]);
    }
    for run in site.group.runs() {
        let expected: &[(&str, &str)] = match run.text.starts_with("EXECUTE w") {
            true => &[("zone", "a")],
            false => &[],
        };
        let values: Vec<(&str, &str)> =
            run.values.iter().map(|(name, value)| (name.as_str(), value.as_str())).collect();
        assert_that!(values.as_slice(), eq(expected));
    }
}

/// Guards against messages that cannot be understood: they end nothing but their own session.
#[tokio::test]
async fn garbage_is_refused() {
    let site = SiteDeployment::start(1).await;
    let mut client = site.session(0, "current").await;
    let reply = client.query("FROB item").await;
    assert_that!(reply.failure, some(eq("MALFORMED")));
    assert_that!(until_done(&mut client, "READ item").await.rows, len(eq(1)));
    assert_that!(client.query("COMMIT").await.failure, some(eq("MALFORMED")));
}
