//! Which of the statements that wait for an endpoint starts next, and which is refused.
//!
//! One host schedules all statements for an endpoint. Statements of open transactions go first,
//! then those of more urgent routes; among statements of equal priority, customers are served in
//! turn, and each customer's statements by their deadline. Statements that can't start by their
//! deadline are refused as soon as this is known.

mod forecast;
mod turns;
mod types;
mod waiting;

use std::collections::BTreeMap;
use std::time::Duration;

use slotmap::{SecondaryMap, SlotMap, new_key_type};

pub use self::types::{
    AdmissionDecision, AdmissionRefusal, AdmissionSummary, RefusalReason, StatementDemand,
    WorkOutcome,
};

use self::forecast::DemandMeter;
use self::turns::{ServiceLevel, TurnTable};
use super::capacity::{EndpointCapacity, EndpointHealth, WorkClass};
use super::clock::BootInstant;
use crate::schedule::flow::{FlowPosition, FlowQueue};
use crate::schedule::{QueueInstant, is_admitted};

/// Maximum number of statements that wait for an endpoint, which bounds memory use.
const MAX_WAITING: usize = 1_024;

/// Bounds of the pause after an endpoint has refused a statement because it is full.
const MIN_FULL_PAUSE: Duration = Duration::from_millis(1);
const MAX_FULL_PAUSE: Duration = Duration::from_millis(30);

new_key_type! {
    /// Key of a statement that waits or runs.
    pub struct TicketKey;
}

/// The statements that wait for one endpoint and those that run on it.
pub struct EndpointAdmission {
    capacity: EndpointCapacity,
    queues: BTreeMap<ServiceLevel, FlowQueue<String, TicketKey, BootInstant>>,
    turns: TurnTable,
    tickets: SlotMap<TicketKey, ()>,
    waiting: SecondaryMap<TicketKey, WaitingStatement>,
    running: SecondaryMap<TicketKey, RunningStatement>,
    demand: BTreeMap<ServiceLevel, DemandMeter>,
    /// Latest time at which a refused client was asked to retry.
    retries: BTreeMap<ServiceLevel, BootInstant>,
    /// Statements that made room for more urgent ones in a full queue.
    displaced: Vec<AdmissionDecision>,
    sequence: u64,
    /// Until when the endpoint counts as full after it refused a statement.
    full_until: BootInstant,
    next_check: Option<BootInstant>,
}

struct WaitingStatement {
    level: ServiceLevel,
    position: FlowPosition<String, BootInstant>,
    work: WorkClass,
    deadline: BootInstant,
}

struct RunningStatement {
    work: WorkClass,
    started: BootInstant,
}

impl EndpointAdmission {
    /// An endpoint that has `slots` registered and about which nothing is known.
    ///
    /// ```
    /// use tanagerdeal_core::ledger::admission::EndpointAdmission;
    /// use tanagerdeal_core::ledger::clock::BootInstant;
    ///
    /// let now = BootInstant::from_micros(0);
    /// assert_eq!(EndpointAdmission::new(3, now).summary(now).running, 0);
    /// ```
    pub fn new(slots: u32, now: BootInstant) -> Self {
        Self {
            capacity: EndpointCapacity::new(slots),
            queues: BTreeMap::new(),
            turns: TurnTable::default(),
            tickets: SlotMap::with_key(),
            waiting: SecondaryMap::new(),
            running: SecondaryMap::new(),
            demand: BTreeMap::new(),
            retries: BTreeMap::new(),
            displaced: Vec::new(),
            sequence: 0,
            full_until: now,
            next_check: None,
        }
    }

    /// Applies a changed number of registered slots.
    ///
    /// ```
    /// use tanagerdeal_core::ledger::admission::EndpointAdmission;
    /// use tanagerdeal_core::ledger::clock::BootInstant;
    ///
    /// let now = BootInstant::from_micros(0);
    /// let mut admission = EndpointAdmission::new(3, now);
    /// admission.set_slots(6);
    /// assert!(admission.summary(now).limit >= 1);
    /// ```
    pub fn set_slots(&mut self, slots: u32) {
        self.capacity.set_slots(slots);
    }

    /// Adds a statement to the queue. [`Self::take_decisions`] tells when it may start.
    ///
    /// # Errors
    ///
    /// The statement is refused if it is not expected to start by its deadline.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use tanagerdeal_core::ledger::admission::{
    ///     AdmissionDecision, EndpointAdmission, StatementDemand,
    /// };
    /// use tanagerdeal_core::ledger::capacity::{WorkClass, WorkKind};
    /// use tanagerdeal_core::ledger::clock::BootInstant;
    ///
    /// let now = BootInstant::from_micros(0);
    /// let mut admission = EndpointAdmission::new(3, now);
    /// let demand = StatementDemand {
    ///     customer: "quarry",
    ///     priority: 0,
    ///     work: WorkClass { route: 1, kind: WorkKind::Read },
    ///     wait_deadline: now.after(Duration::from_millis(40)),
    ///     is_continuation: false,
    /// };
    /// let ticket = admission.submit(now, demand).unwrap();
    /// assert_eq!(admission.take_decisions(now), [AdmissionDecision::Start(ticket)]);
    /// ```
    pub fn submit(
        &mut self,
        now: BootInstant,
        demand: StatementDemand<'_>,
    ) -> Result<TicketKey, AdmissionRefusal> {
        let level = ServiceLevel { is_new: !demand.is_continuation, priority: demand.priority };
        if self.waiting.len() >= MAX_WAITING && !self.displace(now, level) {
            let wait = self.expected_wait(now, level);
            return Err(self.refuse(now, level, RefusalReason::QueueFull, wait));
        }
        let ticket = self.enqueue(level, &demand);
        let forecasts = self.forecast(now);
        let forecast = forecasts.iter().find(|forecast| forecast.ticket == ticket);
        let (start, wait) =
            forecast.map_or_else(Default::default, |forecast| (forecast.start, forecast.wait));
        // A slot that a statement is not expected to get in time would go to less urgent work. So
        // while there is any, statements are refused only if they are late in any case.
        let compared = if self.has_less_urgent(now, level) { start } else { wait };
        let remaining = demand.wait_deadline.since(now);
        if is_admitted(compared, remaining) {
            let service = self.capacity.service_time(demand.work);
            self.demand.entry(level).or_insert_with(|| DemandMeter::new(now)).add(now, service);
            self.next_check = Some(now);
            return Ok(ticket);
        }
        self.withdraw(ticket);
        let reason = match remaining.is_zero() {
            true => RefusalReason::Expired,
            false => RefusalReason::Backlog,
        };
        Err(self.refuse(now, level, reason, wait))
    }

    /// The statements that may start now, and those that can't start by their deadlines any more.
    /// To be called after each of the other calls, and at [`Self::next_deadline`].
    ///
    /// ```
    /// use tanagerdeal_core::ledger::admission::EndpointAdmission;
    /// use tanagerdeal_core::ledger::clock::BootInstant;
    ///
    /// let now = BootInstant::from_micros(0);
    /// assert!(EndpointAdmission::new(3, now).take_decisions(now).is_empty());
    /// ```
    pub fn take_decisions(&mut self, now: BootInstant) -> Vec<AdmissionDecision> {
        let mut decisions = std::mem::take(&mut self.displaced);
        self.refuse_expired(now, &mut decisions);
        self.start_waiting(now, &mut decisions);
        let forecasts = self.forecast(now);
        for late in forecasts.iter().filter(|forecast| forecast.is_late) {
            self.refuse_waiting(
                now,
                late.ticket,
                RefusalReason::Backlog,
                late.wait,
                &mut decisions,
            );
        }
        self.next_check = self.check_time(now, &forecasts);
        decisions
    }

    /// Removes a waiting statement whose client has left. A running one keeps its slot until
    /// [`Self::finish`].
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use tanagerdeal_core::ledger::admission::{EndpointAdmission, StatementDemand};
    /// use tanagerdeal_core::ledger::capacity::{WorkClass, WorkKind};
    /// use tanagerdeal_core::ledger::clock::BootInstant;
    ///
    /// let now = BootInstant::from_micros(0);
    /// let mut admission = EndpointAdmission::new(3, now);
    /// let demand = StatementDemand {
    ///     customer: "quarry",
    ///     priority: 0,
    ///     work: WorkClass { route: 1, kind: WorkKind::Read },
    ///     wait_deadline: now.after(Duration::from_millis(40)),
    ///     is_continuation: false,
    /// };
    /// let ticket = admission.submit(now, demand).unwrap();
    /// admission.cancel(now, ticket);
    /// assert!(admission.take_decisions(now).is_empty());
    /// ```
    pub fn cancel(&mut self, now: BootInstant, ticket: TicketKey) {
        self.withdraw(ticket);
        self.next_check = Some(now);
    }

    /// Records the end of a statement that was started. It must be called for each of them, since
    /// the statement holds a slot until then.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use tanagerdeal_core::ledger::admission::{
    ///     EndpointAdmission, StatementDemand, WorkOutcome,
    /// };
    /// use tanagerdeal_core::ledger::capacity::{WorkClass, WorkKind};
    /// use tanagerdeal_core::ledger::clock::BootInstant;
    ///
    /// let now = BootInstant::from_micros(0);
    /// let mut admission = EndpointAdmission::new(3, now);
    /// let demand = StatementDemand {
    ///     customer: "quarry",
    ///     priority: 0,
    ///     work: WorkClass { route: 1, kind: WorkKind::Write },
    ///     wait_deadline: now.after(Duration::from_millis(40)),
    ///     is_continuation: false,
    /// };
    /// let ticket = admission.submit(now, demand).unwrap();
    /// admission.take_decisions(now);
    /// assert_eq!(admission.summary(now).running, 1);
    /// let took = Duration::from_millis(30);
    /// admission.finish(now.after(took), ticket, WorkOutcome::Completed { took });
    /// assert_eq!(admission.summary(now.after(took)).running, 0);
    /// ```
    pub fn finish(&mut self, now: BootInstant, ticket: TicketKey, outcome: WorkOutcome) {
        let running = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        let Some(RunningStatement { work, .. }) = self.running.remove(ticket) else {
            log::warn!("statement {ticket:?} ended with {outcome:?} but was not running");
            return;
        };
        self.tickets.remove(ticket);
        self.next_check = Some(now);
        match outcome {
            WorkOutcome::Completed { took } => {
                self.capacity.record(now, work, took, running);
                self.full_until = now;
            }
            WorkOutcome::Full => {
                self.capacity.record_full(now);
                let interval = self.capacity.service_time(work) / self.capacity.limit();
                self.full_until = now.after(interval.clamp(MIN_FULL_PAUSE, MAX_FULL_PAUSE));
            }
            WorkOutcome::Failed => self.capacity.record_failure(now),
            WorkOutcome::Cancelled => {}
        }
    }

    /// When [`Self::take_decisions`] must be called at the latest; `None` while nothing waits.
    ///
    /// ```
    /// use tanagerdeal_core::ledger::admission::EndpointAdmission;
    /// use tanagerdeal_core::ledger::clock::BootInstant;
    ///
    /// let admission = EndpointAdmission::new(3, BootInstant::from_micros(0));
    /// assert_eq!(admission.next_deadline(), None);
    /// ```
    pub fn next_deadline(&self) -> Option<BootInstant> {
        self.next_check.filter(|_| !self.waiting.is_empty() || !self.displaced.is_empty())
    }

    /// Expected duration of a statement once it runs.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use tanagerdeal_core::ledger::admission::EndpointAdmission;
    /// use tanagerdeal_core::ledger::capacity::{WorkClass, WorkKind};
    /// use tanagerdeal_core::ledger::clock::BootInstant;
    ///
    /// let admission = EndpointAdmission::new(3, BootInstant::from_micros(0));
    /// let work = WorkClass { route: 1, kind: WorkKind::Read };
    /// assert!(admission.service_time(work) > Duration::ZERO);
    /// ```
    pub fn service_time(&self, work: WorkClass) -> Duration {
        self.capacity.service_time(work)
    }

    /// Number of statements that may run at once.
    ///
    /// ```
    /// use tanagerdeal_core::ledger::admission::EndpointAdmission;
    /// use tanagerdeal_core::ledger::clock::BootInstant;
    ///
    /// assert_eq!(EndpointAdmission::new(3, BootInstant::from_micros(0)).learned_limit(), 3);
    /// ```
    pub fn learned_limit(&self) -> u32 {
        self.capacity.limit()
    }

    /// What may be sent to the endpoint.
    ///
    /// ```
    /// use tanagerdeal_core::ledger::admission::EndpointAdmission;
    /// use tanagerdeal_core::ledger::capacity::EndpointHealth;
    /// use tanagerdeal_core::ledger::clock::BootInstant;
    ///
    /// let now = BootInstant::from_micros(0);
    /// assert_eq!(EndpointAdmission::new(3, now).health(now), EndpointHealth::Usable);
    /// ```
    pub fn health(&self, now: BootInstant) -> EndpointHealth {
        self.capacity.state(now)
    }

    /// The load on the endpoint.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use tanagerdeal_core::ledger::admission::EndpointAdmission;
    /// use tanagerdeal_core::ledger::clock::BootInstant;
    ///
    /// let now = BootInstant::from_micros(0);
    /// let summary = EndpointAdmission::new(3, now).summary(now);
    /// assert_eq!(summary.expected_wait, Duration::ZERO);
    /// assert!(summary.waiting.is_empty());
    /// ```
    pub fn summary(&self, now: BootInstant) -> AdmissionSummary {
        let mut waiting = BTreeMap::new();
        for (level, count) in self.turns.waiting() {
            *waiting.entry(level.priority).or_default() += count;
        }
        let lowest = self.turns.waiting().next_back().map(|(level, _)| level);
        let lowest = lowest.unwrap_or(ServiceLevel { is_new: true, priority: 0 });
        AdmissionSummary {
            waiting,
            running: self.running.len(),
            limit: self.capacity.limit(),
            expected_wait: self.expected_wait(now, lowest),
        }
    }
}

impl QueueInstant for BootInstant {
    fn after(self, duration: Duration) -> Self {
        self.after(duration)
    }

    fn since(self, earlier: Self) -> Duration {
        self.since(earlier)
    }
}
