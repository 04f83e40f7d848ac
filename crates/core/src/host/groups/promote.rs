//! Promotions that this host runs: state transitions and the commands sent to members.

use std::ops::Range;
use std::time::{Duration, Instant};

use rand::Rng as _;
use serde_json::json;
use tanagerdeal_wire::member::{TermReply, TermRequest};
use tanagerdeal_wire::platform::{TableWrite, TxnRequest};

use super::super::HostState;
use super::{follow, probe};
use crate::failover::{PhaseOutcome, Promotion, PromotionPhase, choose_target};
use crate::message::fleet::{StorePurpose, StoreRequest, TermCommand};
use crate::message::{EndpointKey, GroupKey, HostOutput};

/// Time limits of a planned switchover: for running statements to finish, and for the target to
/// catch up after the old primary has been fenced. Together with the fence they stay below 2 s.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(1_400);
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(200);

/// Time between the first and the last host that applies a catalog change, in addition to the
/// interval at which relays read the change feed.
const ADOPTION_MARGIN: Duration = Duration::from_millis(100);

/// Interval between probes while a switchover waits for a log position.
const POSITION_PROBE_INTERVAL: Duration = Duration::from_millis(20);

/// Backoff after a failed promotion, so that two hosts do not supersede each other forever. It is
/// random, so that hosts that failed together do not start together again.
const FAILURE_BACKOFF: Range<Duration> = Duration::from_millis(400)..Duration::from_millis(700);

/// Backoff before the next term is tried after a split vote. It is random, so that the promoters do
/// not split the next term too. A fence and a promotion take about 40 ms.
const SPLIT_VOTE_BACKOFF: Range<Duration> = Duration::ZERO..Duration::from_millis(150);

/// Added to [`SPLIT_VOTE_BACKOFF`] when another promoter may hold a majority, so that its promotion
/// can finish first.
const LOST_VOTE_BACKOFF: Duration = Duration::from_millis(150);

/// Advances the promotion of a group, if this host runs one.
pub(super) fn step(
    state: &mut HostState,
    now: Instant,
    key: GroupKey,
    outputs: &mut Vec<HostOutput>,
) {
    let Some(mut promotion) = state.failovers.watch(key).promotion.take() else { return };
    let Some(group) = state.endpoints.groups.get(key) else { return };
    let (majority, reachable) = (group.majority(), state.endpoints.count_reachable(now, group));
    match promotion.outcome(now, majority, reachable) {
        _ if is_superseded(state, key, &promotion) => {
            return abort(state, now, key, &promotion);
        }
        PhaseOutcome::Failed => return abort(state, now, key, &promotion),
        PhaseOutcome::Split => back_off(state, now, key, majority, &mut promotion),
        PhaseOutcome::Pending => {}
    }
    match promotion.phase {
        PromotionPhase::BackingOff { until } if now >= until => {
            // The fenced members may be a minority, and the primary has a majority without them.
            let confirmed = state.endpoints.confirmed(key);
            if confirmed.is_some_and(|(at, _)| at >= promotion.phase_since) {
                return abort(state, now, key, &promotion);
            }
            let request = next_request(state, key);
            promotion = Promotion::new(now, request, PromotionPhase::Fencing);
        }
        PromotionPhase::BackingOff { .. } => {}
        PromotionPhase::Draining { target } => {
            drain(state, now, key, target, &mut promotion, outputs);
        }
        PromotionPhase::FencingPrimary { target, primary } => {
            await_primary_fence(now, target, primary, &mut promotion);
        }
        PromotionPhase::CatchingUp { target, .. } => {
            await_catch_up(state, now, target, &mut promotion, outputs);
        }
        PromotionPhase::Fencing => start_takeover(state, now, key, &mut promotion),
        PromotionPhase::Promoting { .. } => {}
    }
    send_commands(state, now, key, &mut promotion, outputs);
    state.failovers.watch(key).promotion = Some(promotion);
}

/// Handles a member's reply to a command of a promotion.
pub(super) fn handle_reply(
    state: &mut HostState,
    now: Instant,
    endpoint: EndpointKey,
    command: TermCommand,
    reply: TermReply,
    outputs: &mut Vec<HostOutput>,
) {
    let Some(key) = state.endpoints.group_of(endpoint) else { return };
    let Some(mut promotion) = state.failovers.watch(key).promotion.take() else { return };
    match command {
        TermCommand::Fence(request) if request == promotion.request => {
            if let (false, Some((first, _))) = (reply.granted, promotion.sent) {
                state.endpoints.observe(now, endpoint, first, reply.status.clone());
            }
            promotion.record_fence_reply(now, endpoint, reply);
        }
        TermCommand::Promote(request)
            if request == promotion.request
                && promotion.phase == (PromotionPhase::Promoting { target: endpoint }) =>
        {
            match reply.granted {
                true => finish(state, now, key, endpoint, &promotion, reply, outputs),
                false => abort(state, now, key, &promotion),
            }
            return;
        }
        _ => {}
    }
    state.failovers.watch(key).promotion = Some(promotion);
    step(state, now, key, outputs);
}

/// Whether the promotion is obsolete: the group has reached its term, or a member has promised a
/// higher one. While a planned switchover drains, it has not sent its own term yet, so that any
/// promise of that term was made to another promoter.
fn is_superseded(state: &HostState, key: GroupKey, promotion: &Promotion) -> bool {
    let group = &state.endpoints.groups[key];
    let term = promotion.request.term;
    let is_planned = matches!(promotion.phase, PromotionPhase::Draining { .. });
    let limit = if is_planned { term - 1 } else { term };
    group.term >= term || state.endpoints.count_above(group, limit) > 0
}

fn abort(state: &mut HostState, now: Instant, key: GroupKey, promotion: &Promotion) {
    let group = &state.endpoints.groups[key];
    let term = promotion.request.term;
    log::warn!("failover: Promotion of {} to term {term} aborted.", group.name);
    // The member that was told to take over may still do so later. Only a new term rules that out,
    // so it is tried without backoff.
    let backoff = match promotion.phase {
        PromotionPhase::Promoting { .. } => Duration::ZERO,
        _ => state.random.random_range(FAILURE_BACKOFF),
    };
    let watch = state.failovers.watch(key);
    watch.promotion = None;
    watch.backoff_until = Some(now + backoff);
}

/// Backs off before the next term, and probes the members for the progress of the other promoter.
fn back_off(
    state: &mut HostState,
    now: Instant,
    key: GroupKey,
    majority: usize,
    promotion: &mut Promotion,
) {
    let term = promotion.request.term;
    log::info!(
        "failover: Split vote in term {term} of {}; backing off.",
        state.endpoints.groups[key].name
    );
    let extra = if promotion.other_may_hold_majority(majority) {
        LOST_VOTE_BACKOFF
    } else {
        Duration::ZERO
    };
    let until = now + extra + state.random.random_range(SPLIT_VOTE_BACKOFF);
    promotion.enter(now, PromotionPhase::BackingOff { until });
    state.endpoints.want_probes(key);
}

/// Creates the request of a new attempt, with a term above all that members are known to have
/// promised.
pub(super) fn next_request(state: &mut HostState, key: GroupKey) -> TermRequest {
    let group = &state.endpoints.groups[key];
    let statuses = state.endpoints.members_of(group).filter_map(|(_, member)| member.status());
    let promised = statuses.map(|status| status.promised_term).max().unwrap_or(0);
    let term = promised.max(group.term) + 1;
    state.failovers.attempts += 1;
    let identity = &state.profile.identity;
    let promoter =
        format!("{}/{}/{}", identity.host, identity.incarnation, state.failovers.attempts);
    TermRequest { term, promoter }
}

/// Waits until all hosts have applied the catalog change, running statements have finished and the
/// target has received the whole log, or until the time limit.
fn drain(
    state: &mut HostState,
    now: Instant,
    key: GroupKey,
    target: EndpointKey,
    promotion: &mut Promotion,
    outputs: &mut Vec<HostOutput>,
) {
    let endpoints = &state.endpoints;
    let Some(primary_key) = endpoints.groups[key].primary else { return };
    let (Some(primary), Some(member)) =
        (endpoints.members.get(primary_key), endpoints.members.get(target))
    else {
        return;
    };
    let elapsed = now.saturating_duration_since(promotion.phase_since);
    let is_catalog_applied = elapsed >= state.profile.timing.feed_interval + ADOPTION_MARGIN;
    let is_idle =
        primary.in_flight == 0 && primary.status().is_some_and(|status| status.running == 0);
    let is_caught_up = match (primary.status(), member.status()) {
        (Some(primary), Some(member)) => member.received >= primary.received,
        _ => false,
    };
    if (is_catalog_applied && is_idle && is_caught_up) || elapsed >= DRAIN_TIMEOUT {
        promotion.enter(now, PromotionPhase::FencingPrimary { target, primary: primary_key });
    } else {
        probe_for_position(state, now, primary_key, outputs);
        probe_for_position(state, now, target, outputs);
    }
}

/// Waits until the old primary has promised the new term, which ends its log.
fn await_primary_fence(
    now: Instant,
    target: EndpointKey,
    primary: EndpointKey,
    promotion: &mut Promotion,
) {
    let elapsed = now.saturating_duration_since(promotion.phase_since);
    match promotion.grants.get(&primary) {
        Some(status) => {
            let position = status.received;
            promotion.enter(now, PromotionPhase::CatchingUp { target, position });
        }
        None if elapsed >= CATCH_UP_TIMEOUT => promotion.enter(now, PromotionPhase::Fencing),
        None => {}
    }
}

/// Waits until the target has received the rest of the old primary's log.
fn await_catch_up(
    state: &mut HostState,
    now: Instant,
    target: EndpointKey,
    promotion: &mut Promotion,
    outputs: &mut Vec<HostOutput>,
) {
    let PromotionPhase::CatchingUp { position, .. } = promotion.phase else { return };
    let member = state.endpoints.members.get(target);
    let status = member.and_then(|member| member.status());
    let elapsed = now.saturating_duration_since(promotion.phase_since);
    if status.is_some_and(|status| status.received >= position) || elapsed >= CATCH_UP_TIMEOUT {
        promotion.enter(now, PromotionPhase::Fencing);
    } else {
        probe_for_position(state, now, target, outputs);
    }
}

/// Probes a member unless a probe is open or was sent within the interval.
fn probe_for_position(
    state: &mut HostState,
    now: Instant,
    endpoint: EndpointKey,
    outputs: &mut Vec<HostOutput>,
) {
    let Some(member) = state.endpoints.members.get(endpoint) else { return };
    let is_due =
        member.probe.sent_at.is_none_or(|sent_at| now >= sent_at + POSITION_PROBE_INTERVAL);
    if is_due && !member.probe.is_open {
        probe::send(state, now, endpoint, outputs);
    }
}

/// Chooses the member that takes over, once a majority has promised the term.
fn start_takeover(state: &HostState, now: Instant, key: GroupKey, promotion: &mut Promotion) {
    let group = &state.endpoints.groups[key];
    let reachable = state.endpoints.count_reachable(now, group);
    if !promotion.is_fenced(now, group.majority(), reachable) {
        return;
    }
    if let Some(target) = choose_target(&state.endpoints, group, &promotion.grants) {
        promotion.enter(now, PromotionPhase::Promoting { target });
    }
}

/// Sends the commands of the current phase to the members that have not executed them yet.
fn send_commands(
    state: &HostState,
    now: Instant,
    key: GroupKey,
    promotion: &mut Promotion,
    outputs: &mut Vec<HostOutput>,
) {
    let receivers = match promotion.phase {
        PromotionPhase::Draining { .. }
        | PromotionPhase::CatchingUp { .. }
        | PromotionPhase::BackingOff { .. } => return,
        PromotionPhase::FencingPrimary { primary, .. } => vec![primary],
        PromotionPhase::Fencing => {
            let members = state.endpoints.groups[key].members.iter().copied();
            members.filter(|member| !promotion.grants.contains_key(member)).collect()
        }
        PromotionPhase::Promoting { target } => vec![target],
    };
    if !promotion.record_send_if_due(now) {
        return;
    }
    for endpoint in receivers {
        let Some(member) = state.endpoints.members.get(endpoint) else { continue };
        let request = promotion.request.clone();
        let command = match promotion.phase {
            PromotionPhase::Promoting { .. } => TermCommand::Promote(request),
            _ => TermCommand::Fence(request),
        };
        let api_address = member.api_address.clone();
        outputs.push(HostOutput::CommandMember { endpoint, api_address, command });
    }
}

/// Completes a promotion: records the new primary, commands the other members to follow it, and
/// writes it to the store.
fn finish(
    state: &mut HostState,
    now: Instant,
    key: GroupKey,
    target: EndpointKey,
    promotion: &Promotion,
    reply: TermReply,
    outputs: &mut Vec<HostOutput>,
) {
    let term = promotion.request.term;
    let sent_at = promotion.sent.map_or(now, |(first, _)| first);
    state.endpoints.groups[key].set_primary(now, term, Some(target));
    state.endpoints.observe(now, target, sent_at, reply.status);
    state.counters.promotions_completed += 1;
    let group = &state.endpoints.groups[key];
    let Some(address) = state.endpoints.address(target) else { return };
    log::info!("failover: {} is the primary of {} in term {term}.", address.name, group.name);
    let value = json!({"schema": 1, "term": term, "primary": address.name.as_str()});
    let write = TableWrite { key: format!("groups/{}", group.name), value: Some(value) };
    let txn = TxnRequest { checks: Vec::new(), writes: vec![write] };
    let request = StoreRequest::Transact { purpose: StorePurpose::Announce, txn };
    for member in group.members.iter().filter(|member| **member != target) {
        follow::send_follow(state, key, *member, outputs);
    }
    for member in group.members.clone() {
        probe::send(state, now, member, outputs);
    }
    outputs.push(HostOutput::CallStore(request));
}
