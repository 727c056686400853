//! The life of a model request: a slot, a prefill, a stream.
//!
//! A decode slot is reserved at the engine before the prompt is read, so that no prompt is
//! read in vain and no host needs to know what the others place. Whatever the request
//! holds is released on every way out, also when the caller leaves.

use std::sync::Arc;
use std::time::Duration;

use http::{Response, StatusCode};
use tokio::time::Instant;

use crate::call::{self, Call};
use crate::client::{self, Exchange, SendError};
use crate::edge::{EngineCall, KvSource, SendStage, Sending};
use crate::health::Outcome;
use crate::plain::{self, Verdict};
use crate::pool::{DecodeEnd, PrefillEnd, Ticket};
use crate::refusal::{Cause, Ran, Refusal};
use crate::relay::{AnswerBody, Stream, StreamEnd};
use crate::roster::Upstream;
use crate::router::{PlaceAsk, Placed, Router};
use crate::site::RouteKind;

/// Most engines that are asked for a slot; each costs a round trip.
const MAX_HOLDS: u32 = 6;
/// Most engines that are asked to read a prompt.
const MAX_PREFILLS: u32 = 2;
/// Longest time for a call that an engine answers at once.
const ENGINE_CALL_TIME: Duration = Duration::from_millis(400);
/// Least time that a prompt is given to be read: a queue of a few prompts.
const MIN_PREFILL_TIME: Duration = Duration::from_millis(400);
/// Multiple of the expected time that a prompt is given to be read.
const PREFILL_PATIENCE: u32 = 5;
/// Least time in which a caller abandons a stream that has not begun.
const MIN_PATIENCE: Duration = Duration::from_secs(2);
/// Targets after which a caller abandons a stream that has not begun.
const PATIENCE_TARGETS: u32 = 4;
/// Shortest forecast of room: the time in which most streams that run now have ended.
const MIN_RETRY: Duration = Duration::from_millis(2_500);
/// Part of its time that a caller waits after a refusal; a third by the platform's word.
const MAX_RETRY_PART: f64 = 0.32;
/// Time after which a caller may come back when engines failed rather than filled.
const FAILED_RETRY: Duration = Duration::from_millis(300);

/// Runs a model request.
pub async fn run(router: &Arc<Router>, call: &Arc<Call>) -> Result<Response<AnswerBody>, Refusal> {
    let queued = Instant::now();
    let place = reserve(router, call).await?;
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
    let source = prefill(router, call).await?;
    decode(router, call, place, source).await
}

/// A slot at a decode engine.
struct Place {
    router: Arc<Router>,
    call: Arc<Call>,
    engine: Arc<Upstream>,
    ticket: Ticket,
    hold: Option<Arc<str>>,
    start: Instant,
    end: DecodeEnd,
}

impl Place {
    fn finish(mut self, end: DecodeEnd) {
        self.end = end;
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.router.release(&self.call.service.name, &self.engine.id, self.ticket, self.end);
        if let Some(hold) = self.hold.take() {
            let call = EngineCall::DropHold(&hold);
            tell(&self.router, &self.engine, &call);
        }
    }
}

/// Waits for a slot, and reserves it at the engine.
async fn reserve(router: &Arc<Router>, call: &Arc<Call>) -> Result<Place, Refusal> {
    let tokens = call.tokens();
    let service = &call.service.name;
    let likely = router.with_pool(service, |pool| pool.likely(tokens)).unwrap_or_default();
    // A returning caller's time has run since its first attempt.
    let age =
        call.facts.patience.map_or(Duration::ZERO, |left| call.route.timeout.saturating_sub(left));
    let patience = (call.route.target * PATIENCE_TARGETS).max(MIN_PATIENCE);
    let patience = patience.mul_f64(router.settings.pool.wait_part);
    let mut ask = PlaceAsk {
        prompt: tokens.prompt,
        likely,
        returned: age > call.route.target,
        due: call.start + call.route.target.saturating_sub(age),
        patience: (call.start + patience).min(call.deadline),
        again: false,
    };
    for _ in 0..MAX_HOLDS {
        let placed = router.place(&call.service.name, ask).await;
        let Placed { ticket, engine } = placed
            .map_err(|retry| Refusal::not_run(Cause::Busy).after(retry_after(call, retry)))?;
        let mut place = Place {
            router: router.clone(),
            call: call.clone(),
            engine,
            ticket,
            hold: None,
            start: Instant::now(),
            end: DecodeEnd::Cancelled,
        };
        match hold(router, call, &place.engine, likely.output).await {
            Ok(Some(hold)) => {
                place.hold = Some(hold);
                return Ok(place);
            }
            Ok(None) => {
                let now = Instant::now();
                router.with_pool(&call.service.name, |pool| pool.full(now, &place.engine.id));
            }
            Err(error) => {
                log::info!("call: no slot attempt={} {error}", call.facts.attempt);
                place.finish(DecodeEnd::Failed(Outcome::Unreachable));
            }
        }
        ask.again = true;
    }
    Err(Refusal::not_run(Cause::Busy).after(spread(FAILED_RETRY)))
}

/// Reserves a slot; none if the engine has no room.
async fn hold(
    router: &Router,
    call: &Call,
    engine: &Upstream,
    output: u64,
) -> Result<Option<Arc<str>>, SendError> {
    let time = call.service.engine.map_or(Duration::ZERO, |size| size.hold);
    let prompt = call.tokens().prompt;
    let size = router.with_pool(&call.service.name, |pool| pool.hold_size(prompt, output));
    let tokens = size.unwrap_or(prompt);
    let ask = EngineCall::Hold { tokens, time: time.min(call.left(Instant::now())) };
    let request = router.dialect.engine_call(&engine.id, &ask);
    let exchange = client::send_whole(engine.address, request);
    let answer = tokio::time::timeout(ENGINE_CALL_TIME, exchange).await;
    let answer = answer.unwrap_or_else(|_| Err(silent(engine)))?;
    router.metrics.send("hold", answer.status().as_str());
    if answer.status() != StatusCode::OK {
        return Ok(None);
    }
    Ok(router.dialect.hold_name(answer.body()))
}

/// A prompt that has been read; freed unless a decode engine takes it.
struct Cache {
    router: Arc<Router>,
    engine: Arc<Upstream>,
    source: KvSource,
    taken: bool,
}

impl Drop for Cache {
    fn drop(&mut self) {
        if !self.taken {
            tell(&self.router, &self.engine, &EngineCall::FreeCache(&self.source.handle));
        }
    }
}

/// Has the prompt read; none if no engine can, so that the decode engine reads it itself.
async fn prefill(router: &Arc<Router>, call: &Arc<Call>) -> Result<Option<Cache>, Refusal> {
    let prompt = call.tokens().prompt;
    let mut tried: Vec<Arc<str>> = Vec::new();
    for round in 0..MAX_PREFILLS {
        let now = Instant::now();
        if call.left(now).is_zero() {
            return Err(Refusal::not_run(Cause::Timeout));
        }
        if round > 0 && !router.take_repeat(now, &call.service.name) {
            return Ok(None);
        }
        let chosen = router
            .with_pool(&call.service.name, |pool| pool.start_prefill(now, prompt, &tried))
            .flatten();
        let Some(engine) = chosen else { return Ok(None) };
        tried.push(engine.id.clone());
        if let Some(cache) = read_prompt(router, call, engine, prompt).await {
            return Ok(Some(cache));
        }
    }
    Ok(None)
}

async fn read_prompt(
    router: &Arc<Router>,
    call: &Arc<Call>,
    engine: Arc<Upstream>,
    prompt: u64,
) -> Option<Cache> {
    let start = Instant::now();
    let reading = Reading { router, call, id: &engine.id, prompt, end: PrefillEnd::Cancelled };
    let expected = router
        .with_pool(&call.service.name, |pool| pool.reading_time(prompt))
        .unwrap_or(MIN_PREFILL_TIME);
    let limit = (expected * PREFILL_PATIENCE).max(MIN_PREFILL_TIME).min(call.left(start));
    let request = build(router, call, &engine, SendStage::Prefill);
    let exchange = client::send_whole(engine.address, request);
    let answer = tokio::time::timeout(limit, exchange).await;
    let (handle, end, detail) = match answer {
        Ok(Ok(answer)) => {
            let handle = (answer.status() == StatusCode::OK)
                .then(|| router.dialect.cache_name(answer.body()))
                .flatten();
            let end = match handle {
                Some(_) => PrefillEnd::Read(start.elapsed()),
                None => PrefillEnd::Failed(Outcome::Failed),
            };
            (handle, end, answer.status().to_string())
        }
        Ok(Err(error)) => {
            let outcome = if error.is_unsent() { Outcome::Unreachable } else { Outcome::Failed };
            (None, PrefillEnd::Failed(outcome), error.to_string())
        }
        Err(_) => (None, PrefillEnd::Failed(Outcome::Unreachable), "silent".to_owned()),
    };
    reading.finish(end);
    router.metrics.send("prefill", if handle.is_some() { "ok" } else { "failed" });
    log::info!(
        "call: prefill attempt={} engine={} prompt={prompt} outcome=\"{detail}\" took_ms={}",
        call.facts.attempt,
        engine.id,
        start.elapsed().as_millis(),
    );
    let handle = handle?;
    let source = KvSource { engine: engine.id.clone(), address: engine.address, handle };
    Some(Cache { router: router.clone(), engine, source, taken: false })
}

/// A prompt that is being read; counted off on every way out.
struct Reading<'a> {
    router: &'a Router,
    call: &'a Call,
    id: &'a str,
    prompt: u64,
    end: PrefillEnd,
}

impl Reading<'_> {
    fn finish(mut self, end: PrefillEnd) {
        self.end = end;
    }
}

impl Drop for Reading<'_> {
    fn drop(&mut self) {
        let now = Instant::now();
        self.router.with_pool(&self.call.service.name, |pool| {
            pool.finish_prefill(now, self.id, self.prompt, self.end);
        });
    }
}

async fn decode(
    router: &Arc<Router>,
    call: &Arc<Call>,
    mut place: Place,
    mut cache: Option<Cache>,
) -> Result<Response<AnswerBody>, Refusal> {
    let sent = Instant::now();
    let hold = place.hold.take();
    let source = cache.as_ref().map(|cache| &cache.source);
    let stage = SendStage::Run { hold: hold.as_deref(), source };
    let request = build(router, call, &place.engine, stage);
    if let Some(cache) = &mut cache {
        cache.taken = true;
    }
    let exchange = client::send(place.engine.address, request);
    let result = tokio::time::timeout(call.left(sent), exchange).await;
    let (result, detail) = match result {
        Ok(Ok(exchange)) => {
            let status = exchange.response.status();
            (Ok(exchange), status.to_string())
        }
        Ok(Err(error)) => {
            let detail = error.to_string();
            (Err(failure(&error)), detail)
        }
        Err(_) => {
            (Err((Refusal::new(Cause::Timeout, Ran::Maybe), Outcome::Failed)), "silent".to_owned())
        }
    };
    router.metrics.send("decode", if result.is_ok() { "answered" } else { "failed" });
    log::info!(
        "call: decode attempt={} engine={} source={} outcome=\"{detail}\" took_ms={} age_ms={}",
        call.facts.attempt,
        place.engine.id,
        cache.as_ref().map_or("-", |cache| cache.source.engine.as_ref()),
        sent.elapsed().as_millis(),
        call.start.elapsed().as_millis(),
    );
    match result {
        Ok(exchange) => relay(router, call, place, exchange).await,
        Err((refusal, outcome)) => {
            if refusal.ran == Ran::No {
                // The engine never saw the cache nor the reserved slot.
                place.hold = hold;
                if let Some(cache) = &mut cache {
                    cache.taken = false;
                }
            }
            place.finish(DecodeEnd::Failed(outcome));
            Err(refusal)
        }
    }
}

fn failure(error: &SendError) -> (Refusal, Outcome) {
    if error.is_unsent() {
        let refusal = Refusal::not_run(Cause::NoUpstream).after(spread(FAILED_RETRY));
        return (refusal, Outcome::Unreachable);
    }
    (Refusal::new(Cause::UpstreamFailed, Ran::Maybe), Outcome::Failed)
}

/// Passes an engine's answer on.
async fn relay(
    router: &Arc<Router>,
    call: &Arc<Call>,
    place: Place,
    exchange: Exchange,
) -> Result<Response<AnswerBody>, Refusal> {
    let (head, body) = exchange.response.into_parts();
    let facts = router.dialect.answer_head(&head);
    match plain::classify(&facts, &call.facts.attempt, head.status) {
        Verdict::NotRun => {
            place.finish(DecodeEnd::Failed(Outcome::Failed));
            return Err(Refusal::not_run(Cause::Busy).after(spread(FAILED_RETRY)));
        }
        Verdict::Foreign => {
            place.finish(DecodeEnd::Failed(Outcome::Failed));
            return Err(Refusal::new(Cause::UpstreamFailed, Ran::Maybe));
        }
        Verdict::Own => {}
    }
    let mut response = Response::new(());
    *response.status_mut() = head.status;
    *response.headers_mut() = router.dialect.caller_headers(&head);
    let good = head.status.is_success();
    let (engine, ticket) = (place.engine.id.clone(), place.ticket);
    let mut held = Some(place);
    let on_end = move |end: StreamEnd| {
        let Some(place) = held.take() else { return };
        log::info!(
            "call: stream ended attempt={} engine={} end={end:?} age_ms={}",
            place.call.facts.attempt,
            place.engine.id,
            place.call.start.elapsed().as_millis(),
        );
        let stay = place.start.elapsed();
        place.finish(match end {
            StreamEnd::Complete if good => DecodeEnd::Finished(stay),
            StreamEnd::Complete | StreamEnd::Broken(_) => DecodeEnd::Failed(Outcome::Failed),
            StreamEnd::Abandoned => DecodeEnd::Cancelled,
        });
    };
    let on_events = count_events(router, call, engine, ticket);
    let stream = Stream::relay(body, exchange.connection, call.deadline, on_events, on_end);
    Ok(response.map(|()| stream))
}

/// Tells the pool how far a stream has come.
fn count_events(
    router: &Arc<Router>,
    call: &Call,
    engine: Arc<str>,
    ticket: Ticket,
) -> impl FnMut(u64) + Send + Unpin + 'static {
    let (router, service) = (router.clone(), call.service.clone());
    let stride = service.engine.map_or(1, |size| size.stride);
    let mut made = 0;
    move |events| {
        made += events * stride;
        router.with_pool(&service.name, |pool| pool.progress(&engine, ticket, made));
    }
}

fn build(
    router: &Router,
    call: &Call,
    engine: &Upstream,
    stage: SendStage<'_>,
) -> http::Request<bytes::Bytes> {
    let sending = Sending {
        upstream: &engine.id,
        customer: call.customer.as_ref().map(|customer| customer.name.as_ref()),
        patience: call.left(Instant::now()),
        resumes: matches!(call.route.kind, RouteKind::Stream { resumable: true }),
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

/// When a caller for whom there is no room may come back: not before there should be, since
/// it may come only once, and not after it would stop waiting.
fn retry_after(call: &Call, forecast: Duration) -> Duration {
    let most = call.left(Instant::now()).mul_f64(MAX_RETRY_PART);
    forecast.clamp(MIN_RETRY.min(most), most).mul_f64(rand::random_range(0.75..1.0))
}

/// Spreads the callers that come back over some time.
fn spread(retry: Duration) -> Duration {
    retry.mul_f64(rand::random_range(0.8..1.3))
}
