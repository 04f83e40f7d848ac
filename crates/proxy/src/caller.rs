//! Client side: listener, start-up, sessions and cancel requests.

mod batch;
mod cancel;
mod class;
mod conclude;
mod deliver;
mod exchange;
mod listener;
mod local;
mod place;
mod record;
mod refuse;
mod reply;
mod request;
mod session;
mod setting;
mod startup;

use std::sync::Arc;
use std::time::Duration;

use tanagerdeal_wire::value_type;
use tokio_rustls::TlsAcceptor;

pub use cancel::CancelRegistry;
pub use listener::serve;

use crate::driver::DriverHandle;
use crate::endpoint::PoolSet;
use crate::metrics::ProxyMetrics;

value_type! {
    /// Limits on client connections.
    pub struct CallerLimits {
        /// Longest message accepted, in bytes.
        pub message_bytes: usize,
        /// Sessions open at once, those that are starting included.
        pub sessions: usize,
        /// Time that a client has from connecting until it is authenticated.
        pub startup_timeout: Duration,
        /// Time without a request after which a session is closed; zero never closes it.
        pub idle_timeout: Duration,
        /// The same within a transaction.
        pub idle_in_transaction: Duration,
        /// Bytes of a response that are held in memory for one session.
        pub buffer_bytes: usize,
    }
}

/// What all client sessions share.
pub struct CallerContext {
    /// The decision core.
    pub driver: DriverHandle,
    /// Connections to endpoints.
    pub pools: PoolSet,
    /// Sessions by cancel key.
    pub cancels: CancelRegistry,
    /// Counters and latencies.
    pub metrics: Arc<ProxyMetrics>,
    /// Limits.
    pub limits: CallerLimits,
    /// TLS for clients, when a certificate is set.
    pub tls: Option<TlsAcceptor>,
    /// Whether a client without TLS is refused.
    pub require_tls: bool,
}
