//! Builders that the tests share.

use std::time::Duration;

use tanagerdeal_core::ledger::admission::StatementDemand;
use tanagerdeal_core::ledger::capacity::{WorkClass, WorkKind};
use tanagerdeal_core::ledger::catalog::{DatabaseRoute, ReadConsistency};
use tanagerdeal_core::ledger::clock::{BootInstant, StoreInstant};
use tanagerdeal_core::ledger::endpoint::{EndpointRecord, EndpointRole, LogPosition};
use tanagerdeal_core::ledger::group::{GroupEntry, GroupRecord, PendingChange};
use tanagerdeal_core::ledger::lease::{HostEntry, HostRecord};
use tanagerdeal_core::ledger::state::HostState;

/// The instant `millis` milliseconds after the start.
pub fn at(millis: u64) -> BootInstant {
    BootInstant::from_micros(millis * 1_000)
}

/// The instant at which the store's clock shows `millis`.
pub fn store_at(millis: u64) -> StoreInstant {
    StoreInstant::from_millis(millis)
}

pub fn position(term: u64, number: u64) -> LogPosition {
    LogPosition { term, number }
}

pub fn endpoint(id: &str, domain: &str, role: EndpointRole) -> EndpointRecord {
    EndpointRecord {
        id: id.to_owned(),
        group: "g".to_owned(),
        address: "10.0.0.1:1".parse().unwrap(),
        domain: domain.to_owned(),
        slots: 3,
        is_draining: false,
        role,
        born: Some(1),
    }
}

pub fn group(version: u64, primary: &str, change: Option<PendingChange>) -> GroupEntry {
    let record = GroupRecord {
        group: "g".to_owned(),
        term: 1,
        primary: primary.to_owned(),
        change,
        term_start: None,
        verified_era: 0,
        former_starts: Vec::new(),
    };
    GroupEntry { version, record }
}

pub fn mark(until: u64) -> Option<PendingChange> {
    let holder = "h9".to_owned();
    Some(PendingChange { holder, token: 1, until: store_at(until), promotion: None })
}

pub fn route(consistency: ReadConsistency) -> DatabaseRoute {
    DatabaseRoute {
        database: "d".to_owned(),
        group: "g".to_owned(),
        consistency,
        statement_limit: Duration::from_secs(1),
        objective: Duration::from_millis(200),
        priority: 1,
        is_open: false,
    }
}

pub fn host(name: &str, version: u64, until: u64, suspects: &[&str]) -> HostEntry {
    HostEntry {
        version,
        record: HostRecord {
            host: name.to_owned(),
            incarnation: 1,
            domain: "d1".to_owned(),
            peers: "10.0.0.1:1".parse().unwrap(),
            until: store_at(until),
            suspects: suspects.iter().map(|id| (*id).to_owned()).collect(),
            is_leaving: false,
            link_mbps: 20,
            consent: None,
            writes_epoch: true,
            time_offset_ms: None,
            pool: None,
        },
    }
}

/// State of a host with a lease from 0 ms on, a primary `p` and two replicas.
pub fn host_state() -> HostState {
    let mut state = HostState::new("h1", "d1", Default::default(), at(0));
    state.lease.note_clock(at(0), at(0), store_at(0));
    state.lease.renewed(at(0));
    state.endpoints.register(endpoint("p", "d1", EndpointRole::Primary), at(0));
    state.endpoints.register(endpoint("r1", "d1", EndpointRole::Replica), at(0));
    state.endpoints.register(endpoint("r2", "d2", EndpointRole::Replica), at(0));
    state.apply_group(group(1, "p", None), at(1));
    state
}

/// A read outside a transaction.
pub fn demand(customer: &str, priority: u8, wait_deadline: BootInstant) -> StatementDemand<'_> {
    let work = WorkClass { route: 1, kind: WorkKind::Read };
    StatementDemand { customer, priority, work, wait_deadline, is_continuation: false }
}
