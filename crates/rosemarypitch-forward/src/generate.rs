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
use crate::edge::{EngineCall, SendStage, Sending};
use crate::events::Position;
use crate::plain;
use crate::refusal::{Cause, Ran, Refusal};
use crate::relay::{self, AnswerBody, Opened, Resuming, Resumption, Stream};
use crate::registry::Upstream;
use crate::router::Router;

/// Longest time for a call that an engine answers at once.
const ENGINE_CALL_TIME: Duration = Duration::from_millis(400);
/// Time after which a caller may come back when engines failed rather than filled.
const FAILED_RETRY: Duration = Duration::from_millis(300);
/// Most engines that one request is brought to, those included that would not run it.
const MAX_ROUNDS: u32 = 4;

/// Runs a model request.
pub async fn run(router: &Arc<Router>, call: &Arc<Call>) -> Result<Response<AnswerBody>, Refusal> {
    let mut tries = Tries::default();
    let opened = open(router, call, &mut tries, None).await?;
    let resumes = call.route.kind.may_run_again() && opened.head.status.is_success();
    let resumption = resumes.then(|| resumption(router, call, tries));
    let body = |segment| Stream::relay(segment, call.deadline, resumption);
    Ok(relay::response(router, opened, body))
}

/// How a stream goes on when its engine breaks off.
fn resumption(router: &Arc<Router>, call: &Arc<Call>, tries: Tries) -> Resumption {
    let silence = relay::silence(&call.route);
    let (router, call) = (router.clone(), call.clone());
    // Only one attempt to go on is under way at a time.
    let tries = Arc::new(Mutex::new(tries));
    let next = Box::new(move |position: Position| {
        let mut present = tries.lock().unwrap_or_else(|error| error.into_inner()).clone();
        if !present.may_go_on(&router, &call, Step::Arrived) {
            return None;
        }
        let (router, call, tries) = (router.clone(), call.clone(), tries.clone());
        let resuming: Resuming = Box::pin(async move {
            let opened = open(&router, &call, &mut present, Some(&position)).await;
            *tries.lock().unwrap_or_else(|error| error.into_inner()) = present;
            relay::log_resumed(&call, &position, opened.as_ref().err());
            opened.ok().filter(|opened| opened.head.status.is_success()).map(|o| o.segment)
        });
        Some(resuming)
    });
    Resumption { silence, next }
}

/// What has become of a request so far.
#[derive(Clone, Debug)]
struct Tries {
    ran: Ran,
    /// Engines that it was brought to.
    rounds: u32,
    /// Engines that may have run it.
    runs: u32,
    /// Whether an engine has read its prompt.
    prefilled: bool,
    /// Engines whose KV cache could not be had.
    lapsed: Vec<Arc<str>>,
    /// The engine that answered last: if only the connection broke, it still keeps the
    /// prompt. None once it has been asked again.
    last: Option<Arc<str>>,
    /// Whether the present engine is that one again.
    kept: bool,
}

impl Default for Tries {
    fn default() -> Self {
        let lapsed = Vec::new();
        Self { ran: Ran::No, rounds: 0, runs: 0, prefilled: false, lapsed, last: None, kept: false }
    }
}

/// How far a failed attempt came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// There is no use in another attempt.
    Final,
    /// The engine was not reached.
    Unsent,
    /// The engine has had the request.
    Arrived,
}

/// An attempt that gave no answer.
struct Failure {
    refusal: Refusal,
    step: Step,
}

impl From<Refusal> for Failure {
    fn from(refusal: Refusal) -> Self {
        Self { refusal, step: Step::Final }
    }
}

impl Tries {
    /// Takes a failure; gives the refusal that is true after it.
    fn note(&mut self, refusal: Refusal) -> Refusal {
        if refusal.ran == Ran::Maybe {
            self.ran = Ran::Maybe;
            self.runs += u32::from(!self.kept);
        }
        match self.ran {
            Ran::No => refusal,
            Ran::Maybe => Refusal { ran: Ran::Maybe, retry_after: None, ..refusal },
        }
    }

    /// Whether the request may go to one more engine.
    fn may_go_on(&self, router: &Router, call: &Call, step: Step) -> bool {
        let now = Instant::now();
        let allowed = self.ran == Ran::No || call.route.kind.may_run_again();
        let left = self.rounds < MAX_ROUNDS && self.runs < call.route.max_attempts;
        if step == Step::Final || !allowed || !left || call.left(now).is_zero() {
            return false;
        }
        step == Step::Unsent || router.take_retry(now, &call.service.name)
    }
}

/// Brings a request to engines until one answers.
async fn open(
    router: &Arc<Router>,
    call: &Arc<Call>,
    tries: &mut Tries,
    after: Option<&Position>,
) -> Result<Opened, Refusal> {
    loop {
        let failure = match attempt(router, call, tries, after).await {
            Ok(opened) => {
                tries.runs += u32::from(!tries.kept);
                return Ok(opened);
            }
            Err(failure) => failure,
        };
        let refusal = tries.note(failure.refusal);
        if !tries.may_go_on(router, call, failure.step) {
            return Err(refusal);
        }
        log::info!(
            "call: another engine attempt={} cause={} ran={:?} round={}",
            call.facts.attempt,
            refusal.cause.name(),
            tries.ran,
            tries.rounds,
        );
    }
}

async fn attempt(
    router: &Arc<Router>,
    call: &Arc<Call>,
    tries: &mut Tries,
    after: Option<&Position>,
) -> Result<Opened, Failure> {
    let queued = Instant::now();
    let again = tries.rounds > 0 || after.is_some();
    let last = tries.last.take();
    let place = place::reserve(router, call, again, after, last.as_ref()).await?;
    router.metrics.queue(&call.service.name, call.customer_name(), queued.elapsed());
    call::check_again(router, call)?;
    log::info!(
        "call: placed attempt={} route={} engine={} hold={} ticket={} queued_ms={}",
        call.facts.attempt,
        call.route.name,
        place.engine.id,
        place.hold.as_deref().unwrap_or("-"),
        place.ticket,
        queued.elapsed().as_millis(),
    );
    tries.rounds += 1;
    tries.kept = last.is_some_and(|last| last == place.engine.id);
    tries.last = (!tries.kept).then(|| place.engine.id.clone());
    let source = if tries.kept { None } else { prefill::prefill(router, call, tries).await? };
    decode::decode(router, call, tries, place, source, after).await
}

fn build(
    router: &Router,
    call: &Call,
    engine: &Upstream,
    stage: SendStage<'_>,
    after: Option<&Position>,
) -> http::Request<bytes::Bytes> {
    let sending = Sending {
        upstream: &engine.id,
        customer: call.customer.as_ref().map(|customer| customer.name.as_ref()),
        patience: call.left(Instant::now()),
        resume: plain::resume(call, after),
        stage,
    };
    plain::request(router, call, &sending)
}

/// Sends a call whose answer nobody waits for.
fn tell(router: &Arc<Router>, engine: &Upstream, call: &EngineCall<'_>) {
    let request = router.dialect.engine_call(&engine.id, call);
    let (address, router) = (engine.address, router.clone());
    let Ok(runtime) = tokio::runtime::Handle::try_current() else { return };
    runtime.spawn(async move {
        let sent = tokio::time::timeout(ENGINE_CALL_TIME, client::send_whole(address, request));
        let outcome = match sent.await {
            Ok(Ok(answer)) => answer.status().to_string(),
            Ok(Err(error)) => error.to_string(),
            Err(_) => "silent".to_owned(),
        };
        router.metrics.send("release", "sent");
        log::debug!("call: released at {address}: {outcome}");
    });
}

fn silent(engine: &Upstream) -> SendError {
    SendError {
        step: client::SendStep::Answer,
        peer: engine.address,
        reason: Arc::from("no answer in time"),
    }
}

/// Spreads the callers that come back over some time.
fn spread(retry: Duration) -> Duration {
    retry.mul_f64(rand::random_range(0.8..1.3))
}

fn timed_out() -> Refusal {
    Refusal::not_run(Cause::Timeout)
}
