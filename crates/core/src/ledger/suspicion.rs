//! Whether a primary counts as lost.

use std::time::Duration;

use super::clock::{BootInstant, StoreInstant};
use super::endpoint::EndpointState;
use super::lease::{HostEntry, LEASE_TERM};

/// Time without a single reply after which a host suspects a primary.
const SUSPECT_AFTER: Duration = Duration::from_millis(600);
/// Failures that a suspicion needs at least, so that one lost connection is not enough.
const SUSPECT_FAILURES: u32 = 2;

/// Time since its last renewal after which a host counts as cut off from the store: the longest
/// interval and two attempts.
const STALE_AFTER: Duration = Duration::from_millis(5_500);

/// Whether this host suspects an endpoint.
pub fn is_suspect(state: &EndpointState, now: BootInstant) -> bool {
    state.failures >= SUSPECT_FAILURES
        && state.failing_since.is_some_and(|since| now >= since.after(SUSPECT_AFTER))
}

/// Whether enough live hosts suspect an endpoint to replace it: half of them. When some hosts have
/// not renewed their leases for a while, a change would have to wait for the end of those; then all
/// the others have to suspect it, as they would lose a primary that still serves them.
///
/// ```
/// use tanagerdeal_core::ledger::clock::StoreInstant;
/// use tanagerdeal_core::ledger::suspicion::is_lost;
///
/// assert!(!is_lost("e1", &[], StoreInstant::from_millis(0)));
/// ```
pub fn is_lost(endpoint: &str, hosts: &[HostEntry], now: StoreInstant) -> bool {
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
