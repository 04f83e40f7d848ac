//! Decisions of a host whose fleet coordinates through a table service alone.
//!
//! Everything that hosts have to agree on is a row: the primary of each group, the leases of the
//! hosts, the shares of each customer's rate. A host renews its lease under the condition that all
//! rows it relies on are still the ones it knows, so one call proves at once that its catalog, its
//! primaries and its own lease are current. Messages between hosts carry loans, hints and requests;
//! each may be lost.

pub mod book;
pub mod catalog;
pub mod choose;
pub mod clock;
pub mod connections;
pub mod consent;
pub mod endpoint;
pub mod floor;
pub mod group;
pub mod isolation;
pub mod lease;
pub mod mirror;
pub mod quota;
pub mod renewal;
pub mod session;
pub mod statement;
pub mod suspicion;
pub mod takeover;
