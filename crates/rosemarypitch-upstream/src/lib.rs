//! Edges to upstreams: model engines and plain services.
//!
//! [`EngineClient`] is all that the rest of the system assumes of model engines;
//! [`HttpEngineClient`] speaks their HTTP protocol, whose messages are in [`wire`].
//! [`ServiceClient`] sends a plain service one request. Errors tell whether the upstream may
//! have seen the request.

mod client;
mod engine;
mod error;
mod frame;
mod http_engine;
mod service;
pub mod wire;

pub use client::{ClientError, HttpClient, Reuse};
pub use engine::{DecodeStream, Endpoint, EngineClient, EngineFuture, FrameSender};
pub use error::{ErrorKind, UpstreamError};
pub use frame::{FinishReason, Frame};
pub use http_engine::HttpEngineClient;
pub use service::ServiceClient;
