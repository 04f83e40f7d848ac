//! Messages that the proxy itself sends to clients.

use std::time::Instant;

use pgwire::messages::response::{
    CommandComplete, ErrorResponse, ReadyForQuery, TransactionStatus,
};
use pgwire::messages::startup::ParameterStatus;
use tanagerdeal_core::verdict::RequestRefusal;

use crate::codec::Frame;

/// SQLSTATE of a statement cancelled on request of the client.
pub(super) const QUERY_CANCELED: &str = "57014";
/// SQLSTATE of a statement in a transaction that has failed.
pub(super) const FAILED_TRANSACTION: &str = "25P02";
/// SQLSTATE of a violation of the protocol.
pub(super) const PROTOCOL_VIOLATION: &str = "08P01";
/// SQLSTATE of a start-up that is refused.
pub(super) const INVALID_AUTHORIZATION: &str = "28000";
/// SQLSTATE of the end of an idle session.
pub(super) const IDLE_SESSION: &str = "57P05";
/// SQLSTATE of the end of an idle transaction.
pub(super) const IDLE_IN_TRANSACTION: &str = "25P03";
/// SQLSTATE of a request id that was used before.
pub(super) const UNIQUE_VIOLATION: &str = "23505";

/// Severity of an error: `Fatal` ends the session.
#[derive(Clone, Copy)]
pub(super) enum Severity {
    Error,
    Fatal,
}

/// Builds an error response.
pub(super) fn error(
    severity: Severity,
    sqlstate: &str,
    message: &str,
    detail: Option<String>,
) -> ErrorResponse {
    let severity = match severity {
        Severity::Error => "ERROR",
        Severity::Fatal => "FATAL",
    };
    let mut fields = vec![
        (b'S', severity.to_owned()),
        (b'V', severity.to_owned()),
        (b'C', sqlstate.to_owned()),
        (b'M', message.to_owned()),
    ];
    fields.extend(detail.map(|detail| (b'D', detail)));
    ErrorResponse::new(fields)
}

/// The error response for a refusal: verdict in the message, retry-after time in the detail.
pub(super) fn refusal(severity: Severity, refusal: &RequestRefusal) -> ErrorResponse {
    let detail = refusal.retry_at.map(|instant| {
        let wait = instant.saturating_duration_since(Instant::now());
        format!("retry_after_ms={}", wait.as_micros().div_ceil(1_000))
    });
    error(severity, refusal.code.sqlstate(), &refusal.to_string(), detail)
}

/// Builds ReadyForQuery.
pub(super) fn ready(status: TransactionStatus) -> ReadyForQuery {
    ReadyForQuery::new(status)
}

/// Builds CommandComplete.
pub(super) fn complete(tag: &str) -> CommandComplete {
    CommandComplete::new(tag.to_owned())
}

/// Builds the parameter status that carries a session token.
pub(super) fn token(text: &str) -> Frame {
    let name = "tanagerdeal.session_token".to_owned();
    Frame::encode(&ParameterStatus::new(name, text.to_owned()))
}
