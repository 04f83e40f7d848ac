//! Signals, settings and the end of the process.

use std::process::Command;

use googletest::prelude::*;

use crate::support::{SiteDeployment, until, until_done};

/// Guards against requests that a shutdown cuts: readiness fails at once, an open transaction ends,
/// and the process ends by itself.
#[tokio::test]
async fn a_shutdown_lets_an_open_transaction_end() {
    let mut site = SiteDeployment::start(1).await;
    let mut client = site.session(0, "current").await;
    let mut idle = site.session(0, "current").await;
    until_done(&mut client, "READ item").await;
    client.query("BEGIN").await;
    client.query("WRITE item one").await;
    site.hosts[0].signal("TERM");
    until("it is not ready", async || !site.hosts[0].is_ready().await).await;
    assert_that!(client.query("COMMIT").await.failure, none());
    assert_that!(site.group.commits("item", "one"), eq(1));
    assert_that!(idle.is_closed().await, eq(true));
    assert_that!(client.is_closed().await, eq(true));
    assert_that!(site.hosts[0].ended().await.success(), eq(true));
    let log = site.hosts[0].log();
    assert_that!(log, contains_substring(r#""event":"stopped""#));
}

/// Guards against a changed settings file that goes unnoticed.
#[tokio::test]
async fn a_hangup_reads_the_settings_again() {
    let site = SiteDeployment::start(1).await;
    site.hosts[0].signal("HUP");
    until("the reload is logged", async || site.hosts[0].log().contains("reloaded")).await;
    let mut client = site.session(0, "current").await;
    until_done(&mut client, "READ item").await;
}

/// Guards against a process that starts with wrong settings.
#[gtest]
fn wrong_settings_are_named() {
    let directory = tempfile::TempDir::new().unwrap();
    let file = directory.path().join("host.ini");
    std::fs::write(&file, "[host]\nname = h1\ndomain = d1\ndomains = d1\n[listen]\ncallers = x\n")
        .unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_tanagerdeal"))
        .args(["serve", "--check", "--config"])
        .arg(&file)
        .output()
        .unwrap();
    expect_that!(output.status.code(), some(eq(2)));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    expect_that!(text, contains_substring("[listen] callers"));
}
