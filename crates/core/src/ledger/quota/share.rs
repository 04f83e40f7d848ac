//! What a host does with its part of one customer's rate.

use std::collections::{HashMap, HashSet};

use super::{HostShare, ShareChange, ShareHost, ShareRecord};
use crate::hash::hash_bytes;
use crate::ledger::clock::BootInstant;
use crate::limit::{RATE_UNITS, TokenBucket};

/// Factor by which a share exceeds the demand of its host; what arrives irregularly is borrowed.
const HEADROOM: f64 = 1.15;
/// Part of the wanted share below which a share is raised.
const LOW_PART: f64 = 0.5;
/// Multiple of the wanted share above which a share is reduced. What is left over serves the host's
/// next peak, and others borrow.
const HIGH_MULTIPLE: f64 = 3.0;
/// Demand from which on a host takes a share, in operations a second. Below it a share would be too
/// small to collect tokens in time, and the host borrows each of them.
const MIN_DEMAND: f64 = 4.0;
/// Demand below which a host returns its share, in operations a second. Arrivals of a few a second
/// vary by more than half from one window to the next.
const LEAST_DEMAND: f64 = 0.25;
/// Part of a customer's rate that the homes leave free, for hosts whose demand rises.
const FREE_RESERVE: u64 = RATE_UNITS / 16;
/// Tokens that the bucket of a home holds at least. Arrivals that are independent and use five
/// eighths of a rate overrun a bucket of four tokens for 3% of them, one of two for 17% (the
/// Cramer-Lundberg exponent is 0.87 for each token).
const HOME_TOKENS: u32 = 4;
/// Burst from which on a customer has two homes although they hold fewer tokens: another failure
/// domain goes on while one is cut off or its home restarts.
const MIN_DIVIDED_BURST: u32 = 4;

/// A customer's row as this host knows it, and its bucket.
pub(super) struct CustomerShare {
    pub(super) version: u64,
    pub(super) record: ShareRecord,
    pub(super) units: u64,
    pub(super) bucket: TokenBucket,
    pub(super) demand: f64,
    pub(super) arrived: u32,
    pub(super) was_short: bool,
    pub(super) dry_until: BootInstant,
    /// Whether no row has been taken over since the start.
    pub(super) is_fresh: bool,
    /// Tokens of a loan, and until when they may be spent.
    pub(super) loaned: u64,
    pub(super) loan_until: BootInstant,
}

/// Order in which the hosts of a failure domain, or the failure domains, become the home of a
/// customer.
fn home_order<'a>(customer: &str, name: &'a str) -> (u64, &'a str) {
    (hash_bytes(customer.bytes().chain([0]).chain(name.bytes())), name)
}

/// The live hosts, and the failure domains that they are in.
pub(super) struct HostView<'a> {
    pub(super) hosts: &'a [ShareHost<'a>],
    domains: Vec<&'a str>,
}

impl<'a> HostView<'a> {
    pub(super) fn new(hosts: &'a [ShareHost<'a>]) -> Self {
        let mut domains: Vec<&str> = Vec::new();
        for host in hosts {
            if !domains.contains(&host.domain) {
                domains.push(host.domain);
            }
        }
        Self { hosts, domains }
    }

    /// Number of homes of a customer with this burst: one in each failure domain, unless the parts
    /// of the burst would be too small to collect tokens.
    fn home_count(&self, burst: u32) -> usize {
        let least = if burst >= MIN_DIVIDED_BURST { 2 } else { 1 };
        ((burst / HOME_TOKENS) as usize).max(least).min(self.domains.len())
    }

    /// Part of the rate that the homes leave free; none of a customer that is pooled.
    fn free_reserve(&self, burst: u32) -> u64 {
        if self.is_pooled(burst) { 0 } else { FREE_RESERVE }
    }

    /// Whether a customer's burst is too small to be divided among all failure domains. Then its
    /// homes hold all of it, as any further part would be too small to collect tokens.
    fn is_pooled(&self, burst: u32) -> bool {
        self.home_count(burst) < self.domains.len()
    }

    /// The failure domains of a customer's homes, in an order that differs for each customer.
    fn home_domains(&self, customer: &str, burst: u32) -> Vec<&'a str> {
        let mut domains = self.domains.clone();
        domains.sort_by_key(|domain| home_order(customer, domain));
        domains.truncate(self.home_count(burst));
        domains
    }

    /// The homes of a customer: a live host in each of some failure domains. They hold what no other
    /// host needs of its rate, and lend from it.
    pub(super) fn homes(&self, customer: &str, burst: u32) -> HashSet<&'a str> {
        let domains = self.home_domains(customer, burst);
        let mut first: HashMap<&str, (u64, &'a str)> = HashMap::new();
        for host in self.hosts.iter().filter(|host| domains.contains(&host.domain)) {
            let candidate = home_order(customer, host.name);
            let known = first.entry(host.domain).or_insert(candidate);
            *known = candidate.min(*known);
        }
        first.into_values().map(|(_, name)| name).collect()
    }

    /// Whether a host is one of the homes of a customer. Most are not, which shows after a few hosts
    /// of the same failure domain.
    pub(super) fn is_home(&self, customer: &str, burst: u32, host: &str) -> bool {
        let Some(own) = self.hosts.iter().find(|live| live.name == host) else { return false };
        let own_order = home_order(customer, host);
        let mut neighbours = self.hosts.iter().filter(|live| live.domain == own.domain);
        !neighbours.any(|live| home_order(customer, live.name) < own_order)
            && self.home_domains(customer, burst).contains(&own.domain)
    }
}

impl CustomerShare {
    pub(super) fn take_loaned(&mut self, now: BootInstant) -> bool {
        let is_there = self.loaned > 0 && now < self.loan_until;
        if is_there {
            self.loaned -= 1;
        }
        is_there
    }

    /// Units that cover the demand of this host, which holds `own`.
    fn wanted_units(&self, own: u64) -> u64 {
        let per_s = f64::from(self.bucket.rate().rate_per_s.max(1));
        let least = if own == 0 { MIN_DEMAND } else { LEAST_DEMAND };
        match self.demand {
            demand if demand < least => 0,
            demand => ((demand * HEADROOM / per_s).min(1.0) * RATE_UNITS as f64) as u64,
        }
    }

    /// Part that the demand of this host justifies when the whole is scarce.
    fn fair_units(&self, total_demand: u64) -> u64 {
        let demand = (self.demand * 1_000.0) as u64;
        match total_demand {
            0 => RATE_UNITS,
            total => (u128::from(RATE_UNITS) * u128::from(demand) / u128::from(total)) as u64,
        }
    }

    pub(super) fn change(
        &self,
        host: &str,
        view: &HostView<'_>,
        customer: &str,
        is_ended: &dyn Fn(&str) -> bool,
    ) -> Option<(ShareChange, u64)> {
        let mut record = self.record.clone();
        let removed: Vec<String> =
            record.shares.keys().filter(|name| *name != host && is_ended(name)).cloned().collect();
        for name in &removed {
            record.shares.remove(name);
        }
        let demand = (self.demand * 1_000.0) as u64;
        let own = record.shares.get(host).map_or(0, |part| part.units);
        record.shares.insert(host.to_owned(), HostShare { units: own, demand });
        let burst = self.bucket.rate().burst;
        let units = match view.is_home(customer, burst, host) {
            true => {
                let free = view.free_reserve(burst);
                self.home_units(own, &record, &view.homes(customer, burst), free)
            }
            false if view.is_pooled(burst) => 0,
            false => self.next_units(own, &record),
        };
        let is_due = units != own || own > self.units;
        if !is_due && (removed.is_empty() || !self.was_short) {
            return None;
        }
        if self.version == 0 && units > 0 {
            // The first home creates the parts of all, which find them when they read the row.
            for home in view.homes(customer, burst) {
                record.shares.insert(home.to_owned(), HostShare { units, demand: 0 });
            }
        }
        record.shares.insert(host.to_owned(), HostShare { units, demand });
        let customer = customer.to_owned();
        Some((ShareChange { customer, version: self.version, record, removed }, units))
    }

    /// Whether a home holds less than a third of its part of the whole.
    pub(super) fn is_starved(&self, homes: usize) -> bool {
        self.units * 3 < (RATE_UNITS - FREE_RESERVE) / homes.max(1) as u64
    }

    /// Units of a home: what the other hosts leave, divided among the homes.
    fn home_units(
        &self,
        own: u64,
        record: &ShareRecord,
        homes: &HashSet<&str>,
        reserve: u64,
    ) -> u64 {
        let others = record.shares.iter().filter(|(name, _)| !homes.contains(name.as_str()));
        let others: u64 = others.map(|(_, part)| part.units).sum();
        let target = RATE_UNITS.saturating_sub(others + reserve) / homes.len().max(1) as u64;
        match own {
            _ if own * 2 > target * 3 => target,
            _ if own * 3 < target * 2 => own + (target - own).min(record.free_units()),
            _ => own,
        }
    }

    /// Units of a host that is no home.
    fn next_units(&self, own: u64, record: &ShareRecord) -> u64 {
        let (wanted, free) = (self.wanted_units(own), record.free_units());
        let fair = self.fair_units(record.total_demand());
        let is_low = (own as f64) < wanted as f64 * LOW_PART;
        let is_high = own as f64 > wanted as f64 * HIGH_MULTIPLE;
        match own {
            // Nothing is left for others: what exceeds the fair part is returned.
            _ if free < FREE_RESERVE / 8 && own > fair + fair / 4 => fair.min(wanted),
            _ if is_low => own + (wanted - own).min(free),
            _ if is_high => wanted,
            _ => own,
        }
    }
}
