//! A model of one attempt of a client: its host, two pool hosts and an endpoint.
//!
//! A host that is frozen is one whose events come late: every event may be delayed by any number
//! of others, and a pool host may count as silent whenever it owes a result. Time is that of the
//! store's clock, which all hosts read without error.

use std::collections::{BTreeSet, HashSet, VecDeque};

use tanagerdeal_core::ledger::forwarding::{CallEnd, NextStep, StatementKind, next_step};
use tanagerdeal_core::verdict::RunVerdict;

/// The client's host among the hosts that run statements; the others are pool hosts.
const CLIENT: usize = 2;
const HOSTS: usize = 3;
const TICKS: u64 = 3;
/// Tick from which on a statement is too late. The client's host gives a call up a tick later.
const DEADLINE: u64 = 1;

pub const WRITE: &[StatementKind] = &[StatementKind::Write];
pub const READ: &[StatementKind] = &[StatementKind::Read];
pub const TRANSACTION: &[StatementKind] = &[
    StatementKind::FirstOfTransaction,
    StatementKind::InTransaction,
    StatementKind::Commit { has_written: true },
];

/// A rule of the protocol that the model breaks.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Slip {
    None,
    /// A write is reported as not run when the connection to the pool host is lost.
    LostWriteIsNotRun,
    /// A write is repeated by the client's host when the pool host is silent.
    SilentWriteIsRepeated,
    /// The first statement of a transaction is repeated by the client's host after a failed call.
    FirstIsRepeated,
    /// A write is reported as not run when the endpoint has not replied.
    UnansweredWriteIsNotRun,
    /// A transaction is reported as rolled back when its commit was sent and not answered.
    LostCommitIsRolledBack,
    /// Pool hosts do not compare the deadline before they send a statement.
    DeadlineIsIgnored,
}

/// A message to a host that runs statements.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum ModelRequest {
    /// Run the statement with this number. The first one begins a transaction.
    Run(usize),
    /// End the transaction.
    End,
}

/// What a host does with the attempt's statements.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum HostTask {
    Idle,
    /// It is about to send the statement.
    Holding(usize),
    /// It has sent the statement to the endpoint.
    Awaiting(usize),
}

/// A host that runs statements, with its connection to the endpoint and that from the client's
/// host.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct ModelHost {
    requests: Vec<ModelRequest>,
    responses: Vec<(usize, CallEnd)>,
    /// Whether the client's host and this host hold their connection for open.
    is_linked: (bool, bool),
    is_used: bool,
    task: HostTask,
    has_transaction: bool,
    /// Whether this host and the endpoint hold their connection for open.
    is_connected: (bool, bool),
    sent: Option<usize>,
    reply: Option<usize>,
    /// Writes of the transaction that is open at the endpoint.
    uncommitted: Vec<usize>,
}

/// What the client's host does.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum ClientTask {
    /// It is to choose where the statement runs.
    Choosing,
    /// It waits for a result of this host.
    Calling(usize),
    /// It has reported the end of the attempt.
    Ended(NextStep),
}

/// One attempt of a client.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ModelAttempt {
    tick: u64,
    statements: &'static [StatementKind],
    /// Number of the statement under way; those before it were answered.
    current: usize,
    forwards: usize,
    client: ClientTask,
    hosts: Vec<ModelHost>,
    /// How often each statement ran, and how often its effect was kept.
    runs: Vec<u8>,
    kept: Vec<u8>,
    /// Hosts on whose connections a statement ran.
    run_on: Vec<usize>,
    is_sent_late: bool,
    is_answered_wrongly: bool,
    slip: Slip,
}

#[derive(Clone, Copy, Debug)]
enum ModelEvent {
    Tick,
    /// The client's host sends the statement to a pool host, or runs it itself.
    Call(usize),
    Receive(usize),
    /// The host cannot use the endpoint.
    Decline(usize),
    /// The host does not send the statement for another reason, such as its deadline.
    Refuse(usize),
    /// The host does not send the first statement of a transaction that has begun.
    RefuseBegun(usize),
    Send(usize),
    Execute(usize),
    TakeReply(usize),
    /// The host loses or closes its connection to the endpoint.
    Disconnect(usize),
    /// The endpoint notices.
    NoticeDisconnect(usize),
    /// The host loses the connection from the client's host.
    EndLink(usize),
    Kill(usize),
    TakeResponse(usize),
    /// The client's host loses the connection to a pool host.
    LoseLink(usize),
    MissPong(usize),
    GiveUp(usize),
}

impl ModelHost {
    fn new() -> Self {
        Self {
            requests: Vec::new(),
            responses: Vec::new(),
            is_linked: (true, true),
            is_used: false,
            task: HostTask::Idle,
            has_transaction: false,
            is_connected: (true, true),
            sent: None,
            reply: None,
            uncommitted: Vec::new(),
        }
    }

    /// Sends a result to the client's host, and becomes idle.
    fn respond(&mut self, statement: usize, end: CallEnd) {
        self.task = HostTask::Idle;
        if self.is_linked == (true, true) {
            self.responses.push((statement, end));
        }
    }

    /// Closes the connection to the endpoint, which ends its transaction there.
    fn disconnect(&mut self) {
        self.is_connected.0 = false;
        self.has_transaction = false;
        self.reply = None;
    }

    fn receive(&mut self) -> Option<()> {
        (self.task == HostTask::Idle && self.is_linked.1 && !self.requests.is_empty())
            .then_some(())?;
        match self.requests.remove(0) {
            ModelRequest::Run(statement) if statement == 0 || self.has_transaction => {
                self.task = HostTask::Holding(statement);
            }
            ModelRequest::Run(statement) => {
                self.respond(statement, CallEnd::NotSent { is_declined: false });
            }
            ModelRequest::End => self.disconnect(),
        }
        Some(())
    }

    /// Ends the connection from the client's host. Its open transaction is rolled back once the
    /// statement under way has ended.
    fn end_link(&mut self) -> Option<()> {
        (self.is_linked.1 && self.task == HostTask::Idle).then_some(())?;
        self.is_linked.1 = false;
        self.requests.clear();
        if self.has_transaction {
            self.disconnect();
        }
        Some(())
    }

    /// The endpoint rolls back the transaction of a connection that was closed.
    fn notice_disconnect(&mut self) -> Option<()> {
        (!self.is_connected.0 && self.is_connected.1).then_some(())?;
        self.is_connected.1 = false;
        self.sent = None;
        self.uncommitted.clear();
        Some(())
    }

    fn kill(&mut self) -> Option<()> {
        (self.is_connected.0 || self.is_linked.1).then_some(())?;
        self.disconnect();
        self.is_linked.1 = false;
        self.requests.clear();
        self.task = HostTask::Idle;
        Some(())
    }
}

impl ModelAttempt {
    pub fn new(statements: &'static [StatementKind], slip: Slip) -> Self {
        Self {
            tick: 0,
            statements,
            current: 0,
            forwards: 0,
            client: ClientTask::Choosing,
            hosts: vec![ModelHost::new(); HOSTS],
            runs: vec![0; statements.len()],
            kept: vec![0; statements.len()],
            run_on: Vec::new(),
            is_sent_late: false,
            is_answered_wrongly: false,
            slip,
        }
    }

    fn is_transaction(&self) -> bool {
        self.statements[0] == StatementKind::FirstOfTransaction
    }

    /// The decision of the implementation, or that of the slip.
    fn decide(&self, end: CallEnd) -> NextStep {
        use StatementKind::{Commit, FirstOfTransaction, Write};
        let kind = self.statements[self.current];
        match (self.slip, kind, end) {
            (Slip::LostWriteIsNotRun, Write, CallEnd::LinkLost)
            | (Slip::UnansweredWriteIsNotRun, Write, CallEnd::Sent) => {
                NextStep::Report(RunVerdict::NotRun)
            }
            (Slip::SilentWriteIsRepeated, Write, CallEnd::LinkSilent)
            | (
                Slip::FirstIsRepeated,
                FirstOfTransaction,
                CallEnd::LinkLost | CallEnd::LinkSilent | CallEnd::TimedOut,
            ) => NextStep::RunHere,
            (Slip::LostCommitIsRolledBack, Commit { .. }, CallEnd::Sent | CallEnd::LinkLost) => {
                NextStep::RollBack
            }
            _ => next_step(kind, end, self.forwards),
        }
    }

    fn call(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        host.is_used = true;
        host.requests.push(ModelRequest::Run(self.current));
        self.client = ClientTask::Calling(index);
    }

    /// Carries out what follows from the end of the call to a host. `None` if the call goes on.
    fn follow(&mut self, index: usize, end: CallEnd) -> Option<()> {
        match self.decide(end) {
            NextStep::Wait => return None,
            NextStep::TryNextPoolHost => self.client = ClientTask::Choosing,
            NextStep::RunHere => self.call(CLIENT),
            NextStep::UseReply => {
                self.is_answered_wrongly |= self.runs[self.current] == 0;
                self.current += 1;
                match self.current < self.statements.len() {
                    true => self.call(index),
                    false => self.client = ClientTask::Ended(NextStep::UseReply),
                }
            }
            step @ (NextStep::RollBack | NextStep::Report(_)) => {
                self.client = ClientTask::Ended(step);
                if self.is_transaction() && self.hosts[index].is_linked.0 {
                    self.hosts[index].requests.push(ModelRequest::End);
                }
            }
        }
        Some(())
    }

    /// The endpoint runs the statement that a host has sent.
    fn execute(&mut self, index: usize) -> Option<()> {
        let host = &mut self.hosts[index];
        let statement = host.sent.take().filter(|_| host.is_connected.1)?;
        host.reply = host.is_connected.0.then_some(statement);
        self.runs[statement] += 1;
        if !self.run_on.contains(&index) {
            self.run_on.push(index);
        }
        match self.statements[statement] {
            StatementKind::Read => (),
            StatementKind::Write => self.kept[statement] += 1,
            StatementKind::FirstOfTransaction | StatementKind::InTransaction => {
                host.uncommitted.push(statement);
            }
            StatementKind::Commit { .. } => {
                host.uncommitted.drain(..).for_each(|written| self.kept[written] += 1);
            }
        }
        Some(())
    }
}

impl ModelAttempt {
    /// The state after an event, or `None` if the event cannot happen.
    fn after(&self, event: ModelEvent) -> Option<Self> {
        let mut next = self.clone();
        match event {
            ModelEvent::Tick => {
                (self.tick < TICKS).then_some(())?;
                next.tick += 1;
            }
            ModelEvent::Call(index) => {
                (self.client == ClientTask::Choosing && !self.hosts[index].is_used).then_some(())?;
                next.forwards += usize::from(index != CLIENT);
                next.call(index);
            }
            ModelEvent::TakeResponse(index) => next.take_response(index)?,
            ModelEvent::LoseLink(index) => {
                let host = &mut next.hosts[index];
                (host.is_used && host.is_linked.0).then_some(())?;
                host.is_linked.0 = false;
                host.responses.clear();
                if self.client == ClientTask::Calling(index) {
                    next.follow(index, CallEnd::LinkLost);
                }
            }
            ModelEvent::MissPong(index) => {
                (self.client == ClientTask::Calling(index)).then_some(())?;
                next.follow(index, CallEnd::LinkSilent)?;
            }
            ModelEvent::GiveUp(index) => {
                let is_late = self.tick > DEADLINE;
                (is_late && self.client == ClientTask::Calling(index)).then_some(())?;
                next.follow(index, CallEnd::TimedOut)?;
            }
            ModelEvent::Execute(index) => next.execute(index)?,
            event => next.proceed(event)?,
        }
        Some(next)
    }

    /// Applies an event of one host that runs statements.
    fn proceed(&mut self, event: ModelEvent) -> Option<()> {
        let is_transaction = self.is_transaction();
        let last = self.statements.len() - 1;
        let is_late = self.tick >= DEADLINE;
        let may_send = !is_late || self.slip == Slip::DeadlineIsIgnored;
        let (ModelEvent::Receive(index)
        | ModelEvent::Decline(index)
        | ModelEvent::Refuse(index)
        | ModelEvent::RefuseBegun(index)
        | ModelEvent::Send(index)
        | ModelEvent::TakeReply(index)
        | ModelEvent::Disconnect(index)
        | ModelEvent::NoticeDisconnect(index)
        | ModelEvent::EndLink(index)
        | ModelEvent::Kill(index)) = event
        else {
            return None;
        };
        let host = &mut self.hosts[index];
        host.is_used.then_some(())?;
        match (event, host.task) {
            (ModelEvent::Receive(_), _) => host.receive()?,
            (ModelEvent::Decline(_), HostTask::Holding(0)) => {
                let is_declined = true;
                host.respond(0, not_sent(is_transaction, is_declined));
            }
            (ModelEvent::Refuse(_), HostTask::Holding(0)) => {
                host.respond(0, not_sent(is_transaction, false));
            }
            (ModelEvent::Refuse(_), HostTask::Holding(statement)) => {
                host.disconnect();
                host.respond(statement, CallEnd::NotSent { is_declined: true });
            }
            (ModelEvent::RefuseBegun(_), HostTask::Holding(0)) if is_transaction => {
                host.disconnect();
                host.respond(0, CallEnd::NotSent { is_declined: true });
            }
            (ModelEvent::Send(_), HostTask::Holding(statement)) if may_send => {
                host.sent = Some(statement);
                host.task = HostTask::Awaiting(statement);
                self.is_sent_late |= is_late;
            }
            (ModelEvent::TakeReply(_), HostTask::Awaiting(statement)) => {
                host.reply.take()?;
                host.has_transaction = is_transaction && statement < last;
                host.respond(statement, CallEnd::Replied);
            }
            (ModelEvent::Disconnect(_), HostTask::Awaiting(statement)) => {
                host.disconnect();
                host.respond(statement, CallEnd::Sent);
            }
            // A transaction that was idle for too long.
            (ModelEvent::Disconnect(_), HostTask::Idle) if host.has_transaction => {
                host.disconnect();
            }
            (ModelEvent::NoticeDisconnect(_), _) => host.notice_disconnect()?,
            (ModelEvent::EndLink(_), _) => host.end_link()?,
            (ModelEvent::Kill(_), _) => host.kill()?,
            _ => return None,
        }
        Some(())
    }

    fn take_response(&mut self, index: usize) -> Option<()> {
        let host = &mut self.hosts[index];
        (host.is_linked.0 && !host.responses.is_empty()).then_some(())?;
        let (statement, end) = host.responses.remove(0);
        // A result that comes after the call was given up is dropped.
        if self.client == ClientTask::Calling(index) {
            self.is_answered_wrongly |= statement != self.current;
            self.follow(index, end);
        }
        Some(())
    }

    /// The assertions that do not hold.
    fn faults(&self) -> impl Iterator<Item = &'static str> {
        let is_read = self.statements == READ;
        let is_ended_with = |step| self.client == ClientTask::Ended(step);
        let is_not_run = is_ended_with(NextStep::Report(RunVerdict::NotRun));
        let is_any_kept = self.kept.iter().any(|kept| *kept > 0);
        let assertions = [
            (self.kept.iter().any(|kept| *kept > 1), "a write takes effect twice"),
            (!is_read && self.runs.iter().any(|runs| *runs > 1), "a write runs twice"),
            (
                self.is_transaction() && self.run_on.len() > 1,
                "a transaction runs on two connections",
            ),
            (self.is_answered_wrongly, "a reply is reported for what has not run"),
            (self.is_sent_late, "a statement is sent after its deadline"),
            // A read may be repeated, and then its last failure is reported.
            (is_not_run && !is_read && self.runs[0] > 0, "what was reported as not run has run"),
            (
                is_ended_with(NextStep::RollBack) && is_any_kept,
                "a part of a transaction that was reported as rolled back is kept",
            ),
            (
                is_ended_with(NextStep::UseReply) && !is_read && !self.is_all_kept(),
                "a write that was reported as done is not kept",
            ),
        ];
        assertions.into_iter().filter(|(is_broken, _)| *is_broken).map(|(_, fault)| fault)
    }

    /// Whether all writes have taken effect.
    fn is_all_kept(&self) -> bool {
        let statements = self.statements.iter().zip(&self.kept);
        statements
            .filter(|(kind, _)| !matches!(kind, StatementKind::Commit { .. }))
            .all(|(_, kept)| *kept == 1)
    }

    fn events() -> Vec<ModelEvent> {
        let of_hosts: [fn(usize) -> ModelEvent; 10] = [
            ModelEvent::Call,
            ModelEvent::Receive,
            ModelEvent::Refuse,
            ModelEvent::RefuseBegun,
            ModelEvent::Send,
            ModelEvent::Execute,
            ModelEvent::TakeReply,
            ModelEvent::Disconnect,
            ModelEvent::NoticeDisconnect,
            ModelEvent::TakeResponse,
        ];
        let of_pool_hosts: [fn(usize) -> ModelEvent; 6] = [
            ModelEvent::Decline,
            ModelEvent::EndLink,
            ModelEvent::Kill,
            ModelEvent::LoseLink,
            ModelEvent::MissPong,
            ModelEvent::GiveUp,
        ];
        let hosts = of_hosts.iter().flat_map(|event| (0..HOSTS).map(event));
        let pool_hosts = of_pool_hosts.iter().flat_map(|event| (0..CLIENT).map(event));
        [ModelEvent::Tick].into_iter().chain(hosts).chain(pool_hosts).collect()
    }

    /// Explores all interleavings. Returns the number of states, and the broken assertions.
    pub fn explore(self) -> (usize, BTreeSet<&'static str>) {
        let (events, mut faults) = (Self::events(), BTreeSet::new());
        let (mut seen, mut open) = (HashSet::from([self.clone()]), VecDeque::from([self]));
        while let Some(attempt) = open.pop_front() {
            for next in events.iter().filter_map(|event| attempt.after(*event)) {
                if seen.insert(next.clone()) {
                    faults.extend(next.faults());
                    open.push_back(next);
                }
            }
        }
        (seen.len(), faults)
    }
}

/// How a call ends whose first statement was not sent.
fn not_sent(is_transaction: bool, is_declined: bool) -> CallEnd {
    match is_transaction {
        true => CallEnd::NotBegun { is_declined },
        false => CallEnd::NotSent { is_declined },
    }
}
