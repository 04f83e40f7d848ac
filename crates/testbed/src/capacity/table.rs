//! The stand-in's table service without its listener and the records in it.

use std::collections::BTreeMap;

use serde_json::{Value, json};
use tanagerdeal_core::message::fleet::StoreFault;
use tanagerdeal_wire::HostName;
use tanagerdeal_wire::platform::{EntryPage, HostEntry, HostList, TableWrite, TxnRequest};
use tanagerdeal_wire::record::{RecordKind, record_key};

use super::CapacityCase;
use crate::platform::TableStore;

/// Members of a group.
pub(super) const MEMBERS: usize = 3;

/// Table keys under one revision, and the host list.
#[derive(Default)]
pub(super) struct TableModel {
    store: TableStore,
    hosts: BTreeMap<HostName, HostEntry>,
    pub(super) reads: u64,
    pub(super) writes: u64,
}

impl TableModel {
    /// A table with the records of a fleet.
    pub(super) fn new(case: &CapacityCase) -> Self {
        let mut table = Self::default();
        for number in 0..case.domains {
            table.put(RecordKind::Domain, &domain_name(number), json!({"state": "in"}));
        }
        for number in 0..case.customers {
            let customer = format!("customer-{number}");
            let record = json!({"rate_per_s": 100, "burst": 200, "weight": 1, "worth": 1});
            table.put(RecordKind::Customer, &customer, record);
            // The length of a real digest.
            let key =
                json!({"customer": customer, "salt": "s".repeat(16), "digest": "d".repeat(43)});
            table.put(RecordKind::Key, &format!("key-{number}"), key);
        }
        let groups: Vec<Value> = (0..case.groups).map(|group| group_value(case, group)).collect();
        table.put(RecordKind::Service, "service", json!({"groups": groups}));
        table.put(RecordKind::Route, "orders", json!({"service": "service"}));
        table
    }

    pub(super) fn put(&mut self, kind: RecordKind, name: &str, mut value: Value) -> u64 {
        value["schema"] = json!(1);
        self.write(record_key(kind, name), Some(value))
    }

    fn write(&mut self, key: String, value: Option<Value>) -> u64 {
        let txn = TxnRequest { checks: Vec::new(), writes: vec![TableWrite { key, value }] };
        self.store.transact(txn).map_or(0, |reply| reply.revision)
    }

    pub(super) fn changes(&mut self, after: u64) -> EntryPage {
        self.reads += 1;
        self.store.changes(after, "", usize::MAX)
    }

    pub(super) fn transact(&mut self, txn: TxnRequest) -> Result<u64, StoreFault> {
        self.writes += 1;
        self.store.transact(txn).map(|reply| reply.revision).map_err(StoreFault::Conflict)
    }

    pub(super) fn list(&mut self) -> HostList {
        self.reads += 1;
        HostList { hosts: self.hosts.values().cloned().collect() }
    }

    pub(super) fn heartbeat(&mut self, entry: HostEntry) {
        self.writes += 1;
        self.hosts.insert(entry.host.clone(), entry);
    }

    pub(super) fn reset_counts(&mut self) {
        (self.reads, self.writes) = (0, 0);
    }
}

pub(super) fn domain_name(number: usize) -> String {
    format!("domain-{number}")
}

pub(super) fn group_name(group: usize) -> String {
    format!("group-{group}")
}

pub(super) fn member_name(group: usize, member: usize) -> String {
    format!("group-{group}-{member}")
}

fn group_value(case: &CapacityCase, group: usize) -> Value {
    let member = |number: usize| {
        let name = member_name(group, number);
        json!({
            "endpoint": name, "domain": domain_name((group + number) % case.domains.max(1)),
            "sql_address": format!("{name}:5432"), "api_address": format!("{name}:8008"),
            "connections": 20, "slots": 3,
        })
    };
    let members: Vec<Value> = (0..MEMBERS).map(member).collect();
    json!({"group": group_name(group), "members": members})
}
