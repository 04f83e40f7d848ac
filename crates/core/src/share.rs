//! Escrow of shared resources: base shares, loans given and loans taken.

mod adopt;
pub(crate) mod demand;
pub(crate) mod escrow;
mod holding;
#[cfg(test)]
mod tests;
mod tokens;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use tanagerdeal_wire::peer::{BorrowRequest, ShareLoan, ShareResource};
use tanagerdeal_wire::{CustomerName, EndpointName, HostName, value_type};

use crate::limit::RATE_UNITS;
use crate::profile::HostTiming;
use crate::session::placement::stable_hash;
use demand::BorrowPace;
use escrow::{LoanParty, LoanTerm};
pub(crate) use holding::LoanKind;
use holding::{ConnectionHolding, RateHolding};

/// Part of a loan's time that the borrower does not use, because clocks run at different rates.
const CLOCK_MARGIN: Duration = Duration::from_millis(100);

/// Part of a loan's time, as a divisor, that is enough of a margin when it is less than
/// [`CLOCK_MARGIN`].
const MARGIN_DIVISOR: u32 = 10;

/// Longest time of a loan of a customer's rate that moves tokens and no units.
const TOKEN_LOAN: Duration = Duration::from_millis(300);

/// Time of a loan for one request, for which its lender withholds capacity. A request waits no longer
/// for a token.
const BRIEF_LOAN: Duration = Duration::from_millis(120);

/// Interval at which holdings are compared with demand. It is far below the time before the end of a
/// loan at which its connections get no new work.
const ADOPT_INTERVAL: Duration = Duration::from_millis(100);

value_type! {
    /// Base share of this host under the share views in effect.
    ///
    /// The host owns `numerator / denominator` of every customer's rate, and of an endpoint's
    /// connections the units that fall to `rank` when they are dealt out to `denominator` hosts.
    #[derive(Copy)]
    pub struct BaseShare {
        /// 1 while the host has a share, 0 while it has none.
        pub numerator: u64,
        /// Failure domains times hosts of this host's view.
        pub denominator: u64,
        /// Place of this host among the holders, below `denominator`: the place of its failure
        /// domain, plus failure domains times its place in the view. In this order the connections
        /// of a failure domain do not depend on the number of hosts in its view. `denominator`
        /// itself stands for no place: only the connections that every place gets.
        pub rank: u64,
        /// When the share ends unless the lease is renewed.
        pub valid_until: Instant,
    }
}

value_type! {
    /// Units that this host lacks.
    pub(crate) struct ShareNeed {
        pub(crate) resource: ShareResource,
        pub(crate) units: u64,
        pub(crate) kind: LoanKind,
    }
}

/// Holdings per resource.
pub struct ShareTable {
    base: Option<BaseShare>,
    is_lending: bool,
    /// Whether the base share was handed over.
    is_handed_over: bool,
    loan_valid: Duration,
    rates: HashMap<CustomerName, RateHolding>,
    connections: HashMap<EndpointName, ConnectionHolding>,
    paces: HashMap<(ShareResource, LoanKind), BorrowPace>,
    /// Whether holdings of connections have changed since they were adopted.
    is_changed: bool,
    adopted_at: Option<Instant>,
    /// Version of the catalog whose customers were adopted.
    catalog_version: Option<u64>,
}

impl Default for ShareTable {
    fn default() -> Self {
        Self {
            base: None,
            is_lending: true,
            is_handed_over: false,
            loan_valid: HostTiming::default().loan_valid,
            rates: HashMap::new(),
            connections: HashMap::new(),
            paces: HashMap::new(),
            is_changed: false,
            adopted_at: None,
            catalog_version: None,
        }
    }
}

impl BaseShare {
    /// Millionths of a customer's rate.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use tanagerdeal_core::share::BaseShare;
    ///
    /// let valid_until = Instant::now();
    /// let base = BaseShare { numerator: 1, denominator: 9, rank: 0, valid_until };
    /// assert_eq!(base.rate_units(), 111_111);
    /// ```
    pub fn rate_units(&self) -> u64 {
        RATE_UNITS * self.numerator / self.denominator.max(1)
    }

    /// Connections of an endpoint that has `total` of them.
    ///
    /// Each endpoint is dealt from another place, so that no host gets the larger part of all.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use tanagerdeal_core::share::BaseShare;
    /// use tanagerdeal_wire::EndpointName;
    ///
    /// let endpoint = EndpointName::new("e1").unwrap();
    /// let valid_until = Instant::now();
    /// let dealt = |rank| {
    ///     BaseShare { numerator: 1, denominator: 9, rank, valid_until }.connections(&endpoint, 20)
    /// };
    /// assert_eq!((0..9).map(dealt).sum::<u64>(), 20);
    /// assert_eq!(dealt(9), 2);
    /// ```
    pub fn connections(&self, endpoint: &EndpointName, total: u32) -> u64 {
        let denominator = self.denominator.max(1);
        let (each, rest) = (u64::from(total) / denominator, u64::from(total) % denominator);
        let first = stable_hash(&[endpoint.as_str()]) % denominator;
        let place = (self.rank + denominator - first) % denominator;
        let has_more = self.rank < denominator && place < rest;
        self.numerator.min(1) * (each + u64::from(has_more))
    }
}

impl ShareTable {
    /// Replaces the base share; a smaller one is in effect at once, added units have no tokens.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    ///
    /// use tanagerdeal_core::share::{BaseShare, ShareTable};
    /// use tanagerdeal_wire::CustomerName;
    /// use tanagerdeal_wire::peer::ShareResource;
    ///
    /// let now = Instant::now();
    /// let valid_until = now + Duration::from_secs(90);
    /// let mut shares = ShareTable::default();
    /// shares.set_base(now, BaseShare { numerator: 1, denominator: 4, rank: 0, valid_until });
    /// let resource = ShareResource::CustomerRate(CustomerName::new("quarry").unwrap());
    /// assert_eq!(shares.held(now, &resource), 250_000);
    /// assert_eq!(shares.held(valid_until, &resource), 0);
    /// ```
    pub fn set_base(&mut self, now: Instant, base: BaseShare) {
        self.settle_all(now);
        self.is_changed = true;
        self.base = Some(base);
        self.clamp_all(now);
    }

    /// Whether this host owns a base share now.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use tanagerdeal_core::share::ShareTable;
    ///
    /// assert!(!ShareTable::default().has_base(Instant::now()));
    /// ```
    pub fn has_base(&self, now: Instant) -> bool {
        self.base.is_some_and(|base| base.numerator > 0 && now < base.valid_until)
    }

    /// Whether everything lent out, and every connection in use, fits into a base share, so that a
    /// new view may be reported.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use tanagerdeal_core::share::{BaseShare, ShareTable};
    ///
    /// let now = Instant::now();
    /// let base = BaseShare { numerator: 1, denominator: 4, rank: 0, valid_until: now };
    /// assert!(ShareTable::default().loans_fit(now, &base));
    /// ```
    pub fn loans_fit(&self, now: Instant, base: &BaseShare) -> bool {
        let rates_fit = self.rates.values().all(|holding| holding.given(now) <= base.rate_units());
        let connections_fit = self.connections.iter().all(|(endpoint, holding)| {
            let base = base.connections(endpoint, holding.total);
            holding.ledger.given(now) <= base && holding.in_use <= holding.ledger.held(now, base)
        });
        rates_fit && connections_fit
    }

    /// Stops or resumes lending, while a share view changes.
    ///
    /// ```
    /// tanagerdeal_core::share::ShareTable::default().set_lending(false);
    /// ```
    pub fn set_lending(&mut self, is_lending: bool) {
        self.is_lending = is_lending;
    }

    /// Grants a loan to another host; the loan has no units when nothing can be lent. It replaces
    /// earlier loans to the same host that are neither larger nor longer, and does not add to them.
    ///
    /// The units are deducted at once and come back after the loan's time, whether or not the
    /// borrower learns of the loan.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use tanagerdeal_core::share::ShareTable;
    /// use tanagerdeal_wire::peer::{BorrowRequest, ShareResource};
    /// use tanagerdeal_wire::{EndpointName, HostName};
    ///
    /// let request = BorrowRequest {
    ///     resource: ShareResource::EndpointConnections(EndpointName::new("e1").unwrap()),
    ///     units: 1,
    ///     valid_ms: 10_000,
    ///     borrower: HostName::new("h2").unwrap(),
    ///     incarnation: 1,
    /// };
    /// assert_eq!(ShareTable::default().lend(Instant::now(), &request).units, 0);
    /// ```
    pub fn lend(&mut self, now: Instant, request: &BorrowRequest) -> ShareLoan {
        let wanted_for = Duration::from_millis(request.valid_ms);
        let until = now + self.loan_valid.min(wanted_for);
        let is_lending = self.is_lending && !self.is_handed_over;
        self.is_changed = true;
        let resource = request.resource.clone();
        let (host, incarnation) = (request.borrower.clone(), request.incarnation);
        let party = LoanParty { host, incarnation };
        let wanted = LoanTerm { party, units: request.units, until };
        let (units, millitokens) = match &resource {
            _ if !is_lending => (0, 0),
            ShareResource::CustomerRate(customer) if wanted_for <= TOKEN_LOAN => {
                let base = self.rate_base(now);
                let holding = self.rates.get_mut(customer);
                (0, holding.map_or(0, |holding| holding.lend_tokens(now, base, &wanted)))
            }
            ShareResource::CustomerRate(customer) => {
                let base = self.rate_base(now);
                let holding = self.rates.get_mut(customer);
                holding.map_or((0, 0), |holding| holding.lend(now, base, wanted))
            }
            ShareResource::EndpointConnections(endpoint) => {
                let base = self.connection_base(now, endpoint);
                let holding = self.connections.get_mut(endpoint);
                (holding.map_or(0, |holding| holding.lend(now, base, wanted)), 0)
            }
        };
        ShareLoan { resource, units, millitokens, valid_ms: millis_between(now, until) }
    }

    /// Takes a loan into use until `valid_until`, counted from when the request was sent; an empty
    /// loan tells that the peer has nothing to lend.
    ///
    /// The last part of the time is not used, because clocks run at different rates.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    ///
    /// use tanagerdeal_core::share::ShareTable;
    /// use tanagerdeal_wire::peer::{ShareLoan, ShareResource};
    /// use tanagerdeal_wire::{CustomerName, HostName};
    ///
    /// let now = Instant::now();
    /// let resource = ShareResource::CustomerRate(CustomerName::new("quarry").unwrap());
    /// let loan = ShareLoan { resource, units: 10, millitokens: 0, valid_ms: 10_000 };
    /// let mut shares = ShareTable::default();
    /// shares.accept(now, &HostName::new("h1").unwrap(), &loan, now + Duration::from_secs(10));
    /// // A customer without a record has no use for a loan.
    /// assert_eq!(shares.held(now, &loan.resource), 0);
    /// ```
    pub fn accept(
        &mut self,
        now: Instant,
        lender: &HostName,
        loan: &ShareLoan,
        valid_until: Instant,
    ) {
        let is_brief = Duration::from_millis(loan.valid_ms) <= TOKEN_LOAN;
        match &loan.resource {
            ShareResource::CustomerRate(customer) if is_brief && self.is_small(customer) => {
                let holding = self.rates.get(customer);
                let pace = self.paces.entry((loan.resource.clone(), LoanKind::Brief)).or_default();
                pace.answer_tokens(now, lender, |units| {
                    holding.is_some_and(|holding| holding.is_full(loan.millitokens, units))
                });
            }
            // The home of a customer asks all hosts at fixed intervals.
            ShareResource::CustomerRate(customer) if self.is_small(customer) => {}
            resource => {
                let brought = loan.units.max(loan.millitokens);
                self.pace(resource, LoanKind::Lasting).answer(now, brought);
            }
        }
        self.is_changed = true;
        let margin = CLOCK_MARGIN.min(Duration::from_millis(loan.valid_ms) / MARGIN_DIVISOR);
        let until = valid_until.checked_sub(margin).unwrap_or(now);
        if loan.units.max(loan.millitokens) == 0 || until <= now {
            return;
        }
        let term = LoanTerm { party: lender_party(lender), units: loan.units, until };
        match &loan.resource {
            ShareResource::CustomerRate(customer) if loan.units == 0 => {
                let base = self.rate_base(now);
                if let Some(holding) = self.rates.get_mut(customer) {
                    holding.accept_tokens(now, base, (until, loan.millitokens));
                }
            }
            ShareResource::CustomerRate(customer) => {
                let base = self.rate_base(now);
                if let Some(holding) = self.rates.get_mut(customer) {
                    holding.accept(now, base, (term, loan.millitokens));
                }
            }
            ShareResource::EndpointConnections(endpoint) => {
                if let Some(holding) = self.connections.get_mut(endpoint) {
                    holding.ledger.take(term);
                }
            }
        }
    }

    /// Everything that can be handed over when the host leaves: the whole base share less loans
    /// given. The host has no base share from then on. Loans taken stay until they end.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// assert!(tanagerdeal_core::share::ShareTable::default().hand_over(Instant::now()).is_empty());
    /// ```
    pub fn hand_over(&mut self, now: Instant) -> Vec<ShareLoan> {
        self.settle_all(now);
        let mut loans = Vec::new();
        let valid_ms = millis_between(now, now + self.loan_valid);
        let base = self.rate_base(now);
        for (customer, holding) in &mut self.rates {
            let (units, millitokens) = holding.hand_over(now, base);
            let resource = ShareResource::CustomerRate(customer.clone());
            loans.push(ShareLoan { resource, units, millitokens, valid_ms });
        }
        for (endpoint, holding) in &self.connections {
            let base = self.connection_base(now, endpoint);
            let units = base.saturating_sub(holding.ledger.given(now));
            let resource = ShareResource::EndpointConnections(endpoint.clone());
            loans.push(ShareLoan { resource, units, millitokens: 0, valid_ms });
        }
        self.is_handed_over = true;
        self.is_changed = true;
        self.clamp_all(now);
        loans.retain(|loan| loan.units > 0);
        loans
    }

    /// Units held of a resource: base share less loans given plus loans taken.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use tanagerdeal_core::share::ShareTable;
    /// use tanagerdeal_wire::EndpointName;
    /// use tanagerdeal_wire::peer::ShareResource;
    ///
    /// let resource = ShareResource::EndpointConnections(EndpointName::new("e1").unwrap());
    /// assert_eq!(ShareTable::default().held(Instant::now(), &resource), 0);
    /// ```
    pub fn held(&self, now: Instant, resource: &ShareResource) -> u64 {
        match resource {
            ShareResource::CustomerRate(customer) => {
                let base = self.rate_base(now);
                let holding = self.rates.get(customer);
                holding.map_or(base, |holding| holding.ledger.held(now, base))
            }
            ShareResource::EndpointConnections(endpoint) => {
                let base = self.connection_base(now, endpoint);
                let holding = self.connections.get(endpoint);
                holding.map_or(base, |holding| holding.ledger.held(now, base))
            }
        }
    }

    /// The base share, unless it has ended or was handed over.
    fn valid_base(&self, now: Instant) -> Option<BaseShare> {
        self.base.filter(|base| base.valid_until > now && !self.is_handed_over)
    }

    fn rate_base(&self, now: Instant) -> u64 {
        self.valid_base(now).map_or(0, |base| base.rate_units())
    }

    fn connection_base(&self, now: Instant, endpoint: &EndpointName) -> u64 {
        let total = self.connections.get(endpoint).map_or(0, |holding| holding.total);
        self.valid_base(now).map_or(0, |base| base.connections(endpoint, total))
    }

    fn settle_all(&mut self, now: Instant) {
        let base = self.rate_base(now);
        self.rates.values_mut().for_each(|holding| {
            holding.settle(now, base);
        });
    }

    fn clamp_all(&mut self, now: Instant) {
        let base = self.rate_base(now);
        self.rates.values_mut().for_each(|holding| holding.clamp(now, base));
    }
}

fn lender_party(lender: &HostName) -> LoanParty {
    LoanParty { host: lender.clone(), incarnation: 0 }
}

fn millis_between(now: Instant, until: Instant) -> u64 {
    u64::try_from(until.saturating_duration_since(now).as_millis()).unwrap_or(u64::MAX)
}
