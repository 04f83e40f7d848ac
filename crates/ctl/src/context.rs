//! What every command needs: the platform, the actor and the output format.

use std::time::Duration;

use clap::ArgMatches;
use ini::Ini;
use tanagerdeal_platform::PlatformClient;
use tanagerdeal_platform::change::{ChangeOutcome, RecordChange};
use tokio::time::Instant;

use crate::command::PLATFORM_VARIABLE;
use crate::error::ToolError;
use crate::fleet;
use crate::print::print_change;

/// Timeout of one call of the platform.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Settings of one run of the tool.
pub struct ToolContext {
    /// The platform.
    pub client: PlatformClient,
    /// Who makes a change.
    pub actor: String,
    /// Whether output is JSON.
    pub json: bool,
    wait: Duration,
}

impl ToolContext {
    /// Reads the global arguments; the address comes from `--platform`, the environment or the file.
    pub fn from_arguments(matches: &ArgMatches) -> Result<Self, ToolError> {
        let address = platform_address(matches)?;
        let actor = matches
            .get_one::<String>("actor")
            .cloned()
            .or_else(|| std::env::var("USER").ok())
            .unwrap_or_else(|| "unknown".to_owned());
        let wait = matches.get_one::<u64>("wait-ms").copied().unwrap_or(5_000);
        Ok(Self {
            client: PlatformClient::new(&address, "operator", "operator", CALL_TIMEOUT, None)?,
            actor,
            json: matches.get_flag("json"),
            wait: Duration::from_millis(wait),
        })
    }

    /// When a wait that begins now ends.
    pub fn deadline(&self) -> Instant {
        Instant::now() + self.wait
    }

    /// Makes a change, waits until it is in effect on at least one host, and prints the outcome.
    pub async fn submit(&self, change: &RecordChange) -> Result<u64, ToolError> {
        let outcome = change.submit(&self.client, self.deadline()).await?;
        let revision = match outcome {
            ChangeOutcome::Accepted(revision) | ChangeOutcome::Repeated(revision) => revision,
            ChangeOutcome::Conflict(found) => {
                let (key, expected) = (change.key.clone(), change.expected);
                return Err(ToolError::Conflict { key, expected, found });
            }
        };
        let reach = fleet::wait_in_effect(self, revision).await;
        print_change(self.json, change, &outcome, &reach);
        match reach.in_effect {
            0 => Err(ToolError::NotInEffect(revision)),
            _ => Ok(revision),
        }
    }
}

fn platform_address(matches: &ArgMatches) -> Result<String, ToolError> {
    match (matches.get_one::<String>("platform"), matches.get_one::<String>("config")) {
        (Some(address), _) => Ok(address.clone()),
        (None, Some(file)) => address_in_file(file),
        (None, None) => std::env::var(PLATFORM_VARIABLE).map_err(|_| {
            ToolError::Usage(format!("--platform, --config or {PLATFORM_VARIABLE} is required"))
        }),
    }
}

fn address_in_file(file: &str) -> Result<String, ToolError> {
    let settings =
        Ini::load_from_file(file).map_err(|error| ToolError::Usage(format!("{file}: {error}")))?;
    let address = settings.get_from(Some("platform"), "address").map(str::to_owned);
    address
        .ok_or_else(|| ToolError::Usage(format!("{file}: [platform]: key \"address\" is missing")))
}
