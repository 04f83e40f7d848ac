//! Test bed: stand-ins for the platform, the database members and the network, and their tools.

pub mod capacity;
pub mod check;
pub mod clock;
pub mod control;
pub mod deployment;
pub mod history;
pub mod load;
pub mod member;
pub mod platform;
pub mod relay;
