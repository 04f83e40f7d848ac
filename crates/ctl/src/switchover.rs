//! Planned change of a group's primary.

use std::time::Duration;

use clap::ArgMatches;
use tanagerdeal_wire::record::RecordKind;
use tokio::time::{Instant, sleep};

use crate::context::ToolContext;
use crate::error::ToolError;
use crate::fleet;
use crate::print::print_line;
use crate::record::put_state;

/// Pause between two looks at the group.
const POLL_PAUSE: Duration = Duration::from_millis(100);

/// Moves the primary away from its present endpoint.
///
/// The endpoint is marked as leaving, which makes the hosts move the primary in order; it serves
/// again, as a replica, once another endpoint is the primary or the wait has ended.
pub async fn move_primary(context: &ToolContext, arguments: &ArgMatches) -> Result<(), ToolError> {
    let group = arguments.get_one::<String>("group").map_or("", String::as_str);
    let before = primary_of(context, group)
        .await?
        .ok_or_else(|| ToolError::Missing(format!("primary of group {group:?}")))?;
    put_state(context, RecordKind::Endpoint, &before, "leaving").await?;
    let after = wait_for_other(context, group, &before).await;
    put_state(context, RecordKind::Endpoint, &before, "serving").await?;
    print_line(format_args!("group {group}: primary moved from {before} to {}", after?));
    Ok(())
}

async fn wait_for_other(
    context: &ToolContext,
    group: &str,
    before: &str,
) -> Result<String, ToolError> {
    let deadline = context.deadline();
    loop {
        match primary_of(context, group).await? {
            Some(primary) if primary != before => return Ok(primary),
            _ if Instant::now() >= deadline => {
                return Err(ToolError::TimedOut(format!(
                    "group {group}: primary is still {before}"
                )));
            }
            _ => sleep(POLL_PAUSE).await,
        }
    }
}

/// The primary of the highest term that any host reports.
async fn primary_of(context: &ToolContext, group: &str) -> Result<Option<String>, ToolError> {
    let (reports, _) = fleet::reports(context).await?;
    let groups =
        reports.iter().flat_map(|report| report["groups"].as_array().into_iter().flatten());
    let newest = groups
        .filter(|candidate| candidate["group"] == *group)
        .max_by_key(|candidate| candidate["term"].as_u64());
    Ok(newest.and_then(|found| found["primary"].as_str()).map(str::to_owned))
}
