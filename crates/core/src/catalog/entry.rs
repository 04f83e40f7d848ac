//! Store entries as received, indexed by key and by revision, with tombstones of deletions.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use tanagerdeal_wire::peer::CatalogEntry;
use tanagerdeal_wire::view::LEASE_PREFIX;

/// Number of tombstones kept for other hosts. At 2,800 changes a day they cover the deletions of
/// several days, so only a host that was cut off for longer has to read the store itself.
const MAX_TOMBSTONES: usize = 10_000;

/// Entries by key, and the order in which they are relayed to other hosts.
#[derive(Default)]
pub(super) struct EntryTable {
    by_key: HashMap<Arc<str>, StoredEntry>,
    relayed: BTreeSet<(u64, Arc<str>)>,
    tombstones: BTreeMap<u64, Vec<Arc<str>>>,
    tombstone_count: usize,
    /// Highest revision of a tombstone that has been discarded.
    compacted_revision: u64,
}

struct StoredEntry {
    revision: u64,
    value: Option<String>,
}

impl EntryTable {
    /// Revision of a key's stored value or tombstone.
    pub(super) fn revision(&self, key: &str) -> Option<u64> {
        self.by_key.get(key).map(|stored| stored.revision)
    }

    /// Revision of a key's stored value, 0 if the key is absent or deleted.
    pub(super) fn present_revision(&self, key: &str) -> u64 {
        let present = self.by_key.get(key).filter(|stored| stored.value.is_some());
        present.map_or(0, |stored| stored.revision)
    }

    /// Newest revision among the entries that are relayed to other hosts.
    pub(super) fn newest_relayed_revision(&self) -> u64 {
        self.relayed.last().map_or(0, |(revision, _)| *revision)
    }

    pub(super) fn insert(&mut self, entry: CatalogEntry) {
        let key: Arc<str> = Arc::from(entry.key);
        let stored = StoredEntry { revision: entry.revision, value: entry.value };
        let is_deleted = stored.value.is_none();
        if let Some(old) = self.by_key.insert(key.clone(), stored) {
            self.relayed.remove(&(old.revision, key.clone()));
            self.remove_tombstone(old.revision, &key);
        }
        if !key.starts_with(LEASE_PREFIX) {
            self.relayed.insert((entry.revision, key.clone()));
        }
        if is_deleted {
            self.tombstones.entry(entry.revision).or_default().push(key);
            self.tombstone_count += 1;
            self.compact_tombstones();
        }
    }

    /// Relayed entries after a revision, in order of revision. If the list was cut at `max_bytes`,
    /// the revision of its last entry is returned as well. Returns `None` if tombstones of
    /// deletions after the revision have been discarded, unless it is 0.
    pub(super) fn after(
        &self,
        revision: u64,
        max_bytes: usize,
    ) -> Option<(Vec<CatalogEntry>, Option<u64>)> {
        if revision > 0 && revision < self.compacted_revision {
            return None;
        }
        let (mut entries, mut bytes, mut last) = (Vec::new(), 0, 0);
        for (revision, key) in self.relayed.range((revision + 1, Arc::from(""))..) {
            // All entries of a transaction have the same revision and must not be split.
            if bytes > max_bytes && *revision > last {
                return Some((entries, Some(last)));
            }
            let stored = &self.by_key[key];
            last = *revision;
            bytes += key.len() + stored.value.as_ref().map_or(0, String::len);
            let value = stored.value.clone();
            entries.push(CatalogEntry { key: key.to_string(), revision: *revision, value });
        }
        Some((entries, None))
    }

    fn remove_tombstone(&mut self, revision: u64, key: &Arc<str>) {
        if let Some(keys) = self.tombstones.get_mut(&revision) {
            let before = keys.len();
            keys.retain(|stored| stored != key);
            self.tombstone_count -= before - keys.len();
            if keys.is_empty() {
                self.tombstones.remove(&revision);
            }
        }
    }

    fn compact_tombstones(&mut self) {
        while self.tombstone_count > MAX_TOMBSTONES
            && let Some((revision, keys)) = self.tombstones.pop_first()
        {
            self.tombstone_count -= keys.len();
            self.compacted_revision = self.compacted_revision.max(revision);
            for key in keys {
                self.relayed.remove(&(revision, key.clone()));
                self.by_key.remove(&key);
            }
        }
    }
}
