//! HTTP client shared by all clients of upstreams.

use std::error::Error;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::BodyExt;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::{Body, Incoming};
use hyper_rustls::{HttpsConnector, HttpsConnectorBuilder};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

/// Timeout for opening a TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle time after which a pooled connection is closed.
const POOL_IDLE: Duration = Duration::from_secs(2);

/// Size of a connection's read buffer, in bytes; every open stream has a connection and thus
/// a buffer of its own.
const READ_BUFFER_BYTES: usize = 4 << 10;

/// Body of a request.
pub type SendBody = UnsyncBoxBody<Bytes, Box<dyn Error + Send + Sync>>;

type Pool = legacy::Client<HttpsConnector<HttpConnector>, SendBody>;

/// Whether a call may use a pooled connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// It may; for idempotent calls, since a pooled connection may turn out to be dead.
    Pooled,
    /// It opens a connection of its own, so the connection is known to work.
    Fresh,
}

/// Cause of a failed HTTP call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientError {
    /// The connection could not be opened; nothing was sent.
    Connect,
    /// The connection broke after part of the request may have been sent.
    Lost,
}

/// Client for HTTP/1.1, with or without TLS.
#[derive(Clone)]
pub struct HttpClient {
    pooled: Pool,
    fresh: Pool,
}

impl HttpClient {
    /// Creates a client that uses the given configuration for TLS.
    pub fn new(tls: Arc<rustls::ClientConfig>) -> Self {
        let build = |max_idle: usize| {
            legacy::Client::builder(TokioExecutor::new())
                .pool_max_idle_per_host(max_idle)
                .pool_idle_timeout(POOL_IDLE)
                .pool_timer(TokioTimer::new())
                .retry_canceled_requests(false)
                .http1_read_buf_exact_size(READ_BUFFER_BYTES)
                .build(connector(&tls))
        };
        Self { pooled: build(usize::MAX), fresh: build(0) }
    }

    /// Sends a request and waits for the head of the response.
    pub async fn send<B>(
        &self,
        request: Request<B>,
        reuse: Reuse,
    ) -> Result<Response<Incoming>, ClientError>
    where
        B: Body<Data = Bytes> + Send + 'static,
        B::Error: Into<Box<dyn Error + Send + Sync>>,
    {
        let pool = match reuse {
            Reuse::Pooled => &self.pooled,
            Reuse::Fresh => &self.fresh,
        };
        let request = request.map(|body| body.map_err(Into::into).boxed_unsync());
        pool.request(request).await.map_err(|error| {
            if error.is_connect() { ClientError::Connect } else { ClientError::Lost }
        })
    }
}

fn connector(tls: &Arc<rustls::ClientConfig>) -> HttpsConnector<HttpConnector> {
    let mut http = HttpConnector::new();
    http.set_connect_timeout(Some(CONNECT_TIMEOUT));
    http.set_nodelay(true);
    http.enforce_http(false);
    HttpsConnectorBuilder::new()
        .with_tls_config(tls.as_ref().clone())
        .https_or_http()
        .enable_http1()
        .wrap_connector(http)
}
