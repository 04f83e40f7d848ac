//! Hosts as real processes on the users' platform, with stand-ins of its store and endpoints.

mod access;
mod candidates;
mod durability;
mod failures;
mod framing;
mod freshness;
mod lanes;
mod logs;
mod pooling;
mod process;
mod promotions;
mod relays;
mod restore;
mod settings;
mod soak;
mod statements;
mod support;
mod usage;
mod verification;
