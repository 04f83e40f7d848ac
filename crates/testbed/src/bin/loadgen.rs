//! Load generator; reads its plan from a JSON file and writes a history and a report.

use std::error::Error;
use std::fs;
use std::path::PathBuf;

use clap::{Arg, ArgAction, Command, value_parser};
use tanagerdeal_testbed::history::read_lines;
use tanagerdeal_testbed::load::{LoadPlan, LoadReport, run_load};
use tanagerdeal_testbed::member::Execution;

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let path = |name: &'static str| Arg::new(name).long(name).value_parser(value_parser!(PathBuf));
    let matches = Command::new("loadgen")
        .arg(path("plan").required(true))
        .arg(path("history").required(true))
        .arg(path("executions").action(ArgAction::Append))
        .arg(path("report"))
        .get_matches();
    let file = |name: &str| matches.get_one::<PathBuf>(name).expect("the argument is required");
    let plan: LoadPlan = serde_json::from_slice(&fs::read(file("plan"))?)?;
    let history = file("history");
    run_load(plan, history).await?;
    let mut executions: Vec<Execution> = Vec::new();
    for path in matches.get_many::<PathBuf>("executions").into_iter().flatten() {
        executions.extend(read_lines::<Execution>(path)?);
    }
    let report = LoadReport::new(&read_lines(history)?, &executions);
    print!("{report}");
    if let Some(path) = matches.get_one::<PathBuf>("report") {
        fs::write(path, serde_json::to_vec_pretty(&report)?)?;
    }
    Ok(())
}
