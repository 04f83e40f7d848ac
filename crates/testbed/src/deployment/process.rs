//! Child processes of a test, each addressed by its own id.

use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use tokio::io::{AsyncBufReadExt as _, BufReader, Lines};
use tokio::process::{Child, ChildStdout, Command};

use super::DeploymentError;

/// Longest wait for a process to stop after the signal.
const STOP_LIMIT: Duration = Duration::from_secs(10);

/// Longest wait for a process to print its addresses.
const START_LIMIT: Duration = Duration::from_secs(30);

/// A child process; it is killed when the value is dropped.
pub(super) struct ChildProcess {
    name: String,
    child: Child,
    log: PathBuf,
}

impl ChildProcess {
    /// Starts a program with its errors in `<name>.log`.
    fn spawn(
        program: &Path,
        arguments: &[String],
        name: &str,
        directory: &Path,
    ) -> Result<Self, DeploymentError> {
        let failed = |error: io::Error| DeploymentError::Process {
            name: name.to_owned(),
            reason: format!("{}: {error}", program.display()),
        };
        let log = directory.join(format!("{name}.log"));
        let errors = File::options().create(true).append(true).open(&log).map_err(failed)?;
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(errors)
            .kill_on_drop(true)
            .spawn()
            .map_err(failed)?;
        Ok(Self { name: name.to_owned(), child, log })
    }

    /// Starts a program that announces nothing.
    pub(super) fn start(
        program: &Path,
        arguments: &[String],
        name: &str,
        directory: &Path,
    ) -> Result<Self, DeploymentError> {
        let mut process = Self::spawn(program, arguments, name, directory)?;
        if let Some(output) = process.child.stdout.take() {
            tokio::spawn(drain(BufReader::new(output).lines()));
        }
        Ok(process)
    }

    /// Starts a program and reads the line of JSON in which it prints its addresses.
    pub(super) async fn announce(
        program: &Path,
        arguments: &[String],
        name: &str,
        directory: &Path,
    ) -> Result<(Self, Value), DeploymentError> {
        let mut process = Self::spawn(program, arguments, name, directory)?;
        let output = process.child.stdout.take();
        let output = output.ok_or_else(|| process.error("no standard output"))?;
        let mut lines = BufReader::new(output).lines();
        let line = tokio::time::timeout(START_LIMIT, lines.next_line()).await;
        let line = match line {
            Ok(Ok(Some(line))) => line,
            Ok(Ok(None)) => return Err(process.error("ended without printing its addresses")),
            Ok(Err(error)) => return Err(process.error(&error.to_string())),
            Err(_) => return Err(process.error("printed no addresses in time")),
        };
        tokio::spawn(drain(lines));
        let addresses = serde_json::from_str(&line);
        match addresses {
            Ok(addresses) => Ok((process, addresses)),
            Err(error) => Err(process.error(&format!("printed {line:?}: {error}"))),
        }
    }

    /// Name given at the start.
    pub(super) fn name(&self) -> &str {
        &self.name
    }

    /// Waits until all threads have stopped: after the signal was sent, some may still run for a moment
    /// and answer a request.
    pub(super) fn wait_stopped(&self) -> Result<(), DeploymentError> {
        let id = self.id().ok_or_else(|| self.error("the process has ended"))?;
        let deadline = Instant::now() + STOP_LIMIT;
        while !is_stopped(id).map_err(|error| self.error(&error.to_string()))? {
            if Instant::now() >= deadline {
                return Err(self.error("did not stop in time"));
            }
            std::thread::sleep(Duration::from_millis(1));
        }
        Ok(())
    }

    /// How often a process of this name ended because a port was taken, by its log.
    pub(super) fn port_conflicts(&self) -> usize {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        log.matches("Address already in use").count()
    }

    /// Its process id, while it runs.
    pub(super) fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Sends a signal to this process.
    pub(super) fn signal(&self, signal: Signal) -> Result<(), DeploymentError> {
        let id = self.child.id().and_then(|id| Pid::from_raw(id as i32));
        let id = id.ok_or_else(|| self.error("the process has ended"))?;
        kill_process(id, signal).map_err(|error| self.error(&error.to_string()))
    }

    /// Kills the process and waits until it has ended.
    pub(super) async fn kill(&mut self) -> Result<(), DeploymentError> {
        let killed = self.child.kill().await;
        killed.map_err(|error| self.error(&error.to_string()))
    }

    /// Waits until the process has ended by itself and returns its exit code.
    pub(super) async fn wait(&mut self, limit: Duration) -> Result<Option<i32>, DeploymentError> {
        match tokio::time::timeout(limit, self.child.wait()).await {
            Ok(Ok(status)) => Ok(status.code()),
            Ok(Err(error)) => Err(self.error(&error.to_string())),
            Err(_) => Err(self.error("did not end in time")),
        }
    }

    fn error(&self, reason: &str) -> DeploymentError {
        let reason = format!("{reason} (see {})", self.log.display());
        DeploymentError::Process { name: self.name.clone(), reason }
    }
}

/// Reads a pipe to its end, so that the process never blocks on a full one.
async fn drain(mut lines: Lines<BufReader<ChildStdout>>) {
    while let Ok(Some(_)) = lines.next_line().await {}
}

/// Whether all threads of a process are stopped.
fn is_stopped(id: u32) -> io::Result<bool> {
    for thread in std::fs::read_dir(format!("/proc/{id}/task"))? {
        let stat = std::fs::read_to_string(thread?.path().join("stat")).unwrap_or_default();
        // The state follows the name, which stands in parentheses and may hold spaces.
        if stat.rsplit(')').next().is_some_and(|rest| !rest.trim_start().starts_with('T')) {
            return Ok(false);
        }
    }
    Ok(true)
}

/// Path of a program of this workspace: next to the running test or one directory above it.
pub(super) fn program(name: &str) -> Result<PathBuf, DeploymentError> {
    let missing = |reason: String| DeploymentError::Process { name: name.to_owned(), reason };
    let own = std::env::current_exe().map_err(|error| missing(error.to_string()))?;
    let candidates = own.ancestors().skip(1).take(2).map(|directory| directory.join(name));
    candidates
        .into_iter()
        .find(|path| path.is_file())
        .ok_or_else(|| missing(format!("no program beside {}; build the workspace", own.display())))
}
