//! Duty leases in the store.

use serde_json::json;
use tanagerdeal_adapter::control::DutyCredential;
use tanagerdeal_adapter::store::RowName;
use tanagerdeal_core::ledger::clock::BootInstant;
use tanagerdeal_core::ledger::duty::{
    DUTY_LEASE_MARGIN, DutyApplicant, DutyDecision, DutyLease, decide_duty_lease, min_token,
};

use super::context::{HostContext, boot_now};
use super::follow::{READ_TIMEOUT, encode};
use super::journal;

/// Store table with the duty leases.
const DUTY_TABLE: &str = "duties";
/// Row key of the failover lease, which gives the right to change primaries.
pub(super) const PROMOTION_DUTY: &str = "promotion";
/// Row key of the lease that gives the right to report usage.
pub(super) const USAGE_DUTY: &str = "usage";

/// A duty lease that this host holds once it has written the row under the condition that its
/// version is unchanged.
pub(super) struct DutyClaim {
    duty: &'static str,
    lease: DutyLease,
    row_version: u64,
    /// End of the lease by this host's clock.
    pub(super) until: BootInstant,
}

/// Why a duty lease cannot be acquired.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ClaimError {
    /// The store did not answer, or the row is unreadable, so that no higher token can be chosen.
    Store,
    /// Another host holds the lease.
    Held,
}

impl DutyClaim {
    /// Fencing token of the lease.
    pub(super) fn token(&self) -> u64 {
        self.lease.token
    }

    /// End of the lease by the store's clock.
    pub(super) fn lease(&self) -> &DutyLease {
        &self.lease
    }

    /// Headers of a call under this lease.
    pub(super) fn credential(&self) -> DutyCredential<'_> {
        DutyCredential { holder: &self.lease.holder, token: self.lease.token }
    }

    /// Condition and write that acquire the lease. `None`, with a log line, if it cannot be encoded.
    pub(super) fn entry(&self) -> Option<(RowName<'static>, u64, Vec<u8>)> {
        let name = RowName { table: DUTY_TABLE, key: self.duty };
        encode(&self.lease).map(|value| (name, self.row_version, value))
    }
}

/// Reads a duty's row and decides whether this host may acquire or renew its lease.
pub(super) async fn claim(host: &HostContext, duty: &'static str) -> Result<DutyClaim, ClaimError> {
    // The lease is counted from before the read that returns the store's clock, so that it ends here
    // no later than in the store.
    let lease_from = boot_now();
    let page = host.store.read(DUTY_TABLE, READ_TIMEOUT).await;
    host.record_store_call("duty", &page);
    let page = page.map_err(|_| ClaimError::Store)?;
    let row = page.rows.iter().find(|row| row.key == duty);
    let known = row.and_then(|row| row.value.as_deref()).map(|value| decode(duty, value));
    let known = known.transpose()?;
    let term = host.settings.duty_term;
    // The copy may name a former holder. The last one's lease ends within this time.
    if host.state.borrow().is_restored_within(term + DUTY_LEASE_MARGIN, boot_now()) {
        return Err(ClaimError::Held);
    }
    let applicant = DutyApplicant {
        host: &host.settings.host,
        incarnation: host.incarnation,
        term,
        min_token: min_token(host.store.era()),
    };
    match decide_duty_lease(known.as_ref(), applicant, page.now) {
        DutyDecision::Take(lease) => Ok(DutyClaim {
            duty,
            lease,
            row_version: row.map_or(0, |row| row.version),
            until: lease_from.after(term),
        }),
        DutyDecision::Wait(_) => Err(ClaimError::Held),
    }
}

fn decode(duty: &str, value: &[u8]) -> Result<DutyLease, ClaimError> {
    serde_json::from_slice(value).map_err(|error| {
        let fields = json!({ "duty": duty, "reason": error.to_string() });
        journal::event("takeover", "unreadable_duty", fields);
        ClaimError::Store
    })
}
