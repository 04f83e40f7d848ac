//! How many connections to an endpoint a host keeps and opens.
//!
//! All hosts share the connections that an endpoint accepts. When all hosts lose power at once, the
//! endpoint counts their connections until it notices that the other ends are silent, some seconds
//! after the hosts are back. So the hosts together keep no more than a part, and what they open
//! after their start finds room beside the connections of their predecessors.

use tanagerdeal_wire::scalar_type;

/// Part of an endpoint's connections that all hosts together keep: the half that is left serves the
/// processes that replace them.
const KEPT_PART: usize = 2;
/// Connections that a host keeps at least, or else none: if each host of a large fleet kept one, all
/// would be taken by hosts that do not use them.
const MIN_KEPT: usize = 2;
/// Part of an endpoint's connections that one host opens at most.
const MAX_PART: usize = 2;

scalar_type! {
    /// Connections of one host to one endpoint.
    pub struct ConnectionBudget {
        /// Connections that it keeps although they are idle.
        pub kept: usize,
        /// Connections that it opens at most.
        pub most: usize,
    }
}

/// The connections of each of `hosts` to an endpoint that accepts `total` from all together.
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
    let part = total / KEPT_PART / hosts.max(1);
    let kept = if part < MIN_KEPT { 0 } else { part };
    ConnectionBudget { kept, most: (total / MAX_PART).max(1) }
}
