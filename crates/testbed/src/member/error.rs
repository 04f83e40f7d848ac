//! Errors of statements.

use pgwire::messages::response::ErrorResponse;
use tanagerdeal_wire::value_type;

value_type! {
    /// Why a statement failed, with its SQLSTATE.
    #[derive(thiserror::Error)]
    #[error("{code}: {message}")]
    pub struct SqlError {
        /// SQLSTATE.
        pub code: &'static str,
        /// What was wrong.
        pub message: String,
        /// Table whose constraint was violated.
        pub table: Option<String>,
    }
}

impl SqlError {
    pub(super) fn new(code: &'static str, message: impl Into<String>) -> Self {
        Self { code, message: message.into(), table: None }
    }

    pub(super) fn unsupported(what: impl std::fmt::Display) -> Self {
        Self::new("0A000", format!("the stand-in does not support {what}"))
    }

    pub(super) fn duplicate(table: &str) -> Self {
        let constraint = format!("{table}_pkey");
        let message = format!("duplicate key value violates unique constraint \"{constraint}\"");
        Self { code: "23505", message, table: Some(table.to_owned()) }
    }

    pub(super) fn not_primary(tag: &str) -> Self {
        Self::new("25006", format!("cannot execute {tag} in a read-only transaction"))
    }

    /// The error as a message of the protocol.
    pub(super) fn to_response(&self, severity: &str) -> ErrorResponse {
        let mut fields = vec![
            (b'S', severity.to_owned()),
            (b'V', severity.to_owned()),
            (b'C', self.code.to_owned()),
            (b'M', self.message.clone()),
        ];
        if let Some(table) = &self.table {
            fields.push((b's', "public".to_owned()));
            fields.push((b't', table.clone()));
            fields.push((b'n', format!("{table}_pkey")));
        }
        ErrorResponse::new(fields)
    }
}
