//! Waits until no host uses a primary that is being replaced.

use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use tanagerdeal_core::ledger::failover::step::recovered_primary;
use tanagerdeal_core::ledger::failover::{ConfirmationView, HostConfirmation};
use tanagerdeal_core::ledger::group::GroupRecord;
use tanagerdeal_core::ledger::lease::LEASE_TERM;
use tokio::time::timeout;

use super::change::{ChangeError, PrimaryChange, QUESTION_LEASE_TIME};
use super::{ChangeReason, record_confirmation};
use crate::ledger::context::{HostContext, boot_now};
use crate::ledger::follow::{HOST_TABLE, apply_page, read_page};
use crate::ledger::journal;
use crate::ledger::lease::drain_timeout;
use crate::ledger::mirror::to_mirror_page;
use crate::ledger::peers::{PeerMessage, peer_address};

/// Longest wait for a confirmation before the missing ones are checked again.
const CONFIRMATION_WAIT: Duration = Duration::from_millis(60);
/// Interval between requests to a host that has not confirmed.
const CONFIRMATION_REQUEST_INTERVAL: Duration = Duration::from_millis(180);
/// Interval between reads of the host table. A host that has renewed its lease after the mark needs
/// no confirmation.
const HOST_READ_INTERVAL: Duration = Duration::from_millis(240);
/// Interval between checks whether a lost primary replies again while confirmations are missing.
const RECOVERY_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Drains the old primary on this host and records the confirmation locally.
async fn confirm_locally(host: Rc<HostContext>, record: GroupRecord, version: u64) {
    let limit = drain_timeout(&host, &record.primary);
    host.drain_primary(&record.group, version, limit).await;
    let now = boot_now();
    let granted = host.state.borrow().extensions.granted(now);
    let confirmation = HostConfirmation::new(host.incarnation, granted, now);
    record_confirmation(&host, &record.group, version, &host.settings.host, confirmation);
}

impl PrimaryChange {
    /// Waits until no host can still use the old primary.
    pub(super) async fn await_confirmations(&mut self) -> Result<(), ChangeError> {
        let group = self.record.group.clone();
        self.host.confirmations.borrow_mut().begin(&group, self.change_started_version);
        tokio::task::spawn_local(confirm_locally(
            self.host.clone(),
            self.record.clone(),
            self.version,
        ));
        let result = self.collect_confirmations().await;
        self.host.confirmations.borrow_mut().end(&group);
        result
    }

    async fn collect_confirmations(&mut self) -> Result<(), ChangeError> {
        let began_at = boot_now();
        let give_up_at = began_at.after(LEASE_TERM + Duration::from_secs(2));
        let (mut request_at, mut host_read_at) = (began_at, began_at);
        let mut recovery_check_at = began_at.after(RECOVERY_CHECK_INTERVAL);
        let (mut has_host_list, mut is_logged) = (false, false);
        loop {
            self.ensure_failover_lease(QUESTION_LEASE_TIME).await?;
            if boot_now() >= request_at {
                request_at = boot_now().after(CONFIRMATION_REQUEST_INTERVAL);
                self.request_missing_confirmations();
            }
            if boot_now() >= host_read_at {
                host_read_at = boot_now().after(HOST_READ_INTERVAL);
                has_host_list |= self.read_hosts().await;
            }
            self.check_era()?;
            let has_unknown_leases = self.host.state.borrow().has_unknown_leases(boot_now());
            match self.missing_hosts() {
                Some(missing) if has_host_list && missing.is_empty() && !has_unknown_leases => {
                    return Ok(());
                }
                Some(missing) if has_host_list && !std::mem::replace(&mut is_logged, true) => {
                    let fields = json!({ "group": self.record.group, "hosts": missing });
                    journal::event("takeover", "waiting", fields);
                }
                _ => (),
            }
            if boot_now() >= give_up_at {
                return Err(ChangeError::Unconfirmed);
            }
            if self.reason == ChangeReason::Lost && boot_now() >= recovery_check_at {
                recovery_check_at = boot_now().after(RECOVERY_CHECK_INTERVAL);
                let answered = self.statuses().await.answered;
                let is_kept = self.is_verified
                    && self.record.promotion().is_none()
                    && recovered_primary(&self.record.primary, &answered).is_some();
                if is_kept {
                    return Err(ChangeError::Recovered);
                }
            }
            // A timeout is expected: the loop then checks again.
            let _ = timeout(CONFIRMATION_WAIT, self.host.confirmed.notified()).await;
        }
    }

    /// Reads the host table. Returns whether the store replied.
    async fn read_hosts(&self) -> bool {
        let asked_at = boot_now();
        let Some(page) = read_page(&self.host, HOST_TABLE, "confirm").await else { return false };
        apply_page(&self.host, HOST_TABLE, &to_mirror_page(page, true), asked_at);
        true
    }

    /// Hosts that may still use the old primary, according to the host table. `None` before the
    /// store's clock is known or when no confirmations are being collected.
    fn missing_hosts(&self) -> Option<Vec<String>> {
        let (state, confirmations) = (self.host.state.borrow(), self.host.confirmations.borrow());
        let (change, clock) = confirmations.of(&self.record.group).zip(state.lease.clock())?;
        let now = boot_now();
        let missing = change.missing(ConfirmationView {
            hosts: &state.hosts,
            domain: state.primary_domain(&self.record.group),
            store_now: clock.earliest(now),
            now,
        });
        Some(missing.into_iter().map(|record| record.host.clone()).collect())
    }

    /// Sends the marked row to the hosts that have not confirmed it.
    fn request_missing_confirmations(&self) {
        let missing = self.missing_hosts().unwrap_or_default();
        for name in missing.iter().filter(|name| **name != self.host.settings.host) {
            let Some(address) = peer_address(&self.host, name) else { continue };
            let marked =
                PeerMessage::GroupUpdate { version: self.version, record: self.record.clone() };
            // Lost messages are repeated by the next request.
            self.host.peers.send(address, marked);
        }
    }
}
