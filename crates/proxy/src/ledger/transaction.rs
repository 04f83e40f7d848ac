//! Client transactions. A transaction is bound to one endpoint connection from its first statement
//! to its end.

use std::sync::Arc;
use std::time::Duration;

use tanagerdeal_core::ledger::catalog::{CallerIdentity, DatabaseRoute, ReadConsistency};
use tanagerdeal_core::ledger::clock::BootInstant;
use tanagerdeal_core::ledger::endpoint::{EndpointKey, LogPosition};
use tanagerdeal_core::ledger::statement::{AccessMode, FailureReason};

use super::connection::EndpointReply;
use super::context::boot_now;
use super::forward::{self, BegunTransaction, BoundTransaction};
use super::observations;
use super::operation::{OperationFailure, StatementTiming, primary_failure};
use super::statement::{AccessRequest, RunError, StatementContext, StatementTarget};

/// Most endpoints that are tried when a read-only transaction begins.
const MAX_BEGIN_ATTEMPTS: usize = 4;
/// Retry delay for a client whose transaction could not begin or was aborted.
const BEGIN_RETRY: Duration = Duration::from_millis(80);

/// An open transaction of a client.
pub(super) struct OpenTransaction {
    /// Identity of the client when the transaction began.
    pub(super) identity: CallerIdentity,
    /// Route in effect when the transaction began.
    pub(super) route: Arc<DatabaseRoute>,
    /// Whether the client declared the transaction as read-only.
    pub(super) is_read_only: bool,
    /// Start of the transaction.
    pub(super) began_at: BootInstant,
    /// Whether the transaction has issued a write.
    pub(super) has_written: bool,
    bound: Option<BoundTransaction>,
}

impl OpenTransaction {
    /// Creates a transaction that is not bound to a connection yet.
    pub(super) fn new(
        identity: CallerIdentity,
        route: Arc<DatabaseRoute>,
        is_read_only: bool,
    ) -> Self {
        let began_at = boot_now();
        Self { identity, route, is_read_only, began_at, has_written: false, bound: None }
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
        self.has_written |= request.mode == AccessMode::Write;
        self.run_bound(ctx, last_write, request).await?.map_err(aborted)
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
        match self.run_bound(ctx, last_write, request).await? {
            Ok(reply) => {
                if let Some(bound) = self.bound.take() {
                    bound.release(reply.state);
                }
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
        if let Some(bound) = self.bound.take() {
            bound.roll_back(ctx.host).await;
        }
    }

    /// Runs a statement, and binds the transaction to a connection if it is the first one. The
    /// outer error means that the transaction could not begin.
    async fn run_bound(
        &mut self,
        ctx: StatementContext<'_>,
        last_write: Option<LogPosition>,
        request: AccessRequest<'_>,
    ) -> Result<Result<EndpointReply, RunError>, OperationFailure> {
        let timing = StatementTiming::new(&self.route, self.began_at);
        let (bound, result) = match self.bound.as_mut() {
            Some(bound) => return Ok(bound.run(ctx, request, timing).await),
            None if self.is_read_only && self.route.consistency != ReadConsistency::Current => {
                self.begin_read(ctx, last_write, request, timing).await?
            }
            None => self.begin_on_primary(ctx, request, timing).await?,
        };
        self.bound = Some(bound);
        Ok(result)
    }

    async fn begin_read(
        &self,
        ctx: StatementContext<'_>,
        last_write: Option<LogPosition>,
        request: AccessRequest<'_>,
        timing: StatementTiming,
    ) -> Result<BegunTransaction, OperationFailure> {
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
            let target = StatementTarget { endpoint, permit, min_position };
            if let Ok(begun) = forward::begin(ctx, target, true, request, timing).await {
                return Ok(begun);
            }
        }
        Err(OperationFailure::busy("no endpoint can serve the transaction now", BEGIN_RETRY))
    }

    async fn begin_on_primary(
        &self,
        ctx: StatementContext<'_>,
        request: AccessRequest<'_>,
        timing: StatementTiming,
    ) -> Result<BegunTransaction, OperationFailure> {
        let permit = ctx.host.state.borrow().primary_permit(ctx.group, boot_now());
        let permit =
            permit.map_err(|refusal| OperationFailure::busy(&refusal.to_string(), BEGIN_RETRY))?;
        let endpoint = permit.endpoint;
        let target = StatementTarget { endpoint, permit: Some(permit), min_position: None };
        let begun = forward::begin(ctx, target, self.is_read_only, request, timing).await;
        // `BEGIN` changes no data, so its failure is reported like that of a read, even if it was
        // sent.
        begun.map_err(|error| primary_failure(AccessMode::Read, error))
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
