//! Pulls of this host from others, and answers to the pulls that wait here.

use std::time::{Duration, Instant};

use rand::seq::IteratorRandom as _;
use tanagerdeal_wire::HostName;
use tanagerdeal_wire::peer::{PeerReply, PeerRequest, PullReply, PullRequest};

use super::HostState;
use crate::membership::HeldPull;
use crate::message::HostOutput;

/// Time after which a pull is answered when there is only ordinary news: a heartbeat, or a newer
/// confirmation of the catalog. A host three levels below a relay thereby stays below the age at
/// which it asks another source.
const ORDINARY_HOLD: Duration = Duration::from_millis(300);

/// Entries in one answer, in bytes; the rest follows with the next pull.
const MAX_ENTRY_BYTES: usize = 1024 * 1024;

/// Time beyond the longest hold after which a pull has failed.
const PULL_GRACE: Duration = Duration::from_millis(400);

/// Interval between pulls from additional hosts while the catalog is not confirmed.
const REFRESH_INTERVAL: Duration = Duration::from_millis(300);

/// Failure domains from which a relay pulls at the same time.
const FOREIGN_PULLS: usize = 4;

/// Time after which a relay goes on to other failure domains.
const ROTATION: Duration = Duration::from_secs(1);

/// Answers the pulls for which there is news, or whose time is over.
pub(super) fn answer_held(state: &mut HostState, now: Instant, outputs: &mut Vec<HostOutput>) {
    for (host, held) in state.hosts.held_pulls() {
        if !is_due(state, now, &host, &held) {
            continue;
        }
        let reply = full_reply(state, now, &host, &held);
        let confirmed_at = state.catalog.confirmed_at();
        let link = state.hosts.link(&host);
        link.held = None;
        link.told_confirmed_at = confirmed_at;
        outputs.push(HostOutput::AnswerPeer(held.tag, PeerReply::Pull(reply)));
    }
}

fn is_due(state: &mut HostState, now: Instant, host: &HostName, held: &HeldPull) -> bool {
    let waited = now.saturating_duration_since(held.since);
    let told_confirmed_at = state.hosts.link(host).told_confirmed_at;
    let has_entries = state.catalog.has_news(held.revision)
        && state.catalog.entries_after(held.revision, 0).is_some();
    let is_confirmed = state.catalog.confirmed_at() > told_confirmed_at;
    // While the store is slow every confirmation counts, and there are few.
    let refresh_after = state.profile.timing.refresh_after;
    let is_awaited =
        told_confirmed_at.is_none_or(|at| now.saturating_duration_since(at) > refresh_after);
    let newest_announcement = state.own.newest_announcement();
    has_entries
        || waited >= state.profile.timing.pull_hold
        || (is_confirmed && is_awaited)
        || state.hosts.has_urgent(host, held.seen)
        || newest_announcement > state.hosts.current_or_zero(held.seen)
        || (waited >= ORDINARY_HOLD && (is_confirmed || state.hosts.sequence() != held.seen))
}

/// Answer to a pull that was replaced by a later one of the same host.
pub(super) fn empty_reply(state: &HostState, now: Instant, held: &HeldPull) -> PullReply {
    let held_for = now.saturating_duration_since(held.since);
    PullReply {
        seen: held.seen,
        revision: held.revision,
        entries: Vec::new(),
        catalog_age_us: confirmed_age(state, now)
            .filter(|_| !state.catalog.has_news(held.revision)),
        held_us: to_micros(held_for),
        states: Vec::new(),
        beats: Vec::new(),
        unheard: state.hosts.unheard(),
        groups: Vec::new(),
    }
}

fn full_reply(state: &HostState, now: Instant, host: &HostName, held: &HeldPull) -> PullReply {
    let page = state.catalog.entries_after(held.revision, MAX_ENTRY_BYTES);
    let is_complete = page.as_ref().is_some_and(|page| page.1 == state.catalog.revision());
    let (entries, revision) = page.unwrap_or((Vec::new(), held.revision));
    let (states, beats) = state.hosts.news_after(now, held.seen, host);
    PullReply {
        seen: state.hosts.sequence(),
        revision,
        entries,
        catalog_age_us: confirmed_age(state, now).filter(|_| is_complete),
        held_us: to_micros(now.saturating_duration_since(held.since)),
        states,
        beats,
        unheard: state.hosts.unheard(),
        groups: state.own.announcements_after(state.hosts.current_or_zero(held.seen)),
    }
}

fn confirmed_age(state: &HostState, now: Instant) -> Option<u64> {
    state.catalog.confirmed_at().map(|at| to_micros(now.saturating_duration_since(at)))
}

fn to_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// Keeps one pull open to each host that this one pulls from, and sends urgent news at once.
pub(super) fn run(state: &mut HostState, now: Instant, outputs: &mut Vec<HostOutput>) {
    for host in targets(state, now) {
        let link = state.hosts.link(&host);
        let is_paused = link.retry_at.is_some_and(|at| now < at);
        if link.pulling.is_none() && !is_paused {
            pull_from(state, now, &host, outputs);
        }
    }
    push_urgent(state, now, outputs);
}

/// Hosts to pull from now: the preferred parent, for relays also relays of other failure domains in
/// turn, and further hosts while the catalog is not confirmed.
fn targets(state: &mut HostState, now: Instant) -> Vec<HostName> {
    let plan = state.hosts.current_plan().clone();
    let mut targets: Vec<HostName> = best_of(state, now, &plan.parents).into_iter().collect();
    let turn = rotation(state, now);
    for offset in 0..FOREIGN_PULLS.min(plan.foreign.len()) {
        let mut relays = plan.foreign[(turn + offset) % plan.foreign.len()].clone();
        // Both relays of a failure domain are used when this one has two.
        let first = plan.rank % relays.len();
        relays.rotate_left(first);
        targets.extend(best_of(state, now, &relays));
    }
    targets.extend(refresh_targets(state, now, &plan.parents));
    targets
}

/// The first host that answered its last pull, else the one that may be asked again first.
fn best_of(state: &mut HostState, now: Instant, hosts: &[HostName]) -> Option<HostName> {
    let rank = |state: &mut HostState, host: &HostName| {
        let link = state.hosts.link(host);
        (link.failures > 0, link.retry_at.filter(|at| *at > now))
    };
    hosts.iter().min_by_key(|host| rank(state, host)).cloned()
}

fn rotation(state: &mut HostState, now: Instant) -> usize {
    let started_at = *state.own.started_at.get_or_insert(now);
    let turns = now.saturating_duration_since(started_at).as_secs() / ROTATION.as_secs();
    usize::try_from(turns).unwrap_or(0) * FOREIGN_PULLS
}

/// All parents and one more live host, while the catalog was not confirmed for some time.
fn refresh_targets(state: &mut HostState, now: Instant, parents: &[HostName]) -> Vec<HostName> {
    let refresh_after = state.profile.timing.refresh_after;
    let is_within = |at: Instant, limit| now.saturating_duration_since(at) <= limit;
    let is_fresh = state.catalog.confirmed_at().is_some_and(|at| is_within(at, refresh_after));
    let is_waiting = state.own.refreshed_at.is_some_and(|at| is_within(at, REFRESH_INTERVAL));
    if is_fresh || is_waiting {
        return Vec::new();
    }
    state.own.refreshed_at = Some(now);
    let peers = state.hosts.live_peers(now).into_iter().map(|(name, _)| name.clone());
    let further = peers.choose(&mut state.random);
    parents.iter().cloned().chain(further).collect()
}

/// Sends a further pull to hosts that lack urgent news of this one.
fn push_urgent(state: &mut HostState, now: Instant, outputs: &mut Vec<HostOutput>) {
    let newest = state.hosts.urgent_sequence();
    let plan = state.hosts.current_plan().clone();
    for host in plan.parents.iter().chain(plan.foreign.iter().flatten()) {
        let considered = state.hosts.link(host).considered;
        if considered >= newest {
            continue;
        }
        let has_urgent = state.hosts.has_urgent(host, considered);
        if has_urgent || state.own.newest_announcement() > considered {
            pull_from(state, now, host, outputs);
        }
        state.hosts.link(host).considered = newest;
    }
}

fn pull_from(state: &mut HostState, now: Instant, host: &HostName, outputs: &mut Vec<HostOutput>) {
    let Some(incarnation) = state.hosts.host(host).map(|known| known.incarnation) else { return };
    let link = state.hosts.link(host);
    // A restarted host knows nothing of what its earlier incarnation was sent.
    if link.incarnation != incarnation {
        (link.incarnation, link.sent, link.seen) = (incarnation, 0, 0);
    }
    let (seen, sent) = (link.seen, link.sent);
    let (states, beats) = state.hosts.news_after(now, sent, host);
    let request = PullRequest {
        revision: state.catalog.revision(),
        seen,
        states,
        beats,
        unheard: state.hosts.unheard(),
        groups: state.own.announcements_after(sent),
    };
    let deadline = now + state.profile.timing.pull_hold + PULL_GRACE;
    let call = state.hosts.send(host, PeerRequest::Pull(request), deadline, outputs);
    let newest = state.hosts.urgent_sequence();
    let link = state.hosts.link(host);
    link.pulling = call;
    link.considered = newest;
    state.counters.peer_calls += 1;
}
