//! Tasks that the driver hands to the parts of the runtime.

use std::time::Instant;

use tanagerdeal_core::message::fleet::{StoreRequest, TermCommand};
use tanagerdeal_core::message::{DrainPhase, EndpointKey, HostOutput, PeerCallKey};
use tanagerdeal_wire::peer::PeerRequest;
use tanagerdeal_wire::{EndpointName, HostName, value_type};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;

value_type! {
    /// A call of the member API.
    pub struct MemberTask {
        /// The member.
        pub endpoint: EndpointKey,
        /// Address of the member API, `ip:port`.
        pub api_address: String,
        /// What to do; nothing asks for the status only.
        pub command: Option<TermCommand>,
    }

    /// A request to another host.
    pub struct PeerTask {
        /// Identifies the response.
        pub call: PeerCallKey,
        /// The host.
        pub host: HostName,
        /// Address of its peer listener, `ip:port`.
        pub address: String,
        /// The request.
        pub request: PeerRequest,
        /// When to give up.
        pub deadline: Instant,
    }

    /// A new cap on the connections to an endpoint.
    pub struct LimitTask {
        /// The endpoint.
        pub endpoint: EndpointKey,
        /// Its name.
        pub name: EndpointName,
        /// Address of its PostgreSQL listener, `ip:port`.
        pub sql_address: String,
        /// Connections that may be open.
        pub limit: u32,
        /// When connections above the cap must be closed.
        pub close_by: Instant,
    }
}

/// Where the driver sends the outputs of the core.
pub struct DriverPorts {
    /// Calls of the member API.
    pub members: UnboundedSender<MemberTask>,
    /// Calls of the platform.
    pub store: UnboundedSender<StoreRequest>,
    /// Requests to other hosts.
    pub peers: UnboundedSender<PeerTask>,
    /// Caps on connections to endpoints.
    pub limits: UnboundedSender<LimitTask>,
    /// Phase of the shutdown.
    pub drain: watch::Sender<DrainPhase>,
}

impl DriverPorts {
    /// Sends an output to the part that carries it out; answers are none of them.
    ///
    /// A port whose receiver is gone belongs to a part that has ended with the process.
    pub(super) fn send(&self, output: HostOutput) {
        match output {
            HostOutput::ProbeMember { endpoint, api_address } => {
                let _ = self.members.send(MemberTask { endpoint, api_address, command: None });
            }
            HostOutput::CommandMember { endpoint, api_address, command } => {
                let command = Some(command);
                let _ = self.members.send(MemberTask { endpoint, api_address, command });
            }
            HostOutput::LimitConnections { endpoint, name, sql_address, limit, close_by } => {
                let task = LimitTask { endpoint, name, sql_address, limit, close_by };
                let _ = self.limits.send(task);
            }
            HostOutput::CallStore(request) => {
                let _ = self.store.send(request);
            }
            HostOutput::SendPeer { call, host, address, request, deadline } => {
                let _ = self.peers.send(PeerTask { call, host, address, request, deadline });
            }
            HostOutput::Drain(phase) => {
                self.drain.send_replace(phase);
            }
            HostOutput::AnswerCaller(..)
            | HostOutput::CloseSession(..)
            | HostOutput::AnswerPeer(..)
            | HostOutput::AnswerStatus(..) => {}
        }
    }
}
