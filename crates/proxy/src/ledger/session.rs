//! Client sessions.

mod query;

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt as _;
use serde_json::json;
use tanagerdeal_adapter::framing::{FramingError, LineCodec};
use tanagerdeal_adapter::line::{self, ClientMessage, MAX_MESSAGE_BYTES};
use tanagerdeal_core::ledger::catalog::{AccessError, CallerIdentity, DatabaseRoute};
use tanagerdeal_core::ledger::clock::BootInstant;
use tanagerdeal_core::ledger::endpoint::LogPosition;
use tanagerdeal_core::ledger::isolation::LOAD_BALANCER_DETECTION_TIME;
use tanagerdeal_core::ledger::session::SessionSetup;
use tanagerdeal_core::ledger::statement::{FailureReason, SessionState};
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::timeout;
use tokio_util::codec::FramedRead;

use super::context::{HostContext, HostPhase, boot_now, sleep_until_optional};
use super::journal;
use super::operation::OperationFailure;
use super::transaction::OpenTransaction;

/// Time for which an idle session is kept during a shutdown, counted from the start of the shutdown
/// or, if later, of the session. Also the time-out of the start-up message while no configuration
/// is known.
const IDLE_LIMIT: Duration = Duration::from_millis(1_000);
/// Retry delay for a client that is refused by a configuration which may be out of date.
const UNCONFIRMED_RETRY: Duration = Duration::from_millis(400);
/// Divisor of the shutdown time-out that gives the time in which open transactions may finish.
const TRANSACTION_DRAIN_DIVISOR: u32 = 2;

/// A client session.
struct ClientSession {
    host: Rc<HostContext>,
    reader: FramedRead<OwnedReadHalf, LineCodec>,
    writer: OwnedWriteHalf,
    database: String,
    key: String,
    setup: SessionSetup,
    state: SessionState,
    transaction: Option<OpenTransaction>,
    /// Position of the last write in the log of each group that the session has written to. `None`
    /// if its reply showed none, so that only the primary is known to have the write.
    last_writes: HashMap<String, Option<LogPosition>>,
    opened_at: BootInstant,
    last_request_at: BootInstant,
}

/// Serves one client until it disconnects or the host ends the session.
pub(super) async fn serve(host: Rc<HostContext>, stream: TcpStream) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let (reader, mut writer) = stream.into_split();
    let mut reader = FramedRead::new(reader, LineCodec::new(MAX_MESSAGE_BYTES));
    let limit = host.state.borrow().catalog.as_ref().map(|catalog| catalog.startup_limit);
    let Ok(Some(first)) = timeout(limit.unwrap_or(IDLE_LIMIT), reader.next()).await else {
        return;
    };
    let first = first.inspect_err(log_framing_error);
    let message = match first.as_deref().map(line::decode_client) {
        Ok(message) => message.ok(),
        Err(error) if error.is_malformed() => None,
        // The client has left.
        Err(_) => return,
    };
    let Some(ClientMessage::Startup { database, key }) = message else {
        let text = line::failure(FailureReason::Malformed, "a session begins with its database");
        // The session ends even if the client has already disconnected.
        let _ = writer.write_all(text.as_bytes()).await;
        return;
    };
    let (database, key) = (database.to_owned(), key.to_owned());
    if let Err(error) = authenticate(&host, &database, &key) {
        let failure = access_failure(&host, error);
        let text = line::failure(failure.reason, &failure.message());
        journal::request("session_refused", || {
            json!({ "database": database, "reason": error.to_string(),
                    "is_final": failure.retry_after.is_none(),
                    "catalog": catalog_version(&host) })
        });
        // The session ends even if the client has already disconnected.
        let _ = writer.write_all(text.as_bytes()).await;
        return;
    }
    let mut session = ClientSession {
        host,
        reader,
        writer,
        database,
        key,
        setup: SessionSetup::default(),
        state: SessionState::Idle,
        transaction: None,
        last_writes: HashMap::new(),
        opened_at: boot_now(),
        last_request_at: boot_now(),
    };
    session.host.metrics.sessions.inc();
    session.run().await;
    // Dropping the session closes the connection of an open transaction, which rolls it back.
    session.host.metrics.sessions.dec();
}

fn log_framing_error(error: &FramingError) {
    journal::request("unreadable", || json!({ "reason": error.to_string() }));
}

fn catalog_version(host: &HostContext) -> Option<u64> {
    host.state.borrow().catalog.as_ref().map(|catalog| catalog.version)
}

fn authenticate(
    host: &HostContext,
    database: &str,
    key: &str,
) -> Result<(CallerIdentity, Arc<DatabaseRoute>), AccessError> {
    let host_state = host.state.borrow();
    let catalog = host_state.catalog.as_ref().ok_or(AccessError::UnknownDatabase)?;
    let identity = catalog.identify(database, key)?;
    let route = catalog.route(database).ok_or(AccessError::UnknownDatabase)?;
    Ok((identity, route.clone()))
}

/// The refusal of a client. It is final only if the configuration is known to be current, as a
/// newer one may have the database or the key.
fn access_failure(host: &HostContext, error: AccessError) -> OperationFailure {
    let reason = match error {
        AccessError::UnknownDatabase => FailureReason::UnknownDatabase,
        AccessError::UnknownKey => FailureReason::InvalidKey,
        // The transaction is rolled back, and the client may retry as the other customer.
        AccessError::IdentityChanged => {
            return OperationFailure::new(FailureReason::Aborted, &error.to_string());
        }
    };
    match host.state.borrow().is_catalog_fresh(boot_now()) {
        true => OperationFailure::new(reason, &error.to_string()),
        false => {
            let text = format!("{error}, by a configuration that may be out of date");
            OperationFailure::busy(&text, UNCONFIRMED_RETRY)
        }
    }
}

impl ClientSession {
    async fn run(&mut self) {
        if self.send(&line::ready(SessionState::Idle)).await.is_err() {
            return;
        }
        while let Some(line) = self.next_line().await {
            self.last_request_at = boot_now();
            let problem = match line.as_deref().map(line::decode_client) {
                Ok(Ok(ClientMessage::Query { id, text })) => {
                    let (answer, must_close) = self.handle_query(id, text).await;
                    if self.send(&answer).await.is_err() || must_close {
                        return;
                    }
                    continue;
                }
                Ok(Ok(ClientMessage::Terminate)) => return,
                Ok(Ok(ClientMessage::Startup { .. }) | Err(_)) => "unknown message".to_owned(),
                Err(error) if error.is_malformed() => error.to_string(),
                // The client has left, maybe within a message, which is not run.
                Err(_) => return,
            };
            // The session ends even if the message cannot be sent.
            let _ = self.send(&line::failure(FailureReason::Malformed, &problem)).await;
            return;
        }
    }

    async fn send(&mut self, text: &str) -> std::io::Result<()> {
        self.writer.write_all(text.as_bytes()).await
    }

    /// Returns when this host ends the session unless its client sends a message before.
    fn close_deadline(&self) -> Option<BootInstant> {
        let idle = self.host.state.borrow().catalog.as_ref().map(|entry| entry.transaction_idle);
        let transaction_deadline = match (self.state, idle) {
            (SessionState::Idle, _) | (_, None) => None,
            (_, Some(idle)) => Some(self.last_request_at.after(idle)),
        };
        let shutdown_deadline = match (*self.host.phase.borrow(), self.state) {
            (HostPhase::Serving, _) => None,
            (HostPhase::Stopping(since), SessionState::Idle) => {
                let since = since.max(self.opened_at);
                Some(since.after(IDLE_LIMIT).min(self.last_request_at.after(IDLE_LIMIT)))
            }
            (HostPhase::Stopping(since), _) => {
                Some(since.after(self.host.settings.shutdown_limit / TRANSACTION_DRAIN_DIVISOR))
            }
        };
        [transaction_deadline, shutdown_deadline, self.isolation_deadline()]
            .into_iter()
            .flatten()
            .min()
    }

    /// Returns when an idle session is closed because this host is partitioned from the primary of
    /// the session's group. By then the load balancer sends the client to another host.
    fn isolation_deadline(&self) -> Option<BootInstant> {
        let since = *self.host.isolated_since.borrow();
        let since = since.filter(|_| self.state == SessionState::Idle)?;
        let host_state = self.host.state.borrow();
        let route =
            host_state.catalog.as_ref().and_then(|catalog| catalog.route(&self.database))?;
        let is_partitioned = host_state.primary_permit(&route.group, boot_now()).is_err();
        is_partitioned.then(|| since.after(LOAD_BALANCER_DETECTION_TIME))
    }

    /// Reads the next line; `None` when the client has closed the session between two lines, or the
    /// host ends it.
    async fn next_line(&mut self) -> Option<Result<String, FramingError>> {
        let mut phase = self.host.phase.subscribe();
        let mut isolated = self.host.isolated_since.subscribe();
        loop {
            let deadline = self.close_deadline();
            tokio::select! {
                biased;
                line = self.reader.next() => {
                    return Some(line?.inspect_err(log_framing_error));
                }
                () = sleep_until_optional(deadline) => return None,
                // The phase changes only once, at the start of a shutdown.
                _ = phase.changed() => (),
                _ = isolated.changed() => (),
            }
        }
    }
}
