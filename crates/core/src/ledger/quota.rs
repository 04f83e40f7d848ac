//! Distribution of the customers' rates among the hosts.
//!
//! Each customer has one row that gives each host a share of its rate and burst, in millionths. The
//! shares never add up to more than the whole. A host changes only its own share, or removes that
//! of a host whose lease has ended. A share belongs to the name of the host: a restarted process
//! uses it at once, with an empty bucket.
//!
//! Each customer has home hosts, one in each of some failure domains. The homes of a customer hold
//! what no other host needs of its rate, and lend tokens to hosts that run out.

mod hold;
mod share;
mod spending;

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use tanagerdeal_wire::wire_type;

use self::share::{CustomerShare, HostView};
use super::clock::BootInstant;
use crate::hash::hash_bytes;
use crate::limit::{CustomerRate, RATE_UNITS, TokenBucket};

/// Length of a window over which demand is measured.
const DEMAND_WINDOW: Duration = Duration::from_millis(1_000);
/// Weight of the newest window in the moving average of demand.
const DEMAND_WEIGHT: f64 = 0.4;
/// Standard deviations above the average from which on a window counts as a rise that the average
/// follows at once. Independent arrivals exceed it in fewer than one of 1,000 windows.
const RISE_DEVIATIONS: f64 = 4.0;
/// Time between two changes of shares by one host.
const CHANGE_INTERVAL: Duration = Duration::from_millis(5_000);
/// Delay before changes are planned again after two conflicts in a row.
const CONFLICT_BACKOFF: Duration = Duration::from_millis(800);
/// Time after the start in which a host returns no share. Its demand is unknown until the clients
/// are back, which takes up to the latency objective of their retries and one or two windows.
const DEMAND_WARM_UP: Duration = Duration::from_millis(5_000);
/// Part of the tolerated excess that a restarted host may spend at once. Its bucket is otherwise
/// empty, since what the former process spent is unknown.
const INITIAL_TOLERANCE: f64 = 0.5;
/// Time for whose expected demand a host borrows in advance.
pub const LOAN_LOOKAHEAD: Duration = Duration::from_millis(300);
/// Time in which borrowed tokens have to be spent, so that they cannot accumulate on top of the
/// burst.
const LOAN_TERM: Duration = Duration::from_millis(600);
/// Most tokens of one loan.
const MAX_LOAN: u64 = 8;
/// Time without further requests for loans after the lenders had no tokens.
const NO_LENDER_PAUSE: Duration = Duration::from_millis(250);
/// Most hosts that are asked for one loan.
const MAX_LENDERS: usize = 4;

wire_type! {
    /// Share of one host.
    #[derive(Copy)]
    pub struct HostShare {
        /// Millionths of rate and burst.
        pub units: u64,
        /// Demand of the host at its last change, in thousandths of an operation a second.
        pub demand: u64,
    }

    /// The row of a customer.
    #[derive(Default)]
    pub struct ShareRecord {
        /// Shares by name of the host.
        pub shares: BTreeMap<String, HostShare>,
    }
}

/// Name and failure domain of a live host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ShareHost<'a> {
    /// Name of the host.
    pub name: &'a str,
    /// Failure domain.
    pub domain: &'a str,
}

/// Tolerance allowed for limits that many hosts enforce together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitTolerance {
    /// Fraction by which a window may exceed what rate and burst admit.
    pub overage: f64,
    /// Length of the window, in seconds.
    pub window_s: f64,
    /// Operations by which a window may exceed the limit in addition to that.
    pub slack: f64,
}

/// A change of a customer's row, to be written on condition that its version is unchanged.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ShareChange {
    /// Customer whose row changes.
    pub customer: String,
    /// Version of the row that the change starts from; 0 if there is no row.
    pub version: u64,
    /// The new row.
    pub record: ShareRecord,
    /// Hosts whose shares are removed because their leases have ended.
    pub removed: Vec<String>,
}

/// A loan to request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoanPlan {
    /// Tokens to borrow.
    pub tokens: u64,
    /// Hosts to ask, in this order.
    pub lenders: Vec<String>,
}

/// The shares of this host, with a token bucket for each customer.
pub struct QuotaTable {
    host: String,
    tolerance: LimitTolerance,
    epoch: Instant,
    window_ends: BootInstant,
    next_change_at: BootInstant,
    /// Until when the demand is unknown.
    demand_known_at: BootInstant,
    /// Whether the last changes were refused because rows had newer versions.
    had_conflict: bool,
    /// Until when the shares of this host must not grow; `None` if they may.
    growth_held_until: Option<BootInstant>,
    shares: HashMap<String, CustomerShare>,
}

impl ShareRecord {
    /// Units that no host holds.
    pub fn free_units(&self) -> u64 {
        RATE_UNITS.saturating_sub(self.shares.values().map(|share| share.units).sum())
    }

    fn total_demand(&self) -> u64 {
        self.shares.values().map(|share| share.demand).sum()
    }
}

impl QuotaTable {
    /// A table without customers.
    ///
    /// ```
    /// use tanagerdeal_core::ledger::clock::BootInstant;
    /// use tanagerdeal_core::ledger::quota::QuotaTable;
    ///
    /// let now = BootInstant::from_micros(0);
    /// let mut table = QuotaTable::new("h1", Default::default(), now);
    /// assert!(table.admit("customer", now).is_err());
    /// ```
    pub fn new(host: &str, tolerance: LimitTolerance, now: BootInstant) -> Self {
        let (host, epoch) = (host.to_owned(), Instant::now());
        Self {
            host,
            tolerance,
            epoch,
            window_ends: now.after(DEMAND_WINDOW),
            next_change_at: now,
            demand_known_at: now.after(DEMAND_WARM_UP),
            had_conflict: false,
            growth_held_until: None,
            shares: HashMap::new(),
        }
    }

    fn instant(&self, now: BootInstant) -> Instant {
        self.epoch + Duration::from_micros(now.as_micros())
    }

    /// Returns the token of an operation that was not run. It can be spent within the term of a
    /// loan, also by a host without a share.
    pub fn refund(&mut self, customer: &str, now: BootInstant) {
        let Some(share) = self.shares.get_mut(customer) else { return };
        if now >= share.borrowed_until {
            share.borrowed = 0;
        }
        share.borrowed = (share.borrowed + 1).min(MAX_LOAN);
        share.borrowed_until = now.after(LOAN_TERM);
    }

    /// Adds a customer, or changes its rate.
    pub fn set_rate(&mut self, customer: &str, rate_per_s: u32, burst: u32, now: BootInstant) {
        let (instant, rate) = (self.instant(now), CustomerRate { rate_per_s, burst });
        let share = self.shares.entry(customer.to_owned()).or_insert_with(|| CustomerShare {
            version: 0,
            record: ShareRecord::default(),
            units: 0,
            bucket: TokenBucket::new(instant, rate),
            demand: 0.0,
            arrivals: 0,
            had_refusal: false,
            no_loans_until: now,
            is_unread: true,
            borrowed: 0,
            borrowed_until: now,
        });
        if share.bucket.rate() != rate {
            share.bucket.settle(instant, share.units);
            share.bucket.change_rate(rate, share.units);
        }
    }

    /// Applies a row that was read or written. The share of this host grows only here.
    ///
    /// A row whose version is already known changes nothing: a reduction whose reply was lost may
    /// still take effect, so the share stays reduced until a newer version is seen.
    pub fn adopt(&mut self, customer: &str, version: u64, record: ShareRecord, now: BootInstant) {
        let instant = self.instant(now);
        let Some(share) = self.shares.get_mut(customer) else { return };
        if version <= share.version {
            return;
        }
        let units = record.shares.get(&self.host).map_or(0, |host_share| host_share.units);
        let is_growth_held = self.growth_held_until.is_some() && !share.is_unread;
        let units = if is_growth_held { units.min(share.units) } else { units };
        share.bucket.settle(instant, share.units);
        share.bucket.clamp(units);
        let is_first = std::mem::take(&mut share.is_unread);
        (share.version, share.record, share.units) = (version, record, units);
        if is_first && units > 0 {
            let rate = share.bucket.rate();
            let window = f64::from(rate.rate_per_s) * self.tolerance.window_s;
            let overage = (window + f64::from(rate.burst)) * self.tolerance.overage;
            let initial = (overage + self.tolerance.slack) * INITIAL_TOLERANCE;
            share.bucket.start_with((initial * units as f64) as u64, units);
        }
    }

    /// Gives up all shares, because the lease has ended and other hosts may remove them.
    pub fn release_all(&mut self, now: BootInstant) {
        let instant = self.instant(now);
        for share in self.shares.values_mut() {
            share.bucket.settle(instant, share.units);
            share.bucket.clamp(0);
            (share.units, share.version) = (0, 0);
        }
    }

    /// Admits one operation of a customer.
    ///
    /// # Errors
    ///
    /// Fails if there is no token, with the instant at which one will be available if the share is
    /// large enough.
    pub fn admit(&mut self, customer: &str, now: BootInstant) -> Result<(), Option<BootInstant>> {
        let instant = self.instant(now);
        let Some(share) = self.shares.get_mut(customer) else { return Err(None) };
        share.arrivals += 1;
        share.bucket.settle(instant, share.units);
        if share.bucket.take() || share.take_borrowed(now) {
            return Ok(());
        }
        share.had_refusal = true;
        let ready = share.bucket.ready_at(share.units, 1);
        Err(ready.map(|at| now.after(at.saturating_duration_since(instant))))
    }

    /// Admits one operation of a customer with a borrowed token. The lender has deducted that, so it
    /// may be spent by a host that holds no share.
    ///
    /// # Errors
    ///
    /// Fails if there is no such token; none becomes available by waiting.
    pub fn admit_borrowed(
        &mut self,
        customer: &str,
        now: BootInstant,
    ) -> Result<(), Option<BootInstant>> {
        let Some(share) = self.shares.get_mut(customer) else { return Err(None) };
        share.arrivals += 1;
        if share.take_borrowed(now) {
            return Ok(());
        }
        share.had_refusal = true;
        Err(None)
    }

    /// Updates the average demand if the current window is over.
    pub fn tick(&mut self, now: BootInstant) {
        if now < self.window_ends {
            return;
        }
        let seconds = DEMAND_WINDOW.as_secs_f64() + now.since(self.window_ends).as_secs_f64();
        self.window_ends = now.after(DEMAND_WINDOW);
        for share in self.shares.values_mut() {
            let sample = f64::from(share.arrivals) / seconds;
            share.arrivals = 0;
            // The standard deviation of independent arrivals is the square root of their number.
            let deviation = share.demand.max(1.0).sqrt();
            share.demand = match sample {
                sample if sample > share.demand + RISE_DEVIATIONS * deviation => sample,
                sample => share.demand + (sample - share.demand) * DEMAND_WEIGHT,
            };
        }
    }

    /// Changes of rows that this host wants to write now. `is_ended` tells whether a host's lease
    /// has ended, and `hosts` are the live ones.
    ///
    /// A reduced share is used at its new size from this call on. A host that is not in `hosts` has
    /// only just started: it cannot tell yet whether it is a home, so it changes nothing.
    pub fn changes(
        &mut self,
        now: BootInstant,
        is_ended: &dyn Fn(&str) -> bool,
        hosts: &[ShareHost<'_>],
    ) -> Vec<ShareChange> {
        let is_listed = hosts.iter().any(|host| host.name == self.host);
        if now < self.next_change_at || !is_listed {
            return Vec::new();
        }
        let instant = self.instant(now);
        let host = self.host.as_str();
        let view = HostView::new(hosts);
        let mut changes = Vec::new();
        for (customer, share) in &mut self.shares {
            let planned = share.change(host, &view, customer, is_ended);
            let is_early = |units: u64| now < self.demand_known_at && units == 0 && share.units > 0;
            let Some((change, units)) = planned.filter(|(_, units)| !is_early(*units)) else {
                continue;
            };
            share.had_refusal = false;
            if units < share.units {
                share.bucket.settle(instant, share.units);
                share.bucket.clamp(units);
                share.units = units;
            }
            changes.push(change);
        }
        if !changes.is_empty() {
            self.next_change_at = now.after(CHANGE_INTERVAL);
        }
        changes
    }

    /// Plans the changes again after a conflict. The first time this happens at once, while the
    /// rows returned with the refusal are current.
    pub fn retry_soon(&mut self, now: BootInstant) {
        self.next_change_at = match self.had_conflict {
            false => now,
            true => now.after(CONFLICT_BACKOFF),
        };
        self.had_conflict = !self.had_conflict;
    }

    /// Records that the last changes were written.
    pub fn note_written(&mut self) {
        self.had_conflict = false;
    }

    /// How many tokens to borrow and from which hosts: the homes of the customer among the live
    /// `hosts`, those in `domain` first, without those that `is_silent`. `None` shortly after the
    /// lenders had no tokens.
    pub fn loan(
        &self,
        customer: &str,
        hosts: &[ShareHost<'_>],
        domain: &str,
        is_silent: &dyn Fn(&str) -> bool,
        now: BootInstant,
    ) -> Option<LoanPlan> {
        let share = self.shares.get(customer).filter(|share| now >= share.no_loans_until)?;
        let homes = HostView::new(hosts).homes(customer, share.bucket.rate().burst);
        let mut lenders: Vec<&ShareHost<'_>> = hosts
            .iter()
            .filter(|host| host.name != self.host && homes.contains(host.name))
            .filter(|host| !is_silent(host.name))
            .collect();
        // Each host asks the homes of other failure domains in its own order, so that all homes
        // lend.
        let order = |name: &str| hash_bytes(self.host.bytes().chain([0]).chain(name.bytes()));
        lenders.sort_by_key(|host| (host.domain != domain, order(host.name), host.name));
        let expected = (share.demand * LOAN_LOOKAHEAD.as_secs_f64()) as u64;
        let lenders = lenders.into_iter().take(MAX_LENDERS);
        Some(LoanPlan {
            tokens: (1 + expected).min(MAX_LOAN),
            lenders: lenders.map(|host| host.name.to_owned()).collect(),
        })
    }

    /// Takes up to `tokens` from this host's bucket for another host. Returns how many it got.
    pub fn lend(&mut self, customer: &str, tokens: u64, now: BootInstant) -> u64 {
        let instant = self.instant(now);
        let Some(share) = self.shares.get_mut(customer) else { return 0 };
        share.bucket.settle(instant, share.units);
        let wanted = tokens.min(MAX_LOAN);
        (0..wanted).take_while(|_| share.bucket.take()).count() as u64
    }

    /// Adds the tokens of a loan. 0 means that the lenders have none now.
    pub fn receive(&mut self, customer: &str, tokens: u64, now: BootInstant) {
        let instant = self.instant(now);
        let Some(share) = self.shares.get_mut(customer) else { return };
        share.bucket.settle(instant, share.units);
        match tokens {
            0 => share.no_loans_until = now.after(NO_LENDER_PAUSE),
            tokens => {
                if now >= share.borrowed_until {
                    share.borrowed = 0;
                }
                share.borrowed = (share.borrowed + tokens).min(MAX_LOAN);
                share.borrowed_until = now.after(LOAN_TERM);
            }
        }
    }

    /// Whether this host is a home of some customer and holds far less than its share of the rate,
    /// as far as it knows. Its copy of the row may be out of date: another host may have returned
    /// its share.
    pub fn is_below_share(&self, hosts: &[ShareHost<'_>]) -> bool {
        let view = HostView::new(hosts);
        self.shares.iter().any(|(customer, share)| {
            let burst = share.bucket.rate().burst;
            view.is_home(customer, burst, &self.host)
                && share.is_below_share(view.homes(customer, burst).len())
        })
    }

    /// Whether the rows of all customers have been read. Until then this host may refuse a customer
    /// that is well within its rate.
    pub fn has_read_shares(&self) -> bool {
        self.shares.values().all(|share| !share.is_unread)
    }

    /// Millionths of a customer's rate that this host holds.
    pub fn units(&self, customer: &str) -> u64 {
        self.shares.get(customer).map_or(0, |share| share.units)
    }
}
