//! Promotes another endpoint: records the promotion, calls for it, and waits until it took effect.

use std::time::Duration;

use serde_json::{Value, json};
use tanagerdeal_adapter::control::{CallOutcome, DutyCredential, PromotionCall};
use tanagerdeal_core::ledger::absence::AbsentEndpoint;
use tanagerdeal_core::ledger::clock::BootInstant;
use tanagerdeal_core::ledger::endpoint::{EndpointKey, EndpointRole};
use tanagerdeal_core::ledger::failover::choice::{CATCH_UP_LIMIT, STATUS_WAIT_LIMIT};
use tanagerdeal_core::ledger::failover::step::{
    ChangeStep, ChangeView, PROMOTION_CALL_TIMEOUT, PROMOTION_EFFECT_LIMIT, next_step,
};
use tanagerdeal_core::ledger::failover::{
    CandidateStatus, PromotionTimeout, UnansweredCandidate, newest_term,
};
use tanagerdeal_core::ledger::group::PromotionRecord;
use tanagerdeal_core::ledger::position::PositionHistory;
use tokio::time::sleep;

use super::change::{ChangeError, PrimaryChange, QUESTION_LEASE_TIME};
use super::{ChangeReason, STATUS_INTERVAL, StatusAnswer, endpoint_status};
use crate::ledger::context::{HostContext, boot_now};
use crate::ledger::journal;
use crate::ledger::observations;

/// Time for which the failover lease must still run when a promotion call begins.
const CALL_LEASE_TIME: Duration = PROMOTION_CALL_TIMEOUT.saturating_add(Duration::from_millis(200));
/// Most writes of the mark before a call; a slow write makes another one necessary.
const MAX_MARK_WRITES: usize = 3;
/// Most calls for one promotion.
const MAX_CALLS: usize = 4;
/// Most promotions in one attempt to replace a primary.
const MAX_PROMOTIONS: usize = 2;

/// Answers of the endpoints of a group to requests for their status.
#[derive(Default)]
pub(super) struct GroupStatuses {
    /// Status of the endpoints that have told it.
    pub(super) answered: Vec<CandidateStatus>,
    /// The other endpoints.
    pub(super) unanswered: Vec<UnansweredCandidate>,
}

impl GroupStatuses {
    /// Asks all endpoints of a group for their status.
    pub(super) async fn request(host: &HostContext, group: &str) -> Self {
        let keys: Vec<EndpointKey> = {
            let state = host.state.borrow();
            state.endpoints.of_group(group).map(|(key, _)| key).collect()
        };
        let asked = keys.into_iter().map(|key| endpoint_status(host, key));
        let mut statuses = Self::default();
        for answer in futures::future::join_all(asked).await.into_iter().flatten() {
            match answer {
                StatusAnswer::Told(status) => statuses.answered.push(status),
                StatusAnswer::Untold(candidate) => statuses.unanswered.push(candidate),
            }
        }
        statuses
    }

    /// Identities of the endpoints that have not told their status.
    pub(super) fn unanswered_ids(&self) -> Vec<String> {
        self.unanswered.iter().map(|candidate| candidate.status.id.clone()).collect()
    }
}

/// What came of the calls for a recorded promotion.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CallProgress {
    /// Whether a call may have been made of which this process has no answer.
    has_unanswered: bool,
    /// When the platform accepted the last call.
    accepted_at: Option<BootInstant>,
}

impl CallProgress {
    /// Progress of a promotion that a former coordinator has recorded.
    pub(super) fn of_predecessor(is_recorded: bool) -> Self {
        Self { has_unanswered: is_recorded, accepted_at: None }
    }

    /// When the promotion can no longer take effect, if the answers tell.
    fn effective_until(&self) -> Option<BootInstant> {
        let accepted_at = self.accepted_at.filter(|_| !self.has_unanswered)?;
        Some(accepted_at.after(PROMOTION_EFFECT_LIMIT))
    }
}

impl PrimaryChange {
    /// Takes steps until an endpoint leads a later term. Returns its status.
    pub(super) async fn await_new_primary(&mut self) -> Result<CandidateStatus, ChangeError> {
        let mut promotions = 0;
        self.host.state.borrow_mut().note_lost_primary(&self.record, boot_now());
        self.status_wait_until = boot_now().after(STATUS_WAIT_LIMIT);
        self.catch_up_until = boot_now().after(CATCH_UP_LIMIT);
        loop {
            self.ensure_failover_lease(QUESTION_LEASE_TIME).await?;
            self.check_era()?;
            let statuses = self.statuses().await;
            if !statuses.unanswered.is_empty() {
                observations::refresh(&self.host, &self.record.group).await;
            }
            match self.decide(&statuses, next_step) {
                ChangeStep::Publish(found) => return Ok(found.clone()),
                ChangeStep::Keep(_) => return Err(ChangeError::Recovered),
                ChangeStep::NoCandidate => return Err(ChangeError::NoCandidate),
                ChangeStep::Withhold => {
                    let fields = self.decide(&statuses, choice_fields);
                    journal::event("takeover", "withheld", fields);
                    return Err(ChangeError::Withheld);
                }
                ChangeStep::Promote(_) if promotions == MAX_PROMOTIONS => {
                    return Err(ChangeError::NotPromoted);
                }
                ChangeStep::Promote(chosen) => {
                    promotions += 1;
                    self.promote(chosen, &statuses).await?;
                    if let Some(status) = self.await_promotion(chosen, &statuses).await {
                        return Ok(status);
                    }
                }
                ChangeStep::Wait => {
                    self.log_unanswered(&statuses);
                    sleep(STATUS_INTERVAL).await;
                }
            }
        }
    }

    /// Logs the endpoints that are waited for, once for each set of them.
    fn log_unanswered(&mut self, statuses: &GroupStatuses) {
        let endpoints = statuses.unanswered_ids();
        if !endpoints.is_empty() && endpoints != self.logged_unanswered {
            let fields = json!({ "group": self.record.group, "endpoints": endpoints });
            journal::event("takeover", "unanswered", fields);
        }
        self.logged_unanswered = endpoints;
    }

    /// What this host knows, to be passed to a decision.
    fn decide<'s, T>(
        &self,
        statuses: &'s GroupStatuses,
        decision: impl FnOnce(ChangeView<'s, '_>) -> T,
    ) -> T {
        let (state, now) = (self.host.state.borrow(), boot_now());
        let group = &self.record.group;
        let newest = state.positions.get(group).and_then(PositionHistory::newest);
        let absent: Vec<AbsentEndpoint> =
            state.endpoints.absences.of_group(group).cloned().collect();
        decision(ChangeView {
            record: &self.record,
            is_verified: self.is_verified,
            statuses: &statuses.answered,
            unanswered: &statuses.unanswered,
            absent: &absent,
            sync_replicas: state.sync_replicas(group, now),
            acknowledged: newest.map(|newest| newest.position).unwrap_or_default(),
            is_status_wait_over: now >= self.status_wait_until,
            is_catch_up_over: now >= self.catch_up_until,
            is_leaving: self.reason == ChangeReason::Leaving,
            is_accepted: self.calls.accepted_at.is_some(),
            is_call_over: self.is_call_over(),
            now,
            primaries: &|domain| state.primaries_in(domain, group),
        })
    }

    /// Whether the recorded promotion can no longer take effect.
    fn is_call_over(&self) -> bool {
        let (Some(promotion), now) = (self.record.promotion(), boot_now()) else { return true };
        let clock = self.host.state.borrow().lease.clock();
        self.calls.effective_until().is_some_and(|until| now > until)
            || clock.is_some_and(|clock| clock.earliest(now) > promotion.effective_until)
    }

    /// Asks all endpoints of the group for their status.
    pub(super) async fn statuses(&self) -> GroupStatuses {
        GroupStatuses::request(&self.host, &self.record.group).await
    }

    /// Records the promotion of an endpoint and calls for it until the platform accepts it.
    async fn promote(
        &mut self,
        chosen: &CandidateStatus,
        statuses: &GroupStatuses,
    ) -> Result<(), ChangeError> {
        let mut fields = self.decide(statuses, choice_fields);
        (fields["endpoint"], fields["token"]) = (json!(chosen.id), json!(self.token));
        journal::event("takeover", "chosen", fields);
        let is_chosen = |former: &PromotionRecord| former.endpoint == chosen.id;
        if !self.record.promotion().is_some_and(is_chosen) || self.is_call_over() {
            self.calls = CallProgress::default();
        }
        for _ in 0..MAX_CALLS {
            self.record_promotion(&chosen.id, statuses).await?;
            match self.call(&chosen.id).await {
                CallOutcome::Accepted => {
                    self.calls.accepted_at = Some(boot_now());
                    return Ok(());
                }
                CallOutcome::Refused(409) => break,
                CallOutcome::Unknown => self.calls.has_unanswered = true,
                CallOutcome::Refused(_) => (),
            }
            sleep(STATUS_INTERVAL).await;
        }
        let is_uncertain = self.record.promotion().is_some_and(|promotion| promotion.is_uncertain);
        if !self.calls.has_unanswered && !is_uncertain {
            self.write_mark(None).await?;
        }
        Err(ChangeError::NotPromoted)
    }

    /// Makes sure that the row records the promotion, and that the failover lease is valid, for a
    /// call that begins now.
    async fn record_promotion(
        &mut self,
        endpoint: &str,
        statuses: &GroupStatuses,
    ) -> Result<(), ChangeError> {
        for _ in 0..MAX_MARK_WRITES {
            let now = boot_now();
            let clock = self.host.state.borrow().lease.clock().ok_or(ChangeError::Store)?;
            let store_now = clock.latest(now);
            let recorded = self.record.promotion().filter(|promotion| {
                promotion.endpoint == endpoint && promotion.covers_call(store_now)
            });
            match recorded.cloned() {
                Some(_) if now.after(CALL_LEASE_TIME) < self.failover_lease_until => {
                    return self.check_era();
                }
                Some(promotion) => self.write_mark(Some(promotion)).await?,
                None => {
                    let era = self.host.store.era();
                    let promotion = self.decide(statuses, |view| {
                        PromotionRecord::new(endpoint, view, era, store_now)
                    });
                    self.write_mark(Some(promotion)).await?;
                }
            }
        }
        Err(ChangeError::Store)
    }

    async fn call(&self, endpoint: &str) -> CallOutcome {
        let call = PromotionCall { group: &self.record.group, endpoint };
        let duty = DutyCredential { holder: &self.host.settings.host, token: self.token };
        let outcome = self.host.control.promote(call, duty, PROMOTION_CALL_TIMEOUT).await;
        self.host.metrics.count_call("promote", &format!("{outcome:?}"));
        let fields = json!({ "group": self.record.group, "endpoint": endpoint,
            "token": self.token, "outcome": format!("{outcome:?}") });
        journal::event("takeover", "promote", fields);
        outcome
    }

    /// Waits until the endpoint leads a later term than those known, and returns its status. `None`
    /// if it does not in time, or does not answer.
    async fn await_promotion(
        &self,
        chosen: &CandidateStatus,
        statuses: &GroupStatuses,
    ) -> Option<CandidateStatus> {
        let known_term = newest_term(&statuses.answered);
        let mut watch = PromotionTimeout::new(boot_now());
        while !watch.is_over(boot_now()) && !self.is_call_over() {
            let key = self.host.state.borrow().endpoints.find(&chosen.id);
            let answer = match key {
                Some(key) => endpoint_status(&self.host, key).await,
                None => None,
            };
            match answer {
                Some(StatusAnswer::Told(status))
                    if status.role == EndpointRole::Primary && status.term > known_term =>
                {
                    return Some(status);
                }
                Some(StatusAnswer::Untold(candidate)) if !candidate.is_running => (),
                Some(_) => watch.note_answer(boot_now()),
                None => (),
            }
            sleep(STATUS_INTERVAL).await;
        }
        None
    }
}

/// What a choice is made from, as it is logged.
fn choice_fields(view: ChangeView<'_, '_>) -> Value {
    let candidates = view.statuses.iter().map(|status| {
        json!({ "endpoint": status.id, "received": status.received.to_string(),
                "eligible": status.is_eligible })
    });
    let unanswered = view.unanswered.iter().map(|candidate| &candidate.status.id);
    let absent = view.absent.iter().map(|absent| &absent.id);
    json!({ "group": view.record.group, "sync_replicas": view.sync_replicas,
        "seen": view.acknowledged.to_string(), "candidates": candidates.collect::<Vec<_>>(),
        "unanswered": unanswered.collect::<Vec<_>>(), "absent": absent.collect::<Vec<_>>() })
}
