//! LOST: a commit of a service with one synchronous replica is acknowledged and then missing in the
//! member that is promoted.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::time::sleep;

use crate::client::Client;
use crate::deployment::{Deployment, KEY, PRIMARY};
use crate::record::Record;
use crate::{Folder, Verdict};

/// Time between the statements of a client.
const PAUSE: Duration = Duration::from_millis(60);
/// Length of the crash of the primary.
const CRASH: Duration = Duration::from_millis(7_000);
/// Time for which the replica receives nothing, and part of it before the crash.
const DEAF: Duration = Duration::from_millis(6_000);
const DEAF_BEFORE: Duration = Duration::from_millis(1_500);
/// Fewest acknowledged writes of a run that says anything.
const MIN_WRITES: usize = 50;

type Acknowledged = Arc<Mutex<Vec<String>>>;

async fn write_on(host: SocketAddr, name: String, acknowledged: Acknowledged, record: Record) {
    let mut count = 0;
    loop {
        let Some(mut client) = Client::open(host, PRIMARY, KEY).await else {
            sleep(PAUSE).await;
            continue;
        };
        loop {
            count += 1;
            let id = format!("{name}-{count}");
            let text = format!("WRITE {name} v{count}");
            let reply = client.query(&id, &text, Duration::from_secs(3)).await;
            record.note(&format!("client {name}: {id} {text} -> {}", reply.show()));
            if reply.is_signed() {
                acknowledged.lock().unwrap_or_else(PoisonError::into_inner).push(id);
            }
            if reply.state != Some('I') {
                break;
            }
            sleep(PAUSE).await;
        }
    }
}

pub async fn play(record: &Record, folder: &Folder, has_trouble: bool) -> Result<Verdict, String> {
    let deployment = Deployment::start(folder, 3, 1, record).await?;
    let Deployment { database, hosts, .. } = &deployment;
    let acknowledged = Acknowledged::default();
    for (index, host) in hosts.iter().enumerate() {
        let name = format!("c{index}");
        tokio::spawn(write_on(host.callers, name, acknowledged.clone(), record.clone()));
    }
    sleep(Duration::from_secs(4)).await;
    if has_trouble {
        // `release`: the members are replaced one after the other, and m1 is the first.
        database.drain(1);
        sleep(Duration::from_millis(500)).await;
        // `replica_lag`, "deaf crash": m2 receives nothing for a while, and the primary crashes
        // meanwhile.
        database.set_receiving(2, false);
        sleep(DEAF_BEFORE).await;
        database.crash(0);
        sleep(DEAF - DEAF_BEFORE).await;
        database.set_receiving(2, true);
        sleep(DEAF_BEFORE + CRASH - DEAF).await;
        database.come_back(0).await.map_err(|error| error.to_string())?;
        sleep(Duration::from_secs(6)).await;
    } else {
        sleep(Duration::from_secs(15)).await;
    }
    for line in hosts.iter().flat_map(|host| host.log_lines(&["takeover"])) {
        record.note(&format!("host: {line}"));
    }
    let known = acknowledged.lock().unwrap_or_else(PoisonError::into_inner).clone();
    record.note(&format!("{} writes were acknowledged to clients", known.len()));
    if known.len() < MIN_WRITES {
        return Err("hardly any write was acknowledged".to_owned());
    }
    let service = database.lock();
    let mut is_broken = false;
    for (member, position, ids) in &service.lost {
        let lost: Vec<&String> = ids.iter().filter(|id| known.contains(id)).collect();
        record.note(&format!(
            "{member} was promoted with its log up to {position}; it lacks {} commits that were \
             acknowledged to their clients: {lost:?}",
            lost.len()
        ));
        is_broken |= !lost.is_empty();
    }
    Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
}
