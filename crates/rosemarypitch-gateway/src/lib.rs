//! Entry host: accepts callers' requests and routes them to engines and plain services.
//!
//! [`serve`] runs a whole process. Its [`Host`] holds handles to the actors on the control
//! thread: [`ConfigSync`], [`Membership`], [`Limits`], [`Pools`] and [`Claims`]. Requests run
//! on the traffic threads and read immutable snapshots. They call an actor only for a
//! decision: to debit a limit, to choose engines or to claim an idempotency key.
//! [`Completion`] runs one model request, [`ServiceCall`] one call to a plain service.

mod admin;
mod admin_types;
mod callers;
mod claims;
mod cleanup;
mod completion;
mod config_sync;
mod engine_poller;
mod guards;
mod handler;
mod handover;
mod host;
mod key_scan;
mod limited_body;
mod limits;
mod membership;
mod metrics;
mod openai;
mod pools;
mod problem;
mod running_attempts;
mod server;
mod service_call;
mod shares;
mod tls;
mod view;

pub use admin::openapi;
pub use claims::Claims;
pub use completion::{Completion, CompletionRequest, Output, Usage};
pub use config_sync::{ConfigSync, PatchOutcome};
pub use handler::HostHandler;
pub use host::{Host, HostDeps};
pub use limits::{GrantedDebit, Limits};
pub use membership::Membership;
pub use metrics::Metrics;
pub use pools::{PoolOptions, Pools};
pub use problem::{Problem, ProblemKind};
pub use running_attempts::RunningAttempts;
pub use server::{ServeError, ServerHandle, serve, start};
pub use service_call::ServiceCall;
pub use view::View;
