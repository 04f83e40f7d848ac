//! Tokens lent for single requests.

use std::time::Instant;

/// Amounts of microtokens, each valid until an instant.
#[derive(Default)]
pub(super) struct TokenLoans {
    amounts: Vec<(Instant, u64)>,
}

impl TokenLoans {
    /// Adds microtokens that are valid until an instant.
    pub(super) fn add(&mut self, expires_at: Instant, microtokens: u64) {
        if microtokens > 0 {
            self.amounts.push((expires_at, microtokens));
        }
    }

    /// Microtokens that have not expired.
    pub(super) fn sum(&self, now: Instant) -> u64 {
        self.amounts
            .iter()
            .filter(|(expires_at, _)| *expires_at > now)
            .map(|(_, amount)| amount)
            .sum()
    }

    /// Takes microtokens, those that expire first before others. Expired ones must have been
    /// pruned.
    pub(super) fn spend(&mut self, mut microtokens: u64) {
        self.amounts.sort_unstable();
        for (_, amount) in &mut self.amounts {
            let spent = microtokens.min(*amount);
            *amount -= spent;
            microtokens -= spent;
        }
        self.amounts.retain(|(_, amount)| *amount > 0);
    }

    /// Drops amounts that have expired.
    pub(super) fn prune(&mut self, now: Instant) {
        self.amounts.retain(|(expires_at, _)| *expires_at > now);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.amounts.is_empty()
    }
}
