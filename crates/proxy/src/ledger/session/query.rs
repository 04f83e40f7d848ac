//! Execution of the statements of a client session.

use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use tanagerdeal_adapter::line;
use tanagerdeal_core::hash::hash_bytes;
use tanagerdeal_core::ledger::capacity::{WorkClass, WorkKind};
use tanagerdeal_core::ledger::catalog::{
    AccessError, CallerIdentity, DatabaseRoute, ReadConsistency,
};
use tanagerdeal_core::ledger::clock::BootInstant;
use tanagerdeal_core::ledger::endpoint::LogPosition;
use tanagerdeal_core::ledger::session::PreparedShape;
use tanagerdeal_core::ledger::statement::{
    AccessMode, ClientStatement, FailureReason, SessionState,
};

use super::{ClientSession, access_failure, authenticate};
use crate::ledger::connection::EndpointReply;
use crate::ledger::context::{boot_now, sleep_until};
use crate::ledger::journal;
use crate::ledger::observations;
use crate::ledger::operation::{self, OperationFailure, StatementTiming};
use crate::ledger::statement::{ANONYMOUS_CUSTOMER, AccessRequest, StatementContext};
use crate::ledger::token_loans;
use crate::ledger::transaction::OpenTransaction;

/// Shortest retry delay for a client that exceeds its customer's rate limit.
const MIN_RATE_RETRY: Duration = Duration::from_millis(50);
/// Retry delay for a client whose customer has no quota on this host yet.
const NO_SHARE_RETRY: Duration = Duration::from_millis(400);
/// Retry delay for a client whose group has no usable primary.
const NO_PRIMARY_RETRY: Duration = Duration::from_millis(400);

impl ClientSession {
    /// Executes a statement. Returns the reply, and whether the session has to end.
    pub(super) async fn handle_query(&mut self, id: &str, text: &str) -> (String, bool) {
        let Ok(statement) = line::decode_statement(text) else {
            return (self.refuse(id, &malformed("unknown statement")), false);
        };
        let (identity, route) = match self.access() {
            Ok(access) => access,
            Err(error) => {
                // Dropping a transaction closes its connection, which rolls it back.
                self.transaction = None;
                self.state = SessionState::Idle;
                let failure = access_failure(&self.host, error);
                return (self.refuse(id, &failure), true);
            }
        };
        let began_at = boot_now();
        let answer = self.execute(id, text, statement, &identity, &route).await;
        let (outcome, text) = match answer {
            Ok(text) => ("answered", text),
            Err(failure) => ("refused", self.refuse(id, &failure)),
        };
        let took = boot_now().since(began_at);
        self.host.metrics.count_statement(consistency_label(&route), outcome, took);
        (text, false)
    }

    /// Identity and route for the next statement. A transaction keeps those with which it began.
    fn access(&self) -> Result<(CallerIdentity, Arc<DatabaseRoute>), AccessError> {
        let Some(open) = self.transaction.as_ref() else {
            let (identity, route) = authenticate(&self.host, &self.database, &self.key)?;
            return Ok((identity, self.session_route(route)));
        };
        let host_state = self.host.state.borrow();
        let catalog = host_state.catalog.as_ref().ok_or(AccessError::UnknownDatabase)?;
        catalog.check_identity(&open.identity, &self.key)?;
        Ok((open.identity.clone(), open.route.clone()))
    }

    fn refuse(&mut self, id: &str, failure: &OperationFailure) -> String {
        let reason = format!("{:?}", failure.reason);
        self.host.metrics.refusals.with_label_values(&[&reason]).inc();
        journal::request("refused", || {
            let now = boot_now();
            let host_state = self.host.state.borrow();
            let route =
                host_state.catalog.as_ref().and_then(|catalog| catalog.route(&self.database));
            let group = route.map(|route| route.group.as_str());
            let row =
                group.and_then(|group| host_state.groups.get(group)).map(|entry| entry.version);
            let millis = |duration: Duration| duration.as_millis() as u64;
            json!({
                "request": id,
                "database": self.database,
                "group": group,
                "group_row": row,
                "reason": reason,
                "text": failure.text,
                "held_ms": millis(now.since(self.last_request_at)),
                "retry_ms": failure.retry_after.map(millis),
                "lease_left_ms": host_state.lease.until().map(|until| millis(until.since(now))),
                "catalog": host_state.catalog.as_ref().map(|catalog| catalog.version),
            })
        });
        let mut answer = line::failure(failure.reason, &failure.message());
        answer.push_str(&line::ready(self.state));
        answer
    }

    async fn execute(
        &mut self,
        id: &str,
        text: &str,
        statement: ClientStatement<'_>,
        identity: &CallerIdentity,
        route: &Arc<DatabaseRoute>,
    ) -> Result<String, OperationFailure> {
        match (self.state, statement) {
            (SessionState::Failed, ClientStatement::Rollback) => {
                self.state = SessionState::Idle;
                Ok(line::completed(self.state))
            }
            (SessionState::Failed, ClientStatement::Commit) => {
                self.state = SessionState::Idle;
                Err(OperationFailure::new(FailureReason::Aborted, "rolled back after a failure"))
            }
            (SessionState::Failed, _) => Err(malformed("the transaction has failed")),
            (SessionState::Idle, ClientStatement::Begin { is_read_only }) => {
                self.check_available(route, is_read_only).await?;
                self.admit(identity, route).await?;
                let (identity, route) = (identity.clone(), route.clone());
                self.transaction = Some(OpenTransaction::new(identity, route, is_read_only));
                self.state = SessionState::Open;
                Ok(line::completed(self.state))
            }
            (SessionState::Open, ClientStatement::Begin { .. }) => {
                Err(malformed("a transaction is open"))
            }
            (SessionState::Idle, ClientStatement::Commit | ClientStatement::Rollback) => {
                Err(malformed("no transaction is open"))
            }
            (_, ClientStatement::SetValue { name, value }) => {
                self.setup.set_value(name, value);
                Ok(line::completed(self.state))
            }
            (_, ClientStatement::Prepare { name, mode, shape }) => {
                self.setup.prepare(name, PreparedShape::new(mode, shape));
                Ok(line::completed(self.state))
            }
            (_, ClientStatement::Deallocate { name }) => match self.setup.deallocate(name) {
                true => Ok(line::completed(self.state)),
                false => Err(OperationFailure::new(FailureReason::UnknownPrepared, name)),
            },
            (_, ClientStatement::Rollback) => self.roll_back(identity).await,
            (_, ClientStatement::Commit) => {
                let mut request = access_request(route, id, text, AccessMode::Read, None);
                request.work.kind = WorkKind::Commit;
                self.commit(identity, request).await
            }
            (_, ClientStatement::Access(mode)) => {
                let request = access_request(route, id, text, mode, None);
                self.read_or_write(identity, route, request).await
            }
            (_, ClientStatement::Execute { name, arguments }) => {
                let unknown = || OperationFailure::new(FailureReason::UnknownPrepared, name);
                let shape = self.setup.prepared(name).cloned().ok_or_else(unknown)?;
                let text = line::execute_text(&shape.shared_name, arguments);
                let (mode, prepared) = (shape.mode, Some(&shape));
                let request = access_request(route, id, &text, mode, prepared);
                self.read_or_write(identity, route, request).await
            }
        }
    }

    /// Applies the customer's rate limit to one operation. If the token bucket of this host is
    /// empty, borrows a token from another host, or waits for the next one if it is due in time.
    async fn admit(
        &self,
        identity: &CallerIdentity,
        route: &DatabaseRoute,
    ) -> Result<(), OperationFailure> {
        let Some(customer) = identity.customer() else { return Ok(()) };
        let Some(next_token_at) = self.take_token(customer).err() else { return Ok(()) };
        if token_loans::borrow(&self.host, customer).await && self.take_token(customer).is_ok() {
            return Ok(());
        }
        let wait_deadline = StatementTiming::new(route, self.last_request_at).wait_deadline;
        if let Some(ready_at) = next_token_at.filter(|ready_at| *ready_at <= wait_deadline) {
            sleep_until(ready_at).await;
            if self.take_token(customer).is_ok() {
                return Ok(());
            }
        }
        let now = boot_now();
        let retry_after =
            next_token_at.map_or(NO_SHARE_RETRY, |at| at.since(now).max(MIN_RATE_RETRY));
        let units = self.host.state.borrow().quota.units(customer);
        let text = format!("the rate of {customer} is used up (share {units} ppm)");
        Err(OperationFailure::busy(&text, retry_after))
    }

    /// Rejects a statement that cannot be served now before it uses a rate token or a connection.
    async fn check_available(
        &self,
        route: &DatabaseRoute,
        is_read: bool,
    ) -> Result<(), OperationFailure> {
        let (now, last_write) = (boot_now(), self.last_write(&route.group));
        let availability =
            self.host.state.borrow().check_available(route, is_read, last_write, now);
        let Err(refusal) = availability else { return Ok(()) };
        // A replica can serve the read if another host of the failure domain has reported a recent
        // position of the primary.
        if is_read
            && observations::min_read_position(&self.host, route, last_write, now).await.is_some()
        {
            return Ok(());
        }
        Err(OperationFailure::busy(&refusal.to_string(), NO_PRIMARY_RETRY))
    }

    /// Returns the rate token of an operation that failed before anything was executed.
    fn refund(&self, identity: &CallerIdentity, failure: &OperationFailure) {
        match identity.customer() {
            Some(customer) if failure.reason == FailureReason::Busy => {
                self.host.state.borrow_mut().quota.refund(customer, boot_now());
            }
            _ => (),
        }
    }

    /// Takes a rate token. The error is the instant at which the next one is available, if known.
    fn take_token(&self, customer: &str) -> Result<(), Option<BootInstant>> {
        self.host.state.borrow_mut().admit(customer, boot_now())
    }

    async fn read_or_write(
        &mut self,
        identity: &CallerIdentity,
        route: &Arc<DatabaseRoute>,
        request: AccessRequest<'_>,
    ) -> Result<String, OperationFailure> {
        let customer = identity.customer().unwrap_or(ANONYMOUS_CUSTOMER);
        let last_write = self.last_write(&route.group);
        match self.transaction.as_mut() {
            Some(open) => {
                let group = open.route.group.clone();
                let (host, session) = (&self.host, &self.setup);
                let ctx = StatementContext { host, group: &group, customer, session };
                match open.run(ctx, last_write, request).await {
                    Ok(reply) => Ok(self.forward_in_transaction(&reply)),
                    Err(failure) => {
                        self.refund(identity, &failure);
                        self.transaction = None;
                        self.state = SessionState::Failed;
                        Err(failure)
                    }
                }
            }
            None => {
                let is_read = request.mode == AccessMode::Read;
                self.check_available(route, is_read).await?;
                self.admit(identity, route).await?;
                let timing = StatementTiming::new(route, self.last_request_at);
                let (host, session) = (&self.host, &self.setup);
                let ctx = StatementContext { host, group: &route.group, customer, session };
                let result = match request.mode {
                    AccessMode::Read => {
                        operation::run_read(ctx, route, last_write, request, timing).await
                    }
                    AccessMode::Write => operation::run_primary(ctx, request, timing).await,
                };
                let reply = result.inspect_err(|failure| self.refund(identity, failure))?;
                if request.mode == AccessMode::Write && reply.failure.is_none() {
                    self.record_write(&route.group, &reply);
                }
                Ok(format!("{}{}", reply.text, line::ready(self.state)))
            }
        }
    }

    /// Position of the session's last write in the log of a group, if it is known.
    fn last_write(&self, group: &str) -> Option<LogPosition> {
        self.last_writes.get(group).copied().flatten()
    }

    fn record_write(&mut self, group: &str, reply: &EndpointReply) {
        let known = self.last_writes.get(group).copied().flatten();
        let position = reply.position.map(|position| known.unwrap_or_default().max(position));
        self.last_writes.insert(group.to_owned(), position);
    }

    /// The route as it applies to this session: while the position of its last write is unknown,
    /// only the primary serves its reads.
    fn session_route(&self, route: Arc<DatabaseRoute>) -> Arc<DatabaseRoute> {
        match route.consistency {
            ReadConsistency::Session(_) if self.last_writes.get(&route.group) == Some(&None) => {
                let consistency = ReadConsistency::Current;
                Arc::new(DatabaseRoute { consistency, ..DatabaseRoute::clone(&route) })
            }
            _ => route,
        }
    }

    /// Forwards a reply within a transaction. If the endpoint's session is no longer in a
    /// transaction, the client's transaction has failed.
    fn forward_in_transaction(&mut self, reply: &EndpointReply) -> String {
        if reply.state != SessionState::Open {
            self.state = SessionState::Failed;
            self.transaction = None;
        }
        format!("{}{}", reply.text, line::ready(self.state))
    }

    async fn commit(
        &mut self,
        identity: &CallerIdentity,
        request: AccessRequest<'_>,
    ) -> Result<String, OperationFailure> {
        self.state = SessionState::Idle;
        let Some(open) = self.transaction.take() else { return Err(malformed("no transaction")) };
        let group = open.route.group.clone();
        let customer = identity.customer().unwrap_or(ANONYMOUS_CUSTOMER);
        let ctx =
            StatementContext { host: &self.host, group: &group, customer, session: &self.setup };
        let has_written = open.has_written;
        let reply = open.commit(ctx, self.last_write(&group), request).await?;
        if has_written && reply.failure.is_none() {
            self.record_write(&group, &reply);
        }
        Ok(format!("{}{}", reply.text, line::ready(self.state)))
    }

    async fn roll_back(&mut self, identity: &CallerIdentity) -> Result<String, OperationFailure> {
        self.state = SessionState::Idle;
        let Some(open) = self.transaction.take() else { return Err(malformed("no transaction")) };
        let group = open.route.group.clone();
        let customer = identity.customer().unwrap_or(ANONYMOUS_CUSTOMER);
        let ctx =
            StatementContext { host: &self.host, group: &group, customer, session: &self.setup };
        open.roll_back(ctx).await;
        Ok(line::completed(self.state))
    }
}

fn access_request<'a>(
    route: &DatabaseRoute,
    id: &'a str,
    text: &'a str,
    mode: AccessMode,
    prepared: Option<&'a PreparedShape>,
) -> AccessRequest<'a> {
    let kind = match mode {
        AccessMode::Read => WorkKind::Read,
        AccessMode::Write => WorkKind::Write,
    };
    let work = WorkClass { route: hash_bytes(route.database.bytes()), kind };
    AccessRequest { id, text, mode, prepared, priority: route.priority, work }
}

fn consistency_label(route: &DatabaseRoute) -> &'static str {
    match route.consistency {
        ReadConsistency::Current => "current",
        ReadConsistency::Bounded(_) => "bounded",
        ReadConsistency::Session(_) => "session",
    }
}

fn malformed(text: &str) -> OperationFailure {
    OperationFailure::new(FailureReason::Malformed, text)
}
