//! Latency of commits by the way in which they are confirmed, over the lag of replicas.

use std::error::Error;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde_json::{Value, json};
use tanagerdeal_platform::change::merge_fields;
use tanagerdeal_wire::platform::{TableWrite, TxnRequest};
use tanagerdeal_wire::record::{RecordKind, record_key};
use tanagerdeal_wire::wire_type;
use tokio::task::JoinSet;

use super::session::connect;
use crate::deployment::{Deployment, DeploymentPlan, wait_until};

/// Lags of receipt by the replicas in milliseconds.
const LAGS_MS: [u64; 3] = [0, 100, 600];

/// Sessions that commit at once.
const SESSIONS: usize = 4;

/// Commits of each session.
const COMMITS: usize = 25;

/// Ways of confirming: name, wait for a second member in milliseconds, durability of the route.
const WAYS: [(&str, u64, &str); 3] =
    [("term", 0, "term"), ("term and wait", 400, "term"), ("replicated", 400, "replicated")];

wire_type! {
    /// Latency of commits under one way of confirming and one lag.
    pub struct CommitCost {
        /// Way of confirming.
        pub way: String,
        /// Lag of receipt by the replicas in milliseconds.
        pub lag_ms: u64,
        /// Commits that were acknowledged.
        pub acknowledged: u64,
        /// Commits that were not.
        pub failed: u64,
        /// Median latency in microseconds.
        pub p50_us: u64,
        /// 99th percentile of the latency in microseconds.
        pub p99_us: u64,
    }
}

/// Runs commits through one host of a small deployment with delayed links.
///
/// # Errors
///
/// Fails when the deployment does not start or a record cannot be changed.
pub async fn measure_commits() -> Result<Vec<CommitCost>, Box<dyn Error>> {
    let plan = DeploymentPlan { relayed: true, service_ms: 0, ..DeploymentPlan::small() };
    let mut deployment = Deployment::start(plan).await?;
    deployment.start_hosts().await?;
    let address = deployment.hosts().next().ok_or("no host")?.caller;
    let mut costs = Vec::new();
    for lag_ms in LAGS_MS {
        set_lag(&deployment, lag_ms).await?;
        for (number, (way, wait_ms, durability)) in WAYS.into_iter().enumerate() {
            let wait = json!({"replication_wait_ms": wait_ms});
            change(&deployment, RecordKind::Configuration, "fleet", &wait).await?;
            let durability = json!({"durability": durability});
            change(&deployment, RecordKind::Route, "catalogue", &durability).await?;
            let prefix = format!("{lag_ms}-{number}");
            costs.push(run_commits(address, &prefix, way, lag_ms).await?);
        }
    }
    Ok(costs)
}

async fn set_lag(deployment: &Deployment, lag_ms: u64) -> Result<(), Box<dyn Error>> {
    for member in deployment.members() {
        member.control.post("/control/faults", &json!({"receive_lag_ms": lag_ms})).await?;
    }
    Ok(())
}

/// Lays fields over a record and waits until all hosts have it in effect.
async fn change(
    deployment: &Deployment,
    kind: RecordKind,
    name: &str,
    fields: &Value,
) -> Result<(), Box<dyn Error>> {
    let operator = deployment.operator()?;
    let key = record_key(kind, name);
    let stored = operator.read(&key).await?.and_then(|entry| entry.value);
    let value = Some(merge_fields(stored.as_ref(), fields));
    let txn = TxnRequest { checks: Vec::new(), writes: vec![TableWrite { key, value }] };
    let revision = operator.transact(&txn).await?;
    wait_until("the change is in effect", async || {
        for host in deployment.hosts() {
            let status: Value = host.admin.get("/status").await?;
            if status["revision"].as_u64() < Some(revision) {
                return Ok(false);
            }
        }
        Ok(true)
    })
    .await?;
    Ok(())
}

async fn run_commits(
    address: SocketAddr,
    prefix: &str,
    way: &str,
    lag_ms: u64,
) -> Result<CommitCost, Box<dyn Error>> {
    let mut tasks = JoinSet::new();
    for session in 0..SESSIONS {
        let client = connect(address).await?;
        let prefix = format!("{prefix}-{session}");
        tasks.spawn(async move {
            let mut latencies = Vec::new();
            for number in 0..COMMITS {
                let text = format!("INSERT INTO items VALUES ('{prefix}-{number}', 1, 'w')");
                let started_at = Instant::now();
                let is_done = client.simple_query(&text).await.is_ok();
                latencies.push((is_done, started_at.elapsed()));
            }
            latencies
        });
    }
    let latencies: Vec<(bool, Duration)> = tasks.join_all().await.into_iter().flatten().collect();
    let mut histogram = Histogram::<u64>::new(3)?;
    for (_, took) in latencies.iter().filter(|(is_done, _)| *is_done) {
        histogram.record(u64::try_from(took.as_micros())?)?;
    }
    let acknowledged = histogram.len();
    Ok(CommitCost {
        way: way.to_owned(),
        lag_ms,
        acknowledged,
        failed: latencies.len() as u64 - acknowledged,
        p50_us: histogram.value_at_quantile(0.5),
        p99_us: histogram.value_at_quantile(0.99),
    })
}
