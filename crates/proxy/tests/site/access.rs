//! Keys, routes and rates.

use googletest::prelude::*;
use tanagerdeal_standin::{StandinClient, StandinGroup, configuration};

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

/// Writes a version without the route of the database `current`, and waits until it is in effect.
async fn remove_route(site: &SiteDeployment, version: u64, customers: &[(&str, &[&str], u32)]) {
    let mut changed = configuration(version, "g1", customers);
    changed["routes"].as_array_mut().unwrap().retain(|route| route["host"] != "current");
    put_configuration(site, version, &changed).await;
}

async fn put_configuration(site: &SiteDeployment, version: u64, changed: &serde_json::Value) {
    site.store.put("op", "config", changed);
    let line = format!("catalog_version {version}");
    let is_known = async || site.hosts[0].page("/metrics").await.1.contains(&line);
    until("the version is in effect", is_known).await;
}

/// Guards against a transaction that runs for no customer: its route was removed before its first
/// statement, and the client was identified anew by a configuration without the route.
#[tokio::test]
async fn a_transaction_whose_route_is_removed_keeps_its_customer() {
    let site = SiteDeployment::start(1).await;
    let mut client = site.session(0, "current").await;
    until_done(&mut client, "READ item").await;
    assert_that!(client.query("BEGIN").await.state, eq("T"));
    remove_route(&site, 2, &[("acme", &[KEY], 500)]).await;
    assert_that!(client.query("WRITE item one").await.failure, none());
    assert_that!(client.query("COMMIT").await.failure, none());
    assert_that!(site.group.commits("item", "one"), eq(1));
    for run in site.group.runs() {
        assert_that!(run.customer.as_str(), eq("acme"));
    }
    assert_that!(client.query("READ item").await.failure, some(eq("NODB")));
}

/// Guards against a withdrawn key that goes on working in a transaction whose route is gone.
#[tokio::test]
async fn a_key_that_is_withdrawn_with_its_route_ends_the_transaction() {
    let site = SiteDeployment::start(1).await;
    let mut client = site.session(0, "current").await;
    until_done(&mut client, "READ item").await;
    client.query("BEGIN").await;
    remove_route(&site, 2, &[("acme", &[OTHER_KEY], 500)]).await;
    assert_that!(client.query("WRITE item one").await.failure, some(eq("NOAUTH")));
    assert_that!(client.is_closed().await, eq(true));
    assert_that!(site.group.runs(), len(eq(1)));
}

/// Guards against a transaction that runs for a customer who no longer holds the client's key, or
/// for two customers in turn. What it has written is rolled back.
#[tokio::test]
async fn a_key_that_moves_to_another_customer_ends_the_transaction() {
    let site = SiteDeployment::start(1).await;
    let mut client = site.session(0, "current").await;
    until_done(&mut client, "READ item").await;
    client.query("BEGIN").await;
    assert_that!(client.query("WRITE item one").await.failure, none());
    let customers: [(&str, &[&str], u32); 2] = [("acme", &[OTHER_KEY], 500), ("beta", &[KEY], 500)];
    put_configuration(&site, 2, &configuration(2, "g1", &customers)).await;
    let ran = site.group.runs().len();
    assert_that!(client.query("COMMIT").await.failure, some(eq("ABORTED")));
    assert_that!(client.is_closed().await, eq(true));
    assert_that!(site.group.runs(), len(eq(ran)));
    assert_that!(site.group.commits("item", "one"), eq(0));
    until_done(&mut site.session(0, "current").await, "WRITE item two").await;
    assert_that!(site.group.runs().last().unwrap().customer.as_str(), eq("beta"));
}

/// Guards against a session whose database moves to another group, and whose reads are refused
/// until it ends: they required a position of the former group's log.
#[tokio::test]
async fn a_session_whose_route_leads_to_another_group_is_served() {
    let site = SiteDeployment::start(1).await;
    let _other = StandinGroup::start(&site.store, "g2", &["d1", "d2", "d3"]).await.unwrap();
    let mut client = site.session(0, "session").await;
    for number in 0..5 {
        until_done(&mut client, &format!("WRITE item {number}")).await;
    }
    let mut changed = configuration(2, "g2", &[("acme", &[KEY], 500)]);
    put_configuration(&site, 2, &changed).await;
    until_done(&mut site.session(0, "session").await, "WRITE other one").await;
    for _ in 0..10 {
        assert_that!(client.query("READ item").await.rows, elements_are![eq("none")]);
    }
    // The write that the session has made before still counts when its database is back.
    site.group.hold(1, true);
    changed = configuration(3, "g1", &[("acme", &[KEY], 500)]);
    put_configuration(&site, 3, &changed).await;
    assert_that!(until_done(&mut client, "READ item").await.rows, elements_are![eq("4")]);
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

/// Clients that ask for more than a customer's rate. A client alone may be slow enough to get each
/// token after a wait, without a refusal.
const RATE_CLIENTS: usize = 8;

/// Guards against more operations than a customer's rate, asked of two hosts at once.
#[tokio::test]
async fn a_rate_holds_over_all_hosts() {
    let site = SiteDeployment::start(2).await;
    site.store.put("op", "config", &configuration(2, "g1", &[("acme", &[KEY], 20)]));
    tokio::time::sleep(std::time::Duration::from_secs(4)).await;
    let began = std::time::Instant::now();
    let clients = (0..RATE_CLIENTS).map(async |index| {
        let mut client = site.session(index % 2, "current").await;
        let (mut done, mut refused) = (0, 0);
        while began.elapsed() < std::time::Duration::from_secs(2) {
            match client.query("READ item").await.failure.as_deref() {
                None => done += 1,
                Some(failure) => {
                    assert_that!(failure, eq("BUSY"));
                    refused += 1;
                }
            }
        }
        (done, refused)
    });
    let counts = futures::future::join_all(clients).await;
    let done: usize = counts.iter().map(|(done, _)| done).sum();
    let refused: usize = counts.iter().map(|(_, refused)| refused).sum();
    let limit = (20.0 * began.elapsed().as_secs_f64() + 20.0) as usize;
    assert_that!(done, le(limit));
    assert_that!(done, ge(20));
    assert_that!(refused, ge(1));
}
