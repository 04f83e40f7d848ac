//! Limits on the connections that a host keeps and opens to an endpoint.
//!
//! All hosts share the connections that an endpoint accepts. When all hosts lose power at once, the
//! endpoint goes on counting their connections until it notices that the peers are gone, some
//! seconds after the hosts are back. So the hosts together keep only a part of the connections, and
//! those that they open after the restart fit beside the stale ones.

use tanagerdeal_wire::scalar_type;

/// All hosts together keep an endpoint's connections divided by this. The other half is left for
/// the processes that replace them.
const KEPT_DIVISOR: usize = 2;
/// Fewest connections that a host keeps; with a smaller budget it keeps none. In a large fleet,
/// hosts with one idle connection each would take all that the endpoint accepts.
const MIN_KEPT: usize = 2;
/// One host opens at most an endpoint's connections divided by this.
const OPEN_DIVISOR: usize = 2;

/// A pool host leaves an endpoint's connections divided by this to other hosts.
const POOLED_RESERVE_DIVISOR: usize = 4;

scalar_type! {
    /// Limits on the connections of one host to one endpoint.
    pub struct ConnectionBudget {
        /// Connections that may stay open while idle.
        pub kept: usize,
        /// Connections that may be open at once.
        pub most: usize,
    }
}

/// The limits of an endpoint's pool host, which runs the statements of all hosts on an endpoint that
/// accepts `total` connections. A part is left for hosts that cannot reach it.
///
/// ```
/// use tanagerdeal_core::ledger::connections::pooled_budget;
///
/// let budget = pooled_budget(56);
/// assert_eq!((budget.kept, budget.most), (28, 42));
/// ```
pub fn pooled_budget(total: usize) -> ConnectionBudget {
    let reserve = total / POOLED_RESERVE_DIVISOR;
    ConnectionBudget { kept: (total / KEPT_DIVISOR).max(1), most: (total - reserve).max(1) }
}

/// The limits for each of `hosts` hosts on an endpoint that accepts `total` connections.
///
/// ```
/// use tanagerdeal_core::ledger::connections::connection_budget;
///
/// let budget = connection_budget(32, 7);
/// assert_eq!((budget.kept, budget.most), (2, 16));
/// // Hosts of a large fleet keep none.
/// assert_eq!(connection_budget(72, 63).kept, 0);
/// ```
pub fn connection_budget(total: usize, hosts: usize) -> ConnectionBudget {
    let budget = total / KEPT_DIVISOR / hosts.max(1);
    let kept = if budget < MIN_KEPT { 0 } else { budget };
    ConnectionBudget { kept, most: (total / OPEN_DIVISOR).max(1) }
}
