//! Tests of groups: several cores around a model of the members.

mod confirm;
mod failover;
mod model;
mod random;
mod switchover;
mod watched;
mod world;
