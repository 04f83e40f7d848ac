//! MIXED: statements are answered by a server that no valid entry of the store names: reads at once,
//! and writes after the primary was replaced.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::json;
use tokio::io::{AsyncBufReadExt as _, AsyncWriteExt as _, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::client::Client;
use crate::deployment::{BOUNDED, Deployment, KEY, PRIMARY, SERVICE, ZONES};
use crate::record::Record;
use crate::{Folder, Verdict};

/// Id of the server that the entry names, and the data that it holds.
const STRAY: &str = "i-staging";
const STRAY_ROW: &str = "row-of-another-system";
/// Term and position of its log, which have nothing to do with those of the service.
const STRAY_TERM: u64 = 9;
const STRAY_POSITION: &str = "9.900000";
/// Reads of the first part, and writes of the second one.
const READS: usize = 120;
const WRITES: usize = 120;

/// A server of another system, which keeps a database of the same name.
async fn serve_stray(stream: TcpStream, record: Record) {
    let (reader, mut writer) = stream.into_split();
    let mut lines = BufReader::new(reader).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        record.note(&format!("{STRAY} got: {line}"));
        let mut fields = line.splitn(3, ' ');
        let word = fields.next().unwrap_or_default();
        let (id, text) = (fields.next().unwrap_or_default(), fields.next().unwrap_or_default());
        let text = match text.strip_prefix("AFTER ") {
            Some(rest) => rest.split_once(' ').map_or("", |(_, text)| text),
            None => text,
        };
        let body = match (word, text.split(' ').next().unwrap_or_default()) {
            ("STARTUP", _) => String::new(),
            ("QUERY", "READ") => format!("DATAROW {STRAY_ROW}\r\nCOMPLETE {STRAY}.{id}\r\n"),
            ("QUERY", "WRITE") => format!("COMPLETE {STRAY}.{id}\r\n"),
            ("QUERY", "STATUS") => {
                format!("DATAROW primary {STRAY_TERM} {STRAY_POSITION} 0 0 0 1\r\nCOMPLETE -\r\n")
            }
            ("QUERY", "SET" | "RESET" | "PREPARE" | "DEMOTE") => "COMPLETE -\r\n".to_owned(),
            ("QUERY", _) => format!("ERROR READONLY {STRAY}\r\n"),
            _ => return,
        };
        let reply = format!("{body}READY I {STRAY_POSITION}\r\n");
        if writer.write_all(reply.as_bytes()).await.is_err() {
            return;
        }
    }
}

async fn accept_stray(listener: TcpListener, record: Record) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve_stray(stream, record.clone()));
    }
}

/// Writes on and on, so that the hosts know the position of the primary.
async fn write_on(host: SocketAddr) {
    let mut count = 0;
    loop {
        let Some(mut client) = Client::open(host, PRIMARY, KEY).await else {
            sleep(Duration::from_millis(100)).await;
            continue;
        };
        loop {
            count += 1;
            let text = format!("WRITE ballast v{count}");
            let reply = client.query(&format!("w-{count}"), &text, Duration::from_secs(3)).await;
            if reply.state != Some('I') {
                break;
            }
            sleep(Duration::from_millis(100)).await;
        }
    }
}

pub async fn play(record: &Record, folder: &Folder, has_trouble: bool) -> Result<Verdict, String> {
    let deployment = Deployment::start(folder, 3, 0, record).await?;
    for host in &deployment.hosts {
        tokio::spawn(write_on(host.callers));
    }
    let text = |error: std::io::Error| error.to_string();
    let listener = TcpListener::bind("127.0.0.1:0").await.map_err(text)?;
    let address = listener.local_addr().map_err(text)?;
    tokio::spawn(accept_stray(listener, record.clone()));
    if has_trouble {
        // Of the fields that the page lists, `version`, `slots`, `coldRemainingMs` and `sequence`
        // are missing.
        let entry = json!({ "service": SERVICE, "address": address.to_string(), "zone": ZONES[0],
            "state": "ready", "databaseRole": "primary" });
        record.note(&format!("another writer writes servers/{STRAY}: {entry}"));
        deployment.store.put("servers", STRAY, &entry);
    }
    // Longer than hosts may take to learn of a member.
    sleep(Duration::from_secs(5)).await;
    let host = deployment.hosts[0].callers;
    let reads = ask(host, BOUNDED, "READ ballast", READS, record).await?;
    record.note(&format!(
        "{} of {READS} reads succeeded; {} of them with the signature and the row of a server that \
         is no member",
        reads.signed, reads.foreign
    ));
    // `release`: the primary is to be replaced.
    if has_trouble {
        deployment.database.drain(0);
    }
    sleep(Duration::from_secs(3)).await;
    let writes = ask(host, PRIMARY, "WRITE order v1", WRITES, record).await?;
    record.note(&format!(
        "{} of {WRITES} writes succeeded; {} of them with the signature of a server that is no \
         member, and in no member's log",
        writes.signed, writes.foreign
    ));
    for line in deployment.hosts.iter().flat_map(|host| host.log_lines(&["takeover"])) {
        record.note(&format!("host: {line}"));
    }
    if reads.signed < READS / 2 {
        return Err("hardly any read succeeded".to_owned());
    }
    Ok(if reads.foreign + writes.foreign > 0 { Verdict::Broken } else { Verdict::Held })
}

/// Answers to statements that succeeded, and those of them with the signature of no member.
struct Answers {
    signed: usize,
    foreign: usize,
}

/// Runs a statement again and again.
async fn ask(
    host: SocketAddr,
    database: &str,
    text: &str,
    times: usize,
    record: &Record,
) -> Result<Answers, String> {
    let mut answers = Answers { signed: 0, foreign: 0 };
    let mut client = None;
    for number in 0..times {
        if client.is_none() {
            client = Client::open(host, database, KEY).await;
        }
        let Some(open) = client.as_mut() else {
            return Err("a host takes no session".to_owned());
        };
        let id = format!("{database}-{number}");
        let reply = open.query(&id, text, Duration::from_secs(3)).await;
        record.note(&format!("client: {id} {text} -> {}", reply.show()));
        let signature = reply.signature.clone().unwrap_or_default();
        answers.signed += usize::from(reply.is_signed());
        answers.foreign += usize::from(reply.is_signed() && signature.starts_with(STRAY));
        if reply.state != Some('I') {
            client = None;
        }
        sleep(Duration::from_millis(20)).await;
    }
    Ok(answers)
}
