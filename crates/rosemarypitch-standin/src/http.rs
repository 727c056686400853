//! Minimal HTTP/1 server for the stand-ins.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::sync::Arc;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;

/// Response of a stand-in, with a boxed body.
pub type Reply = Response<BoxBody<Bytes, Infallible>>;

/// Error of a handler that makes the server drop the connection without a response.
#[derive(Debug, thiserror::Error)]
#[error("connection dropped on purpose")]
pub struct Dropped;

/// Serves requests with a handler and its shared state, until accepting a connection fails.
pub async fn serve<S, H, F>(listener: TcpListener, shared: Arc<S>, handle: H) -> io::Result<()>
where
    S: Send + Sync + 'static,
    H: Fn(Arc<S>, Request<Incoming>) -> F + Copy + Send + Sync + 'static,
    F: Future<Output = Result<Reply, Dropped>> + Send + 'static,
{
    loop {
        let (stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        let shared = shared.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| handle(shared.clone(), request));
            // An error affects only this connection, and its peer notices it.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

/// Reads a complete request body and parses it as JSON.
pub async fn read<T: DeserializeOwned>(body: Incoming) -> Result<T, Dropped> {
    let bytes = body.collect().await.map_err(|_| Dropped)?.to_bytes();
    serde_json::from_slice(&bytes).map_err(|_| Dropped)
}

/// Builds a JSON response.
pub fn json(status: StatusCode, value: &impl Serialize) -> Result<Reply, Dropped> {
    let bytes = serde_json::to_vec(value).map_err(|_| Dropped)?;
    Ok(reply(status, Bytes::from(bytes)))
}

/// Builds a response with a body.
pub fn reply(status: StatusCode, body: Bytes) -> Reply {
    let mut reply = Response::new(Full::new(body).boxed());
    *reply.status_mut() = status;
    reply
}
