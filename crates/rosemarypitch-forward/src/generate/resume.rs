//! Resumption of an interrupted or silent stream at another engine.

use std::sync::{Arc, Mutex, MutexGuard};

use tokio::time::Instant;

use super::{EngineChoice, Prepared, Progress, RetryState, open_stream, prepare};
use crate::call::Call;
use crate::events::Position;
use crate::health::Outcome;
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
        let permit = state.may_retry(router, call, Progress::Delivered);
        let permit = permit.map_err(|denial| denial.name())?;
        let last_engine = state.last_engine.clone();
        let choice = if cause == StreamError::Silent {
            self.avoid(last_engine.as_ref());
            // If this preparation is dropped, an engine may have prefilled the prompt.
            self.state().prefilled = true;
            EngineChoice { first: None, excluded: last_engine }
        } else {
            EngineChoice { first: last_engine.filter(|_| !state.same_engine), excluded: None }
        };
        let prepared = prepare(router, call, state, Some(position), choice, permit).await;
        prepared.map_err(|failure| failure.refusal.cause.name())
    }

    /// Keeps requests from a silent engine for a short time.
    fn avoid(&self, engine: Option<&Arc<str>>) {
        let (now, Some(engine)) = (Instant::now(), engine) else { return };
        self.router.with_pool(&self.call.service.name, |pool| {
            pool.record_outcome(now, engine, Outcome::Unreachable);
        });
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
            opened.ok().filter(|opened| opened.head.status.is_success()).map(|o| o.segment)
        })
    }
}
