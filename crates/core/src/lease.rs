//! State of this host's lease, of its share view maintenance, and of the base share derived from
//! both.

use std::collections::BTreeMap;
use std::time::Instant;

use tanagerdeal_wire::value_type;
use tanagerdeal_wire::view::ViewMember;

use crate::share::BaseShare;

value_type! {
    /// The lease of this host.
    #[derive(Default)]
    pub struct LeaseState {
        /// Number of leases of this incarnation. A lease that expired is not continued; the next
        /// one has a new generation.
        pub generation: u64,
        /// Number of renewals sent by this incarnation.
        pub renewal: u64,
        /// Revision of the last lease record known to have been written by this host, 0 if none is.
        pub revision: u64,
        /// When the lease expires for this host; absent while it has no lease.
        pub valid_until: Option<Instant>,
        /// When the next renewal is due.
        pub renew_at: Option<Instant>,
        /// The renewal in flight.
        pub in_flight: Option<LeaseWrite>,
        /// Renewals of the current generation whose outcome is unknown, by number, with when they
        /// were sent.
        pub unresolved: BTreeMap<u64, Instant>,
        /// Set when the lease record must be read back: only reads sent after this time show the
        /// outcome.
        pub read_back_after: Option<Instant>,
        /// Whether a renewal of this incarnation was ever accepted.
        pub is_established: bool,
        /// Whether another incarnation of this host has taken over the lease.
        pub is_superseded: bool,
        /// Whether the host has released the lease because it leaves.
        pub is_released: bool,
        /// Milliseconds after the release is seen during which other hosts must not use the share;
        /// set until the store has accepted the release.
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

    /// Maintenance of the share views of this host's failure domain and of those without hosts.
    #[derive(Default)]
    pub struct MaintainState {
        /// Whether a change of a view is in flight.
        pub is_writing: bool,
        /// When the last change of a view was answered. No other change is made before a complete
        /// read of the change feed that was sent later.
        pub read_after: Option<Instant>,
        /// When the last complete read of the change feed by this host was sent.
        pub feed_read_at: Option<Instant>,
        /// Value of `feed_read_at` at the last check of the views.
        pub examined_at: Option<Instant>,
        /// When a pending change was first seen to be needed. A relay of rank 1 leaves it to the
        /// one of rank 0 for a while.
        pub wanted_since: Option<Instant>,
        /// Members of views without a lease of their own, with the time at which that was first
        /// seen.
        pub missing: Vec<(ViewMember, Instant)>,
    }

    /// The base share of this host.
    #[derive(Default)]
    pub struct BaseState {
        /// Epochs of the list of failure domains and of the view that this host has adopted.
        pub adopted: ViewEpochs,
        /// Epochs that this host has reported as adopted to other hosts.
        pub reported: ViewEpochs,
        /// Epochs at which this host began to use its full share of the view.
        pub raised: Option<ViewEpochs>,
        /// The base share in use.
        pub base: Option<BaseShare>,
        /// Generation of the lease to which the share belongs.
        pub generation: u64,
    }

    /// Epochs that together determine a base share.
    #[derive(Copy, Default)]
    pub struct ViewEpochs {
        /// Epoch of the list of failure domains.
        pub fleet: u64,
        /// Epoch of the share view of the host's own failure domain.
        pub view: u64,
    }
}
