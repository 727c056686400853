//! Small fakes of the systems around the router, for tests, the demo and experiments.
//!
//! [`Engine`] stands in for a model engine, [`RecordingService`] for a plain HTTP service, and
//! [`MemoryStore`] for the platform's key-value store. Each can be used within a process, or
//! served over HTTP by [`serve_engine`], [`serve_recording_service`] and [`serve_store`].
//! [`LocalNet`] and [`LocalEngines`] replace the network for hosts in one process. The
//! stand-ins don't simulate the performance of real systems in detail.

mod engine;
mod engine_http;
mod http;
mod local;
mod net;
mod recording_service;
mod shape;
mod store;
mod store_http;

pub use engine::{Engine, token_count, token_text};
pub use engine_http::serve_engine;
pub use local::{EngineNet, LocalEngines};
pub use net::{LocalNet, RunState, TrafficCounts};
pub use recording_service::{RecordedCall, RecordingService, serve_recording_service};
pub use shape::EngineShape;
pub use store::{CallCounts, MemoryStore, StoreClient, StoreFaults};
pub use store_http::serve_store;
