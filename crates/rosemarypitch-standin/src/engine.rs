//! Stand-in for a model engine with continuous batching.
//!
//! Like a real engine whose router died, it continues an attempt whose reader disconnected until
//! the attempt is cancelled or complete. The output is a function of the prompt, so that
//! tests detect missing and repeated tokens.

use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use rosemarypitch_route::{AttemptId, BlockHash, block_hashes};
use rosemarypitch_upstream::wire::{
    CacheEvent, CacheEvents, Command, DecodeRequest, ExportResponse, LoadReport, Order,
    OrderResponse, PrefillRequest, PrefillResponse, Stage, WorkItem,
};
use rosemarypitch_upstream::{ErrorKind, FinishReason, Frame, FrameSender};
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use crate::shape::EngineShape;

/// Bytes of text per token.
const TOKEN_BYTES: usize = 4;
/// Additional duration of a stalled transfer.
const STALL_TIME: Duration = Duration::from_secs(60);
/// Maximum number of past load reports kept, from which stale ones are served.
const LOAD_HISTORY: usize = 1_024;
/// Maximum number of cache events kept.
const EVENT_HISTORY: usize = 4_096;

/// A stand-in model engine, for prefill or decode.
pub struct Engine {
    shape: EngineShape,
    state: Mutex<State>,
    prefill_turn: Notify,
}

struct State {
    /// Whether the current role is prefill; otherwise it is decode.
    prefill: bool,
    model: Arc<str>,
    fence: u64,
    leaving: bool,
    stopped: bool,
    unresponsive: bool,
    stray_frames: bool,
    work: HashMap<AttemptId, AttemptState>,
    cancelled: HashSet<AttemptId>,
    /// Queued prefills, by descending priority and then by arrival.
    prefill_queue: BTreeSet<(u8, u64, AttemptId)>,
    arrivals: u64,
    prefilling: bool,
    /// Prefix cache, least recently used first.
    cached_blocks: VecDeque<BlockHash>,
    cache_events: VecDeque<(Instant, CacheEvent)>,
    last_event: u64,
    load_reports: VecDeque<(Instant, LoadReport)>,
    /// Time at which the link for KV transfers is idle.
    link_free_at: Instant,
    transfers: u64,
    prefilled_tokens: u64,
    /// Prefilled tokens that no decode used.
    wasted_tokens: u64,
}

/// An attempt that is queued, running or held.
struct AttemptState {
    stage: Stage,
    export: Option<ExportResponse>,
    cancel: watch::Sender<bool>,
    /// Tokens that the prefill computed.
    uncached_tokens: u32,
}

impl Engine {
    /// Creates an idle engine.
    pub fn new(shape: EngineShape) -> Arc<Self> {
        let state = State {
            prefill: shape.prefill,
            model: Arc::from(""),
            fence: 0,
            leaving: false,
            stopped: false,
            unresponsive: false,
            stray_frames: false,
            work: HashMap::new(),
            cancelled: HashSet::new(),
            prefill_queue: BTreeSet::new(),
            arrivals: 0,
            prefilling: false,
            cached_blocks: VecDeque::new(),
            cache_events: VecDeque::new(),
            last_event: 0,
            load_reports: VecDeque::new(),
            link_free_at: Instant::now(),
            transfers: 0,
            prefilled_tokens: 0,
            wasted_tokens: 0,
        };
        Arc::new(Self { shape, state: Mutex::new(state), prefill_turn: Notify::new() })
    }

    /// Performance and capacity of the engine.
    pub fn shape(&self) -> &EngineShape {
        &self.shape
    }

    /// Runs a prefill and holds its KV cache for export.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Lost`] when the engine is stopped, [`ErrorKind::NotHeld`] when the attempt
    /// is cancelled or was started before.
    pub async fn prefill(
        self: &Arc<Self>,
        request: &PrefillRequest,
    ) -> Result<PrefillResponse, ErrorKind> {
        let mut cancel_signal = self.register(&request.attempt, Stage::Queued)?;
        let tokens = token_count(&request.prompt) + request.generated;
        let blocks = block_hashes(&request.prompt);
        if !self.wait_for_prefill_turn(request, &mut cancel_signal).await {
            return Err(ErrorKind::NotHeld);
        }
        let cached = self.cached_tokens(&blocks).min(tokens);
        self.set_stage(&request.attempt, Stage::Prefilling);
        let done = tokio::select! {
            () = tokio::time::sleep(self.shape.prefill_time(tokens - cached)) => true,
            _ = cancel_signal.changed() => false,
        };
        self.lock().prefilling = false;
        self.prefill_turn.notify_waiters();
        if !done {
            return Err(ErrorKind::NotHeld);
        }
        self.cache_prompt(&blocks);
        let export = ExportResponse { prompt: request.prompt.clone(), tokens };
        self.hold_export(&request.attempt, export, tokens - cached)?;
        Ok(PrefillResponse { attempt: request.attempt.clone(), prompt: tokens, cached })
    }

    /// Transfers a held KV cache to a decode engine, over the link that all transfers share.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NotHeld`] when nothing is held for the attempt, [`ErrorKind::Lost`] when the
    /// engine stops during the transfer.
    pub async fn export(&self, attempt: &AttemptId) -> Result<ExportResponse, ErrorKind> {
        let (export, until) = {
            let mut state = self.lock();
            let work = state.work.get(attempt).ok_or(ErrorKind::NotHeld)?;
            let export = work.export.clone().ok_or(ErrorKind::NotHeld)?;
            state.transfers += 1;
            let stall = self.shape.stall_one_in;
            let stalled = stall > 0 && state.transfers.is_multiple_of(stall);
            let start = state.link_free_at.max(Instant::now());
            let until = start + self.shape.transfer_time(export.tokens);
            state.link_free_at = until;
            (export, if stalled { until + STALL_TIME } else { until })
        };
        tokio::time::sleep_until(until).await;
        let mut state = self.lock();
        if state.stopped {
            return Err(ErrorKind::Lost);
        }
        state.work.remove(attempt).ok_or(ErrorKind::NotHeld)?;
        Ok(export)
    }

    /// Takes a decode slot for an attempt, which [`Engine::stream`] uses after the import.
    ///
    /// The receiver changes when the attempt is cancelled.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Busy`] when no slot is free, otherwise as for [`Engine::prefill`].
    pub fn admit(&self, attempt: &AttemptId) -> Result<watch::Receiver<bool>, ErrorKind> {
        if self.lock().work.len() as u32 >= self.shape.slots {
            return Err(ErrorKind::Busy);
        }
        self.register(attempt, Stage::Importing)
    }

    /// Frees the slot of an attempt whose import failed.
    pub fn release_slot(&self, attempt: &AttemptId) {
        self.lock().work.remove(attempt);
        self.record_load();
    }

    /// Generates the tokens of an attempt after its import.
    pub async fn stream(
        self: Arc<Self>,
        request: DecodeRequest,
        export: ExportResponse,
        mut cancel_signal: watch::Receiver<bool>,
        tokens: FrameSender,
    ) {
        let attempt = request.attempt.clone();
        self.set_stage(&attempt, Stage::Decoding);
        let (length, end) = output_length(&export.prompt, request.max_output);
        for index in request.start..length {
            let batch = self.lock().work.len() as u32;
            tokio::select! {
                () = tokio::time::sleep(self.shape.step_time(batch)) => {}
                _ = cancel_signal.changed() => return,
            }
            if self.is_unresponsive() {
                let _ = cancel_signal.changed().await;
                return;
            }
            if self.lock().stray_frames {
                send_stray_frames(&attempt, index, &tokens).await;
            }
            let text = token_text(&export.prompt, index);
            let frame = Frame::Token { attempt: attempt.clone(), index, text };
            // A closed channel doesn't end the attempt; only a cancel does.
            let _ = tokens.send(Ok(frame)).await;
        }
        self.lock().work.remove(&attempt);
        self.record_load();
        let _ = tokens.send(Ok(Frame::End { attempt, tokens: length, finish_reason: end })).await;
    }

    /// Cancels an attempt; starting it later is refused.
    pub fn cancel(&self, attempt: &AttemptId) {
        let mut state = self.lock();
        state.cancelled.insert(attempt.clone());
        if let Some(work) = state.work.remove(attempt) {
            if work.export.is_some() {
                state.wasted_tokens += u64::from(work.uncached_tokens);
            }
            let _ = work.cancel.send(true);
        }
        drop(state);
        self.prefill_turn.notify_waiters();
        self.record_load();
    }

    /// Attempts that are queued, running or held.
    pub fn work(&self) -> Vec<WorkItem> {
        let state = self.lock();
        let items = state.work.iter();
        items.map(|(id, work)| WorkItem { attempt: id.clone(), stage: work.stage }).collect()
    }

    /// Load report, stale by the lag of the engine's shape.
    pub fn load(&self) -> LoadReport {
        let state = self.lock();
        let as_of = Instant::now().checked_sub(Duration::from_millis(self.shape.load_lag_ms));
        let visible =
            state.load_reports.iter().rev().find(|(at, _)| as_of.is_some_and(|as_of| *at <= as_of));
        let report = visible.map(|(_, report)| report.clone()).unwrap_or_default();
        LoadReport { leaving: state.leaving, ..report }
    }

    /// Cache events after a number, delayed and with losses as set in the engine's shape.
    pub fn events(&self, after: u64) -> CacheEvents {
        let state = self.lock();
        let as_of = Instant::now().checked_sub(Duration::from_millis(self.shape.event_lag_ms));
        let visible = state
            .cache_events
            .iter()
            .filter(|(at, event)| event.number > after && as_of.is_some_and(|as_of| *at <= as_of));
        let all: Vec<CacheEvent> = visible.map(|(_, event)| *event).collect();
        let last = all.last().map_or(after, |event| event.number);
        let gap = self.shape.event_gap;
        let delivered = all.into_iter().filter(|e| gap == 0 || !e.number.is_multiple_of(gap));
        CacheEvents { last, events: delivered.collect() }
    }

    /// Carries out an order.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Fenced`] when the order has an old fencing number and the engine checks it.
    pub fn order(&self, order: &Order) -> Result<OrderResponse, ErrorKind> {
        let mut state = self.lock();
        if self.shape.fences && order.fence < state.fence {
            return Err(ErrorKind::Fenced(state.fence));
        }
        if self.shape.fences {
            state.fence = order.fence;
        }
        match &order.command {
            Command::SetRole { prefill } => state.prefill = *prefill,
            Command::LoadModel { model } => state.model = model.clone(),
            Command::Report => {}
        }
        let State { fence, prefill, model, .. } = &*state;
        Ok(OrderResponse { fence: *fence, prefill: *prefill, model: model.clone() })
    }

    /// Sets whether load reports announce that the engine is leaving.
    pub fn set_leaving(&self, leaving: bool) {
        self.lock().leaving = leaving;
    }

    /// Sets whether the engine leaves calls unanswered and stops sending tokens.
    ///
    /// A stream that reaches its next token meanwhile never resumes.
    pub fn set_unresponsive(&self, unresponsive: bool) {
        self.lock().unresponsive = unresponsive;
    }

    /// Whether the engine is unresponsive.
    pub fn is_unresponsive(&self) -> bool {
        self.lock().unresponsive
    }

    /// Sets whether streams also carry frames of other attempts and late frames.
    pub fn set_stray_frames(&self, stray_frames: bool) {
        self.lock().stray_frames = stray_frames;
    }

    /// Stops the engine as in a crash.
    ///
    /// All attempts and the cache are lost, and calls fail until [`Engine::start`].
    pub fn stop(&self) {
        let mut state = self.lock();
        state.stopped = true;
        for (_, work) in state.work.drain() {
            let _ = work.cancel.send(true);
        }
        state.cached_blocks.clear();
        state.cache_events.clear();
        state.prefilling = false;
        drop(state);
        self.prefill_turn.notify_waiters();
    }

    /// Starts the engine after [`Engine::stop`], without attempts or cache.
    pub fn start(&self) {
        self.lock().stopped = false;
    }

    /// Whether the engine is stopped.
    pub fn is_stopped(&self) -> bool {
        self.lock().stopped
    }

    /// Tokens computed by prefills, and those of them that no decode used.
    ///
    /// Tokens found in the cache count for neither.
    pub fn prefill_totals(&self) -> (u64, u64) {
        let state = self.lock();
        (state.prefilled_tokens, state.wasted_tokens)
    }

    /// Registers an attempt, unless it was cancelled or is already registered.
    fn register(
        &self,
        attempt: &AttemptId,
        stage: Stage,
    ) -> Result<watch::Receiver<bool>, ErrorKind> {
        let mut state = self.lock();
        if state.stopped {
            return Err(ErrorKind::Lost);
        }
        if state.cancelled.contains(attempt) || state.work.contains_key(attempt) {
            return Err(ErrorKind::NotHeld);
        }
        let (cancel, cancel_signal) = watch::channel(false);
        let work = AttemptState { stage, export: None, cancel, uncached_tokens: 0 };
        state.work.insert(attempt.clone(), work);
        drop(state);
        self.record_load();
        Ok(cancel_signal)
    }

    /// Waits until no other prefill runs and none of higher priority, or older, is queued.
    ///
    /// Returns false when the attempt is cancelled meanwhile.
    async fn wait_for_prefill_turn(
        &self,
        request: &PrefillRequest,
        cancel_signal: &mut watch::Receiver<bool>,
    ) -> bool {
        let key = {
            let mut state = self.lock();
            state.arrivals += 1;
            let key = (u8::MAX - request.priority, state.arrivals, request.attempt.clone());
            state.prefill_queue.insert(key.clone());
            key
        };
        loop {
            let prefill_turn = self.prefill_turn.notified();
            tokio::pin!(prefill_turn);
            prefill_turn.as_mut().enable();
            {
                let mut state = self.lock();
                if !state.work.contains_key(&request.attempt) {
                    state.prefill_queue.remove(&key);
                    return false;
                }
                if !state.prefilling && state.prefill_queue.first() == Some(&key) {
                    state.prefill_queue.remove(&key);
                    state.prefilling = true;
                    return true;
                }
            }
            tokio::select! {
                () = prefill_turn => {}
                _ = cancel_signal.changed() => {}
            }
        }
    }

    /// Number of tokens in the longest cached prefix.
    fn cached_tokens(&self, blocks: &[BlockHash]) -> u32 {
        let state = self.lock();
        let hits = blocks.iter().take_while(|block| state.cached_blocks.contains(block)).count();
        hits as u32 * rosemarypitch_route::BLOCK_TOKENS
    }

    /// Adds blocks to the LRU cache and records the cache events.
    fn cache_prompt(&self, blocks: &[BlockHash]) {
        let mut state = self.lock();
        for block in blocks {
            if let Some(index) = state.cached_blocks.iter().position(|cached| cached == block) {
                state.cached_blocks.remove(index);
            } else {
                state.push_cache_event(*block, true);
            }
            state.cached_blocks.push_back(*block);
            if state.cached_blocks.len() > self.shape.cache_blocks
                && let Some(evicted) = state.cached_blocks.pop_front()
            {
                state.push_cache_event(evicted, false);
            }
        }
    }

    /// Holds a prefill's result until it is exported, cancelled or expired.
    fn hold_export(
        self: &Arc<Self>,
        attempt: &AttemptId,
        export: ExportResponse,
        uncached_tokens: u32,
    ) -> Result<(), ErrorKind> {
        let mut state = self.lock();
        state.prefilled_tokens += u64::from(uncached_tokens);
        let Some(work) = state.work.get_mut(attempt) else {
            state.wasted_tokens += u64::from(uncached_tokens);
            return Err(ErrorKind::NotHeld);
        };
        work.stage = Stage::Held;
        work.export = Some(export);
        work.uncached_tokens = uncached_tokens;
        drop(state);
        let (engine, attempt) = (self.clone(), attempt.clone());
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(engine.shape.result_ms)).await;
            let mut state = engine.lock();
            if let Some(work) = state.work.remove(&attempt) {
                state.wasted_tokens += u64::from(work.uncached_tokens);
            }
        });
        Ok(())
    }

    fn set_stage(&self, attempt: &AttemptId, stage: Stage) {
        if let Some(work) = self.lock().work.get_mut(attempt) {
            work.stage = stage;
        }
    }

    /// Adds the present load to the history of reports.
    fn record_load(&self) {
        let mut state = self.lock();
        let running = state.work.len() as u32;
        let tpot_us = self.shape.step_time(running).as_micros() as u64;
        let report = LoadReport { running, tpot_us, leaving: false };
        state.load_reports.push_back((Instant::now(), report));
        if state.load_reports.len() > LOAD_HISTORY {
            state.load_reports.pop_front();
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|error| error.into_inner())
    }
}

impl State {
    fn push_cache_event(&mut self, block: BlockHash, stored: bool) {
        self.last_event += 1;
        let event = CacheEvent { number: self.last_event, block, stored };
        self.cache_events.push_back((Instant::now(), event));
        if self.cache_events.len() > EVENT_HISTORY {
            self.cache_events.pop_front();
        }
    }
}

/// Sends a frame of another attempt and, after the first token, a repeated earlier frame.
async fn send_stray_frames(attempt: &AttemptId, index: u32, tokens: &FrameSender) {
    let text = "crossed".to_owned();
    let foreign = Frame::Token { attempt: attempt.next(), index, text: text.clone() };
    let _ = tokens.send(Ok(foreign)).await;
    if let Some(index) = index.checked_sub(1) {
        let late = Frame::Token { attempt: attempt.clone(), index, text };
        let _ = tokens.send(Ok(late)).await;
    }
}

/// Number of tokens of a text.
pub fn token_count(text: &str) -> u32 {
    text.len().div_ceil(TOKEN_BYTES) as u32
}

/// Text of the output token at `index`, a function of the prompt's first 64 bytes.
pub fn token_text(prompt: &str, index: u32) -> String {
    let seed = prompt
        .bytes()
        .take(64)
        .fold(17_u32, |sum, byte| sum.wrapping_mul(31).wrapping_add(u32::from(byte)));
    format!(" {}", seed.wrapping_add(index.wrapping_mul(7919)) % 1000)
}

/// Length of a prompt's output in tokens, and why it ends there.
///
/// The prefix `stop:N ` in the prompt ends the output after N tokens.
fn output_length(prompt: &str, max_output: u32) -> (u32, FinishReason) {
    let stop = prompt.strip_prefix("stop:").and_then(|rest| rest.split(' ').next());
    match stop.and_then(|number| number.parse().ok()) {
        Some(stop) if stop <= max_output => (stop, FinishReason::Stop),
        _ => (max_output, FinishReason::Length),
    }
}
