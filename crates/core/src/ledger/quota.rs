//! Shares of the customers' rates.
//!
//! Each customer has one row that gives each host a part of rate and burst, in millionths. The
//! parts never add up to more than the whole, and a host changes only its own, or removes that of a
//! host whose lease has ended. A part belongs to the host's name: a process that is started again
//! uses it at once, with an empty bucket.

mod share;

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use tanagerdeal_wire::wire_type;

use self::share::{CustomerShare, HostView};
use super::clock::BootInstant;
use crate::hash::hash_bytes;
use crate::limit::{CustomerRate, RATE_UNITS, TokenBucket};

/// Time over which demand is averaged.
const DEMAND_WINDOW: Duration = Duration::from_millis(1_000);
/// Weight of the newest window in the average demand.
const DEMAND_WEIGHT: f64 = 0.4;
/// Standard deviations above the average from which on a window shows a rise that is followed at
/// once. Arrivals that are independent exceed it in fewer than one of 1,000 windows.
const RISE_DEVIATIONS: f64 = 4.0;
/// Time between two changes of shares by one host.
const CHANGE_INTERVAL: Duration = Duration::from_millis(5_000);
/// Time after which a change is planned anew when the row had changed under it twice in a row.
const CONFLICT_PAUSE: Duration = Duration::from_millis(800);
/// Time after the start in which a host returns no share: its demand is not known before the clients
/// are back, which takes up to the objective of their retries and a window or two.
const SETTLE_SPAN: Duration = Duration::from_millis(5_000);
/// Part of the tolerance of the limits that a started host may spend at once. What it spent before
/// it stopped is unknown, so its bucket starts empty otherwise.
const START_PART: f64 = 0.5;
/// Time whose expected demand a host borrows at once.
const LOAN_SPAN: Duration = Duration::from_millis(300);
/// Time in which tokens of a loan have to be spent, so that they cannot pile up beside the burst.
const LOAN_TERM: Duration = Duration::from_millis(600);
/// Most tokens of one loan.
const MAX_LOAN: u64 = 8;
/// Time without further loans after a lender had nothing to give.
const DRY_PAUSE: Duration = Duration::from_millis(250);
/// Hosts that are asked for one loan.
const MAX_LENDERS: usize = 4;

wire_type! {
    /// Part of one host.
    #[derive(Copy)]
    pub struct HostShare {
        /// Millionths of rate and burst.
        pub units: u64,
        /// Operations a second that the host is asked for, in thousandths.
        pub demand: u64,
    }

    /// The row of a customer.
    #[derive(Default)]
    pub struct ShareRecord {
        /// Parts by name of the host.
        pub shares: BTreeMap<String, HostShare>,
    }
}

/// A live host, as far as shares are concerned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ShareHost<'a> {
    /// Name.
    pub name: &'a str,
    /// Failure domain.
    pub domain: &'a str,
}

/// Tolerance that the users grant for limits that are kept by many hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitTolerance {
    /// Part of what a window admits by which it may be exceeded.
    pub overage: f64,
    /// Length of the window, in seconds.
    pub window_s: f64,
    /// Operations by which a window may be exceeded beside that.
    pub slack: f64,
}

/// A change of a customer's row to be written under the condition that its version still stands.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ShareChange {
    /// Customer.
    pub customer: String,
    /// Version of the row that the change starts from; 0 for none.
    pub version: u64,
    /// The new row.
    pub record: ShareRecord,
    /// Hosts whose parts are removed because their leases have ended.
    pub removed: Vec<String>,
}

/// A loan to ask for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoanPlan {
    /// Tokens.
    pub tokens: u64,
    /// Hosts to ask, in this order.
    pub lenders: Vec<String>,
}

/// The shares of this host.
pub struct QuotaTable {
    host: String,
    tolerance: LimitTolerance,
    epoch: Instant,
    window_ends: BootInstant,
    change_at: BootInstant,
    /// Until when the demand is not known.
    settled_at: BootInstant,
    /// Whether the last changes met newer rows.
    had_conflict: bool,
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
    /// A table without shares.
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
            change_at: now,
            settled_at: now.after(SETTLE_SPAN),
            had_conflict: false,
            shares: HashMap::new(),
        }
    }

    fn instant(&self, now: BootInstant) -> Instant {
        self.epoch + Duration::from_micros(now.as_micros())
    }

    /// Returns the token of an operation that was not run. It can be spent for as long as one of a
    /// loan, also by a host that has no share.
    pub fn refund(&mut self, customer: &str, now: BootInstant) {
        let Some(share) = self.shares.get_mut(customer) else { return };
        if now >= share.loan_until {
            share.loaned = 0;
        }
        share.loaned = (share.loaned + 1).min(MAX_LOAN);
        share.loan_until = now.after(LOAN_TERM);
    }

    /// Makes sure that a customer is known and has this rate.
    pub fn set_rate(&mut self, customer: &str, rate_per_s: u32, burst: u32, now: BootInstant) {
        let (instant, rate) = (self.instant(now), CustomerRate { rate_per_s, burst });
        let share = self.shares.entry(customer.to_owned()).or_insert_with(|| CustomerShare {
            version: 0,
            record: ShareRecord::default(),
            units: 0,
            bucket: TokenBucket::new(instant, rate),
            demand: 0.0,
            arrived: 0,
            was_short: false,
            dry_until: now,
            is_fresh: true,
            loaned: 0,
            loan_until: now,
        });
        if share.bucket.rate() != rate {
            share.bucket.settle(instant, share.units);
            share.bucket.change_rate(rate, share.units);
        }
    }

    /// Takes over a row that was read or written. The own part grows only here.
    ///
    /// A row of the version that is known already changes nothing: a reduction whose reply was lost
    /// may still take effect, so the part stays reduced until a newer version is seen.
    pub fn adopt(&mut self, customer: &str, version: u64, record: ShareRecord, now: BootInstant) {
        let instant = self.instant(now);
        let Some(share) = self.shares.get_mut(customer) else { return };
        if version <= share.version {
            return;
        }
        let units = record.shares.get(&self.host).map_or(0, |part| part.units);
        share.bucket.settle(instant, share.units);
        share.bucket.clamp(units);
        let is_first = std::mem::take(&mut share.is_fresh);
        (share.version, share.record, share.units) = (version, record, units);
        if is_first && units > 0 {
            let rate = share.bucket.rate();
            let window = f64::from(rate.rate_per_s) * self.tolerance.window_s;
            let overage = (window + f64::from(rate.burst)) * self.tolerance.overage;
            let spare = (overage + self.tolerance.slack) * START_PART;
            share.bucket.start_with((spare * units as f64) as u64, units);
        }
    }

    /// Gives up all parts, because the lease has ended and others may remove them.
    pub fn forfeit(&mut self, now: BootInstant) {
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
    /// Fails with the instant at which a token will be there, if the share is large enough.
    pub fn admit(&mut self, customer: &str, now: BootInstant) -> Result<(), Option<BootInstant>> {
        let instant = self.instant(now);
        let Some(share) = self.shares.get_mut(customer) else { return Err(None) };
        share.arrived += 1;
        share.bucket.settle(instant, share.units);
        if share.bucket.take() || share.take_loaned(now) {
            return Ok(());
        }
        share.was_short = true;
        let ready = share.bucket.ready_at(share.units, 1);
        Err(ready.map(|at| now.after(at.saturating_duration_since(instant))))
    }

    /// Closes the window of the demand when its time is over.
    pub fn tick(&mut self, now: BootInstant) {
        if now < self.window_ends {
            return;
        }
        let seconds = DEMAND_WINDOW.as_secs_f64() + now.since(self.window_ends).as_secs_f64();
        self.window_ends = now.after(DEMAND_WINDOW);
        for share in self.shares.values_mut() {
            let sample = f64::from(share.arrived) / seconds;
            share.arrived = 0;
            // Independent arrivals vary by the root of their number.
            let deviation = share.demand.max(1.0).sqrt();
            share.demand = match sample {
                sample if sample > share.demand + RISE_DEVIATIONS * deviation => sample,
                sample => share.demand + (sample - share.demand) * DEMAND_WEIGHT,
            };
        }
    }

    /// Changes of rows that this host wants now; `is_ended` tells whether a host's lease has ended,
    /// and `hosts` are the live ones.
    ///
    /// A part that shrinks is used at its new size from this call on. A host that is not among the
    /// live ones has only just started: it cannot tell yet whether it is a home, so it changes
    /// nothing.
    pub fn changes(
        &mut self,
        now: BootInstant,
        is_ended: &dyn Fn(&str) -> bool,
        hosts: &[ShareHost<'_>],
    ) -> Vec<ShareChange> {
        let is_listed = hosts.iter().any(|host| host.name == self.host);
        if now < self.change_at || !is_listed {
            return Vec::new();
        }
        let instant = self.instant(now);
        let host = self.host.as_str();
        let view = HostView::new(hosts);
        let mut changes = Vec::new();
        for (customer, share) in &mut self.shares {
            let planned = share.change(host, &view, customer, is_ended);
            let is_early = |units: u64| now < self.settled_at && units == 0 && share.units > 0;
            let Some((change, units)) = planned.filter(|(_, units)| !is_early(*units)) else {
                continue;
            };
            share.was_short = false;
            if units < share.units {
                share.bucket.settle(instant, share.units);
                share.bucket.clamp(units);
                share.units = units;
            }
            changes.push(change);
        }
        if !changes.is_empty() {
            self.change_at = now.after(CHANGE_INTERVAL);
        }
        changes
    }

    /// Plans the changes anew, because rows had changed under the last ones. The first time this is
    /// at once, while the rows that came with the refusal are new.
    pub fn retry_soon(&mut self, now: BootInstant) {
        self.change_at = match self.had_conflict {
            false => now,
            true => now.after(CONFLICT_PAUSE),
        };
        self.had_conflict = !self.had_conflict;
    }

    /// Notes that the last changes were written.
    pub fn note_written(&mut self) {
        self.had_conflict = false;
    }

    /// How much to borrow and from whom, unless lenders had nothing a moment ago: from the homes of
    /// the customer among the live `hosts`, the one in this host's `domain` first, and none
    /// that `is_silent`.
    pub fn loan(
        &self,
        customer: &str,
        hosts: &[ShareHost<'_>],
        domain: &str,
        is_silent: &dyn Fn(&str) -> bool,
        now: BootInstant,
    ) -> Option<LoanPlan> {
        let share = self.shares.get(customer).filter(|share| now >= share.dry_until)?;
        let homes = HostView::new(hosts).homes(customer, share.bucket.rate().burst);
        let mut lenders: Vec<&ShareHost<'_>> = hosts
            .iter()
            .filter(|host| host.name != self.host && homes.contains(host.name))
            .filter(|host| !is_silent(host.name))
            .collect();
        // Hosts ask the homes of other failure domains in different orders, so that all homes lend.
        let order = |name: &str| hash_bytes(self.host.bytes().chain([0]).chain(name.bytes()));
        lenders.sort_by_key(|host| (host.domain != domain, order(host.name), host.name));
        let ahead = (share.demand * LOAN_SPAN.as_secs_f64()) as u64;
        let lenders = lenders.into_iter().take(MAX_LENDERS);
        Some(LoanPlan {
            tokens: (1 + ahead).min(MAX_LOAN),
            lenders: lenders.map(|host| host.name.to_owned()).collect(),
        })
    }

    /// Lends tokens to another host; they are gone from this one at once.
    pub fn lend(&mut self, customer: &str, tokens: u64, now: BootInstant) -> u64 {
        let instant = self.instant(now);
        let Some(share) = self.shares.get_mut(customer) else { return 0 };
        share.bucket.settle(instant, share.units);
        let wanted = tokens.min(MAX_LOAN);
        (0..wanted).take_while(|_| share.bucket.take()).count() as u64
    }

    /// Takes over the tokens of a loan; none tells that the lenders have nothing now.
    pub fn receive(&mut self, customer: &str, tokens: u64, now: BootInstant) {
        let instant = self.instant(now);
        let Some(share) = self.shares.get_mut(customer) else { return };
        share.bucket.settle(instant, share.units);
        match tokens {
            0 => share.dry_until = now.after(DRY_PAUSE),
            tokens => {
                if now >= share.loan_until {
                    share.loaned = 0;
                }
                share.loaned = (share.loaned + tokens).min(MAX_LOAN);
                share.loan_until = now.after(LOAN_TERM);
            }
        }
    }

    /// Whether this host, as a home of a customer among the live `hosts`, holds far less than its
    /// part as far as it knows. What it knows may be old: another host may have returned its part.
    pub fn is_starved(&self, hosts: &[ShareHost<'_>]) -> bool {
        let view = HostView::new(hosts);
        self.shares.iter().any(|(customer, share)| {
            let burst = share.bucket.rate().burst;
            view.is_home(customer, burst, &self.host)
                && share.is_starved(view.homes(customer, burst).len())
        })
    }

    /// Millionths of a customer's rate that this host holds.
    pub fn units(&self, customer: &str) -> u64 {
        self.shares.get(customer).map_or(0, |share| share.units)
    }
}
