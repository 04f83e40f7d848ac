//! Figures of the settings. The platform may give each of them as a whole number or a fraction.

use std::time::Duration;

use ini::Ini;

use super::{SiteSettingsError, optional_value};

/// Longest time that a setting may give, in seconds.
pub(super) const MAX_TIME_S: f64 = 86_400.0;
/// The same in milliseconds.
const MAX_TIME_MS: f64 = MAX_TIME_S * 1e3;

/// A figure of the settings.
pub(super) struct FigureRule {
    section: &'static str,
    key: &'static str,
    default: f64,
    least: f64,
    most: f64,
}

impl FigureRule {
    /// A figure between `least` and `most`.
    pub(super) const fn new(
        section: &'static str,
        key: &'static str,
        default: f64,
        (least, most): (f64, f64),
    ) -> Self {
        Self { section, key, default, least, most }
    }

    /// A time in seconds.
    pub(super) const fn seconds(section: &'static str, key: &'static str, default: f64) -> Self {
        Self::new(section, key, default, (0.0, MAX_TIME_S))
    }

    /// A time in milliseconds.
    pub(super) const fn millis(section: &'static str, key: &'static str, default: f64) -> Self {
        Self::new(section, key, default, (0.0, MAX_TIME_MS))
    }

    /// The figure, or its default if it is missing.
    pub(super) fn read(&self, ini: &Ini) -> Result<f64, SiteSettingsError> {
        let Self { section, key, default, least, most } = *self;
        match optional_value(ini, section, key)?.unwrap_or(default) {
            value if (least..=most).contains(&value) => Ok(value),
            value => Err(SiteSettingsError::Value {
                section,
                key,
                value: value.to_string(),
                reason: format!("must be between {least} and {most}"),
            }),
        }
    }

    /// A time in seconds, as a duration.
    pub(super) fn read_seconds(&self, ini: &Ini) -> Result<Duration, SiteSettingsError> {
        self.read(ini).map(Duration::from_secs_f64)
    }

    /// A time in milliseconds, as a duration.
    pub(super) fn read_millis(&self, ini: &Ini) -> Result<Duration, SiteSettingsError> {
        self.read(ini).map(|millis| Duration::from_secs_f64(millis / 1e3))
    }
}
