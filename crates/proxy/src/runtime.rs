//! The parts of a host, started and connected.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use tanagerdeal_core::message::fleet::StoreRequest;
use tanagerdeal_core::message::{DrainPhase, HostInput};
use tanagerdeal_core::profile::{HostIdentity, HostProfile};
use tokio::net::TcpListener;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::admin;
use crate::caller::{self, CallerContext, CancelRegistry};
use crate::driver::{
    self, DriverError, DriverHandle, DriverPorts, LimitTask, MemberTask, PeerTask,
};
use crate::endpoint::{EndpointLogin, PoolSet};
use crate::metrics::ProxyMetrics;
use crate::settings::HostSettings;
use crate::tls::{self, TlsError};

/// Time for the last responses to reach their clients after the core has nothing left to do.
const LAST_WRITES: Duration = Duration::from_secs(2);

/// Why a host could not be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A file cannot be read.
    #[error("{file}: {error}")]
    File {
        /// The file.
        file: String,
        /// What is wrong.
        error: std::io::Error,
    },
    /// A listener cannot be bound.
    #[error("listener {address}: {error}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What is wrong.
        error: std::io::Error,
    },
    /// TLS towards clients.
    #[error("{0}")]
    Tls(#[from] TlsError),
    /// The metrics.
    #[error("metrics: {0}")]
    Metrics(#[from] prometheus::Error),
    /// The driver.
    #[error("{0}")]
    Driver(#[from] DriverError),
}

/// Tasks of the core for the platform, the members and other hosts.
pub struct HostTasks {
    /// Calls of the member API.
    pub members: UnboundedReceiver<MemberTask>,
    /// Calls of the platform.
    pub store: UnboundedReceiver<StoreRequest>,
    /// Requests to other hosts.
    pub peers: UnboundedReceiver<PeerTask>,
}

/// A host that serves clients.
pub struct RunningHost {
    /// The decision core.
    pub driver: DriverHandle,
    /// Address of the listener for clients.
    pub callers: SocketAddr,
    /// Address of the admin listener.
    pub admin: SocketAddr,
    drain: watch::Receiver<DrainPhase>,
    stopped: JoinHandle<()>,
    sessions: JoinHandle<()>,
}

/// Starts the listeners, the core and the pools. `peer_address` is the bound address for other
/// hosts; the returned tasks are carried out by the caller.
///
/// # Errors
///
/// Fails when a file cannot be read or a listener cannot be bound.
pub async fn start(
    settings: &HostSettings,
    peer_address: SocketAddr,
) -> Result<(RunningHost, HostTasks), StartError> {
    let (caller_listener, callers) = bind(settings.listen.callers).await?;
    let (admin_listener, admin) = bind(settings.listen.admin).await?;
    let profile = profile(settings, peer_address, admin)?;
    let (members, member_tasks) = unbounded_channel();
    let (store, store_requests) = unbounded_channel();
    let (peers, peer_tasks) = unbounded_channel();
    let (limits, limit_tasks) = unbounded_channel();
    let (drain, drained) = watch::channel(DrainPhase::Serving);
    let ports = DriverPorts { members, store, peers, limits, drain };
    let pools = pools(settings)?;
    let acceptor = settings.tls.as_ref().map(tls::acceptor).transpose()?;
    let metrics = Arc::new(ProxyMetrics::new()?);
    let (driver, stopped) = driver::start(profile, ports).await?;
    let context = Arc::new(CallerContext {
        driver: driver.clone(),
        pools: pools.clone(),
        cancels: CancelRegistry::default(),
        metrics,
        limits: settings.limits.clone(),
        tls: acceptor,
        require_tls: settings.require_tls,
    });
    tokio::spawn(apply_limits(pools, limit_tasks));
    let sessions = tokio::spawn(caller::serve(caller_listener, context.clone(), drained.clone()));
    tokio::spawn(async move {
        if let Err(error) = admin::serve(admin_listener, context).await {
            log::error!("admin: listener failed: {error}");
        }
    });
    let tasks = HostTasks { members: member_tasks, store: store_requests, peers: peer_tasks };
    Ok((RunningHost { driver, callers, admin, drain: drained, stopped, sessions }, tasks))
}

impl RunningHost {
    /// Begins the shutdown.
    pub fn shut_down(&self) {
        self.driver.notify(HostInput::ShutDown);
    }

    /// Waits until the shutdown has finished; false when the core has failed instead.
    pub async fn finished(&mut self) -> bool {
        let is_done = tokio::select! {
            phase = self.drain.wait_for(|phase| *phase == DrainPhase::Finished) => phase.is_ok(),
            _ = &mut self.stopped => false,
        };
        if timeout(LAST_WRITES, &mut self.sessions).await.is_err() {
            log::warn!("drain: sessions were cut off");
        }
        is_done
    }
}

async fn bind(address: SocketAddr) -> Result<(TcpListener, SocketAddr), StartError> {
    let failed = |error| StartError::Listen { address, error };
    let listener = TcpListener::bind(address).await.map_err(failed)?;
    let bound = listener.local_addr().map_err(failed)?;
    Ok((listener, bound))
}

fn profile(
    settings: &HostSettings,
    peer_address: SocketAddr,
    admin_address: SocketAddr,
) -> Result<HostProfile, StartError> {
    let identity = HostIdentity {
        host: settings.host.clone(),
        domain: settings.domain.clone(),
        incarnation: settings.incarnation.unwrap_or_else(rand::random),
        peer_address: settings.listen.peers_advertised.unwrap_or(peer_address).to_string(),
        admin_address: admin_address.to_string(),
    };
    Ok(HostProfile {
        identity,
        timing: settings.timing.clone(),
        policies: settings.policies.clone(),
        fleet_secret: read_secret(&settings.secret_file)?.into_bytes(),
        seed: rand::random(),
    })
}

fn pools(settings: &HostSettings) -> Result<PoolSet, StartError> {
    let endpoint = &settings.endpoint;
    let login = EndpointLogin {
        user: endpoint.user.clone(),
        password: read_secret(&endpoint.password_file)?,
        database: endpoint.database.clone(),
        source: settings.source,
    };
    Ok(PoolSet::new(login, settings.limits.message_bytes, endpoint.connect_timeout))
}

/// Reads a secret; white space at the ends is no part of it.
fn read_secret(file: &Path) -> Result<String, StartError> {
    std::fs::read_to_string(file)
        .map(|text| text.trim().to_owned())
        .map_err(|error| StartError::File { file: file.display().to_string(), error })
}

async fn apply_limits(pools: PoolSet, mut tasks: UnboundedReceiver<LimitTask>) {
    while let Some(task) = tasks.recv().await {
        pools.limit(&task);
    }
}
