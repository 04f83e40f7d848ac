//! Failure detection of primaries: suspicion by one host, and agreement among hosts.

use std::time::Duration;

use super::clock::{BootInstant, StoreInstant};
use super::endpoint::EndpointState;
use super::lease::{HostEntry, LEASE_TERM};

/// Time without a reply after which a host suspects an endpoint.
const SUSPECT_AFTER: Duration = Duration::from_millis(600);
/// Failures needed for a suspicion, so that a single lost connection does not cause one.
const SUSPECT_FAILURES: u32 = 2;

/// Time since its last renewal after which a host counts as cut off from the store: the longest
/// renewal interval and two attempts.
const STALE_AFTER: Duration = Duration::from_millis(5_500);

/// Whether this host suspects an endpoint.
pub fn is_suspect(state: &EndpointState, now: BootInstant) -> bool {
    state.failures >= SUSPECT_FAILURES
        && state.failing_since.is_some_and(|since| now >= since.after(SUSPECT_AFTER))
}

/// Whether enough live hosts suspect an endpoint to replace it: half of them. If some hosts have
/// not renewed their leases for a while, a failover would have to wait for those leases to end. In
/// that case all other hosts have to suspect it, as any that do not would lose a primary that still
/// serves them.
///
/// ```
/// use tanagerdeal_core::ledger::clock::StoreInstant;
/// use tanagerdeal_core::ledger::suspicion::is_quorum_suspected;
///
/// assert!(!is_quorum_suspected("e1", &[], StoreInstant::from_millis(0)));
/// ```
pub fn is_quorum_suspected(endpoint: &str, hosts: &[HostEntry], now: StoreInstant) -> bool {
    let live = || hosts.iter().filter(|entry| entry.record.until > now);
    let fresh = || live().filter(|entry| entry.record.until > now.after(LEASE_TERM - STALE_AFTER));
    let suspects = |entry: &&HostEntry| entry.record.suspects.iter().any(|id| id == endpoint);
    let agreed = fresh().filter(suspects).count();
    match (live().count(), fresh().count()) {
        (_, 0) => false,
        (total, fresh) if fresh < total => agreed == fresh,
        (total, _) => agreed > 0 && agreed * 2 >= total,
    }
}
