//! Settings of a host that coordinates through the platform's store.

use std::net::SocketAddr;
use std::path::Path;
use std::str::FromStr;
use std::time::Duration;

use ini::{Ini, ParseOption};
use tanagerdeal_core::ledger::duty::MIN_DUTY_TERM;
use tanagerdeal_core::ledger::lease::MAX_RENEW_INTERVAL;
use tanagerdeal_core::ledger::pooling::{FeatureMode, PoolOffer};
use tanagerdeal_core::ledger::quota::LimitTolerance;

/// Value of a setting that a template left empty. It is treated as missing.
const EMPTY_VALUE: &str = "";
/// Default of `shutdown_s`, in seconds.
const DEFAULT_SHUTDOWN_S: u64 = 6;

/// Settings of a host.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteSettings {
    /// Name of the host.
    pub host: String,
    /// Failure domain of the host.
    pub domain: String,
    /// All failure domains.
    pub domains: Vec<String>,
    /// Address on which clients are accepted.
    pub callers: SocketAddr,
    /// Address of the HTTP server for readiness and metrics.
    pub admin: SocketAddr,
    /// Address for messages and table reads of other hosts.
    pub peers: SocketAddr,
    /// Address of the store.
    pub store: String,
    /// Address of the platform's service that promotes endpoints.
    pub control: String,
    /// Longest time of a shutdown.
    pub shutdown_limit: Duration,
    /// Number of file descriptors that the process may have open.
    pub descriptors: usize,
    /// Interval between lease renewals. A host that misses a change while watching the
    /// configuration learns of it within this time.
    pub renew_interval: Duration,
    /// Time in which a configuration takes effect.
    pub config_limit: Duration,
    /// Pause between polls of the endpoint registrations.
    pub registration_pause: Duration,
    /// Speed of the network link, in Mbit/s; 0 when it is not known.
    pub link_mbps: u32,
    /// Tolerance within which customers may exceed their rate limits.
    pub tolerance: LimitTolerance,
    /// Term of the leases on duties.
    pub duty_term: Duration,
    /// Reports of the customers' usage; `None` if the platform takes none.
    pub usage: Option<UsageSettings>,
    /// Address for statements of other hosts; `None` if the host runs none.
    pub forwarding: Option<SocketAddr>,
    /// Thousandths of a processor that the host has.
    pub processor: u32,
    /// Whether hosts pool their connections.
    pub pooling: FeatureMode,
    /// Whether statements for an endpoint are queued by priority at its pool host.
    pub scheduling: FeatureMode,
}

/// Settings of the usage reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UsageSettings {
    /// Length of a window.
    pub window: Duration,
    /// Time after the end of a window at which its report is due.
    pub lateness: Duration,
}

/// Reason why the settings cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SiteSettingsError {
    /// The file cannot be read or is not an INI file.
    #[error("{file}: {reason}")]
    File {
        /// Path of the file, or `settings` for a syntax error.
        file: String,
        /// Description of the error.
        reason: String,
    },
    /// A required setting is missing or empty.
    #[error("[{section}] {key} is missing")]
    Missing {
        /// Section.
        section: &'static str,
        /// Key.
        key: &'static str,
    },
    /// A setting has an invalid value.
    #[error("[{section}] {key} = {value:?}: {reason}")]
    Value {
        /// Section.
        section: &'static str,
        /// Key.
        key: &'static str,
        /// Rejected value.
        value: String,
        /// Description of the error.
        reason: String,
    },
}

/// Section, key and help text of every setting.
const SETTINGS: [(&str, &str, &str); 23] = [
    ("host", "name", "name of the host"),
    ("host", "domain", "failure domain of the host"),
    ("host", "domains", "all failure domains, separated by commas"),
    ("listen", "callers", "address for clients"),
    ("listen", "admin", "address for readiness and metrics"),
    ("listen", "peers", "address for messages of other hosts"),
    (
        "listen",
        "forwarding",
        "address for statements of other hosts; without it the host runs none and forwards none",
    ),
    ("platform", "store", "address of the store"),
    ("platform", "control", "address that takes promotions"),
    ("limits", "shutdown_s", "time that a shutdown may take, in seconds; 6 by default"),
    ("limits", "descriptors", "descriptors that the process may have open; 1024 by default"),
    ("limits", "link_mbps", "speed of the network link, in Mbit/s; unknown by default"),
    ("limits", "processor", "part of a processor that the host has, 0.001 to 1024; 1 by default"),
    ("limits", "config_apply_ms", "time in which a configuration takes effect; 3000 by default"),
    ("limits", "drain_ms", "time in which work to a leaving endpoint stops; 7000 by default"),
    ("limits", "rate_overage", "part by which a window may exceed a customer's rate; 0 by default"),
    (
        "limits",
        "rate_slack",
        "operations by which a window may exceed it beside that; 0 by default",
    ),
    ("limits", "rate_window_s", "length of that window, in seconds; 0 by default"),
    (
        "duties",
        "lease_ms",
        "time within which a duty must not go to another host and back; 3000 by default",
    ),
    (
        "duties",
        "usage_window_s",
        "length of the windows of usage reports, in seconds; none are sent by default",
    ),
    (
        "duties",
        "usage_late_s",
        "time after its window at which a usage report is due; twice the window by default",
    ),
    (
        "endpoints",
        "pooling",
        "whether hosts pool their connections: auto (with fewer than two for each), on or off; \
         auto by default",
    ),
    (
        "endpoints",
        "scheduling",
        "whether pool hosts queue statements by priority: auto (if priorities differ), on or off; \
         auto by default",
    ),
];

/// Default of `config_apply_ms`, in milliseconds.
const DEFAULT_CONFIG_APPLY_MS: u64 = 3_000;
/// Interval between lease renewals as a percentage of `config_apply_ms`. The rest covers a relay
/// that does not answer within 0.6 s and this host's own call to the store after that.
const RENEW_PERCENT: u64 = 70;
/// Default of `drain_ms`, in milliseconds.
const DEFAULT_DRAIN_MS: u64 = 7_000;
/// Part of `drain_ms` that the pause between polls must leave free, in milliseconds: the poll
/// itself, and the time for which a leaving primary still receives work.
const DRAIN_RESERVE_MS: u64 = 4_400;
/// Shortest pause between polls, in milliseconds. The users pay for each poll.
const MIN_POLL_PAUSE_MS: u64 = 500;
/// Shortest window and lateness of usage reports, in seconds.
const MIN_USAGE_WINDOW_S: f64 = 1.0;
/// Longest window and lateness of usage reports, in seconds.
const MAX_USAGE_S: f64 = 86_400.0;
/// Default and bounds of `processor`, in processors.
const DEFAULT_PROCESSORS: f64 = 1.0;
const MIN_PROCESSORS: f64 = 0.001;
const MAX_PROCESSORS: f64 = 1_024.0;
/// Default of `descriptors`.
const DEFAULT_DESCRIPTORS: usize = 1_024;

/// Returns a list of all settings with their help texts.
///
/// ```
/// assert!(tanagerdeal::ledger::describe().contains("[host] domain"));
/// ```
pub fn describe() -> String {
    SETTINGS.iter().map(|(section, key, help)| format!("[{section}] {key}: {help}\n")).collect()
}

impl SiteSettings {
    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read, or a setting is missing or invalid.
    pub fn load(path: &Path) -> Result<Self, SiteSettingsError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| SiteSettingsError::File {
            file: file.clone(),
            reason: error.to_string(),
        })?;
        Self::parse(&text)
    }

    /// Parses settings. Unknown sections and keys are ignored.
    ///
    /// # Errors
    ///
    /// Fails when the text is not an INI file, or a setting is missing or invalid.
    ///
    /// ```
    /// use tanagerdeal::ledger::SiteSettings;
    ///
    /// assert!(SiteSettings::parse("[host]\nname = h1\n").is_err());
    /// ```
    pub fn parse(text: &str) -> Result<Self, SiteSettingsError> {
        let option = ParseOption { enabled_escape: false, ..ParseOption::default() };
        let ini = Ini::load_from_str_opt(text, option).map_err(|error| {
            SiteSettingsError::File { file: "settings".to_owned(), reason: error.to_string() }
        })?;
        let config_apply_ms =
            value_or_default(&ini, "limits", "config_apply_ms", DEFAULT_CONFIG_APPLY_MS)?;
        let settings = Self {
            host: required_text(&ini, "host", "name")?.to_owned(),
            domain: required_text(&ini, "host", "domain")?.to_owned(),
            domains: required_text(&ini, "host", "domains")?
                .split(',')
                .map(|name| name.trim().to_owned())
                .filter(|name| !name.is_empty())
                .collect(),
            callers: required_value(&ini, "listen", "callers")?,
            admin: required_value(&ini, "listen", "admin")?,
            peers: required_value(&ini, "listen", "peers")?,
            store: required_text(&ini, "platform", "store")?.to_owned(),
            control: required_text(&ini, "platform", "control")?.to_owned(),
            shutdown_limit: Duration::from_secs(value_or_default(
                &ini,
                "limits",
                "shutdown_s",
                DEFAULT_SHUTDOWN_S,
            )?),
            descriptors: value_or_default(&ini, "limits", "descriptors", DEFAULT_DESCRIPTORS)?,
            link_mbps: whole_mbps(value_or_default(&ini, "limits", "link_mbps", 0.0)?),
            renew_interval: renew_interval(config_apply_ms),
            config_limit: Duration::from_millis(config_apply_ms),
            registration_pause: registration_pause(value_or_default(
                &ini,
                "limits",
                "drain_ms",
                DEFAULT_DRAIN_MS,
            )?),
            tolerance: LimitTolerance {
                overage: value_or_default(&ini, "limits", "rate_overage", 0.0)?,
                window_s: value_or_default(&ini, "limits", "rate_window_s", 0.0)?,
                slack: value_or_default(&ini, "limits", "rate_slack", 0.0)?,
            },
            duty_term: Duration::from_millis(value_or_default(&ini, "duties", "lease_ms", 0)?)
                .max(MIN_DUTY_TERM),
            usage: usage_settings(&ini)?,
            forwarding: optional_value(&ini, "listen", "forwarding")?,
            processor: processor(&ini)?,
            pooling: value_or_default(&ini, "endpoints", "pooling", FeatureMode::Auto)?,
            scheduling: value_or_default(&ini, "endpoints", "scheduling", FeatureMode::Auto)?,
        };
        Ok(settings)
    }
}

impl SiteSettings {
    /// The offer to run statements of other hosts.
    pub(super) fn pool_offer(&self) -> Option<PoolOffer> {
        let address = self.forwarding.filter(|_| self.pooling != FeatureMode::Off)?;
        Some(PoolOffer { address, weight: self.processor })
    }
}

fn processor(ini: &Ini) -> Result<u32, SiteSettingsError> {
    let processors: f64 = value_or_default(ini, "limits", "processor", DEFAULT_PROCESSORS)?;
    match processors {
        value if (MIN_PROCESSORS..=MAX_PROCESSORS).contains(&value) => {
            Ok((value * 1_000.0).round() as u32)
        }
        value => Err(SiteSettingsError::Value {
            section: "limits",
            key: "processor",
            value: value.to_string(),
            reason: format!("must be between {MIN_PROCESSORS} and {MAX_PROCESSORS}"),
        }),
    }
}

fn usage_settings(ini: &Ini) -> Result<Option<UsageSettings>, SiteSettingsError> {
    let window_s: f64 = value_or_default(ini, "duties", "usage_window_s", 0.0)?;
    let late_s: f64 = value_or_default(ini, "duties", "usage_late_s", 2.0 * window_s)?;
    let invalid = |key, value: f64, reason: &str| {
        let (value, reason) = (value.to_string(), reason.to_owned());
        Err(SiteSettingsError::Value { section: "duties", key, value, reason })
    };
    match (window_s, late_s) {
        (0.0, _) => Ok(None),
        (window_s, _) if !(MIN_USAGE_WINDOW_S..=MAX_USAGE_S).contains(&window_s) => {
            invalid("usage_window_s", window_s, "must be between 1 and 86400")
        }
        (_, late_s) if !(MIN_USAGE_WINDOW_S..=MAX_USAGE_S).contains(&late_s) => {
            invalid("usage_late_s", late_s, "must be between 1 and 86400")
        }
        (window_s, late_s) => Ok(Some(UsageSettings {
            window: Duration::from_secs_f64(window_s),
            lateness: Duration::from_secs_f64(late_s),
        })),
    }
}

fn renew_interval(config_apply_ms: u64) -> Duration {
    Duration::from_millis(config_apply_ms * RENEW_PERCENT / 100).min(MAX_RENEW_INTERVAL)
}

/// Drops the fraction of a link speed, as platforms may give a fractional one.
fn whole_mbps(mbps: f64) -> u32 {
    mbps as u32
}

fn registration_pause(drain_ms: u64) -> Duration {
    Duration::from_millis(drain_ms.saturating_sub(DRAIN_RESERVE_MS).max(MIN_POLL_PAUSE_MS))
}

fn required_text<'a>(
    ini: &'a Ini,
    section: &'static str,
    key: &'static str,
) -> Result<&'a str, SiteSettingsError> {
    match ini.get_from(Some(section), key).map(str::trim) {
        None | Some(EMPTY_VALUE) => Err(SiteSettingsError::Missing { section, key }),
        Some(value) => Ok(value),
    }
}

fn required_value<T>(
    ini: &Ini,
    section: &'static str,
    key: &'static str,
) -> Result<T, SiteSettingsError>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    let value = required_text(ini, section, key)?;
    value.parse().map_err(|error: T::Err| SiteSettingsError::Value {
        section,
        key,
        value: value.to_owned(),
        reason: error.to_string(),
    })
}

fn optional_value<T>(
    ini: &Ini,
    section: &'static str,
    key: &'static str,
) -> Result<Option<T>, SiteSettingsError>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    match required_value(ini, section, key) {
        Err(SiteSettingsError::Missing { .. }) => Ok(None),
        result => result.map(Some),
    }
}

fn value_or_default<T>(
    ini: &Ini,
    section: &'static str,
    key: &'static str,
    default: T,
) -> Result<T, SiteSettingsError>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    optional_value(ini, section, key).map(|value| value.unwrap_or(default))
}
