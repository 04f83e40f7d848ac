//! Shares of the customers' rates.
//!
//! Each customer has one row that gives each host a part of rate and burst, in millionths. The
//! parts never add up to more than the whole, and a host changes only its own, or removes that of a
//! host whose lease has ended. A part belongs to the host's name: a process that is started again
//! uses it at once, with an empty bucket.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use tanagerdeal_wire::wire_type;

use super::clock::BootInstant;
use crate::limit::{CustomerRate, RATE_UNITS, TokenBucket};

/// Time over which demand is averaged.
const DEMAND_WINDOW: Duration = Duration::from_millis(1_000);
/// Weight of the newest window in the average demand.
const DEMAND_WEIGHT: f64 = 0.4;
/// Part of the demand that a share should exceed it by.
const HEADROOM: f64 = 1.4;
/// Operations a second that a share should have beside the headroom, for irregular arrival.
const SPARE_RATE: f64 = 1.0;
/// Tokens of burst that a useful share has at least.
const MIN_BURST_TOKENS: f64 = 2.0;
/// A share is lowered when it exceeds the wanted one by this factor.
const EXCESS: f64 = 1.6;
/// Time between two changes of one share by its host.
const CHANGE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Part of the free units that a host leaves for others when it raises its share.
const FREE_RESERVE: f64 = 0.1;
/// Hosts among which the first share is divided before any demand is known.
const FIRST_DIVISOR: u64 = 12;

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

struct CustomerShare {
    version: u64,
    record: ShareRecord,
    units: u64,
    bucket: TokenBucket,
    demand: f64,
    arrived: u32,
    was_short: bool,
    change_at: BootInstant,
}

/// The shares of this host.
pub struct QuotaTable {
    host: String,
    epoch: Instant,
    window_ends: BootInstant,
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
    /// let mut table = QuotaTable::new("h1", now);
    /// assert!(table.admit("customer", now).is_err());
    /// ```
    pub fn new(host: &str, now: BootInstant) -> Self {
        let (host, epoch) = (host.to_owned(), Instant::now());
        Self { host, epoch, window_ends: now.after(DEMAND_WINDOW), shares: HashMap::new() }
    }

    fn instant(&self, now: BootInstant) -> Instant {
        self.epoch + Duration::from_micros(now.as_micros())
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
            change_at: now,
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
        (share.version, share.record, share.units) = (version, record, units);
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
        if share.bucket.take() {
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
            // Demand that rises is followed at once, demand that falls slowly.
            share.demand = match sample {
                sample if sample > share.demand => sample,
                sample => share.demand + (sample - share.demand) * DEMAND_WEIGHT,
            };
        }
    }

    /// Changes of rows that this host wants now; `is_ended` tells whether a host's lease has ended.
    ///
    /// A part that shrinks is used at its new size from this call on.
    pub fn changes(
        &mut self,
        now: BootInstant,
        is_ended: &dyn Fn(&str) -> bool,
    ) -> Vec<ShareChange> {
        let instant = self.instant(now);
        let host = self.host.as_str();
        let mut changes = Vec::new();
        for (customer, share) in &mut self.shares {
            let Some((change, units)) = share.change(host, customer, now, is_ended) else {
                continue;
            };
            share.change_at = now.after(CHANGE_INTERVAL);
            share.was_short = false;
            if units < share.units {
                share.bucket.settle(instant, share.units);
                share.bucket.clamp(units);
                share.units = units;
            }
            changes.push(change);
        }
        changes
    }

    /// Plans the changes anew at the next call, because rows have changed under the last ones.
    pub fn retry_soon(&mut self, now: BootInstant) {
        for share in self.shares.values_mut() {
            share.change_at = share.change_at.min(now);
        }
    }

    /// Millionths of a customer's rate that this host holds.
    pub fn units(&self, customer: &str) -> u64 {
        self.shares.get(customer).map_or(0, |share| share.units)
    }
}

impl CustomerShare {
    fn wanted_units(&self) -> u64 {
        let rate = self.bucket.rate();
        let (per_s, burst) = (f64::from(rate.rate_per_s.max(1)), f64::from(rate.burst.max(1)));
        let by_rate = (self.demand * HEADROOM + SPARE_RATE) / per_s;
        let by_burst = MIN_BURST_TOKENS / burst;
        let part = match self.demand {
            demand if demand > 0.0 => by_rate.max(by_burst),
            _ => 1.0 / FIRST_DIVISOR as f64,
        };
        (part.min(1.0) * RATE_UNITS as f64) as u64
    }

    /// Part that the demand of this host justifies when the whole is scarce.
    fn fair_units(&self, total_demand: u64) -> u64 {
        let demand = (self.demand * 1_000.0) as u64;
        match total_demand {
            0 => RATE_UNITS,
            total => (u128::from(RATE_UNITS) * u128::from(demand) / u128::from(total)) as u64,
        }
    }

    fn change(
        &self,
        host: &str,
        customer: &str,
        now: BootInstant,
        is_ended: &dyn Fn(&str) -> bool,
    ) -> Option<(ShareChange, u64)> {
        if now < self.change_at {
            return None;
        }
        let mut record = self.record.clone();
        let removed: Vec<String> =
            record.shares.keys().filter(|name| *name != host && is_ended(name)).cloned().collect();
        for name in &removed {
            record.shares.remove(name);
        }
        let demand = (self.demand * 1_000.0) as u64;
        let own = record.shares.get(host).map_or(0, |part| part.units);
        record.shares.insert(host.to_owned(), HostShare { units: own, demand });
        let units = self.next_units(own, &record);
        let is_due = units.abs_diff(own) * 10 > own.max(1) || self.version == 0 || own > self.units;
        if !is_due && (removed.is_empty() || !self.was_short) {
            return None;
        }
        record.shares.insert(host.to_owned(), HostShare { units, demand });
        let customer = customer.to_owned();
        Some((ShareChange { customer, version: self.version, record, removed }, units))
    }

    fn next_units(&self, own: u64, record: &ShareRecord) -> u64 {
        let (wanted, free) = (self.wanted_units(), record.free_units());
        let grantable = free - (free as f64 * FREE_RESERVE) as u64;
        let fair = self.fair_units(record.total_demand());
        match wanted {
            // Nothing is left for others: what exceeds the fair part is returned.
            _ if free * 20 < RATE_UNITS && own > fair + fair / 10 => fair.min(wanted.max(1)),
            wanted if wanted > own => own + (wanted - own).min(grantable),
            wanted if own as f64 > wanted as f64 * EXCESS => wanted,
            _ => own,
        }
    }
}
