//! Resumption of an interrupted stream, and replacement of a silent engine.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::time::Instant;

use super::{EngineChoice, Prepared, Progress, RetryState, open_stream, prepare};
use crate::call::Call;
use crate::events::Position;
use crate::health::Outcome;
use crate::refusal::{Cause, Ran, Refusal};
use crate::relay::{self, PrepareFuture, ResumePolicy, SegmentFuture, StreamError};
use crate::router::Router;

/// A request whose stream may be resumed.
struct Resumption {
    router: Arc<Router>,
    call: Arc<Call>,
    /// Only one attempt to resume runs at a time.
    state: Mutex<RetryState>,
}

/// Returns how a stream is resumed at another engine.
pub fn policy(router: &Arc<Router>, call: &Arc<Call>, state: RetryState) -> ResumePolicy {
    let idle_timeout = relay::idle_timeout(&call.route);
    let (router, call, state) = (router.clone(), call.clone(), Mutex::new(state));
    let resumption = Arc::new(Resumption { router, call, state });
    let prepare = Box::new(move |position: Position, cause: StreamError| {
        let resumption = resumption.clone();
        let preparing: PrepareFuture = Box::pin(async move {
            let mut state = resumption.state().clone();
            match resumption.prepare(&mut state, &position, cause).await {
                Ok(prepared) => Some(resumption.resume(state, position, prepared)),
                Err(reason) => {
                    relay::log_not_resumed(&resumption.call, &position, cause, reason);
                    None
                }
            }
        });
        preparing
    });
    ResumePolicy { idle_timeout, prepare }
}

impl Resumption {
    fn state(&self) -> MutexGuard<'_, RetryState> {
        self.state.lock().unwrap_or_else(|error| error.into_inner())
    }

    /// Prepares an engine; the error is the reason why none is ready.
    async fn prepare(
        &self,
        state: &mut RetryState,
        position: &Position,
        cause: StreamError,
    ) -> Result<Prepared, &'static str> {
        let (router, call) = (&self.router, &self.call);
        if cause == StreamError::Silent {
            // If this preparation is dropped, an engine may have prefilled the prompt.
            self.state().prefilled = true;
            return prepare_replacement(router, call, state, Some(position)).await;
        }
        state.crash_check.finish().await;
        let permit = state.may_retry(router, call, Progress::Delivered);
        let permit = permit.map_err(|denial| denial.name())?;
        let first = state.last_engine.clone().filter(|_| !state.same_engine);
        let choice = EngineChoice { first, excluded: None, version: state.version.clone() };
        let prepared = prepare(router, call, state, Some(position), choice, permit).await;
        prepared.map_err(|failure| failure.refusal.cause.name())
    }

    fn resume(
        self: Arc<Self>,
        mut state: RetryState,
        position: Position,
        prepared: Prepared,
    ) -> SegmentFuture {
        Box::pin(async move {
            let (router, call) = (&self.router, &self.call);
            let prepared = Some(prepared);
            let opened = open_stream(router, call, &mut state, Some(&position), prepared).await;
            *self.state() = state;
            relay::log_resumed(call, &position, opened.as_ref().err());
            opened.ok().map(|opened| opened.segment)
        })
    }
}

/// Prepares another engine for a request whose engine is silent; the error is the reason why
/// none is ready.
async fn prepare_replacement(
    router: &Arc<Router>,
    call: &Arc<Call>,
    state: &mut RetryState,
    after: Option<&Position>,
) -> Result<Prepared, &'static str> {
    let permit = state.may_retry(router, call, Progress::Delivered);
    let permit = permit.map_err(|denial| denial.name())?;
    let silent = state.last_engine.clone();
    if let Some(silent) = &silent {
        let now = Instant::now();
        router.with_pool(&call.service.name, |pool| {
            pool.record_outcome(now, silent, Outcome::Unreachable);
        });
    }
    let version = state.version.clone();
    let choice = EngineChoice { first: None, excluded: silent, version };
    let prepared = prepare(router, call, state, after, choice, permit).await;
    prepared.map_err(|failure| failure.refusal.cause.name())
}

/// Waits until the engine has been silent for `timeout` and another one is ready to take over
/// its request.
pub async fn replacement(
    router: &Arc<Router>,
    call: &Arc<Call>,
    state: &mut RetryState,
    after: Option<&Position>,
    timeout: Duration,
) -> Prepared {
    loop {
        tokio::time::sleep(timeout).await;
        let mut next = state.clone();
        next.record(Refusal::new(Cause::UpstreamFailed, Ran::Maybe));
        // If this preparation is dropped, an engine may have prefilled the prompt.
        state.prefilled = true;
        match prepare_replacement(router, call, &mut next, after).await {
            Ok(prepared) => {
                *state = next;
                return prepared;
            }
            Err(reason) => {
                let attempt = &call.meta.attempt;
                log::info!("call: silent engine kept attempt={attempt} reason={reason}");
            }
        }
    }
}
