//! Hosts that start while the store comes back from a copy write to a primary that was replaced.

use std::collections::HashSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Case;
use crate::drill::{KEY, KILLED, START_PAUSE, ZONES, config};
use crate::host::{Client, Host, Machine, wait_until};
use crate::member::Group;
use crate::store::{Door, Store};

/// How long the primary is dark, and how long it is cut off from its replicas after that.
const DARK: Duration = Duration::from_millis(4_500);
/// Three heartbeat intervals, after which its registration is removed.
const EXPIRY: Duration = Duration::from_millis(3_600);
const REPLICAS_CUT: Duration = Duration::from_millis(3_700);
const AWAY: Duration = Duration::from_millis(2_500);

struct Write {
    host: usize,
    sent: Instant,
    answered: Instant,
    data: String,
    id: String,
    outcome: String,
}

pub fn run(case: &Case) -> i32 {
    let record = &case.record;
    let store = Store::start();
    let group = Group::start(&store, "g1", &["z1", "z2", "z3"], Duration::from_millis(4));
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
    let writes: Arc<Mutex<Vec<Write>>> = Arc::default();
    for host in 0..hosts.len() {
        for client in 0..2 {
            let (address, is_over) = (hosts[host].callers, is_over.clone());
            let writes = writes.clone();
            std::thread::spawn(move || {
                let (mut session, mut number): (Option<Client>, u64) = (None, 0);
                while !is_over.load(Ordering::SeqCst) {
                    std::thread::sleep(Duration::from_millis(10));
                    if session.is_none() {
                        session = Client::open(address, "orders", KEY);
                    }
                    let Some(open) = session.as_mut() else { continue };
                    number += 1;
                    let data = format!("w{host}.{client}.{number}");
                    let sent = Instant::now();
                    let answer = open.query(&format!("WRITE n{host} {data}"));
                    let (id, outcome) = match &answer {
                        Some(answer) => match &answer.failure {
                            Some((code, _)) => (answer.id.clone(), code.clone()),
                            None => (answer.id.clone(), "COMPLETE".to_owned()),
                        },
                        None => (String::new(), "closed".to_owned()),
                    };
                    let answered = Instant::now();
                    let write = Write { host, sent, answered, data, id, outcome };
                    writes.lock().unwrap().push(write);
                    if answer.is_none() {
                        session = None;
                    }
                }
            });
        }
    }
    std::thread::sleep(Duration::from_millis(1_500));
    let copy = store.copy();
    record.line("the copy is made");
    // The primary goes dark in both runs.
    group.isolate(0);
    group.darken(Some(0));
    record.line("the primary i-g1-0 goes dark");
    std::thread::sleep(EXPIRY);
    store.remove("servers", &group.id(0));
    std::thread::sleep(DARK - EXPIRY);
    if group.state.lock().unwrap().primary == 0 {
        record.line("no other member was promoted");
        return 2;
    }
    let published = || store.row("groups", "g1").get("term").number() >= 2;
    if !wait_until(Duration::from_secs(2), published) {
        record.line("the failover was not published");
        return 2;
    }
    group.darken(None);
    let cut_at = Instant::now();
    record.line("i-g1-0 is back, cut off from its replicas; another member leads");
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
    std::thread::sleep(AWAY.saturating_sub(killed_at.elapsed()));
    match case.with_trouble {
        true => {
            store.restore(copy.0, copy.1);
            record.line("the store is back from the copy, in its second era");
        }
        false => record.line("the store is back with all that it had"),
    }
    doors.iter().for_each(Door::open);
    // What the operator wrote is written again; the members do so with their next heartbeats.
    store.put("op", "config", &config());
    std::thread::sleep(REPLICAS_CUT.saturating_sub(cut_at.elapsed()));
    group.rejoin();
    record.line("i-g1-0 reaches the new primary, and goes on for a second");
    std::thread::sleep(Duration::from_secs(4));
    is_over.store(true, Ordering::SeqCst);
    std::thread::sleep(Duration::from_millis(1_200));
    judge(case, &group, &writes.lock().unwrap())
}

fn judge(case: &Case, group: &Group, writes: &[Write]) -> i32 {
    let record = &case.record;
    let state = group.state.lock().unwrap();
    for run in &state.runs {
        let (at, member) = (record.at(run.at), group.id(run.member));
        record.plain(&format!("ran {at} ms  {member} {} {} {}\n", run.tenant, run.id, run.text));
    }
    let kept = state.log.iter().flat_map(|commit| &commit.writes);
    let kept: HashSet<&str> = kept.map(|(_, data)| data.as_str()).collect();
    let (mut acknowledged, mut lost) = (0, 0);
    for write in writes {
        let line = format!(
            "write {} {} through front-{}: sent {} ms, answered {} ms: {}",
            write.id,
            write.data,
            write.host + 1,
            record.at(write.sent),
            record.at(write.answered),
            write.outcome
        );
        record.plain(&format!("{line}\n"));
        let is_acknowledged = write.outcome == "COMPLETE";
        acknowledged += usize::from(is_acknowledged);
        if is_acknowledged && !kept.contains(write.data.as_str()) {
            lost += 1;
            let late = state.late.iter().find(|commit| commit.id == write.id);
            let at = late.map_or(0, |commit| record.at(commit.at));
            record.plain(&format!("ONE: committed at i-g1-0 at {at} ms, then lost: {line}\n"));
        }
    }
    record.line(&format!(
        "ONE: {lost} of {acknowledged} acknowledged writes were committed at the replaced primary"
    ));
    match (acknowledged > 100, lost > 0) {
        (false, false) => 2,
        (_, true) => 1,
        (_, false) => 0,
    }
}
