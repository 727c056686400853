//! A caller of the router, for the demo and for load.

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

/// A caller of the router.
#[derive(Clone)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    target: SocketAddr,
}

/// A completion to ask for.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// Key.
    pub key: String,
    /// Model.
    pub model: String,
    /// Text.
    pub text: String,
    /// Output bound, in tokens.
    pub output: u32,
}

/// What came of a streamed completion.
#[derive(Clone, Debug, Default)]
pub struct Streamed {
    /// HTTP status; 0 without an answer.
    pub status: u16,
    /// Time to the first token, from when the request was due.
    pub first: Option<Duration>,
    /// Time to the last token, from when the request was due.
    pub last: Duration,
    /// Tokens.
    pub tokens: u32,
    /// Whether the stream came to its end.
    pub whole: bool,
    /// What a refusal says of having run.
    pub ran: String,
}

impl Streamed {
    /// Mean time between tokens after the first.
    pub fn pace(&self) -> Option<Duration> {
        let first = self.first?;
        (self.tokens > 1).then(|| (self.last - first) / (self.tokens - 1))
    }
}

impl Caller {
    /// A caller of one host.
    pub fn new(target: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self { client: Client::builder(TokioExecutor::new()).build(connector), target }
    }

    /// Sends a request and gives the answer's status and body.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        key: &str,
        fields: &[(&str, &str)],
        body: &Value,
    ) -> Result<(StatusCode, Bytes), Failure> {
        let response = self.open(method, path, key, fields, body).await?;
        let status = response.status();
        let body = response.into_body().collect().await;
        let body = body.map_err(|error| self.unreachable(&error.to_string()))?;
        Ok((status, body.to_bytes()))
    }

    /// Streams a completion; times count from `due`.
    pub async fn stream(&self, prompt: &Prompt, due: Instant) -> Streamed {
        let body = json!({
            "model": prompt.model,
            "messages": [{ "role": "user", "content": prompt.text }],
            "max_tokens": prompt.output,
            "stream": true,
        });
        let path = "/v1/chat/completions";
        let mut result = Streamed::default();
        let Ok(response) = self.open(Method::POST, path, &prompt.key, &[], &body).await else {
            result.last = due.elapsed();
            return result;
        };
        result.status = response.status().as_u16();
        if response.status() == StatusCode::OK {
            read_events(response.into_body(), due, &mut result).await;
        } else {
            let body = response.into_body().collect().await.map(|body| body.to_bytes());
            let value: Value =
                serde_json::from_slice(&body.unwrap_or_default()).unwrap_or_default();
            result.ran = value["ran"].as_str().unwrap_or_default().to_owned();
        }
        result.last = if result.tokens == 0 { due.elapsed() } else { result.last };
        result
    }

    /// Calls a plain service; the whole answer counts as the first token.
    pub async fn call(&self, path: &str, prompt: &Prompt, due: Instant) -> Streamed {
        let body = json!({ "text": prompt.text });
        let sent = self.send(Method::POST, path, &prompt.key, &[], &body).await;
        let status = sent.as_ref().map_or(0, |(status, _)| status.as_u16());
        let last = due.elapsed();
        let whole = status == StatusCode::OK.as_u16();
        let first = whole.then_some(last);
        Streamed { status, first, last, whole, ..Streamed::default() }
    }

    async fn open(
        &self,
        method: Method,
        path: &str,
        key: &str,
        fields: &[(&str, &str)],
        body: &Value,
    ) -> Result<Response<Incoming>, Failure> {
        let mut builder = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.target))
            .header(header::AUTHORIZATION, format!("Bearer {key}"))
            .header(header::CONTENT_TYPE, "application/json");
        for (name, value) in fields {
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

async fn read_events(mut body: Incoming, due: Instant, result: &mut Streamed) {
    let mut text = String::new();
    while let Some(Ok(frame)) = body.frame().await {
        let Ok(bytes) = frame.into_data() else { continue };
        text.push_str(&String::from_utf8_lossy(&bytes));
        while let Some(end) = text.find("\n\n") {
            let event: String = text.drain(..end + 2).collect();
            take_event(event.trim(), due, result);
        }
    }
}

fn take_event(event: &str, due: Instant, result: &mut Streamed) {
    if event == "data: [DONE]" {
        result.whole = true;
        return;
    }
    let Some(data) = event.strip_prefix("data: ") else { return };
    let value: Value = serde_json::from_str(data).unwrap_or_default();
    if value["choices"][0]["delta"]["content"].is_string() {
        result.tokens += 1;
        result.last = due.elapsed();
        result.first.get_or_insert(result.last);
    }
}
