//! Starts a deployment for scripts, prints its addresses as one line of JSON and runs until its
//! standard input ends. The plan of a load run against it is written to its directory.

use std::error::Error;
use std::fs;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use serde_json::{Value, json};
use tanagerdeal_testbed::deployment::{Deployment, DeploymentPlan};
use tanagerdeal_testbed::load::LoadPlan;
use tokio::io::AsyncReadExt as _;

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let number = |name: &'static str, default: &'static str| {
        Arg::new(name).long(name).default_value(default).value_parser(value_parser!(u64))
    };
    let matches = Command::new("testbed-deployment")
        .arg(Arg::new("firm").long("firm").default_value("small").value_parser([
            "small",
            "kahikatea",
            "pamplemousses",
        ]))
        .arg(Arg::new("relayed").long("relayed").action(ArgAction::SetTrue))
        .arg(number("rate-percent", "80"))
        .arg(number("duration-ms", "10000"))
        .get_matches();
    let mut deployment = Deployment::start(plan(&matches)).await?;
    deployment.start_hosts().await?;
    let value = |name: &str| *matches.get_one::<u64>(name).expect("the argument has a default");
    let load = LoadPlan::for_deployment(&deployment, value("rate-percent"), value("duration-ms"));
    let load_file = deployment.directory().join("load.json");
    fs::write(&load_file, serde_json::to_vec_pretty(&load)?)?;
    println!("{}", describe(&deployment));
    let mut input = Vec::new();
    tokio::io::stdin().read_to_end(&mut input).await?;
    Ok(())
}

fn plan(matches: &ArgMatches) -> DeploymentPlan {
    let plan = match matches.get_one::<String>("firm").map(String::as_str) {
        Some("kahikatea") => DeploymentPlan::kahikatea(),
        Some("pamplemousses") => DeploymentPlan::pamplemousses(),
        _ => DeploymentPlan::small(),
    };
    DeploymentPlan { relayed: matches.get_flag("relayed"), ..plan }
}

fn describe(deployment: &Deployment) -> Value {
    let hosts = deployment.hosts().map(|host| {
        json!({
            "name": host.name, "domain": host.domain, "callers": host.caller,
            "admin": host.admin.address(),
        })
    });
    let members = deployment.members().map(|member| {
        json!({
            "name": member.name, "domain": member.domain, "sql": member.sql,
            "api": member.control.address(),
        })
    });
    json!({
        "directory": deployment.directory(),
        "platform": deployment.platform().address(),
        "relay": deployment.relay().address(),
        "hosts": hosts.collect::<Vec<_>>(),
        "members": members.collect::<Vec<_>>(),
    })
}
