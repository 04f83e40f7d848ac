//! Renewals through a relay.

use std::time::Duration;

use googletest::prelude::*;
use tanagerdeal_core::ledger::lease::{HostEntry, HostLease, LEASE_TERM};
use tanagerdeal_core::ledger::renewal::{
    BATCH_DELAY, MAX_ENTRIES, QueuedRenewal, RESPONSE_TIMEOUT, RenewalQueue, RenewalRequest,
    apply_view, list_view, max_batch, relay, relies_on_group_rows, renewal_basis,
    time_to_renewal_slot,
};

use crate::support::{at, host, store_at};

const BASIS: u64 = 7;

fn request(name: &str, call: u64, basis: u64, millis: u64) -> QueuedRenewal {
    let request = RenewalRequest { own_version: 1, basis, record: host(name, 1, 0, &[]).record };
    QueuedRenewal { call, address: None, deadline: at(millis).after(RESPONSE_TIMEOUT), request }
}

fn calls(renewals: &[QueuedRenewal]) -> Vec<u64> {
    renewals.iter().map(|renewal| renewal.call).collect()
}

/// Guards against a lease that is renewed on the basis of rows that its host does not know.
#[gtest]
fn only_hosts_that_rely_on_the_same_rows_are_renewed_together() {
    let mut queue = RenewalQueue::default();
    queue.add(request("h1", 1, BASIS, 0));
    queue.add(request("h2", 2, BASIS + 1, 0));
    queue.add(request("h3", 3, BASIS, 0));
    let batch = queue.take(BASIS, 40, at(150));
    expect_that!(calls(&batch.agreed), elements_are![eq(&1), eq(&3)]);
    expect_that!(calls(&batch.declined), elements_are![eq(&2)]);
    expect_that!(queue.is_empty(), eq(true));
}

/// Guards against the renewal of a host that has asked again or has stopped waiting.
#[gtest]
fn requests_that_were_repeated_or_are_old_are_left_out() {
    let mut queue = RenewalQueue::default();
    queue.add(request("h1", 1, BASIS, 0));
    queue.add(request("h2", 2, BASIS, 500));
    queue.add(request("h1", 3, BASIS, 500));
    queue.add(request("h3", 4, BASIS, 0));
    let batch = queue.take(BASIS, 40, at(600));
    expect_that!(calls(&batch.agreed), elements_are![eq(&2), eq(&3)]);
    expect_that!(calls(&batch.declined), elements_are![eq(&4)]);
}

/// Load pattern: a failure domain with more hosts than a transaction can hold. Guards against a
/// transaction that the store refuses.
#[gtest]
fn a_large_domain_is_renewed_in_several_batches() {
    let mut queue = RenewalQueue::default();
    (0..100).for_each(|index| queue.add(request(&format!("h{index}"), index, BASIS, 0)));
    let sizes: Vec<usize> = (0..3).map(|_| queue.take(BASIS, 40, at(100)).agreed.len()).collect();
    expect_that!(sizes, elements_are![eq(&40), eq(&40), eq(&20)]);
    expect_that!(queue.is_empty(), eq(true));
}

/// Load pattern: a site with many groups, on whose rows each lease relies (20 groups, and 44 hosts
/// in a failure domain). Guards against a transaction of 106 entries, which the store refused, so
/// that all hosts renewed one by one.
#[gtest]
fn a_batch_leaves_room_for_the_rows_that_all_rely_on() {
    for relied in [6, 26, 60, 97] {
        expect_that!(relied + 2 * max_batch(relied), le(MAX_ENTRIES), "{relied} rows");
    }
    expect_that!(max_batch(26), ge(35));
}

/// Guards against a site with so many groups that no lease can be renewed: a site may have 3,100,
/// and the store refused transactions of over 100 entries.
#[gtest]
fn a_site_with_hundreds_of_groups_can_renew() {
    for groups in [100, 300, 3_100] {
        for is_epoch_sufficient in [true, false] {
            // The configuration, the evacuations of eleven failure domains, and the epoch.
            let others = 12;
            let own = match relies_on_group_rows(groups, others, is_epoch_sufficient) {
                true => groups,
                false => 0,
            };
            let relied = others + 1 + own;
            expect_that!(relied + 2 * max_batch(relied), le(MAX_ENTRIES), "{groups} groups");
        }
    }
}

/// Guards against hosts that never agree because they list the same rows in another order.
#[gtest]
fn the_basis_does_not_depend_on_the_order_of_the_rows() {
    let rows = [("groups", "g1", 3), ("groups", "g2", 4), ("op", "config", 5)];
    let basis = renewal_basis(rows.into_iter());
    expect_that!(renewal_basis(rows.into_iter().rev()), eq(basis));
    let moved = [("groups", "g1", 4), ("groups", "g2", 3), ("op", "config", 5)];
    expect_that!(renewal_basis(moved.into_iter()), not(eq(basis)));
}

fn in_domain(name: &str, domain: &str, until: u64) -> HostEntry {
    let mut entry = host(name, 1, until, &[]);
    entry.record.domain = domain.to_owned();
    entry
}

/// Load pattern: a change of the configuration goes to all hosts of a failure domain at once
/// (`config_change`). Guards against a relay with a slow link: of 44 hosts that asked one with 20
/// Mbit/s for 70 KB each, most gave up after a second.
#[gtest]
fn the_relay_is_a_host_with_the_fastest_link() {
    let mut hosts: Vec<HostEntry> =
        (0..20).map(|index| in_domain(&format!("h{index}"), "d1", 9_000)).collect();
    for fast in [4, 11, 17] {
        hosts[fast].record.link_mbps = 200;
    }
    let fast = ["h4", "h11", "h17"];
    let first = relay(&hosts, store_at(0), "d1", &|_| false).unwrap();
    expect_that!(fast.contains(&first), eq(true));
    let second = relay(&hosts, store_at(0), "d1", &|name| name == first).unwrap();
    expect_that!(fast.contains(&second) && second != first, eq(true));
    let slow = relay(&hosts, store_at(0), "d1", &|name| fast.contains(&name));
    expect_that!(slow, some(anything()));
}

/// Guards against hosts of a failure domain that choose different relays, and against a relay that
/// does not answer, is shutting down or has lost its lease.
#[gtest]
fn all_hosts_of_a_domain_choose_the_same_live_relay() {
    let mut hosts: Vec<HostEntry> =
        (0..6).map(|index| in_domain(&format!("h{index}"), "d1", 9_000)).collect();
    hosts.push(in_domain("alone", "d2", 9_000));
    let choose = |hosts: &[HostEntry], silent: &str| {
        relay(hosts, store_at(1_000), "d1", &|name| name == silent).map(str::to_owned)
    };
    let first = choose(&hosts, "").unwrap();
    expect_that!(first.as_str(), starts_with("h"));
    let second = choose(&hosts, &first).unwrap();
    expect_that!(second, not(eq(&first)));
    let index = hosts.iter().position(|entry| entry.record.host == first).unwrap();
    let mut leaving = hosts.clone();
    leaving[index].record.is_leaving = true;
    expect_that!(choose(&leaving, ""), some(eq(&second)));
    hosts[index].record.until = store_at(900);
    expect_that!(choose(&hosts, ""), some(eq(&second)));
    expect_that!(relay(&hosts, store_at(1_000), "d2", &|_| false), none());
}

/// Load pattern: many hosts whose estimates of the store's clock differ by some milliseconds.
/// Guards against requests that come after the relay has written and need another write.
#[gtest]
fn hosts_of_a_domain_ask_within_the_gathering_time() {
    let interval = Duration::from_millis(4_000);
    for now in [10_000, 12_345, 13_999] {
        let slots = [0, 3, 20, 45].map(|error| {
            let wait = time_to_renewal_slot(store_at(now + error), interval, "d1");
            // The host's timer runs from the true time.
            store_at(now).after(wait)
        });
        let (first, last) = (slots.iter().min().unwrap(), slots.iter().max().unwrap());
        let is_together = *last < first.after(BATCH_DELAY);
        // A host whose clock is just past the slot has to wait for the next one.
        let is_next = *last >= first.after(interval - BATCH_DELAY);
        expect_that!(is_together || is_next, eq(true), "{now}: {slots:?}");
    }
}

/// Guards against a lease that its host relies on for longer than its row says: the host counts
/// from its request, and the relay stores an end that counts from its write.
#[gtest]
fn a_relayed_lease_ends_before_its_row_does() {
    let (mut lease, mut relay) = (HostLease::default(), HostLease::default());
    // The relay read 5,000 ms from the store's clock when its own showed 1,000 ms.
    relay.note_clock(at(1_000), at(1_000), store_at(5_000));
    lease.renewed(at(2_000));
    let written_at = at(2_000).after(BATCH_DELAY).after(RESPONSE_TIMEOUT);
    let stored = relay.stored_end(written_at).unwrap();
    let true_end = store_at(6_000).after(LEASE_TERM);
    expect_that!(stored, gt(true_end));
    expect_that!(lease.until(), some(eq(at(2_000).after(LEASE_TERM))));
}

/// Guards against keeping a list of hosts that has changed, and against leases that count as valid
/// although the relay saw them end.
#[gtest]
fn a_view_extends_the_list_only_while_it_is_the_same() {
    let known = [host("h1", 1, 9_000, &[]), host("h2", 2, 900, &[]), host("h3", 3, 8_000, &[])];
    let renewed = [host("h1", 7, 21_000, &[]), host("h2", 2, 900, &[]), host("h3", 8, 20_000, &[])];
    let mut hosts = known.to_vec();
    let mut read_at = store_at(1_000);
    expect_that!(
        apply_view(&mut hosts, &mut read_at, &list_view(&renewed, store_at(7_500))),
        eq(true)
    );
    expect_that!(read_at, eq(store_at(7_500)));
    let untils: Vec<_> = hosts.iter().map(|entry| entry.record.until).collect();
    expect_that!(untils, elements_are![&store_at(20_000), &store_at(900), &store_at(20_000)]);
    // An older summary changes nothing.
    expect_that!(
        apply_view(&mut hosts, &mut read_at, &list_view(&known, store_at(2_000))),
        eq(true)
    );
    expect_that!(read_at, eq(store_at(7_500)));
    let mut changes = vec![renewed.to_vec(); 4];
    changes[0][2].record.until = store_at(8_500);
    changes[1][0].record.suspects.push("p".to_owned());
    changes[2][0].record.incarnation = 2;
    changes[3].pop();
    for changed in &changes {
        let view = list_view(changed, store_at(9_000));
        expect_that!(apply_view(&mut hosts, &mut read_at, &view), eq(false), "{changed:?}");
    }
}
