//! Load generator: callers of several customers over several hosts, with a history of each request.

mod arrival;
mod caller;
mod connection;
mod plan;
mod report;

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use tokio::sync::Mutex;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::task::JoinSet;

pub use plan::{CustomerLoad, HostTarget, LoadPlan, RequestMix, SurgePlan};
pub(crate) use report::tag_of;
pub use report::{CustomerReport, LoadReport};

use arrival::{Arrival, generate_arrivals};
use caller::{CallerTask, item_name};
use connection::CallerConnection;

use crate::history::{HistoryLine, LineWriter};

/// Attempts to write the items of a customer before the run.
const SEED_ATTEMPTS: u32 = 20;

/// Pause between these attempts.
const SEED_PAUSE: Duration = Duration::from_millis(250);

/// Why a run failed.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// A file could not be written.
    #[error("history: {0}")]
    File(#[from] io::Error),
    /// The items of a customer could not be written before the run.
    #[error("items of customer {customer}: {reason}")]
    Seed {
        /// The customer.
        customer: String,
        /// The last refusal.
        reason: String,
    },
}

/// Writes the customers' items, runs the load and writes the history.
///
/// # Errors
///
/// Fails when the items cannot be written through any host, or the history not to its file.
///
/// ```no_run
/// use std::path::Path;
///
/// use tanagerdeal_testbed::load::{LoadError, LoadPlan, run_load};
///
/// async fn example(plan: LoadPlan) -> Result<(), LoadError> {
///     run_load(plan, Path::new("history.jsonl")).await
/// }
/// ```
pub async fn run_load(plan: LoadPlan, history: &Path) -> Result<(), LoadError> {
    for customer in &plan.customers {
        seed_items(&plan, customer).await?;
    }
    // A read that accepts an age may show the items as absent until they are as old as that.
    tokio::time::sleep(Duration::from_millis(plan.max_age_ms.into()) + SEED_PAUSE).await;
    let plan = Arc::new(plan);
    let writer = LineWriter::create(history)?;
    let (lines, received) = mpsc::unbounded_channel();
    let written = tokio::spawn(write_history(writer, received));
    let mut tasks = JoinSet::new();
    let numbers = Arc::new(AtomicU64::new(1));
    for (index, customer) in plan.customers.iter().enumerate() {
        let (current, aged) = (mpsc::unbounded_channel(), mpsc::unbounded_channel());
        let process = index as u64 * 10_000 + 1;
        start_callers(&plan, customer, &plan.route, process, current.1, &lines, &mut tasks);
        let process = process + 5_000;
        start_callers(&plan, customer, &plan.aged_route, process, aged.1, &lines, &mut tasks);
        tasks.spawn(generate_arrivals(
            customer.clone(),
            plan.mix,
            Duration::from_millis(plan.duration_ms),
            plan.seed.wrapping_mul(31).wrapping_add(index as u64),
            numbers.clone(),
            [current.0, aged.0],
        ));
    }
    drop(lines);
    while let Some(ended) = tasks.join_next().await {
        ended.map_err(io::Error::other)?;
    }
    Ok(written.await.map_err(io::Error::other)??)
}

fn start_callers(
    plan: &Arc<LoadPlan>,
    customer: &CustomerLoad,
    route: &str,
    process: u64,
    arrivals: UnboundedReceiver<Arrival>,
    lines: &UnboundedSender<HistoryLine>,
    tasks: &mut JoinSet<()>,
) {
    let queue = Arc::new(Mutex::new(arrivals));
    for number in 0..u64::from(customer.sessions) {
        let process = process + number;
        let caller = CallerTask::new(plan.clone(), customer, route, process, lines.clone());
        tasks.spawn(caller.run(queue.clone()));
    }
}

async fn write_history(
    mut writer: LineWriter,
    mut lines: UnboundedReceiver<HistoryLine>,
) -> io::Result<()> {
    while let Some(line) = lines.recv().await {
        writer.append(&line)?;
    }
    writer.finish()
}

/// Inserts a customer's items through any host; rows that are there already are kept.
async fn seed_items(plan: &LoadPlan, customer: &CustomerLoad) -> Result<(), LoadError> {
    let names = (0..plan.items).map(|index| item_name(&customer.name, index));
    let values: Vec<String> = names.map(|name| format!("('{name}', 0, 'seed')")).collect();
    let insert = format!("INSERT INTO items VALUES {} ON CONFLICT DO NOTHING", values.join(", "));
    let mut reason = "no host".to_owned();
    for attempt in 0..SEED_ATTEMPTS {
        let host = &plan.hosts[attempt as usize % plan.hosts.len()];
        let opened =
            CallerConnection::open(host, customer, &plan.route, plan.deadline_ms, None).await;
        let inserted = match opened {
            Ok(connection) => connection.simple(&insert).await,
            Err(failure) => Err(failure),
        };
        match inserted {
            Ok(_) => return Ok(()),
            Err(failure) => reason = format!("{} on {}", failure.message, host.name),
        }
        tokio::time::sleep(SEED_PAUSE).await;
    }
    Err(LoadError::Seed { customer: customer.name.clone(), reason })
}
