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

/// Time between two reads of all hosts while this host suspects a primary.
const SUSPICION_INTERVAL: Duration = Duration::from_millis(300);
/// Time for which a host looks at a primary that another one suspects; a suspicion needs 0.6 s.
const DOUBT_SPAN: Duration = Duration::from_millis(2_500);
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

/// Tells all other hosts that this one gets no reply from a primary, so that those without traffic
/// to it look as well.
fn spread(host: &HostContext, endpoint: &str) {
    let book = host.book.borrow();
    for entry in book.hosts.iter().filter(|entry| entry.record.host != book.host) {
        // A host that is not told notices by its own traffic, or not at all.
        host.peers.send(entry.record.peers, PeerMessage::Suspect { endpoint: endpoint.to_owned() });
    }
}

/// Reports changes of the own suspicions at once, and reads those of others while there are any.
pub(super) async fn watch_suspicions(host: Rc<HostContext>) {
    let mut reported: Vec<String> = Vec::new();
    let mut list_at = boot_now();
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
            list_at = now.after(SUSPICION_INTERVAL);
            refresh(&host, HOST_TABLE).await;
        }
    }
}
