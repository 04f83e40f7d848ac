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
            let lease = &host.book.borrow().lease;
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
    let book = host.book.borrow();
    let others = book.hosts.iter().map(|entry| &entry.record);
    for record in others.filter(|record| record.host != book.host) {
        let request = PeerMessage::RequestLeaseExtension {
            host: book.host.clone(),
            versions: book.group_versions(),
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
    let mut book = host.book.borrow_mut();
    if !book.lease.is_valid(now) {
        return None;
    }
    let unknown_row = book.news_for(versions).first().map(|entry| (*entry).clone());
    if let Some(entry) = unknown_row {
        return Some(PeerMessage::GroupUpdate { version: entry.version, record: entry.record });
    }
    book.extensions.grant(name, now);
    let (host, domain) = (book.host.clone(), book.domain.clone());
    Some(PeerMessage::LeaseExtension { host, domain, asked_us })
}

/// Records a lease extension granted by another host for a request that was sent at `asked_at`.
pub(super) fn record_extension(
    host: &HostContext,
    name: &str,
    domain: &str,
    asked_at: BootInstant,
) {
    let mut book = host.book.borrow_mut();
    let is_same_domain = domain == book.domain;
    // A request time after the current time comes from another boot of this machine or is invalid,
    // so the extension is ignored.
    if asked_at <= boot_now() {
        book.extensions.record_received(name, is_same_domain, asked_at);
    }
}
