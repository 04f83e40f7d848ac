//! Database proxy: client sessions, endpoint connections and the runtime around the decision core.

pub mod caller;
pub mod codec;
pub mod driver;
pub mod endpoint;
pub mod metrics;
