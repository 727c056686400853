//! HTTP client for the operators' interface of a host.

use std::fs;

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use tokio::runtime;

use crate::cli::AdminOptions;
use crate::failure::Failure;

/// Environment variable that holds an operator's key.
const KEY_VARIABLE: &str = "ROSEMARYPITCH_KEY";

/// A request to the operators' interface.
pub struct AdminRequest<'a> {
    /// HTTP method.
    pub method: Method,
    /// Path below the host's address.
    pub path: String,
    /// Media type and body.
    pub body: Option<(&'a str, Vec<u8>)>,
    /// Additional headers, as names and values.
    pub headers: Vec<(&'a str, String)>,
}

impl<'a> AdminRequest<'a> {
    /// A GET request without a body.
    pub fn get(path: impl Into<String>) -> Self {
        Self { method: Method::GET, path: path.into(), body: None, headers: Vec::new() }
    }

    /// A request with a JSON body.
    pub fn json(method: Method, path: impl Into<String>, body: &Value) -> Self {
        let body = Some(("application/json", body.to_string().into_bytes()));
        Self { method, path: path.into(), body, headers: Vec::new() }
    }
}

/// Sends a request and returns the JSON of the response, or null if its body is not JSON.
///
/// Fails if there is no operator's key, the host is unreachable or the status is not 2xx.
pub fn send(options: &AdminOptions, request: AdminRequest<'_>) -> Result<Value, Failure> {
    let key = read_key(options)?;
    let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
    let (status, body) = runtime.block_on(send_with_key(options, &key, request))?;
    let value: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
    if status.is_success() {
        return Ok(value);
    }
    Err(Failure::Refused { status: status.as_u16(), detail: error_detail(&value, &body) })
}

/// Sends a request with a bearer key and reads the whole response.
async fn send_with_key(
    options: &AdminOptions,
    key: &str,
    request: AdminRequest<'_>,
) -> Result<(StatusCode, Bytes), Failure> {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let mut builder = Request::builder()
        .method(request.method)
        .uri(format!("http://{}{}", options.admin, request.path))
        .header(header::AUTHORIZATION, format!("Bearer {key}"));
    for (name, value) in request.headers {
        builder = builder.header(name, value);
    }
    let (media_type, body) = request.body.unwrap_or(("application/json", Vec::new()));
    let http_request = builder
        .header(header::CONTENT_TYPE, media_type)
        .body(Full::new(Bytes::from(body)))
        .map_err(|error| Failure::Usage(error.to_string()))?;
    let unreachable = |error: &dyn std::error::Error| {
        Failure::Unreachable(options.admin.to_string(), error.to_string())
    };
    let response = client.request(http_request).await.map_err(|error| unreachable(&error))?;
    let status = response.status();
    let body = response.into_body().collect().await.map_err(|error| unreachable(&error))?;
    Ok((status, body.to_bytes()))
}

/// Reads the operator's key from `--key-file` or the environment.
fn read_key(options: &AdminOptions) -> Result<String, Failure> {
    if let Some(file) = &options.key_file {
        let text = fs::read_to_string(file).map_err(|error| Failure::File(file.clone(), error))?;
        return Ok(text.trim().to_owned());
    }
    std::env::var(KEY_VARIABLE)
        .map_err(|_| Failure::Usage(format!("no key: give --key-file or set {KEY_VARIABLE}")))
}

/// Returns the detail of a problem document followed by its faults, one a line; other bodies are
/// returned as text.
fn error_detail(value: &Value, body: &[u8]) -> String {
    let Some(detail) = value["detail"].as_str() else {
        return String::from_utf8_lossy(body).into_owned();
    };
    let mut lines = vec![detail.to_owned()];
    for fault in value["faults"].as_array().into_iter().flatten() {
        let path = fault["path"].as_str().unwrap_or_default();
        let reason = fault["reason"].as_str().unwrap_or_default();
        lines.push(format!("  {path}: {reason}"));
    }
    lines.join("\n")
}
