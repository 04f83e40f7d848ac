//! Execution of one statement on one endpoint.

use std::rc::Rc;

use serde_json::json;
use tanagerdeal_adapter::line;
use tanagerdeal_core::ledger::capacity::WorkClass;
use tanagerdeal_core::ledger::clock::BootInstant;
use tanagerdeal_core::ledger::endpoint::{EndpointKey, LogPosition};
use tanagerdeal_core::ledger::position::PrimaryObservation;
use tanagerdeal_core::ledger::session::{PreparedShape, SessionSetup};
use tanagerdeal_core::ledger::state::{HostState, PrimaryPermit, PrimaryRefusal};
use tanagerdeal_core::ledger::statement::{AccessMode, FailureReason};

use super::connection::{ConnectionError, EndpointReply};
use super::context::{HostContext, boot_now};
use super::gate;
use super::journal;
use super::operation::StatementTiming;
use super::pool::{AcquireError, PooledConnection, acquire};
use super::usage::UsageGuard;

/// Customer name sent to endpoints for clients that belong to no customer.
pub(super) const ANONYMOUS_CUSTOMER: &str = "-";

/// A statement to be sent to an endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct AccessRequest<'a> {
    /// Request id assigned by the client.
    pub(super) id: &'a str,
    /// Text in the form sent to endpoints.
    pub(super) text: &'a str,
    /// Whether the statement reads or writes.
    pub(super) mode: AccessMode,
    /// Prepared statement that the text executes, if any.
    pub(super) prepared: Option<&'a PreparedShape>,
    /// Priority of the route; 0 is the highest.
    pub(super) priority: u8,
    /// Kind of work, of which an endpoint's speed is learned.
    pub(super) work: WorkClass,
}

/// Endpoint for a statement, and what it needs there.
#[derive(Clone, Copy, Debug)]
pub(super) struct StatementTarget {
    pub(super) endpoint: EndpointKey,
    /// Permission to use the endpoint as the primary of its group, if it is that.
    pub(super) permit: Option<PrimaryPermit>,
    /// Position that the endpoint's log must have reached.
    pub(super) min_position: Option<LogPosition>,
}

/// Host, group, customer and session for which a statement runs.
#[derive(Clone, Copy)]
pub(super) struct StatementContext<'a> {
    pub(super) host: &'a Rc<HostContext>,
    pub(super) group: &'a str,
    pub(super) customer: &'a str,
    pub(super) session: &'a SessionSetup,
}

/// Reason why a statement has no reply, and whether any byte of it was sent.
#[derive(Clone, Debug, thiserror::Error)]
pub(super) enum RunError {
    /// No connection was available; nothing was sent.
    #[error("{0}")]
    NoConnection(AcquireError),
    /// The connection could not be set up for the session; the statement was not sent.
    #[error("{0}")]
    NotSent(ConnectionError),
    /// The statement was sent, but no complete reply arrived.
    #[error("{0}")]
    Sent(ConnectionError),
}

/// Updates the endpoint's position, latency and failure count from the result of an exchange.
/// `request` is the id of the client's statement, or `-` for statements of the proxy itself.
pub(super) fn note_outcome(
    host: &HostContext,
    endpoint: EndpointKey,
    request: &str,
    outcome: &Result<EndpointReply, ConnectionError>,
) {
    let now = boot_now();
    let mut host_state = host.state.borrow_mut();
    let Some(state) = host_state.endpoints.get_mut(endpoint) else { return };
    match outcome {
        Ok(reply) => {
            state.note_reply(reply.position, now.since(reply.sent_at), now);
            match reply.failure {
                Some(FailureReason::Lagging) => state.note_lagging(now),
                Some(FailureReason::Busy) => state.note_busy(now),
                _ => (),
            }
        }
        Err(ConnectionError::Revoked | ConnectionError::Refused(_)) => (),
        Err(error) => {
            state.note_failure(now);
            let (id, failures) = (state.record.id.clone(), state.failures);
            journal::request("exchange_failed", || {
                json!({ "request": request, "endpoint": id, "failures": failures,
                        "reason": error.to_string() })
            });
        }
    }
}

/// Records the position in a primary's reply to a statement that succeeded.
pub(super) fn observe_position(
    ctx: StatementContext<'_>,
    permit: PrimaryPermit,
    reply: &EndpointReply,
) {
    if let (Some(position), None) = (reply.position, reply.failure) {
        let observation = PrimaryObservation { sent_at: reply.sent_at, position };
        let mut host_state = ctx.host.state.borrow_mut();
        host_state.observe_primary(ctx.group, permit, observation, boot_now());
    }
}

/// Counts a statement as in flight at an endpoint until the guard is dropped.
pub(super) struct InFlightGuard<'a> {
    host: &'a HostContext,
    endpoint: EndpointKey,
}

impl<'a> InFlightGuard<'a> {
    pub(super) fn new(host: &'a HostContext, endpoint: EndpointKey) -> Self {
        if let Some(state) = host.state.borrow_mut().endpoints.get_mut(endpoint) {
            state.in_flight += 1;
        }
        Self { host, endpoint }
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        if let Some(state) = self.host.state.borrow_mut().endpoints.get_mut(self.endpoint) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }
}

/// Acquires a connection and applies the session's values and the request's prepared statement.
async fn prepared_connection(
    ctx: StatementContext<'_>,
    endpoint: EndpointKey,
    request: AccessRequest<'_>,
    timing: StatementTiming,
    is_queued: bool,
) -> Result<PooledConnection, RunError> {
    let acquired =
        acquire(ctx.host, endpoint, ctx.customer, timing.connection_deadline(is_queued)).await;
    let mut pooled = acquired.map_err(RunError::NoConnection)?;
    let connection = pooled.connection().map_err(RunError::NotSent)?;
    let done = connection.apply_session(ctx.session, request.prepared, None, timing.deadline).await;
    done.map_err(RunError::NotSent)?;
    Ok(pooled)
}

impl StatementTarget {
    /// Position that the endpoint's log must have reached for a read: on the primary also the newest
    /// one that this host knows.
    pub(super) fn read_position(&self, host_state: &HostState, group: &str) -> Option<LogPosition> {
        match self.permit {
            Some(_) => newest_position(host_state, group).max(self.min_position),
            None => self.min_position,
        }
    }
}

/// Runs a statement outside a transaction on a connection of this host.
///
/// # Errors
///
/// Fails when there is no complete reply; the error shows whether the statement was sent.
pub(super) async fn run(
    ctx: StatementContext<'_>,
    target: StatementTarget,
    request: AccessRequest<'_>,
    timing: StatementTiming,
) -> Result<EndpointReply, RunError> {
    match target.permit {
        Some(permit) => run_on_primary(ctx, target, permit, request, timing).await,
        None => run_single(ctx, target, request, timing).await,
    }
}

/// Runs a statement outside a transaction on one endpoint.
///
/// # Errors
///
/// Fails when there is no complete reply; the error shows whether the statement was sent.
async fn run_single(
    ctx: StatementContext<'_>,
    target: StatementTarget,
    request: AccessRequest<'_>,
    timing: StatementTiming,
) -> Result<EndpointReply, RunError> {
    let StatementTarget { endpoint, min_position, .. } = target;
    let deadline = timing.deadline;
    let admitted = gate::admit(ctx, endpoint, request, timing.queue_deadline, false).await?;
    let _in_flight = InFlightGuard::new(ctx.host, endpoint);
    let is_queued = admitted.is_some();
    let mut pooled = prepared_connection(ctx, endpoint, request, timing, is_queued).await?;
    check_not_leaving(ctx, endpoint, None)?;
    let connection = pooled.connection().map_err(RunError::NotSent)?;
    let text = line::forward(request.id, request.text, min_position);
    let usage = UsageGuard::new(ctx.host, ctx.customer);
    let outcome = connection.exchange(&text, deadline).await;
    note_outcome(ctx.host, endpoint, request.id, &outcome);
    let outcome = outcome.map_err(RunError::Sent);
    admitted.inspect(|admitted| admitted.note(&outcome));
    let reply = usage.finish(outcome)?;
    pooled.release_if_idle(reply.state);
    Ok(reply)
}

/// Runs a statement outside a transaction on a group's primary. `permit` is checked again just
/// before the statement is sent, and the statement is aborted when a failover begins.
///
/// # Errors
///
/// Fails as [`run_single`] does.
async fn run_on_primary(
    ctx: StatementContext<'_>,
    target: StatementTarget,
    permit: PrimaryPermit,
    request: AccessRequest<'_>,
    timing: StatementTiming,
) -> Result<EndpointReply, RunError> {
    let (host, group, deadline) = (ctx.host, ctx.group, timing.deadline);
    let admitted = gate::admit(ctx, permit.endpoint, request, timing.queue_deadline, false).await?;
    let _in_flight = InFlightGuard::new(host, permit.endpoint);
    let is_queued = admitted.is_some();
    let mut pooled = prepared_connection(ctx, permit.endpoint, request, timing, is_queued).await?;
    check_not_leaving(ctx, permit.endpoint, Some(permit))?;
    let min_position = match request.mode {
        AccessMode::Read => target.read_position(&host.state.borrow(), group),
        AccessMode::Write => None,
    };
    let text = line::forward(request.id, request.text, min_position);
    let usage = UsageGuard::new(host, ctx.customer);
    let outcome = exchange_on_primary(ctx, permit, &mut pooled, request.id, &text, deadline).await;
    admitted.inspect(|admitted| admitted.note(&outcome));
    let reply = usage.finish(outcome)?;
    pooled.release_if_idle(reply.state);
    Ok(reply)
}

/// Checks that an endpoint has not begun to leave while a statement waited.
///
/// # Errors
///
/// Fails when no new work may be sent to the endpoint any more.
pub(super) fn check_not_leaving(
    ctx: StatementContext<'_>,
    endpoint: EndpointKey,
    permit: Option<PrimaryPermit>,
) -> Result<(), RunError> {
    let host_state = ctx.host.state.borrow();
    let is_leaving = match permit {
        Some(_) => {
            let refusal = host_state.primary_permit(ctx.group, boot_now()).err();
            refusal == Some(PrimaryRefusal::Leaving)
        }
        None => {
            let state = host_state.endpoints.get(endpoint);
            state.is_none_or(|state| host_state.is_leaving(state))
        }
    };
    match is_leaving {
        true => Err(RunError::NoConnection(AcquireError::Gone)),
        false => Ok(()),
    }
}

/// Returns the newest known log position of a group's primary.
fn newest_position(host_state: &HostState, group: &str) -> Option<LogPosition> {
    let newest = host_state.positions.get(group)?.newest()?;
    (newest.position > LogPosition::default()).then_some(newest.position)
}

/// Sends a message to a primary and waits for the reply, as long as `permit` remains valid.
///
/// # Errors
///
/// Fails with [`RunError::NotSent`] when `permit` is no longer valid, and otherwise as
/// [`super::connection::EndpointConnection::exchange`] does.
pub(super) async fn exchange_on_primary(
    ctx: StatementContext<'_>,
    permit: PrimaryPermit,
    pooled: &mut PooledConnection,
    request: &str,
    text: &str,
    deadline: BootInstant,
) -> Result<EndpointReply, RunError> {
    let (host, group) = (ctx.host, ctx.group);
    let usage = host.begin_primary_use(group, permit);
    if !host.is_permit_valid(group, permit) {
        return Err(RunError::NotSent(ConnectionError::Revoked));
    }
    let connection = pooled.connection().map_err(RunError::NotSent)?;
    let outcome = tokio::select! {
        outcome = connection.exchange(text, deadline) => outcome,
        () = usage.revoked() => Err(ConnectionError::Revoked),
    };
    note_outcome(host, permit.endpoint, request, &outcome);
    let reply = outcome.map_err(RunError::Sent)?;
    // A commit whose reply arrives after the lease has expired may have been made by a primary that
    // has been replaced in the meantime.
    if !host.state.borrow().has_lease_for(group, boot_now()) {
        return Err(RunError::Sent(ConnectionError::Revoked));
    }
    observe_position(ctx, permit, &reply);
    Ok(reply)
}
