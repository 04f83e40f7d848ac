//! Demand for shared resources, and what is to be borrowed for it.

use std::time::{Duration, Instant};

use tanagerdeal_wire::peer::ShareResource;
use tanagerdeal_wire::{CustomerName, EndpointName, HostName};

use super::demand::BorrowPace;
use super::holding::{LoanKind, RateHolding};
use super::{ADOPT_INTERVAL, BRIEF_LOAN, ShareNeed, ShareTable, lender_party};
use crate::limit::CustomerRate;

impl ShareTable {
    /// Units of a loan by one lender that has not ended at an instant.
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
        ledger.map_or(0, |ledger| ledger.taken_from(at, &lender_party(lender)))
    }

    /// Sets how long loans are valid.
    pub(crate) fn set_loan_valid(&mut self, loan_valid: Duration) {
        self.loan_valid = loan_valid;
    }

    /// Takes over a customer's rate and burst. A lower rate is in effect at once; a customer seen
    /// for the first time has no tokens.
    pub(crate) fn set_rate(&mut self, now: Instant, customer: &CustomerName, rate: CustomerRate) {
        let base = self.rate_base(now);
        match self.rates.get_mut(customer) {
            Some(holding) => holding.change_rate(now, base, rate),
            None => {
                self.rates.insert(customer.clone(), RateHolding::new(now, rate));
            }
        }
    }

    /// Whether the customers of a version of the catalog have yet to be adopted.
    pub(crate) fn is_new_version(&self, version: u64) -> bool {
        self.catalog_version != Some(version)
    }

    /// Settles holdings with loans. The others lose nothing when they are settled later, because what
    /// they hold changes with the base share only, which settles all.
    pub(crate) fn settle_loans(&mut self, now: Instant) {
        let base = self.rate_base(now);
        let with_loans = self.rates.values_mut().filter(|holding| !holding.is_idle());
        with_loans.for_each(|holding| {
            holding.settle(now, base);
        });
    }

    /// Forgets customers that do not exist in a version of the catalog, other than those with loans,
    /// for which this is tried again.
    pub(crate) fn retain_customers(
        &mut self,
        version: u64,
        is_known: impl Fn(&CustomerName) -> bool,
    ) {
        let mut is_done = true;
        self.rates.retain(|customer, holding| {
            let is_lent = !holding.is_idle();
            let is_known = is_known(customer);
            is_done &= is_known || !is_lent;
            is_known || is_lent
        });
        self.catalog_version = is_done.then_some(version);
    }

    /// Takes the token of one request; fails with the time at which the one after `ahead` others
    /// has come, or nothing when the share is too small for any.
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
            holding.demand.note(now);
        }
    }

    /// Whether holdings are to be adopted now: when they have changed, and at intervals.
    pub(crate) fn take_due(&mut self, now: Instant) -> bool {
        let is_due = self.adopted_at.is_none_or(|at| now >= at + ADOPT_INTERVAL);
        if is_due {
            self.adopted_at = Some(now);
        }
        is_due | std::mem::take(&mut self.is_changed)
    }

    /// Notes how many connections all hosts may open to an endpoint, and how many are in use and
    /// wanted here.
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
        holding.peak.note(now, wanted);
    }

    /// Forgets endpoints that no longer exist.
    pub(crate) fn retain_endpoints(&mut self, is_known: impl Fn(&EndpointName) -> bool) {
        self.connections.retain(|endpoint, _| is_known(endpoint));
    }

    /// When the next loan taken of an endpoint's connections, or the base share, ends.
    pub(crate) fn next_connection_end(
        &self,
        now: Instant,
        endpoint: &EndpointName,
    ) -> Option<Instant> {
        let loan = self.connections.get(endpoint).and_then(|holding| holding.ledger.next_end(now));
        let base = self.base.map(|base| base.valid_until).filter(|until| *until > now);
        loan.into_iter().chain(base).min()
    }

    /// What is to be borrowed of each resource whose use comes near to what is held, judged ahead of
    /// the end of loans.
    pub(crate) fn shortages(&mut self, now: Instant, ahead: Duration) -> Vec<ShareNeed> {
        let then = now + ahead;
        let base = self.rate_base(now);
        let rates = self.rates.iter_mut().filter_map(|(customer, holding)| {
            let (units, kind) = holding.shortage(now, then, (base, false));
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
            let units = holding.peak.peak().saturating_sub(holding.ledger.held(then, base));
            let resource = ShareResource::EndpointConnections(endpoint.clone());
            let kind = LoanKind::Lasting;
            needs.extend((units > 0).then_some(ShareNeed { resource, units, kind }));
        }
        needs
    }

    /// What is to be borrowed of a customer's rate because a request waits for it.
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

    /// Time for which a loan is asked for.
    pub(crate) fn loan_time(&self, kind: LoanKind) -> Duration {
        match kind {
            LoanKind::Lasting => self.loan_valid,
            LoanKind::Brief => BRIEF_LOAN.min(self.loan_valid),
        }
    }

    /// Requests for loans of a resource.
    pub(crate) fn pace(&mut self, resource: &ShareResource, kind: LoanKind) -> &mut BorrowPace {
        self.paces.entry((resource.clone(), kind)).or_default()
    }

    /// Customers with small shares whose tokens were asked for lately.
    pub(crate) fn small_in_use(&self, now: Instant) -> Vec<CustomerName> {
        let base = self.rate_base(now);
        let is_listed =
            |holding: &RateHolding| base > 0 && holding.is_small(base) && holding.is_used(now);
        let listed = self.rates.iter().filter(|(_, holding)| is_listed(holding));
        listed.map(|(customer, _)| customer.clone()).collect()
    }

    /// Units of each host's base share of a rate.
    pub(crate) fn base_units(&self, now: Instant) -> u64 {
        self.rate_base(now)
    }

    /// Whether a customer's base share is too small for loans of units, so that its tokens are
    /// borrowed one by one and at a pace of their own.
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

    /// Forgets requests for loans without an answer.
    pub(crate) fn prune_paces(&mut self, now: Instant) {
        self.paces.values_mut().for_each(|pace| pace.prune(now));
    }
}
