//! Doubts about primaries: probes, reports to other hosts and to the store.

use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use tokio::time::sleep;

use super::context::{HostContext, boot_now};
use super::follow::HOST_TABLE;
use super::journal;
use super::lending;
use super::sharing::refresh;
use super::takeover;

/// Time between two reads of all hosts while this host suspects a primary.
const SUSPICION_INTERVAL: Duration = Duration::from_millis(300);
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
        suspects.iter().filter(is_news).for_each(|id| lending::spread_doubt(&host, id));
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
