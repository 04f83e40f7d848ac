//! Shares observed log positions of primaries between hosts.
//!
//! A bounded-staleness read runs on a replica when its host knows a recent log position of the
//! primary. In a fleet of hundreds, a single host talks to a primary too seldom for that, so the
//! hosts of a failure domain report their observations to their relay, and request the relay's when
//! their own do not suffice.

use std::rc::Rc;
use std::time::Duration;

use tanagerdeal_core::ledger::catalog::{DatabaseRoute, ReadConsistency};
use tanagerdeal_core::ledger::clock::BootInstant;
use tanagerdeal_core::ledger::endpoint::LogPosition;
use tanagerdeal_core::ledger::position::{HISTORY_REACH, SharedObservation};
use tokio::time::sleep;

use super::context::{HostContext, boot_now};
use super::mirror::relay_address;
use super::peers::PeerMessage;

/// Interval between reports to the relay: a tenth of the smallest age that the users' routes accept
/// (1.5 s).
const REPORT_INTERVAL: Duration = Duration::from_millis(150);
/// Largest number of groups in one message, which must fit into a datagram.
const MAX_GROUPS_PER_REPORT: usize = 30;
/// Response timeout of the relay. It covers a round trip within a failure domain (0.4 ms) and a
/// wait for the relay's processor. After it the read goes to the primary.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(25);
/// How long a relay that did not respond is not asked again.
const UNRESPONSIVE_PAUSE: Duration = Duration::from_millis(1_500);

/// Reports this host's observations to the relay until the process ends.
pub(super) async fn report(host: Rc<HostContext>) {
    loop {
        sleep(REPORT_INTERVAL).await;
        let observed = host.state.borrow_mut().take_observed();
        let Some((_, address)) = relay_address(&host) else { continue };
        for chunk in observed.chunks(MAX_GROUPS_PER_REPORT) {
            // Lost reports are not repeated; newer ones follow.
            host.peers.send(address, PeerMessage::Observed { observations: chunk.to_vec() });
        }
    }
}

/// The lowest log position that a replica must have reached to serve a read. Requests the relay's
/// observations if those of this host do not suffice. `None` when only the primary can serve the
/// read.
pub(super) async fn min_read_position(
    host: &HostContext,
    route: &DatabaseRoute,
    written: Option<LogPosition>,
    began_at: BootInstant,
) -> Option<LogPosition> {
    let min_position = host.state.borrow().min_read_position(route, written, began_at);
    let staleness = match route.consistency {
        ReadConsistency::Current => return None,
        ReadConsistency::Bounded(age) | ReadConsistency::Session(age) => age,
    };
    if min_position.is_some() || !request_observations(host, &route.group, staleness).await {
        return min_position;
    }
    host.state.borrow().min_read_position(route, written, began_at)
}

/// Requests the relay's observations of a group's primary from as long ago as they reach.
pub(super) async fn refresh(host: &HostContext, group: &str) {
    // Without any, the observations of this host remain.
    let _ = request_observations(host, group, HISTORY_REACH).await;
}

/// Requests the relay's observations. Returns whether it had any.
async fn request_observations(host: &HostContext, group: &str, staleness: Duration) -> bool {
    let now = boot_now();
    let Some((relay, address)) = relay_address(host) else { return false };
    if host.observations.is_unresponsive(&relay, now) {
        return false;
    }
    let send = |call| {
        let (group, age_ms) = (group.to_owned(), staleness.as_millis() as u64);
        host.peers.send(address, PeerMessage::RequestObservations { call, group, age_ms })
    };
    let Some(observations) = host.observations.request(RESPONSE_TIMEOUT, send).await else {
        host.observations.mark_unresponsive(&relay, boot_now().after(UNRESPONSIVE_PAUSE));
        return false;
    };
    let mut state = host.state.borrow_mut();
    observations.iter().for_each(|shared| state.apply_observation(group, shared));
    !observations.is_empty()
}

/// Records observations reported by another host of the failure domain.
pub(super) fn record(host: &HostContext, observations: &[(String, SharedObservation)]) {
    let mut state = host.state.borrow_mut();
    observations.iter().for_each(|(group, shared)| state.apply_observation(group, shared));
}

/// The response to a request for observations.
pub(super) fn respond(host: &HostContext, call: u64, group: &str, age_ms: u64) -> PeerMessage {
    let staleness = Duration::from_millis(age_ms);
    let observations = host.state.borrow().observations(group, staleness, boot_now());
    PeerMessage::Observations { call, observations }
}
