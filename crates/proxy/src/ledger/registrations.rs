//! Following the endpoints' registrations, which change with every heartbeat.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use tanagerdeal_adapter::server::{SERVER_TABLE, decode_registration};
use tanagerdeal_adapter::store::StoreRow;
use tanagerdeal_core::ledger::clock::BootInstant;
use tanagerdeal_core::ledger::renewal::RegistrationView;
use tokio::sync::Notify;
use tokio::time::timeout;

use super::context::{HostContext, boot_now};
use super::follow::load_table;
use super::journal;
use super::mirror::{self, MirrorRead};

/// Time for which an endpoint is kept after its registration is gone. An endpoint that was cut off
/// from the store is back within 2 s of the end of the cut; work to one that has left must have
/// stopped after 7 s.
const MISSING_GRACE: Duration = Duration::from_millis(5_000);
/// Time between two looks whether an endpoint has been missing for too long.
const MISSING_INTERVAL: Duration = Duration::from_millis(1_000);
/// A poll. It does not wait, as heartbeats come many times a second.
const READ: MirrorRead = MirrorRead::now(SERVER_TABLE, "registrations", Duration::ZERO);

/// How far this host has followed the registrations.
pub(super) struct RegistrationFeed {
    /// Version up to which they are known.
    version: Cell<u64>,
    /// Version of the last change that was more than a heartbeat.
    changed: Cell<u64>,
    /// When the version was asked for.
    fresh_at: Cell<BootInstant>,
    /// Wakes the task that follows them, because a relay knows of a change.
    behind: Notify,
}

impl RegistrationFeed {
    pub(super) fn new(now: BootInstant) -> Self {
        Self {
            version: Cell::new(0),
            changed: Cell::new(0),
            fresh_at: Cell::new(now),
            behind: Notify::new(),
        }
    }

    /// Takes over what a relay read after `asked_at`: either nothing has changed, or this host
    /// reads the changes itself.
    pub(super) fn adopt_view(&self, view: RegistrationView, asked_at: BootInstant) {
        match view.changed > self.version.get() {
            true => self.behind.notify_one(),
            false => {
                self.version.set(self.version.get().max(view.as_of));
                self.fresh_at.set(self.fresh_at.get().max(asked_at));
            }
        }
    }

    fn note_change(&self, version: u64) {
        self.changed.set(self.changed.get().max(version));
    }
}

/// Reads all registrations.
pub(super) async fn load(host: &HostContext) {
    let asked_at = boot_now();
    load_table(host, SERVER_TABLE).await;
    let feed = &host.registrations;
    let version = host.mirrors.version(SERVER_TABLE);
    feed.version.set(version);
    feed.fresh_at.set(asked_at);
    feed.note_change(version);
}

/// Follows the registrations, as far as no relay does.
pub(super) async fn follow(host: Rc<HostContext>) {
    loop {
        let due = host.registrations.fresh_at.get().after(host.settings.registration_pause);
        let pause = due.since(boot_now()).min(MISSING_INTERVAL);
        let is_behind = timeout(pause, host.registrations.behind.notified()).await.is_ok();
        let is_due = boot_now() >= due;
        if (is_behind || is_due) && !poll(&host).await {
            host.store_pause().await;
        }
        remove_missing(&host);
    }
}

/// Asks for changes. Returns whether there was an answer.
async fn poll(host: &HostContext) -> bool {
    note_poll(host, mirror::update(host, READ)).await
}

/// Notes how far the registrations are known after a poll.
async fn note_poll(host: &HostContext, poll: impl Future<Output = bool>) -> bool {
    let (feed, asked_at) = (&host.registrations, boot_now());
    let is_answered = poll.await;
    if is_answered {
        feed.version.set(feed.version.get().max(host.mirrors.version(SERVER_TABLE)));
        feed.fresh_at.set(feed.fresh_at.get().max(asked_at));
    }
    is_answered
}

/// Asks for changes as a relay, and tells what other hosts have to know.
pub(super) async fn poll_view(host: &HostContext) -> Option<RegistrationView> {
    let feed = &host.registrations;
    let is_answered = note_poll(host, mirror::update_from_store(host, READ)).await;
    is_answered.then(|| RegistrationView { as_of: feed.version.get(), changed: feed.changed.get() })
}

/// Takes over one registration.
pub(super) fn adopt(host: &HostContext, id: &str, row: &StoreRow) {
    let now = boot_now();
    let mut book = host.book.borrow_mut();
    let Some(value) = row.value.as_deref() else {
        book.endpoints.note_missing(id, now);
        host.registrations.note_change(row.version);
        return journal::event("endpoint", "missing", json!({ "endpoint": id }));
    };
    match decode_registration(id, value) {
        Ok(record) => {
            let key = book.endpoints.find(id);
            let known = key.and_then(|key| book.endpoints.get_mut(key));
            if let Some(state) = known.filter(|state| state.record == record) {
                // A heartbeat, unless the registration had been gone.
                if state.missing_since.take().is_some() {
                    host.registrations.note_change(row.version);
                }
                return;
            }
            let fields = json!({ "endpoint": id, "group": record.group, "domain": record.domain,
                "role": format!("{:?}", record.role), "draining": record.is_draining,
                "born": record.born, "row_version": row.version, "is_new": key.is_none() });
            book.endpoints.register(record, now);
            host.registrations.note_change(row.version);
            journal::event("endpoint", "registered", fields);
        }
        Err(error) => {
            let was_known = book.endpoints.find(id).is_some();
            if was_known {
                book.endpoints.note_missing(id, now);
                host.registrations.note_change(row.version);
            }
            journal::request(
                "registration_unreadable",
                || json!({ "endpoint": id, "reason": error.to_string(), "was_known": was_known }),
            );
        }
    }
}

fn remove_missing(host: &HostContext) {
    let gone_before = boot_now().before(MISSING_GRACE);
    let removed = host.book.borrow_mut().endpoints.remove_missing(gone_before);
    for id in removed {
        journal::event("endpoint", "removed", json!({ "endpoint": id }));
    }
    let book = host.book.borrow();
    host.pools.borrow_mut().retain(|endpoint, pool| {
        let is_known = book.endpoints.get(*endpoint).is_some();
        if !is_known {
            pool.clear();
        }
        is_known
    });
}
