//! Operators' records of a deployment.

use serde::Serialize;
use serde_json::{Value, json};
use tanagerdeal_wire::key::digest_secret;
use tanagerdeal_wire::platform::{TableWrite, TxnRequest};
use tanagerdeal_wire::record::{
    ConfigurationRecord, DomainPhase, DomainRecord, EndpointPhase, EndpointRecord, RecordKind,
    ServiceRecord, newest_schema, record_key,
};

use super::DeploymentPlan;

/// Secret of a customer's first key; the digest is all that the store holds.
pub(super) fn secret(customer: &str) -> String {
    format!("{customer}-secret-0123456789abcdef")
}

/// Name of a customer's first key.
pub(super) fn key_name(customer: &str) -> String {
    format!("{customer}-key")
}

/// Password with which a customer connects.
pub(super) fn password(customer: &str) -> String {
    format!("{}.{}", key_name(customer), secret(customer))
}

/// One transaction that writes all records.
pub(super) fn initial_records(plan: &DeploymentPlan, service: &ServiceRecord) -> TxnRequest {
    let mut writes = Vec::new();
    for customer in &plan.customers {
        let salt = format!("salt-{}", customer.name);
        let digest = digest_secret(&salt, &secret(&customer.name));
        let key = json!({"customer": customer.name, "salt": salt, "digest": digest});
        writes.push(write(RecordKind::Customer, &customer.name, &customer.record));
        writes.push(write(RecordKind::Key, &key_name(&customer.name), &key));
    }
    for route in &plan.routes {
        let record = json!({
            "service": plan.service, "open": route.open, "durability": route.durability,
            "max_read_age_ms": route.max_read_age_ms,
        });
        writes.push(write(RecordKind::Route, &route.name, &record));
    }
    for domain in &plan.domains {
        let record = DomainRecord { state: DomainPhase::In };
        writes.push(write(RecordKind::Domain, &domain.name, &record));
    }
    for member in service.groups.iter().flat_map(|group| &group.members) {
        let record = EndpointRecord { state: EndpointPhase::Serving };
        writes.push(write(RecordKind::Endpoint, member.endpoint.as_str(), &record));
    }
    let configuration = ConfigurationRecord { replication_wait_ms: 400, retry_percent: 10 };
    writes.push(write(RecordKind::Configuration, "fleet", &configuration));
    writes.push(write(RecordKind::Service, &plan.service, service));
    TxnRequest { checks: Vec::new(), writes }
}

fn write(kind: RecordKind, name: &str, record: &impl Serialize) -> TableWrite {
    let mut value = serde_json::to_value(record).unwrap_or(Value::Null);
    value["schema"] = json!(newest_schema(kind));
    TableWrite { key: record_key(kind, name), value: Some(value) }
}
