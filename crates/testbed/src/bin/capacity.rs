//! Measures the cost of control over several sizes and prints one line of JSON per fleet.

use std::error::Error;
use std::process::{Command, ExitCode};

use serde::Serialize;
use tanagerdeal_testbed::capacity::{CapacityCase, measure_commits, measure_sessions, run_case};

/// A fleet of today's size; each series changes one number of it.
const TODAY: CapacityCase =
    CapacityCase { domains: 3, hosts: 9, groups: 3, customers: 8, changes: 0 };

/// A fleet with the failure domains of the target size.
const WIDE: CapacityCase =
    CapacityCase { domains: 11, hosts: 55, groups: 3, customers: 8, changes: 0 };

/// A fleet in which each group is watched by some hosts only.
const SHARED: CapacityCase =
    CapacityCase { domains: 3, hosts: 30, groups: 30, customers: 8, changes: 0 };

/// Without an argument, runs every fleet in a process of its own, so that memory is counted from
/// the same start; with a number, runs that fleet only; with `sessions`, measures one host process;
/// with `commits`, the ways of confirming commits.
fn main() -> ExitCode {
    let cases = cases();
    let Some(argument) = std::env::args().nth(1) else {
        return run_all(cases.len());
    };
    match argument.as_str() {
        "sessions" => return run_async(async { Ok(vec![measure_sessions().await?]) }),
        "commits" => return run_async(measure_commits()),
        _ => {}
    }
    let case = argument.parse().ok().and_then(|number: usize| cases.get(number));
    match case.map(|case| serde_json::to_string(&run_case(case))) {
        Some(Ok(line)) => {
            println!("{line}");
            ExitCode::SUCCESS
        }
        Some(Err(error)) => fail(&error.to_string()),
        None => fail(&format!("{argument:?} is not a number below {}", cases.len())),
    }
}

/// Runs a measurement and prints one line of JSON per result.
fn run_async<T: Serialize>(
    measurement: impl Future<Output = Result<Vec<T>, Box<dyn Error>>>,
) -> ExitCode {
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return fail(&error.to_string()),
    };
    let results = match runtime.block_on(measurement) {
        Ok(results) => results,
        Err(error) => return fail(&error.to_string()),
    };
    for result in &results {
        match serde_json::to_string(result) {
            Ok(line) => println!("{line}"),
            Err(error) => return fail(&error.to_string()),
        }
    }
    ExitCode::SUCCESS
}

fn run_all(count: usize) -> ExitCode {
    for number in 0..count {
        let child = std::env::current_exe()
            .and_then(|program| Command::new(program).arg(number.to_string()).status());
        match child {
            Ok(status) if status.success() => {}
            Ok(status) => return fail(&format!("fleet {number}: {status}")),
            Err(error) => return fail(&error.to_string()),
        }
    }
    ExitCode::SUCCESS
}

fn fail(reason: &str) -> ExitCode {
    eprintln!("capacity: {reason}");
    ExitCode::FAILURE
}

fn cases() -> Vec<CapacityCase> {
    let mut cases = vec![TODAY];
    cases.extend([22, 55, 110, 220, 440].map(|hosts| CapacityCase { hosts, ..WIDE }));
    cases.extend([30, 100, 300].map(|groups| CapacityCase { groups, ..TODAY }));
    cases.extend([30, 100, 300].map(|groups| CapacityCase { groups, ..SHARED }));
    cases.extend([80, 400, 1_600].map(|customers| CapacityCase { customers, ..TODAY }));
    cases.extend([5, 20, 80].map(|changes| CapacityCase { changes, ..WIDE }));
    cases
}
