//! Reading of the settings file.

use std::fmt::Display;
use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::time::Duration;

use ini::{Ini, ParseOption};
use tanagerdeal_core::profile::{
    HostPolicies, HostTiming, LimitPolicy, ReadPolicy, ReturnPolicy, SchedulerPolicy,
    SuspicionPolicy, WithoutStorePolicy,
};

use super::{
    EndpointSettings, HostSettings, ListenAddresses, LogSettings, PeerFiles, SETTINGS,
    SettingsError, TlsFiles,
};
use crate::caller::CallerLimits;

/// Longest duration accepted, so that adding it to an instant cannot overflow.
const MAX_DURATION_MS: u64 = 7 * 24 * 3_600 * 1_000;

/// A settings file whose sections and keys are all known.
pub(super) struct SettingReader {
    file: String,
    ini: Ini,
}

type Outcome<T> = Result<T, SettingsError>;

impl SettingReader {
    /// Opens a file and checks its sections and keys.
    pub(super) fn open(path: &Path) -> Outcome<Self> {
        let file = path.display().to_string();
        let option = ParseOption { enabled_escape: false, ..ParseOption::default() };
        let ini = Ini::load_from_file_opt(path, option).map_err(|error| SettingsError::File {
            file: file.clone(),
            reason: error.to_string(),
        })?;
        let reader = Self { file, ini };
        reader.check_names()?;
        Ok(reader)
    }

    /// Reads all settings.
    pub(super) fn settings(&self) -> Outcome<HostSettings> {
        Ok(HostSettings {
            host: self.name("host", "name", tanagerdeal_wire::HostName::new)?,
            domain: self.name("host", "domain", tanagerdeal_wire::DomainName::new)?,
            source: self.optional("host", "source_address")?,
            incarnation: self.optional("host", "incarnation")?,
            listen: ListenAddresses {
                callers: self.parse("listen", "callers")?,
                peers: self.parse("listen", "peers")?,
                peers_advertised: self.optional("listen", "peers_advertised")?,
                admin: self.parse("listen", "admin")?,
            },
            platform: self.text("platform", "address")?.to_owned(),
            platform_timeout: self.millis("platform", "timeout_ms")?,
            secret_file: self.path("fleet", "secret_file")?,
            peer: PeerFiles {
                certificate: self.path("fleet", "peer_certificate_file")?,
                key: self.path("fleet", "peer_key_file")?,
                authority: self.path("fleet", "peer_ca_file")?,
            },
            tls: self.tls()?,
            require_tls: self.choice("tls", "require_tls", &[("yes", true), ("no", false)])?,
            endpoint: EndpointSettings {
                user: self.text("endpoint", "user")?.to_owned(),
                password_file: self.path("endpoint", "password_file")?,
                database: self.text("endpoint", "database")?.to_owned(),
                connect_timeout: self.millis("endpoint", "connect_timeout_ms")?,
            },
            limits: self.limits()?,
            timing: self.timing()?,
            policies: self.policies()?,
            log: LogSettings {
                file: self.optional("log", "file")?,
                level: self.parse("log", "level")?,
                format: self.text("log", "format")?.to_owned(),
            },
        })
    }

    fn limits(&self) -> Outcome<CallerLimits> {
        Ok(CallerLimits {
            message_bytes: self.positive("limits", "max_message_bytes")?,
            sessions: self.positive("limits", "max_sessions")?,
            startup_timeout: self.millis("limits", "startup_timeout_ms")?,
            idle_timeout: self.millis("limits", "idle_session_ms")?,
            idle_in_transaction: self.millis("limits", "idle_in_transaction_ms")?,
            buffer_bytes: self.positive("limits", "session_buffer_bytes")?,
        })
    }

    fn timing(&self) -> Outcome<HostTiming> {
        let millis = |key: &str| self.millis("timing", key);
        Ok(HostTiming {
            probe_interval: millis("probe_interval_ms")?,
            suspect_after: millis("suspect_after_ms")?,
            promote_step: millis("promote_step_ms")?,
            promote_pause: millis("promote_pause_ms")?,
            feed_interval: millis("feed_interval_ms")?,
            refresh_after: millis("refresh_after_ms")?,
            stale_after: millis("stale_after_ms")?,
            pull_hold: millis("pull_hold_ms")?,
            lease_interval: millis("lease_interval_ms")?,
            lease_valid: millis("lease_valid_ms")?,
            lease_expired: millis("lease_expired_ms")?,
            loan_valid: millis("loan_valid_ms")?,
            drain_notice: millis("drain_notice_ms")?,
            drain_limit: millis("drain_limit_ms")?,
            return_ramp: millis("return_ramp_ms")?,
        })
    }

    fn policies(&self) -> Outcome<HostPolicies> {
        let reads = [("replicas", ReadPolicy::Replicas), ("primary", ReadPolicy::Primary)];
        let schedulers = [("fair", SchedulerPolicy::Fair), ("fifo", SchedulerPolicy::Fifo)];
        let limits = [("escrow", LimitPolicy::Escrow), ("equal_split", LimitPolicy::EqualSplit)];
        let suspicions = [("agreed", SuspicionPolicy::Agreed), ("single", SuspicionPolicy::Single)];
        let returns = [("stepped", ReturnPolicy::Stepped), ("immediate", ReturnPolicy::Immediate)];
        let without = [
            ("evidence", WithoutStorePolicy::Evidence),
            ("never", WithoutStorePolicy::Never),
            ("always", WithoutStorePolicy::Always),
        ];
        Ok(HostPolicies {
            reads: self.choice("policy", "reads", &reads)?,
            scheduler: self.choice("policy", "scheduler", &schedulers)?,
            limits: self.choice("policy", "limits", &limits)?,
            suspicion: self.choice("policy", "suspicion", &suspicions)?,
            domain_return: self.choice("policy", "domain_return", &returns)?,
            without_store: self.choice("policy", "serve_without_store", &without)?,
        })
    }

    fn tls(&self) -> Outcome<Option<TlsFiles>> {
        let certificate: Option<PathBuf> = self.optional("tls", "certificate_file")?;
        let key: Option<PathBuf> = self.optional("tls", "key_file")?;
        match (certificate, key) {
            (Some(certificate), Some(key)) => {
                self.check_readable("tls", "certificate_file", &certificate)?;
                self.check_readable("tls", "key_file", &key)?;
                Ok(Some(TlsFiles { certificate, key }))
            }
            (Some(_), None) => Err(self.error("tls", "key_file", "is needed with a certificate")),
            (None, Some(_)) => {
                Err(self.error("tls", "certificate_file", "is needed with a private key"))
            }
            (None, None) if self.text("tls", "require_tls")? == "yes" => {
                Err(self.error("tls", "certificate_file", "is needed while require_tls is yes"))
            }
            (None, None) => Ok(None),
        }
    }

    fn check_names(&self) -> Outcome<()> {
        for (section, properties) in &self.ini {
            let name = section.unwrap_or_default();
            if !SETTINGS.iter().any(|entry| entry.section == name) && !properties.is_empty() {
                let key = properties.iter().next().map_or("", |(key, _)| key);
                return Err(self.error(name, key, "unknown section"));
            }
            for (key, _) in properties {
                let is_known =
                    SETTINGS.iter().any(|entry| entry.section == name && entry.key == key);
                if !is_known {
                    return Err(self.error(name, key, "unknown key"));
                }
                if properties.get_all(key).count() > 1 {
                    return Err(self.error(name, key, "given more than once"));
                }
            }
        }
        Ok(())
    }

    /// The value of a key or its default.
    fn value(&self, section: &str, key: &str) -> Outcome<&str> {
        let entry = SETTINGS.iter().find(|entry| entry.section == section && entry.key == key);
        self.ini
            .get_from(Some(section), key)
            .map(str::trim)
            .or(entry.and_then(|entry| entry.default))
            .ok_or_else(|| self.error(section, key, "is missing"))
    }

    fn text(&self, section: &str, key: &str) -> Outcome<&str> {
        match self.value(section, key)? {
            "" => Err(self.error(section, key, "is empty")),
            text => Ok(text),
        }
    }

    fn parse<T: FromStr<Err: Display>>(&self, section: &str, key: &str) -> Outcome<T> {
        let text = self.text(section, key)?;
        text.parse().map_err(|error| self.error(section, key, &format!("{text:?}: {error}")))
    }

    fn optional<T: FromStr<Err: Display>>(&self, section: &str, key: &str) -> Outcome<Option<T>> {
        match self.value(section, key)? {
            "" => Ok(None),
            _ => self.parse(section, key).map(Some),
        }
    }

    fn positive(&self, section: &str, key: &str) -> Outcome<usize> {
        match self.parse(section, key)? {
            0 => Err(self.error(section, key, "must be greater than 0")),
            number => Ok(number),
        }
    }

    fn millis(&self, section: &str, key: &str) -> Outcome<Duration> {
        match self.parse(section, key)? {
            number if number > MAX_DURATION_MS => {
                Err(self.error(section, key, &format!("is greater than {MAX_DURATION_MS}")))
            }
            number => Ok(Duration::from_millis(number)),
        }
    }

    fn choice<T: Copy>(&self, section: &str, key: &str, words: &[(&str, T)]) -> Outcome<T> {
        let text = self.text(section, key)?;
        let found = words.iter().find(|(word, _)| *word == text);
        found.map(|(_, value)| *value).ok_or_else(|| {
            let known: Vec<&str> = words.iter().map(|(word, _)| *word).collect();
            self.error(section, key, &format!("{text:?} is none of {}", known.join(", ")))
        })
    }

    fn name<T, E: Display>(
        &self,
        section: &str,
        key: &str,
        new: impl Fn(&str) -> Result<T, E>,
    ) -> Outcome<T> {
        new(self.text(section, key)?).map_err(|error| self.error(section, key, &error.to_string()))
    }

    /// A file that must be readable.
    fn path(&self, section: &str, key: &str) -> Outcome<PathBuf> {
        let path = PathBuf::from(self.text(section, key)?);
        self.check_readable(section, key, &path)?;
        Ok(path)
    }

    fn check_readable(&self, section: &str, key: &str, path: &Path) -> Outcome<()> {
        std::fs::File::open(path)
            .map(|_| ())
            .map_err(|error| self.error(section, key, &format!("{}: {error}", path.display())))
    }

    fn error(&self, section: &str, key: &str, reason: &str) -> SettingsError {
        let (section, key) = (section.to_owned(), key.to_owned());
        SettingsError::Key { file: self.file.clone(), section, key, reason: reason.to_owned() }
    }
}
