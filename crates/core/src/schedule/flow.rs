//! Fair queueing among customers, for each group of `run` and for each level of priority of an
//! endpoint in `ledger`.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::hash::Hash;
use std::time::Duration;

use tanagerdeal_wire::value_type;

use super::{MIN_REMAINING, QueueInstant, QueueOrder, QueuePass, WorkLane};
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

value_type! {
    /// A request, with the properties that determine the order of service.
    pub(crate) struct FlowEntry<K, V> {
        pub(crate) account: K,
        pub(crate) lane: WorkLane,
        /// What the queue returns for the request.
        pub(crate) item: V,
        /// Weight of the customer.
        pub(crate) weight: u32,
        /// Value of a request; a higher one goes first among customers that are otherwise equal.
        pub(crate) worth: u32,
    }

    /// Position of a request in the queue.
    pub(crate) struct FlowPosition<K, I> {
        pub(crate) account: K,
        pub(crate) lane: WorkLane,
        pub(crate) order: QueueOrder<I>,
    }
}

/// Requests `V` of customers `K` that wait, with deadlines of the clock `I`.
///
/// Self-clocked fair queueing (Golestani, 1994): each customer's first request has a virtual finish
/// time, the lowest one is served, and the virtual time is that of the request served last.
pub(crate) struct FlowQueue<K, V, I> {
    flows: BTreeMap<K, CustomerFlow<V, I>>,
    virtual_time: u64,
    intervals: [ServiceInterval<I>; 2],
}

/// Requests of one customer.
struct CustomerFlow<V, I> {
    weight: u64,
    worth: u32,
    /// Virtual finish time of the first request.
    finish: u64,
    lanes: [BTreeMap<QueueOrder<I>, V>; 2],
    intervals: [ServiceInterval<I>; 2],
}

/// Average interval between services of a lane, or of one customer in it, measured while requests
/// wait for room.
struct ServiceInterval<I> {
    /// Mean in seconds over the number of samples below.
    mean_s: f64,
    samples: u32,
    last_at: Option<I>,
}

/// A request and its position.
type QueuedRequest<K, V, I> = (FlowPosition<K, I>, V);

impl<I> Default for ServiceInterval<I> {
    fn default() -> Self {
        Self { mean_s: 0.0, samples: 0, last_at: None }
    }
}

impl<K, V, I> Default for FlowQueue<K, V, I> {
    fn default() -> Self {
        Self { flows: BTreeMap::new(), virtual_time: 0, intervals: Default::default() }
    }
}

impl<I: QueueInstant> ServiceInterval<I> {
    /// Starts measuring, unless a measurement is already running.
    fn start(&mut self, now: I) {
        self.last_at.get_or_insert(now);
    }

    /// Stops measuring until requests wait for room again.
    fn stop(&mut self) {
        self.last_at = None;
    }

    fn record(&mut self, now: I, is_backlogged: bool) {
        if let Some(last_at) = self.last_at {
            let sample = now.since(last_at).as_secs_f64();
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
    fn expected_s(&self, now: I, count: u64) -> f64 {
        if count == 0 {
            return 0.0;
        }
        let interval = if self.is_measured() { self.mean_s } else { 0.0 };
        let since = self.last_at.map_or(0.0, |last_at| now.since(last_at).as_secs_f64());
        interval * (count - 1) as f64 + interval.max(since)
    }
}

impl<V, I> CustomerFlow<V, I> {
    fn len(&self) -> usize {
        self.lanes.iter().map(BTreeMap::len).sum()
    }

    fn cost(&self) -> u64 {
        REQUEST_COST / self.weight
    }
}

impl<K: Clone + Hash + Ord, V: Copy, I: QueueInstant> FlowQueue<K, V, I> {
    pub(crate) fn len(&self) -> usize {
        self.flows.values().map(CustomerFlow::len).sum()
    }

    /// Whether the queue holds no state that a later request depends on.
    pub(super) fn is_idle(&self) -> bool {
        let is_measured = self.intervals.iter().any(|interval| interval.samples > 0);
        self.flows.is_empty() && !is_measured
    }

    /// Starts measuring the service of a lane that waits for room.
    pub(super) fn start_measuring(&mut self, now: I, lane: WorkLane) {
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

    pub(crate) fn add(&mut self, order: QueueOrder<I>, entry: FlowEntry<K, V>) {
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
        flow.lanes[entry.lane as usize].insert(order, entry.item);
    }

    pub(crate) fn remove(&mut self, position: &FlowPosition<K, I>) {
        if let Some(flow) = self.flows.get_mut(&position.account) {
            flow.lanes[position.lane as usize].remove(&position.order);
            if flow.len() == 0 {
                // The cost of the first request was charged when it arrived, but it was not served.
                flow.finish = flow.finish.saturating_sub(flow.cost());
            }
        }
        self.drop_idle_flows();
        self.stop_if_empty(position.lane);
    }

    pub(crate) fn serve(&mut self, now: I, position: &FlowPosition<K, I>) {
        if let Some(flow) = self.flows.get_mut(&position.account) {
            flow.lanes[position.lane as usize].remove(&position.order);
            self.virtual_time = self.virtual_time.max(flow.finish);
            if flow.len() > 0 {
                flow.finish += flow.cost();
            }
            let is_backlogged = !flow.lanes[position.lane as usize].is_empty();
            flow.intervals[position.lane as usize].record(now, is_backlogged);
        }
        self.drop_idle_flows();
        let is_backlogged = self.waiting(position.lane) > 0;
        self.intervals[position.lane as usize].record(now, is_backlogged);
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

    /// The next request to serve, without those found to be blocked.
    pub(crate) fn next(
        &self,
        policy: SchedulerPolicy,
        pass: &QueuePass<K>,
    ) -> Option<QueuedRequest<K, V, I>> {
        let heads = self.flows.iter().flat_map(|(account, flow)| {
            let heads =
                LANES.into_iter().filter_map(move |lane| head_of(account, flow, lane, pass));
            heads.map(move |head| (flow, head))
        });
        let best = heads.min_by_key(|(flow, (position, _))| match policy {
            SchedulerPolicy::Fair => fair_key(flow, 0, position.order),
            SchedulerPolicy::Fifo => (0, None, Reverse(0), position.order.1),
        });
        best.map(|(_, found)| found)
    }

    /// All requests in the order in which [`Self::next`] and [`Self::serve`] return them under fair
    /// queueing if nothing is blocked and none arrives.
    pub(crate) fn service_order(&self) -> Vec<V> {
        let mut keyed = Vec::with_capacity(self.len());
        for flow in self.flows.values() {
            let mut requests: Vec<_> = flow.lanes.iter().flatten().collect();
            requests.sort_unstable_by_key(|(order, _)| **order);
            let requests = requests.into_iter().zip(0..);
            keyed.extend(
                requests.map(|((order, item), index)| (fair_key(flow, index, *order), *item)),
            );
        }
        keyed.sort_unstable_by_key(|(key, _)| *key);
        keyed.into_iter().map(|(_, item)| item).collect()
    }

    pub(super) fn wait(
        &self,
        policy: SchedulerPolicy,
        now: I,
        account: &K,
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
    fn fair_wait(&self, now: I, account: &K, lane: WorkLane, weight: u64, count: u64) -> Duration {
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
    fn requests_ahead(&self, account: &K, lane: WorkLane, weight: u64, own: u64) -> u64 {
        let others = self.flows.iter().filter(|(name, _)| *name != account).map(|(_, flow)| {
            let waiting = flow.lanes[lane as usize].len() as u64;
            waiting.min((own + 1) * flow.weight / weight)
        });
        own + others.sum::<u64>()
    }

    pub(super) fn late(&self, policy: SchedulerPolicy, now: I) -> Vec<(FlowPosition<K, I>, V, I)> {
        let mut late = Vec::new();
        for (account, flow) in self.flows.iter().filter(|_| policy == SchedulerPolicy::Fair) {
            for lane in LANES {
                let mut own = 0;
                for (order, item) in &flow.lanes[lane as usize] {
                    // The request itself needs no further interval when it is next.
                    let wait = self.fair_wait(now, account, lane, flow.weight, own);
                    let served_at = now.after(wait.max(MIN_REMAINING));
                    match order.0 {
                        Some(deadline) if served_at > deadline => {
                            let account = account.clone();
                            late.push((
                                FlowPosition { account, lane, order: *order },
                                *item,
                                served_at,
                            ));
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

/// Order of service under fair queueing of a flow's request with `index` others of it ahead.
fn fair_key<V, I: Copy>(
    flow: &CustomerFlow<V, I>,
    index: u64,
    order: QueueOrder<I>,
) -> (u64, Option<I>, Reverse<u32>, u64) {
    (flow.finish + index * flow.cost(), order.0, Reverse(flow.worth), order.1)
}

fn head_of<K: Clone + Hash + Ord, V: Copy, I: QueueInstant>(
    account: &K,
    flow: &CustomerFlow<V, I>,
    lane: WorkLane,
    pass: &QueuePass<K>,
) -> Option<QueuedRequest<K, V, I>> {
    let is_blocked = (lane == WorkLane::Write && pass.writes_blocked)
        || pass.full.contains(&(account.clone(), lane));
    if is_blocked {
        return None;
    }
    let tried = flow.lanes[lane as usize].iter().take(MAX_TRIED_PER_LANE);
    let (order, item) = tried.into_iter().find(|(order, _)| !pass.skipped.contains(&order.1))?;
    Some((FlowPosition { account: account.clone(), lane, order: *order }, *item))
}
