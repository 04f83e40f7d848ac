//! Queues of requests that wait for an endpoint.

pub(crate) mod flow;
#[cfg(test)]
mod tests;
mod window;

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use slotmap::SecondaryMap;
use tanagerdeal_wire::{CustomerName, scalar_type, value_type};

use crate::message::{EndpointKey, GroupKey, SessionKey};
use crate::profile::SchedulerPolicy;
use flow::{FlowEntry, FlowPosition, FlowQueue};
use window::ConcurrencyWindow;

/// Maximum number of requests that wait for one group, which bounds memory use.
const MAX_QUEUED: usize = 20_000;

/// Fraction of the expected wait, as a divisor, that is added to it as a margin before it is
/// compared with the deadline. Without a margin, requests near the limit are admitted and then
/// refused shortly before their deadline. With an eighth, requests to an endpoint that had become
/// slow waited 1.8 s before they were refused.
const WAIT_MARGIN_DIVISOR: u32 = 2;

/// Minimum time before its deadline with which a request is still placed.
const MIN_REMAINING: Duration = Duration::from_millis(2);

/// Whether a request with an expected wait and a time remaining until its deadline may be queued.
pub(crate) fn is_admitted(wait: Duration, remaining: Duration) -> bool {
    wait.max(MIN_REMAINING) + wait / WAIT_MARGIN_DIVISOR <= remaining
}

/// Requests that wait for one group.
type GroupQueue = FlowQueue<CustomerName, SessionKey, Instant>;

/// A clock's instants, to measure intervals of service.
pub(crate) trait QueueInstant: Copy + Ord {
    /// The instant a duration later.
    fn after(self, duration: Duration) -> Self;

    /// Time since an earlier instant; zero if `earlier` is later.
    fn since(self, earlier: Self) -> Duration;
}

impl QueueInstant for Instant {
    fn after(self, duration: Duration) -> Self {
        self + duration
    }

    fn since(self, earlier: Self) -> Duration {
        self.saturating_duration_since(earlier)
    }
}

/// Queues by group and customer, and the load on each endpoint.
#[derive(Default)]
pub struct QueueTable {
    groups: HashMap<GroupKey, GroupQueue>,
    loads: SecondaryMap<EndpointKey, EndpointLoad>,
    sequence: u64,
}

scalar_type! {
    /// Kinds of work that wait for different endpoints of a group.
    pub(crate) enum WorkLane {
        /// Needs the primary.
        Write,
        /// Can run on several members.
        Read,
    }

    /// Order among the requests of one customer: by deadline, which is absent when requests are
    /// served in order of arrival; then by arrival.
    pub(crate) struct QueueOrder<I = Instant>(pub(crate) Option<I>, pub(crate) u64);
}

value_type! {
    /// Position of a request in a queue.
    pub(crate) struct QueueTicket {
        pub(crate) group: GroupKey,
        pub(crate) account: CustomerName,
        pub(crate) lane: WorkLane,
        pub(crate) order: QueueOrder,
    }

    /// A request, with the properties that determine the order of service.
    pub(crate) struct QueueEntry {
        pub(crate) session: SessionKey,
        pub(crate) account: CustomerName,
        pub(crate) lane: WorkLane,
        pub(crate) deadline: Instant,
        /// Weight of the customer in fair queueing.
        pub(crate) weight: u32,
        /// Value of a request; a higher one goes first among customers that are otherwise equal.
        pub(crate) worth: u32,
    }
}

/// What one scan of a queue has found to be blocked.
pub(crate) struct QueuePass<K = CustomerName> {
    /// Sequence numbers of requests that wait for a replica to reach a log position.
    pub(crate) skipped: HashSet<u64>,
    /// Customers whose lane waits for an endpoint with room.
    pub(crate) full: HashSet<(K, WorkLane)>,
    /// Whether no write can be placed.
    pub(crate) writes_blocked: bool,
}

impl<K> Default for QueuePass<K> {
    fn default() -> Self {
        Self { skipped: HashSet::new(), full: HashSet::new(), writes_blocked: false }
    }
}

impl QueuePass {
    /// Skips one request that waits for a log position.
    pub(crate) fn pass_over(&mut self, ticket: &QueueTicket) {
        self.skipped.insert(ticket.order.1);
    }
}

impl From<QueueEntry> for FlowEntry<CustomerName, SessionKey> {
    fn from(entry: QueueEntry) -> Self {
        let QueueEntry { session, account, lane, weight, worth, .. } = entry;
        Self { account, lane, item: session, weight, worth }
    }
}

impl QueueTicket {
    fn new(group: GroupKey, position: FlowPosition<CustomerName, Instant>) -> Self {
        let FlowPosition { account, lane, order } = position;
        Self { group, account, lane, order }
    }

    fn position(&self) -> FlowPosition<CustomerName, Instant> {
        FlowPosition { account: self.account.clone(), lane: self.lane, order: self.order }
    }
}

/// Load of this host on one endpoint.
#[derive(Default)]
struct EndpointLoad {
    connections: u32,
    held: u32,
    running: u32,
    /// Largest number of waiting requests that more connections would let run, since
    /// [`QueueTable::take_wanted`] was last called.
    shortfall: u32,
    window: ConcurrencyWindow,
}

impl QueueTable {
    /// Adds a request to the queue of its group; returns `None` when the queue is full.
    pub(crate) fn enqueue(
        &mut self,
        policy: SchedulerPolicy,
        group: GroupKey,
        entry: QueueEntry,
    ) -> Option<QueueTicket> {
        let queue = self.groups.entry(group).or_default();
        if queue.len() >= MAX_QUEUED {
            return None;
        }
        self.sequence += 1;
        let deadline = (policy == SchedulerPolicy::Fair).then_some(entry.deadline);
        let order = QueueOrder(deadline, self.sequence);
        let (account, lane) = (entry.account.clone(), entry.lane);
        queue.add(order, entry.into());
        Some(QueueTicket { group, account, lane, order })
    }

    /// Removes a request from its queue without serving it.
    pub(crate) fn remove(&mut self, ticket: &QueueTicket) {
        if let Some(queue) = self.groups.get_mut(&ticket.group) {
            queue.remove(&ticket.position());
        }
        self.prune(ticket.group);
    }

    /// Removes a request from its queue because an endpoint was assigned to it.
    pub(crate) fn serve(&mut self, now: Instant, ticket: &QueueTicket) {
        if let Some(queue) = self.groups.get_mut(&ticket.group) {
            queue.serve(now, &ticket.position());
        }
        self.prune(ticket.group);
    }

    fn prune(&mut self, group: GroupKey) {
        if self.groups.get(&group).is_some_and(GroupQueue::is_idle) {
            self.groups.remove(&group);
        }
    }

    /// Groups with waiting requests.
    pub(crate) fn backlogged(&self) -> Vec<GroupKey> {
        self.groups.iter().filter(|(_, queue)| queue.len() > 0).map(|(group, _)| *group).collect()
    }

    /// The next request to serve, without those found to be blocked.
    pub(crate) fn next(
        &self,
        policy: SchedulerPolicy,
        group: GroupKey,
        pass: &QueuePass,
    ) -> Option<(QueueTicket, SessionKey)> {
        let (position, session) = self.groups.get(&group)?.next(policy, pass)?;
        Some((QueueTicket::new(group, position), session))
    }

    /// Records that a lane waits for room on an endpoint, so that the time until the next service
    /// counts towards the service rate.
    pub(crate) fn note_full(&mut self, now: Instant, group: GroupKey, lane: WorkLane) {
        if let Some(queue) = self.groups.get_mut(&group) {
            queue.start_measuring(now, lane);
        }
    }

    /// Records that a lane has no usable endpoint. Time without an endpoint does not count towards
    /// the service rate.
    pub(crate) fn note_unroutable(&mut self, group: GroupKey, lane: WorkLane) {
        if let Some(queue) = self.groups.get_mut(&group) {
            queue.stop_measuring(lane);
        }
    }

    /// Expected wait of a customer's next request.
    pub(crate) fn expected_wait(
        &self,
        policy: SchedulerPolicy,
        now: Instant,
        group: GroupKey,
        account: &CustomerName,
        lane: WorkLane,
        weight: u32,
    ) -> Duration {
        let queue = self.groups.get(&group);
        queue.map(|queue| queue.wait(policy, now, account, lane, weight)).unwrap_or_default()
    }

    /// Waiting requests that can no longer meet their deadline, with the time at which each would
    /// be served. The queue that is longest relative to its weight waits longest, so requests are
    /// shed from the customer that exceeds its share most.
    pub(crate) fn late(
        &self,
        policy: SchedulerPolicy,
        now: Instant,
    ) -> Vec<(QueueTicket, SessionKey, Instant)> {
        let mut late = Vec::new();
        for (group, queue) in &self.groups {
            late.extend(queue.late(policy, now).into_iter().map(
                |(position, session, served_at)| {
                    (QueueTicket::new(*group, position), session, served_at)
                },
            ));
        }
        late
    }

    /// Sets how many connections may be held to an endpoint.
    pub(crate) fn set_connections(&mut self, endpoint: EndpointKey, connections: u32) {
        if let Some(load) = self.load(endpoint) {
            load.connections = connections;
        }
    }

    /// Limit on the connections held to an endpoint.
    pub(crate) fn connections(&self, endpoint: EndpointKey) -> u32 {
        self.loads.get(endpoint).map_or(0, |load| load.connections)
    }

    /// Connections held to an endpoint.
    pub(crate) fn held(&self, endpoint: EndpointKey) -> u32 {
        self.loads.get(endpoint).map_or(0, |load| load.held)
    }

    /// Records that a lane waits for an endpoint without room. Its requests count as demand for as
    /// many connections as the concurrency window has room for.
    pub(crate) fn note_short(&mut self, group: GroupKey, lane: WorkLane, endpoint: EndpointKey) {
        let waiting = self.groups.get(&group).map_or(0, |queue| queue.waiting(lane));
        let waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
        if let Some(load) = self.load(endpoint) {
            load.shortfall = load.shortfall.max(waiting.min(load.window.room(load.running)));
        }
    }

    /// Connections wanted to an endpoint: those held, and those that were lacking since the last
    /// call.
    pub(crate) fn take_wanted(&mut self, endpoint: EndpointKey) -> u64 {
        let Some(load) = self.loads.get_mut(endpoint) else { return 0 };
        u64::from(load.held) + u64::from(std::mem::take(&mut load.shortfall))
    }

    /// Whether new work may begin on an endpoint.
    pub(crate) fn has_room(&self, endpoint: EndpointKey) -> bool {
        self.loads
            .get(endpoint)
            .is_some_and(|load| load.held < load.connections && load.window.has_room(load.running))
    }

    /// Records that a connection was taken.
    pub(crate) fn hold(&mut self, endpoint: EndpointKey) {
        if let Some(load) = self.load(endpoint) {
            load.held += 1;
        }
    }

    /// Records that a connection was released.
    pub(crate) fn release(&mut self, endpoint: EndpointKey) {
        if let Some(load) = self.load(endpoint) {
            load.held = load.held.saturating_sub(1);
        }
    }

    /// Records the start of a statement.
    pub(crate) fn begin(&mut self, endpoint: EndpointKey) {
        if let Some(load) = self.load(endpoint) {
            load.running += 1;
        }
    }

    /// Records the end of a statement. `latency` is absent when the duration is no measure of the
    /// endpoint.
    pub(crate) fn end(
        &mut self,
        now: Instant,
        endpoint: EndpointKey,
        lane: WorkLane,
        latency: Option<Duration>,
    ) {
        let Some(load) = self.load(endpoint) else { return };
        if let Some(latency) = latency {
            load.window.record(now, lane, latency, load.running);
        }
        load.running = load.running.saturating_sub(1);
    }

    fn load(&mut self, endpoint: EndpointKey) -> Option<&mut EndpointLoad> {
        self.loads.entry(endpoint).map(|entry| entry.or_default())
    }
}
