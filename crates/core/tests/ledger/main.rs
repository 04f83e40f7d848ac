//! Decisions of a host in a fleet that coordinates only through a table service.

mod admission;
mod capacity;
mod catalog_check;
mod choice;
mod connections;
mod durability;
mod epoch;
mod extension;
mod failover;
mod fleet;
mod forwarding;
mod freshness;
mod isolation;
mod mirror;
mod pooling;
mod position;
mod promotion;
mod renewal;
mod restoration;
mod sessions;
mod shares;
mod state;
mod support;
mod usage;
mod verification;
