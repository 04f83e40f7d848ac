//! Settings of a host on the users' platform.

use std::net::SocketAddr;
use std::path::Path;
use std::str::FromStr;
use std::time::Duration;

use ini::{Ini, ParseOption};
use tanagerdeal_core::ledger::lease::MAX_RENEW_INTERVAL;
use tanagerdeal_core::ledger::quota::LimitTolerance;

/// Value of a setting that the template left empty; it counts as missing.
const EMPTY: &str = "";
/// Time that a shutdown may take where the settings name none, in seconds.
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
    /// Address for clients.
    pub callers: SocketAddr,
    /// Address for readiness and metrics.
    pub admin: SocketAddr,
    /// Address for messages of other hosts.
    pub peers: SocketAddr,
    /// Address of the store.
    pub store: String,
    /// Address that takes promotions.
    pub control: String,
    /// Time that a shutdown may take.
    pub shutdown_limit: Duration,
    /// Descriptors that the process may have open.
    pub descriptors: usize,
    /// Time between renewals of the lease. A host that misses the feed of the configuration learns
    /// of a change within that time.
    pub renew_interval: Duration,
    /// Pause between polls of the registrations.
    pub registration_pause: Duration,
    /// Speed of the network link, in Mbit/s; 0 when it is not known.
    pub link_mbps: u32,
    /// Tolerance of the customers' limits.
    pub tolerance: LimitTolerance,
}

/// Why settings cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SiteSettingsError {
    /// The file cannot be read.
    #[error("{file}: {reason}")]
    File {
        /// Path of the file.
        file: String,
        /// What happened.
        reason: String,
    },
    /// A setting is missing.
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
        /// Its value.
        value: String,
        /// What is wrong.
        reason: String,
    },
}

/// Section, key and meaning of every setting.
const SETTINGS: [(&str, &str, &str); 16] = [
    ("host", "name", "name of the host"),
    ("host", "domain", "failure domain of the host"),
    ("host", "domains", "all failure domains, separated by commas"),
    ("listen", "callers", "address for clients"),
    ("listen", "admin", "address for readiness and metrics"),
    ("listen", "peers", "address for messages of other hosts"),
    ("platform", "store", "address of the store"),
    ("platform", "control", "address that takes promotions"),
    ("limits", "shutdown_s", "time that a shutdown may take, in seconds; 6 by default"),
    ("limits", "descriptors", "descriptors that the process may have open; 1024 by default"),
    ("limits", "link_mbps", "speed of the network link, in Mbit/s; unknown by default"),
    ("limits", "config_apply_ms", "time in which a configuration takes effect; 3000 by default"),
    ("limits", "drain_ms", "time in which work to a leaving endpoint stops; 7000 by default"),
    ("limits", "rate_overage", "part by which a window may exceed a customer's rate; 0 by default"),
    (
        "limits",
        "rate_slack",
        "operations by which a window may exceed it beside that; 0 by default",
    ),
    ("limits", "rate_window_s", "length of that window, in seconds; 0 by default"),
];

/// Time in which a configuration takes effect where the settings name none, in milliseconds.
const DEFAULT_APPLY_MS: u64 = 3_000;
/// Part of that time between renewals, in percent. The rest is for a relay that does not answer within
/// 0.6 s, and the own call after that.
const RENEW_PERCENT: u64 = 70;
/// Time in which work to a leaving endpoint stops where the settings name none, in milliseconds.
const DEFAULT_DRAIN_MS: u64 = 7_000;
/// What of that time is not left for the pause between polls, in milliseconds: the poll itself, and
/// the time for which a leaving primary serves on.
const DRAIN_RESERVE_MS: u64 = 4_400;
/// Shortest pause between polls, in milliseconds; each poll is a call that the users pay for.
const MIN_PAUSE_MS: u64 = 500;
/// Descriptors where the settings name none.
const DEFAULT_DESCRIPTORS: usize = 1_024;

/// A list of all settings with their meaning.
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

    /// Reads settings from text. Sections and keys that are not known are ignored.
    ///
    /// # Errors
    ///
    /// Fails when the text is no INI file, or a setting is missing or invalid.
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
        let settings = Self {
            host: text_of(&ini, "host", "name")?.to_owned(),
            domain: text_of(&ini, "host", "domain")?.to_owned(),
            domains: text_of(&ini, "host", "domains")?
                .split(',')
                .map(|name| name.trim().to_owned())
                .filter(|name| !name.is_empty())
                .collect(),
            callers: parsed(&ini, "listen", "callers")?,
            admin: parsed(&ini, "listen", "admin")?,
            peers: parsed(&ini, "listen", "peers")?,
            store: text_of(&ini, "platform", "store")?.to_owned(),
            control: text_of(&ini, "platform", "control")?.to_owned(),
            shutdown_limit: Duration::from_secs(or_default(
                &ini,
                "limits",
                "shutdown_s",
                DEFAULT_SHUTDOWN_S,
            )?),
            descriptors: or_default(&ini, "limits", "descriptors", DEFAULT_DESCRIPTORS)?,
            link_mbps: whole(or_default(&ini, "limits", "link_mbps", 0.0)?),
            renew_interval: renew_interval(or_default(
                &ini,
                "limits",
                "config_apply_ms",
                DEFAULT_APPLY_MS,
            )?),
            registration_pause: registration_pause(or_default(
                &ini,
                "limits",
                "drain_ms",
                DEFAULT_DRAIN_MS,
            )?),
            tolerance: LimitTolerance {
                overage: or_default(&ini, "limits", "rate_overage", 0.0)?,
                window_s: or_default(&ini, "limits", "rate_window_s", 0.0)?,
                slack: or_default(&ini, "limits", "rate_slack", 0.0)?,
            },
        };
        Ok(settings)
    }
}

fn renew_interval(config_apply_ms: u64) -> Duration {
    Duration::from_millis(config_apply_ms * RENEW_PERCENT / 100).min(MAX_RENEW_INTERVAL)
}

/// A speed without its fraction, which platforms may state.
fn whole(mbps: f64) -> u32 {
    mbps as u32
}

fn registration_pause(drain_ms: u64) -> Duration {
    Duration::from_millis(drain_ms.saturating_sub(DRAIN_RESERVE_MS).max(MIN_PAUSE_MS))
}

fn text_of<'a>(
    ini: &'a Ini,
    section: &'static str,
    key: &'static str,
) -> Result<&'a str, SiteSettingsError> {
    match ini.get_from(Some(section), key).map(str::trim) {
        None | Some(EMPTY) => Err(SiteSettingsError::Missing { section, key }),
        Some(value) => Ok(value),
    }
}

fn parsed<T>(ini: &Ini, section: &'static str, key: &'static str) -> Result<T, SiteSettingsError>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    let value = text_of(ini, section, key)?;
    value.parse().map_err(|error: T::Err| SiteSettingsError::Value {
        section,
        key,
        value: value.to_owned(),
        reason: error.to_string(),
    })
}

fn or_default<T>(
    ini: &Ini,
    section: &'static str,
    key: &'static str,
    default: T,
) -> Result<T, SiteSettingsError>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    match parsed(ini, section, key) {
        Err(SiteSettingsError::Missing { .. }) => Ok(default),
        result => result,
    }
}
