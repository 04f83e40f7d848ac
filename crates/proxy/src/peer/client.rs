//! Requests to other hosts, over one connection per host.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use quinn::{Connection, Endpoint, VarInt};
use tanagerdeal_core::message::HostInput;
use tanagerdeal_core::message::fleet::PeerEvent;
use tanagerdeal_wire::HostName;
use tanagerdeal_wire::peer::{MAX_PEER_BYTES, PeerReply, PeerRequest};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::timeout_at;

use super::PeerError;
use crate::driver::{DriverHandle, PeerTask};

/// Open connections by host, with the address each leads to.
type ConnectionMap = HashMap<HostName, (SocketAddr, Connection)>;

/// Sends requests over connections that are opened when needed and kept.
#[derive(Clone)]
pub(super) struct PeerDialer {
    endpoint: Endpoint,
    connections: Arc<Mutex<ConnectionMap>>,
}

pub(super) async fn send_tasks(
    endpoint: Endpoint,
    handle: DriverHandle,
    mut tasks: UnboundedReceiver<PeerTask>,
) {
    let dialer = PeerDialer::new(endpoint);
    while let Some(task) = tasks.recv().await {
        let (dialer, handle) = (dialer.clone(), handle.clone());
        tokio::spawn(async move {
            let asked_at = Instant::now();
            let reply = dialer.send_by_deadline(&task).await;
            let event = PeerEvent::Answered { call: task.call, asked_at, reply };
            handle.notify(HostInput::Peer(event));
        });
    }
}

impl PeerDialer {
    pub(super) fn new(endpoint: Endpoint) -> Self {
        Self { endpoint, connections: Arc::default() }
    }

    /// The response, or nothing when there is none by the deadline.
    ///
    /// A connection without a response in time is dropped: its host may have been replaced, or the
    /// path to it cut, and a new handshake finds out sooner than the idle limit.
    pub(super) async fn send_by_deadline(&self, task: &PeerTask) -> Option<PeerReply> {
        let exchange = self.exchange(&task.host, &task.address, &task.request);
        match timeout_at(task.deadline.into(), exchange).await {
            Ok(Ok(reply)) => return Some(reply),
            Ok(Err(error)) => log::debug!("peer: request to host {} failed: {error}", task.host),
            Err(_) => log::debug!("peer: request to host {} timed out", task.host),
        }
        self.forget(&task.host);
        None
    }

    async fn exchange(
        &self,
        host: &HostName,
        address: &str,
        request: &PeerRequest,
    ) -> Result<PeerReply, PeerError> {
        let bytes = postcard::to_stdvec(request).map_err(message_error)?;
        let connection = self.connection(host, address).await?;
        let (mut sender, mut receiver) = connection.open_bi().await.map_err(connection_error)?;
        sender.write_all(&bytes).await.map_err(connection_error)?;
        sender.finish().map_err(connection_error)?;
        let bytes = receiver.read_to_end(MAX_PEER_BYTES).await.map_err(connection_error)?;
        postcard::from_bytes(&bytes).map_err(message_error)
    }

    async fn connection(&self, host: &HostName, address: &str) -> Result<Connection, PeerError> {
        let address: SocketAddr =
            address.parse().map_err(|_| PeerError::Address(address.to_owned()))?;
        if let Some(connection) = self.kept(host, address) {
            return Ok(connection);
        }
        let connecting = self.endpoint.connect(address, host.as_str()).map_err(connection_error)?;
        let connection = connecting.await.map_err(connection_error)?;
        self.lock().insert(host.clone(), (address, connection.clone()));
        Ok(connection)
    }

    fn kept(&self, host: &HostName, address: SocketAddr) -> Option<Connection> {
        let connections = self.lock();
        let (kept_address, connection) = connections.get(host)?;
        let is_usable = *kept_address == address && connection.close_reason().is_none();
        is_usable.then(|| connection.clone())
    }

    fn forget(&self, host: &HostName) {
        if let Some((_, connection)) = self.lock().remove(host) {
            connection.close(VarInt::from_u32(0), b"no response");
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, ConnectionMap> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn connection_error(error: impl std::fmt::Display) -> PeerError {
    PeerError::Connection(error.to_string())
}

fn message_error(error: impl std::fmt::Display) -> PeerError {
    PeerError::Message(error.to_string())
}
