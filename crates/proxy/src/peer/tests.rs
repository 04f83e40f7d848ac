//! Tests of the peer connections with real certificates on loopback.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use rcgen::{CertificateParams, CertifiedIssuer, IsCa, KeyPair};
use tanagerdeal_core::message::{DrainPhase, PeerCallKey};
use tanagerdeal_core::profile::{HostIdentity, HostPolicies, HostProfile, HostTiming};
use tanagerdeal_wire::peer::{BorrowRequest, PEER_ALPN, PeerRequest, ShareResource};
use tanagerdeal_wire::{CustomerName, DomainName, HostName};
use tempfile::TempDir;
use tokio::sync::{mpsc, watch};

use super::client::PeerDialer;
use super::{PeerNode, PeerTrust};
use crate::driver::{self, DriverHandle, DriverPorts, PeerTask};

/// Generous limit for an exchange on loopback.
const EXCHANGE_LIMIT: Duration = Duration::from_secs(10);

type TestIssuer = CertifiedIssuer<'static, KeyPair>;

fn issuer() -> TestIssuer {
    let mut params = CertificateParams::new(Vec::new()).unwrap();
    params.is_ca = IsCa::Ca(rcgen::BasicConstraints::Unconstrained);
    CertifiedIssuer::self_signed(params, KeyPair::generate().unwrap()).unwrap()
}

fn trust(folder: &TempDir, host: &str, signer: &TestIssuer, accepted: &TestIssuer) -> PeerTrust {
    let key = KeyPair::generate().unwrap();
    let params = CertificateParams::new(vec![host.to_owned()]).unwrap();
    let certificate = params.signed_by(&key, signer).unwrap();
    let write = |name: &str, text: &str| -> PathBuf {
        let path = folder.path().join(format!("{host}-{name}"));
        std::fs::write(&path, text).unwrap();
        path
    };
    let chain = write("chain.pem", &certificate.pem());
    let key = write("key.pem", &key.serialize_pem());
    let authority = write("ca.pem", &accepted.pem());
    PeerTrust::from_files(&chain, &key, &authority).unwrap()
}

async fn start_driver(host: &str) -> DriverHandle {
    let identity = HostIdentity {
        host: HostName::new(host).unwrap(),
        domain: DomainName::new("d1").unwrap(),
        incarnation: 1,
        peer_address: "127.0.0.1:1".to_owned(),
        admin_address: "127.0.0.1:2".to_owned(),
    };
    let profile = HostProfile {
        identity,
        timing: HostTiming::default(),
        policies: HostPolicies::default(),
        fleet_secret: b"secret".to_vec(),
        seed: 1,
    };
    let ports = DriverPorts {
        members: mpsc::unbounded_channel().0,
        store: mpsc::unbounded_channel().0,
        peers: mpsc::unbounded_channel().0,
        limits: mpsc::unbounded_channel().0,
        drain: watch::channel(DrainPhase::Serving).0,
    };
    driver::start(profile, ports).await.unwrap().0
}

/// Starts the listener of host `h1` and returns its address.
async fn start_server(trust: &PeerTrust) -> SocketAddr {
    let handle = start_driver("h1").await;
    let node = PeerNode::bind("127.0.0.1:0".parse().unwrap(), trust).unwrap();
    let address = node.local_address().unwrap();
    // The sender is kept in the task, so that the node runs until the test ends.
    let (keep, tasks) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        node.run(handle, tasks).await;
        drop(keep);
    });
    address
}

fn borrow_task(address: SocketAddr) -> PeerTask {
    let request = BorrowRequest {
        resource: ShareResource::CustomerRate(CustomerName::new("quarry").unwrap()),
        units: 10,
        valid_ms: 10_000,
        borrower: HostName::new("h2").unwrap(),
        incarnation: 1,
    };
    PeerTask {
        call: PeerCallKey::default(),
        host: HostName::new("h1").unwrap(),
        address: address.to_string(),
        request: PeerRequest::Borrow(request),
        deadline: Instant::now() + EXCHANGE_LIMIT,
    }
}

fn dialer(trust: &PeerTrust) -> PeerDialer {
    PeerDialer::new(PeerNode::bind("127.0.0.1:0".parse().unwrap(), trust).unwrap().endpoint)
}

/// Guards against a transport that loses or mixes up requests: many at once all get a response.
#[gtest]
#[tokio::test]
async fn hosts_of_one_fleet_exchange_messages() {
    let folder = TempDir::new().unwrap();
    let authority = issuer();
    let address = start_server(&trust(&folder, "h1", &authority, &authority)).await;
    let dialer = dialer(&trust(&folder, "h2", &authority, &authority));
    let tasks: Vec<PeerTask> = (0..20).map(|_| borrow_task(address)).collect();
    let exchanges = tasks.iter().map(|task| dialer.send_by_deadline(task));
    let replies = futures::future::join_all(exchanges).await;
    expect_that!(replies, each(some(anything())));
}

/// Guards against a host of another fleet: its certificate is signed by another authority.
#[gtest]
#[tokio::test]
async fn a_foreign_certificate_is_refused() {
    let folder = TempDir::new().unwrap();
    let (authority, foreign) = (issuer(), issuer());
    let address = start_server(&trust(&folder, "h1", &authority, &authority)).await;
    let dialer = dialer(&trust(&folder, "h2", &foreign, &authority));
    expect_that!(dialer.send_by_deadline(&borrow_task(address)).await, none());
}

/// Guards against a host that answers under another host's name.
#[gtest]
#[tokio::test]
async fn a_server_with_another_name_is_refused() {
    let folder = TempDir::new().unwrap();
    let authority = issuer();
    let address = start_server(&trust(&folder, "h3", &authority, &authority)).await;
    let dialer = dialer(&trust(&folder, "h2", &authority, &authority));
    expect_that!(dialer.send_by_deadline(&borrow_task(address)).await, none());
}

/// Guards against a host of another protocol version, whose messages would be misread.
#[gtest]
#[tokio::test]
async fn another_protocol_version_is_refused_in_the_handshake() {
    let folder = TempDir::new().unwrap();
    let authority = issuer();
    let address = start_server(&trust(&folder, "h1", &authority, &authority)).await;
    let trust = trust(&folder, "h2", &authority, &authority);
    let connect = async |protocol: &[u8]| {
        let mut endpoint = quinn::Endpoint::client("127.0.0.1:0".parse().unwrap()).unwrap();
        let crypto = Arc::new(trust.client_crypto(protocol).unwrap());
        endpoint.set_default_client_config(quinn::ClientConfig::new(crypto));
        endpoint.connect(address, "h1").unwrap().await.map(|_| ())
    };
    expect_that!(connect(PEER_ALPN).await, ok(()));
    expect_that!(connect(b"tanagerdeal/0").await, err(anything()));
}
