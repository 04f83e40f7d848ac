//! TLS towards clients.

use std::path::Path;
use std::sync::Arc;

use rustls::ServerConfig;
use rustls::crypto::ring;
use rustls_pki_types::pem::PemObject as _;
use rustls_pki_types::{CertificateDer, PrivateKeyDer};
use tokio_rustls::TlsAcceptor;

use crate::settings::TlsFiles;

/// Why TLS could not be set up.
#[derive(Debug, thiserror::Error)]
pub enum TlsError {
    /// A file holds no usable certificate or key.
    #[error("{file}: {reason}")]
    File {
        /// The file.
        file: String,
        /// What is wrong.
        reason: String,
    },
    /// Certificate and key do not fit together.
    #[error("certificate and private key: {0}")]
    Pair(#[from] rustls::Error),
}

/// Reads certificate and key.
///
/// # Errors
///
/// Fails when a file is not PEM, or certificate and key do not belong together.
pub fn acceptor(files: &TlsFiles) -> Result<TlsAcceptor, TlsError> {
    let chain = CertificateDer::pem_file_iter(&files.certificate)
        .and_then(Iterator::collect::<Result<Vec<_>, _>>)
        .map_err(|error| file_error(&files.certificate, error))?;
    let key =
        PrivateKeyDer::from_pem_file(&files.key).map_err(|error| file_error(&files.key, error))?;
    let provider = Arc::new(ring::default_provider());
    let config = ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()?
        .with_no_client_auth()
        .with_single_cert(chain, key)?;
    Ok(TlsAcceptor::from(Arc::new(config)))
}

fn file_error(file: &Path, error: rustls_pki_types::pem::Error) -> TlsError {
    TlsError::File { file: file.display().to_string(), reason: error.to_string() }
}
