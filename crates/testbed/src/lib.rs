//! Test bed: stand-ins for the platform, the database members and the network, and their tools.

pub mod clock;
pub mod control;
pub mod deployment;
pub mod member;
pub mod platform;
pub mod relay;
