//! Tests of token buckets.
