//! Stand-in for a database member; prints the bound addresses as one line of JSON.

use std::error::Error;
use std::path::PathBuf;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};
use serde_json::json;
use tanagerdeal_testbed::control::{end_with_input, end_with_input_flag};
use tanagerdeal_testbed::member::{MemberIdentity, MemberOptions, start};
use tanagerdeal_wire::{DomainName, EndpointName, GroupName};

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let matches = command().get_matches();
    end_with_input(&matches);
    let addresses = start(options(&matches)?, text(&matches, "sql"), text(&matches, "api")).await?;
    println!("{}", json!({"sql": addresses.sql.to_string(), "api": addresses.api.to_string()}));
    std::future::pending().await
}

fn command() -> Command {
    let required = |name: &'static str| Arg::new(name).long(name).required(true);
    let number = |name: &'static str, default: &'static str| {
        Arg::new(name).long(name).default_value(default).value_parser(value_parser!(u32))
    };
    Command::new("standin-member")
        .arg(end_with_input_flag())
        .arg(required("group"))
        .arg(required("name"))
        .arg(required("domain"))
        .arg(required("service-password-file"))
        .arg(Arg::new("execution-file").long("execution-file"))
        .arg(Arg::new("sql").long("sql").default_value("127.0.0.1:0"))
        .arg(Arg::new("api").long("api").default_value("127.0.0.1:0"))
        .arg(number("slots", "3"))
        .arg(number("connections", "20"))
        .arg(number("connect-ms", "10"))
        .arg(number("service-ms", "2"))
        .arg(Arg::new("primary-of-term").long("primary-of-term").value_parser(value_parser!(u64)))
}

fn options(matches: &ArgMatches) -> Result<MemberOptions, Box<dyn Error>> {
    let password = std::fs::read_to_string(text(matches, "service-password-file"))?;
    Ok(MemberOptions {
        identity: MemberIdentity {
            group: GroupName::new(text(matches, "group"))?,
            name: EndpointName::new(text(matches, "name"))?,
            domain: DomainName::new(text(matches, "domain"))?,
        },
        password: password.trim_end().to_owned(),
        slots: number(matches, "slots") as usize,
        connections: number(matches, "connections"),
        connect_time: Duration::from_millis(number(matches, "connect-ms").into()),
        service_time: Duration::from_millis(number(matches, "service-ms").into()),
        primary_of_term: matches.get_one("primary-of-term").copied(),
        execution_file: matches.get_one::<String>("execution-file").map(PathBuf::from),
    })
}

fn text<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    matches.get_one::<String>(name).expect("the argument is required or has a default")
}

fn number(matches: &ArgMatches, name: &str) -> u32 {
    *matches.get_one(name).expect("the argument has a default")
}
