//! Calls to peers, over one connection each.

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
use crate::handshake::{self, End, Secret};
use crate::message::{PeerReply, PeerRequest};
use crate::server;
use crate::traffic::{CountedStream, Traffic};

/// Longest time to open a connection.
const CONNECT_TIME: Duration = Duration::from_millis(500);

type Sender = SendRequest<Bytes>;

/// A call under way.
pub type TransportFuture<'a> =
    Pin<Box<dyn Future<Output = Result<PeerReply, PeerError>> + Send + 'a>>;

/// Calls to peers, by whatever way.
pub trait PeerTransport: Send + Sync {
    /// Sends a message once and waits up to `limit` for the reply.
    fn call<'a>(
        &'a self,
        peer: SocketAddr,
        ask: &'a PeerRequest,
        limit: Duration,
    ) -> TransportFuture<'a>;

    /// Sends an idempotent message, again over a new connection if need be.
    fn call_idempotent<'a>(
        &'a self,
        peer: SocketAddr,
        ask: &'a PeerRequest,
        limit: Duration,
    ) -> TransportFuture<'a>;
}

/// Connections to peers.
pub struct PeerClient {
    id: HostId,
    secret: Secret,
    traffic: Arc<Traffic>,
    open: Mutex<HashMap<SocketAddr, (u64, Sender)>>,
    opened: AtomicU64,
}

impl PeerClient {
    /// A host without connections.
    pub fn new(id: HostId, secret: Secret, traffic: Arc<Traffic>) -> Self {
        Self { id, secret, traffic, open: Mutex::default(), opened: Default::default() }
    }

    async fn call_once(
        &self,
        peer: SocketAddr,
        ask: &PeerRequest,
        limit: Duration,
    ) -> Result<PeerReply, PeerError> {
        let bytes = codec::encode(ask)
            .map_err(|error| failed("encode", peer, ErrorKind::Message(error)))?;
        let (serial, sender) = self.sender(peer).await?;
        let answer = tokio::time::timeout(limit, exchange(sender, peer, bytes.into())).await;
        let result = answer.unwrap_or_else(|_| Err(failed("answer", peer, ErrorKind::Timeout)));
        self.traffic.messages.fetch_add(1, Ordering::Relaxed);
        // A connection that gave no answer in time is not used again.
        if let Err(error) = &result
            && !matches!(error.kind, ErrorKind::Message(_))
        {
            self.forget(peer, serial);
        }
        result
    }

    async fn sender(&self, peer: SocketAddr) -> Result<(u64, Sender), PeerError> {
        let present = self.lock().get(&peer).cloned();
        if let Some((serial, sender)) = present
            && let Ok(sender) = sender.ready().await
        {
            return Ok((serial, sender));
        }
        let sender = self.connect(peer).await?;
        let serial = self.opened.fetch_add(1, Ordering::Relaxed);
        self.lock().insert(peer, (serial, sender.clone()));
        Ok((serial, sender))
    }

    async fn connect(&self, peer: SocketAddr) -> Result<Sender, PeerError> {
        let refused = || failed("connect", peer, ErrorKind::Connect);
        let connected = tokio::time::timeout(CONNECT_TIME, TcpStream::connect(peer)).await;
        let stream = connected.map_err(|_| refused())?.map_err(|_| refused())?;
        stream.set_nodelay(true).map_err(|_| refused())?;
        let mut stream = CountedStream::new(stream, self.traffic.clone());
        let secret = self.secret.as_bytes();
        let bad = || failed("handshake", peer, ErrorKind::Handshake);
        handshake::prove(&mut stream, End::Client, &self.id, secret).await.map_err(|_| bad())?;
        let (sender, connection) = client::handshake(stream).await.map_err(|_| bad())?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("peer: connection to {peer} ended: {error}");
            }
        });
        sender.ready().await.map_err(|_| refused())
    }

    fn forget(&self, peer: SocketAddr, serial: u64) {
        let mut open = self.lock();
        if open.get(&peer).is_some_and(|(present, _)| *present == serial) {
            open.remove(&peer);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, (u64, Sender)>> {
        self.open.lock().unwrap_or_else(|error| error.into_inner())
    }
}

impl PeerTransport for PeerClient {
    fn call<'a>(
        &'a self,
        peer: SocketAddr,
        ask: &'a PeerRequest,
        limit: Duration,
    ) -> TransportFuture<'a> {
        Box::pin(self.call_once(peer, ask, limit))
    }

    fn call_idempotent<'a>(
        &'a self,
        peer: SocketAddr,
        ask: &'a PeerRequest,
        limit: Duration,
    ) -> TransportFuture<'a> {
        Box::pin(async move {
            match self.call_once(peer, ask, limit).await {
                // The connection may have gone silent while the peer is well.
                Err(error) if matches!(error.kind, ErrorKind::Lost | ErrorKind::Timeout) => {
                    self.call_once(peer, ask, limit).await
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
    let lost = |_| failed("answer", peer, ErrorKind::Lost);
    let request = Request::post("http://peer/").body(());
    let request =
        request.map_err(|error| failed("encode", peer, ErrorKind::Message(error.to_string())))?;
    let (response, mut body) = sender.send_request(request, false).map_err(lost)?;
    body.send_data(bytes, true).map_err(lost)?;
    let response = response.await.map_err(lost)?;
    let broken = |error| failed("answer", peer, ErrorKind::Message(error));
    let bytes = server::read_body(response.into_body()).await.map_err(broken)?;
    codec::decode(&bytes).map_err(broken)
}

fn failed(step: &'static str, peer: SocketAddr, kind: ErrorKind) -> PeerError {
    PeerError { step, address: Arc::from(peer.to_string()), kind }
}
