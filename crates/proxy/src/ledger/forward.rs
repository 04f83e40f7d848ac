//! Pooling of connections between hosts: statements are run on this host's connections, or
//! forwarded to the pool host of their endpoint.
//!
//! See docs/design/pooling.md.

mod frames;
mod link;
mod message;
mod server;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tanagerdeal_core::ledger::endpoint::EndpointKey;
use tanagerdeal_core::ledger::pooling::{is_pooled, pool_host};
use tanagerdeal_core::ledger::position::PrimaryObservation;
use tanagerdeal_core::ledger::statement::{AccessMode, SessionState};

use super::bound::{self, BoundConnection};
use super::connection::{ConnectionError, EndpointReply};
use super::context::{HostContext, boot_now};
use super::operation::StatementTiming;
use super::pool::AcquireError;
use super::statement::{
    AccessRequest, RunError, StatementContext, StatementTarget, note_outcome, run_on_primary,
    run_single,
};
use link::{CallError, HostLink};
use message::{PreparedMessage, Request, StatementMessage, StatementResult};

pub(super) use link::HostLinks;
pub(super) use server::serve;

/// Pool hosts of a failure domain that are not used before statements go directly.
const MAX_SKIPPED: usize = 2;
/// Time that a reply needs from the pool host beyond the deadline of the statement, so that its own
/// verdict arrives.
const REPLY_MARGIN: Duration = Duration::from_millis(50);

/// Where a statement runs.
enum StatementPath {
    /// On a connection of this host.
    Own,
    /// At a pool host.
    Forwarded { name: String, address: SocketAddr },
}

/// A transaction at its endpoint.
pub(super) enum BoundTransaction {
    /// On a connection of this host.
    Own(BoundConnection),
    /// On a connection of a pool host.
    Forwarded(ForwardedTransaction),
}

/// A transaction on a connection of a pool host. Dropping it rolls the transaction back.
pub(super) struct ForwardedTransaction {
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

/// Whether hosts pool the connections of an endpoint.
fn is_in_effect(host: &HostContext, endpoint: EndpointKey) -> bool {
    let host_state = host.state.borrow();
    let group = host_state.endpoints.get(endpoint).map(|state| state.record.group.as_str());
    let limits = group.zip(host_state.catalog.as_ref());
    let limits = limits.and_then(|(group, catalog)| catalog.group(group));
    let mode = host.settings.pooling;
    host.settings.forwarding.is_some()
        && limits.is_some_and(|limits| {
            is_pooled(mode, limits.connections as usize, host_state.live_hosts())
        })
}

/// Where statements for an endpoint go when its connections are pooled. `None` if no pool host is
/// known or all that may be tried do not respond.
fn path(host: &HostContext, endpoint: EndpointKey) -> Option<StatementPath> {
    let now = boot_now();
    let host_state = host.state.borrow();
    let record = &host_state.endpoints.get(endpoint)?.record;
    let mut skipped = Vec::new();
    while skipped.len() <= MAX_SKIPPED {
        let is_skipped = |name: &str| skipped.iter().any(|skipped| skipped == name);
        let (hosts, read_at) = (&host_state.hosts, host_state.hosts_read_at);
        let (record, offer) = pool_host(hosts, read_at, &record.domain, &record.id, &is_skipped)?;
        match record.host.as_str() {
            name if name == host.settings.host => return Some(StatementPath::Own),
            name if host.links.is_unresponsive(name, now) => skipped.push(name.to_owned()),
            name => {
                return Some(StatementPath::Forwarded {
                    name: name.to_owned(),
                    address: offer.address,
                });
            }
        }
    }
    None
}

/// A connection to the pool host of an endpoint; `None` if the statement has to run on this host.
async fn link(host: &Rc<HostContext>, endpoint: EndpointKey) -> Option<Rc<HostLink>> {
    // Deadlines are sent in the store's clock.
    host.state.borrow().lease.clock().filter(|_| is_in_effect(host, endpoint))?;
    match path(host, endpoint) {
        Some(StatementPath::Forwarded { name, address }) => {
            let link = link::link_to(host, &name, address).await;
            count(host, if link.is_ok() { "forwarded" } else { "unreachable" });
            link.ok()
        }
        Some(StatementPath::Own) => {
            host.pool(endpoint).note_forwarded(boot_now());
            count(host, "own");
            None
        }
        None => {
            count(host, "direct");
            None
        }
    }
}

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
    if let Some(link) = link(ctx.host, target.endpoint).await {
        let call = link.new_call();
        let statement = statement_message(ctx, target, request, timing);
        let sent_at = boot_now();
        let forwarded = match statement {
            Some(statement) => {
                let message = Request::Run { call, statement };
                let is_write = request.mode == AccessMode::Write;
                let deadline = timing.deadline.after(REPLY_MARGIN);
                link.call(call, message, is_write, deadline).await
            }
            None => return Err(RunError::NotSent(ConnectionError::Revoked)),
        };
        match forwarded {
            Ok(result) => {
                let result = result.into_result(sent_at);
                note_result(ctx, target, request, &result);
                return result;
            }
            // A read has no effect, so it is repeated on a connection of this host.
            Err(CallError::Lost | CallError::Silent) if request.mode == AccessMode::Read => {
                count(ctx.host, "repeated");
            }
            Err(error) => return Err(RunError::Sent(connection_error(error))),
        }
    }
    match target.permit {
        Some(permit) => run_on_primary(ctx, permit, request, timing).await,
        None => run_single(ctx, target, request, timing).await,
    }
}

fn connection_error(error: CallError) -> ConnectionError {
    match error {
        CallError::TimedOut => ConnectionError::TimedOut,
        error => ConnectionError::Lost(error.to_string()),
    }
}

/// The statement as it is sent to the pool host; `None` if the store's clock is not known.
fn statement_message(
    ctx: StatementContext<'_>,
    target: StatementTarget,
    request: AccessRequest<'_>,
    timing: StatementTiming,
) -> Option<Box<StatementMessage>> {
    let host_state = ctx.host.state.borrow();
    let clock = host_state.lease.clock()?;
    let endpoint = host_state.endpoints.get(target.endpoint)?.record.id.clone();
    Some(Box::new(StatementMessage {
        endpoint,
        customer: ctx.customer.to_owned(),
        values: ctx.session.values().map(|(name, value)| (name.clone(), value.clone())).collect(),
        prepared: request.prepared.map(PreparedMessage::from),
        request: request.id.to_owned(),
        text: request.text.to_owned(),
        is_write: request.mode == AccessMode::Write,
        on_primary: target.permit.is_some(),
        min_position: target.min_position,
        route: request.route,
        priority: request.priority,
        wait_deadline: clock.earliest(timing.wait_deadline),
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
        Err(RunError::NoConnection(AcquireError::Unreachable(text))) => {
            Err(ConnectionError::Connect(text.clone()))
        }
        Err(_) => return,
    };
    note_outcome(ctx.host, target.endpoint, request.id, &observed);
    let Ok(reply) = observed else { return };
    if let (Some(permit), Some(position), None) = (target.permit, reply.position, reply.failure) {
        let observation = PrimaryObservation { sent_at: reply.sent_at, position };
        let mut host_state = ctx.host.state.borrow_mut();
        host_state.observe_primary(ctx.group, permit, observation, boot_now());
    }
}

/// Begins a transaction and runs its first statement. The outer error means that it could not
/// begin; nothing of it was run.
pub(super) async fn begin(
    ctx: StatementContext<'_>,
    target: StatementTarget,
    is_read_only: bool,
    request: AccessRequest<'_>,
    timing: StatementTiming,
) -> Result<(BoundTransaction, Result<EndpointReply, RunError>), RunError> {
    if let Some(link) = link(ctx.host, target.endpoint).await {
        let call = link.new_call();
        let statement = statement_message(ctx, target, request, timing);
        let statement = statement.ok_or(RunError::NotSent(ConnectionError::Revoked))?;
        let mut transaction =
            ForwardedTransaction { link: link.clone(), call, target, is_open: true };
        let sent_at = boot_now();
        let message = Request::Begin { call, is_read_only, statement };
        let deadline = timing.deadline.after(REPLY_MARGIN);
        match link.call(call, message, false, deadline).await {
            Ok(result @ StatementResult::NotBegun { .. }) => {
                transaction.is_open = false;
                let result = result.into_result(sent_at);
                note_result(ctx, target, request, &result);
                // A result that could not begin is an error.
                return Err(result.err().unwrap_or(RunError::NotSent(ConnectionError::Revoked)));
            }
            Ok(result) => {
                let result = result.into_result(sent_at);
                note_result(ctx, target, request, &result);
                transaction.note(&result);
                return Ok((BoundTransaction::Forwarded(transaction), result));
            }
            // The first statement may have run, so it is not repeated on another connection.
            // Nothing is kept: the pool host rolls the transaction back, or its connection is gone.
            Err(error) => {
                let result = Err(RunError::Sent(connection_error(error)));
                return Ok((BoundTransaction::Forwarded(transaction), result));
            }
        }
    }
    let (bound, result) = bound::begin_with(ctx, target, is_read_only, request, timing).await?;
    Ok((BoundTransaction::Own(bound), result))
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
        let statement = statement_message(ctx, self.target, request, timing);
        let statement = statement.ok_or(RunError::NotSent(ConnectionError::Revoked))?;
        let sent_at = boot_now();
        let message = Request::Continue { call: self.call, statement };
        let deadline = timing.deadline.after(REPLY_MARGIN);
        // The statement is bound to its connection, so it waits for a silent pool host.
        let result = self.link.call(self.call, message, true, deadline).await;
        let result = match result {
            Ok(result) => result.into_result(sent_at),
            Err(error) => Err(RunError::Sent(connection_error(error))),
        };
        note_result(ctx, self.target, request, &result);
        // After an error the pool host is still told to end the transaction.
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
    pub(super) async fn run(
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
    pub(super) fn release(self, state: SessionState) {
        match self {
            Self::Own(bound) => bound.release(state),
            // The pool host has seen the same reply.
            Self::Forwarded(_) => (),
        }
    }

    /// Rolls the transaction back.
    pub(super) async fn roll_back(self, host: &HostContext) {
        match self {
            Self::Own(bound) => bound.roll_back(host).await,
            // Dropping it tells the pool host.
            Self::Forwarded(_) => (),
        }
    }
}
