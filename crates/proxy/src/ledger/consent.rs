//! Asking other hosts for stays while the lease cannot be renewed, and granting them.

use std::rc::Rc;

use serde_json::json;
use tanagerdeal_core::ledger::clock::BootInstant;
use tanagerdeal_core::ledger::consent::{ASK_INTERVAL, is_asking};
use tokio::time::sleep;

use super::context::{HostContext, boot_now};
use super::journal;
use super::peers::PeerMessage;

/// Asks the other hosts for stays while the lease is about to need them, until the process ends.
pub(super) async fn watch(host: Rc<HostContext>) {
    let mut was_asking = false;
    loop {
        sleep(ASK_INTERVAL).await;
        let now = boot_now();
        let is_due = {
            let lease = &host.book.borrow().lease;
            lease.quorum().is_some()
                && lease.renewed_at().is_some_and(|renewed_at| is_asking(renewed_at, now))
        };
        if std::mem::replace(&mut was_asking, is_due) != is_due {
            journal::event("consent", if is_due { "asking" } else { "not_needed" }, json!({}));
        }
        if is_due {
            ask(&host, now);
        }
    }
}

fn ask(host: &HostContext, now: BootInstant) {
    let book = host.book.borrow();
    let others = book.hosts.iter().map(|entry| &entry.record);
    for record in others.filter(|record| record.host != book.host) {
        let question = PeerMessage::AskStay {
            host: book.host.clone(),
            versions: book.group_versions(),
            asked_us: now.as_micros(),
        };
        // A question that is lost is repeated.
        host.peers.send(record.peers, question);
    }
}

/// The answer to a host that asks for a stay: a stay, or a row that it does not know.
pub(super) fn answer(
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
    let news = book.news_for(versions).first().map(|entry| (*entry).clone());
    if let Some(entry) = news {
        return Some(PeerMessage::Marked { version: entry.version, record: entry.record });
    }
    book.stays.grant(name, now);
    let (host, domain) = (book.host.clone(), book.domain.clone());
    Some(PeerMessage::Stay { host, domain, asked_us })
}

/// Takes over a stay of another host, for a question that was sent at `asked_at`.
pub(super) fn note(host: &HostContext, name: &str, domain: &str, asked_at: BootInstant) {
    let mut book = host.book.borrow_mut();
    let is_same_domain = domain == book.domain;
    // A question of an earlier process of this host, or one from the future, proves nothing.
    if asked_at <= boot_now() {
        book.stays.note_got(name, is_same_domain, asked_at);
    }
}
