//! Hosts of the fleet as this host knows them, and the requests in flight to them.

use std::time::Instant;

use tanagerdeal_wire::HostName;
use tanagerdeal_wire::peer::PeerRequest;

use crate::message::{HostOutput, PeerCallKey};

/// Hosts by name, and open calls.
#[derive(Default)]
pub struct HostTable {}

impl HostTable {
    /// Other hosts that were heard of recently and are not leaving, with their peer addresses.
    pub fn live_peers(&self, _now: Instant) -> Vec<(&HostName, &str)> {
        Vec::new()
    }

    /// Sends a request to a peer; nothing is sent to an unknown one.
    pub fn send(
        &mut self,
        _host: &HostName,
        _request: PeerRequest,
        _deadline: Instant,
        _outputs: &mut Vec<HostOutput>,
    ) -> Option<PeerCallKey> {
        None
    }
}
