//! HTTP client of the platform: table service, host list, and operators' changes.

pub mod change;
pub mod client;

pub use client::{PlatformClient, PlatformError};
