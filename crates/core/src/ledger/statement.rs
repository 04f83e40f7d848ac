//! Client statements, as far as the proxy interprets them.

use tanagerdeal_wire::scalar_type;

use crate::verdict::RunVerdict;

scalar_type! {
    /// Whether a statement changes data.
    pub enum AccessMode {
        /// Reads only.
        Read,
        /// Changes data.
        Write,
    }

    /// A statement of a client.
    pub enum ClientStatement<'a> {
        /// Begins a transaction.
        Begin {
            /// Whether the client declared the transaction read-only.
            is_read_only: bool,
        },
        /// Commits the open transaction.
        Commit,
        /// Rolls the open transaction back.
        Rollback,
        /// Reads or writes data.
        Access(AccessMode),
        /// Sets a session variable.
        SetValue {
            /// Name of the variable.
            name: &'a str,
            /// Its new value.
            value: &'a str,
        },
        /// Prepares a statement.
        Prepare {
            /// Name within the session.
            name: &'a str,
            /// Whether the prepared statement changes data.
            mode: AccessMode,
            /// Statement shape in the protocol of the endpoints, passed on unchanged.
            shape: &'a str,
        },
        /// Executes a prepared statement.
        Execute {
            /// Name within the session.
            name: &'a str,
            /// Item and data.
            arguments: &'a str,
        },
        /// Drops a prepared statement.
        Deallocate {
            /// Name within the session.
            name: &'a str,
        },
    }

    /// Transaction state of a session as its client sees it.
    pub enum SessionState {
        /// No transaction is open.
        Idle,
        /// A transaction is open.
        Open,
        /// The open transaction has failed.
        Failed,
    }

    /// Why a request did not succeed.
    pub enum FailureReason {
        /// The endpoint or the proxy has no capacity now.
        Busy,
        /// The transaction was rolled back.
        Aborted,
        /// The endpoint has not applied the required log position.
        Lagging,
        /// The endpoint is not the primary.
        ReadOnly,
        /// A different endpoint answers at the address.
        Misrouted,
        /// The endpoint accepts no more connections.
        TooManyConnections,
        /// The endpoint does not know the prepared statement.
        UnknownPrepared,
        /// The statement ran and failed.
        Failed,
        /// The statement exceeded its time limit.
        TimedOut,
        /// The outcome of a write is unknown.
        InDoubt,
        /// The key is unknown or was revoked.
        InvalidKey,
        /// No route has the database's name.
        UnknownDatabase,
        /// The message or statement cannot be parsed, or is not allowed in this state.
        Malformed,
        /// A reason that this version does not know.
        Other,
    }
}

impl FailureReason {
    /// Whether a statement that an endpoint answered with this reason may have run.
    ///
    /// ```
    /// use tanagerdeal_core::ledger::statement::FailureReason;
    /// use tanagerdeal_core::verdict::RunVerdict;
    ///
    /// assert_eq!(FailureReason::Busy.verdict(), RunVerdict::NotRun);
    /// assert_eq!(FailureReason::Failed.verdict(), RunVerdict::Ran);
    /// ```
    pub fn verdict(self) -> RunVerdict {
        match self {
            Self::Busy
            | Self::Lagging
            | Self::ReadOnly
            | Self::Misrouted
            | Self::TooManyConnections
            | Self::UnknownPrepared
            | Self::InvalidKey
            | Self::UnknownDatabase
            | Self::Malformed => RunVerdict::NotRun,
            Self::Failed | Self::TimedOut => RunVerdict::Ran,
            Self::Aborted | Self::InDoubt | Self::Other => RunVerdict::MayHaveRun,
        }
    }
}
