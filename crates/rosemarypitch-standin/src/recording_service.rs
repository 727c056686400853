//! A plain service that writes down every call.

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

/// A plain service.
///
/// The query `delay_ms=N` makes it slow, `fail=after` makes it drop the connection once
/// the call is done. `GET /_calls` gives all calls, or counts none itself.
#[derive(Default)]
pub struct RecordingService {
    calls: Mutex<Vec<RecordedCall>>,
}

/// A call that the service carried out.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RecordedCall {
    /// Method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Head fields, as `name: value`.
    pub fields: Vec<String>,
    /// Body, as text.
    pub body: String,
}

impl RecordingService {
    /// The calls so far.
    pub fn calls(&self) -> Vec<RecordedCall> {
        self.calls.lock().unwrap_or_else(|error| error.into_inner()).clone()
    }

    fn note(&self, call: RecordedCall) -> usize {
        let mut calls = self.calls.lock().unwrap_or_else(|error| error.into_inner());
        calls.push(call);
        calls.len()
    }
}

/// Serves a plain service until the task ends.
pub async fn serve_recording_service(
    listener: TcpListener,
    desk: Arc<RecordingService>,
) -> io::Result<()> {
    server::serve(listener, desk, handle).await
}

async fn handle(desk: Arc<RecordingService>, request: Request<Incoming>) -> Result<Reply, Dropped> {
    if request.uri().path() == "/_calls" {
        return server::json(StatusCode::OK, &desk.calls());
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
    let number = desk.note(call);
    if let Some(delay) = parameter(&query, "delay_ms").and_then(|text| text.parse().ok()) {
        tokio::time::sleep(Duration::from_millis(delay)).await;
    }
    if parameter(&query, "fail") == Some("after") {
        return Err(Dropped);
    }
    let body = serde_json::json!({ "call": number, "body": String::from_utf8_lossy(&bytes) });
    Ok(server::reply(StatusCode::OK, Bytes::from(body.to_string())))
}

fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}
