//! The pools of endpoint connections.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use googletest::prelude::*;
use slotmap::SlotMap;
use tanagerdeal::driver::LimitTask;
use tanagerdeal::endpoint::{EndpointLogin, PoolError, PoolSet};
use tanagerdeal_core::message::EndpointKey;
use tanagerdeal_wire::EndpointName;

use crate::support::endpoint::{SERVICE_PASSWORD, listen};
use crate::support::script::{EndpointScript, GroupLog};

const WAIT: Duration = Duration::from_secs(20);

struct PoolTest {
    script: Arc<EndpointScript>,
    pools: PoolSet,
    key: EndpointKey,
    address: String,
}

impl PoolTest {
    async fn new(limit: u32) -> Self {
        let log = Arc::new(Mutex::new(GroupLog::default()));
        let script = EndpointScript::new("m1", true, log);
        let address = listen(script.clone()).await.to_string();
        let login = EndpointLogin {
            user: "service".to_owned(),
            password: SERVICE_PASSWORD.to_owned(),
            database: "postgres".to_owned(),
            source: None,
        };
        let pools = PoolSet::new(login, 1 << 20, WAIT);
        let key = SlotMap::<EndpointKey, ()>::with_key().insert(());
        let test = Self { script, pools, key, address };
        test.limit(limit, Duration::ZERO);
        test
    }

    fn limit(&self, limit: u32, until: Duration) {
        self.pools.limit(&LimitTask {
            endpoint: self.key,
            name: EndpointName::new("m1").unwrap(),
            sql_address: self.address.clone(),
            limit,
            close_by: Instant::now() + until,
        });
    }

    async fn take(
        &self,
        wait: Duration,
    ) -> std::result::Result<tanagerdeal::endpoint::ConnectionLease, PoolError> {
        self.pools.take(self.key, &self.address, Instant::now() + wait).await
    }
}

/// Guards against more connections than the endpoint's share, and against a waiter that is never
/// served.
#[tokio::test(flavor = "multi_thread")]
async fn the_cap_holds_under_load() {
    let test = Arc::new(PoolTest::new(3).await);
    let mut tasks = Vec::new();
    for _ in 0..30 {
        let test = test.clone();
        tasks.push(tokio::spawn(async move {
            for _ in 0..10 {
                let mut lease = test.take(WAIT).await.unwrap();
                lease.connection().run("SELECT 1").await.unwrap();
                lease.give_back();
            }
        }));
    }
    for task in tasks {
        task.await.unwrap();
    }
    assert_eq!(test.script.opened(), 3);
    assert_eq!(test.pools.counts(), (3, 3));
}

/// Guards against a cap that is lost when a holder or a waiter is dropped.
#[tokio::test(flavor = "multi_thread")]
async fn dropped_leases_and_waiters_free_their_place() {
    let test = PoolTest::new(1).await;
    let lease = test.take(WAIT).await.unwrap();
    let short = test.take(Duration::from_millis(20)).await;
    assert!(matches!(short, Err(PoolError::Exhausted)));
    drop(lease);
    let lease = test.take(WAIT).await.unwrap();
    lease.give_back();
    assert_eq!(test.pools.counts(), (1, 1));
}

/// Guards against connections above a cap that was lowered: idle ones close at once, busy ones are
/// recalled.
#[tokio::test(flavor = "multi_thread")]
async fn a_lower_cap_closes_connections() {
    let test = PoolTest::new(3).await;
    let mut first = test.take(WAIT).await.unwrap();
    let second = test.take(WAIT).await.unwrap();
    second.give_back();
    test.limit(0, Duration::from_millis(50));
    assert_eq!(test.pools.counts(), (1, 0));
    assert!(first.read().await.is_none(), "a busy connection was not recalled");
    drop(first);
    assert_eq!(test.pools.counts(), (0, 0));
    let script = test.script.clone();
    crate::support::eventually("all connections close", || script.open() == 0).await;
}

/// Guards against a connection that was being opened when the cap was lowered and then stays above
/// it.
#[tokio::test(flavor = "multi_thread")]
async fn a_lower_cap_reaches_connections_that_are_being_opened() {
    let test = PoolTest::new(1).await;
    let (lease, ()) = tokio::join!(test.take(WAIT), async { test.limit(0, Duration::ZERO) });
    let mut lease = lease.unwrap();
    assert!(lease.read().await.is_none(), "the connection was not recalled");
    drop(lease);
    assert_eq!(test.pools.counts(), (0, 0));
}

/// Guards against the reuse of a connection on which something arrived after its last reply.
#[tokio::test(flavor = "multi_thread")]
async fn a_connection_with_unexpected_bytes_is_not_reused() {
    let test = PoolTest::new(1).await;
    test.script.fail_next("with_extra", crate::support::script::Fault::Extra);
    let mut lease = test.take(WAIT).await.unwrap();
    lease.connection().run("SELECT with_extra").await.unwrap();
    lease.give_back();
    let mut lease = test.take(WAIT).await.unwrap();
    let reply = lease.connection().run("SELECT 'mine'").await.unwrap();
    assert_eq!(reply.value.as_deref(), Some("SELECT 'mine'"));
    assert_that!(test.script.opened(), eq(2));
}

/// Guards against endpoints that cannot be used because they do not take a password in clear text.
#[tokio::test(flavor = "multi_thread")]
async fn endpoints_may_ask_for_scram() {
    let test = PoolTest::new(1).await;
    test.script.use_scram();
    let mut lease = test.take(WAIT).await.unwrap();
    let reply = lease.connection().run("SELECT 'scram'").await.unwrap();
    assert_eq!(reply.value.as_deref(), Some("SELECT 'scram'"));
    lease.give_back();
    let found = test
        .script
        .received()
        .windows(SERVICE_PASSWORD.len())
        .any(|part| part == SERVICE_PASSWORD.as_bytes());
    assert!(!found, "the password was sent");
}
