//! A model of the members of one group: terms, promises and a log of entry ids.

use tanagerdeal_wire::member::{
    FollowRequest, LogPosition, MemberRole, MemberStatus, TermReply, TermRequest, TermStart,
};
use tanagerdeal_wire::{EndpointName, GroupName};

use crate::message::fleet::TermCommand;

/// A member and its durable state.
pub(super) struct ModelMember {
    pub(super) name: EndpointName,
    pub(super) role: MemberRole,
    pub(super) promised: u64,
    promoter: String,
    /// Term and id of each entry.
    pub(super) log: Vec<(u64, u64)>,
    pub(super) history: Vec<TermStart>,
    pub(super) applied: usize,
    pub(super) follows: Option<EndpointName>,
    pub(super) running: u32,
}

impl ModelMember {
    pub(super) fn new(index: usize) -> Self {
        let role = if index == 0 { MemberRole::Primary } else { MemberRole::Replica };
        Self {
            name: EndpointName::new(&format!("m{index}")).unwrap(),
            role,
            promised: 1,
            promoter: String::new(),
            log: Vec::new(),
            history: vec![TermStart { term: 1, offset: 0 }],
            applied: 0,
            follows: (index > 0).then(|| EndpointName::new("m0").unwrap()),
            running: 0,
        }
    }

    fn position(&self, offset: usize) -> LogPosition {
        let term = offset.checked_sub(1).map_or(0, |last| self.log[last].0);
        LogPosition { term, offset: offset as u64 }
    }

    pub(super) fn end(&self) -> LogPosition {
        self.position(self.log.len())
    }

    pub(super) fn status(&self, group: &GroupName) -> MemberStatus {
        MemberStatus {
            group: group.clone(),
            member: self.name.clone(),
            role: self.role,
            promised_term: self.promised,
            received: self.end(),
            applied: self.position(self.applied),
            term_history: self.history.clone(),
            connections: 0,
            running: self.running,
        }
    }

    pub(super) fn command(&mut self, group: &GroupName, command: &TermCommand) -> TermReply {
        let granted = match command {
            TermCommand::Fence(request) => self.fence(request),
            TermCommand::Promote(request) => self.promote(request),
            TermCommand::Follow(request) => self.follow(request),
        };
        TermReply { granted, status: self.status(group) }
    }

    fn fence(&mut self, request: &TermRequest) -> bool {
        let is_new = request.term > self.promised;
        if is_new {
            self.promised = request.term;
            self.promoter.clone_from(&request.promoter);
            self.role = MemberRole::Fenced;
            self.follows = None;
        }
        is_new || (request.term == self.promised && request.promoter == self.promoter)
    }

    fn promote(&mut self, request: &TermRequest) -> bool {
        let is_granted = request.term == self.promised && request.promoter == self.promoter;
        if is_granted && self.role == MemberRole::Fenced {
            self.role = MemberRole::Primary;
            self.history.push(TermStart { term: request.term, offset: self.log.len() as u64 });
            self.log.push((request.term, 0));
            self.applied = self.log.len();
        }
        is_granted
    }

    fn follow(&mut self, request: &FollowRequest) -> bool {
        let is_primary = self.role == MemberRole::Primary && self.promised == request.term;
        let is_granted = request.term >= self.promised && !is_primary;
        if is_granted {
            self.promised = request.term;
            self.role = MemberRole::Replica;
            self.follows = Some(request.primary.clone());
        }
        is_granted
    }

    /// Restarts the member with its state lost, as after a move to a new machine.
    pub(super) fn lose_state(&mut self) {
        let name = self.name.clone();
        *self = Self { name, role: MemberRole::Fenced, promised: 0, follows: None, ..Self::new(0) };
        self.history.clear();
    }

    /// Appends an entry and returns its position, or `None` if the member is not a primary.
    pub(super) fn write(&mut self, id: u64) -> Option<LogPosition> {
        if self.role != MemberRole::Primary {
            return None;
        }
        self.log.push((self.promised, id));
        self.applied = self.log.len();
        Some(LogPosition { term: self.promised, offset: self.log.len() as u64 })
    }

    /// Copies up to `limit` entries from the followed member, after truncating a diverging tail.
    pub(super) fn replicate(&mut self, source: &ModelMember, limit: usize) {
        let follows =
            self.role == MemberRole::Replica && self.follows.as_ref() == Some(&source.name);
        // A primary sends no entries to members that have not promised its term.
        let is_current = source.history.last().is_some_and(|start| start.term == self.promised);
        if !follows || !is_current || source.role != MemberRole::Primary {
            return;
        }
        let shared = self.log.iter().zip(&source.log).take_while(|(left, right)| left == right);
        let shared = shared.count();
        self.log.truncate(shared);
        let end = source.log.len().min(shared + limit);
        self.log.extend_from_slice(&source.log[shared..end]);
        self.history.clone_from(&source.history);
        self.applied = self.log.len();
    }

    pub(super) fn contains(&self, id: u64) -> bool {
        self.log.iter().any(|(_, entry)| *entry == id)
    }
}
