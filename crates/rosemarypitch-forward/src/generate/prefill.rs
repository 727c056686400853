//! The reading of a prompt at an engine that keeps its KV cache for a moment.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use tokio::time::Instant;

use super::{Tries, build, tell, timed_out};
use crate::call::Call;
use crate::client;
use crate::edge::{EngineCall, KvSource, SendStage};
use crate::health::Outcome;
use crate::pool::PrefillEnd;
use crate::refusal::Refusal;
use crate::registry::Upstream;
use crate::router::Router;

/// Most engines that are asked to read a prompt.
const MAX_PREFILLS: u32 = 2;
/// Least time that a prompt is given to be read: a queue of a few prompts.
const MIN_PREFILL_TIME: Duration = Duration::from_millis(400);
/// Multiple of the expected time that a prompt is given to be read.
const PREFILL_PATIENCE: u32 = 5;

/// A prompt that has been read; freed unless a decode engine takes it.
pub struct Cache {
    router: Arc<Router>,
    engine: Arc<Upstream>,
    /// Where it lies.
    pub source: KvSource,
    /// Whether a decode engine has been told to take it.
    pub taken: bool,
}

impl Drop for Cache {
    fn drop(&mut self) {
        if !self.taken {
            tell(&self.router, &self.engine, &EngineCall::FreeCache(&self.source.handle));
        }
    }
}

/// Has the prompt read; none if no engine can, so that the decode engine reads it itself.
pub async fn prefill(
    router: &Arc<Router>,
    call: &Arc<Call>,
    tries: &mut Tries,
) -> Result<Option<Cache>, Refusal> {
    let prompt = call.tokens().prompt;
    let mut tried = tries.lapsed.clone();
    for round in 0..MAX_PREFILLS {
        let now = Instant::now();
        if call.left(now).is_zero() {
            return Err(timed_out());
        }
        let repeat = round > 0 || tries.prefilled;
        if repeat && !router.take_retry(now, &call.service.name) {
            return Ok(None);
        }
        let chosen = router
            .with_pool(&call.service.name, |pool| pool.start_prefill(now, prompt, &tried))
            .flatten();
        let Some(engine) = chosen else { return Ok(None) };
        tried.push(engine.id.clone());
        if let Some(cache) = read_prompt(router, call, engine, prompt).await {
            tries.prefilled = true;
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
        .with_pool(&call.service.name, |pool| pool.prefill_time(prompt))
        .unwrap_or(MIN_PREFILL_TIME);
    let limit = (expected * PREFILL_PATIENCE).max(MIN_PREFILL_TIME).min(call.left(start));
    let request = build(router, call, &engine, SendStage::Prefill, None);
    let exchange = client::send_whole(engine.address, request);
    let answer = tokio::time::timeout(limit, exchange).await;
    let (handle, end, detail) = match answer {
        Ok(Ok(answer)) => {
            let handle = (answer.status() == StatusCode::OK)
                .then(|| router.dialect.cache_name(answer.body()))
                .flatten();
            let end = match handle {
                Some(_) => PrefillEnd::Finished(start.elapsed()),
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
