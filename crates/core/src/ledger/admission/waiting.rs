//! Changes of the queue of an endpoint.

use std::time::Duration;

use super::turns::ServiceLevel;
use super::{
    AdmissionDecision, AdmissionRefusal, EndpointAdmission, RefusalReason, RunningStatement,
    StatementDemand, TicketKey, WaitingStatement,
};
use crate::ledger::capacity::{WorkClass, WorkKind};
use crate::ledger::clock::BootInstant;
use crate::profile::SchedulerPolicy;
use crate::schedule::flow::{FlowEntry, FlowPosition};
use crate::schedule::{QueueOrder, QueuePass, WorkLane};

/// Longest time after which a refused client is asked to retry, so that clients are back soon after
/// a surge has ended.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

impl EndpointAdmission {
    pub(super) fn enqueue(
        &mut self,
        level: ServiceLevel,
        demand: &StatementDemand<'_>,
    ) -> TicketKey {
        let ticket = self.tickets.insert(());
        self.sequence += 1;
        let order = QueueOrder(Some(demand.wait_deadline), self.sequence);
        let lane = lane_of(demand.work.kind);
        let (account, work) = (demand.customer.to_owned(), demand.work);
        let position = FlowPosition { account: account.clone(), lane, order };
        let entry = FlowEntry { account, lane, item: ticket, weight: 1, worth: 1 };
        self.queues.entry(level).or_default().add(order, entry);
        self.turns.add(level);
        let statement = WaitingStatement { level, position, work, deadline: demand.wait_deadline };
        self.waiting.insert(ticket, statement);
        ticket
    }

    /// Removes a waiting statement from the queue without serving it.
    pub(super) fn withdraw(&mut self, ticket: TicketKey) -> Option<WaitingStatement> {
        let statement = self.waiting.remove(ticket)?;
        self.tickets.remove(ticket);
        self.turns.remove(statement.level);
        if let Some(queue) = self.queues.get_mut(&statement.level) {
            queue.remove(&statement.position);
        }
        Some(statement)
    }

    /// Refuses the statement that would be served last, if it is less urgent than `level`.
    pub(super) fn displace(&mut self, now: BootInstant, level: ServiceLevel) -> bool {
        let lowest = self.turns.waiting().next_back().map(|(lowest, _)| lowest);
        let queue =
            lowest.filter(|lowest| *lowest > level).and_then(|lowest| self.queues.get(&lowest));
        let Some(ticket) = queue.and_then(|queue| queue.service_order().pop()) else {
            return false;
        };
        let wait = lowest.map_or(Duration::ZERO, |lowest| self.expected_wait(now, lowest));
        let mut displaced = std::mem::take(&mut self.displaced);
        self.refuse_waiting(now, ticket, RefusalReason::QueueFull, wait, &mut displaced);
        self.displaced = displaced;
        true
    }

    pub(super) fn refuse_expired(
        &mut self,
        now: BootInstant,
        decisions: &mut Vec<AdmissionDecision>,
    ) {
        let expired = self.waiting.iter().filter(|(_, statement)| statement.deadline <= now);
        let expired: Vec<_> = expired.map(|(ticket, _)| ticket).collect();
        for ticket in expired {
            let level = self.waiting.get(ticket).map(|statement| statement.level);
            let wait = level.map_or(Duration::ZERO, |level| self.expected_wait(now, level));
            self.refuse_waiting(now, ticket, RefusalReason::Expired, wait, decisions);
        }
    }

    pub(super) fn start_waiting(
        &mut self,
        now: BootInstant,
        decisions: &mut Vec<AdmissionDecision>,
    ) {
        while self.running.len() < self.limit() && now >= self.full_until {
            let Some((ticket, work)) = self.serve_next(now) else { return };
            self.running.insert(ticket, RunningStatement { work, started: now });
            decisions.push(AdmissionDecision::Start(ticket));
        }
    }

    /// Removes the statement whose turn it is from the queue.
    fn serve_next(&mut self, now: BootInstant) -> Option<(TicketKey, WorkClass)> {
        let level = self.turns.take_next()?;
        let queue = self.queues.get_mut(&level)?;
        let (position, ticket) = queue.next(SchedulerPolicy::Fair, &QueuePass::default())?;
        queue.serve(now, &position);
        self.waiting.remove(ticket).map(|statement| (ticket, statement.work))
    }

    pub(super) fn refuse_waiting(
        &mut self,
        now: BootInstant,
        ticket: TicketKey,
        reason: RefusalReason,
        wait: Duration,
        decisions: &mut Vec<AdmissionDecision>,
    ) {
        if let Some(statement) = self.withdraw(ticket) {
            let refusal = self.refuse(now, statement.level, reason, wait);
            decisions.push(AdmissionDecision::Refuse(ticket, refusal));
        }
    }

    /// Clients that are refused one after another are asked to retry at the rate at which their
    /// level is served, and not before the work that is ahead of them is done.
    pub(super) fn refuse(
        &mut self,
        now: BootInstant,
        level: ServiceLevel,
        reason: RefusalReason,
        wait: Duration,
    ) -> AdmissionRefusal {
        self.turns.note_refused(level);
        let interval = self.mean_interval(now).div_f64(self.share(now, level));
        let last_retry = self.retries.get(&level).copied().unwrap_or(now);
        let retry_at = last_retry.after(interval).max(now.after(wait.max(interval)));
        let retry_at = retry_at.min(now.after(MAX_RETRY_DELAY));
        self.retries.insert(level, retry_at);
        AdmissionRefusal { reason, retry_after: retry_at.since(now) }
    }
}

/// Lane of a kind of work; commits wait with the writes.
fn lane_of(kind: WorkKind) -> WorkLane {
    match kind {
        WorkKind::Read => WorkLane::Read,
        WorkKind::Write | WorkKind::Commit => WorkLane::Write,
    }
}
