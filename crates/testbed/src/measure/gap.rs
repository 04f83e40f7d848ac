//! Longest time without an acknowledged write after a group lost its primary.

use std::collections::{BTreeMap, HashMap};

use tanagerdeal_testbed::check::RunFiles;
use tanagerdeal_wire::wire_type;

use crate::phase::RequestView;
use crate::report::tagged;
use crate::script::RunEvent;

wire_type! {
    /// A gap of one group.
    pub struct GroupGap {
        pub event: String,
        pub group: String,
        pub gap_ms: u64,
    }
}

/// Gap of each group that lost its primary, for each loss.
pub fn write_gaps(
    files: &RunFiles,
    events: &[RunEvent],
    requests: &BTreeMap<u64, RequestView<'_>>,
) -> Vec<GroupGap> {
    let acknowledged = acknowledged_writes(files, requests);
    let losses =
        events.iter().flat_map(|event| event.groups.iter().map(move |group| (event, group)));
    let gaps = losses.map(|(event, group)| {
        let times = acknowledged.get(group.as_str()).map_or(&[][..], Vec::as_slice);
        let gap_us = longest_gap(times, event.at_us, event.until_us);
        GroupGap { event: event.text.clone(), group: group.clone(), gap_ms: gap_us / 1_000 }
    });
    gaps.collect()
}

/// Times of acknowledged writes by group, in order. All requests of a customer go to one group.
fn acknowledged_writes<'a>(
    files: &'a RunFiles,
    requests: &BTreeMap<u64, RequestView<'_>>,
) -> BTreeMap<&'a str, Vec<u64>> {
    let executed = files.executions.iter().filter_map(|execution| {
        let request = requests.get(&tagged(execution)?)?;
        Some((request.first.customer.as_str(), execution.group.as_str()))
    });
    let groups: HashMap<&str, &str> = executed.collect();
    let mut times: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for request in requests.values().filter(|request| request.is_write() && request.is_done()) {
        let group = groups.get(request.first.customer.as_str());
        if let (Some(group), Some(outcome)) = (group, request.last) {
            times.entry(group).or_default().push(outcome.end_us);
        }
    }
    times.values_mut().for_each(|times| times.sort_unstable());
    times
}

/// Longest time between two neighbours that overlaps a time span; the span's end closes the last.
fn longest_gap(times: &[u64], from: u64, until: u64) -> u64 {
    let first = times.partition_point(|time| *time <= from);
    let before = first.checked_sub(1).map_or(from, |index| times[index]);
    let within = times[first..].iter().copied().take_while(|time| *time < until);
    let mut last = before;
    let mut longest = 0;
    for time in within.chain([until]) {
        longest = longest.max(time - last);
        last = time;
    }
    longest
}
