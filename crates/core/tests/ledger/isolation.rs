//! A failure domain that is cut off while its clients still reach it.

use googletest::prelude::*;
use tanagerdeal_core::ledger::clock::BootInstant;
use tanagerdeal_core::ledger::endpoint::EndpointRole;
use tanagerdeal_core::ledger::extension::ExtensionQuorum;
use tanagerdeal_core::ledger::group::{GroupEntry, GroupRecord};
use tanagerdeal_core::ledger::isolation::IsolationProbe;
use tanagerdeal_core::ledger::state::HostState;

use crate::support::{at, endpoint, host};

/// State of a host of `d1` in a fleet of three failure domains, with one group for each entry of
/// `primaries`, the failure domain of its primary.
fn fleet(primaries: &[&str]) -> HostState {
    let mut state = HostState::new("h1", "d1", Default::default(), at(0));
    for (index, domain) in primaries.iter().enumerate() {
        let (id, group) = (format!("p{index}"), format!("g{index}"));
        let mut record = endpoint(&id, domain, EndpointRole::Primary);
        record.group.clone_from(&group);
        state.endpoints.register(record, at(0));
        let record = GroupRecord {
            group,
            term: 1,
            primary: id,
            change: None,
            term_start: None,
            verified_era: 0,
            former_starts: Vec::new(),
        };
        state.apply_group(GroupEntry { version: 1, record }, at(1));
    }
    for (name, domain) in [("h1", "d1"), ("h2", "d1"), ("h3", "d2"), ("h4", "d2"), ("h5", "d3")] {
        let mut entry = host(name, 1, 9_000, &[]);
        entry.record.domain = domain.to_owned();
        state.hosts.push(entry);
    }
    state
}

fn fail(state: &mut HostState, id: &str, first: BootInstant) {
    let key = state.endpoints.find(id).unwrap();
    let endpoint_state = state.endpoints.get_mut(key).unwrap();
    endpoint_state.note_failure(first);
    endpoint_state.note_failure(first);
}

/// Load pattern: a failure domain is cut off for 6 s, and the clients of its hosts can use one
/// group of three. Guards against hosts that tell the load balancer too late: they have to notice
/// the cut half a second after the first suspicion.
#[gtest]
fn hosts_of_a_domain_that_is_cut_off_know_it() {
    let mut state = fleet(&["d1", "d2", "d3"]);
    let mut probe = IsolationProbe::default();
    fail(&mut state, "p1", at(0));
    for now in (0..600).step_by(200).map(at) {
        assert_that!(probe.tick(state.may_be_cut_off(now), now), eq(false));
    }
    for now in (600..1_100).step_by(100).map(at) {
        assert_that!(probe.tick(state.may_be_cut_off(now), now), eq(true));
        expect_that!(probe.is_isolated(now), eq(false));
    }
    expect_that!(probe.is_isolated(at(1_100)), eq(true));
    // The cut is over: hosts answer before the primary has been tried again.
    probe.note_answer(at(6_000));
    expect_that!(probe.is_isolated(at(6_001)), eq(false));
}

/// Guards against a host that sends its clients away because primaries have crashed: the hosts of
/// other failure domains answer, and could not use these primaries either.
#[gtest]
fn crashed_primaries_are_no_cut() {
    let mut state = fleet(&["d1", "d2", "d3"]);
    fail(&mut state, "p1", at(0));
    fail(&mut state, "p2", at(0));
    let mut probe = IsolationProbe::default();
    for now in (600..9_000).step_by(200).map(at) {
        assert_that!(probe.tick(state.may_be_cut_off(now), now), eq(true));
        probe.note_answer(now);
        expect_that!(probe.is_isolated(now), eq(false));
    }
    // A cut that follows is still detected.
    expect_that!(probe.is_isolated(at(9_400)), eq(true));
}

/// Guards against a domain that is cut off and sends clients away although it has most of the
/// primaries: other domains could serve fewer groups.
#[gtest]
fn a_domain_with_most_primaries_keeps_its_clients() {
    let mut state = fleet(&["d1", "d1", "d2"]);
    fail(&mut state, "p2", at(0));
    expect_that!(state.may_be_cut_off(at(5_000)), eq(false));
}

/// Load pattern: single hosts reach their clients, but neither the store nor other hosts
/// (`node_cut`). Guards against a host that stays ready and refuses all that needs a primary until
/// its lease ends, while other hosts could serve its clients.
#[gtest]
fn a_host_without_extensions_sends_its_clients_away() {
    let mut state = fleet(&["d1", "d2", "d3"]);
    state.lease.note_attempt(Some(ExtensionQuorum { hosts: 5, domain: 2 }));
    state.lease.renewed(at(0));
    expect_that!(state.lacks_extensions(at(4_900)), eq(false), "the lease is fresh");
    expect_that!(state.lacks_extensions(at(5_100)), eq(true));
    state.extensions.record_received("h2", true, at(5_000));
    expect_that!(state.lacks_extensions(at(5_100)), eq(false), "its failure domain extends it");
    expect_that!(state.lacks_extensions(at(7_100)), eq(true), "the extension has ended");
    state.lease.renewed(at(7_200));
    expect_that!(state.lacks_extensions(at(7_300)), eq(false));
}

/// Guards against pinging only one host of a failure domain, which may be down.
#[gtest]
fn several_hosts_of_each_other_domain_are_asked() {
    let state = fleet(&["d1", "d2", "d3"]);
    let names: Vec<&str> = state.pinged_hosts().iter().map(|record| record.host.as_str()).collect();
    expect_that!(names, elements_are![eq(&"h3"), eq(&"h4"), eq(&"h5")]);
}
