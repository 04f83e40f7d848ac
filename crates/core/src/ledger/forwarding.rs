//! What follows from the end of a call to a pool host.
//!
//! A statement that may have been sent is repeated only if it is a read outside a transaction, and
//! reported as not run only if nothing was sent.

use tanagerdeal_wire::scalar_type;

use crate::verdict::RunVerdict;

/// Pool hosts to which a statement is sent before it runs on a connection of its client's host.
const MAX_FORWARDS: usize = 2;

scalar_type! {
    /// Kind of a forwarded statement.
    pub enum StatementKind {
        /// A read outside a transaction.
        Read,
        /// A write outside a transaction.
        Write,
        /// The first statement of a transaction, which begins it.
        FirstOfTransaction,
        /// A further statement of a transaction.
        InTransaction,
        /// The commit of a transaction.
        Commit {
            /// Whether the transaction contains a write.
            has_written: bool,
        },
    }

    /// How a call to a pool host ended.
    pub enum CallEnd {
        /// The endpoint has replied.
        Replied,
        /// The transaction could not begin; nothing of it was sent.
        NotBegun {
            /// Whether the pool host cannot use the endpoint, or not as the primary.
            is_declined: bool,
        },
        /// The statement was not sent.
        NotSent {
            /// Whether the pool host cannot use the endpoint, or not as the primary.
            is_declined: bool,
        },
        /// The statement was sent to the endpoint, but there is no complete reply.
        Sent,
        /// The connection to the pool host was lost.
        LinkLost,
        /// The pool host does not respond.
        LinkSilent,
        /// The deadline has passed.
        TimedOut,
    }

    /// What follows for the statement.
    pub enum NextStep {
        /// The endpoint's reply goes to the client.
        UseReply,
        /// It is sent to the pool host that is next in order.
        TryNextPoolHost,
        /// It runs on a connection of the client's host.
        RunHere,
        /// The call goes on.
        Wait,
        /// The transaction is ended and reported as rolled back.
        RollBack,
        /// It failed, and this is known of it.
        Report(RunVerdict),
    }
}

/// Decides what follows from the end of a statement's call, the `forwards`-th to a pool host.
///
/// ```
/// use tanagerdeal_core::ledger::forwarding::{CallEnd, NextStep, StatementKind, next_step};
/// use tanagerdeal_core::verdict::RunVerdict;
///
/// let next = |kind| next_step(kind, CallEnd::LinkLost, 1);
/// assert_eq!(next(StatementKind::Read), NextStep::RunHere);
/// assert_eq!(next(StatementKind::Write), NextStep::Report(RunVerdict::MayHaveRun));
/// assert_eq!(next(StatementKind::InTransaction), NextStep::RollBack);
/// ```
pub fn next_step(kind: StatementKind, end: CallEnd, forwards: usize) -> NextStep {
    use StatementKind::{Commit, FirstOfTransaction, InTransaction, Read, Write};
    match (kind, end) {
        (_, CallEnd::Replied) => NextStep::UseReply,
        // Another host may be able to use the endpoint.
        (Read | Write, CallEnd::NotSent { is_declined: true })
        | (FirstOfTransaction, CallEnd::NotBegun { is_declined: true }) => match forwards {
            0..MAX_FORWARDS => NextStep::TryNextPoolHost,
            _ => NextStep::RunHere,
        },
        (Read | Write, CallEnd::NotSent { .. })
        | (Read | Write | FirstOfTransaction, CallEnd::NotBegun { .. }) => {
            NextStep::Report(RunVerdict::NotRun)
        }
        (Read, CallEnd::LinkLost | CallEnd::LinkSilent) => NextStep::RunHere,
        // The reply may still come, and neither a write nor a statement that is bound to its
        // connection can be repeated.
        (Write | InTransaction | Commit { .. }, CallEnd::LinkSilent) => NextStep::Wait,
        (Read, CallEnd::Sent | CallEnd::TimedOut)
        | (
            Write | Commit { has_written: true },
            CallEnd::Sent | CallEnd::LinkLost | CallEnd::TimedOut,
        ) => NextStep::Report(RunVerdict::MayHaveRun),
        // Nothing is kept: the pool host rolls the transaction back, or its connection is gone.
        (FirstOfTransaction | InTransaction | Commit { .. }, _) => NextStep::RollBack,
    }
}
