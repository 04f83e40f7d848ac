//! Settings of a host, read from an INI file.

mod read;
mod table;

use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use log::LevelFilter;
use tanagerdeal_core::profile::{HostPolicies, HostTiming};
use tanagerdeal_wire::{DomainName, HostName, value_type};

use crate::caller::CallerLimits;
use read::SettingReader;

pub use table::{SETTINGS, SettingEntry, describe};

/// Why settings could not be read; one line that names file, section and key.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read or is not INI.
    #[error("{file}: {reason}")]
    File {
        /// The file.
        file: String,
        /// What is wrong.
        reason: String,
    },
    /// A key is unknown, missing or has a bad value.
    #[error("{file}: [{section}] {key}: {reason}")]
    Key {
        /// The file.
        file: String,
        /// The section.
        section: String,
        /// The key.
        key: String,
        /// What is wrong.
        reason: String,
    },
}

value_type! {
    /// Files with the certificate of this host towards other hosts.
    pub struct PeerFiles {
        /// Certificate chain.
        pub certificate: PathBuf,
        /// Private key.
        pub key: PathBuf,
        /// Certificate authority of the fleet.
        pub authority: PathBuf,
    }

    /// Files with the certificate of this host towards clients.
    pub struct TlsFiles {
        /// Certificate chain.
        pub certificate: PathBuf,
        /// Private key.
        pub key: PathBuf,
    }

    /// Addresses of the listeners.
    pub struct ListenAddresses {
        /// For clients.
        pub callers: SocketAddr,
        /// For other hosts.
        pub peers: SocketAddr,
        /// Address at which other hosts reach the listener, where it differs from the bound one.
        pub peers_advertised: Option<SocketAddr>,
        /// For health, metrics and status.
        pub admin: SocketAddr,
    }

    /// Service credentials at the endpoints.
    pub struct EndpointSettings {
        /// User.
        pub user: String,
        /// File that holds the password.
        pub password_file: PathBuf,
        /// Database.
        pub database: String,
        /// Time for opening a connection.
        pub connect_timeout: Duration,
    }

    /// Where log lines go.
    pub struct LogSettings {
        /// File; standard error when absent.
        pub file: Option<PathBuf>,
        /// Least severe level that is logged.
        pub level: LevelFilter,
        /// Pattern of a line.
        pub format: String,
    }

    /// All settings of a host.
    pub struct HostSettings {
        /// Its name.
        pub host: HostName,
        /// Its failure domain.
        pub domain: DomainName,
        /// Address from which the host connects to others, where it has several.
        pub source: Option<IpAddr>,
        /// Incarnation, when it is fixed.
        pub incarnation: Option<u64>,
        /// Listeners.
        pub listen: ListenAddresses,
        /// Address of the platform.
        pub platform: String,
        /// Time for a call of the platform.
        pub platform_timeout: Duration,
        /// File with the secret of the fleet.
        pub secret_file: PathBuf,
        /// Certificate towards other hosts.
        pub peer: PeerFiles,
        /// Certificate towards clients.
        pub tls: Option<TlsFiles>,
        /// Whether clients must use TLS.
        pub require_tls: bool,
        /// Credentials at the endpoints.
        pub endpoint: EndpointSettings,
        /// Limits on clients.
        pub limits: CallerLimits,
        /// Intervals of the core.
        pub timing: HostTiming,
        /// Policies of the core.
        pub policies: HostPolicies,
        /// Log.
        pub log: LogSettings,
    }
}

impl HostSettings {
    /// Reads and checks a file, and that the files it names can be read.
    ///
    /// # Errors
    ///
    /// Fails on an unknown section or key, a missing or bad value, and a file that cannot be read.
    ///
    /// ```
    /// use std::path::Path;
    ///
    /// use tanagerdeal::settings::HostSettings;
    ///
    /// let error = HostSettings::load(Path::new("no-such.ini")).unwrap_err();
    /// assert!(error.to_string().starts_with("no-such.ini: "));
    /// ```
    pub fn load(file: &Path) -> Result<Self, SettingsError> {
        SettingReader::open(file)?.settings()
    }

    /// Whether another set of settings differs in more than what a reload can change.
    pub fn needs_restart(&self, next: &Self) -> bool {
        let mut same = next.clone();
        same.timing = self.timing.clone();
        same.policies = self.policies.clone();
        same.log.level = self.log.level;
        same != *self
    }
}
