//! Rate limits of customers, from the shares held by this host.

/// Token buckets by customer.
#[derive(Default)]
pub struct LimitTable {}
