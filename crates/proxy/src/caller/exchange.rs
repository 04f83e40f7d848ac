//! The reply of an endpoint to one request, on its way to the client.

use std::collections::VecDeque;
use std::time::Instant;

use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::response::{ErrorResponse, TransactionStatus};
use tanagerdeal_core::message::DispatchKey;
use tanagerdeal_core::verdict::RequestRefusal;
use tanagerdeal_wire::member::{LogPosition, POSITION_PARAMETER};
use tokio::time::{sleep_until, timeout_at};

use super::batch::ExpectedReply;
use super::startup::CallerStream;
use crate::codec::{CodecError, Frame, FrameStream};
use crate::driver::DriverHandle;
use crate::endpoint::{ConnectionError, ConnectionLease, field_of};

/// First words of the command tags of statements that may have an empty result. Other statements with
/// a result have at least one row.
const RESULT_TAGS: [&str; 2] = ["SELECT", "FETCH"];

/// Why the reply to a request could not be completed; the endpoint connection must be closed.
#[derive(Debug, thiserror::Error)]
pub(super) enum ExchangeFault {
    /// The endpoint connection failed.
    #[error("the connection to the endpoint failed: {0}")]
    Connection(#[from] ConnectionError),
    /// The deadline of the request passed.
    #[error("the deadline passed")]
    Deadline,
    /// The connection had to be closed for the cap on connections.
    #[error("the connection to the endpoint was withdrawn")]
    Recalled,
    /// The client has gone.
    #[error("the client has gone")]
    ClientGone,
}

/// How the reply to a request is to be treated.
pub(super) struct ExchangeRules {
    /// When the client's wait ends.
    pub(super) deadline: Instant,
    /// The request.
    pub(super) dispatch: DispatchKey,
    /// Position from which on no check is needed; nothing when rows need no check.
    pub(super) required: Option<LogPosition>,
    /// Whether a simple query has one result only.
    pub(super) is_single: bool,
    /// Whether a portal was suspended before. Its further rows come from the snapshot whose position
    /// was checked then, and the endpoint does not report it again.
    pub(super) continues_portal: bool,
    /// Whether everything from the first CommandComplete on waits for the confirmation.
    pub(super) holds_completion: bool,
    /// Bytes that may be held back or wait to be written.
    pub(super) buffer_bytes: usize,
}

/// Reply up to ReadyForQuery, or to the end of what was asked for before a Flush.
#[derive(Default)]
pub(super) struct ExchangeReply {
    /// Messages that have not been passed on yet.
    pub(super) held: Vec<Frame>,
    /// Transaction status; absent after a Flush.
    pub(super) status: Option<TransactionStatus>,
    /// Whether the endpoint reported an error.
    pub(super) is_error: bool,
    /// Whether the error means that a prepared statement of the connection is gone or out of date.
    pub(super) is_stale: bool,
    /// Whether rows of a portal are left for a later Execute.
    pub(super) is_suspended: bool,
    /// Tag of the last CommandComplete.
    pub(super) tag: Option<String>,
    /// Last position reported.
    pub(super) position: Option<LogPosition>,
    /// Highest position at which rows were read.
    pub(super) seen: Option<LogPosition>,
    /// The reason for which rows were rejected; nothing of the reply has reached the client then.
    pub(super) rejected: Option<RequestRefusal>,
}

/// Passes the reply of an endpoint to a client.
pub(super) struct Exchange<'a> {
    pub(super) client: &'a mut FrameStream<CallerStream>,
    lease: &'a mut ConnectionLease,
    pub(super) driver: &'a DriverHandle,
    pub(super) rules: ExchangeRules,
    /// Replies due in a batch; nothing for a simple query.
    expected: Option<VecDeque<ExpectedReply>>,
    pub(super) reply: ExchangeReply,
    pub(super) held_bytes: usize,
    pub(super) is_verified: bool,
    /// Whether a position was reported since the end of the last result.
    is_position_new: bool,
    pub(super) is_holding: bool,
    has_ended: bool,
    /// Whether a part of the reply has been handed to the client's stream.
    pub(super) has_delivered: bool,
}

impl<'a> Exchange<'a> {
    pub(super) fn new(
        client: &'a mut FrameStream<CallerStream>,
        lease: &'a mut ConnectionLease,
        driver: &'a DriverHandle,
        rules: ExchangeRules,
        expected: Option<VecDeque<ExpectedReply>>,
    ) -> Self {
        let is_verified = rules.required.is_none();
        Self {
            client,
            lease,
            driver,
            rules,
            expected,
            reply: ExchangeReply::default(),
            held_bytes: 0,
            is_verified,
            is_position_new: false,
            is_holding: false,
            has_ended: false,
            has_delivered: false,
        }
    }

    /// Writes the request that has been put into the connection's output.
    pub(super) async fn send(&mut self) -> Result<(), ExchangeFault> {
        let sending = self.lease.connection().flush();
        Ok(timeout_at(self.rules.deadline.into(), sending)
            .await
            .map_err(|_| ExchangeFault::Deadline)??)
    }

    /// Reads a reply that does not go to the client.
    pub(super) async fn hidden(&mut self) -> Result<crate::endpoint::HiddenReply, ExchangeFault> {
        let deadline = self.rules.deadline;
        tokio::select! {
            reply = self.lease.connection().read_hidden() => Ok(reply?),
            () = sleep_until(deadline.into()) => Err(ExchangeFault::Deadline),
        }
    }

    /// The endpoint connection.
    pub(super) fn lease(&mut self) -> &mut ConnectionLease {
        self.lease
    }

    /// Reads the reply and passes it on as far as the rules allow.
    pub(super) async fn visible(&mut self) -> Result<ExchangeReply, ExchangeFault> {
        loop {
            self.pass_local_replies().await?;
            let is_over = self.expected.as_ref().is_some_and(VecDeque::is_empty);
            if is_over && self.has_ended {
                return Ok(std::mem::take(&mut self.reply));
            }
            let frame = self.next().await?;
            if self.take(frame).await? {
                return Ok(std::mem::take(&mut self.reply));
            }
        }
    }

    /// For a batch that ends with Flush: the reply is over when everything asked for has come.
    pub(super) fn ends_without_sync(mut self) -> Self {
        self.has_ended = true;
        self
    }

    /// Next message of the endpoint. Reading from the client at the same time notices that it has
    /// gone.
    async fn next(&mut self) -> Result<Frame, ExchangeFault> {
        let deadline = self.rules.deadline;
        // While rows keep coming, the timer below is not reached.
        if Instant::now() >= deadline {
            return Err(ExchangeFault::Deadline);
        }
        tokio::select! {
            biased;
            frame = self.lease.read() => match frame {
                Some(frame) => Ok(frame?),
                None => Err(ExchangeFault::Recalled),
            },
            _ = self.client.watch() => Err(ExchangeFault::ClientGone),
            () = sleep_until(deadline.into()) => Err(ExchangeFault::Deadline),
        }
    }

    /// Treats one message; true when it was the last of the reply.
    async fn take(&mut self, frame: Frame) -> Result<bool, ExchangeFault> {
        match frame.tag() {
            b'S' => self.take_status(frame).await?,
            b'N' => self.pass(frame).await?,
            b'A' => {}
            b'E' => self.take_error(frame).await?,
            b'D' => {
                self.expect_rows()?;
                self.verify().await?;
                self.pass(frame).await?;
            }
            b'C' | b'I' | b's' => self.take_end(frame).await?,
            b'Z' => return self.take_ready(frame),
            b'1' | b'2' | b'3' | b't' | b'T' | b'n' => self.take_step(frame).await?,
            _ => return Err(unexpected("a message that belongs to no query")),
        }
        Ok(false)
    }

    async fn take_status(&mut self, frame: Frame) -> Result<(), ExchangeFault> {
        match frame.clone().backend().map_err(ConnectionError::Codec)? {
            PgWireBackendMessage::ParameterStatus(status) if status.name == POSITION_PARAMETER => {
                self.reply.position = status.value.parse().ok();
                self.is_position_new = true;
                Ok(())
            }
            _ => self.pass(frame).await,
        }
    }

    async fn take_error(&mut self, frame: Frame) -> Result<(), ExchangeFault> {
        if let PgWireBackendMessage::ErrorResponse(error) =
            frame.clone().backend().map_err(ConnectionError::Codec)?
        {
            if is_fatal(&error) {
                let message = field_of(&error, b'M').unwrap_or("no message").to_owned();
                return Err(ConnectionError::Refused(message).into());
            }
            self.reply.is_stale |= field_of(&error, b'C').is_some_and(is_stale_statement);
        }
        self.reply.is_error = true;
        if let Some(expected) = &mut self.expected {
            expected.clear();
        }
        self.pass(frame).await
    }

    /// The end of an execution.
    async fn take_end(&mut self, frame: Frame) -> Result<(), ExchangeFault> {
        let is_due = match &mut self.expected {
            Some(expected) => matches!(expected.pop_front(), Some(ExpectedReply::Execution)),
            None => !(self.has_ended && self.rules.is_single),
        };
        if !is_due {
            return Err(unexpected("the end of a result that was not asked for"));
        }
        let mut has_result = frame.tag() == b's';
        self.reply.is_suspended |= has_result;
        if let PgWireBackendMessage::CommandComplete(complete) =
            frame.clone().backend().map_err(ConnectionError::Codec)?
        {
            has_result = RESULT_TAGS.iter().any(|word| complete.tag.starts_with(word));
            // The position of an earlier result in the same text is not that of the commit.
            if complete.tag == "COMMIT" && !self.is_position_new {
                self.reply.position = None;
            }
            self.reply.tag = Some(complete.tag);
        }
        // An empty result is as old as its snapshot, so it is checked like one with rows.
        if has_result {
            self.verify().await?;
        }
        self.is_holding |= self.rules.holds_completion;
        self.pass(frame).await?;
        self.end_result();
        Ok(())
    }

    /// After the end of a result, the next one needs its own position.
    fn end_result(&mut self) {
        if self.expected.is_none() {
            self.has_ended = true;
        }
        self.is_position_new = false;
        self.is_verified = self.rules.required.is_none();
        self.reply.position = self.reply.position.filter(|_| self.is_verified);
    }

    fn take_ready(&mut self, frame: Frame) -> Result<bool, ExchangeFault> {
        let is_complete = match &self.expected {
            Some(expected) => expected.is_empty(),
            None => self.has_ended,
        };
        if !is_complete && !self.reply.is_error {
            return Err(unexpected("the end of a reply that is not complete"));
        }
        match frame.backend().map_err(ConnectionError::Codec)? {
            PgWireBackendMessage::ReadyForQuery(ready) => self.reply.status = Some(ready.status),
            _ => return Err(unexpected("a malformed end of a reply")),
        }
        Ok(true)
    }

    async fn take_step(&mut self, frame: Frame) -> Result<(), ExchangeFault> {
        let Some(expected) = &mut self.expected else {
            return match frame.tag() {
                b'T' => self.pass(frame).await,
                _ => Err(unexpected("a reply to a message that was not sent")),
            };
        };
        let is_visible = match (frame.tag(), expected.pop_front()) {
            (b'1', Some(ExpectedReply::Parse { name, is_visible })) => {
                self.lease.connection().prepared.insert(&name);
                is_visible
            }
            (b'3', Some(ExpectedReply::Close { is_visible })) => is_visible,
            (b'2', Some(ExpectedReply::Bind))
            | (b't', Some(ExpectedReply::Parameters))
            | (b'T' | b'n', Some(ExpectedReply::Rows)) => true,
            _ => return Err(unexpected("a reply to a message that was not sent")),
        };
        match is_visible {
            true => self.pass(frame).await,
            false => Ok(()),
        }
    }

    fn expect_rows(&self) -> Result<(), ExchangeFault> {
        match self.expected.as_ref().map(VecDeque::front) {
            None | Some(Some(ExpectedReply::Execution)) => Ok(()),
            Some(_) => Err(unexpected("a row of a result that was not asked for")),
        }
    }

    /// Passes on replies that need no endpoint and are due before its next message.
    async fn pass_local_replies(&mut self) -> Result<(), ExchangeFault> {
        while let Some(expected) = &mut self.expected
            && let Some(ExpectedReply::Local(_)) = expected.front()
        {
            if let Some(ExpectedReply::Local(frame)) = expected.pop_front() {
                self.pass(frame).await?;
            }
        }
        Ok(())
    }
}

pub(super) fn unexpected(what: &'static str) -> ExchangeFault {
    ConnectionError::Unexpected(what).into()
}

fn is_fatal(error: &ErrorResponse) -> bool {
    let severity = field_of(error, b'V').or_else(|| field_of(error, b'S'));
    matches!(severity, Some("FATAL" | "PANIC"))
}

/// Whether an error means that a connection does not hold its prepared statements as noted: the name
/// is unknown or taken, or the result of a cached plan has changed its columns.
fn is_stale_statement(sqlstate: &str) -> bool {
    matches!(sqlstate, "26000" | "42P05" | "0A000")
}

impl From<CodecError> for ExchangeFault {
    fn from(error: CodecError) -> Self {
        Self::Connection(error.into())
    }
}
