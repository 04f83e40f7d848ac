//! The table service: keys with values under one global revision.

use std::collections::BTreeMap;

use tanagerdeal_wire::platform::{EntryPage, TableEntry, TxnConflict, TxnReply, TxnRequest};

/// All keys ever written; a deleted key stays as an entry without a value for the change feed.
#[derive(Default)]
pub(crate) struct TableStore {
    revision: u64,
    entries: BTreeMap<String, TableEntry>,
}

impl TableStore {
    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    pub(crate) fn transact(&mut self, txn: TxnRequest) -> Result<TxnReply, TxnConflict> {
        let differing =
            txn.checks.iter().find(|check| self.key_revision(&check.key) != check.revision);
        if let Some(check) = differing {
            let revision = self.key_revision(&check.key);
            return Err(TxnConflict { key: check.key.clone(), revision });
        }
        self.revision += 1;
        for write in txn.writes {
            let entry =
                TableEntry { key: write.key.clone(), revision: self.revision, value: write.value };
            self.entries.insert(write.key, entry);
        }
        Ok(TxnReply { revision: self.revision })
    }

    pub(crate) fn read(&self, key: &str) -> EntryPage {
        let entries = self.entries.get(key).filter(|entry| entry.value.is_some());
        EntryPage { revision: self.revision, entries: entries.cloned().into_iter().collect() }
    }

    pub(crate) fn scan(&self, prefix: &str) -> EntryPage {
        let entries = self.with_prefix(prefix).filter(|entry| entry.value.is_some());
        EntryPage { revision: self.revision, entries: entries.cloned().collect() }
    }

    /// Entries written after a revision, oldest first.
    ///
    /// A cut page ends between two revisions, so that no transaction is seen in part; a single
    /// transaction larger than the limit is returned whole.
    pub(crate) fn changes(&self, after: u64, prefix: &str, limit: usize) -> EntryPage {
        let mut entries: Vec<&TableEntry> =
            self.with_prefix(prefix).filter(|entry| entry.revision > after).collect();
        entries.sort_by_key(|entry| entry.revision);
        let revision = match entries.get(limit.max(1)) {
            None => self.revision,
            Some(next) => {
                let first = entries[0].revision;
                let cut = next.revision;
                let whole = if cut == first { cut } else { cut - 1 };
                entries.retain(|entry| entry.revision <= whole);
                whole
            }
        };
        EntryPage { revision, entries: entries.into_iter().cloned().collect() }
    }

    fn key_revision(&self, key: &str) -> u64 {
        let entry = self.entries.get(key).filter(|entry| entry.value.is_some());
        entry.map_or(0, |entry| entry.revision)
    }

    fn with_prefix<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a TableEntry> {
        let range = self.entries.range(prefix.to_owned()..);
        range.map(|(_, entry)| entry).take_while(move |entry| entry.key.starts_with(prefix))
    }
}
