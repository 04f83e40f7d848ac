//! Certificates of the fleet: each host has one that names it, signed by the fleet's own CA.

use std::path::Path;
use std::sync::Arc;

use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rustls::crypto::ring;
use rustls::server::WebPkiClientVerifier;
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer};
use tanagerdeal_wire::HostName;
use tanagerdeal_wire::peer::PEER_ALPN;

use super::PeerError;

/// Certificate, private key and certificate authority of a host.
pub struct PeerTrust {
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    roots: RootCertStore,
}

impl PeerTrust {
    /// Reads the three PEM files.
    ///
    /// # Errors
    ///
    /// Fails when a file cannot be read or holds no usable certificate or key.
    pub fn from_files(chain: &Path, key: &Path, authority: &Path) -> Result<Self, PeerError> {
        let mut roots = RootCertStore::empty();
        for certificate in certificates(authority)? {
            roots.add(certificate).map_err(|error| trust_error(authority, error))?;
        }
        let chain = certificates(chain)?;
        let key = PrivateKeyDer::from_pem_file(key).map_err(|error| trust_error(key, error))?;
        Ok(Self { chain, key, roots })
    }

    pub(super) fn server_crypto(&self) -> Result<QuicServerConfig, PeerError> {
        let provider = Arc::new(ring::default_provider());
        let roots = Arc::new(self.roots.clone());
        let verifier = WebPkiClientVerifier::builder_with_provider(roots, Arc::clone(&provider))
            .build()
            .map_err(config_error)?;
        let mut config = ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(config_error)?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain.clone(), self.key.clone_key())
            .map_err(config_error)?;
        config.alpn_protocols = vec![PEER_ALPN.to_vec()];
        QuicServerConfig::try_from(config).map_err(config_error)
    }

    pub(super) fn client_crypto(&self, protocol: &[u8]) -> Result<QuicClientConfig, PeerError> {
        let mut config = ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(config_error)?
            .with_root_certificates(self.roots.clone())
            .with_client_auth_cert(self.chain.clone(), self.key.clone_key())
            .map_err(config_error)?;
        config.alpn_protocols = vec![protocol.to_vec()];
        QuicClientConfig::try_from(config).map_err(config_error)
    }
}

/// Name of the host that a verified certificate was issued to: its first DNS name.
pub(super) fn host_of_certificate(certificate: &CertificateDer<'_>) -> Option<HostName> {
    let certificate = webpki::EndEntityCert::try_from(certificate).ok()?;
    let name = certificate.valid_dns_names().next()?;
    HostName::new(name).ok()
}

fn certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, PeerError> {
    let read = CertificateDer::pem_file_iter(path).and_then(Iterator::collect::<Result<Vec<_>, _>>);
    match read {
        Ok(list) if !list.is_empty() => Ok(list),
        Ok(_) => Err(trust_error(path, "no certificate")),
        Err(error) => Err(trust_error(path, error)),
    }
}

fn trust_error(path: &Path, error: impl std::fmt::Display) -> PeerError {
    PeerError::Trust(format!("{}: {error}", path.display()))
}

fn config_error(error: impl std::fmt::Display) -> PeerError {
    PeerError::Trust(error.to_string())
}
