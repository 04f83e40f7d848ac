//! This host's base share of every resource.

use std::time::Instant;

use tanagerdeal_wire::{EndpointName, value_type};

use crate::limit::RATE_UNITS;
use crate::session::placement::stable_hash;

value_type! {
    /// Base share of this host under the share views in effect.
    ///
    /// The host has `numerator / denominator` of every customer's rate. An endpoint's connections
    /// are distributed among `denominator` hosts, and it has those that fall to `rank`.
    #[derive(Copy)]
    pub struct BaseShare {
        /// 1 while the host has a share, 0 while it has none.
        pub numerator: u64,
        /// Number of failure domains times number of hosts in this host's view.
        pub denominator: u64,
        /// Index of this host among the holders, below `denominator`: the index of its failure
        /// domain, plus the number of failure domains times its index in the view. In this order
        /// the connections of a failure domain do not depend on the number of hosts in its view. A
        /// rank equal to `denominator` means no index: the host has only the connections that every
        /// index gets.
        pub rank: u64,
        /// When the share expires unless the lease is renewed.
        pub valid_until: Instant,
    }
}

impl BaseShare {
    /// The share of a customer's rate, in millionths.
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

    /// This host's connections to an endpoint that allows `total` in all.
    ///
    /// The distribution starts at a different index for each endpoint, so that no host gets the
    /// remainder of all of them.
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
        let (quotient, remainder) =
            (u64::from(total) / denominator, u64::from(total) % denominator);
        let start = stable_hash(&[endpoint.as_str()]) % denominator;
        let index = (self.rank + denominator - start) % denominator;
        let gets_extra = self.rank < denominator && index < remainder;
        self.numerator.min(1) * (quotient + u64::from(gets_extra))
    }
}
