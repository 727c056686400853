//! A slot at a decode engine: waited for, reserved, given back.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use tokio::time::Instant;

use super::{ENGINE_CALL_TIME, FAILED_RETRY, silent, spread, tell};
use crate::call::Call;
use crate::client::{self, SendError};
use crate::edge::EngineCall;
use crate::events::Position;
use crate::health::Outcome;
use crate::pool::{DecodeEnd, Estimate, Ticket};
use crate::refusal::{Cause, Refusal};
use crate::registry::Upstream;
use crate::router::{PlacementRequest, Reservation, Router};

/// Most engines that are asked for a slot; each costs a round trip.
const MAX_HOLDS: u32 = 6;
/// Least time in which a caller abandons a stream that has not begun.
const MIN_PATIENCE: Duration = Duration::from_secs(2);
/// Targets after which a caller abandons a stream that has not begun.
const PATIENCE_TARGETS: u32 = 4;
/// Shortest forecast of room: the time in which most streams that run now have ended.
const MIN_RETRY: Duration = Duration::from_millis(2_500);
/// Part of its time that a caller waits after a refusal; a third by the platform's word.
const MAX_RETRY_PART: f64 = 0.32;

/// A slot at a decode engine.
pub struct Place {
    /// This host.
    pub router: Arc<Router>,
    /// Whose slot it is.
    pub call: Arc<Call>,
    /// The engine.
    pub engine: Arc<Upstream>,
    /// Names the request in its pool.
    pub ticket: Ticket,
    /// Name of the reservation until it is used.
    pub hold: Option<Arc<str>>,
    /// When it was given.
    pub start: Instant,
    end: DecodeEnd,
}

impl Place {
    /// Gives the slot back.
    pub fn finish(mut self, end: DecodeEnd) {
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

/// Waits for a slot, and reserves it at the engine; `again` if the request had one before,
/// `last` the engine that it had it at.
pub async fn reserve(
    router: &Arc<Router>,
    call: &Arc<Call>,
    again: bool,
    after: Option<&Position>,
    last: Option<&Arc<str>>,
) -> Result<Place, Refusal> {
    let mut ask = place_ask(router, call, again, after);
    let mut last = last.filter(|_| after.is_some());
    for _ in 0..MAX_HOLDS {
        let kept = last.take().and_then(|id| router.place_at(&call.service.name, id, ask));
        let placed = match kept {
            Some(placed) => Ok(placed),
            None => router.place(&call.service.name, ask).await,
        };
        let Reservation { ticket, engine } = placed.map_err(|retry| {
            Refusal::not_run(Cause::Busy).with_retry_after(retry_after(call, retry))
        })?;
        let mut place = Place {
            router: router.clone(),
            call: call.clone(),
            engine,
            ticket,
            hold: None,
            start: Instant::now(),
            end: DecodeEnd::Cancelled,
        };
        match hold(router, call, &place.engine, &ask).await {
            Ok(Some(hold)) => {
                place.hold = Some(hold);
                return Ok(place);
            }
            Ok(None) => {
                let now = Instant::now();
                router.with_pool(&call.service.name, |pool| pool.mark_full(now, &place.engine.id));
            }
            Err(error) => {
                log::info!("call: no slot attempt={} {error}", call.facts.attempt);
                place.finish(DecodeEnd::Failed(Outcome::Unreachable));
            }
        }
        ask.again = true;
    }
    Err(Refusal::not_run(Cause::Busy).with_retry_after(spread(FAILED_RETRY)))
}

fn place_ask(
    router: &Router,
    call: &Call,
    again: bool,
    after: Option<&Position>,
) -> PlacementRequest {
    let tokens = call.tokens();
    let service = &call.service.name;
    let likely = router.with_pool(service, |pool| pool.estimate(tokens)).unwrap_or_default();
    // A returning caller's time has run since its first attempt.
    let age =
        call.facts.patience.map_or(Duration::ZERO, |left| call.route.timeout.saturating_sub(left));
    let patience = (call.route.target * PATIENCE_TARGETS).max(MIN_PATIENCE);
    let patience = patience.mul_f64(router.settings.pool.wait_part);
    let ask = PlacementRequest {
        prompt: tokens.prompt,
        likely,
        returned: age > call.route.target,
        due: call.start + call.route.target.saturating_sub(age),
        patience: (call.start + patience).min(call.deadline),
        again,
    };
    let Some(position) = after else { return ask };
    // A caller that waits in the middle of a stream goes before all that have not begun.
    let stride = call.service.engine.map_or(1, |size| size.event_tokens);
    let made = position.events * stride;
    let left = likely.output.saturating_sub(made).max(stride);
    let now = Instant::now();
    PlacementRequest {
        prompt: tokens.prompt + made,
        likely: Estimate { output: left, cost: 0.0 },
        due: now + call.route.target,
        patience: (now + patience).min(call.deadline),
        ..ask
    }
}

/// Reserves a slot; none if the engine has no room.
async fn hold(
    router: &Router,
    call: &Call,
    engine: &Upstream,
    ask: &PlacementRequest,
) -> Result<Option<Arc<str>>, SendError> {
    let time = call.service.engine.map_or(Duration::ZERO, |size| size.hold);
    let service = &call.service.name;
    let size = router.with_pool(service, |pool| pool.hold_size(ask.prompt, ask.likely.output));
    let tokens = size.unwrap_or(ask.prompt);
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

/// When a caller for whom there is no room may come back: not before there should be, since
/// it may come only once, and not after it would stop waiting.
fn retry_after(call: &Call, forecast: Duration) -> Duration {
    let most = call.left(Instant::now()).mul_f64(MAX_RETRY_PART);
    forecast.clamp(MIN_RETRY.min(most), most).mul_f64(rand::random_range(0.75..1.0))
}
