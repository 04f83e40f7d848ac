//! Sharing what hosts see of primaries.
//!
//! A read that accepts data of some age runs on a replica when its host knows a recent position of the
//! primary. One of hundreds of hosts talks to a primary too seldom for that, so the hosts of a failure
//! domain tell their relay what they have seen, and ask it when they know too little.

use std::rc::Rc;
use std::time::Duration;

use tanagerdeal_core::ledger::catalog::{DatabaseRoute, ReadConsistency};
use tanagerdeal_core::ledger::clock::BootInstant;
use tanagerdeal_core::ledger::endpoint::LogPosition;
use tanagerdeal_core::ledger::floor::SharedObservation;
use tokio::time::sleep;

use super::context::{HostContext, boot_now};
use super::mirror::relay_address;
use super::peers::PeerMessage;

/// Time between two messages to the relay, a tenth of the smallest age that the users' routes accept
/// (1.5 s).
const REPORT_INTERVAL: Duration = Duration::from_millis(150);
/// Groups in one message, which has to fit into a datagram.
const MAX_REPORTED: usize = 30;
/// Time that a relay has to answer, above a round trip within a failure domain (0.4 ms) and a wait for
/// its processor. The read goes to the primary after that.
const ANSWER_LIMIT: Duration = Duration::from_millis(25);
/// Time for which a relay that did not answer is not asked again.
const SILENT_PAUSE: Duration = Duration::from_millis(1_500);

/// Tells the relay what this host has seen, until the process ends.
pub(super) async fn report(host: Rc<HostContext>) {
    loop {
        sleep(REPORT_INTERVAL).await;
        let observed = host.book.borrow_mut().take_observed();
        let Some((_, address)) = relay_address(&host) else { continue };
        for chunk in observed.chunks(MAX_REPORTED) {
            // A message that is lost is followed by others.
            host.peers.send(address, PeerMessage::Observed { observations: chunk.to_vec() });
        }
    }
}

/// The position that a read has to see on a replica, with the relay's knowledge if this host knows too
/// little; nothing when only the primary will do.
pub(super) async fn read_floor(
    host: &HostContext,
    route: &DatabaseRoute,
    written: Option<LogPosition>,
    began_at: BootInstant,
) -> Option<LogPosition> {
    let floor = host.book.borrow().read_floor(route, written, began_at);
    let staleness = match route.consistency {
        ReadConsistency::Current => return None,
        ReadConsistency::Bounded(age) | ReadConsistency::Session(age) => age,
    };
    if floor.is_some() || !learn(host, &route.group, staleness).await {
        return floor;
    }
    host.book.borrow().read_floor(route, written, began_at)
}

/// Asks the relay for observations. Returns whether it had any.
async fn learn(host: &HostContext, group: &str, staleness: Duration) -> bool {
    let now = boot_now();
    let Some((relay, address)) = relay_address(host) else { return false };
    if host.floors.is_silent(&relay, now) {
        return false;
    }
    let question = |call| {
        let (group, age_ms) = (group.to_owned(), staleness.as_millis() as u64);
        host.peers.send(address, PeerMessage::AskObservations { call, group, age_ms })
    };
    let Some(observations) = host.floors.ask(ANSWER_LIMIT, question).await else {
        host.floors.note_silent(&relay, boot_now().after(SILENT_PAUSE));
        return false;
    };
    let mut book = host.book.borrow_mut();
    observations.iter().for_each(|shared| book.adopt_observation(group, shared));
    !observations.is_empty()
}

/// Takes over what another host of the failure domain has seen.
pub(super) fn adopt(host: &HostContext, observations: &[(String, SharedObservation)]) {
    let mut book = host.book.borrow_mut();
    observations.iter().for_each(|(group, shared)| book.adopt_observation(group, shared));
}

/// The answer to a host that asks.
pub(super) fn answer(host: &HostContext, call: u64, group: &str, age_ms: u64) -> PeerMessage {
    let staleness = Duration::from_millis(age_ms);
    let observations = host.book.borrow().observations(group, staleness, boot_now());
    PeerMessage::Observations { call, observations }
}
