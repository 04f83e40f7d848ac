//! The steps of replacing one primary.

use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use tanagerdeal_adapter::control::{CallOutcome, DutyCredential, PromotionCall};
use tanagerdeal_adapter::line;
use tanagerdeal_adapter::store::{RowName, RowTransaction, TransactionOutcome};
use tanagerdeal_core::ledger::clock::BootInstant;
use tanagerdeal_core::ledger::duty::DutyLease;
use tanagerdeal_core::ledger::endpoint::{EndpointKey, EndpointRole};
use tanagerdeal_core::ledger::failover::{
    CandidateStatus, ConfirmationView, HostConfirmation, PromotionTimeout, best_candidate,
    successor,
};
use tanagerdeal_core::ledger::group::{GroupEntry, GroupRecord, PendingChange};
use tanagerdeal_core::ledger::lease::LEASE_TERM;
use tanagerdeal_core::ledger::version::era_of;
use tokio::time::{sleep, timeout};

use super::{ChangeReason, PROXY_NAME, STATUS_TIMEOUT, endpoint_status, record_confirmation};
use crate::ledger::context::{HostContext, boot_now};
use crate::ledger::duty::{self, ClaimError, PROMOTION_DUTY};
use crate::ledger::follow::{GROUP_TABLE, HOST_TABLE, apply_page, apply_row, encode, read_page};
use crate::ledger::journal;
use crate::ledger::lease::{WRITE_TIMEOUT, drain_timeout, epoch_write};
use crate::ledger::mirror::to_mirror_page;
use crate::ledger::peers::{PeerMessage, peer_address};
use crate::ledger::pool::acquire;

/// Longest wait for a confirmation before the missing ones are checked again.
const CONFIRMATION_WAIT: Duration = Duration::from_millis(60);
/// Interval between requests to a host that has not confirmed.
const CONFIRMATION_REQUEST_INTERVAL: Duration = Duration::from_millis(180);
/// Interval between reads of the host table. A host that has renewed its lease after the mark needs
/// no confirmation.
const HOST_READ_INTERVAL: Duration = Duration::from_millis(240);
/// Timeout of a promotion call. The failover lease is checked to outlast it before each call.
const PROMOTION_TIMEOUT: Duration = Duration::from_millis(900);
/// How long the replicas of a primary that is being drained may take to receive its last commits.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(600);
/// Interval between status requests.
const STATUS_INTERVAL: Duration = Duration::from_millis(60);
/// Interval between checks whether a lost primary replies again while confirmations are missing.
const RECOVERY_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Why a primary was not replaced.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub(super) enum ChangeError {
    #[error("a store call of the primary change failed")]
    Store,
    #[error("another host holds the failover lease")]
    LeaseHeld,
    #[error("another host changed the row of the group first")]
    Conflict,
    #[error("timed out waiting for hosts to confirm that they left the old primary")]
    Unconfirmed,
    #[error("no endpoint is eligible for promotion")]
    NoCandidate,
    #[error("the chosen endpoint did not become primary")]
    NotPromoted,
    #[error("the old primary replies again")]
    Recovered,
}

/// A replacement of a primary in progress.
pub(super) struct PrimaryChange {
    host: Rc<HostContext>,
    reason: ChangeReason,
    record: GroupRecord,
    version: u64,
    /// Row version from which the group has been marked without interruption.
    change_started_version: u64,
    token: u64,
    /// End of the failover lease by this host's clock.
    failover_lease_until: BootInstant,
}

/// Drains the old primary on this host and records the confirmation locally.
async fn confirm_locally(host: Rc<HostContext>, record: GroupRecord, version: u64) {
    let limit = drain_timeout(&host, &record.primary);
    host.drain_primary(&record.group, version, limit).await;
    let now = boot_now();
    let granted = host.state.borrow().extensions.granted(now);
    let confirmation = HostConfirmation::new(host.incarnation, granted, now);
    record_confirmation(&host, &record.group, version, &host.settings.host, confirmation);
}

impl From<ClaimError> for ChangeError {
    fn from(error: ClaimError) -> Self {
        match error {
            ClaimError::Store => Self::Store,
            ClaimError::Held => Self::LeaseHeld,
        }
    }
}

impl PrimaryChange {
    /// Acquires the failover lease and marks the group's row in one transaction.
    pub(super) async fn begin(
        host: Rc<HostContext>,
        entry: GroupEntry,
        reason: ChangeReason,
    ) -> Result<Self, ChangeError> {
        // Hosts may have renewed since the row that lacks the mark, without having seen it.
        let is_written = !host.state.borrow().groups.is_unwritten(&entry.record.group);
        let is_continued = entry.record.change.is_some() && is_written;
        let mut change = Self {
            host,
            reason,
            record: entry.record,
            version: entry.version,
            change_started_version: entry.version,
            token: 0,
            failover_lease_until: boot_now(),
        };
        change.acquire_failover_lease().await?;
        if !is_continued {
            change.change_started_version = change.version;
        }
        Ok(change)
    }

    /// Acquires or extends the failover lease, and writes the mark of the group with its new end.
    async fn acquire_failover_lease(&mut self) -> Result<(), ChangeError> {
        let host = self.host.clone();
        for _ in 0..3 {
            let claim = duty::claim(&host, PROMOTION_DUTY).await?;
            let DutyLease { holder, token, until, .. } = claim.lease().clone();
            let record = GroupRecord {
                change: Some(PendingChange { holder, token, until }),
                ..self.record.clone()
            };
            let group_row = RowName { table: GROUP_TABLE, key: &record.group };
            let (lease_row, lease_version, lease) = claim.entry().ok_or(ChangeError::Store)?;
            let value = encode(&record).ok_or(ChangeError::Store)?;
            let transaction = RowTransaction {
                expected: vec![(lease_row, lease_version), (group_row, self.version)],
                writes: vec![(lease_row, lease), (group_row, value), epoch_write()],
            };
            let result = host.store.transact(&transaction, WRITE_TIMEOUT).await;
            host.record_store_call("mark", &result);
            match result.map_err(|_| ChangeError::Store)? {
                TransactionOutcome::Applied { version, .. } => {
                    self.failover_lease_until = claim.until;
                    (self.version, self.token) = (version, claim.token());
                    self.apply_record(record);
                    return Ok(());
                }
                TransactionOutcome::Conflict(page) => {
                    let group = page.rows.iter().find(|row| row.table == GROUP_TABLE);
                    if group.is_none_or(|row| row.version != self.version) {
                        group.into_iter().for_each(|row| apply_row(&host, row));
                        return Err(ChangeError::Conflict);
                    }
                }
            }
        }
        Err(ChangeError::LeaseHeld)
    }

    fn apply_record(&mut self, record: GroupRecord) {
        let entry = GroupEntry { version: self.version, record: record.clone() };
        self.host.state.borrow_mut().apply_group(entry);
        self.record = record;
        self.host.renew_now.notify_one();
    }

    async fn ensure_failover_lease(&mut self, span: Duration) -> Result<(), ChangeError> {
        match boot_now().after(span) < self.failover_lease_until {
            true => Ok(()),
            false => self.acquire_failover_lease().await,
        }
    }

    pub(super) async fn execute(&mut self) -> Result<String, ChangeError> {
        let result = self.replace().await;
        match result {
            // The old primary stays in place; removing the mark lets hosts use it again.
            Err(ChangeError::NoCandidate | ChangeError::Recovered | ChangeError::Unconfirmed) => {
                self.publish(self.record.primary.clone(), self.record.term).await
            }
            Err(error) => return Err(error),
            Ok((ref primary, term)) => self.publish(primary.clone(), term).await,
        }?;
        result.map(|(primary, _)| primary)
    }

    async fn replace(&mut self) -> Result<(String, u64), ChangeError> {
        self.await_confirmations().await?;
        let statuses = self.statuses().await;
        if let Some(found) = successor(&statuses, self.known_term(&statuses)) {
            return Ok((found.id.clone(), found.term));
        }
        let is_recovered = statuses
            .iter()
            .any(|status| status.id == self.record.primary && status.role == EndpointRole::Primary);
        if self.reason == ChangeReason::Lost && is_recovered {
            return Err(ChangeError::Recovered);
        }
        let statuses = match self.reason {
            ChangeReason::Leaving => self.await_catch_up(statuses).await,
            _ => statuses,
        };
        let others: Vec<CandidateStatus> =
            statuses.into_iter().filter(|status| status.id != self.record.primary).collect();
        let known = others.iter().map(|status| status.term).max().unwrap_or(0);
        let target = {
            let state = self.host.state.borrow();
            let primaries = |domain: &str| state.primaries_in(domain, &self.record.group);
            let best = best_candidate(&others, &primaries).ok_or(ChangeError::NoCandidate)?;
            best.id.clone()
        };
        journal::event(
            "takeover",
            "chosen",
            json!({ "group": self.record.group, "endpoint": target, "token": self.token,
                    "candidates": others.iter().map(|status| json!({ "endpoint": status.id,
                        "received": status.received.to_string(), "eligible": status.is_eligible }))
                        .collect::<Vec<_>>() }),
        );
        self.promote(&target).await?;
        let term = self.await_promotion(&target, known).await?;
        Ok((target, term))
    }

    /// Term of the current primary; a primary with a later term is its successor.
    fn known_term(&self, statuses: &[CandidateStatus]) -> u64 {
        let is_primary = |status: &&CandidateStatus| status.id == self.record.primary;
        let own = statuses.iter().find(is_primary).map(|status| status.term);
        match (self.record.term, own) {
            (0, Some(own)) => own,
            // The term of the first primary was never read, so any other primary is later.
            (0, None) => 0,
            (term, _) => term,
        }
    }

    /// Whether the old primary replies and has the primary role.
    async fn has_primary_recovered(&self) -> bool {
        let key = self.host.state.borrow().endpoints.find(&self.record.primary);
        let Some(key) = key else { return false };
        let status = endpoint_status(&self.host, key).await;
        status.is_some_and(|status| status.role == EndpointRole::Primary)
    }

    /// Waits until no host can still use the old primary.
    async fn await_confirmations(&mut self) -> Result<(), ChangeError> {
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
            self.ensure_failover_lease(Duration::from_millis(1_500)).await?;
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
                if self.has_primary_recovered().await {
                    return Err(ChangeError::Recovered);
                }
            }
            // A timeout is expected: the loop then checks again.
            let _ = timeout(CONFIRMATION_WAIT, self.host.confirmed.notified()).await;
        }
    }

    /// Fails if the store was restored since the group was marked: hosts may have renewed without
    /// having seen the mark, and their rows look as if they had.
    fn check_era(&self) -> Result<(), ChangeError> {
        match era_of(self.change_started_version) == self.host.store.era() {
            true => Ok(()),
            false => Err(ChangeError::Conflict),
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

    /// Status of the endpoints of the group that reply.
    async fn statuses(&self) -> Vec<CandidateStatus> {
        let keys: Vec<EndpointKey> = {
            let state = self.host.state.borrow();
            state.endpoints.of_group(&self.record.group).map(|(key, _)| key).collect()
        };
        let asked = keys.into_iter().map(|key| endpoint_status(&self.host, key));
        futures::future::join_all(asked).await.into_iter().flatten().collect()
    }

    /// Waits until an eligible replica has received all log records of the old primary, or until
    /// the timeout. Returns the latest statuses.
    async fn await_catch_up(&self, statuses: Vec<CandidateStatus>) -> Vec<CandidateStatus> {
        let deadline = boot_now().after(CATCH_UP_TIMEOUT);
        let mut statuses = statuses;
        loop {
            let old = statuses.iter().find(|status| status.id == self.record.primary);
            let Some(last) = old.map(|status| status.received) else { return statuses };
            let is_caught_up = statuses.iter().any(|status| {
                status.is_eligible && status.id != self.record.primary && status.received >= last
            });
            if is_caught_up || boot_now() >= deadline {
                return statuses;
            }
            sleep(STATUS_INTERVAL).await;
            statuses = self.statuses().await;
        }
    }

    async fn promote(&mut self, target: &str) -> Result<(), ChangeError> {
        for _ in 0..4 {
            self.ensure_failover_lease(PROMOTION_TIMEOUT + Duration::from_millis(200)).await?;
            self.check_era()?;
            let call = PromotionCall { group: &self.record.group, endpoint: target };
            let duty = DutyCredential { holder: &self.host.settings.host, token: self.token };
            let outcome = self.host.control.promote(call, duty, PROMOTION_TIMEOUT).await;
            self.host.metrics.count_call("promote", &format!("{outcome:?}"));
            journal::event(
                "takeover",
                "promote",
                json!({ "group": self.record.group, "endpoint": target, "token": self.token,
                        "outcome": format!("{outcome:?}") }),
            );
            match outcome {
                CallOutcome::Accepted => return Ok(()),
                CallOutcome::Refused(409) => return Err(ChangeError::NotPromoted),
                CallOutcome::Refused(_) | CallOutcome::Unknown => {
                    sleep(STATUS_INTERVAL).await;
                }
            }
        }
        Err(ChangeError::NotPromoted)
    }

    /// Waits until the endpoint is primary with a term above `known`, and returns that term.
    async fn await_promotion(&mut self, target: &str, known: u64) -> Result<u64, ChangeError> {
        let mut watch = PromotionTimeout::new(boot_now());
        while !watch.is_over(boot_now()) {
            let key = self.host.state.borrow().endpoints.find(target);
            let status = match key {
                Some(key) => endpoint_status(&self.host, key).await,
                None => None,
            };
            match status {
                Some(status) if status.role == EndpointRole::Primary && status.term > known => {
                    return Ok(status.term);
                }
                Some(_) => {
                    watch.note_answer(boot_now());
                    sleep(STATUS_INTERVAL).await;
                }
                None => sleep(STATUS_INTERVAL).await,
            }
        }
        Err(ChangeError::NotPromoted)
    }

    /// Writes the result and clears the mark. Retries until the write is applied or the row has
    /// changed.
    async fn publish(&mut self, primary: String, term: u64) -> Result<(), ChangeError> {
        let old = self.record.primary.clone();
        let record = GroupRecord { primary, term, change: None, ..self.record.clone() };
        let value = encode(&record).ok_or(ChangeError::Store)?;
        loop {
            let name = RowName { table: GROUP_TABLE, key: &record.group };
            let transaction = RowTransaction {
                expected: vec![(name, self.version)],
                writes: vec![(name, value.clone()), epoch_write()],
            };
            let result = self.host.store.transact(&transaction, WRITE_TIMEOUT).await;
            self.host.record_store_call("publish", &result);
            match result {
                Ok(TransactionOutcome::Applied { version, .. }) => {
                    self.version = version;
                    self.apply_record(record.clone());
                    break;
                }
                Ok(TransactionOutcome::Conflict(page)) => {
                    page.rows.iter().for_each(|row| apply_row(&self.host, row));
                    return Err(ChangeError::Conflict);
                }
                Err(_) => sleep(STATUS_INTERVAL).await,
            }
        }
        if old != record.primary {
            self.demote(&old, term).await;
        }
        Ok(())
    }

    /// Demotes the old primary if it can be reached; otherwise it learns of the new term by itself.
    async fn demote(&self, old: &str, term: u64) {
        let key = self.host.state.borrow().endpoints.find(old);
        let Some(key) = key else { return };
        let deadline = boot_now().after(STATUS_TIMEOUT);
        let Ok(mut borrowed) = acquire(&self.host, key, PROXY_NAME, deadline).await else { return };
        let Ok(connection) = borrowed.connection() else { return };
        let outcome = connection.exchange(&line::demote(term), deadline).await;
        let fields = json!({ "endpoint": old, "term": term, "done": outcome.is_ok() });
        journal::event("takeover", "demote", fields);
    }
}
