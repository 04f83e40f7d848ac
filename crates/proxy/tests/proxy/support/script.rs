//! What a scripted endpoint answers, and what it notes.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tanagerdeal_wire::member::LogPosition;
use tokio::sync::Notify;

/// A fault in the answer to one statement.
#[derive(Clone, Debug)]
pub enum Fault {
    /// Waits before it answers.
    Delay(Duration),
    /// Closes the connection instead of answering.
    Close,
    /// Closes the connection after the first row.
    Truncate,
    /// Reports this position.
    Position(LogPosition),
    /// Reports no position.
    NoPosition,
    /// Sends the reply of another statement after the end of its own.
    Extra,
    /// Reports that the result of a prepared statement has changed its columns.
    Stale,
    /// Sends a second result within its reply.
    Twice,
    /// Sends a reply to a message that was not sent.
    Crossed,
    /// Runs until it is cancelled.
    AwaitCancel,
    /// Commits and then closes the connection instead of answering.
    CommitAndClose,
}

/// The log that the members of a group share.
#[derive(Default)]
pub struct GroupLog {
    /// Last offset.
    pub offset: u64,
    /// Statements committed, in order.
    pub committed: Vec<String>,
    /// Outcomes of recorded requests.
    pub requests: HashMap<(String, String), String>,
}

/// Term of the group's primary.
pub const TERM: u64 = 1;

/// State of an endpoint, shared with the test.
pub struct EndpointScript {
    pub name: String,
    pub is_primary: bool,
    pub log: Arc<Mutex<GroupLog>>,
    state: Mutex<ScriptState>,
}

#[derive(Default)]
struct ScriptState {
    faults: Vec<(String, Fault)>,
    lag: u64,
    received: Vec<u8>,
    executed: Vec<(i32, String)>,
    cancels: Vec<(i32, Option<String>)>,
    uses_scram: bool,
    connections: HashMap<i32, Arc<RunningStatement>>,
    opened: u32,
}

/// The statement that a connection runs.
#[derive(Default)]
pub struct RunningStatement {
    pub text: Mutex<Option<String>>,
    pub cancelled: Notify,
}

impl EndpointScript {
    pub fn new(name: &str, is_primary: bool, log: Arc<Mutex<GroupLog>>) -> Arc<Self> {
        let state = Mutex::new(ScriptState::default());
        Arc::new(Self { name: name.to_owned(), is_primary, log, state })
    }

    /// The next statement that contains `text` meets a fault.
    pub fn fail_next(&self, text: &str, fault: Fault) {
        self.state().faults.push((text.to_owned(), fault));
    }

    /// Takes back faults that have not been met.
    pub fn clear_faults(&self) {
        self.state().faults.clear();
    }

    /// How many log entries the member is behind.
    pub fn set_lag(&self, lag: u64) {
        self.state().lag = lag;
    }

    /// Makes the endpoint ask for SCRAM in place of a password in clear text.
    pub fn use_scram(&self) {
        self.state().uses_scram = true;
    }

    pub fn uses_scram(&self) -> bool {
        self.state().uses_scram
    }

    /// Position up to which the member has applied the log.
    pub fn applied(&self) -> LogPosition {
        let lag = if self.is_primary { 0 } else { self.state().lag };
        let offset = self.log.lock().unwrap().offset.saturating_sub(lag);
        LogPosition { term: TERM, offset }
    }

    /// Every byte that clients have sent.
    pub fn received(&self) -> Vec<u8> {
        self.state().received.clone()
    }

    /// Statements executed, with the process id of the connection.
    pub fn executed(&self) -> Vec<(i32, String)> {
        self.state().executed.clone()
    }

    /// Cancel requests, with the statement that was running.
    pub fn cancels(&self) -> Vec<(i32, Option<String>)> {
        self.state().cancels.clone()
    }

    /// Connections opened since the start.
    pub fn opened(&self) -> u32 {
        self.state().opened
    }

    /// Connections open.
    pub fn open(&self) -> u32 {
        u32::try_from(self.state().connections.len()).unwrap()
    }

    /// Whether a connection is open.
    pub fn is_open(&self, pid: i32) -> bool {
        self.state().connections.contains_key(&pid)
    }

    pub fn note_bytes(&self, bytes: &[u8]) {
        self.state().received.extend_from_slice(bytes);
    }

    pub fn note_statement(&self, pid: i32, sql: &str) {
        self.state().executed.push((pid, sql.to_owned()));
    }

    /// Adds a connection and returns its process id.
    pub fn connect(&self) -> (i32, Arc<RunningStatement>) {
        let mut state = self.state();
        state.opened += 1;
        let pid = i32::try_from(state.opened).unwrap();
        let running = Arc::new(RunningStatement::default());
        state.connections.insert(pid, running.clone());
        (pid, running)
    }

    pub fn disconnect(&self, pid: i32) {
        self.state().connections.remove(&pid);
    }

    /// Cancels what a connection runs.
    pub fn cancel(&self, pid: i32) {
        let mut state = self.state();
        let running = state.connections.get(&pid).cloned();
        let text = running.as_ref().and_then(|running| running.text.lock().unwrap().clone());
        if let (Some(running), Some(_)) = (&running, &text) {
            running.cancelled.notify_one();
        }
        state.cancels.push((pid, text));
    }

    /// Takes the fault for a statement.
    pub fn take_fault(&self, sql: &str) -> Option<Fault> {
        let mut state = self.state();
        let index = state.faults.iter().position(|(text, _)| sql.contains(text.as_str()))?;
        Some(state.faults.remove(index).1)
    }

    fn state(&self) -> MutexGuard<'_, ScriptState> {
        self.state.lock().unwrap()
    }
}
