//! Suspicion of failed primaries, and the decision to start a promotion.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use tanagerdeal_wire::GroupName;

use super::super::HostState;
use super::{follow, promote};
use crate::failover::{
    MAX_RUN_GAP, PAUSE_THRESHOLD, PeerView, Promotion, PromotionPhase, is_agreed, rank_among,
    track_since,
};
use crate::message::{EndpointKey, GroupKey, HostOutput};
use crate::profile::SuspicionPolicy;
use crate::routing::{EndpointTable, GroupState};

/// Time that the promoter of a fenced group has before another host starts a new promotion. Without
/// message loss, a promotion takes less than 100 ms.
const FENCE_GRACE: Duration = Duration::from_millis(500);

/// Delay per rank before a planned switchover. It exceeds the duration of a switchover, so that
/// only one host runs it.
const SWITCHOVER_RANK_DELAY: Duration = Duration::from_secs(2);

/// Why a promotion starts.
enum PromotionReason {
    /// The failure domains agree that the primary has failed.
    Failed,
    /// Members have promised a term that got no primary.
    NoPrimary,
    /// The primary may get no new work, and this member is to take over.
    Planned(EndpointKey),
}

/// Accounts for the time since the last run. After a pause of this host, its suspicions and
/// promotions are dropped, and it has to probe the members again, because other hosts may have
/// acted meanwhile. After a shorter gap, timers are moved forward by the excess.
pub(super) fn handle_gap(state: &mut HostState, now: Instant) {
    let gap = state.failovers.record_run(now);
    if gap >= PAUSE_THRESHOLD {
        state.endpoints.shift_silence(|_| now);
        state.failovers.reset();
    } else if gap > MAX_RUN_GAP {
        let excess = gap - MAX_RUN_GAP;
        state.endpoints.shift_silence(|since| (since + excess).min(now));
        state.failovers.watches.values_mut().for_each(|watch| watch.shift_timers(now, excess));
    }
}

/// Checks the primaries of all watched groups, and starts or advances promotions.
pub(super) fn run(
    state: &mut HostState,
    now: Instant,
    view: impl Fn(&HostState, &GroupName, u64) -> PeerView,
    outputs: &mut Vec<HostOutput>,
) {
    let keys: Vec<_> = state.endpoints.groups.keys().collect();
    for key in keys {
        let is_watcher = state.failovers.plan.is_watcher(key, &state.profile.identity.host);
        let watch = state.failovers.watches.get(key);
        if !is_watcher && watch.is_none_or(|watch| watch.promotion.is_none()) {
            state.failovers.watches.remove(key);
            continue;
        }
        observe_primary(state, now, key);
        promote::step(state, now, key, outputs);
        let group = &state.endpoints.groups[key];
        let watch = state.failovers.watch(key);
        let is_healthy = watch.suspicion.is_none()
            && watch.fence.is_none()
            && watch.withheld_since.is_none()
            && watch.stale_members.is_empty();
        if is_healthy {
            watch.agreed_since = None;
            continue;
        }
        let view = view(state, &group.name, group.term);
        let view = state.failovers.plan.restrict(key, view);
        update_agreement(state, now, key, &view);
        if let Some(reason) = promotion_reason(state, now, key, &view) {
            start(state, now, key, reason);
            promote::step(state, now, key, outputs);
        }
        follow::redirect_stale_members(state, now, key, &view, outputs);
    }
}

/// Updates this host's own observations of a group's primary.
fn observe_primary(state: &mut HostState, now: Instant, key: GroupKey) {
    let timing = &state.profile.timing;
    let (endpoints, after) = (&state.endpoints, timing.suspect_after);
    let group = &endpoints.groups[key];
    let primary = group.primary.and_then(|primary| endpoints.members.get(primary));
    let has_quorum = endpoints.count_reachable(now, group) >= group.majority();
    let has_no_primary = match primary {
        None => has_quorum,
        Some(member) => member.view.as_ref().is_some_and(|view| {
            group.term_since.is_some_and(|since| view.asked_at >= since)
                && view.status.promised_term <= group.term
                && !member.is_primary_of(group.term)
        }),
    };
    let watch = state.failovers.watch(key);
    track_since(&mut watch.missing_since, now, has_no_primary);
    let missing = watch.missing_since.is_some_and(|since| now >= since + after);
    // Without a majority of reachable members, a host cannot tell a failed primary from a fault of
    // its own network link.
    let silent = has_quorum && primary.is_some_and(|member| member.is_silent(now, after));
    let acting_primary = primary.filter(|member| member.is_primary_of(group.term));
    let last_success =
        acting_primary.and_then(|member| member.view.as_ref()).map(|view| view.asked_at);
    watch.update_suspicion(now, group.term, missing || silent, last_success, timing.probe_interval);
    watch.record_fence(now, highest_promise(endpoints, now, group, after));
    let is_withheld = acting_primary.is_some_and(|member| endpoints.is_withheld(member));
    track_since(&mut watch.withheld_since, now, is_withheld);
    follow::update_stale_members(endpoints, watch, now, group, after);
}

/// The highest term that a reachable member has promised, if it exceeds the group's term.
fn highest_promise(
    endpoints: &EndpointTable,
    now: Instant,
    group: &GroupState,
    after: Duration,
) -> Option<u64> {
    let members = endpoints.members_of(group);
    let reachable = members.filter(|(_, member)| !member.is_unreachable(now, after));
    let promised = reachable.filter_map(|(_, member)| member.status()).map(|s| s.promised_term);
    promised.max().filter(|term| *term > group.term)
}

fn update_agreement(state: &mut HostState, now: Instant, key: GroupKey, view: &PeerView) {
    let group = &state.endpoints.groups[key];
    let members = state.endpoints.members_of(group);
    let domains: BTreeSet<_> = members.map(|(_, member)| &member.domain).collect();
    let agrees = match state.profile.policies.suspicion {
        SuspicionPolicy::Single => true,
        SuspicionPolicy::Agreed => is_agreed(&state.profile.identity.domain, view, &domains),
    };
    let watch = state.failovers.watch(key);
    let holds = watch.suspicion.is_some() && agrees;
    track_since(&mut watch.agreed_since, now, holds);
    let Some(since) = watch.agreed_since else { return };
    let heard_at = state.endpoints.heard_at(&state.endpoints.groups[key]);
    // Asks for a limited time only: without a majority that answers, no promotion can start.
    if heard_at < Some(since) && now < since + state.profile.timing.suspect_after {
        state.endpoints.want_answers(now, key, since);
    }
}

/// The reason for this host to start a promotion now, or `None`.
fn promotion_reason(
    state: &HostState,
    now: Instant,
    key: GroupKey,
    view: &PeerView,
) -> Option<PromotionReason> {
    let group = &state.endpoints.groups[key];
    let watch = state.failovers.watches.get(key)?;
    let has_quorum = state.endpoints.count_reachable(now, group) >= group.majority();
    let is_backing_off = watch.backoff_until.is_some_and(|until| now < until);
    if watch.promotion.is_some() || is_backing_off || !has_quorum {
        return None;
    }
    let timing = &state.profile.timing;
    let host = &state.profile.identity.host;
    let rank = |hosts: &[(_, _)]| rank_among(&group.name, host, hosts.iter().map(|(host, _)| host));
    let pause = group.term_since.map(|since| since + timing.promote_pause);
    let is_paused = pause.is_some_and(|until| now < until);
    let passed = |since: Option<Instant>, wait| since.is_some_and(|since| now >= since + wait);
    if let Some((_, since)) = watch.fence {
        // A fenced minority does not follow the primary, but the primary has a majority without it,
        // so the promotion may wait longer.
        let is_primary_confirmed =
            state.endpoints.confirmed(key).is_some_and(|(at, _)| at >= since);
        let grace = if is_primary_confirmed { timing.promote_pause } else { FENCE_GRACE };
        let wait = grace + timing.promote_step * rank(&view.hosts);
        return passed(Some(since), wait).then_some(PromotionReason::NoPrimary);
    }
    let failed_wait = timing.promote_step * rank(&view.suspects);
    // Answers to probes sent after the agreement show whether another host has already started.
    let has_fresh_answers = state.endpoints.heard_at(group) >= watch.agreed_since;
    if !is_paused && has_fresh_answers && passed(watch.agreed_since, failed_wait) {
        return Some(PromotionReason::Failed);
    }
    let planned_wait = SWITCHOVER_RANK_DELAY * rank(&view.hosts);
    let is_planned = !is_paused && watch.suspicion.is_none();
    match is_planned && passed(watch.withheld_since, planned_wait) {
        true => choose_switchover_target(&state.endpoints, now, group, timing.suspect_after)
            .map(PromotionReason::Planned),
        false => None,
    }
}

/// The replica with the most advanced log among those that may get new work.
fn choose_switchover_target(
    endpoints: &EndpointTable,
    now: Instant,
    group: &GroupState,
    after: Duration,
) -> Option<EndpointKey> {
    let members = endpoints.members_of(group).filter(|(key, member)| {
        group.primary != Some(*key)
            && !endpoints.is_withheld(member)
            && !member.is_unreachable(now, after)
    });
    let ends = members.filter_map(|(key, member)| member.status().map(|s| (s.received, key)));
    ends.max().map(|(_, key)| key)
}

fn start(state: &mut HostState, now: Instant, key: GroupKey, reason: PromotionReason) {
    let request = promote::next_request(state, key);
    let (phase, text) = match reason {
        PromotionReason::Failed => (PromotionPhase::Fencing, "its primary has failed"),
        PromotionReason::NoPrimary => (PromotionPhase::Fencing, "a fenced term has no primary"),
        PromotionReason::Planned(target) => {
            (PromotionPhase::Draining { target }, "its primary may get no new work")
        }
    };
    let (name, term) = (&state.endpoints.groups[key].name, request.term);
    log::info!("failover: Promotion of {name} to term {term} starts: {text}.");
    let promotion = Promotion::new(now, request, phase);
    state.failovers.watch(key).promotion = Some(promotion);
    state.counters.promotions_started += 1;
}
