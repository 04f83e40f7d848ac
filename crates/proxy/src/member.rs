//! Calls of the member API on behalf of the core.

use std::net::IpAddr;
use std::time::{Duration, Instant};

use reqwest::{Client, RequestBuilder};
use serde::de::DeserializeOwned;
use tanagerdeal_core::message::HostInput;
use tanagerdeal_core::message::fleet::{MemberEvent, TermCommand};
use tanagerdeal_wire::member::{MemberStatus, TermReply};
use tokio::sync::mpsc::UnboundedReceiver;

use crate::driver::{DriverHandle, MemberTask};

/// Timeout of a probe; half the default suspicion time, so that two probes fit into it.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of a fence, promote or follow command.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Why the client of the member API could not be made.
#[derive(Debug, thiserror::Error)]
#[error("client of the member API: {0}")]
pub struct MemberError(#[from] reqwest::Error);

/// Carries out the core's calls of the member API until the driver stops; connections come from
/// `source` where it is given.
///
/// # Errors
///
/// Fails when the HTTP client cannot be made.
pub async fn run(
    handle: DriverHandle,
    mut tasks: UnboundedReceiver<MemberTask>,
    source: Option<IpAddr>,
) -> Result<(), MemberError> {
    let http = Client::builder().no_proxy().tcp_nodelay(true).local_address(source).build()?;
    while let Some(task) = tasks.recv().await {
        let (handle, http) = (handle.clone(), http.clone());
        tokio::spawn(async move {
            let event = call(&http, task).await;
            handle.notify(HostInput::Member(event));
        });
    }
    Ok(())
}

async fn call(http: &Client, task: MemberTask) -> MemberEvent {
    let MemberTask { endpoint, api_address, command } = task;
    let url = |path: &str| format!("http://{api_address}/v1/{path}");
    let Some(command) = command else {
        let asked_at = Instant::now();
        let request = http.get(url("status")).timeout(PROBE_TIMEOUT);
        return match fetch::<MemberStatus>(request).await {
            Some(status) => MemberEvent::Answered { endpoint, asked_at, status },
            None => MemberEvent::Unreachable { endpoint, asked_at },
        };
    };
    let request = match &command {
        TermCommand::Fence(body) => http.post(url("fence")).json(body),
        TermCommand::Promote(body) => http.post(url("promote")).json(body),
        TermCommand::Follow(body) => http.post(url("follow")).json(body),
    };
    let reply = fetch::<TermReply>(request.timeout(COMMAND_TIMEOUT)).await;
    MemberEvent::Commanded { endpoint, command, reply }
}

/// Sends a request; nothing when there is no response that can be decoded.
async fn fetch<T: DeserializeOwned>(request: RequestBuilder) -> Option<T> {
    let response = request.send().await.and_then(|response| response.error_for_status());
    match response {
        Ok(response) => response.json().await.ok(),
        Err(error) => {
            log::debug!("endpoint: call of the member API failed: {error}");
            None
        }
    }
}
