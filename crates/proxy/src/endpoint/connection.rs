//! One connection to an endpoint.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use pgwire::messages::cancel::CancelRequest;
use pgwire::messages::response::{ErrorResponse, TransactionStatus};
use pgwire::messages::simplequery::Query;
use pgwire::messages::startup::SecretKey;
use pgwire::messages::{Message, PgWireBackendMessage};
use tanagerdeal_wire::member::{LogPosition, POSITION_PARAMETER};
use tokio::io::AsyncReadExt as _;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

use super::login::log_in;
use super::{EndpointLogin, PreparedTable};
use crate::codec::{CodecError, Frame, FrameStream};

/// Longest wait for an endpoint to take a cancel request.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a connection could not be opened or used.
#[derive(Debug, thiserror::Error)]
pub enum ConnectionError {
    /// A message could not be read or written.
    #[error("{0}")]
    Codec(#[from] CodecError),
    /// The endpoint refused the connection.
    #[error("the endpoint refused the connection: {0}")]
    Refused(String),
    /// The endpoint sent a message that does not belong here.
    #[error("the endpoint sent {0}")]
    Unexpected(&'static str),
    /// The connection was not open in time.
    #[error("the connection was not open in time")]
    TimedOut,
}

/// Where a cancel request for a running statement goes.
#[derive(Clone)]
pub struct CancelTarget {
    address: String,
    source: Option<IpAddr>,
    pid: i32,
    secret: SecretKey,
}

/// Reply to a statement of the proxy itself.
#[derive(Debug, Default)]
pub struct HiddenReply {
    /// The error, if there was one.
    pub error: Option<ErrorResponse>,
    /// First column of the first row, if there was one.
    pub value: Option<String>,
    /// Last position reported.
    pub position: Option<LogPosition>,
    /// Whether a transaction is open after it.
    pub in_transaction: bool,
}

/// A connection that is logged in with the service credentials.
pub struct EndpointConnection {
    stream: FrameStream<TcpStream>,
    cancel: CancelTarget,
    /// Statements that it holds.
    pub(crate) prepared: PreparedTable,
    /// Session settings in effect on it, in the order in which they were made.
    pub(crate) settings: Vec<String>,
}

impl EndpointConnection {
    /// Connects and logs in.
    ///
    /// # Errors
    ///
    /// Fails when the endpoint cannot be reached, refuses, or takes longer than `wait`.
    pub(crate) async fn open(
        address: &str,
        login: &EndpointLogin,
        limit: usize,
        wait: Duration,
    ) -> Result<Self, ConnectionError> {
        let opening = async {
            let socket = dial(address, login.source).await.map_err(CodecError::Io)?;
            socket.set_nodelay(true).map_err(CodecError::Io)?;
            let mut stream = FrameStream::new(socket, limit);
            let (pid, secret) = log_in(&mut stream, login).await?;
            let (address, source) = (address.to_owned(), login.source);
            let cancel = CancelTarget { address, source, pid, secret };
            let prepared = PreparedTable::default();
            Ok(Self { stream, cancel, prepared, settings: Vec::new() })
        };
        timeout(wait, opening).await.map_err(|_| ConnectionError::TimedOut)?
    }

    /// Address of the endpoint.
    pub(crate) fn address(&self) -> &str {
        &self.cancel.address
    }

    /// Where a cancel request for this connection goes.
    pub(crate) fn cancel_target(&self) -> CancelTarget {
        self.cancel.clone()
    }

    /// Whether nothing has arrived since the last reply, not even the end of the stream. Bytes
    /// between two requests belong to no request, so such a connection must not be used.
    pub(crate) fn is_quiet(&self) -> bool {
        let mut byte = [0; 1];
        let read = self.stream.io().try_read(&mut byte);
        let is_empty = matches!(read, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock);
        is_empty && !self.stream.has_input()
    }

    /// Adds a message to the output.
    pub(crate) fn push(&mut self, message: &impl Message) {
        self.stream.push(message);
    }

    /// Adds encoded messages to the output.
    pub(crate) fn push_bytes(&mut self, bytes: &[u8]) {
        self.stream.push_bytes(bytes);
    }

    /// Writes the output.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails.
    pub(crate) async fn flush(&mut self) -> Result<(), ConnectionError> {
        Ok(self.stream.flush_while_receiving().await?)
    }

    /// Reads the next message. A future that is dropped early loses no bytes.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails or the message is invalid.
    pub(crate) async fn read(&mut self) -> Result<Frame, ConnectionError> {
        Ok(self.stream.read().await?)
    }

    /// Runs a statement of the proxy itself, outside of any request.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails; an error of the endpoint is part of the reply.
    pub async fn run(&mut self, sql: &str) -> Result<HiddenReply, ConnectionError> {
        self.push(&Query::new(sql.to_owned()));
        self.flush().await?;
        self.read_hidden().await
    }

    /// Reads messages up to and including ReadyForQuery.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails.
    pub(crate) async fn read_hidden(&mut self) -> Result<HiddenReply, ConnectionError> {
        let mut reply = HiddenReply::default();
        loop {
            match self.read().await?.backend()? {
                PgWireBackendMessage::ErrorResponse(error) => {
                    reply.error.get_or_insert(error);
                }
                PgWireBackendMessage::ParameterStatus(status)
                    if status.name == POSITION_PARAMETER =>
                {
                    reply.position = status.value.parse().ok();
                }
                PgWireBackendMessage::DataRow(row) if reply.value.is_none() => {
                    reply.value = Some(first_column(&row.data));
                }
                PgWireBackendMessage::ReadyForQuery(ready) => {
                    reply.in_transaction = ready.status != TransactionStatus::Idle;
                    return Ok(reply);
                }
                _ => {}
            }
        }
    }
}

impl CancelTarget {
    /// Asks the endpoint to cancel the running statement, and waits until the endpoint has closed
    /// the connection that carried the request.
    ///
    /// # Errors
    ///
    /// Fails when the endpoint cannot be reached or does not close the connection in time.
    pub(crate) async fn send(&self) -> Result<(), ConnectionError> {
        let sending = async {
            let socket = dial(&self.address, self.source).await.map_err(CodecError::Io)?;
            let mut stream = FrameStream::new(socket, 0);
            stream.push(&CancelRequest::new(self.pid, self.secret.clone()));
            stream.flush().await?;
            let (mut socket, _) = stream.into_io();
            let mut rest = Vec::new();
            socket.read_to_end(&mut rest).await.map_err(CodecError::Io)?;
            Ok(())
        };
        timeout(CANCEL_TIMEOUT, sending).await.map_err(|_| ConnectionError::TimedOut)?
    }
}

/// Text of an error of the endpoint.
pub(crate) fn message_of(error: &ErrorResponse) -> String {
    field_of(error, b'M').unwrap_or("no message").to_owned()
}

/// A field of an error by its code.
pub(crate) fn field_of(error: &ErrorResponse, code: u8) -> Option<&str> {
    error.fields.iter().find(|(field, _)| *field == code).map(|(_, value)| value.as_str())
}

/// First column of a row as text; empty when it is null.
fn first_column(data: &[u8]) -> String {
    let length = data.get(..4).and_then(|bytes| bytes.try_into().ok()).map(i32::from_be_bytes);
    let end = usize::try_from(length.unwrap_or(-1)).map_or(4, |length| 4 + length);
    String::from_utf8_lossy(data.get(4..end).unwrap_or_default()).into_owned()
}

/// Connects to an endpoint, from a given address of this host where it has several.
async fn dial(address: &str, source: Option<IpAddr>) -> io::Result<TcpStream> {
    let Some(source) = source else { return TcpStream::connect(address).await };
    let target: SocketAddr = address.parse().map_err(io::Error::other)?;
    let socket = match target {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(target).await
}
