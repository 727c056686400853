//! TLS configurations from certificate and key files.

use std::fs;
use std::io;
use std::sync::Arc;

use rosemarypitch_config::TlsFiles;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::{ClientConfig, RootCertStore, ServerConfig};

/// Error while loading a TLS configuration.
#[derive(Debug, thiserror::Error)]
pub enum TlsError {
    /// The file could not be read.
    #[error("file {0}: {1}")]
    File(Arc<str>, io::Error),
    /// The file is not PEM or contains no certificate or key.
    #[error("file {0}: {1}")]
    Pem(Arc<str>, String),
    /// The certificate or the key was rejected, for example because they do not match.
    #[error("TLS: {0}")]
    Setup(#[from] rustls::Error),
}

/// Returns the configuration of a TLS listener.
pub fn server_config(files: &TlsFiles) -> Result<Arc<ServerConfig>, TlsError> {
    let chain = certificates(&files.certificate)?;
    let bytes = read(&files.key)?;
    let unusable = |error: rustls::pki_types::pem::Error| pem_error(&files.key, &error);
    let key = PrivateKeyDer::from_pem_slice(&bytes).map_err(unusable)?;
    let builder = ServerConfig::builder_with_provider(provider())
        .with_safe_default_protocol_versions()?
        .with_no_client_auth();
    Ok(Arc::new(builder.with_single_cert(chain, key)?))
}

/// Returns the configuration of TLS to upstreams.
///
/// Their certificates must chain to one in the file `ca`; without it none is accepted.
pub fn client_config(ca: Option<&Arc<str>>) -> Result<Arc<ClientConfig>, TlsError> {
    let mut roots = RootCertStore::empty();
    if let Some(file) = ca {
        for certificate in certificates(file)? {
            roots.add(certificate)?;
        }
    }
    let builder = ClientConfig::builder_with_provider(provider())
        .with_safe_default_protocol_versions()?
        .with_root_certificates(roots);
    Ok(Arc::new(builder.with_no_client_auth()))
}

fn provider() -> Arc<rustls::crypto::CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}

fn certificates(file: &Arc<str>) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    let bytes = read(file)?;
    let parsed: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(&bytes).collect();
    let parsed = parsed.map_err(|error| pem_error(file, &error))?;
    if parsed.is_empty() {
        return Err(TlsError::Pem(file.clone(), "no certificate".to_owned()));
    }
    Ok(parsed)
}

fn read(file: &Arc<str>) -> Result<Vec<u8>, TlsError> {
    fs::read(file.as_ref()).map_err(|error| TlsError::File(file.clone(), error))
}

fn pem_error(file: &Arc<str>, error: &rustls::pki_types::pem::Error) -> TlsError {
    TlsError::Pem(file.clone(), error.to_string())
}
