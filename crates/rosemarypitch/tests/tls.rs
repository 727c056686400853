//! TLS towards clients and upstreams: one host is the upstream of another host.

mod support;

use std::fs;
use std::path::PathBuf;

use reqwest::StatusCode;
use serde_json::{Value, json};

use support::{Cluster, Host, HostSpec};

/// Files with a self-signed certificate for the loopback address and its private key.
struct CertificateFiles {
    certificate: PathBuf,
    key: PathBuf,
}

impl CertificateFiles {
    fn generate(name: &str) -> Self {
        let generated = rcgen::generate_simple_self_signed(vec!["127.0.0.1".to_owned()]);
        let generated = generated.expect("a certificate");
        let path = |part: &str| {
            let number = std::process::id();
            std::env::temp_dir().join(format!("rosemarypitch-{number}-{name}-{part}.pem"))
        };
        let files = Self { certificate: path("certificate"), key: path("key") };
        fs::write(&files.certificate, generated.cert.pem()).expect("written");
        fs::write(&files.key, generated.signing_key.serialize_pem()).expect("written");
        files
    }
}

impl Drop for CertificateFiles {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.certificate);
        let _ = fs::remove_file(&self.key);
    }
}

/// Calls a backend host that presents one certificate through a front host that trusts another.
async fn call_over_tls(
    trusted: &CertificateFiles,
    presented: &CertificateFiles,
) -> reqwest::Response {
    let mut front = HostSpec::new("a-1", "a");
    front.overrides = vec![format!("upstream_ca={}", trusted.certificate.display())];
    let cluster = Cluster::start(1, &[front]).await;
    let mut backend = HostSpec::new("a-2", "a");
    backend.overrides = vec![
        format!("callers.tls.certificate={}", presented.certificate.display()),
        format!("callers.tls.key={}", presented.key.display()),
    ];
    let backend = Host::start(&backend, cluster.platform.address());
    let upstream = json!({
        "kind": { "service": { "service": "inner" } },
        "address": backend.callers,
        "data_centre": "a",
        "tls": true,
    });
    let patch = json!({
        "services": { "inner": { "prefix": "/inner", "open": true } },
        "upstreams": { "inner-0": upstream },
    });
    assert_eq!(cluster.patch(0, 1, &patch).await.status(), StatusCode::OK);
    cluster.wait_for_version(2).await;
    cluster.client.get(cluster.url(0, "/inner/healthz")).send().await.expect("a response")
}

#[tokio::test]
async fn tls_works_towards_clients_and_upstreams() {
    let files = CertificateFiles::generate("good");
    let response = call_over_tls(&files, &files).await;
    assert_eq!(response.status(), StatusCode::OK);
    let body: Value = response.json().await.expect("JSON");
    assert_eq!(body["status"], "ok");
}

#[tokio::test]
async fn an_upstream_with_an_untrusted_certificate_gets_no_request() {
    let (trusted, presented) =
        (CertificateFiles::generate("trusted"), CertificateFiles::generate("presented"));
    let response = call_over_tls(&trusted, &presented).await;
    assert_eq!(response.status(), StatusCode::BAD_GATEWAY);
    let body: Value = response.json().await.expect("JSON");
    assert_eq!(body["ran"], "no");
}
