//! Stand-in engines called inside the process, for experiments on a paused clock.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rosemarypitch_route::AttemptId;
use rosemarypitch_upstream::wire::{
    CacheEvents, DecodeRequest, LoadReport, Order, OrderResponse, PrefillRequest, PrefillResponse,
    WorkItem,
};
use rosemarypitch_upstream::{
    DecodeStream, Endpoint, EngineClient, EngineFuture, ErrorKind, UpstreamError,
};
use tokio::sync::{mpsc, watch};

use crate::engine::Engine;
use crate::net::{self, Gate};

/// Frames that may wait to be read.
const STREAM_BUFFER: usize = 1_024;
/// Longest wait for the answer to a short call.
const CALL_TIME: Duration = Duration::from_secs(1);
/// Time in which a call to a dead engine fails.
const DEAD_TIME: Duration = Duration::from_millis(5);

/// Engines by address, with what cuts data centres off.
#[derive(Default)]
pub struct EngineNet {
    engines: HashMap<SocketAddr, (Arc<str>, Arc<Engine>)>,
    cut: Mutex<HashSet<Arc<str>>>,
}

impl EngineNet {
    /// Adds an engine of a data centre.
    pub fn insert(&mut self, address: SocketAddr, data_centre: Arc<str>, engine: Arc<Engine>) {
        self.engines.insert(address, (data_centre, engine));
    }

    /// Cuts a data centre's engines off from the hosts of others, or not.
    pub fn set_cut(&self, data_centre: &str, cut: bool) {
        let mut cuts = self.cut.lock().unwrap_or_else(PoisonError::into_inner);
        if cut {
            cuts.insert(Arc::from(data_centre));
        } else {
            cuts.remove(data_centre);
        }
    }

    /// The engine at an address, if it can be reached from a data centre.
    fn reach(&self, from: &Arc<str>, address: SocketAddr) -> Option<&Arc<Engine>> {
        let (zone, engine) = self.engines.get(&address)?;
        let cuts = self.cut.lock().unwrap_or_else(PoisonError::into_inner);
        let joined = zone == from || !cuts.contains(zone) && !cuts.contains(from);
        joined.then_some(engine)
    }
}

/// Engines as one host reaches them.
#[derive(Clone)]
pub struct LocalEngines {
    net: Arc<EngineNet>,
    zone: Arc<str>,
    delay: Duration,
    gate: watch::Receiver<Gate>,
}

impl LocalEngines {
    /// Engines that are `delay` away, one way; `gate` is that of the host.
    pub fn new(
        net: Arc<EngineNet>,
        data_centre: Arc<str>,
        delay: Duration,
        gate: watch::Receiver<Gate>,
    ) -> Self {
        Self { net, zone: data_centre, delay, gate }
    }

    async fn reach(
        &self,
        step: &'static str,
        engine: &Endpoint,
    ) -> Result<&Arc<Engine>, UpstreamError> {
        if !net::pass(&mut self.gate.clone()).await {
            return std::future::pending().await;
        }
        tokio::time::sleep(self.delay).await;
        match self.net.reach(&self.zone, engine.address) {
            Some(found) if found.is_silent() => {
                // Short calls have a time limit at every edge; long ones are the caller's.
                if matches!(step, "prefill" | "decode") {
                    return std::future::pending().await;
                }
                tokio::time::sleep(CALL_TIME).await;
                Err(UpstreamError::new(step, &engine.name, ErrorKind::Timeout))
            }
            Some(found) if !found.is_stopped() => Ok(found),
            _ => {
                tokio::time::sleep(DEAD_TIME).await;
                Err(UpstreamError::new(step, &engine.name, ErrorKind::Connect))
            }
        }
    }

    async fn import(
        &self,
        ask: &DecodeRequest,
    ) -> Result<rosemarypitch_upstream::wire::ExportResponse, ErrorKind> {
        let source = self.net.reach(&self.zone, ask.source).ok_or(ErrorKind::Connect)?;
        source.export(&ask.attempt).await
    }
}

impl EngineClient for LocalEngines {
    fn prefill<'a>(
        &'a self,
        engine: &'a Endpoint,
        ask: &'a PrefillRequest,
    ) -> EngineFuture<'a, PrefillResponse> {
        Box::pin(async move {
            let found = self.reach("prefill", engine).await?.clone();
            let ask = ask.clone();
            // A task of its own: the engine goes on when the caller is gone.
            let run = tokio::spawn(async move { found.prefill(&ask).await });
            let result = run.await.unwrap_or(Err(ErrorKind::Lost));
            tokio::time::sleep(self.delay).await;
            result.map_err(|kind| UpstreamError::new("prefill", &engine.name, kind))
        })
    }

    fn decode<'a>(
        &'a self,
        engine: &'a Endpoint,
        ask: &'a DecodeRequest,
    ) -> EngineFuture<'a, DecodeStream> {
        Box::pin(async move {
            let fail = |kind| UpstreamError::new("decode", &engine.name, kind);
            let found = self.reach("decode", engine).await?.clone();
            let mut stop = found.admit(&ask.attempt).map_err(fail)?;
            let imported = tokio::select! {
                result = self.import(ask) => result,
                _ = stop.changed() => Err(ErrorKind::NotHeld),
            };
            let export = match imported {
                Ok(export) => export,
                Err(kind) => {
                    found.abandon(&ask.attempt);
                    return Err(fail(kind));
                }
            };
            let (tokens, stream) = mpsc::channel(STREAM_BUFFER);
            tokio::spawn(found.stream(ask.clone(), export, stop, tokens));
            tokio::time::sleep(self.delay).await;
            Ok(stream)
        })
    }

    fn cancel<'a>(&'a self, engine: &'a Endpoint, attempt: &'a AttemptId) -> EngineFuture<'a, ()> {
        Box::pin(async move {
            self.reach("cancel", engine).await?.cancel(attempt);
            Ok(())
        })
    }

    fn work<'a>(&'a self, engine: &'a Endpoint) -> EngineFuture<'a, Vec<WorkItem>> {
        Box::pin(async move { Ok(self.reach("work", engine).await?.work()) })
    }

    fn load<'a>(&'a self, engine: &'a Endpoint) -> EngineFuture<'a, LoadReport> {
        Box::pin(async move { Ok(self.reach("load", engine).await?.load()) })
    }

    fn events<'a>(&'a self, engine: &'a Endpoint, after: u64) -> EngineFuture<'a, CacheEvents> {
        Box::pin(async move { Ok(self.reach("events", engine).await?.events(after)) })
    }

    fn order<'a>(
        &'a self,
        engine: &'a Endpoint,
        order: &'a Order,
    ) -> EngineFuture<'a, OrderResponse> {
        Box::pin(async move {
            let found = self.reach("order", engine).await?;
            found.order(order).map_err(|kind| UpstreamError::new("order", &engine.name, kind))
        })
    }
}
