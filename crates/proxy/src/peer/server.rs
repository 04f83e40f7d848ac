//! Answers to other hosts.

use quinn::{Connection, Endpoint, Incoming, RecvStream, SendStream};
use rustls_pki_types::CertificateDer;
use tanagerdeal_wire::HostName;
use tanagerdeal_wire::peer::{MAX_PEER_BYTES, PeerRequest};

use super::{PeerError, trust};
use crate::driver::DriverHandle;

pub(super) async fn accept(endpoint: Endpoint, handle: DriverHandle) {
    while let Some(incoming) = endpoint.accept().await {
        let handle = handle.clone();
        tokio::spawn(async move {
            if let Err(error) = serve(incoming, handle).await {
                log::info!("peer: connection refused: {error}");
            }
        });
    }
}

async fn serve(incoming: Incoming, handle: DriverHandle) -> Result<(), PeerError> {
    let address = incoming.remote_address();
    let connection = incoming
        .await
        .map_err(|error| PeerError::Connection(format!("from {address}: {error}")))?;
    let host = host_of(&connection)
        .ok_or_else(|| PeerError::Connection(format!("from {address}: certificate has no name")))?;
    while let Ok((sender, receiver)) = connection.accept_bi().await {
        let (handle, host) = (handle.clone(), host.clone());
        tokio::spawn(async move {
            if let Err(error) = answer(&handle, &host, sender, receiver).await {
                log::info!("peer: request of host {host} failed: {error}");
            }
        });
    }
    Ok(())
}

/// The host named in the certificate that the handshake has verified.
fn host_of(connection: &Connection) -> Option<HostName> {
    let identity = connection.peer_identity()?;
    let chain = identity.downcast::<Vec<CertificateDer<'static>>>().ok()?;
    trust::host_of_certificate(chain.first()?)
}

async fn answer(
    handle: &DriverHandle,
    host: &HostName,
    mut sender: SendStream,
    mut receiver: RecvStream,
) -> Result<(), PeerError> {
    let bytes = receiver.read_to_end(MAX_PEER_BYTES).await.map_err(message_error)?;
    let request: PeerRequest = postcard::from_bytes(&bytes).map_err(message_error)?;
    let reply = handle.ask_peer(host.clone(), request).await;
    let bytes = postcard::to_stdvec(&reply).map_err(message_error)?;
    sender.write_all(&bytes).await.map_err(message_error)?;
    sender.finish().map_err(message_error)
}

fn message_error(error: impl std::fmt::Display) -> PeerError {
    PeerError::Message(error.to_string())
}
