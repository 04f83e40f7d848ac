//! Reads of a configuration that no renewal has confirmed in time.

use std::time::Duration;

use googletest::prelude::*;
use tanagerdeal_core::ledger::clock::BootInstant;
use tanagerdeal_core::ledger::freshness::{first_read_at, read_interval};

/// Times in which a configuration has to be in force: the sites of today, and the target.
const LIMITS_S: [u64; 4] = [3, 5, 6, 14];
/// Answer of a store that is not disturbed, on a new connection.
const ANSWER_TIME: Duration = Duration::from_millis(50);
/// Answer of the small sites' store when it takes sixty times as long as usual.
const SLOW_ANSWER_TIME: Duration = Duration::from_millis(240);

/// When reads begin, and when each is given up, for a configuration that was confirmed at 0.
fn reads(limit: Duration) -> impl Iterator<Item = (BootInstant, BootInstant)> {
    let deadline = BootInstant::from_micros(0).after(limit);
    let mut begin = first_read_at(deadline, limit);
    (0..).map(move |failures| {
        let read = (begin, begin.after(read_interval(limit, failures)));
        begin = read.1;
        read
    })
}

/// Guards against delays that add up to more than the limit: a renewal or a relay without an answer,
/// and a call that is lost to a connection which went silent before.
#[gtest]
fn a_lost_call_leaves_time_for_another() {
    for limit in LIMITS_S.map(Duration::from_secs) {
        let deadline = BootInstant::from_micros(0).after(limit);
        let (second, end) = reads(limit).nth(1).unwrap();
        expect_that!(second.after(ANSWER_TIME), le(deadline.min(end)), "{limit:?}");
    }
}

/// Guards against reads that begin while the renewal on time may still be answered: each would be a
/// call that a calm day does not need.
#[gtest]
fn a_renewal_on_time_needs_no_read() {
    for limit in LIMITS_S.map(Duration::from_secs) {
        let (first, _) = reads(limit).next().unwrap();
        // A renewal begins at 70 percent of the limit and gathers others for 150 ms.
        let renewed = limit * 70 / 100 + Duration::from_millis(150) + ANSWER_TIME;
        expect_that!(first.since(BootInstant::from_micros(0)), gt(renewed), "{limit:?}");
    }
}

/// Guards against a long pause after an outage: a host has 4 s from its end, and less than the limit.
#[gtest]
fn the_end_of_an_outage_is_noticed_within_a_quarter_of_the_limit() {
    for limit in LIMITS_S.map(Duration::from_secs) {
        let begins: Vec<BootInstant> = reads(limit).take(40).map(|(begin, _)| begin).collect();
        for pair in begins.windows(2) {
            expect_that!(pair[1].since(pair[0]), le(limit / 4), "{limit:?}");
        }
    }
}

/// Guards against reads that are all given up before a slow store has answered.
#[gtest]
fn a_slow_store_gets_the_time_that_it_needs() {
    for limit in LIMITS_S.map(Duration::from_secs) {
        let mut first_reads = reads(limit).take(2);
        let is_enough =
            |(begin, end): (BootInstant, BootInstant)| begin.after(SLOW_ANSWER_TIME * 3 / 2) <= end;
        expect_that!(first_reads.any(is_enough), eq(true), "{limit:?}");
    }
}
