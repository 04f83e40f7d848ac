//! The limit, the speed and the health of an endpoint, as its pool host learns them.

use std::time::Duration;

use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};
use tanagerdeal_core::ledger::capacity::{EndpointCapacity, EndpointHealth, WorkClass, WorkKind};
use tanagerdeal_core::ledger::clock::BootInstant;

use crate::support::at;

const SHORT: WorkClass = WorkClass { route: 1, kind: WorkKind::Read };
const LONG: WorkClass = WorkClass { route: 2, kind: WorkKind::Write };
/// Length of a step of the model.
const STEP_US: u64 = 500;

/// An endpoint that always has work waiting for it.
struct ModelEndpoint {
    slots: usize,
    /// Statements beyond which all become slower, by the power below of what is beyond.
    knee: f64,
    power: f64,
    round_trip_us: f64,
    /// Median duration of short and long work.
    medians_us: [f64; 2],
    random: StdRng,
    now_us: u64,
    running: Vec<ModelStatement>,
}

struct ModelStatement {
    work: WorkClass,
    sent_us: u64,
    outbound_us: f64,
    left_us: f64,
    return_us: f64,
}

/// What a model endpoint did in an interval.
#[derive(Default)]
struct ModelRun {
    replies: u32,
    /// Average limit.
    limit: f64,
}

impl ModelEndpoint {
    fn new(slots: usize) -> Self {
        Self {
            slots,
            knee: 100.0,
            power: 1.0,
            round_trip_us: 1_000.0,
            medians_us: [20_000.0, 20_000.0],
            random: StdRng::seed_from_u64(7),
            now_us: 0,
            running: Vec::new(),
        }
    }

    /// A statement with a lognormal duration of spread 0.7; one of a hundred takes 8 times as long.
    fn statement(&mut self, work: WorkClass) -> ModelStatement {
        let (first, second): (f64, f64) = (self.random.random(), self.random.random());
        let normal = (-2.0 * (1.0 - first).ln()).sqrt() * (std::f64::consts::TAU * second).cos();
        let tail = if self.random.random_bool(0.01) { 8.0 } else { 1.0 };
        let median_us = self.medians_us[usize::from(work == LONG)];
        ModelStatement {
            work,
            sent_us: self.now_us,
            outbound_us: self.round_trip_us / 2.0,
            left_us: median_us * (0.7 * normal).exp() * tail,
            return_us: self.round_trip_us / 2.0,
        }
    }

    /// Runs work at a speed for some time, as much at once as `limit_of` says.
    fn run(
        &mut self,
        capacity: &mut EndpointCapacity,
        millis: u64,
        speed: f64,
        is_long: &dyn Fn(u64) -> bool,
        limit_of: &dyn Fn(&EndpointCapacity) -> u32,
    ) -> ModelRun {
        let (mut run, steps) = (ModelRun::default(), millis * 1_000 / STEP_US);
        for _ in 0..steps {
            while self.running.len() < limit_of(capacity) as usize {
                let work = if is_long(self.now_us) { LONG } else { SHORT };
                let statement = self.statement(work);
                self.running.push(statement);
            }
            self.advance(speed);
            self.now_us += STEP_US;
            run.limit += f64::from(capacity.limit()) / steps as f64;
            while let Some(index) = self.running.iter().position(|other| other.return_us <= 0.0) {
                let count = self.running.len() as u32;
                let done = self.running.remove(index);
                let took = Duration::from_micros(self.now_us - done.sent_us);
                capacity.record(BootInstant::from_micros(self.now_us), done.work, took, count);
                run.replies += 1;
            }
        }
        run
    }

    /// The first statements that have arrived run, as many as there are slots.
    fn advance(&mut self, speed: f64) {
        let step_us = STEP_US as f64;
        let runs = |other: &&mut ModelStatement| other.outbound_us <= 0.0 && other.left_us > 0.0;
        let active = self.running.iter_mut().filter(runs).count().min(self.slots) as f64;
        let stretch = (active / self.knee).max(1.0).powf(self.power);
        let mut free = self.slots;
        for statement in &mut self.running {
            match statement {
                ModelStatement { outbound_us, .. } if *outbound_us > 0.0 => *outbound_us -= step_us,
                ModelStatement { left_us, .. } if *left_us > 0.0 && free > 0 => {
                    free -= 1;
                    *left_us -= step_us * speed / stretch;
                }
                ModelStatement { left_us, .. } if *left_us > 0.0 => {}
                ModelStatement { return_us, .. } => *return_us -= step_us,
            }
        }
    }
}

fn learned(capacity: &EndpointCapacity) -> u32 {
    capacity.limit()
}

fn never(_: u64) -> bool {
    false
}

fn millis_of(capacity: &EndpointCapacity, work: WorkClass) -> f64 {
    capacity.service_time(work).as_secs_f64() * 1e3
}

/// Sends statements one after another, `interval_ms` apart, from `from_ms` on, as far as they may
/// be sent. Returns how many were sent.
fn send(
    capacity: &mut EndpointCapacity,
    from_ms: u64,
    count: u64,
    interval_ms: u64,
    fails: &dyn Fn(u64) -> bool,
) -> u64 {
    let mut sent = 0;
    for index in 0..count {
        let now = at(from_ms + index * interval_ms);
        if !capacity.has_room(now, 0, false) {
            continue;
        }
        sent += 1;
        match fails(index) {
            true => capacity.record_failure(now),
            false => capacity.record(now, SHORT, Duration::from_millis(20), 1),
        }
    }
    sent
}

/// Load pattern: an endpoint that slows down long before it is full. Guards against a limit at its
/// slots, where it does less than with fewer statements.
#[gtest]
fn the_limit_comes_down_to_where_the_endpoint_slows() {
    let endpoint = || ModelEndpoint { knee: 3.0, power: 1.6, ..ModelEndpoint::new(6) };
    let (mut capacity, mut model) = (EndpointCapacity::new(6), endpoint());
    model.run(&mut capacity, 30_000, 1.0, &never, &learned);
    let run = model.run(&mut capacity, 30_000, 1.0, &never, &learned);
    let (mut unused, mut fixed) = (EndpointCapacity::new(6), endpoint());
    let full = fixed.run(&mut unused, 30_000, 1.0, &never, &|_| 6);
    expect_that!(run.limit, all!(ge(2.5), le(3.6)));
    expect_that!(f64::from(run.replies), ge(f64::from(full.replies) * 1.2));
    expect_that!(capacity.state(at(60_000)), eq(EndpointHealth::Usable));
}

/// Load pattern: an endpoint without any of this. Guards against slots that stay unused because the
/// durations of its work differ so much.
#[gtest]
fn an_endpoint_that_does_not_slow_keeps_its_slots() {
    let (mut capacity, mut model) = (EndpointCapacity::new(6), ModelEndpoint::new(6));
    let run = model.run(&mut capacity, 90_000, 1.0, &never, &learned);
    expect_that!(run.limit, all!(ge(5.6), le(7.0)));
}

/// Load pattern: pool host and endpoint 8 ms apart. Guards against slots that are empty while a
/// reply and the next statement are on their way.
#[gtest]
fn one_more_statement_covers_a_long_round_trip() {
    let mut model = ModelEndpoint { round_trip_us: 8_000.0, ..ModelEndpoint::new(3) };
    let mut capacity = EndpointCapacity::new(3);
    model.run(&mut capacity, 30_000, 1.0, &never, &learned);
    let run = model.run(&mut capacity, 30_000, 1.0, &never, &learned);
    expect_that!(run.limit, all!(ge(3.6), le(4.0)));
}

/// Load pattern: an endpoint that is at a third of its speed for 20 s. Guards against expectations
/// from before the change and from before the return, against lower limits because of it, and
/// against a slow endpoint that counts as failing.
#[gtest]
fn a_change_of_speed_is_followed_there_and_back() {
    let (mut capacity, mut model) = (EndpointCapacity::new(3), ModelEndpoint::new(3));
    model.run(&mut capacity, 20_000, 1.0, &never, &learned);
    let before = millis_of(&capacity, SHORT);
    model.run(&mut capacity, 500, 1.0 / 3.0, &never, &learned);
    let soon = millis_of(&capacity, SHORT);
    let slow = model.run(&mut capacity, 19_500, 1.0 / 3.0, &never, &learned);
    let state = capacity.state(at(40_000));
    model.run(&mut capacity, 300, 1.0, &never, &learned);
    let back = millis_of(&capacity, SHORT);
    expect_that!(soon / before, all!(ge(1.8), le(4.5)));
    expect_that!(back / before, all!(ge(0.6), le(1.4)));
    expect_that!(slow.limit, all!(ge(2.6), le(4.0)));
    expect_that!(state, eq(EndpointHealth::Usable));
}

/// Load pattern: 8 ms and 40 ms work in turns of 5 s, at an endpoint that never changes. Guards
/// against a change of the mix that is taken for a change of speed.
#[gtest]
fn a_mix_of_short_and_long_work_is_no_change_of_speed() {
    let mut model = ModelEndpoint { medians_us: [8_000.0, 40_000.0], ..ModelEndpoint::new(3) };
    let mut capacity = EndpointCapacity::new(3);
    let in_turns = |now_us: u64| now_us / 5_000_000 % 2 == 1;
    model.run(&mut capacity, 20_000, 1.0, &in_turns, &learned);
    let (mut shorts, mut longs, mut limit) = (Vec::new(), Vec::new(), 0.0);
    for _ in 0..40 {
        limit += model.run(&mut capacity, 1_000, 1.0, &in_turns, &learned).limit / 40.0;
        shorts.push(millis_of(&capacity, SHORT));
        longs.push(millis_of(&capacity, LONG));
    }
    expect_that!(shorts, each(all!(ge(&6.0), le(&20.0))));
    expect_that!(longs, each(all!(ge(&30.0), le(&85.0))));
    expect_that!(limit, all!(ge(2.6), le(4.0)));
}

/// Load pattern: work of a database that was not seen before the endpoint became slow. Guards
/// against a speed that has to be learned for each class of its own.
#[gtest]
fn a_class_that_is_seldom_seen_has_the_speed_of_the_others() {
    let (mut capacity, mut model) = (EndpointCapacity::new(3), ModelEndpoint::new(3));
    let mixed = |now_us: u64| now_us < 10_000_000;
    model.run(&mut capacity, 20_000, 1.0, &mixed, &learned);
    let before = millis_of(&capacity, LONG);
    model.run(&mut capacity, 10_000, 0.25, &mixed, &learned);
    expect_that!(millis_of(&capacity, LONG) / before, all!(ge(2.5), le(6.0)));
}

/// Load pattern: an endpoint that fails three of ten statements. Guards against full load on it,
/// and against a lasting limit once it works again.
#[gtest]
fn an_endpoint_that_fails_a_part_gets_less_and_then_more_step_by_step() {
    let mut capacity = EndpointCapacity::new(6);
    send(&mut capacity, 0, 100, 20, &|_| false);
    expect_that!(capacity.limit(), eq(6));
    send(&mut capacity, 2_000, 100, 20, &|index| index % 10 < 3);
    expect_that!(capacity.limit(), le(2));
    expect_that!(capacity.state(at(4_000)), not(eq(EndpointHealth::Usable)));
    let mut limits = Vec::new();
    for step in 0..100 {
        send(&mut capacity, 4_000 + step * 40, 2, 20, &|_| false);
        limits.push(capacity.limit());
    }
    expect_that!(limits[0], le(3));
    expect_that!(limits.windows(2).map(|pair| pair[1] - pair[0]).max(), some(eq(1)));
    expect_that!(limits.is_sorted(), eq(true));
    expect_that!(limits.last(), some(eq(&6)));
    expect_that!(capacity.state(at(9_000)), eq(EndpointHealth::Usable));
}

/// Load pattern: an endpoint that answers health checks and fails every statement. Guards against
/// work that it fails at full rate, and against an endpoint that is never tried again.
#[gtest]
fn an_endpoint_that_fails_everything_gets_probes_only() {
    let mut capacity = EndpointCapacity::new(3);
    send(&mut capacity, 0, 1_000, 1, &|_| true);
    expect_that!(capacity.state(at(1_000)), eq(EndpointHealth::Probing));
    expect_that!(send(&mut capacity, 1_000, 4_000, 1, &|_| true), all!(ge(5), le(20)));
}

/// Load pattern: the only usable endpoint of a group fails. Guards against work that is refused
/// although the endpoint may have recovered.
#[gtest]
fn the_last_usable_endpoint_is_never_left_alone() {
    let mut capacity = EndpointCapacity::new(3);
    send(&mut capacity, 0, 1_000, 1, &|_| true);
    capacity.record_failure(at(1_000));
    expect_that!(capacity.has_room(at(1_001), 0, false), eq(false));
    expect_that!(capacity.has_room(at(1_001), 0, true), eq(true));
    expect_that!(capacity.has_room(at(1_001), 1, true), eq(false));
}

/// Load pattern: an endpoint is stopped for 3 s, once. Guards against a slow return after it.
#[gtest]
fn an_endpoint_that_was_stopped_once_is_back_within_a_second() {
    let mut capacity = EndpointCapacity::new(3);
    send(&mut capacity, 0, 100, 20, &|_| false);
    send(&mut capacity, 2_000, 150, 20, &|_| true);
    expect_that!(capacity.state(at(5_000)), eq(EndpointHealth::Probing));
    send(&mut capacity, 5_000, 50, 20, &|_| false);
    expect_that!(capacity.limit(), eq(3));
    expect_that!(capacity.state(at(6_000)), eq(EndpointHealth::Usable));
}

/// Load pattern: an endpoint that fails for a second and works for a second, again and again.
/// Guards against full load after each return.
#[gtest]
fn an_endpoint_that_flaps_is_trusted_later_each_time() {
    let mut capacity = EndpointCapacity::new(3);
    let mut limits = Vec::new();
    for cycle in 0..8 {
        send(&mut capacity, cycle * 2_000, 50, 20, &|_| true);
        send(&mut capacity, cycle * 2_000 + 1_000, 50, 20, &|_| false);
        limits.push(capacity.limit());
    }
    expect_that!(limits[0], eq(3));
    expect_that!(limits[4..], each(le(&1)));
}

/// Load pattern: hosts that use the endpoint directly fill it. Guards against refusals that go on
/// at the same rate, and against an endpoint that counts as failing because it is full.
#[gtest]
fn an_endpoint_that_is_full_gets_less_for_a_moment() {
    let mut capacity = EndpointCapacity::new(3);
    (0..3).for_each(|index| capacity.record_full(at(index * 150)));
    expect_that!(capacity.limit(), eq(1));
    expect_that!(capacity.state(at(500)), eq(EndpointHealth::Usable));
    send(&mut capacity, 500, 50, 10, &|_| false);
    expect_that!(capacity.limit(), eq(3));
}

/// Load pattern: statements that were sent together fail together. Guards against one event that
/// counts as several.
#[gtest]
fn failures_at_one_time_reduce_the_limit_once() {
    let mut capacity = EndpointCapacity::new(6);
    (0..6).for_each(|_| capacity.record_failure(at(100)));
    expect_that!(capacity.limit(), eq(3));
    expect_that!(capacity.state(at(100)), eq(EndpointHealth::Failing));
}
