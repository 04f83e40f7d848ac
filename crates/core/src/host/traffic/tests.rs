//! Tests of sessions and requests on one host, with hand-ordered messages and instants.

mod borrowing;
mod commits;
mod fairness;
mod harness;
mod limits;
mod rights;
mod sessions;
