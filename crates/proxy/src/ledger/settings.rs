//! Settings of a host that coordinates through the platform's store.

mod figure;

use std::net::SocketAddr;
use std::path::Path;
use std::str::FromStr;
use std::time::Duration;

use figure::{FigureRule, MAX_TIME_S};
use ini::{Ini, ParseOption};
use tanagerdeal_core::ledger::duty::MIN_DUTY_TERM;
use tanagerdeal_core::ledger::lease::MAX_RENEW_INTERVAL;
use tanagerdeal_core::ledger::pooling::{FeatureMode, PoolOffer};
use tanagerdeal_core::ledger::quota::LimitTolerance;

/// Value of a setting that a template left empty. It is treated as missing.
const EMPTY_VALUE: &str = "";
/// Time that a shutdown may take.
const SHUTDOWN: FigureRule = FigureRule::seconds("limits", "shutdown_s", 6.0);
/// Time in which a configuration takes effect.
const CONFIG_APPLY: FigureRule = FigureRule::millis("limits", "config_apply_ms", 3_000.0);
/// Time in which work to a leaving endpoint stops.
const DRAIN: FigureRule = FigureRule::millis("limits", "drain_ms", 7_000.0);
/// Time within which a duty must not go to another host and back.
const DUTY_LEASE: FigureRule = FigureRule::millis("duties", "lease_ms", 0.0);
/// Descriptors that the process may have open.
const DESCRIPTORS: FigureRule = FigureRule::new("limits", "descriptors", 1_024.0, (0.0, 1e9));
/// Speed of the network link, in Mbit/s.
const LINK: FigureRule = FigureRule::new("limits", "link_mbps", 0.0, (0.0, 1e9));
/// Processors that the host has.
const PROCESSOR: FigureRule = FigureRule::new("limits", "processor", 1.0, (0.001, 1_024.0));
/// Part by which a window may exceed a customer's rate.
const RATE_OVERAGE: FigureRule = FigureRule::new("limits", "rate_overage", 0.0, (0.0, 1e9));
/// Operations by which a window may exceed it beside that.
const RATE_SLACK: FigureRule = FigureRule::new("limits", "rate_slack", 0.0, (0.0, 1e9));
/// Length of that window.
const RATE_WINDOW: FigureRule = FigureRule::seconds("limits", "rate_window_s", 0.0);

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

/// Interval between lease renewals as a percentage of `config_apply_ms`. The rest covers a relay
/// that does not answer within 0.6 s and this host's own call to the store after that.
const RENEW_PERCENT: u32 = 70;
/// Part of `drain_ms` that the pause between polls must leave free: the poll itself, and the time for
/// which a leaving primary still receives work.
const DRAIN_RESERVE: Duration = Duration::from_millis(4_400);
/// Shortest pause between polls. The users pay for each poll.
const MIN_POLL_PAUSE: Duration = Duration::from_millis(500);
/// Shortest window and lateness of usage reports, in seconds.
const MIN_USAGE_WINDOW_S: f64 = 1.0;

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
        let config_limit = CONFIG_APPLY.read_millis(&ini)?;
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
            shutdown_limit: SHUTDOWN.read_seconds(&ini)?,
            descriptors: DESCRIPTORS.read(&ini)? as usize,
            link_mbps: LINK.read(&ini)? as u32,
            renew_interval: renew_interval(config_limit),
            config_limit,
            registration_pause: registration_pause(DRAIN.read_millis(&ini)?),
            tolerance: LimitTolerance {
                overage: RATE_OVERAGE.read(&ini)?,
                window_s: RATE_WINDOW.read(&ini)?,
                slack: RATE_SLACK.read(&ini)?,
            },
            duty_term: DUTY_LEASE.read_millis(&ini)?.max(MIN_DUTY_TERM),
            usage: usage_settings(&ini)?,
            forwarding: optional_value(&ini, "listen", "forwarding")?,
            processor: (PROCESSOR.read(&ini)? * 1_000.0).round() as u32,
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

fn usage_settings(ini: &Ini) -> Result<Option<UsageSettings>, SiteSettingsError> {
    let window_s: f64 = value_or_default(ini, "duties", "usage_window_s", 0.0)?;
    let late_s: f64 = value_or_default(ini, "duties", "usage_late_s", 2.0 * window_s)?;
    let invalid = |key, value: f64, reason: &str| {
        let (value, reason) = (value.to_string(), reason.to_owned());
        Err(SiteSettingsError::Value { section: "duties", key, value, reason })
    };
    match (window_s, late_s) {
        (0.0, _) => Ok(None),
        (window_s, _) if !(MIN_USAGE_WINDOW_S..=MAX_TIME_S).contains(&window_s) => {
            invalid("usage_window_s", window_s, "must be between 1 and 86400")
        }
        (_, late_s) if !(MIN_USAGE_WINDOW_S..=MAX_TIME_S).contains(&late_s) => {
            invalid("usage_late_s", late_s, "must be between 1 and 86400")
        }
        (window_s, late_s) => Ok(Some(UsageSettings {
            window: Duration::from_secs_f64(window_s),
            lateness: Duration::from_secs_f64(late_s),
        })),
    }
}

fn renew_interval(config_limit: Duration) -> Duration {
    (config_limit * RENEW_PERCENT / 100).min(MAX_RENEW_INTERVAL)
}

fn registration_pause(drain_limit: Duration) -> Duration {
    drain_limit.saturating_sub(DRAIN_RESERVE).max(MIN_POLL_PAUSE)
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
