//! Nine hosts that share a customer's rate through loans.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use rand::{Rng as _, SeedableRng as _};
use serde_json::json;
use tanagerdeal_wire::HostName;
use tanagerdeal_wire::peer::{PeerReply, PeerRequest};

use super::harness::TestHost;
use crate::limit::{CustomerRate, RATE_UNITS, TokenBucket};
use crate::message::caller::{CallerAnswer, RequestEnding};
use crate::message::fleet::PeerEvent;
use crate::message::{CallTag, HostInput, HostOutput, PeerCallKey, SessionKey};
use crate::profile::{HostPolicies, LimitPolicy};
use crate::share::BaseShare;
use crate::statement::StatementClass;

const HOSTS: usize = 9;

/// Index of the customer's home host, which follows from its rendezvous hash.
const HOME_HOST: usize = 6;

/// One-way latency between hosts. The model advances in steps of a millisecond.
const LATENCY: Duration = Duration::from_millis(2);

enum PeerMessage {
    Request { from: usize, to: usize, call: PeerCallKey, sent: Instant, request: PeerRequest },
    Reply { to: usize, call: PeerCallKey, sent: Instant, reply: PeerReply },
}

struct LoanFleet {
    hosts: Vec<TestHost>,
    sessions: Vec<Vec<SessionKey>>,
    waiting: Vec<(usize, CallTag, SessionKey, (Instant, bool))>,
    in_flight: Vec<(Instant, PeerMessage)>,
    unanswered: Vec<(usize, CallTag, usize, PeerCallKey, Instant)>,
    is_partitioned: bool,
    /// A host that neither sends nor receives messages.
    failed: Option<usize>,
    /// A single bucket with the customer's rate and burst; it tells which refusals were within the
    /// rate.
    reference_bucket: TokenBucket,
    refused_within_rate: u64,
    longest_wait: Duration,
    served: u64,
    refused: u64,
    /// Number of requests for loans.
    borrow_requests: u64,
}

impl LoanFleet {
    fn new(rate: u32, burst: u32, limits: LimitPolicy) -> Self {
        let start = Instant::now();
        let policies = HostPolicies { limits, ..HostPolicies::default() };
        let mut hosts: Vec<TestHost> = (0..HOSTS)
            .map(|index| TestHost::start(start, &format!("h{index}"), policies.clone()))
            .collect();
        for (index, host) in hosts.iter_mut().enumerate() {
            let record = json!({"schema": 1, "rate_per_s": rate, "burst": burst});
            host.put("records/customer/quarry", Some(record));
            host.set_total_connections(900);
            let valid_until = host.now + Duration::from_secs(3_600);
            let (denominator, rank) = (HOSTS as u64, index as u64);
            let base = BaseShare { numerator: 1, denominator, rank, valid_until };
            host.state.shares.set_base(host.now, base);
        }
        let mut fleet = Self {
            hosts,
            sessions: vec![Vec::new(); HOSTS],
            waiting: Vec::new(),
            in_flight: Vec::new(),
            unanswered: Vec::new(),
            is_partitioned: false,
            failed: None,
            reference_bucket: TokenBucket::new(start, CustomerRate { rate_per_s: rate, burst }),
            refused_within_rate: 0,
            longest_wait: Duration::ZERO,
            served: 0,
            refused: 0,
            borrow_requests: 0,
        };
        fleet.run(20_000, |_| Vec::new());
        fleet
    }

    /// Advances the clock. `arrivals` gives the hosts at which a request arrives in a millisecond.
    fn run(&mut self, millis: u64, arrivals: impl Fn(u64) -> Vec<usize>) {
        for step in 0..millis {
            if step % 10_000 == 0 {
                self.list_hosts();
            }
            for index in 0..HOSTS {
                self.hosts[index].run(1);
                self.collect_messages(index);
            }
            self.deliver();
            arrivals(step).into_iter().for_each(|index| self.send(index));
            self.process_answers();
        }
    }

    fn list_hosts(&mut self) {
        let names: Vec<String> = (0..HOSTS).map(|index| format!("h{index}")).collect();
        self.hosts.iter_mut().for_each(|host| host.list_hosts(&names));
    }

    fn collect_messages(&mut self, from: usize) {
        let now = self.hosts[from].now;
        for output in std::mem::take(&mut self.hosts[from].other_outputs) {
            match output {
                HostOutput::SendPeer {
                    call,
                    host,
                    request: request @ PeerRequest::Borrow(_),
                    ..
                } => {
                    let to = host.as_str()[1..].parse().unwrap();
                    self.borrow_requests += 1;
                    let message = PeerMessage::Request { from, to, call, sent: now, request };
                    self.in_flight.push((now + LATENCY, message));
                }
                HostOutput::AnswerPeer(tag, reply) => {
                    let found = self
                        .unanswered
                        .iter()
                        .position(|(host, request_tag, ..)| *host == from && *request_tag == tag);
                    let (_, _, to, call, sent) = self.unanswered.remove(found.unwrap());
                    self.in_flight
                        .push((now + LATENCY, PeerMessage::Reply { to, call, sent, reply }));
                }
                _ => {}
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.hosts[0].now;
        let (due, later) = self.in_flight.drain(..).partition(|(at, _)| *at <= now);
        self.in_flight = later;
        let due: Vec<(Instant, PeerMessage)> = due;
        let (is_partitioned, failed) = (self.is_partitioned, self.failed);
        let is_lost = |message: &PeerMessage| match message {
            PeerMessage::Request { from, to, .. } => [Some(*from), Some(*to)].contains(&failed),
            PeerMessage::Reply { to, .. } => Some(*to) == failed,
        };
        for (_, message) in
            due.into_iter().filter(|(_, message)| !is_partitioned && !is_lost(message))
        {
            match message {
                PeerMessage::Request { from, to, call, sent, request } => {
                    let tag = self.hosts[to].next_tag();
                    self.unanswered.push((to, tag, from, call, sent));
                    let from = HostName::new(&format!("h{from}")).unwrap();
                    let event = PeerEvent::Asked { tag, from, request };
                    self.hosts[to].input(HostInput::Peer(event));
                    self.collect_messages(to);
                }
                PeerMessage::Reply { to, call, sent, reply } => {
                    let event = PeerEvent::Answered { call, asked_at: sent, reply: Some(reply) };
                    self.hosts[to].input(HostInput::Peer(event));
                }
            }
        }
    }

    fn send(&mut self, index: usize) {
        let session = self.sessions[index].pop().unwrap_or_else(|| {
            self.hosts[index].open_with(("quarry", "stale", Some("k1.x")), &[]).unwrap()
        });
        let tag = self.hosts[index].submit(session, StatementClass::Read);
        let now = self.hosts[index].now;
        self.reference_bucket.settle(now, RATE_UNITS);
        let is_within_rate = self.reference_bucket.take();
        self.waiting.push((index, tag, session, (now, is_within_rate)));
    }

    fn process_answers(&mut self) {
        let waiting = std::mem::take(&mut self.waiting);
        for (index, tag, session, (arrived, is_within_rate)) in waiting {
            match self.hosts[index].answer(tag) {
                Some(CallerAnswer::RequestPlaced(plan)) => {
                    self.hosts[index].end(plan.dispatch, RequestEnding::Answered, false);
                    self.served += 1;
                    let wait = self.hosts[index].now - arrived;
                    self.longest_wait = self.longest_wait.max(wait);
                }
                Some(_) => {
                    self.refused += 1;
                    self.refused_within_rate += u64::from(is_within_rate);
                }
                None => {
                    self.waiting.push((index, tag, session, (arrived, is_within_rate)));
                    continue;
                }
            }
            self.sessions[index].push(session);
        }
    }
}

/// Nine of ten requests arrive at the first host, the others in turn at all hosts.
fn skewed_arrivals(rate: u64) -> impl Fn(u64) -> Vec<usize> {
    move |step| {
        let (before, after) = (step * rate / 1_000, (step + 1) * rate / 1_000);
        (before..after)
            .map(|number| if number % 10 == 0 { (number / 10) as usize % HOSTS } else { 0 })
            .collect()
    }
}

/// Guards against refusals within a customer's rate when its requests arrive at one host, as they
/// occur with an equal split of the rate.
#[gtest]
fn skewed_arrival_within_the_rate_is_served() {
    let mut fleet = LoanFleet::new(200, 100, LimitPolicy::Escrow);
    fleet.run(30_000, skewed_arrivals(180));
    expect_that!(fleet.refused * 1_000, le(fleet.served));
    expect_that!(fleet.served, ge(5_390));
    let mut split = LoanFleet::new(200, 100, LimitPolicy::EqualSplit);
    split.run(30_000, skewed_arrivals(180));
    expect_that!(split.refused, gt(1_000));
    expect_that!(split.borrow_requests, eq(0));
}

/// Guards against a fleet that serves more than rate and burst while hosts lend to each other, and
/// against endless requests for loans that no host can give.
#[gtest]
fn a_customer_over_its_rate_gets_no_more_and_little_is_asked() {
    let mut fleet = LoanFleet::new(200, 100, LimitPolicy::Escrow);
    fleet.run(10_000, skewed_arrivals(1_000));
    expect_that!(fleet.served, all!(ge(200 * 10 * 9 / 10), le(200 * 10 + 100)));
    expect_that!(fleet.borrow_requests, le(HOSTS as u64 * 10 * 12));
}

/// Guards against a share that is too small for a single request and is never enlarged by loans.
#[gtest]
fn little_traffic_at_changing_hosts_is_served() {
    let mut fleet = LoanFleet::new(10, 4, LimitPolicy::Escrow);
    fleet.run(30_000, |step| match step % 500 {
        0 => vec![(step / 500) as usize * 4 % HOSTS],
        _ => Vec::new(),
    });
    expect_that!(fleet.refused, le(1));
    expect_that!(fleet.served, ge(58));
}

/// Guards against loaned units that are used after their loan has ended when the borrower is
/// partitioned from its lenders.
#[gtest]
fn a_cut_off_borrower_returns_to_its_base_share() {
    let mut fleet = LoanFleet::new(200, 100, LimitPolicy::Escrow);
    fleet.run(5_000, skewed_arrivals(180));
    fleet.is_partitioned = true;
    fleet.run(11_000, |_| Vec::new());
    let before = fleet.served;
    fleet.run(5_000, |_| vec![0]);
    let share = 5 * 200 / HOSTS as u64 + 100 / HOSTS as u64;
    expect_that!(fleet.served - before, le(share + 1));
}

/// Refusals within the rate of a customer, and all requests, during 30 s of random arrivals. `skew`
/// percent of them come to the first host. If `tokens` is greater than one, that many requests
/// arrive together at one host. A host may fail at the tenth second.
fn refusals_within_rate(
    (rate, burst): (u32, u32),
    (percent, skew, tokens): (u32, u32, u32),
    failed: Option<usize>,
) -> (u64, u64) {
    let mut fleet = LoanFleet::new(rate, burst, LimitPolicy::Escrow);
    let mut random = rand::rngs::StdRng::seed_from_u64(31);
    let chance = f64::from(rate * percent) / 100_000.0 / f64::from(tokens);
    let borrow_requests = fleet.borrow_requests;
    for second in 0..30 {
        fleet.failed = failed.filter(|_| second >= 10);
        let live: Vec<usize> = (0..HOSTS).filter(|host| Some(*host) != fleet.failed).collect();
        let arrivals: Vec<Vec<usize>> = (0..1_000)
            .map(|_| match random.random_bool(chance) {
                true if random.random_ratio(skew, 100) => vec![0; tokens as usize],
                true => vec![live[random.random_range(0..live.len())]; tokens as usize],
                false => Vec::new(),
            })
            .collect();
        fleet.run(1_000, |step| arrivals[step as usize].clone());
    }
    let all = fleet.served + fleet.refused;
    println!(
        "{rate}/{burst} {percent}% skew {skew}% tokens {tokens} dead {failed:?}: {} of {all} \
         refused inside the rate, {} messages a second, longest wait {:?}",
        fleet.refused_within_rate,
        (fleet.borrow_requests - borrow_requests) / 30,
        fleet.longest_wait,
    );
    (fleet.refused_within_rate, all)
}

/// Guards against refusals within the rate of customers whose base share holds one or two tokens.
#[gtest]
fn tokens_of_small_shares_are_found() {
    for (percent, skew) in [(50, 0), (80, 0), (80, 60)] {
        let (refused, all) = refusals_within_rate((12, 12), (percent, skew, 1), None);
        expect_that!(refused * 100, le(all));
    }
}

/// Prints refusals within the rate for several loads. Not part of the usual run because it takes
/// long.
#[gtest]
#[ignore = "prints figures for commits"]
fn print_refusals_inside() {
    for rate in [(12, 12), (30, 60), (200, 400)] {
        for (percent, skew, tokens) in
            [(50, 60, 1), (80, 0, 1), (80, 60, 1), (92, 60, 1), (80, 60, 4)]
        {
            refusals_within_rate(rate, (percent, skew, tokens), None);
        }
        refusals_within_rate(rate, (80, 60, 1), Some(HOME_HOST));
        refusals_within_rate(rate, (80, 60, 1), Some(HOSTS - 1));
    }
}
