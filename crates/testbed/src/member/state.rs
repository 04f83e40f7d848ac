//! The state of a member: role, promise, log, tables and the record of executions.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use tanagerdeal_wire::member::{FollowRequest, LogPosition, MemberRole, MemberStatus, TermRequest};
use tanagerdeal_wire::{DomainName, EndpointName, GroupName, value_type, wire_type};

use super::error::SqlError;
use super::log::{LogEntry, LogPage, MemberLog};
use super::table::Database;
use super::transaction::{LockTable, Transaction};

/// Entries of one answer to `GET /v1/log`.
const LOG_PAGE: usize = 1_000;

wire_type! {
    /// Faults of a member; body of `POST /control/faults`, where fields that are not named keep
    /// their value.
    #[derive(Default)]
    #[serde(default)]
    pub struct MemberFaults {
        /// Milliseconds between receiving and applying an entry.
        pub lag_ms: u64,
        /// Milliseconds between fetching and receiving entries.
        pub receive_lag_ms: u64,
        /// Entries are neither fetched nor applied.
        pub freeze_replication: bool,
        /// Milliseconds added to each statement.
        pub statement_ms: u64,
        /// Member API calls of these failure domains (header `x-domain`) are refused.
        pub refuse_domains: Vec<String>,
        /// Member API calls of these failure domains are never answered.
        pub blackhole_domains: Vec<String>,
        /// New connections of the SQL port are closed at once.
        pub refuse_sql: bool,
        /// The SQL port accepts connections and answers nothing, also on open ones.
        pub blackhole_sql: bool,
    }

    /// What a statement did.
    pub struct Execution {
        /// Member that executed it.
        pub member: String,
        /// Group of the member.
        pub group: String,
        /// Failure domain of the member.
        pub domain: String,
        /// Number of the connection.
        pub connection: u64,
        /// Number of the transaction.
        pub transaction: u64,
        /// When the transaction began, in microseconds of [`crate::clock::now_us`].
        pub began_us: u64,
        /// When the statement began.
        pub start_us: u64,
        /// When it was done; for a write, when its transaction was committed.
        pub end_us: u64,
        /// Text of the statement.
        pub statement: String,
        /// Texts of the parameters.
        pub params: Vec<Option<String>>,
        /// Whether the statement changes data.
        pub write: bool,
        /// Whether the member was the primary.
        pub primary: bool,
        /// Rows returned or changed.
        pub rows: u64,
        /// Position of the commit, or of the snapshot of a read.
        pub position: LogPosition,
    }

    /// Answer to `GET /control/state`.
    pub struct MemberState {
        /// Status as of the member API.
        pub status: MemberStatus,
        /// Faults in effect.
        pub faults: MemberFaults,
        /// Most connections open at once.
        pub peak_connections: u32,
        /// Connections refused because too many were open.
        pub refused_connections: u64,
    }
}

value_type! {
    /// Name and place of a member.
    pub struct MemberIdentity {
        /// Its group.
        pub group: GroupName,
        /// Its name.
        pub name: EndpointName,
        /// Its failure domain.
        pub domain: DomainName,
    }

    /// The primary that a replica follows.
    pub(super) struct FollowedPrimary {
        pub(super) term: u64,
        pub(super) api: String,
    }
}

/// All state that the parts of a member share, under one lock.
pub(super) struct MemberData {
    pub(super) identity: MemberIdentity,
    role: MemberRole,
    promised_term: u64,
    promoter: Option<String>,
    pub(super) log: MemberLog,
    applied: u64,
    /// When entries that are not applied yet were received, with their last offset.
    pub(super) received: VecDeque<(Instant, u64)>,
    pub(super) database: Database,
    pub(super) locks: LockTable,
    pub(super) followed: Option<FollowedPrimary>,
    pub(super) faults: MemberFaults,
    pub(super) connections: u32,
    pub(super) peak_connections: u32,
    pub(super) refused_connections: u64,
    pub(super) running: u32,
    pub(super) last_transaction: u64,
    pub(super) executions: Vec<Execution>,
}

impl MemberData {
    pub(super) fn new(identity: MemberIdentity) -> Self {
        Self {
            identity,
            role: MemberRole::Fenced,
            promised_term: 0,
            promoter: None,
            log: MemberLog::default(),
            applied: 0,
            received: VecDeque::new(),
            database: Database::new(),
            locks: LockTable::default(),
            followed: None,
            faults: MemberFaults::default(),
            connections: 0,
            peak_connections: 0,
            refused_connections: 0,
            running: 0,
            last_transaction: 0,
            executions: Vec::new(),
        }
    }

    pub(super) fn is_primary(&self) -> bool {
        self.role == MemberRole::Primary
    }

    pub(super) fn applied(&self) -> LogPosition {
        self.log.position(self.applied)
    }

    pub(super) fn status(&self) -> MemberStatus {
        MemberStatus {
            group: self.identity.group.clone(),
            member: self.identity.name.clone(),
            role: self.role,
            promised_term: self.promised_term,
            received: self.log.position(self.log.last_offset()),
            applied: self.applied(),
            term_history: self.log.history().to_vec(),
            connections: self.connections,
            running: self.running,
        }
    }

    /// Promises a term to one promoter; a primary or replica of an older term stops.
    pub(super) fn fence(&mut self, request: &TermRequest) -> bool {
        let same = self.promoter.as_deref() == Some(&request.promoter);
        match request.term {
            term if term > self.promised_term => {
                self.promised_term = term;
                self.promoter = Some(request.promoter.clone());
                self.step_down();
                true
            }
            term => term == self.promised_term && same,
        }
    }

    /// Becomes the primary of the term promised to the same promoter.
    pub(super) fn promote(&mut self, request: &TermRequest) -> bool {
        let same = self.promoter.as_deref() == Some(&request.promoter);
        match (request.term == self.promised_term && same, self.role) {
            (false, _) => false,
            (true, MemberRole::Primary) => true,
            (true, MemberRole::Replica) => false,
            (true, MemberRole::Fenced) => {
                self.begin_term(request.term);
                true
            }
        }
    }

    /// Makes this member the first primary of its group.
    pub(super) fn begin_term(&mut self, term: u64) {
        self.promised_term = self.promised_term.max(term);
        self.role = MemberRole::Primary;
        self.followed = None;
        self.apply_to(self.log.last_offset());
        self.log.append(term, Vec::new());
        self.applied = self.log.last_offset();
    }

    /// Follows the primary of a term that is not older than the promised one.
    pub(super) fn follow(&mut self, request: &FollowRequest) -> bool {
        let itself = request.primary == self.identity.name;
        let rival = self.is_primary() && request.term == self.promised_term;
        if request.term < self.promised_term || itself || rival {
            return false;
        }
        if request.term > self.promised_term {
            self.promoter = None;
        }
        self.promised_term = request.term;
        self.role = MemberRole::Replica;
        self.followed =
            Some(FollowedPrimary { term: request.term, api: request.primary_api.clone() });
        true
    }

    fn step_down(&mut self) {
        self.role = MemberRole::Fenced;
        self.followed = None;
    }

    /// Steps down when another member's log shows a newer term than this primary's.
    pub(super) fn note_term(&mut self, term: u64) {
        if self.is_primary() && term > self.promised_term {
            self.promised_term = term;
            self.promoter = None;
            self.step_down();
        }
    }

    /// Page of the log for a replica whose last entry is at the given position.
    pub(super) fn page_after(&self, position: LogPosition) -> Option<LogPage> {
        if !self.is_primary() {
            return None;
        }
        let matched = self.log.position(position.offset) == position;
        let entries = if matched { self.log.after(position.offset, LOG_PAGE) } else { &[] };
        Some(LogPage {
            term: self.promised_term,
            matched,
            last_offset: self.log.last_offset(),
            history: self.log.history().to_vec(),
            entries: entries.to_vec(),
        })
    }

    /// Takes over a page fetched while following a primary; drops a diverging tail first.
    pub(super) fn receive(&mut self, now: Instant, followed: &FollowedPrimary, page: LogPage) {
        if self.followed.as_ref() != Some(followed) || page.term != followed.term {
            return;
        }
        if !page.matched {
            let common = self.log.common_offset(&page.history, page.last_offset);
            self.truncate(common);
            return;
        }
        for entry in page.entries {
            if entry.offset == self.log.last_offset() + 1 {
                self.log.push(entry);
            }
        }
        let last = self.log.last_offset();
        if self.received.back().map_or(self.applied, |(_, offset)| *offset) < last {
            self.received.push_back((now, last));
        }
    }

    /// Drops the tail after an offset and rebuilds the tables when the tail was applied.
    fn truncate(&mut self, offset: u64) {
        self.log.truncate(offset);
        self.received.retain(|(_, last)| *last <= offset);
        if self.applied > offset {
            self.applied = 0;
            self.database = Database::new();
            self.apply_to(offset);
        } else if self.applied < offset && self.received.is_empty() {
            self.received.push_back((Instant::now(), offset));
        }
    }

    /// Applies received entries that are old enough.
    pub(super) fn apply_received(&mut self, now: Instant) {
        let lag = Duration::from_millis(self.faults.lag_ms);
        let ripe = |entry: &&(Instant, u64)| now.duration_since(entry.0) >= lag;
        while let Some((_, offset)) = self.received.front().filter(ripe).copied() {
            self.received.pop_front();
            self.apply_to(offset);
        }
    }

    fn apply_to(&mut self, offset: u64) {
        while self.applied < offset {
            let Some(LogEntry { changes, .. }) = self.log.entry(self.applied + 1) else { return };
            changes.iter().for_each(|change| self.database.apply(change));
            self.applied += 1;
        }
    }

    pub(super) fn new_transaction(&mut self) -> Transaction {
        self.last_transaction += 1;
        Transaction::new(self.last_transaction)
    }

    /// Fails unless this member accepts a write of a transaction.
    pub(super) fn admit_write(
        &self,
        transaction: &mut Transaction,
        tag: &str,
    ) -> Result<(), SqlError> {
        let term = *transaction.term.get_or_insert(self.promised_term);
        match self.is_primary() && term == self.promised_term {
            true => Ok(()),
            false => Err(SqlError::not_primary(tag)),
        }
    }

    /// Commits a transaction; its locks are released in any case.
    pub(super) fn commit(&mut self, mut transaction: Transaction) -> Result<LogPosition, SqlError> {
        self.locks.release(transaction.id);
        if transaction.is_empty() {
            return Ok(self.applied());
        }
        self.admit_write(&mut transaction, "COMMIT")?;
        let changes = transaction.into_changes();
        changes.iter().for_each(|change| self.database.apply(change));
        let position = self.log.append(self.promised_term, changes);
        self.applied = position.offset;
        Ok(position)
    }
}
