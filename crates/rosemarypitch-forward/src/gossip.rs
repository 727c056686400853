//! Exchanges with the other hosts.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use rosemarypitch_limit::HostId;
use rosemarypitch_peer::{
    Ask, Handler, HandlerCall, HostReport, Link, PeerServer, Peers, Reply, RowReport, Traffic,
};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::announce::HostEntry;
use crate::far::FAR_INTERVAL;
use crate::ledger::News;
use crate::neighbours::{self, Neighbours, Own};
use crate::quota::Share;
use crate::relayed::{Have, Known};
use crate::router::Router;

/// Time in which changes of the engines in use are gathered before the others are told. A
/// placement that crosses another within it may share an engine's last slot; the engine
/// then refuses one of them.
const PUSH_PAUSE: Duration = Duration::from_millis(15);
/// Time in which reports of others gather before they are applied; short against a push.
const APPLY_PAUSE: Duration = Duration::from_millis(3);
/// Time between questions to the others while the store is lost; a small part of the two
/// seconds in which a configuration has to be in force.
const KNOWN_INTERVAL: Duration = Duration::from_millis(250);
/// Longest time for an exchange with a host.
const EXCHANGE_TIME: Duration = Duration::from_millis(300);

/// What a host knows of the others.
pub struct Gossip {
    router: Arc<Router>,
    id: HostId,
    neighbours: Mutex<Neighbours>,
    /// Hosts with which an exchange is under way.
    asking: Mutex<HashSet<Arc<str>>>,
    /// Tells that a report has come.
    reported: Notify,
}

impl Gossip {
    /// A host that knows no other.
    pub fn new(router: Arc<Router>) -> Arc<Self> {
        let host = router.settings.host.clone();
        let id = HostId { host: host.clone(), incarnation: incarnation() };
        let neighbours =
            Mutex::new(Neighbours::new(host, router.settings.zone.clone(), id.incarnation));
        let (asking, reported) = (Mutex::default(), Notify::new());
        Arc::new(Self { router, id, neighbours, asking, reported })
    }

    /// Takes a host's entry.
    pub fn put_host(&self, host: Arc<str>, entry: &[u8]) {
        match serde_json::from_slice::<HostEntry>(entry) {
            Ok(entry) => self.lock().put(host, entry),
            Err(error) => log::warn!("peers: entry of host={host} cannot be read: {error}"),
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
        tokio::spawn(self.clone().ask_partners(peers.clone()));
        tokio::spawn(self.clone().apply());
        let mut due = Instant::now();
        loop {
            let now = Instant::now();
            let asks = {
                let mut neighbours = self.lock();
                let all = due <= now;
                if all {
                    due = now + neighbours.interval();
                }
                neighbours.to_ask(now, all)
            };
            self.ask(&peers, asks, Talk::Row);
            tokio::time::sleep(neighbours::MIN_INTERVAL).await;
            self.update(Instant::now());
        }
    }

    /// Begins exchanges, but none with a host with which one is under way.
    fn ask(self: &Arc<Self>, peers: &Arc<Peers>, hosts: Vec<(Arc<str>, SocketAddr)>, talk: Talk) {
        for (host, address) in hosts {
            if lock(&self.asking).insert(host.clone()) {
                let (gossip, peers) = (self.clone(), peers.clone());
                tokio::spawn(async move {
                    gossip.exchange(&peers, &host, address, talk).await;
                    lock(&gossip.asking).remove(&host);
                });
            }
        }
    }

    /// Exchanges reports with partners in other rows.
    async fn ask_partners(self: Arc<Self>, peers: Arc<Peers>) {
        loop {
            let partners = self.lock().partners_to_ask(Instant::now());
            self.ask(&peers, partners, Talk::Rows);
            let uses = self.lock().far_uses(Instant::now());
            self.router.each_pool(|pool| pool.set_remote_streams(&uses));
            tokio::time::sleep(FAR_INTERVAL.mul_f64(rand::random_range(0.9..1.0))).await;
        }
    }

    /// Tells the row at once when this host uses other engines than before, or much of a limit.
    async fn push(self: Arc<Self>, peers: Arc<Peers>) {
        loop {
            self.router.changed().await;
            tokio::time::sleep(PUSH_PAUSE).await;
            let heard = self.lock().heard(Instant::now());
            for (host, address) in heard {
                let (gossip, peers) = (self.clone(), peers.clone());
                tokio::spawn(async move {
                    gossip.exchange(&peers, &host, address, Talk::Row).await;
                });
            }
        }
    }

    async fn exchange(&self, peers: &Peers, host: &Arc<str>, address: SocketAddr, talk: Talk) {
        let now = Instant::now();
        let ask = match talk {
            Talk::Row => {
                let hears = self.lock().hears(now, host);
                Ask::Report { report: self.report(now, host), hears }
            }
            Talk::Rows => Ask::Row(self.row_report(now, host)),
        };
        match peers.call(address, &ask, EXCHANGE_TIME).await {
            Ok(Reply::Report(report)) => self.take(host, report, true),
            Ok(Reply::Row(report)) => self.take_row(host, report),
            Ok(_) => log::warn!("peers: unexpected reply from host={host}"),
            Err(error) => log::debug!("peers: {error}"),
        }
    }

    /// What this host tells of itself.
    fn own(&self) -> Own {
        let mut own = Own::default();
        self.router.with_quota(|quota| {
            own.spent = quota.spent().map(|(name, spent)| (name.clone(), spent)).collect();
        });
        self.router.each_pool(|pool| {
            own.uses.extend(pool.own_streams().map(|(id, streams)| (id.clone(), streams)));
        });
        own
    }

    fn report(&self, now: Instant, to: &str) -> HostReport {
        let own = self.own();
        self.lock().report(now, to, own)
    }

    fn row_report(&self, now: Instant, to: &Arc<str>) -> RowReport {
        let own = self.own();
        self.lock().row_report(now, to, own)
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
            let reachable = self.lock().reachable(Instant::now());
            for (host, address) in reachable {
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
        let news = self.lock().take(now, from, report, hears);
        self.count(now, news);
    }

    fn take_row(&self, from: &Arc<str>, report: RowReport) {
        let now = Instant::now();
        let news = self.lock().take_row(now, from, report);
        self.count(now, news);
    }

    /// Counts what other hosts have admitted against the limits.
    fn count(&self, now: Instant, news: News) {
        self.reported.notify_one();
        let Some(site) = self.router.site() else { return };
        let share = self.router.share();
        self.router.with_quota(|quota| {
            for (customer, told) in news {
                if let Some(customer) = site.customers.get(&customer) {
                    quota.apply_remote(now, customer, share, told);
                }
            }
        });
    }

    /// Tells the pools what the row uses, soon after each report.
    async fn apply(self: Arc<Self>) {
        loop {
            self.reported.notified().await;
            tokio::time::sleep(APPLY_PAUSE).await;
            self.apply_uses(Instant::now());
        }
    }

    fn apply_uses(&self, now: Instant) {
        let uses = self.lock().near_uses(now);
        self.router.each_pool(|pool| pool.set_row_streams(&uses));
        self.router.decide(now);
    }

    fn update(&self, now: Instant) {
        self.update_share(now);
        let layout = self.lock().layout().clone();
        if self.router.set_layout(&layout) {
            let (near, rows) = (layout.near_count(), layout.others().count() + 1);
            log::info!("peers: hosts divided row_hosts={near} rows={rows}");
        }
        self.apply_uses(now);
        self.compare_limits(now);
    }

    /// Compares this host's buckets with those of its row.
    fn compare_limits(&self, now: Instant) {
        let Some(site) = self.router.site() else { return };
        let told = self.lock().fullness(now);
        let (share, heard) = (self.router.share(), !told.is_empty());
        self.router.with_quota(|quota| {
            for (customer, mut told) in told {
                if let Some(customer) = site.customers.get(&customer) {
                    quota.reconcile(now, customer, share, &mut told);
                }
            }
            quota.mark_reconciled(now, heard);
        });
    }

    fn update_share(&self, now: Instant) {
        let share = self.lock().share(now);
        if self.router.set_share(share) {
            let Share { reachable: heard, hosts, lag } = share;
            let lag = lag.as_millis();
            log::info!("peers: share changed heard={heard} hosts={hosts} lag_ms={lag}");
            self.router.metrics.known("hosts", hosts as u64);
            self.router.metrics.known("hosts_heard", heard as u64);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Neighbours> {
        lock(&self.neighbours)
    }
}

/// What an exchange is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Talk {
    /// This host and another of its row.
    Row,
    /// This host's row and another.
    Rows,
}

impl Handler for Gossip {
    fn handle<'a>(&'a self, from: &'a HostId, ask: Ask) -> HandlerCall<'a> {
        Box::pin(async move {
            match ask {
                Ask::Report { report, hears } => {
                    self.take(&from.host, report, hears);
                    Reply::Report(self.report(Instant::now(), &from.host))
                }
                Ask::Row(report) => {
                    self.take_row(&from.host, report);
                    Reply::Row(self.row_report(Instant::now(), &from.host))
                }
                Ask::Known { version, revision } => {
                    Reply::Known(self.known(Have { version, revision }))
                }
                _ => Reply::NotOwner,
            }
        })
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|error| error.into_inner())
}

/// Tells runs of a host apart; runs need no order.
fn incarnation() -> u64 {
    rand::random()
}
