//! Exchanges with the other hosts, and this host's entry in the store.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use rosemarypitch_limit::HostId;
use rosemarypitch_peer::{
    Ask, Handler, HandlerCall, HostReport, Link, PeerServer, Peers, Reply, Traffic,
};
use tokio::net::TcpListener;
use tokio::time::Instant;

use crate::neighbours::{self, Neighbours};
use crate::quota::Share;
use crate::relayed::{Have, Known};
use crate::router::Router;

/// Time for which a host's entry outlives the host's last word to the store. Longer than
/// cuts usually last, so that a host that is cut off keeps the share that it still uses.
pub const ENTRY_TIME: Duration = Duration::from_secs(15);
/// Time between renewals of the entry; three may be missed.
const RENEWAL: Duration = Duration::from_secs(4);
/// Pause after a failed call to the store.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Time in which changes of the engines in use are gathered before the others are told. A
/// placement that crosses another within it may share an engine's last slot; the engine
/// then refuses one of them.
const PUSH_PAUSE: Duration = Duration::from_millis(15);
/// Time between questions to the others while the store is lost; a small part of the two
/// seconds in which a configuration has to be in force.
const KNOWN_INTERVAL: Duration = Duration::from_millis(250);
/// Longest time for an exchange with a host.
const EXCHANGE_TIME: Duration = Duration::from_millis(300);
/// Length of the secret that a host proposes, in random 64-bit words.
const SECRET_WORDS: usize = 4;

/// What a host knows of the others.
pub struct Gossip {
    router: Arc<Router>,
    id: HostId,
    neighbours: Mutex<Neighbours>,
    /// Hosts with which an exchange is under way.
    asking: Mutex<HashSet<Arc<str>>>,
}

impl Gossip {
    /// A host that knows no other.
    pub fn new(router: Arc<Router>) -> Arc<Self> {
        let host = router.settings.host.clone();
        let id = HostId { host: host.clone(), incarnation: incarnation() };
        let neighbours = Mutex::new(Neighbours::new(host));
        Arc::new(Self { router, id, neighbours, asking: Mutex::default() })
    }

    /// Takes a host's entry.
    pub fn put_host(&self, host: Arc<str>, entry: &[u8]) {
        let address = std::str::from_utf8(entry).ok().and_then(|text| text.parse().ok());
        match address {
            Some(address) => self.lock().put(host, address),
            None => log::warn!("peers: entry of host={host} is no address"),
        }
        self.update_share(Instant::now());
    }

    /// Takes note that a host's entry has lapsed.
    pub fn remove_host(&self, host: &str) {
        let now = Instant::now();
        self.lock().remove(now, host);
        self.update_share(now);
    }

    /// Takes the whole list of hosts.
    pub fn keep_hosts(&self, present: &[Arc<str>]) {
        let names: Vec<Arc<str>> = self.lock().names().cloned().collect();
        for name in names.iter().filter(|name| !present.contains(name)) {
            self.remove_host(name);
        }
    }

    /// Serves and asks the other hosts until the process ends.
    pub async fn run(self: Arc<Self>, listener: TcpListener, secret: Arc<str>) {
        let traffic = Arc::new(Traffic::default());
        let server = Arc::new(PeerServer {
            id: self.id.clone(),
            secret: secret.clone(),
            traffic: traffic.clone(),
            handler: self.clone(),
        });
        tokio::spawn(async move {
            if let Err(error) = server.run(listener).await {
                log::error!("peers: no more connections are taken: {error}");
            }
        });
        let peers = Arc::new(Peers::new(self.id.clone(), secret, traffic));
        tokio::spawn(self.clone().push(peers.clone()));
        tokio::spawn(self.clone().ask_known(peers.clone()));
        let mut due = Instant::now();
        loop {
            let now = Instant::now();
            let asks = {
                let neighbours = self.lock();
                let all = due <= now;
                if all {
                    due = now + neighbours.interval();
                }
                neighbours.to_ask(now, all)
            };
            for (host, address) in asks {
                // A host that does not answer gets one message at a time.
                if lock(&self.asking).insert(host.clone()) {
                    tokio::spawn(ask(self.clone(), peers.clone(), host, address));
                }
            }
            tokio::time::sleep(neighbours::MIN_INTERVAL).await;
            self.update(Instant::now());
        }
    }

    /// Tells the others at once when this host uses other engines than before.
    async fn push(self: Arc<Self>, peers: Arc<Peers>) {
        loop {
            self.router.uses_changed().await;
            tokio::time::sleep(PUSH_PAUSE).await;
            let heard = self.lock().heard(Instant::now());
            for (host, address) in heard {
                tokio::spawn(exchange(self.clone(), peers.clone(), host, address));
            }
        }
    }

    /// Keeps this host's entry in the store until the process ends.
    pub async fn announce(self: Arc<Self>) {
        let mut lease = None;
        let mut failed = false;
        loop {
            if self.router.is_store_lost() {
                // The one that follows the store finds out when it is back.
                tokio::time::sleep(RETRY_PAUSE).await;
                continue;
            }
            let pause = match self.renew(lease).await {
                Ok(renewed) => {
                    if std::mem::take(&mut failed) {
                        log::info!("peers: entry renewed again lease={renewed}");
                    }
                    lease = Some(renewed);
                    RENEWAL
                }
                Err(error) => {
                    if !std::mem::replace(&mut failed, true) {
                        log::info!("peers: entry not renewed: {error}");
                    }
                    RETRY_PAUSE
                }
            };
            tokio::time::sleep(pause.mul_f64(rand::random_range(0.8..1.0))).await;
        }
    }

    async fn renew(&self, lease: Option<u64>) -> Result<u64, crate::edge::DirectoryError> {
        let directory = &self.router.directory;
        if let Some(lease) = lease
            && directory.keep(lease).await?
        {
            return Ok(lease);
        }
        let lease = directory.lease(ENTRY_TIME).await?;
        let entry = Bytes::from(self.router.settings.peers.to_string());
        directory.announce(&self.router.settings.host, entry, lease).await?;
        log::info!("peers: entry written lease={lease}");
        Ok(lease)
    }

    fn report(&self) -> HostReport {
        let incarnation = self.id.incarnation;
        let mut report = HostReport { incarnation, ..HostReport::default() };
        self.router.with_quota(|quota| {
            report.admitted = quota.admitted().map(|(name, n)| (name.clone(), n)).collect();
        });
        self.router.each_pool(|pool| {
            let uses = pool.own().map(|(id, streams)| (id.clone(), streams));
            report.uses.extend(uses);
        });
        report
    }

    fn known(&self, have: Have) -> Option<Vec<u8>> {
        let known = self.router.known(Instant::now(), have)?;
        known.encode().inspect_err(|error| log::error!("peers: not passed on: {error}")).ok()
    }

    /// Asks the others for what they know while the store does not answer this host.
    async fn ask_known(self: Arc<Self>, peers: Arc<Peers>) {
        loop {
            tokio::time::sleep(KNOWN_INTERVAL).await;
            if !self.router.is_store_lost() {
                continue;
            }
            let heard = self.lock().heard(Instant::now());
            for (host, address) in heard {
                if self.ask_one(&peers, &host, address).await {
                    break;
                }
            }
        }
    }

    /// Asks one host; true if it reaches the store.
    async fn ask_one(&self, peers: &Peers, host: &Arc<str>, address: SocketAddr) -> bool {
        let Have { version, revision } = self.router.have();
        let ask = Ask::Known { version, revision };
        let known = match peers.call(address, &ask, EXCHANGE_TIME).await {
            Ok(Reply::Known(Some(bytes))) => Known::decode(&bytes),
            Ok(_) => return false,
            Err(error) => {
                log::debug!("peers: {error}");
                return false;
            }
        };
        match known {
            Ok(known) => {
                self.router.take_known(Instant::now(), known);
                true
            }
            Err(error) => {
                log::warn!("peers: what host={host} knows cannot be read: {error}");
                false
            }
        }
    }

    fn take(&self, from: &Arc<str>, report: HostReport, hears: bool) {
        let now = Instant::now();
        let (admitted, uses) = {
            let mut neighbours = self.lock();
            (neighbours.take(now, from, report, hears), neighbours.uses(now))
        };
        self.router.each_pool(|pool| pool.set_foreign(&uses));
        let Some(site) = self.router.site() else { return };
        let share = self.router.share();
        self.router.with_quota(|quota| {
            for (customer, tokens) in admitted {
                if let Some(customer) = site.customers.get(&customer) {
                    quota.heard(now, customer, share, tokens);
                }
            }
        });
    }

    fn update(&self, now: Instant) {
        self.update_share(now);
        let uses = self.lock().uses(now);
        self.router.each_pool(|pool| pool.set_foreign(&uses));
        self.router.decide(now);
    }

    fn update_share(&self, now: Instant) {
        let share = self.lock().share(now);
        if self.router.set_share(share) {
            let Share { heard, hosts } = share;
            log::info!("peers: share changed heard={heard} hosts={hosts}");
            self.router.metrics.known("hosts", hosts as u64);
            self.router.metrics.known("hosts_heard", heard as u64);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Neighbours> {
        lock(&self.neighbours)
    }
}

impl Handler for Gossip {
    fn handle<'a>(&'a self, from: &'a HostId, ask: Ask) -> HandlerCall<'a> {
        Box::pin(async move {
            match ask {
                Ask::Report { report, hears } => {
                    self.take(&from.host, report, hears);
                    Reply::Report(self.report())
                }
                Ask::Known { version, revision } => {
                    Reply::Known(self.known(Have { version, revision }))
                }
                _ => Reply::NotOwner,
            }
        })
    }
}

async fn ask(gossip: Arc<Gossip>, peers: Arc<Peers>, host: Arc<str>, address: SocketAddr) {
    exchange(gossip.clone(), peers, host.clone(), address).await;
    lock(&gossip.asking).remove(&host);
}

async fn exchange(gossip: Arc<Gossip>, peers: Arc<Peers>, host: Arc<str>, address: SocketAddr) {
    let hears = gossip.lock().hears(Instant::now(), &host);
    let ask = Ask::Report { report: gossip.report(), hears };
    match peers.call(address, &ask, EXCHANGE_TIME).await {
        Ok(Reply::Report(report)) => gossip.take(&host, report, true),
        Ok(_) => log::warn!("peers: unexpected reply from host={host}"),
        Err(error) => log::debug!("peers: {error}"),
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|error| error.into_inner())
}

/// A secret for the hosts to share.
pub fn new_secret() -> String {
    let words = std::iter::repeat_with(rand::random::<u64>).take(SECRET_WORDS);
    words.map(|word| format!("{word:016x}")).collect()
}

/// Tells runs of a host apart; runs need no order.
fn incarnation() -> u64 {
    rand::random()
}
