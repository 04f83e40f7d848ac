//! Watches whether the configuration is confirmed to be the newest one.
//!
//! Each renewal of the lease confirms it. Renewals may be late for many reasons, so the rows of the
//! operators are read when none has come in time. No wait of another task delays these reads.

use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use tanagerdeal_adapter::operator::OPERATOR_TABLE;
use tanagerdeal_core::ledger::clock::BootInstant;
use tanagerdeal_core::ledger::freshness::{first_read_at, read_interval};

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

/// Reads the configuration from the store whenever no renewal has confirmed it in time, until the
/// process ends.
pub(super) async fn watch_catalog(host: Rc<HostContext>) {
    loop {
        let deadline = host.state.borrow().catalog_deadline();
        let begin = first_read_at(deadline, host.settings.config_limit);
        match boot_now() < begin {
            true => sleep_until(begin).await,
            false => read_until_confirmed(&host, deadline).await,
        }
    }
}

/// Reads the configuration that counts as fresh until `deadline`, until a read or a renewal has
/// confirmed it.
async fn read_until_confirmed(host: &HostContext, deadline: BootInstant) {
    let is_confirmed = || host.state.borrow().catalog_deadline() > deadline;
    let mut is_reported = false;
    let mut failures = 0;
    while !is_confirmed() {
        let began_at = boot_now();
        if began_at >= deadline && !is_reported {
            is_reported = true;
            host.metrics.catalog_fresh.set(0);
            report(host, "unconfirmed", deadline);
        }
        let interval = read_interval(host.settings.config_limit, failures);
        let read = MirrorRead { store_limit: Some(interval), ..CATALOG_READ };
        if !mirror::update_alone(host, read).await {
            failures += 1;
            report_failure(began_at, failures);
            sleep_until(began_at.after(interval)).await;
        }
    }
    if is_reported {
        report(host, "confirmed", deadline);
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

fn report_failure(began_at: BootInstant, failures: u32) {
    let took_ms = boot_now().since(began_at).as_millis() as u64;
    journal::event("catalog", "unread", json!({ "took_ms": took_ms, "failures": failures }));
}
