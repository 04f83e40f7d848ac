//! Handle through which the parts of the runtime talk to the driver.

use ractor::ActorRef;
use tanagerdeal_core::message::caller::{CallerAnswer, CallerCall, SessionOpening};
use tanagerdeal_core::message::fleet::StatusReport;
use tanagerdeal_core::message::{HostInput, SessionKey};
use tanagerdeal_core::profile::{HostPolicies, HostTiming};
use tanagerdeal_core::verdict::{RefusalCode, RequestRefusal};
use tanagerdeal_wire::HostName;
use tanagerdeal_wire::peer::{PeerReply, PeerRequest};
use tokio::sync::oneshot;

use super::{DriverMessage, undo};

/// Sends messages to the driver; clones share one driver.
///
/// After the driver has stopped, calls are refused as a shutdown.
#[derive(Clone)]
pub struct DriverHandle {
    actor: ActorRef<DriverMessage>,
}

/// Takes an answer; when it is dropped with an answer undelivered, gives back what the core set
/// aside for it.
struct AnswerWait {
    handle: DriverHandle,
    receiver: oneshot::Receiver<CallerAnswer>,
}

impl DriverHandle {
    pub(super) fn new(actor: ActorRef<DriverMessage>) -> Self {
        Self { actor }
    }

    /// Hands an input to the core.
    pub fn notify(&self, input: HostInput) {
        self.send(DriverMessage::Input(input));
    }

    /// Makes a call that has no answer, or whose answer is not needed.
    pub fn tell(&self, call: CallerCall) {
        self.send(DriverMessage::Tell(call));
    }

    /// Makes a call and waits for its answer. When the future is dropped early, a placed request is
    /// ended as not sent and an opened session is closed.
    pub async fn call(&self, call: CallerCall) -> CallerAnswer {
        let (reply, receiver) = oneshot::channel();
        let wait = AnswerWait { handle: self.clone(), receiver };
        self.send(DriverMessage::Call(call, reply));
        wait.answer().await
    }

    /// Opens a session; the receiver is told when the core wants the session closed.
    ///
    /// # Errors
    ///
    /// Returns the core's refusal.
    pub async fn open_session(
        &self,
        opening: SessionOpening,
    ) -> Result<(SessionKey, oneshot::Receiver<RequestRefusal>), RequestRefusal> {
        let (reply, receiver) = oneshot::channel();
        let (closing, closed) = oneshot::channel();
        let wait = AnswerWait { handle: self.clone(), receiver };
        self.send(DriverMessage::Open(CallerCall::OpenSession(opening), reply, closing));
        match wait.answer().await {
            CallerAnswer::SessionOpened { session } => Ok((session, closed)),
            CallerAnswer::Refused(refusal) => Err(refusal),
            _ => Err(RequestRefusal::not_run(RefusalCode::Unavailable, "unexpected answer")),
        }
    }

    /// Hands a request of another host to the core and waits for the reply.
    pub async fn ask_peer(&self, from: HostName, request: PeerRequest) -> PeerReply {
        let (reply, receiver) = oneshot::channel();
        self.send(DriverMessage::AskPeer(from, request, reply));
        receiver.await.unwrap_or_else(|_| PeerReply::Refused("shutting down".to_owned()))
    }

    /// Status of the host; nothing after the driver has stopped.
    pub async fn status(&self) -> Option<StatusReport> {
        let (reply, receiver) = oneshot::channel();
        self.send(DriverMessage::Status(reply));
        receiver.await.ok()
    }

    /// Replaces intervals and policies.
    pub fn adopt_settings(&self, timing: HostTiming, policies: HostPolicies) {
        self.send(DriverMessage::Adopt(Box::new((timing, policies))));
    }

    /// A message to a stopped driver is dropped together with its reply sender, which the waiting
    /// side sees as a closed channel.
    fn send(&self, message: DriverMessage) {
        let _ = self.actor.send_message(message);
    }
}

impl AnswerWait {
    async fn answer(mut self) -> CallerAnswer {
        let stopped = || RequestRefusal::not_run(RefusalCode::ShuttingDown, "shutting down");
        (&mut self.receiver).await.unwrap_or_else(|_| CallerAnswer::Refused(stopped()))
    }
}

impl Drop for AnswerWait {
    fn drop(&mut self) {
        self.receiver.close();
        if let Some(call) = self.receiver.try_recv().ok().as_ref().and_then(undo) {
            self.handle.tell(call);
        }
    }
}
