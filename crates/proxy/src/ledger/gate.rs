//! Admission of statements at an endpoint whose pool host this host is.

mod watch;

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::time::Duration;

use serde_json::json;
use slotmap::SecondaryMap;
use tanagerdeal_core::ledger::admission::{
    AdmissionDecision, AdmissionRefusal, EndpointAdmission, StatementDemand, TicketKey, WorkOutcome,
};
use tanagerdeal_core::ledger::capacity::{EndpointHealth, WorkClass, WorkKind};
use tanagerdeal_core::ledger::clock::BootInstant;
use tanagerdeal_core::ledger::endpoint::{EndpointKey, LoadHint};
use tanagerdeal_core::ledger::pooling::is_scheduled;
use tanagerdeal_core::ledger::statement::FailureReason;
use tokio::sync::{Notify, oneshot};
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::connection::{ConnectionError, EndpointReply};
use super::context::{HostContext, boot_now, sleep_until_optional, whole_micros};
use super::journal;
use super::pool::AcquireError;
use super::statement::{AccessRequest, RunError, StatementContext};

pub(super) use watch::watch;

/// Interval at which the task of a gate without statements checks whether the gate is still used.
const LIVENESS_INTERVAL: Duration = Duration::from_secs(5);
/// Work of an unknown class, whose expected duration is that of the endpoint's usual work.
const USUAL_WORK: WorkClass = WorkClass { route: 0, kind: WorkKind::Read };

/// Statements that wait for an endpoint or run on it, over all hosts that forward to this one.
pub(super) struct EndpointGate {
    /// Identity of the endpoint, for log lines.
    endpoint: String,
    admission: RefCell<EndpointAdmission>,
    waiting: RefCell<SecondaryMap<TicketKey, oneshot::Sender<Result<(), AdmissionRefusal>>>>,
    /// Limit that was last logged.
    logged_limit: Cell<u32>,
    /// Health that was last logged.
    logged_health: Cell<EndpointHealth>,
    /// Wakes the task that takes decisions when they are due.
    changed: Notify,
}

/// A statement that may run. Its place becomes free when this is dropped.
pub(super) struct AdmittedStatement {
    gate: Rc<EndpointGate>,
    ticket: TicketKey,
    outcome: Cell<WorkOutcome>,
}

/// A statement that waits. It leaves the queue when this is dropped.
struct WaitingStatement {
    gate: Rc<EndpointGate>,
    ticket: TicketKey,
    is_admitted: bool,
}

impl Drop for WaitingStatement {
    fn drop(&mut self) {
        if self.is_admitted {
            return;
        }
        let was_waiting = self.gate.waiting.borrow_mut().remove(self.ticket).is_some();
        let mut admission = self.gate.admission.borrow_mut();
        match was_waiting {
            true => admission.cancel(boot_now(), self.ticket),
            // It was admitted at the same moment.
            false => admission.finish(boot_now(), self.ticket, WorkOutcome::Cancelled),
        }
        drop(admission);
        self.gate.decide();
    }
}

impl Drop for AdmittedStatement {
    fn drop(&mut self) {
        self.gate.admission.borrow_mut().finish(boot_now(), self.ticket, self.outcome.get());
        self.gate.decide();
    }
}

impl AdmittedStatement {
    /// Records how the statement ended.
    pub(super) fn note(&self, result: &Result<EndpointReply, RunError>) {
        self.outcome.set(match result {
            Ok(reply) => match reply.failure {
                None => WorkOutcome::Completed { took: boot_now().since(reply.sent_at) },
                Some(FailureReason::Busy) => WorkOutcome::Full,
                Some(FailureReason::Failed | FailureReason::TimedOut) => WorkOutcome::Failed,
                Some(_) => WorkOutcome::Cancelled,
            },
            Err(RunError::Sent(ConnectionError::Revoked)) => WorkOutcome::Cancelled,
            Err(RunError::Sent(_)) => WorkOutcome::Failed,
            Err(_) => WorkOutcome::Cancelled,
        });
    }
}

impl EndpointGate {
    /// Creates the gate of an endpoint, and the task that takes its decisions in time.
    pub(super) fn start(endpoint: &str, slots: u32) -> Rc<Self> {
        let gate = Rc::new(Self {
            endpoint: endpoint.to_owned(),
            admission: RefCell::new(EndpointAdmission::new(slots, boot_now())),
            waiting: RefCell::default(),
            logged_limit: Cell::new(slots),
            logged_health: Cell::new(EndpointHealth::Usable),
            changed: Notify::new(),
        });
        spawn_local(decide_in_time(Rc::downgrade(&gate)));
        gate
    }

    /// Takes the decisions that are due.
    fn decide(&self) {
        let decisions = self.admission.borrow_mut().take_decisions(boot_now());
        for decision in decisions {
            let (ticket, result) = match decision {
                AdmissionDecision::Start(ticket) => (ticket, Ok(())),
                AdmissionDecision::Refuse(ticket, refusal) => (ticket, Err(refusal)),
            };
            let waiting = self.waiting.borrow_mut().remove(ticket);
            // A receiver that is gone has given its ticket back.
            waiting.map(|waiting| waiting.send(result));
        }
        self.log_changes();
        self.changed.notify_one();
    }

    /// The load, as other hosts are told it.
    pub(super) fn load(&self, now: BootInstant) -> LoadHint {
        let admission = self.admission.borrow();
        let summary = admission.summary(now);
        let count = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        LoadHint {
            expected_wait_us: whole_micros(summary.expected_wait),
            service_us: whole_micros(admission.service_time(USUAL_WORK)),
            running: count(summary.running),
            limit: summary.limit,
            waiting: count(summary.waiting.values().sum()),
            at: now,
        }
    }

    /// Logs the number of statements that the endpoint takes, and its health, when they have changed.
    fn log_changes(&self) {
        let (limit, health, service) = {
            let admission = self.admission.borrow();
            let health = admission.health(boot_now());
            (admission.learned_limit(), health, admission.service_time(USUAL_WORK))
        };
        let service_ms = service.as_millis() as u64;
        let former = self.logged_limit.replace(limit);
        if former != limit {
            journal::event(
                "endpoint",
                "limit",
                json!({ "endpoint": self.endpoint, "former": former, "limit": limit,
                        "service_ms": service_ms }),
            );
        }
        let former = self.logged_health.replace(health);
        if former != health {
            journal::event(
                "endpoint",
                "health",
                json!({ "endpoint": self.endpoint, "former": health_name(former),
                        "health": health_name(health), "limit": limit,
                        "service_ms": service_ms }),
            );
        }
    }
}

/// Name of a state of health in log lines and metrics.
fn health_name(health: EndpointHealth) -> &'static str {
    match health {
        EndpointHealth::Usable => "usable",
        EndpointHealth::Failing => "failing",
        EndpointHealth::Probing => "probing",
    }
}

async fn decide_in_time(gate: Weak<EndpointGate>) {
    while let Some(current) = gate.upgrade() {
        let deadline = current.admission.borrow().next_deadline();
        tokio::select! {
            () = current.changed.notified() => (),
            () = sleep_until_optional(deadline) => current.decide(),
            // The endpoint may be gone meanwhile.
            () = sleep(LIVENESS_INTERVAL), if deadline.is_none() => (),
        }
    }
}

/// The gate of an endpoint, if statements for it are queued by priority at this host.
fn gate(host: &HostContext, endpoint: EndpointKey) -> Option<Rc<EndpointGate>> {
    let pool = host.pool(endpoint);
    let is_pooled = pool.is_pooled(boot_now());
    let host_state = host.state.borrow();
    let has_priorities = host_state.catalog.as_ref()?.has_priorities();
    if !is_scheduled(host.settings.scheduling, is_pooled, has_priorities) {
        return None;
    }
    let record = &host_state.endpoints.get(endpoint)?.record;
    let gate = pool.gate(&record.id, record.slots);
    gate.admission.borrow_mut().set_slots(record.slots);
    Some(gate)
}

/// The load of an endpoint whose statements are queued at this host.
pub(super) fn load(host: &HostContext, endpoint: EndpointKey) -> Option<LoadHint> {
    gate(host, endpoint).map(|gate| gate.load(boot_now()))
}

/// Waits until a statement may run at an endpoint. `None` if its statements are not queued.
///
/// # Errors
///
/// Fails when the statement cannot be served by its deadline.
pub(super) async fn admit(
    ctx: StatementContext<'_>,
    endpoint: EndpointKey,
    request: AccessRequest<'_>,
    wait_deadline: BootInstant,
    is_continuation: bool,
) -> Result<Option<AdmittedStatement>, RunError> {
    let host = ctx.host;
    let Some(gate) = gate(host, endpoint) else { return Ok(None) };
    let began_at = boot_now();
    let demand = StatementDemand {
        customer: ctx.customer,
        priority: request.priority,
        work: request.work,
        wait_deadline,
        is_continuation,
    };
    let priority = request.priority.to_string();
    let refuse = |refusal: AdmissionRefusal| {
        let reason = format!("{:?}", refusal.reason);
        host.metrics.admission_refusals.with_label_values(&[&priority, &reason]).inc();
        RunError::NoConnection(AcquireError::Backlog { retry_after: refusal.retry_after })
    };
    let (sender, receiver) = oneshot::channel();
    let ticket = gate.admission.borrow_mut().submit(began_at, demand).map_err(refuse)?;
    gate.waiting.borrow_mut().insert(ticket, sender);
    let mut waiting = WaitingStatement { gate: gate.clone(), ticket, is_admitted: false };
    gate.decide();
    let decision = receiver.await;
    waiting.is_admitted = true;
    host.metrics
        .queue_time
        .with_label_values(&[&priority])
        .observe(boot_now().since(began_at).as_secs_f64());
    match decision {
        Ok(Ok(())) => {
            let outcome = Cell::new(WorkOutcome::Cancelled);
            Ok(Some(AdmittedStatement { gate, ticket, outcome }))
        }
        Ok(Err(refusal)) => Err(refuse(refusal)),
        // The sender is kept until a decision is taken.
        Err(_) => Err(RunError::NoConnection(AcquireError::Exhausted)),
    }
}
