//! What was last exchanged with one other host.

use std::collections::BTreeMap;
use std::time::Instant;

use tanagerdeal_wire::peer::{GroupAnnouncement, PeerState};
use tanagerdeal_wire::{DomainName, GroupName, value_type};

use crate::message::{CallTag, PeerCallKey};

/// What this host tells others about itself and about primaries.
#[derive(Default)]
pub struct OwnState {
    /// Number of the last state; rises with each one.
    pub version: u64,
    /// The last state.
    pub state: Option<PeerState>,
    /// When the next state is due even without a change.
    pub heartbeat_due: Option<Instant>,
    /// Primaries known, each with the sequence number of its last change.
    pub announcements: BTreeMap<GroupName, (u64, GroupAnnouncement)>,
    /// When the last extra pull was sent because the catalog was not confirmed.
    pub refreshed_at: Option<Instant>,
    /// When the first pull was considered; the turns of a relay are counted from there.
    pub started_at: Option<Instant>,
    /// When the announcements are compared again.
    pub announcements_due: Option<Instant>,
}

impl OwnState {
    /// Sequence number of the newest announcement.
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
    /// A pull of another host that waits for news.
    #[derive(Copy)]
    pub struct HeldPull {
        /// Identifies the answer.
        pub tag: CallTag,
        /// When the pull arrived.
        pub since: Instant,
        /// Revision of the other host's catalog.
        pub revision: u64,
        /// Sequence number up to which the other host has the states.
        pub seen: u64,
    }

    /// What was last exchanged with one other host.
    #[derive(Default)]
    pub struct PeerLink {
        /// Pull of the other host that waits for news here.
        pub held: Option<HeldPull>,
        /// This host's newest pull in flight to the other.
        pub pulling: Option<PeerCallKey>,
        /// When that pull was sent.
        pub pulled_at: Option<Instant>,
        /// Sequence number of the other host's last answer.
        pub seen: u64,
        /// Own sequence number up to which the other host has confirmed states.
        pub sent: u64,
        /// Own sequence number up to which urgent news was sent, or found not to be needed.
        pub considered: u64,
        /// Incarnation of the other host that these numbers belong to.
        pub incarnation: u64,
        /// Confirmation of the catalog that the other host was last told.
        pub told_confirmed_at: Option<Instant>,
        /// Failure domains that the other host has not heard of lately, as it said.
        pub unheard: Vec<DomainName>,
        /// Pulls that failed since the last answer.
        pub failures: u32,
        /// When the next pull may be sent after failures.
        pub retry_at: Option<Instant>,
    }
}
