//! Fault: processes end by themselves after the platform has changed a figure of the settings to a
//! fraction.

use std::time::{Duration, Instant};

use tokio::time::sleep;

use crate::client::Client;
use crate::deployment::{Deployment, KEY, PRIMARY};
use crate::host::Host;
use crate::record::Record;
use crate::{Folder, Verdict};

/// Machines, and those of them whose settings change.
const HOSTS: usize = 4;
const CHANGED_HOSTS: usize = 2;
/// `gracePeriodS` before the change and after it, as the template of the deploy file renders it.
const FORMER: &str = "shutdown_s = 6\n";
const CHANGED: &str = "shutdown_s = 6.5\n";
const GRACE: Duration = Duration::from_millis(6_500);
/// Time after which the platform starts a process again that has ended.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Starts of a process after its stop, and the time for which it is watched after each.
const STARTS: usize = 3;
const WATCH: Duration = Duration::from_secs(4);
/// Pause before the next machine is stopped.
const ROLL_PAUSE: Duration = Duration::from_secs(2);
/// Machines that count as a fault when their processes end by themselves three times.
const FAULTY_MACHINES: usize = 2;

/// Stops a process and starts it again. Returns how often it then ended by itself.
async fn roll(host: &mut Host, index: usize, record: &Record) -> Result<usize, String> {
    let text = |error: std::io::Error| error.to_string();
    record.note(&format!("SIGTERM to host {index}"));
    host.signal("TERM").map_err(text)?;
    let killed_at = Instant::now() + GRACE;
    while !host.has_ended() && Instant::now() < killed_at {
        sleep(Duration::from_millis(20)).await;
    }
    host.kill();
    let mut ends = 0;
    for _ in 0..STARTS {
        sleep(RESTART_DELAY).await;
        host.restart().map_err(text)?;
        record.note(&format!("host {index} is started"));
        let watched_until = Instant::now() + WATCH;
        while !host.has_ended() && Instant::now() < watched_until {
            sleep(Duration::from_millis(20)).await;
        }
        if !host.has_ended() {
            record.note(&format!("host {index} runs, ready: {}", host.is_ready().await));
            break;
        }
        ends += 1;
        record.note(&format!("host {index} has ended by itself: {:?}", host.last_line()));
    }
    Ok(ends)
}

pub async fn play(record: &Record, folder: &Folder, has_trouble: bool) -> Result<Verdict, String> {
    let mut deployment = Deployment::start(folder, HOSTS, 0, record).await?;
    if has_trouble {
        for host in &deployment.hosts[..CHANGED_HOSTS] {
            host.change_settings(FORMER, CHANGED).map_err(|error| error.to_string())?;
            host.signal("HUP").map_err(|error| error.to_string())?;
        }
        record.note("the settings of hosts 0 and 1 change: gracePeriodS is 6.5; SIGHUP to both");
    }
    sleep(Duration::from_secs(2)).await;
    let mut faulty = 0;
    for (index, host) in deployment.hosts.iter_mut().enumerate() {
        let ends = roll(host, index, record).await?;
        faulty += usize::from(ends >= STARTS);
        sleep(ROLL_PAUSE).await;
    }
    let mut served = 0;
    for (index, host) in deployment.hosts.iter().enumerate() {
        let client = Client::open(host.callers, PRIMARY, KEY).await;
        if let Some(mut client) = client {
            let id = format!("w-{index}");
            let reply = client.query(&id, "WRITE order v1", Duration::from_secs(3)).await;
            record.note(&format!("client: {id} at host {index} -> {}", reply.show()));
            served += usize::from(reply.is_signed());
        }
    }
    record.note(&format!(
        "{faulty} of {} machines whose process ended by itself {STARTS} times; {served} hosts serve",
        deployment.hosts.len()
    ));
    Ok(if faulty >= FAULTY_MACHINES { Verdict::Broken } else { Verdict::Held })
}
