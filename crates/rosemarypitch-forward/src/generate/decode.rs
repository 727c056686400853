//! The decode stage: sends a request to the engine that has its slot and relays the stream.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::prefill::KvCache;
use super::slot::SlotGuard;
use super::{
    FAILED_RETRY_AFTER, FailedAttempt, Prepared, Progress, RetryState, build_request, jitter,
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

/// Timeout for the start of a response, in multiples of the route's target, where the
/// request may run again. Callers give up after twice this time.
const TIMEOUT_TARGETS: u32 = 2;

/// Sends a request to the engine that holds its slot.
pub async fn decode(
    router: &Arc<Router>,
    call: &Arc<Call>,
    state: &mut RetryState,
    prepared: Prepared,
    after: Option<&Position>,
) -> Result<OpenStream, FailedAttempt> {
    let sent = Instant::now();
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
    let exchange = client::send(slot.engine.address, request);
    let result = tokio::time::timeout(response_timeout(call, sent), exchange).await;
    let (result, detail) = match result {
        Ok(Ok(exchange)) => {
            let status = exchange.response.status();
            (Ok(exchange), status.to_string())
        }
        Ok(Err(error)) => {
            let detail = error.to_string();
            (Err(send_failure(&error)), detail)
        }
        Err(_) => (Err((timeout_failure(call), Outcome::Unreachable)), "silent".to_owned()),
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
        Ok(exchange) => accept_response(router, call, state, slot, cache, exchange),
        Err((failure, outcome)) => {
            if failure.progress == Progress::Unsent {
                // The engine has used neither the cache nor the reservation.
                slot.reservation = reservation;
                if let Some(cache) = &mut cache {
                    cache.handed_over = false;
                }
            }
            slot.finish(DecodeEnd::Failed(outcome));
            Err(failure)
        }
    }
}

/// Timeout for the start of a response.
fn response_timeout(call: &Call, now: Instant) -> Duration {
    let left = call.remaining(now);
    if call.route.kind.may_run_again() {
        left.min(call.route.target * TIMEOUT_TARGETS)
    } else {
        left
    }
}

fn timeout_failure(call: &Call) -> FailedAttempt {
    let over = call.remaining(Instant::now()).is_zero();
    let cause = if over { Cause::Timeout } else { Cause::UpstreamFailed };
    FailedAttempt { refusal: Refusal::new(cause, Ran::Maybe), progress: Progress::Delivered }
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
    match plain::classify(&meta, &call.meta.attempt, head.status) {
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
        record_prefill(router, call, &prefill_engine, Outcome::Succeeded);
    }
    let success = head.status.is_success();
    let on_events = progress_callback(router, call, slot.engine.id.clone(), slot.ticket);
    let on_end = move |end, events| finish_stream(slot, end, events, success);
    let segment = Segment::new(body, exchange.connection, on_events, on_end);
    Ok(OpenStream { head, segment })
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
    record_prefill(router, call, &prefill_engine, Outcome::Failed);
    state.lost_caches.push(prefill_engine);
}

fn record_prefill(router: &Router, call: &Call, prefill_engine: &str, outcome: Outcome) {
    let now = Instant::now();
    router.with_pool(&call.service.name, |pool| pool.record_outcome(now, prefill_engine, outcome));
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
            pool.record_output(&engine, ticket, generated);
            // The engine went on after a pause, for which it was avoided.
            if resumed {
                pool.record_outcome(now, &engine, Outcome::Succeeded);
            }
        });
    }
}
