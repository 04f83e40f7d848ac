//! Retry budgets, which keep retries from multiplying an overload.

use std::collections::HashMap;
use std::time::Instant;

use tanagerdeal_wire::CustomerName;

/// Hundredths that one retry costs.
const HUNDREDTHS_PER_RETRY: u64 = 100;

/// Maximum number of retries in a customer's budget, which is also the initial budget.
const MAX_RETRIES: u64 = 20;

/// Hundredths added per second regardless of requests, so that a customer with little traffic can
/// retry too.
const MIN_REFILL_PER_S: u64 = 100;

/// Retry budgets by customer.
#[derive(Default)]
pub struct RetryTable {
    budgets: HashMap<CustomerName, RetryBudget>,
}

struct RetryBudget {
    hundredths: u64,
    refilled_at: Instant,
}

impl RetryTable {
    /// Adds `percent` hundredths of a retry to a customer's budget for one request.
    pub(crate) fn note_request(&mut self, now: Instant, customer: &CustomerName, percent: u32) {
        let budget = self.budget(now, customer);
        budget.hundredths =
            (budget.hundredths + u64::from(percent)).min(MAX_RETRIES * HUNDREDTHS_PER_RETRY);
    }

    /// Takes one retry from the budget; returns whether there was one.
    pub(crate) fn take(&mut self, now: Instant, customer: &CustomerName) -> bool {
        let budget = self.budget(now, customer);
        let left = budget.hundredths.checked_sub(HUNDREDTHS_PER_RETRY);
        budget.hundredths = left.unwrap_or(budget.hundredths);
        left.is_some()
    }

    /// Removes customers that no longer exist.
    pub(crate) fn retain(&mut self, is_known: impl Fn(&CustomerName) -> bool) {
        self.budgets.retain(|customer, _| is_known(customer));
    }

    fn budget(&mut self, now: Instant, customer: &CustomerName) -> &mut RetryBudget {
        let max_hundredths = MAX_RETRIES * HUNDREDTHS_PER_RETRY;
        let budget = self
            .budgets
            .entry(customer.clone())
            .or_insert(RetryBudget { hundredths: max_hundredths, refilled_at: now });
        let seconds = now.saturating_duration_since(budget.refilled_at).as_secs();
        if seconds > 0 {
            budget.hundredths =
                (budget.hundredths + seconds * MIN_REFILL_PER_S).min(max_hundredths);
            budget.refilled_at = now;
        }
        budget
    }
}
