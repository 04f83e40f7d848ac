//! Status of the host for its admin listener.

use std::time::Instant;

use tanagerdeal_wire::peer::ShareResource;

use super::{HostState, groups, may_serve_keyed};
use crate::message::DrainPhase;
use crate::message::fleet::{HostReport, LimitReport, StatusReport};

/// Everything that the status page shows.
pub(super) fn report(state: &HostState, now: Instant) -> StatusReport {
    let identity = &state.profile.identity;
    let confirmed_at = state.catalog.confirmed_at();
    let age = confirmed_at.map(|at| now.saturating_duration_since(at).as_millis());
    StatusReport {
        host: identity.host.to_string(),
        domain: identity.domain.to_string(),
        revision: state.catalog.revision(),
        catalog_age_ms: age.map(|ms| u64::try_from(ms).unwrap_or(u64::MAX)),
        serving_keyed: may_serve_keyed(state, now),
        ready: is_ready(state, now),
        unknown_records: state.catalog.unknown().map(|(key, _)| key.to_owned()).collect(),
        hosts: hosts(state, now),
        groups: groups::reports(state, now),
        limits: limits(state, now),
        counters: state.counters.clone(),
    }
}

/// Whether new sessions should come here. A host that has just started waits for its base share,
/// because it would refuse requests for lack of rate; without the store there is none to wait for.
fn is_ready(state: &HostState, now: Instant) -> bool {
    state.drain.phase == DrainPhase::Serving
        && state.catalog.confirmed_at().is_some()
        && (state.shares.has_base(now) || state.store.is_failing(now))
}

fn hosts(state: &HostState, now: Instant) -> Vec<HostReport> {
    let reports = state.hosts.hosts().map(|(name, host)| {
        let is_own = *name == state.profile.identity.host;
        let phase = match host.leaving {
            true => "leaving",
            false if is_own || state.hosts.is_heard(now, host) => "live",
            false => "silent",
        };
        let (host, domain) = (name.to_string(), host.domain.to_string());
        HostReport { host, domain, state: phase.to_owned() }
    });
    reports.collect()
}

fn limits(state: &HostState, now: Instant) -> Vec<LimitReport> {
    let customers = state.catalog.customers().map(|(name, _)| name);
    let reports = customers.map(|name| LimitReport {
        customer: name.to_string(),
        share: state.shares.held(now, &ShareResource::CustomerRate(name.clone())),
        sessions: state.sessions.count(name),
    });
    reports.collect()
}
