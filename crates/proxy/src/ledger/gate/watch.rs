//! Gauges of the endpoints whose pool host this host is.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use tanagerdeal_core::ledger::capacity::EndpointHealth;
use tanagerdeal_core::ledger::clock::BootInstant;
use tanagerdeal_core::ledger::pooling::is_scheduled;
use tokio::time::sleep;

use super::{EndpointGate, USUAL_WORK, health_name};
use crate::ledger::context::{HostContext, boot_now};
use crate::ledger::journal;
use crate::ledger::metrics::EndpointGauges;
use crate::ledger::pool::EndpointPool;

/// Interval at which the gauges are updated.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);
/// All states of health.
const HEALTH_STATES: [EndpointHealth; 3] =
    [EndpointHealth::Usable, EndpointHealth::Failing, EndpointHealth::Probing];

/// Identity and group of an endpoint.
type EndpointName = (String, String);

/// Updates the gauges, and logs for which endpoints this host begins or ceases to be the pool host.
pub(in crate::ledger) async fn watch(host: Rc<HostContext>) {
    let mut former = BTreeSet::new();
    loop {
        sleep(UPDATE_INTERVAL).await;
        let now = boot_now();
        let pooled = pooled(&host, now);
        let names: BTreeSet<EndpointName> = pooled.iter().map(|(name, _)| name.clone()).collect();
        log_changes("pool_host_began", names.difference(&former));
        log_changes("pool_host_ended", former.difference(&names));
        former = names;
        // Values of endpoints that are gone, or have another pool host, are dropped.
        let gauges = &host.metrics.endpoints;
        gauges.reset();
        for ((endpoint, group), pool) in &pooled {
            let labels = [endpoint.as_str(), group.as_str()];
            gauges.pool_host.with_label_values(&labels).set(1);
            if let Some((gate, priorities)) = pool.known_gate().zip(queued_priorities(&host)) {
                show(gauges, labels, gate, &priorities, now);
            }
        }
    }
}

fn log_changes<'a>(event: &str, names: impl Iterator<Item = &'a EndpointName>) {
    for (endpoint, group) in names {
        journal::event("forward", event, json!({ "endpoint": endpoint, "group": group }));
    }
}

/// The endpoints whose pool host this host is.
fn pooled(host: &HostContext, now: BootInstant) -> Vec<(EndpointName, Rc<EndpointPool>)> {
    let host_state = host.state.borrow();
    let pools = host.pools.borrow();
    let pooled = pools.iter().filter(|(_, pool)| pool.is_pooled(now));
    let named = pooled.filter_map(|(key, pool)| {
        let record = &host_state.endpoints.get(*key)?.record;
        Some(((record.id.clone(), record.group.clone()), pool.clone()))
    });
    named.collect()
}

/// Priorities by which statements are queued at this host as a pool host; `None` if they are not.
fn queued_priorities(host: &HostContext) -> Option<BTreeSet<u8>> {
    let host_state = host.state.borrow();
    let catalog = host_state.catalog.as_ref()?;
    is_scheduled(host.settings.scheduling, true, catalog.has_priorities())
        .then(|| catalog.priorities().clone())
}

fn show(
    gauges: &EndpointGauges,
    labels: [&str; 2],
    gate: &EndpointGate,
    priorities: &BTreeSet<u8>,
    now: BootInstant,
) {
    let count = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
    let admission = gate.admission.borrow();
    let summary = admission.summary(now);
    let service_time = admission.service_time(USUAL_WORK);
    gauges.limit.with_label_values(&labels).set(i64::from(summary.limit));
    gauges.running.with_label_values(&labels).set(count(summary.running));
    gauges.service_time.with_label_values(&labels).set(service_time.as_secs_f64());
    let mut waiting = summary.waiting;
    for priority in priorities {
        waiting.entry(*priority).or_default();
    }
    for (priority, waiting) in waiting {
        let priority = priority.to_string();
        let labels = [labels[0], labels[1], &priority];
        gauges.waiting.with_label_values(&labels).set(count(waiting));
    }
    let health = admission.health(now);
    for state in HEALTH_STATES {
        let labels = [labels[0], labels[1], health_name(state)];
        gauges.health.with_label_values(&labels).set(i64::from(state == health));
    }
}
