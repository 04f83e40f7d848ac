//! Pooling of connections between hosts: the host at which the statements for an endpoint meet.
//!
//! In a large fleet a host's part of an endpoint's connections is about one, so connections are
//! opened for nearly every statement. Where that is so, one host of the endpoint's failure domain,
//! its pool host, holds the connections, and the other hosts forward statements to it.

use std::net::SocketAddr;
use std::str::FromStr;

use tanagerdeal_wire::{scalar_type, wire_type};

use super::clock::StoreInstant;
use super::lease::{HostEntry, HostRecord};
use super::state::live_hosts;
use crate::hash::hash_bytes;

/// Connections of an endpoint for each host below which hosts pool them: a host that keeps one idle
/// connection beside one in use needs two.
const MIN_CONNECTIONS_PER_HOST: usize = 2;

scalar_type! {
    /// Whether a feature is in effect.
    pub enum FeatureMode {
        /// If the configuration calls for it.
        Auto,
        /// Always.
        On,
        /// Never.
        Off,
    }
}

wire_type! {
    /// Offer of a host to run statements of other hosts on its connections.
    #[derive(Copy)]
    pub struct PoolOffer {
        /// Address for forwarded statements.
        pub address: SocketAddr,
        /// Weight in the choice of pool hosts: thousandths of a processor.
        pub weight: u32,
    }
}

/// Error for a text that is not a feature mode.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("must be auto, on or off")]
pub struct FeatureModeError;

impl FromStr for FeatureMode {
    type Err = FeatureModeError;

    fn from_str(text: &str) -> Result<Self, FeatureModeError> {
        match text {
            "auto" => Ok(Self::Auto),
            "on" => Ok(Self::On),
            "off" => Ok(Self::Off),
            _ => Err(FeatureModeError),
        }
    }
}

/// Whether hosts pool the connections of an endpoint that accepts `connections` from `hosts` hosts.
///
/// ```
/// use tanagerdeal_core::ledger::pooling::{FeatureMode, is_pooled};
///
/// assert!(is_pooled(FeatureMode::Auto, 56, 58));
/// assert!(!is_pooled(FeatureMode::Auto, 32, 7));
/// assert!(is_pooled(FeatureMode::On, 32, 7));
/// ```
pub fn is_pooled(mode: FeatureMode, connections: usize, hosts: usize) -> bool {
    match mode {
        FeatureMode::Auto => connections < hosts * MIN_CONNECTIONS_PER_HOST,
        FeatureMode::On => true,
        FeatureMode::Off => false,
    }
}

/// Whether statements for an endpoint are queued by priority at this host: it is the endpoint's pool
/// host, and the routes of the configuration differ in priority.
///
/// ```
/// use tanagerdeal_core::ledger::pooling::{FeatureMode, is_scheduled};
///
/// assert!(is_scheduled(FeatureMode::Auto, true, true));
/// assert!(!is_scheduled(FeatureMode::Auto, true, false));
/// assert!(!is_scheduled(FeatureMode::On, false, true));
/// ```
pub fn is_scheduled(mode: FeatureMode, is_pool_host: bool, has_priorities: bool) -> bool {
    is_pool_host
        && match mode {
            FeatureMode::Auto => has_priorities,
            FeatureMode::On => true,
            FeatureMode::Off => false,
        }
}

/// The pool host of an endpoint: of the live hosts of its failure domain that offer to run
/// statements and are not excluded, the first in an order that differs by endpoint. A host is first
/// for a part of the endpoints that is proportional to its weight.
///
/// Weighted rendezvous hashing (Schindelhauer and Schomaker, 2005).
///
/// ```
/// use tanagerdeal_core::ledger::clock::StoreInstant;
/// use tanagerdeal_core::ledger::pooling::pool_host;
///
/// assert!(pool_host(&[], StoreInstant::from_millis(0), "d1", "e1", &|_| false).is_none());
/// ```
pub fn pool_host<'a>(
    hosts: &'a [HostEntry],
    read_at: StoreInstant,
    domain: &str,
    endpoint: &str,
    is_excluded: &dyn Fn(&str) -> bool,
) -> Option<(&'a HostRecord, PoolOffer)> {
    let live = live_hosts(hosts, read_at).filter(|host| host.domain == domain);
    let offers = live.filter_map(|host| host.pool.map(|offer| (host, offer)));
    offers
        .filter(|(host, offer)| offer.weight > 0 && !is_excluded(&host.host))
        .map(|(host, offer)| (host, offer, rank(endpoint, &host.host, offer.weight)))
        .max_by(|left, right| left.2.total_cmp(&right.2))
        .map(|(host, offer, _)| (host, offer))
}

/// Rank of a host for an endpoint; the highest counts.
fn rank(endpoint: &str, host: &str, weight: u32) -> f64 {
    let hash = hash_bytes(endpoint.bytes().chain([0]).chain(host.bytes()));
    // Between 0 and 1, both excluded.
    let uniform = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    -f64::from(weight) / uniform.min(1.0 - f64::EPSILON).ln()
}
