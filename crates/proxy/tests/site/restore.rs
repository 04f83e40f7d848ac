//! A store that was restored from a copy some seconds old.

use googletest::prelude::*;
use tanagerdeal_standin::configuration;
use tokio::time::sleep;

use crate::freshness::{APPLY_LIMIT, put_config, time_to_version};
use crate::support::{KEY, OTHER_KEY, SiteDeployment, until, until_done};

/// Guards against rows of a restored store that are ignored because their versions look old, or
/// known because the same number was given out before.
#[tokio::test]
async fn a_configuration_after_a_restoration_takes_effect() {
    let site = SiteDeployment::start(4).await;
    let backup = site.store.backup();
    for number in 2..4 {
        put_config(&site, number);
    }
    for host in 0..4 {
        time_to_version(&site, host, 3).await;
    }
    site.store.restore(&backup);
    // Its row gets a number that was given out before.
    put_config(&site, 5);
    for host in 0..4 {
        assert_that!(time_to_version(&site, host, 5).await, le(APPLY_LIMIT), "host {host}");
    }
    let mut client = site.session(0, "current").await;
    until_done(&mut client, "WRITE item one").await;
}

/// Guards against a configuration that goes back: the copy holds an older one, and the operator has
/// not written the newer one again yet.
#[tokio::test]
async fn an_older_configuration_of_a_copy_changes_nothing() {
    let site = SiteDeployment::start(1).await;
    let backup = site.store.backup();
    site.store.put("op", "config", &configuration(2, "g1", &[("acme", &[OTHER_KEY], 500)]));
    time_to_version(&site, 0, 2).await;
    site.store.restore(&backup);
    sleep(APPLY_LIMIT).await;
    let (_, reply) =
        tanagerdeal_standin::StandinClient::open(site.hosts[0].callers, "current", KEY)
            .await
            .unwrap();
    assert_that!(reply.failure, some(eq("NOAUTH")));
    assert_that!(site.hosts[0].log().contains("\"restored\""), eq(true));
}

/// Guards against a group that has no primary after the store has lost a change of primary: the
/// hosts write again what they know, and a later change takes place.
#[tokio::test]
async fn a_lost_change_of_primary_is_written_again() {
    let site = SiteDeployment::start(3).await;
    let primary = || {
        let row = site.store.row("groups", "g1").unwrap_or_default();
        row["primary"].as_str().unwrap_or_default().to_owned()
    };
    let mut client = site.session(1, "current").await;
    until_done(&mut client, "WRITE item one").await;
    let backup = site.store.backup();
    site.group.drain(0);
    until("the primary is replaced", async || primary() != "g1-0").await;
    let successor = primary();
    until_done(&mut client, "WRITE item two").await;
    site.store.restore(&backup);
    until("the change is written again", async || primary() == successor).await;
    until_done(&mut client, "WRITE item three").await;
    // No second change was needed for that.
    assert_that!(site.store.promotions().len(), eq(1));
}
