//! The replicated log and its term history.

use tanagerdeal_wire::member::{LogPosition, TermStart};
use tanagerdeal_wire::wire_type;

use super::table::Change;

wire_type! {
    /// One entry of the log: a transaction, or the start of a term when it has no changes.
    pub struct LogEntry {
        /// Term of the primary that wrote it.
        pub term: u64,
        /// Number of entries up to and including this one.
        pub offset: u64,
        /// Its changes.
        pub changes: Vec<Change>,
    }

    /// Answer to `GET /v1/log`.
    pub struct LogPage {
        /// Term of the answering primary.
        pub term: u64,
        /// Whether the asker's last entry is in the primary's log.
        pub matched: bool,
        /// Offset of the primary's last entry.
        pub last_offset: u64,
        /// Starts of all terms in the primary's log.
        pub history: Vec<TermStart>,
        /// Entries after the asker's last entry.
        pub entries: Vec<LogEntry>,
    }
}

/// The log of a member.
#[derive(Default)]
pub(super) struct MemberLog {
    entries: Vec<LogEntry>,
    history: Vec<TermStart>,
}

impl MemberLog {
    pub(super) fn last_offset(&self) -> u64 {
        self.entries.len() as u64
    }

    /// Position of the entry at an offset, the default position for 0.
    pub(super) fn position(&self, offset: u64) -> LogPosition {
        let index = (offset as usize).checked_sub(1);
        let entry = index.and_then(|index| self.entries.get(index));
        entry.map_or_else(LogPosition::default, |entry| LogPosition { term: entry.term, offset })
    }

    pub(super) fn history(&self) -> &[TermStart] {
        &self.history
    }

    pub(super) fn entry(&self, offset: u64) -> Option<&LogEntry> {
        self.entries.get((offset as usize).checked_sub(1)?)
    }

    pub(super) fn after(&self, offset: u64, limit: usize) -> &[LogEntry] {
        let start = (offset as usize).min(self.entries.len());
        let end = (start + limit).min(self.entries.len());
        &self.entries[start..end]
    }

    /// Appends a new transaction, or the start of a term.
    pub(super) fn append(&mut self, term: u64, changes: Vec<Change>) -> LogPosition {
        let offset = self.last_offset() + 1;
        self.push(LogEntry { term, offset, changes });
        LogPosition { term, offset }
    }

    /// Takes over an entry of the primary; it must follow the last entry.
    pub(super) fn push(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.offset, self.last_offset() + 1);
        if self.history.last().is_none_or(|last| last.term != entry.term) {
            self.history.push(TermStart { term: entry.term, offset: entry.offset - 1 });
        }
        self.entries.push(entry);
    }

    /// Offset of the last entry that this log shares with one of the given history and length.
    pub(super) fn common_offset(&self, history: &[TermStart], last_offset: u64) -> u64 {
        let shared = self.history.iter().zip(history).take_while(|(own, other)| own == other);
        let shared = shared.count();
        let end = |starts: &[TermStart], last| starts.get(shared).map_or(last, |next| next.offset);
        match shared {
            0 => 0,
            _ => end(&self.history, self.last_offset()).min(end(history, last_offset)),
        }
    }

    /// Drops all entries after an offset.
    pub(super) fn truncate(&mut self, offset: u64) {
        self.entries.truncate(offset as usize);
        self.history.retain(|start| start.offset < offset);
    }
}
