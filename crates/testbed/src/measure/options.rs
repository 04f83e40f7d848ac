//! What is measured: company, scenario, policy variant and size of the load.

use std::error::Error;
use std::path::PathBuf;

use clap::builder::PossibleValuesParser;
use clap::{Arg, Command, value_parser};
use tanagerdeal_testbed::deployment::{Deployment, DeploymentPlan};
use tanagerdeal_testbed::load::{LoadPlan, RequestMix, SurgePlan};
use tanagerdeal_wire::{scalar_type, value_type};

use Scenario::*;

/// Age that reads of the second route accept where replicas lag 2 s, in milliseconds.
const LAG_TOLERANT_AGE_MS: u32 = 5_000;

/// Sessions of a customer on each route in scenarios that block some of them.
const MANY_SESSIONS: u32 = 12;

/// Multiple of its rate that the surging customer sends.
const SURGE_FACTOR: u32 = 5;

/// Tokens of the customer's rate that a transaction of two writes takes.
const TRANSACTION_TOKENS: u32 = 4;

/// Policies of the baseline, as keys and values of the section `[policy]`.
const BASELINE: [(&str, &str); 5] = [
    ("reads", "primary"),
    ("scheduler", "fifo"),
    ("limits", "equal_split"),
    ("suspicion", "single"),
    ("domain_return", "immediate"),
];

scalar_type! {
    /// A scenario; each belongs to one measure of the design page.
    pub enum Scenario {
        Reads,
        Lag,
        Kill,
        Freeze,
        Minority,
        Loss,
        SlowStore,
        Surge,
        SurgeDomain,
        Skew,
        HostDeath,
        StoreOutage,
        DomainLeave,
        Direct,
    }
}

/// Names of the scenarios with the default length of their load in seconds.
const SCENARIOS: [(&str, Scenario, u64); 14] = [
    ("reads", Reads, 15),
    ("lag", Lag, 15),
    ("kill", Kill, 40),
    ("freeze", Freeze, 40),
    ("minority", Minority, 40),
    ("loss", Loss, 25),
    ("slow-store", SlowStore, 25),
    ("surge", Surge, 25),
    ("surge-domain", SurgeDomain, 25),
    ("skew", Skew, 20),
    ("host-death", HostDeath, 30),
    ("store-outage", StoreOutage, 75),
    ("domain-leave", DomainLeave, 40),
    ("direct", Direct, 5),
];

value_type! {
    /// Options of a run.
    pub struct MeasureOptions {
        pub company: String,
        pub scenario: Scenario,
        pub scenario_name: String,
        pub policy: String,
        pub seed: u64,
        pub duration_ms: u64,
        pub rate_percent: u64,
        pub service_ms: u32,
        pub report: Option<PathBuf>,
        pub logs: Option<PathBuf>,
    }
}

impl MeasureOptions {
    /// Reads the command line.
    pub fn parse() -> Result<Self, Box<dyn Error + Send + Sync>> {
        let matches = command().get_matches();
        let text = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
        let number = |name: &str| matches.get_one::<u64>(name).copied();
        let name = text("scenario");
        let known = SCENARIOS.iter().find(|(known, ..)| *known == name);
        let (_, scenario, seconds) = known.ok_or("unknown scenario")?;
        let full_load = matches!(scenario, Surge | SurgeDomain);
        let service_ms = number("service-ms").unwrap_or(if full_load { 12 } else { 5 });
        Ok(Self {
            company: text("company"),
            scenario: *scenario,
            scenario_name: name,
            policy: text("policy"),
            seed: number("seed").unwrap_or(1),
            duration_ms: number("seconds").unwrap_or(*seconds) * 1_000,
            rate_percent: number("rate-percent").unwrap_or(if full_load { 100 } else { 80 }),
            service_ms: u32::try_from(service_ms)?,
            report: matches.get_one("report").cloned(),
            logs: matches.get_one("logs").cloned(),
        })
    }

    /// The deployment of the company at its full size.
    pub fn deployment_plan(&self) -> DeploymentPlan {
        let mut plan = match self.company.as_str() {
            "pamplemousses" => DeploymentPlan::pamplemousses(),
            _ => DeploymentPlan::kahikatea(),
        };
        plan.relayed = true;
        plan.service_ms = self.service_ms;
        if self.policy == "baseline" {
            let owned = |(key, value): (&str, &str)| (key.to_owned(), value.to_owned());
            plan.policies = BASELINE.map(owned).to_vec();
        }
        let ages = plan.routes.iter_mut().filter(|route| route.max_read_age_ms > 0);
        if matches!(self.scenario, Reads | Lag) {
            ages.for_each(|route| route.max_read_age_ms = LAG_TOLERANT_AGE_MS);
        }
        plan
    }

    /// The load of the scenario.
    pub fn load_plan(&self, deployment: &Deployment) -> LoadPlan {
        let mut plan = LoadPlan::for_deployment(deployment, self.rate_percent, self.duration_ms);
        plan.seed = self.seed;
        plan.skewed_hosts = self.scenario == Skew;
        if matches!(self.scenario, Kill | Freeze | Minority | Loss | SlowStore) {
            plan.mix = RequestMix {
                reads: 20,
                aged_reads: 15,
                lists: 0,
                writes: 40,
                idempotent_writes: 20,
                transactions: 5,
            };
        }
        let tokens = tokens_of(&plan.mix);
        for customer in &mut plan.customers {
            customer.millirate = customer.millirate * 100 / tokens;
            customer.sessions = customer.sessions.max(MANY_SESSIONS);
        }
        let surges = matches!(self.scenario, Surge | SurgeDomain);
        if let Some(first) = plan.customers.first_mut().filter(|_| surges) {
            let to_ms = self.duration_ms;
            first.surge = Some(SurgePlan { from_ms: to_ms / 3, to_ms, factor: SURGE_FACTOR });
            first.sessions *= SURGE_FACTOR;
        }
        if surges {
            plan.deadline_ms = 1_000;
        }
        plan
    }
}

/// Tokens of a hundred requests: each statement of a transaction takes one, as do its two ends.
fn tokens_of(mix: &RequestMix) -> u64 {
    let others = mix.reads + mix.aged_reads + mix.lists + mix.writes + mix.idempotent_writes;
    let total = others + mix.transactions;
    u64::from(others + mix.transactions * TRANSACTION_TOKENS) * 100 / u64::from(total.max(1))
}

fn command() -> Command {
    let number = |name: &'static str| Arg::new(name).long(name).value_parser(value_parser!(u64));
    let path = |name: &'static str| Arg::new(name).long(name).value_parser(value_parser!(PathBuf));
    let choice = |name: &'static str, values: Vec<&'static str>| {
        let first = values[0];
        Arg::new(name)
            .long(name)
            .value_parser(PossibleValuesParser::new(values))
            .default_value(first)
    };
    let scenarios = SCENARIOS.iter().map(|(name, ..)| *name).collect();
    Command::new("measure")
        .about("Runs a company's deployment under a scenario and reports its measures")
        .arg(choice("company", vec!["kahikatea", "pamplemousses"]))
        .arg(choice("policy", vec!["default", "baseline"]))
        .arg(choice("scenario", scenarios))
        .args([number("seed"), number("seconds"), number("rate-percent"), number("service-ms")])
        .arg(path("report").help("File for the report as JSON"))
        .arg(path("logs").help("Directory that gets the processes' logs and the history"))
}
