//! Requests with a request id: executed together with a row that holds their outcome.

use bytes::Bytes;
use pgwire::messages::extendedquery::{Bind, Execute, Parse, Sync};
use pgwire::messages::response::TransactionStatus;
use pgwire::messages::simplequery::Query;
use tanagerdeal_core::message::caller::{DispatchPlan, RequestRecord};
use tanagerdeal_core::statement::StatementClass;
use tanagerdeal_wire::member::LogPosition;

use super::exchange::{Exchange, ExchangeFault, ExchangeReply};
use super::reply;
use super::request::Request;
use crate::codec::Frame;
use crate::endpoint::{ConnectionError, EndpointConnection, HiddenReply, field_of};

const INSERT: &str =
    "INSERT INTO tanagerdeal_requests (customer, request_id, outcome) VALUES ($1, $2, $3)";
const UPDATE: &str =
    "UPDATE tanagerdeal_requests SET outcome = $3 WHERE customer = $1 AND request_id = $2";
const SELECT: &str =
    "SELECT outcome FROM tanagerdeal_requests WHERE customer = $1 AND request_id = $2";

/// Outcome of a transaction or block. It is written with the row at the start, which is visible to
/// others only when the transaction has been committed.
const COMMIT_OUTCOME: &str = "COMMIT";

/// How a request is recorded.
pub(super) enum RecordMode<'a> {
    /// Not at all.
    None,
    /// Within a transaction of the proxy around the request.
    Wrapped(&'a RequestRecord),
    /// The same for a text that commits the transaction itself.
    Block(&'a RequestRecord),
    /// By a row that follows the client's BEGIN.
    Begin(&'a RequestRecord),
}

/// The reply to a request that may have been recorded before.
pub(super) enum RecordedReply {
    /// It has run now.
    First(ExchangeReply),
    /// It had run before.
    Repeat {
        /// Command tag of the first run.
        outcome: String,
        /// Position at which the outcome was read.
        position: Option<LogPosition>,
    },
}

impl<'a> RecordMode<'a> {
    pub(super) fn of(plan: &'a DispatchPlan, request: &Request, in_transaction: bool) -> Self {
        let Some(record) = plan.record.as_ref().filter(|_| !in_transaction) else {
            return Self::None;
        };
        match &request.class {
            StatementClass::Begin { read_only: false } => Self::Begin(record),
            StatementClass::Write if request.is_block => Self::Block(record),
            StatementClass::Write if request.writes && request.ends_with_sync => {
                Self::Wrapped(record)
            }
            _ => Self::None,
        }
    }

    pub(super) fn is_recorded(&self) -> bool {
        !matches!(self, Self::None)
    }

    /// Writes what precedes the request. After a duplicate key the request runs in a failed
    /// transaction, which means that it does not run.
    pub(super) fn write_before(&self, connection: &mut EndpointConnection) {
        let (record, outcome) = match self {
            Self::Wrapped(record) => (record, ""),
            Self::Block(record) => (record, COMMIT_OUTCOME),
            Self::None | Self::Begin(_) => return,
        };
        connection.push(&Query::new("BEGIN".to_owned()));
        push_statement(connection, INSERT, record, Some(outcome));
    }

    /// Sends everything and reads the replies.
    pub(super) async fn run(
        &self,
        exchange: &mut Exchange<'_>,
    ) -> Result<RecordedReply, ExchangeFault> {
        exchange.send().await?;
        match self {
            Self::None => exchange.visible().await.map(RecordedReply::First),
            Self::Begin(record) => begin(exchange, record).await,
            Self::Wrapped(record) | Self::Block(record) => {
                if exchange.hidden().await?.error.is_some() {
                    return Err(ConnectionError::Unexpected("an error in reply to BEGIN").into());
                }
                let insert = exchange.hidden().await?;
                if insert.error.is_some() {
                    exchange.hidden().await?;
                    return undo(exchange, record, insert).await;
                }
                let mut reply = exchange.visible().await?;
                if let Self::Wrapped(record) = self {
                    return commit(exchange, record, reply).await.map(RecordedReply::First);
                }
                if reply.status != Some(TransactionStatus::Idle) {
                    roll_back(exchange).await?;
                    reply.status = Some(TransactionStatus::Idle);
                }
                Ok(RecordedReply::First(reply))
            }
        }
    }
}

/// Opens the client's transaction. The row is inserted only after BEGIN has succeeded, because it
/// would be committed at once otherwise.
async fn begin(
    exchange: &mut Exchange<'_>,
    record: &RequestRecord,
) -> Result<RecordedReply, ExchangeFault> {
    let reply = exchange.visible().await?;
    if reply.status != Some(TransactionStatus::Transaction) {
        return Ok(RecordedReply::First(reply));
    }
    push_statement(exchange.lease().connection(), INSERT, record, Some(COMMIT_OUTCOME));
    exchange.send().await?;
    let insert = exchange.hidden().await?;
    match insert.error {
        None => Ok(RecordedReply::First(reply)),
        Some(_) => undo(exchange, record, insert).await,
    }
}

/// Writes the outcome and commits, or rolls back after an error.
async fn commit(
    exchange: &mut Exchange<'_>,
    record: &RequestRecord,
    mut reply: ExchangeReply,
) -> Result<ExchangeReply, ExchangeFault> {
    if reply.is_error {
        roll_back(exchange).await?;
        reply.status = Some(TransactionStatus::Idle);
        return Ok(reply);
    }
    let outcome = reply.tag.clone().unwrap_or_default();
    let connection = exchange.lease().connection();
    push_statement(connection, UPDATE, record, Some(&outcome));
    connection.push(&Query::new("COMMIT".to_owned()));
    exchange.send().await?;
    let update = exchange.hidden().await?;
    let commit = exchange.hidden().await?;
    reply.status = Some(TransactionStatus::Idle);
    reply.position = commit.position;
    if let Some(error) = update.error.or(commit.error) {
        reply.held = vec![Frame::encode(&error)];
        reply.is_error = true;
    }
    Ok(reply)
}

/// Rolls back after a failed insert; a duplicate key means that the request ran before.
async fn undo(
    exchange: &mut Exchange<'_>,
    record: &RequestRecord,
    insert: HiddenReply,
) -> Result<RecordedReply, ExchangeFault> {
    let connection = exchange.lease().connection();
    connection.push(&Query::new("ROLLBACK".to_owned()));
    push_statement(connection, SELECT, record, None);
    exchange.send().await?;
    exchange.hidden().await?;
    let select = exchange.hidden().await?;
    let error = insert.error.unwrap_or_default();
    if field_of(&error, b'C') != Some(reply::UNIQUE_VIOLATION) {
        let status = Some(TransactionStatus::Idle);
        let held = vec![Frame::encode(&error)];
        let reply = ExchangeReply { held, status, is_error: true, ..Default::default() };
        return Ok(RecordedReply::First(reply));
    }
    match select.value {
        Some(outcome) => Ok(RecordedReply::Repeat { outcome, position: select.position }),
        None => Err(ConnectionError::Unexpected("no outcome of a recorded request").into()),
    }
}

async fn roll_back(exchange: &mut Exchange<'_>) -> Result<(), ExchangeFault> {
    exchange.lease().connection().push(&Query::new("ROLLBACK".to_owned()));
    exchange.send().await?;
    exchange.hidden().await.map(|_| ())
}

/// Writes a statement of the proxy with its parameters, as one batch of its own.
fn push_statement(
    connection: &mut EndpointConnection,
    sql: &str,
    record: &RequestRecord,
    outcome: Option<&str>,
) {
    let texts = [Some(record.customer.as_str()), Some(record.request_id.as_str()), outcome];
    let parameters: Vec<Option<Bytes>> = texts
        .into_iter()
        .flatten()
        .map(|text| Some(Bytes::copy_from_slice(text.as_bytes())))
        .collect();
    // 25 is the object id of type text.
    let types = vec![25; parameters.len()];
    connection.push(&Parse::new(None, sql.to_owned(), types));
    connection.push(&Bind::new(None, None, Vec::new(), parameters, Vec::new()));
    connection.push(&Execute::new(None, 0));
    connection.push(&Sync::new());
}
