//! Simulation of the clients and slots of one endpoint, in virtual time.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use tanagerdeal_core::ledger::admission::{
    AdmissionDecision, AdmissionRefusal, EndpointAdmission, StatementDemand, TicketKey, WorkOutcome,
};
use tanagerdeal_core::ledger::capacity::{WorkClass, WorkKind};
use tanagerdeal_core::ledger::clock::BootInstant;

use crate::support::at;

/// Standard deviation of the logarithm of service times.
const SERVICE_SPREAD: f64 = 0.5;

/// Statements of one customer and route.
#[derive(Clone, Copy)]
pub struct Stream {
    pub customer: &'static str,
    pub priority: u8,
    pub kind: WorkKind,
    /// Mean service time, in milliseconds.
    pub service_ms: u64,
    pub per_s: u64,
    /// Time from arrival to the deadline of the wait, in milliseconds.
    pub patience_ms: u64,
    /// Time of the first and after the last arrival, in milliseconds.
    pub active_ms: (u64, u64),
    /// Whether refused statements are submitted once more at the time that the refusal names.
    pub is_retried: bool,
}

/// What became of one statement.
#[derive(Clone, Copy)]
pub struct Outcome {
    pub stream: usize,
    pub arrived: BootInstant,
    /// Time from arrival to start.
    pub start: Option<Duration>,
    /// Time from arrival to refusal, and the refusal.
    pub refusal: Option<(Duration, AdmissionRefusal)>,
    pub is_retry: bool,
}

/// A simulation under way.
pub struct Simulation {
    admission: EndpointAdmission,
    streams: Vec<Stream>,
    /// Time in which no statement ends, in milliseconds.
    stall_ms: (u64, u64),
    arrivals: BTreeMap<(BootInstant, usize), Outcome>,
    ends: BTreeMap<(BootInstant, TicketKey), Duration>,
    waiting: HashMap<TicketKey, Outcome>,
    running: usize,
    outcomes: Vec<Outcome>,
    random: u64,
    /// When each slot of the endpoint becomes free. Statements beyond them wait inside it.
    slots: Vec<BootInstant>,
}

impl Simulation {
    pub fn new(slots: u32, streams: &[Stream]) -> Self {
        let mut simulation = Self {
            admission: EndpointAdmission::new(slots, at(0)),
            streams: streams.to_vec(),
            stall_ms: (0, 0),
            arrivals: BTreeMap::new(),
            ends: BTreeMap::new(),
            waiting: HashMap::new(),
            running: 0,
            outcomes: Vec::new(),
            random: 7,
            slots: vec![at(0); slots as usize],
        };
        for (stream, Stream { per_s, active_ms, .. }) in streams.iter().enumerate() {
            let mut arrived = at(active_ms.0);
            while arrived < at(active_ms.1) {
                simulation.arrive(stream, arrived, false);
                let gap_s = -(1.0 - simulation.uniform()).ln() / *per_s as f64;
                arrived = arrived.after(Duration::from_secs_f64(gap_s));
            }
        }
        simulation
    }

    /// Lets no statement end between two times, in milliseconds.
    pub fn stalled(mut self, from: u64, until: u64) -> Self {
        self.stall_ms = (from, until);
        self
    }

    /// Runs until all statements have ended or were refused.
    pub fn run(mut self) -> Vec<Outcome> {
        loop {
            let arrival = self.arrivals.keys().next().map(|(arrived, _)| *arrived);
            let end = self.ends.keys().next().map(|(ended, _)| *ended);
            let times = [arrival, end, self.admission.next_deadline()];
            let Some(now) = times.into_iter().flatten().min() else { return self.outcomes };
            if end == Some(now) {
                self.end_first(now);
            } else if arrival == Some(now) {
                self.submit_first(now);
            }
            self.decide(now);
        }
    }

    fn arrive(&mut self, stream: usize, arrived: BootInstant, is_retry: bool) {
        let number = self.arrivals.len() + self.outcomes.len() + self.waiting.len();
        let outcome = Outcome { stream, arrived, start: None, refusal: None, is_retry };
        self.arrivals.insert((arrived, number), outcome);
    }

    fn submit_first(&mut self, now: BootInstant) {
        let Some((_, outcome)) = self.arrivals.pop_first() else { return };
        let stream = self.streams[outcome.stream];
        let demand = StatementDemand {
            customer: stream.customer,
            priority: stream.priority,
            work: WorkClass { route: u64::from(stream.priority), kind: stream.kind },
            wait_deadline: now.after(Duration::from_millis(stream.patience_ms)),
            is_continuation: false,
        };
        match self.admission.submit(now, demand) {
            Ok(ticket) => drop(self.waiting.insert(ticket, outcome)),
            Err(refusal) => self.refuse(now, outcome, refusal),
        }
    }

    fn end_first(&mut self, now: BootInstant) {
        let Some(((_, ticket), took)) = self.ends.pop_first() else { return };
        self.running -= 1;
        self.admission.finish(now, ticket, WorkOutcome::Completed { took });
    }

    fn decide(&mut self, now: BootInstant) {
        for decision in self.admission.take_decisions(now) {
            match decision {
                AdmissionDecision::Start(ticket) => self.start(now, ticket),
                AdmissionDecision::Refuse(ticket, refusal) => {
                    let outcome = self.waiting.remove(&ticket).unwrap();
                    self.refuse(now, outcome, refusal);
                }
            }
        }
    }

    fn start(&mut self, now: BootInstant, ticket: TicketKey) {
        let outcome = self.waiting.remove(&ticket).unwrap();
        let patience = Duration::from_millis(self.streams[outcome.stream].patience_ms);
        let start = now.since(outcome.arrived);
        assert!(start <= patience, "a statement started {start:?} after arrival");
        self.running += 1;
        let limit = self.admission.summary(now).limit;
        assert!(self.running <= limit as usize, "{} statements run of {limit}", self.running);
        let service = self.service_time(outcome.stream);
        let (stalled, resumed) = (at(self.stall_ms.0), at(self.stall_ms.1));
        let slot = self.slots.iter_mut().min().unwrap();
        let began = now.max(*slot);
        let ended = began.after(service);
        let ended = match ended > stalled && began < resumed {
            true => ended.after(resumed.since(stalled.max(began))),
            false => ended,
        };
        *slot = ended;
        self.ends.insert((ended, ticket), ended.since(now));
        self.outcomes.push(Outcome { start: Some(start), ..outcome });
    }

    fn refuse(&mut self, now: BootInstant, outcome: Outcome, refusal: AdmissionRefusal) {
        let refused_after = now.since(outcome.arrived);
        let patience = Duration::from_millis(self.streams[outcome.stream].patience_ms);
        assert!(refused_after <= patience, "refused {refused_after:?} after arrival");
        let refused = Some((refused_after, refusal));
        self.outcomes.push(Outcome { refusal: refused, ..outcome });
        if self.streams[outcome.stream].is_retried && !outcome.is_retry {
            self.arrive(outcome.stream, now.after(refusal.retry_after), true);
        }
    }

    /// A lognormal service time; the normal variate is the sum of twelve uniform ones.
    fn service_time(&mut self, stream: usize) -> Duration {
        let normal = (0..12).map(|_| self.uniform()).sum::<f64>() - 6.0;
        let log_ratio = SERVICE_SPREAD * normal - SERVICE_SPREAD * SERVICE_SPREAD / 2.0;
        Duration::from_millis(self.streams[stream].service_ms).mul_f64(log_ratio.exp())
    }

    /// A pseudo-random number between 0 and 1.
    fn uniform(&mut self) -> f64 {
        self.random = self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (self.random >> 33) as f64 / (1_u64 << 31) as f64
    }
}

/// Outcomes of one stream that arrived between two times, in milliseconds.
pub fn of_stream(outcomes: &[Outcome], stream: usize, from: u64, until: u64) -> Vec<Outcome> {
    let is_chosen = |outcome: &&Outcome| {
        outcome.stream == stream && (at(from)..at(until)).contains(&outcome.arrived)
    };
    outcomes.iter().filter(is_chosen).copied().collect()
}

/// Part of the outcomes that were started; 1 if there are none.
pub fn served(outcomes: &[Outcome]) -> f64 {
    let started = outcomes.iter().filter(|outcome| outcome.start.is_some()).count();
    if outcomes.is_empty() { 1.0 } else { started as f64 / outcomes.len() as f64 }
}

/// Part of the refusals that came within `limit` of the arrival; 1 if there were none.
pub fn refused_within(outcomes: &[Outcome], limit: Duration) -> f64 {
    let refusals: Vec<_> = outcomes.iter().filter_map(|outcome| outcome.refusal).collect();
    let early = refusals.iter().filter(|(after, _)| *after <= limit).count();
    if refusals.is_empty() { 1.0 } else { early as f64 / refusals.len() as f64 }
}

/// Quantile of the time from arrival to start.
pub fn wait_quantile(outcomes: &[Outcome], quantile: f64) -> Duration {
    let mut waits: Vec<_> = outcomes.iter().filter_map(|outcome| outcome.start).collect();
    waits.sort_unstable();
    let index = (waits.len().saturating_sub(1) as f64 * quantile) as usize;
    waits.get(index).copied().unwrap_or_default()
}

/// Mean time from arrival to refusal; zero if there were none.
pub fn mean_refusal(outcomes: &[Outcome]) -> Duration {
    let refusals = outcomes.iter().filter_map(|outcome| outcome.refusal);
    let times: Vec<_> = refusals.map(|(after, _)| after).collect();
    times.iter().sum::<Duration>() / u32::try_from(times.len().max(1)).unwrap_or(u32::MAX)
}
