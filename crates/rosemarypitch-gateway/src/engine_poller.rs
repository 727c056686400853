//! Polls the engines of a pool that runs on this host.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use rosemarypitch_peer::PoolKey;
use rosemarypitch_route::{EngineLoad, Event};
use rosemarypitch_upstream::wire::{CacheEvents, LoadReport};
use rosemarypitch_upstream::{Endpoint, EngineClient};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::pools::Pools;

/// Periodically reads load, work and cache events of a pool's engines.
pub struct EnginePoller {
    /// The pool whose engines are polled.
    pub key: PoolKey,
    /// Receives the resulting events.
    pub pools: Pools,
    /// Client for calls to engines.
    pub engines: Arc<dyn EngineClient>,
    /// Time between two rounds of polls.
    pub interval: Duration,
}

impl EnginePoller {
    /// Polls the engines in `targets` until that channel is closed.
    pub async fn run(self, mut targets: watch::Receiver<Vec<Endpoint>>) {
        let poller = Arc::new(self);
        let mut last_events: HashMap<Arc<str>, u64> = HashMap::new();
        loop {
            let engines = targets.borrow_and_update().clone();
            let mut polls = JoinSet::new();
            for engine in engines {
                let after = last_events.get(&engine.name).copied().unwrap_or(0);
                polls.spawn(poller.clone().poll(engine, after));
            }
            while let Some(result) = polls.join_next().await {
                if let Ok(Some((name, number))) = result {
                    last_events.insert(name, number);
                }
            }
            tokio::select! {
                () = tokio::time::sleep(poller.interval) => {}
                changed = targets.changed() => if changed.is_err() { return },
            }
        }
    }

    /// Polls one engine and returns its name and the number of its last cache event.
    ///
    /// Returns `None` if reading the load or the cache events failed.
    async fn poll(self: Arc<Self>, engine: Endpoint, after: u64) -> Option<(Arc<str>, u64)> {
        let name = engine.name.clone();
        match self.engines.load(&engine).await {
            Ok(report) => self.send(Event::Load(name.clone(), engine_load(&report))).await,
            Err(error) => {
                log::warn!("polls: {error}");
                self.send(Event::Failed(name)).await;
                return None;
            }
        }
        match self.engines.work(&engine).await {
            Ok(items) => {
                let attempts = items.into_iter().map(|item| item.attempt).collect();
                self.send(Event::WorkList(name.clone(), attempts)).await;
            }
            Err(error) => log::warn!("polls: {error}"),
        }
        let events = self.engines.events(&engine, after).await.ok()?;
        for event in cache_events(&name, after, &events) {
            self.send(event).await;
        }
        Some((name, events.last))
    }

    async fn send(&self, event: Event) {
        self.pools.apply_scheduler_event(self.key.clone(), event).await;
    }
}

fn engine_load(report: &LoadReport) -> EngineLoad {
    let LoadReport { running, tpot_us: pace_us, leaving } = *report;
    EngineLoad { running, pace: Duration::from_micros(pace_us), leaving }
}

/// Converts an engine's cache events into events of its pool.
///
/// A last number below `after` means that the engine restarted with an empty cache; the
/// pool must then discard what it recorded of that cache.
fn cache_events(name: &Arc<str>, after: u64, events: &CacheEvents) -> Vec<Event> {
    let mut converted = Vec::new();
    if events.last < after {
        converted.push(Event::CacheGap(name.clone()));
    }
    converted.extend(events.events.iter().map(|event| {
        if event.stored {
            Event::Stored(name.clone(), event.block)
        } else {
            Event::Evicted(name.clone(), event.block)
        }
    }));
    converted
}
