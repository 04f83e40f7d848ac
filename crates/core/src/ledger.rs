//! Decisions of a host in a fleet that coordinates only through a table service.
//!
//! Everything that hosts have to agree on is a row in the store: the primary of each group, the
//! leases of the hosts, and the shares of each customer's rate. A host renews its lease on
//! condition that all rows it relies on have the versions that it knows. So one call proves that
//! its catalog, its primaries and its own lease are current. Messages between hosts carry loans,
//! hints and requests, and any of them may be lost.

pub mod absence;
pub mod admission;
pub mod capacity;
pub mod catalog;
pub mod choose;
pub mod clock;
pub mod connections;
pub mod duty;
pub mod endpoint;
pub mod extension;
pub mod failover;
pub mod forwarding;
pub mod freshness;
pub mod group;
pub mod isolation;
pub mod lease;
pub mod mirror;
pub mod pooling;
pub mod position;
pub mod quota;
pub mod renewal;
pub mod restoration;
pub mod session;
pub mod state;
pub mod statement;
pub mod suspicion;
pub mod sync;
pub mod usage;
pub mod version;
