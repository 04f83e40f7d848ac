//! Transactions at their endpoint, on a connection of this host or of a pool host.

use std::rc::Rc;

use tanagerdeal_core::ledger::forwarding::{CallEnd, NextStep, StatementKind, next_step};
use tanagerdeal_core::ledger::statement::SessionState;

use super::link::HostLink;
use super::message::{Request, StatementResult};
use super::path::{self, PoolHost};
use super::{
    REPLY_MARGIN, connection_error, is_declined, note_result, statement_message, waits_if_silent,
};
use crate::ledger::bound::{self, BoundConnection};
use crate::ledger::connection::EndpointReply;
use crate::ledger::context::{HostContext, boot_now};
use crate::ledger::operation::StatementTiming;
use crate::ledger::statement::{AccessRequest, RunError, StatementContext, StatementTarget};

/// A transaction at its endpoint.
pub(in crate::ledger) enum BoundTransaction {
    /// On a connection of this host.
    Own(BoundConnection),
    /// On a connection of a pool host.
    Forwarded(ForwardedTransaction),
}

/// A transaction on a connection of a pool host. Dropping it rolls the transaction back.
pub(in crate::ledger) struct ForwardedTransaction {
    link: Rc<HostLink>,
    call: u64,
    target: StatementTarget,
    is_open: bool,
}

impl Drop for ForwardedTransaction {
    fn drop(&mut self) {
        if self.is_open {
            self.link.send(Request::End { call: self.call });
        }
    }
}

/// A transaction, and the result of its first statement.
pub(in crate::ledger) type BegunTransaction = (BoundTransaction, Result<EndpointReply, RunError>);

/// Begins a transaction and runs its first statement. The error means that it could not begin;
/// nothing of it was run.
pub(in crate::ledger) async fn begin(
    ctx: StatementContext<'_>,
    target: StatementTarget,
    is_read_only: bool,
    request: AccessRequest<'_>,
    timing: StatementTiming,
) -> Result<BegunTransaction, RunError> {
    for forwards in 1.. {
        let Some(pool_host) = path::connect(ctx.host, target.endpoint).await else { break };
        let begun = begin_at(&pool_host, ctx, target, is_read_only, request, timing).await;
        let Err(error) = begun else { return begun };
        let end = CallEnd::NotBegun { is_declined: is_declined(&error) };
        match next_step(StatementKind::FirstOfTransaction, end, forwards) {
            step @ (NextStep::TryNextPoolHost | NextStep::RunHere) => {
                path::note_declined(ctx.host, &pool_host.name, target.endpoint, &error);
                if step == NextStep::RunHere {
                    break;
                }
            }
            _ => return Err(error),
        }
    }
    let (bound, result) = bound::begin_with(ctx, target, is_read_only, request, timing).await?;
    Ok((BoundTransaction::Own(bound), result))
}

async fn begin_at(
    pool_host: &PoolHost,
    ctx: StatementContext<'_>,
    target: StatementTarget,
    is_read_only: bool,
    request: AccessRequest<'_>,
    timing: StatementTiming,
) -> Result<BegunTransaction, RunError> {
    let link = pool_host.link.clone();
    let call = link.new_call();
    let statement = statement_message(ctx, target, request, timing)?;
    let mut transaction = ForwardedTransaction { link: link.clone(), call, target, is_open: true };
    let sent_at = boot_now();
    let message = Request::Begin { call, is_read_only, statement };
    let deadline = timing.deadline.after(REPLY_MARGIN);
    let waits = waits_if_silent(StatementKind::FirstOfTransaction);
    let result = match link.call(call, target.endpoint, message, waits, deadline).await {
        Ok(result @ StatementResult::NotBegun(_)) => {
            transaction.is_open = false;
            let result = result.into_result(sent_at);
            note_result(ctx, target, request, &result);
            return result.map(|reply| (BoundTransaction::Forwarded(transaction), Ok(reply)));
        }
        Ok(result) => {
            let result = result.into_result(sent_at);
            transaction.note(&result);
            note_result(ctx, target, request, &result);
            result
        }
        // The first statement may have run, so it is not repeated on another connection. Nothing
        // is kept: the pool host rolls the transaction back, or its connection is gone.
        Err(error) => Err(RunError::Sent(connection_error(error))),
    };
    Ok((BoundTransaction::Forwarded(transaction), result))
}

impl ForwardedTransaction {
    /// Records whether the transaction is still open after a result.
    fn note(&mut self, result: &Result<EndpointReply, RunError>) {
        self.is_open = matches!(result, Ok(reply) if reply.state == SessionState::Open);
    }

    async fn run(
        &mut self,
        ctx: StatementContext<'_>,
        request: AccessRequest<'_>,
        timing: StatementTiming,
    ) -> Result<EndpointReply, RunError> {
        let statement = statement_message(ctx, self.target, request, timing)?;
        let sent_at = boot_now();
        let message = Request::Continue { call: self.call, statement };
        let deadline = timing.deadline.after(REPLY_MARGIN);
        let waits = waits_if_silent(StatementKind::InTransaction);
        let result =
            self.link.call(self.call, self.target.endpoint, message, waits, deadline).await;
        // After an error the pool host is still told to end the transaction. A pool host that does
        // not reply says nothing about the endpoint.
        let result = result.map_err(|error| RunError::Sent(connection_error(error)))?;
        let result = result.into_result(sent_at);
        note_result(ctx, self.target, request, &result);
        if result.is_ok() {
            self.note(&result);
        }
        result
    }
}

impl BoundTransaction {
    /// Runs a statement of the transaction.
    ///
    /// # Errors
    ///
    /// Fails when there is no reply. The transaction is then rolled back.
    pub(in crate::ledger) async fn run(
        &mut self,
        ctx: StatementContext<'_>,
        request: AccessRequest<'_>,
        timing: StatementTiming,
    ) -> Result<EndpointReply, RunError> {
        match self {
            Self::Own(bound) => bound.run(ctx, request, timing.deadline).await,
            Self::Forwarded(transaction) => transaction.run(ctx, request, timing).await,
        }
    }

    /// Gives the connection back if the transaction has ended.
    pub(in crate::ledger) fn release(self, state: SessionState) {
        match self {
            Self::Own(bound) => bound.release(state),
            // The pool host has seen the same reply.
            Self::Forwarded(_) => (),
        }
    }

    /// Rolls the transaction back.
    pub(in crate::ledger) async fn roll_back(self, host: &HostContext) {
        match self {
            Self::Own(bound) => bound.roll_back(host).await,
            // Dropping it tells the pool host.
            Self::Forwarded(_) => (),
        }
    }
}
