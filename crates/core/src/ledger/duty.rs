//! Duties: calls to the platform that one host at a time may make.
//!
//! The holder of a duty has a lease on the duty's row. The row also holds a fencing token, which
//! increases with each new holder and goes with every call.

use std::time::Duration;

use tanagerdeal_wire::wire_type;

use super::clock::StoreInstant;
use super::version::FIRST_ERA;

/// Shortest term of a duty lease. It covers two calls to a store that is a hundred times slower
/// than usual (0.4 s each) and a call to the platform (0.9 s).
pub const MIN_DUTY_TERM: Duration = Duration::from_secs(3);
/// Time after the end of a duty lease before another host may take over. The holder's calls end
/// within its lease; the margin covers a process that is paused between its last check of the clock
/// and its call.
pub const DUTY_LEASE_MARGIN: Duration = Duration::from_millis(1_000);

wire_type! {
    /// The row of a duty.
    pub struct DutyLease {
        /// Name of the holder.
        pub holder: String,
        /// Incarnation of the process that holds the lease.
        pub incarnation: u64,
        /// Fencing token; it increases when the holder changes.
        pub token: u64,
        /// End of the lease, unless it is renewed.
        pub until: StoreInstant,
    }
}

/// Whether a host may acquire or renew a duty lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DutyDecision {
    /// Write this row, on condition that the known one is unchanged.
    Take(DutyLease),
    /// Another host may hold the lease until then.
    Wait(StoreInstant),
}

/// Name, incarnation and lease term of a host that wants a duty.
#[derive(Clone, Copy, Debug)]
pub struct DutyApplicant<'a> {
    /// Name of the host.
    pub host: &'a str,
    /// Incarnation of its process.
    pub incarnation: u64,
    /// Term of the lease.
    pub term: Duration,
    /// Lowest token to use.
    pub min_token: u64,
}

/// Bits of a fencing token that count the holders of an era.
const HOLDER_BITS: u32 = 32;

/// The lowest fencing token of an era of the store. A restored row may hold a token that has been
/// given out again since the copy was made, so the tokens of a later era are all higher.
///
/// ```
/// use tanagerdeal_core::ledger::duty::min_token;
///
/// assert_eq!(min_token(1), 1);
/// assert!(min_token(2) > 1_000_000);
/// ```
pub fn min_token(era: u64) -> u64 {
    (era.saturating_sub(FIRST_ERA) << HOLDER_BITS) + 1
}

/// Decides whether a host acquires or renews a duty lease. A process restarted on the same host
/// takes it over at once, since its predecessor is dead and so are its connections.
///
/// ```
/// use tanagerdeal_core::ledger::clock::StoreInstant;
/// use tanagerdeal_core::ledger::duty::{
///     DutyApplicant, DutyDecision, MIN_DUTY_TERM, decide_duty_lease,
/// };
///
/// let applicant = DutyApplicant { host: "h1", incarnation: 7, term: MIN_DUTY_TERM, min_token: 1 };
/// let decision = decide_duty_lease(None, applicant, StoreInstant::from_millis(100));
/// let DutyDecision::Take(lease) = decision else { panic!("free") };
/// assert_eq!((lease.token, lease.holder.as_str()), (1, "h1"));
/// ```
pub fn decide_duty_lease(
    known: Option<&DutyLease>,
    applicant: DutyApplicant<'_>,
    now: StoreInstant,
) -> DutyDecision {
    let DutyApplicant { host, incarnation, term, min_token } = applicant;
    let take = |token: u64| {
        let token = token.max(min_token);
        let (holder, until) = (host.to_owned(), now.after(term));
        DutyDecision::Take(DutyLease { holder, incarnation, token, until })
    };
    match known {
        None => take(1),
        Some(row) if row.holder == host && row.incarnation == incarnation => take(row.token),
        Some(row) if row.holder == host => take(row.token + 1),
        Some(row) if row.until.after(DUTY_LEASE_MARGIN) < now => take(row.token + 1),
        Some(row) => DutyDecision::Wait(row.until.after(DUTY_LEASE_MARGIN)),
    }
}
