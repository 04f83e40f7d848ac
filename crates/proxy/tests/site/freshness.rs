//! Configurations that take effect in time although calls to the store are not answered.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use serde_json::json;
use tanagerdeal_standin::{StoreFault, configuration};
use tokio::time::sleep;

use crate::support::{KEY, SiteDeployment, until};

/// Time in which a configuration has to be in force.
const APPLY_LIMIT: Duration = Duration::from_secs(3);

/// Writes a version of the configuration.
fn put_config(site: &SiteDeployment, number: u64) {
    site.store.put("op", "config", &configuration(number, "g1", &[("acme", &[KEY], 500)]));
}

/// Waits until a host has a version of the configuration, and returns how long that took.
async fn time_to_version(site: &SiteDeployment, host: usize, number: u64) -> Duration {
    let begin = Instant::now();
    let line = format!("tanagerdeal_catalog_version {number}");
    until("the configuration is in force", async || {
        site.hosts[host].page("/metrics").await.1.contains(&line)
    })
    .await;
    begin.elapsed()
}

/// Guards against a renewal that waits for a hanging feed of the groups, and with it everything
/// that a renewal would find out (mafundi-dsm, several-at-once, seeds 6 and 17).
#[tokio::test]
async fn a_hanging_feed_delays_no_configuration() {
    let site = SiteDeployment::start(1).await;
    site.store.set_fault(StoreFault::SilentFeeds);
    site.store.put("groups", "!epoch", &json!({}));
    // Until a renewal has met the other epoch.
    sleep(APPLY_LIMIT).await;
    put_config(&site, 2);
    assert_that!(time_to_version(&site, 0, 2).await, le(APPLY_LIMIT));
}
