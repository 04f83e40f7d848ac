//! Who is the primary of each group, as agreed through the table service.

use std::collections::HashMap;

use tanagerdeal_wire::wire_type;

use super::clock::StoreInstant;

wire_type! {
    /// The row of a group.
    pub struct GroupRecord {
        /// Group.
        pub group: String,
        /// Term of the primary; 0 before it is known.
        pub term: u64,
        /// Identity of the endpoint that is the primary.
        pub primary: String,
        /// A change of primary in progress; no host uses the primary meanwhile.
        pub change: Option<ChangeMark>,
    }

    /// A change of primary in progress.
    pub struct ChangeMark {
        /// Host that carries it out.
        pub holder: String,
        /// Its fencing token.
        pub token: u64,
        /// Until when no other host may continue it.
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

/// The rows of all groups as this host knows them.
#[derive(Default)]
pub struct GroupTable {
    entries: HashMap<String, GroupEntry>,
}

impl GroupTable {
    /// Takes over a row unless a newer one is known. Returns whether anything changed.
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
    pub fn entries(&self) -> impl Iterator<Item = &GroupEntry> {
        self.entries.values()
    }

    /// The endpoint that may be used as primary of a group, if no change is in progress.
    pub fn primary(&self, group: &str) -> Option<&GroupRecord> {
        self.entries.get(group).map(|entry| &entry.record).filter(|record| record.change.is_none())
    }
}
