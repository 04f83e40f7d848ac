//! Choice of the host on whose connections a statement runs.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use tanagerdeal_core::ledger::endpoint::EndpointKey;
use tanagerdeal_core::ledger::pooling::{is_pooled, pool_host};

use super::count;
use super::link::{self, HostLink};
use crate::ledger::context::{HostContext, boot_now};
use crate::ledger::gate;
use crate::ledger::journal;

/// Pool hosts that may be passed over before statements run directly. Each may cost a time-out.
const MAX_SKIPPED: usize = 2;
/// Time for which a pool host that cannot use an endpoint is not used for it.
const DECLINED_TERM: Duration = Duration::from_secs(1);

/// Where a statement runs.
enum StatementPath {
    /// On a connection of this host.
    Own,
    /// At a pool host.
    Forwarded { name: String, address: SocketAddr },
}

/// A pool host that is connected.
pub(super) struct PoolHost {
    pub(super) name: String,
    pub(super) link: Rc<HostLink>,
}

/// Whether hosts pool the connections of an endpoint.
pub(in crate::ledger) fn is_in_effect(host: &HostContext, endpoint: EndpointKey) -> bool {
    let host_state = host.state.borrow();
    let group = host_state.endpoints.get(endpoint).map(|state| state.record.group.as_str());
    let limits = group.zip(host_state.catalog.as_ref());
    let limits = limits.and_then(|(group, catalog)| catalog.group(group));
    let mode = host.settings.pooling;
    host.settings.forwarding.is_some()
        && limits.is_some_and(|limits| {
            is_pooled(mode, limits.connections as usize, host_state.live_hosts())
        })
}

/// Where statements for an endpoint go when its connections are pooled. `None` if no pool host is
/// known or all that may be tried cannot be used.
fn path(host: &HostContext, endpoint: EndpointKey) -> Option<StatementPath> {
    let now = boot_now();
    let host_state = host.state.borrow();
    let record = &host_state.endpoints.get(endpoint)?.record;
    let mut skipped = Vec::new();
    while skipped.len() <= MAX_SKIPPED {
        let is_skipped = |name: &str| skipped.iter().any(|skipped| skipped == name);
        let (hosts, read_at) = (&host_state.hosts, host_state.hosts_read_at);
        let (record, offer) = pool_host(hosts, read_at, &record.domain, &record.id, &is_skipped)?;
        match record.host.as_str() {
            name if name == host.settings.host => return Some(StatementPath::Own),
            name if host.links.is_excluded(name, endpoint, now) => skipped.push(name.to_owned()),
            name => {
                let (name, address) = (name.to_owned(), offer.address);
                return Some(StatementPath::Forwarded { name, address });
            }
        }
    }
    None
}

/// Connects to the pool host of an endpoint; `None` if the statement has to run on this host.
pub(super) async fn connect(host: &Rc<HostContext>, endpoint: EndpointKey) -> Option<PoolHost> {
    // Deadlines are sent in the store's clock.
    host.state.borrow().lease.clock().filter(|_| is_in_effect(host, endpoint))?;
    match path(host, endpoint) {
        Some(StatementPath::Forwarded { name, address }) => {
            let link = link::link_to(host, &name, address).await.ok();
            count(host, if link.is_some() { "forwarded" } else { "unreachable" });
            link.map(|link| PoolHost { name, link })
        }
        Some(StatementPath::Own) => {
            host.pool(endpoint).note_forwarded(boot_now());
            let load = gate::load(host, endpoint);
            let mut host_state = host.state.borrow_mut();
            let state = host_state.endpoints.get_mut(endpoint);
            if let Some((state, load)) = state.zip(load) {
                state.note_load(load);
            }
            count(host, "own");
            None
        }
        None => {
            count(host, "direct");
            None
        }
    }
}

/// Records that a pool host cannot use an endpoint at present.
pub(super) fn note_declined(
    host: &HostContext,
    name: &str,
    endpoint: EndpointKey,
    reason: &dyn std::fmt::Display,
) {
    count(host, "declined");
    host.links.exclude_for(name, endpoint, boot_now().after(DECLINED_TERM));
    journal::request(
        "forward_declined",
        || json!({ "pool_host": name, "reason": reason.to_string() }),
    );
}
