//! One promotion by this host: its phase, and the members that have granted its term.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use tanagerdeal_wire::member::{LogPosition, MemberStatus, TermReply, TermRequest};

use crate::message::EndpointKey;
use crate::routing::{EndpointTable, GroupState, advance_term};

/// Time after which a command without an answer is repeated; commands can be repeated safely.
const REPEAT_AFTER: Duration = Duration::from_millis(75);

/// Time that members which have not answered get once a majority has granted the fence, or once a
/// refusal has shown that none will. It covers two repetitions, so that a lost packet does not hide
/// the furthest member.
const STRAGGLER_WAIT: Duration = Duration::from_millis(200);

/// Longest time for a majority to grant the fence, and for the chosen member to take over.
const FENCE_LIMIT: Duration = Duration::from_millis(1_500);
const TAKEOVER_LIMIT: Duration = Duration::from_millis(700);

/// A promotion in progress.
pub(crate) struct Promotion {
    pub(crate) request: TermRequest,
    pub(crate) phase: PromotionPhase,
    pub(crate) phase_since: Instant,
    /// When the commands of the phase were first sent, and when last.
    pub(crate) sent: Option<(Instant, Instant)>,
    pub(crate) grants: BTreeMap<EndpointKey, MemberStatus>,
    refusals: BTreeSet<EndpointKey>,
    granted_at: Option<Instant>,
    refused_at: Option<Instant>,
}

/// How the phase of a promotion stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PhaseOutcome {
    /// It goes on.
    Open,
    /// Another promoter of the same term holds grants too, and no majority is left for this one.
    Split,
    /// It was refused by all that could have granted, or it took too long.
    Failed,
}

/// What a promotion waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PromotionPhase {
    /// Planned: running statements finish and the target catches up, while hosts place no writes.
    Settling {
        /// The member that is to take over.
        target: EndpointKey,
    },
    /// Planned: the old primary promises the new term, after which its log ends.
    Closing {
        /// The member that is to take over.
        target: EndpointKey,
        /// The old primary.
        primary: EndpointKey,
    },
    /// Planned: the target receives the rest of the old primary's log.
    CatchingUp {
        /// The member that is to take over.
        target: EndpointKey,
        /// End of the old primary's log.
        position: LogPosition,
    },
    /// A majority promises the new term.
    Fencing,
    /// The grants of the term are split: another term is tried when the time has come.
    Retreating {
        /// When to try.
        until: Instant,
    },
    /// The member takes over.
    Promoting {
        /// The member.
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

    /// Takes the answer to a fence.
    pub(crate) fn note_fence(&mut self, now: Instant, endpoint: EndpointKey, reply: TermReply) {
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

    /// Whether commands are to be sent (again); notes that they are.
    pub(crate) fn take_send(&mut self, now: Instant) -> bool {
        let is_due = self.sent.is_none_or(|(_, last)| now >= last + REPEAT_AFTER);
        if is_due {
            let first = self.sent.map_or(now, |(first, _)| first);
            self.sent = Some((first, now));
        }
        is_due
    }

    /// Whether fencing can end: a majority has granted, and the reachable rest had time to.
    pub(crate) fn is_fenced(&mut self, now: Instant, majority: usize, reachable: usize) -> bool {
        if self.grants.len() < majority {
            return false;
        }
        let granted_at = *self.granted_at.get_or_insert(now);
        let answers = self.grants.len() + self.refusals.len();
        answers >= reachable || now >= granted_at + STRAGGLER_WAIT
    }

    /// Whether the phase can still succeed.
    pub(crate) fn outcome(&self, now: Instant, majority: usize, reachable: usize) -> PhaseOutcome {
        let elapsed = now.saturating_duration_since(self.phase_since);
        let is_failed = match self.phase {
            PromotionPhase::Fencing => return self.fence_outcome(now, majority, reachable),
            PromotionPhase::Promoting { .. } => elapsed >= TAKEOVER_LIMIT,
            PromotionPhase::Retreating { .. } => false,
            _ => !self.refusals.is_empty(),
        };
        if is_failed { PhaseOutcome::Failed } else { PhaseOutcome::Open }
    }

    /// Two promoters that start at once may split the members; neither waits for one that is down.
    ///
    /// One that holds no grant leaves the group to the other, and finds out first whether only the
    /// answer that reports its grant was lost.
    fn fence_outcome(&self, now: Instant, majority: usize, reachable: usize) -> PhaseOutcome {
        let is_beaten = self.refusals.len() + majority > reachable && self.grants.len() < majority;
        let is_decided = self.grants.len() + self.refusals.len() >= reachable
            || self.refused_at.is_some_and(|at| now >= at + STRAGGLER_WAIT);
        match self.refused_at {
            _ if now.saturating_duration_since(self.phase_since) >= FENCE_LIMIT => {
                PhaseOutcome::Failed
            }
            Some(_) if is_beaten && !self.grants.is_empty() => PhaseOutcome::Split,
            Some(_) if is_beaten && is_decided => PhaseOutcome::Failed,
            _ => PhaseOutcome::Open,
        }
    }

    /// Whether enough members have refused that another promoter may hold a majority.
    pub(crate) fn may_be_beaten(&self, majority: usize) -> bool {
        self.refusals.len() >= majority
    }
}

/// The member with the furthest log among those that have granted a fence.
///
/// Of equal logs, one that may get new work is taken, and the old primary last, because it has just
/// been found failing.
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
