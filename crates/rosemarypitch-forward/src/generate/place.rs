//! A slot at a decode engine: waited for, reserved, given back.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use tokio::time::Instant;

use super::{COMMAND_TIMEOUT, FAILED_RETRY_AFTER, jitter, send_detached, timeout_error};
use crate::call::Call;
use crate::client::{self, SendError};
use crate::deployment::EngineCommand;
use crate::events::Position;
use crate::health::Outcome;
use crate::pool::{DecodeEnd, Likely, Ticket};
use crate::refusal::{Cause, Refusal};
use crate::roster::Upstream;
use crate::router::{PlaceAsk, Placed, Router};

/// Most engines that are asked for a slot; each costs a round trip.
const MAX_RESERVE_ATTEMPTS: u32 = 6;
/// Least time in which a caller abandons a stream that has not begun.
const MIN_WAIT: Duration = Duration::from_secs(2);
/// Targets after which a caller abandons a stream that has not begun.
const WAIT_TARGETS: u32 = 4;
/// Shortest forecast of room: the time in which most streams that run now have ended.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(2_500);
/// Part of its time that a caller waits after a refusal; a third by the platform's word.
const MAX_RETRY_FRACTION: f64 = 0.32;

/// A slot at a decode engine.
pub struct SlotGuard {
    /// This host.
    pub router: Arc<Router>,
    /// Whose slot it is.
    pub call: Arc<Call>,
    /// The engine.
    pub engine: Arc<Upstream>,
    /// Names the request in its pool.
    pub ticket: Ticket,
    /// Name of the reservation until it is used.
    pub reservation: Option<Arc<str>>,
    /// When it was given.
    pub start: Instant,
    end: DecodeEnd,
}

impl SlotGuard {
    /// Gives the slot back.
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

/// Waits for a slot, and reserves it at the engine; `again` if the request had one before,
/// `last` the engine that it had it at.
pub async fn acquire(
    router: &Arc<Router>,
    call: &Arc<Call>,
    again: bool,
    after: Option<&Position>,
    last_engine: Option<&Arc<str>>,
) -> Result<SlotGuard, Refusal> {
    let mut ask = slot_request(router, call, again, after);
    let mut last_engine = last_engine.filter(|_| after.is_some());
    for _ in 0..MAX_RESERVE_ATTEMPTS {
        let preferred =
            last_engine.take().and_then(|id| router.place_at(&call.service.name, id, ask));
        let placed = match preferred {
            Some(placed) => Ok(placed),
            None => router.place(&call.service.name, ask).await,
        };
        let Placed { ticket, engine } = placed
            .map_err(|retry| Refusal::not_run(Cause::Busy).after(retry_after(call, retry)))?;
        let mut slot = SlotGuard {
            router: router.clone(),
            call: call.clone(),
            engine,
            ticket,
            reservation: None,
            start: Instant::now(),
            end: DecodeEnd::Cancelled,
        };
        match reserve_slot(router, call, &slot.engine, &ask).await {
            Ok(Some(reservation)) => {
                slot.reservation = Some(reservation);
                return Ok(slot);
            }
            Ok(None) => {
                let now = Instant::now();
                router.with_pool(&call.service.name, |pool| pool.full(now, &slot.engine.id));
            }
            Err(error) => {
                log::info!("call: no slot attempt={} {error}", call.meta.attempt);
                slot.finish(DecodeEnd::Failed(Outcome::Unreachable));
            }
        }
        ask.again = true;
    }
    Err(Refusal::not_run(Cause::Busy).after(jitter(FAILED_RETRY_AFTER)))
}

fn slot_request(router: &Router, call: &Call, again: bool, after: Option<&Position>) -> PlaceAsk {
    let tokens = call.tokens();
    let service = &call.service.name;
    let likely = router.with_pool(service, |pool| pool.likely(tokens)).unwrap_or_default();
    // A returning caller's time has run since its first attempt.
    let age =
        call.meta.timeout.map_or(Duration::ZERO, |left| call.route.timeout.saturating_sub(left));
    let wait = (call.route.target * WAIT_TARGETS).max(MIN_WAIT);
    let wait = wait.mul_f64(router.settings.pool.wait_part);
    let ask = PlaceAsk {
        prompt: tokens.prompt,
        likely,
        returned: age > call.route.target,
        due: call.start + call.route.target.saturating_sub(age),
        patience: (call.start + wait).min(call.deadline),
        again,
    };
    let Some(position) = after else { return ask };
    // A caller that waits in the middle of a stream goes before all that have not begun.
    let stride = call.service.engine.map_or(1, |size| size.stride);
    let generated = position.events * stride;
    let left = likely.output.saturating_sub(generated).max(stride);
    let now = Instant::now();
    PlaceAsk {
        prompt: tokens.prompt + generated,
        likely: Likely { output: left, cost: 0.0 },
        due: now + call.route.target,
        patience: (now + wait).min(call.deadline),
        ..ask
    }
}

/// Reserves a slot; none if the engine has no room.
async fn reserve_slot(
    router: &Router,
    call: &Call,
    engine: &Upstream,
    ask: &PlaceAsk,
) -> Result<Option<Arc<str>>, SendError> {
    let time = call.service.engine.map_or(Duration::ZERO, |size| size.hold);
    let service = &call.service.name;
    let size = router.with_pool(service, |pool| pool.hold_size(ask.prompt, ask.likely.output));
    let tokens = size.unwrap_or(ask.prompt);
    let command = EngineCommand::Reserve { tokens, time: time.min(call.remaining(Instant::now())) };
    let request = router.dialect.engine_command(&engine.id, &command);
    let exchange = client::send_buffered(engine.address, request);
    let response = tokio::time::timeout(COMMAND_TIMEOUT, exchange).await;
    let response = response.unwrap_or_else(|_| Err(timeout_error(engine)))?;
    router.metrics.send("hold", response.status().as_str());
    if response.status() != StatusCode::OK {
        return Ok(None);
    }
    Ok(router.dialect.reservation_id(response.body()))
}

/// When a caller for whom there is no room may come back: not before there should be, since
/// it may come only once, and not after it would stop waiting.
fn retry_after(call: &Call, forecast: Duration) -> Duration {
    let max = call.remaining(Instant::now()).mul_f64(MAX_RETRY_FRACTION);
    forecast.clamp(MIN_RETRY_AFTER.min(max), max).mul_f64(rand::random_range(0.75..1.0))
}
