//! Doubts about primaries: probes, reports to other hosts and to the store.

use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use tokio::time::sleep;

use super::context::{HostContext, boot_now};
use super::follow::HOST_TABLE;
use super::journal;
use super::peers::PeerMessage;
use super::sharing::refresh;
use super::takeover;

/// Time between two reads of all hosts while this host suspects a primary and is among the first to
/// replace it.
const SUSPICION_INTERVAL: Duration = Duration::from_millis(300);
/// The same for the other hosts, in case none of the first ones is there.
const RESERVE_INTERVAL: Duration = Duration::from_millis(2_000);
/// Hosts in the order of a group that are the first. With three failure domains, one cut in 81 has
/// all of them on its other side.
const FIRST_HOSTS: u32 = 4;
/// Time for which a host looks at a primary that another one suspects; a suspicion needs 0.6 s.
const DOUBT_SPAN: Duration = Duration::from_millis(2_500);
/// Time between two messages about the same suspicion; a host looks for longer than that.
const SPREAD_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time between two looks at the own suspicions.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);

/// Asks a suspected primary for its status, unless a question is under way. A reply ends the
/// suspicion; statements are not sent to it meanwhile.
fn probe(host: &Rc<HostContext>, id: &str) {
    let key = host.book.borrow().endpoints.find(id);
    if let Some(key) = key.filter(|key| host.probes.borrow_mut().insert(*key)) {
        let host = host.clone();
        tokio::task::spawn_local(async move {
            takeover::endpoint_status(&host, key).await;
            host.probes.borrow_mut().remove(&key);
        });
    }
}

/// Notes that another host gets no reply from a primary.
pub(super) fn note(host: &HostContext, endpoint: String) {
    host.doubts.borrow_mut().insert(endpoint, boot_now().after(DOUBT_SPAN));
}

/// Tells the hosts that do not suspect a primary yet that this one gets no reply from it, so that
/// those without traffic to it look as well.
fn spread(host: &HostContext, endpoint: &str) {
    let book = host.book.borrow();
    let others = book.hosts.iter().map(|entry| &entry.record).filter(|record| {
        record.host != book.host && !record.suspects.iter().any(|id| id == endpoint)
    });
    for record in others {
        // A message that is lost is repeated while the suspicion lasts.
        host.peers.send(record.peers, PeerMessage::Suspect { endpoint: endpoint.to_owned() });
    }
}

/// Reports changes of the own suspicions at once, and reads those of others while there are any.
pub(super) async fn watch_suspicions(host: Rc<HostContext>) {
    let mut reported: Vec<String> = Vec::new();
    let (mut list_at, mut spread_at) = (boot_now(), boot_now());
    loop {
        sleep(WATCH_INTERVAL).await;
        let now = boot_now();
        let suspects = host.book.borrow().suspects(now);
        host.doubts.borrow_mut().retain(|_, until| now < *until);
        let doubted: Vec<String> = host.doubts.borrow().keys().cloned().collect();
        suspects.iter().chain(&doubted).for_each(|id| probe(&host, id));
        // What other hosts have spread already needs no further message.
        let is_news = |id: &&String| !reported.contains(*id) && !doubted.contains(*id);
        suspects.iter().filter(is_news).for_each(|id| spread(&host, id));
        if suspects != reported {
            journal::event("suspicion", "changed", json!({ "primaries": suspects }));
            reported = suspects;
            host.renew.notify_one();
        }
        if !reported.is_empty() && now >= list_at {
            let is_first = takeover::least_rank(&host, &reported) < FIRST_HOSTS;
            let interval = if is_first { SUSPICION_INTERVAL } else { RESERVE_INTERVAL };
            list_at = now.after(interval);
            refresh(&host, HOST_TABLE).await;
            // Hosts may have started, or not have got the message.
            if now >= spread_at {
                spread_at = now.after(SPREAD_INTERVAL);
                reported.iter().for_each(|id| spread(&host, id));
            }
        }
    }
}
