//! Usage reports of hosts as processes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use googletest::prelude::*;
use tanagerdeal_standin::UsageCall;
use tokio::time::sleep;

use crate::support::{SiteDeployment, until};

/// Windows of 2 s whose reports are due 8 s after their end.
const SETTINGS: &str = "[duties]\nusage_window_s = 2\nusage_late_s = 8\n";
const STATEMENTS: usize = 60;

/// Reports by window; fails if two of a window differ, or tokens decrease or are shared.
fn reports(calls: &[UsageCall]) -> BTreeMap<u64, BTreeMap<String, u64>> {
    let mut reports = BTreeMap::new();
    for call in calls {
        let first = reports.entry(call.window).or_insert_with(|| call.counts.clone());
        assert_eq!(*first, call.counts, "window {}: {calls:#?}", call.window);
    }
    for pair in calls.windows(2) {
        assert!(pair[0].token <= pair[1].token, "{calls:#?}");
        let is_shared = pair[0].token == pair[1].token && pair[0].holder != pair[1].holder;
        assert!(!is_shared, "{calls:#?}");
    }
    reports
}

/// Sum of all reports for the customer of the tests.
fn reported(site: &SiteDeployment) -> u64 {
    reports(&site.store.usage_calls()).values().filter_map(|counts| counts.get("acme")).sum()
}

/// Runs statements and transactions at each host; returns how many operations succeeded.
async fn work(site: &SiteDeployment, hosts: &[usize]) -> u64 {
    let mut done = 0;
    for host in hosts {
        let mut client = site.session(*host, "current").await;
        for number in 0..STATEMENTS {
            let is_transaction = number % 3 == 0;
            if is_transaction && client.query("BEGIN").await.failure.is_some() {
                continue;
            }
            let mut is_done = client.query(&format!("READ {number}")).await.failure.is_none();
            if is_transaction {
                is_done &= client.query("READ 1").await.failure.is_none();
                client.query("ROLLBACK").await;
            }
            done += u64::from(is_done);
            sleep(Duration::from_millis(20)).await;
        }
    }
    done
}

/// Guards against requests that are left out, counted twice or counted for each statement of a
/// transaction.
#[tokio::test]
async fn each_operation_is_reported_once() {
    let site = SiteDeployment::start_with(4, SETTINGS).await;
    let done = work(&site, &[0, 1, 3]).await;
    until("all operations are reported", async || reported(&site) >= done).await;
    // The windows that follow hold nothing more.
    sleep(Duration::from_secs(4)).await;
    assert_that!(reported(&site), eq(done));
}

/// Guards against a window without a report, or with two, when the host that reports is killed.
#[tokio::test]
async fn a_standby_goes_on_when_the_reporting_host_is_killed() {
    let mut site = SiteDeployment::start_with(4, SETTINGS).await;
    until("a report", async || !site.store.usage_calls().is_empty()).await;
    let holder = site.store.usage_calls()[0].holder.clone();
    let killed: usize = holder[1..].parse().unwrap();
    let working = (0..4).find(|host| *host != killed).unwrap();
    site.hosts[killed].kill();
    let done = work(&site, &[working]).await;
    until("all operations are reported", async || reported(&site) >= done).await;
    let calls = site.store.usage_calls();
    assert_that!(calls.last().unwrap().holder, not(eq(&holder)));
    let windows: BTreeSet<u64> = reports(&calls).into_keys().collect();
    let (first, last) = (windows.first().unwrap(), windows.last().unwrap());
    assert_that!(windows.len() as u64, eq(last - first + 1), "no window is left out");
    assert_that!(reported(&site), eq(done));
}

/// Guards against a report that differs from the one that was sent before all hosts were killed.
#[tokio::test]
async fn reports_stay_equal_when_all_hosts_are_killed() {
    let mut site = SiteDeployment::start_with(3, SETTINGS).await;
    work(&site, &[0]).await;
    until("a report", async || !site.store.usage_calls().is_empty()).await;
    site.hosts.iter_mut().for_each(|host| host.kill());
    site.hosts.iter_mut().for_each(|host| host.restart());
    for host in &site.hosts {
        host.wait_ready().await;
    }
    let before = site.store.usage_calls().len();
    until("reports go on", async || site.store.usage_calls().len() > before + 2).await;
    reports(&site.store.usage_calls());
}
