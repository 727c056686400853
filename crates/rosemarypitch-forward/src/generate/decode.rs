//! The decode stage: sends a request to the engine that has its slot and relays the stream.

use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use tokio::time::Instant;

use super::crash;
use super::prefill::KvCache;
use super::slot::{self, SlotGuard};
use super::{
    FAILED_RETRY_AFTER, FailedAttempt, Prepared, Progress, RetryState, build_request, jitter,
    resume,
};
use crate::call::Call;
use crate::client::{self, Exchange, SendError};
use crate::deployment::ServingStage;
use crate::events::Position;
use crate::health::Outcome;
use crate::plain::{self, ResponseClass};
use crate::pool::{DecodeEnd, Ticket};
use crate::refusal::{Cause, Ran, Refusal};
use crate::relay::{self, OpenStream, Segment, StreamEnd, StreamError};
use crate::router::Router;

/// Time until the start of a response after which another engine is to take over, in multiples
/// of the route's target, where the request may run again.
const TIMEOUT_TARGETS: u32 = 2;
/// Time after the first event of an answer in which a crash of its engine may still be due to
/// the prompt.
const BEGINNING: Duration = Duration::from_millis(200);

/// Reason why an engine opened no stream.
pub enum DecodeFailure {
    /// The attempt failed.
    Failed(FailedAttempt),
    /// The engine was silent, and another one is ready to receive the request.
    Replaced(Prepared),
}

impl From<FailedAttempt> for DecodeFailure {
    fn from(failure: FailedAttempt) -> Self {
        Self::Failed(failure)
    }
}

/// What an engine's response head was awaited for.
enum Answer {
    Received(Result<Exchange, SendError>),
    Replaced(Prepared),
    /// The deadline has passed.
    Late,
}

/// Sends a request to the engine that holds its slot.
pub async fn decode(
    router: &Arc<Router>,
    call: &Arc<Call>,
    state: &mut RetryState,
    prepared: Prepared,
    after: Option<&Position>,
) -> Result<OpenStream, DecodeFailure> {
    let sent = Instant::now();
    check_time(router, call, &prepared, after)?;
    let Prepared { mut slot, mut cache, permit } = prepared;
    if let Some(permit) = permit {
        permit.spend();
    }
    let reservation = slot.reservation.take();
    let source = cache.as_ref().map(|cache| &cache.source);
    let stage = ServingStage::Run { reservation: reservation.as_deref(), source };
    let request = build_request(router, call, &slot.engine, stage, after);
    if let Some(cache) = &mut cache {
        cache.handed_over = true;
    }
    let answer = await_answer(router, call, state, slot.engine.address, request, after).await;
    let (result, detail) = match answer {
        Answer::Received(Ok(exchange)) => {
            let status = exchange.response.status();
            (Ok(exchange), status.to_string())
        }
        Answer::Received(Err(error)) => {
            let detail = error.to_string();
            let (failure, outcome) = send_failure(&error);
            (Err((DecodeFailure::Failed(failure), outcome)), detail)
        }
        Answer::Replaced(prepared) => {
            (Err((DecodeFailure::Replaced(prepared), Outcome::Unreachable)), "replaced".to_owned())
        }
        Answer::Late => {
            let refusal = Refusal::new(Cause::Timeout, Ran::Maybe);
            let failure = FailedAttempt { refusal, progress: Progress::Delivered };
            (Err((DecodeFailure::Failed(failure), Outcome::Unreachable)), "silent".to_owned())
        }
    };
    router.metrics.count_send("decode", if result.is_ok() { "answered" } else { "failed" });
    log::info!(
        "call: decode attempt={} engine={} source={} outcome=\"{detail}\" took_ms={} age_ms={}",
        call.meta.attempt,
        slot.engine.id,
        cache.as_ref().map_or("-", |cache| cache.source.engine.as_ref()),
        sent.elapsed().as_millis(),
        call.start.elapsed().as_millis(),
    );
    match result {
        Ok(exchange) => {
            if takeover_timeout(call).is_some_and(|timeout| sent.elapsed() >= timeout) {
                // It was avoided while it was silent.
                record_success(router, call, &slot.engine.id);
            }
            accept_response(router, call, state, slot, cache, exchange).map_err(Into::into)
        }
        Err((failure, outcome)) => {
            if matches!(&failure, DecodeFailure::Failed(f) if f.progress == Progress::Unsent) {
                // The engine has used neither the cache nor the reservation.
                slot.reservation = reservation;
                if let Some(cache) = &mut cache {
                    cache.handed_over = false;
                }
            }
            let engine = slot.engine.clone();
            slot.finish(DecodeEnd::Failed(outcome));
            if outcome == Outcome::Failed {
                crash::check(router, call, &engine).await;
            }
            Err(failure)
        }
    }
}

/// Refuses a request that is not forecast to end before this host stops, since its prompt took
/// longer than expected. A stream that is resumed has nothing to lose.
fn check_time(
    router: &Router,
    call: &Call,
    prepared: &Prepared,
    after: Option<&Position>,
) -> Result<(), FailedAttempt> {
    let (now, required) = (Instant::now(), prepared.slot.required);
    let can_decode =
        router.with_pool(&call.service.name, |pool| pool.can_decode(now, required)).unwrap_or(true);
    if can_decode || after.is_some() {
        return Ok(());
    }
    Err(slot::stopping_refusal(router, call, required).into())
}

/// Sends a request and waits for the head of its response.
async fn await_answer(
    router: &Arc<Router>,
    call: &Arc<Call>,
    state: &mut RetryState,
    address: SocketAddr,
    request: Request<Bytes>,
    after: Option<&Position>,
) -> Answer {
    let replacement = async {
        match takeover_timeout(call) {
            Some(timeout) => resume::replacement(router, call, state, after, timeout).await,
            None => std::future::pending().await,
        }
    };
    tokio::select! {
        biased;
        result = client::send(address, request) => Answer::Received(result),
        () = tokio::time::sleep_until(call.deadline) => Answer::Late,
        prepared = replacement => Answer::Replaced(prepared),
    }
}

/// Time without a response after which another engine is to take over; none if the request
/// may run only once.
fn takeover_timeout(call: &Call) -> Option<Duration> {
    let timeout = (call.route.target * TIMEOUT_TARGETS).max(relay::idle_timeout(&call.route));
    call.route.kind.may_run_again().then_some(timeout)
}

fn send_failure(error: &SendError) -> (FailedAttempt, Outcome) {
    if error.is_unsent() {
        let refusal =
            Refusal::not_run(Cause::NoUpstream).with_retry_after(jitter(FAILED_RETRY_AFTER));
        return (FailedAttempt { refusal, progress: Progress::Unsent }, Outcome::Unreachable);
    }
    let refusal = Refusal::new(Cause::UpstreamFailed, Ran::Maybe);
    (FailedAttempt { refusal, progress: Progress::Delivered }, Outcome::Failed)
}

/// Handles an engine's response and starts to relay its stream.
fn accept_response(
    router: &Arc<Router>,
    call: &Arc<Call>,
    state: &mut RetryState,
    slot: SlotGuard,
    cache: Option<KvCache>,
    exchange: Exchange,
) -> Result<OpenStream, FailedAttempt> {
    let (head, body) = exchange.response.into_parts();
    let meta = router.dialect.parse_response(&head);
    let prefill_engine = cache.as_ref().map(|cache| cache.source.engine.clone());
    let upstream = slot.engine.clone();
    let class = plain::classify(&meta, &call.meta.attempt, head.status);
    if plain::is_about(class, &meta) {
        router.observe_response(&slot.engine, head.status, &meta);
    }
    match class {
        ResponseClass::NotRun => {
            handle_not_run(router, call, state, slot, prefill_engine);
            let refusal =
                Refusal::not_run(Cause::Busy).with_retry_after(jitter(FAILED_RETRY_AFTER));
            return Err(FailedAttempt { refusal, progress: Progress::Delivered });
        }
        ResponseClass::Mismatched => {
            slot.finish(DecodeEnd::Failed(Outcome::Failed));
            let refusal = Refusal::new(Cause::UpstreamFailed, Ran::Maybe);
            return Err(FailedAttempt { refusal, progress: Progress::Delivered });
        }
        ResponseClass::Genuine => {}
    }
    if let Some(prefill_engine) = prefill_engine {
        record_success(router, call, &prefill_engine);
    }
    let success = head.status.is_success();
    let mut report_progress = progress_callback(router, call, slot.engine.id.clone(), slot.ticket);
    let began = Arc::new(OnceLock::new());
    let stream_began = began.clone();
    let on_events = move |events| {
        stream_began.get_or_init(Instant::now);
        report_progress(events);
    };
    let crash_check = state.crash_check.clone();
    let unframed = relay::is_unframed(&head);
    let on_end = move |end, events| {
        if success {
            match answer_end(end, began.get().copied(), unframed) {
                AnswerEnd::Complete => record_answer(&slot),
                AnswerEnd::Suspect => {
                    crash_check.start(&slot.router, &slot.call, &slot.engine);
                }
                AnswerEnd::Other => {}
            }
        }
        finish_stream(slot, end, events, success);
    };
    let segment = Segment::new(&head, body, exchange.connection, on_events, on_end);
    Ok(OpenStream { head, segment, upstream })
}

/// Handles an engine that refused to run a request in spite of its reservation. Usually the
/// KV cache that it had to fetch is gone.
fn handle_not_run(
    router: &Router,
    call: &Call,
    state: &mut RetryState,
    slot: SlotGuard,
    prefill_engine: Option<Arc<str>>,
) {
    let Some(prefill_engine) = prefill_engine else {
        return slot.finish(DecodeEnd::Failed(Outcome::Failed));
    };
    slot.finish(DecodeEnd::Cancelled);
    record_outcome(router, call, &prefill_engine, Outcome::Failed);
    state.lost_caches.push(prefill_engine);
}

fn record_success(router: &Router, call: &Call, engine: &str) {
    record_outcome(router, call, engine, Outcome::Succeeded);
}

fn record_outcome(router: &Router, call: &Call, engine: &str, outcome: Outcome) {
    let now = Instant::now();
    router.with_pool(&call.service.name, |pool| pool.record_outcome(now, engine, outcome));
}

/// What the end of an answer says about its prompt.
enum AnswerEnd {
    /// The engine has answered it.
    Complete,
    /// The engine may have crashed as it began to answer.
    Suspect,
    /// Nothing.
    Other,
}

/// Judges the end of an answer whose first event came at `began`.
///
/// The end of an answer without a length may be that of a crashed engine's connection.
fn answer_end(end: StreamEnd, began: Option<Instant>, unframed: bool) -> AnswerEnd {
    let early = began.is_none_or(|began| began.elapsed() < BEGINNING);
    match end {
        StreamEnd::Broken(StreamError::Upstream) if early => AnswerEnd::Suspect,
        StreamEnd::Complete if early && unframed => AnswerEnd::Suspect,
        StreamEnd::Complete => AnswerEnd::Complete,
        StreamEnd::Broken(_) | StreamEnd::Abandoned => AnswerEnd::Other,
    }
}

fn record_answer(slot: &SlotGuard) {
    let parts = slot.call.parts();
    slot.router.with_quarantine(|quarantine| quarantine.record_answer(Instant::now(), parts));
}

fn finish_stream(slot: SlotGuard, end: StreamEnd, events: u64, success: bool) {
    log::info!(
        "call: stream ended attempt={} engine={} end={end:?} events={events} age_ms={}",
        slot.call.meta.attempt,
        slot.engine.id,
        slot.call.start.elapsed().as_millis(),
    );
    let duration = slot.start.elapsed();
    slot.finish(match end {
        StreamEnd::Complete if success => DecodeEnd::Finished(duration),
        StreamEnd::Broken(StreamError::Silent) => DecodeEnd::Failed(Outcome::Unreachable),
        StreamEnd::Complete | StreamEnd::Broken(_) => DecodeEnd::Failed(Outcome::Failed),
        StreamEnd::Abandoned => DecodeEnd::Cancelled,
    });
}

/// Returns a callback that reports a stream's progress to the pool.
fn progress_callback(
    router: &Arc<Router>,
    call: &Call,
    engine: Arc<str>,
    ticket: Ticket,
) -> impl FnMut(u64) + Send + use<> {
    let (router, service) = (router.clone(), call.service.clone());
    let idle_timeout = relay::idle_timeout(&call.route);
    let mut latest = Instant::now();
    let event_tokens = service.engine.map_or(1, |size| size.event_tokens);
    let mut base = None;
    move |events| {
        // Events that earlier engines generated do not count as this engine's work.
        let start = *base.get_or_insert(events - 1);
        let generated = (events - start) * event_tokens;
        let now = Instant::now();
        let resumed = now - std::mem::replace(&mut latest, now) >= idle_timeout;
        router.with_pool(&service.name, |pool| {
            pool.record_output(now, &engine, ticket, generated);
            // The engine went on after a pause, for which it was avoided.
            if resumed {
                pool.record_outcome(now, &engine, Outcome::Succeeded);
            }
        });
    }
}
