//! HTTP client shared by all upstream edges.

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

/// Longest time to open a connection.
const CONNECT_TIME: Duration = Duration::from_millis(500);
/// Idle time after which a pooled connection is closed.
const POOL_IDLE: Duration = Duration::from_secs(2);

/// Read buffer of a connection, in bytes; there is one for each open stream.
const READ_BYTES: usize = 4 << 10;

/// A body that a client sends.
pub type SendBody = UnsyncBoxBody<Bytes, Box<dyn Error + Send + Sync>>;

type Inner = legacy::Client<HttpsConnector<HttpConnector>, SendBody>;

/// Whether a call may use a connection that served another call before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// It may; for idempotent calls.
    Pooled,
    /// It opens its own, which is thereby proven to work.
    Fresh,
}

/// Why a client call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientError {
    /// No connection; nothing was sent.
    Connect,
    /// It broke after something may have been sent.
    Lost,
}

/// Client for HTTP/1.1, plain or by TLS.
#[derive(Clone)]
pub struct HttpClient {
    pooled: Inner,
    fresh: Inner,
}

impl HttpClient {
    /// Makes a client that trusts the given roots for TLS.
    pub fn new(tls: Arc<rustls::ClientConfig>) -> Self {
        let build = |idle: usize| {
            legacy::Client::builder(TokioExecutor::new())
                .pool_max_idle_per_host(idle)
                .pool_idle_timeout(POOL_IDLE)
                .pool_timer(TokioTimer::new())
                .retry_canceled_requests(false)
                .http1_read_buf_exact_size(READ_BYTES)
                .build(connector(&tls))
        };
        Self { pooled: build(usize::MAX), fresh: build(0) }
    }

    /// Sends a request and waits for the answer's head.
    pub async fn send<B>(
        &self,
        request: Request<B>,
        reuse: Reuse,
    ) -> Result<Response<Incoming>, ClientError>
    where
        B: Body<Data = Bytes> + Send + 'static,
        B::Error: Into<Box<dyn Error + Send + Sync>>,
    {
        let inner = match reuse {
            Reuse::Pooled => &self.pooled,
            Reuse::Fresh => &self.fresh,
        };
        let request = request.map(|body| body.map_err(Into::into).boxed_unsync());
        inner.request(request).await.map_err(|error| {
            if error.is_connect() { ClientError::Connect } else { ClientError::Lost }
        })
    }
}

fn connector(tls: &Arc<rustls::ClientConfig>) -> HttpsConnector<HttpConnector> {
    let mut http = HttpConnector::new();
    http.set_connect_timeout(Some(CONNECT_TIME));
    http.set_nodelay(true);
    http.enforce_http(false);
    HttpsConnectorBuilder::new()
        .with_tls_config(tls.as_ref().clone())
        .https_or_http()
        .enable_http1()
        .wrap_connector(http)
}
