//! Latency and throughput through one host against a direct connection to the same member.

use std::error::Error;
use std::fmt;
use std::time::{Duration, Instant};

use tanagerdeal_testbed::deployment::{Deployment, DeploymentPlan};
use tanagerdeal_wire::wire_type;
use tokio_postgres::{Client, Config, NoTls};

use crate::options::MeasureOptions;

type DirectError = Box<dyn Error + Send + Sync>;

/// Alternations between the direct connection and the host.
const ROUNDS: usize = 4;

/// Connections at moderate load and at full load.
const LOADS: [usize; 2] = [2, 12];

/// Connections that the member takes.
const DIRECT_CONNECTIONS: u32 = 100;

/// Statement that all connections repeat.
const STATEMENT: &str = "SELECT item, amount FROM items WHERE item = 'sleeper'";

wire_type! {
    /// Statements at one number of connections.
    #[derive(Default)]
    pub struct PathReport {
        pub connections: usize,
        /// Latencies in microseconds, direct and through the host: percentiles 50 and 99.
        pub latency_us: [[u64; 2]; 2],
        /// Statements answered, direct and through the host, in the same time.
        pub answered: [usize; 2],
    }

    /// Comparison of the two paths.
    pub struct DirectReport {
        pub service_ms: u32,
        pub loads: Vec<PathReport>,
    }
}

/// Runs the same closed loop over both paths in turn.
pub async fn compare(options: &MeasureOptions) -> Result<DirectReport, DirectError> {
    let mut plan = DeploymentPlan { hosts: 1, groups: 1, ..options.deployment_plan() };
    plan.relayed = false;
    // Both paths are open at the same time.
    plan.connections = DIRECT_CONNECTIONS;
    plan.policies = vec![("reads".to_owned(), "primary".to_owned())];
    for customer in &mut plan.customers {
        (customer.record.rate_per_s, customer.record.burst) = (100_000, 100_000);
    }
    let mut deployment = Deployment::start(plan).await?;
    deployment.start_hosts().await?;
    let group = deployment.plan().group_names().remove(0);
    let primary = deployment.primary_of(&group).await.ok_or("no primary")?;
    let client = deployment.connect_member(&primary).await?;
    client.batch_execute("INSERT INTO items VALUES ('sleeper', 40, 'w1')").await?;
    let round = Duration::from_millis(options.duration_ms / ROUNDS as u64);
    let mut report = DirectReport { service_ms: options.service_ms, loads: Vec::new() };
    for connections in LOADS {
        let mut samples = [Vec::new(), Vec::new()];
        for round_number in 0..ROUNDS * 2 {
            let through_host = round_number % 2;
            let mut clients = Vec::new();
            for _ in 0..connections {
                clients.push(match through_host {
                    0 => deployment.connect_member(&primary).await?,
                    _ => connect_host(&deployment).await?,
                });
            }
            samples[through_host].extend(closed_loop(clients, round).await?);
        }
        report.loads.push(PathReport {
            connections,
            answered: [samples[0].len(), samples[1].len()],
            latency_us: samples.map(percentiles),
        });
    }
    Ok(report)
}

async fn connect_host(deployment: &Deployment) -> Result<Client, DirectError> {
    let host = deployment.hosts().next().ok_or("no host")?.caller;
    let (plan, mut config) = (deployment.plan(), Config::new());
    let customer = &plan.customers[0].name;
    config.host(host.ip().to_string()).port(host.port()).dbname(&plan.routes[0].name);
    config.user(customer).password(deployment.password(customer));
    let (client, connection) = config.connect(NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

/// Repeats the statement on each connection and returns the latencies in microseconds.
async fn closed_loop(clients: Vec<Client>, length: Duration) -> Result<Vec<u64>, DirectError> {
    let until = Instant::now() + length;
    let repeat = |client: Client| async move {
        let mut latencies = Vec::new();
        while Instant::now() < until {
            let start = Instant::now();
            client.simple_query(STATEMENT).await?;
            latencies.push(start.elapsed().as_micros() as u64);
        }
        Ok::<_, tokio_postgres::Error>(latencies)
    };
    let tasks: Vec<_> = clients.into_iter().map(|client| tokio::spawn(repeat(client))).collect();
    let mut all = Vec::new();
    for task in tasks {
        all.extend(task.await??);
    }
    Ok(all)
}

fn percentiles(mut latencies: Vec<u64>) -> [u64; 2] {
    latencies.sort_unstable();
    let at = |percent: usize| latencies.get(latencies.len() * percent / 100).copied();
    [50, 99].map(|percent| at(percent).unwrap_or(0))
}

impl fmt::Display for DirectReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "direct against one host, statements {} ms", self.service_ms)?;
        for load in &self.loads {
            let [direct, host] = load.latency_us;
            let p50 = host[0] as f64 / direct[0].max(1) as f64;
            let rate = load.answered[1] as f64 / load.answered[0].max(1) as f64;
            writeln!(
                formatter,
                "{} connections: p50 us {} direct {} host ({p50:.2} times), p99 us {} and {}, statements {:?} ({rate:.2} times)",
                load.connections, direct[0], host[0], direct[1], host[1], load.answered
            )?;
        }
        Ok(())
    }
}
