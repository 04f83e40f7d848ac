//! Database proxy: client sessions, endpoint connections and the runtime around the decision core.

pub mod admin;
pub mod caller;
pub mod codec;
pub mod command;
pub mod driver;
pub mod endpoint;
pub mod logging;
pub mod member;
pub mod metrics;
pub mod peer;
pub mod runtime;
pub mod settings;
pub mod store;
pub mod tls;
