//! Selection of the host states that are relayed to a peer, in full or as heartbeats.

use std::collections::BTreeSet;
use std::time::Instant;

use tanagerdeal_wire::peer::{PeerBeat, PeerState};
use tanagerdeal_wire::{DomainName, HostName};

use super::{HostTable, KnownHost};

/// A state is sent in full whenever its version is a multiple of this number, for receivers that
/// have removed the host.
const FULL_STATE_INTERVAL: u64 = 8;

impl HostTable {
    /// States to relay to `receiver` that changed after sequence number `seen`. Those that changed
    /// only by a heartbeat are returned as heartbeats. If `seen` is 0 or belongs to an earlier
    /// incarnation of this host, all states are returned in full.
    pub(crate) fn news_after(
        &self,
        now: Instant,
        seen: u64,
        receiver: &HostName,
    ) -> (Vec<PeerState>, Vec<PeerBeat>) {
        let seen = self.current_or_zero(seen);
        let (mut states, mut heartbeats) = (Vec::new(), Vec::new());
        for (name, host) in &self.hosts {
            let is_from_receiver = name == receiver || host.source.as_ref() == Some(receiver);
            if host.sequence <= seen || is_from_receiver || !self.is_in_scope(receiver, host) {
                continue;
            }
            let Some(state) = host.state_with_age(now) else { continue };
            // A receiver in another failure domain gets states of a third one only in some cases,
            // so `seen` does not show that it has their content.
            let is_always_relayed =
                self.is_in_own_domain(receiver) || Some(&host.domain) == self.own_domain.as_ref();
            let has_content = host.content_sequence <= seen && is_always_relayed;
            match has_content && state.version % FULL_STATE_INTERVAL != 0 {
                true => heartbeats.push(KnownHost::heartbeat(&state)),
                false => states.push(state),
            }
        }
        (states, heartbeats)
    }

    /// Whether a host's state is relayed to a receiver. A receiver in this host's failure domain
    /// gets all states. A receiver in another one gets those of this host's failure domain, because
    /// each pair of failure domains exchanges its states directly. It gets a state of a third
    /// failure domain only if it has reported that it lacks recent states of it, or if the state
    /// reports a failing store, because such a report is evidence of an outage for 2 s only.
    pub(super) fn is_in_scope(&self, receiver: &HostName, host: &KnownHost) -> bool {
        let is_failing = || host.state.as_ref().is_some_and(|state| state.store_failing);
        let is_unheard =
            || self.links.get(receiver).is_some_and(|link| link.unheard.contains(&host.domain));
        Some(&host.domain) == self.own_domain.as_ref()
            || self.is_in_own_domain(receiver)
            || is_failing()
            || is_unheard()
    }

    /// Failure domains without a recent state of any host. The limit is half of the liveness
    /// timeout; the other half is left for their states to arrive by another path.
    pub(super) fn find_unheard(&self, now: Instant) -> Vec<DomainName> {
        let limit = self.liveness_timeout() / 2;
        let is_recent = |at: Instant| now.saturating_duration_since(at) <= limit;
        let recent = self.hosts.values().filter(|host| host.made_at.is_some_and(is_recent));
        let heard: BTreeSet<_> = recent.map(|host| &host.domain).collect();
        self.domains().difference(&heard).map(|domain| (*domain).clone()).collect()
    }

    /// Applies a heartbeat to the stored state of its host. Returns `None` if that state is
    /// missing, of another incarnation, or older than the last change of content.
    pub(crate) fn expand(&self, heartbeat: PeerBeat) -> Option<PeerState> {
        let old = self.hosts.get(&heartbeat.host)?.state.as_ref()?;
        let is_same_incarnation = lower_half(old.incarnation) == heartbeat.incarnation;
        let has_content = old.version >= heartbeat.version.checked_sub(heartbeat.unchanged)?;
        let PeerBeat { version, unchanged, age_ms, store_reached_ms, .. } = heartbeat;
        let expand = || PeerState { version, unchanged, age_ms, store_reached_ms, ..old.clone() };
        (is_same_incarnation && has_content).then(expand)
    }

    fn is_in_own_domain(&self, receiver: &HostName) -> bool {
        self.hosts.get(receiver).is_some_and(|host| Some(&host.domain) == self.own_domain.as_ref())
    }
}

impl KnownHost {
    fn heartbeat(state: &PeerState) -> PeerBeat {
        PeerBeat {
            host: state.host.clone(),
            incarnation: lower_half(state.incarnation),
            version: state.version,
            unchanged: state.unchanged,
            age_ms: state.age_ms,
            store_reached_ms: state.store_reached_ms,
        }
    }
}

fn lower_half(incarnation: u64) -> u32 {
    (incarnation & u64::from(u32::MAX)) as u32
}
