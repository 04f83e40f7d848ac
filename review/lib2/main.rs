#![allow(dead_code)]
//! Scenarios of the second review. Usage: `scenario NAME PROGRAM DIRECTORY RECORD TROUBLE`.
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod drill;
mod host;
mod json;
mod lost;
mod member;
mod share;
mod store;

use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// What a scenario gets.
pub struct Case {
    pub program: PathBuf,
    pub directory: PathBuf,
    pub with_trouble: bool,
    pub record: Record,
}

/// Lines with the time since the start, in milliseconds.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    pub started: Instant,
}

impl Record {
    pub fn line(&self, text: &str) {
        let text = format!("{:>6} ms  {text}\n", self.started.elapsed().as_millis());
        let _ = self.file.lock().unwrap().write_all(text.as_bytes());
    }
    /// Writes many lines without the time of writing.
    pub fn plain(&self, text: &str) {
        let _ = self.file.lock().unwrap().write_all(text.as_bytes());
    }
    pub fn at(&self, instant: Instant) -> u128 {
        instant.saturating_duration_since(self.started).as_millis()
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, program, directory, record, trouble] = arguments.as_slice() else {
        std::process::exit(2);
    };
    let Ok(file) = File::create(Path::new(record)) else { std::process::exit(2) };
    let record = Record { file: Arc::new(Mutex::new(file)), started: Instant::now() };
    let case = Case {
        program: PathBuf::from(program),
        directory: PathBuf::from(directory),
        with_trouble: trouble != "0",
        record,
    };
    let code = match name.as_str() {
        "drill" => drill::run(&case),
        "lost" => lost::run(&case),
        "share" => share::run(&case),
        _ => 2,
    };
    case.record.line(&format!("exit {code}"));
    std::process::exit(code);
}
