//! Selection of the endpoint for a read.

use std::collections::HashMap;
use std::time::Duration;

use googletest::prelude::*;
use proptest::prelude::*;
use tanagerdeal_core::ledger::choose::{REMOTE_PRICE, ReadChoice};
use tanagerdeal_core::ledger::clock::BootInstant;
use tanagerdeal_core::ledger::endpoint::{
    EndpointRole, EndpointState, EndpointTable, LoadHint, LogPosition,
};

use crate::support::{at, endpoint, host_state, position};

fn chosen(state: &tanagerdeal_core::ledger::state::HostState, floor: bool, now: u64) -> String {
    let floor = floor.then_some(position(1, 5));
    let key = state.read_target("g", floor, &[], at(now));
    key.and_then(|key| state.endpoints.get(key))
        .map_or(String::new(), |endpoint_state| endpoint_state.record.id.clone())
}

/// Guards against needless traffic between failure domains and load on the primary.
#[gtest]
fn a_replica_of_the_own_domain_is_preferred() {
    expect_that!(chosen(&host_state(), true, 10).as_str(), eq("r1"));
}

/// Guards against reads without a minimum position on replicas.
#[gtest]
fn without_a_floor_only_the_primary_will_do() {
    expect_that!(chosen(&host_state(), false, 10).as_str(), eq("p"));
}

/// Guards against work for draining endpoints.
#[gtest]
fn a_draining_endpoint_gets_no_reads() {
    let mut state = host_state();
    let mut record = endpoint("r1", "d1", EndpointRole::Replica);
    record.is_draining = true;
    state.endpoints.register(record, at(5));
    expect_that!(chosen(&state, true, 10).as_str(), not(eq("r1")));
}

/// Guards against reads in an evacuated failure domain.
#[gtest]
fn an_evacuated_domain_gets_no_reads() {
    let mut state = host_state();
    state.evacuated.insert("d1".to_owned(), at(5));
    expect_that!(chosen(&state, true, 10).as_str(), eq("r2"));
}

/// Load pattern: replicas lag for seconds (`replica_lag`). Guards against retries on a replica that
/// has just refused a read.
#[gtest]
fn a_lagging_replica_is_passed_over_until_it_has_the_position() {
    let mut state = host_state();
    let key = state.endpoints.find("r1").unwrap();
    state.endpoints.get_mut(key).unwrap().note_lagging(at(10));
    expect_that!(chosen(&state, true, 20).as_str(), not(eq("r1")));
    let reply = Some(position(1, 5));
    state.endpoints.get_mut(key).unwrap().note_reply(reply, Duration::from_millis(20), at(0));
    expect_that!(chosen(&state, true, 30).as_str(), eq("r1"));
}

/// Load pattern: one endpoint is full while others are idle. Guards against a queue in this failure
/// domain that costs more latency than another domain.
#[gtest]
fn work_moves_to_another_domain_when_the_own_one_is_loaded() {
    let mut state = host_state();
    for id in ["p", "r1"] {
        let key = state.endpoints.find(id).unwrap();
        let endpoint_state = state.endpoints.get_mut(key).unwrap();
        (0..80).for_each(|_| endpoint_state.note_reply(None, Duration::from_millis(90), at(0)));
        endpoint_state.in_flight = 3;
    }
    expect_that!(chosen(&state, true, 10).as_str(), eq("r2"));
}

/// Guards against reads on an endpoint that does not reply.
#[gtest]
fn a_failing_endpoint_is_the_last_choice() {
    let mut state = host_state();
    let key = state.endpoints.find("r1").unwrap();
    state.endpoints.get_mut(key).unwrap().note_failure(at(5));
    expect_that!(chosen(&state, true, 10).as_str(), not(eq("r1")));
}

/// Reads whose choices are counted.
const READS: u32 = 100;

/// Hint of an endpoint with three slots whose work takes 20 ms.
fn hint(wait_ms: u32, running: u32, waiting: u32, at_ms: u64) -> LoadHint {
    LoadHint {
        expected_wait_us: wait_ms * 1_000,
        service_us: 20_000,
        running,
        limit: 3,
        waiting,
        at: at(at_ms),
    }
}

/// A primary `p` and replicas with a hint each, named after their failure domains.
fn hinted(hints: &[(&str, &str, LoadHint)]) -> EndpointTable {
    let mut table = EndpointTable::default();
    for (id, domain, load) in hints {
        let role = if *id == "p" { EndpointRole::Primary } else { EndpointRole::Replica };
        let (key, _) = table.register(endpoint(id, domain, role), at(0));
        table.get_mut(key).unwrap().note_load(*load);
    }
    table
}

/// Part of the reads of a failure domain that go to each endpoint.
fn parts(
    table: &EndpointTable,
    domain: &str,
    remote_price: Duration,
    now: BootInstant,
) -> HashMap<String, f64> {
    let mut counts: HashMap<String, u32> = HashMap::new();
    for read in 0..READS {
        let choice = ReadChoice {
            group: "g",
            primary: Some("p"),
            min_position: Some(position(1, 5)),
            domain,
            remote_price,
            evacuated: &HashMap::new(),
            tried: &[],
            now,
            draw: (f64::from(read) + 0.5) / f64::from(READS),
        };
        let state = choice.best(table).and_then(|key| table.get(key)).unwrap();
        *counts.entry(state.record.id.clone()).or_default() += 1;
    }
    counts.into_iter().map(|(id, count)| (id, f64::from(count) / f64::from(READS))).collect()
}

fn part(parts: &HashMap<String, f64>, id: &str) -> f64 {
    parts.get(id).copied().unwrap_or_default()
}

/// Load pattern: one endpoint of three is four times as slow. Guards against equal parts of the
/// reads, and against an endpoint that stays idle while the others have long queues.
#[gtest]
fn a_slow_endpoint_of_three_gets_few_reads() {
    let slow = LoadHint { service_us: 80_000, ..hint(0, 0, 0, 10) };
    let parts_beside = |wait_ms: u32| {
        let fast = hint(wait_ms, 3, 0, 10);
        let table = hinted(&[("r1", "d1", slow), ("r2", "d1", fast), ("r3", "d1", fast)]);
        parts(&table, "d1", REMOTE_PRICE, at(20))
    };
    expect_that!(part(&parts_beside(0), "r1"), eq(0.0));
    expect_that!(part(&parts_beside(0), "r2"), all!(ge(0.45), le(0.55)));
    expect_that!(part(&parts_beside(160), "r1"), all!(ge(0.05), le(0.25)));
}

/// Load pattern: many hosts see the same empty endpoint. Guards against all of them choosing it at
/// once, and the more so the older their hints are.
#[gtest]
fn hosts_that_see_the_same_empty_endpoint_do_not_all_choose_it() {
    let spilled = |age_ms: u64| {
        let table = hinted(&[
            ("r1", "d1", hint(100, 3, 15, 10)),
            ("r2", "d2", hint(100, 3, 15, 10)),
            ("r3", "d3", hint(0, 0, 0, 10)),
        ]);
        part(&parts(&table, "d1", REMOTE_PRICE, at(10 + age_ms)), "r3")
    };
    expect_that!(spilled(0), all!(ge(0.2), le(0.55)));
    expect_that!(spilled(500), all!(ge(0.01), le(0.15)));
}

/// Guards against hosts whose numbers repeat, which would choose the same endpoint all the time.
#[gtest]
fn one_host_spreads_its_reads() {
    let mut state = host_state();
    for id in ["p", "r1"] {
        let key = state.endpoints.find(id).unwrap();
        state.endpoints.get_mut(key).unwrap().note_load(hint(0, 0, 0, 10));
    }
    let reads = (0..200).map(|millis| chosen(&state, true, 10 + millis));
    expect_that!(reads.filter(|id| id == "p").count(), all!(ge(70), le(130)));
}

/// Load pattern: a primary that writes keep busy. Guards against reads that take its slots.
#[gtest]
fn a_primary_loses_reads_as_its_slots_fill() {
    let primary_part = |load: LoadHint| {
        let table = hinted(&[("p", "d1", load), ("r1", "d1", hint(0, 1, 0, 10))]);
        part(&parts(&table, "d1", REMOTE_PRICE, at(20)), "p")
    };
    expect_that!(primary_part(hint(0, 0, 0, 10)), ge(0.45));
    expect_that!(primary_part(hint(0, 2, 0, 10)), all!(gt(0.0), le(0.35)));
    expect_that!(primary_part(hint(0, 3, 0, 10)), le(0.05));
    expect_that!(primary_part(hint(0, 3, 3, 10)), eq(0.0));
}

/// Load pattern: an endpoint was full a while ago, and no reply of it has come since. Guards
/// against reads that go to another failure domain because of a load that is over.
#[gtest]
fn the_wait_of_a_hint_shrinks_with_its_age() {
    let table = hinted(&[("r1", "d1", hint(100, 3, 15, 0)), ("r2", "d2", hint(0, 0, 0, 1_900))]);
    let at_home = |now| part(&parts(&table, "d1", REMOTE_PRICE, at(now)), "r1");
    expect_that!(at_home(10), le(0.5));
    expect_that!(at_home(1_950), ge(0.99));
}

/// Guards against an older hint that arrives late and replaces a newer one.
#[gtest]
fn the_newest_hint_counts() {
    let mut table = hinted(&[("r1", "d1", hint(50, 3, 5, 20))]);
    let key = table.find("r1").unwrap();
    table.get_mut(key).unwrap().note_load(hint(0, 0, 0, 10));
    expect_that!(table.get(key).unwrap().load, some(eq(hint(50, 3, 5, 20))));
}

/// What happens in three failure domains whose demand is in waves of 11 s, a third of a period
/// apart, before one endpoint each.
#[derive(Debug, Default)]
struct DomainWaves {
    waits_s: [f64; 3],
    highest_s: f64,
    /// Part of the work that went to other domains.
    remote: f64,
}

/// Work of an endpoint with three slots of 20 ms, in a second.
const WAVE_CAPACITY: f64 = 150.0;
const WAVE_STEP_MS: u64 = 100;
/// Ages of the hints, in steps: of hosts that send something each second at different times, and of
/// hosts whose hints are all a second old.
const MIXED_AGES: &[u64] = &[1, 4, 7, 10];
const OLD_AGES: &[u64] = &[10];

fn waves(mean: f64, amplitude: f64, remote_price: Duration, ages: &[u64]) -> DomainWaves {
    let domains = ["d1", "d2", "d3"];
    let (mut run, mut history) = (DomainWaves::default(), vec![[0.0; 3]; 10]);
    let steps = 22_000 / WAVE_STEP_MS;
    for step in 0..steps {
        let now_ms = 10_000 + step * WAVE_STEP_MS;
        let mut arrivals = [0.0; 3];
        for &age in ages {
            let seen: [f64; 3] = history[history.len() - age as usize];
            let hint_of = |index: usize| {
                let wait_ms = (seen[index] * 1e3) as u32;
                hint(wait_ms, 3, wait_ms / 7, now_ms - age * WAVE_STEP_MS)
            };
            let table =
                hinted(&[0, 1, 2].map(|index| (domains[index], domains[index], hint_of(index))));
            for (index, domain) in domains.iter().enumerate() {
                let phase = now_ms as f64 / 11_000.0 + index as f64 / 3.0;
                let demand = mean * (1.0 + amplitude * (std::f64::consts::TAU * phase).sin());
                let demand = demand / ages.len() as f64;
                let chosen = parts(&table, domain, remote_price, at(now_ms));
                for (target, other) in domains.iter().enumerate() {
                    arrivals[target] += demand * part(&chosen, other);
                }
                run.remote += (1.0 - part(&chosen, domain)) * demand / (3.0 * mean * steps as f64);
            }
        }
        for (wait_s, arrived) in run.waits_s.iter_mut().zip(arrivals) {
            let growth_s = (arrived / WAVE_CAPACITY - 1.0) * WAVE_STEP_MS as f64 / 1e3;
            *wait_s = (*wait_s + growth_s).max(0.0);
            run.highest_s = run.highest_s.max(*wait_s);
        }
        history.push(run.waits_s);
    }
    run
}

/// Load pattern: waves of load that are out of phase between failure domains. Guards against reads
/// that wait or are refused while another domain has room, and against needless traffic between
/// domains when each has room.
#[gtest]
fn reads_spill_to_the_domains_that_have_room() {
    let alone = waves(120.0, 0.6, Duration::from_secs(100), MIXED_AGES);
    let spread = waves(120.0, 0.6, REMOTE_PRICE, MIXED_AGES);
    let quiet = waves(100.0, 0.4, REMOTE_PRICE, MIXED_AGES);
    expect_that!(alone.highest_s, ge(0.7));
    expect_that!(spread.highest_s, le(0.12));
    expect_that!(spread.remote, le(0.1));
    expect_that!(quiet.remote, le(1e-9));
}

/// The same with hints that are all a second old. Guards against load that swings between the
/// domains and makes reads wait longer than without spilling.
#[gtest]
fn old_hints_make_the_load_swing_no_more_than_without_spilling() {
    let alone = waves(120.0, 0.6, Duration::from_secs(100), OLD_AGES);
    let spread = waves(120.0, 0.6, REMOTE_PRICE, OLD_AGES);
    expect_that!(spread.highest_s, le(alone.highest_s * 0.75));
    expect_that!(spread.remote, le(0.2));
}

/// The choice as it was before there were hints.
fn cost_without_hints(state: &EndpointState, min_position: LogPosition, now: BootInstant) -> f64 {
    let is_primary = state.record.id == "p";
    let is_behind = !is_primary && state.position < min_position && now < state.lagging_until;
    let latency = if state.latency_us > 0.0 { state.latency_us } else { 20_000.0 };
    let penalty = |applies: bool, cost: f64| if applies { cost } else { 0.0 };
    latency * (1.0 + f64::from(state.in_flight) / f64::from(state.record.slots.max(1)))
        + penalty(state.record.domain != "d1", 30_000.0)
        + penalty(is_primary, 25_000.0)
        + penalty(now < state.busy_until, 60_000.0)
        + penalty(is_behind, 150_000.0)
        + penalty(state.failing_since.is_some(), 1_000_000.0)
}

proptest! {
    /// Guards against another choice where hosts do not pool connections.
    #[test]
    fn without_hints_the_cheapest_endpoint_is_chosen(
        loads in proptest::collection::vec(
            (0_u64..200, 0_u32..6, any::<bool>(), any::<bool>(), any::<bool>()),
            3,
        ),
        now in 10_u64..500,
    ) {
        let mut state = host_state();
        for (id, (latency, in_flight, is_busy, is_failing, is_lagging)) in
            ["p", "r1", "r2"].iter().zip(loads)
        {
            let key = state.endpoints.find(id).unwrap();
            let endpoint_state = state.endpoints.get_mut(key).unwrap();
            endpoint_state.note_reply(None, Duration::from_millis(latency), at(0));
            endpoint_state.in_flight = in_flight;
            if is_busy {
                endpoint_state.note_busy(at(now));
            }
            if is_failing {
                endpoint_state.note_failure(at(now));
            }
            if is_lagging {
                endpoint_state.note_lagging(at(now));
            }
        }
        let cost = |state: &EndpointState| cost_without_hints(state, position(1, 5), at(now));
        let cheapest = state
            .endpoints
            .of_group("g")
            .min_by(|left, right| cost(left.1).total_cmp(&cost(right.1)))
            .unwrap();
        prop_assert_eq!(chosen(&state, true, now), cheapest.1.record.id.clone());
    }
}
