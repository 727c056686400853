//! A client of the router's public interface, used by the `demo` and `load` commands.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::failure::Failure;

/// Sends requests to one host over pooled connections.
#[derive(Clone)]
pub struct RouterClient {
    client: Client<HttpConnector, Full<Bytes>>,
    target: SocketAddr,
}

/// A chat completion with a single user message.
#[derive(Clone, Debug)]
pub struct CompletionRequest {
    /// The customer's API key.
    pub key: String,
    /// Name of the model.
    pub model: String,
    /// Text of the user message.
    pub text: String,
    /// Maximum length of the output, in tokens.
    pub max_output: u32,
}

/// Outcome and timing of one request.
#[derive(Clone, Debug, Default)]
pub struct CallResult {
    /// HTTP status code; 0 if no response arrived.
    pub status: u16,
    /// Time from the due time of the request to the first token.
    pub ttft: Option<Duration>,
    /// Time from the due time to the last token, or to the end of a response without tokens.
    pub total_time: Duration,
    /// Number of tokens received.
    pub tokens: u32,
    /// Whether the response arrived completely.
    pub complete: bool,
    /// The `ran` field of an error response: whether the request was executed.
    pub ran: String,
}

impl CallResult {
    /// Mean time between tokens after the first one; `None` for fewer than two tokens.
    pub fn tpot(&self) -> Option<Duration> {
        let ttft = self.ttft?;
        (self.tokens > 1).then(|| (self.total_time - ttft) / (self.tokens - 1))
    }
}

impl RouterClient {
    /// Creates a client of the host at `target`.
    pub fn new(target: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self { client: Client::builder(TokioExecutor::new()).build(connector), target }
    }

    /// Sends a request and returns the status and body of the response.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        key: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> Result<(StatusCode, Bytes), Failure> {
        let response = self.start_request(method, path, key, headers, body).await?;
        let status = response.status();
        let body = response.into_body().collect().await;
        let body = body.map_err(|error| self.unreachable(&error.to_string()))?;
        Ok((status, body.to_bytes()))
    }

    /// Sends a streaming completion and reads it to its end; times are measured from `due`.
    pub async fn complete_streaming(
        &self,
        request: &CompletionRequest,
        due: Instant,
    ) -> CallResult {
        let body = json!({
            "model": request.model,
            "messages": [{ "role": "user", "content": request.text }],
            "max_tokens": request.max_output,
            "stream": true,
        });
        let path = "/v1/chat/completions";
        let mut result = CallResult::default();
        let Ok(response) = self.start_request(Method::POST, path, &request.key, &[], &body).await
        else {
            result.total_time = due.elapsed();
            return result;
        };
        result.status = response.status().as_u16();
        if response.status() == StatusCode::OK {
            read_stream(response.into_body(), due, &mut result).await;
        } else {
            let body = response.into_body().collect().await.map(|body| body.to_bytes());
            let value: Value =
                serde_json::from_slice(&body.unwrap_or_default()).unwrap_or_default();
            result.ran = value["ran"].as_str().unwrap_or_default().to_owned();
        }
        result.total_time = if result.tokens == 0 { due.elapsed() } else { result.total_time };
        result
    }

    /// Sends the text to a plain service; the end of the response counts as its first token.
    pub async fn call_service(
        &self,
        path: &str,
        request: &CompletionRequest,
        due: Instant,
    ) -> CallResult {
        let body = json!({ "text": request.text });
        let sent = self.send(Method::POST, path, &request.key, &[], &body).await;
        let status = sent.as_ref().map_or(0, |(status, _)| status.as_u16());
        let total_time = due.elapsed();
        let complete = status == StatusCode::OK.as_u16();
        let ttft = complete.then_some(total_time);
        CallResult { status, ttft, total_time, complete, ..CallResult::default() }
    }

    /// Sends a request and waits for the head of the response.
    async fn start_request(
        &self,
        method: Method,
        path: &str,
        key: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> Result<Response<Incoming>, Failure> {
        let mut builder = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.target))
            .header(header::AUTHORIZATION, format!("Bearer {key}"))
            .header(header::CONTENT_TYPE, "application/json");
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        let request = builder
            .body(Full::new(Bytes::from(body.to_string())))
            .map_err(|error| Failure::Usage(error.to_string()))?;
        self.client.request(request).await.map_err(|error| self.unreachable(&error.to_string()))
    }

    fn unreachable(&self, reason: &str) -> Failure {
        Failure::Unreachable(self.target.to_string(), reason.to_owned())
    }
}

/// Reads the server-sent events of a streamed completion.
async fn read_stream(mut body: Incoming, due: Instant, result: &mut CallResult) {
    let mut text = String::new();
    while let Some(Ok(frame)) = body.frame().await {
        let Ok(bytes) = frame.into_data() else { continue };
        text.push_str(&String::from_utf8_lossy(&bytes));
        while let Some(end) = text.find("\n\n") {
            let event: String = text.drain(..end + 2).collect();
            record_event(event.trim(), due, result);
        }
    }
}

fn record_event(event: &str, due: Instant, result: &mut CallResult) {
    if event == "data: [DONE]" {
        result.complete = true;
        return;
    }
    let Some(data) = event.strip_prefix("data: ") else { return };
    let value: Value = serde_json::from_str(data).unwrap_or_default();
    if value["choices"][0]["delta"]["content"].is_string() {
        result.tokens += 1;
        result.total_time = due.elapsed();
        result.ttft.get_or_insert(result.total_time);
    }
}
