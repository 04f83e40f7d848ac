//! The report of a window: when its total is fixed, and what is sent.

use std::collections::BTreeMap;
use std::time::Duration;

use tanagerdeal_wire::wire_type;

use super::UsageTable;
use crate::ledger::clock::StoreInstant;
use crate::ledger::lease::{HostEntry, HostRecord};

/// Rows of reports. They are used in turn, so the newest ones stay for operators to look at.
const REPORT_SLOTS: u64 = 24;
/// Part of the time until a report is due after which its total is fixed although hosts are missing,
/// in percent. The rest is for the tries of two hosts to send it.
const FIX_PERCENT: u32 = 65;

wire_type! {
    /// The row of a report.
    pub struct UsageReport {
        /// Number of the window.
        pub window: u64,
        /// Requests by customer.
        pub counts: BTreeMap<String, u64>,
        /// Hosts whose counts are incomplete or unknown.
        pub missing: Vec<String>,
        /// Whether the platform has accepted the report.
        pub is_sent: bool,
    }
}

/// What a holder of the duty does about a window.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReportStep {
    /// Wait for hosts that have not reported all requests.
    Wait,
    /// Write this report, on condition that the row of its slot is unchanged. It is sent once it is
    /// written.
    Fix(UsageReport),
    /// Send the report of the row.
    Send(UsageReport),
    /// Nothing: the platform has the report.
    Done,
}

/// The next step for a window, from the report of its slot, if there is one, and the totals.
/// `missing` lists hosts that have not reported all requests; `is_late` tells whether to go on
/// without them.
///
/// ```
/// use tanagerdeal_core::ledger::usage::{ReportStep, UsageTable, plan_report};
///
/// let table = UsageTable::default();
/// let ReportStep::Fix(report) = plan_report(None, 7, &table, Vec::new(), false) else { panic!() };
/// let step = plan_report(Some(&report), 7, &table, Vec::new(), false);
/// assert_eq!(step, ReportStep::Send(report));
/// ```
pub fn plan_report(
    slot: Option<&UsageReport>,
    window: u64,
    table: &UsageTable,
    missing: Vec<String>,
    is_late: bool,
) -> ReportStep {
    match slot {
        Some(report) if report.window > window => ReportStep::Done,
        Some(report) if report.window == window && report.is_sent => ReportStep::Done,
        Some(report) if report.window == window => ReportStep::Send(report.clone()),
        _ if !missing.is_empty() && !is_late => ReportStep::Wait,
        _ => {
            let counts = table.sum(window);
            ReportStep::Fix(UsageReport { window, counts, missing, is_sent: false })
        }
    }
}

/// Hosts that may have sent requests in a window that began at `start`, and whose totals are
/// not final. A process that was replaced by another one on its host sends no more.
///
/// ```
/// use tanagerdeal_core::ledger::clock::StoreInstant;
/// use tanagerdeal_core::ledger::usage::{UsageTable, missing_hosts};
///
/// let start = StoreInstant::from_millis(0);
/// assert!(missing_hosts(&UsageTable::default(), 7, start, &[]).is_empty());
/// ```
pub fn missing_hosts(
    table: &UsageTable,
    window: u64,
    start: StoreInstant,
    hosts: &[HostEntry],
) -> Vec<String> {
    let records = hosts.iter().map(|entry| &entry.record);
    let may_have_sent = records.filter(|record| record.until > start);
    let is_missing =
        |record: &&HostRecord| !table.is_final(window, &record.host, record.incarnation);
    may_have_sent.filter(is_missing).map(|record| record.host.clone()).collect()
}

/// Key of the row of a window's report.
///
/// ```
/// use tanagerdeal_core::ledger::usage::report_slot;
///
/// assert_eq!(report_slot(3), "03");
/// ```
pub fn report_slot(window: u64) -> String {
    format!("{:02}", window % REPORT_SLOTS)
}

/// Time after the end of a window at which its total is fixed at the latest, when its report is due
/// after `lateness`.
///
/// ```
/// use std::time::Duration;
/// use tanagerdeal_core::ledger::usage::fix_limit;
///
/// assert!(fix_limit(Duration::from_secs(10)) < Duration::from_secs(10));
/// ```
pub fn fix_limit(lateness: Duration) -> Duration {
    lateness * FIX_PERCENT / 100
}
