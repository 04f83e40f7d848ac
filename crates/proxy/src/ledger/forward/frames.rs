//! Authenticated frames on a connection between two hosts.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::stream::{SplitSink, SplitStream};
use futures::{SinkExt as _, StreamExt as _};
use rustix::net::sockopt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use super::message::{Greeting, Introduction, PROTOCOL_VERSION};
use crate::ledger::connection::limit_unacknowledged;
use crate::ledger::peers::{authentication_code, decode, encode};

/// Longest frame: a statement or a reply of 1 MiB, and what goes with it.
const MAX_FRAME_BYTES: usize = 2 * 1_024 * 1_024;
/// Idle time of a connection after which the kernel probes it, and the interval of the probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which the connection is closed.
const MAX_LOST_KEEPALIVES: u32 = 2;
/// Time-out for opening a connection and for the two messages that begin it. Hosts of one region
/// are some milliseconds apart.
const OPEN_TIMEOUT: Duration = Duration::from_millis(200);

/// Reason why a connection between hosts cannot be used.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub(super) enum LinkError {
    /// It could not be opened, or was closed.
    #[error("{0}")]
    Closed(String),
    /// It was not open in time.
    #[error("no connection to the host within {} ms", OPEN_TIMEOUT.as_millis())]
    TimedOut,
    /// A message is not authentic, is out of order, or cannot be decoded.
    #[error("invalid message of {0} bytes")]
    Invalid(usize),
    /// The other host speaks another version of the protocol.
    #[error("protocol version {found} in place of {PROTOCOL_VERSION}")]
    Version {
        /// Version of the other host.
        found: u32,
    },
}

/// Sending half of a connection. Frames are numbered, so that none can be replayed or left out.
pub(super) struct FrameSink {
    frames: SplitSink<Framed<TcpStream, LengthDelimitedCodec>, Bytes>,
    key: Vec<u8>,
    sequence: u64,
}

/// Receiving half of a connection.
pub(super) struct FrameStream {
    frames: SplitStream<Framed<TcpStream, LengthDelimitedCodec>>,
    key: Vec<u8>,
    sequence: u64,
}

/// Directions of a connection; each has a key of its own.
#[derive(Clone, Copy, Eq, PartialEq)]
enum LinkRole {
    Requesting,
    Serving,
}

fn closed(error: std::io::Error) -> LinkError {
    LinkError::Closed(error.to_string())
}

impl FrameSink {
    /// Adds a message to those that the next flush sends.
    async fn feed(&mut self, message: &impl Serialize) -> Result<(), LinkError> {
        let frame = encode(&self.key, &(self.sequence, message)).ok_or(LinkError::Invalid(0))?;
        self.sequence += 1;
        self.frames.feed(Bytes::from(frame)).await.map_err(closed)
    }

    /// Sends all messages.
    async fn flush(&mut self) -> Result<(), LinkError> {
        self.frames.flush().await.map_err(closed)
    }
}

/// Sends queued messages, several in one write where they have queued up, until the queue or the
/// connection is closed.
pub(super) async fn send_queued<T: Serialize>(
    mut sink: FrameSink,
    mut queue: mpsc::UnboundedReceiver<T>,
) -> LinkError {
    while let Some(message) = queue.recv().await {
        let mut sent = sink.feed(&message).await;
        while let (Ok(()), Ok(message)) = (&sent, queue.try_recv()) {
            sent = sink.feed(&message).await;
        }
        let flushed = match sent {
            Ok(()) => sink.flush().await,
            error => error,
        };
        if let Err(error) = flushed {
            return error;
        }
    }
    LinkError::Closed("no longer used".to_owned())
}

impl FrameStream {
    /// The next message.
    pub(super) async fn next<T: DeserializeOwned>(&mut self) -> Result<T, LinkError> {
        let frame = next_frame(&mut self.frames).await?;
        let expected = self.sequence;
        self.sequence += 1;
        match decode::<(u64, T)>(&self.key, &frame) {
            Some((sequence, message)) if sequence == expected => Ok(message),
            _ => Err(LinkError::Invalid(frame.len())),
        }
    }
}

async fn next_frame(
    frames: &mut (impl futures::Stream<Item = std::io::Result<bytes::BytesMut>> + Unpin),
) -> Result<bytes::BytesMut, LinkError> {
    let frame = frames.next().await;
    frame.ok_or_else(|| LinkError::Closed("closed by the other host".to_owned()))?.map_err(closed)
}

/// Opens a connection to a host.
pub(super) async fn open(
    address: SocketAddr,
    secret: &[u8],
    host: &str,
) -> Result<(FrameSink, FrameStream), LinkError> {
    let opened = async {
        let stream = TcpStream::connect(address).await.map_err(closed)?;
        let mut frames = framed(stream)?;
        let frame = next_frame(&mut frames).await?;
        let greeting: Greeting = decode(secret, &frame).ok_or(LinkError::Invalid(frame.len()))?;
        check_version(greeting.version)?;
        let introduction = Introduction {
            version: PROTOCOL_VERSION,
            host: host.to_owned(),
            nonce: rand::random(),
            greeting: greeting.nonce,
        };
        send(&mut frames, secret, &introduction).await?;
        Ok(split(frames, secret, &greeting, &introduction, LinkRole::Requesting))
    };
    timeout(OPEN_TIMEOUT, opened).await.unwrap_or(Err(LinkError::TimedOut))
}

/// Accepts a connection. Returns its halves and the name of the other host.
pub(super) async fn accept(
    stream: TcpStream,
    secret: &[u8],
) -> Result<(FrameSink, FrameStream, String), LinkError> {
    let accepted = async {
        let mut frames = framed(stream)?;
        let greeting = Greeting { version: PROTOCOL_VERSION, nonce: rand::random() };
        send(&mut frames, secret, &greeting).await?;
        let frame = next_frame(&mut frames).await?;
        let introduction: Introduction =
            decode(secret, &frame).ok_or(LinkError::Invalid(frame.len()))?;
        check_version(introduction.version)?;
        if introduction.greeting != greeting.nonce {
            return Err(LinkError::Invalid(frame.len()));
        }
        let (sink, stream) = split(frames, secret, &greeting, &introduction, LinkRole::Serving);
        Ok((sink, stream, introduction.host))
    };
    timeout(OPEN_TIMEOUT, accepted).await.unwrap_or(Err(LinkError::TimedOut))
}

fn framed(stream: TcpStream) -> Result<Framed<TcpStream, LengthDelimitedCodec>, LinkError> {
    stream.set_nodelay(true).map_err(closed)?;
    limit_unacknowledged(&stream).map_err(closed)?;
    set_keepalive(&stream).map_err(closed)?;
    let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
    Ok(Framed::new(stream, codec))
}

/// Has the kernel close a connection whose peer is gone, also while nothing is sent. A transaction
/// of a host that is cut off holds a connection of the endpoint until then.
fn set_keepalive(stream: &TcpStream) -> std::io::Result<()> {
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepintvl(stream, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepcnt(stream, MAX_LOST_KEEPALIVES)?;
    Ok(())
}

fn check_version(found: u32) -> Result<(), LinkError> {
    match found {
        PROTOCOL_VERSION => Ok(()),
        found => Err(LinkError::Version { found }),
    }
}

async fn send(
    frames: &mut Framed<TcpStream, LengthDelimitedCodec>,
    secret: &[u8],
    message: &impl Serialize,
) -> Result<(), LinkError> {
    let frame = encode(secret, message).ok_or(LinkError::Invalid(0))?;
    frames.send(Bytes::from(frame)).await.map_err(closed)
}

fn split(
    frames: Framed<TcpStream, LengthDelimitedCodec>,
    secret: &[u8],
    greeting: &Greeting,
    introduction: &Introduction,
    role: LinkRole,
) -> (FrameSink, FrameStream) {
    let key = |direction: LinkRole| {
        let numbers = [greeting.nonce, introduction.nonce].concat();
        authentication_code(secret, &[numbers, vec![direction as u8]].concat())
    };
    let (sending, receiving) = match role {
        LinkRole::Requesting => (LinkRole::Requesting, LinkRole::Serving),
        LinkRole::Serving => (LinkRole::Serving, LinkRole::Requesting),
    };
    let (sink, stream) = frames.split();
    (
        FrameSink { frames: sink, key: key(sending), sequence: 0 },
        FrameStream { frames: stream, key: key(receiving), sequence: 0 },
    )
}
