//! Which states of hosts are passed on to another host, and in which form.

use std::collections::BTreeSet;
use std::time::Instant;

use tanagerdeal_wire::peer::{PeerBeat, PeerState};
use tanagerdeal_wire::{DomainName, HostName};

use super::{HostTable, KnownHost};

/// Every so many versions a state is sent in full, for a receiver that has forgotten the host.
const FULL_EVERY: u64 = 8;

impl HostTable {
    /// States that changed after a sequence number, for a host, and heartbeats of those that did not
    /// change otherwise; 0 or a number of an earlier incarnation of this host gives all in full.
    pub(crate) fn news_after(
        &self,
        now: Instant,
        seen: u64,
        receiver: &HostName,
    ) -> (Vec<PeerState>, Vec<PeerBeat>) {
        let seen = self.current_or_zero(seen);
        let (mut states, mut beats) = (Vec::new(), Vec::new());
        for (name, host) in &self.hosts {
            let is_known = name == receiver || host.source.as_ref() == Some(receiver);
            if host.sequence <= seen || is_known || !self.is_in_scope(receiver, host) {
                continue;
            }
            let Some(state) = host.aged_state(now) else { continue };
            // A receiver that has not been sent the state of another failure domain before lacks it.
            let is_steady = self.is_near(receiver) || Some(&host.domain) == self.home.as_ref();
            let is_held = host.content_sequence <= seen && is_steady;
            match is_held && state.version % FULL_EVERY != 0 {
                true => beats.push(KnownHost::beat(&state)),
                false => states.push(state),
            }
        }
        (states, beats)
    }

    /// Whether a host's state is passed on to a receiver. To another failure domain that is the state
    /// of an own host, because each pair of failure domains exchanges these directly; of a third
    /// failure domain only what the receiver does not hear otherwise, and during an outage of the store
    /// the reports of it, which are evidence for 2 s only.
    pub(super) fn is_in_scope(&self, receiver: &HostName, host: &KnownHost) -> bool {
        let is_failing = || host.state.as_ref().is_some_and(|state| state.store_failing);
        let is_unheard =
            || self.links.get(receiver).is_some_and(|link| link.unheard.contains(&host.domain));
        Some(&host.domain) == self.home.as_ref()
            || self.is_near(receiver)
            || is_failing()
            || is_unheard()
    }

    /// Failure domains of which no host was heard lately; half of the time after which its hosts count
    /// as silent is left for news of them by another way.
    pub(super) fn find_unheard(&self, now: Instant) -> Vec<DomainName> {
        let limit = self.live_for() / 2;
        let is_recent = |at: Instant| now.saturating_duration_since(at) <= limit;
        let recent = self.hosts.values().filter(|host| host.made_at.is_some_and(is_recent));
        let heard: BTreeSet<_> = recent.map(|host| &host.domain).collect();
        self.domains().difference(&heard).map(|domain| (*domain).clone()).collect()
    }

    /// The full state that a heartbeat stands for, if this host holds what it refers to.
    pub(crate) fn expand(&self, beat: PeerBeat) -> Option<PeerState> {
        let old = self.hosts.get(&beat.host)?.state.as_ref()?;
        let is_same = lower_half(old.incarnation) == beat.incarnation;
        let holds_content = old.version >= beat.version.checked_sub(beat.unchanged)?;
        let PeerBeat { version, unchanged, age_ms, store_reached_ms, .. } = beat;
        let expand = || PeerState { version, unchanged, age_ms, store_reached_ms, ..old.clone() };
        (is_same && holds_content).then(expand)
    }

    fn is_near(&self, receiver: &HostName) -> bool {
        self.hosts.get(receiver).is_some_and(|host| Some(&host.domain) == self.home.as_ref())
    }
}

impl KnownHost {
    fn beat(state: &PeerState) -> PeerBeat {
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
