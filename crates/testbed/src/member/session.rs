//! The PostgreSQL protocol of one connection.

use std::collections::HashMap;
use std::io;
use std::sync::Arc;

use bytes::BytesMut;
use pgwire::messages::cancel::CancelRequest;
use pgwire::messages::data::{
    DataRow, FieldDescription, NoData, ParameterDescription, RowDescription,
};
use pgwire::messages::extendedquery::{
    Bind, BindComplete, Close, CloseComplete, Describe, Execute, Parse, ParseComplete,
    PortalSuspended,
};
use pgwire::messages::response::{
    CommandComplete, EmptyQueryResponse, GssEncResponse, ReadyForQuery, SslResponse,
    TransactionStatus,
};
use pgwire::messages::startup::{Authentication, BackendKeyData, ParameterStatus, SecretKey};
use pgwire::messages::{
    DecodeContext, PgWireBackendMessage, PgWireFrontendMessage, SslNegotiationMetaMessage,
};
use tanagerdeal_wire::member::POSITION_PARAMETER;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::sync::Notify;

use super::Member;
use super::datum::{ColumnType, Datum};
use super::describe::{parameter_types, result_columns};
use super::error::SqlError;
use super::execute::{BlockState, Executor, StatementResult};
use super::plan::{ParsedStatement, Plan, parse_text};
use super::recorder::ByteRecord;
use super::table::{Column, Row};

/// Bytes after which the output is written although the client has not asked for it.
const WRITE_BYTES: usize = 64 * 1024;

/// Target byte of statements in Describe and Close; portals have `P`.
const STATEMENT_TARGET: u8 = b'S';

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

/// Removes a connection from the count and from the cancel table.
struct ConnectionGuard {
    member: Arc<Member>,
    id: u64,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.member.lock().connections -= 1;
        self.member.cancels().remove(&(self.id as i32));
    }
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

    /// Reads up to the start-up message; false when the connection was only a cancel request.
    async fn start_up(&mut self) -> io::Result<bool> {
        while let Some(message) = self.receive().await? {
            match message {
                PgWireFrontendMessage::SslNegotiation(kind) => match kind {
                    SslNegotiationMetaMessage::PostgresSsl(_) => {
                        self.send(PgWireBackendMessage::SslResponse(SslResponse::Refuse))?;
                        self.flush().await?;
                    }
                    SslNegotiationMetaMessage::PostgresGss(_) => {
                        self.send(PgWireBackendMessage::GssEncResponse(GssEncResponse::Refuse))?;
                        self.flush().await?;
                    }
                    SslNegotiationMetaMessage::None => self.context.awaiting_frontend_ssl = false,
                },
                PgWireFrontendMessage::CancelRequest(request) => {
                    self.cancel(&request);
                    return Ok(false);
                }
                PgWireFrontendMessage::Startup(_) => {
                    self.context.awaiting_frontend_ssl = false;
                    self.context.awaiting_frontend_startup = false;
                    return Ok(true);
                }
                _ => return Ok(false),
            }
        }
        Ok(false)
    }

    fn cancel(&self, request: &CancelRequest) {
        let cancels = self.member.cancels();
        if let Some((secret, cancelled)) = cancels.get(&request.pid)
            && request.secret_key.eq_value(&SecretKey::I32(*secret))
        {
            cancelled.notify_waiters();
        }
    }

    /// Checks the password and the number of connections, then greets the client.
    async fn admit(&mut self, id: u64) -> io::Result<Option<ConnectionGuard>> {
        self.send(PgWireBackendMessage::Authentication(Authentication::CleartextPassword))?;
        self.flush().await?;
        let Some(PgWireFrontendMessage::PasswordMessageFamily(message)) = self.receive().await?
        else {
            return Ok(None);
        };
        let password = message.into_password().map_err(io::Error::other)?;
        if password.password != self.member.options.password {
            let error = SqlError::new("28P01", "password authentication failed");
            self.refuse(&error).await?;
            return Ok(None);
        }
        if !self.member.take_connection() {
            self.refuse(&SqlError::new("53300", "too many connections")).await?;
            return Ok(None);
        }
        let guard = ConnectionGuard { member: self.member.clone(), id };
        tokio::time::sleep(self.member.options.connect_time).await;
        let secret = rand::random();
        self.member.cancels().insert(id as i32, (secret, self.cancelled.clone()));
        self.greet(id, secret)?;
        self.flush().await?;
        Ok(Some(guard))
    }

    fn greet(&mut self, id: u64, secret: i32) -> io::Result<()> {
        self.send(PgWireBackendMessage::Authentication(Authentication::Ok))?;
        let parameters = [
            ("server_version", "16.0"),
            ("server_encoding", "UTF8"),
            ("client_encoding", "UTF8"),
            ("DateStyle", "ISO, MDY"),
            ("integer_datetimes", "on"),
            ("standard_conforming_strings", "on"),
        ];
        for (name, value) in parameters {
            self.send_status(name, value)?;
        }
        let key = BackendKeyData::new(id as i32, SecretKey::I32(secret));
        self.send(PgWireBackendMessage::BackendKeyData(key))?;
        self.send_ready()
    }

    async fn refuse(&mut self, error: &SqlError) -> io::Result<()> {
        self.send(PgWireBackendMessage::ErrorResponse(error.to_response("FATAL")))?;
        self.flush().await
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
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
    }

    fn parse(&mut self, parse: Parse) -> Result<(), SqlError> {
        let mut statements = parse_text(&parse.query)?;
        let parsed = match statements.len() {
            0 => ParsedStatement { text: String::new(), plan: Plan::Empty },
            1 => statements.remove(0),
            _ => {
                let message = "cannot insert multiple commands into a prepared statement";
                return Err(SqlError::new("42601", message));
            }
        };
        let types = parameter_types(&self.member.lock().database, &parsed.plan, &parse.type_oids)?;
        let name = parse.name.unwrap_or_default();
        self.statements.insert(name, PreparedStatement { parsed, types });
        self.send_message(PgWireBackendMessage::ParseComplete(ParseComplete::new()))
    }

    fn bind(&mut self, bind: Bind) -> Result<(), SqlError> {
        let prepared = self.statement(bind.statement_name.as_deref())?.clone();
        if bind.parameters.len() != prepared.types.len() {
            return Err(SqlError::new("08P01", "bind message has a wrong number of parameters"));
        }
        let mut params = Vec::new();
        for (index, bytes) in bind.parameters.iter().enumerate() {
            let format = format_at(&bind.parameter_format_codes, index);
            params.push(prepared.types[index].decode(bytes.as_deref(), format)?);
        }
        let formats = bind.result_column_format_codes;
        let portal = BoundPortal { prepared, params, formats, remaining: None };
        self.portals.insert(bind.portal_name.unwrap_or_default(), portal);
        self.send_message(PgWireBackendMessage::BindComplete(BindComplete::new()))
    }

    fn describe(&mut self, describe: &Describe) -> Result<(), SqlError> {
        let name = describe.name.as_deref().unwrap_or_default();
        let (prepared, formats) = match describe.target_type {
            STATEMENT_TARGET => (self.statement(Some(name))?.clone(), Vec::new()),
            _ => {
                let portal = self.portals.get(name).ok_or_else(|| missing("portal", name))?;
                (portal.prepared.clone(), portal.formats.clone())
            }
        };
        let columns =
            result_columns(&self.member.lock().database, &prepared.parsed.plan, &prepared.types)?;
        if describe.target_type == STATEMENT_TARGET {
            let types = prepared.types.iter().map(|parameter| parameter.oid()).collect();
            let description = ParameterDescription::new(types);
            self.send_message(PgWireBackendMessage::ParameterDescription(description))?;
        }
        match columns.is_empty() {
            true => self.send_message(PgWireBackendMessage::NoData(NoData::new())),
            false => self.send_message(row_description(&columns, &formats)),
        }
    }

    fn close(&mut self, close: &Close) -> io::Result<()> {
        let name = close.name.as_deref().unwrap_or_default();
        match close.target_type {
            STATEMENT_TARGET => drop(self.statements.remove(name)),
            _ => drop(self.portals.remove(name)),
        }
        self.send(PgWireBackendMessage::CloseComplete(CloseComplete::new()))
    }

    async fn execute_portal(&mut self, execute: &Execute) -> Result<(), SqlError> {
        let name = execute.name.clone().unwrap_or_default();
        let mut portal = self.portals.remove(&name).ok_or_else(|| missing("portal", &name))?;
        if matches!(portal.prepared.parsed.plan, Plan::Empty) {
            return self
                .send_message(PgWireBackendMessage::EmptyQueryResponse(EmptyQueryResponse::new()));
        }
        let (mut result, mut rows) = match portal.remaining.take() {
            Some(remaining) => remaining,
            None => {
                let mut result = self.run(&portal.prepared.parsed, &portal.params).await?;
                self.send_position(&result).map_err(broken)?;
                let rows = std::mem::take(&mut result.rows).into_iter();
                (result, rows)
            }
        };
        let limit = match execute.max_rows {
            max if max > 0 => max as usize,
            _ => usize::MAX,
        };
        for row in rows.by_ref().take(limit) {
            self.send_row(&result.columns, &portal.formats, &row).map_err(broken)?;
        }
        if rows.len() > 0 {
            portal.remaining = Some((result, rows));
            self.portals.insert(name, portal);
            let suspended = PortalSuspended::new();
            return self.send_message(PgWireBackendMessage::PortalSuspended(suspended));
        }
        let tag = std::mem::take(&mut result.tag);
        self.portals.insert(name, portal);
        self.send_message(PgWireBackendMessage::CommandComplete(CommandComplete::new(tag)))
    }

    fn statement(&self, name: Option<&str>) -> Result<&PreparedStatement, SqlError> {
        let name = name.unwrap_or_default();
        self.statements.get(name).ok_or_else(|| missing("prepared statement", name))
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

    fn send_error(&mut self, error: &SqlError) -> io::Result<()> {
        self.send(PgWireBackendMessage::ErrorResponse(error.to_response("ERROR")))
    }

    /// Sends a result of the simple protocol with its description.
    fn send_whole(&mut self, result: &StatementResult) -> io::Result<()> {
        self.send_position(result)?;
        if !result.columns.is_empty() {
            self.send(row_description(&result.columns, &[]))?;
        }
        for row in &result.rows {
            self.send_row(&result.columns, &[], row)?;
        }
        let complete = CommandComplete::new(result.tag.clone());
        self.send(PgWireBackendMessage::CommandComplete(complete))
    }

    fn send_position(&mut self, result: &StatementResult) -> io::Result<()> {
        match result.position {
            Some(position) => self.send_status(POSITION_PARAMETER, &position.to_string()),
            None => Ok(()),
        }
    }

    fn send_row(&mut self, columns: &[Column], formats: &[i16], row: &Row) -> io::Result<()> {
        let mut data = BytesMut::new();
        for (index, (column, datum)) in columns.iter().zip(row).enumerate() {
            datum.encode(column.column_type, format_at(formats, index), &mut data);
        }
        self.send(PgWireBackendMessage::DataRow(DataRow::new(data, row.len() as i16)))
    }

    fn send_status(&mut self, name: &str, value: &str) -> io::Result<()> {
        let status = ParameterStatus::new(name.to_owned(), value.to_owned());
        self.send(PgWireBackendMessage::ParameterStatus(status))
    }

    fn send_ready(&mut self) -> io::Result<()> {
        let status = match self.executor.block {
            BlockState::Idle => TransactionStatus::Idle,
            BlockState::Open => TransactionStatus::Transaction,
            BlockState::Failed => TransactionStatus::Error,
        };
        self.send(PgWireBackendMessage::ReadyForQuery(ReadyForQuery::new(status)))
    }

    fn send_message(&mut self, message: PgWireBackendMessage) -> Result<(), SqlError> {
        self.send(message).map_err(broken)
    }

    fn send(&mut self, message: PgWireBackendMessage) -> io::Result<()> {
        message.encode(&mut self.output).map_err(io::Error::other)
    }

    async fn flush(&mut self) -> io::Result<()> {
        let output = self.output.split();
        self.stream.write_all(&output).await
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

fn format_at(formats: &[i16], index: usize) -> i16 {
    match formats {
        [] => 0,
        [all] => *all,
        list => list.get(index).copied().unwrap_or(0),
    }
}

fn row_description(columns: &[Column], formats: &[i16]) -> PgWireBackendMessage {
    let fields = columns.iter().enumerate().map(|(index, column)| {
        let (oid, size) = (column.column_type.oid(), column.column_type.size());
        let format = format_at(formats, index);
        FieldDescription::new(column.name.clone(), 0, 0, oid, size, -1, format)
    });
    PgWireBackendMessage::RowDescription(RowDescription::new(fields.collect()))
}

fn missing(what: &str, name: &str) -> SqlError {
    SqlError::new("26000", format!("{what} \"{name}\" does not exist"))
}

fn broken(error: io::Error) -> SqlError {
    SqlError::new("08006", error.to_string())
}
