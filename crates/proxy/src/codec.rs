//! Frames of the PostgreSQL protocol over a byte stream, decoded by the codecs of pgwire.

use std::future::poll_fn;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Buf as _, BytesMut};
use pgwire::error::PgWireError;
use pgwire::messages::{
    DecodeContext, Message, PgWireBackendMessage, PgWireFrontendMessage, ProtocolVersion,
};
use tokio::io::{AsyncRead, AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _};
use tokio::time::timeout;
use tokio_util::io::{poll_read_buf, poll_write_buf};

/// Bytes of a frame before its body: the type and the length.
const HEADER_BYTES: usize = 5;
/// Least value of a length field, which counts itself.
const MIN_LENGTH: usize = 4;
/// Longest start-up packet, as in PostgreSQL.
const MAX_STARTUP_BYTES: usize = 10_000;
/// Shortest start-up packet: a length and a code.
const MIN_STARTUP_BYTES: usize = 8;
/// Bytes for which room is made before a read.
const READ_BYTES: usize = 8 * 1024;

/// Why a message could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum CodecError {
    /// The stream failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// The stream ended between two frames.
    #[error("the connection was closed")]
    Closed,
    /// The stream ended within a frame.
    #[error("the connection was closed within a message")]
    Truncated,
    /// A frame is longer than allowed.
    #[error("a message of {length} bytes is longer than the limit of {limit}")]
    TooLarge {
        /// Its length in bytes.
        length: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// A frame is not a message of the protocol.
    #[error("a message is malformed: {0}")]
    Malformed(String),
}

/// One message as bytes; messages that are only forwarded are not decoded.
#[derive(Clone, Debug)]
pub struct Frame {
    bytes: BytesMut,
}

/// A byte stream that is read and written in frames.
///
/// ```
/// use pgwire::messages::simplequery::Query;
/// use tanagerdeal::codec::FrameStream;
///
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// let (one, other) = tokio::io::duplex(1024);
/// let (mut client, mut server) = (FrameStream::new(one, 1024), FrameStream::new(other, 1024));
/// client.push(&Query::new("SELECT 1".to_owned()));
/// client.flush().await.unwrap();
/// assert_eq!(server.read().await.unwrap().tag(), b'Q');
/// # });
/// ```
pub struct FrameStream<S> {
    io: S,
    input: BytesMut,
    output: BytesMut,
    limit: usize,
}

impl Frame {
    /// Encodes a message.
    ///
    /// ```
    /// use pgwire::messages::simplequery::Query;
    /// use tanagerdeal::codec::Frame;
    ///
    /// let frame = Frame::encode(&Query::new("SELECT 1".to_owned()));
    /// assert_eq!(frame.tag(), b'Q');
    /// ```
    pub fn encode(message: &impl Message) -> Self {
        let mut bytes = BytesMut::new();
        put(&mut bytes, message);
        Self { bytes }
    }

    /// Type byte.
    pub fn tag(&self) -> u8 {
        self.bytes.first().copied().unwrap_or_default()
    }

    /// Length in bytes, with type and length field.
    pub(crate) fn size(&self) -> usize {
        self.bytes.len()
    }

    /// The encoded message.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Decodes a message of a client.
    ///
    /// # Errors
    ///
    /// Fails when the frame is not a message of the protocol.
    pub fn frontend(self) -> Result<PgWireFrontendMessage, CodecError> {
        let context = settled_context();
        decode_whole(self.bytes, |bytes| PgWireFrontendMessage::decode(bytes, &context))
    }

    /// Decodes a message of an endpoint.
    ///
    /// # Errors
    ///
    /// Fails when the frame is not a message of the protocol.
    pub fn backend(self) -> Result<PgWireBackendMessage, CodecError> {
        let context = settled_context();
        decode_whole(self.bytes, |bytes| PgWireBackendMessage::decode(bytes, &context))
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> FrameStream<S> {
    /// Wraps a stream; a frame longer than `limit` bytes is an error.
    pub fn new(io: S, limit: usize) -> Self {
        Self { io, input: BytesMut::new(), output: BytesMut::new(), limit }
    }

    /// Sets the length in bytes above which a frame is an error.
    pub(crate) fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// The stream.
    pub(crate) fn io(&self) -> &S {
        &self.io
    }

    /// The stream and whether bytes were read that belong to no frame taken so far.
    pub(crate) fn into_io(self) -> (S, bool) {
        let has_rest = !self.input.is_empty();
        (self.io, has_rest)
    }

    /// Whether bytes were read that belong to no frame taken so far.
    pub(crate) fn has_input(&self) -> bool {
        !self.input.is_empty()
    }

    /// Reads a frame. A future that is dropped early loses no bytes.
    ///
    /// # Errors
    ///
    /// Fails when the stream ends or fails, or a length field is invalid.
    pub async fn read(&mut self) -> Result<Frame, CodecError> {
        loop {
            if let Some(frame) = self.take_frame()? {
                return Ok(frame);
            }
            self.receive().await?;
        }
    }

    /// Reads a start-up packet, which has no type byte.
    ///
    /// # Errors
    ///
    /// Fails when the stream ends or fails, or the packet is invalid.
    pub async fn read_startup(&mut self) -> Result<PgWireFrontendMessage, CodecError> {
        loop {
            if let Some(packet) = self.take_startup()? {
                return decode_startup(packet);
            }
            self.receive().await?;
        }
    }

    /// Reads bytes without taking a frame, and ends only when the stream ends or fails. Stops
    /// reading when a frame of the greatest length would fit. A stream that ended after further
    /// bytes does not count as ended, because a client may send its last messages and close.
    pub(crate) async fn watch(&mut self) -> CodecError {
        loop {
            if self.input.len() >= self.limit {
                std::future::pending::<()>().await;
            }
            match self.receive().await {
                Ok(()) => {}
                Err(CodecError::Truncated) => std::future::pending().await,
                Err(error) => return error,
            }
        }
    }

    /// Adds a message to the output.
    pub fn push(&mut self, message: &impl Message) {
        put(&mut self.output, message);
    }

    /// Adds a frame to the output.
    pub(crate) fn push_frame(&mut self, frame: &Frame) {
        self.output.extend_from_slice(&frame.bytes);
    }

    /// Adds encoded messages to the output.
    pub(crate) fn push_bytes(&mut self, bytes: &[u8]) {
        self.output.extend_from_slice(bytes);
    }

    /// Bytes of output that have not been written yet.
    pub(crate) fn unsent(&self) -> usize {
        self.output.len()
    }

    /// Writes the output.
    ///
    /// # Errors
    ///
    /// Fails when the stream fails.
    pub async fn flush(&mut self) -> Result<(), CodecError> {
        self.io.write_all_buf(&mut self.output).await?;
        self.io.flush().await?;
        Ok(())
    }

    /// Writes the output, and keeps what arrives in the meantime for later reads. An endpoint that
    /// replies to a long batch before it has read all of it would otherwise wait for the proxy, and
    /// the proxy for the endpoint.
    ///
    /// # Errors
    ///
    /// Fails when the stream ends or fails.
    pub(crate) async fn flush_while_receiving(&mut self) -> Result<(), CodecError> {
        while !self.output.is_empty() {
            poll_fn(|context| self.poll_transfer(context)).await?;
        }
        Ok(self.io.flush().await?)
    }

    /// Writes some output or, while that is not possible, reads some input.
    fn poll_transfer(&mut self, context: &mut Context<'_>) -> Poll<Result<(), CodecError>> {
        let io = Pin::new(&mut self.io);
        if let Poll::Ready(written) = poll_write_buf(io, context, &mut self.output) {
            return Poll::Ready(written.map(drop).map_err(CodecError::Io));
        }
        if self.input.len() >= self.limit {
            return Poll::Pending;
        }
        self.input.reserve(READ_BYTES);
        match ready!(poll_read_buf(Pin::new(&mut self.io), context, &mut self.input))? {
            0 => Poll::Ready(Err(CodecError::Closed)),
            _ => Poll::Ready(Ok(())),
        }
    }

    /// Writes the output and ends the stream in this direction, then reads what the other side still
    /// sends for up to `wait`. Closing with unread bytes would make the other side's system drop
    /// output that has not been read yet.
    pub(crate) async fn close(&mut self, wait: Duration) {
        let closing = async {
            self.flush().await?;
            self.io.shutdown().await?;
            loop {
                self.input.clear();
                self.receive().await?;
            }
        };
        let _: Result<Result<(), CodecError>, _> = timeout(wait, closing).await;
    }

    async fn receive(&mut self) -> Result<(), CodecError> {
        self.input.reserve(READ_BYTES);
        match self.io.read_buf(&mut self.input).await? {
            0 if self.input.is_empty() => Err(CodecError::Closed),
            0 => Err(CodecError::Truncated),
            _ => Ok(()),
        }
    }

    fn take_frame(&mut self) -> Result<Option<Frame>, CodecError> {
        if self.input.len() < HEADER_BYTES {
            return Ok(None);
        }
        let length = (&self.input[1..HEADER_BYTES]).get_u32() as usize;
        match length {
            ..MIN_LENGTH => Err(CodecError::Malformed(format!("length {length}"))),
            _ if length > self.limit => Err(CodecError::TooLarge { length, limit: self.limit }),
            _ if self.input.len() <= length => Ok(None),
            _ => Ok(Some(Frame { bytes: self.input.split_to(length + 1) })),
        }
    }

    fn take_startup(&mut self) -> Result<Option<BytesMut>, CodecError> {
        if self.input.len() < MIN_LENGTH {
            return Ok(None);
        }
        let length = (&self.input[..MIN_LENGTH]).get_u32() as usize;
        match length {
            ..MIN_STARTUP_BYTES => Err(CodecError::Malformed(format!("length {length}"))),
            _ if length > MAX_STARTUP_BYTES => {
                Err(CodecError::TooLarge { length, limit: MAX_STARTUP_BYTES })
            }
            _ if self.input.len() < length => Ok(None),
            _ => Ok(Some(self.input.split_to(length))),
        }
    }
}

/// Appends an encoded message.
///
/// pgwire limits some outgoing messages to sizes that the proxy's own messages stay below, so a
/// failure leaves nothing behind but a shorter output, which the receiver notices.
pub(crate) fn put(output: &mut BytesMut, message: &impl Message) {
    let start = output.len();
    if let Err(error) = message.encode(output) {
        log::error!("caller: a message could not be encoded: {error}");
        output.truncate(start);
    }
}

fn settled_context() -> DecodeContext {
    let mut context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    context.awaiting_frontend_ssl = false;
    context.awaiting_frontend_startup = false;
    context
}

/// Decodes a start-up packet: first as a request for encryption, then as start-up or cancel.
fn decode_startup(packet: BytesMut) -> Result<PgWireFrontendMessage, CodecError> {
    let mut context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    let is_request = pgwire::messages::startup::SslRequest::is_ssl_request_packet(&packet)
        || pgwire::messages::startup::GssEncRequest::is_gss_enc_request_packet(&packet);
    context.awaiting_frontend_ssl = is_request;
    decode_whole(packet, |bytes| PgWireFrontendMessage::decode(bytes, &context))
}

/// Decodes a frame that has been cut out of the stream, so that a wrong length inside it cannot
/// reach the next one.
///
/// pgwire's decoders take integers from a body without checking its length, which panics; that is
/// turned into an error here.
fn decode_whole<M>(
    mut bytes: BytesMut,
    decode: impl FnOnce(&mut BytesMut) -> Result<Option<M>, PgWireError>,
) -> Result<M, CodecError> {
    match catch_unwind(AssertUnwindSafe(|| decode(&mut bytes))) {
        Ok(Ok(Some(message))) => Ok(message),
        Ok(Ok(None)) => Err(CodecError::Malformed("the body is incomplete".to_owned())),
        Ok(Err(error)) => Err(CodecError::Malformed(error.to_string())),
        Err(_) => Err(CodecError::Malformed("the body is too short".to_owned())),
    }
}
