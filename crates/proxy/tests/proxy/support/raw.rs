//! A client that sends single messages of the protocol.

use std::time::Duration;

use pgwire::messages::response::TransactionStatus;
use pgwire::messages::startup::{Password, Startup};
use pgwire::messages::{Message, PgWireBackendMessage};
use tanagerdeal::codec::FrameStream;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::{CUSTOMER, KEY_SECRET, ROUTE, TestFleet};

const WAIT_LIMIT: Duration = Duration::from_secs(30);
const LIMIT: usize = 1 << 24;

/// A session whose replies are listed as type bytes, with rows and errors as text.
pub struct RawClient {
    stream: FrameStream<TcpStream>,
}

impl RawClient {
    pub async fn connect(fleet: &TestFleet) -> Self {
        let socket = TcpStream::connect(fleet.host.callers).await.unwrap();
        let mut stream = FrameStream::new(socket, LIMIT);
        let mut startup = Startup::new();
        for (name, value) in [("user", CUSTOMER), ("database", ROUTE)] {
            startup.parameters.insert(name.to_owned(), value.to_owned());
        }
        stream.push(&startup);
        stream.push(&Password::new(format!("k1.{KEY_SECRET}")));
        let mut client = Self { stream };
        client.flush().await;
        client.until_ready().await;
        client
    }

    pub fn push(&mut self, message: &impl Message) -> &mut Self {
        self.stream.push(message);
        self
    }

    pub async fn flush(&mut self) {
        self.stream.flush().await.unwrap();
    }

    /// Messages up to ReadyForQuery.
    pub async fn until_ready(&mut self) -> Vec<String> {
        let mut replies = Vec::new();
        loop {
            let reply = self.next().await;
            replies.push(reply.clone());
            if reply.starts_with("ready") {
                return replies;
            }
        }
    }

    /// A number of messages.
    pub async fn take(&mut self, count: usize) -> Vec<String> {
        let mut replies = Vec::new();
        while replies.len() < count {
            replies.push(self.next().await);
        }
        replies
    }

    /// The next message, other than parameter statuses.
    pub async fn next(&mut self) -> String {
        loop {
            let frame = timeout(WAIT_LIMIT, self.stream.read()).await.unwrap().unwrap();
            match describe(frame.backend().unwrap()) {
                Some(text) => return text,
                None => continue,
            }
        }
    }
}

fn describe(message: PgWireBackendMessage) -> Option<String> {
    Some(match message {
        PgWireBackendMessage::ParameterStatus(_) => return None,
        PgWireBackendMessage::ParseComplete(_) => "parsed".to_owned(),
        PgWireBackendMessage::BindComplete(_) => "bound".to_owned(),
        PgWireBackendMessage::CloseComplete(_) => "closed".to_owned(),
        PgWireBackendMessage::ParameterDescription(_) => "parameters".to_owned(),
        PgWireBackendMessage::RowDescription(_) => "columns".to_owned(),
        PgWireBackendMessage::NoData(_) => "no data".to_owned(),
        PgWireBackendMessage::DataRow(row) => {
            format!("row {}", String::from_utf8_lossy(&row.data[4..]))
        }
        PgWireBackendMessage::CommandComplete(complete) => format!("complete {}", complete.tag),
        PgWireBackendMessage::ErrorResponse(error) => {
            let code = error.fields.iter().find(|(field, _)| *field == b'C');
            format!("error {}", code.map_or("", |(_, code)| code))
        }
        PgWireBackendMessage::ReadyForQuery(ready) => match ready.status {
            TransactionStatus::Idle => "ready idle".to_owned(),
            TransactionStatus::Transaction => "ready open".to_owned(),
            TransactionStatus::Error => "ready failed".to_owned(),
        },
        other => format!("{other:?}"),
    })
}
