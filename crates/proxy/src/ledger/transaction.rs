//! Client transactions. A transaction is bound to one endpoint connection from its first statement
//! to its end.

use std::sync::Arc;
use std::time::Duration;

use tanagerdeal_adapter::line;
use tanagerdeal_core::ledger::catalog::{DatabaseRoute, ReadConsistency};
use tanagerdeal_core::ledger::clock::BootInstant;
use tanagerdeal_core::ledger::endpoint::{EndpointKey, LogPosition};
use tanagerdeal_core::ledger::position::PrimaryObservation;
use tanagerdeal_core::ledger::state::PrimaryPermit;
use tanagerdeal_core::ledger::statement::{AccessMode, FailureReason, SessionState};

use super::connection::{ConnectionError, EndpointReply};
use super::context::boot_now;
use super::observations;
use super::operation::{OperationFailure, StatementTiming, primary_failure};
use super::pool::{PooledConnection, acquire};
use super::statement::{
    AccessRequest, InFlightGuard, RunError, StatementContext, exchange_on_primary, newest_position,
    note_outcome,
};
use super::usage::UsageGuard;

/// Most endpoints that are tried when a read-only transaction begins.
const MAX_BEGIN_ATTEMPTS: usize = 4;
/// Request id that log lines show for statements issued by the proxy itself.
const PROXY_REQUEST_ID: &str = "-";
/// Retry delay for a client whose transaction could not begin or was aborted.
const BEGIN_RETRY: Duration = Duration::from_millis(80);

/// An open transaction of a client.
pub(super) struct OpenTransaction {
    /// Route in effect when the transaction began.
    pub(super) route: Arc<DatabaseRoute>,
    /// Whether the client declared the transaction as read-only.
    pub(super) is_read_only: bool,
    /// Start of the transaction.
    pub(super) began_at: BootInstant,
    /// Whether the transaction has issued a write.
    pub(super) has_written: bool,
    bound: Option<BoundConnection>,
}

/// The endpoint connection that a transaction holds.
struct BoundConnection {
    connection: PooledConnection,
    /// Permission to use the primary; `None` on a replica.
    permit: Option<PrimaryPermit>,
    /// Whether the customer's usage includes the transaction.
    is_counted: bool,
}

impl OpenTransaction {
    /// Creates a transaction that is not bound to a connection yet.
    pub(super) fn new(route: Arc<DatabaseRoute>, is_read_only: bool) -> Self {
        let began_at = boot_now();
        Self { route, is_read_only, began_at, has_written: false, bound: None }
    }

    /// Runs a statement of the transaction.
    ///
    /// # Errors
    ///
    /// Fails when there is no reply. The transaction has then ended and is rolled back.
    pub(super) async fn run(
        &mut self,
        ctx: StatementContext<'_>,
        last_write: Option<LogPosition>,
        request: AccessRequest<'_>,
    ) -> Result<EndpointReply, OperationFailure> {
        self.bind(ctx, last_write, request).await?;
        self.has_written |= request.mode == AccessMode::Write;
        let deadline = StatementTiming::new(&self.route, self.began_at).deadline;
        let text = line::forward(request.id, request.text, None);
        self.exchange(ctx, request.id, &text, deadline).await.map_err(aborted)
    }

    /// Commits the transaction.
    ///
    /// # Errors
    ///
    /// Fails when there is no reply. The outcome is then unknown if the transaction contains writes
    /// and the commit was sent.
    pub(super) async fn commit(
        mut self,
        ctx: StatementContext<'_>,
        last_write: Option<LogPosition>,
        request: AccessRequest<'_>,
    ) -> Result<EndpointReply, OperationFailure> {
        self.bind(ctx, last_write, request).await?;
        let deadline = StatementTiming::new(&self.route, self.began_at).deadline;
        let text = line::forward(request.id, request.text, None);
        match self.exchange(ctx, request.id, &text, deadline).await {
            Ok(reply) => {
                self.release(reply.state);
                Ok(reply)
            }
            Err(RunError::Sent(error)) if self.has_written => {
                Err(OperationFailure::new(FailureReason::InDoubt, &error.to_string()))
            }
            Err(error) => Err(aborted(error)),
        }
    }

    /// Rolls the transaction back. If the endpoint does not reply, the connection is closed, which
    /// also rolls it back.
    pub(super) async fn roll_back(mut self, ctx: StatementContext<'_>) {
        let Some(bound) = self.bound.as_mut() else { return };
        let deadline = StatementTiming::new(&self.route, self.began_at).deadline;
        let endpoint = bound.connection.endpoint();
        let Ok(connection) = bound.connection.connection() else { return };
        let outcome = connection.exchange(&line::rollback(), deadline).await;
        note_outcome(ctx.host, endpoint, PROXY_REQUEST_ID, &outcome);
        if let Ok(reply) = outcome {
            self.release(reply.state);
        }
    }

    fn release(&mut self, state: SessionState) {
        if let Some(bound) = self.bound.take() {
            bound.connection.release_if_idle(state);
        }
    }

    async fn exchange(
        &mut self,
        ctx: StatementContext<'_>,
        request: &str,
        text: &str,
        deadline: BootInstant,
    ) -> Result<EndpointReply, RunError> {
        let not_bound = || RunError::NotSent(ConnectionError::Lost("not bound".to_owned()));
        let bound = self.bound.as_mut().ok_or_else(not_bound)?;
        let endpoint = bound.connection.endpoint();
        let _in_flight = InFlightGuard::new(ctx.host, endpoint);
        // A transaction is one request, which begins with its first statement.
        let is_first = !std::mem::replace(&mut bound.is_counted, true);
        let usage = is_first.then(|| UsageGuard::new(ctx.host, ctx.customer));
        let outcome = match bound.permit {
            Some(permit) => {
                exchange_on_primary(ctx, permit, &mut bound.connection, request, text, deadline)
                    .await
            }
            None => {
                let connection = bound.connection.connection().map_err(RunError::NotSent)?;
                let outcome = connection.exchange(text, deadline).await;
                note_outcome(ctx.host, endpoint, request, &outcome);
                outcome.map_err(RunError::Sent)
            }
        };
        match usage {
            Some(usage) => usage.finish(outcome),
            None => outcome,
        }
    }

    /// Binds the transaction to a connection at its first statement, and applies the session's
    /// values and prepared statement before each statement.
    async fn bind(
        &mut self,
        ctx: StatementContext<'_>,
        last_write: Option<LogPosition>,
        request: AccessRequest<'_>,
    ) -> Result<(), OperationFailure> {
        let timing = StatementTiming::new(&self.route, self.began_at);
        match self.bound.as_mut() {
            Some(bound) => {
                let connection = bound
                    .connection
                    .connection()
                    .map_err(|error| aborted(RunError::NotSent(error)))?;
                let done = connection
                    .apply_session(ctx.session, request.prepared, None, timing.deadline)
                    .await;
                done.map_err(|error| aborted(RunError::NotSent(error)))?;
                Ok(())
            }
            None if self.is_read_only && self.route.consistency != ReadConsistency::Current => {
                self.bind_read(ctx, last_write, request, timing).await
            }
            None => self.bind_primary(ctx, request, timing).await,
        }
    }

    async fn bind_read(
        &mut self,
        ctx: StatementContext<'_>,
        last_write: Option<LogPosition>,
        request: AccessRequest<'_>,
        timing: StatementTiming,
    ) -> Result<(), OperationFailure> {
        let (host, group) = (ctx.host, ctx.group);
        let min_position =
            observations::min_read_position(host, &self.route, last_write, self.began_at).await;
        let mut tried: Vec<EndpointKey> = Vec::new();
        for _ in 0..MAX_BEGIN_ATTEMPTS {
            let target = host.state.borrow().read_target(group, min_position, &tried, boot_now());
            let Some(endpoint) = target else { break };
            tried.push(endpoint);
            let permit = host.state.borrow().primary_permit(group, boot_now()).ok();
            let permit = permit.filter(|permit| permit.endpoint == endpoint);
            let begun = begin(ctx, endpoint, permit, true, min_position, request, timing).await;
            if let Ok(connection) = begun {
                self.bound = Some(BoundConnection { connection, permit, is_counted: false });
                return Ok(());
            }
        }
        Err(OperationFailure::busy("no endpoint can serve the transaction now", BEGIN_RETRY))
    }

    async fn bind_primary(
        &mut self,
        ctx: StatementContext<'_>,
        request: AccessRequest<'_>,
        timing: StatementTiming,
    ) -> Result<(), OperationFailure> {
        let permit = ctx.host.state.borrow().primary_permit(ctx.group, boot_now());
        let permit =
            permit.map_err(|refusal| OperationFailure::busy(&refusal.to_string(), BEGIN_RETRY))?;
        let min_position = newest_position(ctx.host, ctx.group);
        let is_read_only = self.is_read_only;
        let begun =
            begin(ctx, permit.endpoint, Some(permit), is_read_only, min_position, request, timing)
                .await;
        // `BEGIN` changes no data, so its failure is reported like that of a read, even if it was
        // sent.
        let connection = begun.map_err(|error| primary_failure(AccessMode::Read, error))?;
        self.bound = Some(BoundConnection { connection, permit: Some(permit), is_counted: false });
        Ok(())
    }
}

/// Opens a transaction at an endpoint. The first statement is sent only after the endpoint has
/// confirmed the `BEGIN`, as it could otherwise run outside a transaction.
async fn begin(
    ctx: StatementContext<'_>,
    endpoint: EndpointKey,
    permit: Option<PrimaryPermit>,
    is_read_only: bool,
    min_position: Option<LogPosition>,
    request: AccessRequest<'_>,
    timing: StatementTiming,
) -> Result<PooledConnection, RunError> {
    let host = ctx.host;
    let acquired = acquire(host, endpoint, ctx.customer, timing.wait_deadline).await;
    let mut pooled = acquired.map_err(RunError::NoConnection)?;
    let connection = pooled.connection().map_err(RunError::NotSent)?;
    let text = line::begin(is_read_only, min_position);
    let outcome =
        connection.apply_session(ctx.session, request.prepared, Some(&text), timing.deadline).await;
    let outcome = outcome.and_then(|reply| {
        reply.ok_or_else(|| ConnectionError::Lost("no reply to the beginning".to_owned()))
    });
    note_outcome(host, endpoint, request.id, &outcome);
    let reply = outcome.map_err(RunError::NotSent)?;
    match (reply.failure, reply.position, permit) {
        (Some(reason), ..) => {
            pooled.release_if_idle(reply.state);
            Err(RunError::NotSent(ConnectionError::Refused(reason)))
        }
        (None, Some(position), Some(permit)) => {
            let observation = PrimaryObservation { sent_at: reply.sent_at, position };
            host.state.borrow_mut().observe_primary(ctx.group, permit, observation, boot_now());
            Ok(pooled)
        }
        _ => Ok(pooled),
    }
}

/// Returns the failure for a statement of an open transaction that has no reply. The connection is
/// closed, which rolls the transaction back.
fn aborted(error: RunError) -> OperationFailure {
    OperationFailure {
        reason: FailureReason::Aborted,
        text: format!("rolled back: {error}"),
        retry_after: Some(BEGIN_RETRY),
    }
}
