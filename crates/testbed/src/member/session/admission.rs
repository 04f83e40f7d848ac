//! Start-up of a connection: negotiation, password, limit of connections, greeting.

use std::io;
use std::sync::Arc;

use pgwire::messages::cancel::CancelRequest;
use pgwire::messages::response::{GssEncResponse, SslResponse};
use pgwire::messages::startup::{Authentication, BackendKeyData, SecretKey};
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage, SslNegotiationMetaMessage};

use super::super::Member;
use super::super::error::SqlError;
use super::Session;

/// Removes a connection from the count and from the cancel table.
pub(super) struct ConnectionGuard {
    member: Arc<Member>,
    id: u64,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.member.lock().connections -= 1;
        self.member.cancels().remove(&(self.id as i32));
    }
}

impl Session {
    /// Reads up to the start-up message; false when the connection was only a cancel request.
    pub(super) async fn start_up(&mut self) -> io::Result<bool> {
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

    pub(super) fn cancel(&self, request: &CancelRequest) {
        let cancels = self.member.cancels();
        if let Some((secret, cancelled)) = cancels.get(&request.pid)
            && request.secret_key.eq_value(&SecretKey::I32(*secret))
        {
            cancelled.notify_waiters();
        }
    }

    /// Checks the password and the number of connections, then greets the client.
    pub(super) async fn admit(&mut self, id: u64) -> io::Result<Option<ConnectionGuard>> {
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

    pub(super) fn greet(&mut self, id: u64, secret: i32) -> io::Result<()> {
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

    pub(super) async fn refuse(&mut self, error: &SqlError) -> io::Result<()> {
        self.send(PgWireBackendMessage::ErrorResponse(error.to_response("FATAL")))?;
        self.flush().await
    }
}
