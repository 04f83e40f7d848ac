//! One request: placement, connection, exchange, confirmation.

use std::time::{Duration, Instant};

use pgwire::messages::simplequery::Query;
use tanagerdeal_core::message::caller::{CallerCall, DispatchPlan, RequestEnding};
use tanagerdeal_core::statement::StatementClass;
use tanagerdeal_core::verdict::{RefusalCode, RequestRefusal, RunVerdict};
use tokio::time::timeout;

use super::batch::ExtendedBatch;
use super::conclude::drop_or_return;
use super::exchange::{Exchange, ExchangeFault, ExchangeReply, ExchangeRules};
use super::place::PlaceFault;
use super::record::{RecordMode, RecordedReply};
use super::reply;
use super::session::{Session, SessionEnd, Transaction};
use super::setting::SessionSetting;
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
    /// Whether its connection must not serve another session.
    pub(super) leaves_state: bool,
    /// Session settings that it makes.
    pub(super) settings: Vec<SessionSetting>,
}

/// How an attempt ended.
pub(super) enum AttemptEnd {
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
    pub(super) fn commits(&self, transaction: Option<&Transaction>) -> bool {
        let is_batch = transaction.is_some_and(|transaction| transaction.is_batch);
        // A block inside an open transaction commits that transaction.
        matches!(self.class, StatementClass::Commit)
            || self.is_block
            || (is_batch && self.ends_with_sync)
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
                abandon(lease, &fault);
                self.fail(request, plan, fault, end.has_delivered)
            }
        }
    }

    /// How the reply to a request is to be treated.
    fn rules(
        &self,
        request: &Request,
        plan: &DispatchPlan,
        mode: &RecordMode<'_>,
    ) -> ExchangeRules {
        let in_transaction = self.transaction.is_some();
        let commits = request.commits(self.transaction.as_ref());
        ExchangeRules {
            deadline: plan.deadline,
            dispatch: plan.dispatch,
            required: Some(plan.required).filter(|_| request.reads && !request.writes),
            is_single: !request.is_block,
            continues_portal: self.transaction.as_ref().is_some_and(|open| open.has_portal),
            holds_completion: commits
                || mode.is_recorded()
                || (!in_transaction && request.writes && request.ends_with_sync),
            buffer_bytes: self.context.limits.buffer_bytes,
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
        let rules = self.rules(request, plan, mode);
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
    pub(super) fn end_replied(
        &self,
        plan: &DispatchPlan,
        reply: &ExchangeReply,
        in_transaction: bool,
    ) {
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

/// Closes a connection. A statement that may still run on it is cancelled first, so that it does not
/// go on using the endpoint for nobody; the connection serves no other session in the meantime.
fn abandon(mut lease: ConnectionLease, fault: &ExchangeFault) {
    if !matches!(fault, ExchangeFault::Deadline | ExchangeFault::ClientGone) {
        return;
    }
    let target = lease.connection().cancel_target();
    tokio::spawn(async move {
        if let Err(error) = target.send().await {
            log::debug!("endpoint: an abandoned statement was not cancelled: {error}");
        }
        drop(lease);
    });
}

/// The refusal whose verdict claims less.
fn worse(last: RequestRefusal, next: RequestRefusal) -> RequestRefusal {
    match last.verdict {
        RunVerdict::NotRun => next,
        _ => last,
    }
}
