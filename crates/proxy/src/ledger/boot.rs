//! Starting and stopping a host.

use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use tanagerdeal_adapter::operator::OPERATOR_TABLE;
use tanagerdeal_core::ledger::isolation::BALANCER_SPAN;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

use super::context::{HostContext, HostPhase, boot_now, sleep_until_any};
use super::follow::{GROUP_TABLE, HOST_TABLE, follow, load_table};
use super::settings::SiteSettings;
use super::{
    admin, consent, doubt, floors, isolation, journal, keeper, mirror, peers, registrations, relay,
    session, sharing, takeover,
};

/// Part of the shutdown's time after which the process ends in any case, in tenths.
const STOP_TENTHS: u32 = 9;
/// Time between two looks whether all sessions have ended.
const STOP_INTERVAL: Duration = Duration::from_millis(50);
/// Time over which hosts that start together spread the creation of rows.
const CREATE_SPREAD: Duration = Duration::from_millis(600);
/// Time between two log lines with the counters.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(10);
/// Pause after a connection could not be accepted, as when no descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Descriptors that are not for clients: endpoints, the store, files.
const OWN_DESCRIPTORS: usize = 400;

/// Serves clients until the process is told to stop.
///
/// # Errors
///
/// Fails when the settings are wrong or an address cannot be bound.
pub fn serve(file: &Path) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| error.to_string())?;
    LocalSet::new().block_on(&runtime, async {
        // A signal that arrives before its handler is installed ends the process.
        let signals = HostSignals::new().map_err(|error| error.to_string())?;
        let settings = SiteSettings::load(file).map_err(|error| error.to_string())?;
        journal::install()?;
        let host = Rc::new(HostContext::new(settings)?);
        run(host, file.to_owned(), signals).await
    })
}

/// Signals that the process acts on.
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
    let text = |error: std::io::Error| error.to_string();
    let HostSignals { mut terminate, mut interrupt, hangup } = signals;
    let admin = TcpListener::bind(host.settings.admin).await.map_err(text)?;
    let callers = TcpListener::bind(host.settings.callers).await.map_err(text)?;
    let socket = UdpSocket::bind(host.settings.peers).await.map_err(text)?;
    let questions = TcpListener::bind(host.settings.peers).await.map_err(text)?;
    journal::event(
        "process",
        "started",
        json!({ "host": host.settings.host, "domain": host.settings.domain,
                "incarnation": host.incarnation, "version": env!("CARGO_PKG_VERSION") }),
    );
    spawn_local(admin::serve(host.clone(), admin));
    spawn_local(reload(host.clone(), file, hangup));
    spawn_local(start(host.clone(), HostListeners { callers, socket, questions }));
    tokio::select! {
        _ = terminate.recv() => (),
        _ = interrupt.recv() => (),
    }
    stop(&host).await;
    Ok(())
}

/// Where a host is spoken to.
struct HostListeners {
    /// Clients.
    callers: TcpListener,
    /// Messages of other hosts.
    socket: UdpSocket,
    /// Questions of other hosts for rows.
    questions: TcpListener,
}

/// Loads what the host has to know, and then accepts clients.
async fn start(host: Rc<HostContext>, listeners: HostListeners) {
    let HostListeners { callers, socket, questions } = listeners;
    load_table(&host, OPERATOR_TABLE).await;
    registrations::load(&host).await;
    load_table(&host, GROUP_TABLE).await;
    load_table(&host, HOST_TABLE).await;
    if keeper::lacks_groups(&host) {
        // One host creates the rows of all groups; the others find them.
        sleep(CREATE_SPREAD.mul_f64(rand::random())).await;
        load_table(&host, GROUP_TABLE).await;
        keeper::create_groups(&host).await;
    }
    peers::load_secret(&host).await;
    spawn_local(peers::serve(host.clone(), socket));
    spawn_local(mirror::serve(host.clone(), questions));
    spawn_local(relay::serve(host.clone()));
    spawn_local(follow(host.clone(), OPERATOR_TABLE));
    spawn_local(registrations::follow(host.clone()));
    spawn_local(follow(host.clone(), GROUP_TABLE));
    spawn_local(keeper::keep_lease(host.clone()));
    spawn_local(sharing::keep_shares(host.clone()));
    spawn_local(doubt::watch_suspicions(host.clone()));
    spawn_local(summarize(host.clone()));
    spawn_local(takeover::watch(host.clone()));
    spawn_local(floors::report(host.clone()));
    spawn_local(isolation::watch(host.clone()));
    spawn_local(consent::watch(host.clone()));
    accept(host, callers).await;
}

/// Logs the counters from time to time, as successes have no lines of their own.
async fn summarize(host: Rc<HostContext>) {
    loop {
        sleep(SUMMARY_INTERVAL).await;
        journal::event("summary", "counts", host.metrics.counts().into());
    }
}

/// Takes clients until the load balancer has noticed that the host is stopping. Then
/// the address is closed, so that nobody is taken whom the end of the process would cut off.
async fn accept(host: Rc<HostContext>, callers: TcpListener) {
    let most = host.settings.descriptors.saturating_sub(OWN_DESCRIPTORS).max(1);
    let mut phase = host.phase.subscribe();
    host.is_closed.set(false);
    loop {
        let end = match *phase.borrow_and_update() {
            HostPhase::Serving => None,
            HostPhase::Stopping(since) => Some(since.after(BALANCER_SPAN)),
        };
        let accepted = tokio::select! {
            accepted = callers.accept() => accepted,
            () = sleep_until_any(end) => break,
            // The end is known now.
            _ = phase.changed() => continue,
        };
        match accepted {
            Ok((stream, _)) if host.connections.get() < most => {
                let connection = ConnectionGuard::new(host.clone());
                spawn_local(async move {
                    session::serve(connection.host.clone(), stream).await;
                    drop(connection);
                });
            }
            // The client finds its connection closed and tries another host.
            Ok(_) => journal::event("session", "too_many", json!({ "most": most })),
            Err(error) => {
                journal::event("session", "not_accepted", json!({ "reason": error.to_string() }));
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(callers);
    host.is_closed.set(true);
}

/// Counts a connection of a client from its acceptance on, before it has a session.
struct ConnectionGuard {
    host: Rc<HostContext>,
}

impl ConnectionGuard {
    fn new(host: Rc<HostContext>) -> Self {
        host.connections.set(host.connections.get() + 1);
        Self { host }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.host.connections.set(self.host.connections.get() - 1);
    }
}

/// Reads the settings again at each signal, and tells which of them need a restart.
async fn reload(host: Rc<HostContext>, file: PathBuf, mut hangup: Signal) {
    while hangup.recv().await.is_some() {
        match SiteSettings::load(&file) {
            Ok(settings) => {
                let is_same = settings == host.settings;
                journal::event("process", "reloaded", json!({ "needs_restart": !is_same }));
            }
            Err(error) => {
                journal::event("process", "not_reloaded", json!({ "reason": error.to_string() }));
            }
        }
    }
}

/// Waits until no client can come and all have gone, for most of the time that a shutdown may take.
async fn stop(host: &HostContext) {
    let began_at = boot_now();
    host.is_ready.set(false);
    journal::event("process", "stopping", json!({ "sessions": host.metrics.sessions.get() }));
    host.phase.send_replace(HostPhase::Stopping(began_at));
    host.renew.notify_one();
    let deadline = began_at.after(host.settings.shutdown_limit * STOP_TENTHS / 10);
    let is_over = || host.is_closed.get() && host.connections.get() == 0;
    while !is_over() && boot_now() < deadline {
        sleep(STOP_INTERVAL).await;
    }
    journal::event(
        "process",
        "stopped",
        json!({ "sessions": host.metrics.sessions.get(),
                "took_ms": boot_now().since(began_at).as_millis() as u64 }),
    );
    // The journal's thread writes the last lines.
    sleep(STOP_INTERVAL).await;
}
