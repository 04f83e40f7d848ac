//! Messages between a client's host and a pool host.
//!
//! They are encoded with postcard, so the order of the variants is part of the format, and any
//! change needs another [`PROTOCOL_VERSION`].

use std::time::Duration;

use tanagerdeal_core::ledger::capacity::{WorkClass, WorkKind};
use tanagerdeal_core::ledger::clock::{BootInstant, StoreInstant};
use tanagerdeal_core::ledger::endpoint::{LoadHint, LogPosition};
use tanagerdeal_core::ledger::session::{PreparedShape, SessionSetup};
use tanagerdeal_core::ledger::statement::{AccessMode, FailureReason, SessionState};
use tanagerdeal_wire::wire_type;

use crate::ledger::connection::{ConnectionError, EndpointReply};
use crate::ledger::pool::AcquireError;
use crate::ledger::statement::{AccessRequest, RunError};

/// Version of the protocol. A connection to a host with another version is closed.
pub(super) const PROTOCOL_VERSION: u32 = 1;

wire_type! {
    /// First message of a connection, from the host that accepted it.
    pub(super) struct Greeting {
        /// [`PROTOCOL_VERSION`] of the sender.
        pub(super) version: u32,
        /// Random number of the connection, part of its key.
        pub(super) nonce: [u8; 16],
    }

    /// Answer to the greeting, from the host that opened the connection.
    pub(super) struct Introduction {
        /// [`PROTOCOL_VERSION`] of the sender.
        pub(super) version: u32,
        /// Name of the sender.
        pub(super) host: String,
        /// Random number of the connection, part of its key.
        pub(super) nonce: [u8; 16],
        /// The number of the greeting, so that an introduction cannot be replayed.
        pub(super) greeting: [u8; 16],
    }

    /// A message to a pool host. `call` numbers a single statement, or a transaction.
    pub(super) enum Request {
        /// Run a statement outside a transaction.
        Run { call: u64, statement: Box<StatementMessage> },
        /// Begin a transaction and run its first statement.
        Begin { call: u64, is_read_only: bool, statement: Box<StatementMessage> },
        /// Run the next statement of a transaction.
        Continue { call: u64, statement: Box<StatementMessage> },
        /// Roll a transaction back, unless it has ended.
        End { call: u64 },
        /// Ask whether the pool host is running.
        Ping,
    }

    /// A message from a pool host.
    pub(super) enum Response {
        /// Result of a statement.
        Result { call: u64, result: StatementResult, load: Option<LoadMessage> },
        /// Answer to a ping.
        Pong,
        /// The sender is shutting down. It takes no new calls, and finishes those under way.
        Leaving,
    }

    /// Load of an endpoint.
    #[derive(Copy)]
    pub(super) struct LoadMessage {
        expected_wait_us: u32,
        service_us: u32,
        running: u32,
        limit: u32,
        waiting: u32,
    }

    /// A statement with all that is needed to run it.
    pub(super) struct StatementMessage {
        /// Identity of the endpoint.
        pub(super) endpoint: String,
        /// Name of the customer, as endpoints are told it.
        pub(super) customer: String,
        /// Variables of the session.
        pub(super) values: Vec<(String, String)>,
        /// Prepared statement that the text executes, if any.
        pub(super) prepared: Option<PreparedMessage>,
        /// Request id assigned by the client.
        pub(super) request: String,
        /// Text in the form sent to endpoints.
        pub(super) text: String,
        /// Whether the statement changes data.
        pub(super) is_write: bool,
        /// Whether the statement commits a transaction.
        pub(super) is_commit: bool,
        /// Whether the endpoint has to be the primary of its group.
        pub(super) on_primary: bool,
        /// Position that the endpoint's log must have reached.
        pub(super) min_position: Option<LogPosition>,
        /// Hash of the database's name.
        pub(super) route: u64,
        /// Priority of the route; 0 is the highest.
        pub(super) priority: u8,
        /// How long the statement may wait from its arrival, in microseconds. A deadline would
        /// lose the uncertainty of both hosts' clocks, which may exceed the whole wait.
        pub(super) wait_us: u32,
        /// Instant at which the statement times out.
        pub(super) deadline: StoreInstant,
    }

    /// A prepared statement.
    pub(super) struct PreparedMessage {
        /// Whether it changes data.
        pub(super) is_write: bool,
        /// Statement shape in the protocol of the endpoints.
        pub(super) shape: String,
    }

    /// The reply of an endpoint, or what prevented it.
    pub(super) enum StatementResult {
        /// The endpoint has replied.
        Reply(ReplyMessage),
        /// Nothing was sent to the endpoint.
        NotSent(NotSentMessage),
        /// The statement was sent, but there is no complete reply.
        Sent { is_timed_out: bool, text: String },
        /// The transaction could not begin, and nothing of it was run.
        NotBegun(NotSentMessage),
    }

    /// What prevented a statement that was not sent.
    pub(super) struct NotSentMessage {
        reason: NotSentReason,
        text: String,
        /// When the statement can be served, if the endpoint is overloaded.
        retry_after_ms: Option<u32>,
    }

    /// Why nothing was sent.
    #[derive(Copy)]
    pub(super) enum NotSentReason {
        /// No connection became free in time.
        Exhausted,
        /// The endpoint is not registered, or another one answers at its address.
        Gone,
        /// The endpoint could not be reached.
        Unreachable,
        /// The endpoint has too much work for the statement to be served in time.
        Backlog,
        /// The pool host takes no new work, or the statement was late by its clock.
        Declined,
        /// The primary is being changed, or the pool host may not use it.
        Revoked,
        /// The endpoint refused a step that has to precede the statement.
        Refused(ReasonCode),
        /// The connection to the endpoint was lost before the statement was sent.
        Lost,
    }

    /// A reply of an endpoint.
    pub(super) struct ReplyMessage {
        text: String,
        first_row: Option<String>,
        failure: Option<ReasonCode>,
        state: StateCode,
        position: Option<LogPosition>,
    }

    /// Failure code of an endpoint.
    #[derive(Copy)]
    pub(super) enum ReasonCode {
        Busy,
        Aborted,
        Lagging,
        ReadOnly,
        Misrouted,
        TooManyConnections,
        UnknownPrepared,
        Failed,
        TimedOut,
        InDoubt,
        InvalidKey,
        UnknownDatabase,
        Malformed,
        Other,
    }

    /// State of an endpoint's session.
    #[derive(Copy)]
    pub(super) enum StateCode {
        Idle,
        Open,
        Failed,
    }
}

impl StatementMessage {
    /// The mode of access.
    pub(super) fn mode(&self) -> AccessMode {
        access_mode(self.is_write)
    }

    /// The session's variables.
    pub(super) fn setup(&self) -> SessionSetup {
        let mut setup = SessionSetup::default();
        self.values.iter().for_each(|(name, value)| setup.set_value(name, value));
        setup
    }

    /// The prepared statement that the text executes.
    pub(super) fn shape(&self) -> Option<PreparedShape> {
        let prepared = self.prepared.as_ref()?;
        Some(PreparedShape::new(access_mode(prepared.is_write), &prepared.shape))
    }

    /// The statement as it is run. `shape` is its prepared statement.
    pub(super) fn request<'a>(&'a self, shape: Option<&'a PreparedShape>) -> AccessRequest<'a> {
        let kind = match self.is_write {
            _ if self.is_commit => WorkKind::Commit,
            true => WorkKind::Write,
            false => WorkKind::Read,
        };
        AccessRequest {
            id: &self.request,
            text: &self.text,
            mode: self.mode(),
            prepared: shape,
            priority: self.priority,
            work: WorkClass { route: self.route, kind },
        }
    }
}

impl From<LoadHint> for LoadMessage {
    fn from(hint: LoadHint) -> Self {
        let LoadHint { expected_wait_us, service_us, running, limit, waiting, .. } = hint;
        Self { expected_wait_us, service_us, running, limit, waiting }
    }
}

impl LoadMessage {
    /// The load as this host received it at `at`.
    pub(super) fn into_hint(self, at: BootInstant) -> LoadHint {
        let Self { expected_wait_us, service_us, running, limit, waiting } = self;
        LoadHint { expected_wait_us, service_us, running, limit, waiting, at }
    }
}

fn access_mode(is_write: bool) -> AccessMode {
    if is_write { AccessMode::Write } else { AccessMode::Read }
}

impl From<&PreparedShape> for PreparedMessage {
    fn from(shape: &PreparedShape) -> Self {
        Self { is_write: shape.mode == AccessMode::Write, shape: shape.shape.clone() }
    }
}

impl From<EndpointReply> for ReplyMessage {
    fn from(reply: EndpointReply) -> Self {
        let EndpointReply { text, first_row, failure, state, position, .. } = reply;
        let (failure, state) = (failure.map(ReasonCode::from), StateCode::from(state));
        Self { text, first_row, failure, state, position }
    }
}

/// Converts the result of a statement at the pool host.
impl From<Result<EndpointReply, RunError>> for StatementResult {
    fn from(result: Result<EndpointReply, RunError>) -> Self {
        match result {
            Ok(reply) => Self::Reply(reply.into()),
            Err(RunError::Sent(error)) => {
                let is_timed_out = error == ConnectionError::TimedOut;
                Self::Sent { is_timed_out, text: error.to_string() }
            }
            Err(error) => Self::NotSent((&error).into()),
        }
    }
}

impl StatementResult {
    /// The result at the client's host. The reply counts as sent when the request was, at
    /// `sent_at`, so that no position is taken for newer than it is.
    pub(super) fn into_result(self, sent_at: BootInstant) -> Result<EndpointReply, RunError> {
        match self {
            Self::Reply(reply) => {
                let ReplyMessage { text, first_row, failure, state, position } = reply;
                let (failure, state) = (failure.map(FailureReason::from), state.into());
                Ok(EndpointReply { text, first_row, failure, state, position, sent_at })
            }
            Self::Sent { is_timed_out: true, .. } => Err(RunError::Sent(ConnectionError::TimedOut)),
            Self::Sent { text, .. } => Err(RunError::Sent(ConnectionError::Lost(text))),
            Self::NotSent(message) | Self::NotBegun(message) => Err(message.into()),
        }
    }
}

fn not_sent_reason(error: &RunError) -> (NotSentReason, Option<u32>) {
    let millis = |after: &Duration| u32::try_from(after.as_millis()).unwrap_or(u32::MAX);
    match error {
        RunError::NoConnection(AcquireError::Exhausted) => (NotSentReason::Exhausted, None),
        RunError::NoConnection(AcquireError::Gone) => (NotSentReason::Gone, None),
        RunError::NoConnection(AcquireError::Unreachable(_)) => (NotSentReason::Unreachable, None),
        RunError::NoConnection(AcquireError::Backlog { retry_after }) => {
            (NotSentReason::Backlog, Some(millis(retry_after)))
        }
        RunError::NoConnection(AcquireError::Declined(_)) => (NotSentReason::Declined, None),
        RunError::NotSent(ConnectionError::Revoked) => (NotSentReason::Revoked, None),
        RunError::NotSent(ConnectionError::Refused(reason)) => {
            (NotSentReason::Refused((*reason).into()), None)
        }
        RunError::NotSent(_) | RunError::Sent(_) => (NotSentReason::Lost, None),
    }
}

impl From<&RunError> for NotSentMessage {
    fn from(error: &RunError) -> Self {
        let (reason, retry_after_ms) = not_sent_reason(error);
        Self { reason, text: error.to_string(), retry_after_ms }
    }
}

impl From<NotSentMessage> for RunError {
    fn from(message: NotSentMessage) -> Self {
        let NotSentMessage { reason, text, retry_after_ms } = message;
        let retry_after = Duration::from_millis(u64::from(retry_after_ms.unwrap_or(0)));
        match reason {
            NotSentReason::Exhausted => RunError::NoConnection(AcquireError::Exhausted),
            NotSentReason::Gone => RunError::NoConnection(AcquireError::Gone),
            NotSentReason::Unreachable => RunError::NoConnection(AcquireError::Unreachable(text)),
            NotSentReason::Backlog => RunError::NoConnection(AcquireError::Backlog { retry_after }),
            NotSentReason::Declined => RunError::NoConnection(AcquireError::Declined(text)),
            NotSentReason::Revoked => RunError::NotSent(ConnectionError::Revoked),
            NotSentReason::Refused(code) => {
                RunError::NotSent(ConnectionError::Refused(code.into()))
            }
            NotSentReason::Lost => RunError::NotSent(ConnectionError::Lost(text)),
        }
    }
}

macro_rules! mirror_enum {
    ($wire:ident, $own:ident: $($variant:ident),+) => {
        impl From<$own> for $wire {
            fn from(own: $own) -> Self {
                match own {
                    $($own::$variant => Self::$variant,)+
                }
            }
        }

        impl From<$wire> for $own {
            fn from(wire: $wire) -> Self {
                match wire {
                    $($wire::$variant => Self::$variant,)+
                }
            }
        }
    };
}

mirror_enum!(
    ReasonCode, FailureReason: Busy, Aborted, Lagging, ReadOnly, Misrouted, TooManyConnections,
    UnknownPrepared, Failed, TimedOut, InDoubt, InvalidKey, UnknownDatabase, Malformed, Other
);
mirror_enum!(StateCode, SessionState: Idle, Open, Failed);
