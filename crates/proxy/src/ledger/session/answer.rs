//! Answers to the statements of a session.

use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use tanagerdeal_adapter::line;
use tanagerdeal_core::ledger::catalog::{
    AccessError, CallerIdentity, DatabaseRoute, ReadConsistency,
};
use tanagerdeal_core::ledger::clock::BootInstant;
use tanagerdeal_core::ledger::session::PreparedShape;
use tanagerdeal_core::ledger::statement::{
    AccessMode, ClientStatement, FailureReason, SessionState,
};

use super::{ClientSession, access_reason, identify};
use crate::ledger::context::{boot_now, sleep_until};
use crate::ledger::floors;
use crate::ledger::journal;
use crate::ledger::lending;
use crate::ledger::link::EndpointReply;
use crate::ledger::operation::{self, OperationFailure, StatementTimes};
use crate::ledger::statement::{AccessRequest, RunPlace};
use crate::ledger::transaction::OpenTransaction;

/// Name under which clients without a customer connect to endpoints.
const ANONYMOUS: &str = "-";
/// Time after which a client over its rate should come back at the earliest.
const MIN_RATE_RETRY: Duration = Duration::from_millis(50);
/// Time after which a client whose customer has no share on this host yet should come back.
const SHARE_RETRY: Duration = Duration::from_millis(400);
/// Time after which a client should come back when its group has no usable primary.
const UNSERVED_RETRY: Duration = Duration::from_millis(400);

impl ClientSession {
    /// Answers a statement. The second part tells whether the session has to end.
    pub(super) async fn answer(&mut self, id: &str, text: &str) -> (String, bool) {
        let Ok(statement) = line::decode_statement(text) else {
            return (self.refuse(id, &malformed("unknown statement")), false);
        };
        let access = identify(&self.host, &self.database, &self.key);
        let (identity, route) = match access {
            Ok(access) => access,
            // A route that is gone still serves the open transaction.
            Err(AccessError::UnknownDatabase) if self.transaction.is_some() => {
                let Some(route) = self.transaction.as_ref().map(|open| open.route.clone()) else {
                    return (self.refuse(id, &malformed("no transaction")), true);
                };
                (CallerIdentity::Anonymous, route)
            }
            Err(error) => {
                self.transaction = None;
                self.state = SessionState::Idle;
                let failure = OperationFailure::new(access_reason(error), &error.to_string());
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
        self.host.metrics.count_statement(kind_of(&route), outcome, took);
        (text, false)
    }

    fn refuse(&mut self, id: &str, failure: &OperationFailure) -> String {
        let reason = format!("{:?}", failure.reason);
        self.host.metrics.refusals.with_label_values(&[&reason]).inc();
        journal::request("refused", || {
            let now = boot_now();
            let book = self.host.book.borrow();
            let route = book.catalog.as_ref().and_then(|catalog| catalog.route(&self.database));
            let group = route.map(|route| route.group.as_str());
            let row = group.and_then(|group| book.groups.get(group)).map(|entry| entry.version);
            let millis = |duration: Duration| duration.as_millis() as u64;
            json!({
                "request": id,
                "database": self.database,
                "group": group,
                "group_row": row,
                "reason": reason,
                "text": failure.text,
                "held_ms": millis(now.since(self.last_request)),
                "retry_ms": failure.retry_after.map(millis),
                "lease_left_ms": book.lease.until().map(|until| millis(until.since(now))),
                "catalog": book.catalog.as_ref().map(|catalog| catalog.version),
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
                self.check_served(route, is_read_only).await?;
                self.admit(identity, route).await?;
                self.transaction = Some(OpenTransaction::new(route.clone(), is_read_only));
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
                self.image.set_value(name, value);
                Ok(line::completed(self.state))
            }
            (_, ClientStatement::Prepare { name, mode, shape }) => {
                self.image.prepare(name, PreparedShape::new(mode, shape));
                Ok(line::completed(self.state))
            }
            (_, ClientStatement::Deallocate { name }) => match self.image.deallocate(name) {
                true => Ok(line::completed(self.state)),
                false => Err(OperationFailure::new(FailureReason::UnknownPrepared, name)),
            },
            (_, ClientStatement::Rollback) => self.roll_back(identity).await,
            (_, ClientStatement::Commit) => {
                let request = AccessRequest { id, text, mode: AccessMode::Read, prepared: None };
                self.commit(identity, request).await
            }
            (_, ClientStatement::Access(mode)) => {
                let request = AccessRequest { id, text, mode, prepared: None };
                self.access(identity, route, request).await
            }
            (_, ClientStatement::Execute { name, arguments }) => {
                let unknown = || OperationFailure::new(FailureReason::UnknownPrepared, name);
                let shape = self.image.prepared(name).cloned().ok_or_else(unknown)?;
                let text = line::execute_text(&shape.shared_name, arguments);
                let (mode, prepared) = (shape.mode, Some(&shape));
                self.access(identity, route, AccessRequest { id, text: &text, mode, prepared })
                    .await
            }
        }
    }

    /// Takes a token of the customer's rate for one operation. A host that has none borrows one, or
    /// waits a moment for the next.
    async fn admit(
        &self,
        identity: &CallerIdentity,
        route: &DatabaseRoute,
    ) -> Result<(), OperationFailure> {
        let Some(customer) = identity.customer() else { return Ok(()) };
        let Some(first) = self.take_token(customer).err() else { return Ok(()) };
        if lending::borrow(&self.host, customer).await && self.take_token(customer).is_ok() {
            return Ok(());
        }
        let wait_until = StatementTimes::new(route, self.last_request).wait_until;
        if let Some(ready_at) = first.filter(|ready_at| *ready_at <= wait_until) {
            sleep_until(ready_at).await;
            if self.take_token(customer).is_ok() {
                return Ok(());
            }
        }
        let now = boot_now();
        let after = first.map_or(SHARE_RETRY, |at| at.since(now).max(MIN_RATE_RETRY));
        let units = self.host.book.borrow().quota.units(customer);
        let text = format!("the rate of {customer} is used up (share {units} ppm)");
        Err(OperationFailure::busy(&text, after))
    }

    /// Refuses what cannot be served now before it costs anything.
    async fn check_served(
        &self,
        route: &DatabaseRoute,
        is_read: bool,
    ) -> Result<(), OperationFailure> {
        let now = boot_now();
        let served = self.host.book.borrow().is_served(route, is_read, self.written, now);
        let Err(refusal) = served else { return Ok(()) };
        // Other hosts of the failure domain may reach the primary.
        if is_read && floors::read_floor(&self.host, route, self.written, now).await.is_some() {
            return Ok(());
        }
        Err(OperationFailure::busy(&refusal.to_string(), UNSERVED_RETRY))
    }

    /// Returns the token of an operation of which nothing has run.
    fn refund(&self, identity: &CallerIdentity, failure: &OperationFailure) {
        match identity.customer() {
            Some(customer) if failure.reason == FailureReason::Busy => {
                self.host.book.borrow_mut().quota.refund(customer, boot_now());
            }
            _ => (),
        }
    }

    /// Takes a token, or tells when there will be one.
    fn take_token(&self, customer: &str) -> Result<(), Option<BootInstant>> {
        self.host.book.borrow_mut().quota.admit(customer, boot_now())
    }

    async fn access(
        &mut self,
        identity: &CallerIdentity,
        route: &Arc<DatabaseRoute>,
        request: AccessRequest<'_>,
    ) -> Result<String, OperationFailure> {
        let customer = identity.customer().unwrap_or(ANONYMOUS);
        match self.transaction.as_mut() {
            Some(open) => {
                let group = open.route.group.clone();
                let (host, session) = (&self.host, &self.image);
                let place = RunPlace { host, group: &group, customer, session };
                match open.run(place, self.written, request).await {
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
                self.check_served(route, is_read).await?;
                self.admit(identity, route).await?;
                let times = StatementTimes::new(route, self.last_request);
                let (host, session) = (&self.host, &self.image);
                let place = RunPlace { host, group: &route.group, customer, session };
                let result = match request.mode {
                    AccessMode::Read => {
                        operation::read(place, route, self.written, request, times).await
                    }
                    AccessMode::Write => operation::primary(place, request, times).await,
                };
                let reply = result.inspect_err(|failure| self.refund(identity, failure))?;
                if request.mode == AccessMode::Write && reply.failure.is_none() {
                    self.note_written(&reply);
                }
                Ok(format!("{}{}", reply.text, line::ready(self.state)))
            }
        }
    }

    fn note_written(&mut self, reply: &EndpointReply) {
        self.written = self.written.max(reply.position);
    }

    /// Passes on a reply within a transaction, and takes over the state that the endpoint gives.
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
        let customer = identity.customer().unwrap_or(ANONYMOUS);
        let place = RunPlace { host: &self.host, group: &group, customer, session: &self.image };
        let has_written = open.has_written;
        let reply = open.commit(place, self.written, request).await?;
        if has_written && reply.failure.is_none() {
            self.note_written(&reply);
        }
        Ok(format!("{}{}", reply.text, line::ready(self.state)))
    }

    async fn roll_back(&mut self, identity: &CallerIdentity) -> Result<String, OperationFailure> {
        self.state = SessionState::Idle;
        let Some(open) = self.transaction.take() else { return Err(malformed("no transaction")) };
        let group = open.route.group.clone();
        let customer = identity.customer().unwrap_or(ANONYMOUS);
        let place = RunPlace { host: &self.host, group: &group, customer, session: &self.image };
        open.roll_back(place).await;
        Ok(line::completed(self.state))
    }
}

fn kind_of(route: &DatabaseRoute) -> &'static str {
    match route.consistency {
        ReadConsistency::Current => "current",
        ReadConsistency::Bounded(_) => "bounded",
        ReadConsistency::Session(_) => "session",
    }
}

fn malformed(text: &str) -> OperationFailure {
    OperationFailure::new(FailureReason::Malformed, text)
}
