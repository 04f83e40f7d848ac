//! Demand for shared resources, and the units to borrow to meet it.

use std::time::{Duration, Instant};

use tanagerdeal_wire::peer::ShareResource;
use tanagerdeal_wire::{CustomerName, EndpointName, HostName};

use super::demand::BorrowBackoff;
use super::holding::{LoanKind, RateHolding};
use super::{COMPARE_INTERVAL, REQUEST_LOAN, ShareNeed, ShareTable, lender_peer};
use crate::limit::CustomerRate;

impl ShareTable {
    /// Units borrowed from one lender that are still valid at an instant.
    pub(crate) fn taken_from(
        &self,
        at: Instant,
        lender: &HostName,
        resource: &ShareResource,
    ) -> u64 {
        let ledger = match resource {
            ShareResource::CustomerRate(customer) => {
                self.rates.get(customer).map(|holding| &holding.ledger)
            }
            ShareResource::EndpointConnections(endpoint) => {
                self.connections.get(endpoint).map(|holding| &holding.ledger)
            }
        };
        ledger.map_or(0, |ledger| ledger.borrowed_from(at, &lender_peer(lender)))
    }

    /// Sets the duration of loans of units.
    pub(crate) fn set_loan_valid(&mut self, loan_valid: Duration) {
        self.loan_valid = loan_valid;
    }

    /// Sets a customer's rate and burst. A lower rate takes effect at once. A customer seen for the
    /// first time starts without tokens.
    pub(crate) fn set_rate(&mut self, now: Instant, customer: &CustomerName, rate: CustomerRate) {
        let base = self.rate_base(now);
        match self.rates.get_mut(customer) {
            Some(holding) => holding.change_rate(now, base, rate),
            None => {
                self.rates.insert(customer.clone(), RateHolding::new(now, rate));
            }
        }
    }

    /// Whether the customers of a catalog version have yet to be loaded.
    pub(crate) fn is_new_version(&self, version: u64) -> bool {
        self.catalog_version != Some(version)
    }

    /// Settles the holdings that have loans. The others lose nothing when they are settled later:
    /// their units change only with the base share, and a change of it settles all holdings.
    pub(crate) fn settle_loans(&mut self, now: Instant) {
        let base = self.rate_base(now);
        let with_loans = self.rates.values_mut().filter(|holding| !holding.is_idle());
        with_loans.for_each(|holding| {
            holding.settle(now, base);
        });
    }

    /// Removes customers that a version of the catalog does not contain. Customers with loans are
    /// kept, and their removal is tried again later.
    pub(crate) fn retain_customers(
        &mut self,
        version: u64,
        is_known: impl Fn(&CustomerName) -> bool,
    ) {
        let mut is_complete = true;
        self.rates.retain(|customer, holding| {
            let has_loans = !holding.is_idle();
            let is_known = is_known(customer);
            is_complete &= is_known || !has_loans;
            is_known || has_loans
        });
        self.catalog_version = is_complete.then_some(version);
    }

    /// Takes the token of one request. On failure it returns when the request can have its token
    /// with `ahead` others before it, or `None` when the share is too small for any request.
    pub(crate) fn take_token(
        &mut self,
        now: Instant,
        customer: &CustomerName,
        ahead: u64,
    ) -> Result<(), Option<Instant>> {
        let base = self.rate_base(now);
        match self.rates.get_mut(customer) {
            Some(holding) => holding.take_token(now, base, ahead),
            None => Err(None),
        }
    }

    /// Counts a request of a customer as demand.
    pub(crate) fn note_demand(&mut self, now: Instant, customer: &CustomerName) {
        if let Some(holding) = self.rates.get_mut(customer) {
            holding.demand.record(now);
        }
    }

    /// Whether holdings must be compared with demand now: after a change, and at fixed intervals.
    pub(crate) fn take_due(&mut self, now: Instant) -> bool {
        let is_due = self.compared_at.is_none_or(|at| now >= at + COMPARE_INTERVAL);
        if is_due {
            self.compared_at = Some(now);
        }
        is_due | std::mem::take(&mut self.has_changed)
    }

    /// Records how many connections all hosts together may open to an endpoint, and how many this
    /// host uses and wants.
    pub(crate) fn note_connections(
        &mut self,
        now: Instant,
        endpoint: &EndpointName,
        total: u32,
        (in_use, wanted): (u64, u64),
    ) {
        let holding = self.connections.entry(endpoint.clone()).or_default();
        holding.total = total;
        holding.in_use = in_use;
        holding.ledger.prune(now);
        holding.peak.record(now, wanted);
    }

    /// Removes endpoints that no longer exist.
    pub(crate) fn retain_endpoints(&mut self, is_known: impl Fn(&EndpointName) -> bool) {
        self.connections.retain(|endpoint, _| is_known(endpoint));
    }

    /// When the next loan of an endpoint's connections to this host, or the base share, expires.
    pub(crate) fn next_connection_end(
        &self,
        now: Instant,
        endpoint: &EndpointName,
    ) -> Option<Instant> {
        let loan = self.connections.get(endpoint).and_then(|holding| holding.ledger.next_end(now));
        let base = self.base.map(|base| base.valid_until).filter(|until| *until > now);
        loan.into_iter().chain(base).min()
    }

    /// Units to borrow of each resource whose use approaches the units held. Loans that expire
    /// within `ahead` do not count as held.
    pub(crate) fn shortages(&mut self, now: Instant, ahead: Duration) -> Vec<ShareNeed> {
        let horizon = now + ahead;
        let base = self.rate_base(now);
        let rates = self.rates.iter_mut().filter_map(|(customer, holding)| {
            let (units, kind) = holding.shortage(now, horizon, (base, false));
            let need = || ShareNeed {
                resource: ShareResource::CustomerRate(customer.clone()),
                units,
                kind,
            };
            (units > 0).then(need)
        });
        let mut needs: Vec<ShareNeed> = rates.collect();
        for (endpoint, holding) in &self.connections {
            let base = self.connection_base(now, endpoint);
            let units = holding.peak.peak().saturating_sub(holding.ledger.held(horizon, base));
            let resource = ShareResource::EndpointConnections(endpoint.clone());
            let kind = LoanKind::Lasting;
            needs.extend((units > 0).then_some(ShareNeed { resource, units, kind }));
        }
        needs
    }

    /// Units to borrow of a customer's rate for a request that waits for a token.
    pub(crate) fn rate_shortage(
        &mut self,
        now: Instant,
        ahead: Duration,
        customer: &CustomerName,
    ) -> Option<ShareNeed> {
        let base = self.rate_base(now);
        let holding = self.rates.get_mut(customer)?;
        let (units, kind) = holding.shortage(now, now + ahead, (base, true));
        let resource = ShareResource::CustomerRate(customer.clone());
        (units > 0).then_some(ShareNeed { resource, units, kind })
    }

    /// Duration for which a loan of a kind is requested.
    pub(crate) fn loan_time(&self, kind: LoanKind) -> Duration {
        match kind {
            LoanKind::Lasting => self.loan_valid,
            LoanKind::Brief => REQUEST_LOAN.min(self.loan_valid),
        }
    }

    /// Back-off and requests in flight for loans of a resource.
    pub(crate) fn pace(&mut self, resource: &ShareResource, kind: LoanKind) -> &mut BorrowBackoff {
        self.backoffs.entry((resource.clone(), kind)).or_default()
    }

    /// Customers with small shares for which a token was lacking recently, here or at another host.
    pub(crate) fn small_lacking(&self, now: Instant) -> Vec<CustomerName> {
        let base = self.rate_base(now);
        let is_lacking_customer =
            |holding: &RateHolding| base > 0 && holding.is_small(base) && holding.had_shortage(now);
        let listed = self.rates.iter().filter(|(_, holding)| is_lacking_customer(holding));
        listed.map(|(customer, _)| customer.clone()).collect()
    }

    /// Sets whether the fleet is small enough for the base shares of a small customer to be pooled
    /// at one home host.
    pub(crate) fn set_gathered(&mut self, is_pooled: bool) {
        self.rates.values_mut().for_each(|holding| holding.is_pooled = is_pooled);
    }

    /// Units of this host's base share of a rate, which are the same for every customer.
    pub(crate) fn base_units(&self, now: Instant) -> u64 {
        self.rate_base(now)
    }

    /// Whether a customer's base share is too small for loans of units. Its tokens are then
    /// borrowed for single requests, with a back-off of their own.
    pub(crate) fn is_small(&self, customer: &CustomerName) -> bool {
        let base = self.base.map_or(0, |base| base.rate_units());
        self.rates.get(customer).is_some_and(|holding| holding.is_small(base))
    }

    /// Units whose capacity holds the tokens that a number of waiting requests lack.
    pub(crate) fn missing_units(
        &mut self,
        now: Instant,
        customer: &CustomerName,
        requests: u64,
    ) -> u64 {
        let base = self.rate_base(now);
        let holding = self.rates.get_mut(customer);
        holding.map_or(0, |holding| holding.missing_units(now, base, requests))
    }

    /// Drops loan requests that timed out.
    pub(crate) fn prune_paces(&mut self, now: Instant) {
        self.backoffs.values_mut().for_each(|backoff| backoff.prune(now));
    }
}
