//! Fetching and applying the primary's log.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use reqwest::Client;
use tanagerdeal_wire::member::LogPosition;

use super::Member;
use super::log::LogPage;
use super::state::FollowedPrimary;

/// Longest wait for an answer of the primary.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause after a failed fetch, and while there is nobody to follow.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Interval at which received entries are checked for being due.
const APPLY_INTERVAL: Duration = Duration::from_millis(2);

/// Fetches the log of the primary that the member follows, for the life of the process.
///
/// Requests come from the member's own address, by which relays tell its failure domain.
pub(super) async fn fetch_log(member: Arc<Member>, source: IpAddr) {
    let client = match Client::builder().local_address(source).build() {
        Ok(client) => client,
        Err(error) => {
            log::error!("member: no client for the primary's log: {error}");
            return;
        }
    };
    loop {
        let (followed, position) = {
            let data = member.lock();
            let followed = data.followed.clone().filter(|_| !data.faults.freeze_replication);
            (followed, data.log.position(data.log.last_offset()))
        };
        let page = match &followed {
            Some(primary) => fetch_page(&member, &client, primary, position).await,
            None => None,
        };
        match (followed, page) {
            (Some(primary), Some(page)) => {
                let lag = member.lock().faults.receive_lag_ms;
                tokio::time::sleep(Duration::from_millis(lag)).await;
                member.lock().receive(Instant::now(), &primary, page);
            }
            _ => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
}

async fn fetch_page(
    member: &Member,
    client: &Client,
    primary: &FollowedPrimary,
    position: LogPosition,
) -> Option<LogPage> {
    let (name, domain) = {
        let data = member.lock();
        (data.identity.name.to_string(), data.identity.domain.to_string())
    };
    let request = client
        .get(format!("http://{}/v1/log", primary.api))
        .query(&[("after", position.offset), ("term", position.term)])
        .header("x-host", name)
        .header("x-domain", domain)
        .timeout(FETCH_TIMEOUT);
    let response = request.send().await.ok()?.error_for_status().ok()?;
    response.json().await.ok()
}

/// Applies received entries when they are due, for the life of the process.
pub(super) async fn apply_log(member: Arc<Member>) {
    let mut interval = tokio::time::interval(APPLY_INTERVAL);
    loop {
        interval.tick().await;
        let mut data = member.lock();
        if !data.faults.freeze_replication {
            data.apply_received(Instant::now());
        }
    }
}
