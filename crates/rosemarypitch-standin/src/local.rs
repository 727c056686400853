//! Stand-in engines called within the process, for experiments on a paused clock.

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
use crate::net::{self, RunState};

/// Maximum number of frames buffered for a slow reader.
const STREAM_BUFFER: usize = 1_024;
/// Timeout of a short call to an unresponsive engine.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time until a call to a stopped or unreachable engine fails.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(5);

/// Engines by address, and the partitions between data centres.
#[derive(Default)]
pub struct EngineNet {
    engines: HashMap<SocketAddr, (Arc<str>, Arc<Engine>)>,
    partitioned: Mutex<HashSet<Arc<str>>>,
}

impl EngineNet {
    /// Adds an engine in a data centre.
    pub fn insert(&mut self, address: SocketAddr, data_centre: Arc<str>, engine: Arc<Engine>) {
        self.engines.insert(address, (data_centre, engine));
    }

    /// Partitions a data centre's hosts and engines from all others, or heals the partition.
    pub fn set_partitioned(&self, data_centre: &str, is_partitioned: bool) {
        let mut partitioned = self.partitioned.lock().unwrap_or_else(PoisonError::into_inner);
        if is_partitioned {
            partitioned.insert(Arc::from(data_centre));
        } else {
            partitioned.remove(data_centre);
        }
    }

    /// Returns the engine at an address, if it can be reached from a data centre.
    fn find(&self, from: &Arc<str>, address: SocketAddr) -> Option<&Arc<Engine>> {
        let (data_centre, engine) = self.engines.get(&address)?;
        let partitioned = self.partitioned.lock().unwrap_or_else(PoisonError::into_inner);
        let connected = data_centre == from
            || !partitioned.contains(data_centre) && !partitioned.contains(from);
        connected.then_some(engine)
    }
}

/// Client of the engines for one host.
#[derive(Clone)]
pub struct LocalEngines {
    net: Arc<EngineNet>,
    data_centre: Arc<str>,
    delay: Duration,
    run_state: watch::Receiver<RunState>,
}

impl LocalEngines {
    /// Creates the client of a host; `delay` is the one-way network delay to every engine.
    pub fn new(
        net: Arc<EngineNet>,
        data_centre: Arc<str>,
        delay: Duration,
        run_state: watch::Receiver<RunState>,
    ) -> Self {
        Self { net, data_centre, delay, run_state }
    }

    /// Returns the engine after the one-way delay, or fails as a call to it would.
    async fn find(
        &self,
        step: &'static str,
        engine: &Endpoint,
    ) -> Result<&Arc<Engine>, UpstreamError> {
        if !net::wait_running(&mut self.run_state.clone()).await {
            return std::future::pending().await;
        }
        tokio::time::sleep(self.delay).await;
        match self.net.find(&self.data_centre, engine.address) {
            Some(found) if found.is_unresponsive() => {
                // Engine clients limit the time of short calls; callers limit that of long ones.
                if matches!(step, "prefill" | "decode") {
                    return std::future::pending().await;
                }
                tokio::time::sleep(CALL_TIMEOUT).await;
                Err(UpstreamError::new(step, &engine.name, ErrorKind::Timeout))
            }
            Some(found) if !found.is_stopped() => Ok(found),
            _ => {
                tokio::time::sleep(CONNECT_TIMEOUT).await;
                Err(UpstreamError::new(step, &engine.name, ErrorKind::Connect))
            }
        }
    }

    async fn import(
        &self,
        request: &DecodeRequest,
    ) -> Result<rosemarypitch_upstream::wire::ExportResponse, ErrorKind> {
        let source = self.net.find(&self.data_centre, request.source).ok_or(ErrorKind::Connect)?;
        source.export(&request.attempt).await
    }
}

impl EngineClient for LocalEngines {
    fn prefill<'a>(
        &'a self,
        engine: &'a Endpoint,
        request: &'a PrefillRequest,
    ) -> EngineFuture<'a, PrefillResponse> {
        Box::pin(async move {
            let found = self.find("prefill", engine).await?.clone();
            let request = request.clone();
            // Spawned, so that the prefill continues when the caller's future is dropped.
            let run = tokio::spawn(async move { found.prefill(&request).await });
            let result = run.await.unwrap_or(Err(ErrorKind::Lost));
            tokio::time::sleep(self.delay).await;
            result.map_err(|kind| UpstreamError::new("prefill", &engine.name, kind))
        })
    }

    fn decode<'a>(
        &'a self,
        engine: &'a Endpoint,
        request: &'a DecodeRequest,
    ) -> EngineFuture<'a, DecodeStream> {
        Box::pin(async move {
            let error = |kind| UpstreamError::new("decode", &engine.name, kind);
            let found = self.find("decode", engine).await?.clone();
            let mut cancel_signal = found.admit(&request.attempt).map_err(error)?;
            let imported = tokio::select! {
                result = self.import(request) => result,
                _ = cancel_signal.changed() => Err(ErrorKind::NotHeld),
            };
            let export = match imported {
                Ok(export) => export,
                Err(kind) => {
                    found.release_slot(&request.attempt);
                    return Err(error(kind));
                }
            };
            let (tokens, stream) = mpsc::channel(STREAM_BUFFER);
            tokio::spawn(found.stream(request.clone(), export, cancel_signal, tokens));
            tokio::time::sleep(self.delay).await;
            Ok(stream)
        })
    }

    fn cancel<'a>(&'a self, engine: &'a Endpoint, attempt: &'a AttemptId) -> EngineFuture<'a, ()> {
        Box::pin(async move {
            self.find("cancel", engine).await?.cancel(attempt);
            Ok(())
        })
    }

    fn work<'a>(&'a self, engine: &'a Endpoint) -> EngineFuture<'a, Vec<WorkItem>> {
        Box::pin(async move { Ok(self.find("work", engine).await?.work()) })
    }

    fn load<'a>(&'a self, engine: &'a Endpoint) -> EngineFuture<'a, LoadReport> {
        Box::pin(async move { Ok(self.find("load", engine).await?.load()) })
    }

    fn events<'a>(&'a self, engine: &'a Endpoint, after: u64) -> EngineFuture<'a, CacheEvents> {
        Box::pin(async move { Ok(self.find("events", engine).await?.events(after)) })
    }

    fn order<'a>(
        &'a self,
        engine: &'a Endpoint,
        order: &'a Order,
    ) -> EngineFuture<'a, OrderResponse> {
        Box::pin(async move {
            let found = self.find("order", engine).await?;
            found.order(order).map_err(|kind| UpstreamError::new("order", &engine.name, kind))
        })
    }
}
