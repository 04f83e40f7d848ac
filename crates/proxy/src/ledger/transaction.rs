//! Transactions: bound to one connection from their first statement to their end.

use std::sync::Arc;
use std::time::Duration;

use tanagerdeal_adapter::line;
use tanagerdeal_core::ledger::book::PrimaryRight;
use tanagerdeal_core::ledger::catalog::{DatabaseRoute, ReadConsistency};
use tanagerdeal_core::ledger::clock::BootInstant;
use tanagerdeal_core::ledger::endpoint::{EndpointKey, LogPosition};
use tanagerdeal_core::ledger::floor::PrimaryObservation;
use tanagerdeal_core::ledger::statement::{AccessMode, FailureReason, SessionState};

use super::context::boot_now;
use super::floors;
use super::link::{EndpointReply, LinkError};
use super::operation::{OperationFailure, StatementTimes, primary_failure};
use super::pool::{BorrowedLink, acquire};
use super::statement::{
    AccessRequest, FlightGuard, RunError, RunPlace, exchange_on_primary, newest_position,
    note_outcome,
};

/// Endpoints that the beginning of a transaction of reads tries.
const MAX_BEGIN_ATTEMPTS: usize = 4;
/// Id of statements that the proxy issues itself, in log lines.
const OWN_ID: &str = "-";
/// Time after which a client should come back when a transaction cannot begin.
const BEGIN_RETRY: Duration = Duration::from_millis(80);

/// A transaction of a client.
pub(super) struct OpenTransaction {
    /// Route in effect when it began.
    pub(super) route: Arc<DatabaseRoute>,
    /// Whether the client promised to read only.
    pub(super) is_read_only: bool,
    /// When it began.
    pub(super) began_at: BootInstant,
    /// Whether a write was sent.
    pub(super) has_written: bool,
    bound: Option<BoundLink>,
}

/// Connection of a transaction.
struct BoundLink {
    link: BorrowedLink,
    /// The right under which it uses the primary; nothing on a replica.
    right: Option<PrimaryRight>,
}

impl OpenTransaction {
    /// A transaction that is not bound to a connection yet.
    pub(super) fn new(route: Arc<DatabaseRoute>, is_read_only: bool) -> Self {
        let began_at = boot_now();
        Self { route, is_read_only, began_at, has_written: false, bound: None }
    }

    /// Runs a statement of the transaction.
    ///
    /// # Errors
    ///
    /// Fails when there is no reply. The transaction is over then, and nothing of it is kept.
    pub(super) async fn run(
        &mut self,
        place: RunPlace<'_>,
        written: Option<LogPosition>,
        request: AccessRequest<'_>,
    ) -> Result<EndpointReply, OperationFailure> {
        self.bind(place, written, request).await?;
        self.has_written |= request.mode == AccessMode::Write;
        let deadline = StatementTimes::new(&self.route, self.began_at).deadline;
        let text = line::forward(request.id, request.text, None);
        self.exchange(place, request.id, &text, deadline).await.map_err(aborted)
    }

    /// Commits the transaction.
    ///
    /// # Errors
    ///
    /// Fails when there is no reply; the outcome is unknown if the transaction has written.
    pub(super) async fn commit(
        mut self,
        place: RunPlace<'_>,
        written: Option<LogPosition>,
        request: AccessRequest<'_>,
    ) -> Result<EndpointReply, OperationFailure> {
        self.bind(place, written, request).await?;
        let deadline = StatementTimes::new(&self.route, self.began_at).deadline;
        let text = line::forward(request.id, request.text, None);
        match self.exchange(place, request.id, &text, deadline).await {
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

    /// Rolls the transaction back. A connection that does not answer is closed, which has the same
    /// effect.
    pub(super) async fn roll_back(mut self, place: RunPlace<'_>) {
        let Some(bound) = self.bound.as_mut() else { return };
        let deadline = StatementTimes::new(&self.route, self.began_at).deadline;
        let endpoint = bound.link.endpoint();
        let Ok(link) = bound.link.link() else { return };
        let outcome = link.exchange(&line::rollback(), deadline).await;
        note_outcome(place.host, endpoint, OWN_ID, &outcome);
        if let Ok(reply) = outcome {
            self.release(reply.state);
        }
    }

    fn release(&mut self, state: SessionState) {
        if let Some(bound) = self.bound.take() {
            bound.link.release_if_idle(state);
        }
    }

    async fn exchange(
        &mut self,
        place: RunPlace<'_>,
        request: &str,
        text: &str,
        deadline: BootInstant,
    ) -> Result<EndpointReply, RunError> {
        let not_bound = || RunError::NotSent(LinkError::Lost("not bound".to_owned()));
        let bound = self.bound.as_mut().ok_or_else(not_bound)?;
        let endpoint = bound.link.endpoint();
        let _flight = FlightGuard::new(place.host, endpoint);
        match bound.right {
            Some(right) => {
                exchange_on_primary(place, right, &mut bound.link, request, text, deadline).await
            }
            None => {
                let link = bound.link.link().map_err(RunError::NotSent)?;
                let outcome = link.exchange(text, deadline).await;
                note_outcome(place.host, endpoint, request, &outcome);
                outcome.map_err(RunError::Sent)
            }
        }
    }

    /// Binds the transaction at its first statement, and brings its connection to the session's
    /// image before each one.
    async fn bind(
        &mut self,
        place: RunPlace<'_>,
        written: Option<LogPosition>,
        request: AccessRequest<'_>,
    ) -> Result<(), OperationFailure> {
        let times = StatementTimes::new(&self.route, self.began_at);
        match self.bound.as_mut() {
            Some(bound) => {
                let link = bound.link.link().map_err(|error| aborted(RunError::NotSent(error)))?;
                let done = link.set_up(place.session, request.prepared, None, times.deadline).await;
                done.map_err(|error| aborted(RunError::NotSent(error)))?;
                Ok(())
            }
            None if self.is_read_only && self.route.consistency != ReadConsistency::Current => {
                self.bind_read(place, written, request, times).await
            }
            None => self.bind_primary(place, request, times).await,
        }
    }

    async fn bind_read(
        &mut self,
        place: RunPlace<'_>,
        written: Option<LogPosition>,
        request: AccessRequest<'_>,
        times: StatementTimes,
    ) -> Result<(), OperationFailure> {
        let (host, group) = (place.host, place.group);
        let floor = floors::read_floor(host, &self.route, written, self.began_at).await;
        let mut tried: Vec<EndpointKey> = Vec::new();
        for _ in 0..MAX_BEGIN_ATTEMPTS {
            let target = host.book.borrow().read_target(group, floor, &tried, boot_now());
            let Some(endpoint) = target else { break };
            tried.push(endpoint);
            let right = host.book.borrow().primary_right(group, boot_now()).ok();
            let right = right.filter(|right| right.endpoint == endpoint);
            let begun = begin(place, endpoint, right, true, floor, request, times).await;
            if let Ok(link) = begun {
                self.bound = Some(BoundLink { link, right });
                return Ok(());
            }
        }
        Err(OperationFailure::busy("no endpoint can serve the transaction now", BEGIN_RETRY))
    }

    async fn bind_primary(
        &mut self,
        place: RunPlace<'_>,
        request: AccessRequest<'_>,
        times: StatementTimes,
    ) -> Result<(), OperationFailure> {
        let right = place.host.book.borrow().primary_right(place.group, boot_now());
        let right =
            right.map_err(|refusal| OperationFailure::busy(&refusal.to_string(), BEGIN_RETRY))?;
        let floor = newest_position(place.host, place.group);
        let is_read_only = self.is_read_only;
        let begun =
            begin(place, right.endpoint, Some(right), is_read_only, floor, request, times).await;
        // The beginning of a transaction has no effect, whether it was sent or not.
        let link = begun.map_err(|error| primary_failure(AccessMode::Read, error))?;
        self.bound = Some(BoundLink { link, right: Some(right) });
        Ok(())
    }
}

/// Opens a transaction at an endpoint. The first statement is sent only after the endpoint has
/// confirmed this, as it would run outside a transaction otherwise.
async fn begin(
    place: RunPlace<'_>,
    endpoint: EndpointKey,
    right: Option<PrimaryRight>,
    is_read_only: bool,
    floor: Option<LogPosition>,
    request: AccessRequest<'_>,
    times: StatementTimes,
) -> Result<BorrowedLink, RunError> {
    let host = place.host;
    let acquired = acquire(host, endpoint, place.customer, times.wait_until).await;
    let mut borrowed = acquired.map_err(RunError::NoConnection)?;
    let link = borrowed.link().map_err(RunError::NotSent)?;
    let text = line::begin(is_read_only, floor);
    let outcome = link.set_up(place.session, request.prepared, Some(&text), times.deadline).await;
    let outcome = outcome.and_then(|reply| {
        reply.ok_or_else(|| LinkError::Lost("no reply to the beginning".to_owned()))
    });
    note_outcome(host, endpoint, request.id, &outcome);
    let reply = outcome.map_err(RunError::NotSent)?;
    match (reply.failure, reply.position, right) {
        (Some(reason), ..) => {
            borrowed.release_if_idle(reply.state);
            Err(RunError::NotSent(LinkError::Refused(reason)))
        }
        (None, Some(position), Some(right)) => {
            let observation = PrimaryObservation { sent_at: reply.sent_at, position };
            host.book.borrow_mut().observe_primary(place.group, right, observation, boot_now());
            Ok(borrowed)
        }
        _ => Ok(borrowed),
    }
}

/// A statement of an open transaction failed: the connection is closed, which rolls back.
fn aborted(error: RunError) -> OperationFailure {
    OperationFailure {
        reason: FailureReason::Aborted,
        text: format!("rolled back: {error}"),
        retry_after: Some(BEGIN_RETRY),
    }
}
