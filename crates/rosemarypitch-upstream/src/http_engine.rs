//! [`EngineClient`] over the engines' HTTP protocol.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use rosemarypitch_route::AttemptId;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::mpsc;

use crate::client::{ClientError, HttpClient, Reuse};
use crate::engine::{DecodeStream, Endpoint, EngineClient, EngineFuture, FrameSender};
use crate::error::{ErrorKind, UpstreamError};
use crate::frame::Frame;
use crate::wire::{
    AttemptRequest, CacheEvents, DecodeRequest, LoadReport, Order, OrderResponse, PrefillRequest,
    PrefillResponse, WorkItem,
};

/// Number of frames of a stream that are buffered for its reader.
const STREAM_BUFFER: usize = 64;
/// Maximum length of a line of a stream, in bytes.
const MAX_LINE_BYTES: usize = 64 << 10;
/// Maximum size of a response other than a stream, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// Timeout for calls other than prefill and decode.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Client of model engines over HTTP.
#[derive(Clone)]
pub struct HttpEngineClient {
    client: HttpClient,
}

impl HttpEngineClient {
    /// Creates a client; clones of `client` share its connection pools.
    pub fn new(client: HttpClient) -> Self {
        Self { client }
    }

    async fn send(
        &self,
        request: EngineRequest<'_>,
        reuse: Reuse,
    ) -> Result<Response<Incoming>, UpstreamError> {
        let scheme = if request.engine.tls { "https" } else { "http" };
        let http_request = Request::builder()
            .method(request.method.clone())
            .uri(format!("{scheme}://{}{}", request.engine.address, request.path))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(request.body.clone()))
            .map_err(|error| request.error(ErrorKind::Protocol(error.to_string())))?;
        let response =
            self.client.send(http_request, reuse).await.map_err(|error| match error {
                ClientError::Connect => request.error(ErrorKind::Connect),
                ClientError::Lost => request.error(ErrorKind::Lost),
            })?;
        match response.status() {
            StatusCode::OK => Ok(response),
            StatusCode::SERVICE_UNAVAILABLE => Err(request.error(ErrorKind::Busy)),
            StatusCode::NOT_FOUND => Err(request.error(ErrorKind::NotHeld)),
            StatusCode::CONFLICT => {
                let fence = read_response(&request, response).await?;
                Err(request.error(ErrorKind::Fenced(fence)))
            }
            status => Err(request.error(ErrorKind::Refused(status.as_u16()))),
        }
    }

    /// Makes an idempotent call. If it fails on a pooled connection, which may be dead, it is
    /// retried once on a new connection.
    async fn call<T: DeserializeOwned>(
        &self,
        request: EngineRequest<'_>,
    ) -> Result<T, UpstreamError> {
        match self.call_once(request.clone(), Reuse::Pooled).await {
            Err(error) if matches!(error.kind, ErrorKind::Lost | ErrorKind::Timeout) => {
                self.call_once(request, Reuse::Fresh).await
            }
            other => other,
        }
    }

    async fn call_once<T: DeserializeOwned>(
        &self,
        request: EngineRequest<'_>,
        reuse: Reuse,
    ) -> Result<T, UpstreamError> {
        let exchange = async {
            let response = self.send(request.clone(), reuse).await?;
            read_response(&request, response).await
        };
        let result = tokio::time::timeout(CALL_TIMEOUT, exchange).await;
        result.unwrap_or_else(|_| Err(request.error(ErrorKind::Timeout)))
    }
}

impl EngineClient for HttpEngineClient {
    fn prefill<'a>(
        &'a self,
        engine: &'a Endpoint,
        request: &'a PrefillRequest,
    ) -> EngineFuture<'a, PrefillResponse> {
        Box::pin(async move {
            let request = EngineRequest::post("prefill", "/prefill", engine, request)?;
            let response = self.send(request.clone(), Reuse::Fresh).await?;
            read_response(&request, response).await
        })
    }

    fn decode<'a>(
        &'a self,
        engine: &'a Endpoint,
        request: &'a DecodeRequest,
    ) -> EngineFuture<'a, DecodeStream> {
        Box::pin(async move {
            let request = EngineRequest::post("decode", "/decode", engine, request)?;
            let response = self.send(request, Reuse::Fresh).await?;
            let (sender, stream) = mpsc::channel(STREAM_BUFFER);
            tokio::spawn(forward_frames(response.into_body(), engine.name.clone(), sender));
            Ok(stream)
        })
    }

    fn cancel<'a>(&'a self, engine: &'a Endpoint, attempt: &'a AttemptId) -> EngineFuture<'a, ()> {
        Box::pin(async move {
            let cancel = AttemptRequest { attempt: attempt.clone() };
            self.call(EngineRequest::post("cancel", "/cancel", engine, &cancel)?).await
        })
    }

    fn work<'a>(&'a self, engine: &'a Endpoint) -> EngineFuture<'a, Vec<WorkItem>> {
        Box::pin(self.call(EngineRequest::get("work", "/work".to_owned(), engine)))
    }

    fn load<'a>(&'a self, engine: &'a Endpoint) -> EngineFuture<'a, LoadReport> {
        Box::pin(self.call(EngineRequest::get("load", "/load".to_owned(), engine)))
    }

    fn events<'a>(&'a self, engine: &'a Endpoint, after: u64) -> EngineFuture<'a, CacheEvents> {
        Box::pin(self.call(EngineRequest::get("events", format!("/events?after={after}"), engine)))
    }

    fn order<'a>(
        &'a self,
        engine: &'a Endpoint,
        order: &'a Order,
    ) -> EngineFuture<'a, OrderResponse> {
        Box::pin(async move {
            let request = EngineRequest::post("order", "/order", engine, order)?;
            self.call_once(request, Reuse::Fresh).await
        })
    }
}

/// An HTTP request to an engine.
#[derive(Clone)]
struct EngineRequest<'a> {
    step: &'static str,
    method: Method,
    path: String,
    engine: &'a Endpoint,
    body: Bytes,
}

impl<'a> EngineRequest<'a> {
    fn get(step: &'static str, path: String, engine: &'a Endpoint) -> Self {
        Self { step, method: Method::GET, path, engine, body: Bytes::new() }
    }

    fn post(
        step: &'static str,
        path: &str,
        engine: &'a Endpoint,
        message: &impl Serialize,
    ) -> Result<Self, UpstreamError> {
        let mut request = Self { method: Method::POST, ..Self::get(step, path.to_owned(), engine) };
        let body = serde_json::to_vec(message);
        request.body =
            body.map_err(|error| request.error(ErrorKind::Protocol(error.to_string())))?.into();
        Ok(request)
    }

    fn error(&self, kind: ErrorKind) -> UpstreamError {
        UpstreamError::new(self.step, &self.engine.name, kind)
    }
}

async fn read_response<T: DeserializeOwned>(
    request: &EngineRequest<'_>,
    response: Response<Incoming>,
) -> Result<T, UpstreamError> {
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
    let bytes = body.collect().await.map_err(|_| request.error(ErrorKind::Lost))?.to_bytes();
    serde_json::from_slice(&bytes)
        .map_err(|error| request.error(ErrorKind::Protocol(error.to_string())))
}

/// Parses a stream's lines and forwards the frames, until the stream ends or breaks, or the
/// receiver is dropped.
async fn forward_frames(mut body: Incoming, engine_name: Arc<str>, sender: FrameSender) {
    let mut buffer = BytesMut::new();
    let fail = |kind| Err(UpstreamError::new("decode", &engine_name, kind));
    loop {
        let next = tokio::select! {
            next = body.frame() => next,
            () = sender.closed() => return,
        };
        let data = match next {
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            Some(Err(_)) => {
                let _ = sender.send(fail(ErrorKind::Lost)).await;
                return;
            }
            None => return,
        };
        buffer.extend_from_slice(&data);
        while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
            let line = buffer.split_to(end);
            buffer.advance(1);
            let parsed = serde_json::from_slice::<Frame>(&line);
            let frame = parsed.or_else(|error| fail(ErrorKind::Protocol(error.to_string())));
            if sender.send(frame).await.is_err() {
                return;
            }
        }
        if buffer.len() > MAX_LINE_BYTES {
            let _ = sender.send(fail(ErrorKind::Protocol("line too long".to_owned()))).await;
            return;
        }
    }
}
