//! Hosts that start while the store comes back from a copy read from a replica as if it led.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Case;
use crate::host::{Client, Host, Machine, wait_until};
use crate::member::Group;
use crate::store::{Door, Store};

/// Hosts whose processes are killed: two of three in two zones.
pub const KILLED: [usize; 4] = [0, 1, 3, 4];
/// The host through which the orders are written.
pub const WRITER: usize = 2;
const CRASH_TIME: Duration = Duration::from_millis(3_500);
/// How long the store is away.
const AWAY: Duration = Duration::from_millis(2_500);
/// Time between the restarts of two of them, which are not simultaneous.
pub const START_PAUSE: Duration = Duration::from_millis(125);
pub const KEY: &str = "k3y-acme";

/// A read, or an acknowledged write, of the item: when it was sent and when it was answered.
struct Step {
    host: usize,
    sent: Instant,
    answered: Instant,
    value: u64,
}

fn value(text: &str) -> u64 {
    text.parse().unwrap_or(0)
}

/// Zones of the hosts.
pub const ZONES: [&str; 9] = ["z1", "z1", "z1", "z2", "z2", "z2", "z3", "z3", "z3"];

/// The operator's configuration.
pub fn config() -> String {
    "{\"version\":1,\"routes\":[\
         {\"host\":\"orders\",\"service\":\"g1\",\"kind\":\"primary\",\"timeoutMs\":1000,\
           \"targetLatencyMs\":200,\"priority\":1}],\
         \"services\":[{\"name\":\"g1\",\"connectionLimit\":120}],\
         \"tenants\":[{\"name\":\"acme\",\"apiKeys\":[\"k3y-acme\"],\
           \"ratePerS\":2000,\"burstSize\":2000}],\
         \"limits\":{\"transactionIdleMs\":3000,\"headerTimeoutMs\":3000}}"
        .to_owned()
}

pub fn run(case: &Case) -> i32 {
    let record = &case.record;
    let store = Store::start();
    let group = Group::start(&store, "g1", &["z1", "z2", "z3"], Duration::from_millis(4));
    // `replicas 20 ms behind`
    group.state.lock().unwrap().lag = Duration::from_millis(20);
    let promoted = group.clone();
    *store.on_promotion.lock().unwrap() = Some(Box::new(move |_, id| promoted.promote(id)));
    store.put("op", "config", &config());
    let doors: Vec<Door> = ZONES.iter().map(|_| store.door()).collect();
    let mut hosts: Vec<Host> = ZONES
        .iter()
        .zip(&doors)
        .enumerate()
        .map(|(index, (zone, door))| {
            let machine = Machine {
                name: &format!("front-{}", index + 1),
                zone,
                zones: "z1,z2,z3",
                link_mbps: 1_000,
                store: door.address,
                further: "",
            };
            Host::start(&case.program, &case.directory, &machine)
        })
        .collect();
    if !wait_until(Duration::from_secs(20), || hosts.iter().all(Host::is_ready)) {
        record.line("the hosts did not become ready");
        return 2;
    }
    record.line("all hosts are ready");
    let is_over = Arc::new(AtomicBool::new(false));
    let reads_on = Arc::new(AtomicBool::new(false));
    let steps: Arc<Mutex<(Vec<Step>, Vec<Step>)>> = Arc::default();
    let refused = Arc::new(AtomicU64::new(0));
    // One client writes rising numbers, one after the other.
    {
        let (address, is_over, steps) = (hosts[WRITER].callers, is_over.clone(), steps.clone());
        std::thread::spawn(move || {
            let (mut session, mut number) = (None, 0u64);
            while !is_over.load(Ordering::SeqCst) {
                number += 1;
                if session.is_none() {
                    session = Client::open(address, "orders", KEY);
                }
                let sent = Instant::now();
                let answer = session
                    .as_mut()
                    .and_then(|it: &mut Client| it.query(&format!("WRITE n {number}")));
                match answer {
                    Some(answer) if answer.success.is_some() => {
                        let step =
                            Step { host: WRITER, sent, answered: Instant::now(), value: number };
                        steps.lock().unwrap().0.push(step);
                    }
                    Some(_) => std::thread::sleep(Duration::from_millis(20)),
                    None => session = None,
                }
            }
        });
    }
    // Clients of the two zones: the balancer uses all nodes there, as fewer than half are ready.
    for host in KILLED {
        for _ in 0..4 {
            let (address, is_over, steps) = (hosts[host].callers, is_over.clone(), steps.clone());
            let (reads_on, refused) = (reads_on.clone(), refused.clone());
            std::thread::spawn(move || {
                let mut session: Option<Client> = None;
                while !is_over.load(Ordering::SeqCst) {
                    std::thread::sleep(Duration::from_millis(5));
                    if !reads_on.load(Ordering::SeqCst) {
                        continue;
                    }
                    if session.is_none() {
                        session = Client::open(address, "orders", KEY);
                    }
                    let sent = Instant::now();
                    let answer = session.as_mut().and_then(|it| it.query("READ n"));
                    match answer {
                        Some(answer) if answer.success.is_some() => {
                            let read = answer.rows.first().map_or(0, |row| value(row));
                            let step = Step { host, sent, answered: Instant::now(), value: read };
                            steps.lock().unwrap().1.push(step);
                        }
                        Some(_) => {
                            refused.fetch_add(1, Ordering::Relaxed);
                        }
                        None => session = None,
                    }
                }
            });
        }
    }
    std::thread::sleep(Duration::from_millis(1_500));
    let copy = store.copy();
    record.line("the copy is made");
    // The primary crashes in both runs, and is back with its log as a replica.
    group.crash(0);
    record.line("the primary i-g1-0 crashes");
    std::thread::sleep(CRASH_TIME);
    if group.state.lock().unwrap().primary == 0 {
        record.line("no other member was promoted");
        return 2;
    }
    group.revive(0);
    record.line("i-g1-0 is back, as a replica");
    let published = || store.row("groups", "g1").get("term").number() >= 2;
    if !wait_until(Duration::from_secs(5), published) {
        record.line("the failover was not published");
        return 2;
    }
    std::thread::sleep(Duration::from_millis(300));
    doors.iter().for_each(Door::refuse);
    record.line("the store is away");
    for host in KILLED {
        hosts[host].kill();
    }
    record.line("front-1, front-2, front-4 and front-5 are killed");
    let killed_at = Instant::now();
    std::thread::sleep(Duration::from_millis(600));
    for host in KILLED {
        hosts[host].launch();
        record.line(&format!("front-{} is started again", host + 1));
        std::thread::sleep(START_PAUSE);
    }
    reads_on.store(true, Ordering::SeqCst);
    std::thread::sleep(AWAY.saturating_sub(killed_at.elapsed()));
    if case.with_trouble {
        store.restore(copy.0, copy.1);
        record.line("the store is back from the copy, in its second era");
    } else {
        record.line("the store is back with all that it had");
    }
    doors.iter().for_each(Door::open);
    // What the operator wrote is written again; the members do so with their next heartbeats.
    store.put("op", "config", &config());
    std::thread::sleep(Duration::from_secs(6));
    is_over.store(true, Ordering::SeqCst);
    std::thread::sleep(Duration::from_millis(300));
    let steps = steps.lock().unwrap();
    let (writes, reads) = (&steps.0, &steps.1);
    let state = group.state.lock().unwrap();
    let commits = state.log.iter().flat_map(|commit| &commit.writes).count();
    record.line(&format!(
        "{} writes acknowledged, {commits} commits, {} reads, {} refused",
        writes.len(),
        reads.len(),
        refused.load(Ordering::Relaxed)
    ));
    for (word, steps) in [("WRITE", writes), ("READ", reads)] {
        for step in steps {
            record.plain(&format!(
                "{word} n {} through front-{}: sent {} ms, answered {} ms\n",
                step.value,
                step.host + 1,
                record.at(step.sent),
                record.at(step.answered)
            ));
        }
    }
    for run in &state.runs {
        let (at, member) = (record.at(run.at), group.id(run.member));
        record.plain(&format!("ran {at} ms  {member} {} {} {}\n", run.tenant, run.id, run.text));
    }
    let mut stale = 0;
    for read in reads {
        // Commits acknowledged before the first byte of the read.
        let known = writes.iter().rev().find(|write| write.answered < read.sent);
        let (newest, acknowledged) =
            known.map_or((0, read.sent), |write| (write.value, write.answered));
        if read.value < newest {
            stale += 1;
            record.plain(&format!(
                "STALE read of n through front-{}: sent {} ms, answered {} ms, got {}; write {} \
                 was acknowledged at {} ms\n",
                read.host + 1,
                record.at(read.sent),
                record.at(read.answered),
                read.value,
                newest,
                record.at(acknowledged)
            ));
        }
    }
    record.line(&format!("STALE: {stale} of {} reads", reads.len()));
    match (writes.len() > 100 && reads.len() > 100, stale > 0) {
        (false, false) => 2,
        (_, true) => 1,
        (_, false) => 0,
    }
}
