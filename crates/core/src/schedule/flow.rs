//! Fair queueing among the customers of one group.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use tanagerdeal_wire::CustomerName;

use super::{MIN_REMAINING, QueueEntry, QueueOrder, QueuePass, QueueTicket, WorkLane};
use crate::message::SessionKey;
use crate::profile::SchedulerPolicy;

/// Virtual time of one request of a customer with weight 1.
const REQUEST_COST: u64 = 1 << 20;

/// Requests of one customer and lane that are tried when the first ones wait for a log position.
const MAX_TRIED_PER_LANE: usize = 8;

/// Weight of a new sample in the average interval between two services. A rate that has halved
/// shows after three services, and one long interval moves the average by a quarter of itself.
const INTERVAL_GAIN: f64 = 0.25;

/// Limit on a sample, as a multiple of the average, so that a stall that has ended is not taken for
/// the new rate. If the rate stays low, the average passes this limit after a few services.
const MAX_SAMPLE_RATIO: f64 = 4.0;

/// Samples required before the average is used. The first ones include the time to open
/// connections.
const MIN_SAMPLES: u32 = 3;

const LANES: [WorkLane; 2] = [WorkLane::Write, WorkLane::Read];

/// Requests that wait for one group.
///
/// Self-clocked fair queueing (Golestani, 1994): each customer's first request has a virtual finish
/// time, the lowest one is served, and the virtual time is that of the request served last.
#[derive(Default)]
pub(super) struct GroupQueue {
    flows: BTreeMap<CustomerName, CustomerFlow>,
    virtual_time: u64,
    intervals: [ServiceInterval; 2],
}

/// Requests of one customer.
struct CustomerFlow {
    weight: u64,
    worth: u32,
    /// Virtual finish time of the first request.
    finish: u64,
    lanes: [BTreeMap<QueueOrder, SessionKey>; 2],
    intervals: [ServiceInterval; 2],
}

/// Average interval between services of a lane, or of one customer in it, measured while requests
/// wait for room.
#[derive(Default)]
pub(super) struct ServiceInterval {
    /// Mean in seconds over the number of samples below.
    mean_s: f64,
    samples: u32,
    last_at: Option<Instant>,
}

/// A request in a queue and its position.
type QueuedRequest = (CustomerName, WorkLane, QueueOrder, SessionKey);

impl ServiceInterval {
    /// Starts measuring, unless a measurement is already running.
    pub(super) fn start(&mut self, now: Instant) {
        self.last_at.get_or_insert(now);
    }

    /// Stops measuring until requests wait for room again.
    pub(super) fn stop(&mut self) {
        self.last_at = None;
    }

    fn record(&mut self, now: Instant, is_backlogged: bool) {
        if let Some(last_at) = self.last_at {
            let sample = now.saturating_duration_since(last_at).as_secs_f64();
            let sample = match self.is_measured() {
                true => sample.min(self.mean_s * MAX_SAMPLE_RATIO),
                false => sample,
            };
            self.samples = self.samples.saturating_add(1);
            let gain = INTERVAL_GAIN.max(1.0 / f64::from(self.samples));
            self.mean_s += gain * (sample - self.mean_s);
        }
        self.last_at = (is_backlogged && self.last_at.is_some()).then_some(now);
    }

    fn is_measured(&self) -> bool {
        self.samples >= MIN_SAMPLES
    }

    /// Expected time in seconds until `count` more services. If the last service is longer ago than
    /// the mean interval, the endpoint has stalled. All waiting requests wait for the same stall,
    /// which is expected to last as long again as it has so far.
    fn expected_s(&self, now: Instant, count: u64) -> f64 {
        if count == 0 {
            return 0.0;
        }
        let interval = if self.is_measured() { self.mean_s } else { 0.0 };
        let since = self
            .last_at
            .map_or(0.0, |last_at| now.saturating_duration_since(last_at).as_secs_f64());
        interval * (count - 1) as f64 + interval.max(since)
    }
}

impl CustomerFlow {
    fn len(&self) -> usize {
        self.lanes.iter().map(BTreeMap::len).sum()
    }

    fn cost(&self) -> u64 {
        REQUEST_COST / self.weight
    }
}

impl GroupQueue {
    pub(super) fn len(&self) -> usize {
        self.flows.values().map(CustomerFlow::len).sum()
    }

    /// Whether the queue holds no state that a later request depends on.
    pub(super) fn is_idle(&self) -> bool {
        let is_measured = self.intervals.iter().any(|interval| interval.samples > 0);
        self.flows.is_empty() && !is_measured
    }

    /// Starts measuring the service of a lane that waits for room.
    pub(super) fn start_measuring(&mut self, now: Instant, lane: WorkLane) {
        self.intervals[lane as usize].start(now);
        for flow in self.flows.values_mut().filter(|flow| !flow.lanes[lane as usize].is_empty()) {
            flow.intervals[lane as usize].start(now);
        }
    }

    /// Stops measuring the service of a lane until it waits for room again.
    pub(super) fn stop_measuring(&mut self, lane: WorkLane) {
        self.intervals[lane as usize].stop();
        self.flows.values_mut().for_each(|flow| flow.intervals[lane as usize].stop());
    }

    pub(super) fn add(&mut self, order: QueueOrder, entry: QueueEntry) {
        let start = self.virtual_time;
        let flow = self.flows.entry(entry.account).or_insert_with(|| CustomerFlow {
            weight: 1,
            worth: 1,
            finish: start,
            lanes: Default::default(),
            intervals: Default::default(),
        });
        flow.weight = u64::from(entry.weight.max(1));
        flow.worth = entry.worth;
        if flow.len() == 0 {
            flow.finish = flow.finish.max(start) + flow.cost();
        }
        flow.lanes[entry.lane as usize].insert(order, entry.session);
    }

    pub(super) fn remove(&mut self, ticket: &QueueTicket) {
        if let Some(flow) = self.flows.get_mut(&ticket.account) {
            flow.lanes[ticket.lane as usize].remove(&ticket.order);
            if flow.len() == 0 {
                // The cost of the first request was charged when it arrived, but it was not served.
                flow.finish = flow.finish.saturating_sub(flow.cost());
            }
        }
        self.drop_idle_flows();
        self.stop_if_empty(ticket.lane);
    }

    pub(super) fn serve(&mut self, now: Instant, ticket: &QueueTicket) {
        if let Some(flow) = self.flows.get_mut(&ticket.account) {
            flow.lanes[ticket.lane as usize].remove(&ticket.order);
            self.virtual_time = self.virtual_time.max(flow.finish);
            if flow.len() > 0 {
                flow.finish += flow.cost();
            }
            let is_backlogged = !flow.lanes[ticket.lane as usize].is_empty();
            flow.intervals[ticket.lane as usize].record(now, is_backlogged);
        }
        self.drop_idle_flows();
        let is_backlogged = self.waiting(ticket.lane) > 0;
        self.intervals[ticket.lane as usize].record(now, is_backlogged);
    }

    pub(super) fn waiting(&self, lane: WorkLane) -> usize {
        self.flows.values().map(|flow| flow.lanes[lane as usize].len()).sum()
    }

    fn stop_if_empty(&mut self, lane: WorkLane) {
        if self.waiting(lane) == 0 {
            self.intervals[lane as usize].stop();
        }
    }

    /// Drops customers without requests whose virtual finish time has passed.
    fn drop_idle_flows(&mut self) {
        let virtual_time = self.virtual_time;
        self.flows.retain(|_, flow| flow.len() > 0 || flow.finish > virtual_time);
        if self.flows.values().all(|flow| flow.len() == 0) {
            self.flows.clear();
            self.virtual_time = 0;
        }
    }

    pub(super) fn next(&self, policy: SchedulerPolicy, pass: &QueuePass) -> Option<QueuedRequest> {
        let heads = self.flows.iter().flat_map(|(account, flow)| {
            LANES.into_iter().filter_map(move |lane| head_of(account, flow, lane, pass))
        });
        let best = heads.min_by_key(|(flow, (_, _, order, _))| match policy {
            SchedulerPolicy::Fair => (flow.finish, order.0, Reverse(flow.worth), order.1),
            SchedulerPolicy::Fifo => (0, None, Reverse(0), order.1),
        });
        best.map(|(_, found)| found)
    }

    pub(super) fn wait(
        &self,
        policy: SchedulerPolicy,
        now: Instant,
        account: &CustomerName,
        lane: WorkLane,
        weight: u32,
    ) -> Duration {
        let flow = self.flows.get(account);
        let own = flow.map_or(0, |flow| flow.lanes[lane as usize].len()) as u64;
        let weight = u64::from(weight.max(1));
        match policy {
            _ if self.waiting(lane) == 0 => Duration::ZERO,
            SchedulerPolicy::Fair => self.fair_wait(now, account, lane, weight, own + 1),
            SchedulerPolicy::Fifo => {
                let count = self.waiting(lane) as u64 + 1;
                Duration::from_secs_f64(self.intervals[lane as usize].expected_s(now, count))
            }
        }
    }

    /// Expected time until a customer has been served `count` times.
    ///
    /// Other customers are served in between, both with requests that wait now and with requests
    /// that arrive later. The latter are reflected in the interval at which this customer was
    /// recently served.
    fn fair_wait(
        &self,
        now: Instant,
        account: &CustomerName,
        lane: WorkLane,
        weight: u64,
        count: u64,
    ) -> Duration {
        let requests_ahead = self.requests_ahead(account, lane, weight, count.saturating_sub(1));
        let served = if count == 0 { 0 } else { requests_ahead + 1 };
        let shared = self.intervals[lane as usize].expected_s(now, served);
        let own = self
            .flows
            .get(account)
            .map_or(0.0, |flow| flow.intervals[lane as usize].expected_s(now, count));
        Duration::from_secs_f64(shared.max(own))
    }

    /// Requests that are served before a customer's request with `own` requests of the same
    /// customer ahead of it: these, and of each other customer as many as its weight allows.
    fn requests_ahead(&self, account: &CustomerName, lane: WorkLane, weight: u64, own: u64) -> u64 {
        let others = self.flows.iter().filter(|(name, _)| *name != account).map(|(_, flow)| {
            let waiting = flow.lanes[lane as usize].len() as u64;
            waiting.min((own + 1) * flow.weight / weight)
        });
        own + others.sum::<u64>()
    }

    pub(super) fn late(
        &self,
        policy: SchedulerPolicy,
        now: Instant,
    ) -> Vec<(CustomerName, WorkLane, QueueOrder, SessionKey, Instant)> {
        let mut late = Vec::new();
        for (account, flow) in self.flows.iter().filter(|_| policy == SchedulerPolicy::Fair) {
            for lane in LANES {
                let mut own = 0;
                for (order, session) in &flow.lanes[lane as usize] {
                    // The request itself needs no further interval when it is next.
                    let wait = self.fair_wait(now, account, lane, flow.weight, own);
                    let served_at = now + wait.max(MIN_REMAINING);
                    match order.0 {
                        Some(deadline) if served_at > deadline => {
                            late.push((account.clone(), lane, *order, *session, served_at));
                        }
                        // Requests that are shed are not ahead of the rest.
                        _ => own += 1,
                    }
                }
            }
        }
        late
    }
}

fn head_of<'a>(
    account: &CustomerName,
    flow: &'a CustomerFlow,
    lane: WorkLane,
    pass: &QueuePass,
) -> Option<(&'a CustomerFlow, QueuedRequest)> {
    let is_blocked = (lane == WorkLane::Write && pass.writes_blocked)
        || pass.full.contains(&(account.clone(), lane));
    if is_blocked {
        return None;
    }
    let tried = flow.lanes[lane as usize].iter().take(MAX_TRIED_PER_LANE);
    let (order, session) = tried.into_iter().find(|(order, _)| !pass.skipped.contains(&order.1))?;
    Some((flow, (account.clone(), lane, *order, *session)))
}
