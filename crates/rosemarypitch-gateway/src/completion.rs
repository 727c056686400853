//! The life of one model request, from debit to last token.
//!
//! Each attempt is placed by the pool's owner, prefilled on one engine and decoded on
//! another. A failed transfer gets another decode engine; a broken stream is resumed by a
//! further attempt at the token where it broke. Frames are matched with the attempt that
//! is current; others are dropped and counted. Whatever an attempt holds is released when
//! its [`AttemptGuard`] is dropped, on every way out.

mod place;

use std::sync::Arc;
use std::time::Duration;

use rosemarypitch_config::{Caller, Class, Model, Target};
use rosemarypitch_peer::Note;
use rosemarypitch_route::{AttemptId, Progress};
use rosemarypitch_upstream::wire::{DecodeAsk, PrefillAsk};
use rosemarypitch_upstream::{DecodeStream, End, EngineAddress, ErrorKind, Frame, UpstreamError};
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::guards::{AttemptGuard, DebitGuard};
use crate::host::Host;
use crate::problem::{Problem, ProblemKind};

/// Attempts at one request.
const MAX_ATTEMPTS: u32 = 4;
/// Decode engines tried for one prefill's result.
const MAX_TRANSFERS: u32 = 2;
/// Longest transfer; a prefill's result is held for less than a second.
const TRANSFER_TIME: Duration = Duration::from_millis(350);
/// Longest prefill.
const PREFILL_TIME: Duration = Duration::from_secs(10);
/// Longest silence of a decode stream.
const SILENCE: Duration = Duration::from_secs(2);
/// Tokens that may wait for the caller.
const OUTPUT_BUFFER: usize = 256;

/// A model request whose caller is known.
#[derive(Clone, Debug)]
pub struct CompletionRequest {
    /// Who asks.
    pub caller: Caller,
    /// The model.
    pub model: Arc<str>,
    /// Text of the prompt.
    pub prompt: Arc<str>,
    /// Output bound, in tokens.
    pub max_output: Option<u32>,
}

/// Tokens of a whole answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Tokens of the prompt that were cached.
    pub cached: u32,
    /// Tokens of the output.
    pub output: u32,
}

/// A part of an answer.
#[derive(Clone, Debug)]
pub enum Output {
    /// A token's text.
    Token(String),
    /// The answer is whole.
    End(End, Usage),
    /// The request is refused, or broke off.
    Failed(Problem),
}

/// A request under way; dropping it cancels the request.
pub struct Completion {
    outputs: mpsc::Receiver<Output>,
    /// The first attempt, whose request number names the request in logs.
    pub attempt: AttemptId,
}

impl Completion {
    /// Starts a request.
    pub fn start(host: Arc<Host>, ask: CompletionRequest) -> Self {
        let (sender, outputs) = mpsc::channel(OUTPUT_BUFFER);
        let attempt = host.first_attempt();
        let run = Run::new(host, ask, attempt.clone());
        tokio::spawn(run.run(sender));
        Self { outputs, attempt }
    }

    /// The next part of the answer; none after the last.
    pub async fn next(&mut self) -> Option<Output> {
        self.outputs.recv().await
    }

    /// Polls for the next part.
    pub fn poll_next(
        &mut self,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Output>> {
        self.outputs.poll_recv(context)
    }
}

struct Run {
    host: Arc<Host>,
    ask: CompletionRequest,
    attempt: AttemptId,
    progress: Progress,
    target: Target,
    begun: Instant,
    first: Option<Instant>,
    sent: u32,
    usage: Usage,
}

/// How one attempt ended.
enum Outcome {
    /// The answer is whole.
    Whole(End),
    /// Another attempt may do better.
    Retry(Problem),
    /// The request is over.
    Over(Problem),
}

/// The two engines that an attempt was given.
struct Places {
    prefill: EngineAddress,
    decode: EngineAddress,
}

impl Run {
    fn new(host: Arc<Host>, ask: CompletionRequest, attempt: AttemptId) -> Self {
        let target = host.snapshot().document.target(ask.caller.class);
        Self {
            host,
            ask,
            attempt,
            progress: Progress::Accepted,
            target,
            begun: Instant::now(),
            first: None,
            sent: 0,
            usage: Usage::default(),
        }
    }

    async fn run(mut self, outputs: mpsc::Sender<Output>) {
        let metrics = self.host.metrics.clone();
        metrics.open_requests.inc();
        let cancelled = outputs.clone();
        let result = tokio::select! {
            result = self.answer(&outputs) => Some(result),
            () = cancelled.closed() => None,
        };
        let outcome = match &result {
            Some(Ok(_)) => "whole",
            Some(Err(problem)) => problem.kind.code(),
            None => "cancelled",
        };
        let class = self.ask.caller.class.name();
        metrics.count_request(&self.ask.caller.customer, class, outcome);
        self.note_pace();
        log::debug!("request: {} {outcome}, {} tokens", self.attempt, self.sent);
        let last = match result {
            Some(Ok(end)) => Output::End(end, self.usage),
            Some(Err(problem)) => Output::Failed(problem),
            None => {
                metrics.open_requests.dec();
                return;
            }
        };
        // A caller that is gone needs no last code.
        let _ = outputs.send(last).await;
        metrics.open_requests.dec();
    }

    async fn answer(&mut self, outputs: &mpsc::Sender<Output>) -> Result<End, Problem> {
        let model = self.model()?;
        let prompt = self.prompt_bound(&model)?;
        let output = self.output_bound(&model)?;
        self.progress.advance(Progress::Queued);
        let mut debited = self.debit(u64::from(prompt) + u64::from(output)).await?;
        let mut last = None;
        for _ in 0..MAX_ATTEMPTS {
            let outcome = self.attempt_once(prompt, output, outputs).await;
            debited.set_used(u64::from(self.usage.prompt) + u64::from(self.sent));
            match outcome {
                Outcome::Whole(end) => {
                    self.progress.advance(Progress::Answered);
                    self.usage.output = self.sent;
                    return Ok(end);
                }
                Outcome::Over(problem) => return Err(problem),
                Outcome::Retry(problem) => last = Some(problem),
            }
            self.attempt = self.attempt.next();
        }
        Err(last.unwrap_or_else(|| self.problem(ProblemKind::UpstreamFailed, "no attempt left")))
    }

    fn model(&self) -> Result<Model, Problem> {
        let snapshot = self.host.snapshot();
        let model = snapshot.document.models.get(&self.ask.model);
        let unknown = || format!("there is no model {}", self.ask.model);
        model.cloned().ok_or_else(|| self.problem(ProblemKind::NotFound, unknown()))
    }

    /// The most tokens that the prompt can have.
    fn prompt_bound(&self, model: &Model) -> Result<u32, Problem> {
        let tokens = self.ask.prompt.len().div_ceil(model.token_bytes as usize);
        let tokens = u32::try_from(tokens).unwrap_or(u32::MAX).max(1);
        if tokens > model.max_prompt {
            let detail = format!("a prompt of {tokens} tokens is above {}", model.max_prompt);
            return Err(self.problem(ProblemKind::TooLarge, detail));
        }
        Ok(tokens)
    }

    fn output_bound(&self, model: &Model) -> Result<u32, Problem> {
        let output = self.ask.max_output.unwrap_or(model.default_output);
        if output == 0 || output > model.max_output {
            let detail = format!("max_tokens must be 1 to {}", model.max_output);
            return Err(self.problem(ProblemKind::Invalid, detail));
        }
        Ok(output)
    }

    async fn debit(&self, amount: u64) -> Result<DebitGuard, Problem> {
        let caller = &self.ask.caller;
        if amount > caller.limit.burst {
            let detail = format!("{amount} tokens are above the burst of {}", caller.limit.burst);
            return Err(self.problem(ProblemKind::TooLarge, detail));
        }
        let wait = Duration::from_millis(self.target.wait_ms);
        let debit = self.host.limits.debit(&caller.customer, amount, wait);
        let result = tokio::select! {
            result = debit => result,
            () = self.host.until_revoked(&caller.digest) => return Err(self.withdrawn()),
        };
        match result {
            Ok(ticket) => Ok(DebitGuard::new(self.host.clone(), ticket)),
            Err(after) => {
                let detail = format!("the limit of {} is spent", caller.customer);
                Err(self.problem(ProblemKind::LimitSpent, detail).with_retry_after(after))
            }
        }
    }

    async fn attempt_once(
        &mut self,
        prompt: u32,
        output: u32,
        outputs: &mpsc::Sender<Output>,
    ) -> Outcome {
        let (mut holding, places) = match self.place(prompt, output).await {
            Ok(placed) => placed,
            Err(problem) => return Outcome::Over(problem),
        };
        if self.sent == 0 {
            let class = self.ask.caller.class.name();
            let wait = self.begun.elapsed();
            self.host.metrics.observe_queue_wait(&self.ask.caller.customer, class, wait);
        }
        if let Err(error) = self.prefill(&mut holding, &places.prefill).await {
            return self.failed("prefill", &holding, &places.prefill, error);
        }
        let (decode, stream) = match self.decode(&mut holding, places, output).await {
            Ok(started) => started,
            Err(outcome) => return outcome,
        };
        match self.relay(&holding, stream, outputs).await {
            Ok(end) => {
                holding.untrack_engine(&decode);
                self.host.metrics.count_attempt("decode", "ok");
                Outcome::Whole(end)
            }
            Err(Broken::Engine(kind)) => {
                let error = UpstreamError::new("stream", &decode.name, kind);
                self.failed("stream", &holding, &decode, error)
            }
            Err(Broken::Caller) => {
                let detail = "the caller left the stream unread for too long";
                Outcome::Over(self.problem(ProblemKind::SlowRequest, detail))
            }
        }
    }

    async fn prefill(
        &mut self,
        holding: &mut AttemptGuard,
        engine: &EngineAddress,
    ) -> Result<(), UpstreamError> {
        let ask = PrefillAsk {
            attempt: self.attempt.clone(),
            model: self.ask.model.clone(),
            prompt: self.ask.prompt.clone(),
            generated: self.sent,
            priority: u8::from(self.ask.caller.class == Class::Short),
        };
        holding.track_engine(engine);
        self.progress.advance(Progress::Sent);
        let begun = Instant::now();
        let call = tokio::time::timeout(PREFILL_TIME, self.host.engines.prefill(engine, &ask));
        let late = || UpstreamError::new("prefill", &engine.name, ErrorKind::Timeout);
        let done = call.await.unwrap_or_else(|_| Err(late()))?;
        if done.attempt != self.attempt {
            self.host.metrics.stale_frames.inc();
            let kind = ErrorKind::Protocol("answer to another attempt".to_owned());
            return Err(UpstreamError::new("prefill", &engine.name, kind));
        }
        if self.sent == 0 {
            self.usage.prompt = done.prompt;
            self.usage.cached = done.cached;
        }
        let computed = done.prompt.saturating_sub(done.cached);
        let micros = begun.elapsed().as_micros() as u64;
        holding.notify_owner(vec![Note::Prefilled(self.attempt.clone(), computed, micros)]);
        self.host.metrics.count_attempt("prefill", "ok");
        Ok(())
    }

    /// Moves the prefill's result to a decode engine, or to another if the first fails.
    async fn decode(
        &mut self,
        holding: &mut AttemptGuard,
        places: Places,
        output: u32,
    ) -> Result<(EngineAddress, DecodeStream), Outcome> {
        let Places { prefill, mut decode } = places;
        for transfer in 1..=MAX_TRANSFERS {
            let ask = DecodeAsk {
                attempt: self.attempt.clone(),
                source: prefill.address,
                start: self.sent,
                max_output: output,
                priority: u8::from(self.ask.caller.class == Class::Short),
            };
            holding.track_engine(&decode);
            let call = self.host.engines.decode(&decode, &ask);
            let late = || UpstreamError::new("transfer", &decode.name, ErrorKind::Timeout);
            let started = tokio::time::timeout(TRANSFER_TIME, call).await;
            let error = match started.unwrap_or_else(|_| Err(late())) {
                Ok(stream) => {
                    holding.untrack_engine(&prefill);
                    self.host.metrics.count_attempt("transfer", "ok");
                    return Ok((decode, stream));
                }
                Err(error) => error,
            };
            self.host.metrics.count_attempt("transfer", outcome(&error.kind));
            log::debug!("request: {}: {error}", self.attempt);
            let other = match transfer {
                MAX_TRANSFERS => None,
                _ => self.replace(holding, &error).await,
            };
            match other {
                Some(other) => {
                    // The engine may still be importing what it is to hold no more.
                    self.host.cleanup.cancel(decode.clone(), self.attempt.clone());
                    holding.untrack_engine(&decode);
                    decode = other;
                }
                None => return Err(self.failed("transfer", holding, &decode, error)),
            }
        }
        Err(Outcome::Retry(self.problem(ProblemKind::UpstreamFailed, "no transfer worked")))
    }

    /// Passes tokens on, each index once and in order.
    async fn relay(
        &mut self,
        holding: &AttemptGuard,
        mut stream: DecodeStream,
        outputs: &mpsc::Sender<Output>,
    ) -> Result<End, Broken> {
        loop {
            let next = tokio::time::timeout(SILENCE, stream.recv()).await;
            let frame = match next {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(error))) => return Err(Broken::Engine(error.kind)),
                Ok(None) => return Err(Broken::Engine(ErrorKind::Lost)),
                Err(_) => return Err(Broken::Engine(ErrorKind::Timeout)),
            };
            if frame.attempt() != holding.attempt() {
                self.host.metrics.stale_frames.inc();
                continue;
            }
            match frame {
                Frame::Token { index, .. } if index < self.sent => {
                    self.host.metrics.stale_frames.inc();
                }
                Frame::Token { index, text, .. } if index == self.sent => {
                    self.pass(text, outputs).await?;
                }
                Frame::End { tokens, end, .. } if tokens == self.sent => return Ok(end),
                Frame::Token { .. } | Frame::End { .. } => {
                    let detail = format!("tokens missing after {}", self.sent);
                    return Err(Broken::Engine(ErrorKind::Protocol(detail)));
                }
            }
        }
    }

    async fn pass(&mut self, text: String, outputs: &mpsc::Sender<Output>) -> Result<(), Broken> {
        self.progress.advance(Progress::Answering);
        if self.first.is_none() {
            let now = Instant::now();
            self.first = Some(now);
            let class = self.ask.caller.class.name();
            let time = now - self.begun;
            self.host.metrics.observe_first_token(&self.ask.caller.customer, class, time);
        }
        let stall = self.host.settings.bounds.stall_time;
        let sent = outputs.send_timeout(Output::Token(text), stall).await;
        sent.map_err(|_| Broken::Caller)?;
        self.sent += 1;
        Ok(())
    }

    /// Tells the pool of a failure, and whether another attempt makes sense.
    fn failed(
        &self,
        step: &str,
        holding: &AttemptGuard,
        engine: &EngineAddress,
        error: UpstreamError,
    ) -> Outcome {
        self.host.metrics.count_attempt(step, outcome(&error.kind));
        log::info!("request: {}: {error}", self.attempt);
        if matches!(error.kind, ErrorKind::Connect | ErrorKind::Lost | ErrorKind::Timeout) {
            holding.notify_owner(vec![Note::Failed(engine.name.clone())]);
        }
        let kind = match error.kind {
            ErrorKind::Timeout => ProblemKind::UpstreamSlow,
            _ => ProblemKind::UpstreamFailed,
        };
        Outcome::Retry(self.problem(kind, error.to_string()))
    }

    fn note_pace(&self) {
        if let Some(first) = self.first
            && self.sent > 1
        {
            let pace = first.elapsed() / (self.sent - 1);
            let class = self.ask.caller.class.name();
            self.host.metrics.observe_token_interval(&self.ask.caller.customer, class, pace);
        }
    }

    fn withdrawn(&self) -> Problem {
        self.problem(ProblemKind::BadKey, "the key was withdrawn while the request waited")
    }

    fn unavailable(&self, detail: &str) -> Problem {
        self.problem(ProblemKind::Unavailable, detail).with_retry_after(Duration::from_secs(1))
    }

    fn problem(&self, kind: ProblemKind, detail: impl Into<String>) -> Problem {
        Problem::new(kind, detail).with_executed(self.progress.executed())
    }
}

/// Why a stream was not passed on to its end.
enum Broken {
    Engine(ErrorKind),
    Caller,
}

fn outcome(kind: &ErrorKind) -> &'static str {
    match kind {
        ErrorKind::Connect => "connect",
        ErrorKind::Lost => "lost",
        ErrorKind::Timeout => "timeout",
        ErrorKind::Busy => "busy",
        ErrorKind::NotHeld => "not-held",
        ErrorKind::Fenced(_) => "fenced",
        ErrorKind::Refused(_) => "refused",
        ErrorKind::Protocol(_) => "protocol",
    }
}
