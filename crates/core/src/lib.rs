//! Decisions of one host, without input or output: typed messages in, typed messages out.

pub mod catalog;
pub mod confirm;
pub mod counter;
pub mod drain;
pub mod failover;
pub mod hash;
pub mod host;
pub mod lease;
pub mod ledger;
pub mod limit;
pub mod membership;
pub mod message;
pub mod profile;
pub mod retry;
pub mod routing;
pub mod schedule;
pub mod session;
pub mod share;
pub mod statement;
pub mod store;
pub mod verdict;
