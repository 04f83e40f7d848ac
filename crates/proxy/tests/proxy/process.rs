//! The process: TLS towards clients, signals, exit codes.

use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair};
use tempfile::TempDir;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio_rustls::TlsConnector;
use tokio_rustls::rustls::crypto::ring;
use tokio_rustls::rustls::pki_types::{CertificateDer, ServerName};
use tokio_rustls::rustls::{ClientConfig, RootCertStore};

const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// A process with its files; killed when the test ends.
struct HostProcess {
    child: Child,
    directory: TempDir,
    authority: CertificateDer<'static>,
}

impl HostProcess {
    fn start() -> Self {
        Self::start_with(50)
    }

    /// Starts a host that takes new sessions for some time after the begin of a shutdown.
    fn start_with(drain_notice_ms: u32) -> Self {
        let directory = TempDir::new().unwrap();
        let authority = write_certificates(directory.path());
        let settings = write_settings(directory.path(), drain_notice_ms);
        let child = Command::new(env!("CARGO_BIN_EXE_tanagerdeal"))
            .args(["run", "--config", &settings])
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        Self { child, directory, authority }
    }

    /// Waits for a log line and returns what follows the text.
    fn logged(&self, text: &str) -> String {
        let end = Instant::now() + WAIT_LIMIT;
        loop {
            let log =
                std::fs::read_to_string(self.directory.path().join("log")).unwrap_or_default();
            let line = log.lines().find_map(|line| line.split_once(text));
            match line {
                Some((_, rest)) => return rest.to_owned(),
                None => assert!(Instant::now() < end, "not logged: {text}\n{log}"),
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args(["-s", name, &pid]).status().unwrap().success());
    }

    fn wait(&mut self) -> ExitStatus {
        let end = Instant::now() + WAIT_LIMIT;
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            assert!(Instant::now() < end, "the process has not ended");
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn write_certificates(directory: &Path) -> CertificateDer<'static> {
    let mut params = CertificateParams::new(Vec::new()).unwrap();
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let issuer = CertifiedIssuer::self_signed(params, KeyPair::generate().unwrap()).unwrap();
    let key = KeyPair::generate().unwrap();
    let params = CertificateParams::new(vec!["h1".to_owned()]).unwrap();
    let certificate = params.signed_by(&key, &issuer).unwrap();
    let write = |name: &str, text: String| std::fs::write(directory.join(name), text).unwrap();
    write("ca.pem", issuer.pem());
    write("host.pem", certificate.pem());
    write("host.key", key.serialize_pem());
    write("secret", "secret".to_owned());
    issuer.der().clone()
}

fn write_settings(directory: &Path, drain_notice_ms: u32) -> String {
    let path = |name: &str| directory.join(name).display().to_string();
    let text = format!(
        "[host]\nname = h1\ndomain = d1\n\
         [listen]\ncallers = 127.0.0.1:0\npeers = 127.0.0.1:0\nadmin = 127.0.0.1:0\n\
         [platform]\naddress = 127.0.0.1:1\n\
         [fleet]\nsecret_file = {secret}\npeer_certificate_file = {chain}\n\
         peer_key_file = {key}\npeer_ca_file = {ca}\n\
         [tls]\ncertificate_file = {chain}\nkey_file = {key}\n\
         [endpoint]\nuser = service\npassword_file = {secret}\n\
         [timing]\ndrain_notice_ms = {drain_notice_ms}\n\
         [log]\nfile = {log}\nlevel = info\n",
        secret = path("secret"),
        chain = path("host.pem"),
        key = path("host.key"),
        ca = path("ca.pem"),
        log = path("log"),
    );
    std::fs::write(path("host.ini"), text).unwrap();
    path("host.ini")
}

const SSL_REQUEST: [u8; 8] = [0, 0, 0, 8, 4, 0xd2, 0x16, 0x2f];

/// Start-up of user `u` for database `d`.
const STARTUP: &[u8] = b"\0\0\0\x1b\0\x03\0\0user\0u\0database\0d\0\0";

/// Guards against a client that is served without TLS although it is required, and against data
/// that was sent before the handshake.
#[tokio::test(flavor = "multi_thread")]
async fn clients_need_tls() {
    let host = HostProcess::start();
    let address = host.logged("caller: listening on ");
    let mut plain = TcpStream::connect(&address).await.unwrap();
    plain.write_all(STARTUP).await.unwrap();
    let mut reply = Vec::new();
    plain.read_to_end(&mut reply).await.unwrap();
    assert!(String::from_utf8_lossy(&reply).contains("TLS is required"));
    let mut early = TcpStream::connect(&address).await.unwrap();
    early.write_all(&[&SSL_REQUEST[..], STARTUP].concat()).await.unwrap();
    let mut reply = Vec::new();
    let _ = early.read_to_end(&mut reply).await;
    assert_eq!(reply, b"");
    let mut roots = RootCertStore::empty();
    roots.add(host.authority.clone()).unwrap();
    let config = ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
        .with_safe_default_protocol_versions()
        .unwrap()
        .with_root_certificates(roots)
        .with_no_client_auth();
    let mut socket = TcpStream::connect(&address).await.unwrap();
    socket.write_all(&SSL_REQUEST).await.unwrap();
    assert_eq!(socket.read_u8().await.unwrap(), b'S');
    let name = ServerName::try_from("h1").unwrap();
    let mut stream = TlsConnector::from(Arc::new(config)).connect(name, socket).await.unwrap();
    stream.write_all(STARTUP).await.unwrap();
    assert_eq!(stream.read_u8().await.unwrap(), b'R', "no request for a password");
}

/// Guards against a process that does not end on SIGTERM, or ends with a failure.
#[test]
fn terminate_ends_the_process() {
    let mut host = HostProcess::start();
    host.logged("admin: listening on ");
    host.signal("TERM");
    host.logged("drain: shutting down");
    assert_eq!(host.wait().code(), Some(0));
}

/// Guards against a second SIGTERM that waits for the shutdown to finish.
#[test]
fn a_second_terminate_ends_the_process_at_once() {
    let mut host = HostProcess::start_with(600_000);
    host.logged("admin: listening on ");
    host.signal("TERM");
    host.logged("drain: shutting down");
    host.signal("TERM");
    assert_eq!(host.wait().code(), Some(1));
}

/// Guards against a reload that ends the process or keeps the old level.
#[test]
fn a_reload_changes_the_log_level() {
    let mut host = HostProcess::start();
    host.logged("admin: listening on ");
    let file = host.directory.path().join("host.ini");
    let text = std::fs::read_to_string(&file).unwrap();
    std::fs::write(&file, text.replace("level = info", "level = loud")).unwrap();
    host.signal("HUP");
    host.logged("[log] level: ");
    std::fs::write(&file, text.replace("level = info", "level = debug")).unwrap();
    host.signal("HUP");
    host.logged("admin: settings reloaded");
    host.logged("store: call failed");
    host.signal("TERM");
    assert_eq!(host.wait().code(), Some(0));
}
