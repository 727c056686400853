//! A plain HTTP service that records every call.

use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;

use crate::http::{self as server, Dropped, Reply};

/// A plain HTTP service that records calls and echoes their bodies.
///
/// The query parameter `delay_ms=N` delays the response, `fail=after` drops the connection
/// after the call took effect. `GET /_calls` returns all calls and isn't recorded itself.
#[derive(Default)]
pub struct RecordingService {
    calls: Mutex<Vec<RecordedCall>>,
}

/// A recorded call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RecordedCall {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Header fields, as `name: value`.
    pub fields: Vec<String>,
    /// Body, with invalid UTF-8 replaced.
    pub body: String,
}

impl RecordingService {
    /// Calls recorded so far.
    pub fn calls(&self) -> Vec<RecordedCall> {
        self.calls.lock().unwrap_or_else(|error| error.into_inner()).clone()
    }

    /// Records a call and returns its number, from 1.
    fn record(&self, call: RecordedCall) -> usize {
        let mut calls = self.calls.lock().unwrap_or_else(|error| error.into_inner());
        calls.push(call);
        calls.len()
    }
}

/// Serves the service over HTTP, until accepting a connection fails or the task is dropped.
///
/// # Errors
///
/// When accepting a connection fails.
pub async fn serve_recording_service(
    listener: TcpListener,
    service: Arc<RecordingService>,
) -> io::Result<()> {
    server::serve(listener, service, handle).await
}

async fn handle(
    service: Arc<RecordingService>,
    request: Request<Incoming>,
) -> Result<Reply, Dropped> {
    if request.uri().path() == "/_calls" {
        return server::json(StatusCode::OK, &service.calls());
    }
    let (head, body) = request.into_parts();
    let bytes = body.collect().await.map_err(|_| Dropped)?.to_bytes();
    let fields = head.headers.iter();
    let call = RecordedCall {
        method: head.method.to_string(),
        target: head.uri.to_string(),
        fields: fields.map(|(name, value)| format!("{name}: {value:?}")).collect(),
        body: String::from_utf8_lossy(&bytes).into_owned(),
    };
    let query = head.uri.query().unwrap_or_default().to_owned();
    let number = service.record(call);
    if let Some(delay) = query_parameter(&query, "delay_ms").and_then(|text| text.parse().ok()) {
        tokio::time::sleep(Duration::from_millis(delay)).await;
    }
    if query_parameter(&query, "fail") == Some("after") {
        return Err(Dropped);
    }
    let body = serde_json::json!({ "call": number, "body": String::from_utf8_lossy(&bytes) });
    Ok(server::reply(StatusCode::OK, Bytes::from(body.to_string())))
}

fn query_parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}
