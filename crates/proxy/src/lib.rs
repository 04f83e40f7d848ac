//! Database proxy: client sessions, endpoint connections and the runtime around the decision core.

mod admin;
mod caller;
pub mod codec;
pub mod command;
pub mod driver;
pub mod endpoint;
pub mod ledger;
mod logging;
pub mod member;
mod metrics;
pub mod peer;
pub mod runtime;
pub mod settings;
pub mod store;
mod tls;
