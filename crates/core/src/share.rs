//! Quota shares of this host: its base share of every resource, less loans to other hosts, plus
//! loans from them.

mod adopt;
mod base;
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

use crate::profile::HostTiming;
pub use base::BaseShare;
use demand::BorrowBackoff;
use escrow::{LoanEntry, LoanPeer};
pub(crate) use holding::LoanKind;
use holding::{ConnectionHolding, RateHolding};

/// Safety margin before the end of a loan in which the borrower no longer uses it, because the
/// clocks of two hosts run at different rates.
const CLOCK_DRIFT_MARGIN: Duration = Duration::from_millis(100);

/// The margin is at most this fraction of a loan's duration, as a divisor, so that
/// [`CLOCK_DRIFT_MARGIN`] does not use up a short loan.
const DRIFT_MARGIN_DIVISOR: u32 = 10;

/// Longest requested duration for which a loan of a customer's rate moves tokens only, and no
/// units.
const MAX_TOKEN_LOAN: Duration = Duration::from_millis(300);

/// Duration of a loan for one request, during which the lender withholds the capacity. It exceeds
/// the time that a request waits for a token.
const REQUEST_LOAN: Duration = Duration::from_millis(120);

/// Interval at which holdings are compared with demand. It is far shorter than the time before the
/// end of a loan during which its connections get no new work.
const COMPARE_INTERVAL: Duration = Duration::from_millis(100);

value_type! {
    /// Units that this host lacks.
    pub(crate) struct ShareNeed {
        pub(crate) resource: ShareResource,
        pub(crate) units: u64,
        pub(crate) kind: LoanKind,
    }
}

/// Shares of all resources on this host.
pub struct ShareTable {
    base: Option<BaseShare>,
    is_lending: bool,
    /// Whether the base share was handed over because the host leaves.
    is_handed_over: bool,
    loan_valid: Duration,
    rates: HashMap<CustomerName, RateHolding>,
    connections: HashMap<EndpointName, ConnectionHolding>,
    backoffs: HashMap<(ShareResource, LoanKind), BorrowBackoff>,
    /// Whether a loan or the base share has changed since holdings were last compared with demand.
    has_changed: bool,
    compared_at: Option<Instant>,
    /// Version of the catalog from which the customers were last loaded.
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
            backoffs: HashMap::new(),
            has_changed: false,
            compared_at: None,
            catalog_version: None,
        }
    }
}

impl ShareTable {
    /// Replaces the base share. A smaller one takes effect at once; units added have no tokens.
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
        self.has_changed = true;
        self.base = Some(base);
        self.clamp_all(now);
    }

    /// Whether this host has a base share now.
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

    /// Whether all units lent, and every connection in use, fit into a base share. Only then may
    /// the host report that it has adopted a new share view.
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
        let rates_fit =
            self.rates.values().all(|holding| holding.units_lent(now) <= base.rate_units());
        let connections_fit = self.connections.iter().all(|(endpoint, holding)| {
            let base = base.connections(endpoint, holding.total);
            holding.ledger.lent(now) <= base && holding.in_use <= holding.ledger.held(now, base)
        });
        rates_fit && connections_fit
    }

    /// Stops lending while a share view changes, or resumes it.
    ///
    /// ```
    /// tanagerdeal_core::share::ShareTable::default().set_lending(false);
    /// ```
    pub fn set_lending(&mut self, is_lending: bool) {
        self.is_lending = is_lending;
    }

    /// Grants a loan to another host. The loan has no units when nothing can be lent. It replaces
    /// earlier loans to the same host that are neither larger nor longer, and does not add to them.
    ///
    /// The units are deducted at once and return when the loan expires, whether or not the borrower
    /// receives the reply.
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
        let requested = Duration::from_millis(request.valid_ms);
        let expires_at = now + self.loan_valid.min(requested);
        let is_lending = self.is_lending && !self.is_handed_over;
        self.has_changed = true;
        let resource = request.resource.clone();
        let (host, incarnation) = (request.borrower.clone(), request.incarnation);
        let peer = LoanPeer { host, incarnation };
        let wanted = LoanEntry { peer, units: request.units, expires_at };
        let (units, millitokens) = match &resource {
            // Tokens of the base share fit any later view, because the base share is lowered before
            // lending stops. Tokens of borrowed units might not.
            ShareResource::CustomerRate(customer) if requested <= MAX_TOKEN_LOAN => {
                let base = self.rate_base(now);
                let holding = self.rates.get_mut(customer);
                let lend = |holding: &mut RateHolding| {
                    holding.lend_tokens(now, (base, is_lending), &wanted)
                };
                (0, holding.map_or(0, lend))
            }
            _ if !is_lending => (0, 0),
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
        ShareLoan { resource, units, millitokens, valid_ms: millis_between(now, expires_at) }
    }

    /// Accepts a loan that is valid until `valid_until`, counted from when the request was sent. An
    /// empty loan means that the peer has nothing to lend.
    ///
    /// The last part of its duration is not used, because the clocks of two hosts run at different
    /// rates.
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
        let is_brief = Duration::from_millis(loan.valid_ms) <= MAX_TOKEN_LOAN;
        match &loan.resource {
            ShareResource::CustomerRate(customer) if is_brief && self.is_small(customer) => {
                let holding = self.rates.get(customer);
                let backoff =
                    self.backoffs.entry((loan.resource.clone(), LoanKind::Brief)).or_default();
                backoff.record_token_answer(now, lender, |units| {
                    holding.is_some_and(|holding| holding.is_full_loan(loan.millitokens, units))
                });
            }
            // The customer's home host asks all hosts at fixed intervals, so an answer changes no
            // back-off.
            ShareResource::CustomerRate(customer) if self.is_small(customer) => {}
            resource => {
                let amount = loan.units.max(loan.millitokens);
                self.pace(resource, LoanKind::Lasting).record_answer(now, amount);
            }
        }
        self.has_changed = true;
        let margin =
            CLOCK_DRIFT_MARGIN.min(Duration::from_millis(loan.valid_ms) / DRIFT_MARGIN_DIVISOR);
        let expires_at = valid_until.checked_sub(margin).unwrap_or(now);
        if loan.units.max(loan.millitokens) == 0 || expires_at <= now {
            return;
        }
        let term = LoanEntry { peer: lender_peer(lender), units: loan.units, expires_at };
        match &loan.resource {
            ShareResource::CustomerRate(customer) if loan.units == 0 => {
                let base = self.rate_base(now);
                if let Some(holding) = self.rates.get_mut(customer) {
                    holding.accept_tokens(now, base, (expires_at, loan.millitokens));
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
                    holding.ledger.record_borrowed(term);
                }
            }
        }
    }

    /// Gives up the whole base share, less units lent, and returns it as loans for another host,
    /// because this host leaves. From then on it has no base share. Units borrowed stay until their
    /// loans expire.
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
            let units = base.saturating_sub(holding.ledger.lent(now));
            let resource = ShareResource::EndpointConnections(endpoint.clone());
            loans.push(ShareLoan { resource, units, millitokens: 0, valid_ms });
        }
        self.is_handed_over = true;
        self.has_changed = true;
        self.clamp_all(now);
        loans.retain(|loan| loan.units > 0);
        loans
    }

    /// Units held of a resource: the base share, less units lent, plus units borrowed.
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

    /// The base share, unless it has expired or was handed over.
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

fn lender_peer(lender: &HostName) -> LoanPeer {
    LoanPeer { host: lender.clone(), incarnation: 0 }
}

fn millis_between(now: Instant, expires_at: Instant) -> u64 {
    u64::try_from(expires_at.saturating_duration_since(now).as_millis()).unwrap_or(u64::MAX)
}
