//! Verifies the primary of a group that a restored store names, by asking the group's endpoints.
//!
//! Usually a host that has known the primary all along writes the row again before that.

use serde_json::json;
use tanagerdeal_core::ledger::failover::CandidateStatus;
use tanagerdeal_core::ledger::failover::step::sole_leader;
use tanagerdeal_core::ledger::group::{GroupEntry, GroupRecord};
use tanagerdeal_core::ledger::version::era_of;

use super::change::demote;
use super::promotion::GroupStatuses;
use crate::ledger::context::HostContext;
use crate::ledger::journal;
use crate::ledger::restore::{GroupWrite, write_groups};

/// Publishes the endpoint that leads a group, if all its endpoints tell their status. Returns
/// whether they did and one leads.
pub(super) async fn verify_primary(host: &HostContext, entry: &GroupEntry) -> bool {
    let GroupEntry { version, record } = entry;
    let statuses = GroupStatuses::request(host, &record.group).await;
    let Some(leader) = sole_leader(record.term, &statuses.answered, &statuses.unanswered) else {
        let fields = json!({ "group": record.group, "primary": record.primary,
            "unanswered": statuses.unanswered_ids() });
        journal::event("takeover", "unverified", fields);
        return false;
    };
    let verified =
        GroupEntry { version: *version, record: verified_record(record, leader, era_of(*version)) };
    write_groups(host, GroupWrite::VERIFY, vec![verified]).await;
    if leader.id != record.primary {
        demote(host, &record.primary, leader.term).await;
    }
    true
}

/// The row of a group that an endpoint leads.
fn verified_record(record: &GroupRecord, leader: &CandidateStatus, era: u64) -> GroupRecord {
    let led = record.succeeded_by(&leader.id, leader.term, leader.term_start());
    GroupRecord { change: None, verified_era: era, ..led }
}
