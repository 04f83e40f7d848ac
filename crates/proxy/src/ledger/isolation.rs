//! Detects that this host or its failure domain is cut off from the others, so that clients can move
//! to other hosts.

use std::rc::Rc;

use serde_json::json;
use tanagerdeal_core::ledger::isolation::PING_INTERVAL;
use tokio::time::sleep;

use super::context::{HostContext, boot_now};
use super::journal;
use super::peers::PeerMessage;
use super::quota::update_readiness;

/// Pings hosts of other failure domains while a primary there does not reply, until the process
/// ends.
pub(super) async fn watch(host: Rc<HostContext>) {
    loop {
        sleep(PING_INTERVAL).await;
        let now = boot_now();
        let may_be_cut_off = host.state.borrow().may_be_cut_off(now);
        if host.isolation.borrow_mut().tick(may_be_cut_off, now) {
            let state = host.state.borrow();
            for record in state.pinged_hosts() {
                // Lost pings need no retry, as more follow at the next check.
                host.peers.send(record.peers, PeerMessage::Ping);
            }
        }
        let lacks_extensions = host.state.borrow().lacks_extensions(now);
        let is_isolated = lacks_extensions || host.isolation.borrow().is_isolated(now);
        if host.isolated_since.borrow().is_some() != is_isolated {
            let event = if is_isolated { "began" } else { "ended" };
            journal::event("isolation", event, json!({ "lacks_extensions": lacks_extensions }));
            host.isolated_since.send_replace(is_isolated.then_some(now));
            update_readiness(&host, now);
        }
    }
}
