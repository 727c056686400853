//! Model engines over HTTP.

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

/// Frames of a stream that may wait to be read.
const STREAM_BUFFER: usize = 64;
/// Longest line of a stream, in bytes.
const MAX_LINE_BYTES: usize = 64 << 10;
/// Largest answer to a call, in bytes.
const MAX_ANSWER_BYTES: usize = 4 << 20;
/// Longest wait for the answer to a short call.
const CALL_TIME: Duration = Duration::from_secs(1);

/// Model engines over HTTP.
#[derive(Clone)]
pub struct HttpEngineClient {
    client: HttpClient,
}

impl HttpEngineClient {
    /// Makes the edge.
    pub fn new(client: HttpClient) -> Self {
        Self { client }
    }

    async fn open(&self, ask: Ask<'_>, reuse: Reuse) -> Result<Response<Incoming>, UpstreamError> {
        let scheme = if ask.engine.tls { "https" } else { "http" };
        let request = Request::builder()
            .method(ask.method.clone())
            .uri(format!("{scheme}://{}{}", ask.engine.address, ask.path))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(ask.body.clone()))
            .map_err(|error| ask.error(ErrorKind::Protocol(error.to_string())))?;
        let response = self.client.send(request, reuse).await.map_err(|error| match error {
            ClientError::Connect => ask.error(ErrorKind::Connect),
            ClientError::Lost => ask.error(ErrorKind::Lost),
        })?;
        match response.status() {
            StatusCode::OK => Ok(response),
            StatusCode::SERVICE_UNAVAILABLE => Err(ask.error(ErrorKind::Busy)),
            StatusCode::NOT_FOUND => Err(ask.error(ErrorKind::NotHeld)),
            StatusCode::CONFLICT => {
                let fence = read_answer(&ask, response).await?;
                Err(ask.error(ErrorKind::Fenced(fence)))
            }
            status => Err(ask.error(ErrorKind::Refused(status.as_u16()))),
        }
    }

    /// A short call; a second try on a fresh connection meets pooled ones gone silent.
    async fn call<T: DeserializeOwned>(&self, ask: Ask<'_>) -> Result<T, UpstreamError> {
        match self.call_once(ask.clone(), Reuse::Pooled).await {
            Err(error) if matches!(error.kind, ErrorKind::Lost | ErrorKind::Timeout) => {
                self.call_once(ask, Reuse::Fresh).await
            }
            other => other,
        }
    }

    async fn call_once<T: DeserializeOwned>(
        &self,
        ask: Ask<'_>,
        reuse: Reuse,
    ) -> Result<T, UpstreamError> {
        let exchange = async {
            let response = self.open(ask.clone(), reuse).await?;
            read_answer(&ask, response).await
        };
        let answer = tokio::time::timeout(CALL_TIME, exchange).await;
        answer.unwrap_or_else(|_| Err(ask.error(ErrorKind::Timeout)))
    }
}

impl EngineClient for HttpEngineClient {
    fn prefill<'a>(
        &'a self,
        engine: &'a Endpoint,
        ask: &'a PrefillRequest,
    ) -> EngineFuture<'a, PrefillResponse> {
        Box::pin(async move {
            let ask = Ask::post("prefill", "/prefill", engine, ask)?;
            let response = self.open(ask.clone(), Reuse::Fresh).await?;
            read_answer(&ask, response).await
        })
    }

    fn decode<'a>(
        &'a self,
        engine: &'a Endpoint,
        ask: &'a DecodeRequest,
    ) -> EngineFuture<'a, DecodeStream> {
        Box::pin(async move {
            let ask = Ask::post("decode", "/decode", engine, ask)?;
            let response = self.open(ask, Reuse::Fresh).await?;
            let (tokens, stream) = mpsc::channel(STREAM_BUFFER);
            tokio::spawn(pump(response.into_body(), engine.name.clone(), tokens));
            Ok(stream)
        })
    }

    fn cancel<'a>(&'a self, engine: &'a Endpoint, attempt: &'a AttemptId) -> EngineFuture<'a, ()> {
        Box::pin(async move {
            let cancel = AttemptRequest { attempt: attempt.clone() };
            self.call(Ask::post("cancel", "/cancel", engine, &cancel)?).await
        })
    }

    fn work<'a>(&'a self, engine: &'a Endpoint) -> EngineFuture<'a, Vec<WorkItem>> {
        Box::pin(self.call(Ask::read("work", "/work".to_owned(), engine)))
    }

    fn load<'a>(&'a self, engine: &'a Endpoint) -> EngineFuture<'a, LoadReport> {
        Box::pin(self.call(Ask::read("load", "/load".to_owned(), engine)))
    }

    fn events<'a>(&'a self, engine: &'a Endpoint, after: u64) -> EngineFuture<'a, CacheEvents> {
        Box::pin(self.call(Ask::read("events", format!("/events?after={after}"), engine)))
    }

    fn order<'a>(
        &'a self,
        engine: &'a Endpoint,
        order: &'a Order,
    ) -> EngineFuture<'a, OrderResponse> {
        Box::pin(async move {
            let ask = Ask::post("order", "/order", engine, order)?;
            self.call_once(ask, Reuse::Fresh).await
        })
    }
}

/// One call, as it goes over the wire.
#[derive(Clone)]
struct Ask<'a> {
    step: &'static str,
    method: Method,
    path: String,
    engine: &'a Endpoint,
    body: Bytes,
}

impl<'a> Ask<'a> {
    fn read(step: &'static str, path: String, engine: &'a Endpoint) -> Self {
        Self { step, method: Method::GET, path, engine, body: Bytes::new() }
    }

    fn post(
        step: &'static str,
        path: &str,
        engine: &'a Endpoint,
        message: &impl Serialize,
    ) -> Result<Self, UpstreamError> {
        let mut ask = Self { method: Method::POST, ..Self::read(step, path.to_owned(), engine) };
        let body = serde_json::to_vec(message);
        ask.body = body.map_err(|error| ask.error(ErrorKind::Protocol(error.to_string())))?.into();
        Ok(ask)
    }

    fn error(&self, kind: ErrorKind) -> UpstreamError {
        UpstreamError::new(self.step, &self.engine.name, kind)
    }
}

async fn read_answer<T: DeserializeOwned>(
    ask: &Ask<'_>,
    response: Response<Incoming>,
) -> Result<T, UpstreamError> {
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
    let bytes = body.collect().await.map_err(|_| ask.error(ErrorKind::Lost))?.to_bytes();
    serde_json::from_slice(&bytes)
        .map_err(|error| ask.error(ErrorKind::Protocol(error.to_string())))
}

/// Reads a stream's lines until it ends, breaks, or nobody reads it any more.
async fn pump(mut body: Incoming, peer: Arc<str>, tokens: FrameSender) {
    let mut buffer = BytesMut::new();
    let fail = |kind| Err(UpstreamError::new("decode", &peer, kind));
    loop {
        let next = tokio::select! {
            next = body.frame() => next,
            () = tokens.closed() => return,
        };
        let data = match next {
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            Some(Err(_)) => {
                let _ = tokens.send(fail(ErrorKind::Lost)).await;
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
            if tokens.send(frame).await.is_err() {
                return;
            }
        }
        if buffer.len() > MAX_LINE_BYTES {
            let _ = tokens.send(fail(ErrorKind::Protocol("line too long".to_owned()))).await;
            return;
        }
    }
}
