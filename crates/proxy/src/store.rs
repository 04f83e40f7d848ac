//! Calls of the platform on behalf of the core.

use std::time::Instant;

use tanagerdeal_core::message::HostInput;
use tanagerdeal_core::message::fleet::{StoreEvent, StoreFault, StoreRequest};
use tanagerdeal_platform::{PlatformClient, PlatformError};
use tokio::sync::mpsc::UnboundedReceiver;

use crate::driver::DriverHandle;

/// Carries out the core's calls of the platform until the driver stops.
///
/// Each call runs in its own task, so that a slow one does not hold up the others; the core keeps
/// the number in flight small.
pub async fn run(
    handle: DriverHandle,
    mut requests: UnboundedReceiver<StoreRequest>,
    client: PlatformClient,
) {
    while let Some(request) = requests.recv().await {
        let (handle, client) = (handle.clone(), client.clone());
        tokio::spawn(async move {
            if let Some(event) = call(&client, request).await {
                handle.notify(HostInput::Store(event));
            }
        });
    }
}

async fn call(client: &PlatformClient, request: StoreRequest) -> Option<StoreEvent> {
    let asked_at = Instant::now();
    match request {
        StoreRequest::ReadChanges { after } => {
            let result = client.changes(after).await.map_err(fault);
            Some(StoreEvent::ChangesRead { after, asked_at, result })
        }
        StoreRequest::Transact { purpose, txn } => {
            let result = client.transact(&txn).await.map_err(fault);
            Some(StoreEvent::Transacted { purpose, asked_at, result })
        }
        StoreRequest::ListHosts => {
            Some(StoreEvent::HostsListed { result: client.hosts().await.map_err(fault) })
        }
        StoreRequest::Heartbeat(entry) => {
            if let Err(error) = client.heartbeat(&entry).await {
                log::debug!("store: heartbeat failed: {error}");
            }
            None
        }
    }
}

fn fault(error: PlatformError) -> StoreFault {
    match error {
        PlatformError::Conflict(conflict) => StoreFault::Conflict(conflict),
        PlatformError::Unavailable { .. } => {
            log::debug!("store: call failed: {error}");
            StoreFault::Unavailable
        }
    }
}
