//! Relay of datagrams.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::UdpSocket;

use super::{RelayHandle, RelayPort};

/// Longest datagram that UDP carries, in bytes.
const MAX_DATAGRAM: usize = 65_535;

/// Relays datagrams; each caller has its own socket towards the target, which answers there.
pub(super) async fn relay_datagrams(handle: RelayHandle, socket: UdpSocket, port: RelayPort) {
    let socket = Arc::new(socket);
    let mut callers: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        let Ok((length, source)) = socket.recv_from(&mut buffer).await else { continue };
        let domain = handle.domain_of(source.ip(), &port);
        let upstream = match callers.get(&source) {
            Some(upstream) => upstream.clone(),
            None => match open_upstream(&handle, &socket, source, &domain, &port).await {
                Ok(upstream) => callers.entry(source).or_insert(upstream).clone(),
                Err(error) => {
                    log::warn!("relay: no socket towards {}: {error}", port.target);
                    continue;
                }
            },
        };
        let datagram = buffer[..length].to_vec();
        pass_on(&handle, upstream, None, datagram, [&domain, &port.domain]);
    }
}

async fn open_upstream(
    handle: &RelayHandle,
    socket: &Arc<UdpSocket>,
    source: SocketAddr,
    domain: &str,
    port: &RelayPort,
) -> io::Result<Arc<UdpSocket>> {
    let upstream = Arc::new(UdpSocket::bind(SocketAddr::new(port.listen.ip(), 0)).await?);
    upstream.connect(port.target).await?;
    let (handle, socket, answers) = (handle.clone(), socket.clone(), upstream.clone());
    let (from, to) = (port.domain.clone(), domain.to_owned());
    tokio::spawn(async move {
        let mut buffer = vec![0; MAX_DATAGRAM];
        loop {
            // An error here reports that an earlier datagram met a closed port; the socket stays usable.
            let Ok(length) = answers.recv(&mut buffer).await else { continue };
            let datagram = buffer[..length].to_vec();
            pass_on(&handle, socket.clone(), Some(source), datagram, [&from, &to]);
        }
    });
    Ok(upstream)
}

/// Sends a datagram after the link's delay, or loses it.
fn pass_on(
    handle: &RelayHandle,
    socket: Arc<UdpSocket>,
    target: Option<SocketAddr>,
    datagram: Vec<u8>,
    [from, to]: [&str; 2],
) {
    let transit = handle.transit(from, to);
    if transit.lost {
        return;
    }
    handle.count(from, to, datagram.len());
    tokio::spawn(async move {
        tokio::time::sleep(transit.delay).await;
        let sent = match target {
            Some(target) => socket.send_to(&datagram, target).await,
            None => socket.send(&datagram).await,
        };
        if let Err(error) = sent {
            log::debug!("relay: datagram lost: {error}");
        }
    });
}
