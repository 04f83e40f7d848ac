//! What a host assumes after the store was restored from a copy.
//!
//! The copy lacks the last renewals, and the rows of hosts that have joined since. So for the term
//! of a lease, counted from the first reply of the restored store, any host may hold a lease that
//! no row shows, and nothing is taken over from a host because its lease has ended.

use std::time::Duration;

use super::clock::{BootInstant, StoreInstant};
use super::failover::step::PROMOTION_TERM;
use super::group::GroupRecord;
use super::lease::STORED_LEASE_TERM;
use super::state::HostState;

/// Time after which operators and endpoints have written again what the copy lacks.
pub const REWRITE_TERM: Duration = Duration::from_secs(5);

// Endpoints are asked after this time which of them leads, so no promotion from before the
// restoration may take effect later.
const _: () = assert!(REWRITE_TERM.as_millis() >= PROMOTION_TERM.as_millis());

impl HostState {
    /// Records that the store was restored, as seen at `at` for the first time.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use tanagerdeal_core::ledger::clock::BootInstant;
    /// use tanagerdeal_core::ledger::lease::LEASE_TERM;
    /// use tanagerdeal_core::ledger::state::HostState;
    ///
    /// let now = BootInstant::from_micros(0);
    /// let mut state = HostState::new("h1", "d1", Default::default(), now);
    /// assert!(!state.has_unknown_leases(now));
    /// state.note_restoration(now);
    /// assert!(state.has_unknown_leases(now.after(LEASE_TERM)));
    /// assert!(!state.has_unknown_leases(now.after(LEASE_TERM + Duration::from_secs(1))));
    /// ```
    pub fn note_restoration(&mut self, at: BootInstant) {
        self.restored_at = self.restored_at.max(Some(at));
        self.quota.hold_growth(at.after(STORED_LEASE_TERM));
    }

    /// Whether a host may hold a lease from before a restoration.
    pub fn has_unknown_leases(&self, now: BootInstant) -> bool {
        self.is_restored_within(STORED_LEASE_TERM, now)
    }

    /// Whether operators and endpoints may not have written their rows again. What they had said
    /// before holds meanwhile.
    pub fn is_being_rewritten(&self, now: BootInstant) -> bool {
        self.is_restored_within(REWRITE_TERM, now)
    }

    /// Whether rows that were written after the store's clock showed `time` may be lost.
    pub fn may_lack_rows_since(&self, time: StoreInstant) -> bool {
        let clock = self.lease.clock();
        let began_at = clock.map_or(BootInstant::from_micros(0), |clock| clock.not_after(time));
        self.restored_at.is_some_and(|restored_at| began_at <= restored_at)
    }

    /// Whether the endpoints of a group whose row is not verified can tell now which of them leads:
    /// they have registered again, and a promotion that was called for before the restoration, or
    /// that the row records, has taken effect or cannot any more.
    pub fn is_verification_due(&self, record: &GroupRecord, now: BootInstant) -> bool {
        let store_now = self.lease.clock().map(|clock| clock.earliest(now));
        let is_settled =
            record.promotion().is_none_or(|promotion| store_now > Some(promotion.effective_until));
        let is_rewritten = self.restored_at.is_some_and(|at| now >= at.after(REWRITE_TERM));
        !self.groups.is_verified(&record.group) && is_rewritten && is_settled
    }

    /// Whether the store was restored less than `term` before `now`.
    pub fn is_restored_within(&self, term: Duration, now: BootInstant) -> bool {
        self.restored_at.is_some_and(|at| now < at.after(term))
    }
}
