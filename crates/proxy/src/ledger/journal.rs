//! Structured log lines on standard output: bounded in number, written by a thread of their own.

use std::io::Write as _;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::{SystemTime, UNIX_EPOCH};

use log::{LevelFilter, Record};
use log4rs::append::Append;
use log4rs::config::{Appender, Config, Root};
use serde_json::{Map, Value, json};

/// Lines that wait for the writer at most; a reader that stalls costs lines, never time.
const QUEUE_LINES: usize = 4_096;
/// Lines of requests in each second; further ones are counted. It bounds the processor time that
/// logging takes when every request is refused.
const REQUEST_LINES_PER_S: u64 = 150;
/// Name of the only appender.
const APPENDER: &str = "journal";

static DROPPED: AtomicU64 = AtomicU64::new(0);
static SECOND: AtomicU64 = AtomicU64::new(0);
static LINES: AtomicU64 = AtomicU64::new(0);

/// Hands lines to the writer's thread.
#[derive(Debug)]
struct QueueAppender {
    lines: SyncSender<String>,
}

impl Append for QueueAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        match self.lines.try_send(record.args().to_string()) {
            Ok(()) => Ok(()),
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                DROPPED.fetch_add(1, Ordering::Relaxed);
                Ok(())
            }
        }
    }

    fn flush(&self) {}
}

/// Installs the journal as the process's logger.
///
/// # Errors
///
/// Fails when a logger is installed already or no thread can be started.
pub(super) fn install() -> Result<(), String> {
    let (lines, queue) = sync_channel(QUEUE_LINES);
    std::thread::Builder::new()
        .name("journal".to_owned())
        .spawn(move || write_lines(&queue))
        .map_err(|error| error.to_string())?;
    let config = Config::builder()
        .appender(Appender::builder().build(APPENDER, Box::new(QueueAppender { lines })))
        .build(Root::builder().appender(APPENDER).build(LevelFilter::Info))
        .map_err(|error| error.to_string())?;
    log4rs::init_config(config).map_err(|error| error.to_string())?;
    std::panic::set_hook(Box::new(|panic| {
        event("process", "panic", json!({ "reason": panic.to_string() }));
    }));
    Ok(())
}

fn write_lines(queue: &Receiver<String>) {
    let mut output = std::io::stdout().lock();
    while let Ok(line) = queue.recv() {
        let mut text = line;
        text.push('\n');
        for more in queue.try_iter() {
            text.push_str(&more);
            text.push('\n');
        }
        // A reader that has gone away leaves nobody to tell.
        let _ = output.write_all(text.as_bytes());
        let _ = output.flush();
    }
}

fn wall_millis() -> u64 {
    let passed = SystemTime::now().duration_since(UNIX_EPOCH);
    passed.map_or(0, |passed| u64::try_from(passed.as_millis()).unwrap_or(u64::MAX))
}

fn line(at: u64, part: &str, event: &str, fields: Value) -> String {
    let mut map = Map::new();
    map.insert("at_ms".to_owned(), at.into());
    map.insert("part".to_owned(), part.into());
    map.insert("event".to_owned(), event.into());
    if let Value::Object(fields) = fields {
        map.extend(fields);
    }
    Value::Object(map).to_string()
}

/// Logs a change of what the process believes.
pub(super) fn event(part: &str, event: &str, fields: Value) {
    log::info!("{}", line(wall_millis(), part, event, fields));
}

/// Logs a decision about a request, unless too many were logged in this second.
pub(super) fn request(event: &str, fields: impl FnOnce() -> Value) {
    let at = wall_millis();
    let second = at / 1_000;
    if SECOND.swap(second, Ordering::Relaxed) != second {
        LINES.store(0, Ordering::Relaxed);
        report_dropped(at);
    }
    match LINES.fetch_add(1, Ordering::Relaxed) {
        count if count < REQUEST_LINES_PER_S => {
            log::info!("{}", line(at, "request", event, fields()));
        }
        _ => {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn report_dropped(at: u64) {
    match DROPPED.swap(0, Ordering::Relaxed) {
        0 => (),
        count => log::info!("{}", line(at, "journal", "dropped", json!({ "lines": count }))),
    }
}
