//! Client of plain services.

use std::error::Error;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use hyper::body::{Body, Incoming};

use crate::client::{ClientError, HttpClient, Reuse};
use crate::engine::Endpoint;
use crate::error::{ErrorKind, UpstreamError};

/// Sends requests to plain services.
#[derive(Clone)]
pub struct ServiceClient {
    client: HttpClient,
}

impl ServiceClient {
    /// Creates a client; clones of `client` share its connection pools.
    pub fn new(client: HttpClient) -> Self {
        Self { client }
    }

    /// Sends a request once and waits up to `timeout` for the head of the response.
    ///
    /// Only the path and query of the request's URI are used; scheme and address come from
    /// `server`.
    pub async fn send<B>(
        &self,
        server: &Endpoint,
        mut request: Request<B>,
        reuse: Reuse,
        timeout: Duration,
    ) -> Result<Response<Incoming>, UpstreamError>
    where
        B: Body<Data = Bytes> + Send + 'static,
        B::Error: Into<Box<dyn Error + Send + Sync>>,
    {
        let fail = |kind| UpstreamError::new("call", &server.name, kind);
        let scheme = if server.tls { "https" } else { "http" };
        let target = request.uri().path_and_query().map_or("/", |target| target.as_str());
        let uri = format!("{scheme}://{}{target}", server.address).parse();
        *request.uri_mut() =
            uri.map_err(|error| fail(ErrorKind::Protocol(format!("target: {error}"))))?;
        let result = tokio::time::timeout(timeout, self.client.send(request, reuse)).await;
        match result {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(ClientError::Connect)) => Err(fail(ErrorKind::Connect)),
            Ok(Err(ClientError::Lost)) => Err(fail(ErrorKind::Lost)),
            Err(_) => Err(fail(ErrorKind::Timeout)),
        }
    }
}
