//! Members in the test's own process, and clients of them.

use std::time::Duration;

use serde_json::{Value, json};
use tanagerdeal_testbed::member::{MemberAddresses, MemberIdentity, MemberOptions, start};
use tanagerdeal_wire::member::{MemberStatus, TermReply};
use tanagerdeal_wire::{DomainName, EndpointName, GroupName};
use tokio::time::Instant;
use tokio_postgres::{Client, NoTls};

/// Longest wait for a condition; far beyond what any condition takes.
pub const DEADLINE: Duration = Duration::from_secs(30);

/// A member and an HTTP client for it.
pub struct TestMember {
    pub name: String,
    pub addresses: MemberAddresses,
    pub http: reqwest::Client,
}

impl TestMember {
    /// Starts a member with 2 slots and 4 connections.
    pub async fn start(name: &str, primary_of_term: Option<u64>) -> Self {
        let options = MemberOptions {
            identity: MemberIdentity {
                group: GroupName::new("orders-1").expect("a name"),
                name: EndpointName::new(name).expect("a name"),
                domain: DomainName::new("akl-a").expect("a name"),
            },
            password: "service".to_owned(),
            slots: 2,
            connections: 4,
            connect_time: Duration::from_millis(10),
            service_time: Duration::from_millis(1),
            primary_of_term,
            execution_file: None,
        };
        let addresses = start(options, "127.0.0.1:0", "127.0.0.1:0").await.expect("free ports");
        Self { name: name.to_owned(), addresses, http: reqwest::Client::new() }
    }

    pub async fn connect(&self) -> Result<Client, tokio_postgres::Error> {
        let port = self.addresses.sql.port();
        let config =
            format!("host=127.0.0.1 port={port} user=proxy password=service dbname=orders");
        let (client, connection) = tokio_postgres::connect(&config, NoTls).await?;
        tokio::spawn(connection);
        Ok(client)
    }

    pub async fn get(&self, path: &str) -> Value {
        let url = format!("http://{}{path}", self.addresses.api);
        let response = self.http.get(url).send().await.expect("an answer");
        response.json().await.expect("JSON")
    }

    pub async fn post(&self, path: &str, body: Value) -> reqwest::Response {
        let url = format!("http://{}{path}", self.addresses.api);
        self.http.post(url).json(&body).send().await.expect("an answer")
    }

    pub async fn faults(&self, faults: Value) {
        self.post("/control/faults", faults).await.error_for_status().expect("known faults");
    }

    pub async fn status(&self) -> MemberStatus {
        serde_json::from_value(self.get("/v1/status").await).expect("a status")
    }

    pub async fn command(&self, path: &str, body: Value) -> TermReply {
        self.post(path, body).await.json().await.expect("a reply")
    }

    pub async fn fence(&self, term: u64, promoter: &str) -> TermReply {
        self.command("/v1/fence", json!({"term": term, "promoter": promoter})).await
    }

    pub async fn promote(&self, term: u64, promoter: &str) -> TermReply {
        self.command("/v1/promote", json!({"term": term, "promoter": promoter})).await
    }

    pub async fn follow(&self, term: u64, primary: &TestMember) -> TermReply {
        let body = json!({
            "term": term, "primary": primary.name, "primary_api": primary.addresses.api.to_string(),
        });
        self.command("/v1/follow", body).await
    }

    /// Waits until the member has applied an offset.
    pub async fn wait_applied(&self, offset: u64) {
        let deadline = Instant::now() + DEADLINE;
        while self.status().await.applied.offset != offset {
            assert!(Instant::now() < deadline, "{} never applied {offset}", self.name);
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

/// SQLSTATE of an error.
pub fn sqlstate(error: &tokio_postgres::Error) -> String {
    error.code().map(|code| code.code().to_owned()).unwrap_or_default()
}
