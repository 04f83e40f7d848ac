//! Every setting with its default and meaning.

/// One key of the settings file.
pub struct SettingEntry {
    /// Section.
    pub section: &'static str,
    /// Key.
    pub key: &'static str,
    /// Value when the key is absent; a key without one must be given.
    pub default: Option<&'static str>,
    /// Whether a reload (SIGHUP) changes it.
    pub is_live: bool,
    /// Meaning.
    pub help: &'static str,
}

macro_rules! settings {
    ($([$section:ident] $live:ident { $($key:ident $(= $default:literal)? : $help:literal,)+ })+) => {
        &[$($(SettingEntry {
            section: stringify!($section),
            key: stringify!($key),
            default: settings!(@default $($default)?),
            is_live: settings!(@live $live),
            help: $help,
        },)+)+]
    };
    (@default) => { None };
    (@default $default:literal) => { Some($default) };
    (@live live) => { true };
    (@live fixed) => { false };
}

/// All settings, in the order in which they are listed. An empty default means "not set".
pub const SETTINGS: &[SettingEntry] = settings! {
    [host] fixed {
        name: "name of this host",
        domain: "failure domain of this host",
        source_address = "": "IP address from which the host connects to others, where it has several",
        incarnation = "": "number of this start; drawn at random when empty",
    }
    [listen] fixed {
        callers: "address for clients, ip:port",
        peers: "address for other hosts, ip:port (UDP)",
        peers_advertised = "": "address at which other hosts reach it, where it differs",
        admin: "address for health, readiness, metrics and status, ip:port",
    }
    [platform] fixed {
        address: "address of the platform, ip:port",
        timeout_ms = "4000": "time for a call of the platform",
    }
    [fleet] fixed {
        secret_file: "file with the secret that signs session tokens",
        peer_certificate_file: "certificate chain towards other hosts, PEM",
        peer_key_file: "its private key, PEM",
        peer_ca_file: "certificate authority of the fleet, PEM",
    }
    [tls] fixed {
        certificate_file = "": "certificate chain towards clients, PEM; no TLS when empty",
        key_file = "": "its private key, PEM",
        require_tls = "yes": "whether clients without TLS are refused: yes or no",
    }
    [endpoint] fixed {
        user: "service user at the endpoints",
        password_file: "file with the service password",
        database = "postgres": "database at the endpoints",
        connect_timeout_ms = "2000": "time for opening a connection to an endpoint",
    }
    [limits] fixed {
        max_message_bytes = "16777216": "longest message of a client or an endpoint",
        max_sessions = "20000": "client connections open at once",
        startup_timeout_ms = "10000": "time that a client has until it is authenticated",
        idle_session_ms = "0": "idle time after which a session is closed; 0 never",
        idle_in_transaction_ms = "60000": "the same within a transaction",
        session_buffer_bytes = "65536": "bytes of a response held in memory for one session",
    }
    [timing] live {
        probe_interval_ms = "250": "interval between probes of a member",
        suspect_after_ms = "1000": "silence after which a primary is suspected",
        promote_step_ms = "300": "delay per rank before a watcher starts a promotion",
        promote_pause_ms = "3000": "shortest time between two promotions of a group",
        feed_interval_ms = "500": "interval between reads of the change feed by a relay",
        refresh_after_ms = "1500": "catalog age above which another source is asked",
        stale_after_ms = "4000": "catalog age above which keyed requests are refused",
        pull_hold_ms = "1000": "longest time for which a pull is held",
        lease_interval_ms = "10000": "interval between lease renewals",
        lease_valid_ms = "90000": "validity of a lease for its holder",
        lease_expired_ms = "100000": "silence after which others count a lease as expired",
        loan_valid_ms = "10000": "validity of a loan",
        drain_notice_ms = "2000": "time between a shutdown and the end of new sessions",
        drain_limit_ms = "30000": "time that running requests get at a shutdown",
        return_ramp_ms = "10000": "time over which load returns to a failure domain",
    }
    [policy] live {
        reads = "replicas": "where reads go: replicas or primary",
        scheduler = "fair": "how requests wait: fair or fifo",
        limits = "escrow": "how rates are shared out: escrow or equal_split",
        suspicion = "agreed": "when a primary is replaced: agreed or single",
        domain_return = "stepped": "how load returns: stepped or immediate",
        serve_without_store = "evidence": "keyed requests without the store: evidence, never, always",
    }
    [log] fixed {
        file = "": "log file; standard error when empty",
        format = "{d(%Y-%m-%dT%H:%M:%S%.3f)} {l} {m}{n}": "pattern of a line, as in log4rs",
    }
    [log] live {
        level = "info": "off, error, warn, info, debug or trace",
    }
};

/// The table of settings as text.
///
/// ```
/// assert!(tanagerdeal::settings::describe().contains("[limits] max_sessions"));
/// ```
pub fn describe() -> String {
    let line = |entry: &SettingEntry| {
        let default = match entry.default {
            None => "required".to_owned(),
            Some("") => "optional".to_owned(),
            Some(value) => format!("default {value}"),
        };
        let live = if entry.is_live { ", changed by a reload" } else { "" };
        format!("[{}] {}: {} ({default}{live})\n", entry.section, entry.key, entry.help)
    };
    SETTINGS.iter().map(line).collect()
}
