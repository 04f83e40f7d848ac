//! Failure detection of primaries: probes, and reports of suspicions to other hosts and to the
//! store.

use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use tokio::time::sleep;

use super::context::{HostContext, boot_now};
use super::failover;
use super::follow::HOST_TABLE;
use super::forward;
use super::journal;
use super::peers::PeerMessage;
use super::quota::refresh_table;

/// Interval between reads of the host table while this host suspects a primary and is among the
/// first hosts to replace it.
const SUSPICION_INTERVAL: Duration = Duration::from_millis(300);
/// The same interval for the other hosts, in case none of the first ones is available.
const LATER_RANK_SUSPICION_INTERVAL: Duration = Duration::from_millis(2_000);
/// Number of ranks in the order of a group that count as first. With three failure domains, when
/// one of them is cut off, it contains all of these hosts in one of 81 cases.
const FIRST_HOSTS: u32 = 4;
/// How long a host probes a primary that another host suspects; a suspicion takes 0.6 s to form.
const PEER_SUSPICION_TERM: Duration = Duration::from_millis(2_500);
/// Interval between messages about the same suspicion. Shorter than the time for which the
/// receivers probe, so that they probe without interruption.
const NOTIFY_INTERVAL: Duration = Duration::from_millis(1_000);
/// Pause after a probe that was answered by an endpoint whose connections are pooled.
const POOLED_PROBE_PAUSE: Duration = Duration::from_millis(500);
/// Interval between checks of this host's suspicions.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Requests the status of a suspected primary, unless a request is in flight. A reply ends the
/// suspicion; no statements are sent to the primary meanwhile.
fn probe(host: &Rc<HostContext>, id: &str) {
    let key = host.state.borrow().endpoints.find(id);
    if let Some(key) = key.filter(|key| host.probes.borrow_mut().insert(*key)) {
        let host = host.clone();
        tokio::task::spawn_local(async move {
            let is_answering = failover::is_answering(&host, key).await;
            // Each probe opens a connection where the endpoint's connections are pooled.
            if is_answering && forward::is_in_effect(&host, key) {
                sleep(POOLED_PROBE_PAUSE).await;
            }
            host.probes.borrow_mut().remove(&key);
        });
    }
}

/// Records that another host gets no reply from a primary.
pub(super) fn record_report(host: &HostContext, endpoint: String) {
    host.peer_suspicions.borrow_mut().insert(endpoint, boot_now().after(PEER_SUSPICION_TERM));
}

/// Reports to the hosts that do not suspect a primary yet that this host gets no reply from it, so
/// that hosts without traffic to the primary probe it as well.
fn notify_peers(host: &HostContext, endpoint: &str) {
    let state = host.state.borrow();
    let others = state.hosts.iter().map(|entry| &entry.record).filter(|record| {
        record.host != state.host && !record.suspects.iter().any(|id| id == endpoint)
    });
    for record in others {
        // Lost messages are repeated while the suspicion lasts.
        host.peers
            .send(record.peers, PeerMessage::PrimarySuspected { endpoint: endpoint.to_owned() });
    }
}

/// Reports changes of this host's suspicions at once, and reads those of other hosts while there
/// are any. Runs until the process ends.
pub(super) async fn watch_suspicions(host: Rc<HostContext>) {
    let mut reported: Vec<String> = Vec::new();
    let (mut host_read_at, mut notify_at) = (boot_now(), boot_now());
    loop {
        sleep(CHECK_INTERVAL).await;
        let now = boot_now();
        let suspects = host.state.borrow().suspects(now);
        host.peer_suspicions.borrow_mut().retain(|_, until| now < *until);
        let peer_suspects: Vec<String> = host.peer_suspicions.borrow().keys().cloned().collect();
        suspects.iter().chain(&peer_suspects).for_each(|id| probe(&host, id));
        // A suspicion that another host has reported needs no further message.
        let is_unreported = |id: &&String| !reported.contains(*id) && !peer_suspects.contains(*id);
        suspects.iter().filter(is_unreported).for_each(|id| notify_peers(&host, id));
        if suspects != reported {
            journal::event("suspicion", "changed", json!({ "primaries": suspects }));
            reported = suspects;
            host.renew_now.notify_one();
        }
        if !reported.is_empty() && now >= host_read_at {
            let is_first = failover::lowest_rank(&host, &reported) < FIRST_HOSTS;
            let interval =
                if is_first { SUSPICION_INTERVAL } else { LATER_RANK_SUSPICION_INTERVAL };
            host_read_at = now.after(interval);
            refresh_table(&host, HOST_TABLE).await;
            // Some hosts may have started since, or have missed the message.
            if now >= notify_at {
                notify_at = now.after(NOTIFY_INTERVAL);
                reported.iter().for_each(|id| notify_peers(&host, id));
            }
        }
    }
}
