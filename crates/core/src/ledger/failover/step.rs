//! The next step of a failover, as it follows from the status of the endpoints and from the
//! promotion that may have been called for before.
//!
//! A promotion takes effect some time after its call, also if the coordinator has died meanwhile or
//! never got the answer. Until that time has passed, no other endpoint may become primary: the old
//! one could go on to acknowledge commits that the promoted one lacks.

use std::time::Duration;

use super::choice::promote_best;
use super::{CandidateStatus, UnansweredCandidate, newest_term, successor};
use crate::ledger::absence::AbsentEndpoint;
use crate::ledger::clock::{BootInstant, StoreInstant};
use crate::ledger::endpoint::{EndpointRole, LogPosition};
use crate::ledger::group::{GroupRecord, PromotionRecord};

/// Timeout of a promotion call.
pub const PROMOTION_CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Time for which the kernel still delivers a call that was given up (`TCP_USER_TIMEOUT`).
pub const PROMOTION_DELIVERY_LIMIT: Duration = Duration::from_millis(1_000);
/// Time within which a promotion takes effect once its call has arrived. The customers' endpoints
/// need up to 1 s.
pub const PROMOTION_EFFECT_LIMIT: Duration = Duration::from_millis(2_000);
/// Time after a promotion is recorded within which its calls begin. A later call needs another
/// record.
const RECORD_TERM: Duration = Duration::from_millis(1_000);
/// Time after a promotion is recorded by which it has taken effect, or cannot any more.
pub const PROMOTION_TERM: Duration = RECORD_TERM
    .saturating_add(PROMOTION_CALL_TIMEOUT)
    .saturating_add(PROMOTION_DELIVERY_LIMIT)
    .saturating_add(PROMOTION_EFFECT_LIMIT);

/// What a coordinator knows of a group when it decides on the next step.
#[derive(Clone, Copy)]
pub struct ChangeView<'s, 'v> {
    /// Row of the group.
    pub record: &'v GroupRecord,
    /// Whether the row names the latest primary of which any host knows.
    pub is_verified: bool,
    /// Status of the endpoints that answered.
    pub statuses: &'s [CandidateStatus],
    /// The other registered endpoints.
    pub unanswered: &'s [UnansweredCandidate],
    /// Endpoints that are not registered any more and may come back with their log.
    pub absent: &'v [AbsentEndpoint],
    /// Replicas that have received a commit before it is acknowledged.
    pub sync_replicas: usize,
    /// Newest position of the old primary of which this host knows that it was acknowledged.
    pub acknowledged: LogPosition,
    /// Whether [`STATUS_WAIT_LIMIT`](super::choice::STATUS_WAIT_LIMIT) has passed.
    pub is_status_wait_over: bool,
    /// Whether [`CATCH_UP_LIMIT`](super::choice::CATCH_UP_LIMIT) has passed.
    pub is_catch_up_over: bool,
    /// Whether the old primary has to be replaced even if it answers.
    pub is_leaving: bool,
    /// Whether the platform has accepted a call of this process for the recorded promotion.
    pub is_accepted: bool,
    /// Whether the recorded promotion can no longer take effect.
    pub is_call_over: bool,
    /// Time of the decision.
    pub now: BootInstant,
    /// Number of primaries in a failure domain.
    pub primaries: &'v dyn Fn(&str) -> usize,
}

/// Next step of a failover.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChangeStep<'a> {
    /// This endpoint is primary in a later term: publish it.
    Publish(&'a CandidateStatus),
    /// The old primary leads, and nothing that was called for can replace it: publish it again.
    Keep(&'a CandidateStatus),
    /// Record and call for the promotion of this endpoint.
    Promote(&'a CandidateStatus),
    /// Ask the endpoints again: a promotion may still take effect, or an endpoint that has not
    /// answered, or not caught up, may be the better choice.
    Wait,
    /// No endpoint may be promoted.
    NoCandidate,
    /// An endpoint that is away may be the only one that has some acknowledged commits, or a later
    /// term.
    Withhold,
}

impl PromotionRecord {
    /// A record of the promotion of an endpoint that was chosen by `view`, for calls that begin soon
    /// after `now`.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use tanagerdeal_core::ledger::clock::{BootInstant, StoreInstant};
    /// use tanagerdeal_core::ledger::endpoint::LogPosition;
    /// use tanagerdeal_core::ledger::failover::step::ChangeView;
    /// use tanagerdeal_core::ledger::group::{GroupRecord, PromotionRecord};
    ///
    /// let (group, primary) = ("g1".to_owned(), "e1".to_owned());
    /// let (change, term_start) = (None, None);
    /// let former_starts = Vec::new();
    /// let record = GroupRecord {
    ///     group,
    ///     term: 4,
    ///     primary,
    ///     change,
    ///     term_start,
    ///     verified_era: 1,
    ///     former_starts,
    /// };
    /// let view = ChangeView {
    ///     record: &record,
    ///     is_verified: true,
    ///     statuses: &[],
    ///     unanswered: &[],
    ///     absent: &[],
    ///     sync_replicas: 0,
    ///     acknowledged: LogPosition::default(),
    ///     is_status_wait_over: false,
    ///     is_catch_up_over: false,
    ///     is_leaving: false,
    ///     is_accepted: false,
    ///     is_call_over: true,
    ///     now: BootInstant::from_micros(0),
    ///     primaries: &|_| 0,
    /// };
    /// let now = StoreInstant::from_millis(0);
    /// let promotion = PromotionRecord::new("e2", view, 1, now);
    /// assert_eq!(promotion.known_term, 4);
    /// assert!(promotion.covers_call(now.after(Duration::from_millis(1_000))));
    /// assert!(!promotion.covers_call(now.after(Duration::from_millis(1_001))));
    /// ```
    pub fn new(endpoint: &str, view: ChangeView<'_, '_>, era: u64, now: StoreInstant) -> Self {
        let is_silent = |id: &str| view.statuses.iter().all(|status| status.id != id);
        let is_uncertain = view.record.promotion().is_some_and(|former| {
            former.is_uncertain || former.endpoint != endpoint && is_silent(&former.endpoint)
        });
        let is_uncertain = is_uncertain || may_lead_unseen(view);
        Self {
            endpoint: endpoint.to_owned(),
            known_term: newest_term(view.statuses).max(view.record.term),
            effective_until: latest_effect(now.after(RECORD_TERM)),
            is_uncertain,
            era,
        }
    }

    /// Whether a call that begins at `now` takes effect in the recorded time, if at all.
    pub fn covers_call(&self, now: StoreInstant) -> bool {
        latest_effect(now) <= self.effective_until
    }
}

/// Latest time at which a call that begins at `now` takes effect.
fn latest_effect(now: StoreInstant) -> StoreInstant {
    now.after(PROMOTION_CALL_TIMEOUT + PROMOTION_DELIVERY_LIMIT + PROMOTION_EFFECT_LIMIT)
}

/// The endpoint that leads a group whose row is not verified, if the status of all its endpoints
/// shows that: none of them may lead a later term.
///
/// The caller waits until no promotion that is unknown to it can take effect any more.
///
/// ```
/// use tanagerdeal_core::ledger::failover::step::sole_leader;
///
/// assert!(sole_leader(1, &[], &[]).is_none());
/// ```
pub fn sole_leader<'a>(
    known_term: u64,
    statuses: &'a [CandidateStatus],
    unanswered: &[UnansweredCandidate],
) -> Option<&'a CandidateStatus> {
    let newest = newest_term(statuses);
    let leads = |status: &&CandidateStatus| {
        status.role == EndpointRole::Primary && status.term == newest && newest >= known_term
    };
    statuses.iter().find(leads).filter(|_| unanswered.is_empty())
}

/// The status of the old primary, if it leads and no endpoint knows of a later term.
///
/// ```
/// use tanagerdeal_core::ledger::failover::step::recovered_primary;
///
/// assert!(recovered_primary("e1", &[]).is_none());
/// ```
pub fn recovered_primary<'a>(
    primary: &str,
    statuses: &'a [CandidateStatus],
) -> Option<&'a CandidateStatus> {
    let newest = newest_term(statuses);
    statuses.iter().find(|status| {
        status.id == primary && status.role == EndpointRole::Primary && status.term == newest
    })
}

/// Decides on the next step of a failover after all hosts have left the old primary.
///
/// An endpoint that was to be promoted and does not answer may lead unseen. Then only another
/// promotion gives a later term, and the old primary is a candidate like others: the platform
/// accepts a call for the present primary and changes nothing.
///
/// ```
/// use tanagerdeal_core::ledger::clock::BootInstant;
/// use tanagerdeal_core::ledger::endpoint::LogPosition;
/// use tanagerdeal_core::ledger::failover::step::{ChangeStep, ChangeView, next_step};
/// use tanagerdeal_core::ledger::group::GroupRecord;
///
/// let (group, primary) = ("g1".to_owned(), "e1".to_owned());
/// let (change, term_start) = (None, None);
/// let former_starts = Vec::new();
/// let record = GroupRecord {
///     group,
///     term: 1,
///     primary,
///     change,
///     term_start,
///     verified_era: 1,
///     former_starts,
/// };
/// let view = ChangeView {
///     record: &record,
///     is_verified: true,
///     statuses: &[],
///     unanswered: &[],
///     absent: &[],
///     sync_replicas: 0,
///     acknowledged: LogPosition::default(),
///     is_status_wait_over: false,
///     is_catch_up_over: false,
///     is_leaving: false,
///     is_accepted: false,
///     is_call_over: true,
///     now: BootInstant::from_micros(0),
///     primaries: &|_| 0,
/// };
/// assert_eq!(next_step(view), ChangeStep::NoCandidate);
/// ```
pub fn next_step<'s>(view: ChangeView<'s, '_>) -> ChangeStep<'s> {
    let found = successor(view.statuses, known_term(view));
    match (view.record.promotion(), found) {
        (Some(promotion), found) => after_call(view, promotion, found),
        (None, _) if may_lead_unseen(view) => promote_best(view.statuses.iter(), view),
        (None, Some(found)) => ChangeStep::Publish(found),
        (None, None) => choose(view),
    }
}

/// Whether an endpoint that has not answered may lead a later term of which no host knows.
fn may_lead_unseen(view: ChangeView<'_, '_>) -> bool {
    !view.is_verified && !view.unanswered.is_empty()
}

/// The next step when a promotion may have been called for. `found` leads a later term.
fn after_call<'s>(
    view: ChangeView<'s, '_>,
    promotion: &PromotionRecord,
    found: Option<&'s CandidateStatus>,
) -> ChangeStep<'s> {
    let named = view.statuses.iter().find(|status| status.id == promotion.endpoint);
    let is_named = |found: &CandidateStatus| found.id == promotion.endpoint;
    match (named, found) {
        (_, Some(found)) if is_named(found) => ChangeStep::Publish(found),
        // The accepted call has changed nothing, so it was for the present primary.
        (Some(named), _) if view.is_call_over && view.is_accepted && leads(named, view) => {
            ChangeStep::Publish(named)
        }
        // The promotion did not take effect and cannot any more.
        (Some(_), Some(found)) if view.is_call_over && !promotion.is_uncertain => {
            ChangeStep::Publish(found)
        }
        (Some(_), None) if view.is_call_over && !promotion.is_uncertain => choose(view),
        _ if view.is_call_over => promote_best(view.statuses.iter(), view),
        // Calls for the same endpoint again, unless the old primary can be kept after the wait.
        (Some(named), None)
            if !view.is_accepted && named.is_eligible && kept_primary(view).is_none() =>
        {
            ChangeStep::Promote(named)
        }
        _ => ChangeStep::Wait,
    }
}

/// The next step when nothing that was called for can take effect.
fn choose<'s>(view: ChangeView<'s, '_>) -> ChangeStep<'s> {
    let others = view.statuses.iter().filter(|status| !is_old_primary(view.record, status));
    kept_primary(view).map_or_else(|| promote_best(others, view), ChangeStep::Keep)
}

/// The old primary, if it leads and does not have to be replaced.
fn kept_primary<'s>(view: ChangeView<'s, '_>) -> Option<&'s CandidateStatus> {
    recovered_primary(&view.record.primary, view.statuses).filter(|_| !view.is_leaving)
}

/// Whether an endpoint is primary and none knows of a later term.
pub(super) fn leads(status: &CandidateStatus, view: ChangeView<'_, '_>) -> bool {
    status.role == EndpointRole::Primary && status.term == newest_term(view.statuses)
}

/// Term before the failover; a primary with a later term is the successor.
fn known_term(view: ChangeView<'_, '_>) -> u64 {
    let ChangeView { record, statuses, .. } = view;
    let old = || statuses.iter().find(|status| is_old_primary(record, status));
    match (record.promotion(), record.term) {
        (Some(promotion), _) => promotion.known_term,
        // The term of the first primary was never read. Unless it answers, any primary is later.
        (None, 0) => old().map_or(0, |status| status.term),
        (None, term) => term,
    }
}

/// Whether an endpoint is the one that the row names, and still sees itself as primary.
pub(super) fn is_old_primary(record: &GroupRecord, status: &CandidateStatus) -> bool {
    status.id == record.primary && status.role == EndpointRole::Primary
}
