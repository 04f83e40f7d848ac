//! Stand-in of the platform's metadata store and of its control address. Each host reaches it at
//! an address of its own, so that one host can be refused while the others are served.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::json::{Json, base64, quoted, unbase64};

/// Time of a transaction (`transactionMs`), and of a read.
const CALL_TIME: Duration = Duration::from_millis(3);

type Name = (String, String);

#[derive(Clone)]
pub struct Row {
    pub version: u64,
    /// Base64; none once removed.
    pub value: Option<String>,
}

#[derive(Default)]
pub struct Tables {
    pub version: u64,
    pub era: u64,
    pub rows: BTreeMap<Name, Row>,
}

/// Calls for a promotion: holder, token, service, member.
pub type PromotionCall = (Instant, String, u64, String, String);

pub struct Store {
    pub tables: Mutex<Tables>,
    changed: Condvar,
    started: Instant,
    pub promotions: Mutex<Vec<PromotionCall>>,
    pub on_promotion: Mutex<Option<Box<dyn Fn(&str, &str) -> u16 + Send>>>,
}

/// Where one host reaches the store, and whether it is served there.
#[derive(Clone)]
pub struct Door {
    pub address: SocketAddr,
    mode: Arc<AtomicU8>,
}

impl Door {
    pub fn open(&self) {
        self.mode.store(0, Ordering::SeqCst);
    }
    /// All calls get 503.
    pub fn refuse(&self) {
        self.mode.store(1, Ordering::SeqCst);
    }
}

impl Store {
    pub fn start() -> Arc<Self> {
        Arc::new(Self {
            tables: Mutex::new(Tables { era: 1, ..Tables::default() }),
            changed: Condvar::new(),
            started: Instant::now(),
            promotions: Mutex::default(),
            on_promotion: Mutex::new(None),
        })
    }

    pub fn door(self: &Arc<Self>) -> Door {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let door = Door { address: listener.local_addr().unwrap(), mode: Arc::default() };
        let (store, known) = (self.clone(), door.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, door) = (store.clone(), known.clone());
                std::thread::spawn(move || store.serve(&door, stream));
            }
        });
        door
    }

    pub fn put(&self, table: &str, key: &str, text: &str) {
        let mut tables = self.tables.lock().unwrap();
        tables.version += 1;
        let row = Row { version: tables.version, value: Some(base64(text.as_bytes())) };
        tables.rows.insert((table.to_owned(), key.to_owned()), row);
        self.changed.notify_all();
    }

    pub fn remove(&self, table: &str, key: &str) {
        let mut tables = self.tables.lock().unwrap();
        tables.version += 1;
        let row = Row { version: tables.version, value: None };
        tables.rows.insert((table.to_owned(), key.to_owned()), row);
        self.changed.notify_all();
    }

    pub fn row(&self, table: &str, key: &str) -> Json {
        let tables = self.tables.lock().unwrap();
        let row = tables.rows.get(&(table.to_owned(), key.to_owned()));
        let value = row.and_then(|row| row.value.clone()).unwrap_or_default();
        Json::parse(&String::from_utf8_lossy(&unbase64(&value))).unwrap_or(Json::Null)
    }

    /// The store comes back from an earlier copy.
    pub fn restore(&self, version: u64, rows: BTreeMap<Name, Row>) {
        let mut tables = self.tables.lock().unwrap();
        let era = tables.era + 1;
        *tables = Tables { version, era, rows };
        self.changed.notify_all();
    }

    pub fn copy(&self) -> (u64, BTreeMap<Name, Row>) {
        let tables = self.tables.lock().unwrap();
        (tables.version, tables.rows.clone())
    }

    fn serve(&self, door: &Door, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            let mut headers = BTreeMap::new();
            loop {
                let mut header = String::new();
                if reader.read_line(&mut header).unwrap_or(0) == 0 {
                    return;
                }
                let header = header.trim_end();
                if header.is_empty() {
                    break;
                }
                if let Some((name, value)) = header.split_once(':') {
                    headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
                }
            }
            let length = headers.get("content-length").and_then(|text| text.parse().ok());
            let mut body = vec![0; length.unwrap_or(0)];
            if reader.read_exact(&mut body).is_err() {
                return;
            }
            let mut words = line.split(' ');
            let _method = words.next();
            let target = words.next().unwrap_or_default().to_owned();
            let (status, body) = match door.mode.load(Ordering::SeqCst) {
                0 => self.answer(door, &target, &headers, &String::from_utf8_lossy(&body)),
                _ => (503, String::new()),
            };
            let era = self.tables.lock().unwrap().era;
            let reply = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: {era}\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if writer.write_all(reply.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(
        &self,
        door: &Door,
        target: &str,
        headers: &BTreeMap<String, String>,
        body: &str,
    ) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let fields: BTreeMap<String, String> = query
            .split('&')
            .filter_map(|field| field.split_once('='))
            .map(|(name, value)| (name.to_owned(), unescape(value)))
            .collect();
        let field = |name: &str| fields.get(name).map_or("", String::as_str);
        match path {
            "/rows-tx" => {
                std::thread::sleep(CALL_TIME);
                self.transact(&Json::parse(body).unwrap_or(Json::Null))
            }
            "/rows-get" => {
                std::thread::sleep(CALL_TIME);
                let tables = self.tables.lock().unwrap();
                let (from, to) = (field("from"), fields.get("to"));
                let rows = tables.rows.iter().filter(|((table, key), row)| {
                    table == field("table")
                        && row.value.is_some()
                        && key.as_str() >= from
                        && to.is_none_or(|to| key < to)
                });
                let rows = rows.map(|(name, row)| row_text(name, row)).collect();
                (200, self.page(&tables, rows))
            }
            "/rows-feed" => {
                let after: u64 = field("after").parse().unwrap_or(0);
                let wait: u64 = field("waitMs").parse().unwrap_or(0);
                let end = Instant::now() + Duration::from_millis(wait);
                let mut tables = self.tables.lock().unwrap();
                loop {
                    if door.mode.load(Ordering::SeqCst) != 0 {
                        return (503, String::new());
                    }
                    if after > tables.version {
                        return (410, String::new());
                    }
                    let mut rows: Vec<_> = tables
                        .rows
                        .iter()
                        .filter(|((table, _), row)| table == field("table") && row.version > after)
                        .collect();
                    rows.sort_by_key(|(_, row)| row.version);
                    let now = Instant::now();
                    if !rows.is_empty() || now >= end {
                        let rows = rows.into_iter().map(|(name, row)| row_text(name, row));
                        let rows = rows.collect();
                        return (200, self.page(&tables, rows));
                    }
                    let limit = (end - now).min(Duration::from_millis(100));
                    tables = self.changed.wait_timeout(tables, limit).unwrap().0;
                }
            }
            "/promotion" => {
                let body = Json::parse(body).unwrap_or(Json::Null);
                let header = |name: &str| headers.get(name).cloned().unwrap_or_default();
                let token = header("fencing-token").parse().unwrap_or(0);
                let (service, id) = (body.get("service").text(), body.get("id").text());
                let call =
                    (Instant::now(), header("duty-holder"), token, service.into(), id.into());
                self.promotions.lock().unwrap().push(call);
                let promote = self.on_promotion.lock().unwrap();
                (promote.as_ref().map_or(409, |promote| promote(service, id)), String::new())
            }
            _ => (404, String::new()),
        }
    }

    fn page(&self, tables: &Tables, rows: Vec<String>) -> String {
        format!(
            "{{\"rows\":[{}],\"hasMore\":false,\"rowVersion\":{},\"nowMs\":{}}}",
            rows.join(","),
            tables.version,
            self.started.elapsed().as_millis()
        )
    }

    fn transact(&self, body: &Json) -> (u16, String) {
        let name =
            |entry: &Json| (entry.get("table").text().into(), entry.get("key").text().into());
        let mut tables = self.tables.lock().unwrap();
        let expected = body.get("expected").list();
        let present = |tables: &Tables, name: &Name| {
            tables.rows.get(name).filter(|row| row.value.is_some()).cloned()
        };
        let holds = expected.iter().all(|entry| {
            let known = present(&tables, &name(entry)).map_or(0, |row| row.version);
            known == entry.get("rowVersion").number()
        });
        if !holds {
            let rows = expected.iter().map(name);
            let rows = rows.filter_map(|name| Some(row_text(&name, &present(&tables, &name)?)));
            let rows = rows.collect();
            return (412, self.page(&tables, rows));
        }
        tables.version += 1;
        let version = tables.version;
        for entry in body.get("writes").list() {
            let row = Row { version, value: Some(entry.get("value").text().to_owned()) };
            tables.rows.insert(name(entry), row);
        }
        self.changed.notify_all();
        (200, self.page(&tables, Vec::new()))
    }
}

fn row_text((table, key): &Name, row: &Row) -> String {
    let value = match &row.value {
        Some(value) => format!(",\"value\":{}", quoted(value)),
        None => ",\"removed\":true".to_owned(),
    };
    format!(
        "{{\"table\":{},\"part\":\"\",\"key\":{}{value},\"rowVersion\":{}}}",
        quoted(table),
        quoted(key),
        row.version
    )
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = bytes.get(at + 1..at + 3).and_then(|hex| std::str::from_utf8(hex).ok());
        match (bytes[at], code.and_then(|hex| u8::from_str_radix(hex, 16).ok())) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (b'+', _) => {
                out.push(b' ');
                at += 1;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
