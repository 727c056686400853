//! HTTP client for upstreams, with a new connection for each request.
//!
//! A pooled connection may have been dropped without notice, may still carry bytes that
//! belong to an earlier request, and a reset on it doesn't reveal whether the request ran. A
//! new connection costs a round trip within the region and avoids all three. Dropping an
//! [`Exchange`] closes its connection at once, which signals to the upstream that the
//! caller has disconnected.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Timeout for opening a connection; allows for a few round trips between data centres.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// TCP user timeout: the connection is closed when sent bytes stay unacknowledged for this
/// long. It exceeds the time for retransmissions on a link with a few percent packet loss.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum size of a response head, in bytes, and of the read buffer.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Maximum size of a buffered response body, in bytes.
const MAX_BUFFERED_BYTES: usize = 4 << 20;
/// Minimum size of a block of a buffered response body, in bytes.
const MIN_BLOCK_BYTES: usize = 1 << 10;
/// Maximum size of a block of a buffered response body, in bytes.
const MAX_BLOCK_BYTES: usize = 64 << 10;
/// Maximum size of the blocks of all response bodies that are being buffered, in bytes. Servers that send
/// without end would otherwise take the host's memory together.
const MAX_TOTAL_BUFFERED_BYTES: usize = 16 << 20;

/// Size of the blocks of all response bodies that are being buffered, in bytes.
static TOTAL_BUFFERED_BYTES: AtomicUsize = AtomicUsize::new(0);

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
    let mut buffer = Buffer::default();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| to_error(describe(&error)))?;
        let Ok(data) = frame.into_data() else { continue };
        if !buffer.add(&data) {
            return Err(to_error(format!("body too long after {} bytes", buffer.length)));
        }
    }
    Ok(Response::from_parts(head, buffer.join()))
}

/// A response body that is being buffered.
///
/// It grows by blocks that are never moved. A single allocation that doubles would be copied
/// again and again, and the parts that it leaves behind take several times its size.
#[derive(Default)]
struct Buffer {
    blocks: Vec<BytesMut>,
    /// Size of the received bytes.
    length: usize,
    /// Size of the blocks, counted in the total until dropped.
    allocated: usize,
}

impl Buffer {
    /// Adds received bytes; false if that exceeds a limit.
    fn add(&mut self, mut data: &[u8]) -> bool {
        if self.length + data.len() > MAX_BUFFERED_BYTES {
            return false;
        }
        self.length += data.len();
        while !data.is_empty() {
            if self.blocks.last().is_none_or(|block| block.len() == block.capacity())
                && !self.add_block(data.len())
            {
                return false;
            }
            let Some(block) = self.blocks.last_mut() else { return false };
            let (part, rest) = data.split_at(data.len().min(block.capacity() - block.len()));
            block.extend_from_slice(part);
            data = rest;
        }
        true
    }

    /// Adds a block, for at least the given size if that is allowed; false if the total
    /// exceeds its limit.
    fn add_block(&mut self, size: usize) -> bool {
        let size = size.max(self.allocated).clamp(MIN_BLOCK_BYTES, MAX_BLOCK_BYTES);
        self.allocated += size;
        let total = TOTAL_BUFFERED_BYTES.fetch_add(size, Ordering::Relaxed) + size;
        if total > MAX_TOTAL_BUFFERED_BYTES {
            return false;
        }
        self.blocks.push(BytesMut::with_capacity(size));
        true
    }

    fn join(mut self) -> Bytes {
        let mut blocks = std::mem::take(&mut self.blocks);
        if blocks.len() <= 1 {
            return blocks.pop().unwrap_or_default().freeze();
        }
        let mut bytes = BytesMut::with_capacity(self.length);
        for block in blocks {
            bytes.extend_from_slice(&block);
        }
        bytes.freeze()
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        TOTAL_BUFFERED_BYTES.fetch_sub(self.allocated, Ordering::Relaxed);
    }
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
