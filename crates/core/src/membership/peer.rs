//! Replication state per peer, and the state that this host publishes.

use std::collections::BTreeMap;
use std::time::Instant;

use tanagerdeal_wire::peer::{GroupAnnouncement, PeerState};
use tanagerdeal_wire::{DomainName, GroupName, value_type};

use crate::message::{CallTag, PeerCallKey};

/// What this host publishes to peers: its own state and the known primaries.
#[derive(Default)]
pub struct OwnState {
    /// Version of the last published state; increases with each one.
    pub version: u64,
    /// The last published state, absent before the first one.
    pub state: Option<PeerState>,
    /// When the next state is due even without a change.
    pub heartbeat_due: Option<Instant>,
    /// Known primaries by group, each with the sequence number of its last change.
    pub announcements: BTreeMap<GroupName, (u64, GroupAnnouncement)>,
    /// When pulls from additional hosts were last sent because the catalog was not confirmed.
    pub refreshed_at: Option<Instant>,
    /// When pull targets were first selected. A relay's rotation among failure domains starts here.
    pub started_at: Option<Instant>,
    /// When the announcements are next compared with the known primaries.
    pub announcements_due: Option<Instant>,
}

impl OwnState {
    /// Sequence number of the newest announcement, 0 if there is none.
    pub(crate) fn newest_announcement(&self) -> u64 {
        self.announcements.values().map(|(sequence, _)| *sequence).max().unwrap_or(0)
    }

    /// Announcements that changed after a sequence number.
    pub(crate) fn announcements_after(&self, seen: u64) -> Vec<GroupAnnouncement> {
        let newer = self.announcements.values().filter(|(sequence, _)| *sequence > seen);
        newer.map(|(_, announcement)| announcement.clone()).collect()
    }
}

value_type! {
    /// A pull of another host that this host holds open until there are changes (long polling).
    #[derive(Copy)]
    pub struct HeldPull {
        /// Identifies the call to answer.
        pub tag: CallTag,
        /// When the pull arrived.
        pub since: Instant,
        /// Catalog revision of the other host when it sent the pull.
        pub revision: u64,
        /// Sequence number of this host up to which the other host has received states.
        pub seen: u64,
    }

    /// Replication state of one peer.
    #[derive(Default)]
    pub struct PeerLink {
        /// Pull of the other host that this host holds open.
        pub held: Option<HeldPull>,
        /// This host's newest pull in flight to the other host.
        pub pulling: Option<PeerCallKey>,
        /// When that pull was sent.
        pub pulled_at: Option<Instant>,
        /// Sequence number of the other host in its last answer.
        pub seen: u64,
        /// Sequence number of this host up to which the other host has acknowledged states.
        pub sent: u64,
        /// Sequence number of this host up to which urgent changes were sent or did not concern the
        /// other host.
        pub considered: u64,
        /// Incarnation of the other host to which `seen` and `sent` belong.
        pub incarnation: u64,
        /// This host's catalog confirmation time in the last answer to the other host.
        pub told_confirmed_at: Option<Instant>,
        /// Failure domains of which the other host has reported that it lacks recent states.
        pub unheard: Vec<DomainName>,
        /// Number of pulls that failed since the last answer.
        pub failures: u32,
        /// Earliest time of the next pull after a failure.
        pub retry_at: Option<Instant>,
    }
}
