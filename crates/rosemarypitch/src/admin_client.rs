//! Requests to a host's operators' interface.

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

/// Variable with an operator's key.
const KEY_VARIABLE: &str = "ROSEMARYPITCH_KEY";

/// One request.
pub struct Ask<'a> {
    /// Method.
    pub method: Method,
    /// Path.
    pub path: String,
    /// Media type and body.
    pub body: Option<(&'a str, Vec<u8>)>,
    /// Further head fields.
    pub fields: Vec<(&'a str, String)>,
}

impl<'a> Ask<'a> {
    /// A request that only reads.
    pub fn read(path: impl Into<String>) -> Self {
        Self { method: Method::GET, path: path.into(), body: None, fields: Vec::new() }
    }

    /// A request with a JSON body.
    pub fn json(method: Method, path: impl Into<String>, body: &Value) -> Self {
        let body = Some(("application/json", body.to_string().into_bytes()));
        Self { method, path: path.into(), body, fields: Vec::new() }
    }
}

/// Sends a request and gives the answer's JSON; null for an empty one.
pub fn send(options: &AdminOptions, ask: Ask<'_>) -> Result<Value, Failure> {
    let key = key(options)?;
    let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
    let (status, body) = runtime.block_on(exchange(options, &key, ask))?;
    let value: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
    if status.is_success() {
        return Ok(value);
    }
    Err(Failure::Refused { status: status.as_u16(), detail: explain(&value, &body) })
}

async fn exchange(
    options: &AdminOptions,
    key: &str,
    ask: Ask<'_>,
) -> Result<(StatusCode, Bytes), Failure> {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let mut builder = Request::builder()
        .method(ask.method)
        .uri(format!("http://{}{}", options.admin, ask.path))
        .header(header::AUTHORIZATION, format!("Bearer {key}"));
    for (name, value) in ask.fields {
        builder = builder.header(name, value);
    }
    let (media, body) = ask.body.unwrap_or(("application/json", Vec::new()));
    let request = builder
        .header(header::CONTENT_TYPE, media)
        .body(Full::new(Bytes::from(body)))
        .map_err(|error| Failure::Usage(error.to_string()))?;
    let failed = |error: &dyn std::error::Error| {
        Failure::Unreachable(options.admin.to_string(), error.to_string())
    };
    let response = client.request(request).await.map_err(|error| failed(&error))?;
    let status = response.status();
    let body = response.into_body().collect().await.map_err(|error| failed(&error))?;
    Ok((status, body.to_bytes()))
}

fn key(options: &AdminOptions) -> Result<String, Failure> {
    if let Some(file) = &options.key_file {
        let text = fs::read_to_string(file).map_err(|error| Failure::File(file.clone(), error))?;
        return Ok(text.trim().to_owned());
    }
    std::env::var(KEY_VARIABLE)
        .map_err(|_| Failure::Usage(format!("give --key-file or set {KEY_VARIABLE}")))
}

/// The detail of a refusal, with each fault on a line of its own.
fn explain(value: &Value, body: &[u8]) -> String {
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
