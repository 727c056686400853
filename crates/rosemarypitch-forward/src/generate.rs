//! Forwarding of model requests: slot reservation, prefill and decode.
//!
//! The router reserves a slot at a decode engine before any engine prefills the prompt, so
//! that no prefill is wasted and hosts need not agree on placements first. Guards
//! release everything that the request holds on every exit path, including when the caller
//! disconnects.
//!
//! If an engine fails before it has run the request, the router retries on another one. If
//! the engine may have run it, the router retries only where the route allows that. An
//! interrupted stream is resumed in the same way: the next engine starts after the last
//! complete event.

mod crash;
mod decode;
mod prefill;
mod resume;
mod slot;

use std::sync::Arc;
use std::time::Duration;

use http::Response;
use tokio::time::Instant;

use crate::call::{self, Call};
use crate::client::{self, SendError};
use crate::deployment::{EngineCommand, SendParams, ServingStage};
use crate::events::Position;
use crate::plain;
use crate::refusal::{Cause, Ran, Refusal};
use crate::registry::Upstream;
use crate::relay::{self, OpenStream, ResponseBody, Stream};
use crate::retry::{Denial, RetryPermit};
use crate::router::Router;
use crate::takeup;

use crash::PendingCheck;
use decode::DecodeFailure;
use prefill::KvCache;
use slot::SlotGuard;

/// Timeout of control requests, which engines answer immediately.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(400);
/// `Retry-After` when engines failed rather than were full.
const FAILED_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Maximum number of engines that one request is placed at, including those that refuse it.
const MAX_PLACEMENTS: u32 = 4;

/// Forwards a model request.
pub async fn run(
    router: &Arc<Router>,
    call: &Arc<Call>,
) -> Result<Response<ResponseBody>, Refusal> {
    let version = takeup::version(router, call).await?;
    let mut state = RetryState { version, ..RetryState::default() };
    let opened = open_stream(router, call, &mut state, None, None).await?;
    let resumable = call.route.kind.may_run_again() && opened.head.status.is_success();
    if resumable {
        state.version = Some(opened.upstream.version.clone());
        takeup::begin(router, call, &opened.upstream).await;
    }
    let policy = resumable.then(|| resume::policy(router, call, state));
    let body = |segment| Stream::relay(segment, call.deadline, policy);
    Ok(relay::response(router, opened, body))
}

/// Outcome of a request's attempts so far.
#[derive(Clone, Debug)]
struct RetryState {
    /// Whether any engine may have run the request.
    ran: Ran,
    /// Number of engines that it was placed at.
    placements: u32,
    /// Number of engines that may have run it.
    possible_runs: u32,
    /// Whether an engine has prefilled its prompt.
    prefilled: bool,
    /// Prefill engines whose KV cache could not be fetched.
    lost_caches: Vec<Arc<str>>,
    /// Engine of the latest attempt. If only its connection broke, it still has the
    /// prompt's KV cache, and is retried once.
    last_engine: Option<Arc<str>>,
    /// Whether the current attempt goes to the same engine as the previous one.
    same_engine: bool,
    /// Check of the engine whose stream broke last.
    crash_check: PendingCheck,
    /// Software version that began the stream; none before its start.
    version: Option<Arc<str>>,
}

impl Default for RetryState {
    fn default() -> Self {
        let lost_caches = Vec::new();
        Self {
            ran: Ran::No,
            placements: 0,
            possible_runs: 0,
            prefilled: false,
            lost_caches,
            last_engine: None,
            same_engine: false,
            crash_check: PendingCheck::default(),
            version: None,
        }
    }
}

/// How far a failed attempt got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// The failure is final; another attempt would not help.
    NoRetry,
    /// The engine did not receive the request.
    Unsent,
    /// The engine may have received the request.
    Delivered,
}

/// An attempt that ended without a response.
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
    /// Records a failed attempt; returns its refusal, corrected by whether earlier attempts ran.
    fn record(&mut self, refusal: Refusal) -> Refusal {
        if refusal.ran == Ran::Maybe {
            self.ran = Ran::Maybe;
            self.possible_runs += u32::from(!self.same_engine);
        }
        match self.ran {
            Ran::No => refusal,
            Ran::Maybe => Refusal { ran: Ran::Maybe, retry_after: None, ..refusal },
        }
    }

    /// Whether another attempt is allowed. One that follows a delivered attempt draws on the
    /// service's retry budget.
    fn may_retry(
        &self,
        router: &Arc<Router>,
        call: &Call,
        progress: Progress,
    ) -> Result<Option<RetryPermit>, Denial> {
        let now = Instant::now();
        let allowed = self.ran == Ran::No || call.route.kind.may_run_again();
        let left = self.placements < MAX_PLACEMENTS && self.possible_runs < call.route.max_attempts;
        match progress {
            Progress::NoRetry => Err(Denial::Final),
            _ if !allowed => Err(Denial::Route),
            _ if !left => Err(Denial::Attempts),
            _ if call.remaining(now).is_zero() => Err(Denial::Deadline),
            _ if crash::refuse_culprit(router, call).is_err() => Err(Denial::Quarantine),
            Progress::Unsent => Ok(None),
            Progress::Delivered => RetryPermit::take(router, call).map(Some),
        }
    }
}

/// An engine that is ready to receive a request.
struct Prepared {
    slot: SlotGuard,
    /// KV cache of the prompt; none if the engine has it or prefills the prompt itself.
    cache: Option<KvCache>,
    /// Retry that the request draws on, if any.
    permit: Option<RetryPermit>,
}

/// Sends a request to one engine after another until one responds.
///
/// `prepared` is the first one, if it has been prepared already.
async fn open_stream(
    router: &Arc<Router>,
    call: &Arc<Call>,
    state: &mut RetryState,
    after: Option<&Position>,
    mut prepared: Option<Prepared>,
) -> Result<OpenStream, Refusal> {
    let mut permit = None;
    loop {
        let ready = match prepared.take() {
            Some(prepared) => Ok(prepared),
            None => {
                let last_engine = state.last_engine.clone().filter(|_| !state.same_engine);
                let version = state.version.clone();
                let choice = EngineChoice { first: last_engine, excluded: None, version };
                prepare(router, call, state, after, choice, permit.take()).await
            }
        };
        let opened = match ready {
            Ok(prepared) => decode::decode(router, call, state, prepared, after).await,
            Err(failure) => Err(DecodeFailure::Failed(failure)),
        };
        let failure = match opened {
            Ok(opened) if after.is_some() && !opened.is_continuation() => {
                opened.reject();
                let refusal = Refusal::new(Cause::UpstreamFailed, Ran::Maybe);
                FailedAttempt { refusal, progress: Progress::Delivered }
            }
            Ok(opened) => {
                state.possible_runs += u32::from(!state.same_engine);
                return Ok(opened);
            }
            Err(DecodeFailure::Replaced(next)) => {
                prepared = Some(next);
                continue;
            }
            Err(DecodeFailure::Failed(failure)) => failure,
        };
        let refusal = state.record(failure.refusal);
        call.set_ran(state.ran);
        permit = match state.may_retry(router, call, failure.progress) {
            Ok(permit) => permit,
            Err(denial) => {
                if denial != Denial::Final {
                    log::info!(
                        "call: not retried attempt={} cause={} reason={}",
                        call.meta.attempt,
                        refusal.cause.name(),
                        denial.name(),
                    );
                }
                return Err(refusal);
            }
        };
        log::info!(
            "call: retrying on another engine attempt={} cause={} ran={:?} round={}",
            call.meta.attempt,
            refusal.cause.name(),
            state.ran,
            state.placements,
        );
    }
}

/// Which engines a request may be placed at.
#[derive(Clone, Debug, Default)]
struct EngineChoice {
    /// Engine that is tried first; only for streams that are resumed.
    first: Option<Arc<str>>,
    /// Engine that is not used.
    excluded: Option<Arc<str>>,
    /// Software version of the engines that can go on with the stream.
    version: Option<Arc<str>>,
}

/// Reserves a slot at an engine and prefills the prompt.
async fn prepare(
    router: &Arc<Router>,
    call: &Arc<Call>,
    state: &mut RetryState,
    after: Option<&Position>,
    choice: EngineChoice,
    permit: Option<RetryPermit>,
) -> Result<Prepared, FailedAttempt> {
    crash::refuse_culprit(router, call)?;
    let queued = Instant::now();
    let requeued = state.placements > 0 || after.is_some();
    let mut slot = slot::acquire(router, call, requeued, after, &choice).await?;
    router.metrics.record_wait(&call.service.name, call.customer_name(), queued.elapsed());
    call::reauthorize(router, call)?;
    log::info!(
        "call: placed attempt={} route={} engine={} hold={} ticket={} queued_ms={} parts={}",
        call.meta.attempt,
        call.route.name,
        slot.engine.id,
        slot.reservation.as_deref().unwrap_or("-"),
        slot.ticket,
        queued.elapsed().as_millis(),
        call.parts_text(),
    );
    state.placements += 1;
    state.same_engine = choice.first.as_ref() == Some(&slot.engine.id);
    state.last_engine = Some(slot.engine.id.clone());
    let cache =
        if state.same_engine { None } else { prefill::prefill(router, call, state, &slot).await? };
    crash::refuse_culprit(router, call)?;
    while !router.start_decode(&slot.engine, slot.ticket) {
        slot = replace_slot(router, call, state, after, &choice, slot).await?;
    }
    // A decode engine would fetch the cache from a data centre to which nothing is sent any more.
    let cache = cache.filter(|cache| !router.is_evacuated(&cache.engine.zone));
    // Another version cannot read it.
    let cache = cache.filter(|cache| cache.engine.version == slot.engine.version);
    Ok(Prepared { slot, cache, permit })
}

/// Moves a request to another engine, since the one that it had a slot at has left while the
/// prompt was prefilled. The KV cache of the prompt stays usable.
async fn replace_slot(
    router: &Arc<Router>,
    call: &Arc<Call>,
    state: &mut RetryState,
    after: Option<&Position>,
    choice: &EngineChoice,
    old: SlotGuard,
) -> Result<SlotGuard, FailedAttempt> {
    let left = old.engine.id.clone();
    drop(old);
    if state.placements >= MAX_PLACEMENTS {
        let refusal = Refusal::not_run(Cause::Busy).with_retry_after(jitter(FAILED_RETRY_AFTER));
        return Err(refusal.into());
    }
    let choice = EngineChoice { first: None, ..choice.clone() };
    let slot = slot::acquire(router, call, true, after, &choice).await?;
    log::info!(
        "call: moved attempt={} engine={} from={left} hold={} ticket={}",
        call.meta.attempt,
        slot.engine.id,
        slot.reservation.as_deref().unwrap_or("-"),
        slot.ticket,
    );
    state.placements += 1;
    state.same_engine = false;
    state.last_engine = Some(slot.engine.id.clone());
    Ok(slot)
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

/// Sends a control request in the background; a failure is only logged.
///
/// An engine in a data centre out of service, or one that rests, gets none: what it holds expires by
/// itself.
fn send_detached(router: &Arc<Router>, engine: &Upstream, command: &EngineCommand<'_>) {
    if router.is_evacuated(&engine.zone) {
        log::debug!("call: not released at {}: {} is out of service", engine.id, engine.zone);
        return;
    }
    if router.is_resting(Instant::now(), engine) {
        log::debug!("call: not released at {}: it rests", engine.id);
        return;
    }
    let request = router.dialect.engine_command(&engine.id, command);
    let (engine, address, router) = (engine.clone(), engine.address, router.clone());
    let Ok(runtime) = tokio::runtime::Handle::try_current() else { return };
    runtime.spawn(async move {
        let sent = tokio::time::timeout(COMMAND_TIMEOUT, client::send_buffered(address, request));
        let outcome = match sent.await {
            Ok(Ok(response)) => {
                let (head, _) = response.into_parts();
                router.observe_response(
                    &engine,
                    head.status,
                    &router.dialect.parse_response(&head),
                );
                head.status.to_string()
            }
            Ok(Err(error)) => error.to_string(),
            Err(_) => "silent".to_owned(),
        };
        router.metrics.count_send("release", "sent");
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

/// Adds jitter, so that refused callers do not all retry at once.
fn jitter(retry: Duration) -> Duration {
    retry.mul_f64(rand::random_range(0.8..1.3))
}

fn timeout_refusal() -> Refusal {
    Refusal::not_run(Cause::Timeout)
}
