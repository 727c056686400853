//! Exchanges heartbeats with peers and publishes the membership view.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rosemarypitch_peer::{
    Heartbeat, HostInfo, MemberTable, MembershipEvent, PeerReply, PeerRequest, PeerTransport,
};
use rosemarypitch_store::Store;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

use crate::config_sync::{ConfigState, ConfigSync};
use crate::metrics::Metrics;
use crate::pools::Pools;
use crate::view::View;

/// Capacity of the actor's message queue.
const QUEUE_CAPACITY: usize = 1_024;
/// Store key prefix of the leases under which hosts register.
const HOST_PREFIX: &str = "hosts/";
/// Interval between renewals of this host's lease and reads of the registered hosts.
const LEASE_RENEWAL_INTERVAL: Duration = Duration::from_secs(20);
/// Time to live of a host's lease.
const LEASE_TTL: Duration = Duration::from_secs(60);

/// Handle to the membership actor.
#[derive(Clone)]
pub struct Membership {
    messages: mpsc::Sender<Message>,
}

enum Message {
    Heartbeat(Heartbeat, Option<oneshot::Sender<Heartbeat>>),
    SetAddresses(Vec<SocketAddr>),
    SetShares(u32),
    Leave,
}

/// Dependencies of the membership actor.
pub struct MembershipDeps {
    /// Membership state.
    pub members: MemberTable,
    /// Client for calls to peers.
    pub transport: Arc<dyn PeerTransport>,
    /// The platform's store.
    pub store: Arc<dyn Store>,
    /// Interval between heartbeats, also their timeout.
    pub heartbeat: Duration,
    /// Peer addresses from the settings, used in addition to the registered ones.
    pub seeds: Vec<SocketAddr>,
    /// Configuration synchronization, which receives the peers' configuration numbers.
    pub config_sync: ConfigSync,
    /// Active configuration.
    pub config: watch::Receiver<ConfigState>,
    /// Pools, which are notified of hosts that join, leave or fail.
    pub pools: Pools,
    /// Publishes the membership view.
    pub view: watch::Sender<Arc<View>>,
    /// Metrics of this process.
    pub metrics: Arc<Metrics>,
}

impl Membership {
    /// Spawns the actor and the task that registers this host.
    pub fn start(deps: MembershipDeps) -> Self {
        let (messages, queue) = mpsc::channel(QUEUE_CAPACITY);
        let handle = Self { messages };
        let own = deps.members.own().clone();
        let store = deps.store.clone();
        tokio::spawn(register_and_discover(store, own, deps.seeds.clone(), handle.clone()));
        tokio::spawn(Actor { deps, handle: handle.clone(), leaving: false }.run(queue));
        handle
    }

    /// Processes a peer's heartbeat and returns this host's own; `None` if it is stopping.
    pub async fn receive_heartbeat(&self, heartbeat: Heartbeat) -> Option<Heartbeat> {
        let (reply, answer) = oneshot::channel();
        self.messages.send(Message::Heartbeat(heartbeat, Some(reply))).await.ok()?;
        answer.await.ok()
    }

    /// Sets the number of limit shares this host owns, as announced in heartbeats.
    pub async fn set_shares(&self, shares: u32) {
        let _ = self.messages.send(Message::SetShares(shares)).await;
    }

    /// Announces to all peers that this host is leaving.
    pub async fn leave(&self) {
        let _ = self.messages.send(Message::Leave).await;
    }
}

struct Actor {
    deps: MembershipDeps,
    handle: Membership,
    leaving: bool,
}

impl Actor {
    async fn run(mut self, mut queue: mpsc::Receiver<Message>) {
        let mut ticks = tokio::time::interval(self.deps.heartbeat / 2);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.tick(),
                message = queue.recv() => match message {
                    Some(message) => self.handle_message(message),
                    None => return,
                },
            }
        }
    }

    fn tick(&mut self) {
        let now = Instant::now();
        let state = self.deps.config.borrow().clone();
        let age = u32::try_from(state.age(now).as_millis()).unwrap_or(u32::MAX);
        self.deps.members.set_config_number(state.number(), age);
        let changes = self.deps.members.expire(now);
        self.apply_changes(changes);
        for peer in self.deps.members.heartbeats_due(now) {
            self.send_heartbeat(now, peer);
        }
        self.publish();
    }

    fn handle_message(&mut self, message: Message) {
        let now = Instant::now();
        match message {
            Message::Heartbeat(heartbeat, reply) => {
                let changes = self.deps.members.apply_heartbeat(now, &heartbeat);
                self.observe_config(now, &heartbeat.sender);
                if let Some(reply) = reply {
                    let own = self.deps.members.heartbeat_for(now, heartbeat.sender.address);
                    let _ = reply.send(own);
                }
                if !changes.is_empty() {
                    self.apply_changes(changes);
                    self.publish();
                }
            }
            Message::SetAddresses(addresses) => self.deps.members.set_addresses(addresses),
            Message::SetShares(shares) => self.deps.members.set_shares(shares),
            Message::Leave => {
                self.leaving = true;
                self.deps.members.set_leaving();
                let peers: Vec<SocketAddr> =
                    self.deps.members.peers().map(|member| member.info.address).collect();
                for peer in peers {
                    self.send_heartbeat(now, peer);
                }
                self.publish();
            }
        }
    }

    /// Passes on a peer's configuration number, so that a newer document is fetched.
    fn observe_config(&self, now: Instant, peer: &HostInfo) {
        let age = Duration::from_millis(u64::from(peer.config_age_ms));
        let confirmed_at = now.checked_sub(age);
        self.deps.config_sync.observe_peer(peer.address, peer.config_number, confirmed_at);
    }

    fn send_heartbeat(&self, now: Instant, peer: SocketAddr) {
        let request = PeerRequest::Heartbeat(self.deps.members.heartbeat_for(now, peer));
        let transport = self.deps.transport.clone();
        let handle = self.handle.clone();
        let timeout = self.deps.heartbeat;
        tokio::spawn(async move {
            match transport.call_idempotent(peer, &request, timeout).await {
                Ok(PeerReply::Heartbeat(heartbeat)) => {
                    let _ = handle.messages.send(Message::Heartbeat(heartbeat, None)).await;
                }
                Ok(_) => log::warn!("membership: unexpected reply to a heartbeat from {peer}"),
                Err(error) => log::debug!("membership: {error}"),
            }
        });
    }

    fn apply_changes(&self, changes: Vec<MembershipEvent>) {
        for change in changes {
            match change {
                MembershipEvent::Up(id) => {
                    log::info!("membership: host {id} is up");
                    self.deps.pools.host_up(id);
                }
                MembershipEvent::Down(id) => {
                    log::warn!("membership: host {id} is down");
                    self.deps.pools.host_down(id);
                }
            }
        }
    }

    fn publish(&self) {
        let members = &self.deps.members;
        let live = members.live().into_iter().cloned().collect();
        let peers: Vec<HostInfo> = members.peers().map(|member| member.info.clone()).collect();
        self.deps.metrics.peers.set(peers.len() as i64);
        let view = View { own: members.own().clone(), live, peers };
        self.deps.view.send_replace(Arc::new(view));
    }
}

/// Keeps this host registered in the store and reads the addresses of registered hosts.
async fn register_and_discover(
    store: Arc<dyn Store>,
    own: HostInfo,
    seeds: Vec<SocketAddr>,
    handle: Membership,
) {
    let key = format!("{HOST_PREFIX}{}", own.id.host);
    let value = Bytes::from(own.address.to_string());
    loop {
        if let Err(error) = store.put_lease(&key, value.clone(), LEASE_TTL).await {
            log::warn!("membership: {error}");
        }
        let interval = match store.list_leases(HOST_PREFIX).await {
            Ok(values) => {
                let texts = values.iter().filter_map(|value| std::str::from_utf8(value).ok());
                let mut addresses: Vec<SocketAddr> =
                    texts.filter_map(|text| text.parse().ok()).collect();
                addresses.extend(&seeds);
                let is_alone = addresses.len() < 2;
                if handle.messages.send(Message::SetAddresses(addresses)).await.is_err() {
                    return;
                }
                if is_alone { LEASE_RENEWAL_INTERVAL / 20 } else { LEASE_RENEWAL_INTERVAL }
            }
            Err(error) => {
                log::warn!("membership: {error}");
                if handle.messages.send(Message::SetAddresses(seeds.clone())).await.is_err() {
                    return;
                }
                LEASE_RENEWAL_INTERVAL / 4
            }
        };
        tokio::time::sleep(interval).await;
    }
}
