//! The primary of each group, as agreed through the table service.

use std::collections::{HashMap, HashSet};

use tanagerdeal_wire::wire_type;

use super::clock::StoreInstant;
use super::endpoint::LogPosition;
use super::lease::HostRecord;
use super::version::era_of;

/// Key of the epoch row, which is written in the same transaction as the row of any group. It sorts
/// before the names of groups, so a read of the table in several pages returns it with the first.
pub const GROUP_EPOCH_KEY: &str = "!epoch";

wire_type! {
    /// The row of a group.
    pub struct GroupRecord {
        /// Name of the group.
        pub group: String,
        /// Term of the primary; 0 before it is known.
        pub term: u64,
        /// Identity of the endpoint that is the primary.
        pub primary: String,
        /// A failover in progress. No host uses the primary meanwhile.
        pub change: Option<PendingChange>,
        /// Position with which the primary's term began, if it is known. What former terms have
        /// beyond it was given up. Rows of earlier builds lack it.
        #[serde(default)]
        pub term_start: Option<LogPosition>,
    }

    /// Mark in a group's row that its failover is in progress.
    pub struct PendingChange {
        /// Host that carries out the failover.
        pub holder: String,
        /// Fencing token of that host.
        pub token: u64,
        /// Until when no other host may continue the failover.
        pub until: StoreInstant,
        /// Promotion that may have been called for. Rows of earlier builds lack it.
        #[serde(default)]
        pub promotion: Option<PromotionRecord>,
    }

    /// A promotion, recorded before it is called for. Whoever continues the failover learns from it
    /// that an endpoint may become primary, or may already be.
    pub struct PromotionRecord {
        /// Endpoint to be promoted.
        pub endpoint: String,
        /// Newest term known before the call. The promoted endpoint leads a later one.
        pub known_term: u64,
        /// Latest time at which a call takes effect.
        pub effective_until: StoreInstant,
        /// Whether an endpoint that was named before did not answer, and may lead unseen.
        pub is_uncertain: bool,
        /// Era of the store in which the promotion was recorded.
        pub era: u64,
    }
}

impl GroupRecord {
    /// The promotion that may have been called for in the failover in progress.
    ///
    /// ```
    /// use tanagerdeal_core::ledger::group::GroupRecord;
    ///
    /// let (group, primary) = ("g1".to_owned(), "e1".to_owned());
    /// let record = GroupRecord { group, term: 1, primary, change: None, term_start: None };
    /// assert!(record.promotion().is_none());
    /// ```
    pub fn promotion(&self) -> Option<&PromotionRecord> {
        self.change.as_ref()?.promotion.as_ref()
    }

    /// Whether a log that reaches up to a position has commits that were given up when the
    /// primary's term began.
    ///
    /// ```
    /// use tanagerdeal_core::ledger::endpoint::LogPosition;
    /// use tanagerdeal_core::ledger::group::GroupRecord;
    ///
    /// let at = |term, number| LogPosition { term, number };
    /// let (group, primary) = ("g1".to_owned(), "e1".to_owned());
    /// let term_start = Some(at(3, 40));
    /// let record = GroupRecord { group, term: 4, primary, change: None, term_start };
    /// assert!(record.is_diverged(at(3, 41)));
    /// assert!(!record.is_diverged(at(3, 40)) && !record.is_diverged(at(4, 41)));
    /// ```
    pub fn is_diverged(&self, received: LogPosition) -> bool {
        received.term < self.term && self.term_start.is_some_and(|start| received > start)
    }
}

/// A row of a group with its version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GroupEntry {
    /// Version of the row.
    pub version: u64,
    /// Content of the row.
    pub record: GroupRecord,
}

/// Whether the epoch row alone proves that a host knows all groups. Hosts of a build that does not
/// write it change groups unnoticed, so while one of them is live, renewals also depend on the rows
/// of the groups.
///
/// ```
/// use tanagerdeal_core::ledger::group::is_epoch_sufficient;
///
/// assert!(is_epoch_sufficient([].into_iter()));
/// ```
pub fn is_epoch_sufficient<'a>(mut live_hosts: impl Iterator<Item = &'a HostRecord>) -> bool {
    live_hosts.all(|record| record.writes_epoch)
}

/// The rows of all groups as this host knows them.
#[derive(Default)]
pub struct GroupTable {
    entries: HashMap<String, GroupEntry>,
    /// Groups of which this host knows more than the restored store has.
    unwritten: HashSet<String>,
}

/// Whether a row comes from a copy that lacks what is known: a later primary, a change in progress,
/// or a promotion that it may have called for. Within an era a change ends by a row without it.
fn is_behind(entry: &GroupEntry, known: &GroupEntry) -> bool {
    let progress =
        |record: &GroupRecord| (record.term, record.change.is_some(), record.promotion().is_some());
    era_of(entry.version) > era_of(known.version)
        && progress(&entry.record) < progress(&known.record)
}

impl GroupTable {
    /// Applies a row unless the same or a newer version is known. Returns whether it was applied.
    /// Of a row that lacks what is known only the version is taken over.
    pub fn adopt(&mut self, entry: GroupEntry) -> bool {
        let group = entry.record.group.clone();
        match self.entries.get_mut(&group) {
            Some(known) if known.version >= entry.version => return false,
            Some(known) if is_behind(&entry, known) => {
                known.version = entry.version;
                self.unwritten.insert(group);
            }
            _ => {
                self.unwritten.remove(&group);
                self.entries.insert(group, entry);
            }
        }
        true
    }

    /// Records that the restored store has no row of a group.
    pub fn note_lost(&mut self, group: &str) {
        if let Some(known) = self.entries.get_mut(group) {
            known.version = 0;
            self.unwritten.insert(group.to_owned());
        }
    }

    /// Whether the restored store lacks what is known of a group.
    pub fn is_unwritten(&self, group: &str) -> bool {
        self.unwritten.contains(group)
    }

    /// Rows to write again: what is known, with the version of the row that lacks it.
    pub fn unwritten(&self) -> impl Iterator<Item = &GroupEntry> {
        self.unwritten.iter().filter_map(|group| self.entries.get(group))
    }

    /// The row of a group.
    pub fn get(&self, group: &str) -> Option<&GroupEntry> {
        self.entries.get(group)
    }

    /// All rows.
    pub fn entries(&self) -> impl Iterator<Item = &GroupEntry> + Clone {
        self.entries.values()
    }

    /// The row that names the primary of a group, unless a failover is in progress.
    pub fn primary(&self, group: &str) -> Option<&GroupRecord> {
        self.entries.get(group).map(|entry| &entry.record).filter(|record| record.change.is_none())
    }
}
