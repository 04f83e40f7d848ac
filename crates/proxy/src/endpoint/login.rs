//! Log-in to an endpoint with the service credentials.

use std::collections::BTreeMap;
use std::net::IpAddr;

use bytes::Bytes;
use pgwire::api::auth::md5pass::hash_md5_password;
use pgwire::api::auth::sasl::scram::ScramClientAuth;
use pgwire::error::PgWireClientError;
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::startup::{
    Authentication, Password, SASLInitialResponse, SASLResponse, SecretKey, Startup,
};
use tokio::net::TcpStream;

use super::ConnectionError;
use crate::codec::FrameStream;

/// Application name that endpoints see, whoever the client is.
const APPLICATION_NAME: &str = "tanagerdeal";

/// Name of the only SASL mechanism supported.
const SCRAM: &str = "SCRAM-SHA-256";

/// Service credentials of the proxy at the endpoints.
///
/// It has no `Debug`, so that the password cannot reach a log line.
#[derive(Clone)]
pub struct EndpointLogin {
    /// User.
    pub user: String,
    /// Password.
    pub password: String,
    /// Database.
    pub database: String,
    /// Address of this host from which connections are opened, where it has several.
    pub source: Option<IpAddr>,
}

/// Logs in and returns what identifies the connection in a cancel request.
pub(super) async fn log_in(
    stream: &mut FrameStream<TcpStream>,
    login: &EndpointLogin,
) -> Result<(i32, SecretKey), ConnectionError> {
    let mut startup = Startup::new();
    startup.parameters = parameters(login);
    stream.push(&startup);
    stream.flush().await?;
    let mut key = (0, SecretKey::default());
    loop {
        match stream.read().await?.backend()? {
            PgWireBackendMessage::Authentication(request) => {
                answer(stream, login, request).await?;
            }
            PgWireBackendMessage::BackendKeyData(data) => key = (data.pid, data.secret_key),
            PgWireBackendMessage::ReadyForQuery(_) => return Ok(key),
            PgWireBackendMessage::ErrorResponse(error) => {
                return Err(ConnectionError::Refused(super::connection::message_of(&error)));
            }
            PgWireBackendMessage::ParameterStatus(_) | PgWireBackendMessage::NoticeResponse(_) => {}
            _ => return Err(ConnectionError::Unexpected("a message that is no log-in step")),
        }
    }
}

fn parameters(login: &EndpointLogin) -> BTreeMap<String, String> {
    let pairs = [
        ("user", login.user.as_str()),
        ("database", login.database.as_str()),
        ("application_name", APPLICATION_NAME),
        ("client_encoding", "UTF8"),
    ];
    pairs.into_iter().map(|(name, value)| (name.to_owned(), value.to_owned())).collect()
}

async fn answer(
    stream: &mut FrameStream<TcpStream>,
    login: &EndpointLogin,
    request: Authentication,
) -> Result<(), ConnectionError> {
    let password = match request {
        Authentication::Ok => return Ok(()),
        Authentication::CleartextPassword => login.password.clone(),
        Authentication::MD5Password(salt) => hash_md5_password(&login.user, &login.password, &salt),
        Authentication::SASL(names) if names.iter().any(|name| name == SCRAM) => {
            return exchange_scram(stream, login).await;
        }
        _ => return Err(ConnectionError::Unexpected("an authentication method that is unknown")),
    };
    stream.push(&Password::new(password));
    stream.flush().await?;
    Ok(())
}

/// Proves the password by SCRAM-SHA-256 (RFC 7677) and checks that the endpoint knows it too.
async fn exchange_scram(
    stream: &mut FrameStream<TcpStream>,
    login: &EndpointLogin,
) -> Result<(), ConnectionError> {
    let refused = |error: PgWireClientError| ConnectionError::Refused(error.to_string());
    let scram = ScramClientAuth::new(login.user.clone(), login.password.clone());
    let (first, state) = scram.build_client_first().map_err(refused)?;
    stream.push(&SASLInitialResponse::new(SCRAM.to_owned(), Some(first.into())));
    stream.flush().await?;
    let challenge = read_sasl(stream).await?;
    let (last, state) = state.build_client_final(&challenge).map_err(refused)?;
    stream.push(&SASLResponse::new(last.into()));
    stream.flush().await?;
    let proof = read_sasl(stream).await?;
    state.verify_server_final(&proof).map_err(refused)
}

async fn read_sasl(stream: &mut FrameStream<TcpStream>) -> Result<Bytes, ConnectionError> {
    match stream.read().await?.backend()? {
        PgWireBackendMessage::Authentication(
            Authentication::SASLContinue(data) | Authentication::SASLFinal(data),
        ) => Ok(data),
        PgWireBackendMessage::ErrorResponse(error) => {
            Err(ConnectionError::Refused(super::connection::message_of(&error)))
        }
        _ => Err(ConnectionError::Unexpected("a message that is no log-in step")),
    }
}
