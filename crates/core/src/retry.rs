//! Retry budgets, which keep retries from multiplying an overload.

/// Budgets by customer.
#[derive(Default)]
pub struct RetryTable {}
