//! HTTP server of the stand-in engine; `rosemarypitch_upstream::wire` describes the protocol.

use std::convert::Infallible;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame as BodyFrame, Incoming};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use rosemarypitch_upstream::wire::{
    AttemptRequest, DecodeRequest, ExportResponse, Order, PrefillRequest,
};
use rosemarypitch_upstream::{DecodeStream, ErrorKind};
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

use crate::engine::Engine;
use crate::http::{self as server, Dropped, Reply};

/// Maximum number of frames buffered for a slow reader.
const STREAM_BUFFER: usize = 1_024;

/// Serves an engine over HTTP, until accepting a connection fails or the task is dropped.
///
/// # Errors
///
/// When accepting a connection fails.
pub async fn serve_engine(listener: TcpListener, engine: Arc<Engine>) -> io::Result<()> {
    server::serve(listener, engine, handle).await
}

async fn handle(engine: Arc<Engine>, request: Request<Incoming>) -> Result<Reply, Dropped> {
    if engine.is_stopped() {
        return Err(Dropped);
    }
    if engine.is_unresponsive() {
        return std::future::pending().await;
    }
    let (head, body) = request.into_parts();
    match (head.method, head.uri.path()) {
        (Method::POST, "/prefill") => {
            let request: PrefillRequest = server::read(body).await?;
            // Spawned, so that the prefill continues when the caller disconnects.
            let run = tokio::spawn(async move { engine.prefill(&request).await });
            respond(run.await.map_err(|_| Dropped)?)
        }
        (Method::POST, "/decode") => decode(engine, server::read(body).await?).await,
        (Method::POST, "/export") => {
            let request: AttemptRequest = server::read(body).await?;
            respond(engine.export(&request.attempt).await)
        }
        (Method::POST, "/cancel") => {
            let request: AttemptRequest = server::read(body).await?;
            engine.cancel(&request.attempt);
            server::json(StatusCode::OK, &())
        }
        (Method::POST, "/order") => {
            let order: Order = server::read(body).await?;
            respond(engine.order(&order))
        }
        (Method::POST, "/leaving") => {
            engine.set_leaving(server::read(body).await?);
            server::json(StatusCode::OK, &())
        }
        (Method::GET, "/work") => server::json(StatusCode::OK, &engine.work()),
        (Method::GET, "/load") => server::json(StatusCode::OK, &engine.load()),
        (Method::GET, "/events") => {
            let query = head.uri.query().and_then(|query| query.strip_prefix("after="));
            let after = query.and_then(|number| number.parse().ok()).unwrap_or(0);
            server::json(StatusCode::OK, &engine.events(after))
        }
        _ => server::json(StatusCode::NOT_FOUND, &"no such route"),
    }
}

fn respond(result: Result<impl Serialize, ErrorKind>) -> Result<Reply, Dropped> {
    match result {
        Ok(value) => server::json(StatusCode::OK, &value),
        Err(kind) => error_response(kind),
    }
}

fn error_response(kind: ErrorKind) -> Result<Reply, Dropped> {
    match kind {
        ErrorKind::Busy => server::json(StatusCode::SERVICE_UNAVAILABLE, &"busy"),
        ErrorKind::NotHeld => server::json(StatusCode::NOT_FOUND, &"not held"),
        ErrorKind::Fenced(fence) => server::json(StatusCode::CONFLICT, &fence),
        _ => Err(Dropped),
    }
}

/// Imports a prefill's result and responds with the stream of tokens.
async fn decode(engine: Arc<Engine>, request: DecodeRequest) -> Result<Reply, Dropped> {
    let mut cancel_signal = match engine.admit(&request.attempt) {
        Ok(cancel_signal) => cancel_signal,
        Err(kind) => return error_response(kind),
    };
    let importer = engine.clone();
    let import_request = request.clone();
    let imported = tokio::spawn(async move {
        let result = tokio::select! {
            result = import(&import_request) => result,
            _ = cancel_signal.changed() => Err(ErrorKind::NotHeld),
        };
        if result.is_err() {
            importer.release_slot(&import_request.attempt);
        }
        result.map(|export| (export, cancel_signal))
    });
    let (export, cancel_signal) = match imported.await.map_err(|_| Dropped)? {
        Ok(imported) => imported,
        Err(kind) => return error_response(kind),
    };
    let (tokens, stream) = mpsc::channel(STREAM_BUFFER);
    tokio::spawn(engine.stream(request, export, cancel_signal, tokens));
    let body = FrameBody(stream);
    Ok(Response::new(body.boxed()))
}

/// Fetches a prefill's result from the engine that holds it.
async fn import(decode_request: &DecodeRequest) -> Result<ExportResponse, ErrorKind> {
    let client: Client<HttpConnector, Full<Bytes>> =
        Client::builder(TokioExecutor::new()).pool_max_idle_per_host(0).build_http();
    let export_request = AttemptRequest { attempt: decode_request.attempt.clone() };
    let body = serde_json::to_vec(&export_request).map_err(|_| ErrorKind::Lost)?;
    let request = Request::post(format!("http://{}/export", decode_request.source))
        .body(Full::new(Bytes::from(body)))
        .map_err(|_| ErrorKind::Lost)?;
    let response = client.request(request).await.map_err(|_| ErrorKind::Connect)?;
    if response.status() != StatusCode::OK {
        return Err(ErrorKind::NotHeld);
    }
    let body = response.into_body().collect().await.map_err(|_| ErrorKind::Lost)?;
    serde_json::from_slice(&body.to_bytes()).map_err(|_| ErrorKind::Lost)
}

/// Response body with a stream's frames, one JSON object per line.
struct FrameBody(DecodeStream);

impl Body for FrameBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<BodyFrame<Bytes>, Infallible>>> {
        self.0.poll_recv(context).map(|item| {
            let mut line = serde_json::to_vec(&item?.ok()?).ok()?;
            line.push(b'\n');
            Some(Ok(BodyFrame::data(Bytes::from(line))))
        })
    }
}
