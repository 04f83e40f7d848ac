//! Statements of other hosts: the side of the pool host.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use tanagerdeal_core::ledger::clock::BootInstant;
use tanagerdeal_core::ledger::endpoint::EndpointKey;
use tanagerdeal_core::ledger::session::{PreparedShape, SessionSetup};
use tanagerdeal_core::ledger::state::{HostState, PrimaryPermit, PrimaryRefusal};
use tanagerdeal_core::ledger::statement::SessionState;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::frames::{self, FrameStream, LinkError};
use super::link::HostLinks;
use super::message::{LoadMessage, Request, Response, StatementMessage, StatementResult};
use crate::ledger::bound::{self, BoundConnection};
use crate::ledger::connection::{ConnectionError, EndpointReply};
use crate::ledger::context::{HostContext, HostPhase, boot_now, sleep_until_optional};
use crate::ledger::gate;
use crate::ledger::journal;
use crate::ledger::operation::StatementTiming;
use crate::ledger::pool::AcquireError;
use crate::ledger::statement::{self, AccessRequest, RunError, StatementContext, StatementTarget};

/// Time after the start of a shutdown in which statements of hosts that have not heard of it are
/// still taken.
const LEAVING_GRACE: Duration = Duration::from_secs(1);
/// Time for which the lease must still run when a statement of another host begins on a primary. The
/// other host runs it itself otherwise; one that is under way when the lease ends is in doubt.
const LEASE_RESERVE: Duration = Duration::from_millis(400);
/// Pause after a failed `accept`, for example when no file descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections of other hosts until the process ends.
pub(in crate::ledger) async fn serve(host: Rc<HostContext>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let host = host.clone();
                spawn_local(async move {
                    let error = serve_link(&host, stream).await;
                    journal::event("forward", "link_ended", json!({ "reason": error.to_string() }));
                });
            }
            Err(error) => {
                journal::event("forward", "not_accepted", json!({ "reason": error.to_string() }));
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves the statements of one host. When its connection ends, its open transactions are rolled
/// back.
async fn serve_link(host: &Rc<HostContext>, stream: TcpStream) -> LinkError {
    let Some(secret) = host.secret.get() else {
        return LinkError::Closed("this host has not loaded the secret of the fleet".to_owned());
    };
    let (sink, stream, name) = match frames::accept(stream, secret).await {
        Ok(accepted) => accepted,
        Err(error) => return error,
    };
    journal::event("forward", "link", json!({ "host": name }));
    let (responses, queue) = mpsc::unbounded_channel();
    tokio::select! {
        error = frames::send_queued(sink, queue) => error,
        error = receive_requests(host, stream, responses.clone()) => error,
        error = announce_shutdown(host, responses) => error,
    }
}

/// Tells the other host of the shutdown of this one, once it begins.
async fn announce_shutdown(
    host: &HostContext,
    responses: mpsc::UnboundedSender<Response>,
) -> LinkError {
    let mut phase = host.phase.subscribe();
    // The sender of the phase lives as long as the process.
    let _ = phase.wait_for(|phase| *phase != HostPhase::Serving).await;
    let _ = responses.send(Response::Leaving);
    std::future::pending().await
}

async fn receive_requests(
    host: &Rc<HostContext>,
    mut stream: FrameStream,
    responses: mpsc::UnboundedSender<Response>,
) -> LinkError {
    let mut transactions: HashMap<u64, mpsc::UnboundedSender<Box<StatementMessage>>> =
        HashMap::new();
    loop {
        let request = match stream.next().await {
            Ok(request) => request,
            Err(error) => return error,
        };
        let responses = responses.clone();
        match request {
            Request::Run { call, statement } => {
                let (host, served) = (host.clone(), HostLinks::serving(host));
                spawn_local(async move {
                    let result = run(&host, &statement).await.into();
                    let load = endpoint_load(&host, &statement.endpoint);
                    // Without a connection there is nobody to tell.
                    let _ = responses.send(Response::Result { call, result, load });
                    drop(served);
                });
            }
            Request::Begin { call, is_read_only, statement } => {
                let (sender, statements) = mpsc::unbounded_channel();
                transactions.retain(|_, sender| !sender.is_closed());
                transactions.insert(call, sender);
                let (endpoint, respondent) = (statement.endpoint.clone(), host.clone());
                let respond = move |result| {
                    let load = endpoint_load(&respondent, &endpoint);
                    let _ = responses.send(Response::Result { call, result, load });
                };
                let (host, served) = (host.clone(), HostLinks::serving(host));
                spawn_local(async move {
                    serve_transaction(&host, is_read_only, &statement, statements, respond).await;
                    drop(served);
                });
            }
            Request::Continue { call, statement } => {
                let sent = transactions.get(&call).map(|sender| sender.send(statement));
                if !matches!(sent, Some(Ok(()))) {
                    let error = ConnectionError::Lost("the transaction has ended".to_owned());
                    let result = Err(RunError::NotSent(error)).into();
                    let _ = responses.send(Response::Result { call, result, load: None });
                }
            }
            Request::End { call } => {
                transactions.remove(&call);
            }
            Request::Ping => {
                let _ = responses.send(Response::Pong);
            }
        }
    }
}

/// The load of an endpoint whose statements are queued at this host.
fn endpoint_load(host: &HostContext, endpoint: &str) -> Option<LoadMessage> {
    let key = host.state.borrow().endpoints.find(endpoint)?;
    gate::load(host, key).map(LoadMessage::from)
}

/// A forwarded statement as this host runs it.
struct ForwardedStatement<'a> {
    message: &'a StatementMessage,
    target: StatementTarget,
    group: String,
    setup: SessionSetup,
    shape: Option<PreparedShape>,
    timing: StatementTiming,
}

impl<'a> ForwardedStatement<'a> {
    /// Checks with this host's own state whether the statement may run.
    fn new(host: &HostContext, message: &'a StatementMessage) -> Result<Self, RunError> {
        let now = boot_now();
        let host_state = host.state.borrow();
        let gone = || RunError::NoConnection(AcquireError::Gone);
        let endpoint = host_state.endpoints.find(&message.endpoint).ok_or_else(gone)?;
        let state = host_state.endpoints.get(endpoint).ok_or_else(gone)?;
        let group = state.record.group.clone();
        let permit = match message.on_primary {
            true => Some(primary_permit(&host_state, &group, endpoint, now)?),
            false if host_state.is_leaving(state) => return Err(gone()),
            false => None,
        };
        let clock = host_state.lease.clock().ok_or_else(gone)?;
        let deadline = clock.not_after(message.deadline);
        let wait_deadline = now.after(Duration::from_micros(u64::from(message.wait_us)));
        let wait_deadline = wait_deadline.min(deadline);
        let timing = StatementTiming {
            began_at: now,
            wait_deadline,
            queue_deadline: wait_deadline,
            deadline,
        };
        let declined =
            |reason: &str| Err(RunError::NoConnection(AcquireError::Declined(reason.to_owned())));
        match *host.phase.borrow() {
            HostPhase::Stopping(since) if now >= since.after(LEAVING_GRACE) => {
                declined("the pool host is shutting down")
            }
            _ if deadline <= now => declined("the statement is late by the pool host's clock"),
            _ => Ok(Self {
                message,
                target: StatementTarget { endpoint, permit, min_position: message.min_position },
                group,
                setup: message.setup(),
                shape: message.shape(),
                timing,
            }),
        }
    }

    fn context<'b>(&'b self, host: &'b Rc<HostContext>) -> StatementContext<'b> {
        StatementContext {
            host,
            group: &self.group,
            customer: &self.message.customer,
            session: &self.setup,
        }
    }

    fn request(&self) -> AccessRequest<'_> {
        self.message.request(self.shape.as_ref())
    }
}

fn primary_permit(
    host_state: &HostState,
    group: &str,
    endpoint: EndpointKey,
    now: BootInstant,
) -> Result<PrimaryPermit, RunError> {
    match host_state.lasting_permit(group, now.after(LEASE_RESERVE), now) {
        Ok(permit) if permit.endpoint == endpoint => Ok(permit),
        // The client's host then probes the primary as well.
        Err(refusal @ PrimaryRefusal::Unreachable) => {
            Err(RunError::NoConnection(AcquireError::Unreachable(refusal.to_string())))
        }
        _ => Err(RunError::NotSent(ConnectionError::Revoked)),
    }
}

async fn run(
    host: &Rc<HostContext>,
    message: &StatementMessage,
) -> Result<EndpointReply, RunError> {
    let statement = ForwardedStatement::new(host, message)?;
    host.pool(statement.target.endpoint).note_forwarded(boot_now());
    let (ctx, request) = (statement.context(host), statement.request());
    statement::run(ctx, statement.target, request, statement.timing).await
}

/// Serves a transaction until its host ends it, its connection is lost, or it stays idle for too
/// long. If it is still open then, dropping its connection rolls it back.
async fn serve_transaction(
    host: &Rc<HostContext>,
    is_read_only: bool,
    first: &StatementMessage,
    mut statements: mpsc::UnboundedReceiver<Box<StatementMessage>>,
    respond: impl Fn(StatementResult),
) {
    let begun = begin(host, is_read_only, first).await;
    let mut bound = match begun {
        Ok((bound, result)) => {
            let is_open = is_open(&result);
            respond(result.into());
            if !is_open {
                return;
            }
            bound
        }
        Err(error) => return respond(StatementResult::NotBegun((&error).into())),
    };
    loop {
        let idle = host.state.borrow().catalog.as_ref().map(|catalog| catalog.transaction_idle);
        let idle_deadline = idle.map(|idle| boot_now().after(idle));
        let message = tokio::select! {
            biased;
            message = statements.recv() => message,
            () = sleep_until_optional(idle_deadline) => None,
        };
        let Some(message) = message else { break };
        let result = continue_transaction(host, &mut bound, &message).await;
        let is_open = is_open(&result);
        match (is_open, &result) {
            (false, Ok(reply)) => {
                let state = reply.state;
                respond(result.into());
                bound.release(state);
                return;
            }
            (false, Err(_)) => return respond(result.into()),
            (true, _) => respond(result.into()),
        }
    }
    // A statement that arrives from here on is answered by the reader of its connection.
    statements.close();
    while statements.recv().await.is_some() {
        let error = ConnectionError::Lost("the transaction was idle for too long".to_owned());
        respond(Err(RunError::NotSent(error)).into());
    }
    bound.roll_back(host).await;
}

/// Whether a transaction goes on after the result of a statement.
fn is_open(result: &Result<EndpointReply, RunError>) -> bool {
    matches!(result, Ok(reply) if reply.state == SessionState::Open)
}

async fn begin(
    host: &Rc<HostContext>,
    is_read_only: bool,
    message: &StatementMessage,
) -> Result<(BoundConnection, Result<EndpointReply, RunError>), RunError> {
    let statement = ForwardedStatement::new(host, message)?;
    host.pool(statement.target.endpoint).note_forwarded(boot_now());
    let (ctx, request) = (statement.context(host), statement.request());
    bound::begin_with(ctx, statement.target, is_read_only, request, statement.timing).await
}

async fn continue_transaction(
    host: &Rc<HostContext>,
    bound: &mut BoundConnection,
    message: &StatementMessage,
) -> Result<EndpointReply, RunError> {
    let clock = host.state.borrow().lease.clock();
    let clock = clock.ok_or(RunError::NotSent(ConnectionError::Revoked))?;
    let group = bound.group(host).ok_or(RunError::NoConnection(AcquireError::Gone))?;
    let (setup, shape) = (message.setup(), message.shape());
    let ctx =
        StatementContext { host, group: &group, customer: &message.customer, session: &setup };
    let request = message.request(shape.as_ref());
    bound.run(ctx, request, clock.not_after(message.deadline)).await
}
