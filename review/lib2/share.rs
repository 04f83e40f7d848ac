//! A host whose lease has ended spends the share of a tenant's rate that others have taken over.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Case;
use crate::host::{Client, Host, Machine, wait_until};
use crate::member::Group;
use crate::store::{Door, Store};

const TENANTS: usize = 16;
/// Times that the deployment is started, at most, and the share that one machine has to hold.
const STARTS: usize = 10;
const MIN_HELD: u64 = 300_000;
const RATE_PER_S: u64 = 400;
const BURST: u64 = 20;
const WINDOW: Duration = Duration::from_secs(5);
/// `quotaOverage` and `quotaSlack` of the small deployments.
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;
/// Machines of the zone, and the one that is refused longer.
const IN_ZONE: usize = 3;
const CUT: usize = 1;
/// How long the store refuses the machines of one zone.
const OUTAGE: Duration = Duration::from_millis(16_000);
/// How long the store goes on to refuse one machine.
const REFUSAL: Duration = Duration::from_millis(14_000);

struct Load {
    /// Pause between the requests of one session, in milliseconds; 0 means none are sent.
    pause_ms: AtomicU64,
    is_over: AtomicBool,
    served: AtomicU64,
    /// Lines of what was sent and answered.
    sent: Mutex<Vec<(Instant, String, String)>>,
}

/// Sessions that stay open at a host and send reads, or writes.
fn sessions(host: &Host, count: usize, database: &'static str, key: &str, load: &Arc<Load>) {
    for number in 0..count {
        let name = host.name.clone();
        let (address, load, key) = (host.callers, load.clone(), key.to_owned());
        std::thread::spawn(move || {
            let mut session: Option<Client> = None;
            let mut sent = 0u64;
            while !load.is_over.load(Ordering::SeqCst) {
                let pause = load.pause_ms.load(Ordering::SeqCst);
                std::thread::sleep(Duration::from_millis(pause.max(20)));
                if pause == 0 {
                    continue;
                }
                if session.is_none() {
                    session = Client::open(address, database, &key);
                }
                let Some(client) = session.as_mut() else { continue };
                sent += 1;
                let text = match database {
                    "orders" => format!("WRITE w{number} {sent}"),
                    _ => format!("READ w{}", sent % 4),
                };
                let sent_at = Instant::now();
                let answer = client.query(&text);
                let outcome = match &answer {
                    Some(answer) => match &answer.failure {
                        Some((code, _)) => format!("{} ERROR {code}", answer.id),
                        None => format!("{} COMPLETE", answer.id),
                    },
                    None => "the session ended".to_owned(),
                };
                let line = format!("{name} {database} {text}: {outcome}");
                let id = answer.as_ref().map(|answer| answer.id.clone()).unwrap_or_default();
                load.sent.lock().unwrap().push((sent_at, id, line));
                match answer {
                    Some(answer) if answer.success.is_some() => {
                        load.served.fetch_add(1, Ordering::SeqCst);
                    }
                    Some(_) => (),
                    None => session = None,
                }
            }
        });
    }
}

/// A small deployment.
struct Fleet {
    store: Arc<Store>,
    group: Arc<Group>,
    doors: Vec<Door>,
    hosts: Vec<Host>,
}

/// Millionths of a tenant's rate that one machine holds.
fn held(store: &Store, number: usize) -> u64 {
    let row = store.row("shares", &format!("t{number}"));
    row.get("shares").get("front-2").get("units").number()
}

fn fleet(case: &Case) -> Option<Fleet> {
    let store = Store::start();
    let group = Group::start(&store, "g1", &["z1", "z2", "z3"], Duration::from_millis(2));
    let promoted = group.clone();
    *store.on_promotion.lock().unwrap() = Some(Box::new(move |_, id| promoted.promote(id)));
    let tenants = (0..TENANTS).map(|number| {
        format!(
            "{{\"name\":\"t{number}\",\"apiKeys\":[\"k3y-t{number}\"],\
             \"ratePerS\":{RATE_PER_S},\"burstSize\":{BURST}}}"
        )
    });
    let tenants: Vec<String> = tenants.collect();
    store.put(
        "op",
        "config",
        &format!(
            "{{\"version\":1,\"routes\":[\
             {{\"host\":\"orders\",\"service\":\"g1\",\"kind\":\"primary\",\"timeoutMs\":1000,\
               \"targetLatencyMs\":200,\"priority\":1}},\
             {{\"host\":\"stock\",\"service\":\"g1\",\"kind\":\"bounded_staleness\",\
               \"maxStalenessMs\":1500,\"timeoutMs\":2000,\"targetLatencyMs\":600,\"priority\":1}}],\
             \"services\":[{{\"name\":\"g1\",\"connectionLimit\":120}}],\
             \"tenants\":[{}],\
             \"limits\":{{\"transactionIdleMs\":5000,\"headerTimeoutMs\":2000}}}}",
            tenants.join(",")
        ),
    );
    // The first host has the fastest link, so it is the relay of its zone.
    let machines = [
        ("front-1", "z1", 1_000),
        ("front-2", "z1", 100),
        ("front-3", "z1", 100),
        ("front-4", "z2", 100),
        ("front-5", "z2", 100),
        ("front-6", "z2", 100),
        ("front-7", "z3", 100),
        ("front-8", "z3", 100),
        ("front-9", "z3", 100),
    ];
    let doors: Vec<_> = machines.iter().map(|_| store.door()).collect();
    let hosts: Vec<Host> = machines
        .iter()
        .zip(&doors)
        .map(|((name, zone, link_mbps), door)| {
            let machine = Machine {
                name,
                zone,
                zones: "z1,z2,z3",
                link_mbps: *link_mbps,
                store: door.address,
                further: "",
            };
            Host::start(&case.program, &case.directory, &machine)
        })
        .collect();
    let are_ready = wait_until(Duration::from_secs(20), || hosts.iter().all(Host::is_ready));
    are_ready.then_some(Fleet { store, group, doors, hosts })
}

pub fn run(case: &Case) -> i32 {
    let record = &case.record;
    // Hosts that start together do not always agree at once on who holds the rates. The case needs
    // a machine that lends one to others.
    let mut found = None;
    for _ in 0..STARTS {
        let Some(fleet) = fleet(case) else { continue };
        record.line("all hosts are ready");
        let store = fleet.store.clone();
        let is_home = || (0..TENANTS).any(|number| held(&store, number) > MIN_HELD);
        if wait_until(Duration::from_secs(3), is_home) {
            found = Some(fleet);
            break;
        }
    }
    let Some(Fleet { store, group, doors, hosts }) = found else { return 2 };
    let held = |number: usize| held(&store, number);
    // The tenant of whose rate this machine holds most.
    let number = (0..TENANTS).max_by_key(|number| held(*number)).unwrap_or(0);
    let (tenant, key) = (format!("t{number}"), format!("k3y-t{number}"));
    record.line(&format!("front-2 holds {} millionths of the rate of {tenant}", held(number)));
    let load = || {
        Arc::new(Load {
            pause_ms: 0.into(),
            is_over: false.into(),
            served: 0.into(),
            sent: Mutex::default(),
        })
    };
    let (own, others, writes) = (load(), load(), load());
    sessions(&hosts[CUT], 20, "stock", &key, &own);
    for (_, host) in hosts.iter().enumerate().filter(|(index, _)| *index != CUT) {
        sessions(host, 5, "stock", &key, &others);
    }
    // Orders of other tenants, far below their rates, through the other hosts of the zone.
    for (host, other) in [(0, 1), (2, 2)] {
        let other_key = format!("k3y-t{}", (number + other) % TENANTS);
        sessions(&hosts[host], 2, "orders", &other_key, &writes);
    }
    writes.pause_ms.store(150, Ordering::SeqCst);
    own.pause_ms.store(50, Ordering::SeqCst);
    // Shares follow the demand within some seconds.
    std::thread::sleep(Duration::from_secs(8));
    if case.with_trouble {
        doors[..IN_ZONE].iter().for_each(Door::refuse);
        record.line("the store refuses front-1, front-2 and front-3, which are the zone z1");
    }
    std::thread::sleep(OUTAGE);
    if case.with_trouble {
        doors[..IN_ZONE]
            .iter()
            .enumerate()
            .filter(|(index, _)| *index != CUT)
            .for_each(|it| it.1.open());
        record.line("the store serves front-1 and front-3 again, and goes on to refuse front-2");
    }
    // Clients that the balancer sends elsewhere, as front-2 is not ready.
    others.pause_ms.store(60, Ordering::SeqCst);
    let served = own.served.load(Ordering::SeqCst);
    std::thread::sleep(REFUSAL);
    let served = own.served.load(Ordering::SeqCst) - served;
    record.line(&format!("open sessions at front-2 were served {served} reads meanwhile"));
    doors[CUT].open();
    record.line("the store serves all hosts");
    std::thread::sleep(Duration::from_secs(3));
    record.line(&format!("front-2 holds {} millionths now, as its row says", held(number)));
    for load in [&own, &others, &writes] {
        load.is_over.store(true, Ordering::SeqCst);
    }
    std::thread::sleep(Duration::from_millis(300));
    let mut sent = HashMap::new();
    for load in [&own, &others, &writes] {
        for (at, id, line) in load.sent.lock().unwrap().iter() {
            record.plain(&format!("sent {:>6} ms  {line}\n", record.at(*at)));
            sent.insert(id.clone(), *at);
        }
    }
    judge(case, &group, &tenant, &sent)
}

/// Counts the requests that members ran in any span of the window's length.
fn judge(case: &Case, group: &Group, tenant: &str, sent: &HashMap<String, Instant>) -> i32 {
    let record = &case.record;
    let state = group.state.lock().unwrap();
    for run in &state.runs {
        record.plain(&format!(
            "ran {:>6} ms  {} {} {} {}\n",
            record.at(run.at),
            group.id(run.member),
            run.tenant,
            run.id,
            run.text
        ));
    }
    let limit = (RATE_PER_S as f64 * WINDOW.as_secs_f64() + BURST as f64) * (1.0 + OVERAGE) + SLACK;
    // Each request counts once, from when it was sent until it first ran.
    let mut counted = HashSet::new();
    let own = state.runs.iter().filter(|run| run.tenant == tenant);
    let own = own.filter(|run| counted.insert(run.id.clone()));
    let mut times: Vec<(Instant, Instant)> =
        own.filter_map(|run| Some((run.at, *sent.get(&run.id)?))).collect();
    times.sort();
    let (mut most, mut from) = (0, record.started);
    for (_, start) in &times {
        let first = times.partition_point(|(ran, _)| ran < start);
        let end = times.partition_point(|(ran, _)| *ran <= *start + WINDOW);
        let count = times[first..end].iter().filter(|(_, sent)| sent >= start).count();
        if count > most {
            (most, from) = (count, *start);
        }
    }
    let mut seconds = std::collections::BTreeMap::<u64, u64>::new();
    for (ran, _) in &times {
        *seconds.entry((*ran - record.started).as_secs()).or_default() += 1;
    }
    record.line(&format!("runs in each second: {seconds:?}"));
    let (is_served, is_broken) = (times.len() > 1_000, most as f64 > limit);
    record.line(&format!(
        "QUOTA: {most} requests of one tenant were sent and ran in the 5 s from {} ms; {limit:.0} are allowed",
        record.at(from)
    ));
    match (is_served, is_broken) {
        (false, _) => 2,
        (true, true) => 1,
        (true, false) => 0,
    }
}
