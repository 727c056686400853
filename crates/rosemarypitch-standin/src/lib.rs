//! Small fakes of the systems around the router.
//!
//! [`Engine`] is a model engine, [`RecordingService`] a plain service, [`MemoryStore`] the platform's
//! key-value service. Each can be used inside a process or served over HTTP by
//! [`serve_engine`], [`serve_recording_service`] and [`serve_store`]. They serve tests, the demo and
//! experiments; they are no simulators.

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
