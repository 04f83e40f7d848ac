//! The program under test, and its clients.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// A process of the deploy file.
pub struct Host {
    child: Option<Child>,
    directory: PathBuf,
    pub name: String,
    pub callers: SocketAddr,
    pub admin: SocketAddr,
    program: PathBuf,
}

/// What `deploy/host.ini` gets of the machine.
pub struct Machine<'a> {
    pub name: &'a str,
    pub zone: &'a str,
    pub zones: &'a str,
    pub link_mbps: u32,
    pub store: SocketAddr,
    /// Further lines, after the `[limits]` section.
    pub further: &'a str,
}

/// A free port below those that the kernel gives to outgoing connections, so that it is still free
/// when a process is started again.
fn free_port() -> u16 {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    loop {
        let number = u64::from(std::process::id()) * 97 + NEXT.fetch_add(1, Ordering::SeqCst);
        let port = 10_000 + (number % 20_000) as u16;
        let is_free = TcpListener::bind(("127.0.0.1", port)).is_ok()
            && UdpSocket::bind(("127.0.0.1", port)).is_ok();
        if is_free {
            return port;
        }
    }
}

impl Host {
    pub fn start(program: &Path, directory: &Path, machine: &Machine<'_>) -> Self {
        let address = || SocketAddr::from(([127, 0, 0, 1], free_port()));
        let (callers, admin, peers, forwarding) = (address(), address(), address(), address());
        let Machine { name, zone, zones, link_mbps, store, further } = machine;
        let text = format!(
            "[host]\nname = {name}\ndomain = {zone}\ndomains = {zones}\n\n\
             [listen]\ncallers = {callers}\nadmin = {admin}\npeers = {peers}\n\
             forwarding = {forwarding}\n\n\
             [platform]\nstore = {store}\ncontrol = {store}\n\n\
             [limits]\nshutdown_s = 6\ndescriptors = 4200\nlink_mbps = {link_mbps}\n\
             processor = 0.25\nrate_overage = 0.1\nrate_window_s = 5\nrate_slack = 20\n\
             config_apply_ms = 3000\ndrain_ms = 7000\n{further}"
        );
        std::fs::write(directory.join(format!("{name}.ini")), text).unwrap();
        let mut host = Self {
            child: None,
            directory: directory.to_owned(),
            name: (*name).to_owned(),
            callers,
            admin,
            program: program.to_owned(),
        };
        host.launch();
        host
    }

    pub fn launch(&mut self) {
        let path = self.directory.join(format!("{}.log", self.name));
        let log = std::fs::OpenOptions::new().create(true).append(true).open(path).unwrap();
        let child = Command::new(&self.program)
            .args(["serve", "--config"])
            .arg(self.directory.join(format!("{}.ini", self.name)))
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .stdin(Stdio::null())
            .spawn()
            .unwrap();
        // The script ends by these numbers what a run that is cut short leaves behind.
        let path = self.directory.join("pids");
        let pids = std::fs::OpenOptions::new().create(true).append(true).open(path);
        let _ = pids.and_then(|mut file| writeln!(file, "{}", child.id()));
        self.child = Some(child);
    }

    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill").args([signal, &child.id().to_string()]).status();
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }

    pub fn is_ready(&self) -> bool {
        let limit = Duration::from_millis(500);
        let Ok(mut stream) = TcpStream::connect_timeout(&self.admin, limit) else { return false };
        let _ = stream.set_read_timeout(Some(limit));
        let request = "GET /ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
        let mut line = String::new();
        stream.write_all(request.as_bytes()).is_ok()
            && BufReader::new(stream).read_line(&mut line).is_ok()
            && line.contains(" 200")
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.directory.join(format!("{}.log", self.name)))
            .unwrap_or_default()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

pub fn wait_until(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if holds() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}

/// A session of a client.
pub struct Client {
    reader: BufReader<TcpStream>,
    writer: TcpStream,
}

/// Answer to a statement.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub id: String,
    pub rows: Vec<String>,
    /// Signature of a success.
    pub success: Option<String>,
    /// Code and text of a failure.
    pub failure: Option<(String, String)>,
    pub state: String,
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

impl Client {
    pub fn open(address: SocketAddr, database: &str, key: &str) -> Option<Self> {
        let writer = TcpStream::connect_timeout(&address, Duration::from_secs(2)).ok()?;
        let _ = writer.set_nodelay(true);
        let _ = writer.set_read_timeout(Some(Duration::from_secs(10)));
        let mut client = Self { reader: BufReader::new(writer.try_clone().ok()?), writer };
        client.writer.write_all(format!("STARTUP {database} {key}\r\n").as_bytes()).ok()?;
        client.line()?.starts_with("READY I").then_some(client)
    }

    fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        (self.reader.read_line(&mut line).ok()? > 0).then(|| line.trim_end().to_owned())
    }

    /// Sends a statement and waits for its answer; none if the session ended instead.
    pub fn query(&mut self, text: &str) -> Option<Answer> {
        let id = format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::Relaxed) * 0x9e37_79b9);
        self.writer.write_all(format!("QUERY {id} {text}\r\n").as_bytes()).ok()?;
        let mut answer = Answer { id, ..Answer::default() };
        loop {
            let line = self.line()?;
            let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
            match word {
                "DATAROW" => answer.rows.push(rest.to_owned()),
                "COMPLETE" => answer.success = Some(rest.to_owned()),
                "ERROR" => {
                    let (code, text) = rest.split_once(' ').unwrap_or((rest, ""));
                    answer.failure = Some((code.to_owned(), text.to_owned()));
                }
                "READY" => {
                    answer.state = rest.split(' ').next().unwrap_or("").to_owned();
                    return Some(answer);
                }
                _ => return None,
            }
        }
    }
}
