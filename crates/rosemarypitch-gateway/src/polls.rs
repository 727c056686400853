//! Polls the engines of an owned pool.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use rosemarypitch_peer::PoolKey;
use rosemarypitch_route::{EngineLoad, Event};
use rosemarypitch_upstream::wire::{CacheEvents, LoadReport};
use rosemarypitch_upstream::{EngineAddress, Engines};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::pools::Pools;

/// Polls engines until the pool is dropped.
pub struct Poller {
    /// The pool.
    pub key: PoolKey,
    /// Where events go.
    pub pools: Pools,
    /// Calls to engines.
    pub engines: Arc<dyn Engines>,
    /// Time between polls of an engine.
    pub poll: Duration,
}

impl Poller {
    /// Polls until `targets` is closed.
    pub async fn run(self, mut targets: watch::Receiver<Vec<EngineAddress>>) {
        let poller = Arc::new(self);
        let mut seen: HashMap<Arc<str>, u64> = HashMap::new();
        loop {
            let engines = targets.borrow_and_update().clone();
            let mut polls = JoinSet::new();
            for engine in engines {
                let after = seen.get(&engine.name).copied().unwrap_or(0);
                polls.spawn(poller.clone().poll(engine, after));
            }
            while let Some(result) = polls.join_next().await {
                if let Ok(Some((name, number))) = result {
                    seen.insert(name, number);
                }
            }
            tokio::select! {
                () = tokio::time::sleep(poller.poll) => {}
                changed = targets.changed() => if changed.is_err() { return },
            }
        }
    }

    /// Polls one engine and gives the number of its last cache event.
    async fn poll(self: Arc<Self>, engine: EngineAddress, after: u64) -> Option<(Arc<str>, u64)> {
        let name = engine.name.clone();
        match self.engines.load(&engine).await {
            Ok(report) => self.tell(Event::Load(name.clone(), load(&report))).await,
            Err(error) => {
                log::warn!("polls: {error}");
                self.tell(Event::Failed(name)).await;
                return None;
            }
        }
        match self.engines.work(&engine).await {
            Ok(items) => {
                let attempts = items.into_iter().map(|item| item.attempt).collect();
                self.tell(Event::WorkList(name.clone(), attempts)).await;
            }
            Err(error) => log::warn!("polls: {error}"),
        }
        let events = self.engines.events(&engine, after).await.ok()?;
        for event in cache_events(&name, after, &events) {
            self.tell(event).await;
        }
        Some((name, events.last))
    }

    async fn tell(&self, event: Event) {
        self.pools.engine(self.key.clone(), event).await;
    }
}

fn load(report: &LoadReport) -> EngineLoad {
    let LoadReport { running, pace_us, leaving } = *report;
    EngineLoad { running, pace: Duration::from_micros(pace_us), leaving }
}

/// Events for the prefix index; an engine whose numbers started anew was restarted.
fn cache_events(name: &Arc<str>, after: u64, events: &CacheEvents) -> Vec<Event> {
    let mut told = Vec::new();
    if events.last < after {
        told.push(Event::CacheGap(name.clone()));
    }
    told.extend(events.events.iter().map(|event| {
        if event.stored {
            Event::Stored(name.clone(), event.piece)
        } else {
            Event::Evicted(name.clone(), event.piece)
        }
    }));
    told
}
