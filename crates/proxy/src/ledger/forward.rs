//! Pooling of connections between hosts: statements are run on this host's connections, or
//! forwarded to the pool host of their endpoint.
//!
//! See docs/design/pooling.md.

mod frames;
mod link;
mod message;
mod path;
mod server;
mod transaction;

use std::time::Duration;

use tanagerdeal_core::ledger::capacity::WorkKind;
use tanagerdeal_core::ledger::forwarding::{CallEnd, NextStep, StatementKind, next_step};
use tanagerdeal_core::ledger::statement::AccessMode;

use super::connection::{ConnectionError, EndpointReply};
use super::context::{HostContext, boot_now, whole_micros};
use super::operation::StatementTiming;
use super::pool::AcquireError;
use super::statement::{
    self, AccessRequest, RunError, StatementContext, StatementTarget, note_outcome,
    observe_position,
};
use link::CallError;
use message::{PreparedMessage, Request, StatementMessage};

pub(super) use link::HostLinks;
pub(super) use path::is_in_effect;
pub(super) use server::serve;
pub(super) use transaction::{BegunTransaction, BoundTransaction, begin};

/// Time that a reply needs from the pool host beyond the deadline of the statement, so that its own
/// verdict arrives.
const REPLY_MARGIN: Duration = Duration::from_millis(50);

fn count(host: &HostContext, outcome: &str) {
    host.metrics.forwarded.with_label_values(&[outcome]).inc();
}

/// Runs a statement outside a transaction at an endpoint.
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
    let kind = match request.mode {
        AccessMode::Read => StatementKind::Read,
        AccessMode::Write => StatementKind::Write,
    };
    for forwards in 1.. {
        let Some(pool_host) = path::connect(ctx.host, target.endpoint).await else { break };
        let call = pool_host.link.new_call();
        let statement = statement_message(ctx, target, request, timing)?;
        let deadline = timing.deadline.after(REPLY_MARGIN);
        let sent_at = boot_now();
        let message = Request::Run { call, statement };
        let called =
            pool_host.link.call(call, target.endpoint, message, waits_if_silent(kind), deadline);
        let ended = called.await.map(|result| result.into_result(sent_at));
        match (next_step(kind, call_end(&ended), forwards), ended) {
            (step @ (NextStep::TryNextPoolHost | NextStep::RunHere), Ok(Err(error))) => {
                path::note_declined(ctx.host, &pool_host.name, target.endpoint, &error);
                if step == NextStep::RunHere {
                    break;
                }
            }
            (NextStep::RunHere, Err(_)) => {
                count(ctx.host, "repeated");
                break;
            }
            (_, Ok(result)) => {
                note_result(ctx, target, request, &result);
                return result;
            }
            (_, Err(error)) => return Err(RunError::Sent(connection_error(error))),
        }
    }
    statement::run(ctx, target, request, timing).await
}

/// Whether a call goes on while its pool host does not reply.
fn waits_if_silent(kind: StatementKind) -> bool {
    next_step(kind, CallEnd::LinkSilent, 1) == NextStep::Wait
}

/// How a forwarded call ended.
fn call_end(ended: &Result<Result<EndpointReply, RunError>, CallError>) -> CallEnd {
    match ended {
        Ok(Ok(_)) => CallEnd::Replied,
        Ok(Err(RunError::Sent(_))) => CallEnd::Sent,
        Ok(Err(error)) => CallEnd::NotSent { is_declined: is_declined(error) },
        Err(CallError::Lost) => CallEnd::LinkLost,
        Err(CallError::Silent) => CallEnd::LinkSilent,
        Err(CallError::TimedOut) => CallEnd::TimedOut,
    }
}

fn connection_error(error: CallError) -> ConnectionError {
    match error {
        CallError::TimedOut => ConnectionError::TimedOut,
        error => ConnectionError::Lost(error.to_string()),
    }
}

/// Whether a pool host has not run a statement because it cannot use the endpoint, or not as the
/// primary. Another host may be able to.
fn is_declined(error: &RunError) -> bool {
    matches!(
        error,
        RunError::NoConnection(
            AcquireError::Unreachable(_) | AcquireError::Gone | AcquireError::Declined(_)
        ) | RunError::NotSent(ConnectionError::Revoked)
    )
}

/// The statement as it is sent to the pool host.
///
/// # Errors
///
/// Fails when the store's clock is not known or the endpoint is gone.
fn statement_message(
    ctx: StatementContext<'_>,
    target: StatementTarget,
    request: AccessRequest<'_>,
    timing: StatementTiming,
) -> Result<Box<StatementMessage>, RunError> {
    let host_state = ctx.host.state.borrow();
    let gone = || RunError::NoConnection(AcquireError::Gone);
    let clock = host_state.lease.clock().ok_or_else(gone)?;
    let state = host_state.endpoints.get(target.endpoint).ok_or_else(gone)?;
    let endpoint = state.record.id.clone();
    Ok(Box::new(StatementMessage {
        endpoint,
        customer: ctx.customer.to_owned(),
        values: ctx.session.values().map(|(name, value)| (name.clone(), value.clone())).collect(),
        prepared: request.prepared.map(PreparedMessage::from),
        request: request.id.to_owned(),
        text: request.text.to_owned(),
        is_write: request.mode == AccessMode::Write,
        is_commit: request.work.kind == WorkKind::Commit,
        on_primary: target.permit.is_some(),
        min_position: target.read_position(&host_state, ctx.group),
        route: request.work.route,
        priority: request.priority,
        wait_us: whole_micros(timing.queue_deadline.since(boot_now())),
        deadline: clock.earliest(timing.deadline),
    }))
}

/// Records what the result of a forwarded statement shows of its endpoint.
fn note_result(
    ctx: StatementContext<'_>,
    target: StatementTarget,
    request: AccessRequest<'_>,
    result: &Result<EndpointReply, RunError>,
) {
    let observed = match result {
        Ok(reply) => Ok(reply.clone()),
        Err(RunError::Sent(error)) => Err(error.clone()),
        Err(_) => return,
    };
    note_outcome(ctx.host, target.endpoint, request.id, &observed);
    if let (Ok(reply), Some(permit)) = (&observed, target.permit) {
        observe_position(ctx, permit, reply);
    }
}
