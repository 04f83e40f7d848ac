//! A single connection to an endpoint.

use std::net::SocketAddr;
use std::time::Duration;

use futures::StreamExt as _;
use tanagerdeal_adapter::framing::LineCodec;
use tanagerdeal_adapter::line::{self, MAX_MESSAGE_BYTES};
use tanagerdeal_adapter::reply::{ReplyLine, decode_reply};
use tanagerdeal_core::ledger::clock::BootInstant;
use tanagerdeal_core::ledger::endpoint::LogPosition;
use tanagerdeal_core::ledger::session::{ConnectionSetup, PreparedShape, SessionSetup};
use tanagerdeal_core::ledger::statement::{FailureReason, SessionState};
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::timeout;
use tokio_util::codec::FramedRead;

use super::context::boot_now;

/// Time after which the kernel closes a connection whose data is not acknowledged. It is shorter
/// than the time after which an endpoint drops an unresponsive connection (3 s).
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Reason why an exchange has no usable reply.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub(super) enum ConnectionError {
    /// The connection could not be opened, or not in time.
    #[error("no connection: {0}")]
    Connect(String),
    /// The endpoint refused the connection or a request.
    #[error("connection refused: {0:?}")]
    Refused(FailureReason),
    /// The connection was lost, or the endpoint sent an invalid reply.
    #[error("connection lost: {0}")]
    Lost(String),
    /// No complete reply arrived before the deadline.
    #[error("no reply in time")]
    TimedOut,
    /// The statement was aborted because of a failover.
    #[error("the primary is being changed")]
    Revoked,
}

/// An endpoint's reply to one statement.
#[derive(Clone, Debug)]
pub(super) struct EndpointReply {
    /// Lines of the reply except the last (`READY`), as the endpoint sent them.
    pub(super) text: String,
    /// Content of the first row, without the `DATAROW` keyword.
    pub(super) first_row: Option<String>,
    /// Failure code; `None` if the statement succeeded.
    pub(super) failure: Option<FailureReason>,
    /// State of the endpoint's session after the statement.
    pub(super) state: SessionState,
    /// Position up to which the endpoint has applied its log, if reported.
    pub(super) position: Option<LogPosition>,
    /// Instant just before the statement was sent.
    pub(super) sent_at: BootInstant,
}

/// Endpoint to connect to, and the customer on whose behalf.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConnectionTarget<'a> {
    pub(super) address: SocketAddr,
    pub(super) group: &'a str,
    pub(super) id: &'a str,
    pub(super) customer: &'a str,
}

/// An open connection to an endpoint, with the session values and prepared statements set on it.
pub(super) struct EndpointConnection {
    reader: FramedRead<OwnedReadHalf, LineCodec>,
    writer: OwnedWriteHalf,
    pub(super) customer: String,
    pub(super) setup: ConnectionSetup,
    pub(super) idle_since: BootInstant,
}

impl EndpointConnection {
    /// Opens a connection and performs the start-up exchange.
    ///
    /// # Errors
    ///
    /// Fails when the endpoint cannot be reached within `limit` or refuses the connection.
    pub(super) async fn open(
        target: ConnectionTarget<'_>,
        limit: Duration,
    ) -> Result<Self, ConnectionError> {
        let opened = timeout(limit, Self::connect(target)).await;
        opened.unwrap_or_else(|_| Err(ConnectionError::Connect("no reply in time".to_owned())))
    }

    async fn connect(target: ConnectionTarget<'_>) -> Result<Self, ConnectionError> {
        let failed = |error: std::io::Error| ConnectionError::Connect(error.to_string());
        let stream = TcpStream::connect(target.address).await.map_err(failed)?;
        stream.set_nodelay(true).map_err(failed)?;
        limit_unacknowledged(&stream).map_err(failed)?;
        let (reader, writer) = stream.into_split();
        let mut connection = Self {
            reader: FramedRead::new(reader, LineCodec::new(MAX_MESSAGE_BYTES)),
            writer,
            customer: target.customer.to_owned(),
            setup: ConnectionSetup::default(),
            idle_since: boot_now(),
        };
        let startup = line::startup(target.group, target.customer, target.id);
        connection.writer.write_all(startup.as_bytes()).await.map_err(failed)?;
        let line = connection.next_line().await?;
        match decode_reply(&line) {
            Ok(ReplyLine::Ready { .. }) => Ok(connection),
            Ok(ReplyLine::Failed(reason, _)) => Err(ConnectionError::Refused(reason)),
            _ => Err(ConnectionError::Lost(format!("unexpected reply {line:?}"))),
        }
    }

    async fn next_line(&mut self) -> Result<String, ConnectionError> {
        match self.reader.next().await {
            Some(Ok(line)) => Ok(line),
            Some(Err(error)) => Err(ConnectionError::Lost(error.to_string())),
            None => Err(ConnectionError::Lost("closed by the endpoint".to_owned())),
        }
    }

    /// Sends a statement and reads its reply. After an error the connection must not be used again.
    ///
    /// # Errors
    ///
    /// Fails when the connection is lost or no complete reply arrives before `deadline`.
    pub(super) async fn exchange(
        &mut self,
        text: &str,
        deadline: BootInstant,
    ) -> Result<EndpointReply, ConnectionError> {
        let exchange = async {
            let sent_at = self.send(text).await?;
            self.read_reply(sent_at).await
        };
        with_deadline(deadline, exchange).await
    }

    /// Sends a message and returns the instant just before it was sent.
    async fn send(&mut self, text: &str) -> Result<BootInstant, ConnectionError> {
        let sent_at = boot_now();
        let sent = self.writer.write_all(text.as_bytes()).await;
        sent.map_err(|error| ConnectionError::Lost(error.to_string()))?;
        Ok(sent_at)
    }

    /// Reads a reply: rows, then success or failure, then the state of the session.
    async fn read_reply(&mut self, sent_at: BootInstant) -> Result<EndpointReply, ConnectionError> {
        let (mut text, mut first_row) = (String::new(), None);
        let mut verdict: Option<Option<FailureReason>> = None;
        loop {
            let line = self.next_line().await?;
            let decoded = decode_reply(&line);
            match (decoded.map_err(|error| ConnectionError::Lost(error.to_string()))?, verdict) {
                (ReplyLine::Ready { state, position }, Some(failure)) => {
                    return Ok(EndpointReply {
                        text,
                        first_row,
                        failure,
                        state,
                        position,
                        sent_at,
                    });
                }
                (ReplyLine::Row(row), None) => {
                    first_row.get_or_insert_with(|| row.to_owned());
                }
                (ReplyLine::Completed, None) => verdict = Some(None),
                (ReplyLine::Failed(reason, _), None) => verdict = Some(Some(reason)),
                _ => return Err(ConnectionError::Lost(format!("{line:?} is out of order"))),
            }
            text.push_str(&line);
            text.push_str("\r\n");
        }
    }

    /// Applies a session's values and, if given, the prepared statement that is needed next, and
    /// then sends `trailing` in the same batch. Returns the reply to `trailing`. The next statement
    /// may be sent only after the whole batch has succeeded.
    ///
    /// # Errors
    ///
    /// Fails as [`EndpointConnection::exchange`] does, or with the failure code of a refused step.
    pub(super) async fn apply_session(
        &mut self,
        session: &SessionSetup,
        prepared: Option<&PreparedShape>,
        trailing: Option<&str>,
        deadline: BootInstant,
    ) -> Result<Option<EndpointReply>, ConnectionError> {
        let steps = self.setup.steps(session, prepared);
        if steps.is_empty() && trailing.is_none() {
            return Ok(None);
        }
        let mut batch: String = steps.iter().map(line::setup).collect();
        batch.push_str(trailing.unwrap_or_default());
        let exchange = async {
            let sent_at = self.send(&batch).await?;
            for step in &steps {
                let reply = self.read_reply(sent_at).await?;
                match reply.failure {
                    None => self.setup.note(step),
                    Some(reason) => return Err(ConnectionError::Refused(reason)),
                }
            }
            match trailing {
                Some(_) => self.read_reply(sent_at).await.map(Some),
                None => Ok(None),
            }
        };
        with_deadline(deadline, exchange).await
    }

    /// Whether the endpoint has closed the idle connection or sent unsolicited data on it.
    pub(super) fn is_broken(&mut self) -> bool {
        use futures::FutureExt as _;
        self.reader.next().now_or_never().is_some()
    }

    /// Sends the termination message and closes the connection.
    pub(super) async fn close(mut self) {
        // The connection is closed whether or not the message can be sent.
        let _ = self.writer.write_all(line::TERMINATE.as_bytes()).await;
    }
}

/// Has the kernel close a connection whose data is not acknowledged in time.
pub(super) fn limit_unacknowledged(stream: &TcpStream) -> std::io::Result<()> {
    let millis = u32::try_from(TCP_USER_TIMEOUT.as_millis()).unwrap_or(u32::MAX);
    rustix::net::sockopt::set_tcp_user_timeout(stream, millis).map_err(std::io::Error::from)
}

/// Runs an exchange, and fails with [`ConnectionError::TimedOut`] at its deadline.
async fn with_deadline<T>(
    deadline: BootInstant,
    exchange: impl Future<Output = Result<T, ConnectionError>>,
) -> Result<T, ConnectionError> {
    let left = deadline.since(boot_now());
    // A time-out of zero would still send once.
    if left.is_zero() {
        return Err(ConnectionError::TimedOut);
    }
    let result = timeout(left, exchange).await;
    result.unwrap_or(Err(ConnectionError::TimedOut))
}
