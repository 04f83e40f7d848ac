//! The primary of each group, as agreed through the table service.

use std::collections::HashMap;

use tanagerdeal_wire::wire_type;

use super::clock::StoreInstant;
use super::lease::HostRecord;

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
    }

    /// Mark in a group's row that its failover is in progress.
    pub struct PendingChange {
        /// Host that carries out the failover.
        pub holder: String,
        /// Fencing token of that host.
        pub token: u64,
        /// Until when no other host may continue the failover.
        pub until: StoreInstant,
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
}

impl GroupTable {
    /// Applies a row unless the same or a newer version is known. Returns whether it was applied.
    pub fn adopt(&mut self, entry: GroupEntry) -> bool {
        let is_newer =
            self.entries.get(&entry.record.group).is_none_or(|known| known.version < entry.version);
        if is_newer {
            self.entries.insert(entry.record.group.clone(), entry);
        }
        is_newer
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
