//! What the system assumes of model engines.

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

/// A call under way.
pub type EngineFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, UpstreamError>> + Send + 'a>>;

/// Sends the frames of a decode stream.
pub type FrameSender = mpsc::Sender<Result<Frame, UpstreamError>>;

/// Frames of a decode stream; dropping it closes the stream.
pub type DecodeStream = mpsc::Receiver<Result<Frame, UpstreamError>>;

/// An engine as calls name it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Its name in the configuration.
    pub name: Arc<str>,
    /// IP number and port.
    pub address: SocketAddr,
    /// Whether it is reached by TLS.
    pub tls: bool,
}

/// Calls to model engines.
pub trait EngineClient: Send + Sync {
    /// Runs a prefill; the engine holds the result for a short time.
    fn prefill<'a>(
        &'a self,
        engine: &'a Endpoint,
        ask: &'a PrefillRequest,
    ) -> EngineFuture<'a, PrefillResponse>;

    /// Imports a prefill's result and streams tokens; frames come once it is imported.
    fn decode<'a>(
        &'a self,
        engine: &'a Endpoint,
        ask: &'a DecodeRequest,
    ) -> EngineFuture<'a, DecodeStream>;

    /// Ends an attempt and releases all that it holds; idempotent.
    fn cancel<'a>(&'a self, engine: &'a Endpoint, attempt: &'a AttemptId) -> EngineFuture<'a, ()>;

    /// Lists running and held work.
    fn work<'a>(&'a self, engine: &'a Endpoint) -> EngineFuture<'a, Vec<WorkItem>>;

    /// Reports load; it lags.
    fn load<'a>(&'a self, engine: &'a Endpoint) -> EngineFuture<'a, LoadReport>;

    /// Cache events after number `after`; they come late and with gaps.
    fn events<'a>(&'a self, engine: &'a Endpoint, after: u64) -> EngineFuture<'a, CacheEvents>;

    /// Gives an order under a fencing number.
    fn order<'a>(
        &'a self,
        engine: &'a Endpoint,
        order: &'a Order,
    ) -> EngineFuture<'a, OrderResponse>;
}
