//! Copies of tables that relays serve.

use std::collections::BTreeMap;
use std::time::Duration;

use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};
use tanagerdeal_core::ledger::mirror::{MirrorPage, MirrorRow, TableMirror};

use crate::support::{at, store_at};

fn row(key: &str, version: u64, value: Option<u8>) -> MirrorRow {
    MirrorRow { key: key.to_owned(), version, value: value.map(|value| vec![value]) }
}

fn page(is_whole: bool, version: u64, rows: Vec<MirrorRow>) -> MirrorPage {
    MirrorPage { is_whole, rows, version, read_at: store_at(version) }
}

/// Guards against a host that keeps a removed row, such as an evacuation that was revoked or an
/// endpoint that has left.
#[gtest]
fn a_removed_row_is_told_to_those_who_know_it() {
    let mut mirror = TableMirror::default();
    mirror.adopt(&page(true, 5, vec![row("a", 2, Some(1)), row("b", 5, Some(1))]), at(0));
    mirror.adopt(&page(false, 7, vec![row("a", 7, None)]), at(1));
    expect_that!(mirror.page(5), eq(&page(false, 7, vec![row("a", 7, None)])));
    // A host whose version is too old for the copy gets all rows, and drops any others.
    expect_that!(mirror.page(3), eq(&page(true, 7, vec![row("b", 5, Some(1))])));
    expect_that!(mirror.page(7).rows, is_empty());
}

/// Guards against an old answer that arrives after a newer one.
#[gtest]
fn an_older_page_changes_nothing() {
    let mut mirror = TableMirror::default();
    mirror.adopt(&page(true, 9, vec![row("a", 9, Some(2))]), at(5));
    mirror.adopt(&page(true, 4, vec![row("a", 3, Some(1))]), at(6));
    mirror.adopt(&page(false, 9, vec![row("a", 8, Some(1))]), at(7));
    expect_that!(mirror.page(0).rows, elements_are![eq(&row("a", 9, Some(2)))]);
}

/// Guards against a relay that answers with what it read before it was asked.
#[gtest]
fn a_copy_is_as_fresh_as_its_question() {
    let mut mirror = TableMirror::default();
    expect_that!(mirror.is_fresh(at(0), Duration::from_secs(9)), eq(false));
    mirror.adopt(&page(true, 1, Vec::new()), at(1_000));
    expect_that!(mirror.is_fresh(at(1_200), Duration::from_millis(300)), eq(true));
    expect_that!(mirror.is_fresh(at(1_200), Duration::from_millis(100)), eq(false));
}

/// Load pattern: 40 hosts of a failure domain ask a relay that is cut off from the store
/// (`zone_cut`). Guards against a call for each of them in turn, long after they stopped waiting.
#[gtest]
fn a_failed_call_answers_all_that_waited_for_it() {
    let mut mirror = TableMirror::default();
    mirror.note_failed(at(1_500));
    let waited_since = |millis: u64| mirror.has_failed_since(at(millis));
    expect_that!([0, 700, 1_500].map(waited_since), eq([true, true, true]));
    expect_that!(waited_since(1_501), eq(false));
}

/// Guards against copies that diverge: hosts that ask relays in any order, with any gaps between
/// their requests, have the table as the store had it.
#[gtest]
fn copies_of_copies_agree_with_the_table() {
    for seed in 0..20 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut table: BTreeMap<String, MirrorRow> = BTreeMap::new();
        let mut mirrors: Vec<TableMirror> = (0..4).map(|_| TableMirror::default()).collect();
        let mut known: Vec<BTreeMap<String, MirrorRow>> = vec![BTreeMap::new(); 4];
        for version in 1..600 {
            let key = format!("k{}", random.random_range(0..260));
            let value = random.random_bool(0.5).then_some(version as u8);
            table.insert(key.clone(), row(&key, version, value));
            let asking = random.random_range(0..4);
            // The first mirror reads the store, and each other one asks its predecessor.
            let page = match asking {
                0 => {
                    let after = mirrors[0].version();
                    let changes = table.values().filter(|row| row.version > after).cloned();
                    page(false, version, changes.collect())
                }
                asking if mirrors[asking - 1].is_loaded() => {
                    mirrors[asking - 1].page(mirrors[asking].version())
                }
                _ => continue,
            };
            mirrors[asking].adopt(&page, at(version));
            let rows = &mut known[asking];
            if page.is_whole {
                rows.clear();
            }
            rows.extend(page.rows.iter().map(|row| (row.key.clone(), row.clone())));
            rows.retain(|_, row| row.value.is_some());
            let as_of = mirrors[asking].version();
            if as_of == version {
                let present = table.iter().filter(|(_, row)| row.value.is_some());
                let present: BTreeMap<_, _> =
                    present.map(|(key, row)| (key.clone(), row.clone())).collect();
                expect_that!(*rows, eq(&present), "seed {seed}, version {version}");
            }
        }
    }
}
