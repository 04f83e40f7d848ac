//! Opening of sessions.

use std::collections::BTreeMap;
use std::time::Instant;

use tanagerdeal_wire::key::CallerKey;
use tanagerdeal_wire::record::CustomerRecord;
use tanagerdeal_wire::{CustomerName, KeyName, RouteName};

use super::{rights, settings};
use crate::host::HostState;
use crate::message::DrainPhase;
use crate::message::caller::{CallerAnswer, SessionOpening};
use crate::session::setting::SessionSettings;
use crate::session::{SessionCredential, SessionEntry};
use crate::verdict::{RefusalCode, RequestRefusal};

/// Prefix of the account shared by the sessions of an open route. They have no customer, because
/// the user name of a client without a key proves nothing.
const OPEN_ACCOUNT_PREFIX: &str = "open-route.";

/// Maximum number of sessions on one open route and host.
const MAX_OPEN_ROUTE_SESSIONS: u32 = 10_000;

/// Salt and digest that match no secret. They are compared when the key is unknown, so that both
/// cases take the same time.
const DUMMY_SALT: &str = "0000000000000000";
const DUMMY_DIGEST: &str = "0000000000000000000000000000000000000000000";

/// Opens a session, or refuses it.
pub(super) fn open_session(
    state: &mut HostState,
    now: Instant,
    opening: SessionOpening,
) -> CallerAnswer {
    match authorize_opening(state, now, &opening) {
        Ok(mut entry) => match settings::apply_all(state, &mut entry, &opening.settings) {
            Ok(()) => {
                state.counters.sessions_opened += 1;
                CallerAnswer::SessionOpened { session: state.sessions.insert(entry) }
            }
            Err(refusal) => CallerAnswer::Refused(refusal),
        },
        Err(refusal) => {
            if refusal.code == RefusalCode::InvalidKey {
                state.counters.sessions_refused += 1;
            }
            CallerAnswer::Refused(refusal)
        }
    }
}

fn authorize_opening(
    state: &mut HostState,
    now: Instant,
    opening: &SessionOpening,
) -> Result<SessionEntry, RequestRefusal> {
    if state.drain.phase >= DrainPhase::Draining {
        return Err(rights::shutting_down());
    }
    let route = RouteName::new(&opening.database).map_err(|_| rights::invalid_key())?;
    let (account, credential, max_sessions) = match rights::is_open_route(state, &opening.database)
    {
        true => (open_route_account(&route), None, MAX_OPEN_ROUTE_SESSIONS),
        false => {
            rights::check_catalog_fresh(state, now)?;
            let (customer, credential) = check_key(state, opening)?;
            let record = state.catalog.customer(&customer).ok_or_else(rights::invalid_key)?;
            (customer, Some(credential), record.max_sessions)
        }
    };
    let entry = SessionEntry {
        account,
        user: opening.user.clone(),
        route,
        credential,
        settings: SessionSettings::default(),
        marks: BTreeMap::new(),
        opened_at: now,
        wall_ms: opening.wall_ms,
        waiting: None,
        dispatch: None,
        attempt: None,
        open_positions: 0,
        closing: None,
    };
    rights::check_session(state, &entry)?;
    match state.sessions.count(&entry.account) < max_sessions {
        true => Ok(entry),
        false => Err(RequestRefusal::not_run(
            RefusalCode::LimitExceeded,
            "the customer has too many sessions on this host",
        )),
    }
}

fn check_key(
    state: &HostState,
    opening: &SessionOpening,
) -> Result<(CustomerName, SessionCredential), RequestRefusal> {
    let password = opening.password.as_deref().unwrap_or_default();
    let key = CallerKey::parse(password).map_err(|_| rights::invalid_key())?;
    let name: Option<KeyName> = key.name().ok();
    let record = name.as_ref().and_then(|name| state.catalog.key(name));
    let (salt, digest) =
        record.map_or((DUMMY_SALT, DUMMY_DIGEST), |record| (&record.salt, &record.digest));
    let is_match = key.matches(salt, digest);
    match (name, record) {
        (Some(name), Some(record)) if is_match && record.customer.as_str() == opening.user => {
            let digest = record.digest.clone();
            Ok((record.customer.clone(), SessionCredential { name, digest }))
        }
        _ => Err(rights::invalid_key()),
    }
}

/// Account of an open route. A route name that is too long is truncated.
fn open_route_account(route: &RouteName) -> CustomerName {
    let name = format!("{OPEN_ACCOUNT_PREFIX}{route}");
    let name: String = name.chars().take(tanagerdeal_wire::name::MAX_NAME_BYTES).collect();
    CustomerName::new(&name).expect("a cut route name with a prefix has only allowed characters")
}

/// Scheduling weight and worth of a customer's requests; 1 for both on an open route.
pub(super) fn weight_and_worth(record: Option<&CustomerRecord>) -> (u32, u32) {
    record.map_or((1, 1), |record| (record.weight, record.worth))
}
