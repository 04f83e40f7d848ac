//! Tests of escrow shares.
