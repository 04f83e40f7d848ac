//! A deployment whose connections pass a relay, which disturbs them.

use std::net::SocketAddr;

use serde_json::{Value, json};
use tanagerdeal_standin::{StandinGroup, StandinStore, configuration};
use tanagerdeal_testbed::relay;

use crate::support::{KEY, OTHER_KEY, SiteDeployment, SiteHost, until};

/// Name under which the relay knows the store, all hosts as callers of endpoints, and the clients.
const STORE: &str = "store";
const HOSTS: &str = "hosts";
const CLIENTS: &str = "clients";

/// A way between two kinds of processes.
#[derive(Clone, Debug)]
pub struct Lane {
    from: String,
    to: String,
}

/// A relay before the store, the endpoints and the hosts.
pub struct RelayedSite {
    pub site: SiteDeployment,
    /// Addresses of the relay at which clients reach the hosts.
    pub callers: Vec<SocketAddr>,
    http: reqwest::Client,
    control: SocketAddr,
}

impl Lane {
    /// From a host to the store.
    pub fn to_store(host: usize) -> Self {
        Self { from: format!("h{host}"), to: STORE.to_owned() }
    }

    /// From all hosts to an endpoint.
    pub fn to_endpoint(index: usize) -> Self {
        Self { from: HOSTS.to_owned(), to: format!("g1-{index}") }
    }

    /// From the clients to a host.
    pub fn to_host(host: usize) -> Self {
        Self { from: CLIENTS.to_owned(), to: format!("h{host}") }
    }

    /// From all hosts to the address of a host for messages and table reads.
    pub fn to_peer(host: usize) -> Self {
        Self { from: HOSTS.to_owned(), to: format!("peer h{host}") }
    }

    /// The way of the answers.
    pub fn back(&self) -> Self {
        Self { from: self.to.clone(), to: self.from.clone() }
    }
}

impl RelayedSite {
    /// Starts a deployment with hosts that are ready.
    pub async fn start(hosts: usize) -> Self {
        Self::launch(hosts, SiteHost::start).await
    }

    /// The same, with hosts that pool connections. They reach each other without the relay.
    pub async fn start_pooled(hosts: usize) -> Self {
        Self::launch(hosts, SiteHost::start_pooled).await
    }

    async fn launch(hosts: usize, start: fn(SocketAddr, usize) -> SiteHost) -> Self {
        let control = relay::start("127.0.0.1:0", 1).await.unwrap();
        let http = reqwest::Client::new();
        let store = StandinStore::start().await.unwrap();
        let group = StandinGroup::start(&store, "g1", &["d1", "d2", "d3"]).await.unwrap();
        store.put("op", "config", &configuration(1, "g1", &[("acme", &[KEY, OTHER_KEY], 500)]));
        let site = SiteDeployment { store, group, hosts: Vec::new() };
        let mut relayed = Self { site, callers: Vec::new(), http, control };
        for index in 0..relayed.site.group.members.len() {
            let target = relayed.site.group.members[index].address;
            let address = relayed.open(target, &Lane::to_endpoint(index)).await;
            relayed.site.group.announce(index, address);
            let id = &relayed.site.group.members[index].id;
            let row = || relayed.site.store.row("servers", id).unwrap_or_default();
            let is_announced = async || row()["address"] == address.to_string();
            until("the relay is announced", is_announced).await;
        }
        for index in 0..hosts {
            let store = relayed.open(relayed.site.store.address(), &Lane::to_store(index)).await;
            relayed.site.hosts.push(start(store, index));
        }
        for index in 0..hosts {
            let host = &relayed.site.hosts[index];
            host.wait_ready().await;
            let address = relayed.open(host.callers, &Lane::to_host(index)).await;
            relayed.callers.push(address);
        }
        relayed
    }

    /// Opens a port of the relay that leads to a target.
    pub async fn open(&self, target: SocketAddr, lane: &Lane) -> SocketAddr {
        self.open_at("tcp", SocketAddr::from(([127, 0, 0, 1], 0)), target, lane).await
    }

    /// Opens a port of the relay for the messages to a host and for the table reads from it.
    pub async fn open_peer(&self, host: usize) -> SocketAddr {
        let (target, lane) = (self.site.hosts[host].peers, Lane::to_peer(host));
        let address = self.open(target, &lane).await;
        self.open_at("udp", address, target, &lane).await
    }

    async fn open_at(
        &self,
        protocol: &str,
        listen: SocketAddr,
        target: SocketAddr,
        lane: &Lane,
    ) -> SocketAddr {
        let port = json!({ "protocol": protocol, "listen": listen, "target": target,
                           "domain": lane.to, "caller_domain": lane.from });
        let opened: Value = self.post("ports", &port).await.json().await.unwrap();
        opened["address"].as_str().unwrap().parse().unwrap()
    }

    async fn post(&self, path: &str, body: &Value) -> reqwest::Response {
        let url = format!("http://{}/control/{path}", self.control);
        self.http.post(url).json(body).send().await.unwrap().error_for_status().unwrap()
    }

    /// Delays what passes in one direction.
    pub async fn delay(&self, lane: &Lane, micros: u64) {
        self.post("links", &json!([{ "from": lane.from, "to": lane.to, "delay_us": micros }]))
            .await;
    }

    /// Holds up what passes in one direction, or lets it go again.
    pub async fn cut(&self, lane: &Lane, is_cut: bool) {
        self.post("links", &json!([{ "from": lane.from, "to": lane.to, "cut": is_cut }])).await;
    }

    /// Resets or silences the open connections.
    pub async fn break_open(&self, lane: &Lane, kind: &str) {
        self.post("breaks", &json!({ "from": lane.from, "to": lane.to, "kind": kind })).await;
    }
}
