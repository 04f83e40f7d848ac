//! Endpoints as their pool hosts see them, read from the metrics of hosts.

use std::collections::BTreeMap;

use clap::ArgMatches;
use serde_json::json;
use tanagerdeal_wire::wire_type;

use crate::context::CALL_TIMEOUT;
use crate::error::ToolError;
use crate::print::print_line;

/// Prefix of the names of all metrics that are read.
const PREFIX: &str = "tanagerdeal_";

wire_type! {
    /// An endpoint at one of its pool hosts. Values are missing while its statements are not queued.
    #[derive(Default)]
    pub struct EndpointLoad {
        /// Identity of the endpoint.
        pub endpoint: String,
        /// Its group.
        pub group: String,
        /// Admin address of the pool host.
        pub pool_host: String,
        /// Statements that may run at once.
        pub limit: Option<u64>,
        /// Statements that run.
        pub running: Option<u64>,
        /// Statements that wait, by priority.
        pub waiting: BTreeMap<u8, u64>,
        /// Expected duration of a statement, in microseconds.
        pub service_us: Option<u64>,
        /// Health: usable, failing or probing.
        pub health: Option<String>,
    }
}

/// Reads the endpoints out of the metrics of a host, in order of group and endpoint.
///
/// ```
/// let text = "tanagerdeal_pool_host{endpoint=\"e1\",group=\"g1\"} 1\n\
///             tanagerdeal_endpoint_limit{endpoint=\"e1\",group=\"g1\"} 3\n";
/// let loads = tanagerctl::endpoints::parse("127.0.0.1:1", text);
/// assert_eq!((loads.len(), loads[0].limit), (1, Some(3)));
/// ```
pub fn parse(pool_host: &str, text: &str) -> Vec<EndpointLoad> {
    let mut loads = BTreeMap::<(String, String), EndpointLoad>::new();
    for (name, labels, value) in text.lines().filter_map(sample) {
        let Some((endpoint, group)) = labels.get("endpoint").zip(labels.get("group")) else {
            continue;
        };
        let load =
            loads.entry(((*group).to_owned(), (*endpoint).to_owned())).or_insert_with(|| {
                EndpointLoad {
                    endpoint: (*endpoint).to_owned(),
                    group: (*group).to_owned(),
                    pool_host: pool_host.to_owned(),
                    ..Default::default()
                }
            });
        let count = value as u64;
        match name {
            "endpoint_limit" => load.limit = Some(count),
            "endpoint_running" => load.running = Some(count),
            "endpoint_service_seconds" => load.service_us = Some((value * 1e6).round() as u64),
            "endpoint_health" if count == 1 => {
                load.health = labels.get("state").map(|state| (*state).to_owned());
            }
            "endpoint_waiting" => {
                let priority = labels.get("priority").and_then(|priority| priority.parse().ok());
                load.waiting.extend(priority.map(|priority| (priority, count)));
            }
            _ => {}
        }
    }
    loads.into_values().collect()
}

/// Name without the prefix, labels and value of a line. Values of labels hold neither commas nor
/// quotes, as identities of endpoints and groups do not.
fn sample(line: &str) -> Option<(&str, BTreeMap<&str, &str>, f64)> {
    let (name, rest) = line.strip_prefix(PREFIX)?.split_once('{')?;
    let (labels, value) = rest.rsplit_once("} ")?;
    let pairs = labels.split(',').filter_map(|label| label.split_once('='));
    let labels = pairs.map(|(label, value)| (label, value.trim_matches('"'))).collect();
    Some((name, labels, value.parse().ok()?))
}

async fn read(http: reqwest::Client, address: String) -> Result<Vec<EndpointLoad>, String> {
    let failed = |error: reqwest::Error| format!("{address}: {error}");
    let response = http.get(format!("http://{address}/metrics")).send().await;
    let response = response.and_then(reqwest::Response::error_for_status).map_err(failed)?;
    Ok(parse(&address, &response.text().await.map_err(failed)?))
}

/// Prints the endpoints whose pool hosts are among the named hosts.
///
/// # Errors
///
/// Fails when a host does not answer, after the endpoints of the others are printed.
pub async fn show(arguments: &ArgMatches) -> Result<(), ToolError> {
    let http = reqwest::Client::builder()
        .timeout(CALL_TIMEOUT)
        .no_proxy()
        .build()
        .map_err(|error| ToolError::Usage(error.to_string()))?;
    let mut tasks = tokio::task::JoinSet::new();
    for address in arguments.get_many::<String>("admin").into_iter().flatten() {
        tasks.spawn(read(http.clone(), address.clone()));
    }
    let (mut loads, mut failures) = (Vec::new(), Vec::new());
    for result in tasks.join_all().await {
        match result {
            Ok(mut of_host) => loads.append(&mut of_host),
            Err(failure) => failures.push(failure),
        }
    }
    loads.sort_by(|left, right| {
        (&left.group, &left.endpoint, &left.pool_host).cmp(&(
            &right.group,
            &right.endpoint,
            &right.pool_host,
        ))
    });
    print_loads(&loads, arguments.get_flag("json"));
    match failures.is_empty() {
        true => Ok(()),
        false => Err(ToolError::TimedOut(failures.join("; "))),
    }
}

fn print_loads(loads: &[EndpointLoad], is_json: bool) {
    if is_json {
        print_line(json!({ "endpoints": loads }));
        return;
    }
    let row = |cells: [&str; 8]| {
        let [endpoint, group, pool_host, limit, running, waiting, service, health] = cells;
        print_line(format_args!(
            "{endpoint:<20} {group:<12} {pool_host:<21} {limit:>5} {running:>7} {waiting:<16} \
             {service:>10} {health}"
        ));
    };
    row(["endpoint", "group", "pool host", "limit", "running", "waiting", "service ms", "health"]);
    let text = |count: Option<u64>| count.map_or("-".to_owned(), |count| count.to_string());
    for load in loads {
        let waiting: Vec<String> =
            load.waiting.iter().map(|(priority, count)| format!("{priority}:{count}")).collect();
        let service =
            load.service_us.map_or("-".to_owned(), |us| format!("{:.1}", us as f64 / 1e3));
        row([
            &load.endpoint,
            &load.group,
            &load.pool_host,
            &text(load.limit),
            &text(load.running),
            &waiting.join(" "),
            &service,
            load.health.as_deref().unwrap_or("-"),
        ]);
    }
}
