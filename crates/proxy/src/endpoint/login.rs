//! Log-in to an endpoint with the service credentials.

use std::collections::BTreeMap;
use std::net::IpAddr;

use pgwire::api::auth::md5pass::hash_md5_password;
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::startup::{Authentication, Password, SecretKey, Startup};
use tokio::net::TcpStream;

use super::ConnectionError;
use crate::codec::FrameStream;

/// Application name that endpoints see, whoever the client is.
const APPLICATION_NAME: &str = "tanagerdeal";

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
        _ => return Err(ConnectionError::Unexpected("an authentication method that is unknown")),
    };
    stream.push(&Password::new(password));
    stream.flush().await?;
    Ok(())
}
