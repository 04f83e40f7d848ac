//! Tests of token buckets and retry budgets.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use tanagerdeal_wire::CustomerName;

use super::{CustomerRate, RATE_UNITS, TokenBucket};
use crate::retry::RetryTable;

/// Guards against a rate that is exceeded because many short intervals are each rounded up, or
/// missed because each is rounded down.
#[gtest]
fn many_settlements_add_what_one_adds() {
    let now = Instant::now();
    let rate = CustomerRate { rate_per_s: 7, burst: 100 };
    let (mut one, mut many) = (TokenBucket::new(now, rate), TokenBucket::new(now, rate));
    let units = RATE_UNITS / 9;
    for step in 1..=9_000 {
        many.settle(now + Duration::from_nanos(step * 1_111_111), units);
    }
    let end = now + Duration::from_nanos(9_000 * 1_111_111);
    one.settle(end, units);
    expect_that!(many.tokens(), le(one.tokens()));
    expect_that!(one.tokens() - many.tokens(), lt(10_000));
}

/// Guards against a retry-after time at which the client is refused again, or that is far too late.
#[gtest]
fn the_time_of_the_next_token_is_exact() {
    let now = Instant::now();
    let mut bucket = TokenBucket::new(now, CustomerRate { rate_per_s: 10, burst: 20 });
    let units = RATE_UNITS / 2;
    let ready_at = bucket.ready_at(units, 3).unwrap();
    expect_that!(ready_at - now, le(Duration::from_millis(601)));
    bucket.settle(ready_at, units);
    let taken = std::iter::from_fn(|| bucket.take().then_some(())).count();
    expect_that!(taken, eq(3));
    expect_that!(bucket.ready_at(RATE_UNITS / 40, 1), none());
    expect_that!(bucket.ready_at(0, 1), none());
}

/// Guards against retries that multiply an overload, and against a customer with little traffic
/// that cannot retry at all.
#[gtest]
fn retries_are_a_tenth_of_the_requests_with_a_floor() {
    let now = Instant::now();
    let mut retries = RetryTable::default();
    let customer = CustomerName::new("quarry").unwrap();
    let count = |retries: &mut RetryTable, now| {
        std::iter::from_fn(|| retries.take(now, &customer).then_some(())).count()
    };
    expect_that!(count(&mut retries, now), eq(20));
    (0..150).for_each(|_| retries.note_request(now, &customer, 10));
    expect_that!(count(&mut retries, now), eq(15));
    expect_that!(count(&mut retries, now + Duration::from_secs(1)), eq(1));
}
