//! The life of a model request: a slot, a prefill, a stream.
//!
//! A decode slot is reserved at the engine before the prompt is read, so that no prompt is
//! read in vain and no host needs to know what the others place. Whatever the request
//! holds is released on every way out, also when the caller leaves.
//!
//! An engine that fails before it has run the request is replaced by another, and one that
//! may have run it too where the route allows that. The same way leads on when a stream
//! breaks off in the middle: the next engine begins after the last whole event.

mod decode;
mod place;
mod prefill;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::Response;
use tokio::time::Instant;

use crate::call::{self, Call};
use crate::client::{self, SendError};
use crate::deployment::{EngineCommand, SendParams, ServingStage};
use crate::events::Position;
use crate::plain;
use crate::refusal::{Cause, Ran, Refusal};
use crate::relay::{self, OpenStream, ResponseBody, ResumePolicy, SegmentFuture, Stream};
use crate::roster::Upstream;
use crate::router::Router;

/// Longest time for a call that an engine answers at once.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after which a caller may come back when engines failed rather than filled.
const FAILED_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Most engines that one request is brought to, those included that would not run it.
const MAX_ROUNDS: u32 = 4;

/// Runs a model request.
pub async fn run(
    router: &Arc<Router>,
    call: &Arc<Call>,
) -> Result<Response<ResponseBody>, Refusal> {
    let mut state = RetryState::default();
    let opened = open_stream(router, call, &mut state, None).await?;
    let resumable = call.route.kind.may_run_again() && opened.head.status.is_success();
    let policy = resumable.then(|| resume_policy(router, call, state));
    let body = |segment| Stream::relay(segment, call.deadline, policy);
    Ok(relay::response(router, opened, body))
}

/// How a stream goes on when its engine breaks off.
fn resume_policy(router: &Arc<Router>, call: &Arc<Call>, state: RetryState) -> ResumePolicy {
    let idle_timeout = relay::idle_timeout(&call.route);
    let (router, call) = (router.clone(), call.clone());
    // Only one attempt to go on is under way at a time.
    let state = Arc::new(Mutex::new(state));
    let next = Box::new(move |position: Position| {
        let mut current = state.lock().unwrap_or_else(|error| error.into_inner()).clone();
        if !current.may_retry(&router, &call, Progress::Delivered) {
            return None;
        }
        let (router, call, state) = (router.clone(), call.clone(), state.clone());
        let resuming: SegmentFuture = Box::pin(async move {
            let opened = open_stream(&router, &call, &mut current, Some(&position)).await;
            *state.lock().unwrap_or_else(|error| error.into_inner()) = current;
            relay::log_resumed(&call, &position, opened.as_ref().err());
            opened.ok().filter(|opened| opened.head.status.is_success()).map(|o| o.segment)
        });
        Some(resuming)
    });
    ResumePolicy { idle_timeout, next }
}

/// What has become of a request so far.
#[derive(Clone, Debug)]
struct RetryState {
    ran: Ran,
    /// Engines that it was brought to.
    rounds: u32,
    /// Engines that may have run it.
    possible_runs: u32,
    /// Whether an engine has read its prompt.
    prefilled: bool,
    /// Engines whose KV cache could not be had.
    lost_caches: Vec<Arc<str>>,
    /// The engine that answered last: if only the connection broke, it still keeps the
    /// prompt. None once it has been asked again.
    last_engine: Option<Arc<str>>,
    /// Whether the present engine is that one again.
    same_engine: bool,
}

impl Default for RetryState {
    fn default() -> Self {
        let lost_caches = Vec::new();
        Self {
            ran: Ran::No,
            rounds: 0,
            possible_runs: 0,
            prefilled: false,
            lost_caches,
            last_engine: None,
            same_engine: false,
        }
    }
}

/// How far a failed attempt came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// There is no use in another attempt.
    NoRetry,
    /// The engine was not reached.
    Unsent,
    /// The engine has had the request.
    Delivered,
}

/// An attempt that gave no answer.
struct FailedAttempt {
    refusal: Refusal,
    progress: Progress,
}

impl From<Refusal> for FailedAttempt {
    fn from(refusal: Refusal) -> Self {
        Self { refusal, progress: Progress::NoRetry }
    }
}

impl RetryState {
    /// Takes a failure; gives the refusal that is true after it.
    fn record(&mut self, refusal: Refusal) -> Refusal {
        if refusal.ran == Ran::Maybe {
            self.ran = Ran::Maybe;
            self.possible_runs += u32::from(!self.same_engine);
        }
        match self.ran {
            Ran::No => refusal,
            Ran::Maybe => Refusal { ran: Ran::Maybe, retry: None, ..refusal },
        }
    }

    /// Whether the request may go to one more engine.
    fn may_retry(&self, router: &Router, call: &Call, progress: Progress) -> bool {
        let now = Instant::now();
        let allowed = self.ran == Ran::No || call.route.kind.may_run_again();
        let left = self.rounds < MAX_ROUNDS && self.possible_runs < call.route.sends;
        if progress == Progress::NoRetry || !allowed || !left || call.remaining(now).is_zero() {
            return false;
        }
        progress == Progress::Unsent || router.take_repeat(now, &call.service.name)
    }
}

/// Brings a request to engines until one answers.
async fn open_stream(
    router: &Arc<Router>,
    call: &Arc<Call>,
    state: &mut RetryState,
    after: Option<&Position>,
) -> Result<OpenStream, Refusal> {
    loop {
        let failure = match attempt(router, call, state, after).await {
            Ok(opened) => {
                state.possible_runs += u32::from(!state.same_engine);
                return Ok(opened);
            }
            Err(failure) => failure,
        };
        let refusal = state.record(failure.refusal);
        if !state.may_retry(router, call, failure.progress) {
            return Err(refusal);
        }
        log::info!(
            "call: another engine attempt={} cause={} ran={:?} round={}",
            call.meta.attempt,
            refusal.cause.name(),
            state.ran,
            state.rounds,
        );
    }
}

async fn attempt(
    router: &Arc<Router>,
    call: &Arc<Call>,
    state: &mut RetryState,
    after: Option<&Position>,
) -> Result<OpenStream, FailedAttempt> {
    let queued = Instant::now();
    let again = state.rounds > 0 || after.is_some();
    let last_engine = state.last_engine.take();
    let slot = place::acquire(router, call, again, after, last_engine.as_ref()).await?;
    router.metrics.queue(&call.service.name, call.customer_name(), queued.elapsed());
    call::reauthorize(router, call)?;
    log::info!(
        "call: placed attempt={} route={} engine={} hold={} ticket={} queued_ms={}",
        call.meta.attempt,
        call.route.name,
        slot.engine.id,
        slot.reservation.as_deref().unwrap_or("-"),
        slot.ticket,
        queued.elapsed().as_millis(),
    );
    state.rounds += 1;
    state.same_engine = last_engine.is_some_and(|last_engine| last_engine == slot.engine.id);
    state.last_engine = (!state.same_engine).then(|| slot.engine.id.clone());
    let source =
        if state.same_engine { None } else { prefill::prefill(router, call, state).await? };
    decode::decode(router, call, state, slot, source, after).await
}

fn build_request(
    router: &Router,
    call: &Call,
    engine: &Upstream,
    stage: ServingStage<'_>,
    after: Option<&Position>,
) -> http::Request<bytes::Bytes> {
    let params = SendParams {
        upstream: &engine.id,
        customer: call.customer.as_ref().map(|customer| customer.name.as_ref()),
        timeout: call.remaining(Instant::now()),
        resume: plain::resume_from(call, after),
        stage,
    };
    plain::upstream_request(router, call, &params)
}

/// Sends a call whose answer nobody waits for.
fn send_detached(router: &Arc<Router>, engine: &Upstream, command: &EngineCommand<'_>) {
    let request = router.dialect.engine_command(&engine.id, command);
    let (address, router) = (engine.address, router.clone());
    let Ok(runtime) = tokio::runtime::Handle::try_current() else { return };
    runtime.spawn(async move {
        let sent = tokio::time::timeout(COMMAND_TIMEOUT, client::send_buffered(address, request));
        let outcome = match sent.await {
            Ok(Ok(response)) => response.status().to_string(),
            Ok(Err(error)) => error.to_string(),
            Err(_) => "silent".to_owned(),
        };
        router.metrics.send("release", "sent");
        log::debug!("call: released at {address}: {outcome}");
    });
}

fn timeout_error(engine: &Upstream) -> SendError {
    SendError {
        step: client::SendStep::Response,
        address: engine.address,
        reason: Arc::from("no answer in time"),
    }
}

/// Spreads the callers that come back over some time.
fn jitter(retry: Duration) -> Duration {
    retry.mul_f64(rand::random_range(0.8..1.3))
}

fn timeout_refusal() -> Refusal {
    Refusal::not_run(Cause::Timeout)
}
