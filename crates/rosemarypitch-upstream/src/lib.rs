//! Clients of upstreams, which are model engines and plain services.
//!
//! [`EngineClient`] is the interface to model engines that the rest of the system depends on;
//! [`HttpEngineClient`] implements it over their HTTP protocol, whose messages are in
//! [`wire`]. [`ServiceClient`] sends requests to plain services. Errors carry whether the
//! upstream may have executed the request.

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
