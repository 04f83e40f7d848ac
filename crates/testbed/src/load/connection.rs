//! Connections of callers and the verdicts of their requests.

use std::future::poll_fn;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tanagerdeal_wire::value_type;
use tokio::task::JoinHandle;
use tokio::time::timeout;
use tokio_postgres::types::Type;
use tokio_postgres::{Client, Config, Connection, Error, NoTls, SimpleQueryMessage, Socket};

use super::plan::{CustomerLoad, HostTarget};
use crate::clock::now_us;
use crate::history::OutcomeVerdict;

/// Parameter in which the proxy reports the session token.
const TOKEN_PARAMETER: &str = "tanagerdeal.session_token";

/// Longest wait for a connection.
const CONNECT_LIMIT: Duration = Duration::from_secs(3);

/// Time after its deadline at which a request without an answer counts as timed out.
const ANSWER_MARGIN: Duration = Duration::from_secs(1);

/// Rows of an answer as texts.
pub(super) type TextRows = Vec<Vec<Option<String>>>;

value_type! {
    /// A negative answer.
    pub(super) struct CallFailure {
        /// When it arrived; a ROLLBACK that follows it takes its own time.
        pub(super) at_us: u64,
        pub(super) verdict: OutcomeVerdict,
        pub(super) sqlstate: String,
        pub(super) message: String,
        pub(super) retry_after_ms: Option<u64>,
    }
}

/// An open connection to a host.
pub(super) struct CallerConnection {
    client: Client,
    /// Drives the connection and returns the last session token at its end.
    driver: JoinHandle<Option<String>>,
    farewell: Farewell,
    limit: Duration,
}

/// Error with which the host closed the connection between two requests, if it did.
type Farewell = Arc<Mutex<Option<CallFailure>>>;

impl CallFailure {
    pub(super) fn new(verdict: OutcomeVerdict, message: &str) -> Self {
        let message = message.to_owned();
        Self { at_us: now_us(), verdict, sqlstate: String::new(), message, retry_after_ms: None }
    }

    /// Reads the verdict from an error; without one, the request may have run.
    fn from_error(error: &Error) -> Self {
        let Some(database_error) = error.as_db_error() else {
            return Self::new(OutcomeVerdict::Lost, &error.to_string());
        };
        let message = database_error.message();
        let verdicts = [
            ("not run: ", OutcomeVerdict::NotRun),
            ("may have run: ", OutcomeVerdict::MayHaveRun),
            ("ran: ", OutcomeVerdict::Ran),
        ];
        let verdict = verdicts.iter().find(|(prefix, _)| message.starts_with(prefix));
        let retry_after = database_error.detail().and_then(|detail| {
            let (_, rest) = detail.split_once("retry_after_ms=")?;
            rest.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
        });
        Self {
            at_us: now_us(),
            verdict: verdict.map_or(OutcomeVerdict::Failed, |(_, verdict)| *verdict),
            sqlstate: database_error.code().code().to_owned(),
            message: message.to_owned(),
            retry_after_ms: retry_after,
        }
    }
}

impl CallerConnection {
    /// Connects as a customer. A failure before the session is open means that nothing ran.
    pub(super) async fn open(
        host: &HostTarget,
        customer: &CustomerLoad,
        route: &str,
        deadline_ms: u32,
        token: Option<&str>,
    ) -> Result<Self, CallFailure> {
        let mut options = format!("-c tanagerdeal.deadline_ms={deadline_ms}");
        if let Some(token) = token {
            options += &format!(" -c {TOKEN_PARAMETER}={token}");
        }
        let mut config = Config::new();
        config.host(host.address.ip().to_string()).port(host.address.port());
        config.user(&customer.name).password(&customer.password).dbname(route).options(options);
        let refused =
            |failure: CallFailure| CallFailure { verdict: OutcomeVerdict::NotRun, ..failure };
        match timeout(CONNECT_LIMIT, config.connect(NoTls)).await {
            Ok(Ok((client, connection))) => {
                let farewell = Farewell::default();
                let driver = tokio::spawn(drive(connection, farewell.clone()));
                let limit = Duration::from_millis(deadline_ms.into()) + ANSWER_MARGIN;
                Ok(Self { client, driver, farewell, limit })
            }
            Ok(Err(error)) => Err(refused(CallFailure::from_error(&error))),
            Err(_) => Err(CallFailure::new(OutcomeVerdict::NotRun, "no connection in time")),
        }
    }

    /// Runs a text by the simple protocol.
    pub(super) async fn simple(&self, text: &str) -> Result<TextRows, CallFailure> {
        let messages = self.limited(self.client.simple_query(text)).await?;
        let rows = messages.iter().filter_map(|message| match message {
            SimpleQueryMessage::Row(row) => Some(row),
            _ => None,
        });
        Ok(rows
            .map(|row| (0..row.len()).map(|index| row.get(index).map(str::to_owned)).collect())
            .collect())
    }

    /// Runs a statement with one text parameter by the extended protocol, in one round trip.
    pub(super) async fn extended(
        &self,
        text: &str,
        parameter: &str,
    ) -> Result<TextRows, CallFailure> {
        let rows = self.limited(self.client.query_typed(text, &[(&parameter, Type::TEXT)])).await?;
        let value = |row: &tokio_postgres::Row, index: usize| match row.columns()[index].type_() {
            &Type::INT8 => row.get::<_, Option<i64>>(index).map(|value| value.to_string()),
            _ => row.get::<_, Option<String>>(index),
        };
        Ok(rows.iter().map(|row| (0..row.len()).map(|index| value(row, index)).collect()).collect())
    }

    /// Whether the connection has ended.
    pub(super) fn is_closed(&self) -> bool {
        self.client.is_closed()
    }

    /// Closes the connection and returns the last session token.
    pub(super) async fn close(self) -> Option<String> {
        drop(self.client);
        let token = timeout(CONNECT_LIMIT, self.driver).await;
        token.ok().and_then(Result::ok).flatten()
    }

    /// Gives a lost request the verdict of the error with which the host closed the connection. That
    /// error may have been on its way when the request was sent, and then is the answer to it.
    fn explain(&self, failure: CallFailure) -> CallFailure {
        let farewell = self.farewell.lock().unwrap_or_else(PoisonError::into_inner).clone();
        match (failure.verdict, farewell) {
            (OutcomeVerdict::Lost, Some(farewell)) => farewell,
            _ => failure,
        }
    }

    async fn limited<T>(
        &self,
        call: impl Future<Output = Result<T, Error>>,
    ) -> Result<T, CallFailure> {
        match timeout(self.limit, call).await {
            Ok(result) => result.map_err(|error| self.explain(CallFailure::from_error(&error))),
            Err(_) => Err(CallFailure::new(OutcomeVerdict::TimedOut, "no answer in time")),
        }
    }
}

/// Drives a connection to its end and returns the session token last reported.
async fn drive(
    mut connection: Connection<Socket, tokio_postgres::tls::NoTlsStream>,
    farewell: Farewell,
) -> Option<String> {
    while let Some(message) = poll_fn(|context| connection.poll_message(context)).await {
        if let Err(error) = message {
            let failure = error.as_db_error().map(|_| CallFailure::from_error(&error));
            *farewell.lock().unwrap_or_else(PoisonError::into_inner) = failure;
            break;
        }
    }
    connection.parameter(TOKEN_PARAMETER).map(str::to_owned)
}
