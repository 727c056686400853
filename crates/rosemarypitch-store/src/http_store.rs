//! The key-value service over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use rand::Rng;

use crate::error::{ErrorKind, StoreError};
use crate::rate_limit::{CallCounter, RateLimiter};
use crate::store::{Entry, Store, StoreFuture, SwapOutcome, Version};
use crate::wire;

/// Tries of one call.
const MAX_TRIES: u32 = 3;
/// Longest pause before the second try; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Idle time after which a pooled connection is closed.
const POOL_IDLE: Duration = Duration::from_secs(5);
/// Largest answer, in bytes; a list holds many values.
const MAX_ANSWER_BYTES: usize = 4 * wire::MAX_VALUE_BYTES;

/// Client of the key-value service.
pub struct HttpStore {
    address: Arc<str>,
    client: Client<HttpConnector, Full<Bytes>>,
    timeout: Duration,
    limiter: RateLimiter,
    count: CallCounter,
}

impl HttpStore {
    /// Makes a client; `count` has the labels step and outcome.
    pub fn new(address: SocketAddr, timeout: Duration, calls: u32, count: CallCounter) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(timeout));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(POOL_IDLE)
            .pool_timer(TokioTimer::new())
            .retry_canceled_requests(false)
            .build(connector);
        let address = Arc::from(address.to_string());
        Self { address, client, timeout, limiter: RateLimiter::new(calls), count }
    }

    async fn call(&self, ask: &Ask<'_>) -> Result<Response<Bytes>, StoreError> {
        let mut tries = 0;
        loop {
            tries += 1;
            let result = self.call_once(ask).await;
            let outcome = result.as_ref().map_or_else(outcome_of, |_| "ok");
            self.count.with_label_values(&[ask.step, outcome]).inc();
            match result {
                Err(kind) if tries < MAX_TRIES && ask.may_repeat(&kind) => {
                    tokio::time::sleep(pause(tries)).await;
                }
                other => return other.map_err(|kind| self.error(ask, kind)),
            }
        }
    }

    async fn call_once(&self, ask: &Ask<'_>) -> Result<Response<Bytes>, ErrorKind> {
        if !self.limiter.try_acquire() {
            return Err(ErrorKind::RateLimited);
        }
        let uri = format!("http://{}{}", self.address, ask.path);
        let request = Request::builder()
            .method(ask.method.clone())
            .uri(uri)
            .header(wire::WRITE_ID_HEADER, ask.writer)
            .body(Full::new(ask.body.clone()))
            .map_err(|error| ErrorKind::Protocol(error.to_string()))?;
        let exchange = async {
            let response = self.client.request(request).await.map_err(|error| {
                if error.is_connect() { ErrorKind::Unreachable } else { ErrorKind::OutcomeUnknown }
            })?;
            let (head, body) = response.into_parts();
            let body = Limited::new(body, MAX_ANSWER_BYTES);
            let bytes = body.collect().await.map_err(|_| ErrorKind::OutcomeUnknown)?.to_bytes();
            Ok(Response::from_parts(head, bytes))
        };
        let answer = tokio::time::timeout(self.timeout + ask.wait, exchange).await;
        let response = answer.unwrap_or(Err(ErrorKind::OutcomeUnknown))?;
        if response.status().is_server_error() {
            return Err(ErrorKind::OutcomeUnknown);
        }
        Ok(response)
    }

    fn error(&self, ask: &Ask<'_>, kind: ErrorKind) -> StoreError {
        StoreError { step: ask.step, address: self.address.clone(), key: Arc::from(ask.key), kind }
    }

    fn protocol(&self, ask: &Ask<'_>, status: StatusCode) -> StoreError {
        self.error(ask, ErrorKind::Protocol(status.to_string()))
    }

    /// Learns what became of a write whose answer was lost.
    async fn resolve(
        &self,
        ask: &Ask<'_>,
        expected: Version,
        unknown: StoreError,
    ) -> Result<SwapOutcome, StoreError> {
        let Some(entry) = self.read(ask.key).await? else { return Err(unknown) };
        if entry.write_id.as_ref() == ask.writer {
            return Ok(SwapOutcome::Stored(entry.version));
        }
        // Exactly one later version means another write won the same expected version;
        // with more than one, ours may have been among them.
        if entry.version == expected + 1 {
            return Ok(SwapOutcome::Conflict(Some(entry)));
        }
        Err(unknown)
    }
}

impl Store for HttpStore {
    fn read<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Option<Entry>> {
        Box::pin(async move {
            let ask = Ask::new("read", key, Method::GET, format!("/kv/{key}"));
            let response = self.call(&ask).await?;
            match response.status() {
                StatusCode::OK => Ok(Some(entry(response))),
                StatusCode::NOT_FOUND => Ok(None),
                status => Err(self.protocol(&ask, status)),
            }
        })
    }

    fn compare_and_swap<'a>(
        &'a self,
        key: &'a str,
        expected: Version,
        writer: &'a str,
        value: Bytes,
    ) -> StoreFuture<'a, SwapOutcome> {
        Box::pin(async move {
            let path = format!("/kv/{key}?expected={expected}");
            let ask = Ask { writer, body: value, ..Ask::new("swap", key, Method::PUT, path) };
            let response = match self.call(&ask).await {
                Ok(response) => response,
                Err(error) if error.kind == ErrorKind::OutcomeUnknown => {
                    return self.resolve(&ask, expected, error).await;
                }
                Err(error) => return Err(error),
            };
            match response.status() {
                StatusCode::OK => Ok(SwapOutcome::Stored(version(&response))),
                StatusCode::CONFLICT => {
                    let entry = (version(&response) > 0).then(|| entry(response));
                    Ok(own_or_conflict(entry, writer))
                }
                status => Err(self.protocol(&ask, status)),
            }
        })
    }

    fn watch<'a>(
        &'a self,
        key: &'a str,
        after: Version,
        wait: Duration,
    ) -> StoreFuture<'a, Option<Entry>> {
        Box::pin(async move {
            let path = format!("/watch/{key}?after={after}&wait_ms={}", wait.as_millis());
            let ask = Ask { wait, ..Ask::new("watch", key, Method::GET, path) };
            let response = self.call(&ask).await?;
            match response.status() {
                StatusCode::OK => Ok(Some(entry(response))),
                StatusCode::NOT_MODIFIED | StatusCode::NOT_FOUND => Ok(None),
                status => Err(self.protocol(&ask, status)),
            }
        })
    }

    fn put_lease<'a>(&'a self, key: &'a str, value: Bytes, ttl: Duration) -> StoreFuture<'a, ()> {
        Box::pin(async move {
            let path = format!("/lease/{key}?ttl_ms={}", ttl.as_millis());
            let ask = Ask { body: value, ..Ask::new("lease", key, Method::PUT, path) };
            let response = self.call(&ask).await?;
            match response.status() {
                StatusCode::OK => Ok(()),
                status => Err(self.protocol(&ask, status)),
            }
        })
    }

    fn list_leases<'a>(&'a self, prefix: &'a str) -> StoreFuture<'a, Vec<Bytes>> {
        Box::pin(async move {
            let ask = Ask::new("list", prefix, Method::GET, format!("/list/{prefix}"));
            let response = self.call(&ask).await?;
            if response.status() != StatusCode::OK {
                return Err(self.protocol(&ask, response.status()));
            }
            let texts: Result<Vec<String>, _> = serde_json::from_slice(response.body());
            let bad = |error: serde_json::Error| ErrorKind::Protocol(error.to_string());
            let texts = texts.map_err(|error| self.error(&ask, bad(error)))?;
            Ok(texts.into_iter().map(Bytes::from).collect())
        })
    }
}

/// One call, as it goes over the wire.
struct Ask<'a> {
    step: &'static str,
    key: &'a str,
    method: Method,
    path: String,
    writer: &'a str,
    body: Bytes,
    wait: Duration,
}

impl<'a> Ask<'a> {
    fn new(step: &'static str, key: &'a str, method: Method, path: String) -> Self {
        Self { step, key, method, path, writer: "", body: Bytes::new(), wait: Duration::ZERO }
    }

    /// Every call is idempotent: a swap names its expected version and its writer.
    fn may_repeat(&self, kind: &ErrorKind) -> bool {
        let failed = matches!(kind, ErrorKind::Unreachable | ErrorKind::OutcomeUnknown);
        failed && self.wait.is_zero()
    }
}

/// A conflict with our own earlier try means that the earlier try was stored.
fn own_or_conflict(entry: Option<Entry>, writer: &str) -> SwapOutcome {
    match entry {
        Some(entry) if entry.write_id.as_ref() == writer => SwapOutcome::Stored(entry.version),
        other => SwapOutcome::Conflict(other),
    }
}

fn entry(response: Response<Bytes>) -> Entry {
    let version = version(&response);
    let writer =
        response.headers().get(wire::WRITE_ID_HEADER).and_then(|value| value.to_str().ok());
    Entry { version, write_id: Arc::from(writer.unwrap_or_default()), value: response.into_body() }
}

fn version(response: &Response<Bytes>) -> Version {
    let header = response.headers().get(wire::VERSION_HEADER).and_then(|value| value.to_str().ok());
    header.and_then(|text| text.parse().ok()).unwrap_or(0)
}

fn outcome_of(kind: &ErrorKind) -> &'static str {
    match kind {
        ErrorKind::Unreachable => "unreachable",
        ErrorKind::OutcomeUnknown => "unknown",
        ErrorKind::RateLimited => "budget",
        ErrorKind::Protocol(_) => "protocol",
    }
}

fn pause(tries: u32) -> Duration {
    let longest = FIRST_PAUSE * 2_u32.pow(tries - 1);
    longest.mul_f64(rand::rng().random_range(0.5..1.0))
}
