//! Memory and processor time of one host over its sessions and statements.

use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use rustix::param::clock_ticks_per_second;
use tanagerdeal_wire::wire_type;
use tokio::task::JoinSet;
use tokio_postgres::{Client, Config, NoTls};

use super::resident_kb;
use crate::deployment::{Deployment, DeploymentPlan};

/// Numbers of idle sessions at which memory is read.
const SESSION_STEPS: [usize; 4] = [0, 500, 1_000, 2_000];

/// Connections that are opened at once.
const OPENED_AT_ONCE: usize = 50;

/// Sessions that run statements at once.
const BUSY_SESSIONS: usize = 8;

/// Statements of each of these sessions.
const STATEMENTS: usize = 500;

/// Time after which the memory of new sessions is taken to be settled.
const SETTLE: Duration = Duration::from_millis(500);

wire_type! {
    /// Cost of one host over its sessions and statements.
    pub struct SessionCost {
        /// Idle sessions and resident memory in KB.
        pub memory_kb: Vec<(usize, u64)>,
        /// Processor time of the host in milliseconds while idle, for a second.
        pub idle_ms_per_s: u64,
        /// Statements run.
        pub statements: usize,
        /// Processor time of the host in microseconds for a statement.
        pub statement_us: u64,
    }
}

/// Opens sessions on one host of a small deployment, runs statements and reads the host's memory and
/// processor time.
///
/// # Errors
///
/// Fails when the deployment does not start or a statement fails.
pub async fn measure_sessions() -> Result<SessionCost, Box<dyn Error>> {
    let plan = DeploymentPlan { service_ms: 0, ..DeploymentPlan::small() };
    let mut deployment = Deployment::start(plan).await?;
    deployment.start_hosts().await?;
    let host = deployment.hosts().next().ok_or("no host")?;
    let (process, address) = (deployment.process_id(&host.name)?, host.caller);
    let idle_from = processor_ms(process)?;
    tokio::time::sleep(Duration::from_secs(5)).await;
    let idle_ms_per_s = (processor_ms(process)? - idle_from) / 5;
    let busy_from = processor_ms(process)?;
    run_statements(address).await?;
    let busy_ms = processor_ms(process)? - busy_from;
    let statements = BUSY_SESSIONS * STATEMENTS;
    let memory_kb = open_sessions(process, address).await?;
    let statement_us = busy_ms * 1_000 / statements as u64;
    Ok(SessionCost { memory_kb, idle_ms_per_s, statements, statement_us })
}

async fn open_sessions(
    process: u32,
    address: SocketAddr,
) -> Result<Vec<(usize, u64)>, Box<dyn Error>> {
    let mut clients = Vec::new();
    let mut steps = Vec::new();
    for count in SESSION_STEPS {
        while clients.len() < count {
            let missing = (count - clients.len()).min(OPENED_AT_ONCE);
            let opening = (0..missing).map(|_| connect(address));
            for client in futures::future::join_all(opening).await {
                clients.push(client?);
            }
        }
        tokio::time::sleep(SETTLE).await;
        steps.push((count, resident_kb(&process.to_string())));
    }
    Ok(steps)
}

async fn run_statements(address: SocketAddr) -> Result<(), Box<dyn Error>> {
    let mut tasks = JoinSet::new();
    for _ in 0..BUSY_SESSIONS {
        let client = connect(address).await?;
        tasks.spawn(async move {
            for _ in 0..STATEMENTS {
                client.simple_query("SELECT item FROM items WHERE item = 'x'").await?;
            }
            Ok::<(), tokio_postgres::Error>(())
        });
    }
    while let Some(ended) = tasks.join_next().await {
        ended??;
    }
    Ok(())
}

/// Connects by the route that is open to all, which has no rate.
pub(super) async fn connect(address: SocketAddr) -> Result<Client, tokio_postgres::Error> {
    let mut config = Config::new();
    config.host(address.ip().to_string()).port(address.port()).user("anyone").dbname("catalogue");
    let (client, connection) = config.connect(NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

/// User and system time of a process.
fn processor_ms(process: u32) -> Result<u64, Box<dyn Error>> {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat"))?;
    // The name in parentheses may hold spaces; after it, user and system time are fields 12 and 13.
    let fields = stat.rsplit(')').next().ok_or("no fields")?;
    let ticks = fields.split_whitespace().skip(11).take(2).map(str::parse::<u64>);
    let total = ticks.sum::<Result<u64, _>>()?;
    Ok(total * 1_000 / clock_ticks_per_second())
}
