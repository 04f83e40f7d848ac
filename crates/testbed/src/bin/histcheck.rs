//! Checker of a run's files; exits with 1 when a guarantee was violated.

use std::error::Error;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use serde::de::DeserializeOwned;
use tanagerdeal_testbed::check::{RULES, RunFiles, RunRecord};
use tanagerdeal_testbed::history::read_lines;

fn main() -> Result<ExitCode, Box<dyn Error>> {
    let files = |name: &'static str| {
        Arg::new(name).long(name).action(ArgAction::Append).value_parser(value_parser!(PathBuf))
    };
    let matches = Command::new("histcheck")
        .arg(files("history").required(true))
        .arg(files("executions"))
        .arg(files("operators"))
        .arg(files("observations"))
        .get_matches();
    let files = RunFiles {
        history: read_all(&matches, "history")?,
        executions: read_all(&matches, "executions")?,
        operators: read_all(&matches, "operators")?,
        observations: read_all(&matches, "observations")?,
    };
    let record = RunRecord::new(&files);
    println!("{} attempts, {} executions", record.attempts(), files.executions.len());
    let mut failed = false;
    for rule in &RULES {
        let violations = rule.violations(&record);
        println!("guarantee {} {}: {} violations", rule.guarantee, rule.name, violations.len());
        for violation in violations.iter().take(10) {
            println!("  {}", violation.text);
        }
        failed |= !violations.is_empty();
    }
    Ok(ExitCode::from(u8::from(failed)))
}

fn read_all<T: DeserializeOwned>(matches: &ArgMatches, name: &str) -> std::io::Result<Vec<T>> {
    let mut lines = Vec::new();
    for path in matches.get_many::<PathBuf>(name).into_iter().flatten() {
        lines.extend(read_lines::<T>(path)?);
    }
    Ok(lines)
}
