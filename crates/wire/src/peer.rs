//! Messages between hosts, encoded with postcard.

use crate::member::LogPosition;
use crate::{CustomerName, DomainName, EndpointName, GroupName, HostName};

/// ALPN name of the peer protocol; a host of another version is refused in the handshake.
pub const PEER_ALPN: &[u8] = b"tanagerdeal/1";

/// Longest peer message accepted, in bytes.
pub const MAX_PEER_BYTES: usize = 4 * 1024 * 1024;

wire_type! {
    /// A request of one host to another.
    pub enum PeerRequest {
        /// Asks for changes and state; answered at once when there is news, else within 1 s.
        Pull(PullRequest),
        /// Asks for a loan of a share.
        Borrow(BorrowRequest),
        /// Gives the whole share of a host that leaves.
        Handover(ShareHandover),
    }

    /// Answer to a [`PeerRequest`].
    pub enum PeerReply {
        /// Answer to a pull.
        Pull(PullReply),
        /// Answer to a borrow request; empty amounts when nothing can be lent.
        Loan(ShareLoan),
        /// A handover was taken.
        Accepted,
        /// The request was not understood or not permitted.
        Refused(String),
    }

    /// What a host knows and what it asks for.
    pub struct PullRequest {
        /// Revision of the sender's catalog.
        pub revision: u64,
        /// Sequence number of the last [`PullReply`] from this peer, 0 for none.
        pub seen: u64,
        /// The sender's own state and the states it relays.
        pub states: Vec<PeerState>,
        /// Heartbeats of hosts whose states have not changed otherwise.
        pub beats: Vec<PeerBeat>,
        /// Failure domains that the sender has not heard of lately; relayed states of others are left
        /// out between failure domains.
        pub unheard: Vec<DomainName>,
        /// Announcements of primaries known to the sender.
        pub groups: Vec<GroupAnnouncement>,
    }

    /// Changes and state since the last pull.
    pub struct PullReply {
        /// Sequence number to be sent with the next pull.
        pub seen: u64,
        /// Revision up to which the entries bring the receiver.
        pub revision: u64,
        /// Catalog entries in revision order.
        pub entries: Vec<CatalogEntry>,
        /// Microseconds since the sender's catalog was last known to equal the store.
        pub catalog_age_us: Option<u64>,
        /// Microseconds for which the sender held the request before it answered.
        pub held_us: u64,
        /// States of hosts.
        pub states: Vec<PeerState>,
        /// Heartbeats of hosts whose states have not changed otherwise.
        pub beats: Vec<PeerBeat>,
        /// Failure domains that the sender has not heard of lately.
        pub unheard: Vec<DomainName>,
        /// Announcements of primaries.
        pub groups: Vec<GroupAnnouncement>,
    }

    /// One catalog entry; the value is JSON text, because postcard is not self-describing.
    pub struct CatalogEntry {
        /// Key in the table service.
        pub key: String,
        /// Revision of the last write.
        pub revision: u64,
        /// JSON text, or nothing when the key was deleted.
        pub value: Option<String>,
    }

    /// What a host tells about itself; relayed by others.
    pub struct PeerState {
        /// The host.
        pub host: HostName,
        /// Its failure domain.
        pub domain: DomainName,
        /// Random number drawn at each start.
        pub incarnation: u64,
        /// Rises with each new state of this incarnation.
        pub version: u64,
        /// Number of versions since anything but the version and the last contact with the store
        /// changed.
        pub unchanged: u64,
        /// Age of the state in milliseconds when it was sent.
        pub age_ms: u32,
        /// Address of the peer listener, `ip:port`.
        pub peer_address: String,
        /// Whether the host is shutting down.
        pub leaving: bool,
        /// Milliseconds since the host last reached the store; absent when never.
        pub store_reached_ms: Option<u64>,
        /// Whether the host's latest attempts to reach the store failed.
        pub store_failing: bool,
        /// Epoch of the share view that the host has adopted.
        pub view_epoch: u64,
        /// Epoch of the list of failure domains that the host has adopted.
        pub fleet_epoch: u64,
        /// Groups whose primary the host suspects, with the term it suspects.
        pub suspicions: Vec<GroupSuspicion>,
    }

    /// A newer version of a [`PeerState`] that differs only in what is given here.
    pub struct PeerBeat {
        /// The host.
        pub host: HostName,
        /// Lower half of the incarnation.
        pub incarnation: u32,
        /// Version of the state.
        pub version: u64,
        /// Number of versions since the rest of the state changed; a receiver that holds an older
        /// version than that ignores the heartbeat.
        pub unchanged: u64,
        /// Age of the state in milliseconds when it was sent.
        pub age_ms: u32,
        /// Milliseconds since the host last reached the store; absent when never.
        pub store_reached_ms: Option<u64>,
    }

    /// A host's suspicion that a primary has failed.
    pub struct GroupSuspicion {
        /// The group.
        pub group: GroupName,
        /// Term of the suspected primary.
        pub term: u64,
    }

    /// The primary of a group in a term.
    pub struct GroupAnnouncement {
        /// The group.
        pub group: GroupName,
        /// The primary.
        pub primary: EndpointName,
        /// Where its term began.
        pub start: LogPosition,
    }

    /// A resource that is shared out among hosts.
    #[derive(Hash)]
    pub enum ShareResource {
        /// A customer's rate and burst, in millionths.
        CustomerRate(CustomerName),
        /// Connections of an endpoint, in connections.
        EndpointConnections(EndpointName),
    }

    /// Asks for a loan.
    pub struct BorrowRequest {
        /// The resource.
        pub resource: ShareResource,
        /// Units wanted.
        pub units: u64,
        /// Milliseconds for which they are wanted; a lender may give them for a shorter time.
        pub valid_ms: u64,
        /// The borrower.
        pub borrower: HostName,
        /// Incarnation of the borrower.
        pub incarnation: u64,
    }

    /// A loan, valid from when the borrower sent its request.
    pub struct ShareLoan {
        /// The resource.
        pub resource: ShareResource,
        /// Units lent.
        pub units: u64,
        /// Tokens that come with it, in thousandths of a request.
        pub millitokens: u64,
        /// Milliseconds for which it is valid.
        pub valid_ms: u64,
    }

    /// The whole share of a host that leaves.
    pub struct ShareHandover {
        /// The host that leaves.
        pub host: HostName,
        /// Its incarnation.
        pub incarnation: u64,
        /// Loans that end with the lease of the host that leaves.
        pub loans: Vec<ShareLoan>,
        /// Milliseconds for which the loans are valid from when the message was sent.
        pub valid_ms: u64,
    }
}

impl PullReply {
    /// Upper bound in microseconds of the catalog's age when a reply arrives.
    ///
    /// The time on the wire back is unknown, so the whole round trip counts, less the time for
    /// which the sender held the request before it measured the age.
    ///
    /// ```
    /// use tanagerdeal_wire::peer::PullReply;
    ///
    /// let reply = PullReply {
    ///     seen: 1,
    ///     revision: 1,
    ///     entries: Vec::new(),
    ///     catalog_age_us: Some(100),
    ///     held_us: 900,
    ///     states: Vec::new(),
    ///     beats: Vec::new(),
    ///     unheard: Vec::new(),
    ///     groups: Vec::new(),
    /// };
    /// assert_eq!(reply.age_on_arrival_us(1_000), Some(200));
    /// ```
    pub fn age_on_arrival_us(&self, round_trip_us: u64) -> Option<u64> {
        self.catalog_age_us.map(|age| age + round_trip_us.saturating_sub(self.held_us))
    }
}
