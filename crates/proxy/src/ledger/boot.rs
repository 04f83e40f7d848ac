//! Start-up and shutdown of a host.

use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use tanagerdeal_adapter::operator::OPERATOR_TABLE;
use tanagerdeal_core::ledger::isolation::LOAD_BALANCER_DETECTION_TIME;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

use super::context::{HostContext, HostPhase, boot_now, sleep_until_optional};
use super::follow::{GROUP_TABLE, HOST_TABLE, follow, load_table};
use super::settings::SiteSettings;
use super::{
    admin, extension, failover, forward, freshness, gate, isolation, journal, lease, mirror,
    observations, peers, quota, registrations, relay, restore, session, suspicion, usage,
};

/// Part of the shutdown time-out after which the process exits even if sessions are open, in
/// tenths.
const DRAIN_TENTHS: u32 = 9;
/// Interval at which a shutdown checks whether all sessions have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Longest random delay before the creation of group rows. It spreads hosts that start together.
const MAX_CREATE_DELAY: Duration = Duration::from_millis(600);
/// Interval at which the counters are logged.
const COUNTER_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Pause after a failure to accept a connection, for example when no file descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// File descriptors reserved for other uses than clients: endpoints, the store, files.
const RESERVED_DESCRIPTORS: usize = 400;

/// Serves clients until the process receives `SIGTERM` or `SIGINT`.
///
/// # Errors
///
/// Fails when the settings are invalid, an address cannot be bound, or the logger or the clients of
/// the platform cannot be set up.
pub fn serve(file: &Path) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| error.to_string())?;
    LocalSet::new().block_on(&runtime, async {
        // The handlers are installed first, as a signal without a handler kills the process.
        let signals = HostSignals::new().map_err(|error| error.to_string())?;
        let settings = SiteSettings::load(file).map_err(|error| error.to_string())?;
        journal::install()?;
        let host = Rc::new(HostContext::new(settings)?);
        run(host, file.to_owned(), signals).await
    })
}

/// Signals handled by the process.
struct HostSignals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl HostSignals {
    fn new() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }
}

async fn run(host: Rc<HostContext>, file: PathBuf, signals: HostSignals) -> Result<(), String> {
    let to_text = |error: std::io::Error| error.to_string();
    let HostSignals { mut terminate, mut interrupt, hangup } = signals;
    let admin = TcpListener::bind(host.settings.admin).await.map_err(to_text)?;
    let clients = TcpListener::bind(host.settings.callers).await.map_err(to_text)?;
    let datagrams = UdpSocket::bind(host.settings.peers).await.map_err(to_text)?;
    let table_requests = TcpListener::bind(host.settings.peers).await.map_err(to_text)?;
    if let Some(address) = host.settings.forwarding {
        let statements = TcpListener::bind(address).await.map_err(to_text)?;
        spawn_local(forward::serve(host.clone(), statements));
    }
    journal::event(
        "process",
        "started",
        json!({ "host": host.settings.host, "domain": host.settings.domain,
                "incarnation": host.incarnation, "version": env!("CARGO_PKG_VERSION") }),
    );
    spawn_local(admin::serve(host.clone(), admin));
    spawn_local(reload(host.clone(), file, hangup));
    spawn_local(start(host.clone(), HostListeners { clients, datagrams, table_requests }));
    tokio::select! {
        _ = terminate.recv() => (),
        _ = interrupt.recv() => (),
    }
    stop(&host).await;
    Ok(())
}

/// Sockets on which a host is contacted.
struct HostListeners {
    /// Accepts client connections.
    clients: TcpListener,
    /// Receives messages of other hosts.
    datagrams: UdpSocket,
    /// Accepts connections of other hosts that read tables through this host.
    table_requests: TcpListener,
}

/// Loads the initial state, starts the background tasks, and then accepts clients.
async fn start(host: Rc<HostContext>, listeners: HostListeners) {
    let HostListeners { clients, datagrams, table_requests } = listeners;
    load_table(&host, OPERATOR_TABLE).await;
    registrations::load(&host).await;
    load_table(&host, GROUP_TABLE).await;
    load_table(&host, HOST_TABLE).await;
    if lease::lacks_groups(&host) {
        // The delay lets one host create the rows of all groups and the others read them.
        sleep(MAX_CREATE_DELAY.mul_f64(rand::random())).await;
        load_table(&host, GROUP_TABLE).await;
        lease::create_groups(&host).await;
    }
    peers::load_secret(&host).await;
    restore::load_restoration(&host).await;
    spawn_local(peers::serve(host.clone(), datagrams));
    spawn_local(mirror::serve(host.clone(), table_requests));
    spawn_local(relay::serve(host.clone()));
    spawn_local(follow(host.clone(), OPERATOR_TABLE));
    spawn_local(freshness::watch_catalog(host.clone()));
    spawn_local(registrations::follow(host.clone()));
    spawn_local(follow(host.clone(), GROUP_TABLE));
    spawn_local(lease::renew_lease(host.clone()));
    spawn_local(quota::maintain_shares(host.clone()));
    spawn_local(suspicion::watch_suspicions(host.clone()));
    spawn_local(restore::record_eras(host.clone()));
    spawn_local(restore::rewrite_groups(host.clone()));
    spawn_local(log_counters(host.clone()));
    spawn_local(gate::watch(host.clone()));
    spawn_local(failover::watch(host.clone()));
    spawn_local(failover::demotion::watch(host.clone()));
    spawn_local(observations::report(host.clone()));
    spawn_local(isolation::watch(host.clone()));
    spawn_local(extension::watch(host.clone()));
    if let Some(usage_settings) = host.settings.usage {
        spawn_local(usage::send_totals(host.clone(), usage_settings.window));
        spawn_local(usage::write_totals(host.clone()));
        spawn_local(usage::report::watch(host.clone(), usage_settings));
    }
    accept(host, clients).await;
}

/// Logs the counters periodically, as successful requests are not logged individually.
async fn log_counters(host: Rc<HostContext>) {
    loop {
        sleep(COUNTER_LOG_INTERVAL).await;
        journal::event("summary", "counts", host.metrics.counts().into());
    }
}

/// Accepts clients until the load balancer has noticed that the host is stopping, and then closes
/// the listener, so that no new client is cut off by the end of the process.
async fn accept(host: Rc<HostContext>, clients: TcpListener) {
    let max_connections = host.settings.descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(1);
    let mut phase = host.phase.subscribe();
    host.is_closed.set(false);
    loop {
        let end = match *phase.borrow_and_update() {
            HostPhase::Serving => None,
            HostPhase::Stopping(since) => Some(since.after(LOAD_BALANCER_DETECTION_TIME)),
        };
        let accepted = tokio::select! {
            accepted = clients.accept() => accepted,
            () = sleep_until_optional(end) => break,
            // The shutdown has begun, which sets `end`.
            _ = phase.changed() => continue,
        };
        match accepted {
            Ok((stream, _)) if host.connections.get() < max_connections => {
                let connection = ClientConnectionGuard::new(host.clone());
                spawn_local(async move {
                    session::serve(connection.host.clone(), stream).await;
                    drop(connection);
                });
            }
            // Closing the connection makes the client try another host.
            Ok(_) => journal::event("session", "too_many", json!({ "most": max_connections })),
            Err(error) => {
                journal::event("session", "not_accepted", json!({ "reason": error.to_string() }));
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(clients);
    host.is_closed.set(true);
}

/// Counts a client connection from its acceptance, before it has a session, until the guard is
/// dropped.
struct ClientConnectionGuard {
    host: Rc<HostContext>,
}

impl ClientConnectionGuard {
    fn new(host: Rc<HostContext>) -> Self {
        host.connections.set(host.connections.get() + 1);
        Self { host }
    }
}

impl Drop for ClientConnectionGuard {
    fn drop(&mut self) {
        self.host.connections.set(self.host.connections.get() - 1);
    }
}

/// Reads the settings again at each `SIGHUP`, and logs whether they differ from those in effect,
/// which requires a restart.
async fn reload(host: Rc<HostContext>, file: PathBuf, mut hangup: Signal) {
    while hangup.recv().await.is_some() {
        match SiteSettings::load(&file) {
            Ok(settings) => {
                let is_unchanged = settings == host.settings;
                journal::event("process", "reloaded", json!({ "needs_restart": !is_unchanged }));
            }
            Err(error) => {
                journal::event("process", "not_reloaded", json!({ "reason": error.to_string() }));
            }
        }
    }
}

/// Drains the host: waits until the listener is closed and all clients have disconnected, at most
/// for the part of the shutdown time-out given by `DRAIN_TENTHS`.
async fn stop(host: &HostContext) {
    let began_at = boot_now();
    host.is_ready.set(false);
    journal::event("process", "stopping", json!({ "sessions": host.metrics.sessions.get() }));
    host.phase.send_replace(HostPhase::Stopping(began_at));
    host.renew_now.notify_one();
    let deadline = began_at.after(host.settings.shutdown_limit * DRAIN_TENTHS / 10);
    let is_drained =
        || host.is_closed.get() && host.connections.get() == 0 && host.links.served() == 0;
    while !is_drained() && boot_now() < deadline {
        sleep(DRAIN_POLL_INTERVAL).await;
    }
    journal::event(
        "process",
        "stopped",
        json!({ "sessions": host.metrics.sessions.get(),
                "took_ms": boot_now().since(began_at).as_millis() as u64 }),
    );
    usage::send_open_windows(host, true);
    // Leaves time for the log thread to write the last lines, and for the messages to be sent.
    sleep(DRAIN_POLL_INTERVAL).await;
}
