//! The stream itself: a request at the decode engine that holds its slot.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::place::Place;
use super::prefill::Cache;
use super::{FAILED_RETRY, Failure, Step, Tries, build, spread};
use crate::call::Call;
use crate::client::{self, Exchange, SendError};
use crate::edge::SendStage;
use crate::events::Position;
use crate::health::Outcome;
use crate::plain::{self, Verdict};
use crate::pool::{DecodeEnd, Ticket};
use crate::refusal::{Cause, Ran, Refusal};
use crate::relay::{BreakOff, Opened, Segment, StreamEnd};
use crate::router::Router;

/// Targets after which an engine that has not begun to answer counts as silent, where the
/// request may run again; half of the time after which callers give up.
const SILENT_TARGETS: u32 = 2;

/// Sends a request to the engine that holds its slot.
pub async fn decode(
    router: &Arc<Router>,
    call: &Arc<Call>,
    tries: &mut Tries,
    mut place: Place,
    mut cache: Option<Cache>,
    after: Option<&Position>,
) -> Result<Opened, Failure> {
    let sent = Instant::now();
    let hold = place.hold.take();
    let source = cache.as_ref().map(|cache| &cache.source);
    let stage = SendStage::Run { hold: hold.as_deref(), source };
    let request = build(router, call, &place.engine, stage, after);
    if let Some(cache) = &mut cache {
        cache.taken = true;
    }
    let exchange = client::send(place.engine.address, request);
    let result = tokio::time::timeout(patience(call, sent), exchange).await;
    let (result, detail) = match result {
        Ok(Ok(exchange)) => {
            let status = exchange.response.status();
            (Ok(exchange), status.to_string())
        }
        Ok(Err(error)) => {
            let detail = error.to_string();
            (Err(failure(&error)), detail)
        }
        Err(_) => (Err((silence(call), Outcome::Unreachable)), "silent".to_owned()),
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
        Ok(exchange) => relay(router, call, tries, place, cache, exchange),
        Err((failure, outcome)) => {
            if failure.step == Step::Unsent {
                // The engine never saw the cache nor the reserved slot.
                place.hold = hold;
                if let Some(cache) = &mut cache {
                    cache.taken = false;
                }
            }
            place.finish(DecodeEnd::Failed(outcome));
            Err(failure)
        }
    }
}

/// Longest time for an answer to begin.
fn patience(call: &Call, now: Instant) -> Duration {
    let left = call.left(now);
    if call.route.kind.may_run_again() {
        left.min(call.route.target * SILENT_TARGETS)
    } else {
        left
    }
}

fn silence(call: &Call) -> Failure {
    let over = call.left(Instant::now()).is_zero();
    let cause = if over { Cause::Timeout } else { Cause::UpstreamFailed };
    Failure { refusal: Refusal::new(cause, Ran::Maybe), step: Step::Arrived }
}

fn failure(error: &SendError) -> (Failure, Outcome) {
    if error.is_unsent() {
        let refusal = Refusal::not_run(Cause::NoUpstream).with_retry_after(spread(FAILED_RETRY));
        return (Failure { refusal, step: Step::Unsent }, Outcome::Unreachable);
    }
    let refusal = Refusal::new(Cause::UpstreamFailed, Ran::Maybe);
    (Failure { refusal, step: Step::Arrived }, Outcome::Failed)
}

/// Takes an engine's answer.
fn relay(
    router: &Arc<Router>,
    call: &Arc<Call>,
    tries: &mut Tries,
    place: Place,
    cache: Option<Cache>,
    exchange: Exchange,
) -> Result<Opened, Failure> {
    let (head, body) = exchange.response.into_parts();
    let facts = router.dialect.answer_head(&head);
    let reader = cache.as_ref().map(|cache| cache.source.engine.clone());
    match plain::classify(&facts, &call.facts.attempt, head.status) {
        Verdict::NotRun => {
            not_run(router, call, tries, place, reader);
            let refusal = Refusal::not_run(Cause::Busy).with_retry_after(spread(FAILED_RETRY));
            return Err(Failure { refusal, step: Step::Arrived });
        }
        Verdict::Foreign => {
            place.finish(DecodeEnd::Failed(Outcome::Failed));
            let refusal = Refusal::new(Cause::UpstreamFailed, Ran::Maybe);
            return Err(Failure { refusal, step: Step::Arrived });
        }
        Verdict::Own => {}
    }
    if let Some(reader) = reader {
        note_reader(router, call, &reader, Outcome::Succeeded);
    }
    let good = head.status.is_success();
    let on_events = count_events(router, call, place.engine.id.clone(), place.ticket);
    let on_end = move |end: StreamEnd| end_stream(place, end, good);
    let segment = Segment::new(body, exchange.connection, on_events, on_end);
    Ok(Opened { head, segment })
}

/// Takes note that an engine would not run a request in spite of its reserved slot: as a
/// rule the KV cache that it was to fetch is gone.
fn not_run(
    router: &Router,
    call: &Call,
    tries: &mut Tries,
    place: Place,
    reader: Option<Arc<str>>,
) {
    let Some(reader) = reader else {
        return place.finish(DecodeEnd::Failed(Outcome::Failed));
    };
    place.finish(DecodeEnd::Cancelled);
    note_reader(router, call, &reader, Outcome::Failed);
    tries.lapsed.push(reader);
}

fn note_reader(router: &Router, call: &Call, reader: &str, outcome: Outcome) {
    let now = Instant::now();
    router.with_pool(&call.service.name, |pool| pool.record_outcome(now, reader, outcome));
}

fn end_stream(place: Place, end: StreamEnd, good: bool) {
    log::info!(
        "call: stream ended attempt={} engine={} end={end:?} age_ms={}",
        place.call.facts.attempt,
        place.engine.id,
        place.call.start.elapsed().as_millis(),
    );
    let stay = place.start.elapsed();
    place.finish(match end {
        StreamEnd::Complete if good => DecodeEnd::Finished(stay),
        StreamEnd::Broken(BreakOff::Silent) => DecodeEnd::Failed(Outcome::Unreachable),
        StreamEnd::Complete | StreamEnd::Broken(_) => DecodeEnd::Failed(Outcome::Failed),
        StreamEnd::Abandoned => DecodeEnd::Cancelled,
    });
}

/// Tells the pool how far a stream has come.
fn count_events(
    router: &Arc<Router>,
    call: &Call,
    engine: Arc<str>,
    ticket: Ticket,
) -> impl FnMut(u64) + Send + use<> {
    let (router, service) = (router.clone(), call.service.clone());
    let stride = service.engine.map_or(1, |size| size.event_tokens);
    let mut before = None;
    move |events| {
        // The first event of this engine is counted from what others made before.
        let start = *before.get_or_insert(events - 1);
        let made = (events - start) * stride;
        router.with_pool(&service.name, |pool| pool.record_output(&engine, ticket, made));
    }
}
