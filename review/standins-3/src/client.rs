//! Client sessions.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncBufReadExt as _, AsyncWriteExt as _, BufReader, Lines};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::timeout;

#[derive(Clone, Debug, Default)]
pub struct Reply {
    pub rows: Vec<String>,
    /// Signature of a member, `-` from the system, or nothing.
    pub signature: Option<String>,
    /// Word and text of an error.
    pub error: Option<String>,
    /// State of the session, or nothing when it is over.
    pub state: Option<char>,
}

impl Reply {
    /// Whether the statement succeeded with the signature of a member.
    pub fn is_signed(&self) -> bool {
        self.signature.as_deref().is_some_and(|signature| signature != "-") && self.state.is_some()
    }

    pub fn show(&self) -> String {
        match (&self.error, &self.signature, self.state) {
            (Some(error), ..) => format!("ERROR {error}"),
            (None, Some(signature), Some(_)) => {
                format!("COMPLETE {signature} {}", self.rows.join(","))
            }
            (None, ..) => "connection ended without a complete answer".to_owned(),
        }
    }
}

pub struct Client {
    lines: Lines<BufReader<OwnedReadHalf>>,
    writer: OwnedWriteHalf,
}

impl Client {
    /// Opens a session; nothing if the host does not take it.
    pub async fn open(host: SocketAddr, database: &str, key: &str) -> Option<Self> {
        let stream = timeout(Duration::from_secs(2), TcpStream::connect(host)).await.ok()?.ok()?;
        let (reader, writer) = stream.into_split();
        let mut client = Self { lines: BufReader::new(reader).lines(), writer };
        client.send(&format!("STARTUP {database} {key}\r\n")).await.ok()?;
        let reply = client.reply(Duration::from_secs(2)).await;
        (reply.error.is_none() && reply.state.is_some()).then_some(client)
    }

    pub async fn send(&mut self, line: &str) -> std::io::Result<()> {
        self.writer.write_all(line.as_bytes()).await
    }

    pub async fn query(&mut self, id: &str, text: &str, limit: Duration) -> Reply {
        match self.send(&format!("QUERY {id} {text}\r\n")).await {
            Ok(()) => self.reply(limit).await,
            Err(_) => Reply::default(),
        }
    }

    pub async fn reply(&mut self, limit: Duration) -> Reply {
        timeout(limit, self.whole_reply()).await.unwrap_or_default()
    }

    async fn whole_reply(&mut self) -> Reply {
        let mut reply = Reply::default();
        while let Ok(Some(line)) = self.lines.next_line().await {
            let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
            match word {
                "DATAROW" => reply.rows.push(rest.to_owned()),
                "COMPLETE" => reply.signature = Some(rest.to_owned()),
                "ERROR" => reply.error = Some(rest.to_owned()),
                _ => {
                    reply.state = rest.chars().next();
                    return reply;
                }
            }
        }
        reply
    }
}
