//! The relay of links between failure domains.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use serde_json::{Value, json};
use tanagerdeal_testbed::relay;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};

/// A relay whose callers come from 127.0.1.1 in domain `a` and from 127.0.2.1 in domain `b`.
struct TestRelay {
    http: reqwest::Client,
    control: SocketAddr,
}

impl TestRelay {
    async fn start() -> Self {
        let control = relay::start("127.0.0.1:0", 7).await.expect("a free port");
        let relay = Self { http: reqwest::Client::new(), control };
        relay.post("sources", json!({"127.0.1.1": "a", "127.0.2.1": "b"})).await;
        relay
    }

    async fn post(&self, path: &str, body: Value) -> reqwest::Response {
        let url = format!("http://{}/control/{path}", self.control);
        let response = self.http.post(url).json(&body).send().await.expect("an answer");
        response.error_for_status().expect("success")
    }

    async fn open(&self, protocol: &str, target: SocketAddr) -> SocketAddr {
        let body = json!({
            "protocol": protocol, "listen": "127.0.0.1:0", "target": target, "domain": "t",
        });
        let opened: Value = self.post("ports", body).await.json().await.expect("JSON");
        opened["address"].as_str().expect("an address").parse().expect("an address")
    }

    async fn link(&self, from: &str, to: &str, faults: Value) {
        let mut rule = json!({"from": from, "to": to});
        rule.as_object_mut().expect("an object").extend(faults.as_object().expect("one").clone());
        self.post("links", json!([rule])).await;
    }
}

/// A target that sends back what it gets.
async fn stream_echo() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = stream.split();
                tokio::io::copy(&mut read, &mut write).await
            });
        }
    });
    address
}

async fn datagram_echo() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
    let address = socket.local_addr().expect("an address");
    tokio::spawn(async move {
        let mut buffer = [0; 2_048];
        while let Ok((length, source)) = socket.recv_from(&mut buffer).await {
            socket.send_to(&buffer[..length], source).await.expect("an answer sent");
        }
    });
    address
}

async fn connect_from(source: &str, target: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind(format!("{source}:0").parse().expect("an address")).expect("a source address");
    socket.connect(target).await.expect("a connection")
}

/// Sends four bytes and waits for them to come back.
async fn exchange(stream: &mut TcpStream, limit: Duration) -> Option<Duration> {
    let start = Instant::now();
    stream.write_all(b"ping").await.expect("bytes sent");
    let mut buffer = [0; 4];
    let read = tokio::time::timeout(limit, stream.read_exact(&mut buffer)).await;
    read.ok().map(|result| result.map(|_| start.elapsed()).expect("an open stream"))
}

const LONG: Duration = Duration::from_secs(20);
const SHORT: Duration = Duration::from_millis(300);

/// Guards against a delay of one direction that is left out or applied to another domain.
#[gtest]
#[tokio::test]
async fn streams_are_delayed_by_direction_and_domain() {
    let relay = TestRelay::start().await;
    let port = relay.open("tcp", stream_echo().await).await;
    relay.link("a", "t", json!({"delay_us": 60_000})).await;
    relay.link("t", "a", json!({"delay_us": 40_000})).await;
    relay.link("b", "t", json!({"cut": true})).await;
    let mut near = connect_from("127.0.1.1", port).await;
    exchange(&mut near, LONG).await.expect("an answer");
    let delayed = exchange(&mut near, LONG).await.expect("an answer");
    expect_that!(delayed.as_millis(), ge(100));
    relay.link("a", "t", json!({})).await;
    relay.link("t", "a", json!({})).await;
    expect_that!(exchange(&mut near, LONG).await, some(lt(delayed)));
}

/// Guards against a cut that closes connections: a partition leaves them open and silent.
#[gtest]
#[tokio::test]
async fn cut_streams_are_silent_and_heal() {
    let relay = TestRelay::start().await;
    let port = relay.open("tcp", stream_echo().await).await;
    let mut near = connect_from("127.0.1.1", port).await;
    let mut other = connect_from("127.0.2.1", port).await;
    exchange(&mut near, LONG).await.expect("an answer");
    relay.link("t", "a", json!({"cut": true})).await;
    expect_that!(exchange(&mut near, SHORT).await, none());
    expect_that!(exchange(&mut other, LONG).await, some(anything()));
    relay.link("t", "a", json!({"cut": false})).await;
    let mut buffer = [0; 4];
    let read = tokio::time::timeout(LONG, near.read_exact(&mut buffer)).await;
    expect_that!(read.expect("the late answer").is_ok(), eq(true));
    expect_that!(&buffer, eq(b"ping"));
}

/// Guards against datagrams that pass a cut, or whose answers go to the wrong caller.
#[gtest]
#[tokio::test]
async fn datagrams_are_relayed_cut_and_lost() {
    let relay = TestRelay::start().await;
    let port = relay.open("udp", datagram_echo().await).await;
    let near = UdpSocket::bind("127.0.1.1:0").await.expect("a socket");
    let other = UdpSocket::bind("127.0.2.1:0").await.expect("a socket");
    let mut buffer = [0; 16];
    for (socket, text) in [(&near, b"one"), (&other, b"two")] {
        socket.send_to(text, port).await.expect("a datagram sent");
        let answer = tokio::time::timeout(LONG, socket.recv(&mut buffer)).await;
        let length = answer.expect("an answer in time").expect("an answer");
        expect_that!(&buffer[..length], eq(&text[..]));
    }
    relay.link("a", "t", json!({"cut": true})).await;
    near.send_to(b"lost", port).await.expect("a datagram sent");
    expect_that!(tokio::time::timeout(SHORT, near.recv(&mut buffer)).await.is_err(), eq(true));
    relay.link("a", "t", json!({"loss_percent": 50})).await;
    let mut answers = 0;
    for _ in 0..40 {
        near.send_to(b"some", port).await.expect("a datagram sent");
        let wait = Duration::from_millis(100);
        answers += u32::from(tokio::time::timeout(wait, near.recv(&mut buffer)).await.is_ok());
    }
    expect_that!(answers, all!(gt(5), lt(35)));
}

/// Guards against tests of resets whose connections end in an orderly way, and against breaks that
/// reach other connections or new ones.
#[gtest]
#[tokio::test]
async fn open_connections_are_reset_or_silenced() {
    let relay = TestRelay::start().await;
    let port = relay.open("tcp", stream_echo().await).await;
    let mut from_a = connect_from("127.0.1.1", port).await;
    let mut from_b = connect_from("127.0.2.1", port).await;
    expect_that!(echo(&mut from_a).await, ok(eq(&b'x')));
    expect_that!(echo(&mut from_b).await, ok(eq(&b'x')));
    relay.post("breaks", json!({"from": "a", "to": "t", "kind": "reset"})).await;
    let error = echo(&mut from_a).await.expect_err("a reset");
    expect_that!(error.kind(), eq(std::io::ErrorKind::ConnectionReset));
    relay.post("breaks", json!({"from": "b", "to": "t", "kind": "silence"})).await;
    let silent = tokio::time::timeout(Duration::from_millis(300), echo(&mut from_b)).await;
    expect_that!(silent.is_err(), eq(true));
    let mut later = connect_from("127.0.2.1", port).await;
    expect_that!(echo(&mut later).await, ok(eq(&b'x')));
}

async fn echo(stream: &mut TcpStream) -> std::io::Result<u8> {
    stream.write_all(b"x").await?;
    stream.read_u8().await
}
