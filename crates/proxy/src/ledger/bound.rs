//! A transaction on a connection of this host to an endpoint.

use std::time::Duration;

use tanagerdeal_adapter::line;
use tanagerdeal_core::ledger::clock::BootInstant;
use tanagerdeal_core::ledger::state::PrimaryPermit;
use tanagerdeal_core::ledger::statement::SessionState;

use super::connection::{ConnectionError, EndpointReply};
use super::context::{HostContext, boot_now};
use super::gate;
use super::operation::StatementTiming;
use super::pool::{PooledConnection, acquire};
use super::statement::{
    AccessRequest, InFlightGuard, RunError, StatementContext, StatementTarget, check_not_leaving,
    exchange_on_primary, note_outcome, observe_position,
};
use super::usage::UsageGuard;

/// Request id that log lines show for statements issued by the proxy itself.
const PROXY_REQUEST_ID: &str = "-";
/// Time for the endpoint to confirm a rollback. After it the connection is closed, which rolls the
/// transaction back as well.
const ROLLBACK_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The endpoint connection that a transaction holds.
pub(super) struct BoundConnection {
    connection: PooledConnection,
    /// Permission to use the primary; `None` on a replica.
    permit: Option<PrimaryPermit>,
    /// Whether the customer's usage includes the transaction.
    is_counted: bool,
}

impl BoundConnection {
    /// Name of the group of its endpoint, while that is registered.
    pub(super) fn group(&self, host: &HostContext) -> Option<String> {
        let host_state = host.state.borrow();
        let state = host_state.endpoints.get(self.connection.endpoint())?;
        Some(state.record.group.clone())
    }

    /// Applies the session's values and the request's prepared statement, and runs the statement.
    ///
    /// # Errors
    ///
    /// Fails when there is no reply. The transaction is then rolled back.
    pub(super) async fn run(
        &mut self,
        ctx: StatementContext<'_>,
        request: AccessRequest<'_>,
        deadline: BootInstant,
    ) -> Result<EndpointReply, RunError> {
        let endpoint = self.connection.endpoint();
        let admitted = gate::admit(ctx, endpoint, request, deadline, true).await?;
        let connection = self.connection.connection().map_err(RunError::NotSent)?;
        let applied = connection.apply_session(ctx.session, request.prepared, None, deadline).await;
        applied.map_err(RunError::NotSent)?;
        let result = self.exchange(ctx, request, deadline).await;
        admitted.inspect(|admitted| admitted.note(&result));
        result
    }

    async fn exchange(
        &mut self,
        ctx: StatementContext<'_>,
        request: AccessRequest<'_>,
        deadline: BootInstant,
    ) -> Result<EndpointReply, RunError> {
        let text = line::forward(request.id, request.text, None);
        let endpoint = self.connection.endpoint();
        let _in_flight = InFlightGuard::new(ctx.host, endpoint);
        // A transaction is one request, which begins with its first statement.
        let is_first = !std::mem::replace(&mut self.is_counted, true);
        let usage = is_first.then(|| UsageGuard::new(ctx.host, ctx.customer));
        let connection = &mut self.connection;
        let outcome = match self.permit {
            Some(permit) => {
                exchange_on_primary(ctx, permit, connection, request.id, &text, deadline).await
            }
            None => {
                let connection = connection.connection().map_err(RunError::NotSent)?;
                let outcome = connection.exchange(&text, deadline).await;
                note_outcome(ctx.host, endpoint, request.id, &outcome);
                outcome.map_err(RunError::Sent)
            }
        };
        match usage {
            Some(usage) => usage.finish(outcome),
            None => outcome,
        }
    }

    /// Returns the connection to its pool if the transaction has ended.
    pub(super) fn release(self, state: SessionState) {
        self.connection.release_if_idle(state);
    }

    /// Rolls the transaction back. If the endpoint does not reply, the connection is closed, which
    /// also rolls it back.
    pub(super) async fn roll_back(mut self, host: &HostContext) {
        let endpoint = self.connection.endpoint();
        let Ok(connection) = self.connection.connection() else { return };
        let deadline = boot_now().after(ROLLBACK_TIMEOUT);
        let outcome = connection.exchange(&line::rollback(), deadline).await;
        note_outcome(host, endpoint, PROXY_REQUEST_ID, &outcome);
        if let Ok(reply) = outcome {
            self.release(reply.state);
        }
    }
}

/// Begins a transaction and runs its first statement. The outer error means that it could not
/// begin; nothing of it was run.
pub(super) async fn begin_with(
    ctx: StatementContext<'_>,
    target: StatementTarget,
    is_read_only: bool,
    request: AccessRequest<'_>,
    timing: StatementTiming,
) -> Result<(BoundConnection, Result<EndpointReply, RunError>), RunError> {
    let admitted = gate::admit(ctx, target.endpoint, request, timing.queue_deadline, false).await?;
    let is_queued = admitted.is_some();
    let connection = begin(ctx, target, is_read_only, request, timing, is_queued).await?;
    let mut bound = BoundConnection { connection, permit: target.permit, is_counted: false };
    let result = bound.exchange(ctx, request, timing.deadline).await;
    admitted.inspect(|admitted| admitted.note(&result));
    Ok((bound, result))
}

/// Opens a transaction at an endpoint. The first statement is sent only after the endpoint has
/// confirmed the `BEGIN`, as it could otherwise run outside a transaction.
async fn begin(
    ctx: StatementContext<'_>,
    target: StatementTarget,
    is_read_only: bool,
    request: AccessRequest<'_>,
    timing: StatementTiming,
    is_queued: bool,
) -> Result<PooledConnection, RunError> {
    let (host, endpoint) = (ctx.host, target.endpoint);
    let acquired =
        acquire(host, endpoint, ctx.customer, timing.connection_deadline(is_queued)).await;
    let mut pooled = acquired.map_err(RunError::NoConnection)?;
    check_not_leaving(ctx, endpoint, target.permit)?;
    let connection = pooled.connection().map_err(RunError::NotSent)?;
    let min_position = target.read_position(&host.state.borrow(), ctx.group);
    let text = line::begin(is_read_only, min_position);
    let outcome =
        connection.apply_session(ctx.session, request.prepared, Some(&text), timing.deadline).await;
    let outcome = outcome.and_then(|reply| {
        reply.ok_or_else(|| ConnectionError::Lost("no reply to the beginning".to_owned()))
    });
    note_outcome(host, endpoint, request.id, &outcome);
    let reply = outcome.map_err(RunError::NotSent)?;
    if let Some(permit) = target.permit {
        observe_position(ctx, permit, &reply);
    }
    match reply.failure {
        Some(reason) => {
            pooled.release_if_idle(reply.state);
            Err(RunError::NotSent(ConnectionError::Refused(reason)))
        }
        None => Ok(pooled),
    }
}
