//! Structured log on standard output. Lines are queued, limited in number, and written by a
//! separate thread.

use std::io::Write as _;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::{SystemTime, UNIX_EPOCH};

use log::{LevelFilter, Record};
use log4rs::append::Append;
use log4rs::config::{Appender, Config, Root};
use serde_json::{Map, Value, json};

/// Most lines queued for the writer thread. If the reader of the output stalls, further lines are
/// dropped, so that logging never blocks.
const MAX_QUEUED_LINES: usize = 4_096;
/// Most request lines in a second; further ones are dropped and counted. This bounds the processor
/// time spent on logging when every request is refused.
const MAX_REQUEST_LINES_PER_S: u64 = 150;
/// Name of the only appender.
const APPENDER_NAME: &str = "journal";

static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);
static CURRENT_SECOND: AtomicU64 = AtomicU64::new(0);
static REQUEST_LINES: AtomicU64 = AtomicU64::new(0);

/// Queues lines for the writer thread.
#[derive(Debug)]
struct QueueAppender {
    lines: SyncSender<String>,
}

impl Append for QueueAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        match self.lines.try_send(record.args().to_string()) {
            Ok(()) => Ok(()),
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
                Ok(())
            }
        }
    }

    fn flush(&self) {}
}

/// Installs the process's logger, and a panic hook that logs panics.
///
/// # Errors
///
/// Fails when a logger is already installed or the writer thread cannot be started.
pub(super) fn install() -> Result<(), String> {
    let (lines, queue) = sync_channel(MAX_QUEUED_LINES);
    std::thread::Builder::new()
        .name("journal".to_owned())
        .spawn(move || write_lines(&queue))
        .map_err(|error| error.to_string())?;
    let config = Config::builder()
        .appender(Appender::builder().build(APPENDER_NAME, Box::new(QueueAppender { lines })))
        .build(Root::builder().appender(APPENDER_NAME).build(LevelFilter::Info))
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
        // If the output is closed, there is nowhere to report the error.
        let _ = output.write_all(text.as_bytes());
        let _ = output.flush();
    }
}

fn unix_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
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

/// Logs a change in the state of the process.
pub(super) fn event(part: &str, event: &str, fields: Value) {
    log::info!("{}", line(unix_millis(), part, event, fields));
}

/// Logs a decision about a request, unless the limit for this second has been reached.
pub(super) fn request(event: &str, fields: impl FnOnce() -> Value) {
    let at = unix_millis();
    let second = at / 1_000;
    if CURRENT_SECOND.swap(second, Ordering::Relaxed) != second {
        REQUEST_LINES.store(0, Ordering::Relaxed);
        report_dropped(at);
    }
    match REQUEST_LINES.fetch_add(1, Ordering::Relaxed) {
        count if count < MAX_REQUEST_LINES_PER_S => {
            log::info!("{}", line(at, "request", event, fields()));
        }
        _ => {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn report_dropped(at: u64) {
    match DROPPED_LINES.swap(0, Ordering::Relaxed) {
        0 => (),
        count => log::info!("{}", line(at, "journal", "dropped", json!({ "lines": count }))),
    }
}
