//! [`Store`] over the key-value service's HTTP protocol.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use rand::Rng;

use crate::error::{ErrorKind, StoreError};
use crate::pool::ConnectionPool;
use crate::rate_limit::{CallCounter, RateLimiter};
use crate::store::{Entry, Store, StoreFuture, SwapOutcome, Version};
use crate::wire;

/// Maximum number of attempts of one call.
const MAX_ATTEMPTS: u32 = 3;
/// Maximum backoff before the second attempt; it doubles with each further attempt.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Idle time after which a pooled connection is closed.
const POOL_IDLE: Duration = Duration::from_secs(5);
/// Maximum size of a response, in bytes; a list holds many values.
const MAX_RESPONSE_BYTES: usize = 4 * wire::MAX_VALUE_BYTES;

/// Client of the key-value service.
pub struct HttpStore {
    address: Arc<str>,
    pool: ConnectionPool,
    timeout: Duration,
    limiter: RateLimiter,
    counter: CallCounter,
}

impl HttpStore {
    /// Creates a client that makes at most `calls_per_s` calls per second.
    ///
    /// `timeout` applies to each attempt; `counter` counts attempts.
    pub fn new(
        address: SocketAddr,
        timeout: Duration,
        calls_per_s: u32,
        counter: CallCounter,
    ) -> Self {
        let pool = ConnectionPool::new(timeout, POOL_IDLE);
        let address = Arc::from(address.to_string());
        Self { address, pool, timeout, limiter: RateLimiter::new(calls_per_s), counter }
    }

    async fn call(&self, request: &StoreRequest<'_>) -> Result<Response<Bytes>, StoreError> {
        let mut attempts = 0;
        loop {
            attempts += 1;
            let result = self.call_once(request).await;
            let outcome = result.as_ref().map_or_else(outcome_label, |_| "ok");
            self.counter.with_label_values(&[request.step, outcome]).inc();
            match result {
                Err(kind) if attempts < MAX_ATTEMPTS && request.is_retryable(&kind) => {
                    tokio::time::sleep(backoff(attempts)).await;
                }
                other => return other.map_err(|kind| self.error(request, kind)),
            }
        }
    }

    async fn call_once(&self, request: &StoreRequest<'_>) -> Result<Response<Bytes>, ErrorKind> {
        if !self.limiter.try_acquire() {
            return Err(ErrorKind::RateLimited);
        }
        let uri = format!("http://{}{}", self.address, request.path);
        let http_request = Request::builder()
            .method(request.method.clone())
            .uri(uri)
            .header(wire::WRITE_ID_HEADER, request.write_id)
            .body(Full::new(request.body.clone()))
            .map_err(|error| ErrorKind::Protocol(error.to_string()))?;
        let pool = self.pool.current();
        let exchange = async {
            let response = pool.client.request(http_request).await.map_err(|error| {
                if error.is_connect() { ErrorKind::Unreachable } else { ErrorKind::OutcomeUnknown }
            })?;
            let (head, body) = response.into_parts();
            let body = Limited::new(body, MAX_RESPONSE_BYTES);
            let bytes = body.collect().await.map_err(|_| ErrorKind::OutcomeUnknown)?.to_bytes();
            Ok(Response::from_parts(head, bytes))
        };
        let result = tokio::time::timeout(self.timeout + request.wait, exchange).await;
        if result.is_err() {
            self.pool.give_up(&pool);
        }
        let response = result.unwrap_or(Err(ErrorKind::OutcomeUnknown))?;
        if response.status().is_server_error() {
            return Err(ErrorKind::OutcomeUnknown);
        }
        Ok(response)
    }

    fn error(&self, request: &StoreRequest<'_>, kind: ErrorKind) -> StoreError {
        StoreError {
            step: request.step,
            address: self.address.clone(),
            key: Arc::from(request.key),
            kind,
        }
    }

    fn status_error(&self, request: &StoreRequest<'_>, status: StatusCode) -> StoreError {
        self.error(request, ErrorKind::Protocol(status.to_string()))
    }

    /// Determines the outcome of a write whose response was lost, by reading the key back.
    ///
    /// Returns `original` if the outcome cannot be determined.
    async fn resolve_outcome(
        &self,
        request: &StoreRequest<'_>,
        expected: Version,
        original: StoreError,
    ) -> Result<SwapOutcome, StoreError> {
        let Some(entry) = self.read(request.key).await? else { return Err(original) };
        if entry.write_id.as_ref() == request.write_id {
            return Ok(SwapOutcome::Stored(entry.version));
        }
        // If the version rose by exactly one, another write succeeded at the expected version
        // and this one failed. If it rose further, this write may have been one
        // of those overwritten.
        if entry.version == expected + 1 {
            return Ok(SwapOutcome::Conflict(Some(entry)));
        }
        Err(original)
    }
}

impl Store for HttpStore {
    fn read<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Option<Entry>> {
        Box::pin(async move {
            let request = StoreRequest::new("read", key, Method::GET, format!("/kv/{key}"));
            let response = self.call(&request).await?;
            match response.status() {
                StatusCode::OK => Ok(Some(entry(response))),
                StatusCode::NOT_FOUND => Ok(None),
                status => Err(self.status_error(&request, status)),
            }
        })
    }

    fn compare_and_swap<'a>(
        &'a self,
        key: &'a str,
        expected: Version,
        write_id: &'a str,
        value: Bytes,
    ) -> StoreFuture<'a, SwapOutcome> {
        Box::pin(async move {
            let path = format!("/kv/{key}?expected={expected}");
            let request = StoreRequest {
                write_id,
                body: value,
                ..StoreRequest::new("swap", key, Method::PUT, path)
            };
            let response = match self.call(&request).await {
                Ok(response) => response,
                Err(error) if error.kind == ErrorKind::OutcomeUnknown => {
                    return self.resolve_outcome(&request, expected, error).await;
                }
                Err(error) => return Err(error),
            };
            match response.status() {
                StatusCode::OK => Ok(SwapOutcome::Stored(version(&response))),
                StatusCode::CONFLICT => {
                    let entry = (version(&response) > 0).then(|| entry(response));
                    Ok(own_or_conflict(entry, write_id))
                }
                status => Err(self.status_error(&request, status)),
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
            let request =
                StoreRequest { wait, ..StoreRequest::new("watch", key, Method::GET, path) };
            let response = self.call(&request).await?;
            match response.status() {
                StatusCode::OK => Ok(Some(entry(response))),
                StatusCode::NOT_MODIFIED | StatusCode::NOT_FOUND => Ok(None),
                status => Err(self.status_error(&request, status)),
            }
        })
    }

    fn put_lease<'a>(&'a self, key: &'a str, value: Bytes, ttl: Duration) -> StoreFuture<'a, ()> {
        Box::pin(async move {
            let path = format!("/lease/{key}?ttl_ms={}", ttl.as_millis());
            let request =
                StoreRequest { body: value, ..StoreRequest::new("lease", key, Method::PUT, path) };
            let response = self.call(&request).await?;
            match response.status() {
                StatusCode::OK => Ok(()),
                status => Err(self.status_error(&request, status)),
            }
        })
    }

    fn list_leases<'a>(&'a self, prefix: &'a str) -> StoreFuture<'a, Vec<Bytes>> {
        Box::pin(async move {
            let request = StoreRequest::new("list", prefix, Method::GET, format!("/list/{prefix}"));
            let response = self.call(&request).await?;
            if response.status() != StatusCode::OK {
                return Err(self.status_error(&request, response.status()));
            }
            let values: Result<Vec<String>, _> = serde_json::from_slice(response.body());
            let protocol_error = |error: serde_json::Error| ErrorKind::Protocol(error.to_string());
            let values = values.map_err(|error| self.error(&request, protocol_error(error)))?;
            Ok(values.into_iter().map(Bytes::from).collect())
        })
    }
}

/// An HTTP request of one call.
struct StoreRequest<'a> {
    step: &'static str,
    key: &'a str,
    method: Method,
    path: String,
    write_id: &'a str,
    body: Bytes,
    wait: Duration,
}

impl<'a> StoreRequest<'a> {
    fn new(step: &'static str, key: &'a str, method: Method, path: String) -> Self {
        Self { step, key, method, path, write_id: "", body: Bytes::new(), wait: Duration::ZERO }
    }

    /// Whether to retry after a failure. Every call is idempotent, since a compare-and-swap
    /// carries its expected version and write ID; long polls are not retried here.
    fn is_retryable(&self, kind: &ErrorKind) -> bool {
        let failed = matches!(kind, ErrorKind::Unreachable | ErrorKind::OutcomeUnknown);
        failed && self.wait.is_zero()
    }
}

/// Outcome of a conflict; if the stored value has this write's ID, an earlier attempt of the
/// same write succeeded.
fn own_or_conflict(entry: Option<Entry>, write_id: &str) -> SwapOutcome {
    match entry {
        Some(entry) if entry.write_id.as_ref() == write_id => SwapOutcome::Stored(entry.version),
        other => SwapOutcome::Conflict(other),
    }
}

fn entry(response: Response<Bytes>) -> Entry {
    let version = version(&response);
    let write_id =
        response.headers().get(wire::WRITE_ID_HEADER).and_then(|value| value.to_str().ok());
    Entry {
        version,
        write_id: Arc::from(write_id.unwrap_or_default()),
        value: response.into_body(),
    }
}

fn version(response: &Response<Bytes>) -> Version {
    let header = response.headers().get(wire::VERSION_HEADER).and_then(|value| value.to_str().ok());
    header.and_then(|text| text.parse().ok()).unwrap_or(0)
}

fn outcome_label(kind: &ErrorKind) -> &'static str {
    match kind {
        ErrorKind::Unreachable => "unreachable",
        ErrorKind::OutcomeUnknown => "unknown",
        ErrorKind::RateLimited => "budget",
        ErrorKind::Protocol(_) => "protocol",
    }
}

fn backoff(attempts: u32) -> Duration {
    let max_backoff = INITIAL_BACKOFF * 2_u32.pow(attempts - 1);
    max_backoff.mul_f64(rand::rng().random_range(0.5..1.0))
}
