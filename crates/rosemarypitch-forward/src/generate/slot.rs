//! Slots at decode engines: queueing, reservation and release.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use tokio::time::Instant;

use super::crash;
use super::{
    COMMAND_TIMEOUT, EngineChoice, FAILED_RETRY_AFTER, jitter, send_detached, timeout_error,
};
use crate::call::Call;
use crate::client::{self, SendError};
use crate::deployment::EngineCommand;
use crate::events::Position;
use crate::health::Outcome;
use crate::pool::{DecodeEnd, Estimate, Ticket};
use crate::refusal::{Cause, Refusal};
use crate::registry::Upstream;
use crate::router::{Placement, PlacementRequest, Router};
use crate::stop;

/// Maximum number of attempts to reserve a slot; each costs a round trip.
const MAX_RESERVE_ATTEMPTS: u32 = 6;
/// Lower bound on the time for which callers wait for a stream to start.
const MIN_WAIT: Duration = Duration::from_secs(2);
/// Time for which callers wait for a stream to start, in multiples of the route's target.
const WAIT_TARGETS: u32 = 4;
/// Lower bound of `Retry-After`: most streams that run now have ended by then.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(2_500);
/// Upper bound of `Retry-After` as a fraction of the caller's remaining time; the platform
/// states that callers wait for a third of it.
const MAX_RETRY_FRACTION: f64 = 0.32;

/// A slot at a decode engine, released on drop.
pub struct SlotGuard {
    /// Router whose pool holds the slot.
    pub router: Arc<Router>,
    /// Request that uses the slot.
    pub call: Arc<Call>,
    /// Engine that the slot belongs to.
    pub engine: Arc<Upstream>,
    /// Identifies the request in the pool.
    pub ticket: Ticket,
    /// Identifier of the engine's reservation, until it is used.
    pub reservation: Option<Arc<str>>,
    /// Output tokens for which a host that stops must have time.
    pub required: u64,
    /// Time at which the pool assigned the slot.
    pub start: Instant,
    end: DecodeEnd,
}

impl SlotGuard {
    /// Releases the slot and reports to the pool how its use ended.
    pub fn finish(mut self, end: DecodeEnd) {
        self.end = end;
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.router.release(&self.call.service.name, &self.engine.id, self.ticket, self.end);
        if let Some(reservation) = self.reservation.take() {
            let command = EngineCommand::Release(&reservation);
            send_detached(&self.router, &self.engine, &command);
        }
    }
}

/// Waits for a slot and reserves it at the engine.
///
/// `requeued` is true if the request had a slot before.
pub async fn acquire(
    router: &Arc<Router>,
    call: &Arc<Call>,
    requeued: bool,
    after: Option<&Position>,
    choice: &EngineChoice,
) -> Result<SlotGuard, Refusal> {
    let mut request = placement_request(router, call, requeued, after);
    request.version = choice.version.clone();
    let mut first = choice.first.as_ref().filter(|_| after.is_some());
    for _ in 0..MAX_RESERVE_ATTEMPTS {
        let preferred =
            first.take().and_then(|id| router.place_at(&call.service.name, id, request.clone()));
        let placed = match preferred {
            Some(placed) => Ok(placed),
            None => router.place(&call.service.name, request.clone()).await,
        };
        let Placement { ticket, engine } = placed.map_err(|retry| {
            if router.is_stopping() {
                return stopping_refusal(router, call, request.required);
            }
            let rest = router.rest_delay(&call.service.name);
            let retry = rest.unwrap_or_else(|| retry_after(call, retry));
            Refusal::not_run(Cause::Busy).with_retry_after(retry)
        })?;
        let excluded = choice.excluded.as_ref() == Some(&engine.id);
        let mut slot = SlotGuard {
            router: router.clone(),
            call: call.clone(),
            engine,
            ticket,
            reservation: None,
            required: request.required,
            start: Instant::now(),
            end: DecodeEnd::Cancelled,
        };
        if excluded {
            return Err(Refusal::not_run(Cause::Busy).with_retry_after(jitter(FAILED_RETRY_AFTER)));
        }
        crash::refuse_culprit(router, call)?;
        match reserve_slot(router, call, &slot.engine, &request).await {
            Ok(Some(reservation)) => {
                slot.reservation = Some(reservation);
                if router.is_usable_engine(&slot.engine) {
                    return Ok(slot);
                }
                let (attempt, engine) = (&call.meta.attempt, &slot.engine.id);
                log::info!("call: slot given up attempt={attempt} engine={engine} leaves");
            }
            Ok(None) => {
                let now = Instant::now();
                router.with_pool(&call.service.name, |pool| pool.mark_full(now, &slot.engine.id));
            }
            Err(error) => {
                log::info!("call: slot not reserved attempt={} {error}", call.meta.attempt);
                slot.finish(DecodeEnd::Failed(Outcome::Unreachable));
            }
        }
        request.requeued = true;
    }
    Err(Refusal::not_run(Cause::Busy).with_retry_after(jitter(FAILED_RETRY_AFTER)))
}

/// Refusal of a request that would not end before this host does. The queue of this host says
/// nothing about the others.
pub fn stopping_refusal(router: &Router, call: &Call, required: u64) -> Refusal {
    let now = Instant::now();
    let left = router.stop_times().map(|times| times.exit.saturating_duration_since(now));
    log::info!(
        "call: no time before the stop attempt={} tokens={required} left_ms={}",
        call.meta.attempt,
        left.unwrap_or_default().as_millis(),
    );
    Refusal::not_run(Cause::Stopping).with_retry_after(jitter(FAILED_RETRY_AFTER))
}

fn placement_request(
    router: &Router,
    call: &Call,
    requeued: bool,
    after: Option<&Position>,
) -> PlacementRequest {
    let tokens = call.tokens();
    let service = &call.service.name;
    let estimate = router.with_pool(service, |pool| pool.estimate(tokens)).unwrap_or_default();
    // The target of a caller that retries counts from its first attempt.
    let age =
        call.meta.timeout.map_or(Duration::ZERO, |left| call.route.timeout.saturating_sub(left));
    let wait = (call.route.target * WAIT_TARGETS).max(MIN_WAIT);
    let wait = wait.mul_f64(router.settings.pool.wait_part);
    let begun = call.meta.takeup.is_some();
    let request = PlacementRequest {
        prompt: tokens.prompt,
        estimate,
        required: stop::required_output(router.phase(), tokens, estimate),
        retried: age > call.route.target,
        regions: call.regions,
        due: call.start + call.route.target.saturating_sub(age),
        expires: (call.start + wait).min(call.deadline),
        requeued,
        begun,
        version: None,
    };
    let Some(position) = after else {
        // The caller has lost its stream if it cannot go on now.
        let cost = if begun { 0.0 } else { estimate.cost };
        return PlacementRequest { estimate: Estimate { cost, ..estimate }, ..request };
    };
    // A stream that is being resumed takes precedence over all that have not started.
    let event_tokens = call.service.engine.map_or(1, |size| size.event_tokens);
    let generated = position.events * event_tokens;
    let left = estimate.output.saturating_sub(generated).max(event_tokens);
    let now = Instant::now();
    // Its caller loses the stream if it isn't resumed, so it is given up only if it cannot end.
    PlacementRequest {
        prompt: tokens.prompt + generated,
        estimate: Estimate { output: left, cost: 0.0 },
        required: left,
        due: now + call.route.target,
        expires: (now + wait).min(call.deadline),
        ..request
    }
}

/// Reserves a slot at an engine; returns none if the engine is full.
async fn reserve_slot(
    router: &Router,
    call: &Call,
    engine: &Upstream,
    request: &PlacementRequest,
) -> Result<Option<Arc<str>>, SendError> {
    let ttl = call.service.engine.map_or(Duration::ZERO, |size| size.hold);
    let service = &call.service.name;
    let size =
        router.with_pool(service, |pool| pool.hold_size(request.prompt, request.estimate.output));
    let tokens = size.unwrap_or(request.prompt);
    let command = EngineCommand::Reserve { tokens, ttl: ttl.min(call.remaining(Instant::now())) };
    let command_request = router.dialect.engine_command(&engine.id, &command);
    let exchange = client::send_buffered(engine.address, command_request);
    let response = tokio::time::timeout(COMMAND_TIMEOUT, exchange).await;
    let response = response.unwrap_or_else(|_| Err(timeout_error(engine)))?;
    router.metrics.count_send("hold", response.status().as_str());
    let (head, body) = response.into_parts();
    router.observe_response(engine, head.status, &router.dialect.parse_response(&head));
    if head.status != StatusCode::OK {
        return Ok(None);
    }
    Ok(router.dialect.reservation_id(&body))
}

/// `Retry-After` for a caller that finds all engines full.
///
/// It is not before capacity is expected, because the caller may retry only once, and not
/// after the caller would give up.
fn retry_after(call: &Call, forecast: Duration) -> Duration {
    let max = call.remaining(Instant::now()).mul_f64(MAX_RETRY_FRACTION);
    forecast.clamp(MIN_RETRY_AFTER.min(max), max).mul_f64(rand::random_range(0.75..1.0))
}
