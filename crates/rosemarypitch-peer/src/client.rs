//! Client for calls to peers, which keeps one connection to each.

use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use h2::client::{self, SendRequest};
use http::Request;
use rosemarypitch_limit::HostId;
use tokio::net::TcpStream;

use crate::codec;
use crate::error::{ErrorKind, PeerError};
use crate::handshake::{self, Secret, Side};
use crate::message::{PeerReply, PeerRequest};
use crate::server;
use crate::traffic::{CountedStream, Traffic};

/// Timeout for opening a TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

type Sender = SendRequest<Bytes>;

/// Future of a call to a peer.
pub type TransportFuture<'a> =
    Pin<Box<dyn Future<Output = Result<PeerReply, PeerError>> + Send + 'a>>;

/// Calls to peers; simulations replace the network by an implementation of their own.
pub trait PeerTransport: Send + Sync {
    /// Sends a request once and waits up to `timeout` for the reply.
    fn call<'a>(
        &'a self,
        peer: SocketAddr,
        request: &'a PeerRequest,
        timeout: Duration,
    ) -> TransportFuture<'a>;

    /// Sends an idempotent request; if the connection breaks or the reply is late, sends it
    /// once more over a new connection, with the same timeout.
    fn call_idempotent<'a>(
        &'a self,
        peer: SocketAddr,
        request: &'a PeerRequest,
        timeout: Duration,
    ) -> TransportFuture<'a>;
}

/// [`PeerTransport`] over TCP, with one cached connection per peer.
pub struct PeerClient {
    id: HostId,
    secret: Secret,
    traffic: Arc<Traffic>,
    connections: Mutex<HashMap<SocketAddr, (u64, Sender)>>,
    next_id: AtomicU64,
}

impl PeerClient {
    /// Creates a client without connections; `id` is this host run.
    pub fn new(id: HostId, secret: Secret, traffic: Arc<Traffic>) -> Self {
        Self { id, secret, traffic, connections: Mutex::default(), next_id: Default::default() }
    }

    async fn call_once(
        &self,
        peer: SocketAddr,
        request: &PeerRequest,
        timeout: Duration,
    ) -> Result<PeerReply, PeerError> {
        let bytes = codec::encode(request)
            .map_err(|error| peer_error("encode", peer, ErrorKind::Message(error)))?;
        let (connection_id, sender) = self.sender(peer).await?;
        let reply = tokio::time::timeout(timeout, exchange(sender, peer, bytes.into())).await;
        let result = reply.unwrap_or_else(|_| Err(peer_error("answer", peer, ErrorKind::Timeout)));
        self.traffic.messages.fetch_add(1, Ordering::Relaxed);
        // A connection with a lost or late reply may be dead, so the next call opens a new one.
        if let Err(error) = &result
            && !matches!(error.kind, ErrorKind::Message(_))
        {
            self.discard(peer, connection_id);
        }
        result
    }

    async fn sender(&self, peer: SocketAddr) -> Result<(u64, Sender), PeerError> {
        let cached = self.lock().get(&peer).cloned();
        if let Some((connection_id, sender)) = cached
            && let Ok(sender) = sender.ready().await
        {
            return Ok((connection_id, sender));
        }
        let sender = self.connect(peer).await?;
        let connection_id = self.next_id.fetch_add(1, Ordering::Relaxed);
        self.lock().insert(peer, (connection_id, sender.clone()));
        Ok((connection_id, sender))
    }

    async fn connect(&self, peer: SocketAddr) -> Result<Sender, PeerError> {
        let connect_error = || peer_error("connect", peer, ErrorKind::Connect);
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(peer)).await;
        let stream = connected.map_err(|_| connect_error())?.map_err(|_| connect_error())?;
        stream.set_nodelay(true).map_err(|_| connect_error())?;
        let mut stream = CountedStream::new(stream, self.traffic.clone());
        let secret = self.secret.as_bytes();
        let handshake_error = || peer_error("handshake", peer, ErrorKind::Handshake);
        handshake::authenticate(&mut stream, Side::Client, &self.id, secret)
            .await
            .map_err(|_| handshake_error())?;
        let (sender, connection) =
            client::handshake(stream).await.map_err(|_| handshake_error())?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("peer: connection to {peer} closed: {error}");
            }
        });
        sender.ready().await.map_err(|_| connect_error())
    }

    fn discard(&self, peer: SocketAddr, connection_id: u64) {
        let mut connections = self.lock();
        if connections.get(&peer).is_some_and(|(cached, _)| *cached == connection_id) {
            connections.remove(&peer);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, (u64, Sender)>> {
        self.connections.lock().unwrap_or_else(|error| error.into_inner())
    }
}

impl PeerTransport for PeerClient {
    fn call<'a>(
        &'a self,
        peer: SocketAddr,
        request: &'a PeerRequest,
        timeout: Duration,
    ) -> TransportFuture<'a> {
        Box::pin(self.call_once(peer, request, timeout))
    }

    fn call_idempotent<'a>(
        &'a self,
        peer: SocketAddr,
        request: &'a PeerRequest,
        timeout: Duration,
    ) -> TransportFuture<'a> {
        Box::pin(async move {
            match self.call_once(peer, request, timeout).await {
                // The cached connection may be dead while the peer is reachable.
                Err(error) if matches!(error.kind, ErrorKind::Lost | ErrorKind::Timeout) => {
                    self.call_once(peer, request, timeout).await
                }
                other => other,
            }
        })
    }
}

async fn exchange(
    mut sender: Sender,
    peer: SocketAddr,
    bytes: Bytes,
) -> Result<PeerReply, PeerError> {
    let lost = |_| peer_error("answer", peer, ErrorKind::Lost);
    let request = Request::post("http://peer/").body(());
    let request = request
        .map_err(|error| peer_error("encode", peer, ErrorKind::Message(error.to_string())))?;
    let (response, mut body) = sender.send_request(request, false).map_err(lost)?;
    body.send_data(bytes, true).map_err(lost)?;
    let response = response.await.map_err(lost)?;
    let malformed = |error| peer_error("answer", peer, ErrorKind::Message(error));
    let bytes = server::read_body(response.into_body()).await.map_err(malformed)?;
    codec::decode(&bytes).map_err(malformed)
}

fn peer_error(step: &'static str, peer: SocketAddr, kind: ErrorKind) -> PeerError {
    PeerError { step, address: Arc::from(peer.to_string()), kind }
}
