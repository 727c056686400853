//! One entry host: from a caller's request to its answer.
//!
//! [`serve`] runs a whole process. Inside it a [`Host`] holds the parts that decide: the
//! [`ConfigSync`] of the configuration, [`Membership`], [`Limits`], [`Pools`] and [`Claims`],
//! each an actor on the control thread. Requests run on the traffic threads, read
//! immutable snapshots, and ask the actors only for what must be decided: a debit, a
//! place, a claim. [`Completion`] is the life of one model request, [`ServiceCall`] that
//! of one call to a plain service.

mod admin;
mod admin_types;
mod bounded;
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
mod leak;
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
pub use host::{Host, HostParts};
pub use limits::{GrantedDebit, Limits};
pub use membership::Membership;
pub use metrics::Metrics;
pub use pools::{PoolOptions, Pools};
pub use problem::{Problem, ProblemKind};
pub use running_attempts::RunningAttempts;
pub use server::{ServeError, ServerHandle, serve, start};
pub use service_call::ServiceCall;
pub use view::View;
