//! Running one statement on one endpoint.

use std::rc::Rc;

use serde_json::json;
use tanagerdeal_adapter::line;
use tanagerdeal_core::ledger::book::PrimaryRight;
use tanagerdeal_core::ledger::clock::BootInstant;
use tanagerdeal_core::ledger::endpoint::{EndpointKey, LogPosition};
use tanagerdeal_core::ledger::floor::PrimaryObservation;
use tanagerdeal_core::ledger::session::{PreparedShape, SessionImage};
use tanagerdeal_core::ledger::statement::{AccessMode, FailureReason};

use super::context::{HostContext, boot_now};
use super::journal;
use super::link::{EndpointReply, LinkError};
use super::pool::{AcquireError, BorrowedLink, acquire};

/// A statement that goes to an endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct AccessRequest<'a> {
    /// Id that the client gave it.
    pub(super) id: &'a str,
    /// Text as endpoints get it.
    pub(super) text: &'a str,
    /// Whether it writes.
    pub(super) mode: AccessMode,
    /// Prepared statement that it executes.
    pub(super) prepared: Option<&'a PreparedShape>,
}

/// Where and for whom a statement runs.
#[derive(Clone, Copy)]
pub(super) struct RunPlace<'a> {
    pub(super) host: &'a Rc<HostContext>,
    pub(super) group: &'a str,
    pub(super) customer: &'a str,
    pub(super) session: &'a SessionImage,
}

/// Why a statement has no reply, and whether a byte of it was sent.
#[derive(Clone, Debug, thiserror::Error)]
pub(super) enum RunError {
    /// No connection could be had; nothing was sent.
    #[error("{0}")]
    NoConnection(AcquireError),
    /// The connection could not be prepared; the statement was not sent.
    #[error("{0}")]
    NotSent(LinkError),
    /// The statement was sent and has no reply.
    #[error("{0}")]
    Sent(LinkError),
}

/// Tells the tables what an exchange with an endpoint has shown; `request` is the id of the client's
/// statement, or `-`.
pub(super) fn note_outcome(
    host: &HostContext,
    endpoint: EndpointKey,
    request: &str,
    outcome: &Result<EndpointReply, LinkError>,
) {
    let now = boot_now();
    let mut book = host.book.borrow_mut();
    let Some(state) = book.endpoints.get_mut(endpoint) else { return };
    match outcome {
        Ok(reply) => {
            state.note_reply(reply.position, now.since(reply.sent_at));
            match reply.failure {
                Some(FailureReason::Lagging) => state.note_lagging(now),
                Some(FailureReason::Busy) => state.note_busy(now),
                _ => (),
            }
        }
        Err(LinkError::Revoked | LinkError::Refused(_)) => (),
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

/// Counts a statement in flight at an endpoint until it is dropped.
pub(super) struct FlightGuard<'a> {
    host: &'a HostContext,
    endpoint: EndpointKey,
}

impl<'a> FlightGuard<'a> {
    pub(super) fn new(host: &'a HostContext, endpoint: EndpointKey) -> Self {
        if let Some(state) = host.book.borrow_mut().endpoints.get_mut(endpoint) {
            state.in_flight += 1;
        }
        Self { host, endpoint }
    }
}

impl Drop for FlightGuard<'_> {
    fn drop(&mut self) {
        if let Some(state) = self.host.book.borrow_mut().endpoints.get_mut(self.endpoint) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }
}

/// Gets a connection and brings it to the session's image, with the prepared statement of a request.
async fn prepared_link(
    place: RunPlace<'_>,
    endpoint: EndpointKey,
    request: AccessRequest<'_>,
    wait_until: BootInstant,
    deadline: BootInstant,
) -> Result<BorrowedLink, RunError> {
    let acquired = acquire(place.host, endpoint, place.customer, wait_until).await;
    let mut borrowed = acquired.map_err(RunError::NoConnection)?;
    let link = borrowed.link().map_err(RunError::NotSent)?;
    let done = link.set_up(place.session, request.prepared, None, deadline).await;
    done.map_err(RunError::NotSent)?;
    Ok(borrowed)
}

/// Runs a statement outside a transaction on one endpoint.
///
/// # Errors
///
/// Fails when there is no complete reply; the error tells whether the statement was sent.
pub(super) async fn run_single(
    place: RunPlace<'_>,
    endpoint: EndpointKey,
    request: AccessRequest<'_>,
    floor: Option<LogPosition>,
    wait_until: BootInstant,
    deadline: BootInstant,
) -> Result<EndpointReply, RunError> {
    let _flight = FlightGuard::new(place.host, endpoint);
    let mut borrowed = prepared_link(place, endpoint, request, wait_until, deadline).await?;
    let link = borrowed.link().map_err(RunError::NotSent)?;
    let text = line::forward(request.id, request.text, floor);
    let outcome = link.exchange(&text, deadline).await;
    note_outcome(place.host, endpoint, request.id, &outcome);
    match outcome {
        Ok(reply) => {
            borrowed.release_if_idle(reply.state);
            Ok(reply)
        }
        Err(error) => Err(RunError::Sent(error)),
    }
}

/// Runs a statement outside a transaction on a group's primary, under a right that is checked
/// before it is sent. It is given up when the primary is being changed.
///
/// # Errors
///
/// Fails as [`run_single`] does.
pub(super) async fn run_on_primary(
    place: RunPlace<'_>,
    right: PrimaryRight,
    request: AccessRequest<'_>,
    wait_until: BootInstant,
    deadline: BootInstant,
) -> Result<EndpointReply, RunError> {
    let (host, group) = (place.host, place.group);
    let _flight = FlightGuard::new(host, right.endpoint);
    let prepared = prepared_link(place, right.endpoint, request, wait_until, deadline).await;
    let mut borrowed = prepared?;
    let floor = match request.mode {
        AccessMode::Read => newest_position(host, group),
        AccessMode::Write => None,
    };
    let text = line::forward(request.id, request.text, floor);
    let outcome =
        exchange_on_primary(place, right, &mut borrowed, request.id, &text, deadline).await;
    let reply = outcome?;
    borrowed.release_if_idle(reply.state);
    Ok(reply)
}

/// Newest known position of a group's primary.
pub(super) fn newest_position(host: &HostContext, group: &str) -> Option<LogPosition> {
    let book = host.book.borrow();
    let newest = book.floors.get(group)?.newest()?;
    (newest.position > LogPosition::default()).then_some(newest.position)
}

/// Sends a text to a primary under a right.
///
/// # Errors
///
/// Fails with [`RunError::NotSent`] when the right is no longer good, else as
/// [`super::link::EndpointLink::exchange`] does.
pub(super) async fn exchange_on_primary(
    place: RunPlace<'_>,
    right: PrimaryRight,
    borrowed: &mut BorrowedLink,
    request: &str,
    text: &str,
    deadline: BootInstant,
) -> Result<EndpointReply, RunError> {
    let (host, group) = (place.host, place.group);
    let usage = host.enter_primary(group, right);
    if !host.is_right_good(group, right) {
        return Err(RunError::NotSent(LinkError::Revoked));
    }
    let link = borrowed.link().map_err(RunError::NotSent)?;
    let outcome = tokio::select! {
        outcome = link.exchange(text, deadline) => outcome,
        () = usage.revoked() => Err(LinkError::Revoked),
    };
    note_outcome(host, right.endpoint, request, &outcome);
    let reply = outcome.map_err(RunError::Sent)?;
    // A commit that came back after the lease had ended may have been made by a primary that has
    // been replaced meanwhile.
    if !host.book.borrow().has_lease_for(group, boot_now()) {
        return Err(RunError::Sent(LinkError::Revoked));
    }
    if let (Some(position), None) = (reply.position, reply.failure) {
        let observation = PrimaryObservation { sent_at: reply.sent_at, position };
        host.book.borrow_mut().observe_primary(group, right, observation, boot_now());
    }
    Ok(reply)
}
