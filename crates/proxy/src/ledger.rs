//! A host of a fleet that coordinates through the platform's store: client sessions, connection
//! pools, the host's lease, rate quotas and failover.
//!
//! All tasks of the process run on one thread and share a [`context::HostContext`]. The decision
//! logic is in `tanagerdeal_core::ledger`.

mod admin;
mod boot;
mod bound;
mod connection;
mod context;
mod duty;
mod extension;
mod failover;
mod follow;
mod forward;
mod freshness;
mod gate;
mod isolation;
mod journal;
mod lease;
mod metrics;
mod mirror;
mod observations;
mod operation;
mod peers;
mod pool;
mod quota;
mod registrations;
mod relay;
mod restore;
mod session;
mod settings;
mod statement;
mod suspicion;
mod token_loans;
mod transaction;
mod usage;

pub use boot::serve;
pub use settings::{SiteSettings, SiteSettingsError, describe};
