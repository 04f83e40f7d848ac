//! Rules on keys.

use std::collections::BTreeMap;

use super::{EFFECT_BOUND_US, RunRecord};
use crate::history::{Observation, OperatorAction};

/// A session is accepted on a route that takes a key only with a key of its customer.
pub(super) fn only_valid_keys(record: &RunRecord<'_>, violations: &mut Vec<String>) {
    let keyed = record.openings.iter().filter(|opening| !opening.open_route);
    for opening in keyed.filter(|opening| opening.accepted && !opening.key_valid) {
        violations.push(format!(
            "{} accepted key {:?} for customer {}",
            opening.host, opening.key, opening.customer
        ));
    }
}

/// No secret was found in the bytes that endpoints received, and the search could have found one.
pub(super) fn no_key_at_endpoints(record: &RunRecord<'_>, violations: &mut Vec<String>) {
    for observation in &record.files.observations {
        let Observation::Searched(sample) = observation else { continue };
        if sample.found > 0 {
            violations.push(format!("{} received a secret {} times", sample.member, sample.found));
        }
        if !sample.complete || sample.control_found == 0 {
            violations.push(format!("the search of {} proves nothing", sample.member));
        }
    }
}

/// No request of a key is executed later than the bound after its withdrawal.
pub(super) fn revoked_keys_stop(record: &RunRecord<'_>, violations: &mut Vec<String>) {
    let withdrawals = record.files.operators.iter();
    let withdrawals = withdrawals.filter(|event| event.action == OperatorAction::WithdrawKey);
    let withdrawn: BTreeMap<&str, u64> =
        withdrawals.map(|event| (event.name.as_str(), event.at_us + EFFECT_BOUND_US)).collect();
    for view in record.attempts.values() {
        let Some(bound) = withdrawn.get(view.invocation.key_name.as_str()) else { continue };
        // A transaction that began in time may end.
        let late = view.executions.iter().find(|execution| execution.began_us > *bound);
        if let Some(execution) = late {
            violations.push(format!(
                "{} was executed {} us after the bound for key {}",
                view.label(),
                execution.began_us - bound,
                view.invocation.key_name
            ));
        } else if view.is_done() && view.invocation.start_us > *bound {
            violations.push(format!(
                "{} was answered although key {} was withdrawn",
                view.label(),
                view.invocation.key_name
            ));
        }
    }
}
