//! Relay of byte streams.

use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::{RelayHandle, RelayPort};

/// Chunks under way in one direction; more make the sender wait.
const CHUNKS_UNDER_WAY: usize = 256;

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
    wait_until_whole(&handle, &domain, &port.domain).await;
    tokio::time::sleep(handle.transit(&domain, &port.domain).stream_delay()).await;
    let Ok(far) = TcpStream::connect(port.target).await else { return };
    for stream in [&near, &far] {
        if let Err(error) = stream.set_nodelay(true) {
            log::warn!("relay: connection without TCP_NODELAY: {error}");
        }
    }
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let (there, back) = ([domain.clone(), port.domain.clone()], [port.domain, domain]);
    tokio::join!(
        forward(&handle, near_read, far_write, &there),
        forward(&handle, far_read, near_write, &back),
    );
}

/// Forwards one direction, each chunk after its delay and none while the link is cut.
async fn forward(
    handle: &RelayHandle,
    mut source: OwnedReadHalf,
    mut target: OwnedWriteHalf,
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
