//! Session settings that the proxy handles itself.

use tanagerdeal_wire::token::{GroupWatermark, SessionToken};

use super::rights;
use crate::host::HostState;
use crate::message::SessionKey;
use crate::message::caller::CallerAnswer;
use crate::routing::{EndpointTable, PositionCheck};
use crate::session::SessionEntry;
use crate::session::mark::MAX_MARKS;
use crate::session::setting::SettingName;
use crate::verdict::{RefusalCode, RequestRefusal};

/// Changes a setting of a session.
pub(super) fn change_setting(
    state: &mut HostState,
    session: SessionKey,
    name: &str,
    value: &str,
) -> CallerAnswer {
    let Some(entry) = state.sessions.entries.get_mut(session) else {
        return CallerAnswer::Refused(rights::invalid_key());
    };
    let result = apply_setting(&state.endpoints, &state.profile.fleet_secret, entry, (name, value));
    match result {
        Ok(()) => CallerAnswer::SettingChanged,
        Err(refusal) => {
            state.counters.tokens_refused += u64::from(is_session_token(name));
            CallerAnswer::Refused(refusal)
        }
    }
}

/// Applies the settings of the start-up message. The first invalid one refuses the session.
pub(super) fn apply_all(
    state: &mut HostState,
    entry: &mut SessionEntry,
    settings: &[(String, String)],
) -> Result<(), RequestRefusal> {
    for (name, value) in settings {
        let secret = &state.profile.fleet_secret;
        apply_setting(&state.endpoints, secret, entry, (name, value)).inspect_err(|_| {
            state.counters.tokens_refused += u64::from(is_session_token(name));
        })?;
    }
    Ok(())
}

/// Returns the value of a session setting.
pub(super) fn show_setting(state: &HostState, session: SessionKey, name: &str) -> CallerAnswer {
    let Some(entry) = state.sessions.entries.get(session) else {
        return CallerAnswer::Refused(rights::invalid_key());
    };
    match SettingName::parse(name) {
        Ok(SettingName::SessionToken) => {
            CallerAnswer::SettingShown(entry.token(&state.profile.fleet_secret))
        }
        Ok(SettingName::ShardKey) => CallerAnswer::SettingShown(entry.shard_key().to_owned()),
        Ok(name) => CallerAnswer::SettingShown(entry.settings.show(name)),
        Err(error) => CallerAnswer::Refused(invalid_value(&error.to_string())),
    }
}

fn apply_setting(
    endpoints: &EndpointTable,
    secret: &[u8],
    entry: &mut SessionEntry,
    (name, value): (&str, &str),
) -> Result<(), RequestRefusal> {
    let name = SettingName::parse(name).map_err(|error| invalid_value(&error.to_string()))?;
    match name {
        SettingName::ShardKey if entry.in_transaction() => {
            Err(invalid_value("setting shard_key can be changed only outside a transaction"))
        }
        SettingName::SessionToken if value.is_empty() => {
            entry.marks.clear();
            Ok(())
        }
        SettingName::SessionToken => {
            let token = SessionToken::open(value, secret, &entry.account)
                .map_err(|error| invalid_value(&error.to_string()))?;
            merge_token(endpoints, entry, token)
        }
        _ => entry.settings.change(name, value).map_err(|error| invalid_value(&error.to_string())),
    }
}

fn merge_token(
    endpoints: &EndpointTable,
    entry: &mut SessionEntry,
    token: SessionToken,
) -> Result<(), RequestRefusal> {
    let added =
        token.watermarks.iter().filter(|mark| !entry.marks.contains_key(&mark.group)).count();
    if entry.marks.len() + added > MAX_MARKS {
        let message = "the session has watermarks of too many groups";
        return Err(RequestRefusal::not_run(RefusalCode::LimitExceeded, message));
    }
    for watermark in token.watermarks {
        merge_watermark(endpoints, entry, watermark);
    }
    Ok(())
}

/// Merges a watermark of a token into that of the session. If their terms differ, the older one may
/// have been lost in a failover, which keeping only the newer one would hide.
fn merge_watermark(endpoints: &EndpointTable, entry: &mut SessionEntry, watermark: GroupWatermark) {
    let group = endpoints.group(&watermark.group);
    let mark = entry.marks.entry(watermark.group).or_default();
    let (older, newer) =
        (mark.position.min(watermark.position), mark.position.max(watermark.position));
    let check = match group {
        Some(group) if mark.is_adopted && older.term < newer.term => {
            endpoints.check(group, older, newer)
        }
        _ => PositionCheck::Contained,
    };
    mark.is_lost |= matches!(check, PositionCheck::WriteLost(_));
    mark.adopt(newer);
}

fn is_session_token(name: &str) -> bool {
    SettingName::parse(name) == Ok(SettingName::SessionToken)
}

pub(super) fn invalid_value(message: &str) -> RequestRefusal {
    RequestRefusal::not_run(RefusalCode::InvalidValue, message)
}
