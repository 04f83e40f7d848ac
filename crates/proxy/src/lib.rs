//! Database proxy: client sessions, endpoint connections and the runtime around the decision core.

pub mod driver;
pub mod member;
pub mod peer;
pub mod store;
