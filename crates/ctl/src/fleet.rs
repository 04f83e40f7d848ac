//! State of the fleet, read from the admin listeners of the hosts.

use std::time::Duration;

use serde_json::{Value, json};
use tanagerdeal_wire::value_type;
use tokio::time::{Instant, sleep};

use crate::context::ToolContext;
use crate::error::ToolError;
use crate::print::print_line;

/// Timeout of one status request.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause between two looks at the fleet.
const POLL_PAUSE: Duration = Duration::from_millis(100);

value_type! {
    /// On how many hosts a revision is in effect.
    pub struct FleetReach {
        /// Hosts that have it.
        pub in_effect: usize,
        /// Hosts in the platform's list.
        pub listed: usize,
    }
}

/// Status reports of all listed hosts that answer, and the number of listed hosts.
pub async fn reports(context: &ToolContext) -> Result<(Vec<Value>, usize), ToolError> {
    let list = context.client.hosts().await?;
    let http = reqwest::Client::builder()
        .timeout(STATUS_TIMEOUT)
        .no_proxy()
        .build()
        .map_err(|error| ToolError::Usage(error.to_string()))?;
    let mut tasks = tokio::task::JoinSet::new();
    for entry in &list.hosts {
        let request = http.get(format!("http://{}/status", entry.admin_address));
        tasks.spawn(async move { request.send().await.ok()?.json::<Value>().await.ok() });
    }
    let reports = tasks.join_all().await.into_iter().flatten().collect();
    Ok((reports, list.hosts.len()))
}

/// Waits until all listed hosts have a revision in effect, or the wait ends.
pub async fn wait_in_effect(context: &ToolContext, revision: u64) -> FleetReach {
    let deadline = context.deadline();
    loop {
        let reach = match reports(context).await {
            Ok((reports, listed)) => {
                let has_revision = |report: &&Value| report["revision"].as_u64() >= Some(revision);
                FleetReach { in_effect: reports.iter().filter(has_revision).count(), listed }
            }
            Err(_) => FleetReach { in_effect: 0, listed: 0 },
        };
        let is_everywhere = reach.listed > 0 && reach.in_effect == reach.listed;
        if is_everywhere || Instant::now() >= deadline {
            return reach;
        }
        sleep(POLL_PAUSE).await;
    }
}

/// Prints the state of hosts, groups and limits.
pub async fn status(context: &ToolContext) -> Result<(), ToolError> {
    let (reports, listed) = reports(context).await?;
    if context.json {
        print_line(format_args!("{}", json!({ "listed": listed, "hosts": reports })));
        return Ok(());
    }
    print_line(format_args!("{} of {listed} listed hosts answered", reports.len()));
    for report in &reports {
        print_line(format_args!(
            "host {} domain {} revision {} catalog_age_ms {} keyed {} ready {}",
            text(&report["host"]),
            text(&report["domain"]),
            report["revision"],
            report["catalog_age_ms"],
            report["serving_keyed"],
            report["ready"],
        ));
        print_names("  record not understood:", &report["unknown_records"]);
    }
    if let Some(report) = reports.iter().max_by_key(|report| report["revision"].as_u64()) {
        print_groups(report);
        print_limits(&reports);
    }
    Ok(())
}

fn print_groups(report: &Value) {
    for group in report["groups"].as_array().into_iter().flatten() {
        print_line(format_args!(
            "group {} term {} primary {}",
            text(&group["group"]),
            group["term"],
            text(&group["primary"]),
        ));
        for member in group["members"].as_array().into_iter().flatten() {
            print_line(format_args!(
                "  endpoint {} {} applied {}",
                text(&member["endpoint"]),
                text(&member["state"]),
                member["applied"],
            ));
        }
    }
}

fn print_limits(reports: &[Value]) {
    for report in reports {
        for limit in report["limits"].as_array().into_iter().flatten() {
            print_line(format_args!(
                "limit {} on {}: share {} millionths, {} sessions",
                text(&limit["customer"]),
                text(&report["host"]),
                limit["share"],
                limit["sessions"],
            ));
        }
    }
}

fn print_names(label: &str, names: &Value) {
    for name in names.as_array().into_iter().flatten() {
        print_line(format_args!("{label} {}", text(name)));
    }
}

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or("-")
}
