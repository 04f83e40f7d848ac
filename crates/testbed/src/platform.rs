//! Stand-in for the platform: table service, object store and host list over HTTP.

mod faults;
mod hosts;
mod table;

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use axum::Json;
use axum::Router;
use axum::body::{Body, Bytes};
use axum::extract::{Path, Query, Request, State};
use axum::http::{Method, StatusCode, header::HeaderMap};
use axum::middleware::{Next, from_fn_with_state};
use axum::response::{IntoResponse as _, Response};
use axum::routing::{get, post, put};
use serde_json::Value;
use tanagerdeal_wire::platform::{EntryPage, HostEntry, HostList, TxnRequest};
use tanagerdeal_wire::wire_type;
use tokio::net::TcpListener;

pub use faults::{CallCounts, PlatformFaults};
use faults::{CallKind, CallLedger};
use hosts::HostTable;
pub(crate) use table::TableStore;

use crate::control::merge_fields;

/// Interval at which silent hosts are dropped and the host list is kept for later.
const TICK: Duration = Duration::from_millis(50);

/// Entries of a page of changes when the caller names no limit.
const DEFAULT_PAGE: usize = 1_000;

wire_type! {
    /// Answer to `GET /control/state`.
    pub struct PlatformState {
        /// Current revision of the tables.
        pub revision: u64,
        /// Faults in effect.
        pub faults: PlatformFaults,
        /// Calls by the caller's `x-host`.
        pub callers: BTreeMap<String, CallCounts>,
        /// The host list without lag.
        pub hosts: HostList,
    }
}

#[derive(Default)]
struct PlatformData {
    tables: TableStore,
    objects: HashMap<String, Bytes>,
    hosts: HostTable,
    faults: PlatformFaults,
    ledger: CallLedger,
}

/// Shared state of the stand-in's handlers.
#[derive(Clone, Default)]
struct PlatformHandle(Arc<Mutex<PlatformData>>);

impl PlatformHandle {
    fn lock(&self) -> MutexGuard<'_, PlatformData> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[derive(serde::Deserialize)]
struct PageQuery {
    #[serde(default)]
    key: String,
    #[serde(default)]
    prefix: String,
    #[serde(default)]
    after: u64,
    limit: Option<usize>,
}

/// Serves the platform on a listener until the process ends.
///
/// # Errors
///
/// Fails when the listener does.
///
/// ```no_run
/// # async fn example() -> std::io::Result<()> {
/// let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
/// tanagerdeal_testbed::platform::serve(listener).await
/// # }
/// ```
pub async fn serve(listener: TcpListener) -> io::Result<()> {
    let handle = PlatformHandle::default();
    let ticker = handle.clone();
    tokio::spawn(async move {
        let mut interval = tokio::time::interval(TICK);
        loop {
            interval.tick().await;
            let mut data = ticker.lock();
            let expiry = Duration::from_millis(data.faults.host_expiry_ms);
            data.hosts.tick(Instant::now(), expiry);
        }
    });
    axum::serve(listener, router(handle)).await
}

/// Binds the platform to an address and serves it in a task of the current runtime.
///
/// # Errors
///
/// Fails when the address cannot be bound.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")] async fn main() {
/// let address = tanagerdeal_testbed::platform::start("127.0.0.1:0").await.unwrap();
/// assert_ne!(address.port(), 0);
/// # }
/// ```
pub async fn start(listen: &str) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(listen).await?;
    let address = listener.local_addr()?;
    tokio::spawn(serve(listener));
    Ok(address)
}

fn router(handle: PlatformHandle) -> Router {
    let service = Router::new()
        .route("/v1/tables/txn", post(transact))
        .route("/v1/tables/read", get(read_key))
        .route("/v1/tables/scan", get(scan_keys))
        .route("/v1/tables/changes", get(read_changes))
        .route("/v1/objects/{*name}", put(store_object).get(read_object))
        .route("/v1/hosts", get(list_hosts))
        .route("/v1/hosts/{id}", put(beat_host))
        .layer(from_fn_with_state(handle.clone(), apply_faults));
    Router::new()
        .route("/control/faults", post(set_faults))
        .route("/control/state", get(show_state))
        .merge(service)
        .with_state(handle)
}

/// Admits or refuses a call, then delays or loses its answer.
async fn apply_faults(
    State(handle): State<PlatformHandle>,
    request: Request,
    next: Next,
) -> Response {
    let kind = match request.uri().path() {
        path if path.starts_with("/v1/hosts/") => CallKind::Heartbeat,
        _ if request.method() == Method::GET => CallKind::Read,
        _ => CallKind::Write,
    };
    let (host, domain) =
        (header(request.headers(), "x-host"), header(request.headers(), "x-domain"));
    let delay = {
        let mut data = handle.lock();
        let PlatformData { faults, ledger, .. } = &mut *data;
        if !ledger.admit(Instant::now(), faults, kind, &host, &domain) {
            return StatusCode::SERVICE_UNAVAILABLE.into_response();
        }
        Duration::from_millis(faults.delay_ms)
    };
    let response = next.run(request).await;
    tokio::time::sleep(delay).await;
    let written = kind == CallKind::Write && response.status().is_success();
    match written && take_lost_write(&mut handle.lock().faults) {
        true => broken_response(),
        false => response,
    }
}

fn take_lost_write(faults: &mut PlatformFaults) -> bool {
    let lost = faults.lose_writes > 0;
    faults.lose_writes = faults.lose_writes.saturating_sub(1);
    lost
}

/// A response whose body fails, which makes the server close the connection.
fn broken_response() -> Response {
    let failure = io::Error::new(io::ErrorKind::ConnectionAborted, "answer lost on purpose");
    let body = futures::stream::once(async { Err::<Bytes, _>(failure) });
    Response::new(Body::from_stream(body))
}

fn header(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or("unknown").to_owned()
}

async fn transact(State(handle): State<PlatformHandle>, Json(txn): Json<TxnRequest>) -> Response {
    match handle.lock().tables.transact(txn) {
        Ok(reply) => Json(reply).into_response(),
        Err(conflict) => (StatusCode::CONFLICT, Json(conflict)).into_response(),
    }
}

async fn read_key(
    State(handle): State<PlatformHandle>,
    Query(page): Query<PageQuery>,
) -> Json<EntryPage> {
    Json(handle.lock().tables.read(&page.key))
}

async fn scan_keys(
    State(handle): State<PlatformHandle>,
    Query(page): Query<PageQuery>,
) -> Json<EntryPage> {
    Json(handle.lock().tables.scan(&page.prefix))
}

async fn read_changes(
    State(handle): State<PlatformHandle>,
    Query(page): Query<PageQuery>,
) -> Json<EntryPage> {
    let limit = page.limit.unwrap_or(DEFAULT_PAGE);
    Json(handle.lock().tables.changes(page.after, &page.prefix, limit))
}

async fn store_object(
    State(handle): State<PlatformHandle>,
    Path(name): Path<String>,
    body: Bytes,
) -> StatusCode {
    handle.lock().objects.insert(name, body);
    StatusCode::NO_CONTENT
}

async fn read_object(State(handle): State<PlatformHandle>, Path(name): Path<String>) -> Response {
    match handle.lock().objects.get(&name) {
        Some(body) => body.clone().into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn list_hosts(State(handle): State<PlatformHandle>) -> Json<HostList> {
    let data = handle.lock();
    Json(data.hosts.list(Instant::now(), Duration::from_millis(data.faults.host_lag_ms)))
}

async fn beat_host(
    State(handle): State<PlatformHandle>,
    Path(id): Path<String>,
    Json(entry): Json<HostEntry>,
) -> StatusCode {
    match entry.host.as_str() == id {
        true => {
            handle.lock().hosts.beat(Instant::now(), entry);
            StatusCode::NO_CONTENT
        }
        false => StatusCode::BAD_REQUEST,
    }
}

async fn set_faults(State(handle): State<PlatformHandle>, Json(change): Json<Value>) -> Response {
    let mut data = handle.lock();
    match merge_fields(&data.faults, change) {
        Ok(faults) => {
            data.faults = faults;
            Json(data.faults.clone()).into_response()
        }
        Err(error) => (StatusCode::BAD_REQUEST, error.to_string()).into_response(),
    }
}

async fn show_state(State(handle): State<PlatformHandle>) -> Json<PlatformState> {
    let data = handle.lock();
    Json(PlatformState {
        revision: data.tables.revision(),
        faults: data.faults.clone(),
        callers: data.ledger.callers.clone(),
        hosts: data.hosts.list(Instant::now(), Duration::ZERO),
    })
}
