//! Operators' changes: one transaction with the record, the change marker and the audit entry.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};
use tanagerdeal_wire::platform::{RevisionCheck, TableEntry, TableWrite, TxnRequest};
use tanagerdeal_wire::{value_type, wire_type};
use tokio::time::{Instant, sleep};

use crate::client::{PlatformClient, PlatformError};

/// Prefix of audit entries; their keys sort by time.
pub const AUDIT_PREFIX: &str = "audit/";

/// Prefix of change markers, by which a repeated change is recognised.
pub const CHANGE_PREFIX: &str = "changes/";

/// Pause between two attempts of a change whose response was lost.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

wire_type! {
    /// One entry of the audit trail.
    pub struct AuditEntry {
        /// Identifies the change; a repeat carries the same one.
        pub change_id: String,
        /// Who made it.
        pub actor: String,
        /// Milliseconds since the Unix epoch, by the clock of the operator's machine.
        pub at_ms: u64,
        /// Table key of the record.
        pub key: String,
        /// `put` or `withdraw`.
        pub action: String,
        /// Revision of the record before the change, 0 when it was absent.
        pub from_revision: u64,
        /// `accepted`, or `conflict` with the revision that was found.
        pub outcome: String,
        /// Value before the change.
        pub before: Option<Value>,
        /// Value asked for.
        pub after: Option<Value>,
    }
}

value_type! {
    /// A change of one record.
    pub struct RecordChange {
        /// Identifies the change.
        pub change_id: String,
        /// Who makes it.
        pub actor: String,
        /// Table key of the record.
        pub key: String,
        /// Revision that the record must have, 0 when it must be absent.
        pub expected: u64,
        /// Value before the change, for the audit trail.
        pub before: Option<Value>,
        /// New value, or nothing to withdraw the record.
        pub after: Option<Value>,
    }

    /// How a change ended.
    #[derive(Copy)]
    pub enum ChangeOutcome {
        /// Accepted at this revision.
        Accepted(u64),
        /// An earlier attempt with the same change id had been accepted at this revision.
        Repeated(u64),
        /// The record is at another revision than expected; nothing was written.
        Conflict(u64),
    }
}

impl RecordChange {
    /// The entry that describes this change in the audit trail.
    ///
    /// ```
    /// use tanagerdeal_platform::change::RecordChange;
    ///
    /// let change = RecordChange {
    ///     change_id: "c1".to_owned(),
    ///     actor: "ann".to_owned(),
    ///     key: "records/customer/quarry".to_owned(),
    ///     expected: 3,
    ///     before: None,
    ///     after: None,
    /// };
    /// assert_eq!(change.audit_entry("accepted").action, "withdraw");
    /// ```
    pub fn audit_entry(&self, outcome: &str) -> AuditEntry {
        let action = if self.after.is_some() { "put" } else { "withdraw" };
        AuditEntry {
            change_id: self.change_id.clone(),
            actor: self.actor.clone(),
            at_ms: unix_ms(),
            key: self.key.clone(),
            action: action.to_owned(),
            from_revision: self.expected,
            outcome: outcome.to_owned(),
            before: self.before.clone(),
            after: self.after.clone(),
        }
    }

    /// The transaction that makes this change once.
    ///
    /// ```
    /// use tanagerdeal_platform::change::RecordChange;
    ///
    /// let change = RecordChange {
    ///     change_id: "c1".to_owned(),
    ///     actor: "ann".to_owned(),
    ///     key: "records/customer/quarry".to_owned(),
    ///     expected: 3,
    ///     before: None,
    ///     after: None,
    /// };
    /// let txn = change.transaction();
    /// assert_eq!(txn.checks.len(), 2);
    /// assert_eq!(txn.writes.len(), 3);
    /// ```
    pub fn transaction(&self) -> TxnRequest {
        let marker = self.marker_key();
        let checks = vec![
            RevisionCheck { key: marker.clone(), revision: 0 },
            RevisionCheck { key: self.key.clone(), revision: self.expected },
        ];
        let writes = vec![
            TableWrite { key: self.key.clone(), value: self.after.clone() },
            TableWrite { key: marker, value: Some(json!({ "key": self.key })) },
            audit_write(&self.audit_entry("accepted")),
        ];
        TxnRequest { checks, writes }
    }

    fn marker_key(&self) -> String {
        format!("{CHANGE_PREFIX}{}", self.change_id)
    }

    /// Makes the change; repeats it until `deadline` while responses are lost.
    ///
    /// Every repeat carries the same change id, so that a change whose response was lost is
    /// recognised and not made twice.
    pub async fn submit(
        &self,
        client: &PlatformClient,
        deadline: Instant,
    ) -> Result<ChangeOutcome, PlatformError> {
        loop {
            match client.transact(&self.transaction()).await {
                Ok(revision) => return Ok(ChangeOutcome::Accepted(revision)),
                Err(PlatformError::Conflict(conflict)) if conflict.key == self.marker_key() => {
                    return Ok(ChangeOutcome::Repeated(conflict.revision));
                }
                Err(PlatformError::Conflict(conflict)) => {
                    self.record_conflict(client, conflict.revision).await;
                    return Ok(ChangeOutcome::Conflict(conflict.revision));
                }
                Err(error) if Instant::now() + RETRY_PAUSE >= deadline => return Err(error),
                Err(_) => sleep(RETRY_PAUSE).await,
            }
        }
    }

    /// Adds the lost race to the audit trail; the change itself has already failed, so an error
    /// here is not reported.
    async fn record_conflict(&self, client: &PlatformClient, found: u64) {
        let entry = self.audit_entry(&format!("conflict: found revision {found}"));
        let txn = TxnRequest { checks: Vec::new(), writes: vec![audit_write(&entry)] };
        if let Err(error) = client.transact(&txn).await {
            log::warn!("store: audit entry of a conflict was not written: {error}");
        }
    }
}

fn audit_write(entry: &AuditEntry) -> TableWrite {
    let key = format!("{AUDIT_PREFIX}{:013}-{}", entry.at_ms, entry.change_id);
    TableWrite { key, value: serde_json::to_value(entry).ok() }
}

fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

/// Lays the given fields over a stored value, so that fields of a newer schema are kept.
///
/// The schema version never falls: a tool that writes version 1 leaves a stored 2 in place.
///
/// ```
/// use serde_json::json;
/// use tanagerdeal_platform::change::merge_fields;
///
/// let stored = json!({"schema": 2, "rate_per_s": 5, "worth": 3});
/// let merged = merge_fields(Some(&stored), &json!({"schema": 1, "rate_per_s": 9}));
/// assert_eq!(merged, json!({"schema": 2, "rate_per_s": 9, "worth": 3}));
/// ```
pub fn merge_fields(stored: Option<&Value>, fields: &Value) -> Value {
    let mut merged = stored.cloned().unwrap_or_else(|| json!({}));
    let stored_schema = merged.get("schema").and_then(Value::as_u64);
    match (merged.as_object_mut(), fields.as_object()) {
        (Some(target), Some(source)) => {
            target.extend(source.iter().map(|(name, value)| (name.clone(), value.clone())));
            let schema = target.get("schema").and_then(Value::as_u64);
            if let Some(newest) = stored_schema.max(schema) {
                target.insert("schema".to_owned(), json!(newest));
            }
            merged
        }
        _ => fields.clone(),
    }
}

/// Entry of a record, or an empty one at revision 0 when it is absent.
///
/// ```
/// use tanagerdeal_platform::change::entry_or_absent;
///
/// assert_eq!(entry_or_absent(None, "records/customer/quarry").revision, 0);
/// ```
pub fn entry_or_absent(entry: Option<TableEntry>, key: &str) -> TableEntry {
    entry.unwrap_or_else(|| TableEntry { key: key.to_owned(), revision: 0, value: None })
}
