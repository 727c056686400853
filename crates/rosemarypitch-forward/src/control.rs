//! The control thread: what the store says, and what this host says there.
//!
//! One watch covers everything. It is renewed before it could hide a leaving upstream for
//! longer than the host may go on using it, and a watch that gives nothing in time counts
//! as lost. A host that has lost the store keeps what it knows.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use tokio::sync::oneshot;

use crate::announce;
use crate::edge::{DirectoryError, Fact, Facts};
use crate::gossip::Gossip;
use crate::registry::{Upstream, UpstreamRegistry};
use crate::router::Router;

/// Time to notice that a watch is silent, and to act on it.
const SILENT_TIME: Duration = Duration::from_millis(700);
/// Shortest longest wait of a watch; each watch is a call to the store.
const MIN_WATCH_WAIT: Duration = Duration::from_millis(300);
/// Time after news in which more news gather: changes come in series, and every host asks
/// again after each.
const GATHER_TIME: Duration = Duration::from_millis(100);
/// Time after which a host asks the others while the store is still telling all it knows.
const READ_TIME: Duration = Duration::from_millis(700);
/// First pause after a failed call to the store.
const FIRST_PAUSE: Duration = Duration::from_millis(80);
/// Longest pause after failed calls to the store.
const MAX_PAUSE: Duration = Duration::from_millis(600);

/// Follows the store until the process ends.
///
/// `secret` gets the secret that the hosts share, once it is known.
pub async fn follow(router: Arc<Router>, gossip: Arc<Gossip>, secret: oneshot::Sender<Arc<str>>) {
    let mut follower = Follower {
        router,
        gossip,
        secret: Some(secret),
        outage: false,
        pause: FIRST_PAUSE,
        revision: 0,
        whole: true,
        reread: None,
    };
    loop {
        if !follower.whole || follower.read().await {
            follower.watch().await;
        }
        follower.wait().await;
    }
}

/// Longest wait of a watch, if news have to be in force after some time: also those that a
/// silent watch does not bring, such as of an upstream that leaves.
pub fn watch_wait(news: Duration) -> Duration {
    news.saturating_sub(SILENT_TIME).max(MIN_WATCH_WAIT)
}

struct Follower {
    router: Arc<Router>,
    gossip: Arc<Gossip>,
    secret: Option<oneshot::Sender<Arc<str>>>,
    /// Whether calls to the store have failed since the last whole list.
    outage: bool,
    pause: Duration,
    revision: u64,
    /// Whether all that there is has to be read: at first, and when history is gone.
    whole: bool,
    /// When the hosts whose entries lapsed in an outage are looked at again.
    reread: Option<Instant>,
}

impl Follower {
    /// Reads all that there is; false if the store does not answer.
    async fn read(&mut self) -> bool {
        let facts = match self.read_all().await {
            Ok(facts) => facts,
            Err(error) => {
                self.lost(&error);
                return false;
            }
        };
        log::info!(
            "control: store read revision={} facts={} outage={}",
            facts.revision,
            facts.facts.len(),
            self.outage,
        );
        let now = Instant::now();
        let (upstreams, rest): (Vec<Fact>, Vec<Fact>) =
            facts.facts.into_iter().partition(|fact| matches!(fact, Fact::Upstream(_)));
        let upstreams = upstreams.into_iter().filter_map(upstream).collect();
        let outage = self.found();
        let hosts: Vec<Arc<str>> = rest.iter().filter_map(host).collect();
        for fact in rest {
            self.apply(now, fact);
        }
        // Entries of hosts lapse in an outage like those of upstreams, and a host that is
        // counted for too long costs less than one that is not counted.
        if !outage {
            self.reread = None;
            self.gossip.keep_hosts(&hosts);
        }
        // Another host may have told of more while the store was slow to tell.
        self.revision = facts.revision.max(self.router.have().revision);
        if self.revision == facts.revision {
            self.router.update_roster(now, |roster| roster.replace(now, upstreams, outage));
        }
        self.router.mark_current(now);
        self.router.set_revision(self.revision);
        self.whole = false;
        self.note_ready();
        self.propose_secret().await;
        true
    }

    async fn read_all(&mut self) -> Result<Facts, DirectoryError> {
        let router = self.router.clone();
        let mut reading = router.directory.read();
        if let Ok(result) = tokio::time::timeout(READ_TIME, &mut reading).await {
            return result;
        }
        // The other hosts may know more before the store answers.
        if router.set_store_lost(true) {
            log::warn!("control: store slow to tell revision={}", self.revision);
        }
        reading.await
    }

    /// Proposes a secret if there is none; the watch tells whose was first.
    async fn propose_secret(&self) {
        if self.secret.is_none() {
            return;
        }
        if let Err(error) = self.router.directory.propose_secret(&announce::new_secret()).await {
            log::info!("control: no secret proposed: {error}");
        }
    }

    /// Watches until the store is lost or has dropped its history.
    async fn watch(&mut self) {
        loop {
            let now = Instant::now();
            if self.reread.is_some_and(|at| at <= now) {
                self.whole = true;
                self.pause = Duration::ZERO;
                return;
            }
            let due = self.router.roster_due().map(|due| due.saturating_duration_since(now));
            // After an outage the first watch only asks whether the store is back.
            let longest =
                if self.outage { Duration::ZERO } else { watch_wait(self.router.limits().news) };
            let wait = due.unwrap_or(longest).min(longest);
            let result = self.router.directory.watch(self.revision, wait).await;
            let now = Instant::now();
            match result {
                Ok(Facts { facts, revision }) => {
                    self.revision = self.revision.max(revision);
                    if self.found() {
                        self.router.update_roster(now, |roster| roster.keep_missing(now));
                    }
                    let news = !facts.is_empty();
                    self.take(now, facts);
                    self.router.set_revision(self.revision);
                    self.note_ready();
                    if news {
                        tokio::time::sleep(GATHER_TIME).await;
                    }
                }
                Err(DirectoryError::Compacted) => {
                    log::info!("control: store history gone revision={}", self.revision);
                    self.whole = true;
                    self.pause = Duration::ZERO;
                    return;
                }
                Err(error) => return self.lost(&error),
            }
        }
    }

    fn take(&mut self, now: Instant, facts: Vec<Fact>) {
        let changed = !facts.is_empty() || self.router.roster_due().is_some();
        self.router.mark_current(now);
        let (upstreams, rest): (Vec<Fact>, Vec<Fact>) = facts
            .into_iter()
            .partition(|fact| matches!(fact, Fact::Upstream(_) | Fact::NoUpstream(_)));
        for fact in rest {
            self.apply(now, fact);
        }
        if changed {
            let gone = self.router.update_roster(now, |roster| {
                upstreams.into_iter().for_each(|fact| apply_upstream(now, roster, fact));
                roster.expire(now)
            });
            for id in gone {
                log::info!("control: upstream gone upstream={id}");
            }
        }
    }

    fn apply(&mut self, now: Instant, fact: Fact) {
        match fact {
            Fact::Site(site) => {
                let (version, routes) = (site.version, site.routes.len());
                if self.router.set_site(site) {
                    log::info!("control: configuration in force version={version} hosts={routes}");
                }
            }
            Fact::Upstream(_) | Fact::NoUpstream(_) => {
                self.router.update_roster(now, |roster| apply_upstream(now, roster, fact));
            }
            Fact::Host(host, entry) => self.gossip.put_host(host, &entry),
            Fact::NoHost(host) => self.gossip.remove_host(&host),
            Fact::Secret(secret) => {
                if let Some(taken) = self.secret.take() {
                    // The receiver is gone only when the process ends.
                    let _ = taken.send(secret);
                }
            }
        }
    }

    fn note_ready(&self) {
        if self.router.site().is_some() && self.router.set_ready() {
            log::info!("control: ready to take callers");
        }
    }

    /// Takes note that the store answers; true if it did not before.
    fn found(&mut self) -> bool {
        self.pause = FIRST_PAUSE;
        self.router.set_store_lost(false);
        let outage = std::mem::take(&mut self.outage);
        if outage {
            log::info!("control: store found revision={}", self.revision);
            self.reread = Some(Instant::now() + announce::ENTRY_TIME);
        }
        outage
    }

    fn lost(&mut self, error: &DirectoryError) {
        self.outage = true;
        if self.router.set_store_lost(true) {
            log::warn!("control: store lost revision={} {error}", self.revision);
        }
    }

    async fn wait(&mut self) {
        tokio::time::sleep(self.pause.mul_f64(rand::random_range(0.5..1.0))).await;
        self.pause = (self.pause * 2).clamp(FIRST_PAUSE, MAX_PAUSE);
    }
}

/// Takes what the store says of an upstream; the rest says nothing here.
fn apply_upstream(now: Instant, roster: &mut UpstreamRegistry, fact: Fact) {
    match fact {
        Fact::Upstream(upstream) => {
            log::info!(
                "control: upstream id={} service={} state={:?} stage={:?} born={}",
                upstream.id,
                upstream.service,
                upstream.state,
                upstream.stage,
                upstream.incarnation,
            );
            roster.put(upstream);
        }
        Fact::NoUpstream(id) => {
            log::info!("control: upstream entry gone upstream={id}");
            roster.remove(now, &id);
        }
        Fact::Site(_) | Fact::Host(..) | Fact::NoHost(_) | Fact::Secret(_) => {}
    }
}

fn upstream(fact: Fact) -> Option<Upstream> {
    match fact {
        Fact::Upstream(upstream) => Some(upstream),
        _ => None,
    }
}

fn host(fact: &Fact) -> Option<Arc<str>> {
    match fact {
        Fact::Host(host, _) => Some(host.clone()),
        _ => None,
    }
}
