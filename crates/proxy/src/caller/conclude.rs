//! What follows the reply of an endpoint: confirmation, response, or the verdict on a failure.

use pgwire::messages::response::TransactionStatus;
use tanagerdeal_core::message::caller::{CallerAnswer, CallerCall, DispatchPlan, RequestEnding};
use tanagerdeal_core::statement::StatementClass;
use tanagerdeal_core::verdict::{RefusalCode, RequestRefusal, RunVerdict};
use tanagerdeal_wire::member::LogPosition;

use super::exchange::{ExchangeFault, ExchangeReply};
use super::reply;
use super::request::{AttemptEnd, Request};
use super::session::{Session, SessionEnd, Transaction};
use super::setting::SessionSetting;
use crate::endpoint::ConnectionLease;

impl Session {
    /// A read at a position that the session may not see. Nothing of it has reached the client.
    pub(super) fn reject(
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
    pub(super) async fn conclude(
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
        let is_tainted = was_cancelled
            || taints(request, &reply)
            || earlier.as_ref().is_some_and(|earlier| earlier.is_tainted);
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
        // Of an explicit transaction only the position reported with COMMIT is that of the commit.
        let flushed = earlier.filter(|earlier| earlier.is_batch);
        let position = reply.position.or(flushed.and_then(|earlier| earlier.position));
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
        transaction.is_tainted |= was_cancelled || taints(request, reply);
        transaction.wrote |= request.writes;
        transaction.has_portal |= reply.is_suspended;
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
    pub(super) fn fail(
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
            // A batch that is its own transaction may be committed by the endpoint before Sync.
            if commits || transaction.is_batch {
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
    pub(super) async fn repeat(
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
}

/// Whether a request leaves its connection in a state that the proxy does not know: settings made by
/// functions, or prepared statements that are gone or out of date.
fn taints(request: &Request, reply: &ExchangeReply) -> bool {
    let is_discard = request.settings.iter().any(SessionSetting::is_discard);
    reply.is_stale || request.leaves_state || is_discard
}

/// Returns a connection to its pool, or closes it when a cancel request may still reach it.
pub(super) fn drop_or_return(lease: ConnectionLease, is_tainted: bool) {
    match is_tainted {
        true => drop(lease),
        false => lease.give_back(),
    }
}

fn rolled_back(fault: &ExchangeFault) -> RequestRefusal {
    let message = format!("transaction rolled back: {fault}");
    RequestRefusal::not_run(RefusalCode::Unavailable, &message)
}
