//! Start-up of a client connection: encryption, authentication, first messages.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use pgwire::messages::response::{ErrorResponse, TransactionStatus};
use pgwire::messages::startup::{
    Authentication, BackendKeyData, NegotiateProtocolVersion, ParameterStatus, SecretKey, Startup,
};
use pgwire::messages::{PgWireFrontendMessage, SslNegotiationMetaMessage};
use tanagerdeal_core::message::caller::{CallerAnswer, CallerCall, SessionOpening};
use tanagerdeal_core::statement::SETTING_PREFIX;
use tanagerdeal_core::verdict::{RefusalCode, RequestRefusal};
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_rustls::server::TlsStream;
use tokio_util::either::Either;

use super::CallerContext;
use super::reply::{self, Severity};
use super::session::Session;
use crate::codec::{CodecError, FrameStream};

/// Longest message accepted before authentication, in bytes.
const MAX_UNAUTHENTICATED_BYTES: usize = 10_000;
/// Requests for encryption that a client may make before its start-up message.
const MAX_NEGOTIATIONS: usize = 2;
/// Time that a refused client has to take the error and to close its side.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);
/// Parameters that clients rely on. They hold for every endpoint, because the proxy sets them when
/// it logs in.
const PARAMETERS: [(&str, &str); 8] = [
    ("server_version", "16.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("TimeZone", "UTC"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
    ("is_superuser", "off"),
];

/// The stream of a client, with or without TLS.
pub(super) type CallerStream = Either<TcpStream, Box<TlsStream<TcpStream>>>;

/// Why a start-up ended without a session.
#[derive(Debug, thiserror::Error)]
pub(super) enum StartupError {
    /// A message was not understood.
    #[error("{0}")]
    Codec(#[from] CodecError),
    /// The start-up took too long.
    #[error("the start-up took too long")]
    TimedOut,
    /// The client was refused.
    #[error("{0}")]
    Refused(String),
    /// A message came that does not belong here.
    #[error("{0}")]
    Unexpected(&'static str),
}

/// What a connection turned out to be.
pub(super) enum Opening {
    /// A session.
    Session(Box<Session>),
    /// A cancel request.
    Cancel(i32, i32),
}

/// Takes a connection through the start-up.
pub(super) async fn open(
    socket: TcpStream,
    context: Arc<CallerContext>,
) -> Result<Opening, StartupError> {
    let wait = context.limits.startup_timeout;
    timeout(wait, negotiate(socket, context)).await.map_err(|_| StartupError::TimedOut)?
}

async fn negotiate(
    socket: TcpStream,
    context: Arc<CallerContext>,
) -> Result<Opening, StartupError> {
    let mut client: FrameStream<CallerStream> =
        FrameStream::new(Either::Left(socket), MAX_UNAUTHENTICATED_BYTES);
    for _ in 0..=MAX_NEGOTIATIONS {
        client = match client.read_startup().await? {
            PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::PostgresSsl(_)) => {
                encrypt(client, &context).await?
            }
            PgWireFrontendMessage::SslNegotiation(_) => {
                client.push_bytes(b"N");
                client.flush().await?;
                client
            }
            PgWireFrontendMessage::CancelRequest(request) => {
                let secret = request.secret_key.as_i32().unwrap_or_default();
                return Ok(Opening::Cancel(request.pid, secret));
            }
            PgWireFrontendMessage::Startup(startup) => {
                let session = authenticate(client, startup, context).await?;
                return Ok(Opening::Session(Box::new(session)));
            }
            _ => return Err(StartupError::Unexpected("a message before the start-up")),
        };
    }
    Err(StartupError::Unexpected("too many requests for encryption"))
}

/// Answers a request for TLS, and performs the handshake when a certificate is set.
async fn encrypt(
    mut client: FrameStream<CallerStream>,
    context: &CallerContext,
) -> Result<FrameStream<CallerStream>, StartupError> {
    let is_plain = matches!(client.io(), Either::Left(_));
    let Some(acceptor) = context.tls.as_ref().filter(|_| is_plain) else {
        client.push_bytes(b"N");
        client.flush().await?;
        return Ok(client);
    };
    // Bytes sent before the handshake could have been put there by somebody else on the path.
    let (io, has_rest) = client.into_io();
    let Either::Left(mut socket) = io else {
        return Err(StartupError::Unexpected("a request for encryption within TLS"));
    };
    if has_rest {
        return Err(StartupError::Unexpected("data before the TLS handshake"));
    }
    socket.write_all(b"S").await.map_err(CodecError::Io)?;
    let stream = acceptor.accept(socket).await.map_err(CodecError::Io)?;
    Ok(FrameStream::new(Either::Right(Box::new(stream)), MAX_UNAUTHENTICATED_BYTES))
}

async fn authenticate(
    mut client: FrameStream<CallerStream>,
    startup: Startup,
    context: Arc<CallerContext>,
) -> Result<Session, StartupError> {
    let is_plain = matches!(client.io(), Either::Left(_));
    if context.require_tls && is_plain {
        let error = fatal(reply::INVALID_AUTHORIZATION, "not run: TLS is required");
        return Err(refuse(&mut client, &error).await);
    }
    if startup.protocol_number_minor > 0 {
        let options = startup.parameters.keys().filter(|name| name.starts_with("_pq_."));
        let version = Startup::PROTOCOL_VERSION_3_0;
        client.push(&NegotiateProtocolVersion::new(version, options.cloned().collect()));
    }
    let opening = match read_credentials(&mut client, &startup, &context).await? {
        Ok(opening) => opening,
        Err(error) => return Err(refuse(&mut client, &error).await),
    };
    let user = opening.user.clone();
    let (key, closing) = match context.driver.open_session(opening).await {
        Ok(opened) => opened,
        Err(refusal) => {
            return Err(refuse(&mut client, &reply::refusal(Severity::Fatal, &refusal)).await);
        }
    };
    client.set_limit(context.limits.message_bytes);
    let cancel = context.cancels.register();
    greet(&mut client, &user, cancel.pid(), cancel.secret());
    let mut session = Session::new(context, client, key, closing, cancel);
    // A client that has gone is noticed by the session's first read, which also ends the session.
    let _ = session.flush().await;
    Ok(session)
}

/// Reads what the client presents; the inner error goes to the client.
async fn read_credentials(
    client: &mut FrameStream<CallerStream>,
    startup: &Startup,
    context: &CallerContext,
) -> Result<Result<SessionOpening, ErrorResponse>, StartupError> {
    let parameter = |name: &str| startup.parameters.get(name).cloned();
    let Some(user) = parameter("user") else {
        return Ok(Err(fatal(reply::INVALID_AUTHORIZATION, "not run: no user was given")));
    };
    let encoding = parameter("client_encoding").unwrap_or_default();
    if !is_utf8(&encoding) || parameter("replication").is_some_and(|value| value != "false") {
        let refusal = RequestRefusal::not_run(
            RefusalCode::Unsupported,
            "only UTF-8 is supported, and no replication",
        );
        return Ok(Err(reply::refusal(Severity::Fatal, &refusal)));
    }
    let database = parameter("database").unwrap_or_else(|| user.clone());
    let route = CallerCall::AskRoute { database: database.clone() };
    let password = match context.driver.call(route).await {
        CallerAnswer::RouteFound { open: true } => None,
        CallerAnswer::RouteFound { open: false } => Some(read_password(client).await?),
        CallerAnswer::Refused(refusal) => {
            return Ok(Err(reply::refusal(Severity::Fatal, &refusal)));
        }
        _ => return Err(StartupError::Unexpected("no answer for the route")),
    };
    let settings = proxy_settings(startup);
    let wall_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
    let wall_ms = u64::try_from(wall_ms).unwrap_or(u64::MAX);
    Ok(Ok(SessionOpening { user, database, password, settings, wall_ms }))
}

async fn read_password(client: &mut FrameStream<CallerStream>) -> Result<String, StartupError> {
    client.push(&Authentication::CleartextPassword);
    client.flush().await?;
    match client.read().await?.frontend()? {
        PgWireFrontendMessage::PasswordMessageFamily(message) => message
            .into_password()
            .map(|password| password.password)
            .map_err(|_| StartupError::Unexpected("a malformed password message")),
        _ => Err(StartupError::Unexpected("no password message")),
    }
}

fn greet(client: &mut FrameStream<CallerStream>, user: &str, pid: i32, secret: i32) {
    client.push(&Authentication::Ok);
    for (name, value) in PARAMETERS.into_iter().chain([("session_authorization", user)]) {
        client.push(&ParameterStatus::new(name.to_owned(), value.to_owned()));
    }
    client.push(&BackendKeyData::new(pid, SecretKey::I32(secret)));
    client.push(&reply::ready(TransactionStatus::Idle));
}

/// Sends the error and closes.
async fn refuse(client: &mut FrameStream<CallerStream>, error: &ErrorResponse) -> StartupError {
    client.push(error);
    client.close(REFUSAL_TIMEOUT).await;
    let message = crate::endpoint::field_of(error, b'M').unwrap_or("refused");
    StartupError::Refused(message.to_owned())
}

fn fatal(sqlstate: &str, message: &str) -> ErrorResponse {
    reply::error(Severity::Fatal, sqlstate, message, None)
}

fn is_utf8(encoding: &str) -> bool {
    let plain = encoding.trim_matches(['\'', '"']).replace(['-', '_'], "").to_ascii_uppercase();
    matches!(plain.as_str(), "" | "UTF8" | "UNICODE")
}

/// Proxy settings among the start-up parameters and in `options` (`-c name=value`). Everything
/// else that a client sends at start-up is left out, so that none of it reaches an endpoint.
fn proxy_settings(startup: &Startup) -> Vec<(String, String)> {
    let is_own = |(name, _): &(String, String)| name.starts_with(SETTING_PREFIX);
    let options = startup.parameters.get("options").map(String::as_str).unwrap_or_default();
    let direct = startup.parameters.iter().map(|(name, value)| (name.clone(), value.clone()));
    let listed = options
        .split_whitespace()
        .map(|word| word.strip_prefix("-c").or(word.strip_prefix("--")).unwrap_or(word))
        .filter_map(|word| word.split_once('='))
        .map(|(name, value)| (name.to_owned(), value.to_owned()));
    direct.chain(listed).filter(is_own).collect()
}
