//! Tests of groups: several hosts, without I/O, around a model of the members.

mod confirm;
mod failover;
mod model;
mod random;
mod switchover;
mod watched;
mod world;
