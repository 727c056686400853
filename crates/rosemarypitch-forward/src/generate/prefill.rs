//! Prefill of a prompt at an engine that then keeps the KV cache for a short time.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use tokio::time::Instant;

use super::crash;
use super::slot::SlotGuard;
use super::{RetryState, build_request, send_detached, timeout_refusal};
use crate::call::Call;
use crate::client;
use crate::deployment::{EngineCommand, KvSource, ServingStage};
use crate::health::Outcome;
use crate::pool::{PrefillEnd, Ticket};
use crate::refusal::Refusal;
use crate::registry::Upstream;
use crate::retry::RetryPermit;
use crate::router::Router;

/// Maximum number of engines that are tried for a prefill.
const MAX_PREFILLS: u32 = 2;
/// Minimum prefill timeout; allows for a queue of a few prompts.
const MIN_PREFILL_TIMEOUT: Duration = Duration::from_millis(400);
/// Prefill timeout as a multiple of the expected duration.
const PREFILL_TIMEOUT_FACTOR: u32 = 5;

/// KV cache of a prefilled prompt; freed on drop unless it was handed to a decode engine.
pub struct KvCache {
    router: Arc<Router>,
    /// Engine that holds the cache.
    pub engine: Arc<Upstream>,
    /// Location of the cache.
    pub source: KvSource,
    /// Whether a decode engine has been instructed to fetch it.
    pub handed_over: bool,
}

impl Drop for KvCache {
    fn drop(&mut self) {
        if !self.handed_over {
            send_detached(
                &self.router,
                &self.engine,
                &EngineCommand::FreeCache(&self.source.handle),
            );
        }
    }
}

/// Prefills the prompt; returns none if no engine can, and the decode engine has to do it.
pub async fn prefill(
    router: &Arc<Router>,
    call: &Arc<Call>,
    state: &mut RetryState,
    slot: &SlotGuard,
) -> Result<Option<KvCache>, Refusal> {
    let (ticket, version) = (slot.ticket, &slot.engine.version);
    let prompt = call.tokens().prompt;
    let mut tried = state.lost_caches.clone();
    for round in 0..MAX_PREFILLS {
        let now = Instant::now();
        if call.remaining(now).is_zero() {
            return Err(timeout_refusal());
        }
        crash::refuse_culprit(router, call)?;
        // The first prefill that an engine accepts does not count as a retry.
        let first = !state.prefilled;
        let permit = match round {
            0 if first => RetryPermit::take_first(router, call),
            _ => RetryPermit::take(router, call),
        };
        let Ok(permit) = permit else { return Ok(None) };
        let mut unspent = Some(permit);
        let chosen = router
            .with_pool(&call.service.name, |pool| {
                pool.start_prefill(now, ticket, prompt, call.regions, version, &tried)
            })
            .flatten();
        let Some(engine) = chosen else { return Ok(None) };
        tried.push(engine.id.clone());
        if !first && let Some(permit) = unspent.take() {
            permit.spend();
        }
        let cache = prefill_at(router, call, engine, ticket, prompt).await;
        if cache.is_some() {
            state.prefilled = true;
            return Ok(cache);
        }
        if let Some(permit) = unspent.take() {
            permit.spend();
        }
    }
    Ok(None)
}

async fn prefill_at(
    router: &Arc<Router>,
    call: &Arc<Call>,
    engine: Arc<Upstream>,
    ticket: Ticket,
    prompt: u64,
) -> Option<KvCache> {
    let start = Instant::now();
    let guard = PrefillGuard { router, call, id: &engine.id, ticket, end: PrefillEnd::Cancelled };
    let expected = router
        .with_pool(&call.service.name, |pool| pool.prefill_time(prompt))
        .unwrap_or(MIN_PREFILL_TIMEOUT);
    let backlog = router
        .with_pool(&call.service.name, |pool| pool.backlog_time(start, &engine.id))
        .unwrap_or_default();
    // Prompts ahead of this one are no sign of trouble, and to leave would waste what is read.
    let timeout = (expected * PREFILL_TIMEOUT_FACTOR).max(MIN_PREFILL_TIMEOUT) + backlog;
    let timeout = timeout.min(call.remaining(start));
    let request = build_request(router, call, &engine, ServingStage::Prefill, None);
    let exchange = client::send_buffered(engine.address, request);
    let response = tokio::time::timeout(timeout, exchange).await;
    let mut broken = false;
    let (handle, end, detail) = match response {
        Ok(Ok(response)) => {
            let (head, body) = response.into_parts();
            // The handle of another request would lead to the memory of that request.
            let meta = router.dialect.parse_response(&head);
            let own = meta.attempt.as_ref().is_none_or(|attempt| *attempt == call.meta.attempt);
            if own {
                router.observe_response(&engine, head.status, &meta);
            }
            let usable = head.status == StatusCode::OK && own && !meta.encoded;
            let handle = usable.then(|| router.dialect.cache_handle(&body)).flatten();
            let end = match handle {
                Some(_) => PrefillEnd::Finished(start.elapsed()),
                None => PrefillEnd::Failed(Outcome::Failed),
            };
            (handle, end, head.status.to_string())
        }
        Ok(Err(error)) => {
            broken = !error.is_unsent();
            let outcome = if broken { Outcome::Failed } else { Outcome::Unreachable };
            (None, PrefillEnd::Failed(outcome), error.to_string())
        }
        Err(_) => (None, PrefillEnd::Failed(Outcome::Unreachable), "silent".to_owned()),
    };
    guard.finish(end);
    router.metrics.count_send("prefill", if handle.is_some() { "ok" } else { "failed" });
    log::info!(
        "call: prefill attempt={} engine={} prompt={prompt} outcome=\"{detail}\" took_ms={} \
         expected_ms={}",
        call.meta.attempt,
        engine.id,
        start.elapsed().as_millis(),
        backlog.as_millis(),
    );
    if broken {
        crash::check(router, call, &engine).await;
    }
    let handle = handle?;
    let source = KvSource { engine: engine.id.clone(), address: engine.address, handle };
    Some(KvCache { router: router.clone(), engine, source, handed_over: false })
}

/// A running prefill; reports its end to the pool on drop.
struct PrefillGuard<'a> {
    router: &'a Router,
    call: &'a Call,
    id: &'a str,
    ticket: Ticket,
    end: PrefillEnd,
}

impl PrefillGuard<'_> {
    fn finish(mut self, end: PrefillEnd) {
        self.end = end;
    }
}

impl Drop for PrefillGuard<'_> {
    fn drop(&mut self) {
        let now = Instant::now();
        self.router.with_pool(&self.call.service.name, |pool| {
            pool.finish_prefill(now, self.id, self.ticket, self.end);
        });
    }
}
