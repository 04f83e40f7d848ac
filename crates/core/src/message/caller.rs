//! Calls of client sessions and their answers.

use std::time::Instant;

use tanagerdeal_wire::member::LogPosition;
use tanagerdeal_wire::{EndpointName, value_type};

use super::{DispatchKey, EndpointKey, SessionKey};
use crate::statement::StatementClass;
use crate::verdict::RequestRefusal;

/// What a client presents when it connects.
///
/// It has no `Debug`, so that a key cannot reach a log line.
pub struct SessionOpening {
    /// User of the start-up message: the customer.
    pub user: String,
    /// Database of the start-up message: the route.
    pub database: String,
    /// Password, absent when the client was not asked for one because the route is open.
    pub password: Option<String>,
    /// Proxy settings given at start-up, as name and value.
    pub settings: Vec<(String, String)>,
    /// Wall clock in milliseconds since the Unix epoch, against which the age of request ids is
    /// judged; the core has no clock of its own.
    pub wall_ms: u64,
}

/// A question or a notice of a client session.
pub enum CallerCall {
    /// Asks whether a route takes a key, before the client is asked for one.
    AskRoute {
        /// Database of the start-up message.
        database: String,
    },
    /// Opens a session.
    OpenSession(SessionOpening),
    /// Changes a proxy setting.
    ChangeSetting {
        /// The session.
        session: SessionKey,
        /// Name with its prefix.
        name: String,
        /// New value; empty resets it.
        value: String,
    },
    /// Asks for the value of a proxy setting.
    ShowSetting {
        /// The session.
        session: SessionKey,
        /// Name with its prefix.
        name: String,
    },
    /// Asks for an endpoint to run a request on. Answered when the request may run, or refused.
    PlaceRequest {
        /// The session.
        session: SessionKey,
        /// Strongest class among the statements of the request.
        class: StatementClass,
        /// Whether an earlier attempt of the same request failed and may be retried.
        is_retry: bool,
    },
    /// Gives up a request that has not been placed yet, because the client cancelled or left.
    AbandonRequest {
        /// The session.
        session: SessionKey,
    },
    /// Asks whether a response read at a position may go to the client. Needed only when the position
    /// is not covered by [`DispatchPlan::required`].
    CheckRead {
        /// The request.
        dispatch: DispatchKey,
        /// Position that the endpoint reported.
        position: LogPosition,
    },
    /// Asks for the acknowledgement of a commit. Answered when it is confirmed, or refused.
    ConfirmCommit {
        /// The request.
        dispatch: DispatchKey,
        /// Position that the endpoint reported.
        position: LogPosition,
    },
    /// Tells that a request has ended. No answer.
    EndRequest {
        /// The request.
        dispatch: DispatchKey,
        /// How it ended.
        ending: RequestEnding,
        /// Highest position that the endpoint reported with a response to a read, so that later
        /// reads of the session are not older.
        seen: Option<LogPosition>,
        /// Whether a transaction is still open, so that the connection stays with the session.
        in_transaction: bool,
    },
    /// Tells that the client has left. No answer.
    CloseSession {
        /// The session.
        session: SessionKey,
    },
}

value_type! {
    /// How a request ended.
    #[derive(Copy)]
    pub enum RequestEnding {
        /// The endpoint answered.
        Answered,
        /// The endpoint answered with an error.
        Failed,
        /// No byte of it was sent.
        NotSent,
        /// It was sent, and the connection was lost or the deadline passed.
        Lost,
    }

    /// An answer to a [`CallerCall`].
    pub enum CallerAnswer {
        /// Answer to `AskRoute`.
        RouteFound {
            /// Whether the route takes no key.
            open: bool,
        },
        /// The session is open.
        SessionOpened {
            /// Its key.
            session: SessionKey,
        },
        /// The setting was changed.
        SettingChanged,
        /// Value of a setting.
        SettingShown(String),
        /// Run the request as planned.
        RequestPlaced(DispatchPlan),
        /// The response may go to the client.
        ReadAccepted,
        /// The commit may be acknowledged.
        CommitConfirmed {
            /// New session token for the client.
            token: String,
        },
        /// Final negative response.
        Refused(RequestRefusal),
    }

    /// How a request is to be run.
    pub struct DispatchPlan {
        /// Identifies the request in later calls; the same for all requests of a transaction.
        pub dispatch: DispatchKey,
        /// Where it runs.
        pub endpoint: EndpointKey,
        /// Name of the endpoint.
        pub name: EndpointName,
        /// Address of its PostgreSQL listener.
        pub sql_address: String,
        /// A response read at this term and at least this offset needs no `CheckRead`.
        pub required: LogPosition,
        /// When the client's wait ends; the connection is closed and the verdict given by then.
        pub deadline: Instant,
        /// Identity under which the write is recorded, when the client gave a request id.
        pub record: Option<RequestRecord>,
        /// Whether the request may be placed again after its bytes were sent.
        pub repeatable: bool,
    }

    /// Identity of an idempotent request, a row of table `tanagerdeal_requests`.
    pub struct RequestRecord {
        /// The customer.
        pub customer: String,
        /// The client's request id.
        pub request_id: String,
    }
}
