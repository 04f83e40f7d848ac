//! Tells former primaries of their successors until they know.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use tanagerdeal_core::ledger::clock::BootInstant;
use tanagerdeal_core::ledger::failover::former::FormerPrimary;
use tokio::time::sleep;

use super::change::demote;
use super::{ROLE_REPORT_GRACE, rank};
use crate::ledger::context::{HostContext, boot_now};

/// Interval between attempts to reach a former primary.
const ATTEMPT_INTERVAL: Duration = Duration::from_millis(500);
/// Hosts, by their rank in the order of a group, that try to reach a former primary. Some of them
/// may be cut off from it.
const FIRST_HOSTS: u32 = 3;

/// Demotes endpoints that go on leading after another primary was published, until the process ends.
pub(in crate::ledger) async fn watch(host: Rc<HostContext>) {
    let mut since: HashMap<String, BootInstant> = HashMap::new();
    loop {
        sleep(ATTEMPT_INTERVAL).await;
        let now = boot_now();
        let former = former_primaries(&host, now);
        since.retain(|endpoint, _| former.iter().any(|known| known.endpoint == *endpoint));
        let due = former.iter().filter(|known| {
            let since = *since.entry(known.endpoint.clone()).or_insert(now);
            now >= since.after(ROLE_REPORT_GRACE) && rank(&host, &known.group) < FIRST_HOSTS
        });
        join_all(due.map(|known| demote(&host, &known.endpoint, known.term))).await;
    }
}

/// Former primaries that this host knows. None without a valid lease.
fn former_primaries(host: &HostContext, now: BootInstant) -> Vec<FormerPrimary> {
    let state = host.state.borrow();
    match state.lease.is_valid(now) {
        true => state.former_primaries(),
        false => Vec::new(),
    }
}
