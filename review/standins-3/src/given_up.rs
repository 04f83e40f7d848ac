//! STALE: commits that a promotion gave up are missing in reads, and come back with the next
//! promotion.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::time::sleep;

use crate::client::Client;
use crate::deployment::{Deployment, KEY, PRIMARY};
use crate::record::Record;
use crate::{Folder, Verdict};

/// Time between the statements of a client.
const PAUSE: Duration = Duration::from_millis(60);
/// Length of a crash.
const CRASH: Duration = Duration::from_millis(7_000);
/// Time for which a replica receives nothing, and part of it before the primary crashes.
const DEAF: Duration = Duration::from_millis(6_000);
const DEAF_BEFORE: Duration = Duration::from_millis(1_500);
/// Time between the loss of a member and the rest.
const LOST_BEFORE: Duration = Duration::from_secs(3);
/// Time after the last member came back.
const REST: Duration = Duration::from_secs(4);
/// Fewest acknowledged writes and answered reads of a run that says anything.
const MIN_ANSWERS: usize = 50;

/// What the clients saw.
#[derive(Default)]
struct Seen {
    /// Acknowledged writes.
    writes: Vec<(String, Instant)>,
    /// Reads that succeeded, with the time at which they were sent.
    reads: Vec<(String, Instant)>,
}

type Shared = Arc<Mutex<Seen>>;

/// Writes, and reads on the same kind of route, in turn.
async fn ask_on(host: SocketAddr, name: String, seen: Shared, record: Record) {
    let mut count = 0;
    loop {
        let Some(mut client) = Client::open(host, PRIMARY, KEY).await else {
            sleep(PAUSE).await;
            continue;
        };
        loop {
            count += 1;
            let is_read = count % 2 == 0;
            let (kind, text) = match is_read {
                true => ("r", format!("READ {name}")),
                false => ("w", format!("WRITE {name} v{count}")),
            };
            let id = format!("{kind}-{name}-{count}");
            let sent = Instant::now();
            let reply = client.query(&id, &text, Duration::from_secs(3)).await;
            record.note(&format!("client {name}: {id} {text} -> {}", reply.show()));
            if reply.is_signed() {
                let mut seen = seen.lock().unwrap_or_else(PoisonError::into_inner);
                match is_read {
                    true => seen.reads.push((id, sent)),
                    false => seen.writes.push((id, Instant::now())),
                }
            }
            if reply.state != Some('I') {
                break;
            }
            sleep(PAUSE).await;
        }
    }
}

/// Two times, a replica receives nothing and the primary crashes, in a service that lost a member.
async fn disrupt(deployment: &Deployment) -> Result<(), String> {
    let database = &deployment.database;
    let text = |error: std::io::Error| error.to_string();
    // `srv_crash`, "gone": m2 is lost for good.
    database.crash(2);
    sleep(LOST_BEFORE).await;
    // `replica_lag`, "deaf crash": m1 receives nothing, and the primary m0 crashes meanwhile.
    database.set_receiving(1, false);
    sleep(DEAF_BEFORE).await;
    let first = Instant::now();
    database.crash(0);
    sleep(DEAF - DEAF_BEFORE).await;
    database.set_receiving(1, true);
    sleep(CRASH.saturating_sub(first.elapsed())).await;
    if database.lock().promotions.is_empty() {
        return Err("no member was promoted before the first one was back".to_owned());
    }
    // Again: m0, now a replica, receives nothing, and the primary m1 crashes meanwhile.
    database.set_receiving(0, false);
    database.come_back(0).await.map_err(text)?;
    sleep(DEAF_BEFORE).await;
    let second = Instant::now();
    database.crash(1);
    sleep(DEAF - DEAF_BEFORE).await;
    database.set_receiving(0, true);
    sleep(CRASH.saturating_sub(second.elapsed())).await;
    database.come_back(1).await.map_err(text)?;
    sleep(REST).await;
    Ok(())
}

pub async fn play(record: &Record, folder: &Folder, has_trouble: bool) -> Result<Verdict, String> {
    let deployment = Deployment::start(folder, 3, 0, record).await?;
    let seen = Shared::default();
    for (index, host) in deployment.hosts.iter().enumerate() {
        let name = format!("c{index}");
        tokio::spawn(ask_on(host.callers, name, seen.clone(), record.clone()));
    }
    sleep(Duration::from_secs(4)).await;
    match has_trouble {
        true => disrupt(&deployment).await?,
        false => sleep(Duration::from_secs(20)).await,
    }
    for line in deployment.hosts.iter().flat_map(|host| host.log_lines(&["takeover"])) {
        record.note(&format!("host: {line}"));
    }
    let seen = seen.lock().unwrap_or_else(PoisonError::into_inner);
    let service = deployment.database.lock();
    let newest = service.members.iter().map(|member| member.term).max().unwrap_or(0);
    let leader = service.members.iter().find(|member| member.leads && member.term == newest);
    let leader = leader.filter(|member| member.is_alive()).ok_or("no member leads at the end")?;
    record.note(&format!(
        "{} writes and {} reads succeeded; {} leads at the end with its log up to {}",
        seen.writes.len(),
        seen.reads.len(),
        leader.id,
        leader.position()
    ));
    if seen.writes.len().min(seen.reads.len()) < MIN_ANSWERS {
        return Err("hardly anything was answered".to_owned());
    }
    // A commit that is not in the log at the end was rolled back for good, and does not count.
    let kept: HashSet<&str> = leader.log.iter().map(|commit| commit.id.as_str()).collect();
    let mut stale = 0;
    for (id, sent) in &seen.reads {
        let Some((_, member, log)) = service.reads.iter().find(|(read, ..)| read == id) else {
            continue;
        };
        let before = seen.writes.iter().filter(|(_, acknowledged)| acknowledged < sent);
        let lacking = before
            .map(|(write, _)| write)
            .filter(|write| kept.contains(write.as_str()) && !log.contains(*write));
        let lacking: Vec<&String> = lacking.collect();
        if !lacking.is_empty() {
            stale += 1;
            record.note(&format!(
                "{id} on a primary route ran on {member}, whose log lacked {} commits that were \
                 acknowledged before and are in the log at the end: {lacking:?}",
                lacking.len()
            ));
        }
    }
    record.note(&format!("{stale} stale reads"));
    Ok(if stale > 0 { Verdict::Broken } else { Verdict::Held })
}
