//! TLS towards callers and towards upstreams: one host calls another's callers' listener.

mod support;

use std::fs;
use std::path::PathBuf;

use reqwest::StatusCode;
use serde_json::{Value, json};

use support::{Host, HostPlan, Site};

/// A certificate for the loopback address, and its key, in files.
struct Files {
    certificate: PathBuf,
    key: PathBuf,
}

impl Files {
    fn make(name: &str) -> Self {
        let made = rcgen::generate_simple_self_signed(vec!["127.0.0.1".to_owned()]);
        let made = made.expect("a certificate");
        let path = |part: &str| {
            let number = std::process::id();
            std::env::temp_dir().join(format!("rosemarypitch-{number}-{name}-{part}.pem"))
        };
        let files = Self { certificate: path("certificate"), key: path("key") };
        fs::write(&files.certificate, made.cert.pem()).expect("written");
        fs::write(&files.key, made.signing_key.serialize_pem()).expect("written");
        files
    }
}

impl Drop for Files {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.certificate);
        let _ = fs::remove_file(&self.key);
    }
}

async fn call_through(trusted: &Files, presented: &Files) -> reqwest::Response {
    let mut outer = HostPlan::new("a-1", "a");
    outer.overrides = vec![format!("upstream_ca={}", trusted.certificate.display())];
    let site = Site::start(1, &[outer]).await;
    let mut inner = HostPlan::new("a-2", "a");
    inner.overrides = vec![
        format!("callers.tls.certificate={}", presented.certificate.display()),
        format!("callers.tls.key={}", presented.key.display()),
    ];
    let inner = Host::start(&inner, site.platform.address());
    let upstream = json!({
        "kind": { "service": { "service": "inner" } },
        "address": inner.callers,
        "data_centre": "a",
        "tls": true,
    });
    let patch = json!({
        "services": { "inner": { "prefix": "/inner", "open": true } },
        "upstreams": { "inner-0": upstream },
    });
    assert_eq!(site.patch(0, 1, &patch).await.status(), StatusCode::OK);
    site.until_number(2).await;
    site.client.get(site.url(0, "/inner/healthz")).send().await.expect("an answer")
}

#[tokio::test]
async fn hosts_speak_tls_to_callers_and_upstreams() {
    let files = Files::make("good");
    let response = call_through(&files, &files).await;
    assert_eq!(response.status(), StatusCode::OK);
    let body: Value = response.json().await.expect("JSON");
    assert_eq!(body["status"], "ok");
}

#[tokio::test]
async fn an_upstream_with_another_certificate_is_sent_nothing() {
    let (trusted, presented) = (Files::make("trusted"), Files::make("presented"));
    let response = call_through(&trusted, &presented).await;
    assert_eq!(response.status(), StatusCode::BAD_GATEWAY);
    let body: Value = response.json().await.expect("JSON");
    assert_eq!(body["ran"], "no");
}
