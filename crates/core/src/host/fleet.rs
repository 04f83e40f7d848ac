//! Catalog, membership, share views, status and shutdown.

mod base;
mod drain;
mod evidence;
mod lease;
mod maintain;
mod peer;
mod publish;
mod pull;
mod status;
mod store;
#[cfg(test)]
mod tests;

use std::time::Instant;

use tanagerdeal_wire::peer::CatalogEntry;

use super::{HostState, groups};
use crate::message::fleet::{PeerEvent, StoreEvent};
use crate::message::{CallTag, HostOutput};

pub(super) use evidence::may_serve_keyed;

pub(super) fn handle_store(
    state: &mut HostState,
    now: Instant,
    event: StoreEvent,
    outputs: &mut Vec<HostOutput>,
) {
    store::handle(state, now, event, outputs);
    spread_news(state, now, outputs);
}

pub(super) fn handle_peer(
    state: &mut HostState,
    now: Instant,
    event: PeerEvent,
    outputs: &mut Vec<HostOutput>,
) {
    match event {
        PeerEvent::Asked { tag, from, request } => {
            peer::asked(state, now, tag, &from, request, outputs);
        }
        PeerEvent::Answered { call, asked_at, reply } => {
            peer::answered(state, now, call, asked_at, reply);
        }
    }
    spread_news(state, now, outputs);
}

pub(super) fn answer_status(
    state: &mut HostState,
    now: Instant,
    tag: CallTag,
    outputs: &mut Vec<HostOutput>,
) {
    let report = status::report(state, now);
    outputs.push(HostOutput::AnswerStatus(tag, Box::new(report)));
}

pub(super) fn shut_down(state: &mut HostState, now: Instant, outputs: &mut Vec<HostOutput>) {
    drain::announce(state, now, outputs);
    publish::run(state, now);
    spread_news(state, now, outputs);
}

pub(super) fn run_systems(state: &mut HostState, now: Instant, outputs: &mut Vec<HostOutput>) {
    let identity = &state.profile.identity;
    state.hosts.refresh_plan(now, (&identity.host, &identity.domain));
    state.hosts.forget_silent(now);
    store::run(state, now, outputs);
    lease::run(state, now, outputs);
    maintain::run(state, now, outputs);
    base::run(state, now);
    evidence::run(state, now);
    drain::run(state, now, outputs);
    publish::run(state, now);
    spread_news(state, now, outputs);
}

/// Answers the pulls that waited for news and sends new ones.
fn spread_news(state: &mut HostState, now: Instant, outputs: &mut Vec<HostOutput>) {
    pull::answer_held(state, now, outputs);
    pull::run(state, now, outputs);
}

/// Puts catalog entries into effect, whichever path they came by.
fn apply_entries(state: &mut HostState, now: Instant, entries: Vec<CatalogEntry>, through: u64) {
    let count = state.catalog.apply(now, entries, through);
    state.counters.changes_applied += count.applied;
    state.counters.changes_ignored += count.ignored;
    state.counters.records_rejected += count.rejected;
    if count.applied > 0 {
        groups::adopt_catalog(state, now);
    }
}

/// Whether this host is one of the relays of its failure domain.
fn is_relay(state: &HostState) -> bool {
    state.hosts.current_plan().is_relay
}
