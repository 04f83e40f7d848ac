//! One run of a scenario against processes on loopback.

use std::collections::BTreeMap;
use std::error::Error;
use std::fs;
use std::path::Path;
use std::time::Duration;

use serde_json::Value;
use tanagerdeal_testbed::check::RunFiles;
use tanagerdeal_testbed::clock::now_us;
use tanagerdeal_testbed::deployment::Deployment;
use tanagerdeal_testbed::history::read_lines;
use tanagerdeal_testbed::load::run_load;
use tokio::time::sleep;

use crate::options::{MeasureOptions, Scenario};
use crate::script::{RunEvent, ScenarioScript};

/// Time that the load generator takes to write its items, before it waits for the accepted age.
const SEEDING: Duration = Duration::from_millis(2_500);

type RunError = Box<dyn Error + Send + Sync>;

/// Everything that a run showed.
pub struct MeasuredRun {
    pub files: RunFiles,
    pub events: Vec<RunEvent>,
    /// Counters of the hosts that run at the end, added up.
    pub counters: BTreeMap<String, u64>,
}

impl MeasuredRun {
    /// Starts the deployment, runs load and scenario, and collects the files.
    pub async fn execute(options: &MeasureOptions) -> Result<Self, RunError> {
        let mut deployment = Deployment::start(options.deployment_plan()).await?;
        deployment.start_hosts().await?;
        let ports = deployment.open_client_ports().await?;
        let mut load = options.load_plan(&deployment);
        load.hosts.iter_mut().for_each(|host| host.address = ports[&host.name]);
        let mut script =
            ScenarioScript { options, deployment: &mut deployment, events: Vec::new() };
        script.prepare().await?;
        if options.scenario == Scenario::SurgeDomain {
            let gone = script.deployment.plan().domains[2].name.clone();
            load.hosts.retain(|host| !host.name.starts_with(&gone));
        }
        let observer = script.deployment.observe();
        let lead = SEEDING + Duration::from_millis(load.max_age_ms.into());
        let duration = Duration::from_millis(load.duration_ms);
        let history = script.deployment.directory().join("history.jsonl");
        let target = history.clone();
        let load = tokio::spawn(async move { run_load(load, &target).await });
        sleep(lead).await;
        let until_us = now_us() + duration.as_micros() as u64;
        script.play(until_us).await?;
        let events = script.events;
        load.await??;
        let counters = sum_counters(&deployment).await;
        let observations = observer.finish(&deployment).await?;
        if let Some(directory) = &options.logs {
            copy_files(deployment.directory(), directory)?;
        }
        let files = RunFiles {
            history: read_lines(&history)?,
            executions: deployment.executions()?,
            observations,
            ..RunFiles::default()
        };
        Ok(Self { files, events, counters })
    }
}

async fn sum_counters(deployment: &Deployment) -> BTreeMap<String, u64> {
    let mut sums = BTreeMap::new();
    for host in deployment.hosts() {
        let status: Value = host.admin.get("/status").await.unwrap_or_default();
        for (name, count) in status["counters"].as_object().into_iter().flatten() {
            *sums.entry(name.clone()).or_default() += count.as_u64().unwrap_or(0);
        }
    }
    sums.retain(|_, count| *count > 0);
    sums
}

fn copy_files(from: &Path, to: &Path) -> Result<(), RunError> {
    fs::create_dir_all(to)?;
    for entry in fs::read_dir(from)? {
        let entry = entry?;
        let name = entry.file_name().to_string_lossy().into_owned();
        if name.ends_with(".log") || name.ends_with(".jsonl") {
            fs::copy(entry.path(), to.join(name))?;
        }
    }
    Ok(())
}
