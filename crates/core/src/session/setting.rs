//! Settings of a session that the proxy handles itself.

use std::time::Duration;

use tanagerdeal_wire::value_type;
use uuid::Uuid;

use crate::statement::SETTING_PREFIX;

/// Greatest age of a read that a client may accept, in milliseconds.
const MAX_READ_AGE_MS: u32 = 3_600_000;

/// Longest deadline of a request, in milliseconds.
const MAX_DEADLINE_MS: u32 = 600_000;

/// Longest request id, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 128;

/// Longest shard key, in bytes.
const MAX_SHARD_KEY_BYTES: usize = 256;

/// Time for which `tanagerdeal_requests` keeps the outcome of a request.
const RECORD_KEPT: Duration = Duration::from_secs(24 * 3600);

value_type! {
    /// Names of the settings, without prefix.
    #[derive(Copy)]
    pub(crate) enum SettingName {
        SessionToken,
        RequestId,
        MaxReadAge,
        Deadline,
        Repeatable,
        ShardKey,
    }

    /// Values given by the client; absent ones come from the route.
    #[derive(Default)]
    pub(crate) struct SessionSettings {
        /// Id of the next write or transaction.
        pub(crate) request_id: Option<String>,
        pub(crate) max_read_age_ms: Option<u32>,
        pub(crate) deadline_ms: Option<u32>,
        pub(crate) repeatable: bool,
        /// Empty for the customer's name.
        pub(crate) shard_key: String,
    }
}

/// Why a setting was refused.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub(crate) enum SettingError {
    #[error("setting {0:?} is unknown")]
    UnknownName(String),
    #[error("setting {name} takes {expected}, got {value:?}")]
    InvalidValue { name: &'static str, expected: &'static str, value: String },
}

impl SettingName {
    /// Finds a setting by its name with prefix.
    pub(crate) fn parse(name: &str) -> Result<Self, SettingError> {
        let lower = name.to_lowercase();
        match lower.strip_prefix(SETTING_PREFIX) {
            Some("session_token") => Ok(Self::SessionToken),
            Some("request_id") => Ok(Self::RequestId),
            Some("max_read_age_ms") => Ok(Self::MaxReadAge),
            Some("deadline_ms") => Ok(Self::Deadline),
            Some("repeatable") => Ok(Self::Repeatable),
            Some("shard_key") => Ok(Self::ShardKey),
            _ => Err(SettingError::UnknownName(name.to_owned())),
        }
    }
}

impl SessionSettings {
    /// Checks and stores a value; an empty one resets the setting. The token is not stored here.
    pub(crate) fn change(&mut self, name: SettingName, value: &str) -> Result<(), SettingError> {
        match name {
            SettingName::SessionToken => {}
            SettingName::RequestId => self.request_id = parse_request_id(value)?,
            SettingName::MaxReadAge => {
                let expected = "an age of 0 to 3600000 ms";
                let range = (0, MAX_READ_AGE_MS);
                self.max_read_age_ms = parse_number("max_read_age_ms", expected, value, range)?;
            }
            SettingName::Deadline => {
                let expected = "a time of 1 to 600000 ms";
                let range = (1, MAX_DEADLINE_MS);
                self.deadline_ms = parse_number("deadline_ms", expected, value, range)?;
            }
            SettingName::Repeatable => self.repeatable = parse_switch(value)?,
            SettingName::ShardKey if value.len() > MAX_SHARD_KEY_BYTES => {
                let expected = "a text of at most 256 bytes";
                return Err(invalid("shard_key", expected, value));
            }
            SettingName::ShardKey => self.shard_key = value.to_owned(),
        }
        Ok(())
    }

    /// The value as `SHOW` gives it; empty for the token, which is sealed on demand.
    pub(crate) fn show(&self, name: SettingName) -> String {
        let number = |value: Option<u32>| value.map(|value| value.to_string()).unwrap_or_default();
        match name {
            SettingName::SessionToken => String::new(),
            SettingName::RequestId => self.request_id.clone().unwrap_or_default(),
            SettingName::MaxReadAge => number(self.max_read_age_ms),
            SettingName::Deadline => number(self.deadline_ms),
            SettingName::Repeatable => if self.repeatable { "on" } else { "off" }.to_owned(),
            SettingName::ShardKey => self.shard_key.clone(),
        }
    }
}

/// Whether the outcome of a request may have been forgotten, judged by the time in a UUIDv7.
///
/// Ids of other forms carry no time; their clients must not repeat them after 24 h.
pub(crate) fn is_expired_id(request_id: &str, wall_ms: u64) -> bool {
    let Some(stamp) = Uuid::try_parse(request_id).ok().and_then(|id| id.get_timestamp()) else {
        return false;
    };
    let is_v7 = Uuid::try_parse(request_id).is_ok_and(|id| id.get_version_num() == 7);
    let (seconds, nanos) = stamp.to_unix();
    let made_ms = seconds.saturating_mul(1_000).saturating_add(u64::from(nanos) / 1_000_000);
    let kept_ms = u64::try_from(RECORD_KEPT.as_millis()).unwrap_or(u64::MAX);
    is_v7 && made_ms.saturating_add(kept_ms) <= wall_ms
}

fn parse_request_id(value: &str) -> Result<Option<String>, SettingError> {
    let is_plain = value.bytes().all(|byte| byte.is_ascii_graphic() && !b"'\"\\".contains(&byte));
    match value.len() {
        0 => Ok(None),
        1..=MAX_REQUEST_ID_BYTES if is_plain => Ok(Some(value.to_owned())),
        _ => Err(invalid("request_id", "1 to 128 printable characters without quotes", value)),
    }
}

fn parse_number(
    name: &'static str,
    expected: &'static str,
    value: &str,
    (least, most): (u32, u32),
) -> Result<Option<u32>, SettingError> {
    match value.trim().parse() {
        _ if value.is_empty() => Ok(None),
        Ok(number) if (least..=most).contains(&number) => Ok(Some(number)),
        _ => Err(invalid(name, expected, value)),
    }
}

fn parse_switch(value: &str) -> Result<bool, SettingError> {
    match value.to_lowercase().as_str() {
        "on" | "true" | "1" => Ok(true),
        "off" | "false" | "0" | "" => Ok(false),
        _ => Err(invalid("repeatable", "on or off", value)),
    }
}

fn invalid(name: &'static str, expected: &'static str, value: &str) -> SettingError {
    let value = value.chars().take(MAX_REQUEST_ID_BYTES).collect();
    SettingError::InvalidValue { name, expected, value }
}
