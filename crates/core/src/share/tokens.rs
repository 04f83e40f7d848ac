//! Tokens that are lent for one request.

use std::time::Instant;

/// Microtokens, each part until an instant.
#[derive(Default)]
pub(super) struct TokenLoans {
    parts: Vec<(Instant, u64)>,
}

impl TokenLoans {
    /// Adds microtokens.
    pub(super) fn add(&mut self, until: Instant, microtokens: u64) {
        if microtokens > 0 {
            self.parts.push((until, microtokens));
        }
    }

    /// Microtokens that have not ended.
    pub(super) fn sum(&self, now: Instant) -> u64 {
        self.parts.iter().filter(|(until, _)| *until > now).map(|(_, part)| part).sum()
    }

    /// Takes microtokens, those that end first before others; called on pruned loans.
    pub(super) fn spend(&mut self, mut microtokens: u64) {
        self.parts.sort_unstable();
        for (_, part) in &mut self.parts {
            let spent = microtokens.min(*part);
            *part -= spent;
            microtokens -= spent;
        }
        self.parts.retain(|(_, part)| *part > 0);
    }

    /// Forgets parts that have ended.
    pub(super) fn prune(&mut self, now: Instant) {
        self.parts.retain(|(until, _)| *until > now);
    }

    /// Whether no part is left.
    pub(super) fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }
}
