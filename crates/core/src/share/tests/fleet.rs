//! Model of several hosts that lend to each other over a network that loses and delays messages,
//! and that change their share view by the same rules as the product.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest::test_runner::TestCaseError;
use tanagerdeal_wire::peer::{BorrowRequest, ShareLoan, ShareResource};
use tanagerdeal_wire::{CustomerName, EndpointName, HostName};

use super::super::{BaseShare, ShareTable};
use crate::limit::{CustomerRate, MICROTOKENS_PER_REQUEST};

const CONNECTIONS: u32 = 21;
const LOAN: Duration = Duration::from_secs(10);
const LEASE: Duration = Duration::from_secs(20);

#[derive(Clone, Debug)]
pub(super) enum FleetStep {
    /// Time passes; hosts that are not paused renew their lease.
    Advance(u64),
    /// A host serves as many requests as it can, up to a number.
    Take {
        host: usize,
        requests: u32,
    },
    /// All hosts serve as many requests as they can, which reveals any surplus token.
    TakeAll,
    /// A host asks another one for a loan.
    Ask {
        from: usize,
        to: usize,
        units: u64,
        valid_ms: u64,
        is_rate: bool,
    },
    /// A host asks another one for tokens, which arrive after a delay.
    AskTokens {
        from: usize,
        to: usize,
        units: u64,
        valid_ms: u64,
        delay_ms: u64,
    },
    /// A message arrives.
    Deliver(usize),
    /// A loan request arrives and stays in the network, to arrive once more.
    Duplicate(usize),
    /// A message is lost.
    Lose(usize),
    /// A host neither renews its lease nor receives messages, but may still serve requests.
    Pause(usize),
    Resume(usize),
    /// A host restarts and loses its state.
    Restart(usize),
    /// The hosts in this bit set form the next view.
    ChangeView(u8),
}

enum Message {
    Request { to: usize, from: usize, sent: Instant, request: BorrowRequest },
    Loan { to: usize, lender: HostName, incarnation: u64, sent: Instant, loan: ShareLoan },
}

struct HostModel {
    shares: ShareTable,
    incarnation: u64,
    is_paused: bool,
    /// When other hosts may treat the lease as expired.
    lease_expires_at: Instant,
    /// Whether the host has a base share in the view in effect.
    has_base: bool,
    has_reported: bool,
}

/// Hosts, messages in flight, and a reference count of all requests served.
pub(super) struct FleetModel {
    now: Instant,
    rate: CustomerRate,
    hosts: Vec<HostModel>,
    messages: Vec<Message>,
    view: Vec<usize>,
    next_view: Option<Vec<usize>>,
    /// Tokens of a reference bucket with the whole rate and burst, which all hosts together must
    /// not overdraw.
    tokens: u64,
    filled_at: Instant,
    served: u64,
    is_overdrawn: bool,
}

pub(super) fn any_step() -> impl Strategy<Value = FleetStep> {
    let host = 0..4usize;
    prop_oneof![
           6 => prop_oneof![0..50u64, 0..300u64, 0..3_000u64, 9_000..12_000u64].prop_map(FleetStep::Advance),
           6 => (host.clone(), 1..60u32)
               .prop_map(|(host, requests)| FleetStep::Take { host, requests }),
           3 => Just(FleetStep::TakeAll),
           6 => (host.clone(), host.clone(), 1..700_000u64, 400..12_000u64, any::<bool>()).prop_map(
               |(from, to, units, valid_ms, is_rate)| {
    FleetStep::Ask { from, to, units, valid_ms, is_rate } }
           ),
           4 => (host.clone(), host.clone(), 1..700_000u64, 100..=300u64, 0..250u64).prop_map(
               |(from, to, units, valid_ms, delay_ms)| {
    FleetStep::AskTokens { from, to, units, valid_ms, delay_ms } }
           ),
           8 => (0..20usize).prop_map(FleetStep::Deliver),
           1 => (0..20usize).prop_map(FleetStep::Duplicate),
           1 => (0..20usize).prop_map(FleetStep::Lose),
           1 => host.clone().prop_map(FleetStep::Pause),
           2 => host.clone().prop_map(FleetStep::Resume),
           1 => host.prop_map(FleetStep::Restart),
           1 => (1..16u8).prop_map(FleetStep::ChangeView),
       ]
}

fn name(host: usize) -> HostName {
    HostName::new(&format!("h{host}")).unwrap()
}

fn rate() -> ShareResource {
    ShareResource::CustomerRate(customer())
}

fn customer() -> CustomerName {
    CustomerName::new("quarry").unwrap()
}

fn endpoint() -> EndpointName {
    EndpointName::new("e1").unwrap()
}

impl HostModel {
    fn new(now: Instant, incarnation: u64, rate: CustomerRate) -> Self {
        let mut shares = ShareTable::default();
        shares.set_rate(now, &customer(), rate);
        shares.note_connections(now, &endpoint(), CONNECTIONS, (0, 0));
        Self {
            shares,
            incarnation,
            is_paused: false,
            lease_expires_at: now,
            has_base: false,
            has_reported: false,
        }
    }
}

impl FleetModel {
    pub(super) fn new(count: usize, rate: CustomerRate) -> Self {
        let now = Instant::now();
        let mut fleet = Self {
            now,
            hosts: (0..count).map(|_| HostModel::new(now, 1, rate)).collect(),
            messages: Vec::new(),
            view: (0..count).collect(),
            next_view: None,
            tokens: u64::from(rate.burst) * MICROTOKENS_PER_REQUEST,
            rate,
            filled_at: now,
            served: 0,
            is_overdrawn: false,
        };
        fleet.hosts.iter_mut().for_each(|host| host.has_base = true);
        fleet.renew();
        fleet
    }

    pub(super) fn served(&self) -> u64 {
        self.served
    }

    pub(super) fn run(&mut self, step: &FleetStep) {
        match step {
            FleetStep::Advance(millis) => {
                self.now += Duration::from_millis(*millis);
                self.renew();
                self.adopt_view();
            }
            FleetStep::Take { host, requests } => {
                let served = (0..*requests).take_while(|_| self.serve(*host)).count();
                self.served += served as u64;
            }
            FleetStep::TakeAll => {
                (0..self.hosts.len()).for_each(|host| while self.serve(host) {});
            }
            FleetStep::Ask { from, to, units, valid_ms, is_rate } if from != to => {
                self.ask((*from, *to), *units, *valid_ms, *is_rate);
            }
            FleetStep::AskTokens { from, to, units, valid_ms, delay_ms } if from != to => {
                self.ask((*from, *to), *units, *valid_ms, true);
                self.deliver(self.messages.len() - 1, false);
                self.run(&FleetStep::Advance(*delay_ms));
                self.deliver(self.messages.len() - 1, false);
            }
            FleetStep::Ask { .. } | FleetStep::AskTokens { .. } => {}
            FleetStep::Deliver(index) => self.deliver(*index, false),
            FleetStep::Duplicate(index) => self.deliver(*index, true),
            FleetStep::Lose(index) => {
                if !self.messages.is_empty() {
                    self.messages.remove(index % self.messages.len());
                }
            }
            FleetStep::Pause(host) => self.hosts[*host].is_paused = true,
            FleetStep::Resume(host) => self.hosts[*host].is_paused = false,
            FleetStep::Restart(host) => {
                let old = &self.hosts[*host];
                let lease_expires_at = old.lease_expires_at;
                self.hosts[*host] = HostModel::new(self.now, old.incarnation + 1, self.rate);
                self.hosts[*host].lease_expires_at = lease_expires_at;
            }
            FleetStep::ChangeView(bits) if self.next_view.is_none() => self.change_view(*bits),
            FleetStep::ChangeView(_) => {}
        }
    }

    /// Fails when the hosts together hold, or have used, more than the whole resource.
    pub(super) fn check(&self) -> Result<(), TestCaseError> {
        let sum = |resource: &ShareResource| -> u64 {
            self.hosts.iter().map(|host| host.shares.held(self.now, resource)).sum()
        };
        prop_assert!(sum(&rate()) <= 1_000_000, "units held: {}", sum(&rate()));
        let connections = sum(&ShareResource::EndpointConnections(endpoint()));
        prop_assert!(connections <= u64::from(CONNECTIONS), "connections: {connections}");
        prop_assert!(!self.is_overdrawn, "the hosts together exceeded rate and burst");
        Ok(())
    }

    fn base_in(&self, view: &[usize], host: usize) -> Option<BaseShare> {
        let rank = view.iter().position(|member| *member == host)? as u64;
        let valid_until = self.now + LEASE;
        Some(BaseShare { numerator: 1, denominator: view.len() as u64, rank, valid_until })
    }

    /// The smaller of the base shares in the view in effect and in the next one.
    fn lowered(&self, next: &[usize], host: usize) -> BaseShare {
        let bases = self.base_in(&self.view, host).zip(self.base_in(next, host));
        let lowered = bases.map(|(old, new)| {
            let denominator = old.denominator.max(new.denominator);
            BaseShare { denominator, rank: denominator, ..new }
        });
        let valid_until = self.now + LEASE;
        lowered.unwrap_or(BaseShare { numerator: 0, denominator: 1, rank: 0, valid_until })
    }

    fn renew(&mut self) {
        for index in 0..self.hosts.len() {
            let base = match &self.next_view {
                Some(next) => Some(self.lowered(next, index)),
                None => self.base_in(&self.view, index),
            };
            let now = self.now;
            let host = &mut self.hosts[index];
            if let Some(base) = base.filter(|_| host.has_base && !host.is_paused) {
                host.shares.set_base(now, base);
                host.lease_expires_at = now + LEASE + LOAN;
            }
        }
    }

    /// Starts a view change: every host of the old view switches to the smaller base share, without
    /// the connections that only some ranks get, and stops lending until its loans fit.
    fn change_view(&mut self, bits: u8) {
        let count = self.hosts.len();
        let next: Vec<usize> = (0..count).filter(|host| bits & (1 << host) != 0).collect();
        self.next_view = Some(next);
        self.hosts.iter_mut().for_each(|host| host.has_reported = false);
        self.adopt_view();
    }

    fn adopt_view(&mut self) {
        let Some(next) = self.next_view.clone() else { return };
        for host in self.view.clone() {
            self.prepare_host(host, &next);
        }
        // A restarted host waits until the lease of its predecessor, which may still have loans,
        // has expired.
        let is_ready = |host: &usize| {
            let host = &self.hosts[*host];
            (host.has_reported && host.has_base) || self.now >= host.lease_expires_at
        };
        if self.view.iter().all(is_ready) && next.iter().all(is_ready) {
            self.enter_view(next);
        }
    }

    fn prepare_host(&mut self, index: usize, next: &[usize]) {
        let now = self.now;
        let base = self.lowered(next, index);
        let host = &mut self.hosts[index];
        if !host.is_paused && host.has_base {
            host.shares.set_lending(false);
            host.shares.set_base(now, base);
            host.has_reported = host.shares.loans_fit(now, &base);
        }
    }

    fn enter_view(&mut self, next: Vec<usize>) {
        for index in 0..self.hosts.len() {
            let is_member = next.contains(&index);
            let was_paused = self.hosts[index].is_paused;
            let host = &mut self.hosts[index];
            // A host that was removed from the view must not return with its old base share.
            host.has_base = is_member && !was_paused;
            if !host.is_paused {
                host.shares.set_lending(true);
            }
        }
        self.view = next;
        self.next_view = None;
        for index in 0..self.hosts.len() {
            let base = self.base_in(&self.view, index).filter(|_| self.hosts[index].has_base);
            let valid_until = self.now;
            let none = BaseShare { numerator: 0, denominator: 1, rank: 0, valid_until };
            if !self.hosts[index].is_paused {
                self.hosts[index].shares.set_base(self.now, base.unwrap_or(none));
            }
        }
        self.renew();
    }

    fn serve(&mut self, host: usize) -> bool {
        let now = self.now;
        self.hosts[host].shares.note_demand(now, &customer());
        if self.hosts[host].shares.take_token(now, &customer(), 0).is_err() {
            return false;
        }
        let elapsed_ms = now.duration_since(self.filled_at).as_millis() as u64;
        let fill = elapsed_ms * u64::from(self.rate.rate_per_s) * MICROTOKENS_PER_REQUEST / 1_000;
        let capacity = u64::from(self.rate.burst) * MICROTOKENS_PER_REQUEST;
        self.filled_at = now;
        self.tokens = (self.tokens + fill).min(capacity);
        self.is_overdrawn |= self.tokens < MICROTOKENS_PER_REQUEST;
        self.tokens = self.tokens.saturating_sub(MICROTOKENS_PER_REQUEST);
        true
    }

    fn ask(&mut self, (from, to): (usize, usize), units: u64, valid_ms: u64, is_rate: bool) {
        let resource = match is_rate {
            true => rate(),
            false => ShareResource::EndpointConnections(endpoint()),
        };
        let units = if is_rate { units } else { units % 5 + 1 };
        let borrower = name(from);
        let incarnation = self.hosts[from].incarnation;
        let request = BorrowRequest { resource, units, valid_ms, borrower, incarnation };
        self.messages.push(Message::Request { to, from, sent: self.now, request });
    }

    fn deliver(&mut self, index: usize, is_duplicated: bool) {
        let Some(index) = index.checked_rem(self.messages.len()) else { return };
        let to = match &self.messages[index] {
            Message::Request { to, .. } | Message::Loan { to, .. } => *to,
        };
        if self.hosts[to].is_paused {
            return;
        }
        match self.messages.swap_remove(index) {
            Message::Request { to, from, sent, request } => {
                let loan = self.hosts[to].shares.lend(self.now, &request);
                let incarnation = request.incarnation;
                if is_duplicated {
                    self.messages.push(Message::Request { to, from, sent, request });
                }
                self.messages.push(Message::Loan {
                    to: from,
                    lender: name(to),
                    incarnation,
                    sent,
                    loan,
                });
            }
            Message::Loan { to, lender, incarnation, sent, loan } => {
                let host = &mut self.hosts[to];
                if host.incarnation == incarnation {
                    let valid = Duration::from_millis(loan.valid_ms).min(LOAN);
                    host.shares.accept(self.now, &lender, &loan, sent + valid);
                }
            }
        }
    }
}
