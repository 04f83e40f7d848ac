//! Expected waits: from the times at which the slots of an endpoint become free, and from the recent
//! demand of more urgent work.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::ops::Bound;
use std::time::Duration;

use super::turns::{FLOOR_STARTS, ServiceLevel};
use super::{EndpointAdmission, TicketKey};
use crate::ledger::capacity::{WorkClass, WorkKind};
use crate::ledger::clock::BootInstant;

/// Time constant of the moving average of demand.
const DEMAND_WINDOW: Duration = Duration::from_millis(500);

/// Least demand, in statements, that says something about the mean service time.
const MIN_DEMAND: f64 = 1e-6;

/// Shortest time after which waiting statements are compared with their deadlines again.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// Busy slots from which on less urgent work counts as present.
const MIN_LESS_URGENT: f64 = 0.01;

/// Class whose service time is used before there was any demand.
const UNKNOWN_WORK: WorkClass = WorkClass { route: 0, kind: WorkKind::Read };

/// Expected time until a waiting statement starts.
pub(super) struct WaitForecast {
    pub(super) ticket: TicketKey,
    pub(super) wait: Duration,
    /// The same if no other statement arrives.
    pub(super) start: Duration,
    /// Whether it can't start by its deadline even then.
    pub(super) is_late: bool,
}

/// Times from now at which slots become free.
pub(super) struct SlotForecast {
    free_in: BinaryHeap<Reverse<Duration>>,
}

impl SlotForecast {
    /// The slots of an endpoint that runs `limit` statements, some of which end after the
    /// `remaining` times. While more than `limit` run, the first to end free no slot. None is free
    /// before `pause` has passed.
    pub(super) fn new(mut remaining: Vec<Duration>, limit: usize, pause: Duration) -> Self {
        remaining.sort_unstable();
        let excess = remaining.len().saturating_sub(limit);
        remaining.drain(..excess);
        remaining.resize(limit.max(1), Duration::ZERO);
        Self { free_in: remaining.into_iter().map(|free_in| Reverse(free_in.max(pause))).collect() }
    }

    /// Time until the next slot becomes free.
    pub(super) fn next_start(&self) -> Duration {
        self.free_in.peek().map_or(Duration::ZERO, |Reverse(free_in)| *free_in)
    }

    /// Runs a statement on the next free slot.
    pub(super) fn occupy(&mut self, service: Duration) {
        if let Some(Reverse(free_in)) = self.free_in.pop() {
            self.free_in.push(Reverse(free_in + service));
        }
    }
}

/// Time until a statement ends that has run for `elapsed`. One that takes longer than expected is
/// expected to exceed its service time by twice as much as it has so far.
pub(super) fn remaining_time(service: Duration, elapsed: Duration) -> Duration {
    service.abs_diff(elapsed)
}

/// Moving sum of the work of one level.
pub(super) struct DemandMeter {
    service_s: f64,
    count: f64,
    updated: BootInstant,
}

impl DemandMeter {
    pub(super) fn new(now: BootInstant) -> Self {
        Self { service_s: 0.0, count: 0.0, updated: now }
    }

    /// Records a statement that is expected to take `service`.
    pub(super) fn add(&mut self, now: BootInstant, service: Duration) {
        let decay = self.decay(now);
        self.service_s = self.service_s * decay + service.as_secs_f64();
        self.count = self.count * decay + 1.0;
        self.updated = now;
    }

    /// Slots that the recent demand keeps busy.
    pub(super) fn busy_slots(&self, now: BootInstant) -> f64 {
        self.service_s * self.decay(now) / DEMAND_WINDOW.as_secs_f64()
    }

    fn decay(&self, now: BootInstant) -> f64 {
        (-now.since(self.updated).as_secs_f64() / DEMAND_WINDOW.as_secs_f64()).exp()
    }
}

/// Mean service time over the recent demand of several levels, if there was any.
pub(super) fn mean_service_time<'a>(
    now: BootInstant,
    meters: impl Iterator<Item = &'a DemandMeter>,
) -> Option<Duration> {
    let (service_s, count) = meters.fold((0.0, 0.0), |(service_s, count), meter| {
        let decay = meter.decay(now);
        (service_s + meter.service_s * decay, count + meter.count * decay)
    });
    (count > MIN_DEMAND).then(|| Duration::from_secs_f64(service_s / count))
}

impl EndpointAdmission {
    /// Expected waits of all waiting statements. Those that are late don't delay the rest.
    pub(super) fn forecast(&self, now: BootInstant) -> Vec<WaitForecast> {
        let mut slots = self.slots(now);
        let mut ahead = BTreeMap::<ServiceLevel, u32>::new();
        let mut forecasts = Vec::with_capacity(self.waiting.len());
        for (level, ticket) in self.service_order() {
            let Some(statement) = self.waiting.get(ticket) else { continue };
            let count = ahead.entry(level).or_default();
            let start = slots.next_start();
            let wait = self.wait_at(now, level, start, *count);
            let is_late = now.after(start) > statement.deadline;
            if !is_late {
                slots.occupy(self.capacity.service_time(statement.work));
                *count += 1;
            }
            forecasts.push(WaitForecast { ticket, wait, start, is_late });
        }
        forecasts
    }

    /// Expected wait of one more statement of a level.
    pub(super) fn expected_wait(&self, now: BootInstant, level: ServiceLevel) -> Duration {
        let mut slots = self.slots(now);
        let mut ahead = 0;
        for (other, ticket) in self.service_order().into_iter().filter(|(other, _)| *other <= level)
        {
            let Some(statement) = self.waiting.get(ticket) else { continue };
            slots.occupy(self.capacity.service_time(statement.work));
            ahead += u32::from(other == level);
        }
        self.wait_at(now, level, slots.next_start(), ahead)
    }

    /// Part of the endpoint's time that the demand of more urgent levels leaves to a level, and
    /// that it gets at least.
    pub(super) fn share(&self, now: BootInstant, level: ServiceLevel) -> f64 {
        let urgent = self.demand.range(..level).map(|(_, meter)| meter.busy_slots(now));
        let busy = urgent.sum::<f64>() / f64::from(self.capacity.limit());
        (1.0 - busy).max(1.0 / f64::from(FLOOR_STARTS + 1))
    }

    /// Whether less urgent work than that of a level was admitted recently.
    pub(super) fn has_less_urgent(&self, now: BootInstant, level: ServiceLevel) -> bool {
        let bounds = (Bound::Excluded(level), Bound::Unbounded);
        self.demand.range(bounds).any(|(_, meter)| meter.busy_slots(now) > MIN_LESS_URGENT)
    }

    /// Mean time between two starts at full load.
    pub(super) fn mean_interval(&self, now: BootInstant) -> Duration {
        let mean = mean_service_time(now, self.demand.values());
        mean.unwrap_or_else(|| self.capacity.service_time(UNKNOWN_WORK)) / self.capacity.limit()
    }

    /// When the waiting statements must be compared with their deadlines again. The expected start
    /// moves back by at most twice the time that passes.
    pub(super) fn check_time(
        &self,
        now: BootInstant,
        forecasts: &[WaitForecast],
    ) -> Option<BootInstant> {
        let checks = forecasts.iter().filter_map(|forecast| {
            let deadline = self.waiting.get(forecast.ticket)?.deadline;
            let slack = deadline.since(now.after(forecast.start));
            Some(deadline.min(now.after((slack / 2).max(MIN_CHECK_INTERVAL))))
        });
        let pause = (self.full_until > now).then_some(self.full_until);
        checks.chain(pause).min()
    }

    /// Expected wait of a statement that would start after `start` if no other statement arrived,
    /// and that has `ahead` others of its level ahead of it.
    ///
    /// More urgent work that arrives meanwhile stretches the wait by the inverse of the share that
    /// is left (Cobham, 1954), but not beyond the next start that is due to the level.
    fn wait_at(
        &self,
        now: BootInstant,
        level: ServiceLevel,
        start: Duration,
        ahead: u32,
    ) -> Duration {
        let stretched = start.div_f64(self.share(now, level));
        let starts = self.turns.starts_to_floor(level) + ahead * (FLOOR_STARTS + 1) + 1;
        match level.is_new {
            true => stretched.min(start.max(self.mean_interval(now) * starts)),
            false => stretched,
        }
    }

    fn slots(&self, now: BootInstant) -> SlotForecast {
        let running = self.running.values();
        let remaining = running.map(|statement| {
            remaining_time(self.capacity.service_time(statement.work), now.since(statement.started))
        });
        SlotForecast::new(remaining.collect(), self.limit(), self.full_until.since(now))
    }

    /// Waiting statements in order of service.
    fn service_order(&self) -> Vec<(ServiceLevel, TicketKey)> {
        let mut turns = self.turns.clone();
        let orders = self.queues.iter().map(|(level, queue)| (*level, queue.service_order()));
        let mut orders: BTreeMap<_, _> =
            orders.map(|(level, order)| (level, order.into_iter())).collect();
        std::iter::from_fn(|| {
            let level = turns.take_next()?;
            Some((level, orders.get_mut(&level)?.next()?))
        })
        .collect()
    }

    pub(super) fn limit(&self) -> usize {
        usize::try_from(self.capacity.limit()).unwrap_or(usize::MAX)
    }
}
