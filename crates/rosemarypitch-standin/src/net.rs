//! Simulated network between hosts in one process, with delays, partitions and pauses.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rosemarypitch_limit::HostId;
use rosemarypitch_peer::{
    ErrorKind, Handler, PeerError, PeerReply, PeerRequest, PeerTransport, TransportFuture, encode,
};
use tokio::sync::watch;

/// State of a simulated host, which decides whether its messages get through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// Messages get through.
    Running,
    /// Messages in both directions wait until the host is running again.
    Paused,
    /// No message gets in or out any more.
    Dead,
}

/// Messages and bytes that a host sent, replies included.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrafficCounts {
    /// Number of messages.
    pub messages: u64,
    /// Encoded size of the messages, in bytes.
    pub bytes: u64,
}

/// Simulated network between hosts; clones share their state.
#[derive(Clone, Default)]
pub struct LocalNet {
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    nodes: HashMap<SocketAddr, Node>,
    partitions: HashSet<(SocketAddr, SocketAddr)>,
    local_delay: Duration,
    remote_delay: Duration,
    counts: HashMap<SocketAddr, TrafficCounts>,
}

struct Node {
    id: HostId,
    data_centre: Arc<str>,
    run_state: watch::Receiver<RunState>,
    handler: Option<Arc<dyn Handler>>,
}

impl LocalNet {
    /// Creates a network with one-way delays within and between data centres.
    pub fn new(local_delay: Duration, remote_delay: Duration) -> Self {
        let state = State { local_delay, remote_delay, ..State::default() };
        Self { state: Arc::new(Mutex::new(state)) }
    }

    /// Connects a host incarnation at an address and returns its transport for calls to other hosts.
    ///
    /// It replaces an earlier incarnation at the same address.
    pub fn join(
        &self,
        address: SocketAddr,
        id: HostId,
        data_centre: Arc<str>,
        run_state: watch::Receiver<RunState>,
    ) -> Arc<dyn PeerTransport> {
        let node = Node { id, data_centre, run_state, handler: None };
        self.lock().nodes.insert(address, node);
        Arc::new(LocalTransport { net: self.clone(), address })
    }

    /// Sets the handler of calls to a host; calls before that fail to connect.
    pub fn set_handler(&self, address: SocketAddr, handler: Arc<dyn Handler>) {
        if let Some(node) = self.lock().nodes.get_mut(&address) {
            node.handler = Some(handler);
        }
    }

    /// Partitions two hosts from each other, or heals the partition.
    pub fn set_partitioned(&self, a: SocketAddr, b: SocketAddr, partitioned: bool) {
        let mut state = self.lock();
        for pair in [(a, b), (b, a)] {
            if partitioned {
                state.partitions.insert(pair);
            } else {
                state.partitions.remove(&pair);
            }
        }
    }

    /// Messages and bytes that the host at an address has sent so far.
    pub fn traffic(&self, address: SocketAddr) -> TrafficCounts {
        self.lock().counts.get(&address).copied().unwrap_or_default()
    }

    fn record_message(&self, sender: SocketAddr, bytes: usize) {
        let mut state = self.lock();
        let count = state.counts.entry(sender).or_default();
        count.messages += 1;
        count.bytes += bytes as u64;
    }

    /// Looks up the route of a call; none when the hosts are partitioned or unknown.
    fn route(&self, from: SocketAddr, to: SocketAddr) -> Option<Route> {
        let state = self.lock();
        let (sender, receiver) = (state.nodes.get(&from)?, state.nodes.get(&to)?);
        if state.partitions.contains(&(from, to)) {
            return None;
        }
        let delay = if sender.data_centre == receiver.data_centre {
            state.local_delay
        } else {
            state.remote_delay
        };
        Some(Route {
            from: sender.id.clone(),
            sender: sender.run_state.clone(),
            receiver: receiver.run_state.clone(),
            handler: receiver.handler.clone()?,
            delay,
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Both ends of a call and the one-way delay between them.
struct Route {
    from: HostId,
    sender: watch::Receiver<RunState>,
    receiver: watch::Receiver<RunState>,
    handler: Arc<dyn Handler>,
    delay: Duration,
}

/// Waits while a host is paused; returns whether it is running, and false when it is dead.
pub async fn wait_running(run_state: &mut watch::Receiver<RunState>) -> bool {
    match run_state.wait_for(|run_state| *run_state != RunState::Paused).await {
        Ok(run_state) => *run_state == RunState::Running,
        Err(_) => false,
    }
}

struct LocalTransport {
    net: LocalNet,
    address: SocketAddr,
}

impl LocalTransport {
    async fn exchange(
        &self,
        peer: SocketAddr,
        request: &PeerRequest,
    ) -> Result<PeerReply, ErrorKind> {
        let mut route = self.net.route(self.address, peer).ok_or(ErrorKind::Connect)?;
        if !wait_running(&mut route.sender).await {
            return std::future::pending().await;
        }
        self.net.record_message(self.address, encode(request).map_or(0, |bytes| bytes.len()));
        tokio::time::sleep(route.delay).await;
        if !wait_running(&mut route.receiver).await {
            return Err(ErrorKind::Connect);
        }
        let reply = route.handler.handle(&route.from, request.clone()).await;
        let running = wait_running(&mut route.receiver).await;
        self.net.record_message(peer, encode(&reply).map_or(0, |bytes| bytes.len()));
        tokio::time::sleep(route.delay).await;
        let connected = self.net.route(self.address, peer).is_some();
        if running && connected && wait_running(&mut route.sender).await {
            Ok(reply)
        } else {
            Err(ErrorKind::Lost)
        }
    }
}

impl PeerTransport for LocalTransport {
    fn call<'a>(
        &'a self,
        peer: SocketAddr,
        request: &'a PeerRequest,
        timeout: Duration,
    ) -> TransportFuture<'a> {
        Box::pin(async move {
            let result = tokio::time::timeout(timeout, self.exchange(peer, request)).await;
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
        request: &'a PeerRequest,
        timeout: Duration,
    ) -> TransportFuture<'a> {
        self.call(peer, request, timeout)
    }
}
