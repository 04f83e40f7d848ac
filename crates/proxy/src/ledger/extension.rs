//! Requests lease extensions from other hosts while the lease cannot be renewed, and grants them.

use std::rc::Rc;

use serde_json::json;
use tanagerdeal_core::ledger::clock::BootInstant;
use tanagerdeal_core::ledger::extension::{EXTENSION_REQUEST_INTERVAL, needs_extensions};
use tokio::time::sleep;

use super::context::{HostContext, boot_now};
use super::journal;
use super::peers::PeerMessage;

/// Requests lease extensions from the other hosts shortly before the lease needs them, until the
/// process ends.
pub(super) async fn watch(host: Rc<HostContext>) {
    let mut needed_extensions = false;
    loop {
        sleep(EXTENSION_REQUEST_INTERVAL).await;
        let now = boot_now();
        let is_due = {
            let lease = &host.state.borrow().lease;
            lease.quorum().is_some()
                && lease.renewed_at().is_some_and(|renewed_at| needs_extensions(renewed_at, now))
        };
        if std::mem::replace(&mut needed_extensions, is_due) != is_due {
            journal::event("consent", if is_due { "asking" } else { "not_needed" }, json!({}));
        }
        if is_due {
            request_extensions(&host, now);
        }
    }
}

fn request_extensions(host: &HostContext, now: BootInstant) {
    let state = host.state.borrow();
    let others = state.hosts.iter().map(|entry| &entry.record);
    for record in others.filter(|record| record.host != state.host) {
        let request = PeerMessage::RequestLeaseExtension {
            host: state.host.clone(),
            versions: state.group_versions(),
            asked_us: now.as_micros(),
        };
        // Lost requests are repeated at the next check.
        host.peers.send(record.peers, request);
    }
}

/// The response to a request for a lease extension: an extension, or a group row that the
/// requesting host does not know. `None` if this host has no valid lease.
pub(super) fn respond(
    host: &HostContext,
    name: &str,
    versions: &[(u64, u64)],
    asked_us: u64,
) -> Option<PeerMessage> {
    let now = boot_now();
    let mut state = host.state.borrow_mut();
    if !state.lease.is_valid(now) {
        return None;
    }
    let unknown_row = state.newer_groups(versions).first().map(|entry| (*entry).clone());
    if let Some(entry) = unknown_row {
        return Some(PeerMessage::GroupUpdate { version: entry.version, record: entry.record });
    }
    state.extensions.grant(name, now);
    let (host, domain) = (state.host.clone(), state.domain.clone());
    Some(PeerMessage::LeaseExtension { host, domain, asked_us })
}

/// Records a lease extension granted by another host for a request that was sent at `asked_at`.
pub(super) fn record_extension(
    host: &HostContext,
    name: &str,
    domain: &str,
    asked_at: BootInstant,
) {
    let mut state = host.state.borrow_mut();
    let is_same_domain = domain == state.domain;
    // A request time after the current time comes from another boot of this machine or is invalid,
    // so the extension is ignored.
    if asked_at <= boot_now() {
        state.extensions.record_received(name, is_same_domain, asked_at);
    }
}
