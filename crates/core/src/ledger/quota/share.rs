//! Size of a host's share of one customer's rate.

use std::collections::{HashMap, HashSet};

use super::{HostShare, ShareChange, ShareHost, ShareRecord};
use crate::hash::hash_bytes;
use crate::ledger::clock::BootInstant;
use crate::limit::{RATE_UNITS, TokenBucket};

/// Factor by which a share exceeds the demand of its host. Irregular arrivals beyond it are served
/// with borrowed tokens.
const HEADROOM: f64 = 1.15;
/// Fraction of the wanted share below which a share is raised.
const RAISE_BELOW: f64 = 0.5;
/// Multiple of the wanted share above which a share is reduced. The excess serves the host's next
/// peak, and other hosts borrow.
const REDUCE_ABOVE: f64 = 3.0;
/// Demand from which on a host takes a share, in operations a second. Below it a share would be too
/// small to collect tokens in time, so the host borrows every token.
const MIN_DEMAND_TO_TAKE: f64 = 4.0;
/// Demand below which a host returns its share, in operations a second. Arrivals of a few a second
/// vary by more than half from one window to the next.
const MIN_DEMAND_TO_KEEP: f64 = 0.25;
/// Part of a customer's rate that the homes leave free for hosts whose demand rises.
const FREE_RESERVE: u64 = RATE_UNITS / 16;
/// Tokens that the bucket of a home has to be able to hold. Independent arrivals at five eighths of
/// the rate overrun a bucket of four tokens for 3% of them, and one of two for 17% (the
/// Cramer-Lundberg exponent is 0.87 for each token).
const MIN_HOME_TOKENS: u32 = 4;
/// Burst from which on a customer has two homes even if each holds fewer tokens than that, so that
/// one failure domain goes on while the other is cut off or its home restarts.
const MIN_SPLIT_BURST: u32 = 4;

/// A customer's row as this host knows it, and its token bucket.
pub(super) struct CustomerShare {
    pub(super) version: u64,
    pub(super) record: ShareRecord,
    pub(super) units: u64,
    pub(super) bucket: TokenBucket,
    pub(super) demand: f64,
    pub(super) arrivals: u32,
    pub(super) had_refusal: bool,
    pub(super) no_loans_until: BootInstant,
    /// Whether no row has been applied since the start.
    pub(super) is_unread: bool,
    /// Borrowed tokens, and until when they may be spent.
    pub(super) borrowed: u64,
    pub(super) borrowed_until: BootInstant,
}

/// Sort key by which hosts, or failure domains, are chosen as homes of a customer.
fn home_order<'a>(customer: &str, name: &'a str) -> (u64, &'a str) {
    (hash_bytes(customer.bytes().chain([0]).chain(name.bytes())), name)
}

/// The live hosts and their failure domains.
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

    /// Number of homes of a customer with this burst: one in each failure domain, or fewer if the
    /// shares of the burst would be too small to collect tokens.
    fn home_count(&self, burst: u32) -> usize {
        let min_homes = if burst >= MIN_SPLIT_BURST { 2 } else { 1 };
        ((burst / MIN_HOME_TOKENS) as usize).max(min_homes).min(self.domains.len())
    }

    /// Part of the rate that the homes leave free; none if the customer is pooled.
    fn free_reserve(&self, burst: u32) -> u64 {
        if self.is_pooled(burst) { 0 } else { FREE_RESERVE }
    }

    /// Whether a customer's burst is too small to be divided among all failure domains. Its homes
    /// then hold all of it, as any further share would be too small to collect tokens.
    fn is_pooled(&self, burst: u32) -> bool {
        self.home_count(burst) < self.domains.len()
    }

    /// The failure domains of a customer's homes, in an order that differs by customer.
    fn home_domains(&self, customer: &str, burst: u32) -> Vec<&'a str> {
        let mut domains = self.domains.clone();
        domains.sort_by_key(|domain| home_order(customer, domain));
        domains.truncate(self.home_count(burst));
        domains
    }

    /// The home hosts of a customer: one live host in each of some failure domains. They hold what
    /// no other host needs of its rate, and lend from it.
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

    /// Whether a host is a home of a customer. Most are not, which a comparison with a few hosts of
    /// the same failure domain shows.
    pub(super) fn is_home(&self, customer: &str, burst: u32, host: &str) -> bool {
        let Some(own) = self.hosts.iter().find(|live| live.name == host) else { return false };
        let own_order = home_order(customer, host);
        let mut neighbours = self.hosts.iter().filter(|live| live.domain == own.domain);
        !neighbours.any(|live| home_order(customer, live.name) < own_order)
            && self.home_domains(customer, burst).contains(&own.domain)
    }
}

impl CustomerShare {
    pub(super) fn take_borrowed(&mut self, now: BootInstant) -> bool {
        let is_available = self.borrowed > 0 && now < self.borrowed_until;
        if is_available {
            self.borrowed -= 1;
        }
        is_available
    }

    /// Units that cover the demand of this host, which holds `own`.
    fn wanted_units(&self, own: u64) -> u64 {
        let per_s = f64::from(self.bucket.rate().rate_per_s.max(1));
        let min_demand = if own == 0 { MIN_DEMAND_TO_TAKE } else { MIN_DEMAND_TO_KEEP };
        match self.demand {
            demand if demand < min_demand => 0,
            demand => ((demand * HEADROOM / per_s).min(1.0) * RATE_UNITS as f64) as u64,
        }
    }

    /// Units in proportion to this host's part of the total demand, for when units are scarce.
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
        let own = record.shares.get(host).map_or(0, |host_share| host_share.units);
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
        if !is_due && (removed.is_empty() || !self.had_refusal) {
            return None;
        }
        if self.version == 0 && units > 0 {
            // The first home creates the shares of all homes. The others find theirs when they read
            // the row.
            for home in view.homes(customer, burst) {
                record.shares.insert(home.to_owned(), HostShare { units, demand: 0 });
            }
        }
        record.shares.insert(host.to_owned(), HostShare { units, demand });
        let customer = customer.to_owned();
        Some((ShareChange { customer, version: self.version, record, removed }, units))
    }

    /// Whether a home holds less than a third of its share of the rate.
    pub(super) fn is_below_share(&self, homes: usize) -> bool {
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
        let other_shares = record.shares.iter().filter(|(name, _)| !homes.contains(name.as_str()));
        let other_units: u64 = other_shares.map(|(_, host_share)| host_share.units).sum();
        let target = RATE_UNITS.saturating_sub(other_units + reserve) / homes.len().max(1) as u64;
        match own {
            _ if own * 2 > target * 3 => target,
            _ if own * 3 < target * 2 => own + (target - own).min(record.free_units()),
            _ => own,
        }
    }

    /// Units of a host that is not a home.
    fn next_units(&self, own: u64, record: &ShareRecord) -> u64 {
        let (wanted, free) = (self.wanted_units(own), record.free_units());
        let fair = self.fair_units(record.total_demand());
        let is_low = (own as f64) < wanted as f64 * RAISE_BELOW;
        let is_high = own as f64 > wanted as f64 * REDUCE_ABOVE;
        match own {
            // Too little is left for other hosts: return what exceeds the fair share.
            _ if free < FREE_RESERVE / 8 && own > fair + fair / 4 => fair.min(wanted),
            _ if is_low => own + (wanted - own).min(free),
            _ if is_high => wanted,
            _ => own,
        }
    }
}
