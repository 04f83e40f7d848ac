//! Limits that admit nothing, or contradict each other.

use super::{EntryKind, ErrorRule, FindingList, WarningRule, millis};
use crate::ledger::catalog::{CatalogRecords, DatabaseRoute, ReadConsistency};
use crate::ledger::position::HISTORY_REACH;
use crate::ledger::quota::LOAN_LOOKAHEAD;

pub(super) fn check_routes(records: &CatalogRecords, findings: &mut FindingList) {
    for route in &records.routes {
        check_route(route, findings);
    }
}

fn check_route(route: &DatabaseRoute, findings: &mut FindingList) {
    let entry = (EntryKind::Route, route.database.as_str());
    let (objective, limit) = (route.objective, route.statement_limit);
    match (objective.is_zero(), limit.is_zero()) {
        (_, true) => {
            findings.add(entry, ErrorRule::ZeroStatementLimit, millis(limit), "at least 1 ms");
        }
        (true, _) => {
            findings.add(entry, WarningRule::ZeroObjective, millis(objective), "at least 1 ms");
        }
        _ if objective > limit => {
            let most = format!("at most {}", millis(limit));
            findings.add(entry, WarningRule::ObjectiveAboveLimit, millis(objective), most);
        }
        _ => {}
    }
    match route.consistency {
        ReadConsistency::Current => {}
        ReadConsistency::Bounded(age) | ReadConsistency::Session(age) if age.is_zero() => {
            findings.add(entry, WarningRule::ZeroAge, millis(age), "at least 1 ms");
        }
        ReadConsistency::Bounded(age) | ReadConsistency::Session(age) if age > HISTORY_REACH => {
            let most = format!("at most {}", millis(HISTORY_REACH));
            findings.add(entry, WarningRule::AgeAboveReach, millis(age), most);
        }
        ReadConsistency::Bounded(_) | ReadConsistency::Session(_) => {}
    }
}

pub(super) fn check_customers(records: &CatalogRecords, findings: &mut FindingList) {
    for customer in &records.customers {
        let entry = (EntryKind::Customer, customer.name.as_str());
        let (per_s, burst) = (customer.rate.rate_per_s, customer.rate.burst);
        let least = (f64::from(per_s) * LOAN_LOOKAHEAD.as_secs_f64()).ceil();
        if per_s == 0 {
            findings.add(entry, ErrorRule::ZeroRate, "0 operations a second", "at least 1");
        }
        match burst {
            0 => findings.add(entry, ErrorRule::ZeroBurst, "0 operations", "at least 1"),
            burst if f64::from(burst) < least => {
                let limit =
                    format!("at least {least}, {} at {per_s} a second", millis(LOAN_LOOKAHEAD));
                findings.add(entry, WarningRule::BurstBelowRate, burst.to_string(), limit);
            }
            _ => {}
        }
    }
}

pub(super) fn check_groups(records: &CatalogRecords, findings: &mut FindingList) {
    for (name, limits) in &records.groups {
        if limits.connections == 0 {
            let entry = (EntryKind::Group, name.as_str());
            findings.add(entry, ErrorRule::NoConnections, "0 connections", "at least 1");
        }
    }
}

pub(super) fn check_times(records: &CatalogRecords, findings: &mut FindingList) {
    let entry = (EntryKind::Limits, "");
    let longest = records.routes.iter().max_by_key(|route| route.statement_limit);
    let idle = records.transaction_idle;
    match longest {
        _ if idle.is_zero() => {
            findings.add(entry, ErrorRule::ZeroIdleTime, millis(idle), "at least 1 ms");
        }
        Some(route) if idle < route.statement_limit => {
            let least =
                format!("at least {} of route {:?}", millis(route.statement_limit), route.database);
            findings.add(entry, WarningRule::IdleBelowStatement, millis(idle), least);
        }
        _ => {}
    }
    if records.startup_limit.is_zero() {
        let value = millis(records.startup_limit);
        findings.add(entry, ErrorRule::ZeroStartupLimit, value, "at least 1 ms");
    }
}
