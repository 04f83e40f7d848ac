//! Retry budgets, which keep retries from multiplying an overload.

use std::collections::HashMap;
use std::time::Instant;

use tanagerdeal_wire::CustomerName;

/// Hundredths of one retry.
const RETRY_COST: u64 = 100;

/// Retries that a customer can have saved up, which is also the budget at the start.
const MOST_RETRIES: u64 = 20;

/// Hundredths of a retry added per second regardless of requests, so that a customer with little
/// traffic can retry too.
const FLOOR_PER_S: u64 = 100;

/// Budgets by customer.
#[derive(Default)]
pub struct RetryTable {
    budgets: HashMap<CustomerName, RetryBudget>,
}

struct RetryBudget {
    hundredths: u64,
    filled_at: Instant,
}

impl RetryTable {
    /// Adds a request's part to its customer's budget.
    pub(crate) fn note_request(&mut self, now: Instant, customer: &CustomerName, percent: u32) {
        let budget = self.budget(now, customer);
        budget.hundredths = (budget.hundredths + u64::from(percent)).min(MOST_RETRIES * RETRY_COST);
    }

    /// Takes one retry out of the budget.
    pub(crate) fn take(&mut self, now: Instant, customer: &CustomerName) -> bool {
        let budget = self.budget(now, customer);
        let left = budget.hundredths.checked_sub(RETRY_COST);
        budget.hundredths = left.unwrap_or(budget.hundredths);
        left.is_some()
    }

    /// Forgets customers that no longer exist.
    pub(crate) fn retain(&mut self, is_known: impl Fn(&CustomerName) -> bool) {
        self.budgets.retain(|customer, _| is_known(customer));
    }

    fn budget(&mut self, now: Instant, customer: &CustomerName) -> &mut RetryBudget {
        let full = MOST_RETRIES * RETRY_COST;
        let budget = self
            .budgets
            .entry(customer.clone())
            .or_insert(RetryBudget { hundredths: full, filled_at: now });
        let seconds = now.saturating_duration_since(budget.filled_at).as_secs();
        if seconds > 0 {
            budget.hundredths = (budget.hundredths + seconds * FLOOR_PER_S).min(full);
            budget.filled_at = now;
        }
        budget
    }
}
