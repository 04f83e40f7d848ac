//! Files that a host reads: settings, certificates and secrets.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair, KeyUsagePurpose};
use tanagerdeal_wire::value_type;

use super::DeploymentError;

/// Password of the proxies at the members.
const SERVICE_PASSWORD: &str = "service-password-of-the-test-bed";

/// Secret with which session tokens are signed.
const FLEET_SECRET: &str = "fleet-secret-of-the-test-bed-0123456789";

/// Certificate authority and secrets of a fleet, as files in a directory.
pub(super) struct FleetFiles {
    directory: PathBuf,
    issuer: CertifiedIssuer<'static, KeyPair>,
}

value_type! {
    /// What the settings of one host state.
    pub(super) struct HostSettings {
        pub(super) name: String,
        pub(super) domain: String,
        pub(super) caller: SocketAddr,
        pub(super) peer: SocketAddr,
        /// Address of the relay's port that leads to the peer listener, when links are relayed. The
        /// host then also connects from the address of its failure domain.
        pub(super) advertised_peer: Option<SocketAddr>,
        pub(super) admin: SocketAddr,
        pub(super) platform: SocketAddr,
        /// Keys and values of the section `[policy]`.
        pub(super) policies: Vec<(String, String)>,
    }
}

impl FleetFiles {
    pub(super) fn create(directory: &Path) -> Result<Self, DeploymentError> {
        let mut params = CertificateParams::default();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::DigitalSignature];
        let key = KeyPair::generate().map_err(certificate_error)?;
        let issuer = CertifiedIssuer::self_signed(params, key).map_err(certificate_error)?;
        let files = Self { directory: directory.to_owned(), issuer };
        files.write("authority.pem", &files.issuer.pem())?;
        files.write("service-password", SERVICE_PASSWORD)?;
        files.write("fleet-secret", FLEET_SECRET)?;
        Ok(files)
    }

    pub(super) fn service_password_file(&self) -> PathBuf {
        self.directory.join("service-password")
    }

    /// Writes a host's certificate, key and settings, and returns the path of the settings.
    pub(super) fn write_host(&self, host: &HostSettings) -> Result<PathBuf, DeploymentError> {
        let params = CertificateParams::new(vec![host.name.clone()]).map_err(certificate_error)?;
        let key = KeyPair::generate().map_err(certificate_error)?;
        let certificate = params.signed_by(&key, &self.issuer).map_err(certificate_error)?;
        self.write(&format!("{}.pem", host.name), &certificate.pem())?;
        self.write(&format!("{}.key", host.name), &key.serialize_pem())?;
        self.write(&format!("{}.ini", host.name), &self.settings_text(host))
    }

    /// The INI text of a host; the only place that knows the proxy's setting names.
    fn settings_text(&self, host: &HostSettings) -> String {
        let file = |name: &str| self.directory.join(name).display().to_string();
        let mut listen = vec![
            ("callers", host.caller.to_string()),
            ("peers", host.peer.to_string()),
            ("admin", host.admin.to_string()),
        ];
        let mut own = vec![("name", host.name.clone()), ("domain", host.domain.clone())];
        if let Some(advertised) = host.advertised_peer {
            listen.push(("peers_advertised", advertised.to_string()));
            own.push(("source_address", host.peer.ip().to_string()));
        }
        let sections = [
            ("host", own),
            ("listen", listen),
            ("platform", vec![("address", host.platform.to_string())]),
            (
                "fleet",
                vec![
                    ("secret_file", file("fleet-secret")),
                    ("peer_certificate_file", file(&format!("{}.pem", host.name))),
                    ("peer_key_file", file(&format!("{}.key", host.name))),
                    ("peer_ca_file", file("authority.pem")),
                ],
            ),
            ("tls", vec![("require_tls", "no".to_owned())]),
            (
                "endpoint",
                vec![
                    ("user", "tanagerdeal".to_owned()),
                    ("password_file", file("service-password")),
                ],
            ),
        ];
        let policies = host.policies.iter().map(|(name, value)| format!("{name} = {value}\n"));
        let mut text = format!("[policy]\n{}", policies.collect::<String>());
        for (section, settings) in sections {
            text += &format!("[{section}]\n");
            for (name, value) in settings {
                text += &format!("{name} = {value}\n");
            }
        }
        text
    }

    fn write(&self, name: &str, text: &str) -> Result<PathBuf, DeploymentError> {
        let path = self.directory.join(name);
        let failed = |error: io::Error| DeploymentError::File(path.clone(), error);
        fs::write(&path, text).map_err(failed)?;
        Ok(path)
    }
}

fn certificate_error(error: rcgen::Error) -> DeploymentError {
    DeploymentError::Certificate(error.to_string())
}
