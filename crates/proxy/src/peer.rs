//! Connections between hosts over QUIC with mutual TLS.

mod client;
mod server;
mod trust;

#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use quinn::{Endpoint, TransportConfig, VarInt};
use tanagerdeal_wire::peer::PEER_ALPN;
use tokio::sync::mpsc::UnboundedReceiver;

use crate::driver::{DriverHandle, PeerTask};

pub use trust::PeerTrust;

/// Pause between keep-alive packets, well below [`IDLE_LIMIT`].
const KEEP_ALIVE: Duration = Duration::from_secs(3);

/// A connection without any packet for this time is dropped.
const IDLE_LIMIT: Duration = Duration::from_secs(10);

/// Requests of one host that are answered at once; a host has few in flight.
const MAX_STREAMS: u32 = 64;

/// Why the peer listener could not be started, or a request failed.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// A certificate or key file.
    #[error("peer certificates: {0}")]
    Trust(String),
    /// The listener.
    #[error("peer listener: {0}")]
    Listen(#[from] std::io::Error),
    /// The address of a host is not `ip:port`.
    #[error("peer address {0:?} is not of the form ip:port")]
    Address(String),
    /// A connection could not be opened or was lost.
    #[error("peer connection: {0}")]
    Connection(String),
    /// A message was too long or could not be decoded.
    #[error("peer message: {0}")]
    Message(String),
}

/// The local end of all connections between hosts.
pub struct PeerNode {
    endpoint: Endpoint,
}

impl PeerNode {
    /// Binds the peer listener; port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// Fails when a certificate is not usable or the address is taken.
    pub fn bind(address: SocketAddr, trust: &PeerTrust) -> Result<Self, PeerError> {
        let transport = Arc::new(transport()?);
        let mut server = quinn::ServerConfig::with_crypto(Arc::new(trust.server_crypto()?));
        server.transport_config(Arc::clone(&transport));
        let mut client = quinn::ClientConfig::new(Arc::new(trust.client_crypto(PEER_ALPN)?));
        client.transport_config(transport);
        let mut endpoint = Endpoint::server(server, address)?;
        endpoint.set_default_client_config(client);
        Ok(Self { endpoint })
    }

    /// The address that was bound.
    ///
    /// # Errors
    ///
    /// Fails when the socket has no address.
    pub fn local_address(&self) -> Result<SocketAddr, PeerError> {
        Ok(self.endpoint.local_addr()?)
    }

    /// Answers other hosts and sends the core's requests until the driver stops.
    pub async fn run(self, handle: DriverHandle, tasks: UnboundedReceiver<PeerTask>) {
        let accept = tokio::spawn(server::accept(self.endpoint.clone(), handle.clone()));
        client::send_tasks(self.endpoint.clone(), handle, tasks).await;
        accept.abort();
        self.endpoint.close(VarInt::from_u32(0), b"shutting down");
    }
}

fn transport() -> Result<TransportConfig, PeerError> {
    let mut config = TransportConfig::default();
    let idle = IDLE_LIMIT.try_into().map_err(|_| PeerError::Trust("idle limit".to_owned()))?;
    config
        .keep_alive_interval(Some(KEEP_ALIVE))
        .max_idle_timeout(Some(idle))
        .max_concurrent_bidi_streams(VarInt::from_u32(MAX_STREAMS))
        .max_concurrent_uni_streams(VarInt::from_u32(0));
    Ok(config)
}
