//! The PostgreSQL protocol of one connection.

mod admission;
mod extended;
mod output;

use std::collections::HashMap;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use pgwire::messages::response::EmptyQueryResponse;
use pgwire::messages::{DecodeContext, PgWireBackendMessage, PgWireFrontendMessage};
use tokio::io::AsyncReadExt as _;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use super::Member;
use super::datum::{ColumnType, Datum};
use super::error::SqlError;
use super::execute::{Executor, StatementResult};
use super::plan::{ParsedStatement, Plan, parse_text};
use super::recorder::ByteRecord;
use super::table::Row;

/// Bytes after which the output is written although the client has not asked for it.
const WRITE_BYTES: usize = 64 * 1024;

/// A prepared statement.
#[derive(Clone)]
struct PreparedStatement {
    parsed: ParsedStatement,
    types: Vec<ColumnType>,
}

/// A bound statement, with its rows once it has been executed.
struct BoundPortal {
    prepared: PreparedStatement,
    params: Vec<Datum>,
    formats: Vec<i16>,
    remaining: Option<(StatementResult, std::vec::IntoIter<Row>)>,
}

/// One connection.
struct Session {
    member: Arc<Member>,
    stream: TcpStream,
    record: ByteRecord,
    context: DecodeContext,
    input: BytesMut,
    output: BytesMut,
    executor: Executor,
    cancelled: Arc<Notify>,
    statements: HashMap<String, PreparedStatement>,
    portals: HashMap<String, BoundPortal>,
    /// After an error, messages are skipped up to the next Sync.
    skipping: bool,
}

/// Serves one connection to its end.
pub(super) async fn serve_connection(member: Arc<Member>, stream: TcpStream, id: u64) {
    let dropped = member.clone();
    let record = member.recorder.open();
    let executor = Executor::new(member.clone(), id);
    let mut session = Session {
        member,
        stream,
        record,
        context: DecodeContext::default(),
        input: BytesMut::new(),
        output: BytesMut::new(),
        executor,
        cancelled: Arc::new(Notify::new()),
        statements: HashMap::new(),
        portals: HashMap::new(),
        skipping: false,
    };
    tokio::select! {
        result = session.serve(id) => {
            if let Err(error) = result {
                log::debug!("member: connection {id} ended: {error}");
            }
        }
        () = dropped.connections_dropped.notified() => {}
    }
}

impl Session {
    async fn serve(&mut self, id: u64) -> io::Result<()> {
        if !self.start_up().await? {
            return Ok(());
        }
        let Some(_guard) = self.admit(id).await? else { return Ok(()) };
        while let Some(message) = self.receive().await? {
            self.wait_while_silent().await;
            match message {
                PgWireFrontendMessage::Terminate(_) => return Ok(()),
                message => self.handle(message).await?,
            }
            if self.output.len() > WRITE_BYTES {
                self.flush().await?;
            }
        }
        Ok(())
    }

    async fn handle(&mut self, message: PgWireFrontendMessage) -> io::Result<()> {
        match message {
            PgWireFrontendMessage::Query(query) => {
                self.simple_query(&query.query).await?;
                self.send_ready()?;
                self.flush().await
            }
            PgWireFrontendMessage::Sync(_) => {
                self.skipping = false;
                self.send_ready()?;
                self.flush().await
            }
            _ if self.skipping => Ok(()),
            PgWireFrontendMessage::Flush(_) => self.flush().await,
            PgWireFrontendMessage::Parse(parse) => self.answer(|session| session.parse(parse)),
            PgWireFrontendMessage::Bind(bind) => self.answer(|session| session.bind(bind)),
            PgWireFrontendMessage::Describe(describe) => {
                self.answer(|session| session.describe(&describe))
            }
            PgWireFrontendMessage::Close(close) => self.close(&close),
            PgWireFrontendMessage::Execute(execute) => match self.execute_portal(&execute).await {
                Ok(()) => Ok(()),
                Err(error) => self.send_failure(&error),
            },
            other => self.send_failure(&SqlError::unsupported(format!("message {other:?}"))),
        }
    }

    async fn simple_query(&mut self, text: &str) -> io::Result<()> {
        let statements = match parse_text(text) {
            Ok(statements) => statements,
            Err(error) => {
                self.executor.fail();
                return self.send_error(&error);
            }
        };
        if statements.iter().all(|parsed| matches!(parsed.plan, Plan::Empty)) {
            return self.send(PgWireBackendMessage::EmptyQueryResponse(EmptyQueryResponse::new()));
        }
        for parsed in statements {
            match self.run(&parsed, &[]).await {
                Ok(result) => self.send_whole(&result)?,
                Err(error) => return self.send_error(&error),
            }
        }
        Ok(())
    }

    /// Runs a statement, which a cancel request ends.
    async fn run(
        &mut self,
        parsed: &ParsedStatement,
        params: &[Datum],
    ) -> Result<StatementResult, SqlError> {
        let cancelled = self.cancelled.clone();
        let ended = tokio::select! {
            result = self.executor.run(parsed, params) => Some(result),
            () = cancelled.notified() => None,
        };
        ended.unwrap_or_else(|| {
            self.executor.fail();
            Err(SqlError::new("57014", "canceling statement due to user request"))
        })
    }

    /// Waits while the fault that makes the SQL port silent is set.
    async fn wait_while_silent(&self) {
        while self.member.lock().faults.blackhole_sql {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Runs a step of the extended protocol; an error makes the rest up to Sync be skipped.
    fn answer(&mut self, step: impl FnOnce(&mut Self) -> Result<(), SqlError>) -> io::Result<()> {
        match step(self) {
            Ok(()) => Ok(()),
            Err(error) => self.send_failure(&error),
        }
    }

    fn send_failure(&mut self, error: &SqlError) -> io::Result<()> {
        self.skipping = true;
        self.executor.fail();
        self.send_error(error)
    }

    /// Reads the next message, nothing at the end of the stream.
    async fn receive(&mut self) -> io::Result<Option<PgWireFrontendMessage>> {
        loop {
            let decoded = PgWireFrontendMessage::decode(&mut self.input, &self.context);
            if let Some(message) = decoded.map_err(io::Error::other)? {
                return Ok(Some(message));
            }
            let before = self.input.len();
            if self.stream.read_buf(&mut self.input).await? == 0 {
                return Ok(None);
            }
            self.record.append(&self.input[before..]);
        }
    }
}
