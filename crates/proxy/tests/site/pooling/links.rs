//! Connections between hosts that go silent, what passes over them, and pool hosts without a lease.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use tokio::net::TcpListener;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::watch;

use super::*;
use crate::lanes::{Lane, RelayedSite};

/// A relay before a host's address for forwarded statements, which keeps what passes and can hold
/// it up.
struct LinkTap {
    address: SocketAddr,
    is_held: watch::Sender<bool>,
    seen: Arc<Mutex<Vec<u8>>>,
}

impl LinkTap {
    async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let tap = Self {
            address: listener.local_addr().unwrap(),
            is_held: watch::Sender::new(false),
            seen: Arc::default(),
        };
        let (is_held, seen) = (tap.is_held.subscribe(), tap.seen.clone());
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let Ok(far) = TcpStream::connect(target).await else { continue };
                let ((near_in, near_out), (far_in, far_out)) =
                    (near.into_split(), far.into_split());
                tokio::spawn(pass(near_in, far_out, is_held.clone(), seen.clone()));
                tokio::spawn(pass(far_in, near_out, is_held.clone(), seen.clone()));
            }
        });
        tap
    }

    fn hold(&self, is_held: bool) {
        self.is_held.send_replace(is_held);
    }

    fn seen(&self) -> String {
        String::from_utf8_lossy(&self.seen.lock().unwrap()).into_owned()
    }
}

/// Passes one direction until an end is closed.
async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut is_held: watch::Receiver<bool>,
    seen: Arc<Mutex<Vec<u8>>>,
) {
    let mut buffer = [0; 4_096];
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        seen.lock().unwrap().extend_from_slice(&buffer[..length]);
        let is_passing = is_held.wait_for(|is_held| !is_held).await.is_ok();
        if !is_passing || to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

/// Starts two hosts with a tap before the pool host.
async fn start_tapped() -> (SiteDeployment, LinkTap) {
    let store = StandinStore::start().await.unwrap();
    store.put_bytes("fleet", "secret", SECRET);
    let group = StandinGroup::start(&store, "g1", &["d1", "d2", "d3"]).await.unwrap();
    store.put("op", "config", &pooled_configuration(1, &[KEY, OTHER_KEY]));
    let pool_host = SiteHost::start_pooled(store.address(), POOL_HOST);
    let tap = LinkTap::start(pool_host.forwarding).await;
    store.substitute(&pool_host.forwarding.to_string(), &tap.address.to_string());
    let row = || store.row("hosts", "h0").unwrap_or_default().to_string();
    let is_announced = async || row().contains(&tap.address.to_string());
    until("the tap is announced", is_announced).await;
    let hosts = vec![pool_host, SiteHost::start_pooled(store.address(), CLIENT_HOST)];
    let site = SiteDeployment { store, group, hosts };
    wait_until_pooled(&site).await;
    assert_that!(tap.seen(), contains_substring("WRITE warm"));
    (site, tap)
}

/// Guards against reads that wait for a silent connection, and against a write that is given up
/// although its reply still comes before its deadline.
#[tokio::test]
async fn a_silent_link_delays_no_reads_and_cuts_no_write() {
    let (site, tap) = start_tapped().await;
    let write = stalled_write(&site).await;
    let mut reader = site.session(CLIENT_HOST, "current").await;
    tap.hold(true);
    let begin = Instant::now();
    let reply = reader.query("READ item").await;
    assert_that!(reply.failure, none(), "{reply:?}");
    assert_that!(begin.elapsed(), le(READ_LIMIT));
    assert_that!(write.is_finished(), eq(false));
    site.group.stall(None);
    tap.hold(false);
    let reply = write.await.unwrap();
    assert_that!(reply.failure, none(), "{reply:?}");
    assert_that!(site.group.commits("slow", "one"), eq(1));
}

/// Guards against a statement that runs when its connection is no longer silent, after the client
/// was told that it has not run.
#[tokio::test]
async fn a_healed_link_runs_nothing_that_was_refused() {
    let (site, tap) = start_tapped().await;
    let writers = writers(&site, Duration::from_secs(6)).await;
    sleep(Duration::from_millis(300)).await;
    tap.hold(true);
    sleep(Duration::from_millis(2_500)).await;
    tap.hold(false);
    check_recovered(&site, writers).await;
}

/// Guards against a customer's key in a forwarded message.
#[tokio::test]
async fn a_forwarded_message_has_no_key() {
    let (site, tap) = start_tapped().await;
    let mut client = site.session(CLIENT_HOST, "session").await;
    until_done(&mut client, "WRITE item one").await;
    client.query("BEGIN").await;
    client.query("WRITE item two").await;
    assert_that!(client.query("COMMIT").await.failure, none());
    assert_that!(tap.seen(), contains_substring("WRITE item two"));
    assert_that!(tap.seen(), contains_substring("acme"));
    assert_that!(tap.seen(), not(contains_substring("MARKED")));
}

/// Guards against a pool host that uses the primary without a lease, and against statements that
/// fail because it declines them.
#[tokio::test]
async fn a_pool_host_without_lease_runs_nothing_on_the_primary() {
    let relayed = RelayedSite::start_pooled(3).await;
    let site = &relayed.site;
    wait_until_pooled(site).await;
    let mut client = site.session(CLIENT_HOST, "current").await;
    let (before, runs) = (counted(site, "forwarded").await, site.group.runs().len());
    until_done(&mut client, "WRITE item one").await;
    assert_that!(counted(site, "forwarded").await, gt(before));
    let of_pool_host: Vec<u64> =
        site.group.runs().split_off(runs).iter().map(|run| run.connection).collect();
    let lane = Lane::to_store(POOL_HOST);
    relayed.cut(&lane, true).await;
    relayed.cut(&lane.back(), true).await;
    let has_ended = || {
        let log = site.hosts[POOL_HOST].log();
        log.contains("\"event\":\"ended\",\"part\":\"lease\"")
    };
    let limit = Instant::now() + crate::support::WAIT_LIMIT;
    while !has_ended() {
        let reply = client.query("WRITE item two").await;
        assert_that!(reply.failure, none(), "{reply:?}");
        sleep(Duration::from_millis(20)).await;
        assert!(Instant::now() < limit, "the lease does not end");
    }
    let runs = site.group.runs().len();
    for _ in 0..50 {
        let reply = client.query("WRITE item three").await;
        assert_that!(reply.failure, none(), "{reply:?}");
        sleep(Duration::from_millis(20)).await;
    }
    let runs = site.group.runs().split_off(runs);
    assert_that!(runs.len(), ge(50));
    assert_that!(runs.iter().any(|run| of_pool_host.contains(&run.connection)), eq(false));
}

/// Sends every connection a greeting of a host that cannot be used.
async fn greet(listener: TcpListener, greeting: Vec<u8>) {
    while let Ok((mut stream, _)) = listener.accept().await {
        // The other host may have given up.
        let _ = stream.write_all(&greeting).await;
        let _ = stream.read(&mut [0; 64]).await;
    }
}

/// Guards against statements that fail because the pool host speaks another version of the protocol
/// or has another secret.
#[tokio::test]
async fn statements_run_directly_when_the_pool_host_is_not_understood() {
    for (secret, version, reason) in [
        (SECRET, 2, "protocol version 2 in place of 1"),
        (&b"another secret"[..], 1, "invalid message of 33 bytes"),
    ] {
        let store = StandinStore::start().await.unwrap();
        store.put_bytes("fleet", "secret", SECRET);
        let group = StandinGroup::start(&store, "g1", &["d1", "d2", "d3"]).await.unwrap();
        store.put("op", "config", &pooled_configuration(1, &[KEY]));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let body = [&[version][..], &[7; 16]].concat();
        tokio::spawn(greet(listener, frame(secret, &body)));
        let pool_host = SiteHost::start_pooled(store.address(), POOL_HOST);
        store.substitute(&pool_host.forwarding.to_string(), &address);
        let row = || store.row("hosts", "h0").unwrap_or_default().to_string();
        until("the address is announced", async || row().contains(&address)).await;
        let hosts = vec![pool_host, SiteHost::start_pooled(store.address(), CLIENT_HOST)];
        let site = SiteDeployment { store, group, hosts };
        site.hosts[CLIENT_HOST].wait_ready().await;
        let mut client = site.session(CLIENT_HOST, "current").await;
        until_done(&mut client, "READ item").await;
        let limit = Instant::now() + crate::support::WAIT_LIMIT;
        while !site.hosts[CLIENT_HOST].log().contains(reason) {
            let reply = client.query("WRITE item one").await;
            assert_that!(reply.failure, none(), "{reply:?}");
            sleep(Duration::from_millis(20)).await;
            assert!(Instant::now() < limit, "no log line says: {reason}");
        }
        assert_that!(client.query("WRITE item two").await.failure, none());
        assert_that!(counted(&site, "unreachable").await, ge(1));
        assert_that!(counted(&site, "forwarded").await, eq(0));
    }
}
