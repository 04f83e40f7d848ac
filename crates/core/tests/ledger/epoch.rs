//! The epoch of the groups: a lease may rely on one row in place of the rows of all groups.

use googletest::prelude::*;
use tanagerdeal_core::ledger::group::{
    GROUP_EPOCH_KEY, GroupEntry, GroupRecord, GroupTable, is_epoch_sufficient,
};
use tanagerdeal_core::ledger::lease::HostEntry;
use tanagerdeal_core::ledger::mirror::{MirrorPage, MirrorRow, TableMirror};
use tanagerdeal_core::ledger::renewal::relies_on_group_rows;

use crate::support::{at, host, store_at};

const GROUPS: [&str; 2] = ["a", "b"];
/// Events of each explored sequence; two changes, two ways to learn of each, and a renewal.
const EVENTS: u32 = 7;

#[derive(Clone, Copy)]
enum ModelEvent {
    /// A host changes a group, which writes the epoch too.
    Change(usize),
    /// The host reads what has changed in the table.
    Read,
    /// Another host sends it the row of one group.
    Receive(usize),
    Renew,
}

const MODEL_EVENTS: [ModelEvent; 6] = [
    ModelEvent::Change(0),
    ModelEvent::Change(1),
    ModelEvent::Read,
    ModelEvent::Receive(0),
    ModelEvent::Receive(1),
    ModelEvent::Renew,
];

/// How a host states the version of the epoch that it relies on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum EpochSource {
    /// The row in its copy of the table.
    TableCopy,
    /// The newest row of a group that it knows, also from another host.
    NewestGroup,
}

#[derive(Default)]
struct ModelStore {
    version: u64,
    groups: [u64; 2],
}

struct ModelHost {
    mirror: TableMirror,
    groups: GroupTable,
}

fn entry(group: usize, version: u64) -> GroupEntry {
    let record = GroupRecord {
        group: GROUPS[group].to_owned(),
        term: 1,
        primary: "p".to_owned(),
        change: None,
        term_start: None,
        verified_era: 0,
        former_starts: Vec::new(),
    };
    GroupEntry { version, record }
}

impl ModelStore {
    fn epoch(&self) -> u64 {
        self.groups.into_iter().max().unwrap_or(0)
    }

    /// The rows that have changed after a version.
    fn page(&self, after: u64) -> MirrorPage {
        let names = [GROUPS[0], GROUPS[1], GROUP_EPOCH_KEY];
        let versions = [self.groups[0], self.groups[1], self.epoch()];
        let rows = names.into_iter().zip(versions).filter(|(_, version)| *version > after);
        let rows = rows.map(|(key, version)| MirrorRow {
            key: key.to_owned(),
            version,
            value: Some(Vec::new()),
        });
        let (is_whole, read_at) = (after == 0, store_at(self.version));
        MirrorPage { is_whole, rows: rows.collect(), version: self.version, read_at }
    }
}

impl ModelHost {
    fn read(&mut self, store: &ModelStore) {
        for row in self.mirror.adopt(&store.page(self.mirror.version()), at(store.version)) {
            if let Some(group) = GROUPS.iter().position(|name| *name == row.key) {
                self.groups.adopt(entry(group, row.version), true);
            }
        }
    }

    fn known(&self, group: usize) -> u64 {
        self.groups.get(GROUPS[group]).map_or(0, |entry| entry.version)
    }

    fn epoch(&self, source: EpochSource) -> u64 {
        match source {
            EpochSource::TableCopy => self.mirror.row_version(GROUP_EPOCH_KEY),
            EpochSource::NewestGroup => self.known(0).max(self.known(1)),
        }
    }
}

/// Runs all sequences of events. Returns the number of renewals that succeeded although a group had
/// a newer row than the host knew.
fn unsafe_renewals(source: EpochSource) -> usize {
    let choices = MODEL_EVENTS.len();
    let is_unsafe = |sequence: &usize| {
        let mut store = ModelStore::default();
        let mut model = ModelHost { mirror: TableMirror::default(), groups: GroupTable::default() };
        let steps = (0..EVENTS).map(|step| sequence / choices.pow(step) % choices);
        steps.map(|index| MODEL_EVENTS[index]).any(|event| {
            match event {
                ModelEvent::Change(group) => {
                    store.version += 1;
                    store.groups[group] = store.version;
                }
                ModelEvent::Read => model.read(&store),
                ModelEvent::Receive(group) if store.groups[group] > 0 => {
                    model.groups.adopt(entry(group, store.groups[group]), true);
                }
                ModelEvent::Receive(_) => (),
                ModelEvent::Renew => {
                    let is_behind = (0..2).any(|group| model.known(group) < store.groups[group]);
                    return model.epoch(source) == store.epoch() && is_behind;
                }
            }
            false
        })
    };
    (0..choices.pow(EVENTS)).filter(is_unsafe).count()
}

/// Guards against a host that renews its lease without having seen the mark of a group, and so
/// uses a primary that is replaced after the renewal. The second check shows that the model finds
/// such a renewal when the version is taken from a row that another host has sent.
#[gtest]
fn a_renewal_proves_that_all_groups_are_known() {
    expect_that!(unsafe_renewals(EpochSource::TableCopy), eq(0));
    expect_that!(unsafe_renewals(EpochSource::NewestGroup), gt(0));
}

/// Guards against a rolling upgrade in which a host of the former build marks a group without the
/// epoch, and a host of this build renews without noticing.
#[gtest]
fn the_rows_of_the_groups_count_while_a_host_without_the_epoch_is_live() {
    let mut hosts = [host("h1", 1, 9_000, &[]), host("h2", 1, 9_000, &[])];
    let is_sufficient =
        |hosts: &[HostEntry]| is_epoch_sufficient(hosts.iter().map(|entry| &entry.record));
    expect_that!(is_sufficient(&hosts), eq(true));
    hosts[1].record.writes_epoch = false;
    expect_that!(is_sufficient(&hosts), eq(false));
    expect_that!(relies_on_group_rows(20, 6, false), eq(true));
}
