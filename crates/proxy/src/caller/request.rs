//! One request: placement, connection, exchange, confirmation.

use std::time::{Duration, Instant};

use pgwire::messages::response::TransactionStatus;
use pgwire::messages::simplequery::Query;
use tanagerdeal_core::message::caller::{CallerAnswer, CallerCall, DispatchPlan, RequestEnding};
use tanagerdeal_core::statement::StatementClass;
use tanagerdeal_core::verdict::{RefusalCode, RequestRefusal, RunVerdict};
use tanagerdeal_wire::member::LogPosition;
use tokio::time::timeout;

use super::batch::ExtendedBatch;
use super::exchange::{Exchange, ExchangeFault, ExchangeReply, ExchangeRules};
use super::place::{PlaceFault, SessionSetting};
use super::record::{RecordMode, RecordedReply};
use super::reply;
use super::session::{Session, SessionEnd, Transaction};
use crate::endpoint::ConnectionLease;

/// Attempts of one request; the core's retry budget usually ends them earlier.
const MAX_ATTEMPTS: usize = 4;
/// Time that a client has to take a response that is complete.
const CLIENT_WRITE_TIMEOUT: Duration = Duration::from_secs(60);

/// What a request sends.
pub(super) enum RequestBody {
    /// A simple query.
    Query(String),
    /// A batch of the extended protocol.
    Batch(ExtendedBatch),
}

/// A request of a client.
pub(super) struct Request {
    pub(super) body: RequestBody,
    /// Class under which it is placed.
    pub(super) class: StatementClass,
    /// Whether one of its statements may write.
    pub(super) writes: bool,
    /// Whether one of its statements only reads, so that rows are checked.
    pub(super) reads: bool,
    /// Whether it is one text with BEGIN and COMMIT.
    pub(super) is_block: bool,
    /// Whether it ends with Sync, as simple queries do in effect.
    pub(super) ends_with_sync: bool,
    /// Session settings that it makes.
    pub(super) settings: Vec<SessionSetting>,
}

/// How an attempt ended.
enum AttemptEnd {
    /// The client has its response.
    Done,
    /// Nothing has reached the client; the request may be placed again.
    Again(RequestRefusal),
    /// Final.
    Refused(RequestRefusal),
}

/// Result of sending a request and reading the reply.
struct ExchangeEnd {
    result: Result<RecordedReply, ExchangeFault>,
    has_delivered: bool,
    was_cancelled: bool,
}

impl Request {
    fn commits(&self, transaction: Option<&Transaction>) -> bool {
        let is_batch = transaction.is_some_and(|transaction| transaction.is_batch);
        matches!(self.class, StatementClass::Commit) || (is_batch && self.ends_with_sync)
    }
}

impl Session {
    /// Runs a request and writes its response.
    pub(super) async fn run(&mut self, request: Request) -> Result<(), SessionEnd> {
        let started = Instant::now();
        let mut last = RequestRefusal::not_run(RefusalCode::Unavailable, "no endpoint was found");
        for attempt in 0..MAX_ATTEMPTS {
            let plan = match self.place(&request.class, attempt > 0).await {
                Ok(plan) => plan,
                Err(PlaceFault::Refused(mut refusal)) => {
                    // What the core says of a further attempt must not hide an earlier one.
                    refusal.verdict = refusal.verdict.max(last.verdict);
                    return self.refuse(&refusal, request.ends_with_sync).await;
                }
                Err(PlaceFault::Cancelled) => return self.refuse_cancelled(&request).await,
                Err(PlaceFault::ClientGone) => return Err(SessionEnd::ClientGone),
            };
            match self.attempt(&request, &plan).await? {
                AttemptEnd::Done => {
                    self.context.metrics.observe(&request.class, started.elapsed());
                    return Ok(());
                }
                AttemptEnd::Refused(refusal) => {
                    return self.refuse(&refusal, request.ends_with_sync).await;
                }
                AttemptEnd::Again(refusal) => last = worse(last, refusal),
            }
        }
        self.refuse(&last, request.ends_with_sync).await
    }

    async fn attempt(
        &mut self,
        request: &Request,
        plan: &DispatchPlan,
    ) -> Result<AttemptEnd, SessionEnd> {
        let mode = RecordMode::of(plan, request, self.transaction.is_some());
        if plan.record.is_some() && !mode.is_recorded() {
            self.end(plan, RequestEnding::NotSent, false);
            let message = "a request id needs a simple query or a batch that ends with Sync";
            let refusal = RequestRefusal::not_run(RefusalCode::Unsupported, message);
            return Ok(AttemptEnd::Refused(refusal));
        }
        let mut lease = match self.connect(plan).await {
            Ok(lease) => lease,
            Err(error) => {
                log::warn!("endpoint: {}: no connection: {error}", plan.name);
                self.end(plan, RequestEnding::NotSent, false);
                let message = format!("no connection to an endpoint: {error}");
                let refusal = RequestRefusal::not_run(RefusalCode::Unavailable, &message);
                return Ok(AttemptEnd::Again(refusal));
            }
        };
        let end = self.exchange(request, plan, &mode, &mut lease).await;
        match end.result {
            Ok(RecordedReply::First(reply)) if reply.rejected.is_some() => {
                Ok(self.reject(plan, lease, reply, end.was_cancelled))
            }
            Ok(RecordedReply::First(reply)) => {
                self.conclude(request, plan, lease, reply, end.was_cancelled).await
            }
            Ok(RecordedReply::Repeat { outcome, position }) => {
                drop_or_return(lease, end.was_cancelled);
                self.repeat(request, plan, &outcome, position).await
            }
            Err(fault) => {
                drop(lease);
                self.fail(request, plan, fault, end.has_delivered)
            }
        }
    }

    /// Sends the request and reads the reply.
    async fn exchange(
        &mut self,
        request: &Request,
        plan: &DispatchPlan,
        mode: &RecordMode<'_>,
        lease: &mut ConnectionLease,
    ) -> ExchangeEnd {
        let in_transaction = self.transaction.is_some();
        let commits = request.commits(self.transaction.as_ref());
        let rules = ExchangeRules {
            deadline: plan.deadline,
            dispatch: plan.dispatch,
            required: Some(plan.required).filter(|_| request.reads && !request.writes),
            holds_completion: commits
                || mode.is_recorded()
                || (!in_transaction && request.writes && request.ends_with_sync),
            buffer_bytes: self.context.limits.buffer_bytes,
        };
        self.cancel.begin(lease.connection().cancel_target()).await;
        mode.write_before(lease.connection());
        // Noted before it is known whether they succeed: a connection whose settings differ from
        // those noted is reset before it is used again.
        let texts = request.settings.iter().map(|setting| setting.text.clone());
        lease.connection().settings.extend(texts);
        let expected = match &request.body {
            RequestBody::Query(sql) => {
                lease.connection().push(&Query::new(sql.clone()));
                None
            }
            RequestBody::Batch(batch) => {
                let connection = lease.connection();
                let script = batch.script(&mut connection.prepared, request.ends_with_sync);
                connection.push_bytes(&script.bytes);
                Some(script.expected)
            }
        };
        let driver = &self.context.driver;
        let mut exchange = Exchange::new(&mut self.client, lease, driver, rules, expected);
        if !request.ends_with_sync {
            exchange = exchange.ends_without_sync();
        }
        let result = mode.run(&mut exchange).await;
        let has_delivered = exchange.has_delivered;
        let was_cancelled = self.cancel.end().await;
        ExchangeEnd { result, has_delivered, was_cancelled }
    }

    /// A read at a position that the session may not see. Nothing of it has reached the client.
    fn reject(
        &mut self,
        plan: &DispatchPlan,
        lease: ConnectionLease,
        reply: ExchangeReply,
        was_cancelled: bool,
    ) -> AttemptEnd {
        let refusal = reply.rejected.unwrap_or_else(|| RequestRefusal::may_have_run("rejected"));
        self.end(plan, RequestEnding::Failed, false);
        if let Some(transaction) = &mut self.transaction {
            drop(lease);
            transaction.fail();
            return AttemptEnd::Refused(refusal);
        }
        match reply.status {
            Some(TransactionStatus::Idle) => drop_or_return(lease, was_cancelled),
            _ => drop(lease),
        }
        match refusal.code {
            RefusalCode::WriteLost => AttemptEnd::Refused(refusal),
            _ => AttemptEnd::Again(refusal),
        }
    }

    /// A complete reply: the connection goes back or stays with the transaction, a commit is
    /// confirmed, and the response is written.
    async fn conclude(
        &mut self,
        request: &Request,
        plan: &DispatchPlan,
        lease: ConnectionLease,
        reply: ExchangeReply,
        was_cancelled: bool,
    ) -> Result<AttemptEnd, SessionEnd> {
        if reply.status != Some(TransactionStatus::Idle) {
            self.pin(request, plan, lease, &reply, was_cancelled);
            self.end_replied(plan, &reply, true);
            self.is_skipping = reply.is_error && !request.ends_with_sync;
            return self.finish(&reply, None).await;
        }
        let earlier = self.transaction.take();
        self.statements.end_transaction();
        let is_tainted =
            was_cancelled || earlier.as_ref().is_some_and(|earlier| earlier.is_tainted);
        drop_or_return(lease, is_tainted);
        let has_committed = !reply.is_error && reply.tag.as_deref() != Some("ROLLBACK");
        if has_committed {
            self.keep_settings(request, earlier.as_ref());
        }
        let wrote = request.writes || earlier.as_ref().is_some_and(|earlier| earlier.wrote);
        if !wrote || !has_committed {
            self.end_replied(plan, &reply, false);
            return self.finish(&reply, None).await;
        }
        let position = reply.position.or(earlier.and_then(|earlier| earlier.position));
        match self.confirm(plan, position).await {
            Ok(token) => self.finish(&reply, Some(token)).await,
            Err(refusal) => Ok(AttemptEnd::Refused(refusal)),
        }
    }

    /// Asks the core for the acknowledgement of a commit and ends the request.
    async fn confirm(
        &mut self,
        plan: &DispatchPlan,
        position: Option<LogPosition>,
    ) -> Result<String, RequestRefusal> {
        let Some(position) = position else {
            self.end(plan, RequestEnding::Lost, false);
            return Err(RequestRefusal::may_have_run("the endpoint reported no commit position"));
        };
        let call = CallerCall::ConfirmCommit { dispatch: plan.dispatch, position };
        let answer = self.context.driver.call(call).await;
        self.end(plan, RequestEnding::Answered, false);
        match answer {
            CallerAnswer::CommitConfirmed { token } => Ok(token),
            CallerAnswer::Refused(refusal) if refusal.verdict != RunVerdict::NotRun => Err(refusal),
            _ => Err(RequestRefusal::may_have_run("the commit could not be confirmed")),
        }
    }

    /// Keeps the connection for the rest of the transaction.
    fn pin(
        &mut self,
        request: &Request,
        plan: &DispatchPlan,
        lease: ConnectionLease,
        reply: &ExchangeReply,
        was_cancelled: bool,
    ) {
        let is_new = self.transaction.is_none();
        let transaction = self.transaction.get_or_insert_with(|| Transaction::new(plan.dispatch));
        transaction.lease = Some(lease);
        transaction.is_tainted |= was_cancelled;
        transaction.wrote |= request.writes;
        transaction.position = reply.position.or(transaction.position);
        transaction.is_flushed = reply.status.is_none();
        transaction.is_batch = transaction.is_flushed && (is_new || transaction.is_batch);
        transaction.is_failed |= transaction.is_batch && reply.is_error;
        if !reply.is_error {
            transaction.settings.extend(request.settings.iter().cloned());
        }
    }

    /// Writes what was held of the response, and its end.
    async fn finish(
        &mut self,
        reply: &ExchangeReply,
        token: Option<String>,
    ) -> Result<AttemptEnd, SessionEnd> {
        if let Some(token) = token {
            self.client.push_frame(&reply::token(&token));
        }
        reply.held.iter().for_each(|frame| self.client.push_frame(frame));
        if let Some(status) = reply.status {
            self.client.push(&reply::ready(status));
        }
        self.flush().await?;
        Ok(AttemptEnd::Done)
    }

    /// An exchange that failed. Its connection has been closed.
    fn fail(
        &mut self,
        request: &Request,
        plan: &DispatchPlan,
        fault: ExchangeFault,
        has_delivered: bool,
    ) -> Result<AttemptEnd, SessionEnd> {
        self.end(plan, RequestEnding::Lost, false);
        self.context.metrics.count_lost();
        log::warn!("endpoint: {}: {fault}", plan.name);
        if matches!(fault, ExchangeFault::ClientGone) {
            return Err(SessionEnd::ClientGone);
        }
        let lost = RequestRefusal::may_have_run(&fault.to_string());
        let commits = request.commits(self.transaction.as_ref());
        if let Some(transaction) = &mut self.transaction {
            if commits {
                let wrote = transaction.wrote || request.writes;
                self.transaction = None;
                return Ok(AttemptEnd::Refused(if wrote { lost } else { rolled_back(&fault) }));
            }
            transaction.fail();
            return Ok(AttemptEnd::Refused(rolled_back(&fault)));
        }
        let is_harmless = matches!(request.class, StatementClass::Begin { .. }) && !request.writes;
        let may_repeat = plan.repeatable && !matches!(fault, ExchangeFault::Deadline);
        Ok(match has_delivered {
            false if is_harmless => AttemptEnd::Again(rolled_back(&fault)),
            false if may_repeat => AttemptEnd::Again(lost),
            _ => AttemptEnd::Refused(lost),
        })
    }

    /// A request id that was used before: the first outcome is told once it is confirmed.
    async fn repeat(
        &mut self,
        request: &Request,
        plan: &DispatchPlan,
        outcome: &str,
        position: Option<LogPosition>,
    ) -> Result<AttemptEnd, SessionEnd> {
        let token = match self.confirm(plan, position).await {
            Ok(token) => token,
            Err(refusal) => return Ok(AttemptEnd::Refused(refusal)),
        };
        self.client.push_frame(&reply::token(&token));
        if let StatementClass::Begin { .. } = request.class {
            let message = "ran: the transaction with this request id has been committed";
            let detail = Some(format!("outcome={outcome}"));
            let sqlstate = reply::UNIQUE_VIOLATION;
            self.client.push(&reply::error(reply::Severity::Error, sqlstate, message, detail));
        } else {
            self.push_local_reply(&request.body, outcome);
        }
        self.client.push(&reply::ready(TransactionStatus::Idle));
        self.flush().await?;
        Ok(AttemptEnd::Done)
    }

    async fn refuse_cancelled(&mut self, request: &Request) -> Result<(), SessionEnd> {
        if let Some(transaction) = &mut self.transaction {
            transaction.fail();
        }
        let message = "not run: canceled by the client";
        self.refuse_with(reply::QUERY_CANCELED, message, request.ends_with_sync).await
    }

    /// Writes the output to the client.
    pub(super) async fn flush(&mut self) -> Result<(), SessionEnd> {
        match timeout(CLIENT_WRITE_TIMEOUT, self.client.flush()).await {
            Ok(Ok(())) => Ok(()),
            _ => Err(SessionEnd::ClientGone),
        }
    }

    /// Tells the core that a request ended with a complete reply.
    fn end_replied(&self, plan: &DispatchPlan, reply: &ExchangeReply, in_transaction: bool) {
        let ending = if reply.is_error { RequestEnding::Failed } else { RequestEnding::Answered };
        let (dispatch, seen) = (plan.dispatch, reply.seen);
        let call = CallerCall::EndRequest { dispatch, ending, seen, in_transaction };
        self.context.driver.tell(call);
    }

    /// Tells the core how a request without a reply for the client ended.
    pub(super) fn end(&self, plan: &DispatchPlan, ending: RequestEnding, in_transaction: bool) {
        let dispatch = plan.dispatch;
        let seen = None;
        let call = CallerCall::EndRequest { dispatch, ending, seen, in_transaction };
        self.context.driver.tell(call);
    }
}

/// Returns a connection to its pool, or closes it when a cancel request may still reach it.
pub(super) fn drop_or_return(lease: ConnectionLease, is_tainted: bool) {
    match is_tainted {
        true => drop(lease),
        false => lease.give_back(),
    }
}

/// The refusal whose verdict claims less.
fn worse(last: RequestRefusal, next: RequestRefusal) -> RequestRefusal {
    match last.verdict {
        RunVerdict::NotRun => next,
        _ => last,
    }
}

fn rolled_back(fault: &ExchangeFault) -> RequestRefusal {
    let message = format!("transaction rolled back: {fault}");
    RequestRefusal::not_run(RefusalCode::Unavailable, &message)
}
