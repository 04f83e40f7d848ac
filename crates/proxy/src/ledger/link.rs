//! One connection to an endpoint.

use std::net::SocketAddr;
use std::time::Duration;

use futures::StreamExt as _;
use tanagerdeal_adapter::line::{self, MAX_MESSAGE_BYTES};
use tanagerdeal_adapter::reply::{ReplyLine, decode_reply};
use tanagerdeal_core::ledger::clock::BootInstant;
use tanagerdeal_core::ledger::endpoint::LogPosition;
use tanagerdeal_core::ledger::session::{ConnectionImage, PreparedShape, SessionImage};
use tanagerdeal_core::ledger::statement::{FailureReason, SessionState};
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::timeout;
use tokio_util::codec::{FramedRead, LinesCodec};

use super::context::boot_now;

/// Time after which the kernel ends a connection whose bytes are not acknowledged; it is shorter
/// than the time after which an endpoint drops a silent connection (3 s).
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Why an exchange has no usable reply.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub(super) enum LinkError {
    /// The connection could not be opened in time.
    #[error("no connection: {0}")]
    Connect(String),
    /// The endpoint refused the connection.
    #[error("connection refused: {0:?}")]
    Refused(FailureReason),
    /// The connection broke.
    #[error("connection lost: {0}")]
    Lost(String),
    /// No complete reply came in time.
    #[error("no reply in time")]
    TimedOut,
    /// The statement was given up because the primary is being changed.
    #[error("the primary is being changed")]
    Revoked,
}

/// A reply to one statement.
#[derive(Clone, Debug)]
pub(super) struct EndpointReply {
    /// Rows and completion or failure, as the endpoint sent them.
    pub(super) text: String,
    /// Rows without their word.
    pub(super) first_row: Option<String>,
    /// Why it failed, if it did.
    pub(super) failure: Option<FailureReason>,
    /// State of the session at the endpoint.
    pub(super) state: SessionState,
    /// Applied position.
    pub(super) position: Option<LogPosition>,
    /// When the statement was sent.
    pub(super) sent_at: BootInstant,
}

/// Whom a connection is for.
#[derive(Clone, Copy, Debug)]
pub(super) struct LinkTarget<'a> {
    pub(super) address: SocketAddr,
    pub(super) group: &'a str,
    pub(super) id: &'a str,
    pub(super) customer: &'a str,
}

/// A connection to an endpoint, with what has been set and prepared on it.
pub(super) struct EndpointLink {
    reader: FramedRead<OwnedReadHalf, LinesCodec>,
    writer: OwnedWriteHalf,
    pub(super) customer: String,
    pub(super) image: ConnectionImage,
    pub(super) idle_since: BootInstant,
}

impl EndpointLink {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails when the endpoint cannot be reached or refuses it within `limit`.
    pub(super) async fn open(target: LinkTarget<'_>, limit: Duration) -> Result<Self, LinkError> {
        let opened = timeout(limit, Self::open_now(target)).await;
        opened.unwrap_or_else(|_| Err(LinkError::Connect("no reply in time".to_owned())))
    }

    async fn open_now(target: LinkTarget<'_>) -> Result<Self, LinkError> {
        let failed = |error: std::io::Error| LinkError::Connect(error.to_string());
        let stream = TcpStream::connect(target.address).await.map_err(failed)?;
        stream.set_nodelay(true).map_err(failed)?;
        rustix::net::sockopt::set_tcp_user_timeout(
            &stream,
            u32::try_from(USER_TIMEOUT.as_millis()).unwrap_or(u32::MAX),
        )
        .map_err(|error| failed(error.into()))?;
        let (reader, writer) = stream.into_split();
        let codec = LinesCodec::new_with_max_length(MAX_MESSAGE_BYTES);
        let mut link = Self {
            reader: FramedRead::new(reader, codec),
            writer,
            customer: target.customer.to_owned(),
            image: ConnectionImage::default(),
            idle_since: boot_now(),
        };
        let startup = line::startup(target.group, target.customer, target.id);
        link.writer.write_all(startup.as_bytes()).await.map_err(failed)?;
        let line = link.next_line().await?;
        match decode_reply(&line) {
            Ok(ReplyLine::Ready { .. }) => Ok(link),
            Ok(ReplyLine::Failed(reason, _)) => Err(LinkError::Refused(reason)),
            _ => Err(LinkError::Lost(format!("unexpected reply {line:?}"))),
        }
    }

    async fn next_line(&mut self) -> Result<String, LinkError> {
        match self.reader.next().await {
            Some(Ok(line)) => Ok(line),
            Some(Err(error)) => Err(LinkError::Lost(error.to_string())),
            None => Err(LinkError::Lost("closed by the endpoint".to_owned())),
        }
    }

    /// Sends a statement and reads its reply. After an error the connection is of no more use.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks or no reply comes until `deadline`.
    pub(super) async fn exchange(
        &mut self,
        text: &str,
        deadline: BootInstant,
    ) -> Result<EndpointReply, LinkError> {
        let exchange = async {
            let sent_at = self.send(text).await?;
            self.read_reply(sent_at).await
        };
        until(deadline, exchange).await
    }

    /// Sends a text and returns the moment before it was sent.
    async fn send(&mut self, text: &str) -> Result<BootInstant, LinkError> {
        let sent_at = boot_now();
        let sent = self.writer.write_all(text.as_bytes()).await;
        sent.map_err(|error| LinkError::Lost(error.to_string()))?;
        Ok(sent_at)
    }

    async fn read_reply(&mut self, sent_at: BootInstant) -> Result<EndpointReply, LinkError> {
        let (mut text, mut first_row, mut failure) = (String::new(), None, None);
        loop {
            let line = self.next_line().await?;
            match decode_reply(&line) {
                Ok(ReplyLine::Ready { state, position }) => {
                    return Ok(EndpointReply {
                        text,
                        first_row,
                        failure,
                        state,
                        position,
                        sent_at,
                    });
                }
                Ok(ReplyLine::Row(row)) if first_row.is_none() => first_row = Some(row.to_owned()),
                Ok(ReplyLine::Failed(reason, _)) => failure = Some(reason),
                Ok(_) => (),
                Err(error) => return Err(LinkError::Lost(error.to_string())),
            }
            text.push_str(&line);
            text.push_str("\r\n");
        }
    }

    /// Brings the connection to a session's image, with the prepared statement that is needed next,
    /// and sends `last` after that. The statement that follows may be sent only when all of it has
    /// succeeded.
    ///
    /// # Errors
    ///
    /// Fails as [`EndpointLink::exchange`] does, or with the reason for which a step was refused.
    pub(super) async fn set_up(
        &mut self,
        session: &SessionImage,
        prepared: Option<&PreparedShape>,
        last: Option<&str>,
        deadline: BootInstant,
    ) -> Result<Option<EndpointReply>, LinkError> {
        let steps = self.image.steps(session, prepared);
        if steps.is_empty() && last.is_none() {
            return Ok(None);
        }
        let mut batch: String = steps.iter().map(line::setup).collect();
        batch.push_str(last.unwrap_or_default());
        let exchange = async {
            let sent_at = self.send(&batch).await?;
            for step in &steps {
                let reply = self.read_reply(sent_at).await?;
                match reply.failure {
                    None => self.image.note(step),
                    Some(reason) => return Err(LinkError::Refused(reason)),
                }
            }
            match last {
                Some(_) => self.read_reply(sent_at).await.map(Some),
                None => Ok(None),
            }
        };
        until(deadline, exchange).await
    }

    /// Whether the endpoint has closed the connection or sent something unasked while it was idle.
    pub(super) fn is_broken(&mut self) -> bool {
        use futures::FutureExt as _;
        self.reader.next().now_or_never().is_some()
    }

    /// Ends the session at the endpoint.
    pub(super) async fn close(mut self) {
        // The connection is closed in any case.
        let _ = self.writer.write_all(line::TERMINATE.as_bytes()).await;
    }
}

/// Gives an exchange up at its deadline.
async fn until<T>(
    deadline: BootInstant,
    exchange: impl Future<Output = Result<T, LinkError>>,
) -> Result<T, LinkError> {
    let result = timeout(deadline.since(boot_now()), exchange).await;
    result.unwrap_or(Err(LinkError::TimedOut))
}
