//! Comparison of positions across terms.

use googletest::prelude::*;
use tanagerdeal_wire::member::TermStart;

use super::position;
use crate::routing::{Coverage, compare};

const HISTORY: [TermStart; 3] = [
    TermStart { term: 1, offset: 0 },
    TermStart { term: 3, offset: 100 },
    TermStart { term: 5, offset: 150 },
];

/// Guards against a watermark of an older term that counts as included although its write was
/// truncated, and against one that is reported lost although its write is in the log.
#[gtest]
fn watermark_of_an_older_term_is_judged_by_where_its_term_ended() {
    let lost = Coverage::Lost(position(5, 100));
    let cases = [
        (position(1, 100), position(5, 160), Coverage::Contained),
        (position(1, 101), position(5, 160), lost),
        (position(2, 101), position(5, 160), lost),
        (position(3, 150), position(5, 160), Coverage::Contained),
        (position(3, 151), position(5, 160), Coverage::Lost(position(5, 150))),
        (position(5, 160), position(5, 160), Coverage::Contained),
        (position(5, 161), position(5, 160), Coverage::Behind),
        (position(6, 1), position(5, 160), Coverage::Behind),
        (position(1, 90), position(3, 89), Coverage::Behind),
    ];
    for (watermark, reached, expected) in cases {
        assert_that!(
            compare(&HISTORY, watermark, reached),
            eq(expected),
            "{watermark} at {reached}"
        );
    }
}

/// Guards against reads from the tail of a former primary, which the group has truncated.
#[gtest]
fn cut_off_tail_contains_nothing() {
    assert_that!(compare(&HISTORY, position(1, 50), position(1, 101)), eq(Coverage::Behind));
    assert_that!(compare(&HISTORY, position(1, 50), position(1, 99)), eq(Coverage::Contained));
    assert_that!(compare(&HISTORY, position(1, 50), position(3, 151)), eq(Coverage::Behind));
}

/// Guards against a write that is reported lost because the history of the new term is unknown.
#[gtest]
fn unknown_term_is_not_judged() {
    let reached = position(7, 200);
    assert_that!(compare(&HISTORY, position(5, 190), reached), eq(Coverage::Behind));
}
