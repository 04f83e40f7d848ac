//! Follows the registrations of endpoints, which change with every heartbeat.

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
use super::follow::{drop_lost_evacuations, load_table};
use super::journal;
use super::mirror::{self, MirrorRead};

/// How long an endpoint is kept after its registration is gone. An endpoint that was cut off from
/// the store is back within 2 s of the end of the outage; work on an endpoint that has left must
/// stop within 7 s.
const MISSING_GRACE: Duration = Duration::from_millis(5_000);
/// Interval between checks for endpoints that have been missing for too long.
const MISSING_CHECK_INTERVAL: Duration = Duration::from_millis(1_000);
/// A poll that does not wait for changes, as heartbeats come many times a second.
const POLL_READ: MirrorRead = MirrorRead::now(SERVER_TABLE, "registrations", Duration::ZERO);

/// How current this host's registrations are.
pub(super) struct RegistrationFeed {
    /// Version up to which the registrations are known.
    version: Cell<u64>,
    /// Version of the last change other than a heartbeat.
    changed: Cell<u64>,
    /// When the request that returned the version was sent.
    fresh_at: Cell<BootInstant>,
    /// Wakes the following task because a relay knows of a change.
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

    /// Applies a relay's view, read after `asked_at`: either nothing has changed, or this host must
    /// read the changes itself.
    pub(super) fn apply_view(&self, view: RegistrationView, asked_at: BootInstant) {
        match view.changed > self.version.get() {
            true => self.behind.notify_one(),
            false => {
                self.version.set(self.version.get().max(view.as_of));
                self.fresh_at.set(self.fresh_at.get().max(asked_at));
            }
        }
    }

    fn record_change(&self, version: u64) {
        self.changed.set(self.changed.get().max(version));
    }
}

/// Reads all registrations from the store, during start-up.
pub(super) async fn load(host: &HostContext) {
    let asked_at = boot_now();
    load_table(host, SERVER_TABLE).await;
    let feed = &host.registrations;
    let version = host.mirrors.version(SERVER_TABLE);
    feed.version.set(version);
    feed.fresh_at.set(asked_at);
    feed.record_change(version);
}

/// Polls the registrations whenever no recent view of a relay confirms that they are current, until
/// the process ends.
pub(super) async fn follow(host: Rc<HostContext>) {
    loop {
        let due = host.registrations.fresh_at.get().after(host.settings.registration_pause);
        let pause = due.since(boot_now()).min(MISSING_CHECK_INTERVAL);
        let is_behind = timeout(pause, host.registrations.behind.notified()).await.is_ok();
        let is_due = boot_now() >= due;
        if (is_behind || is_due) && !poll(&host).await {
            host.wait_for_store().await;
        }
        remove_missing(&host);
        drop_lost_evacuations(&host);
    }
}

/// Polls for changes. Returns whether there was a response.
async fn poll(host: &HostContext) -> bool {
    track_poll(host, mirror::update(host, POLL_READ)).await
}

/// Runs a poll and records how current the registrations are after it.
async fn track_poll(host: &HostContext, poll: impl Future<Output = bool>) -> bool {
    let (feed, asked_at) = (&host.registrations, boot_now());
    let is_answered = poll.await;
    if is_answered {
        feed.version.set(feed.version.get().max(host.mirrors.version(SERVER_TABLE)));
        feed.fresh_at.set(feed.fresh_at.get().max(asked_at));
    }
    is_answered
}

/// Polls the store as a relay. Returns the view for other hosts; `None` without a reply.
pub(super) async fn poll_view(host: &HostContext) -> Option<RegistrationView> {
    let feed = &host.registrations;
    let is_answered = track_poll(host, mirror::update_from_store(host, POLL_READ)).await;
    is_answered.then(|| RegistrationView { as_of: feed.version.get(), changed: feed.changed.get() })
}

/// Applies one registration.
pub(super) fn apply(host: &HostContext, id: &str, row: &StoreRow) {
    let now = boot_now();
    let mut host_state = host.state.borrow_mut();
    let Some(value) = row.value.as_deref() else {
        host_state.endpoints.note_missing(id, now);
        host.registrations.record_change(row.version);
        return journal::event("endpoint", "missing", json!({ "endpoint": id }));
    };
    match decode_registration(id, value) {
        Ok(mut record) => {
            let key = host_state.endpoints.find(id);
            // A restored store may have lost that the endpoint is draining.
            let former = key.and_then(|key| host_state.endpoints.get(key)).map(|it| &it.record);
            record.is_draining |= host_state.is_being_rewritten(now)
                && former.is_some_and(|former| former.is_draining && former.born == record.born);
            let known = key.and_then(|key| host_state.endpoints.get_mut(key));
            if let Some(state) = known.filter(|state| state.record == record) {
                // A heartbeat, unless the registration had been missing.
                if state.missing_since.take().is_some() {
                    host.registrations.record_change(row.version);
                }
                return;
            }
            let fields = json!({ "endpoint": id, "group": record.group, "domain": record.domain,
                "address": record.address.to_string(), "role": format!("{:?}", record.role), "draining": record.is_draining,
                "born": record.born, "row_version": row.version, "is_new": key.is_none() });
            host_state.endpoints.register(record, now);
            host.registrations.record_change(row.version);
            journal::event("endpoint", "registered", fields);
        }
        Err(error) => {
            let was_known = host_state.endpoints.find(id).is_some();
            if was_known {
                host_state.endpoints.note_missing(id, now);
                host.registrations.record_change(row.version);
            }
            journal::request(
                "registration_unreadable",
                || json!({ "endpoint": id, "reason": error.to_string(), "was_known": was_known }),
            );
        }
    }
}

fn remove_missing(host: &HostContext) {
    let now = boot_now();
    let gone_before = now.before(MISSING_GRACE);
    let removed = host.state.borrow_mut().endpoints.remove_missing(gone_before, now);
    for id in removed {
        journal::event("endpoint", "removed", json!({ "endpoint": id }));
    }
    let host_state = host.state.borrow();
    host.pools.borrow_mut().retain(|endpoint, pool| {
        let is_known = host_state.endpoints.get(*endpoint).is_some();
        if !is_known {
            pool.clear();
        }
        is_known
    });
}
