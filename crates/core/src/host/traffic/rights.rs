//! Authorization of sessions by key, customer and route, and the closing of sessions that lose it.

use std::time::{Duration, Instant};

use tanagerdeal_wire::RouteName;
use tanagerdeal_wire::record::{KeyRecord, RouteRecord};

use super::admit;
use super::finish;
use crate::host::{HostState, fleet};
use crate::message::{DrainPhase, HostOutput, SessionKey};
use crate::session::SessionEntry;
use crate::verdict::{RefusalCode, RequestRefusal};

/// Retry delay after a refusal because the catalog was not confirmed recently. A host requests a
/// confirmation several times a second.
const STALE_CATALOG_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Refusal for every wrong key, customer and route. It is the same for all, so that names cannot be
/// probed.
pub(super) fn invalid_key() -> RequestRefusal {
    let message = "the customer, the key or the route is not valid";
    RequestRefusal::not_run(RefusalCode::InvalidKey, message)
}

/// Whether a route exists and needs no key. Unknown routes get the same answer as those that need
/// one.
pub(super) fn is_open_route(state: &HostState, database: &str) -> bool {
    let route = RouteName::new(database).ok();
    route.and_then(|name| state.catalog.route(&name)).is_some_and(|route| route.open)
}

/// Refuses requests of sessions with a key while the catalog may be out of date.
pub(super) fn check_catalog_fresh(
    state: &mut HostState,
    now: Instant,
) -> Result<(), RequestRefusal> {
    if fleet::may_serve_keyed(state, now) {
        return Ok(());
    }
    state.counters.refused_stale_catalog += 1;
    let message = "the host has no recent confirmation of its records";
    let refusal = RequestRefusal::not_run(RefusalCode::Unavailable, message);
    Err(refusal.retry_at(now + STALE_CATALOG_RETRY_DELAY))
}

/// Checks the key, customer and route that a session depends on.
pub(super) fn check_session(state: &HostState, entry: &SessionEntry) -> Result<(), RequestRefusal> {
    let route = state.catalog.route(&entry.route).ok_or_else(invalid_key)?;
    let Some(credential) = &entry.credential else {
        return if route.open { Ok(()) } else { Err(invalid_key()) };
    };
    let key = state.catalog.key(&credential.name).ok_or_else(invalid_key)?;
    let is_same = key.digest == credential.digest;
    match is_same && is_allowed(state, route, key, entry) {
        true => Ok(()),
        false => Err(invalid_key()),
    }
}

fn is_allowed(
    state: &HostState,
    route: &RouteRecord,
    key: &KeyRecord,
    entry: &SessionEntry,
) -> bool {
    key.customer == entry.account
        && state.catalog.customer(&entry.account).is_some()
        && (route.open || route.customers.is_empty() || route.customers.contains(&entry.account))
}

/// Closes sessions that are no longer authorized, and idle ones while the host drains.
pub(super) fn close_sessions(state: &mut HostState, now: Instant, outputs: &mut Vec<HostOutput>) {
    let is_draining = state.drain.phase >= DrainPhase::Draining;
    let revision = state.catalog.revision();
    if !is_draining && state.sessions.checked_revision == Some(revision) {
        return;
    }
    state.sessions.checked_revision = Some(revision);
    let open = state.sessions.entries.iter().filter(|(_, entry)| entry.closing.is_none());
    let ended: Vec<(SessionKey, RequestRefusal)> = open
        .filter_map(|(key, entry)| match check_session(state, entry) {
            Err(refusal) => Some((key, refusal)),
            Ok(()) if is_draining && is_idle(entry) => Some((key, shutting_down())),
            Ok(()) => None,
        })
        .collect();
    for (key, refusal) in ended {
        if refusal.code == RefusalCode::InvalidKey {
            state.counters.sessions_revoked += 1;
        }
        close(state, now, key, refusal, outputs);
    }
}

fn is_idle(entry: &SessionEntry) -> bool {
    entry.waiting.is_none() && entry.dispatch.is_none()
}

/// Refusal of new work during a shutdown.
pub(super) fn shutting_down() -> RequestRefusal {
    RequestRefusal::not_run(RefusalCode::ShuttingDown, "the host is shutting down")
}

/// Closes a session. A waiting request is refused; a running one ends first.
fn close(
    state: &mut HostState,
    now: Instant,
    key: SessionKey,
    refusal: RequestRefusal,
    outputs: &mut Vec<HostOutput>,
) {
    admit::refuse_waiting(state, key, refusal.clone(), outputs);
    outputs.push(HostOutput::CloseSession(key, refusal.clone()));
    match state.sessions.entries.get_mut(key) {
        Some(entry) if entry.dispatch.is_some() => entry.closing = Some(refusal),
        _ => finish::close_session(state, now, key),
    }
}
