//! The rule on rate and burst.

use std::collections::BTreeMap;

use super::RunRecord;
use crate::history::{LimitSample, Observation};

/// In no window were more requests of a customer admitted than rate x window + burst.
///
/// A request was admitted some time between its invocation and its first execution. A window counts
/// only the requests for which this whole time lies within it, so a violation holds for every
/// possible time of admission.
pub(super) fn rate_and_burst(record: &RunRecord<'_>, violations: &mut Vec<String>) {
    let mut admitted: BTreeMap<&str, BTreeMap<u64, (u64, u64)>> = BTreeMap::new();
    for ((request, _), view) in &record.attempts {
        let first = view.executions.iter().map(|execution| execution.start_us).min();
        if let Some(end_us) = first {
            let spans = admitted.entry(view.invocation.customer.as_str()).or_default();
            spans.entry(*request).or_insert((view.invocation.start_us, end_us));
        }
    }
    for observation in &record.files.observations {
        let Observation::Limit(limit) = observation else { continue };
        let Some(spans) = admitted.get(limit.customer.as_str()) else { continue };
        if let Some(text) = find_excess(limit, spans.values().copied().collect()) {
            violations.push(text);
        }
    }
}

/// Looks for a window with too many spans inside; the starts are gone through from the last to the
/// first, with the ends of all later spans in order.
fn find_excess(limit: &LimitSample, mut spans: Vec<(u64, u64)>) -> Option<String> {
    spans.sort_unstable_by(|left, right| right.cmp(left));
    let mut ends: Vec<u64> = Vec::with_capacity(spans.len());
    for (start_us, end_us) in spans {
        let place = ends.partition_point(|end| *end < end_us);
        ends.insert(place, end_us);
        for (index, end) in ends.iter().enumerate() {
            let window_us = end.saturating_sub(start_us);
            let allowed =
                u64::from(limit.burst) * 1_000_000 + u64::from(limit.rate_per_s) * window_us;
            let count = index as u64 + 1;
            if count * 1_000_000 > allowed {
                return Some(format!(
                    "customer {} had {count} requests within {window_us} us from {start_us}",
                    limit.customer
                ));
            }
            if allowed >= ends.len() as u64 * 1_000_000 {
                break;
            }
        }
    }
    None
}
