//! Check of a configuration before it is sent.

use std::time::Duration;

use googletest::prelude::*;
use tanagerdeal_core::ledger::catalog::check::{
    CatalogFinding, CheckRule, DifferenceRule, ErrorRule, FindingSeverity, WarningRule,
    check_catalog,
};
use tanagerdeal_core::ledger::catalog::{
    CatalogRecords, CustomerRecord, DatabaseRoute, GroupLimits, ReadConsistency,
};
use tanagerdeal_core::limit::CustomerRate;

use crate::support::route;

const KEY: &str = "key-of-quarry";

fn customer(name: &str, keys: &[&str]) -> CustomerRecord {
    CustomerRecord {
        name: name.to_owned(),
        keys: keys.iter().map(|key| (*key).to_owned()).collect(),
        rate: CustomerRate { rate_per_s: 100, burst: 100 },
    }
}

/// A configuration without findings.
fn records() -> CatalogRecords {
    CatalogRecords {
        version: 7,
        routes: vec![route(ReadConsistency::Bounded(Duration::from_millis(1_500)))],
        customers: vec![customer("quarry", &[KEY])],
        groups: vec![("g".to_owned(), GroupLimits { connections: 20, sync_replicas: 0 })],
        transaction_idle: Duration::from_secs(3),
        startup_limit: Duration::from_secs(3),
        findings: Vec::new(),
    }
}

/// The only finding of the records that `change` makes.
fn only(change: impl Fn(&mut CatalogRecords)) -> CatalogFinding {
    let mut records = records();
    change(&mut records);
    let mut findings = check_catalog(&records, None);
    assert_eq!(findings.len(), 1, "{findings:?}");
    findings.remove(0)
}

/// Rules and texts of the differences to `records()` after a change.
fn differences(change: impl Fn(&mut CatalogRecords)) -> Vec<(CheckRule, String)> {
    let mut changed = records();
    changed.version += 1;
    change(&mut changed);
    let findings = check_catalog(&changed, Some(&records()));
    findings
        .into_iter()
        .filter(|finding| finding.rule != DifferenceRule::Version.into())
        .map(|finding| (finding.rule, finding.to_string()))
        .collect()
}

fn second_route(records: &mut CatalogRecords, change: impl Fn(&mut DatabaseRoute)) {
    let mut second = records.routes[0].clone();
    second.database = "e".to_owned();
    change(&mut second);
    records.routes.push(second);
}

/// Guards against a check that complains about a sound configuration.
#[gtest]
fn a_sound_configuration_has_no_findings() {
    expect_that!(check_catalog(&records(), None), is_empty());
    expect_that!(differences(|_| ()), is_empty());
}

/// Guards against findings that do not name the entry, the value and the limit.
#[gtest]
fn a_finding_names_entry_value_and_limit() {
    let finding = only(|records| records.routes[0].objective = Duration::from_millis(1_200));
    expect_that!(
        finding.to_string(),
        eq("warning: route \"d\": the latency objective exceeds the statement limit: 1200 ms, \
            expected: at most 1000 ms")
    );
}

/// Guards against a configuration that refuses every client.
#[gtest]
fn a_configuration_needs_a_route() {
    let mut records = records();
    records.routes.clear();
    let rules: Vec<CheckRule> =
        check_catalog(&records, None).iter().map(|finding| finding.rule).collect();
    expect_that!(
        rules,
        elements_are![eq(&ErrorRule::NoRoutes.into()), eq(&WarningRule::UnusedGroup.into())]
    );
}

/// Guards against a route whose sessions find no endpoint.
#[gtest]
fn a_route_needs_a_group_of_the_configuration() {
    let finding = only(|records| second_route(records, |route| route.group = "h".to_owned()));
    expect_that!(finding.rule, eq(ErrorRule::UnknownGroup.into()));
    expect_that!(
        (finding.value.as_str(), finding.limit.as_str()),
        eq(("\"h\"", "one of the 1 groups"))
    );
    let finding = only(|records| second_route(records, |route| route.group.clear()));
    expect_that!(finding.rule, eq(ErrorRule::EmptyName.into()));
}

/// Guards against an entry that is sent and vanishes behind a later one of the same name.
#[gtest]
fn duplicates_are_errors() {
    let finding = only(|records| {
        second_route(records, |route| route.database = "d".to_owned());
    });
    expect_that!(finding.rule, eq(ErrorRule::DuplicateRoute.into()));
    expect_that!(finding.limit, contains_substring("route 1"));
    let finding = only(|records| records.customers.push(customer("quarry", &["other"])));
    expect_that!(finding.rule, eq(ErrorRule::DuplicateCustomer.into()));
    let finding = only(|records| records.groups.push(records.groups[0].clone()));
    expect_that!(finding.rule, eq(ErrorRule::DuplicateGroup.into()));
}

/// Guards against a client that is billed and limited as another customer, and against a key that
/// is told in a finding.
#[gtest]
fn a_key_has_one_holder() {
    let finding = only(|records| records.customers.push(customer("mill", &["other", KEY])));
    expect_that!(finding.rule, eq(ErrorRule::SharedKey.into()));
    expect_that!(finding.entry.name, eq("mill"));
    expect_that!(finding.value, eq("key 2 of 2"));
    expect_that!(finding.limit, contains_substring("\"quarry\""));
    expect_that!(finding.to_string(), not(contains_substring(KEY)));
    let finding = only(|records| records.customers[0].keys.push(KEY.to_owned()));
    expect_that!(finding.rule, eq(WarningRule::RepeatedKey.into()));
}

/// Guards against clients without a key that are taken for a customer, and against entries
/// without a name.
#[gtest]
fn names_and_keys_are_not_empty() {
    let finding = only(|records| records.customers[0].keys.push(String::new()));
    expect_that!(finding.rule, eq(ErrorRule::EmptyKey.into()));
    let finding = only(|records| records.customers[0].name.clear());
    expect_that!(finding.rule, eq(ErrorRule::EmptyName.into()));
    let finding = only(|records| second_route(records, |route| route.database.clear()));
    expect_that!(finding.rule, eq(ErrorRule::EmptyName.into()));
    expect_that!(finding.value, eq("route 2"));
}

/// Guards against a pasted line break that makes a key useless.
#[gtest]
fn names_that_no_client_can_send_are_warned_of() {
    let finding = only(|records| records.customers[0].keys.push("k2\n".to_owned()));
    expect_that!(finding.rule, eq(WarningRule::BlankInName.into()));
    let finding = only(|records| second_route(records, |route| route.database = "a b".to_owned()));
    expect_that!(finding.rule, eq(WarningRule::BlankInName.into()));
}

/// Guards against a configuration that hosts ignore.
#[gtest]
fn the_version_has_to_rise() {
    let findings = check_catalog(&records(), Some(&records()));
    expect_that!(findings.len(), eq(1));
    expect_that!(findings[0].rule, eq(ErrorRule::VersionNotAbove.into()));
    expect_that!((findings[0].value.as_str(), findings[0].limit.as_str()), eq(("7", "above 7")));
}

/// Guards against limits of 0, which refuse all work.
#[gtest]
fn limits_of_zero_are_errors() {
    let zero = Duration::ZERO;
    let rule = |change: &dyn Fn(&mut CatalogRecords)| only(change).rule;
    let cases = [
        (rule(&|records| records.customers[0].rate.rate_per_s = 0), ErrorRule::ZeroRate),
        (rule(&|records| records.customers[0].rate.burst = 0), ErrorRule::ZeroBurst),
        (rule(&|records| records.routes[0].statement_limit = zero), ErrorRule::ZeroStatementLimit),
        (rule(&|records| records.groups[0].1.connections = 0), ErrorRule::NoConnections),
        (rule(&|records| records.transaction_idle = zero), ErrorRule::ZeroIdleTime),
        (rule(&|records| records.startup_limit = zero), ErrorRule::ZeroStartupLimit),
    ];
    for (rule, expected) in cases {
        expect_that!(rule, eq(expected.into()));
    }
}

/// Guards against entries that are never used.
#[gtest]
fn unused_entries_are_warned_of() {
    let finding = only(|records| records.customers[0].keys.clear());
    expect_that!(finding.rule, eq(WarningRule::NoKeys.into()));
    let other = ("h".to_owned(), GroupLimits { connections: 1, sync_replicas: 0 });
    let finding = only(|records| records.groups.push(other.clone()));
    expect_that!(finding.rule, eq(WarningRule::UnusedGroup.into()));
    let finding = only(|records| records.routes[0].is_open = true);
    expect_that!(finding.rule, eq(WarningRule::KeysNotNeeded.into()));
}

/// Guards against an open route beside closed ones that is reported: there keys still admit.
#[gtest]
fn one_open_route_beside_closed_ones_is_no_finding() {
    let mut records = records();
    second_route(&mut records, |route| route.is_open = true);
    expect_that!(check_catalog(&records, None), is_empty());
}

/// Guards against limits that contradict each other, at the last value that does not.
#[gtest]
fn contradicting_limits_are_warned_of() {
    let age = |millis| ReadConsistency::Session(Duration::from_millis(millis));
    let rule = |change: &dyn Fn(&mut CatalogRecords)| only(change).rule;
    let cases = [
        (rule(&|records| records.routes[0].objective = Duration::ZERO), WarningRule::ZeroObjective),
        (rule(&|records| records.routes[0].consistency = age(0)), WarningRule::ZeroAge),
        (rule(&|records| records.routes[0].consistency = age(5_121)), WarningRule::AgeAboveReach),
        (rule(&|records| records.customers[0].rate.burst = 29), WarningRule::BurstBelowRate),
        (
            rule(&|records| records.transaction_idle = Duration::from_millis(999)),
            WarningRule::IdleBelowStatement,
        ),
    ];
    for (rule, expected) in cases {
        expect_that!(rule, eq(expected.into()));
    }
    let mut records = records();
    records.routes[0].objective = records.routes[0].statement_limit;
    records.routes[0].consistency = age(5_120);
    records.customers[0].rate.burst = 30;
    records.transaction_idle = records.routes[0].statement_limit;
    expect_that!(check_catalog(&records, None), is_empty());
}

/// Guards against a dropped or changed route that is sent unnoticed.
#[gtest]
fn differences_of_routes_have_both_values() {
    let changes = differences(|records| {
        let route = &mut records.routes[0];
        route.statement_limit = Duration::from_millis(800);
        route.consistency = ReadConsistency::Current;
        route.objective = Duration::from_millis(300);
        route.priority = 2;
    });
    let texts: Vec<&str> = changes.iter().map(|(_, text)| text.as_str()).collect();
    expect_that!(
        texts,
        unordered_elements_are![
            ends_with("route \"d\": consistency: current, before: at most 1500 ms old"),
            ends_with("statement limit: 800 ms, before: 1000 ms"),
            ends_with("latency objective: 300 ms, before: 200 ms"),
            ends_with("priority: 2, before: 1"),
        ]
    );
    let changes = differences(|records| records.routes[0].database = "e".to_owned());
    let rules: Vec<CheckRule> = changes.iter().map(|(rule, _)| *rule).collect();
    expect_that!(
        rules,
        elements_are![
            eq(&DifferenceRule::RouteRemoved.into()),
            eq(&DifferenceRule::RouteAdded.into())
        ]
    );
    let stops: Vec<bool> = rules.iter().map(|rule| rule.stops_clients()).collect();
    expect_that!(stops, elements_are![eq(&true), eq(&false)]);
}

/// Guards against a route that is opened or closed unnoticed.
#[gtest]
fn opening_and_closing_a_route_are_told_apart() {
    let mut open = records();
    second_route(&mut open, |route| route.is_open = true);
    let mut closed = records();
    closed.version += 1;
    second_route(&mut closed, |_| ());
    let closing = check_catalog(&closed, Some(&open));
    let rule = closing[1].rule;
    expect_that!((rule, rule.stops_clients()), eq((DifferenceRule::RouteClosed.into(), true)));
    open.version += 2;
    let rule = check_catalog(&open, Some(&closed))[1].rule;
    expect_that!((rule, rule.stops_clients()), eq((DifferenceRule::RouteOpened.into(), false)));
}

/// Guards against withdrawn keys that stop clients unnoticed, and against keys in the output.
#[gtest]
fn differences_of_keys_are_counts() {
    let changes = differences(|records| {
        records.customers[0].keys = vec!["new-1".to_owned(), "new-2".to_owned()];
    });
    let texts: Vec<&str> = changes.iter().map(|(_, text)| text.as_str()).collect();
    expect_that!(
        texts,
        elements_are![
            eq(&"difference: customer \"quarry\": keys added: 2, now 2, before: 1"),
            eq(
                &"difference: customer \"quarry\": keys withdrawn, clients that use them are refused: \
             1, now 2, before: 1"
            ),
        ]
    );
    expect_that!(changes[1].0.stops_clients(), eq(true));
    let moved = differences(|records| records.customers[0].name = "mill".to_owned());
    let rules: Vec<CheckRule> = moved.iter().map(|(rule, _)| *rule).collect();
    expect_that!(
        rules,
        elements_are![
            eq(&DifferenceRule::CustomerAdded.into()),
            eq(&DifferenceRule::KeysAdded.into()),
            eq(&DifferenceRule::CustomerRemoved.into()),
            eq(&DifferenceRule::KeysMoved.into()),
        ]
    );
    let all = changes.iter().chain(&moved).map(|(_, text)| text.as_str()).collect::<String>();
    expect_that!(all, not(contains_substring(KEY)));
    expect_that!(all, not(contains_substring("new-1")));
}

/// Guards against changes of rates, groups and limits that are not shown.
#[gtest]
fn differences_of_limits_have_both_values() {
    let changes = differences(|records| {
        records.customers[0].rate = CustomerRate { rate_per_s: 50, burst: 60 };
        records.groups[0].1.connections = 30;
        records.groups[0].1.sync_replicas = 1;
        records.transaction_idle = Duration::from_secs(4);
        records.startup_limit = Duration::from_secs(5);
    });
    let texts: Vec<&str> = changes.iter().map(|(_, text)| text.as_str()).collect();
    expect_that!(
        texts,
        elements_are![
            ends_with("rate: 50, before: 100"),
            ends_with("burst: 60, before: 100"),
            ends_with(
                "group \"g\": connections of each endpoint: 30 connections, before: 20 connections"
            ),
            ends_with("group \"g\": synchronous replicas: 1, before: 0"),
            ends_with("idle time of transactions: 4000 ms, before: 3000 ms"),
            ends_with("time to name a database: 5000 ms, before: 3000 ms"),
        ]
    );
    let groups = differences(|records| {
        records.routes[0].group = "h".to_owned();
        records.groups[0].0 = "h".to_owned();
    });
    let rules: Vec<CheckRule> = groups.iter().map(|(rule, _)| *rule).collect();
    expect_that!(
        rules,
        elements_are![
            eq(&DifferenceRule::RouteGroup.into()),
            eq(&DifferenceRule::GroupRemoved.into()),
            eq(&DifferenceRule::GroupAdded.into()),
        ]
    );
}

/// Guards against an error that is lost among differences.
#[gtest]
fn findings_are_in_order_of_severity() {
    let mut changed = records();
    changed.version = 8;
    changed.customers[0].rate = CustomerRate { rate_per_s: 0, burst: 100 };
    changed.routes[0].objective = Duration::ZERO;
    let findings = check_catalog(&changed, Some(&records()));
    let severities: Vec<FindingSeverity> =
        findings.iter().map(|finding| finding.rule.severity()).collect();
    expect_that!(severities[0], eq(FindingSeverity::Error));
    expect_that!(severities[1], eq(FindingSeverity::Warning));
    expect_that!(severities.is_sorted(), eq(true));
    expect_that!(severities.len(), eq(5));
}
