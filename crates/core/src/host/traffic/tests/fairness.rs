//! Service of several customers at full load, on one endpoint that serves 200 writes a second.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use serde_json::json;

use super::harness::TestHost;
use crate::message::caller::{CallerAnswer, RequestEnding};
use crate::message::{CallTag, DispatchKey, SessionKey};
use crate::profile::{HostPolicies, SchedulerPolicy};
use crate::statement::StatementClass;

const CUSTOMERS: [&str; 4] = ["a", "b", "c", "d"];

/// Time that a write takes on the endpoint, which runs four at once.
const SERVICE_TIME: Duration = Duration::from_millis(20);

/// Fair share of one customer, in requests a second.
const FAIR_RATE: u64 = 50;

#[derive(Default)]
struct LoadAccount {
    idle: Vec<SessionKey>,
    waiting: Vec<(CallTag, SessionKey, Instant)>,
    served: u64,
    refused: u64,
    /// Number of requests refused after a wait of more than 20 ms, and the longest wait of any
    /// refused request.
    refused_late: u64,
    longest_refusal_wait: Duration,
}

struct LoadModel {
    host: TestHost,
    accounts: BTreeMap<&'static str, LoadAccount>,
    running: Vec<(Instant, DispatchKey, SessionKey, &'static str)>,
}

impl LoadModel {
    fn new(scheduler: SchedulerPolicy) -> Self {
        let mut host =
            TestHost::with_policies(HostPolicies { scheduler, ..HostPolicies::default() });
        for name in CUSTOMERS {
            let record = json!({"schema": 1, "rate_per_s": 1_000, "burst": 1_000});
            host.put(&format!("records/customer/{name}"), Some(record));
            let digest = tanagerdeal_wire::key::digest_secret("s", "x");
            let key = json!({"schema": 1, "customer": name, "salt": "s", "digest": digest});
            host.put(&format!("records/key/key-{name}"), Some(key));
        }
        let accounts = CUSTOMERS.map(|name| (name, LoadAccount::default())).into();
        Self { host, accounts, running: Vec::new() }
    }

    /// Sends requests at each customer's rate for some seconds, in steps of a millisecond.
    fn run(&mut self, seconds: u64, rate_of: impl Fn(&str) -> u64) {
        for step in 0..seconds * 1_000 {
            self.host.run(1);
            self.end_requests();
            for name in CUSTOMERS {
                let rate = rate_of(name);
                let due = (step + 1) * rate / 1_000 - step * rate / 1_000;
                (0..due).for_each(|_| self.send(name));
            }
            self.process_answers();
        }
    }

    fn send(&mut self, name: &'static str) {
        let account = self.accounts.get_mut(name).unwrap();
        let session = account.idle.pop().unwrap_or_else(|| {
            let password = format!("key-{name}.x");
            let settings = [("deadline_ms", "500")];
            self.host.open_with((name, "main", Some(&password)), &settings).unwrap()
        });
        let tag = self.host.submit(session, StatementClass::Write);
        account.waiting.push((tag, session, self.host.now));
    }

    fn process_answers(&mut self) {
        let now = self.host.now;
        for (name, account) in &mut self.accounts {
            account.waiting.retain(|(tag, session, sent)| match self.host.answer(*tag) {
                Some(CallerAnswer::RequestPlaced(plan)) => {
                    self.running.push((now + SERVICE_TIME, plan.dispatch, *session, name));
                    false
                }
                Some(_) => {
                    account.refused += 1;
                    account.longest_refusal_wait = account.longest_refusal_wait.max(now - *sent);
                    account.refused_late += u64::from(now - *sent > Duration::from_millis(20));
                    account.idle.push(*session);
                    false
                }
                None => true,
            });
        }
    }

    fn end_requests(&mut self) {
        let now = self.host.now;
        let (ended, running) = self.running.drain(..).partition(|(end, ..)| *end <= now);
        self.running = running;
        let ended: Vec<(Instant, DispatchKey, SessionKey, &'static str)> = ended;
        for (_, dispatch, session, name) in ended {
            self.host.end(dispatch, RequestEnding::Answered, false);
            let account = self.accounts.get_mut(name).unwrap();
            account.served += 1;
            account.idle.push(session);
        }
    }
}

/// Guards against a customer at several times its share that takes service from the others, or
/// whose excess requests wait before they are refused.
#[gtest]
fn a_customer_over_its_share_takes_nothing_from_the_others() {
    let rate_of = |name: &str| if name == "a" { 5 * FAIR_RATE } else { FAIR_RATE };
    let mut load = LoadModel::new(SchedulerPolicy::Fair);
    load.run(1, rate_of);
    // Until the customer's service rate has been measured, slightly too many requests are accepted.
    let refused_late = load.accounts["a"].refused_late;
    load.run(4, rate_of);
    for name in ["b", "c", "d"] {
        let account = &load.accounts[name];
        expect_that!(account.served, ge(5 * FAIR_RATE * 95 / 100), "{name}");
        expect_that!(account.refused, eq(0), "{name}");
    }
    let account = &load.accounts["a"];
    expect_that!(account.served, ge(5 * FAIR_RATE * 90 / 100));
    expect_that!(account.refused, gt(500));
    expect_that!(account.refused_late, eq(refused_late));
    expect_that!(account.longest_refusal_wait, lt(Duration::from_millis(400)));
}

/// Guards against a fairness test that the first-in, first-out baseline would pass as well.
#[gtest]
fn the_baseline_is_not_fair() {
    let mut load = LoadModel::new(SchedulerPolicy::Fifo);
    load.run(5, |name| if name == "a" { 5 * FAIR_RATE } else { FAIR_RATE });
    expect_that!(load.accounts["b"].served, lt(5 * FAIR_RATE * 95 / 100));
}

/// Guards against refusals when the load is just what the endpoint can serve.
#[gtest]
fn a_full_load_within_all_shares_is_served() {
    let mut load = LoadModel::new(SchedulerPolicy::Fair);
    load.run(5, |_| FAIR_RATE * 95 / 100);
    let refused: u64 = load.accounts.values().map(|account| account.refused).sum();
    expect_that!(refused, eq(0));
}
