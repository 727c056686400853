//! The network between hosts inside one process, with faults that tests set.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rosemarypitch_limit::HostId;
use rosemarypitch_peer::{
    ErrorKind, Handler, PeerError, PeerReply, PeerRequest, PeerTransport, TransportFuture, encode,
};
use tokio::sync::watch;

/// Whether a host takes part in the world around it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Gate {
    /// It does.
    Open,
    /// Nothing gets in or out until it is opened again.
    Paused,
    /// It is dead.
    Dead,
}

/// Messages and bytes that a host sent, answers included.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NetCount {
    /// Messages.
    pub messages: u64,
    /// Bytes of their encoded form.
    pub bytes: u64,
}

/// The network between hosts.
#[derive(Clone, Default)]
pub struct LocalNet {
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    nodes: HashMap<SocketAddr, Node>,
    cuts: HashSet<(SocketAddr, SocketAddr)>,
    near: Duration,
    far: Duration,
    counts: HashMap<SocketAddr, NetCount>,
}

struct Node {
    id: HostId,
    zone: Arc<str>,
    gate: watch::Receiver<Gate>,
    handler: Option<Arc<dyn Handler>>,
}

impl LocalNet {
    /// A network with one-way delays inside and between data centres.
    pub fn new(near: Duration, far: Duration) -> Self {
        let state = State { near, far, ..State::default() };
        Self { state: Arc::new(Mutex::new(state)) }
    }

    /// Joins a host run, and gives its calls to others.
    pub fn join(
        &self,
        address: SocketAddr,
        id: HostId,
        data_centre: Arc<str>,
        gate: watch::Receiver<Gate>,
    ) -> Arc<dyn PeerTransport> {
        let node = Node { id, zone: data_centre, gate, handler: None };
        self.lock().nodes.insert(address, node);
        Arc::new(LocalLink { net: self.clone(), address })
    }

    /// Sets what answers calls to a host.
    pub fn set_handler(&self, address: SocketAddr, handler: Arc<dyn Handler>) {
        if let Some(node) = self.lock().nodes.get_mut(&address) {
            node.handler = Some(handler);
        }
    }

    /// Cuts two hosts off from each other, or joins them again.
    pub fn set_cut(&self, a: SocketAddr, b: SocketAddr, cut: bool) {
        let mut state = self.lock();
        for pair in [(a, b), (b, a)] {
            if cut {
                state.cuts.insert(pair);
            } else {
                state.cuts.remove(&pair);
            }
        }
    }

    /// What a host has sent so far.
    pub fn count(&self, address: SocketAddr) -> NetCount {
        self.lock().counts.get(&address).copied().unwrap_or_default()
    }

    fn note(&self, sender: SocketAddr, bytes: usize) {
        let mut state = self.lock();
        let count = state.counts.entry(sender).or_default();
        count.messages += 1;
        count.bytes += bytes as u64;
    }

    /// The receiver's part of a call: its gate, its handler and the one-way delay.
    fn route(&self, from: SocketAddr, to: SocketAddr) -> Option<Route> {
        let state = self.lock();
        let (sender, receiver) = (state.nodes.get(&from)?, state.nodes.get(&to)?);
        if state.cuts.contains(&(from, to)) {
            return None;
        }
        let delay = if sender.zone == receiver.zone { state.near } else { state.far };
        Some(Route {
            from: sender.id.clone(),
            own: sender.gate.clone(),
            other: receiver.gate.clone(),
            handler: receiver.handler.clone()?,
            delay,
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

struct Route {
    from: HostId,
    own: watch::Receiver<Gate>,
    other: watch::Receiver<Gate>,
    handler: Arc<dyn Handler>,
    delay: Duration,
}

/// Waits until a gate is open; false when it is dead.
pub async fn pass(gate: &mut watch::Receiver<Gate>) -> bool {
    match gate.wait_for(|gate| *gate != Gate::Paused).await {
        Ok(gate) => *gate == Gate::Open,
        Err(_) => false,
    }
}

struct LocalLink {
    net: LocalNet,
    address: SocketAddr,
}

impl LocalLink {
    async fn exchange(&self, peer: SocketAddr, ask: &PeerRequest) -> Result<PeerReply, ErrorKind> {
        let mut route = self.net.route(self.address, peer).ok_or(ErrorKind::Connect)?;
        if !pass(&mut route.own).await {
            return std::future::pending().await;
        }
        self.net.note(self.address, encode(ask).map_or(0, |bytes| bytes.len()));
        tokio::time::sleep(route.delay).await;
        if !pass(&mut route.other).await {
            return Err(ErrorKind::Connect);
        }
        let reply = route.handler.handle(&route.from, ask.clone()).await;
        let open = pass(&mut route.other).await;
        self.net.note(peer, encode(&reply).map_or(0, |bytes| bytes.len()));
        tokio::time::sleep(route.delay).await;
        let joined = self.net.route(self.address, peer).is_some();
        if open && joined && pass(&mut route.own).await { Ok(reply) } else { Err(ErrorKind::Lost) }
    }
}

impl PeerTransport for LocalLink {
    fn call<'a>(
        &'a self,
        peer: SocketAddr,
        ask: &'a PeerRequest,
        limit: Duration,
    ) -> TransportFuture<'a> {
        Box::pin(async move {
            let result = tokio::time::timeout(limit, self.exchange(peer, ask)).await;
            result.unwrap_or(Err(ErrorKind::Timeout)).map_err(|kind| PeerError {
                step: "call",
                address: Arc::from(peer.to_string()),
                kind,
            })
        })
    }

    fn call_idempotent<'a>(
        &'a self,
        peer: SocketAddr,
        ask: &'a PeerRequest,
        limit: Duration,
    ) -> TransportFuture<'a> {
        self.call(peer, ask, limit)
    }
}
