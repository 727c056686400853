//! HTTP client for upstreams, with a new connection for each request.
//!
//! A pooled connection may have been dropped without notice, may still carry bytes that
//! belong to an earlier request, and a reset on it doesn't reveal whether the request ran. A
//! new connection costs a round trip within the region and avoids all three. Dropping an
//! [`Exchange`] closes its connection at once, which signals to the upstream that the
//! caller has disconnected.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, LazyLock};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::byte_account::{Buffer, ByteAccount};

/// Timeout for opening a connection; allows for a few round trips between data centres.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// TCP user timeout: the connection is closed when sent bytes stay unacknowledged for this
/// long. It exceeds the time for retransmissions on a link with a few percent packet loss.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum size of a response head, in bytes, and of the read buffer.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Maximum size of a buffered response body, in bytes.
const MAX_BUFFERED_BYTES: usize = 4 << 20;
/// Maximum size of all response bodies that are buffered and not passed on yet, in bytes. Servers
/// that send without end, and callers that read nothing, would otherwise take the host's memory.
const MAX_TOTAL_BUFFERED_BYTES: usize = 16 << 20;

/// Account of all response bodies.
static RESPONSE_BODIES: LazyLock<Arc<ByteAccount>> =
    LazyLock::new(|| ByteAccount::new(MAX_TOTAL_BUFFERED_BYTES));

/// An exchange without a usable response.
#[derive(Clone, Debug, thiserror::Error)]
#[error("upstream {address}: {step}: {reason}")]
pub struct SendError {
    /// Step of the exchange that failed.
    pub step: SendStep,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Description of the failure.
    pub reason: Arc<str>,
}

impl SendError {
    /// Whether the upstream certainly did not receive the request.
    pub fn is_unsent(&self) -> bool {
        self.step == SendStep::Connect
    }
}

/// Step of an exchange with an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendStep {
    /// Opening the connection.
    Connect,
    /// Sending the request and waiting for the response head.
    Response,
    /// Reading the response body.
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

/// A response whose body has not been read yet.
#[derive(Debug)]
pub struct Exchange {
    /// Response head and the unread body.
    pub response: Response<Incoming>,
    /// Connection that the body is read from.
    pub connection: Connection,
}

/// An open connection, closed on drop.
#[derive(Debug)]
pub struct Connection {
    task: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Sends a request and waits for the response head.
pub async fn send(address: SocketAddr, request: Request<Bytes>) -> Result<Exchange, SendError> {
    send_on(connect(address).await?, address, request).await
}

/// Sends a request on a new connection and waits for the response head.
pub async fn send_on(
    stream: TcpStream,
    address: SocketAddr,
    request: Request<Bytes>,
) -> Result<Exchange, SendError> {
    let to_error = |error: hyper::Error| SendError {
        step: SendStep::Response,
        address,
        reason: Arc::from(describe(&error)),
    };
    let mut builder = http1::Builder::new();
    builder.max_buf_size(MAX_HEAD_BYTES);
    let (mut sender, connection) =
        builder.handshake(TokioIo::new(stream)).await.map_err(to_error)?;
    let task = tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("client: connection to {address} ended: {error}");
        }
    });
    let connection = Connection { task };
    let response = sender.send_request(request.map(Full::new)).await.map_err(to_error)?;
    Ok(Exchange { response, connection })
}

/// Sends a request and reads the complete response.
pub async fn send_buffered(
    address: SocketAddr,
    request: Request<Bytes>,
) -> Result<Response<Bytes>, SendError> {
    read_buffered(address, send(address, request).await?).await
}

/// Reads the response body of an exchange; fails if it exceeds the size limits.
pub async fn read_buffered(
    address: SocketAddr,
    exchange: Exchange,
) -> Result<Response<Bytes>, SendError> {
    let to_error =
        |reason: String| SendError { step: SendStep::Body, address, reason: Arc::from(reason) };
    let (head, mut body) = exchange.response.into_parts();
    let mut buffer = Buffer::new(Instant::now(), &RESPONSE_BODIES, MAX_BUFFERED_BYTES);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| to_error(describe(&error)))?;
        let Ok(data) = frame.into_data() else { continue };
        if let Err(error) = buffer.add(Instant::now(), &mut &data[..]) {
            return Err(to_error(format!("{error} after {} bytes", buffer.length())));
        }
    }
    let body = buffer.join().map_err(|error| to_error(error.to_string()))?;
    Ok(Response::from_parts(head, body))
}

/// Whether connections to an address are refused, as after the crash of a process. No connection
/// in time, or any other error, may have its cause in the network or in this host.
pub async fn is_refused(address: SocketAddr) -> bool {
    match tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Err(error)) => {
            log::debug!("client: check of {address}: {error}");
            error.kind() == io::ErrorKind::ConnectionRefused
        }
        Ok(Ok(_)) | Err(_) => false,
    }
}

/// Opens a connection to an upstream.
pub async fn connect(address: SocketAddr) -> Result<TcpStream, SendError> {
    let to_error =
        |reason: String| SendError { step: SendStep::Connect, address, reason: Arc::from(reason) };
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = connected.map_err(|_| to_error("no connection in time".to_owned()))?;
    let stream = stream.map_err(|error| to_error(error.to_string()))?;
    stream.set_nodelay(true).map_err(|error| to_error(error.to_string()))?;
    if let Err(error) = SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKED_TIMEOUT)) {
        log::debug!(
            "client: cannot set the TCP user timeout on the connection to {address}: {error}"
        );
    }
    Ok(stream)
}

/// Formats an error with its source, which is usually more specific.
fn describe(error: &hyper::Error) -> String {
    match std::error::Error::source(error) {
        Some(cause) => format!("{error}: {cause}"),
        None => error.to_string(),
    }
}
