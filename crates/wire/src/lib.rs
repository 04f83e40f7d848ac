//! Types that cross a process boundary: names, records, tokens, and message bodies.

#[macro_use]
mod macros;

pub mod key;
pub mod member;
pub mod name;
pub mod peer;
pub mod platform;
pub mod record;
pub mod token;
pub mod view;

pub use name::{
    CustomerName, DomainName, EndpointName, GroupName, HostName, KeyName, RouteName, ServiceName,
};
