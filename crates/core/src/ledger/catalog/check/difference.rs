//! Differences to the version in force, by what counts there: of duplicates the last one.

use std::collections::{BTreeMap, HashMap, HashSet};

use super::{DifferenceRule, EntryKind, ErrorRule, FindingList, millis};
use crate::ledger::catalog::{
    CatalogRecords, CustomerRecord, DatabaseRoute, GroupLimits, ReadConsistency,
};

pub(super) fn compare(
    records: &CatalogRecords,
    former: &CatalogRecords,
    findings: &mut FindingList,
) {
    let whole = (EntryKind::Configuration, "");
    let (version, known) = (records.version, former.version);
    match version > known {
        true => {
            let rule = DifferenceRule::Version;
            findings.add(whole, rule, version.to_string(), known.to_string());
        }
        false => {
            let limit = format!("above {known}");
            findings.add(whole, ErrorRule::VersionNotAbove, version.to_string(), limit);
        }
    }
    compare_routes(records, former, findings);
    compare_customers(records, former, findings);
    compare_keys(records, former, findings);
    compare_groups(records, former, findings);
    let mut times = |rule, value, before| {
        if value != before {
            findings.add((EntryKind::Limits, ""), rule, millis(value), millis(before));
        }
    };
    times(DifferenceRule::IdleTime, records.transaction_idle, former.transaction_idle);
    times(DifferenceRule::StartupLimit, records.startup_limit, former.startup_limit);
}

/// Entries of both versions by name.
fn pairs<'a, T>(
    records: impl Iterator<Item = (&'a str, &'a T)>,
    former: impl Iterator<Item = (&'a str, &'a T)>,
) -> BTreeMap<&'a str, (Option<&'a T>, Option<&'a T>)> {
    let mut pairs: BTreeMap<&str, (Option<&T>, Option<&T>)> = BTreeMap::new();
    records.for_each(|(name, entry)| pairs.entry(name).or_default().0 = Some(entry));
    former.for_each(|(name, entry)| pairs.entry(name).or_default().1 = Some(entry));
    pairs
}

fn routes(records: &CatalogRecords) -> impl Iterator<Item = (&str, &DatabaseRoute)> {
    records.routes.iter().map(|route| (route.database.as_str(), route))
}

fn customers(records: &CatalogRecords) -> impl Iterator<Item = (&str, &CustomerRecord)> {
    records.customers.iter().map(|customer| (customer.name.as_str(), customer))
}

fn groups(records: &CatalogRecords) -> impl Iterator<Item = (&str, &GroupLimits)> {
    records.groups.iter().map(|(name, limits)| (name.as_str(), limits))
}

fn compare_routes(records: &CatalogRecords, former: &CatalogRecords, findings: &mut FindingList) {
    for (name, pair) in pairs(routes(records), routes(former)) {
        let entry = (EntryKind::Route, name);
        match pair {
            (Some(route), Some(before)) => compare_route(route, before, findings),
            (Some(route), None) => {
                let value = format!("to group {:?}", route.group);
                findings.add(entry, DifferenceRule::RouteAdded, value, "no route");
            }
            (None, Some(before)) => {
                let value = format!("to group {:?}", before.group);
                findings.add(entry, DifferenceRule::RouteRemoved, "no route", value);
            }
            (None, None) => {}
        }
    }
}

fn compare_route(route: &DatabaseRoute, before: &DatabaseRoute, findings: &mut FindingList) {
    let entry = (EntryKind::Route, route.database.as_str());
    let open_rule = match route.is_open {
        true => DifferenceRule::RouteOpened,
        false => DifferenceRule::RouteClosed,
    };
    let mut compare = |rule, text: &dyn Fn(&DatabaseRoute) -> String| {
        let (value, before) = (text(route), text(before));
        if value != before {
            findings.add(entry, rule, value, before);
        }
    };
    compare(DifferenceRule::RouteGroup, &|route| format!("{:?}", route.group));
    compare(DifferenceRule::RouteConsistency, &|route| consistency_text(route.consistency));
    compare(DifferenceRule::StatementLimit, &|route| millis(route.statement_limit));
    compare(DifferenceRule::Objective, &|route| millis(route.objective));
    compare(DifferenceRule::Priority, &|route| route.priority.to_string());
    compare(open_rule, &|route| (if route.is_open { "open" } else { "closed" }).to_owned());
}

fn consistency_text(consistency: ReadConsistency) -> String {
    match consistency {
        ReadConsistency::Current => "current".to_owned(),
        ReadConsistency::Bounded(age) => format!("at most {} old", millis(age)),
        ReadConsistency::Session(age) => {
            format!("own writes, otherwise at most {} old", millis(age))
        }
    }
}

fn compare_customers(
    records: &CatalogRecords,
    former: &CatalogRecords,
    findings: &mut FindingList,
) {
    let rate_text = |customer: &CustomerRecord| {
        format!("{} operations a second, burst {}", customer.rate.rate_per_s, customer.rate.burst)
    };
    for (name, pair) in pairs(customers(records), customers(former)) {
        let entry = (EntryKind::Customer, name);
        match pair {
            (Some(customer), Some(before)) => {
                let (rate, known) = (customer.rate, before.rate);
                let mut compare = |rule, value: u32, before: u32| {
                    if value != before {
                        findings.add(entry, rule, value.to_string(), before.to_string());
                    }
                };
                compare(DifferenceRule::Rate, rate.rate_per_s, known.rate_per_s);
                compare(DifferenceRule::Burst, rate.burst, known.burst);
            }
            (Some(customer), None) => {
                let value = rate_text(customer);
                findings.add(entry, DifferenceRule::CustomerAdded, value, "no customer");
            }
            (None, Some(before)) => {
                let value = rate_text(before);
                findings.add(entry, DifferenceRule::CustomerRemoved, "no customer", value);
            }
            (None, None) => {}
        }
    }
}

/// Customers by the keys that identify them.
fn holders(records: &CatalogRecords) -> HashMap<&str, &str> {
    records
        .customers
        .iter()
        .flat_map(|customer| customer.keys.iter().map(|key| (key.as_str(), customer.name.as_str())))
        .collect()
}

fn compare_keys(records: &CatalogRecords, former: &CatalogRecords, findings: &mut FindingList) {
    let (now, before) = (holders(records), holders(former));
    let names: HashSet<&str> = now.values().chain(before.values()).copied().collect();
    for name in names {
        let of_customer =
            |keys: &HashMap<&str, &str>| keys.values().filter(|holder| **holder == name).count();
        let total = (of_customer(&now), of_customer(&before));
        let count = |keys: &HashMap<&str, &str>, is_counted: &dyn Fn(&str) -> bool| {
            keys.iter().filter(|(key, holder)| **holder == name && is_counted(key)).count()
        };
        let added = count(&now, &|key| before.get(key) != Some(&name));
        let withdrawn = count(&before, &|key| !now.contains_key(key));
        let moved = count(&before, &|key| now.get(key).is_some_and(|holder| *holder != name));
        let changes = [
            (DifferenceRule::KeysAdded, added),
            (DifferenceRule::KeysWithdrawn, withdrawn),
            (DifferenceRule::KeysMoved, moved),
        ];
        for (rule, number) in changes.into_iter().filter(|(_, number)| *number > 0) {
            let value = format!("{number}, now {}", total.0);
            findings.add((EntryKind::Customer, name), rule, value, total.1.to_string());
        }
    }
}

fn compare_groups(records: &CatalogRecords, former: &CatalogRecords, findings: &mut FindingList) {
    let text = |limits: &GroupLimits| format!("{} connections", limits.connections);
    for (name, pair) in pairs(groups(records), groups(former)) {
        let entry = (EntryKind::Group, name);
        match pair {
            (Some(limits), None) => {
                findings.add(entry, DifferenceRule::GroupAdded, text(limits), "no group");
            }
            (None, Some(before)) => {
                findings.add(entry, DifferenceRule::GroupRemoved, "no group", text(before));
            }
            (Some(limits), Some(before)) => {
                if limits.connections != before.connections {
                    findings.add(entry, DifferenceRule::Connections, text(limits), text(before));
                }
                if limits.sync_replicas != before.sync_replicas {
                    let text = |limits: &GroupLimits| limits.sync_replicas.to_string();
                    findings.add(entry, DifferenceRule::SyncReplicas, text(limits), text(before));
                }
            }
            (None, None) => {}
        }
    }
}
