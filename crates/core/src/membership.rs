//! Hosts of the fleet as this host knows them, and the requests in flight to them.

use std::time::Instant;

use tanagerdeal_wire::peer::PeerRequest;
use tanagerdeal_wire::{DomainName, GroupName, HostName};

use crate::message::{HostOutput, PeerCallKey};

/// Hosts by name, and open calls.
#[derive(Default)]
pub struct HostTable {}

impl HostTable {
    /// Other hosts that were heard of recently and are not leaving, with their peer addresses.
    pub fn live_peers(&self, _now: Instant) -> Vec<(&HostName, &str)> {
        Vec::new()
    }

    /// Other hosts that were heard of recently and are not leaving, with their failure domains.
    pub fn heard(&self, _now: Instant) -> impl Iterator<Item = (&HostName, &DomainName)> {
        std::iter::empty()
    }

    /// Hosts among [`HostTable::heard`] that suspect the primary of a group in a term.
    pub fn suspicions(
        &self,
        _now: Instant,
        _group: &GroupName,
        _term: u64,
    ) -> impl Iterator<Item = (&HostName, &DomainName)> {
        std::iter::empty()
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
