//! The duty of reporting usage to the platform: fixes the total of each window and sends it.

use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use tanagerdeal_adapter::control::CallOutcome;
use tanagerdeal_adapter::store::{RowName, RowTransaction, StoreRow, TransactionOutcome};
use tanagerdeal_core::ledger::clock::{BootInstant, StoreInstant};
use tanagerdeal_core::ledger::usage::{
    ReportStep, UsageReport, UsageTable, WindowClock, domain_prefix, fix_limit, missing_hosts,
    plan_report, report_slot,
};
use tokio::time::sleep;

use super::{USAGE_TABLE, decode_row, merge_row};
use crate::ledger::context::{HostContext, boot_now};
use crate::ledger::duty::{self, DutyClaim, USAGE_DUTY};
use crate::ledger::follow::{READ_TIMEOUT, encode};
use crate::ledger::journal;
use crate::ledger::lease::WRITE_TIMEOUT;
use crate::ledger::settings::UsageSettings;

/// Store table with the reports.
const REPORT_TABLE: &str = "usage_reports";
/// Interval between checks whether a report is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time after the end of a window in which its last totals usually reach the store.
const SETTLE_TIME: Duration = Duration::from_millis(2_500);
/// Pause before a window is looked at again.
const RETRY_INTERVAL: Duration = Duration::from_millis(1_200);
/// Pause after the platform has refused a report.
const REFUSED_PAUSE: Duration = Duration::from_secs(2);
/// Hosts that report when those before them do not, besides the first.
const STANDBY_HOSTS: u32 = 2;
/// Time that each of them waits longer than the one before it.
const STANDBY_DELAY: Duration = Duration::from_millis(800);
/// Time limit of a report. The duty lease is checked to outlast it before each call.
const REPORT_TIMEOUT: Duration = Duration::from_millis(900);
/// Time of the duty lease that must be left after a call.
const LEASE_RESERVE: Duration = Duration::from_millis(200);
/// Pause between tries to send a report.
const SEND_RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Windows behind the last one from which on the rows of the reports are read again.
const MAX_BEHIND: u64 = 3;
/// Ended windows that are reported at all.
const MAX_WINDOWS: u64 = 20;

/// What came of looking at a window.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum WindowResult {
    /// The platform has its report.
    Done,
    /// It has to be looked at again.
    Retry,
    /// The platform has refused the report.
    Refused,
}

/// A report in its row.
struct StoredReport {
    version: u64,
    report: Option<UsageReport>,
}

/// Reports usage while this host is first in the order of the duty, or one of its standbys, until
/// the process ends.
pub(in crate::ledger) async fn watch(host: Rc<HostContext>, settings: UsageSettings) {
    let mut next: Option<u64> = None;
    let mut retry_at = BootInstant::from_micros(0);
    loop {
        sleep(CHECK_INTERVAL).await;
        let Some((clock, rank, now)) = candidacy(&host) else { continue };
        let Some(last) = clock.window_at(now).checked_sub(1) else { continue };
        if boot_now() < retry_at {
            continue;
        }
        let window = match next {
            Some(window) if window + MAX_BEHIND > last => window,
            _ => match first_pending(&host, last).await {
                Some(window) => window,
                None => {
                    host.wait_for_store().await;
                    continue;
                }
            },
        };
        next = Some(window);
        let limit = fix_limit(settings.lateness);
        let wait = match rank {
            0 => SETTLE_TIME,
            rank => limit + STANDBY_DELAY * rank,
        };
        let end = clock.end_of(window);
        if window > last || now < end.after(wait) {
            continue;
        }
        let pending = PendingWindow { window, clock, is_late: now >= end.after(limit) };
        let result = pending.advance(&host).await;
        retry_at = match result {
            WindowResult::Done => {
                next = Some(window + 1);
                boot_now()
            }
            WindowResult::Retry => boot_now().after(RETRY_INTERVAL),
            WindowResult::Refused => boot_now().after(REFUSED_PAUSE),
        };
        if result == WindowResult::Done && now > end.after(settings.lateness) {
            host.metrics.usage_reports.with_label_values(&["late"]).inc();
        }
    }
}

/// The window clock, this host's rank for the duty and the store's clock; `None` if it does not
/// report now.
fn candidacy(host: &HostContext) -> Option<(WindowClock, u32, StoreInstant)> {
    let clock = host.usage.clock.get()?;
    let state = host.state.borrow();
    let store_clock = state.lease.clock().filter(|_| state.lease.is_valid(boot_now()))?;
    drop(state);
    let rank = crate::ledger::failover::rank(host, USAGE_DUTY);
    let is_candidate = rank <= STANDBY_HOSTS && !host.is_stopping();
    is_candidate.then(|| (clock, rank, store_clock.earliest(boot_now())))
}

/// The first window that has no accepted report. `None` if the store does not answer.
async fn first_pending(host: &HostContext, last: u64) -> Option<u64> {
    let page = host.store.read(REPORT_TABLE, READ_TIMEOUT).await;
    host.record_store_call("usage_report", &page);
    let reports: Vec<UsageReport> = page.ok()?.rows.iter().filter_map(decode_report).collect();
    let unsent = reports.iter().filter(|report| !report.is_sent).map(|report| report.window).min();
    let newest = reports.iter().map(|report| report.window + 1).max();
    // A fleet without reports begins with the window in which it started.
    let first = unsent.or(newest).unwrap_or(last);
    Some(first.max(last.saturating_sub(MAX_WINDOWS)))
}

fn decode_report(row: &StoreRow) -> Option<UsageReport> {
    let decoded = serde_json::from_slice(row.value.as_deref()?);
    let log = |error: &serde_json::Error| {
        let fields = json!({ "row": row.key, "reason": error.to_string() });
        journal::event("usage", "unreadable", fields);
    };
    decoded.inspect_err(log).ok()
}

/// A window whose report is due.
struct PendingWindow {
    window: u64,
    clock: WindowClock,
    /// Whether its total is fixed even if hosts are missing.
    is_late: bool,
}

impl PendingWindow {
    /// Fixes the total if that has not been done, and sends it.
    async fn advance(&self, host: &HostContext) -> WindowResult {
        let Some(stored) = self.read_report(host).await else { return WindowResult::Retry };
        let is_fixed = stored.report.as_ref().is_some_and(|report| report.window >= self.window);
        let table = match is_fixed {
            true => UsageTable::default(),
            false => match self.read_totals(host).await {
                Some(table) => table,
                None => return WindowResult::Retry,
            },
        };
        let missing = {
            let state = host.state.borrow();
            missing_hosts(&table, self.window, self.clock.start_of(self.window), &state.hosts)
        };
        let slot = stored.report.as_ref();
        match plan_report(slot, self.window, &table, missing, self.is_late) {
            ReportStep::Done => WindowResult::Done,
            ReportStep::Wait => WindowResult::Retry,
            ReportStep::Send(report) => match claim(host, None).await {
                Some((claim, _)) => send(host, &claim, stored.version, report).await,
                None => WindowResult::Retry,
            },
            // The row that says what was sent may be lost, and another total must not be sent.
            ReportStep::Fix(report)
                if host.state.borrow().may_lack_rows_since(self.clock.end_of(self.window)) =>
            {
                log_dropped(host, report.window);
                WindowResult::Done
            }
            ReportStep::Fix(report) => match claim(host, Some((&report, stored.version))).await {
                Some((claim, version)) => {
                    log_fixed(host, &report, slot);
                    send(host, &claim, version, report).await
                }
                None => WindowResult::Retry,
            },
        }
    }

    async fn read_report(&self, host: &HostContext) -> Option<StoredReport> {
        let slot = report_slot(self.window);
        let page = host.store.read_prefix(REPORT_TABLE, &slot, READ_TIMEOUT).await;
        host.record_store_call("usage_report", &page);
        let page = page.ok()?;
        let row = page.rows.iter().find(|row| row.key == slot);
        let version = row.map_or(0, |row| row.version);
        Some(StoredReport { version, report: row.and_then(decode_report) })
    }

    /// The totals of all failure domains; `None` if the store does not answer.
    async fn read_totals(&self, host: &HostContext) -> Option<UsageTable> {
        let prefix = domain_prefix(self.window);
        let page = host.store.read_prefix(USAGE_TABLE, &prefix, READ_TIMEOUT).await;
        host.record_store_call("usage_total", &page);
        let mut table = UsageTable::default();
        let rows = page.ok()?.rows.into_iter().filter_map(|row| decode_row(&row.value?));
        rows.filter(|row| row.window == self.window).for_each(|row| merge_row(&mut table, &row));
        Some(table)
    }
}

/// Acquires the duty lease and writes a report in the same transaction. Returns the lease and the
/// version of the written row; `None` if another host holds the duty or has changed the row.
async fn claim(
    host: &HostContext,
    report: Option<(&UsageReport, u64)>,
) -> Option<(DutyClaim, u64)> {
    let claim = duty::claim(host, USAGE_DUTY).await.ok()?;
    let (lease_row, lease_version, lease) = claim.entry()?;
    let mut transaction = RowTransaction {
        expected: vec![(lease_row, lease_version)],
        writes: vec![(lease_row, lease)],
    };
    let slot = report.map(|(report, _)| report_slot(report.window)).unwrap_or_default();
    if let Some((report, version)) = report {
        let name = RowName { table: REPORT_TABLE, key: &slot };
        transaction.expected.push((name, version));
        transaction.writes.push((name, encode(report)?));
    }
    let result = host.store.transact(&transaction, WRITE_TIMEOUT).await;
    host.record_store_call("usage_duty", &result);
    match result {
        Ok(TransactionOutcome::Applied { version, .. }) => Some((claim, version)),
        Ok(TransactionOutcome::Conflict(_)) | Err(_) => None,
    }
}

/// Logs a window without a report, which has to be billed by hand.
fn log_dropped(host: &HostContext, window: u64) {
    host.metrics.usage_reports.with_label_values(&["dropped"]).inc();
    journal::event("usage", "dropped", json!({ "window": window }));
}

fn log_fixed(host: &HostContext, report: &UsageReport, replaced: Option<&UsageReport>) {
    if let Some(lost) = replaced.filter(|replaced| !replaced.is_sent) {
        log_dropped(host, lost.window);
    }
    if !report.missing.is_empty() {
        host.metrics.usage_reports.with_label_values(&["incomplete"]).inc();
    }
    let total: u64 = report.counts.values().sum();
    journal::event(
        "usage",
        "fixed",
        json!({ "window": report.window, "requests": total, "missing": report.missing }),
    );
}

/// Sends a fixed report for as long as the duty lease lasts, and records that it was accepted.
async fn send(
    host: &HostContext,
    claim: &DutyClaim,
    version: u64,
    report: UsageReport,
) -> WindowResult {
    let window = report.window;
    while boot_now().after(REPORT_TIMEOUT + LEASE_RESERVE) < claim.until {
        let call =
            host.control.report_usage(window, &report.counts, claim.credential(), REPORT_TIMEOUT);
        let outcome = call.await;
        host.metrics.count_call("usage", &format!("{outcome:?}"));
        let fields = json!({ "window": window, "token": claim.token(),
                             "outcome": format!("{outcome:?}") });
        journal::event("usage", "report", fields);
        match outcome {
            CallOutcome::Accepted => {
                host.metrics.usage_reports.with_label_values(&["sent"]).inc();
                mark_sent(host, version, report).await;
                return WindowResult::Done;
            }
            CallOutcome::Refused(status) if !is_temporary(status) => {
                host.metrics.usage_reports.with_label_values(&["refused"]).inc();
                return WindowResult::Refused;
            }
            CallOutcome::Refused(_) | CallOutcome::Unknown => sleep(SEND_RETRY_PAUSE).await,
        }
    }
    WindowResult::Retry
}

/// Whether a refusal with an HTTP status says nothing about the report itself.
fn is_temporary(status: u16) -> bool {
    status == 429 || status >= 500
}

/// Records that a report was accepted. If that fails, another host may send the same report again,
/// which changes nothing.
async fn mark_sent(host: &HostContext, version: u64, mut report: UsageReport) {
    report.is_sent = true;
    let Some(value) = encode(&report) else { return };
    let slot = report_slot(report.window);
    let name = RowName { table: REPORT_TABLE, key: &slot };
    let transaction =
        RowTransaction { expected: vec![(name, version)], writes: vec![(name, value)] };
    let result = host.store.transact(&transaction, WRITE_TIMEOUT).await;
    host.record_store_call("usage_sent", &result);
}
