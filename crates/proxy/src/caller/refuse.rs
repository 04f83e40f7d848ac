//! Errors of the proxy itself, as a response or at the end of a session.

use std::time::Duration;

use pgwire::messages::response::{ErrorResponse, TransactionStatus};
use tanagerdeal_core::message::caller::RequestEnding;
use tanagerdeal_core::statement::StatementClass;
use tanagerdeal_core::verdict::{RefusalCode, RequestRefusal};
use tokio::time::timeout;

use super::conclude::drop_or_return;
use super::reply::{self, Severity};
use super::request::RequestBody;
use super::session::{Session, SessionEnd};
use crate::codec::CodecError;

/// Time that an endpoint has to roll back a transaction before its connection is closed.
const ROLLBACK_TIMEOUT: Duration = Duration::from_secs(5);

/// Time that a client has to take the last error and to close its side.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

impl Session {
    /// Refuses a statement in a transaction that has failed, or ends the transaction.
    pub(super) async fn refuse_failed(
        &mut self,
        class: &StatementClass,
        body: RequestBody,
        ends_with_sync: bool,
    ) -> Result<(), SessionEnd> {
        if !matches!(class, StatementClass::Commit | StatementClass::Rollback) {
            let message = "not run: the transaction has failed; it must be rolled back first";
            return self.refuse_with(reply::FAILED_TRANSACTION, message, ends_with_sync).await;
        }
        if let Some(mut transaction) = self.transaction.take() {
            if let Some(mut lease) = transaction.lease.take() {
                let rolling_back = timeout(ROLLBACK_TIMEOUT, lease.connection().run("ROLLBACK"));
                match rolling_back.await {
                    Ok(Ok(reply)) if !reply.in_transaction => {
                        drop_or_return(lease, transaction.is_tainted);
                    }
                    _ => drop(lease),
                }
            }
            self.end_dispatch(transaction.dispatch, RequestEnding::Failed);
        }
        self.push_local_reply(&body, "ROLLBACK");
        if ends_with_sync {
            self.client.push(&reply::ready(TransactionStatus::Idle));
        }
        self.flush().await
    }

    /// Writes a refusal as the response to a request.
    pub(super) async fn refuse(
        &mut self,
        refusal: &RequestRefusal,
        ends_with_sync: bool,
    ) -> Result<(), SessionEnd> {
        let error = reply::refusal(Severity::Error, refusal);
        self.push_error(&error, ends_with_sync).await
    }

    /// Writes an error of the proxy as the response to a request.
    pub(super) async fn refuse_with(
        &mut self,
        sqlstate: &str,
        message: &str,
        ends_with_sync: bool,
    ) -> Result<(), SessionEnd> {
        let error = reply::error(Severity::Error, sqlstate, message, None);
        self.push_error(&error, ends_with_sync).await
    }

    async fn push_error(
        &mut self,
        error: &ErrorResponse,
        ends_with_sync: bool,
    ) -> Result<(), SessionEnd> {
        if let Some(transaction) = &mut self.transaction {
            transaction.is_failed = true;
        }
        self.client.push(error);
        match ends_with_sync {
            true => self.synchronize().await,
            false => {
                self.is_skipping = true;
                self.flush().await
            }
        }
    }

    pub(super) async fn close(&mut self, refusal: &RequestRefusal) -> SessionEnd {
        self.client.push(&reply::refusal(Severity::Fatal, refusal));
        self.close_client().await
    }

    pub(super) async fn close_idle(&mut self, is_open: bool) -> SessionEnd {
        let (sqlstate, message) = match is_open {
            true => (reply::IDLE_IN_TRANSACTION, "not run: the transaction was idle for too long"),
            false => (reply::IDLE_SESSION, "not run: the session was idle for too long"),
        };
        self.client.push(&reply::error(Severity::Fatal, sqlstate, message, None));
        self.close_client().await
    }

    pub(super) async fn close_invalid(&mut self, error: &CodecError) -> SessionEnd {
        self.context.metrics.count_invalid();
        log::warn!("caller: session closed: {error}");
        let sqlstate = match error {
            CodecError::TooLarge { .. } => RefusalCode::LimitExceeded.sqlstate(),
            _ => reply::PROTOCOL_VIOLATION,
        };
        let message = format!("not run: {error}");
        self.client.push(&reply::error(Severity::Fatal, sqlstate, &message, None));
        self.close_client().await
    }

    async fn close_client(&mut self) -> SessionEnd {
        // The endpoint does not wait for the client to read the error.
        if let Some(transaction) = &mut self.transaction {
            transaction.fail();
        }
        self.client.close(CLOSE_TIMEOUT).await;
        SessionEnd::Closed
    }
}
