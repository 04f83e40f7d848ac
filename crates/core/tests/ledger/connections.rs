//! Connection limits after a power loss.

use googletest::prelude::*;
use tanagerdeal_core::ledger::connections::connection_budget;

/// Connections that are free after all hosts restart, at an endpoint that still counts those of
/// their former processes. Each had kept its limit, or used `busy` if that is more.
fn free_after_power_loss(total: usize, hosts: usize, busy: usize) -> usize {
    total.saturating_sub(hosts * connection_budget(total, hosts).kept.max(busy))
}

/// Guards against hosts that restart after a power loss and find nearly all connections taken by
/// their former processes: for 2 s they refused half of the work with "no free connection". Half of
/// the connections have to be free.
#[gtest]
fn half_of_the_connections_are_free_after_a_loss_of_power() {
    for (total, hosts) in [(32, 7), (21, 9), (29, 8), (72, 63), (71, 73), (278, 85), (180, 195)] {
        let free = free_after_power_loss(total, hosts, 0);
        expect_that!(free * 2, ge(total), "{total} connections, {hosts} hosts");
    }
    // With two statements in flight on each host, one connection is left for each restarted host.
    expect_that!(free_after_power_loss(32, 7, 2), ge(7));
}

/// Guards against a host that cannot open any connection, and against one that takes all
/// connections of a small endpoint.
#[gtest]
fn a_host_opens_at_least_one_and_at_most_half() {
    expect_that!(connection_budget(1, 7).most, eq(1));
    expect_that!(connection_budget(32, 7).most, eq(16));
    expect_that!(connection_budget(0, 0).most, eq(1));
}
