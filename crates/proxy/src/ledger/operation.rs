//! Operations of one statement: where they run, and what a failure means for the client.

use std::time::Duration;

use serde_json::json;
use tanagerdeal_core::ledger::catalog::{DatabaseRoute, ReadConsistency};
use tanagerdeal_core::ledger::clock::BootInstant;
use tanagerdeal_core::ledger::endpoint::{EndpointKey, LogPosition};
use tanagerdeal_core::ledger::statement::{AccessMode, FailureReason};

use super::context::{HostContext, boot_now};
use super::floors;
use super::journal;
use super::link::{EndpointReply, LinkError};
use super::pool::AcquireError;
use super::statement::{AccessRequest, RunError, RunPlace, run_on_primary, run_single};

/// Endpoints that one read tries.
const MAX_READ_ATTEMPTS: usize = 5;
/// Time after which a client should come back when a host has no free connection.
const FULL_RETRY: Duration = Duration::from_millis(60);
/// Time after which a client should come back while a primary is being changed.
const CHANGE_RETRY: Duration = Duration::from_millis(400);
/// Part of an operation's objective that it may wait for a connection: a later refusal would leave
/// the client too little time to try another host.
const WAIT_DIVISOR: u32 = 4;

/// A final negative answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct OperationFailure {
    /// What the client is told.
    pub(super) reason: FailureReason,
    /// Why, for the client and the log.
    pub(super) text: String,
    /// When the client should come back.
    pub(super) retry_after: Option<Duration>,
}

/// Time limits of one statement.
#[derive(Clone, Copy, Debug)]
pub(super) struct StatementTimes {
    /// When its client's operation began.
    pub(super) began_at: BootInstant,
    /// Until when it may wait for a connection.
    pub(super) wait_until: BootInstant,
    /// When it is given up.
    pub(super) deadline: BootInstant,
}

impl OperationFailure {
    /// A failure of which nothing was sent.
    pub(super) fn busy(text: &str, retry_after: Duration) -> Self {
        let retry_after = Some(retry_after);
        Self { reason: FailureReason::Busy, text: text.to_owned(), retry_after }
    }

    /// A failure with a reason.
    pub(super) fn new(reason: FailureReason, text: &str) -> Self {
        Self { reason, text: text.to_owned(), retry_after: None }
    }

    /// The text for the client.
    pub(super) fn message(&self) -> String {
        match self.retry_after {
            Some(after) => format!("{}; retry after {} ms", self.text, after.as_millis()),
            None => self.text.clone(),
        }
    }
}

impl StatementTimes {
    /// Limits of a statement that arrives now.
    pub(super) fn new(route: &DatabaseRoute, began_at: BootInstant) -> Self {
        let now = boot_now();
        let wait = route.objective / WAIT_DIVISOR;
        Self { began_at, wait_until: now.after(wait), deadline: now.after(route.statement_limit) }
    }
}

/// Runs a read that is not in a transaction.
///
/// # Errors
///
/// Fails when no endpoint has answered it.
pub(super) async fn read(
    place: RunPlace<'_>,
    route: &DatabaseRoute,
    written: Option<LogPosition>,
    request: AccessRequest<'_>,
    times: StatementTimes,
) -> Result<EndpointReply, OperationFailure> {
    if route.consistency == ReadConsistency::Current {
        return primary(place, request, times).await;
    }
    let (host, group) = (place.host, place.group);
    let floor = floors::read_floor(host, route, written, times.began_at).await;
    let mut tried: Vec<EndpointKey> = Vec::new();
    let mut last = OperationFailure::busy("no endpoint can serve the read now", FULL_RETRY);
    for _ in 0..MAX_READ_ATTEMPTS {
        let target = host.book.borrow().read_target(group, floor, &tried, boot_now());
        let Some(endpoint) = target else { break };
        tried.push(endpoint);
        let right = host.book.borrow().primary_right(group, boot_now()).ok();
        let StatementTimes { wait_until, deadline, .. } = times;
        let result = match right.filter(|right| right.endpoint == endpoint) {
            Some(right) => run_on_primary(place, right, request, wait_until, deadline).await,
            None => run_single(place, endpoint, request, floor, wait_until, deadline).await,
        };
        match read_step(place.host, endpoint, request, result) {
            ReadStep::Answer(reply) => return Ok(reply),
            ReadStep::Next(failure) => last = failure,
            ReadStep::Stop(failure) => return Err(failure),
        }
    }
    Err(last)
}

enum ReadStep {
    Answer(EndpointReply),
    Next(OperationFailure),
    Stop(OperationFailure),
}

/// A read has no effect, so it may be tried elsewhere after any failure but one of time.
fn read_step(
    host: &HostContext,
    endpoint: EndpointKey,
    request: AccessRequest<'_>,
    result: Result<EndpointReply, RunError>,
) -> ReadStep {
    let (reason, step) = match result {
        Ok(reply) => match reply.failure {
            Some(
                reason @ (FailureReason::Lagging
                | FailureReason::Busy
                | FailureReason::ReadOnly
                | FailureReason::Misrouted
                | FailureReason::UnknownPrepared),
            ) => {
                let failure =
                    OperationFailure::busy("no endpoint can serve the read now", FULL_RETRY);
                (format!("{reason:?}"), ReadStep::Next(failure))
            }
            _ => return ReadStep::Answer(reply),
        },
        Err(error @ (RunError::NoConnection(_) | RunError::NotSent(_))) => {
            let failure = OperationFailure::busy(&error.to_string(), FULL_RETRY);
            (error.to_string(), ReadStep::Next(failure))
        }
        Err(RunError::Sent(LinkError::TimedOut)) => {
            let failure = OperationFailure::new(FailureReason::TimedOut, "no reply in time");
            ("no reply in time".to_owned(), ReadStep::Stop(failure))
        }
        Err(RunError::Sent(error)) => {
            let failure = OperationFailure::new(FailureReason::Aborted, &error.to_string());
            (error.to_string(), ReadStep::Next(failure))
        }
    };
    let id = host.book.borrow().endpoints.get(endpoint).map(|state| state.record.id.clone());
    journal::request(
        "read_retried",
        || json!({ "request": request.id, "endpoint": id, "reason": reason }),
    );
    step
}

/// Runs a statement that is not in a transaction on the primary.
///
/// # Errors
///
/// Fails when the primary may not be used or has not answered. A write that was sent is never sent
/// again, unless the endpoint says that it has not run.
pub(super) async fn primary(
    place: RunPlace<'_>,
    request: AccessRequest<'_>,
    times: StatementTimes,
) -> Result<EndpointReply, OperationFailure> {
    let right = place.host.book.borrow().primary_right(place.group, boot_now());
    let right =
        right.map_err(|refusal| OperationFailure::busy(&refusal.to_string(), CHANGE_RETRY))?;
    let StatementTimes { wait_until, deadline, .. } = times;
    match run_on_primary(place, right, request, wait_until, deadline).await {
        Ok(reply) => Ok(reply),
        Err(error) => Err(primary_failure(request.mode, error)),
    }
}

/// What a client is told of a statement without a reply.
pub(super) fn primary_failure(mode: AccessMode, error: RunError) -> OperationFailure {
    match (mode, error) {
        (_, RunError::NoConnection(AcquireError::Full)) => {
            OperationFailure::busy("no free connection to the primary", FULL_RETRY)
        }
        (_, RunError::NoConnection(error)) => {
            OperationFailure::busy(&error.to_string(), CHANGE_RETRY)
        }
        (_, RunError::NotSent(error)) => OperationFailure::busy(&error.to_string(), FULL_RETRY),
        (AccessMode::Read, RunError::Sent(LinkError::TimedOut)) => {
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
