//! Statements of clients, as far as the proxy has to understand them.

use tanagerdeal_wire::scalar_type;

use crate::verdict::RunVerdict;

scalar_type! {
    /// Whether a statement changes data.
    pub enum AccessMode {
        /// It reads.
        Read,
        /// It writes.
        Write,
    }

    /// A statement of a client.
    pub enum ClientStatement<'a> {
        /// Begins a transaction.
        Begin {
            /// Whether the client promises to read only.
            is_read_only: bool,
        },
        /// Commits the open transaction.
        Commit,
        /// Rolls the open transaction back.
        Rollback,
        /// Reads or writes data.
        Access(AccessMode),
        /// Sets a session value.
        SetValue {
            /// Name of the value.
            name: &'a str,
            /// The value.
            value: &'a str,
        },
        /// Prepares a statement.
        Prepare {
            /// Name in the session.
            name: &'a str,
            /// What the statement does.
            mode: AccessMode,
            /// Its shape.
            shape: &'a str,
        },
        /// Executes a prepared statement.
        Execute {
            /// Name in the session.
            name: &'a str,
            /// Item and data.
            arguments: &'a str,
        },
        /// Forgets a prepared statement.
        Deallocate {
            /// Name in the session.
            name: &'a str,
        },
    }

    /// State of a session as its client sees it.
    pub enum SessionState {
        /// Between transactions.
        Idle,
        /// In a transaction.
        Open,
        /// In a transaction that failed.
        Failed,
    }

    /// Why a request did not succeed.
    pub enum FailureReason {
        /// The endpoint or the proxy has no room now.
        Busy,
        /// The transaction was rolled back.
        Aborted,
        /// The endpoint's log lacks the position.
        Lagging,
        /// The endpoint is not the primary.
        ReadOnly,
        /// Another endpoint answers at the address.
        Misrouted,
        /// The endpoint accepts no more connections.
        TooManyConnections,
        /// The endpoint does not know the prepared statement.
        UnknownPrepared,
        /// The statement ran and failed.
        Failed,
        /// The statement ran out of time.
        TimedOut,
        /// The outcome of a write is unknown.
        InDoubt,
        /// The key is unknown or was revoked.
        InvalidKey,
        /// No route has the database's name.
        UnknownDatabase,
        /// The message or statement cannot be understood, or not in this state.
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
