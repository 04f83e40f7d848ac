//! Events from members, the platform and other hosts, and the requests to them.

use std::time::Instant;

use tanagerdeal_wire::member::{FollowRequest, MemberStatus, TermReply, TermRequest};
use tanagerdeal_wire::peer::{PeerReply, PeerRequest};
use tanagerdeal_wire::platform::{EntryPage, HostEntry, HostList, TxnConflict, TxnRequest};
use tanagerdeal_wire::{HostName, value_type, wire_type};

use super::{CallTag, EndpointKey, PeerCallKey};
use crate::counter::HostCounters;

value_type! {
    /// What became known about a member.
    pub enum MemberEvent {
        /// It answered a probe.
        Answered {
            /// The member.
            endpoint: EndpointKey,
            /// When the probe was sent.
            asked_at: Instant,
            /// Its status.
            status: MemberStatus,
        },
        /// It did not answer a probe.
        Unreachable {
            /// The member.
            endpoint: EndpointKey,
            /// When the probe was sent.
            asked_at: Instant,
        },
        /// It answered, or did not answer, a command.
        Commanded {
            /// The member.
            endpoint: EndpointKey,
            /// The command.
            command: TermCommand,
            /// The response, absent when there was none.
            reply: Option<TermReply>,
        },
    }

    /// A command of the member API.
    pub enum TermCommand {
        /// Promise to accept nothing below a term.
        Fence(TermRequest),
        /// Become the primary of a term.
        Promote(TermRequest),
        /// Follow the primary of a term.
        Follow(FollowRequest),
    }

    /// A call of the platform.
    pub enum StoreRequest {
        /// Read the change feed after a revision.
        ReadChanges {
            /// The revision.
            after: u64,
        },
        /// Run a transaction.
        Transact {
            /// Returned with the response.
            purpose: StorePurpose,
            /// The transaction.
            txn: TxnRequest,
        },
        /// Read the list of hosts.
        ListHosts,
        /// Tell the platform that this host is there.
        Heartbeat(HostEntry),
    }

    /// What a transaction of this host is for.
    #[derive(Copy)]
    pub enum StorePurpose {
        /// Renewal of the host's lease.
        Lease,
        /// Change of the failure domain's share view.
        View,
        /// Announcement of a primary.
        Announce,
    }

    /// Why a call of the platform failed.
    pub enum StoreFault {
        /// Refused, timed out or unreadable; a write may have taken effect.
        Unavailable,
        /// A check of a transaction failed; nothing was written.
        Conflict(TxnConflict),
    }

    /// A response of the platform.
    pub enum StoreEvent {
        /// Response to `ReadChanges`.
        ChangesRead {
            /// Revision after which entries were asked for; several reads can be in flight.
            after: u64,
            /// When the request was sent.
            asked_at: Instant,
            /// All changes up to the revision that was current when the last page was read.
            result: Result<EntryPage, StoreFault>,
        },
        /// Response to `Transact`.
        Transacted {
            /// As in the request.
            purpose: StorePurpose,
            /// When the request was sent.
            asked_at: Instant,
            /// The new revision.
            result: Result<u64, StoreFault>,
        },
        /// Response to `ListHosts`.
        HostsListed {
            /// The hosts.
            result: Result<HostList, StoreFault>,
        },
    }

    /// A message of another host.
    pub enum PeerEvent {
        /// Another host asks; answered by [`super::HostOutput::AnswerPeer`].
        Asked {
            /// Identifies the answer.
            tag: CallTag,
            /// The host, as named in its certificate.
            from: HostName,
            /// The request.
            request: PeerRequest,
        },
        /// Another host answered, or did not.
        Answered {
            /// The call.
            call: PeerCallKey,
            /// When the request was sent.
            asked_at: Instant,
            /// The response, absent when there was none.
            reply: Option<PeerReply>,
        },
    }
}

wire_type! {
    /// Status of a host, as its admin listener shows it in JSON.
    pub struct StatusReport {
        /// The host.
        pub host: String,
        /// Its failure domain.
        pub domain: String,
        /// Revision of the catalog in effect.
        pub revision: u64,
        /// Milliseconds since the catalog was last confirmed; absent when never.
        pub catalog_age_ms: Option<u64>,
        /// Whether keyed requests are served.
        pub serving_keyed: bool,
        /// Whether the host is ready for new sessions.
        pub ready: bool,
        /// Table keys of records that this version does not understand.
        pub unknown_records: Vec<String>,
        /// Hosts known.
        pub hosts: Vec<HostReport>,
        /// Groups known.
        pub groups: Vec<GroupReport>,
        /// Limits of customers.
        pub limits: Vec<LimitReport>,
        /// Counters since the start.
        pub counters: HostCounters,
    }

    /// A host as seen by another.
    pub struct HostReport {
        /// Its name.
        pub host: String,
        /// Its failure domain.
        pub domain: String,
        /// `live`, `leaving` or `silent`.
        pub state: String,
    }

    /// A group as seen by a host.
    pub struct GroupReport {
        /// Its name.
        pub group: String,
        /// Its highest term.
        pub term: u64,
        /// Its primary, when one is known.
        pub primary: Option<String>,
        /// Members with their applied offset.
        pub members: Vec<MemberReport>,
    }

    /// A member as seen by a host.
    pub struct MemberReport {
        /// Its name.
        pub endpoint: String,
        /// `primary`, `replica`, `fenced` or `unreachable`, with `leaving` or `out` added.
        pub state: String,
        /// Offset of the last entry applied.
        pub applied: u64,
        /// Requests of this host in flight.
        pub in_flight: u32,
        /// Connections that this host may open.
        pub connection_limit: u32,
    }

    /// A customer's limit on a host.
    pub struct LimitReport {
        /// The customer.
        pub customer: String,
        /// Share of the rate held, in millionths.
        pub share: u64,
        /// Sessions open.
        pub sessions: u32,
    }
}
