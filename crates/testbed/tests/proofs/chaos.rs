//! All guarantees at once under a random schedule of failures.
//!
//! The schedule depends on the seed and the length alone, so the printed seed replays it.

use std::time::Duration;

use googletest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use serde_json::json;
use tanagerdeal_testbed::deployment::PLATFORM_DOMAIN;
use tanagerdeal_testbed::history::OperatorAction;
use tanagerdeal_wire::record::RecordKind;
use tokio::time::{Instant, sleep_until};

use crate::support::{JudgedRun, ProofRun, expect_kept};

/// Seed of the short run; `PROOFS_SEED` sets that of the long one.
const SHORT_SEED: u64 = 1;

/// Time of one slot, in which one or two failures begin and end.
const SLOT_MS: u64 = 3_000;

/// Time after the last slot in which the system recovers under load.
const RECOVERY_MS: u64 = 6_000;

/// One-way delay between failure domains in microseconds.
const DELAY_US: u64 = 1_500;

const DOMAINS: [&str; 3] = ["akl-a", "akl-b", "ham-c"];
const HOSTS: [&str; 3] = ["akl-a-1", "akl-b-1", "ham-c-1"];
const MEMBERS: [&str; 3] = ["orders-1-a", "orders-1-b", "orders-1-c"];

/// A failure, or a change by operators, that begins and ends; numbers are indices of domains, hosts
/// or members.
#[derive(Clone, Copy, Debug)]
enum ChaosFault {
    StopHost(usize),
    StopMember(usize),
    StopPlatform,
    StoreRefuses,
    StoreSlow,
    StoreLosesWrites,
    CutDomains(usize, usize),
    CutOneWay(usize, usize),
    LossyLink(usize, usize),
    CutFromStore(usize),
    DomainOut(usize),
    EndpointLeaving(usize),
    Configure(u64),
    KillHost(usize),
    KillMember(usize),
}

/// One failure with its time in milliseconds after the start.
#[derive(Clone, Copy, Debug)]
struct ChaosStep {
    from_ms: u64,
    to_ms: u64,
    fault: ChaosFault,
}

/// The schedule of a seed: a failure or two in each slot, a host killed in the middle and a member
/// at the end, since a run cannot go on after many kills.
fn schedule(seed: u64, slots: u64) -> Vec<ChaosStep> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut steps = Vec::new();
    for slot in 0..slots {
        let first = choose(&mut random, slot, slots);
        let mut faults = vec![first];
        if random.random_bool(0.5) {
            let second = choose(&mut random, slot, slots);
            if std::mem::discriminant(&first) != std::mem::discriminant(&second)
                && !is_in_conflict(first, second)
                && !is_in_conflict(second, first)
            {
                faults.push(second);
            }
        }
        for fault in faults {
            let from_ms = slot * SLOT_MS + random.random_range(0..500);
            let to_ms = from_ms + random.random_range(500..2_300);
            steps.push(ChaosStep { from_ms, to_ms, fault });
        }
    }
    steps
}

fn choose(random: &mut SmallRng, slot: u64, slots: u64) -> ChaosFault {
    let (one, other) = (random.random_range(0..3), random.random_range(1..3));
    let other = (one + other) % 3;
    match random.random_range(0..13) {
        _ if slot + 1 == slots => ChaosFault::KillMember(one),
        _ if slot == slots / 2 => ChaosFault::KillHost(one),
        0 => ChaosFault::StopHost(one),
        1 | 2 => ChaosFault::StopMember(one),
        3 => ChaosFault::StopPlatform,
        4 => ChaosFault::StoreRefuses,
        5 => ChaosFault::StoreSlow,
        6 => ChaosFault::StoreLosesWrites,
        7 => ChaosFault::CutDomains(one, other),
        8 => ChaosFault::CutOneWay(one, other),
        9 => ChaosFault::LossyLink(one, other),
        10 => ChaosFault::CutFromStore(one),
        11 if random.random_bool(0.5) => ChaosFault::DomainOut(one),
        11 => ChaosFault::EndpointLeaving(one),
        _ => ChaosFault::Configure(random.random_range(5..50)),
    }
}

/// Whether an operator's change is needed, which waits until the store takes it.
fn is_change(fault: ChaosFault) -> bool {
    use ChaosFault::{Configure, DomainOut, EndpointLeaving};
    matches!(fault, DomainOut(_) | EndpointLeaving(_) | Configure(_))
}

/// Whether one failure cannot begin or end while another lasts: a change waits until the store takes
/// it, and a stopped platform takes no faults.
fn is_in_conflict(fault: ChaosFault, other: ChaosFault) -> bool {
    use ChaosFault::{StopPlatform, StoreLosesWrites, StoreRefuses, StoreSlow};
    match other {
        StopPlatform => {
            is_change(fault) || matches!(fault, StoreLosesWrites | StoreRefuses | StoreSlow)
        }
        StoreRefuses => is_change(fault),
        _ => false,
    }
}

/// Begins or ends a failure.
async fn apply(run: &mut ProofRun, fault: ChaosFault, begins: bool) {
    match fault {
        ChaosFault::StopHost(index) => stop(run, HOSTS[index], begins),
        ChaosFault::StopMember(index) => stop(run, MEMBERS[index], begins),
        ChaosFault::StopPlatform => stop(run, "standin-platform", begins),
        ChaosFault::StoreRefuses => run.platform_faults(json!({"refuse_all": begins})).await,
        ChaosFault::StoreSlow => {
            run.platform_faults(json!({"delay_ms": if begins { 700 } else { 0 }})).await;
        }
        ChaosFault::StoreLosesWrites => {
            run.platform_faults(json!({"lose_writes": if begins { 3 } else { 0 }})).await;
        }
        ChaosFault::CutDomains(one, other) => {
            run.link(DOMAINS[one], DOMAINS[other], DELAY_US, 0, begins).await;
            run.link(DOMAINS[other], DOMAINS[one], DELAY_US, 0, begins).await;
        }
        ChaosFault::CutOneWay(one, other) => {
            run.link(DOMAINS[one], DOMAINS[other], DELAY_US, 0, begins).await;
        }
        ChaosFault::LossyLink(one, other) => {
            let (delay_us, loss) = if begins { (20_000, 5) } else { (DELAY_US, 0) };
            run.link(DOMAINS[one], DOMAINS[other], delay_us, loss, false).await;
        }
        ChaosFault::CutFromStore(index) => {
            run.link(DOMAINS[index], PLATFORM_DOMAIN, 0, 0, begins).await;
            run.link(PLATFORM_DOMAIN, DOMAINS[index], 0, 0, begins).await;
        }
        ChaosFault::DomainOut(index) => {
            let (state, action) = match begins {
                true => ("out", OperatorAction::DomainOut),
                false => ("in", OperatorAction::DomainIn),
            };
            let record = (RecordKind::Domain, DOMAINS[index]);
            run.change(record, Some(json!({"state": state})), action).await;
        }
        ChaosFault::EndpointLeaving(index) => {
            let (state, action) = match begins {
                true => ("leaving", OperatorAction::EndpointLeaving),
                false => ("serving", OperatorAction::EndpointServing),
            };
            let record = (RecordKind::Endpoint, MEMBERS[index]);
            run.change(record, Some(json!({"state": state})), action).await;
        }
        ChaosFault::Configure(percent) if begins => {
            let record = (RecordKind::Configuration, "fleet");
            let fields = json!({"retry_percent": percent});
            run.change(record, Some(fields), OperatorAction::Configure).await;
        }
        ChaosFault::KillHost(index) if begins => {
            run.deployment.kill(HOSTS[index]).await.expect("a host");
        }
        ChaosFault::KillMember(index) if begins => {
            run.deployment.kill(MEMBERS[index]).await.expect("a member");
        }
        ChaosFault::Configure(_) | ChaosFault::KillHost(_) | ChaosFault::KillMember(_) => {}
    }
}

/// Stops or continues a process; one that was killed before is left alone.
fn stop(run: &mut ProofRun, process: &str, begins: bool) {
    let signalled = match begins {
        true => run.stop(process),
        false => run.wake(process),
    };
    if let Err(error) = signalled {
        println!("chaos: {error}");
    }
}

async fn run_chaos(name: &str, seed: u64, slots: u64) -> JudgedRun {
    let steps = schedule(seed, slots);
    println!("chaos: seed {seed}, {slots} slots");
    steps.iter().for_each(|step| println!("chaos: {step:?}"));
    let run = ProofRun::start(name, seed, slots * SLOT_MS + RECOVERY_MS, |load| {
        load.deadline_ms = 2_500;
        load.roam_percent = 10;
    });
    let mut run = run.await;
    let starts = steps.iter().map(|step| (step.from_ms, true, step.fault));
    let ends = steps.iter().map(|step| (step.to_ms, false, step.fault));
    let mut events: Vec<_> = starts.chain(ends).collect();
    events.sort_by_key(|(at_ms, ..)| *at_ms);
    let start = Instant::now();
    for (at_ms, begins, fault) in events {
        sleep_until(start + Duration::from_millis(at_ms)).await;
        apply(&mut run, fault, begins).await;
    }
    run.finish().await
}

/// Value of an environment variable, or the default.
fn number(variable: &str, default: u64) -> u64 {
    std::env::var(variable).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Guards against a broken guarantee in a combination of failures that no other proof has.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn chaos_short() {
    let run = run_chaos("chaos-short", SHORT_SEED, 7).await;
    expect_kept(&run, 200);
}

/// As the short run, for `PROOFS_SECONDS` from `PROOFS_SEED`.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
#[ignore = "takes minutes: PROOFS_SEED and PROOFS_SECONDS set seed and length"]
async fn chaos_long() {
    let seconds = number("PROOFS_SECONDS", 120);
    let slots = (seconds * 1_000 / SLOT_MS).max(3);
    let run = run_chaos("chaos-long", number("PROOFS_SEED", SHORT_SEED), slots).await;
    expect_kept(&run, 200);
}
