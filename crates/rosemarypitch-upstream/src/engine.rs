//! Interface of model engines.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

use tokio::sync::mpsc;

use crate::error::UpstreamError;
use crate::frame::Frame;
use crate::wire::{
    CacheEvents, DecodeRequest, LoadReport, Order, OrderResponse, PrefillRequest, PrefillResponse,
    WorkItem,
};
use rosemarypitch_route::AttemptId;

/// Future of a call to an engine.
pub type EngineFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, UpstreamError>> + Send + 'a>>;

/// Sending half of a [`DecodeStream`].
pub type FrameSender = mpsc::Sender<Result<Frame, UpstreamError>>;

/// Frames of a decode stream; dropping it closes the connection to the engine.
pub type DecodeStream = mpsc::Receiver<Result<Frame, UpstreamError>>;

/// Name and address of an engine or of a server of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Name in the configuration.
    pub name: Arc<str>,
    /// IP address and port.
    pub address: SocketAddr,
    /// Whether calls use TLS.
    pub tls: bool,
}

/// Calls to model engines.
pub trait EngineClient: Send + Sync {
    /// Runs a prefill; the engine keeps the result for a short time.
    fn prefill<'a>(
        &'a self,
        engine: &'a Endpoint,
        request: &'a PrefillRequest,
    ) -> EngineFuture<'a, PrefillResponse>;

    /// Imports a prefill's result and streams tokens; the first frame arrives after the
    /// import.
    fn decode<'a>(
        &'a self,
        engine: &'a Endpoint,
        request: &'a DecodeRequest,
    ) -> EngineFuture<'a, DecodeStream>;

    /// Ends an attempt and releases its resources on the engine; idempotent.
    fn cancel<'a>(&'a self, engine: &'a Endpoint, attempt: &'a AttemptId) -> EngineFuture<'a, ()>;

    /// Lists queued, running and held work.
    fn work<'a>(&'a self, engine: &'a Endpoint) -> EngineFuture<'a, Vec<WorkItem>>;

    /// Returns the engine's load; it may be stale.
    fn load<'a>(&'a self, engine: &'a Endpoint) -> EngineFuture<'a, LoadReport>;

    /// Returns the cache events after number `after`; they are delayed and may have gaps.
    fn events<'a>(&'a self, engine: &'a Endpoint, after: u64) -> EngineFuture<'a, CacheEvents>;

    /// Sends an order, which carries a fencing number.
    fn order<'a>(
        &'a self,
        engine: &'a Endpoint,
        order: &'a Order,
    ) -> EngineFuture<'a, OrderResponse>;
}
