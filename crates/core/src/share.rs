//! Escrow of shared resources: base shares, loans given and loans taken.

use std::time::Instant;

use tanagerdeal_wire::peer::{BorrowRequest, ShareLoan, ShareResource};
use tanagerdeal_wire::value_type;

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
        /// Place of this host among the holders, below `denominator`.
        pub rank: u64,
        /// When the share ends unless the lease is renewed.
        pub valid_until: Instant,
    }
}

/// Holdings per resource.
#[derive(Default)]
pub struct ShareTable {}

impl ShareTable {
    /// Replaces the base share; a smaller one is in effect at once, added units have no tokens.
    pub fn set_base(&mut self, _now: Instant, _base: BaseShare) {}

    /// Whether everything lent out fits into a base share, so that a new view may be reported.
    pub fn loans_fit(&self, _now: Instant, _base: &BaseShare) -> bool {
        true
    }

    /// Stops or resumes lending, while a share view changes.
    pub fn set_lending(&mut self, _is_lending: bool) {}

    /// Grants a loan to another host; the loan has no units when nothing can be lent.
    pub fn lend(&mut self, _now: Instant, request: &BorrowRequest) -> ShareLoan {
        ShareLoan { resource: request.resource.clone(), units: 0, millitokens: 0 }
    }

    /// Takes a loan into use until `valid_until`, counted from when the request was sent.
    pub fn accept(&mut self, _now: Instant, _loan: &ShareLoan, _valid_until: Instant) {}

    /// Everything that can be handed over when the host leaves.
    pub fn hand_over(&mut self, _now: Instant) -> Vec<ShareLoan> {
        Vec::new()
    }

    /// Units held of a resource: base share less loans given plus loans taken.
    pub fn held(&self, _now: Instant, _resource: &ShareResource) -> u64 {
        0
    }
}
