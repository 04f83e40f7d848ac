//! Messages into and out of the decision core.

pub mod caller;
pub mod fleet;

use std::time::Instant;

use slotmap::new_key_type;
use tanagerdeal_wire::peer::{PeerReply, PeerRequest};
use tanagerdeal_wire::{EndpointName, HostName, scalar_type};

use crate::verdict::RequestRefusal;
use caller::{CallerAnswer, CallerCall};
use fleet::{MemberEvent, PeerEvent, StatusReport, StoreEvent, StoreRequest, TermCommand};

new_key_type! {
    /// A client session.
    pub struct SessionKey;
    /// An endpoint.
    pub struct EndpointKey;
    /// A group of endpoints.
    pub struct GroupKey;
    /// A request, or an open transaction, that holds a connection to an endpoint.
    pub struct DispatchKey;
    /// A request to another host that is in flight.
    pub struct PeerCallKey;
}

scalar_type! {
    /// Correlates an input with its answer; chosen by the runtime and unique among open calls.
    pub struct CallTag(pub u64);
}

/// An input of the core.
pub enum HostInput {
    /// A client session asks for a decision; answered by [`HostOutput::AnswerCaller`] where the
    /// call has an answer.
    Caller(CallTag, CallerCall),
    /// A response, or the lack of one, from the member API.
    Member(MemberEvent),
    /// A response, or the lack of one, from the platform.
    Store(StoreEvent),
    /// A message from, or the lack of a response by, another host.
    Peer(PeerEvent),
    /// The admin listener asks for the status; answered by [`HostOutput::AnswerStatus`].
    AskStatus(CallTag),
    /// The process was asked to shut down.
    ShutDown,
}

/// An output of the core.
pub enum HostOutput {
    /// Answer to a [`CallerCall`].
    AnswerCaller(CallTag, CallerAnswer),
    /// Close a session between two requests, with this error; a session that is in a transaction or
    /// is running a request gets it as the response to its next request.
    CloseSession(SessionKey, RequestRefusal),
    /// Ask a member for its status.
    ProbeMember {
        /// The member.
        endpoint: EndpointKey,
        /// Address of the member API.
        api_address: String,
    },
    /// Fence, promote or redirect a member.
    CommandMember {
        /// The member.
        endpoint: EndpointKey,
        /// Address of the member API.
        api_address: String,
        /// What to do.
        command: TermCommand,
    },
    /// Cap the connections that this host holds open to an endpoint.
    ///
    /// Idle connections above the cap are closed at once, busy ones when they are released and by
    /// `close_by` at the latest.
    LimitConnections {
        /// The endpoint.
        endpoint: EndpointKey,
        /// Its name.
        name: EndpointName,
        /// Address of the PostgreSQL listener.
        sql_address: String,
        /// Connections that may be open.
        limit: u32,
        /// When connections above the cap must be closed.
        close_by: Instant,
    },
    /// Call the platform.
    CallStore(StoreRequest),
    /// Send a request to another host.
    SendPeer {
        /// Identifies the response.
        call: PeerCallKey,
        /// The host.
        host: HostName,
        /// Address of its peer listener.
        address: String,
        /// The request.
        request: PeerRequest,
        /// When to give up.
        deadline: Instant,
    },
    /// Answer to [`PeerEvent::Asked`].
    AnswerPeer(CallTag, PeerReply),
    /// Answer to [`HostInput::AskStatus`].
    AnswerStatus(CallTag, Box<StatusReport>),
    /// A phase of the shutdown has begun.
    Drain(DrainPhase),
}

scalar_type! {
    /// Phases of a shutdown.
    pub enum DrainPhase {
        /// Serving.
        Serving,
        /// Readiness fails and the host list says leaving; new sessions are still accepted.
        Announced,
        /// The listener is closed; running requests finish.
        Draining,
        /// Nothing is left to finish; the process may exit.
        Finished,
    }
}
