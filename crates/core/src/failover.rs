//! Suspicion of primaries, and promotions by this host.

/// Suspicions and promotions by group.
#[derive(Default)]
pub struct FailoverTable {}
