//! A host with the stand-in of the platform and a group of scripted endpoints.

pub mod endpoint;
pub mod raw;
pub mod script;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use axum::extract::State;
use axum::routing::get;
use axum::{Json, Router};
use serde_json::{Value, json};
use tanagerdeal::runtime::{self, HostTasks, RunningHost};
use tanagerdeal::settings::HostSettings;
use tanagerdeal::{member, store};
use tanagerdeal_platform::PlatformClient;
use tanagerdeal_wire::key::digest_secret;
use tanagerdeal_wire::member::{LogPosition, MemberRole, MemberStatus, TermStart};
use tanagerdeal_wire::platform::{TableWrite, TxnRequest};
use tanagerdeal_wire::{EndpointName, GroupName};
use tempfile::TempDir;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;
use tokio_postgres::{Client, Config, NoTls};

use endpoint::SERVICE_PASSWORD;
use script::{EndpointScript, GroupLog, TERM};

/// Customer of the tests.
pub const CUSTOMER: &str = "quarry";
/// Secret part of the customer's key; it must never be seen at an endpoint.
pub const KEY_SECRET: &str = "caller-secret-0123456789";
/// Route that takes a key.
pub const ROUTE: &str = "orders";
/// Route that takes none.
pub const OPEN_ROUTE: &str = "catalogue";

const WAIT_LIMIT: Duration = Duration::from_secs(30);
/// Time of a request on the keyed route.
const ROUTE_DEADLINE: Duration = Duration::from_secs(5);

/// Everything that a test talks to.
pub struct TestFleet {
    pub endpoints: Vec<Arc<EndpointScript>>,
    pub host: RunningHost,
    pub platform: PlatformClient,
    _directory: TempDir,
}

/// Starts a platform, a group of a primary and two replicas, and one host.
pub async fn start() -> TestFleet {
    start_with("").await
}

/// The same with further lines of settings.
pub async fn start_with(more: &str) -> TestFleet {
    launch(more, ROUTE_DEADLINE).await
}

/// The same with another time for a request.
pub async fn start_with_deadline(deadline: Duration) -> TestFleet {
    launch("", deadline).await
}

async fn launch(more: &str, deadline: Duration) -> TestFleet {
    let platform = tanagerdeal_testbed::platform::start("127.0.0.1:0").await.unwrap();
    let platform = platform.to_string();
    let client = PlatformClient::new(&platform, "test", "d1", WAIT_LIMIT, None).unwrap();
    let log = Arc::new(Mutex::new(GroupLog { offset: 10, ..GroupLog::default() }));
    let mut endpoints = Vec::new();
    let mut members = Vec::new();
    for index in 1..=3 {
        let script = EndpointScript::new(&format!("m{index}"), index == 1, log.clone());
        let sql = endpoint::listen(script.clone()).await;
        let api = listen_api(script.clone()).await;
        members.push(member(&script.name, sql, api));
        endpoints.push(script);
    }
    write_records(&client, members, deadline).await;
    let directory = TempDir::new().unwrap();
    let settings = settings(directory.path(), &platform, more);
    let (host, tasks) = runtime::start(&settings, "127.0.0.1:1".parse().unwrap()).await.unwrap();
    connect(&host, tasks, &settings);
    let fleet = TestFleet { endpoints, host, platform: client, _directory: directory };
    fleet.wait_until_serving().await;
    fleet
}

impl TestFleet {
    pub fn primary(&self) -> &EndpointScript {
        &self.endpoints[0]
    }

    /// Statements executed by all endpoints.
    pub fn executed(&self) -> Vec<String> {
        self.endpoints.iter().flat_map(|one| one.executed()).map(|(_, sql)| sql).collect()
    }

    /// How often a statement was committed.
    pub fn commits_of(&self, text: &str) -> usize {
        let log = self.primary().log.lock().unwrap();
        log.committed.iter().filter(|sql| sql.contains(text)).count()
    }

    /// Settings of a client on the keyed route.
    pub fn config(&self) -> Config {
        let mut config = Config::new();
        config
            .host("127.0.0.1")
            .port(self.host.callers.port())
            .user(CUSTOMER)
            .password(format!("k1.{KEY_SECRET}"))
            .dbname(ROUTE);
        config
    }

    /// Connects a client to the keyed route.
    pub async fn connect(&self) -> Client {
        connect_with(&self.config()).await.unwrap()
    }

    /// Takes all connections to an endpoint away from the hosts.
    pub async fn withdraw_connections(&self, endpoint: usize) {
        let key = "records/service/db";
        let mut value = self.platform.read(key).await.unwrap().unwrap().value.unwrap();
        value["groups"][0]["members"][endpoint]["connections"] = json!(0);
        let write = TableWrite { key: key.to_owned(), value: Some(value) };
        self.platform.transact(&TxnRequest { checks: vec![], writes: vec![write] }).await.unwrap();
    }

    /// A page of the admin listener with its headers.
    pub async fn page(&self, path: &str) -> String {
        let mut socket = TcpStream::connect(self.host.admin).await.unwrap();
        let request = format!("GET {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n");
        socket.write_all(request.as_bytes()).await.unwrap();
        let mut text = String::new();
        socket.read_to_string(&mut text).await.unwrap();
        text
    }

    async fn wait_until_serving(&self) {
        let end = Instant::now() + WAIT_LIMIT;
        loop {
            if let Ok(client) = connect_with(&self.config()).await
                && client.simple_query("SELECT 'serving'").await.is_ok()
                && client.batch_execute("UPDATE t SET serving = 1").await.is_ok()
            {
                return;
            }
            if Instant::now() > end {
                panic!("the host does not serve: {:#?}", self.host.driver.status().await);
            }
            sleep(Duration::from_millis(50)).await;
        }
    }
}

/// Connects a client.
pub async fn connect_with(config: &Config) -> Result<Client, tokio_postgres::Error> {
    let (client, connection) = config.connect(NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

/// Waits for a condition.
pub async fn eventually(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_LIMIT;
    while !condition() {
        assert!(Instant::now() < end, "not within {WAIT_LIMIT:?}: {what}");
        sleep(Duration::from_millis(5)).await;
    }
}

fn connect(host: &RunningHost, tasks: HostTasks, settings: &HostSettings) {
    let client =
        PlatformClient::new(&settings.platform, "h1", "d1", Duration::from_secs(1), None).unwrap();
    tokio::spawn(store::run(host.driver.clone(), tasks.store, client));
    tokio::spawn(member::run(host.driver.clone(), tasks.members, None));
    let mut peers = tasks.peers;
    tokio::spawn(async move { while peers.recv().await.is_some() {} });
}

fn settings(directory: &Path, platform: &str, more: &str) -> HostSettings {
    let write = |name: &str, text: &str| {
        let path = directory.join(name);
        std::fs::write(&path, text).unwrap();
        path.display().to_string()
    };
    let secret = write("secret", "fleet-secret");
    let password = write("password", SERVICE_PASSWORD);
    let pem = write("pem", "not read by these tests");
    let text = format!(
        "[host]\nname = h1\ndomain = d1\n\
         [listen]\ncallers = 127.0.0.1:0\npeers = 127.0.0.1:0\nadmin = 127.0.0.1:0\n\
         [platform]\naddress = {platform}\n\
         [fleet]\nsecret_file = {secret}\npeer_certificate_file = {pem}\n\
         peer_key_file = {pem}\npeer_ca_file = {pem}\n\
         [endpoint]\nuser = service\npassword_file = {password}\n{more}\n"
    );
    let text = if more.contains("[tls]") { text } else { text + "[tls]\nrequire_tls = no\n" };
    HostSettings::load(Path::new(&write("host.ini", &text))).unwrap()
}

async fn write_records(client: &PlatformClient, members: Vec<Value>, deadline: Duration) {
    let deadline_ms = deadline.as_millis() as u64;
    let write = |key: &str, value: Value| TableWrite { key: key.to_owned(), value: Some(value) };
    let digest = digest_secret("salt", KEY_SECRET);
    let writes = vec![
        write(
            "records/customer/quarry",
            json!({"schema": 2, "rate_per_s": 100_000, "burst": 100_000}),
        ),
        write(
            "records/key/k1",
            json!({"schema": 2, "customer": CUSTOMER, "salt": "salt", "digest": digest}),
        ),
        write(
            "records/route/orders",
            json!({"schema": 2, "service": "db", "deadline_ms": deadline_ms}),
        ),
        write("records/route/catalogue", json!({"schema": 2, "service": "db", "open": true})),
        write(
            "records/service/db",
            json!({"schema": 1, "groups": [{"group": "g1", "members": members}]}),
        ),
        write("records/domain/d1", json!({"schema": 1, "state": "in"})),
    ];
    client.transact(&TxnRequest { checks: Vec::new(), writes }).await.unwrap();
}

fn member(name: &str, sql: SocketAddr, api: SocketAddr) -> Value {
    json!({
        "endpoint": name,
        "domain": "d1",
        "sql_address": sql.to_string(),
        "api_address": api.to_string(),
        "connections": 30,
        "slots": 8,
    })
}

/// Member API of a scripted endpoint; it only reports the status.
async fn listen_api(script: Arc<EndpointScript>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let router = Router::new().route("/v1/status", get(status)).with_state(script);
    tokio::spawn(async move { axum::serve(listener, router).await.unwrap() });
    address
}

async fn status(State(script): State<Arc<EndpointScript>>) -> Json<MemberStatus> {
    let offset = script.log.lock().unwrap().offset;
    Json(MemberStatus {
        group: GroupName::new("g1").unwrap(),
        member: EndpointName::new(&script.name).unwrap(),
        role: if script.is_primary { MemberRole::Primary } else { MemberRole::Replica },
        promised_term: TERM,
        received: LogPosition { term: TERM, offset },
        applied: script.applied(),
        term_history: vec![TermStart { term: TERM, offset: 0 }],
        connections: script.open(),
        running: 0,
    })
}
