//! Watches whether the configuration is confirmed to be the newest one.
//!
//! Each renewal of the lease confirms it. Renewals may be late for many reasons, so the rows of the
//! operators are read when none has come in time.

use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use tanagerdeal_adapter::operator::OPERATOR_TABLE;
use tanagerdeal_core::ledger::clock::BootInstant;

use super::context::{HostContext, boot_now, sleep_until};
use super::journal;
use super::mirror::{self, MirrorRead};

/// A read of the operators' rows that have changed.
const CATALOG_READ: MirrorRead = MirrorRead::now(OPERATOR_TABLE, "catalog", Duration::ZERO);

/// Records that the configuration was the newest one when a call was sent at `asked_at`.
pub(super) fn confirm_catalog(host: &HostContext, asked_at: BootInstant) {
    let mut state = host.state.borrow_mut();
    state.confirm_catalog(asked_at.after(host.settings.config_limit));
    host.metrics.catalog_fresh.set(i64::from(state.is_catalog_fresh(boot_now())));
}

/// Reads the configuration from the store whenever it was not confirmed in time, until the process
/// ends.
pub(super) async fn watch_catalog(host: Rc<HostContext>) {
    loop {
        let deadline = host.state.borrow().catalog_deadline();
        if boot_now() < deadline {
            sleep_until(deadline).await;
            continue;
        }
        host.metrics.catalog_fresh.set(0);
        report(&host, "unconfirmed", deadline);
        while !host.state.borrow().is_catalog_fresh(boot_now()) {
            let began_at = boot_now();
            if !mirror::update_from_store(&host, CATALOG_READ).await {
                let failed_at = boot_now();
                host.wait_for_store().await;
                report_failure(began_at, failed_at);
            }
        }
        report(&host, "confirmed", deadline);
    }
}

fn report(host: &HostContext, event: &str, deadline: BootInstant) {
    let overdue_ms = boot_now().since(deadline).as_millis() as u64;
    let (stage, began_at) = host.renewal_stage.get();
    let stage_ms = boot_now().since(began_at).as_millis() as u64;
    let fields = json!({ "overdue_ms": overdue_ms, "renewal": format!("{stage:?}"),
        "renewal_ms": stage_ms, "store": host.is_store_reachable() });
    journal::event("catalog", event, fields);
}

/// Logs a failed read and the pause after it, which ends now.
fn report_failure(began_at: BootInstant, failed_at: BootInstant) {
    let took_ms = failed_at.since(began_at).as_millis() as u64;
    let paused_ms = boot_now().since(failed_at).as_millis() as u64;
    journal::event("catalog", "unread", json!({ "took_ms": took_ms, "paused_ms": paused_ms }));
}
