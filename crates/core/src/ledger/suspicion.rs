//! Whether a primary counts as lost.

use std::time::Duration;

use super::clock::{BootInstant, StoreInstant};
use super::endpoint::EndpointState;
use super::lease::HostEntry;

/// Time without a single reply after which a host suspects a primary.
const SUSPECT_AFTER: Duration = Duration::from_millis(600);
/// Failures that a suspicion needs at least, so that one lost connection is not enough.
const SUSPECT_FAILURES: u32 = 2;

/// Whether this host suspects an endpoint.
pub fn is_suspect(state: &EndpointState, now: BootInstant) -> bool {
    state.failures >= SUSPECT_FAILURES
        && state.failing_since.is_some_and(|since| now >= since.after(SUSPECT_AFTER))
}

/// Whether enough live hosts suspect an endpoint to replace it: half of them.
///
/// ```
/// use tanagerdeal_core::ledger::clock::StoreInstant;
/// use tanagerdeal_core::ledger::suspicion::is_lost;
///
/// assert!(!is_lost("e1", &[], StoreInstant::from_millis(0)));
/// ```
pub fn is_lost(endpoint: &str, hosts: &[HostEntry], now: StoreInstant) -> bool {
    let live = || hosts.iter().filter(|entry| entry.record.until > now);
    let suspects = |entry: &&HostEntry| entry.record.suspects.iter().any(|id| id == endpoint);
    let (total, agreed) = (live().count(), live().filter(suspects).count());
    agreed > 0 && agreed * 2 >= total
}
