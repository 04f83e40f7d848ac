//! Listener for clients.

use std::sync::Arc;
use std::time::Duration;

use tanagerdeal_core::message::DrainPhase;
use tanagerdeal_core::verdict::{RefusalCode, RequestRefusal};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::time::sleep;

use super::CallerContext;
use super::reply::{self, Severity};
use super::startup::{Opening, StartupError, open};
use crate::codec::{CodecError, FrameStream};

/// Pause after a failure to accept, which is most often a lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Time that a client beyond the limit has to take the error.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);

/// Accepts clients until the shutdown closes the listener, and returns when all sessions have ended.
pub async fn serve(
    listener: TcpListener,
    context: Arc<CallerContext>,
    mut drain: watch::Receiver<DrainPhase>,
) {
    let permits = Arc::new(Semaphore::new(context.limits.sessions));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = drain.wait_for(|phase| *phase >= DrainPhase::Draining) => break,
        };
        match accepted {
            Ok((socket, _)) => match permits.clone().try_acquire_owned() {
                Ok(permit) => {
                    let context = context.clone();
                    tokio::spawn(async move {
                        attend(socket, context).await;
                        drop(permit);
                    });
                }
                Err(_) => drop(tokio::spawn(refuse(socket, context.clone()))),
            },
            Err(error) => {
                log::error!("caller: accept failed: {error}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(listener);
    log::info!("caller: listener closed");
    let all = u32::try_from(context.limits.sessions).unwrap_or(u32::MAX);
    if permits.acquire_many(all).await.is_ok() {
        log::info!("caller: all sessions have ended");
    }
}

async fn attend(socket: TcpStream, context: Arc<CallerContext>) {
    let peer = socket.peer_addr().map_or_else(|_| "?".to_owned(), |peer| peer.to_string());
    // Without this, small responses wait for the client's acknowledgement of the one before.
    if let Err(error) = socket.set_nodelay(true) {
        log::debug!("caller: {peer}: {error}");
    }
    match open(socket, context.clone()).await {
        Ok(Opening::Session(session)) => {
            log::debug!("caller: {peer}: session opened");
            session.serve().await;
        }
        Ok(Opening::Cancel(pid, secret)) => {
            if !context.cancels.cancel(pid, secret).await {
                log::info!("caller: {peer}: cancel request for no session");
            }
        }
        // Health checks of load balancers connect and close.
        Err(StartupError::Codec(CodecError::Closed)) => {}
        Err(error) => {
            context.metrics.count_refused_startup();
            log::info!("caller: {peer}: start-up failed: {error}");
        }
    }
}

async fn refuse(socket: TcpStream, context: Arc<CallerContext>) {
    context.metrics.count_refused_startup();
    let refusal = RequestRefusal::not_run(RefusalCode::Overloaded, "too many sessions");
    let mut client = FrameStream::new(socket, 0);
    client.push(&reply::refusal(Severity::Fatal, &refusal));
    client.close(REFUSAL_TIMEOUT).await;
}
