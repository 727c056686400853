//! Exchanges heartbeats and publishes who is there.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rosemarypitch_peer::{Ask, Beat, Change, Link, Members, Reply, Sighting};
use rosemarypitch_store::Store;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

use crate::config_sync::{ConfigState, ConfigSync};
use crate::metrics::Metrics;
use crate::pools::Pools;
use crate::view::View;

/// Messages that may wait for the actor.
const QUEUE: usize = 1_024;
/// Prefix of the leases by which hosts are listed.
const HOST_PREFIX: &str = "hosts/";
/// Time between renewals of a host's lease, and between reads of the list.
const LEASE_RENEWAL: Duration = Duration::from_secs(20);
/// How long a host's lease lasts.
const LEASE_TIME: Duration = Duration::from_secs(60);

/// Handle of the membership actor.
#[derive(Clone)]
pub struct Membership {
    messages: mpsc::Sender<Message>,
}

enum Message {
    Hear(Beat, Option<oneshot::Sender<Beat>>),
    List(Vec<SocketAddr>),
    Shares(u32),
    Leave,
}

/// What the actor works with.
pub struct MembershipParts {
    /// State of membership.
    pub members: Members,
    /// Calls to peers.
    pub link: Arc<dyn Link>,
    /// The platform.
    pub store: Arc<dyn Store>,
    /// Time between heartbeats.
    pub heartbeat: Duration,
    /// Addresses from the settings.
    pub seeds: Vec<SocketAddr>,
    /// The configuration's keeper.
    pub keeper: ConfigSync,
    /// What the keeper has in force.
    pub config: watch::Receiver<ConfigState>,
    /// The pools, which learn of hosts that are gone.
    pub pools: Pools,
    /// Where the view is published.
    pub view: watch::Sender<Arc<View>>,
    /// Metrics.
    pub metrics: Arc<Metrics>,
}

impl Membership {
    /// Starts the actor.
    pub fn start(parts: MembershipParts) -> Self {
        let (messages, queue) = mpsc::channel(QUEUE);
        let handle = Self { messages };
        let own = parts.members.own().clone();
        let store = parts.store.clone();
        tokio::spawn(follow_list(store, own, parts.seeds.clone(), handle.clone()));
        tokio::spawn(Actor { parts, handle: handle.clone(), leaving: false }.run(queue));
        handle
    }

    /// Takes in a heartbeat and gives this host's own.
    pub async fn receive_heartbeat(&self, beat: Beat) -> Option<Beat> {
        let (reply, answer) = oneshot::channel();
        self.messages.send(Message::Hear(beat, Some(reply))).await.ok()?;
        answer.await.ok()
    }

    /// Sets how many limit shares this host owns.
    pub async fn set_shares(&self, shares: u32) {
        let _ = self.messages.send(Message::Shares(shares)).await;
    }

    /// Tells all peers that this host is leaving.
    pub async fn leave(&self) {
        let _ = self.messages.send(Message::Leave).await;
    }
}

struct Actor {
    parts: MembershipParts,
    handle: Membership,
    leaving: bool,
}

impl Actor {
    async fn run(mut self, mut queue: mpsc::Receiver<Message>) {
        let mut ticks = tokio::time::interval(self.parts.heartbeat / 2);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.tick(),
                message = queue.recv() => match message {
                    Some(message) => self.take(message),
                    None => return,
                },
            }
        }
    }

    fn tick(&mut self) {
        let now = Instant::now();
        let state = self.parts.config.borrow().clone();
        let age = u32::try_from(state.age(now).as_millis()).unwrap_or(u32::MAX);
        self.parts.members.set_number(state.number(), age);
        let changes = self.parts.members.tick(now);
        self.report(changes);
        for peer in self.parts.members.due(now) {
            self.send_beat(now, peer);
        }
        self.publish();
    }

    fn take(&mut self, message: Message) {
        let now = Instant::now();
        match message {
            Message::Hear(beat, reply) => {
                let changes = self.parts.members.hear(now, &beat);
                self.offer_config(now, &beat.sighting);
                if let Some(reply) = reply {
                    let own = self.parts.members.beat(now, beat.sighting.address);
                    let _ = reply.send(own);
                }
                if !changes.is_empty() {
                    self.report(changes);
                    self.publish();
                }
            }
            Message::List(addresses) => self.parts.members.list(addresses),
            Message::Shares(shares) => self.parts.members.set_shares(shares),
            Message::Leave => {
                self.leaving = true;
                self.parts.members.leave();
                let peers: Vec<SocketAddr> =
                    self.parts.members.all().map(|member| member.sighting.address).collect();
                for peer in peers {
                    self.send_beat(now, peer);
                }
                self.publish();
            }
        }
    }

    /// Lets the keeper fetch a document that a peer has and this host has not.
    fn offer_config(&self, now: Instant, sighting: &Sighting) {
        let age = Duration::from_millis(u64::from(sighting.config_age_ms));
        let confirmed = now.checked_sub(age);
        self.parts.keeper.observe_peer(sighting.address, sighting.number, confirmed);
    }

    fn send_beat(&self, now: Instant, peer: SocketAddr) {
        let ask = Ask::Beat(self.parts.members.beat(now, peer));
        let link = self.parts.link.clone();
        let handle = self.handle.clone();
        let limit = self.parts.heartbeat;
        tokio::spawn(async move {
            match link.call_idempotent(peer, &ask, limit).await {
                Ok(Reply::Beat(beat)) => {
                    let _ = handle.messages.send(Message::Hear(beat, None)).await;
                }
                Ok(_) => log::warn!("membership: {peer} answered a heartbeat with nonsense"),
                Err(error) => log::debug!("membership: {error}"),
            }
        });
    }

    fn report(&self, changes: Vec<Change>) {
        for change in changes {
            match change {
                Change::Came(id) => {
                    log::info!("membership: host {id} is there");
                    self.parts.pools.host_up(id);
                }
                Change::Gone(id) => {
                    log::warn!("membership: host {id} is gone");
                    self.parts.pools.host_down(id);
                }
            }
        }
    }

    fn publish(&self) {
        let members = &self.parts.members;
        let live = members.live().into_iter().cloned().collect();
        let peers: Vec<Sighting> = members.all().map(|member| member.sighting.clone()).collect();
        self.parts.metrics.peers.set(peers.len() as i64);
        let view = View { own: members.own().clone(), live, peers };
        self.parts.view.send_replace(Arc::new(view));
    }
}

/// Keeps this host in the platform's list, and reads the list.
async fn follow_list(
    store: Arc<dyn Store>,
    own: Sighting,
    seeds: Vec<SocketAddr>,
    handle: Membership,
) {
    let key = format!("{HOST_PREFIX}{}", own.id.host);
    let value = Bytes::from(own.address.to_string());
    loop {
        if let Err(error) = store.lease(&key, value.clone(), LEASE_TIME).await {
            log::warn!("membership: {error}");
        }
        let pause = match store.list(HOST_PREFIX).await {
            Ok(values) => {
                let texts = values.iter().filter_map(|value| std::str::from_utf8(value).ok());
                let mut addresses: Vec<SocketAddr> = texts.filter_map(|t| t.parse().ok()).collect();
                addresses.extend(&seeds);
                let alone = addresses.len() < 2;
                if handle.messages.send(Message::List(addresses)).await.is_err() {
                    return;
                }
                if alone { LEASE_RENEWAL / 20 } else { LEASE_RENEWAL }
            }
            Err(error) => {
                log::warn!("membership: {error}");
                if handle.messages.send(Message::List(seeds.clone())).await.is_err() {
                    return;
                }
                LEASE_RENEWAL / 4
            }
        };
        tokio::time::sleep(pause).await;
    }
}
