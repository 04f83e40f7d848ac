//! Relay of byte streams.

use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::broadcast::error::RecvError;
use tokio::sync::{broadcast, mpsc};
use tokio::time::Instant;

use super::{BreakKind, LinkBreak, RelayHandle, RelayPort};

/// Chunks under way in one direction; more make the sender wait.
const CHUNKS_UNDER_WAY: usize = 256;

/// Time for which the ends of a silenced connection stay open: longer than any test.
const SILENCE_TERM: Duration = Duration::from_secs(600);

/// Interval at which a cut link is checked for being healed.
const CUT_INTERVAL: Duration = Duration::from_millis(10);

/// Accepts connections and relays each to the target.
pub(super) async fn relay_streams(handle: RelayHandle, listener: TcpListener, port: RelayPort) {
    loop {
        match listener.accept().await {
            Ok((stream, source)) => {
                let domain = handle.domain_of(source.ip(), &port);
                tokio::spawn(relay_stream(handle.clone(), stream, domain, port.clone()));
            }
            Err(error) => {
                // Too many open files, for example; accepting again at once would spin.
                log::warn!("relay: accept failed: {error}");
                tokio::time::sleep(CUT_INTERVAL).await;
            }
        }
    }
}

async fn relay_stream(handle: RelayHandle, near: TcpStream, domain: String, port: RelayPort) {
    let breaks = handle.lock().breaks.subscribe();
    wait_until_whole(&handle, &domain, &port.domain).await;
    tokio::time::sleep(handle.transit(&domain, &port.domain).stream_delay()).await;
    let Ok(far) = TcpStream::connect(port.target).await else { return };
    for stream in [&near, &far] {
        if let Err(error) = stream.set_nodelay(true) {
            log::warn!("relay: connection without TCP_NODELAY: {error}");
        }
    }
    let (there, back) =
        ([domain.clone(), port.domain.clone()], [port.domain.clone(), domain.clone()]);
    let (mut near, mut far) = (near, far);
    let broken = {
        let (near_read, near_write) = near.split();
        let (far_read, far_write) = far.split();
        let forwarding = async {
            tokio::join!(
                forward(&handle, near_read, far_write, &there),
                forward(&handle, far_read, near_write, &back),
            );
        };
        tokio::select! {
            () = forwarding => None,
            kind = broken(breaks, &domain, &port.domain) => Some(kind),
        }
    };
    match broken {
        None => (),
        Some(BreakKind::Reset) => {
            for stream in [&near, &far] {
                // Closing with a linger time of zero sends a reset.
                if let Err(error) = stream.set_zero_linger() {
                    log::warn!("relay: connection closed without a reset: {error}");
                }
            }
        }
        Some(BreakKind::Silence) => tokio::time::sleep(SILENCE_TERM).await,
    }
}

/// Completes when the connections from one domain to another are broken.
async fn broken(mut breaks: broadcast::Receiver<LinkBreak>, from: &str, to: &str) -> BreakKind {
    loop {
        match breaks.recv().await {
            Ok(link) if link.from == from && link.to == to => return link.kind,
            // Another one, or several that came faster than this task was run.
            Ok(_) | Err(RecvError::Lagged(_)) => (),
            Err(RecvError::Closed) => std::future::pending().await,
        }
    }
}

/// Forwards one direction, each chunk after its delay and none while the link is cut.
async fn forward(
    handle: &RelayHandle,
    mut source: ReadHalf<'_>,
    mut target: WriteHalf<'_>,
    [from, to]: &[String; 2],
) {
    let (sender, mut receiver) = mpsc::channel::<(Instant, BytesMut)>(CHUNKS_UNDER_WAY);
    let read = async move {
        loop {
            let mut chunk = BytesMut::with_capacity(16 * 1024);
            match source.read_buf(&mut chunk).await {
                Ok(length) if length > 0 => {
                    let due = Instant::now() + handle.transit(from, to).stream_delay();
                    if sender.send((due, chunk)).await.is_err() {
                        return;
                    }
                }
                _ => return,
            }
        }
    };
    let write = async move {
        while let Some((due, chunk)) = receiver.recv().await {
            tokio::time::sleep_until(due).await;
            wait_until_whole(handle, from, to).await;
            handle.count(from, to, chunk.len());
            if target.write_all(&chunk).await.is_err() {
                return;
            }
        }
        // The end of the stream passes the link like its bytes do.
        wait_until_whole(handle, from, to).await;
        if let Err(error) = target.shutdown().await {
            log::debug!("relay: connection was already closed: {error}");
        }
    };
    tokio::join!(read, write);
}

async fn wait_until_whole(handle: &RelayHandle, from: &str, to: &str) {
    while handle.is_cut(from, to) {
        tokio::time::sleep(CUT_INTERVAL).await;
    }
}
