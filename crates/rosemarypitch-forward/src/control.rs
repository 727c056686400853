//! The control thread, which follows the store.
//!
//! One watch covers all entries. It is renewed often enough that a host never goes on using a
//! leaving upstream for longer than allowed, and a watch that returns nothing in time means
//! that the store is lost. A host that has lost the store keeps its last state. An answer may be
//! seconds on its way, so it counts from the earliest time at which the store may have given it.
//!
//! Registrations of live upstreams lapse in an outage of the store, but only in one that lasts
//! longer than upstreams need to miss several renewals. After a shorter one, such as a watch that
//! was cut and whose successor is answered, a removed entry means that the upstream has left.
//!
//! A store that was restored from a copy has lost its latest changes, and what this host knows from
//! before may be newer than what it reads then. The operators and the upstreams write theirs again;
//! the hosts write their entries and the secret again.
//!
//! In a large row most hosts request the updates from one of the row's watchers instead, and
//! fall back to the store; see [`watchers`].

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use tokio::sync::oneshot;

use crate::announce;
use crate::deployment::{DirectoryError, StorePosition, Update, Updates};
use crate::gossip::Gossip;
use crate::registry::{self, Upstream, UpstreamRegistry};
use crate::router::Router;
use crate::watchers::{self, RelayedUpdates, Source};

/// Time to detect that a watch is silent, and to act on it.
const SILENCE_MARGIN: Duration = Duration::from_millis(700);
/// Lower bound on the timeout of a watch, since each watch is a call to the store.
const MIN_WATCH_TIMEOUT: Duration = Duration::from_millis(300);
/// Delay before the next watch after a change, in which further changes are batched: they
/// come in series, and every host starts a new watch after each result. Changes that are no updates,
/// such as records of streams, end a watch too.
const BATCH_DELAY: Duration = Duration::from_millis(100);
/// Duration of a full read of the store after which a host also requests state from its peers.
const SLOW_READ_TIME: Duration = Duration::from_millis(700);
/// Renewals of the upstreams' entries after which those that a restored store still has belong to
/// live upstreams: an entry lapses after three.
pub const REREAD_RENEWALS: u32 = 4;
/// Shortest delay after failed calls to the store.
const MIN_BACKOFF: Duration = Duration::from_millis(80);
/// Longest delay after failed calls to the store.
const MAX_BACKOFF: Duration = Duration::from_millis(600);

/// Follows the store until the process ends.
///
/// The secret shared by the hosts is sent to `secret` once it has been read.
pub async fn follow(router: Arc<Router>, gossip: Arc<Gossip>, secret: oneshot::Sender<Arc<str>>) {
    let mut follower = Follower {
        router,
        gossip,
        sender: Some(secret),
        secret: None,
        lost_at: None,
        backoff: MIN_BACKOFF,
        position: StorePosition::default(),
        full_read: true,
        reread_at: None,
        propose_at: None,
    };
    loop {
        if !follower.full_read || follower.read().await {
            follower.watch().await;
        }
        follower.back_off().await;
    }
}

/// Timeout of a watch such that changes, for example a leaving upstream, are in force within
/// `max_delay` even if the watch is silent.
pub fn watch_timeout(max_delay: Duration) -> Duration {
    max_delay.saturating_sub(SILENCE_MARGIN).max(MIN_WATCH_TIMEOUT)
}

/// The next updates of the store.
struct NextUpdates {
    result: Result<Updates, DirectoryError>,
    /// The updates reflect the store as it was so long ago.
    age: Duration,
    /// How long the store was asked to wait for them.
    wait: Duration,
}

struct Follower {
    router: Arc<Router>,
    gossip: Arc<Gossip>,
    /// Receiver of the secret, until it is known.
    sender: Option<oneshot::Sender<Arc<str>>>,
    /// Secret shared by the hosts.
    secret: Option<Arc<str>>,
    /// Since when the store may have been away, if calls have failed since it last answered.
    lost_at: Option<Instant>,
    backoff: Duration,
    position: StorePosition,
    /// Whether all entries have to be read: at the start, after the store has compacted its
    /// history or a watch was unreadable, and some time after an outage.
    full_read: bool,
    /// When to read all entries again after an outage, to remove hosts whose entries have
    /// expired.
    reread_at: Option<Instant>,
    /// When to propose a secret, if none is known by then.
    propose_at: Option<Instant>,
}

impl Follower {
    /// Reads all entries; false if the store does not answer.
    async fn read(&mut self) -> bool {
        let start = Instant::now();
        let entries = match self.read_all().await {
            Ok(entries) => entries,
            Err(error) => {
                self.mark_lost(start, &error);
                return false;
            }
        };
        let now = Instant::now();
        let known = self.position != StorePosition::default();
        let restored = known && entries.position.era > self.position.era;
        let outage = self.mark_reachable(now) || restored;
        let reread_at = now + self.router.limits().renewal * REREAD_RENEWALS;
        if restored {
            self.reread_at = Some(reread_at);
        }
        log::info!(
            "control: store read position={} facts={} outage={outage}",
            entries.position,
            entries.updates.len(),
        );
        let (upstreams, rest): (Vec<Update>, Vec<Update>) =
            entries.updates.into_iter().partition(|update| matches!(update, Update::Upstream(_)));
        let upstreams = upstreams.into_iter().filter_map(into_upstream).collect();
        let (evacuated, rest): (Vec<Update>, Vec<Update>) =
            rest.into_iter().partition(|update| matches!(update, Update::Evacuated(_)));
        let evacuated = evacuated.into_iter().filter_map(evacuated_zone).collect();
        // What the list says of versions belongs to its era.
        self.router.enter_era(entries.position.era);
        let hosts: Vec<Arc<str>> = rest.iter().filter_map(host_name).collect();
        // Before the first read the entry is being written.
        self.router.set_entry_lost(known && !hosts.contains(&self.router.settings.host));
        for update in rest {
            self.apply(now, update);
        }
        // Entries of hosts expire in an outage as those of upstreams do, and counting a host for
        // too long costs less than not counting it.
        if !outage {
            self.reread_at = self.reread_at.filter(|at| now < *at);
            self.gossip.retain_hosts(&hosts);
        }
        // A peer may have relayed a later state during a slow read.
        self.position = entries.position.max(self.router.store_position().position);
        if self.position == entries.position {
            self.router.update_registry(now, |registry| {
                if restored {
                    return registry.restore(now, reread_at, upstreams, evacuated);
                }
                registry.replace(now, upstreams, outage);
                registry.evacuations.replace(now, evacuated);
            });
        }
        self.router.mark_current(start);
        self.router.set_position(self.position);
        self.router.reset_updates(self.position);
        self.full_read = false;
        self.router.update_readiness(Instant::now());
        if self.secret.is_none() || restored {
            self.propose_secret(now).await;
        }
        true
    }

    async fn read_all(&mut self) -> Result<Updates, DirectoryError> {
        let router = self.router.clone();
        let mut reading = router.directory.read();
        if let Ok(result) = tokio::time::timeout(SLOW_READ_TIME, &mut reading).await {
            return result;
        }
        // Peers may have newer state before the store answers.
        if router.set_store_lost(true) {
            log::warn!("control: store slow to answer position={}", self.position);
        }
        reading.await
    }

    /// Proposes the secret, or a new one if none is known; the watch returns the first one
    /// proposed.
    ///
    /// After the first start of the fleet other hosts may know one that the store has lost, and
    /// propose it again.
    async fn propose_secret(&mut self, now: Instant) {
        let waits = self.secret.is_none() && !self.router.settings.first_start;
        let due = self.router.started + registry::REREGISTER_TIME;
        self.propose_at = (waits && now < due).then_some(due);
        if self.propose_at.is_some() {
            return;
        }
        let secret = self.secret.clone().unwrap_or_else(|| Arc::from(announce::new_secret()));
        if let Err(error) = self.router.directory.propose_secret(&secret).await {
            log::info!("control: proposing a secret failed: {error}");
        }
    }

    /// Watches until the store is lost or a full read is required.
    async fn watch(&mut self) {
        loop {
            let now = Instant::now();
            if self.reread_at.is_some_and(|at| at <= now) {
                self.full_read = true;
                self.backoff = Duration::ZERO;
                return;
            }
            if self.propose_at.is_some_and(|at| at <= now) {
                self.propose_secret(now).await;
            }
            let start = now;
            let NextUpdates { result, age, wait } = self.next_updates(now).await;
            let now = Instant::now();
            match result {
                Ok(Updates { updates, position }) => {
                    self.router.record_updates(position, updates.clone());
                    self.position = self.position.max(position);
                    if self.mark_reachable(now) {
                        self.router.update_registry(now, |registry| registry.keep_missing(now));
                    }
                    let received = !updates.is_empty();
                    self.apply_batch(now, updates, age);
                    self.router.set_position(self.position);
                    self.router.update_readiness(Instant::now());
                    if received || now - start < wait {
                        tokio::time::sleep(BATCH_DELAY).await;
                    }
                }
                Err(error @ (DirectoryError::Compacted | DirectoryError::Restored { .. })) => {
                    log::info!("control: watch ended position={} {error}", self.position);
                    self.full_read = true;
                    self.backoff = Duration::ZERO;
                    return;
                }
                Err(error @ DirectoryError::Unreadable { .. }) => {
                    log::warn!("control: watch unreadable position={} {error}", self.position);
                    self.full_read = true;
                    // A store whose responses stay unreadable is not read without pause.
                    self.backoff = MAX_BACKOFF;
                    return;
                }
                // A watch that fails before its time was answered, or broken off, just now.
                Err(error) => {
                    let lost_at = if now - start < wait { now } else { start };
                    return self.mark_lost(lost_at, &error);
                }
            }
        }
    }

    /// Waits for the next updates, from the row's watcher or the store.
    async fn next_updates(&self, now: Instant) -> NextUpdates {
        let source = self.gossip.update_source(now);
        if let Source::Peer(watcher) = &source
            && self.lost_at.is_none()
            && let Some(relayed) = self.gossip.relayed_updates(watcher, self.position).await
        {
            let RelayedUpdates { updates, position, age_ms } = relayed;
            let (result, age) = (Ok(Updates { updates, position }), Duration::from_millis(age_ms));
            return NextUpdates { result, age, wait: Duration::ZERO };
        }
        let now = Instant::now();
        let due = self.router.registry_expiry().map(|due| due.saturating_duration_since(now));
        // After an outage the first watch only checks whether the store is back.
        let max_wait = match source {
            _ if self.lost_at.is_some() => Duration::ZERO,
            Source::Store { watcher: true } => self.watch_timeout().min(watchers::WATCH_TIME),
            Source::Store { watcher: false } | Source::Peer(_) => self.watch_timeout(),
        };
        // Updates that may have been late are soon confirmed to be the latest ones.
        let max_wait = max_wait.saturating_sub(self.router.state_age(now).unwrap_or_default());
        let wait = due.unwrap_or(max_wait).min(max_wait);
        let asked = Instant::now();
        let result = self.router.directory.watch(self.position, wait).await;
        let elapsed = asked.elapsed();
        // A watch without events is answered at the end of its wait, any other at an unknown time.
        let waited = matches!(&result, Ok(next) if next.updates.is_empty()) && elapsed >= wait;
        let age = if waited { elapsed - wait } else { elapsed };
        NextUpdates { result, age, wait }
    }

    fn watch_timeout(&self) -> Duration {
        watch_timeout(self.router.limits().news)
    }

    /// Applies updates that reflect the store as it was `age` ago.
    fn apply_batch(&mut self, now: Instant, updates: Vec<Update>, age: Duration) {
        let changed = !updates.is_empty() || self.router.registry_expiry().is_some();
        self.router.mark_current(now.checked_sub(age).unwrap_or(now));
        let (upstreams, rest): (Vec<Update>, Vec<Update>) =
            updates.into_iter().partition(|update| {
                matches!(
                    update,
                    Update::Upstream(_)
                        | Update::UpstreamRemoved(_)
                        | Update::Evacuated(_)
                        | Update::EvacuationEnded(_)
                )
            });
        for update in rest {
            self.apply(now, update);
        }
        if changed {
            let expired = self.router.update_registry(now, |registry| {
                upstreams.into_iter().for_each(|update| apply_upstream(now, registry, update));
                registry.expire(now)
            });
            for id in expired {
                log::info!("control: upstream expired upstream={id}");
            }
        }
    }

    fn apply(&mut self, now: Instant, update: Update) {
        match update {
            Update::Config(config) => {
                let (version, routes) = (config.version, config.routes.len());
                if self.router.set_config(config) {
                    log::info!("control: configuration in force version={version} hosts={routes}");
                }
            }
            Update::Upstream(_)
            | Update::UpstreamRemoved(_)
            | Update::Evacuated(_)
            | Update::EvacuationEnded(_) => {
                self.router.update_registry(now, |registry| apply_upstream(now, registry, update));
            }
            Update::Version(service, stored) => self.router.set_version(&service, stored),
            Update::Host(host, entry) => {
                if host == self.router.settings.host {
                    self.router.set_entry_lost(false);
                }
                self.gossip.put_host(host, &entry);
            }
            Update::HostRemoved(host) => {
                if host == self.router.settings.host {
                    self.router.set_entry_lost(true);
                }
                self.gossip.remove_host(&host);
            }
            Update::Secret(secret) => {
                let known = self.secret.get_or_insert_with(|| secret.clone());
                if *known != secret {
                    log::error!("control: the store has another secret than this host");
                }
                if let Some(sender) = self.sender.take() {
                    // The receiver is gone only when the process ends.
                    let _ = sender.send(secret);
                }
            }
        }
    }

    /// Records that the store answers; true if it was away for so long that registrations of live
    /// upstreams may have lapsed.
    fn mark_reachable(&mut self, now: Instant) -> bool {
        self.backoff = MIN_BACKOFF;
        self.router.set_store_lost(false);
        let Some(lost_at) = self.lost_at.take() else { return false };
        let away = now.saturating_duration_since(lost_at);
        // A shorter outage costs a live upstream one renewal, and its registration outlasts that.
        let lapsed = away >= self.router.limits().renewal;
        log::info!(
            "control: store reachable again position={} away_ms={} lapsed={lapsed}",
            self.position,
            away.as_millis(),
        );
        if lapsed {
            self.reread_at = Some(now + announce::ENTRY_TTL);
        }
        lapsed
    }

    /// Records that the store does not answer, perhaps since `lost_at`.
    fn mark_lost(&mut self, lost_at: Instant, error: &DirectoryError) {
        self.lost_at.get_or_insert(lost_at);
        if self.router.set_store_lost(true) {
            log::warn!("control: store lost position={} {error}", self.position);
        }
    }

    async fn back_off(&mut self) {
        tokio::time::sleep(self.backoff.mul_f64(rand::random_range(0.5..1.0))).await;
        self.backoff = (self.backoff * 2).clamp(MIN_BACKOFF, MAX_BACKOFF);
    }
}

/// Applies an update of an upstream or an evacuation to the registry; ignores all others.
fn apply_upstream(now: Instant, registry: &mut UpstreamRegistry, update: Update) {
    match update {
        Update::Upstream(upstream) => {
            log::info!(
                "control: upstream id={} service={} state={:?} stage={:?} born={} cold_ms={}",
                upstream.id,
                upstream.service,
                upstream.state,
                upstream.stage,
                upstream.incarnation,
                upstream.cold.as_millis(),
            );
            registry.put(now, upstream);
        }
        Update::UpstreamRemoved(id) => {
            log::info!("control: upstream entry deleted upstream={id}");
            registry.remove(now, &id);
        }
        Update::Evacuated(zone) => {
            registry.evacuations.begin(zone);
        }
        Update::EvacuationEnded(zone) => {
            registry.evacuations.end(now, &zone);
        }
        Update::Config(_)
        | Update::Host(..)
        | Update::HostRemoved(_)
        | Update::Secret(_)
        | Update::Version(..) => {}
    }
}

fn into_upstream(update: Update) -> Option<Upstream> {
    match update {
        Update::Upstream(upstream) => Some(upstream),
        _ => None,
    }
}

fn evacuated_zone(update: Update) -> Option<Arc<str>> {
    match update {
        Update::Evacuated(zone) => Some(zone),
        _ => None,
    }
}

fn host_name(update: &Update) -> Option<Arc<str>> {
    match update {
        Update::Host(host, _) => Some(host.clone()),
        _ => None,
    }
}
