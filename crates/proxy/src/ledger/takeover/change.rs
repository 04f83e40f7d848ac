//! The steps of one change of primary.

use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use tanagerdeal_adapter::line;
use tanagerdeal_adapter::promotion::{PromotionCall, PromotionOutcome};
use tanagerdeal_adapter::store::{RowName, RowTransaction, TransactionOutcome};
use tanagerdeal_core::ledger::clock::BootInstant;
use tanagerdeal_core::ledger::endpoint::{EndpointKey, EndpointRole};
use tanagerdeal_core::ledger::group::{ChangeMark, GroupEntry, GroupRecord};
use tanagerdeal_core::ledger::lease::LEASE_TERM;
use tanagerdeal_core::ledger::takeover::{
    CandidateStatus, ConfirmationView, DUTY_TERM, DutyDecision, DutyRecord, HostConfirmation,
    LeadWatch, best_candidate, duty_decision, successor,
};
use tokio::time::{sleep, timeout};

use super::{ChangeReason, OWN_NAME, STATUS_LIMIT, endpoint_status, note_confirmation};
use crate::ledger::context::{HostContext, boot_now};
use crate::ledger::follow::{
    DUTY_TABLE, GROUP_TABLE, HOST_TABLE, READ_LIMIT, adopt_page, adopt_row, encode, read_once,
};
use crate::ledger::journal;
use crate::ledger::keeper::{WRITE_LIMIT, leave_limit};
use crate::ledger::mirror::page_of;
use crate::ledger::peers::{PeerMessage, address_of};
use crate::ledger::pool::acquire;

/// Key of the row of the duty to change primaries.
const DUTY_KEY: &str = "promotion";
/// Time between two looks at who still has to confirm, unless a confirmation comes.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(60);
/// Time between two questions to a host that has not confirmed.
const ASK_INTERVAL: Duration = Duration::from_millis(180);
/// Time between two reads of the hosts, which show who has renewed instead.
const LIST_INTERVAL: Duration = Duration::from_millis(240);
/// Time that a promotion call may take; it is within the duty that was checked before it.
const CALL_LIMIT: Duration = Duration::from_millis(900);
/// Time that the successor of a primary that leaves has to receive its last commits.
const CATCH_UP_LIMIT: Duration = Duration::from_millis(600);
/// Time between two questions for a status.
const STATUS_INTERVAL: Duration = Duration::from_millis(60);
/// Time between two looks whether a lost primary is back, while hosts have not confirmed.
const RECOVERY_INTERVAL: Duration = Duration::from_millis(500);

/// Why a change did not come about.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub(super) enum ChangeError {
    #[error("the store did not take the change")]
    Store,
    #[error("another host holds the duty")]
    Held,
    #[error("another host has changed the group")]
    Raced,
    #[error("hosts have not confirmed in time")]
    Unconfirmed,
    #[error("no endpoint can take over")]
    NoCandidate,
    #[error("the platform did not promote the endpoint")]
    NotPromoted,
    #[error("the primary is there again")]
    Recovered,
}

/// A change that is being carried out.
pub(super) struct PrimaryChange {
    host: Rc<HostContext>,
    reason: ChangeReason,
    record: GroupRecord,
    version: u64,
    /// Version of the row since which the group has been marked without a break.
    marked_version: u64,
    token: u64,
    /// When the duty ends by this host's clock.
    duty_until: BootInstant,
}

/// Leaves the old primary as other hosts do, and confirms it to itself.
async fn confirm_own(host: Rc<HostContext>, record: GroupRecord, version: u64) {
    let limit = leave_limit(&host, &record.primary);
    host.leave_primary(&record.group, version, limit).await;
    let now = boot_now();
    let granted = host.book.borrow().stays.granted(now);
    let confirmation = HostConfirmation::new(host.incarnation, granted, now);
    note_confirmation(&host, &record.group, version, &host.settings.host, confirmation);
}

/// The duty in a row; one that cannot be read is logged.
fn decode_duty(value: &[u8]) -> Option<DutyRecord> {
    match serde_json::from_slice(value) {
        Ok(duty) => Some(duty),
        Err(error) => {
            journal::event("takeover", "unreadable_duty", json!({ "reason": error.to_string() }));
            None
        }
    }
}

impl PrimaryChange {
    /// Takes the duty and marks the group in one transaction.
    pub(super) async fn mark(
        host: Rc<HostContext>,
        entry: GroupEntry,
        reason: ChangeReason,
    ) -> Result<Self, ChangeError> {
        let is_continued = entry.record.change.is_some();
        let mut change = Self {
            host,
            reason,
            record: entry.record,
            version: entry.version,
            marked_version: entry.version,
            token: 0,
            duty_until: boot_now(),
        };
        change.extend().await?;
        if !is_continued {
            change.marked_version = change.version;
        }
        Ok(change)
    }

    /// Takes or extends the duty and the mark of the group.
    async fn extend(&mut self) -> Result<(), ChangeError> {
        let host = self.host.clone();
        let duty_row = RowName { table: DUTY_TABLE, key: DUTY_KEY };
        for _ in 0..3 {
            // The duty counts from before the store's clock was read.
            let duty_from = boot_now();
            let page = host.store.read(DUTY_TABLE, READ_LIMIT).await;
            host.note_store("duty", &page);
            let page = page.map_err(|_| ChangeError::Store)?;
            let row = page.rows.iter().find(|row| row.key == DUTY_KEY);
            let known = match row.and_then(|row| row.value.as_deref()).map(decode_duty) {
                None => None,
                Some(Some(duty)) => Some(duty),
                // Its token is unknown, so no higher one can be chosen.
                Some(None) => return Err(ChangeError::Store),
            };
            let name = &host.settings.host;
            let duty = match duty_decision(known.as_ref(), name, host.incarnation, page.now) {
                DutyDecision::Take(duty) => duty,
                DutyDecision::Wait(_) => return Err(ChangeError::Held),
            };
            let mark = ChangeMark { holder: name.clone(), token: duty.token, until: duty.until };
            let record = GroupRecord { change: Some(mark), ..self.record.clone() };
            let group_row = RowName { table: GROUP_TABLE, key: &record.group };
            let values = encode(&duty).zip(encode(&record)).ok_or(ChangeError::Store)?;
            let transaction = RowTransaction {
                expected: vec![
                    (duty_row, row.map_or(0, |row| row.version)),
                    (group_row, self.version),
                ],
                writes: vec![(duty_row, values.0), (group_row, values.1)],
            };
            let result = host.store.transact(&transaction, WRITE_LIMIT).await;
            host.note_store("mark", &result);
            match result.map_err(|_| ChangeError::Store)? {
                TransactionOutcome::Applied { version, .. } => {
                    self.duty_until = duty_from.after(DUTY_TERM);
                    (self.version, self.token) = (version, duty.token);
                    self.adopt(record);
                    return Ok(());
                }
                TransactionOutcome::Conflict(page) => {
                    let group = page.rows.iter().find(|row| row.table == GROUP_TABLE);
                    if group.is_none_or(|row| row.version != self.version) {
                        group.into_iter().for_each(|row| adopt_row(&host, row));
                        return Err(ChangeError::Raced);
                    }
                }
            }
        }
        Err(ChangeError::Held)
    }

    fn adopt(&mut self, record: GroupRecord) {
        let entry = GroupEntry { version: self.version, record: record.clone() };
        self.host.book.borrow_mut().adopt_group(entry);
        self.record = record;
        self.host.renew.notify_one();
    }

    async fn ensure_duty(&mut self, span: Duration) -> Result<(), ChangeError> {
        match boot_now().after(span) < self.duty_until {
            true => Ok(()),
            false => self.extend().await,
        }
    }

    pub(super) async fn carry_out(&mut self) -> Result<String, ChangeError> {
        let result = self.replace().await;
        match result {
            // The old primary goes on; without a mark hosts use it again.
            Err(ChangeError::NoCandidate | ChangeError::Recovered | ChangeError::Unconfirmed) => {
                self.publish(self.record.primary.clone(), self.record.term).await
            }
            Err(error) => return Err(error),
            Ok((ref primary, term)) => self.publish(primary.clone(), term).await,
        }?;
        result.map(|(primary, _)| primary)
    }

    async fn replace(&mut self) -> Result<(String, u64), ChangeError> {
        self.await_hosts().await?;
        let statuses = self.statuses().await;
        if let Some(found) = successor(&statuses, self.known_term(&statuses)) {
            return Ok((found.id.clone(), found.term));
        }
        let is_back = statuses
            .iter()
            .any(|status| status.id == self.record.primary && status.role == EndpointRole::Primary);
        if self.reason == ChangeReason::Lost && is_back {
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
            let book = self.host.book.borrow();
            let primaries = |domain: &str| book.primaries_in(domain, &self.record.group);
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
        let term = self.await_lead(&target, known).await?;
        Ok((target, term))
    }

    /// The term of the known primary, as far as its replicas have heard of it.
    fn known_term(&self, statuses: &[CandidateStatus]) -> u64 {
        let is_primary = |status: &&CandidateStatus| status.id == self.record.primary;
        let own = statuses.iter().find(is_primary).map(|status| status.term);
        match (self.record.term, own) {
            (0, Some(own)) => own,
            // The first primary has not been asked for its term: whoever else leads came later.
            (0, None) => 0,
            (term, _) => term,
        }
    }

    /// Whether the old primary answers and leads.
    async fn is_primary_back(&self) -> bool {
        let key = self.host.book.borrow().endpoints.find(&self.record.primary);
        let Some(key) = key else { return false };
        let status = endpoint_status(&self.host, key).await;
        status.is_some_and(|status| status.role == EndpointRole::Primary)
    }

    /// Waits until no host may still use the old primary.
    async fn await_hosts(&mut self) -> Result<(), ChangeError> {
        let group = self.record.group.clone();
        self.host.confirmations.borrow_mut().begin(&group, self.marked_version);
        tokio::task::spawn_local(confirm_own(self.host.clone(), self.record.clone(), self.version));
        let result = self.collect_confirmations().await;
        self.host.confirmations.borrow_mut().end(&group);
        result
    }

    async fn collect_confirmations(&mut self) -> Result<(), ChangeError> {
        let began_at = boot_now();
        let give_up_at = began_at.after(LEASE_TERM + Duration::from_secs(2));
        let (mut ask_at, mut list_at) = (began_at, began_at);
        let mut look_at = began_at.after(RECOVERY_INTERVAL);
        let (mut is_listed, mut is_logged) = (false, false);
        loop {
            self.ensure_duty(Duration::from_millis(1_500)).await?;
            if boot_now() >= ask_at {
                ask_at = boot_now().after(ASK_INTERVAL);
                self.ask_missing();
            }
            if boot_now() >= list_at {
                list_at = boot_now().after(LIST_INTERVAL);
                is_listed |= self.read_hosts().await;
            }
            match self.missing_hosts() {
                Some(missing) if is_listed && missing.is_empty() => return Ok(()),
                Some(missing) if is_listed && !std::mem::replace(&mut is_logged, true) => {
                    let fields = json!({ "group": self.record.group, "hosts": missing });
                    journal::event("takeover", "waiting", fields);
                }
                _ => (),
            }
            if boot_now() >= give_up_at {
                return Err(ChangeError::Unconfirmed);
            }
            if self.reason == ChangeReason::Lost && boot_now() >= look_at {
                look_at = boot_now().after(RECOVERY_INTERVAL);
                if self.is_primary_back().await {
                    return Err(ChangeError::Recovered);
                }
            }
            // Woken by a confirmation, or it is time for the next look.
            let _ = timeout(CONFIRM_INTERVAL, self.host.confirmed.notified()).await;
        }
    }

    /// Reads the rows of all hosts. Returns whether the store has answered.
    async fn read_hosts(&self) -> bool {
        let asked_at = boot_now();
        let Some(page) = read_once(&self.host, HOST_TABLE, "confirm").await else { return false };
        adopt_page(&self.host, HOST_TABLE, &page_of(page, true), asked_at);
        true
    }

    /// Names of the hosts that may still use the old primary, as far as the list of hosts shows;
    /// nothing when that cannot be told.
    fn missing_hosts(&self) -> Option<Vec<String>> {
        let (book, confirmations) = (self.host.book.borrow(), self.host.confirmations.borrow());
        let (change, clock) = confirmations.of(&self.record.group).zip(book.lease.clock())?;
        let now = boot_now();
        let missing = change.missing(ConfirmationView {
            hosts: &book.hosts,
            domain: book.primary_domain(&self.record.group),
            store_now: clock.earliest(now),
            now,
        });
        Some(missing.into_iter().map(|record| record.host.clone()).collect())
    }

    /// Tells the hosts that have not confirmed of the mark.
    fn ask_missing(&self) {
        let missing = self.missing_hosts().unwrap_or_default();
        for name in missing.iter().filter(|name| **name != self.host.settings.host) {
            let Some(address) = address_of(&self.host, name) else { continue };
            let marked = PeerMessage::Marked { version: self.version, record: self.record.clone() };
            // A message that is lost is repeated.
            self.host.peers.send(address, marked);
        }
    }

    /// Status of all endpoints of the group that answer.
    async fn statuses(&self) -> Vec<CandidateStatus> {
        let keys: Vec<EndpointKey> = {
            let book = self.host.book.borrow();
            book.endpoints.of_group(&self.record.group).map(|(key, _)| key).collect()
        };
        let asked = keys.into_iter().map(|key| endpoint_status(&self.host, key));
        futures::future::join_all(asked).await.into_iter().flatten().collect()
    }

    /// Waits until a replica has received all that the old primary has, for a while.
    async fn await_catch_up(&self, statuses: Vec<CandidateStatus>) -> Vec<CandidateStatus> {
        let deadline = boot_now().after(CATCH_UP_LIMIT);
        let mut statuses = statuses;
        loop {
            let old = statuses.iter().find(|status| status.id == self.record.primary);
            let Some(last) = old.map(|status| status.received) else { return statuses };
            let is_there = statuses.iter().any(|status| {
                status.is_eligible && status.id != self.record.primary && status.received >= last
            });
            if is_there || boot_now() >= deadline {
                return statuses;
            }
            sleep(STATUS_INTERVAL).await;
            statuses = self.statuses().await;
        }
    }

    async fn promote(&mut self, target: &str) -> Result<(), ChangeError> {
        for _ in 0..4 {
            self.ensure_duty(CALL_LIMIT + Duration::from_millis(200)).await?;
            let call = PromotionCall {
                group: &self.record.group,
                endpoint: target,
                holder: &self.host.settings.host,
                token: self.token,
            };
            let outcome = self.host.control.promote(call, CALL_LIMIT).await;
            self.host.metrics.count_call("promote", &format!("{outcome:?}"));
            journal::event(
                "takeover",
                "promote",
                json!({ "group": self.record.group, "endpoint": target, "token": self.token,
                        "outcome": format!("{outcome:?}") }),
            );
            match outcome {
                PromotionOutcome::Accepted => return Ok(()),
                PromotionOutcome::Refused(409) => return Err(ChangeError::NotPromoted),
                PromotionOutcome::Refused(_) | PromotionOutcome::Unknown => {
                    sleep(STATUS_INTERVAL).await;
                }
            }
        }
        Err(ChangeError::NotPromoted)
    }

    /// Waits until the endpoint leads a term later than `known`.
    async fn await_lead(&mut self, target: &str, known: u64) -> Result<u64, ChangeError> {
        let mut watch = LeadWatch::new(boot_now());
        while !watch.is_over(boot_now()) {
            let key = self.host.book.borrow().endpoints.find(target);
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

    /// Writes the result, again and again while the mark is this host's.
    async fn publish(&mut self, primary: String, term: u64) -> Result<(), ChangeError> {
        let old = self.record.primary.clone();
        let record = GroupRecord { primary, term, change: None, ..self.record.clone() };
        let value = encode(&record).ok_or(ChangeError::Store)?;
        loop {
            let name = RowName { table: GROUP_TABLE, key: &record.group };
            let transaction = RowTransaction {
                expected: vec![(name, self.version)],
                writes: vec![(name, value.clone())],
            };
            let result = self.host.store.transact(&transaction, WRITE_LIMIT).await;
            self.host.note_store("publish", &result);
            match result {
                Ok(TransactionOutcome::Applied { version, .. }) => {
                    self.version = version;
                    self.adopt(record.clone());
                    break;
                }
                Ok(TransactionOutcome::Conflict(page)) => {
                    page.rows.iter().for_each(|row| adopt_row(&self.host, row));
                    return Err(ChangeError::Raced);
                }
                Err(_) => sleep(STATUS_INTERVAL).await,
            }
        }
        if old != record.primary {
            self.demote(&old, term).await;
        }
        Ok(())
    }

    /// Tells the old primary to follow, if it can be reached; otherwise it finds out itself.
    async fn demote(&self, old: &str, term: u64) {
        let key = self.host.book.borrow().endpoints.find(old);
        let Some(key) = key else { return };
        let deadline = boot_now().after(STATUS_LIMIT);
        let Ok(mut borrowed) = acquire(&self.host, key, OWN_NAME, deadline).await else { return };
        let Ok(link) = borrowed.link() else { return };
        let outcome = link.exchange(&line::demote(term), deadline).await;
        let fields = json!({ "endpoint": old, "term": term, "done": outcome.is_ok() });
        journal::event("takeover", "demote", fields);
    }
}
