//! The steps of replacing one primary.

use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use tanagerdeal_adapter::line;
use tanagerdeal_adapter::store::{RowName, RowTransaction, TransactionOutcome};
use tanagerdeal_core::ledger::clock::BootInstant;
use tanagerdeal_core::ledger::duty::DutyLease;
use tanagerdeal_core::ledger::failover::CandidateStatus;
use tanagerdeal_core::ledger::group::{GroupEntry, GroupRecord, PendingChange, PromotionRecord};
use tanagerdeal_core::ledger::version::era_of;
use tokio::time::sleep;

use super::promotion::CallProgress;
use super::{ChangeReason, PROXY_NAME, STATUS_INTERVAL, STATUS_TIMEOUT};
use crate::ledger::context::{HostContext, boot_now};
use crate::ledger::duty::{self, ClaimError, PROMOTION_DUTY};
use crate::ledger::follow::{GROUP_TABLE, apply_row, encode};
use crate::ledger::journal;
use crate::ledger::lease::{WRITE_TIMEOUT, epoch_write};
use crate::ledger::pool::acquire;

/// Time for which the failover lease must still run when other hosts or endpoints are asked.
pub(super) const QUESTION_LEASE_TIME: Duration = Duration::from_millis(1_500);

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
    #[error("an endpoint that is away may be the only one with some acknowledged commits")]
    Withheld,
    #[error("the chosen endpoint did not become primary")]
    NotPromoted,
    #[error("the old primary replies again")]
    Recovered,
}

/// A replacement of a primary in progress.
pub(super) struct PrimaryChange {
    pub(super) host: Rc<HostContext>,
    pub(super) reason: ChangeReason,
    /// Row of the group as last written.
    pub(super) record: GroupRecord,
    /// Whether the row named the latest primary of which any host knew.
    pub(super) is_verified: bool,
    pub(super) version: u64,
    /// Row version from which the group has been marked without interruption.
    pub(super) change_started_version: u64,
    pub(super) token: u64,
    /// What came of the calls for the recorded promotion.
    pub(super) calls: CallProgress,
    /// End of the wait for endpoints that may have received more of the log than the others.
    pub(super) status_wait_until: BootInstant,
    /// End of the wait for the last commits of a primary that leaves.
    pub(super) catch_up_until: BootInstant,
    /// Endpoints whose missing status was logged last.
    pub(super) logged_unanswered: Vec<String>,
    /// End of the failover lease by this host's clock.
    pub(super) failover_lease_until: BootInstant,
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
        let is_verified = host.state.borrow().groups.is_verified(&entry.record.group);
        let is_continued = entry.record.change.is_some() && is_written;
        // One of a copy has taken effect or not, and others may have followed.
        let era = host.store.era();
        let promotion =
            entry.record.promotion().filter(|known| is_verified || known.era == era).cloned();
        let mut change = Self {
            host,
            reason,
            record: entry.record,
            is_verified,
            version: entry.version,
            change_started_version: entry.version,
            token: 0,
            calls: CallProgress::of_predecessor(promotion.is_some()),
            status_wait_until: boot_now(),
            catch_up_until: boot_now(),
            logged_unanswered: Vec::new(),
            failover_lease_until: boot_now(),
        };
        change.write_mark(promotion).await?;
        if !is_continued {
            change.change_started_version = change.version;
        }
        Ok(change)
    }

    /// Acquires or extends the failover lease, and writes the mark of the group with its new end and
    /// the promotion that may be called for.
    pub(super) async fn write_mark(
        &mut self,
        promotion: Option<PromotionRecord>,
    ) -> Result<(), ChangeError> {
        let host = self.host.clone();
        for _ in 0..3 {
            let claim = duty::claim(&host, PROMOTION_DUTY).await?;
            let DutyLease { holder, token, until, .. } = claim.lease().clone();
            let record = GroupRecord {
                change: Some(PendingChange { holder, token, until, promotion: promotion.clone() }),
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
        self.host.state.borrow_mut().apply_group(entry, boot_now());
        self.record = record;
        self.host.renew_now.notify_one();
    }

    pub(super) async fn ensure_failover_lease(
        &mut self,
        span: Duration,
    ) -> Result<(), ChangeError> {
        match boot_now().after(span) < self.failover_lease_until {
            true => Ok(()),
            false => self.write_mark(self.record.promotion().cloned()).await,
        }
    }

    /// Replaces the primary and publishes the result. Returns the new primary.
    pub(super) async fn execute(&mut self) -> Result<String, ChangeError> {
        let result = self.replace().await;
        let verified_era = era_of(self.version);
        match &result {
            // The old primary stays in place; removing the mark lets hosts use it again.
            Err(ChangeError::Recovered) => {
                self.publish(GroupRecord { verified_era, ..self.record.clone() }).await
            }
            // While a promotion may take effect, the mark stays for the next attempt.
            Err(ChangeError::NoCandidate | ChangeError::Withheld | ChangeError::Unconfirmed)
                if self.record.promotion().is_none() =>
            {
                self.publish(self.record.clone()).await
            }
            Err(error) => return Err(*error),
            Ok(status) => {
                let record = self.record.succeeded_by(&status.id, status.term, status.term_start());
                self.publish(GroupRecord { verified_era, ..record }).await
            }
        }?;
        result.map(|status| status.id)
    }

    async fn replace(&mut self) -> Result<CandidateStatus, ChangeError> {
        if !self.has_left_primary() {
            self.await_confirmations().await?;
        }
        self.await_new_primary().await
    }

    /// Whether all hosts are known to have left the old primary: a promotion is recorded only then,
    /// and the group has been marked ever since, unless the store was restored.
    fn has_left_primary(&self) -> bool {
        let era = self.host.store.era();
        let is_of_era = |promotion: &PromotionRecord| promotion.era == era;
        self.record.promotion().is_some_and(is_of_era) && self.check_era().is_ok()
    }

    /// Fails if the store was restored since the group was marked: hosts may have renewed without
    /// having seen the mark, and their rows look as if they had.
    pub(super) fn check_era(&self) -> Result<(), ChangeError> {
        match era_of(self.change_started_version) == self.host.store.era() {
            true => Ok(()),
            false => Err(ChangeError::Conflict),
        }
    }

    /// Writes the result without the mark. Retries until the write is applied or the row has
    /// changed.
    async fn publish(&mut self, result: GroupRecord) -> Result<(), ChangeError> {
        let old = self.record.primary.clone();
        let record = GroupRecord { change: None, ..result };
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
            demote(&self.host, &old, record.term).await;
        }
        Ok(())
    }
}

/// Demotes a former primary if it can be reached.
pub(super) async fn demote(host: &HostContext, former: &str, term: u64) {
    let key = host.state.borrow().endpoints.find(former);
    let Some(key) = key else { return };
    let deadline = boot_now().after(STATUS_TIMEOUT);
    let Ok(mut borrowed) = acquire(host, key, PROXY_NAME, deadline).await else { return };
    let Ok(connection) = borrowed.connection() else { return };
    let outcome = connection.exchange(&line::demote(term), deadline).await;
    let fields = json!({ "endpoint": former, "term": term, "done": outcome.is_ok() });
    journal::event("takeover", "demote", fields);
}
