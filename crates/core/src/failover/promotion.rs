//! State of a promotion: its phase, and the members that have granted or refused its term.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use tanagerdeal_wire::member::{LogPosition, MemberStatus, TermReply, TermRequest};

use crate::message::EndpointKey;
use crate::routing::{EndpointTable, GroupState, advance_term};

/// Interval at which a command without a reply is retried. Commands are idempotent.
const RETRY_INTERVAL: Duration = Duration::from_millis(75);

/// Time to wait for the remaining replies after a majority has granted the fence, or after the
/// first refusal. It covers two retries, so that a lost packet does not hide the member with the
/// most advanced log.
const STRAGGLER_TIMEOUT: Duration = Duration::from_millis(200);

/// Time limits for a majority to grant the fence, and for the chosen member to take over.
const FENCE_TIMEOUT: Duration = Duration::from_millis(1_500);
const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(700);

/// A promotion in progress.
pub(crate) struct Promotion {
    pub(crate) request: TermRequest,
    pub(crate) phase: PromotionPhase,
    pub(crate) phase_since: Instant,
    /// When the commands of the phase were first and last sent. `None` before they are sent.
    pub(crate) sent: Option<(Instant, Instant)>,
    pub(crate) grants: BTreeMap<EndpointKey, MemberStatus>,
    refusals: BTreeSet<EndpointKey>,
    granted_at: Option<Instant>,
    refused_at: Option<Instant>,
}

/// Result of the current phase of a promotion.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PhaseOutcome {
    /// Not decided yet.
    Pending,
    /// Both this promoter and another one hold grants of the term, and no majority is left for
    /// this one.
    Split,
    /// A majority can no longer grant the term and no grant is held, a command of a switchover was
    /// refused, or the time limit has passed.
    Failed,
}

/// Phase of a promotion, named after what it waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PromotionPhase {
    /// Planned switchover: running statements finish and the target catches up, while hosts place
    /// no writes.
    Draining {
        /// The member that is to take over.
        target: EndpointKey,
    },
    /// Planned switchover: the old primary promises the new term, which ends its log.
    FencingPrimary {
        /// The member that is to take over.
        target: EndpointKey,
        /// The old primary.
        primary: EndpointKey,
    },
    /// Planned switchover: the target receives the rest of the old primary's log.
    CatchingUp {
        /// The member that is to take over.
        target: EndpointKey,
        /// End of the old primary's log.
        position: LogPosition,
    },
    /// A majority promises the new term.
    Fencing,
    /// After a split vote: another term is tried after a backoff.
    BackingOff {
        /// When the next term is tried.
        until: Instant,
    },
    /// The chosen member takes over.
    Promoting {
        /// The member that is to take over.
        target: EndpointKey,
    },
}

impl Promotion {
    pub(crate) fn new(now: Instant, request: TermRequest, phase: PromotionPhase) -> Self {
        Self {
            request,
            phase,
            phase_since: now,
            sent: None,
            grants: BTreeMap::new(),
            refusals: BTreeSet::new(),
            granted_at: None,
            refused_at: None,
        }
    }

    pub(crate) fn enter(&mut self, now: Instant, phase: PromotionPhase) {
        (self.phase, self.phase_since, self.sent) = (phase, now, None);
    }

    /// Records a member's reply to a fence.
    pub(crate) fn record_fence_reply(
        &mut self,
        now: Instant,
        endpoint: EndpointKey,
        reply: TermReply,
    ) {
        match reply.granted {
            true => {
                self.grants.insert(endpoint, reply.status);
            }
            false => {
                self.refusals.insert(endpoint);
                self.refused_at.get_or_insert(now);
            }
        }
    }

    /// Whether commands are due, for the first time or as a retry. If so, records them as sent.
    pub(crate) fn record_send_if_due(&mut self, now: Instant) -> bool {
        let is_due = self.sent.is_none_or(|(_, last)| now >= last + RETRY_INTERVAL);
        if is_due {
            let first = self.sent.map_or(now, |(first, _)| first);
            self.sent = Some((first, now));
        }
        is_due
    }

    /// Whether fencing is complete: a majority has granted the term, and the other reachable
    /// members have answered or had time to.
    pub(crate) fn is_fenced(&mut self, now: Instant, majority: usize, reachable: usize) -> bool {
        if self.grants.len() < majority {
            return false;
        }
        let granted_at = *self.granted_at.get_or_insert(now);
        let answers = self.grants.len() + self.refusals.len();
        answers >= reachable || now >= granted_at + STRAGGLER_TIMEOUT
    }

    /// Whether the phase can still succeed.
    ///
    /// `majority` and `reachable` are numbers of members.
    pub(crate) fn outcome(&self, now: Instant, majority: usize, reachable: usize) -> PhaseOutcome {
        let elapsed = now.saturating_duration_since(self.phase_since);
        let is_failed = match self.phase {
            PromotionPhase::Fencing => return self.fence_outcome(now, majority, reachable),
            PromotionPhase::Promoting { .. } => elapsed >= TAKEOVER_TIMEOUT,
            PromotionPhase::BackingOff { .. } => false,
            _ => !self.refusals.is_empty(),
        };
        if is_failed { PhaseOutcome::Failed } else { PhaseOutcome::Pending }
    }

    /// Two promoters that start at the same time may cause a split vote. Neither waits for a member
    /// that is down.
    ///
    /// A promoter that holds no grant gives up in favour of the other one. It first waits for the
    /// remaining replies, because a reply that reports a grant may have been lost.
    fn fence_outcome(&self, now: Instant, majority: usize, reachable: usize) -> PhaseOutcome {
        let is_majority_lost =
            self.refusals.len() + majority > reachable && self.grants.len() < majority;
        let is_decided = self.grants.len() + self.refusals.len() >= reachable
            || self.refused_at.is_some_and(|at| now >= at + STRAGGLER_TIMEOUT);
        match self.refused_at {
            _ if now.saturating_duration_since(self.phase_since) >= FENCE_TIMEOUT => {
                PhaseOutcome::Failed
            }
            Some(_) if is_majority_lost && !self.grants.is_empty() => PhaseOutcome::Split,
            Some(_) if is_majority_lost && is_decided => PhaseOutcome::Failed,
            _ => PhaseOutcome::Pending,
        }
    }

    /// Whether so many members have refused that another promoter may hold a majority.
    pub(crate) fn other_may_hold_majority(&self, majority: usize) -> bool {
        self.refusals.len() >= majority
    }
}

/// The member with the most advanced log among those that have granted the fence.
///
/// Among equal logs, members that may get new work are preferred, and the old primary comes last,
/// because it has just failed.
pub(crate) fn choose_target(
    endpoints: &EndpointTable,
    group: &GroupState,
    grants: &BTreeMap<EndpointKey, MemberStatus>,
) -> Option<EndpointKey> {
    let members = grants.iter().filter_map(|(key, status)| {
        let member = endpoints.members.get(*key)?;
        let end = advance_term(&status.term_history, status.received);
        let is_new = group.primary != Some(*key);
        Some((end, !endpoints.is_withheld(member), is_new, *key))
    });
    members.max().map(|(.., key)| key)
}
