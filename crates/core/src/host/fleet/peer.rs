//! Requests of other hosts, and their answers to this host.

use std::time::{Duration, Instant};

use tanagerdeal_wire::HostName;
use tanagerdeal_wire::peer::{
    PeerBeat, PeerReply, PeerRequest, PeerState, PullReply, PullRequest, ShareHandover,
};

use super::{HostState, pull};
use crate::host::groups;
use crate::membership::{HeldPull, PeerCall};
use crate::message::{CallTag, HostOutput, PeerCallKey};

/// Part of a handover's validity that is not used, because it is counted from the sending.
const WIRE_MARGIN: Duration = Duration::from_secs(1);

/// Pauses after failed pulls from one host start here and double.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause after failed pulls from one host.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(1_600);

/// Handles a request of another host.
pub(super) fn asked(
    state: &mut HostState,
    now: Instant,
    tag: CallTag,
    from: &HostName,
    request: PeerRequest,
    outputs: &mut Vec<HostOutput>,
) {
    let reply = match request {
        PeerRequest::Pull(request) => return pull_asked(state, now, tag, from, request, outputs),
        PeerRequest::Borrow(request) if request.borrower == *from => {
            let loan = state.shares.lend(now, &request);
            state.counters.loans_given += u64::from(loan.units > 0);
            PeerReply::Loan(loan)
        }
        PeerRequest::Handover(handover) if handover.host == *from => {
            accept_handover(state, now, &handover);
            PeerReply::Accepted
        }
        PeerRequest::Borrow(_) | PeerRequest::Handover(_) => {
            PeerReply::Refused(format!("host {from} asks in the name of another"))
        }
    };
    outputs.push(HostOutput::AnswerPeer(tag, reply));
}

/// Handles the answer of another host, or the lack of one.
pub(super) fn answered(
    state: &mut HostState,
    now: Instant,
    call: PeerCallKey,
    asked_at: Instant,
    reply: Option<PeerReply>,
) {
    let Some(ended) = state.hosts.end(call) else { return };
    state.drain.handovers.retain(|handover| *handover != call);
    if reply.is_none() {
        state.counters.peer_failures += 1;
    }
    match reply {
        Some(PeerReply::Pull(reply)) if ended.is_pull => {
            pull_answered(state, now, call, &ended, asked_at, reply);
        }
        Some(PeerReply::Loan(loan)) => {
            let granted = Duration::from_millis(loan.valid_ms);
            let valid_until = asked_at + granted.min(state.profile.timing.loan_valid);
            state.counters.loans_taken += u64::from(loan.units > 0);
            state.shares.accept(now, &ended.host, &loan, valid_until);
        }
        _ if ended.is_pull => pull_failed(state, now, call, &ended),
        _ => {}
    }
}

/// Takes over shares. The time on the wire is unknown, so part of the validity is not used; the host
/// that leaves has given up its lease for a longer time than that.
fn accept_handover(state: &mut HostState, now: Instant, handover: &ShareHandover) {
    let valid = Duration::from_millis(handover.valid_ms).saturating_sub(WIRE_MARGIN);
    for loan in &handover.loans {
        state.shares.accept(now, &handover.host, loan, now + valid);
    }
}

fn pull_asked(
    state: &mut HostState,
    now: Instant,
    tag: CallTag,
    from: &HostName,
    request: PullRequest,
    outputs: &mut Vec<HostOutput>,
) {
    state.hosts.link(from).unheard = request.unheard;
    adopt_states(state, now, now, (request.states, request.beats), from);
    groups::adopt_announcements(state, now, &request.groups);
    let (revision, seen) = (request.revision, request.seen);
    let held = HeldPull { tag, since: now, revision, seen };
    // A host sends a second pull when it has urgent news; the first one then only has to end.
    if let Some(earlier) = state.hosts.link(from).held.replace(held) {
        let reply = PeerReply::Pull(pull::empty_reply(state, now, &earlier));
        outputs.push(HostOutput::AnswerPeer(earlier.tag, reply));
    }
}

fn pull_answered(
    state: &mut HostState,
    now: Instant,
    call: PeerCallKey,
    ended: &PeerCall,
    asked_at: Instant,
    reply: PullReply,
) {
    let link = state.hosts.link(&ended.host);
    link.failures = 0;
    link.retry_at = None;
    if link.incarnation == ended.incarnation {
        link.sent = link.sent.max(ended.sequence);
    }
    if link.pulling == Some(call) {
        link.pulling = None;
        link.seen = reply.seen;
    }
    let round_trip = now.saturating_duration_since(asked_at);
    let on_wire = round_trip.saturating_sub(Duration::from_micros(reply.held_us));
    let age = reply.age_on_arrival_us(u64::try_from(round_trip.as_micros()).unwrap_or(u64::MAX));
    super::apply_entries(state, now, reply.entries, reply.revision);
    if let Some(at) = age.and_then(|age| now.checked_sub(Duration::from_micros(age))) {
        state.catalog.confirm(at);
    }
    let sent_at = now.checked_sub(on_wire).unwrap_or(now);
    state.hosts.link(&ended.host).unheard = reply.unheard;
    adopt_states(state, now, sent_at, (reply.states, reply.beats), &ended.host);
    groups::adopt_announcements(state, now, &reply.groups);
}

fn pull_failed(state: &mut HostState, now: Instant, call: PeerCallKey, ended: &PeerCall) {
    let link = state.hosts.link(&ended.host);
    if link.pulling == Some(call) {
        link.pulling = None;
    }
    let pause = RETRY_PAUSE.saturating_mul(1 << link.failures.min(5)).min(MAX_RETRY_PAUSE);
    link.failures = link.failures.saturating_add(1);
    link.retry_at = Some(now + pause);
}

/// Takes states that another host sent at an instant. What others say about this host itself is of
/// no use: it is old, or of an earlier incarnation.
fn adopt_states(
    state: &mut HostState,
    now: Instant,
    sent_at: Instant,
    (states, beats): (Vec<PeerState>, Vec<PeerBeat>),
    source: &HostName,
) {
    let expanded: Vec<_> = beats.into_iter().filter_map(|beat| state.hosts.expand(beat)).collect();
    for peer in
        states.into_iter().chain(expanded).filter(|peer| peer.host != state.profile.identity.host)
    {
        let age = Duration::from_millis(u64::from(peer.age_ms));
        let Some(made_at) = sent_at.checked_sub(age) else { continue };
        state.hosts.adopt_state(now, made_at, peer, Some(source));
    }
}
