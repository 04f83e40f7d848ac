//! Processes of the project, started with the command of the deploy file.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// The program of the deploy file's role.
const PROGRAM: &str = "target/release/tanagerdeal";
const FIRST_PORT: u32 = 20_000;
const PORTS: u32 = 12_000;

pub struct Host {
    child: Child,
    pub callers: SocketAddr,
    pub admin: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
}

fn free_port() -> u16 {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let first = std::process::id().wrapping_mul(397);
    loop {
        let number = first.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let port = u16::try_from(FIRST_PORT + number % PORTS).unwrap_or(u16::MAX);
        let is_free = TcpListener::bind(("127.0.0.1", port)).is_ok()
            && UdpSocket::bind(("127.0.0.1", port)).is_ok();
        if is_free {
            return port;
        }
    }
}

impl Host {
    /// Starts a host of a zone with the settings that the template of the deploy file gives a host
    /// of a small deployment.
    pub fn start(
        directory: &Path,
        name: &str,
        zone: &str,
        zones: &str,
        store: SocketAddr,
        control: SocketAddr,
    ) -> std::io::Result<Self> {
        let address = || SocketAddr::from(([127, 0, 0, 1], free_port()));
        let (callers, admin, peers, forwarding) = (address(), address(), address(), address());
        let settings = directory.join(format!("{name}.ini"));
        let text = format!(
            "[host]\nname = {name}\ndomain = {zone}\ndomains = {zones}\n\
             [listen]\ncallers = {callers}\nadmin = {admin}\npeers = {peers}\n\
             forwarding = {forwarding}\n\
             [platform]\nstore = {store}\ncontrol = {control}\n\
             [limits]\nshutdown_s = 6\ndescriptors = 4200\nlink_mbps = 1000.0\n\
             processor = 0.25\nrate_overage = 0.1\nrate_window_s = 5\nrate_slack = 20\n\
             config_apply_ms = 3000\ndrain_ms = 7000\n"
        );
        std::fs::write(&settings, text)?;
        let log = directory.join(format!("{name}.log"));
        let child = spawn(&settings, &log)?;
        Ok(Self { child, callers, admin, settings, log })
    }

    /// Replaces a text in its settings file.
    pub fn change_settings(&self, from: &str, to: &str) -> std::io::Result<()> {
        let text = std::fs::read_to_string(&self.settings)?;
        std::fs::write(&self.settings, text.replace(from, to))
    }

    /// The last line that it has written.
    pub fn last_line(&self) -> String {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().last().unwrap_or_default().to_owned()
    }

    /// Starts the process again.
    pub fn restart(&mut self) -> std::io::Result<()> {
        self.child = spawn(&self.settings, &self.log)?;
        Ok(())
    }

    pub fn signal(&self, name: &str) -> std::io::Result<()> {
        let pid = self.child.id().to_string();
        Command::new("kill").args([&format!("-{name}"), &pid]).status().map(|_| ())
    }

    pub fn kill(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    /// Lines of its log that hold one of the texts.
    pub fn log_lines(&self, texts: &[&str]) -> Vec<String> {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        let wanted = log.lines().filter(|line| texts.iter().any(|text| line.contains(text)));
        wanted.map(str::to_owned).collect()
    }

    pub async fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.admin).await else { return false };
        let request = b"GET /ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
        let mut text = String::new();
        stream.write_all(request).await.is_ok()
            && stream.read_to_string(&mut text).await.is_ok()
            && text.starts_with("HTTP/1.1 200")
    }

    pub async fn wait_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready().await {
                return true;
            }
            sleep(Duration::from_millis(50)).await;
        }
        false
    }
}

fn spawn(settings: &Path, log: &Path) -> std::io::Result<Child> {
    let log = std::fs::OpenOptions::new().create(true).append(true).open(log)?;
    Command::new(PROGRAM)
        .args(["serve", "--config"])
        .arg(settings)
        .stdout(log.try_clone()?)
        .stderr(log)
        .stdin(Stdio::null())
        .spawn()
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}
