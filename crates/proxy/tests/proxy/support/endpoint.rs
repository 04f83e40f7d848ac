//! A scripted endpoint: a small server with the codecs of pgwire.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::{BufMut as _, BytesMut};
use pgwire::api::auth::Password;
use pgwire::api::auth::sasl::scram::{ScramServerAuth, gen_salted_password};
use pgwire::messages::data::{
    DataRow, FieldDescription, NoData, ParameterDescription, RowDescription,
};
use pgwire::messages::extendedquery::{
    BindComplete, CloseComplete, ParseComplete, PortalSuspended,
};
use pgwire::messages::response::{
    CommandComplete, ErrorResponse, ReadyForQuery, TransactionStatus,
};
use pgwire::messages::startup::{Authentication, BackendKeyData, ParameterStatus, SecretKey};
use pgwire::messages::{Message, PgWireFrontendMessage};
use tanagerdeal::codec::{CodecError, FrameStream};
use tanagerdeal_wire::member::{LogPosition, POSITION_PARAMETER};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use super::script::{EndpointScript, Fault, RunningStatement, TERM};

/// Password that the endpoint expects.
pub const SERVICE_PASSWORD: &str = "service-password";

const LIMIT: usize = 1 << 24;

/// Why a connection ends.
struct Ended;

impl From<CodecError> for Ended {
    fn from(_: CodecError) -> Self {
        Self
    }
}

/// Notes every byte that is read.
struct Tap {
    inner: TcpStream,
    script: Arc<EndpointScript>,
}

impl AsyncRead for Tap {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.inner).poll_read(context, buffer);
        self.script.note_bytes(&buffer.filled()[before..]);
        result
    }
}

impl AsyncWrite for Tap {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}

/// Starts the listener and returns its address.
pub async fn listen(script: Arc<EndpointScript>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (inner, _) = listener.accept().await.unwrap();
            let script = script.clone();
            tokio::spawn(async move {
                let tap = Tap { inner, script: script.clone() };
                let _ = attend(FrameStream::new(tap, LIMIT), script).await;
            });
        }
    });
    address
}

async fn attend(mut stream: FrameStream<Tap>, script: Arc<EndpointScript>) -> Result<(), Ended> {
    match stream.read_startup().await? {
        PgWireFrontendMessage::CancelRequest(request) => {
            script.cancel(request.pid);
            return Ok(());
        }
        PgWireFrontendMessage::Startup(_) => {}
        _ => return Err(Ended),
    }
    match script.uses_scram() {
        true => check_scram(&mut stream).await?,
        false => check_password(&mut stream).await?,
    }
    let (pid, running) = script.connect();
    stream.push(&Authentication::Ok);
    stream.push(&BackendKeyData::new(pid, SecretKey::I32(pid)));
    stream.push(&ReadyForQuery::new(TransactionStatus::Idle));
    stream.flush().await?;
    let mut connection = Connection::new(stream, script.clone(), pid, running);
    while connection.step().await.is_ok() {}
    script.disconnect(pid);
    Ok(())
}

async fn check_password(stream: &mut FrameStream<Tap>) -> Result<(), Ended> {
    stream.push(&Authentication::CleartextPassword);
    stream.flush().await?;
    let PgWireFrontendMessage::PasswordMessageFamily(message) = stream.read().await?.frontend()?
    else {
        return Err(Ended);
    };
    match message.into_password().unwrap().password == SERVICE_PASSWORD {
        true => Ok(()),
        false => Err(Ended),
    }
}

async fn check_scram(stream: &mut FrameStream<Tap>) -> Result<(), Ended> {
    stream.push(&Authentication::SASL(vec!["SCRAM-SHA-256".to_owned()]));
    stream.flush().await?;
    let salt = b"salt of the test".to_vec();
    let salted = gen_salted_password(SERVICE_PASSWORD, &salt, 4096);
    let expected = Password::new(Some(salt), salted);
    let first = match stream.read().await?.frontend()? {
        PgWireFrontendMessage::PasswordMessageFamily(message) => {
            message.into_sasl_initial_response().unwrap().data.unwrap()
        }
        _ => return Err(Ended),
    };
    let scram = ScramServerAuth::new();
    let (challenge, state) = scram.on_client_first_message(&first, expected).unwrap();
    stream.push(&Authentication::SASLContinue(challenge.into()));
    stream.flush().await?;
    let last = match stream.read().await?.frontend()? {
        PgWireFrontendMessage::PasswordMessageFamily(message) => {
            message.into_sasl_response().unwrap().data
        }
        _ => return Err(Ended),
    };
    let proof = state.on_client_final_message(&last).map_err(|_| Ended)?;
    stream.push(&Authentication::SASLFinal(proof.into()));
    Ok(())
}

struct Connection {
    stream: FrameStream<Tap>,
    script: Arc<EndpointScript>,
    pid: i32,
    running: Arc<RunningStatement>,
    status: TransactionStatus,
    /// Writes of the open transaction.
    writes: Vec<String>,
    /// Requests recorded in the open transaction.
    recorded: HashMap<(String, String), String>,
    statements: HashMap<String, String>,
    portals: HashMap<String, (String, Vec<String>)>,
    /// Rows left of portals that were executed in part.
    suspended: HashMap<String, Vec<String>>,
    /// Whether messages are ignored up to Sync.
    is_skipping: bool,
}

impl Connection {
    fn new(
        stream: FrameStream<Tap>,
        script: Arc<EndpointScript>,
        pid: i32,
        running: Arc<RunningStatement>,
    ) -> Self {
        Self {
            stream,
            script,
            pid,
            running,
            status: TransactionStatus::Idle,
            writes: Vec::new(),
            recorded: HashMap::new(),
            statements: HashMap::new(),
            portals: HashMap::new(),
            suspended: HashMap::new(),
            is_skipping: false,
        }
    }

    async fn step(&mut self) -> Result<(), Ended> {
        let message = self.stream.read().await?.frontend()?;
        match message {
            PgWireFrontendMessage::Query(query) => {
                // Comments of the tests end with the only line break.
                let text = query.query.rsplit('\n').next().unwrap_or_default().to_owned();
                for sql in text.split(';').filter(|sql| !sql.trim().is_empty()) {
                    if !self.execute(sql.trim(), &[], true).await? {
                        break;
                    }
                }
                self.ready().await
            }
            PgWireFrontendMessage::Sync(_) => {
                self.is_skipping = false;
                self.ready().await
            }
            PgWireFrontendMessage::Flush(_) => Ok(self.stream.flush().await?),
            PgWireFrontendMessage::Terminate(_) => Err(Ended),
            _ if self.is_skipping => Ok(()),
            message => self.extended(message).await,
        }
    }

    async fn extended(&mut self, message: PgWireFrontendMessage) -> Result<(), Ended> {
        match message {
            PgWireFrontendMessage::Parse(parse) => {
                self.statements.insert(parse.name.unwrap_or_default(), parse.query);
                self.stream.push(&ParseComplete::new());
            }
            PgWireFrontendMessage::Bind(bind) => {
                let name = bind.statement_name.unwrap_or_default();
                let Some(sql) = self.statements.get(&name).cloned() else {
                    self.error("26000", "no such statement");
                    self.is_skipping = true;
                    return Ok(());
                };
                let text = |value: &Option<bytes::Bytes>| {
                    String::from_utf8(value.clone().unwrap_or_default().to_vec()).unwrap()
                };
                let parameters = bind.parameters.iter().map(text).collect();
                self.portals.insert(bind.portal_name.unwrap_or_default(), (sql, parameters));
                self.stream.push(&BindComplete::new());
            }
            PgWireFrontendMessage::Describe(describe) => self.describe(describe),
            PgWireFrontendMessage::Execute(execute) => {
                let portal = execute.name.unwrap_or_default();
                let (sql, parameters) = self.portals.get(&portal).cloned().ok_or(Ended)?;
                match usize::try_from(execute.max_rows) {
                    Ok(count) if count > 0 => self.fetch(&portal, &sql, &parameters, count),
                    _ => self.is_skipping = !self.execute(&sql, &parameters, false).await?,
                }
                // Real servers write as soon as some replies are there.
                self.stream.flush().await?;
            }
            PgWireFrontendMessage::Close(_) => self.stream.push(&CloseComplete::new()),
            _ => return Err(Ended),
        }
        Ok(())
    }

    /// Sends some rows of a portal; its position is reported with the first ones only.
    fn fetch(&mut self, portal: &str, sql: &str, parameters: &[String], count: usize) {
        self.script.note_statement(self.pid, sql);
        if !self.suspended.contains_key(portal) {
            self.report(None);
            let rows = self.rows(sql, parameters);
            self.suspended.insert(portal.to_owned(), rows);
        }
        let rest = self.suspended.get_mut(portal).expect("the portal was just added");
        let now: Vec<String> = rest.drain(..count.min(rest.len())).collect();
        let is_done = rest.is_empty();
        now.iter().for_each(|value| self.stream.push(&row(value)));
        match is_done {
            true => self.complete(&format!("SELECT {}", now.len())),
            false => self.stream.push(&PortalSuspended::new()),
        }
    }

    fn describe(&mut self, describe: pgwire::messages::extendedquery::Describe) {
        let name = describe.name.unwrap_or_default();
        let sql = if describe.target_type == b'S' {
            let sql = self.statements.get(&name).cloned().unwrap_or_default();
            let count = sql.matches('$').count();
            self.stream.push(&ParameterDescription::new(vec![25; count]));
            sql
        } else {
            self.portals.get(&name).map(|(sql, _)| sql.clone()).unwrap_or_default()
        };
        match returns_rows(&sql) {
            true => self.stream.push(&columns()),
            false => self.stream.push(&NoData::new()),
        }
    }

    async fn ready(&mut self) -> Result<(), Ended> {
        self.stream.push(&ReadyForQuery::new(self.status));
        Ok(self.stream.flush().await?)
    }

    /// Executes one statement; false after an error.
    async fn execute(
        &mut self,
        sql: &str,
        parameters: &[String],
        with_columns: bool,
    ) -> Result<bool, Ended> {
        self.script.note_statement(self.pid, sql);
        *self.running.text.lock().unwrap() = Some(sql.to_owned());
        let fault = self.script.take_fault(sql);
        let result = self.answer(sql, parameters, with_columns, fault).await;
        *self.running.text.lock().unwrap() = None;
        result
    }

    async fn answer(
        &mut self,
        sql: &str,
        parameters: &[String],
        with_columns: bool,
        fault: Option<Fault>,
    ) -> Result<bool, Ended> {
        match &fault {
            Some(Fault::Delay(wait)) => sleep(*wait).await,
            Some(Fault::Close) => return Err(Ended),
            Some(Fault::AwaitCancel) => {
                self.running.cancelled.notified().await;
                self.error("57014", "canceling statement due to user request");
                return Ok(false);
            }
            Some(Fault::Stale) => {
                self.error("0A000", "cached plan must not change result type");
                return Ok(false);
            }
            Some(Fault::Crossed) => self.stream.push(&BindComplete::new()),
            _ => {}
        }
        let upper = sql.to_ascii_uppercase();
        let word = upper.split_whitespace().next().unwrap_or_default();
        let is_end = matches!(word, "COMMIT" | "ROLLBACK" | "END");
        if self.status == TransactionStatus::Error && !is_end {
            self.error("25P02", "the transaction has failed");
            return Ok(false);
        }
        if sql.contains("fail_here") {
            self.error("22012", "division by zero");
            return Ok(false);
        }
        match word {
            "BEGIN" | "START" => {
                self.status = TransactionStatus::Transaction;
                self.complete("BEGIN");
            }
            "COMMIT" | "END" => return self.commit(fault),
            "ROLLBACK" if upper.contains(" TO ") => self.complete("ROLLBACK"),
            "ROLLBACK" => {
                self.end_transaction();
                self.complete("ROLLBACK");
            }
            "SELECT" => return self.select(sql, parameters, with_columns, fault).await,
            "INSERT" | "UPDATE" | "DELETE" => return self.write(sql, parameters, fault),
            word => self.complete(word),
        }
        Ok(true)
    }

    fn commit(&mut self, fault: Option<Fault>) -> Result<bool, Ended> {
        let tag = match self.status {
            TransactionStatus::Error => "ROLLBACK",
            _ => {
                self.apply();
                "COMMIT"
            }
        };
        self.end_transaction();
        if matches!(fault, Some(Fault::CommitAndClose)) {
            return Err(Ended);
        }
        self.report(fault);
        self.complete(tag);
        Ok(true)
    }

    /// Makes the writes of the transaction visible.
    fn apply(&mut self) {
        let mut log = self.script.log.lock().unwrap();
        if !self.writes.is_empty() {
            log.offset += 1;
        }
        log.committed.append(&mut self.writes);
        log.requests.extend(self.recorded.drain());
    }

    fn end_transaction(&mut self) {
        self.status = TransactionStatus::Idle;
        self.writes.clear();
        self.recorded.clear();
    }

    async fn select(
        &mut self,
        sql: &str,
        parameters: &[String],
        with_columns: bool,
        fault: Option<Fault>,
    ) -> Result<bool, Ended> {
        if with_columns {
            self.stream.push(&columns());
        }
        self.report(fault.clone());
        let values = self.rows(sql, parameters);
        for value in &values {
            self.stream.push(&row(value));
            if matches!(fault, Some(Fault::Truncate)) {
                self.stream.flush().await?;
                return Err(Ended);
            }
        }
        self.complete(&format!("SELECT {}", values.len()));
        if matches!(fault, Some(Fault::Twice)) {
            self.stream.push(&row("row of another statement"));
            self.complete("SELECT 1");
        }
        if matches!(fault, Some(Fault::Extra)) {
            self.stream.push(&ReadyForQuery::new(self.status));
            self.stream.push(&columns());
            self.stream.push(&row("row of another statement"));
            self.complete("SELECT 1");
        }
        Ok(true)
    }

    /// Rows of a SELECT: the recorded outcome, the numbers up to a bound, nothing, or the text of
    /// the statement itself, by which a reply to another statement is noticed.
    fn rows(&self, sql: &str, parameters: &[String]) -> Vec<String> {
        if sql.contains("tanagerdeal_requests") {
            let key = (parameters[0].clone(), parameters[1].clone());
            return self
                .script
                .log
                .lock()
                .unwrap()
                .requests
                .get(&key)
                .cloned()
                .into_iter()
                .collect();
        }
        if let Some((_, bound)) = sql.split_once("n <= ") {
            return (1..=bound.trim().parse::<u32>().unwrap()).map(|n| n.to_string()).collect();
        }
        if sql.contains("no_rows") {
            return Vec::new();
        }
        vec![parameters.first().cloned().unwrap_or_else(|| sql.to_owned())]
    }

    fn write(
        &mut self,
        sql: &str,
        parameters: &[String],
        fault: Option<Fault>,
    ) -> Result<bool, Ended> {
        if sql.contains("tanagerdeal_requests") {
            let key = (parameters[0].clone(), parameters[1].clone());
            let is_known = self.script.log.lock().unwrap().requests.contains_key(&key);
            if sql.starts_with("INSERT") && is_known {
                self.error("23505", "duplicate key value violates unique constraint");
                return Ok(false);
            }
            self.recorded.insert(key, parameters[2].clone());
        } else {
            self.writes.push(sql.to_owned());
        }
        if self.status == TransactionStatus::Idle {
            self.apply();
            if matches!(fault, Some(Fault::CommitAndClose)) {
                return Err(Ended);
            }
            self.report(fault);
        }
        let is_insert = sql.to_ascii_uppercase().starts_with("INSERT");
        self.complete(if is_insert { "INSERT 0 1" } else { "UPDATE 1" });
        Ok(true)
    }

    fn report(&mut self, fault: Option<Fault>) {
        let position = match fault {
            Some(Fault::NoPosition) => return,
            Some(Fault::Position(position)) => position,
            _ => LogPosition { term: TERM, offset: self.script.applied().offset },
        };
        let name = POSITION_PARAMETER.to_owned();
        self.stream.push(&ParameterStatus::new(name, position.to_string()));
    }

    fn error(&mut self, sqlstate: &str, message: &str) {
        if self.status == TransactionStatus::Transaction {
            self.status = TransactionStatus::Error;
        }
        let fields = [(b'S', "ERROR"), (b'V', "ERROR"), (b'C', sqlstate), (b'M', message)];
        let fields = fields.into_iter().map(|(code, text)| (code, text.to_owned())).collect();
        self.stream.push(&ErrorResponse::new(fields));
    }

    fn complete(&mut self, tag: &str) {
        self.push(&CommandComplete::new(tag.to_owned()));
    }

    fn push(&mut self, message: &impl Message) {
        self.stream.push(message);
    }
}

fn returns_rows(sql: &str) -> bool {
    sql.trim_start().to_ascii_uppercase().starts_with("SELECT")
}

fn columns() -> RowDescription {
    RowDescription::new(vec![FieldDescription::new("value".to_owned(), 0, 0, 25, -1, -1, 0)])
}

fn row(value: &str) -> DataRow {
    let mut data = BytesMut::new();
    data.put_i32(i32::try_from(value.len()).unwrap());
    data.put_slice(value.as_bytes());
    DataRow::new(data, 1)
}
