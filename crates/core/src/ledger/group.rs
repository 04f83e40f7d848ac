//! The primary of each group, as agreed through the table service.

use std::collections::{HashMap, HashSet};

use tanagerdeal_wire::wire_type;

use super::clock::StoreInstant;
use super::endpoint::LogPosition;
use super::lease::HostRecord;
use super::version::{FIRST_ERA, era_of};

/// Key of the epoch row, which is written in the same transaction as the row of any group. It sorts
/// before the names of groups, so a read of the table in several pages returns it with the first.
pub const GROUP_EPOCH_KEY: &str = "!epoch";

/// Beginnings of terms that are kept in the row of a group.
const MAX_FORMER_STARTS: usize = 16;

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
        /// Era of the store in which a host that knew the primary has written the row. A copy has
        /// rows of earlier eras. Rows of earlier builds lack it.
        #[serde(default)]
        pub verified_era: u64,
        /// Beginnings of terms before that of the primary, oldest first. Rows of earlier builds lack
        /// them.
        #[serde(default)]
        pub former_starts: Vec<TermStart>,
    }

    /// The beginning of a term.
    pub struct TermStart {
        /// The term.
        pub term: u64,
        /// Position with which it began. What former terms have beyond it was given up.
        pub start: LogPosition,
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
    /// let (change, term_start) = (None, None);
    /// let former_starts = Vec::new();
    /// let record = GroupRecord {
    ///     group,
    ///     term: 1,
    ///     primary,
    ///     change,
    ///     term_start,
    ///     verified_era: 1,
    ///     former_starts,
    /// };
    /// assert!(record.promotion().is_none());
    /// ```
    pub fn promotion(&self) -> Option<&PromotionRecord> {
        self.change.as_ref()?.promotion.as_ref()
    }

    /// The row when an endpoint leads, whose term began with a position if that is known. An endpoint
    /// that has crashed may lead the present term under another identity.
    pub fn succeeded_by(&self, primary: &str, term: u64, start: Option<LogPosition>) -> Self {
        let is_later = term > self.term;
        let own = self.term_start.filter(|_| is_later);
        let own = own.map(|start| TermStart { term: self.term, start });
        let starts: Vec<TermStart> = self.former_starts.iter().cloned().chain(own).collect();
        let surplus = starts.len().saturating_sub(MAX_FORMER_STARTS);
        Self {
            term,
            primary: primary.to_owned(),
            term_start: if is_later { start } else { self.term_start.or(start) },
            former_starts: starts[surplus..].to_vec(),
            ..self.clone()
        }
    }

    /// Whether a log that reaches up to a position has commits that were given up when a later term
    /// began.
    ///
    /// ```
    /// use tanagerdeal_core::ledger::endpoint::LogPosition;
    /// use tanagerdeal_core::ledger::group::GroupRecord;
    ///
    /// let at = |term, number| LogPosition { term, number };
    /// let (group, primary) = ("g1".to_owned(), "e1".to_owned());
    /// let term_start = Some(at(3, 40));
    /// let change = None;
    /// let former_starts = Vec::new();
    /// let record = GroupRecord {
    ///     group,
    ///     term: 4,
    ///     primary,
    ///     change,
    ///     term_start,
    ///     verified_era: 1,
    ///     former_starts,
    /// };
    /// assert!(record.is_diverged(at(3, 41)));
    /// assert!(!record.is_diverged(at(3, 40)) && !record.is_diverged(at(4, 41)));
    /// let later = record.succeeded_by("e2", 5, Some(at(4, 60)));
    /// assert!(later.is_diverged(at(3, 41)) && !later.is_diverged(at(4, 60)));
    /// ```
    pub fn is_diverged(&self, received: LogPosition) -> bool {
        let own = self.term_start.map(|start| (self.term, start));
        let former = self.former_starts.iter().map(|former| (former.term, former.start));
        former.chain(own).any(|(term, start)| received.term < term && received > start)
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
///
/// A restored store may name a primary that was replaced after the copy was made. So in an era that
/// began with a copy, a row counts only if it is verified: a host that knew the primary has written
/// it in this era, or this host knew the primary itself when it first saw the copy.
#[derive(Default)]
pub struct GroupTable {
    entries: HashMap<String, GroupEntry>,
    /// Groups of which the restored store has less than this host knows, or an unverified row.
    unwritten: HashSet<String>,
    /// Groups whose primary may have been replaced after the copy was made.
    unverified: HashSet<String>,
}

impl GroupEntry {
    /// Whether a host that knew the primary has written the row in the era of its version.
    ///
    /// ```
    /// use tanagerdeal_core::ledger::group::{GroupEntry, GroupRecord};
    /// use tanagerdeal_core::ledger::version::version_in;
    ///
    /// let (group, primary) = ("g1".to_owned(), "e1".to_owned());
    /// let (change, term_start) = (None, None);
    /// let former_starts = Vec::new();
    /// let record = GroupRecord {
    ///     group,
    ///     term: 1,
    ///     primary,
    ///     change,
    ///     term_start,
    ///     verified_era: 1,
    ///     former_starts,
    /// };
    /// assert!(GroupEntry { version: version_in(1, 7), record: record.clone() }.is_verified());
    /// assert!(!GroupEntry { version: version_in(2, 7), record }.is_verified());
    /// ```
    pub fn is_verified(&self) -> bool {
        self.record.verified_era.max(FIRST_ERA) >= era_of(self.version)
    }
}

/// Whether a row comes from a copy that lacks what is known: a later primary, a change in progress,
/// or a promotion that it may have called for.
fn is_behind(entry: &GroupEntry, known: &GroupEntry) -> bool {
    let progress =
        |record: &GroupRecord| (record.term, record.change.is_some(), record.promotion().is_some());
    progress(&entry.record) < progress(&known.record)
}

/// Whether both rows name the same primary in the same term, and no change of it.
fn names_same_primary(entry: &GroupEntry, known: &GroupEntry) -> bool {
    let (written, known) = (&entry.record, &known.record);
    (&written.primary, written.term) == (&known.primary, known.term)
        && written.change.is_none()
        && known.change.is_none()
}

impl GroupTable {
    /// Applies a row unless the same or a newer version is known. Returns whether it was applied.
    /// Of a row that lacks what is known only the version is taken over. `is_current` says whether
    /// this host has known the primary up to now, as one with a lease does.
    pub fn adopt(&mut self, entry: GroupEntry, is_current: bool) -> bool {
        let Some(known) = self.entries.get(&entry.record.group) else {
            self.insert(entry, false);
            return true;
        };
        let (group, version) = (entry.record.group.clone(), entry.version);
        let is_verified = self.is_verified(&group);
        let is_next_era = era_of(version) > era_of(known.version);
        let has_knowledge = is_verified
            && match is_next_era {
                // Of a change in progress, the rows that followed may be lost, and with them a
                // promotion.
                true => is_current && known.record.change.is_none(),
                // Whoever had only the row of the copy may have written this one.
                false => !self.is_unwritten(&group) || names_same_primary(&entry, known),
            };
        // Within an era a change ends by a row without it.
        let is_lacking = is_next_era && is_behind(&entry, known);
        let is_newer = version > known.version
            || version == known.version && entry.is_verified() && !is_verified;
        match is_newer {
            false => return false,
            true if is_lacking && (has_knowledge || !entry.is_verified()) => {
                let record = known.record.clone();
                self.insert(GroupEntry { version, record }, has_knowledge);
                self.unwritten.insert(group);
            }
            true => {
                let is_of_copy = is_next_era && !entry.is_verified();
                self.insert(entry, has_knowledge);
                if is_of_copy && has_knowledge {
                    self.unwritten.insert(group);
                }
            }
        }
        true
    }

    /// Stores an entry. It counts as verified if its row says so or this host knows it.
    fn insert(&mut self, mut entry: GroupEntry, has_knowledge: bool) {
        let group = entry.record.group.clone();
        self.unwritten.remove(&group);
        match has_knowledge || entry.is_verified() {
            true => {
                entry.record.verified_era = era_of(entry.version);
                self.unverified.remove(&group);
            }
            false => {
                self.unverified.insert(group.clone());
            }
        }
        self.entries.insert(group, entry);
    }

    /// Records that the restored store has no row of a group, as of a version. `is_current` is as
    /// in [`GroupTable::adopt`]; without it, and while its primary is being replaced, the group
    /// counts as unknown.
    pub fn note_lost(&mut self, group: &str, version: u64, is_current: bool) {
        let is_verified = self.is_verified(group);
        match self.entries.get_mut(group) {
            Some(known) if is_current && is_verified && known.record.change.is_none() => {
                known.version = 0;
                known.record.verified_era = era_of(version);
                self.unwritten.insert(group.to_owned());
            }
            Some(_) => {
                self.entries.remove(group);
                self.unwritten.remove(group);
                self.unverified.remove(group);
            }
            None => (),
        }
    }

    /// Whether the restored store lacks what is known of a group.
    pub fn is_unwritten(&self, group: &str) -> bool {
        self.unwritten.contains(group)
    }

    /// Whether the primary of a known group cannot have been replaced without this host's
    /// knowledge.
    pub fn is_verified(&self, group: &str) -> bool {
        self.entries.contains_key(group) && !self.unverified.contains(group)
    }

    /// Rows to write again: what is known and verified, with the version of the row that lacks it.
    pub fn unwritten(&self) -> impl Iterator<Item = &GroupEntry> {
        let verified = self.unwritten.iter().filter(|group| self.is_verified(group));
        verified.filter_map(|group| self.entries.get(group))
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
