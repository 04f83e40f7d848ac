//! Pooling of connections between hosts, while hosts fail.

mod links;

use std::time::{Duration, Instant};

use googletest::prelude::*;
use hmac::{Hmac, Mac as _};
use serde_json::{Value, json};
use sha2::Sha256;
use tanagerdeal_standin::{ClientReply, StandinClient, StandinGroup, StandinStore, configuration};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::support::{KEY, OTHER_KEY, SiteDeployment, SiteHost, until, until_done};

/// Secret of the fleet.
const SECRET: &[u8] = b"a secret that the tests know too";
/// Hosts in the failure domain of the primary, and one in another.
const POOL_HOST: usize = 0;
const CLIENT_HOST: usize = 1;
/// Time in which reads go on when a pool host does not reply.
const READ_LIMIT: Duration = Duration::from_secs(1);
/// Time in which a withdrawn key has to stop. The users grant 3 s.
const APPLY_LIMIT: Duration = Duration::from_secs(3);

/// Operations of the customer in a second. A sixteenth of it, as a host may have for its share, covers
/// all clients of a test.
const RATE: u32 = 100_000;

/// A configuration in which transactions may stay idle for longer than a test takes.
fn pooled_configuration(version: u64, keys: &[&str]) -> Value {
    let mut config = configuration(version, "g1", &[("acme", keys, RATE)]);
    config["limits"]["transactionIdleMs"] = json!(60_000);
    config
}

/// Starts hosts that pool connections. The first one is the pool host of the primary.
async fn start(hosts: usize) -> SiteDeployment {
    let store = StandinStore::start().await.unwrap();
    store.put_bytes("fleet", "secret", SECRET);
    let group = StandinGroup::start(&store, "g1", &["d1", "d2", "d3"]).await.unwrap();
    store.put("op", "config", &pooled_configuration(1, &[KEY, OTHER_KEY]));
    let hosts = (0..hosts).map(|index| SiteHost::start_pooled(store.address(), index)).collect();
    let site = SiteDeployment { store, group, hosts };
    wait_until_pooled(&site).await;
    site
}

/// Waits until the hosts are ready and statements for the primary are forwarded.
async fn wait_until_pooled(site: &SiteDeployment) {
    for host in &site.hosts {
        host.wait_ready().await;
    }
    let mut client = site.session(CLIENT_HOST, "current").await;
    let is_forwarded = async || counted(site, "forwarded").await > 0;
    let end = Instant::now() + crate::support::WAIT_LIMIT;
    while !is_forwarded().await {
        until_done(&mut client, "WRITE warm up").await;
        assert!(Instant::now() < end, "no statement is forwarded");
    }
}

/// Statements of the clients' host by what became of them.
async fn counted(site: &SiteDeployment, outcome: &str) -> u64 {
    let (_, text) = site.hosts[CLIENT_HOST].page("/metrics").await;
    let name = format!("tanagerdeal_forwarded_total{{outcome=\"{outcome}\"}}");
    let line = text.lines().find(|line| line.starts_with(&name));
    line.and_then(|line| line.rsplit(' ').next()?.parse().ok()).unwrap_or(0)
}

/// Sends a statement from a session of its own, and waits until the endpoint has it.
async fn stalled_write(site: &SiteDeployment) -> JoinHandle<ClientReply> {
    let mut client = site.session(CLIENT_HOST, "current").await;
    until_done(&mut client, "READ item").await;
    site.group.stall(Some("slow"));
    let write = tokio::spawn(async move { client.query("WRITE slow one").await });
    until("the write is outstanding", async || site.group.stalled() == 1).await;
    write
}

/// Guards against statements that are not forwarded, a connection for nearly every statement, and
/// session values and prepared names that are lost or mixed up between the hosts.
#[tokio::test]
async fn statements_run_on_few_connections_of_the_pool_host() {
    let site = start(2).await;
    let (before, runs_before) = (counted(&site, "forwarded").await, site.group.runs().len());
    for round in 0..10 {
        let mut left = site.session(CLIENT_HOST, "current").await;
        let mut right = site.session(CLIENT_HOST, "current").await;
        left.query("SET zone a").await;
        left.query("PREPARE s1 WRITE q1").await;
        right.query("PREPARE s1 READ q2").await;
        until_done(&mut left, &format!("EXECUTE s1 item {round}")).await;
        let seen = until_done(&mut right, "EXECUTE s1 item").await;
        assert_that!(seen.rows, elements_are![eq(&round.to_string())]);
    }
    assert_that!(counted(&site, "forwarded").await - before, ge(20));
    let runs = site.group.runs().split_off(runs_before);
    let mut connections: Vec<u64> = runs.iter().map(|run| run.connection).collect();
    connections.sort_unstable();
    connections.dedup();
    assert_that!(connections.len(), le(2));
    for run in runs {
        let has_zone = run.values == [("zone".to_owned(), "a".to_owned())];
        assert_that!(has_zone, eq(run.text.starts_with("EXECUTE w")), "{run:?}");
    }
}

/// Guards against statements of a forwarded transaction on several connections, and against a
/// connection that stays bound after a rollback by the client or by its end.
#[tokio::test]
async fn a_forwarded_transaction_keeps_and_frees_its_connection() {
    let site = start(2).await;
    let mut client = site.session(CLIENT_HOST, "current").await;
    let mut other = site.session(CLIENT_HOST, "current").await;
    for end in ["COMMIT", "ROLLBACK", "leave"] {
        let before = site.group.runs().len();
        client.query("BEGIN").await;
        assert_that!(client.query(&format!("WRITE item {end}")).await.failure, none());
        until_done(&mut other, "WRITE other one").await;
        assert_that!(client.query("READ item").await.rows, elements_are![eq(end)]);
        let runs = site.group.runs().split_off(before);
        let own: Vec<u64> =
            runs.iter().filter(|run| run.text.contains("item")).map(|run| run.connection).collect();
        assert_that!(own, elements_are![eq(&own[0]), eq(&own[0])]);
        let others = runs.iter().filter(|run| run.text.contains("other"));
        assert_that!(others.map(|run| run.connection).collect::<Vec<_>>(), each(not(eq(&own[0]))));
        if end == "leave" {
            drop(client);
            client = site.session(CLIENT_HOST, "current").await;
        } else {
            assert_that!(client.query(end).await.state.as_str(), eq("I"));
        }
        let limit = Instant::now() + crate::support::WAIT_LIMIT;
        while site.group.runs().last().unwrap().connection != own[0] {
            until_done(&mut other, "READ other").await;
            assert!(Instant::now() < limit, "{end}: the connection is still bound");
        }
    }
    assert_that!(site.group.commits("item", "COMMIT"), eq(1));
    assert_that!(site.group.commits("item", "ROLLBACK"), eq(0));
    assert_that!(site.group.commits("item", "leave"), eq(0));
}

/// Guards against a write that is reported as not run, or run twice, when its pool host is killed,
/// and against statements that stop with it.
#[tokio::test]
async fn a_killed_pool_host_leaves_its_write_in_doubt() {
    for hosts in [2, 4] {
        let mut site = start(hosts).await;
        let write = stalled_write(&site).await;
        let mut reader = site.session(CLIENT_HOST, "current").await;
        // With two hosts of the domain, either may be the pool host.
        let is_pool_host = |host: &usize| site.hosts[*host].log().contains("\"event\":\"link\"");
        let candidates = (0..hosts).step_by(3).filter(is_pool_host).collect::<Vec<_>>();
        assert_that!(candidates, not(is_empty()));
        for host in candidates {
            site.hosts[host].kill();
        }
        let reply = write.await.unwrap();
        assert_that!(reply.failure, some(eq("INDOUBT")), "{reply:?}");
        assert_that!(reader.query("READ item").await.failure, none());
        site.group.stall(None);
        until("the write has run", async || site.group.commits("slow", "one") == 1).await;
        until_done(&mut reader, "WRITE item two").await;
        assert_that!(site.group.commits("item", "two"), eq(1));
        assert_that!(site.group.commits("slow", "one"), eq(1));
    }
}

/// Guards against reads that wait for a frozen pool host, and against a write that is given up
/// although its reply still comes before its deadline.
#[tokio::test]
async fn a_frozen_pool_host_delays_no_reads_and_cuts_no_write() {
    let site = start(2).await;
    let write = stalled_write(&site).await;
    let mut reader = site.session(CLIENT_HOST, "current").await;
    site.hosts[POOL_HOST].signal("STOP");
    let begin = Instant::now();
    let reply = reader.query("READ item").await;
    assert_that!(reply.failure, none(), "{reply:?}");
    assert_that!(begin.elapsed(), le(READ_LIMIT));
    assert_that!(write.is_finished(), eq(false));
    site.group.stall(None);
    site.hosts[POOL_HOST].signal("CONT");
    let reply = write.await.unwrap();
    assert_that!(reply.failure, none(), "{reply:?}");
    assert_that!(site.group.commits("slow", "one"), eq(1));
}

/// Writes of a client until the session ends or a time is over, with their replies.
async fn write_until(mut client: StandinClient, item: String, end: Instant) -> Vec<ClientReply> {
    let mut replies = Vec::new();
    while Instant::now() < end {
        let reply = client.query(&format!("WRITE {item} {}", replies.len())).await;
        let is_over = reply.state != "I";
        replies.push(reply);
        if is_over {
            break;
        }
        // Less than the customer's rate, which is shared by the hosts.
        sleep(Duration::from_millis(10)).await;
    }
    replies
}

/// Starts clients that write for some seconds.
async fn writers(site: &SiteDeployment, span: Duration) -> Vec<JoinHandle<Vec<ClientReply>>> {
    let end = Instant::now() + span;
    let mut writers = Vec::new();
    for index in 0..6 {
        let client = site.session(CLIENT_HOST, "current").await;
        writers.push(tokio::spawn(write_until(client, format!("w{index}"), end)));
    }
    writers
}

/// Waits for the clients while a pool host that did not reply has recovered, checks their replies, and
/// expects that a client is served.
async fn check_recovered(site: &SiteDeployment, writers: Vec<JoinHandle<Vec<ClientReply>>>) {
    check_writers(site, writers).await;
    assert_that!(counted(site, "unresponsive").await, ge(1));
    let mut client = site.session(CLIENT_HOST, "current").await;
    until_done(&mut client, "WRITE item two").await;
}

/// Waits for the clients, and checks each reply with what the endpoint has run. Returns the
/// failures.
async fn check_writers(
    site: &SiteDeployment,
    writers: Vec<JoinHandle<Vec<ClientReply>>>,
) -> Vec<ClientReply> {
    let mut failures = Vec::new();
    for (index, writer) in writers.into_iter().enumerate() {
        for (number, reply) in writer.await.unwrap().into_iter().enumerate() {
            let commits = site.group.commits(&format!("w{index}"), &number.to_string());
            match reply.failure.as_deref() {
                None if reply.state == "I" => assert_that!(commits, eq(1), "w{index} {number}"),
                Some("INDOUBT") | None => assert_that!(commits, le(1), "w{index} {number}"),
                Some(_) => assert_that!(commits, eq(0), "w{index} {number}: {reply:?}"),
            }
            if reply.failure.is_some() || reply.state != "I" {
                failures.push(reply);
            }
        }
    }
    failures
}

/// Guards against a statement that a frozen pool host runs after the client was told that it has
/// not run.
#[tokio::test]
async fn a_thawed_pool_host_runs_nothing_that_was_refused() {
    let site = start(2).await;
    let writers = writers(&site, Duration::from_secs(6)).await;
    sleep(Duration::from_millis(300)).await;
    site.hosts[POOL_HOST].signal("STOP");
    sleep(Duration::from_millis(2_500)).await;
    site.hosts[POOL_HOST].signal("CONT");
    check_recovered(&site, writers).await;
}

/// Guards against a shutdown of the pool host that cuts forwarded statements or a transaction, or
/// that does not end.
#[tokio::test]
async fn a_pool_host_that_shuts_down_cuts_nothing() {
    let mut site = start(2).await;
    let mut client = site.session(CLIENT_HOST, "current").await;
    let writers = writers(&site, Duration::from_secs(3)).await;
    client.query("BEGIN").await;
    assert_that!(client.query("WRITE item one").await.failure, none());
    site.hosts[POOL_HOST].signal("TERM");
    until("it is not ready", async || !site.hosts[POOL_HOST].is_ready().await).await;
    let commit = client.query("COMMIT").await;
    assert_that!(commit.failure, none(), "{commit:?}");
    assert_that!(site.hosts[POOL_HOST].ended().await.success(), eq(true));
    assert_that!(check_writers(&site, writers).await, is_empty());
    assert_that!(site.group.commits("item", "one"), eq(1));
}

/// Guards against a withdrawn key that goes on working for forwarded statements, and against
/// endpoints that see it.
#[tokio::test]
async fn a_withdrawn_key_stops_forwarded_statements() {
    let site = start(2).await;
    let mut client = site.session(CLIENT_HOST, "current").await;
    until_done(&mut client, "WRITE item one").await;
    site.store.put("op", "config", &pooled_configuration(2, &[OTHER_KEY]));
    let begin = Instant::now();
    let mut failure = None;
    while failure.is_none() && begin.elapsed() < crate::support::WAIT_LIMIT {
        failure = client.query("READ item").await.failure;
        sleep(Duration::from_millis(10)).await;
    }
    assert_that!(failure, some(eq("NOAUTH")));
    assert_that!(begin.elapsed(), le(APPLY_LIMIT));
    assert_that!(client.is_closed().await, eq(true));
    for run in site.group.runs() {
        assert_that!(format!("{run:?}"), not(contains_substring("MARKED")));
    }
}

/// Guards against forwarded statements for an endpoint whose failure domain is taken out, or that
/// leaves.
#[tokio::test]
async fn forwarded_statements_leave_an_evacuated_or_draining_endpoint() {
    for is_evacuated in [true, false] {
        let site = start(3).await;
        let mut client = site.session(CLIENT_HOST, "session").await;
        until_done(&mut client, "WRITE item one").await;
        match is_evacuated {
            true => site.store.put("op", "evacuate/d1", &json!({})),
            false => site.group.drain(0),
        }
        site.wait_new_primary().await;
        let before = site.group.runs().len();
        for round in 0..5 {
            until_done(&mut client, &format!("WRITE item {round}")).await;
            until_done(&mut client, "READ item").await;
        }
        let runs = site.group.runs().split_off(before);
        let members: Vec<String> = runs.into_iter().map(|run| run.member).collect();
        assert_that!(members, each(not(eq("g1-0"))));
    }
}

/// A frame as hosts send it.
fn frame(secret: &[u8], body: &[u8]) -> Vec<u8> {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret).unwrap();
    mac.update(body);
    let code = mac.finalize().into_bytes();
    let content = [&code[..16], body].concat();
    [&(content.len() as u32).to_be_bytes()[..], &content].concat()
}

/// The second message of a connection: version, name, the sender's number and that of the greeting.
fn introduction(version: u8, greeting: &[u8]) -> Vec<u8> {
    [&[version, 1, b'x'][..], &[7; 16], greeting].concat()
}

/// Guards against a host that trusts whoever connects: messages that do not decode, another secret,
/// another version, a replayed introduction and a replayed frame end their connection with a log
/// line, and no other.
#[tokio::test]
async fn strangers_and_replays_end_only_their_own_connection() {
    let site = start(2).await;
    let logged = |reason: &str| {
        let log = site.hosts[POOL_HOST].log();
        log.lines().filter(|line| line.contains("link_ended") && line.contains(reason)).count()
    };
    let open = async || {
        let mut stream = TcpStream::connect(site.hosts[POOL_HOST].forwarding).await.unwrap();
        // Length, code, version and number of the greeting.
        let mut greeting = [0; 4 + 16 + 1 + 16];
        stream.read_exact(&mut greeting).await.unwrap();
        (stream, greeting[21..].to_vec())
    };
    // An accepted ping that is sent twice; its number and the variant follow the code.
    let (mut stream, greeting) = open().await;
    stream.write_all(&frame(SECRET, &introduction(1, &greeting))).await.unwrap();
    let mut mac = Hmac::<Sha256>::new_from_slice(SECRET).unwrap();
    mac.update(&[&greeting[..], &[7; 16], &[0]].concat());
    let key = mac.finalize().into_bytes()[..16].to_vec();
    let ping = frame(&key, &[0, 4]);
    stream.write_all(&ping).await.unwrap();
    let mut pong = [0; 4 + 16 + 2];
    stream.read_exact(&mut pong).await.unwrap();
    let before = logged("invalid message");
    stream.write_all(&ping).await.unwrap();
    until("the replay is logged", async || logged("invalid message") == before + 1).await;
    let other_greeting = [9; 16];
    for (secret, version, number, reason) in [
        (&b"another secret"[..], 1, None, "invalid message"),
        (SECRET, 2, None, "protocol version 2 in place of 1"),
        (SECRET, 1, Some(&other_greeting[..]), "invalid message"),
    ] {
        let (mut stream, greeting) = open().await;
        let before = logged(reason);
        let body = introduction(version, number.unwrap_or(&greeting));
        stream.write_all(&frame(secret, &body)).await.unwrap();
        until("the refusal is logged", async || logged(reason) == before + 1).await;
        let mut rest = Vec::new();
        // A connection that is reset has not answered either.
        let _ = stream.read_to_end(&mut rest).await;
        assert_that!(rest, is_empty());
    }
    let (mut stream, _) = open().await;
    let before = logged("invalid message");
    stream.write_all(b"\0\0\0\x04abcd").await.unwrap();
    until("the refusal is logged", async || logged("invalid message") == before + 1).await;
    let before = counted(&site, "forwarded").await;
    let mut client = site.session(CLIENT_HOST, "current").await;
    assert_that!(client.query("WRITE item one").await.failure, none());
    assert_that!(counted(&site, "forwarded").await, gt(before));
    let log = site.hosts[CLIENT_HOST].log();
    assert_that!(log, not(contains_substring("\"event\":\"closed\",\"part\":\"forward\"")));
}
