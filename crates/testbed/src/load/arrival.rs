//! Arrivals of requests: an open loop, so that slow answers do not slow the callers down.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use tanagerdeal_wire::scalar_type;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::{Instant, sleep_until};

use super::plan::{CustomerLoad, RequestMix, SurgePlan};
use crate::clock::now_us;

scalar_type! {
    /// What an arrival asks for.
    pub(super) enum ArrivalKind {
        Read,
        AgedRead,
        List,
        Write,
        IdempotentWrite,
        Transaction,
    }

    /// A request that is due.
    pub(super) struct Arrival {
        pub(super) request: u64,
        pub(super) kind: ArrivalKind,
        pub(super) due_us: u64,
    }
}

impl ArrivalKind {
    /// Whether the request goes to the route that accepts an age.
    pub(super) fn accepts_age(self) -> bool {
        matches!(self, Self::AgedRead | Self::List)
    }
}

impl RequestMix {
    fn choose(&self, random: &mut SmallRng) -> ArrivalKind {
        let weights = [
            (self.reads, ArrivalKind::Read),
            (self.aged_reads, ArrivalKind::AgedRead),
            (self.lists, ArrivalKind::List),
            (self.writes, ArrivalKind::Write),
            (self.idempotent_writes, ArrivalKind::IdempotentWrite),
            (self.transactions, ArrivalKind::Transaction),
        ];
        let total: u32 = weights.iter().map(|(weight, _)| weight).sum();
        let mut point = random.random_range(0..total.max(1));
        for (weight, kind) in weights {
            match point.checked_sub(weight) {
                Some(rest) => point = rest,
                None => return kind,
            }
        }
        ArrivalKind::Read
    }
}

/// Sends arrivals of a customer to the queues of its two routes, with exponential gaps.
pub(super) async fn generate_arrivals(
    customer: CustomerLoad,
    mix: RequestMix,
    duration: Duration,
    seed: u64,
    numbers: Arc<AtomicU64>,
    [current, aged]: [UnboundedSender<Arrival>; 2],
) {
    let mut random = SmallRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut due = start;
    loop {
        let uniform: f64 = random.random();
        let rate = rate_at(&customer, due.duration_since(start)) / 1_000.0;
        if rate <= 0.0 {
            return;
        }
        due += Duration::from_secs_f64(-(1.0 - uniform).ln() / rate);
        if due.duration_since(start) >= duration {
            return;
        }
        sleep_until(due).await;
        let late = Instant::now().duration_since(due).as_micros() as u64;
        let request = numbers.fetch_add(1, Ordering::Relaxed);
        let kind = mix.choose(&mut random);
        let arrival = Arrival { request, kind, due_us: now_us() - late };
        let queue = if kind.accepts_age() { &aged } else { &current };
        if queue.send(arrival).is_err() {
            return;
        }
    }
}

/// Rate in thousandths a second at a time after the start.
fn rate_at(customer: &CustomerLoad, elapsed: Duration) -> f64 {
    let elapsed = elapsed.as_millis() as u64;
    let within = |surge: &SurgePlan| (surge.from_ms..surge.to_ms).contains(&elapsed);
    let factor = customer.surge.filter(within).map_or(1, |surge| surge.factor);
    (customer.millirate * u64::from(factor)) as f64
}
