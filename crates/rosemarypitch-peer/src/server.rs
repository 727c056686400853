//! Server for calls from peers.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use h2::server::SendResponse;
use h2::{RecvStream, server};
use http::{Response, StatusCode};
use rosemarypitch_limit::HostId;
use tokio::net::{TcpListener, TcpStream};

use crate::codec::{self, MAX_MESSAGE_BYTES};
use crate::handshake::{self, Secret, Side};
use crate::message::{PeerReply, PeerRequest};
use crate::traffic::{CountedStream, Traffic};

/// Maximum number of requests of one peer that are processed concurrently.
const MAX_STREAMS: u32 = 4_096;

/// Future of a handler's reply.
pub type HandlerFuture<'a> = Pin<Box<dyn Future<Output = PeerReply> + Send + 'a>>;

/// Handles requests from peers.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request from the host run `from`.
    ///
    /// The future is dropped when the peer cancels the request.
    fn handle<'a>(&'a self, from: &'a HostId, request: PeerRequest) -> HandlerFuture<'a>;
}

/// Accepts connections from peers and passes their requests to a handler.
pub struct PeerServer {
    /// Identity of this host run.
    pub id: HostId,
    /// Secret that all hosts share.
    pub secret: Secret,
    /// Byte and message counters.
    pub traffic: Arc<Traffic>,
    /// Handler of all requests.
    pub handler: Arc<dyn Handler>,
}

impl PeerServer {
    /// Accepts connections until the listener fails.
    pub async fn run(self: Arc<Self>, listener: TcpListener) -> io::Result<()> {
        loop {
            let (stream, address) = listener.accept().await?;
            let server = self.clone();
            tokio::spawn(async move {
                if let Err(error) = server.serve(stream).await {
                    log::debug!("peer: connection from {address} closed: {error}");
                }
            });
        }
    }

    async fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut stream = CountedStream::new(stream, self.traffic.clone());
        let secret = self.secret.as_bytes();
        let from = handshake::authenticate(&mut stream, Side::Server, &self.id, secret).await?;
        let mut builder = server::Builder::new();
        builder.max_concurrent_streams(MAX_STREAMS);
        let mut connection =
            builder.handshake::<_, Bytes>(stream).await.map_err(io::Error::other)?;
        while let Some(accepted) = connection.accept().await {
            let (request, respond) = accepted.map_err(io::Error::other)?;
            let (handler, from) = (self.handler.clone(), from.clone());
            self.traffic.messages.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(async move {
                if let Err(error) = answer(handler, &from, request.into_body(), respond).await {
                    log::debug!("peer: request from {from} failed: {error}");
                }
            });
        }
        Ok(())
    }
}

async fn answer(
    handler: Arc<dyn Handler>,
    from: &HostId,
    body: RecvStream,
    mut respond: SendResponse<Bytes>,
) -> Result<(), String> {
    let bytes = read_body(body).await?;
    let request = codec::decode(&bytes)?;
    let reply = tokio::select! {
        reply = handler.handle(from, request) => reply,
        // The peer cancelled the request; dropping the handler's future releases what it holds.
        _ = std::future::poll_fn(|context| respond.poll_reset(context)) => return Ok(()),
    };
    let bytes = codec::encode(&reply)?;
    let mut response = Response::new(());
    *response.status_mut() = StatusCode::OK;
    let mut stream = respond.send_response(response, false).map_err(|e| e.to_string())?;
    stream.send_data(Bytes::from(bytes), true).map_err(|error| error.to_string())
}

/// Reads a message body; fails if it exceeds [`MAX_MESSAGE_BYTES`].
pub async fn read_body(mut body: RecvStream) -> Result<Vec<u8>, String> {
    let mut bytes = Vec::new();
    while let Some(chunk) = body.data().await {
        let chunk = chunk.map_err(|error| error.to_string())?;
        bytes.extend_from_slice(&chunk);
        let _ = body.flow_control().release_capacity(chunk.len());
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err("message too long".to_owned());
        }
    }
    Ok(bytes)
}
