//! Classes of SQL texts.

use tanagerdeal_wire::value_type;

value_type! {
    /// What a SQL text does, as far as placement is concerned.
    pub enum StatementClass {
        /// Reads only; may run on a replica.
        Read,
        /// Writes, locks, or cannot be classified.
        Write,
        /// Opens a transaction.
        Begin {
            /// Whether it was declared read only.
            read_only: bool,
        },
        /// Ends a transaction with a commit.
        Commit,
        /// Ends a transaction with a rollback.
        Rollback,
        /// Belongs to a transaction that is already open (savepoints).
        InTransaction,
        /// Sets session state that is replayed on each connection.
        SessionSetting,
        /// Sets a proxy setting.
        SetProxySetting {
            /// Name with its prefix.
            name: String,
            /// New value.
            value: String,
        },
        /// Shows a proxy setting.
        ShowProxySetting {
            /// Name with its prefix.
            name: String,
        },
        /// Empty text.
        Empty,
        /// Refused, with the reason.
        Rejected {
            /// The reason.
            reason: String,
        },
    }
}

/// Prefix of the settings that the proxy handles itself.
pub const SETTING_PREFIX: &str = "tanagerdeal.";

/// Classifies a SQL text; a text that cannot be parsed is a write.
pub fn classify(_sql: &str) -> StatementClass {
    StatementClass::Write
}
