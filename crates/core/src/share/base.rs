//! The part of all resources that this host owns.

use std::time::Instant;

use tanagerdeal_wire::{EndpointName, value_type};

use crate::limit::RATE_UNITS;
use crate::session::placement::stable_hash;

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
