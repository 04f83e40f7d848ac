//! Relay of links between failure domains, with settable delay, loss and cuts.
//!
//! Each relayed port leads to one target in one failure domain. A caller's failure domain is known
//! by its source address, so processes of different domains use different loopback addresses.

mod datagram;
mod link;
mod stream;

use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use axum::extract::State;
use axum::http::StatusCode;
use axum::response::{IntoResponse as _, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use tanagerdeal_wire::wire_type;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::broadcast;

pub use link::{LinkFaults, LinkRule};
use link::{LinkTable, Transit};

wire_type! {
    /// Transport of a relayed port.
    #[derive(Copy)]
    #[serde(rename_all = "lowercase")]
    pub enum RelayProtocol {
        /// A byte stream.
        Tcp,
        /// Datagrams.
        Udp,
    }

    /// Body of `POST /control/ports`: opens a port that leads to a target.
    pub struct RelayPort {
        /// Transport.
        pub protocol: RelayProtocol,
        /// Address to listen on; port 0 lets the kernel choose.
        pub listen: SocketAddr,
        /// Address of the target.
        pub target: SocketAddr,
        /// Failure domain of the target.
        pub domain: String,
        /// Failure domain of all callers of the port; empty when their source addresses tell it.
        #[serde(default)]
        pub caller_domain: String,
    }

    /// Answer to `POST /control/ports`.
    #[derive(Copy)]
    pub struct OpenedPort {
        /// Address on which the relay listens.
        pub address: SocketAddr,
    }

    /// What becomes of open connections; new ones are not affected.
    #[derive(Copy)]
    #[serde(rename_all = "lowercase")]
    pub enum BreakKind {
        /// Both ends see a reset.
        Reset,
        /// Nothing passes any more, and neither end is told.
        Silence,
    }

    /// Body of `POST /control/breaks`: breaks the connections from one failure domain to another.
    pub struct LinkBreak {
        /// Domain of the callers.
        pub from: String,
        /// Domain of the targets.
        pub to: String,
        /// What happens to them.
        pub kind: BreakKind,
    }

    /// Answer to `GET /control/state`.
    pub struct RelayState {
        /// Failure domains by source address.
        pub sources: BTreeMap<IpAddr, String>,
        /// Rules in effect.
        pub links: Vec<LinkRule>,
        /// Bytes forwarded, by `<from> <to>`.
        pub bytes: BTreeMap<String, u64>,
    }
}

/// What the tasks of a relay share.
struct RelayData {
    sources: BTreeMap<IpAddr, String>,
    links: LinkTable,
    bytes: BTreeMap<String, u64>,
    random: SmallRng,
    breaks: broadcast::Sender<LinkBreak>,
}

/// Breaks that wait for a connection to take notice.
const BREAKS_WAITING: usize = 64;

#[derive(Clone)]
struct RelayHandle(Arc<Mutex<RelayData>>);

impl RelayHandle {
    fn new(seed: u64) -> Self {
        Self(Arc::new(Mutex::new(RelayData {
            sources: BTreeMap::new(),
            links: LinkTable::default(),
            bytes: BTreeMap::new(),
            random: SmallRng::seed_from_u64(seed),
            breaks: broadcast::Sender::new(BREAKS_WAITING),
        })))
    }

    fn lock(&self) -> MutexGuard<'_, RelayData> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Failure domain of a caller of a port, empty when neither its address nor the port names it.
    fn domain_of(&self, address: IpAddr, port: &RelayPort) -> String {
        match port.caller_domain.is_empty() {
            true => self.lock().sources.get(&address).cloned().unwrap_or_default(),
            false => port.caller_domain.clone(),
        }
    }

    /// Decides what happens to a packet on its way between two failure domains.
    fn transit(&self, from: &str, to: &str) -> Transit {
        let mut data = self.lock();
        let RelayData { links, random, .. } = &mut *data;
        links.transit(from, to, random)
    }

    fn is_cut(&self, from: &str, to: &str) -> bool {
        self.lock().links.faults(from, to).cut
    }

    fn count(&self, from: &str, to: &str, bytes: usize) {
        *self.lock().bytes.entry(format!("{from} {to}")).or_default() += bytes as u64;
    }
}

/// Serves the control API of a relay until the process ends.
///
/// # Errors
///
/// Fails when the listener does.
///
/// ```no_run
/// # async fn example() -> std::io::Result<()> {
/// let control = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
/// tanagerdeal_testbed::relay::serve(control, 1).await
/// # }
/// ```
pub async fn serve(control: TcpListener, seed: u64) -> io::Result<()> {
    axum::serve(control, router(RelayHandle::new(seed))).await
}

/// Binds the control API and serves it in a task of the current runtime.
///
/// # Errors
///
/// Fails when the address cannot be bound.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")] async fn main() {
/// let control = tanagerdeal_testbed::relay::start("127.0.0.1:0", 1).await.unwrap();
/// assert_ne!(control.port(), 0);
/// # }
/// ```
pub async fn start(control: &str, seed: u64) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(control).await?;
    let address = listener.local_addr()?;
    tokio::spawn(serve(listener, seed));
    Ok(address)
}

fn router(handle: RelayHandle) -> Router {
    Router::new()
        .route("/control/ports", post(open_port))
        .route("/control/sources", post(set_sources))
        .route("/control/links", post(set_links))
        .route("/control/breaks", post(break_connections))
        .route("/control/state", get(show_state))
        .with_state(handle)
}

async fn open_port(State(handle): State<RelayHandle>, Json(port): Json<RelayPort>) -> Response {
    let opened = match port.protocol {
        RelayProtocol::Tcp => open_stream(handle, port).await,
        RelayProtocol::Udp => open_datagram(handle, port).await,
    };
    match opened {
        Ok(address) => Json(OpenedPort { address }).into_response(),
        Err(error) => (StatusCode::BAD_REQUEST, error.to_string()).into_response(),
    }
}

async fn open_stream(handle: RelayHandle, port: RelayPort) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(port.listen).await?;
    let address = listener.local_addr()?;
    tokio::spawn(stream::relay_streams(handle, listener, port));
    Ok(address)
}

async fn open_datagram(handle: RelayHandle, port: RelayPort) -> io::Result<SocketAddr> {
    let socket = UdpSocket::bind(port.listen).await?;
    let address = socket.local_addr()?;
    tokio::spawn(datagram::relay_datagrams(handle, socket, port));
    Ok(address)
}

async fn set_sources(
    State(handle): State<RelayHandle>,
    Json(sources): Json<BTreeMap<IpAddr, String>>,
) -> StatusCode {
    handle.lock().sources.extend(sources);
    StatusCode::NO_CONTENT
}

async fn set_links(
    State(handle): State<RelayHandle>,
    Json(rules): Json<Vec<LinkRule>>,
) -> StatusCode {
    let mut data = handle.lock();
    rules.into_iter().for_each(|rule| data.links.set(rule));
    StatusCode::NO_CONTENT
}

async fn break_connections(
    State(handle): State<RelayHandle>,
    Json(link): Json<LinkBreak>,
) -> StatusCode {
    // Without an open connection nobody listens.
    let _ = handle.lock().breaks.send(link);
    StatusCode::NO_CONTENT
}

async fn show_state(State(handle): State<RelayHandle>) -> Json<RelayState> {
    let data = handle.lock();
    Json(RelayState {
        sources: data.sources.clone(),
        links: data.links.rules(),
        bytes: data.bytes.clone(),
    })
}
