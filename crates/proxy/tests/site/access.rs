//! Keys, routes and rates.

use googletest::prelude::*;
use tanagerdeal_standin::{StandinClient, configuration};

use crate::support::{KEY, OTHER_KEY, SiteDeployment, until, until_done};

/// Guards against clients without a valid key, and against databases that do not exist.
#[tokio::test]
async fn strangers_are_turned_away() {
    let site = SiteDeployment::start(1).await;
    let host = site.hosts[0].callers;
    let refused = async |database: &str, key: &str| {
        StandinClient::open(host, database, key).await.unwrap().1.failure
    };
    assert_that!(refused("current", "wrong").await, some(eq("NOAUTH")));
    assert_that!(refused("current", "").await, some(eq("NOAUTH")));
    assert_that!(refused("nowhere", KEY).await, some(eq("NODB")));
}

/// Guards against a withdrawn key that goes on working on an open connection.
#[tokio::test]
async fn a_withdrawn_key_stops_on_an_open_connection() {
    let site = SiteDeployment::start(1).await;
    let mut client = site.session(0, "current").await;
    until_done(&mut client, "READ item").await;
    site.store.put("op", "config", &configuration(2, "g1", &[("acme", &[OTHER_KEY], 500)]));
    let mut failure = None;
    for _ in 0..200 {
        failure = client.query("READ item").await.failure;
        if failure.is_some() {
            break;
        }
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    assert_that!(failure, some(eq("NOAUTH")));
    assert_that!(client.is_closed().await, eq(true));
}

/// Guards against a configuration that goes back to an older version.
#[tokio::test]
async fn an_older_configuration_changes_nothing() {
    let site = SiteDeployment::start(1).await;
    site.store.put("op", "config", &configuration(5, "g1", &[("acme", &[OTHER_KEY], 500)]));
    let host = site.hosts[0].callers;
    let is_known = async |key: &str| {
        StandinClient::open(host, "current", key).await.unwrap().1.failure.is_none()
    };
    until("the key is withdrawn", async || !is_known(KEY).await).await;
    site.store.put("op", "config", &configuration(3, "g1", &[("acme", &[KEY], 500)]));
    site.store.put("op", "config", &configuration(6, "g1", &[("acme", &[OTHER_KEY, "new"], 500)]));
    until("the newest version is in effect", async || is_known("new").await).await;
    assert_that!(is_known(KEY).await, eq(false));
}

/// Guards against endpoints that see a key.
#[tokio::test]
async fn endpoints_see_the_customer_and_no_key() {
    let site = SiteDeployment::start(1).await;
    let mut client = site.session(0, "current").await;
    until_done(&mut client, "WRITE item one").await;
    for run in site.group.runs() {
        assert_that!(run.customer.as_str(), eq("acme"));
        assert_that!(format!("{run:?}"), not(contains_substring("MARKED")));
    }
}

/// Guards against more operations than a customer's rate, asked of two hosts at once.
#[tokio::test]
async fn a_rate_holds_over_all_hosts() {
    let site = SiteDeployment::start(2).await;
    site.store.put("op", "config", &configuration(2, "g1", &[("acme", &[KEY], 20)]));
    tokio::time::sleep(std::time::Duration::from_secs(4)).await;
    let (mut left, mut right) =
        (site.session(0, "current").await, site.session(1, "current").await);
    let began = std::time::Instant::now();
    let mut done = 0;
    let mut refused = 0;
    while began.elapsed() < std::time::Duration::from_secs(2) {
        for client in [&mut left, &mut right] {
            match client.query("READ item").await.failure.as_deref() {
                None => done += 1,
                Some(failure) => {
                    assert_that!(failure, eq("BUSY"));
                    refused += 1;
                }
            }
        }
    }
    let limit = (20.0 * began.elapsed().as_secs_f64() + 20.0) as usize;
    assert_that!(done, le(limit));
    assert_that!(done, ge(20));
    assert_that!(refused, ge(1));
}
