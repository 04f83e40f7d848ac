//! Connections after a loss of power.

use googletest::prelude::*;
use tanagerdeal_core::ledger::connections::connection_budget;

/// Connections that hosts find free at an endpoint which still counts those of their predecessors,
/// each of which had kept what it may, or used `busy` if that is more.
fn free_after_power_loss(total: usize, hosts: usize, busy: usize) -> usize {
    total.saturating_sub(hosts * connection_budget(total, hosts).kept.max(busy))
}

/// Guards against hosts that come back from a loss of power and find nearly all connections taken by
/// their dead predecessors: for 2 s they refused half of the work with "no free connection" (further,
/// trouble-2 and scale-2, seconds 42 to 44). Half of them have to be free.
#[gtest]
fn half_of_the_connections_are_free_after_a_loss_of_power() {
    for (total, hosts) in [(32, 7), (21, 9), (29, 8), (72, 63), (71, 73), (278, 85), (180, 195)] {
        let free = free_after_power_loss(total, hosts, 0);
        expect_that!(free * 2, ge(total), "{total} connections, {hosts} hosts");
    }
    // A statement or two under way at each host leave enough for one at each of their successors.
    expect_that!(free_after_power_loss(32, 7, 2), ge(7));
}

/// Guards against a host that cannot open any connection, or takes all of a small endpoint.
#[gtest]
fn a_host_opens_at_least_one_and_at_most_half() {
    expect_that!(connection_budget(1, 7).most, eq(1));
    expect_that!(connection_budget(32, 7).most, eq(16));
    expect_that!(connection_budget(0, 0).most, eq(1));
}
