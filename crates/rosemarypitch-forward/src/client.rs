//! Exchanges with upstreams, each on a connection of its own.
//!
//! A connection that was used before may have been dropped without notice, may carry bytes
//! that belong to an earlier request, and resets tell nothing of what ran. A new one costs
//! a round trip in the region and spares all three. Dropping an [`Exchange`] closes its
//! connection at once, which is how an upstream learns that a caller has left.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Longest time to open a connection: some round trips between data centres.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time after which unacknowledged bytes break a connection; longer than a lost packet's
/// repeats on a link that loses a few in a hundred.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(4);
/// Largest answer that is read whole, in bytes.
const MAX_BUFFERED_BYTES: usize = 4 << 20;

/// An upstream that gave no usable answer.
#[derive(Clone, Debug, thiserror::Error)]
#[error("upstream {address}: {step}: {reason}")]
pub struct SendError {
    /// The step that failed.
    pub step: SendStep,
    /// The upstream's address.
    pub address: SocketAddr,
    /// What went wrong.
    pub reason: Arc<str>,
}

impl SendError {
    /// Whether the upstream has certainly not seen the request.
    pub fn is_unsent(&self) -> bool {
        self.step == SendStep::Connect
    }
}

/// A step of an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendStep {
    /// Opening the connection.
    Connect,
    /// Sending the request and waiting for the answer's head.
    Response,
    /// Reading the answer's body.
    Body,
}

impl std::fmt::Display for SendStep {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Connect => "connect",
            Self::Response => "answer",
            Self::Body => "body",
        })
    }
}

/// An answer whose body may still be on its way.
#[derive(Debug)]
pub struct Exchange {
    /// The answer.
    pub response: Response<Incoming>,
    /// Keeps the connection open.
    pub connection: Connection,
}

/// An open connection; closed when dropped.
#[derive(Debug)]
pub struct Connection {
    task: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Sends a request and waits for the head of its answer.
pub async fn send(address: SocketAddr, request: Request<Bytes>) -> Result<Exchange, SendError> {
    let stream = connect(address).await?;
    let to_error = |error: hyper::Error| SendError {
        step: SendStep::Response,
        address,
        reason: Arc::from(describe(&error)),
    };
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(to_error)?;
    let task = tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("client: connection to {address} ended: {error}");
        }
    });
    let connection = Connection { task };
    let response = sender.send_request(request.map(Full::new)).await.map_err(to_error)?;
    Ok(Exchange { response, connection })
}

/// Sends a request and reads the whole answer.
pub async fn send_buffered(
    address: SocketAddr,
    request: Request<Bytes>,
) -> Result<Response<Bytes>, SendError> {
    read_buffered(address, send(address, request).await?).await
}

/// Reads the rest of an answer.
pub async fn read_buffered(
    address: SocketAddr,
    exchange: Exchange,
) -> Result<Response<Bytes>, SendError> {
    let (head, body) = exchange.response.into_parts();
    let collected = Limited::new(body, MAX_BUFFERED_BYTES).collect().await;
    let collected = collected.map_err(|error| SendError {
        step: SendStep::Body,
        address,
        reason: Arc::from(error.to_string()),
    })?;
    Ok(Response::from_parts(head, collected.to_bytes()))
}

async fn connect(address: SocketAddr) -> Result<TcpStream, SendError> {
    let to_error =
        |reason: String| SendError { step: SendStep::Connect, address, reason: Arc::from(reason) };
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = connected.map_err(|_| to_error("no connection in time".to_owned()))?;
    let stream = stream.map_err(|error| to_error(error.to_string()))?;
    stream.set_nodelay(true).map_err(|error| to_error(error.to_string()))?;
    if let Err(error) = SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKED_TIMEOUT)) {
        log::debug!("client: no timeout for unacknowledged bytes to {address}: {error}");
    }
    Ok(stream)
}

/// An error with its cause, which says more than the error itself.
fn describe(error: &hyper::Error) -> String {
    match std::error::Error::source(error) {
        Some(cause) => format!("{error}: {cause}"),
        None => error.to_string(),
    }
}
