//! Names, keys, duplicates and references between entries.

use std::collections::{HashMap, HashSet};

use super::{EntryKind, ErrorRule, FindingList, WarningRule};
use crate::ledger::catalog::{CatalogRecords, CustomerRecord};

pub(super) fn check_routes(records: &CatalogRecords, findings: &mut FindingList) {
    if records.routes.is_empty() {
        findings.add((EntryKind::Configuration, ""), ErrorRule::NoRoutes, "0", "at least 1");
    }
    let groups: HashSet<&str> = records.groups.iter().map(|(name, _)| name.as_str()).collect();
    for route in &records.routes {
        let entry = (EntryKind::Route, route.database.as_str());
        match route.group.as_str() {
            "" => findings.add(entry, ErrorRule::EmptyName, "group \"\"", "a name"),
            group if !groups.contains(group) => {
                let limit = format!("one of the {} groups", groups.len());
                findings.add(entry, ErrorRule::UnknownGroup, format!("{group:?}"), limit);
            }
            _ => {}
        }
    }
    let names: Vec<&str> = records.routes.iter().map(|route| route.database.as_str()).collect();
    check_names(EntryKind::Route, &names, ErrorRule::DuplicateRoute, findings);
}

pub(super) fn check_customers(records: &CatalogRecords, findings: &mut FindingList) {
    for customer in records.customers.iter().filter(|customer| customer.keys.is_empty()) {
        let entry = (EntryKind::Customer, customer.name.as_str());
        findings.add(entry, WarningRule::NoKeys, "0 keys", "at least 1");
    }
    let names: Vec<&str> = records.customers.iter().map(|entry| entry.name.as_str()).collect();
    check_names(EntryKind::Customer, &names, ErrorRule::DuplicateCustomer, findings);
    let keys: usize = records.customers.iter().map(|customer| customer.keys.len()).sum();
    let is_open = !records.routes.is_empty() && records.routes.iter().all(|route| route.is_open);
    if is_open && keys > 0 {
        let value = format!("{keys} keys");
        let entry = (EntryKind::Configuration, "");
        findings.add(entry, WarningRule::KeysNotNeeded, value, "a route that needs a key");
    }
}

pub(super) fn check_keys(records: &CatalogRecords, findings: &mut FindingList) {
    // The last holder of a key counts.
    let mut holders: HashMap<&str, &CustomerRecord> = HashMap::new();
    for customer in &records.customers {
        let entry = (EntryKind::Customer, customer.name.as_str());
        let mut own = HashSet::new();
        for (index, key) in customer.keys.iter().enumerate() {
            let value = format!("key {} of {}", index + 1, customer.keys.len());
            let holder = holders.insert(key, customer);
            match holder.filter(|holder| holder.name != customer.name) {
                _ if key.is_empty() => findings.add(entry, ErrorRule::EmptyKey, value, "a text"),
                _ if !own.insert(key) => {
                    findings.add(entry, WarningRule::RepeatedKey, value, "each key once");
                }
                Some(holder) => {
                    let limit = format!("one holder, not customer {:?} too", holder.name);
                    findings.add(entry, ErrorRule::SharedKey, value, limit);
                }
                None if has_blank(key) => {
                    findings.add(entry, WarningRule::BlankInName, value, "none of them");
                }
                None => {}
            }
        }
    }
}

pub(super) fn check_groups(records: &CatalogRecords, findings: &mut FindingList) {
    let routed: HashSet<&str> = records.routes.iter().map(|route| route.group.as_str()).collect();
    for (name, _) in &records.groups {
        if !routed.contains(name.as_str()) {
            let entry = (EntryKind::Group, name.as_str());
            findings.add(entry, WarningRule::UnusedGroup, "0 routes", "at least 1");
        }
    }
    let names: Vec<&str> = records.groups.iter().map(|(name, _)| name.as_str()).collect();
    check_names(EntryKind::Group, &names, ErrorRule::DuplicateGroup, findings);
}

fn check_names(kind: EntryKind, names: &[&str], duplicate: ErrorRule, findings: &mut FindingList) {
    let mut earlier: HashMap<&str, usize> = HashMap::new();
    for (number, name) in (1..).zip(names) {
        let (entry, place) = ((kind, *name), format!("{kind} {number}"));
        match earlier.insert(name, number) {
            _ if name.is_empty() => findings.add(entry, ErrorRule::EmptyName, place, "a name"),
            Some(hidden) => {
                findings.add(entry, duplicate, place, format!("a name other than {kind} {hidden}"));
            }
            // Names of groups are not sent by clients.
            None if kind != EntryKind::Group && has_blank(name) => {
                findings.add(entry, WarningRule::BlankInName, place, "none of them");
            }
            None => {}
        }
    }
}

fn has_blank(text: &str) -> bool {
    text.contains(|character: char| character.is_whitespace() || character.is_control())
}
