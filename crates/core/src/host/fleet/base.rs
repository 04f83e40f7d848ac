//! The base share of this host: lowered at once when a view changes, raised when all have lowered.
//!
//! The share is 1 / (failure domains x hosts of the view). Whole units are dealt out in the order of
//! `domain + failure domains x host`, so that a failure domain's part does not depend on the number of
//! its hosts, and its view can change without the others.

use std::time::Instant;

use tanagerdeal_wire::view::ViewMember;

use super::HostState;
use crate::lease::ViewEpochs;
use crate::share::BaseShare;

/// Adopts the views in the catalog, reports them and raises the share, as far as possible now.
pub(super) fn run(state: &mut HostState, now: Instant) {
    let target = target(state);
    adopt(state, now, target);
    report(state, now);
    raise(state, now, target);
    renew(state, now);
}

/// The share under the newest views; `None` when this host has no place in them.
fn target(state: &HostState) -> Option<(u64, u64)> {
    let identity = &state.profile.identity;
    let fleet = state.catalog.fleet_view()?;
    let view = state.catalog.view(&identity.domain)?;
    let own = ViewMember {
        host: identity.host.clone(),
        incarnation: identity.incarnation,
        generation: state.lease.generation,
    };
    let domains = u64::try_from(fleet.domains.len()).ok()?;
    let hosts = u64::try_from(view.hosts.len()).ok()?;
    let domain = fleet.domains.iter().position(|domain| *domain == identity.domain)?;
    let host = view.hosts.iter().position(|member| *member == own)?;
    let (domain, host) = (u64::try_from(domain).ok()?, u64::try_from(host).ok()?);
    Some((domains * hosts, domain + domains * host))
}

fn newest_epochs(state: &HostState) -> ViewEpochs {
    let domain = &state.profile.identity.domain;
    let fleet = state.catalog.fleet_view().map_or(0, |view| view.epoch);
    let view = state.catalog.view(domain).map_or(0, |view| view.epoch);
    ViewEpochs { fleet, view }
}

/// Drops to the smaller of the shares before and after a change of the views.
///
/// The place in the order can change as well, so while a change is in progress only the units count
/// that every place gets.
fn adopt(state: &mut HostState, now: Instant, target: Option<(u64, u64)>) {
    let newest = newest_epochs(state);
    let is_same_lease = state.base.generation == state.lease.generation;
    if !is_same_lease || state.lease.valid_until.is_none_or(|until| now >= until) {
        state.base.generation = state.lease.generation;
        state.base.raised = None;
        set(state, now, None);
    }
    if state.base.adopted == newest {
        return;
    }
    state.base.adopted = newest;
    state.base.raised = None;
    state.shares.set_lending(false);
    let held = state.base.base.as_ref().filter(|base| base.numerator > 0);
    let lowered = held.zip(target).map(|(base, (denominator, _))| {
        let denominator = denominator.max(base.denominator);
        BaseShare { denominator, rank: denominator, ..*base }
    });
    set(state, now, lowered);
}

/// Reports the adopted views once everything lent out fits into the lowered share.
fn report(state: &mut HostState, now: Instant) {
    if state.base.reported == state.base.adopted {
        return;
    }
    if state.shares.loans_fit(now, &state.base.base.unwrap_or(no_share(now))) {
        state.base.reported = state.base.adopted;
        state.shares.set_lending(true);
    }
}

/// Takes the full share into use once all other holders have reported the views.
fn raise(state: &mut HostState, now: Instant, target: Option<(u64, u64)>) {
    let epochs = state.base.adopted;
    let is_settled = state.base.raised == Some(epochs) || state.base.reported != epochs;
    let Some(valid_until) = state.lease.valid_until.filter(|until| *until > now) else { return };
    let Some((denominator, rank)) = target.filter(|_| !is_settled) else { return };
    if have_all_reported(state, epochs) {
        state.base.raised = Some(epochs);
        set(state, now, Some(BaseShare { numerator: 1, denominator, rank, valid_until }));
    }
}

/// Whether every host that may hold a share of earlier views has adopted these.
///
/// A host that has left the views is not waited for: it is removed only after its lease has ended.
fn have_all_reported(state: &HostState, epochs: ViewEpochs) -> bool {
    let own = &state.profile.identity;
    state.catalog.views().all(|(domain, view)| {
        let is_home = *domain == own.domain;
        let needed =
            ViewEpochs { fleet: epochs.fleet, view: if is_home { epochs.view } else { 0 } };
        // An earlier incarnation of this host may still run, and counts like any other host.
        let is_own =
            |member: &ViewMember| member.host == own.host && member.incarnation == own.incarnation;
        let mut others = view.hosts.iter().filter(|member| !is_own(member));
        others.all(|member| has_reported(state, member, needed))
    })
}

fn has_reported(state: &HostState, member: &ViewMember, needed: ViewEpochs) -> bool {
    let known = state.hosts.host(&member.host).and_then(|host| host.state.as_ref());
    known.is_some_and(|peer| {
        peer.incarnation == member.incarnation
            && peer.view_epoch >= needed.view
            && peer.fleet_epoch >= needed.fleet
    })
}

/// Extends the share to the end of the renewed lease.
fn renew(state: &mut HostState, now: Instant) {
    let valid_until = state.lease.valid_until;
    if let (Some(base), Some(valid_until)) = (state.base.base, valid_until)
        && base.valid_until != valid_until
    {
        set(state, now, Some(BaseShare { valid_until, ..base }));
    }
}

fn set(state: &mut HostState, now: Instant, base: Option<BaseShare>) {
    if state.base.base == base {
        return;
    }
    state.base.base = base;
    state.shares.set_base(now, base.unwrap_or(no_share(now)));
}

fn no_share(now: Instant) -> BaseShare {
    BaseShare { numerator: 0, denominator: 1, rank: 0, valid_until: now }
}
