//! Runtime of the decision core: an actor that feeds it messages and carries out its outputs.

mod handle;
mod port;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use ractor::{Actor, ActorProcessingErr, ActorRef};
use tanagerdeal_core::host::HostState;
use tanagerdeal_core::message::caller::{CallerAnswer, CallerCall, RequestEnding};
use tanagerdeal_core::message::fleet::{PeerEvent, StatusReport};
use tanagerdeal_core::message::{CallTag, HostInput, HostOutput, SessionKey};
use tanagerdeal_core::profile::{HostPolicies, HostProfile, HostTiming};
use tanagerdeal_core::verdict::RequestRefusal;
use tanagerdeal_wire::HostName;
use tanagerdeal_wire::peer::{PeerReply, PeerRequest};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::MissedTickBehavior;

pub use handle::DriverHandle;
pub use port::{DriverPorts, LimitTask, MemberTask, PeerTask};

/// Interval between two runs of the core's systems.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Why the driver could not be started.
#[derive(Debug, thiserror::Error)]
#[error("the driver actor did not start: {0}")]
pub struct DriverError(String);

/// Messages of the driver actor.
pub(crate) enum DriverMessage {
    /// An input without an answer.
    Input(HostInput),
    /// A call whose answer is not needed.
    Tell(CallerCall),
    /// A call with an answer.
    Call(CallerCall, oneshot::Sender<CallerAnswer>),
    /// Opens a session; the second sender is told when the core closes it.
    Open(CallerCall, oneshot::Sender<CallerAnswer>, oneshot::Sender<RequestRefusal>),
    /// A request of another host.
    AskPeer(HostName, PeerRequest, oneshot::Sender<PeerReply>),
    /// Asks for the status.
    Status(oneshot::Sender<StatusReport>),
    /// Replaces intervals and policies.
    Adopt(Box<(HostTiming, HostPolicies)>),
    /// Time for the core's systems.
    Tick,
}

/// Starts the driver; the join handle ends when the actor has stopped or failed.
///
/// ```
/// use tanagerdeal::driver::{self, DriverPorts};
/// use tanagerdeal_core::message::DrainPhase;
/// use tanagerdeal_core::profile::{HostIdentity, HostPolicies, HostProfile, HostTiming};
/// use tanagerdeal_wire::{DomainName, HostName};
/// use tokio::sync::{mpsc, watch};
///
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// let identity = HostIdentity {
///     host: HostName::new("h1").unwrap(),
///     domain: DomainName::new("d1").unwrap(),
///     incarnation: 1,
///     peer_address: "127.0.0.1:1".to_owned(),
///     admin_address: "127.0.0.1:2".to_owned(),
/// };
/// let profile = HostProfile {
///     identity,
///     timing: HostTiming::default(),
///     policies: HostPolicies::default(),
///     fleet_secret: b"secret".to_vec(),
///     seed: 1,
/// };
/// let ports = DriverPorts {
///     members: mpsc::unbounded_channel().0,
///     store: mpsc::unbounded_channel().0,
///     peers: mpsc::unbounded_channel().0,
///     limits: mpsc::unbounded_channel().0,
///     drain: watch::channel(DrainPhase::Serving).0,
/// };
/// let (handle, _) = driver::start(profile, ports).await.unwrap();
/// assert_eq!(handle.status().await.unwrap().host, "h1");
/// # });
/// ```
///
/// # Errors
///
/// Fails when the actor runtime refuses to start the actor.
pub async fn start(
    profile: HostProfile,
    ports: DriverPorts,
) -> Result<(DriverHandle, JoinHandle<()>), DriverError> {
    let arguments = (profile, ports);
    let (actor, join) = Actor::spawn(None, DriverActor, arguments)
        .await
        .map_err(|error| DriverError(error.to_string()))?;
    tokio::spawn(send_ticks(actor.clone()));
    Ok((DriverHandle::new(actor), join))
}

async fn send_ticks(actor: ActorRef<DriverMessage>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if actor.send_message(DriverMessage::Tick).is_err() {
            return;
        }
    }
}

struct DriverActor;

/// State of the actor: the core and the answers that are still owed.
struct DriverState {
    core: HostState,
    ports: DriverPorts,
    last_tag: u64,
    calls: HashMap<CallTag, PendingCall>,
    peers: HashMap<CallTag, oneshot::Sender<PeerReply>>,
    reports: HashMap<CallTag, oneshot::Sender<StatusReport>>,
    sessions: HashMap<SessionKey, oneshot::Sender<RequestRefusal>>,
}

struct PendingCall {
    reply: oneshot::Sender<CallerAnswer>,
    closing: Option<oneshot::Sender<RequestRefusal>>,
}

impl Actor for DriverActor {
    type Msg = DriverMessage;
    type State = DriverState;
    type Arguments = (HostProfile, DriverPorts);

    async fn pre_start(
        &self,
        _myself: ActorRef<DriverMessage>,
        (profile, ports): (HostProfile, DriverPorts),
    ) -> Result<DriverState, ActorProcessingErr> {
        Ok(DriverState::new(profile, ports))
    }

    async fn handle(
        &self,
        _myself: ActorRef<DriverMessage>,
        message: DriverMessage,
        state: &mut DriverState,
    ) -> Result<(), ActorProcessingErr> {
        state.receive(Instant::now(), message);
        Ok(())
    }
}

impl DriverState {
    fn new(profile: HostProfile, ports: DriverPorts) -> Self {
        Self {
            core: HostState::new(profile),
            ports,
            last_tag: 0,
            calls: HashMap::new(),
            peers: HashMap::new(),
            reports: HashMap::new(),
            sessions: HashMap::new(),
        }
    }

    fn receive(&mut self, now: Instant, message: DriverMessage) {
        let mut outputs = Vec::new();
        match message {
            DriverMessage::Tick => {
                // An abandoned request gets no answer, so nothing else removes its entry.
                self.calls.retain(|_, pending| !pending.reply.is_closed());
                self.core.tick(now, &mut outputs);
            }
            DriverMessage::Adopt(change) => self.core.adopt_settings(change.0, change.1),
            message => {
                let input = self.input_of(message);
                if let Some(input) = input {
                    self.core.handle(now, input, &mut outputs);
                }
            }
        }
        while !outputs.is_empty() {
            let mut follow_ups = Vec::new();
            for output in outputs.drain(..) {
                self.carry_out(output, &mut follow_ups);
            }
            for call in follow_ups {
                let input = HostInput::Caller(self.next_tag(), call);
                self.core.handle(now, input, &mut outputs);
            }
        }
    }

    fn next_tag(&mut self) -> CallTag {
        self.last_tag += 1;
        CallTag(self.last_tag)
    }

    fn input_of(&mut self, message: DriverMessage) -> Option<HostInput> {
        let tag = self.next_tag();
        let input = match message {
            DriverMessage::Input(input) => input,
            DriverMessage::Tell(call) => {
                if let CallerCall::CloseSession { session } = call {
                    self.sessions.remove(&session);
                }
                HostInput::Caller(tag, call)
            }
            DriverMessage::Call(call, reply) => {
                self.calls.insert(tag, PendingCall { reply, closing: None });
                HostInput::Caller(tag, call)
            }
            DriverMessage::Open(call, reply, closing) => {
                self.calls.insert(tag, PendingCall { reply, closing: Some(closing) });
                HostInput::Caller(tag, call)
            }
            DriverMessage::AskPeer(from, request, reply) => {
                self.peers.insert(tag, reply);
                HostInput::Peer(PeerEvent::Asked { tag, from, request })
            }
            DriverMessage::Status(reply) => {
                self.reports.insert(tag, reply);
                HostInput::AskStatus(tag)
            }
            DriverMessage::Adopt(_) | DriverMessage::Tick => return None,
        };
        Some(input)
    }

    /// Carries out one output. A receiver that is gone belongs to a session or a process that
    /// ends, so its messages are dropped.
    fn carry_out(&mut self, output: HostOutput, follow_ups: &mut Vec<CallerCall>) {
        match output {
            HostOutput::AnswerCaller(tag, answer) => self.answer(tag, answer, follow_ups),
            HostOutput::CloseSession(session, refusal) => {
                if let Some(closing) = self.sessions.remove(&session) {
                    let _ = closing.send(refusal);
                }
            }
            HostOutput::AnswerPeer(tag, reply) => {
                if let Some(sender) = self.peers.remove(&tag) {
                    let _ = sender.send(reply);
                }
            }
            HostOutput::AnswerStatus(tag, report) => {
                if let Some(sender) = self.reports.remove(&tag) {
                    let _ = sender.send(*report);
                }
            }
            output => self.ports.send(output),
        }
    }

    /// Delivers an answer. What the core set aside for a caller that has gone is given back.
    fn answer(&mut self, tag: CallTag, answer: CallerAnswer, follow_ups: &mut Vec<CallerCall>) {
        let Some(pending) = self.calls.remove(&tag) else {
            return;
        };
        if let (CallerAnswer::SessionOpened { session }, Some(closing)) = (&answer, pending.closing)
        {
            self.sessions.insert(*session, closing);
        }
        if let Err(answer) = pending.reply.send(answer) {
            if let CallerAnswer::SessionOpened { session } = &answer {
                self.sessions.remove(session);
            }
            follow_ups.extend(undo(&answer));
        }
    }
}

/// The call that gives back what an undelivered answer had set aside.
pub(crate) fn undo(answer: &CallerAnswer) -> Option<CallerCall> {
    match answer {
        CallerAnswer::RequestPlaced(plan) => Some(CallerCall::EndRequest {
            dispatch: plan.dispatch,
            ending: RequestEnding::NotSent,
            seen: None,
            in_transaction: false,
        }),
        CallerAnswer::SessionOpened { session } => {
            Some(CallerCall::CloseSession { session: *session })
        }
        _ => None,
    }
}
