//! A model engine that batches continuously.
//!
//! It goes on with an attempt whose reader is gone until the attempt is cancelled or
//! whole, as real engines do when a router dies. The output is a function of the prompt,
//! so that a test can tell a missing or repeated token.

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

/// Bytes of text that one token stands for.
const TOKEN_BYTES: usize = 4;
/// Time that a stalled transfer takes.
const STALL: Duration = Duration::from_secs(60);
/// Load reports kept for the lag.
const LOAD_HISTORY: usize = 1_024;
/// Cache events kept.
const EVENT_HISTORY: usize = 4_096;

/// A stand-in model engine.
pub struct Engine {
    shape: EngineShape,
    state: Mutex<State>,
    turn: Notify,
}

struct State {
    prefill: bool,
    model: Arc<str>,
    fence: u64,
    leaving: bool,
    stopped: bool,
    silent: bool,
    crossed: bool,
    work: HashMap<AttemptId, Work>,
    cancelled: HashSet<AttemptId>,
    queue: BTreeSet<(u8, u64, AttemptId)>,
    arrivals: u64,
    busy: bool,
    cache: VecDeque<BlockHash>,
    events: VecDeque<(Instant, CacheEvent)>,
    event_number: u64,
    loads: VecDeque<(Instant, LoadReport)>,
    link_free: Instant,
    transfers: u64,
    prefilled: u64,
    wasted: u64,
}

struct Work {
    stage: Stage,
    result: Option<ExportResponse>,
    stop: watch::Sender<bool>,
    uncached: u32,
}

impl Engine {
    /// An idle engine.
    pub fn new(shape: EngineShape) -> Arc<Self> {
        let state = State {
            prefill: shape.prefill,
            model: Arc::from(""),
            fence: 0,
            leaving: false,
            stopped: false,
            silent: false,
            crossed: false,
            work: HashMap::new(),
            cancelled: HashSet::new(),
            queue: BTreeSet::new(),
            arrivals: 0,
            busy: false,
            cache: VecDeque::new(),
            events: VecDeque::new(),
            event_number: 0,
            loads: VecDeque::new(),
            link_free: Instant::now(),
            transfers: 0,
            prefilled: 0,
            wasted: 0,
        };
        Arc::new(Self { shape, state: Mutex::new(state), turn: Notify::new() })
    }

    /// Its speeds and sizes.
    pub fn shape(&self) -> &EngineShape {
        &self.shape
    }

    /// Runs a prefill and holds its result.
    pub async fn prefill(
        self: &Arc<Self>,
        ask: &PrefillRequest,
    ) -> Result<PrefillResponse, ErrorKind> {
        let mut stop = self.begin(&ask.attempt, Stage::Queued)?;
        let tokens = token_count(&ask.prompt) + ask.generated;
        let names = block_hashes(&ask.prompt);
        if !self.await_turn(ask, &mut stop).await {
            return Err(ErrorKind::NotHeld);
        }
        let cached = self.lookup(&names).min(tokens);
        self.set_stage(&ask.attempt, Stage::Prefilling);
        let done = tokio::select! {
            () = tokio::time::sleep(self.shape.prefill_time(tokens - cached)) => true,
            _ = stop.changed() => false,
        };
        self.lock().busy = false;
        self.turn.notify_waiters();
        if !done {
            return Err(ErrorKind::NotHeld);
        }
        self.remember(&names);
        let export = ExportResponse { prompt: ask.prompt.clone(), tokens };
        self.hold(&ask.attempt, export, tokens - cached)?;
        Ok(PrefillResponse { attempt: ask.attempt.clone(), prompt: tokens, cached })
    }

    /// Hands a held result to a decode engine, over the shared link.
    pub async fn export(&self, attempt: &AttemptId) -> Result<ExportResponse, ErrorKind> {
        let (export, until) = {
            let mut state = self.lock();
            let work = state.work.get(attempt).ok_or(ErrorKind::NotHeld)?;
            let export = work.result.clone().ok_or(ErrorKind::NotHeld)?;
            state.transfers += 1;
            let stall = self.shape.stall_one_in;
            let stalled = stall > 0 && state.transfers.is_multiple_of(stall);
            let start = state.link_free.max(Instant::now());
            let until = start + self.shape.transfer_time(export.tokens);
            state.link_free = until;
            (export, if stalled { until + STALL } else { until })
        };
        tokio::time::sleep_until(until).await;
        let mut state = self.lock();
        if state.stopped {
            return Err(ErrorKind::Lost);
        }
        state.work.remove(attempt).ok_or(ErrorKind::NotHeld)?;
        Ok(export)
    }

    /// Takes a decode slot for an attempt; [`Engine::stream`] goes on with it.
    pub fn admit(&self, attempt: &AttemptId) -> Result<watch::Receiver<bool>, ErrorKind> {
        if self.lock().work.len() as u32 >= self.shape.slots {
            return Err(ErrorKind::Busy);
        }
        self.begin(attempt, Stage::Importing)
    }

    /// Gives up a slot whose import failed.
    pub fn abandon(&self, attempt: &AttemptId) {
        self.lock().work.remove(attempt);
        self.note_load();
    }

    /// Generates the tokens of an imported attempt.
    pub async fn stream(
        self: Arc<Self>,
        ask: DecodeRequest,
        export: ExportResponse,
        mut stop: watch::Receiver<bool>,
        tokens: FrameSender,
    ) {
        let attempt = ask.attempt.clone();
        self.set_stage(&attempt, Stage::Decoding);
        let (length, end) = output_length(&export.prompt, ask.max_output);
        for index in ask.start..length {
            let batch = self.lock().work.len() as u32;
            tokio::select! {
                () = tokio::time::sleep(self.shape.step_time(batch)) => {}
                _ = stop.changed() => return,
            }
            if self.is_silent() {
                let _ = stop.changed().await;
                return;
            }
            if self.lock().crossed {
                cross(&attempt, index, &tokens).await;
            }
            let text = token_text(&export.prompt, index);
            let frame = Frame::Token { attempt: attempt.clone(), index, text };
            // A reader that is gone does not end the work; only a cancel does.
            let _ = tokens.send(Ok(frame)).await;
        }
        self.lock().work.remove(&attempt);
        self.note_load();
        let _ = tokens.send(Ok(Frame::End { attempt, tokens: length, finish_reason: end })).await;
    }

    /// Ends an attempt; a later start of it is refused.
    pub fn cancel(&self, attempt: &AttemptId) {
        let mut state = self.lock();
        state.cancelled.insert(attempt.clone());
        if let Some(work) = state.work.remove(attempt) {
            if work.result.is_some() {
                state.wasted += u64::from(work.uncached);
            }
            let _ = work.stop.send(true);
        }
        drop(state);
        self.turn.notify_waiters();
        self.note_load();
    }

    /// Running and held work.
    pub fn work(&self) -> Vec<WorkItem> {
        let state = self.lock();
        let items = state.work.iter();
        items.map(|(id, work)| WorkItem { attempt: id.clone(), stage: work.stage }).collect()
    }

    /// Load, as it was some time ago.
    pub fn load(&self) -> LoadReport {
        let state = self.lock();
        let until = Instant::now().checked_sub(Duration::from_millis(self.shape.load_lag_ms));
        let known =
            state.loads.iter().rev().find(|(at, _)| until.is_some_and(|until| *at <= until));
        let report = known.map(|(_, report)| report.clone()).unwrap_or_default();
        LoadReport { leaving: state.leaving, ..report }
    }

    /// Cache events after a number, late and with gaps.
    pub fn events(&self, after: u64) -> CacheEvents {
        let state = self.lock();
        let until = Instant::now().checked_sub(Duration::from_millis(self.shape.event_lag_ms));
        let shown = state
            .events
            .iter()
            .filter(|(at, event)| event.number > after && until.is_some_and(|until| *at <= until));
        let all: Vec<CacheEvent> = shown.map(|(_, event)| *event).collect();
        let last = all.last().map_or(after, |event| event.number);
        let gap = self.shape.event_gap;
        let kept = all.into_iter().filter(|e| gap == 0 || !e.number.is_multiple_of(gap));
        CacheEvents { last, events: kept.collect() }
    }

    /// Carries out an order.
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

    /// Says in its reports whether it wants to leave.
    pub fn set_leaving(&self, leaving: bool) {
        self.lock().leaving = leaving;
    }

    /// Goes silent: calls get no answer and streams no tokens, until it is let speak again.
    pub fn set_silent(&self, silent: bool) {
        self.lock().silent = silent;
    }

    /// Whether it is silent.
    pub fn is_silent(&self) -> bool {
        self.lock().silent
    }

    /// Mixes frames of other attempts and late ones into its streams.
    pub fn set_crossed(&self, crossed: bool) {
        self.lock().crossed = crossed;
    }

    /// Dies: all work is gone and no call is taken, until it is started again.
    pub fn stop(&self) {
        let mut state = self.lock();
        state.stopped = true;
        for (_, work) in state.work.drain() {
            let _ = work.stop.send(true);
        }
        state.cache.clear();
        state.events.clear();
        state.busy = false;
        drop(state);
        self.turn.notify_waiters();
    }

    /// Comes back empty after [`Engine::stop`].
    pub fn start(&self) {
        self.lock().stopped = false;
    }

    /// Whether it is dead.
    pub fn is_stopped(&self) -> bool {
        self.lock().stopped
    }

    /// Tokens computed by prefills, and those of them that no decode used.
    pub fn prefill_totals(&self) -> (u64, u64) {
        let state = self.lock();
        (state.prefilled, state.wasted)
    }

    fn begin(&self, attempt: &AttemptId, stage: Stage) -> Result<watch::Receiver<bool>, ErrorKind> {
        let mut state = self.lock();
        if state.stopped {
            return Err(ErrorKind::Lost);
        }
        if state.cancelled.contains(attempt) || state.work.contains_key(attempt) {
            return Err(ErrorKind::NotHeld);
        }
        let (stop, stopped) = watch::channel(false);
        let work = Work { stage, result: None, stop, uncached: 0 };
        state.work.insert(attempt.clone(), work);
        drop(state);
        self.note_load();
        Ok(stopped)
    }

    /// Waits until no other prefill runs and none of higher priority waits.
    async fn await_turn(&self, ask: &PrefillRequest, stop: &mut watch::Receiver<bool>) -> bool {
        let key = {
            let mut state = self.lock();
            state.arrivals += 1;
            let key = (u8::MAX - ask.priority, state.arrivals, ask.attempt.clone());
            state.queue.insert(key.clone());
            key
        };
        loop {
            let turn = self.turn.notified();
            tokio::pin!(turn);
            turn.as_mut().enable();
            {
                let mut state = self.lock();
                if !state.work.contains_key(&ask.attempt) {
                    state.queue.remove(&key);
                    return false;
                }
                if !state.busy && state.queue.first() == Some(&key) {
                    state.queue.remove(&key);
                    state.busy = true;
                    return true;
                }
            }
            tokio::select! {
                () = turn => {}
                _ = stop.changed() => {}
            }
        }
    }

    fn lookup(&self, names: &[BlockHash]) -> u32 {
        let state = self.lock();
        let held = names.iter().take_while(|piece| state.cache.contains(piece)).count();
        held as u32 * rosemarypitch_route::BLOCK_TOKENS
    }

    fn remember(&self, names: &[BlockHash]) {
        let mut state = self.lock();
        for piece in names {
            if let Some(at) = state.cache.iter().position(|held| held == piece) {
                state.cache.remove(at);
            } else {
                state.note(*piece, true);
            }
            state.cache.push_back(*piece);
            if state.cache.len() > self.shape.cache_pieces
                && let Some(old) = state.cache.pop_front()
            {
                state.note(old, false);
            }
        }
    }

    fn hold(
        self: &Arc<Self>,
        attempt: &AttemptId,
        export: ExportResponse,
        uncached: u32,
    ) -> Result<(), ErrorKind> {
        let mut state = self.lock();
        state.prefilled += u64::from(uncached);
        let Some(work) = state.work.get_mut(attempt) else {
            state.wasted += u64::from(uncached);
            return Err(ErrorKind::NotHeld);
        };
        work.stage = Stage::Held;
        work.result = Some(export);
        work.uncached = uncached;
        drop(state);
        let (engine, attempt) = (self.clone(), attempt.clone());
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(engine.shape.result_ms)).await;
            let mut state = engine.lock();
            if let Some(work) = state.work.remove(&attempt) {
                state.wasted += u64::from(work.uncached);
            }
        });
        Ok(())
    }

    fn set_stage(&self, attempt: &AttemptId, stage: Stage) {
        if let Some(work) = self.lock().work.get_mut(attempt) {
            work.stage = stage;
        }
    }

    fn note_load(&self) {
        let mut state = self.lock();
        let running = state.work.len() as u32;
        let pace_us = self.shape.step_time(running).as_micros() as u64;
        let report = LoadReport { running, tpot_us: pace_us, leaving: false };
        state.loads.push_back((Instant::now(), report));
        if state.loads.len() > LOAD_HISTORY {
            state.loads.pop_front();
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|error| error.into_inner())
    }
}

impl State {
    fn note(&mut self, piece: BlockHash, stored: bool) {
        self.event_number += 1;
        let event = CacheEvent { number: self.event_number, block: piece, stored };
        self.events.push_back((Instant::now(), event));
        if self.events.len() > EVENT_HISTORY {
            self.events.pop_front();
        }
    }
}

/// Sends a frame of another attempt and, after the first token, one that came before.
async fn cross(attempt: &AttemptId, index: u32, tokens: &FrameSender) {
    let text = "crossed".to_owned();
    let other = Frame::Token { attempt: attempt.next(), index, text: text.clone() };
    let _ = tokens.send(Ok(other)).await;
    if let Some(index) = index.checked_sub(1) {
        let late = Frame::Token { attempt: attempt.clone(), index, text };
        let _ = tokens.send(Ok(late)).await;
    }
}

/// Tokens of a text.
pub fn token_count(text: &str) -> u32 {
    text.len().div_ceil(TOKEN_BYTES) as u32
}

/// Text of one output token of a prompt.
pub fn token_text(prompt: &str, index: u32) -> String {
    let seed = prompt
        .bytes()
        .take(64)
        .fold(17_u32, |sum, byte| sum.wrapping_mul(31).wrapping_add(u32::from(byte)));
    format!(" {}", seed.wrapping_add(index.wrapping_mul(7919)) % 1000)
}

/// Length of a prompt's output: a leading `stop:N ` ends it at N tokens.
fn output_length(prompt: &str, max_output: u32) -> (u32, FinishReason) {
    let stop = prompt.strip_prefix("stop:").and_then(|rest| rest.split(' ').next());
    match stop.and_then(|number| number.parse().ok()) {
        Some(stop) if stop <= max_output => (stop, FinishReason::Stop),
        _ => (max_output, FinishReason::Length),
    }
}
