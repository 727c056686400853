//! Certificates from files.

use std::fs;
use std::io;
use std::sync::Arc;

use rosemarypitch_config::TlsFiles;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::{ClientConfig, RootCertStore, ServerConfig};

/// A certificate file that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum TlsError {
    /// The file cannot be read.
    #[error("file {0}: {1}")]
    File(Arc<str>, io::Error),
    /// It is not PEM, or holds nothing of use.
    #[error("file {0}: {1}")]
    Pem(Arc<str>, String),
    /// Certificate and key cannot be used together.
    #[error("TLS: {0}")]
    Setup(#[from] rustls::Error),
}

/// Configuration of a TLS listener.
pub fn server(files: &TlsFiles) -> Result<Arc<ServerConfig>, TlsError> {
    let chain = certificates(&files.certificate)?;
    let bytes = read(&files.key)?;
    let bad = |error: rustls::pki_types::pem::Error| pem(&files.key, &error);
    let key = PrivateKeyDer::from_pem_slice(&bytes).map_err(bad)?;
    let builder = ServerConfig::builder_with_provider(provider())
        .with_safe_default_protocol_versions()?
        .with_no_client_auth();
    Ok(Arc::new(builder.with_single_cert(chain, key)?))
}

/// Configuration of TLS towards upstreams, which must chain to the certificates in `ca`.
pub fn client(ca: Option<&Arc<str>>) -> Result<Arc<ClientConfig>, TlsError> {
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
    let found: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(&bytes).collect();
    let found = found.map_err(|error| pem(file, &error))?;
    if found.is_empty() {
        return Err(TlsError::Pem(file.clone(), "no certificate".to_owned()));
    }
    Ok(found)
}

fn read(file: &Arc<str>) -> Result<Vec<u8>, TlsError> {
    fs::read(file.as_ref()).map_err(|error| TlsError::File(file.clone(), error))
}

fn pem(file: &Arc<str>, error: &rustls::pki_types::pem::Error) -> TlsError {
    TlsError::Pem(file.clone(), error.to_string())
}
