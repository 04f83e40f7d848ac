//! Fair order of service over the customers of one group.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use tanagerdeal_wire::CustomerName;

use super::{LEAST_REMAINING, QueueEntry, QueueOrder, QueuePass, QueueTicket, WorkLane};
use crate::message::SessionKey;
use crate::profile::SchedulerPolicy;

/// Virtual time of one request of a customer with weight 1.
const REQUEST_COST: u64 = 1 << 20;

/// Requests of one customer that are tried when the first ones wait for a position.
const TRIED_PER_LANE: usize = 8;

/// Weight of a new interval in the average interval between two services. A rate that has halved
/// shows after three services, and one long interval moves the average by a quarter of itself.
const INTERVAL_GAIN: f64 = 0.25;

/// Largest multiple of the average that one interval counts for, so that a stall that is over is
/// not taken for the new rate. A rate that stays low passes it after a few services.
const MOST_RISE: f64 = 4.0;

/// Intervals after which the average is used. The first ones contain the time to open connections.
const LEAST_INTERVALS: u32 = 3;

const LANES: [WorkLane; 2] = [WorkLane::Write, WorkLane::Read];

/// Requests that wait for one group.
///
/// Self-clocked fair queueing (Golestani, 1994): each customer's first request has a virtual finish
/// time, the lowest one is served, and the virtual time is that of the request served last.
#[derive(Default)]
pub(super) struct GroupQueue {
    flows: BTreeMap<CustomerName, CustomerFlow>,
    virtual_time: u64,
    paces: [ServicePace; 2],
}

/// Requests of one customer.
struct CustomerFlow {
    weight: u64,
    worth: u32,
    /// Virtual finish time of the first request.
    finish: u64,
    lanes: [BTreeMap<QueueOrder, SessionKey>; 2],
    paces: [ServicePace; 2],
}

/// Interval between services of a lane, or of one customer in it, while requests wait for room.
#[derive(Default)]
pub(super) struct ServicePace {
    /// Average interval in seconds, over the number of intervals that follows.
    seconds: f64,
    count: u32,
    last: Option<Instant>,
}

/// A request as found in a queue.
type FoundRequest = (CustomerName, WorkLane, QueueOrder, SessionKey);

impl ServicePace {
    /// Starts measuring, unless it goes on already.
    pub(super) fn begin(&mut self, now: Instant) {
        self.last.get_or_insert(now);
    }

    /// Stops measuring until room is waited for again.
    pub(super) fn pause(&mut self) {
        self.last = None;
    }

    fn note(&mut self, now: Instant, is_backlogged: bool) {
        if let Some(last) = self.last {
            let sample = now.saturating_duration_since(last).as_secs_f64();
            let sample = match self.is_measured() {
                true => sample.min(self.seconds * MOST_RISE),
                false => sample,
            };
            self.count = self.count.saturating_add(1);
            let gain = INTERVAL_GAIN.max(1.0 / f64::from(self.count));
            self.seconds += gain * (sample - self.seconds);
        }
        self.last = (is_backlogged && self.last.is_some()).then_some(now);
    }

    fn is_measured(&self) -> bool {
        self.count >= LEAST_INTERVALS
    }

    /// Time in seconds until `count` more services. When the last one is longer ago than usual, the
    /// endpoint stalls: all that wait do so for the same stall, which is expected to last as long
    /// again as it has already.
    fn time_for(&self, now: Instant, count: u64) -> f64 {
        if count == 0 {
            return 0.0;
        }
        let interval = if self.is_measured() { self.seconds } else { 0.0 };
        let since = self.last.map_or(0.0, |last| now.saturating_duration_since(last).as_secs_f64());
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

    /// Whether nothing is left that a later request depends on.
    pub(super) fn is_idle(&self) -> bool {
        let is_measured = self.paces.iter().any(|pace| pace.count > 0);
        self.flows.is_empty() && !is_measured
    }

    /// Starts measuring the service of a lane that waits for room.
    pub(super) fn begin_paces(&mut self, now: Instant, lane: WorkLane) {
        self.paces[lane as usize].begin(now);
        for flow in self.flows.values_mut().filter(|flow| !flow.lanes[lane as usize].is_empty()) {
            flow.paces[lane as usize].begin(now);
        }
    }

    /// Stops measuring the service of a lane until it waits for room again.
    pub(super) fn pause_paces(&mut self, lane: WorkLane) {
        self.paces[lane as usize].pause();
        self.flows.values_mut().for_each(|flow| flow.paces[lane as usize].pause());
    }

    pub(super) fn add(&mut self, order: QueueOrder, entry: QueueEntry) {
        let start = self.virtual_time;
        let flow = self.flows.entry(entry.account).or_insert_with(|| CustomerFlow {
            weight: 1,
            worth: 1,
            finish: start,
            lanes: Default::default(),
            paces: Default::default(),
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
                // The first request's cost was charged when it arrived, but it was not served.
                flow.finish = flow.finish.saturating_sub(flow.cost());
            }
        }
        self.drop_idle_flows();
        self.end_pace(ticket.lane);
    }

    pub(super) fn serve(&mut self, now: Instant, ticket: &QueueTicket) {
        if let Some(flow) = self.flows.get_mut(&ticket.account) {
            flow.lanes[ticket.lane as usize].remove(&ticket.order);
            self.virtual_time = self.virtual_time.max(flow.finish);
            if flow.len() > 0 {
                flow.finish += flow.cost();
            }
            let is_backlogged = !flow.lanes[ticket.lane as usize].is_empty();
            flow.paces[ticket.lane as usize].note(now, is_backlogged);
        }
        self.drop_idle_flows();
        let is_backlogged = self.waiting(ticket.lane) > 0;
        self.paces[ticket.lane as usize].note(now, is_backlogged);
    }

    pub(super) fn waiting(&self, lane: WorkLane) -> usize {
        self.flows.values().map(|flow| flow.lanes[lane as usize].len()).sum()
    }

    fn end_pace(&mut self, lane: WorkLane) {
        if self.waiting(lane) == 0 {
            self.paces[lane as usize].pause();
        }
    }

    /// Forgets customers without requests whose virtual finish time has passed.
    fn drop_idle_flows(&mut self) {
        let passed = self.virtual_time;
        self.flows.retain(|_, flow| flow.len() > 0 || flow.finish > passed);
        if self.flows.values().all(|flow| flow.len() == 0) {
            self.flows.clear();
            self.virtual_time = 0;
        }
    }

    pub(super) fn next(&self, policy: SchedulerPolicy, pass: &QueuePass) -> Option<FoundRequest> {
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
                Duration::from_secs_f64(self.paces[lane as usize].time_for(now, count))
            }
        }
    }

    /// Time until a customer has been served `count` times.
    ///
    /// Other customers have the requests that wait now served in between, and those that come later
    /// as well. The latter show in the interval at which the customer itself was served lately.
    fn fair_wait(
        &self,
        now: Instant,
        account: &CustomerName,
        lane: WorkLane,
        weight: u64,
        count: u64,
    ) -> Duration {
        let ahead = self.ahead(account, lane, weight, count.saturating_sub(1));
        let served = if count == 0 { 0 } else { ahead + 1 };
        let shared = self.paces[lane as usize].time_for(now, served);
        let own = self
            .flows
            .get(account)
            .map_or(0.0, |flow| flow.paces[lane as usize].time_for(now, count));
        Duration::from_secs_f64(shared.max(own))
    }

    /// Requests that are served before a customer's request which has `own` requests of the same
    /// customer ahead of it: of each other customer as many as its weight allows.
    fn ahead(&self, account: &CustomerName, lane: WorkLane, weight: u64, own: u64) -> u64 {
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
                    let served_at = now + wait.max(LEAST_REMAINING);
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
) -> Option<(&'a CustomerFlow, FoundRequest)> {
    let is_blocked = (lane == WorkLane::Write && pass.writes_blocked)
        || pass.full.contains(&(account.clone(), lane));
    if is_blocked {
        return None;
    }
    let tried = flow.lanes[lane as usize].iter().take(TRIED_PER_LANE);
    let (order, session) = tried.into_iter().find(|(order, _)| !pass.passed.contains(&order.1))?;
    Some((flow, (account.clone(), lane, *order, *session)))
}
