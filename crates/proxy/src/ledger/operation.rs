//! Statements outside transactions: endpoint selection, retries of reads, and the failures that
//! are reported to clients.

use std::time::Duration;

use serde_json::json;
use tanagerdeal_core::ledger::catalog::{DatabaseRoute, ReadConsistency};
use tanagerdeal_core::ledger::clock::BootInstant;
use tanagerdeal_core::ledger::endpoint::{EndpointKey, LogPosition};
use tanagerdeal_core::ledger::statement::{AccessMode, FailureReason};

use super::connection::{ConnectionError, EndpointReply};
use super::context::{HostContext, boot_now};
use super::forward;
use super::journal;
use super::observations;
use super::pool::AcquireError;
use super::statement::{AccessRequest, RunError, StatementContext, StatementTarget};

/// Most endpoints that are tried for one read.
const MAX_READ_ATTEMPTS: usize = 5;
/// Retry delay for a client when no connection is free or no endpoint can serve a read.
const BUSY_RETRY: Duration = Duration::from_millis(60);
/// Retry delay for a client during a failover.
const FAILOVER_RETRY: Duration = Duration::from_millis(400);
/// Divisor of the route's latency objective that gives the longest wait for a connection or a rate
/// token. A later refusal would leave the client too little time to try another host.
const WAIT_TIME_DIVISOR: u32 = 4;
/// The same for the longest wait in the queue of a pool host, which sees all work of its endpoint
/// and refuses at once what cannot be served by then.
const QUEUE_TIME_DIVISOR: u32 = 2;
/// Longest wait for a connection after the queue of a pool host: an idle endpoint accepts one in
/// 12 ms, and one that was full is asked again after 40 ms.
const QUEUED_CONNECTION_WAIT: Duration = Duration::from_millis(60);

/// A failure that is reported to the client.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct OperationFailure {
    /// Failure code sent to the client.
    pub(super) reason: FailureReason,
    /// Explanation for the client and the log.
    pub(super) text: String,
    /// Delay before the client should retry; `None` if a retry is not suggested.
    pub(super) retry_after: Option<Duration>,
}

/// Start and time limits of one statement.
#[derive(Clone, Copy, Debug)]
pub(super) struct StatementTiming {
    /// Start of the client's operation.
    pub(super) began_at: BootInstant,
    /// Latest instant up to which the statement waits for a connection or a rate token.
    pub(super) wait_deadline: BootInstant,
    /// Latest instant up to which the statement waits in the queue of a pool host.
    pub(super) queue_deadline: BootInstant,
    /// Instant at which the statement times out.
    pub(super) deadline: BootInstant,
}

impl OperationFailure {
    /// Creates a `Busy` failure: nothing was sent to an endpoint, so the client may retry.
    pub(super) fn busy(text: &str, retry_after: Duration) -> Self {
        let retry_after = Some(retry_after);
        Self { reason: FailureReason::Busy, text: text.to_owned(), retry_after }
    }

    /// Creates a failure without a retry delay.
    pub(super) fn new(reason: FailureReason, text: &str) -> Self {
        Self { reason, text: text.to_owned(), retry_after: None }
    }

    /// Returns the text for the client, with the retry delay if there is one.
    pub(super) fn message(&self) -> String {
        match self.retry_after {
            Some(after) => format!("{}; retry after {} ms", self.text, after.as_millis()),
            None => self.text.clone(),
        }
    }
}

impl StatementTiming {
    /// Computes the limits of a statement that arrives now.
    pub(super) fn new(route: &DatabaseRoute, began_at: BootInstant) -> Self {
        let now = boot_now();
        Self {
            began_at,
            wait_deadline: now.after(route.objective / WAIT_TIME_DIVISOR),
            queue_deadline: now.after(route.objective / QUEUE_TIME_DIVISOR),
            deadline: now.after(route.statement_limit),
        }
    }

    /// Latest instant up to which the statement waits for a connection. One that was queued before
    /// holds a place among those that run, so it waits only as long as opening one takes.
    pub(super) fn connection_deadline(&self, is_queued: bool) -> BootInstant {
        match is_queued {
            true => boot_now().after(QUEUED_CONNECTION_WAIT).min(self.deadline),
            false => self.wait_deadline,
        }
    }
}

/// Runs a read outside a transaction. If an endpoint cannot serve it, others are tried.
///
/// # Errors
///
/// Fails when no endpoint has answered the read.
pub(super) async fn run_read(
    ctx: StatementContext<'_>,
    route: &DatabaseRoute,
    last_write: Option<LogPosition>,
    request: AccessRequest<'_>,
    timing: StatementTiming,
) -> Result<EndpointReply, OperationFailure> {
    if route.consistency == ReadConsistency::Current {
        return run_primary(ctx, request, timing).await;
    }
    let (host, group) = (ctx.host, ctx.group);
    let min_position =
        observations::min_read_position(host, route, last_write, timing.began_at).await;
    let mut tried: Vec<EndpointKey> = Vec::new();
    let mut last_failure = OperationFailure::busy("no endpoint can serve the read now", BUSY_RETRY);
    for _ in 0..MAX_READ_ATTEMPTS {
        let target = host.state.borrow().read_target(group, min_position, &tried, boot_now());
        let Some(endpoint) = target else { break };
        tried.push(endpoint);
        let permit = host.state.borrow().primary_permit(group, boot_now()).ok();
        let permit = permit.filter(|permit| permit.endpoint == endpoint);
        let target = StatementTarget { endpoint, permit, min_position };
        let result = forward::run(ctx, target, request, timing).await;
        match classify_read(ctx.host, endpoint, request, result) {
            ReadOutcome::Reply(reply) => return Ok(reply),
            ReadOutcome::TryNext(failure) => last_failure = failure,
            ReadOutcome::Fail(failure) => return Err(failure),
        }
    }
    Err(last_failure)
}

enum ReadOutcome {
    Reply(EndpointReply),
    TryNext(OperationFailure),
    Fail(OperationFailure),
}

/// Decides how a read goes on after a result. A read has no effect, so it may be retried on another
/// endpoint after any failure except a time-out.
fn classify_read(
    host: &HostContext,
    endpoint: EndpointKey,
    request: AccessRequest<'_>,
    result: Result<EndpointReply, RunError>,
) -> ReadOutcome {
    let (reason, outcome) = match result {
        Ok(reply) => match reply.failure {
            Some(
                reason @ (FailureReason::Lagging
                | FailureReason::Busy
                | FailureReason::ReadOnly
                | FailureReason::Misrouted
                | FailureReason::UnknownPrepared),
            ) => {
                let failure =
                    OperationFailure::busy("no endpoint can serve the read now", BUSY_RETRY);
                (format!("{reason:?}"), ReadOutcome::TryNext(failure))
            }
            _ => return ReadOutcome::Reply(reply),
        },
        Err(error @ (RunError::NoConnection(_) | RunError::NotSent(_))) => {
            let failure = OperationFailure::busy(&error.to_string(), retry_after(&error));
            (error.to_string(), ReadOutcome::TryNext(failure))
        }
        Err(RunError::Sent(ConnectionError::TimedOut)) => {
            let failure = OperationFailure::new(FailureReason::TimedOut, "no reply in time");
            ("no reply in time".to_owned(), ReadOutcome::Fail(failure))
        }
        Err(RunError::Sent(error)) => {
            let failure = OperationFailure::new(FailureReason::Aborted, &error.to_string());
            (error.to_string(), ReadOutcome::TryNext(failure))
        }
    };
    let id = host.state.borrow().endpoints.get(endpoint).map(|state| state.record.id.clone());
    journal::request(
        "read_retried",
        || json!({ "request": request.id, "endpoint": id, "reason": reason }),
    );
    outcome
}

/// Runs a statement outside a transaction on the primary.
///
/// # Errors
///
/// Fails when the primary may not be used or has not answered. A write that was sent is not sent
/// again.
pub(super) async fn run_primary(
    ctx: StatementContext<'_>,
    request: AccessRequest<'_>,
    timing: StatementTiming,
) -> Result<EndpointReply, OperationFailure> {
    let permit = ctx.host.state.borrow().primary_permit(ctx.group, boot_now());
    let permit =
        permit.map_err(|refusal| OperationFailure::busy(&refusal.to_string(), FAILOVER_RETRY))?;
    let target =
        StatementTarget { endpoint: permit.endpoint, permit: Some(permit), min_position: None };
    let result = forward::run(ctx, target, request, timing).await;
    result.map_err(|error| primary_failure(request.mode, error))
}

/// Retry delay for a client whose statement was not sent.
fn retry_after(error: &RunError) -> Duration {
    match error {
        RunError::NoConnection(AcquireError::Backlog { retry_after }) => *retry_after,
        _ => BUSY_RETRY,
    }
}

/// Maps the failure of a statement without a reply to the failure reported to the client.
pub(super) fn primary_failure(mode: AccessMode, error: RunError) -> OperationFailure {
    match (mode, error) {
        (_, RunError::NoConnection(AcquireError::Exhausted)) => {
            OperationFailure::busy("no free connection to the primary", BUSY_RETRY)
        }
        (_, error @ RunError::NoConnection(AcquireError::Backlog { .. })) => {
            OperationFailure::busy(&error.to_string(), retry_after(&error))
        }
        (_, RunError::NoConnection(error)) => {
            OperationFailure::busy(&error.to_string(), FAILOVER_RETRY)
        }
        (_, RunError::NotSent(error)) => OperationFailure::busy(&error.to_string(), BUSY_RETRY),
        (AccessMode::Read, RunError::Sent(ConnectionError::TimedOut)) => {
            OperationFailure::new(FailureReason::TimedOut, "no reply in time")
        }
        (AccessMode::Read, RunError::Sent(error)) => {
            OperationFailure::new(FailureReason::Aborted, &error.to_string())
        }
        (AccessMode::Write, RunError::Sent(error)) => {
            OperationFailure::new(FailureReason::InDoubt, &error.to_string())
        }
    }
}
