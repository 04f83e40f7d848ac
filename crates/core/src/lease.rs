//! This host's lease, its work on share views, and the base share that follows from both.

use std::collections::BTreeMap;
use std::time::Instant;

use tanagerdeal_wire::value_type;
use tanagerdeal_wire::view::ViewMember;

use crate::share::BaseShare;

value_type! {
    /// The lease of this host.
    #[derive(Default)]
    pub struct LeaseState {
        /// Counts the leases of this incarnation; a lease that ended is not continued.
        pub generation: u64,
        /// Counts the renewals of this incarnation.
        pub renewal: u64,
        /// Revision of the last lease record known to be this host's, 0 when there is none.
        pub revision: u64,
        /// When the lease ends for its holder; absent while there is none.
        pub valid_until: Option<Instant>,
        /// When the next renewal is due.
        pub renew_at: Option<Instant>,
        /// The renewal in flight.
        pub in_flight: Option<LeaseWrite>,
        /// Renewals of the current generation whose outcome is unknown, by number.
        pub unresolved: BTreeMap<u64, Instant>,
        /// Set when the record must be read back: only reads sent later tell the outcome.
        pub read_back_after: Option<Instant>,
        /// Whether a renewal of this incarnation was ever accepted.
        pub is_established: bool,
        /// Whether another incarnation of this host has taken the lease.
        pub is_superseded: bool,
        /// Whether the host gave up the lease because it leaves.
        pub is_released: bool,
        /// Hold time in milliseconds of a release that the store has not accepted yet.
        pub release_ms: Option<u64>,
    }

    /// A renewal in flight.
    #[derive(Copy)]
    pub struct LeaseWrite {
        /// Number of the renewal.
        pub renewal: u64,
        /// When it was sent.
        pub sent_at: Instant,
        /// Whether it releases the lease.
        pub is_release: bool,
    }

    /// Work on the share views of this host's failure domain, and of those without hosts.
    #[derive(Default)]
    pub struct MaintainState {
        /// Whether a change of a view is in flight.
        pub is_writing: bool,
        /// Nothing is changed before a complete read of the feed that was sent after this.
        pub read_after: Option<Instant>,
        /// Sending time of the last complete read of the feed by this host.
        pub feed_read_at: Option<Instant>,
        /// The read as of which the views were examined last.
        pub examined_at: Option<Instant>,
        /// Since when a change has been wanted; a relay of rank 1 leaves it to rank 0 for a while.
        pub wanted_since: Option<Instant>,
        /// Members of views that have no lease of their own, with when that was first seen.
        pub missing: Vec<(ViewMember, Instant)>,
    }

    /// The base share of this host.
    #[derive(Default)]
    pub struct BaseState {
        /// Epochs of the list of failure domains and of the view that were adopted.
        pub adopted: ViewEpochs,
        /// Epochs that were reported to other hosts.
        pub reported: ViewEpochs,
        /// Epochs at which the full share of the view was taken into use.
        pub raised: Option<ViewEpochs>,
        /// The base share in use.
        pub base: Option<BaseShare>,
        /// Incarnation-local lease to which the share belongs.
        pub generation: u64,
    }

    /// Epochs that together determine a base share.
    #[derive(Copy, Default)]
    pub struct ViewEpochs {
        /// Epoch of the list of failure domains.
        pub fleet: u64,
        /// Epoch of the share view of the own failure domain.
        pub view: u64,
    }
}
