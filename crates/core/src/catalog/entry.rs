//! Stored entries as they were received, by key and by revision, with tombstones.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use tanagerdeal_wire::peer::CatalogEntry;
use tanagerdeal_wire::view::LEASE_PREFIX;

/// Deletions kept for other hosts. At 2,800 changes a day these are the deletions of some days, so
/// that only a host that was cut off for longer has to read the store itself.
const MAX_TOMBSTONES: usize = 10_000;

/// Entries in the order of their revisions.
#[derive(Default)]
pub(super) struct EntryTable {
    by_key: HashMap<Arc<str>, HeldEntry>,
    relayed: BTreeSet<(u64, Arc<str>)>,
    tombstones: BTreeMap<u64, Vec<Arc<str>>>,
    tombstone_count: usize,
    /// Highest revision of a deletion that is no longer kept.
    forgotten: u64,
}

struct HeldEntry {
    revision: u64,
    value: Option<String>,
}

impl EntryTable {
    /// Revision of the last write or deletion held of a key.
    pub(super) fn revision(&self, key: &str) -> Option<u64> {
        self.by_key.get(key).map(|held| held.revision)
    }

    /// Revision of a key that is not deleted, else 0.
    pub(super) fn present_revision(&self, key: &str) -> u64 {
        let present = self.by_key.get(key).filter(|held| held.value.is_some());
        present.map_or(0, |held| held.revision)
    }

    /// Newest revision among the entries that other hosts get.
    pub(super) fn newest_relayed(&self) -> u64 {
        self.relayed.last().map_or(0, |(revision, _)| *revision)
    }

    pub(super) fn insert(&mut self, entry: CatalogEntry) {
        let key: Arc<str> = Arc::from(entry.key);
        let held = HeldEntry { revision: entry.revision, value: entry.value };
        let is_deleted = held.value.is_none();
        if let Some(old) = self.by_key.insert(key.clone(), held) {
            self.relayed.remove(&(old.revision, key.clone()));
            self.forget_tombstone(old.revision, &key);
        }
        if !key.starts_with(LEASE_PREFIX) {
            self.relayed.insert((entry.revision, key.clone()));
        }
        if is_deleted {
            self.tombstones.entry(entry.revision).or_default().push(key);
            self.tombstone_count += 1;
            self.drop_oldest();
        }
    }

    /// Entries after a revision, in order, and the last one's revision when the list was cut.
    pub(super) fn after(
        &self,
        revision: u64,
        max_bytes: usize,
    ) -> Option<(Vec<CatalogEntry>, Option<u64>)> {
        if revision > 0 && revision < self.forgotten {
            return None;
        }
        let (mut entries, mut bytes, mut last) = (Vec::new(), 0, 0);
        for (revision, key) in self.relayed.range((revision + 1, Arc::from(""))..) {
            // Entries of one transaction stay together.
            if bytes > max_bytes && *revision > last {
                return Some((entries, Some(last)));
            }
            let held = &self.by_key[key];
            last = *revision;
            bytes += key.len() + held.value.as_ref().map_or(0, String::len);
            let value = held.value.clone();
            entries.push(CatalogEntry { key: key.to_string(), revision: *revision, value });
        }
        Some((entries, None))
    }

    fn forget_tombstone(&mut self, revision: u64, key: &Arc<str>) {
        if let Some(keys) = self.tombstones.get_mut(&revision) {
            let before = keys.len();
            keys.retain(|held| held != key);
            self.tombstone_count -= before - keys.len();
            if keys.is_empty() {
                self.tombstones.remove(&revision);
            }
        }
    }

    fn drop_oldest(&mut self) {
        while self.tombstone_count > MAX_TOMBSTONES
            && let Some((revision, keys)) = self.tombstones.pop_first()
        {
            self.tombstone_count -= keys.len();
            self.forgotten = self.forgotten.max(revision);
            for key in keys {
                self.relayed.remove(&(revision, key.clone()));
                self.by_key.remove(&key);
            }
        }
    }
}
