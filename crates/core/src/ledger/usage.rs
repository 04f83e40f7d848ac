//! Usage of the customers: how many of their requests endpoints began to run in each window of time.
//!
//! Each host counts its own requests and sends its totals of a window, again and again, to relays of
//! its failure domain. Totals only grow and are merged by their maximum, so a message that is lost,
//! repeated or late does no harm, and a new relay soon knows as much as its predecessor. Relays
//! write what they know of a window to a row of their failure domain. The holder of the duty adds
//! the rows up, and fixes the sum in a row of its own before it is sent. Whoever sends reads that
//! row, so all reports of a window are equal.

mod report;

use std::collections::BTreeMap;
use std::time::Duration;

use tanagerdeal_wire::{value_type, wire_type};

pub use self::report::{
    ReportStep, UsageReport, fix_limit, missing_hosts, plan_report, report_slot,
};
use super::clock::StoreInstant;
use super::lease::HostEntry;

/// Ended windows whose totals hosts keep sending. With windows of 5 s, a report is due before its
/// window is the third.
pub const OPEN_WINDOWS: u64 = 3;
/// Rows of a failure domain: the windows that are still open, and some that are fixed already.
const DOMAIN_SLOTS: u64 = 6;

/// Encoded size of a count and the length of its customer's name, at most.
const COUNT_BYTES: usize = 12;

wire_type! {
    /// Totals of one process in one window.
    pub struct HostUsage {
        /// Name of the host.
        pub host: String,
        /// Incarnation of the process.
        pub incarnation: u64,
        /// Number of the window.
        pub window: u64,
        /// Sum over all customers once the window is over and no request of it is under way. A
        /// receiver with a smaller sum lacks some of the counts.
        pub total: Option<u64>,
        /// Requests by customer.
        pub counts: Vec<(String, u64)>,
    }

    /// Row with the totals of a failure domain in one window.
    pub struct DomainUsage {
        /// Number of the window.
        pub window: u64,
        /// Customers that `hosts` refers to.
        pub customers: Vec<String>,
        /// Totals by process.
        pub hosts: Vec<HostCounts>,
    }

    /// Totals of one process in a row.
    pub struct HostCounts {
        /// Name of the host.
        pub host: String,
        /// Incarnation of the process.
        pub incarnation: u64,
        /// Final sum, as in [`HostUsage`].
        pub total: Option<u64>,
        /// Requests by index of the customer.
        pub counts: Vec<(u32, u64)>,
    }
}

/// A row of a failure domain refers to a customer that it does not name.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("usage row refers to customer {index} of {customers}")]
pub struct UnknownCustomer {
    index: u32,
    customers: usize,
}

/// Maps the store's clock to windows of the time of day.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WindowClock {
    /// Time of day minus the store's clock, in milliseconds.
    pub offset_ms: i64,
    /// Length of a window, in milliseconds; at least 1.
    pub window_ms: u64,
}

impl WindowClock {
    /// Number of the window at an instant.
    ///
    /// ```
    /// use tanagerdeal_core::ledger::clock::StoreInstant;
    /// use tanagerdeal_core::ledger::usage::WindowClock;
    ///
    /// let clock = WindowClock { offset_ms: 12_000, window_ms: 5_000 };
    /// assert_eq!(clock.window_at(StoreInstant::from_millis(2_999)), 2);
    /// assert_eq!(clock.window_at(StoreInstant::from_millis(3_000)), 3);
    /// assert_eq!(clock.end_of(2), StoreInstant::from_millis(3_000));
    /// ```
    pub fn window_at(&self, instant: StoreInstant) -> u64 {
        instant.as_millis().saturating_add_signed(self.offset_ms) / self.window_ms
    }

    /// End of a window. Windows that ended before the store's clock began have its first instant.
    pub fn end_of(&self, window: u64) -> StoreInstant {
        let end_ms = (window + 1) * self.window_ms;
        let store_ms = end_ms.checked_add_signed(self.offset_ms.saturating_neg()).unwrap_or(0);
        StoreInstant::from_millis(store_ms)
    }

    /// Start of a window.
    pub fn start_of(&self, window: u64) -> StoreInstant {
        self.end_of(window).before(Duration::from_millis(self.window_ms))
    }
}

/// Offset of the time of day from the store's clock on which a fleet agrees: the median of what the
/// hosts with a lease at `read_at` report, so hosts whose time of day has jumped change little.
///
/// ```
/// use tanagerdeal_core::ledger::clock::StoreInstant;
/// use tanagerdeal_core::ledger::usage::agreed_offset;
///
/// assert_eq!(agreed_offset(&[], StoreInstant::from_millis(0)), None);
/// ```
pub fn agreed_offset(hosts: &[HostEntry], read_at: StoreInstant) -> Option<i64> {
    let live = hosts.iter().filter(|entry| entry.record.until > read_at);
    let mut offsets: Vec<i64> = live.filter_map(|entry| entry.record.time_offset_ms).collect();
    offsets.sort_unstable();
    offsets.get(offsets.len() / 2).copied()
}

#[derive(Default)]
struct WindowCount {
    counts: BTreeMap<String, u64>,
    in_flight: u64,
}

/// Requests of this host by window and customer.
#[derive(Default)]
pub struct UsageCounter {
    windows: BTreeMap<u64, WindowCount>,
}

impl UsageCounter {
    /// Records that a request is being sent to an endpoint.
    ///
    /// ```
    /// use tanagerdeal_core::ledger::usage::UsageCounter;
    ///
    /// let mut counter = UsageCounter::default();
    /// counter.begin(7);
    /// assert_eq!(counter.usage("h1", 1, 7, 8).total, None);
    /// counter.end(7, Some("acme"));
    /// assert_eq!(counter.usage("h1", 1, 7, 8).total, Some(1));
    /// ```
    pub fn begin(&mut self, window: u64) {
        self.windows.entry(window).or_default().in_flight += 1;
    }

    /// Records the outcome of a request that was sent in `window`: the customer if an endpoint began
    /// to run it, or if that is unknown.
    pub fn end(&mut self, window: u64, customer: Option<&str>) {
        let count = self.windows.entry(window).or_default();
        count.in_flight = count.in_flight.saturating_sub(1);
        if let Some(customer) = customer {
            *count.counts.entry(customer.to_owned()).or_default() += 1;
        }
    }

    /// Totals of a window, as of a time in window `current`.
    pub fn usage(&self, host: &str, incarnation: u64, window: u64, current: u64) -> HostUsage {
        let known = self.windows.get(&window);
        let counts = known.map(|count| count.counts.clone()).unwrap_or_default();
        let is_final = window < current && known.is_none_or(|count| count.in_flight == 0);
        let total = is_final.then(|| counts.values().sum());
        let (host, counts) = (host.to_owned(), counts.into_iter().collect());
        HostUsage { host, incarnation, window, total, counts }
    }

    /// Forgets the windows before `window`.
    pub fn forget_before(&mut self, window: u64) {
        self.windows = self.windows.split_off(&window);
    }
}

value_type! {
    /// What a relay knows of a process in a window.
    #[derive(Default)]
    struct KnownUsage {
        total: Option<u64>,
        counts: BTreeMap<String, u64>,
    }
}

/// Totals of many hosts by window, host and incarnation.
#[derive(Default)]
pub struct UsageTable {
    windows: BTreeMap<u64, BTreeMap<(String, u64), KnownUsage>>,
}

impl UsageTable {
    /// Merges totals of a process, and returns whether any of them is new.
    ///
    /// ```
    /// use tanagerdeal_core::ledger::usage::{UsageCounter, UsageTable};
    ///
    /// let usage = UsageCounter::default().usage("h1", 1, 7, 8);
    /// let mut table = UsageTable::default();
    /// assert!(table.merge(&usage));
    /// assert!(!table.merge(&usage));
    /// assert!(table.is_final(7, "h1", 1));
    /// ```
    pub fn merge(&mut self, usage: &HostUsage) -> bool {
        let window = self.windows.entry(usage.window).or_default();
        let known = window.entry((usage.host.clone(), usage.incarnation)).or_default();
        let before = known.clone();
        known.total = known.total.max(usage.total);
        for (customer, count) in &usage.counts {
            let merged = known.counts.entry(customer.clone()).or_default();
            *merged = (*merged).max(*count);
        }
        *known != before
    }

    /// Merges a row of a failure domain.
    ///
    /// # Errors
    ///
    /// Fails when the row refers to a customer that it does not name; the processes before that
    /// have been merged.
    pub fn merge_row(&mut self, row: &DomainUsage) -> Result<bool, UnknownCustomer> {
        let mut is_new = false;
        for host in &row.hosts {
            let name = |index: u32| {
                let customers = row.customers.len();
                let name = row.customers.get(index as usize).cloned();
                name.ok_or(UnknownCustomer { index, customers })
            };
            let counts = host.counts.iter().map(|(index, count)| Ok((name(*index)?, *count)));
            is_new |= self.merge(&HostUsage {
                host: host.host.clone(),
                incarnation: host.incarnation,
                window: row.window,
                total: host.total,
                counts: counts.collect::<Result<_, _>>()?,
            });
        }
        Ok(is_new)
    }

    /// The row of a window.
    pub fn row(&self, window: u64) -> DomainUsage {
        let known = || self.windows.get(&window).into_iter().flatten();
        let names = known().flat_map(|(_, usage)| usage.counts.keys());
        let names: std::collections::BTreeSet<&String> = names.collect();
        let customers: Vec<String> = names.into_iter().cloned().collect();
        let index = |name: &String| customers.binary_search(name).unwrap_or(0) as u32;
        let hosts = known().map(|((host, incarnation), usage)| HostCounts {
            host: host.clone(),
            incarnation: *incarnation,
            total: usage.total,
            counts: usage.counts.iter().map(|(name, count)| (index(name), *count)).collect(),
        });
        let hosts = hosts.collect();
        DomainUsage { window, customers, hosts }
    }

    /// Requests of all hosts in a window, by customer.
    pub fn sum(&self, window: u64) -> BTreeMap<String, u64> {
        let mut sums = BTreeMap::new();
        let known = self.windows.get(&window).into_iter().flatten();
        for (name, count) in known.flat_map(|(_, usage)| &usage.counts) {
            *sums.entry(name.clone()).or_default() += count;
        }
        sums
    }

    /// Whether all requests of a process in a window are known.
    pub fn is_final(&self, window: u64, host: &str, incarnation: u64) -> bool {
        let known = self.windows.get(&window);
        let usage = known.and_then(|known| known.get(&(host.to_owned(), incarnation)));
        usage.is_some_and(|usage| usage.total.is_some_and(|total| usage.count() >= total))
    }

    /// Forgets the windows before `window`.
    pub fn forget_before(&mut self, window: u64) {
        self.windows = self.windows.split_off(&window);
    }
}

impl KnownUsage {
    fn count(&self) -> u64 {
        self.counts.values().sum()
    }
}

impl HostUsage {
    /// The same totals in parts whose names and counts take at most about `max_bytes` each. A
    /// receiver merges them in any order.
    ///
    /// ```
    /// use tanagerdeal_core::ledger::usage::UsageCounter;
    ///
    /// let mut counter = UsageCounter::default();
    /// counter.end(7, Some("acme"));
    /// counter.end(7, Some("byrd"));
    /// assert_eq!(counter.usage("h1", 1, 7, 8).parts(20).len(), 2);
    /// ```
    pub fn parts(&self, max_bytes: usize) -> Vec<Self> {
        let empty = || Self { counts: Vec::new(), ..self.clone() };
        let mut parts = vec![empty()];
        let mut bytes = 0;
        for entry in &self.counts {
            let size = entry.0.len() + COUNT_BYTES;
            if bytes > 0 && bytes + size > max_bytes {
                parts.push(empty());
                bytes = 0;
            }
            bytes += size;
            parts.iter_mut().last().into_iter().for_each(|part| part.counts.push(entry.clone()));
        }
        parts
    }
}

/// Start of the keys of a window's rows.
pub fn domain_prefix(window: u64) -> String {
    format!("{}/", window % DOMAIN_SLOTS)
}

/// Key of the row of a failure domain for a window. The rows are used in turn.
///
/// ```
/// use tanagerdeal_core::ledger::usage::domain_key;
///
/// assert_eq!(domain_key("d1", 6), domain_key("d1", 0));
/// assert_ne!(domain_key("d1", 1), domain_key("d1", 0));
/// ```
pub fn domain_key(domain: &str, window: u64) -> String {
    format!("{}{domain}", domain_prefix(window))
}
