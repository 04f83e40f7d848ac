//! Drives the scripted cases of the review: stand-ins of clients, members and the platform around
//! processes of the project.
//!
//! Usage, from the root of the repository: `review-standins-3 CASE RECORD`. With `TROUBLE=0` the
//! case runs without its disruption. Exits with 1 if the rule was broken, 0 if it held, and 2 if
//! the case could not run.

mod client;
mod database;
mod deployment;
mod given_up;
mod host;
mod lost_sync;
mod record;
mod settings_change;
mod stray_entry;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use record::Record;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::timeout;

/// Longest time of a case.
const CASE_LIMIT: Duration = Duration::from_secs(110);

/// What came of a case.
pub enum Verdict {
    Held,
    Broken,
}

/// A temporary folder that is removed at the end.
pub struct Folder(PathBuf);

impl Folder {
    fn create() -> std::io::Result<Self> {
        let path = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(Self(path))
    }

    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, file] = arguments.as_slice() else {
        eprintln!("usage: review-standins-3 CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let (Ok(record), Ok(folder)) = (Record::create(Path::new(file)), Folder::create()) else {
        eprintln!("the record or the temporary folder cannot be created");
        return ExitCode::from(2);
    };
    record.note(&format!("case {case}, disruption: {has_trouble}"));
    let played = async {
        match case.as_str() {
            "given-up" => given_up::play(&record, &folder, has_trouble).await,
            "lost-sync" => lost_sync::play(&record, &folder, has_trouble).await,
            "settings-change" => settings_change::play(&record, &folder, has_trouble).await,
            "stray-entry" => stray_entry::play(&record, &folder, has_trouble).await,
            other => Err(format!("unknown case {other}")),
        }
    };
    // When it is stopped, the processes that it started end with it.
    let Ok(mut terminate) = signal(SignalKind::terminate()) else { return ExitCode::from(2) };
    let verdict = tokio::select! {
        verdict = timeout(CASE_LIMIT, played) => {
            verdict.unwrap_or(Err("it took too long".to_owned()))
        }
        _ = terminate.recv() => Err("it was stopped".to_owned()),
        _ = tokio::signal::ctrl_c() => Err("it was stopped".to_owned()),
    };
    match verdict {
        Ok(Verdict::Held) => {
            record.note("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            record.note("the rule was broken");
            ExitCode::from(1)
        }
        Err(reason) => {
            record.note(&format!("the case could not run: {reason}"));
            ExitCode::from(2)
        }
    }
}
