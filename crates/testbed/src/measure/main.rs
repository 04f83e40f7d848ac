//! Runs a company's deployment under a scenario and reports the measures of the design page.

mod direct;
mod gap;
mod options;
mod phase;
mod report;
mod run;
mod script;

use std::error::Error;
use std::fs;

use options::{MeasureOptions, Scenario};
use report::MeasureReport;
use run::MeasuredRun;

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error + Send + Sync>> {
    let options = MeasureOptions::parse()?;
    let (text, json) = match options.scenario {
        Scenario::Direct => {
            let report = direct::compare(&options).await?;
            (report.to_string(), serde_json::to_vec_pretty(&report)?)
        }
        _ => {
            let run = MeasuredRun::execute(&options).await?;
            let report = MeasureReport::new(&options, &options.deployment_plan(), &run);
            (report.to_string(), serde_json::to_vec_pretty(&report)?)
        }
    };
    print!("{text}");
    if let Some(path) = &options.report {
        fs::write(path, json)?;
    }
    Ok(())
}
