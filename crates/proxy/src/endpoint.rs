//! Connections to endpoints and the pools that hold them.

mod connection;
mod login;
mod pool;
mod prepared;

pub(crate) use connection::CancelTarget;
pub(crate) use connection::field_of;
pub use connection::{ConnectionError, EndpointConnection, HiddenReply};
pub use login::EndpointLogin;
pub use pool::{ConnectionLease, PoolError, PoolSet};
pub use prepared::{PreparedStatement, PreparedTable};
