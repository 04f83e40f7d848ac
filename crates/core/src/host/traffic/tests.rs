//! Tests of sessions and requests on one host. Each test sets the order of messages and the clock.

mod borrowing;
mod commits;
mod fairness;
mod harness;
mod limits;
mod rights;
mod sessions;
