//! Copies of the store's tables, which a relay serves to the hosts of its failure domain.
//!
//! A host asks for the changes since the version that it knows. Removed rows stay in the copy
//! without content for a while, so that the answer can include the removal. A host whose version is
//! too old for that gets the whole table.

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use tanagerdeal_wire::wire_type;

use super::clock::{BootInstant, StoreInstant};

/// Removed rows that a copy keeps.
const MAX_REMOVED: usize = 200;

wire_type! {
    /// A row of a copy.
    pub struct MirrorRow {
        /// Key of the row.
        pub key: String,
        /// Version of the last change of the row.
        pub version: u64,
        /// Content; `None` if the row was removed.
        pub value: Option<Vec<u8>>,
    }

    /// Rows of a table as of one version of the store.
    pub struct MirrorPage {
        /// Whether the page has all rows of the table, rather than only changed ones.
        pub is_whole: bool,
        /// The rows.
        pub rows: Vec<MirrorRow>,
        /// Version of the store.
        pub version: u64,
        /// The store's clock at that version.
        pub read_at: StoreInstant,
    }
}

/// A copy of one table.
#[derive(Default)]
pub struct TableMirror {
    rows: BTreeMap<String, (u64, Option<Vec<u8>>)>,
    /// Version since which all changes are known.
    complete_since: u64,
    version: u64,
    changed: u64,
    read_at: StoreInstant,
    asked_at: Option<BootInstant>,
    failed_at: Option<BootInstant>,
}

impl TableMirror {
    /// Applies a page that was requested at `asked_at`, and returns the rows that are new. Rows
    /// that are missing in a whole table are removed as of its version. A page of changes has to
    /// start at the version of the copy or an earlier one.
    ///
    /// ```
    /// use tanagerdeal_core::ledger::clock::{BootInstant, StoreInstant};
    /// use tanagerdeal_core::ledger::mirror::{MirrorPage, MirrorRow, TableMirror};
    ///
    /// let rows = vec![MirrorRow { key: "k".to_owned(), version: 3, value: Some(vec![1]) }];
    /// let read_at = StoreInstant::from_millis(0);
    /// let page = MirrorPage { is_whole: true, rows: rows.clone(), version: 4, read_at };
    /// let mut mirror = TableMirror::default();
    /// assert_eq!(mirror.adopt(&page, BootInstant::from_micros(0)), rows);
    /// assert_eq!(mirror.page(0), page);
    /// assert!(mirror.page(4).rows.is_empty());
    /// ```
    pub fn adopt(&mut self, page: &MirrorPage, asked_at: BootInstant) -> Vec<MirrorRow> {
        if page.version < self.version {
            return Vec::new();
        }
        let mut updates = self.removed_rows(page);
        let is_newer = |row: &&MirrorRow| {
            self.rows.get(&row.key).is_none_or(|(version, _)| *version < row.version)
        };
        updates.extend(page.rows.iter().filter(is_newer).cloned());
        for row in &updates {
            self.rows.insert(row.key.clone(), (row.version, row.value.clone()));
            self.changed = self.changed.max(row.version);
        }
        if page.is_whole {
            self.complete_since = page.version;
        }
        (self.version, self.read_at) = (page.version, page.read_at);
        self.asked_at = self.asked_at.max(Some(asked_at));
        self.prune();
        updates
    }

    /// Removals of the known rows that are missing in a whole page.
    fn removed_rows(&self, page: &MirrorPage) -> Vec<MirrorRow> {
        if !page.is_whole {
            return Vec::new();
        }
        let present: HashSet<&str> = page.rows.iter().map(|row| row.key.as_str()).collect();
        let known = self.rows.iter().filter(|(_, (_, value))| value.is_some());
        let absent = known.filter(|(key, _)| !present.contains(key.as_str()));
        let removal =
            |key: &String| MirrorRow { key: key.clone(), version: page.version, value: None };
        absent.map(|(key, _)| removal(key)).collect()
    }

    /// Drops the removed rows when there are many.
    fn prune(&mut self) {
        let removed = self.rows.values().filter(|(_, value)| value.is_none()).count();
        if removed > MAX_REMOVED {
            self.rows.retain(|_, (_, value)| value.is_some());
            self.complete_since = self.version;
        }
    }

    /// The page for a host that knows version `after`; the whole table if `after` is 0 or too old.
    ///
    /// ```
    /// use tanagerdeal_core::ledger::mirror::TableMirror;
    ///
    /// assert!(TableMirror::default().page(0).rows.is_empty());
    /// ```
    pub fn page(&self, after: u64) -> MirrorPage {
        let is_whole = after == 0 || after < self.complete_since;
        let is_included = |version: u64, value: &Option<Vec<u8>>| match is_whole {
            true => value.is_some(),
            false => version > after,
        };
        let rows = self.rows.iter().filter(|(_, (version, value))| is_included(*version, value));
        let rows = rows.map(|(key, (version, value))| MirrorRow {
            key: key.clone(),
            version: *version,
            value: value.clone(),
        });
        MirrorPage { is_whole, rows: rows.collect(), version: self.version, read_at: self.read_at }
    }

    /// Whether the table has been read at all.
    ///
    /// ```
    /// assert!(!tanagerdeal_core::ledger::mirror::TableMirror::default().is_loaded());
    /// ```
    pub fn is_loaded(&self) -> bool {
        self.asked_at.is_some()
    }

    /// Version of the store up to which changes are known.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Version of one row; 0 if there is none. The copy then holds whatever was written to the
    /// table before that version.
    pub fn row_version(&self, key: &str) -> u64 {
        let row = self.rows.get(key).filter(|(_, value)| value.is_some());
        row.map_or(0, |(version, _)| *version)
    }

    /// Version of the last change.
    pub fn changed(&self) -> u64 {
        self.changed
    }

    /// Records that the store did not answer.
    pub fn note_failed(&mut self, now: BootInstant) {
        self.failed_at = Some(now);
    }

    /// Whether a call to the store has failed at `instant` or later. A request that has been queued
    /// since then needs no call of its own.
    pub fn has_failed_since(&self, instant: BootInstant) -> bool {
        self.failed_at.is_some_and(|failed_at| failed_at >= instant)
    }

    /// Whether the copy holds everything that was written up to `age` before `now`.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use tanagerdeal_core::ledger::clock::BootInstant;
    /// use tanagerdeal_core::ledger::mirror::TableMirror;
    ///
    /// let now = BootInstant::from_micros(9);
    /// assert!(!TableMirror::default().is_fresh(now, Duration::from_secs(1)));
    /// ```
    pub fn is_fresh(&self, now: BootInstant, age: Duration) -> bool {
        self.asked_at.is_some_and(|asked_at| asked_at >= now.before(age))
    }
}
