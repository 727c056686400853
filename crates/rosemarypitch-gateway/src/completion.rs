//! Runs one model request, from the debit to the last token.
//!
//! The pool's owner chooses a prefill engine and a decode engine for each attempt. A failed
//! KV cache transfer is repeated to another decode engine. A broken stream is resumed by
//! a new attempt, starting at the first missing token. Frames of earlier attempts are
//! dropped and counted. Everything that an attempt holds is released when its
//! [`AttemptGuard`] is dropped, on every exit path.

mod place;

use std::sync::Arc;
use std::time::Duration;

use rosemarypitch_config::{Caller, Class, Model, Target};
use rosemarypitch_peer::PoolEvent;
use rosemarypitch_route::{AttemptId, Progress};
use rosemarypitch_upstream::wire::{DecodeRequest, PrefillRequest};
use rosemarypitch_upstream::{
    DecodeStream, Endpoint, ErrorKind, FinishReason, Frame, UpstreamError,
};
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::guards::{AttemptGuard, DebitGuard};
use crate::host::Host;
use crate::problem::{Problem, ProblemKind};

/// Maximum number of attempts per request.
const MAX_ATTEMPTS: u32 = 4;
/// Maximum number of decode engines to which one prefill result is transferred.
const MAX_TRANSFERS: u32 = 2;
/// Timeout of one transfer; prefill engines keep a result for less than a second.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(350);
/// Timeout of the prefill.
const PREFILL_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum time between two frames of a decode stream.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Capacity of the channel to the caller, in tokens.
const OUTPUT_CAPACITY: usize = 256;

/// Model request of an authenticated caller.
#[derive(Clone, Debug)]
pub struct CompletionRequest {
    /// Authenticated caller.
    pub caller: Caller,
    /// Name of the model.
    pub model: Arc<str>,
    /// Prompt as text.
    pub prompt: Arc<str>,
    /// Maximum output in tokens; `None` means the model's default.
    pub max_output: Option<u32>,
}

/// Token counts of a complete answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Number of prompt tokens.
    pub prompt: u32,
    /// Number of prompt tokens that were found in the prefix cache.
    pub cached: u32,
    /// Number of output tokens.
    pub output: u32,
}

/// Item of an answer.
#[derive(Clone, Debug)]
pub enum Output {
    /// Text of one token.
    Token(String),
    /// End of a complete answer, with its reason.
    End(FinishReason, Usage),
    /// The request was rejected or failed; no further item follows.
    Failed(Problem),
}

/// Handle to a running request; dropping it cancels the request.
pub struct Completion {
    outputs: mpsc::Receiver<Output>,
    /// First attempt; its request number identifies the request in logs.
    pub attempt: AttemptId,
}

impl Completion {
    /// Spawns the task that runs a request.
    pub fn start(host: Arc<Host>, request: CompletionRequest) -> Self {
        let (sender, outputs) = mpsc::channel(OUTPUT_CAPACITY);
        let attempt = host.first_attempt();
        let task = CompletionTask::new(host, request, attempt.clone());
        tokio::spawn(task.run(sender));
        Self { outputs, attempt }
    }

    /// Receives the next item of the answer; `None` after the last.
    pub async fn next(&mut self) -> Option<Output> {
        self.outputs.recv().await
    }

    /// Polls for the next item; `None` after the last.
    pub fn poll_next(
        &mut self,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Output>> {
        self.outputs.poll_recv(context)
    }
}

/// State of one request across its attempts.
struct CompletionTask {
    host: Arc<Host>,
    request: CompletionRequest,
    attempt: AttemptId,
    progress: Progress,
    target: Target,
    started_at: Instant,
    first_token_at: Option<Instant>,
    sent_tokens: u32,
    usage: Usage,
}

/// Result of one attempt.
enum AttemptOutcome {
    /// The answer is complete.
    Completed(FinishReason),
    /// The attempt failed; another one may succeed.
    Retry(Problem),
    /// The request failed; no other attempt can succeed.
    Fatal(Problem),
}

/// Prefill engine and decode engine of one attempt.
struct EnginePair {
    prefill: Endpoint,
    decode: Endpoint,
}

impl CompletionTask {
    fn new(host: Arc<Host>, request: CompletionRequest, attempt: AttemptId) -> Self {
        let target = host.snapshot().document.target(request.caller.class);
        Self {
            host,
            request,
            attempt,
            progress: Progress::Accepted,
            target,
            started_at: Instant::now(),
            first_token_at: None,
            sent_tokens: 0,
            usage: Usage::default(),
        }
    }

    async fn run(mut self, outputs: mpsc::Sender<Output>) {
        let metrics = self.host.metrics.clone();
        metrics.open_requests.inc();
        let connection = outputs.clone();
        let result = tokio::select! {
            result = self.run_attempts(&outputs) => Some(result),
            () = connection.closed() => None,
        };
        let outcome = match &result {
            Some(Ok(_)) => "whole",
            Some(Err(problem)) => problem.kind.code(),
            None => "cancelled",
        };
        let class = self.request.caller.class.name();
        metrics.count_request(&self.request.caller.customer, class, outcome);
        self.record_token_interval();
        log::debug!("request: {} {outcome}, {} tokens", self.attempt, self.sent_tokens);
        let last = match result {
            Some(Ok(reason)) => Output::End(reason, self.usage),
            Some(Err(problem)) => Output::Failed(problem),
            None => {
                metrics.open_requests.dec();
                return;
            }
        };
        // Sending fails only if the caller has disconnected.
        let _ = outputs.send(last).await;
        metrics.open_requests.dec();
    }

    async fn run_attempts(
        &mut self,
        outputs: &mpsc::Sender<Output>,
    ) -> Result<FinishReason, Problem> {
        let model = self.model()?;
        let prompt_tokens = self.max_prompt_tokens(&model)?;
        let output_tokens = self.max_output_tokens(&model)?;
        self.progress.advance(Progress::Queued);
        let mut debit_guard =
            self.debit(u64::from(prompt_tokens) + u64::from(output_tokens)).await?;
        let mut last = None;
        for _ in 0..MAX_ATTEMPTS {
            let outcome = self.run_attempt(prompt_tokens, output_tokens, outputs).await;
            debit_guard.set_used(u64::from(self.usage.prompt) + u64::from(self.sent_tokens));
            match outcome {
                AttemptOutcome::Completed(reason) => {
                    self.progress.advance(Progress::Answered);
                    self.usage.output = self.sent_tokens;
                    return Ok(reason);
                }
                AttemptOutcome::Fatal(problem) => return Err(problem),
                AttemptOutcome::Retry(problem) => last = Some(problem),
            }
            self.attempt = self.attempt.next();
        }
        Err(last.unwrap_or_else(|| self.problem(ProblemKind::UpstreamFailed, "no attempt left")))
    }

    fn model(&self) -> Result<Model, Problem> {
        let snapshot = self.host.snapshot();
        let model = snapshot.document.models.get(&self.request.model);
        let unknown = || format!("there is no model {}", self.request.model);
        model.cloned().ok_or_else(|| self.problem(ProblemKind::NotFound, unknown()))
    }

    /// Returns the upper bound on the number of prompt tokens.
    fn max_prompt_tokens(&self, model: &Model) -> Result<u32, Problem> {
        let tokens = self.request.prompt.len().div_ceil(model.token_bytes as usize);
        let tokens = u32::try_from(tokens).unwrap_or(u32::MAX).max(1);
        if tokens > model.max_prompt {
            let detail = format!("a prompt of {tokens} tokens is above {}", model.max_prompt);
            return Err(self.problem(ProblemKind::TooLarge, detail));
        }
        Ok(tokens)
    }

    fn max_output_tokens(&self, model: &Model) -> Result<u32, Problem> {
        let tokens = self.request.max_output.unwrap_or(model.default_output);
        if tokens == 0 || tokens > model.max_output {
            let detail = format!("max_tokens must be 1 to {}", model.max_output);
            return Err(self.problem(ProblemKind::Invalid, detail));
        }
        Ok(tokens)
    }

    async fn debit(&self, amount: u64) -> Result<DebitGuard, Problem> {
        let caller = &self.request.caller;
        if amount > caller.limit.burst {
            let detail = format!("{amount} tokens are above the burst of {}", caller.limit.burst);
            return Err(self.problem(ProblemKind::TooLarge, detail));
        }
        let wait = Duration::from_millis(self.target.wait_ms);
        let debit = self.host.limits.debit(&caller.customer, amount, wait);
        let result = tokio::select! {
            result = debit => result,
            () = self.host.until_revoked(&caller.digest) => return Err(self.key_revoked()),
        };
        match result {
            Ok(granted) => Ok(DebitGuard::new(self.host.clone(), granted)),
            Err(after) => {
                let detail = format!("the limit of {} is spent", caller.customer);
                Err(self.problem(ProblemKind::LimitSpent, detail).with_retry_after(after))
            }
        }
    }

    async fn run_attempt(
        &mut self,
        prompt_tokens: u32,
        output_tokens: u32,
        outputs: &mpsc::Sender<Output>,
    ) -> AttemptOutcome {
        let (mut guard, engine_pair) = match self.place(prompt_tokens, output_tokens).await {
            Ok(placement) => placement,
            Err(problem) => return AttemptOutcome::Fatal(problem),
        };
        if self.sent_tokens == 0 {
            let class = self.request.caller.class.name();
            let wait = self.started_at.elapsed();
            self.host.metrics.observe_queue_wait(&self.request.caller.customer, class, wait);
        }
        if let Err(error) = self.prefill(&mut guard, &engine_pair.prefill).await {
            return self.attempt_failed("prefill", &guard, &engine_pair.prefill, error);
        }
        let (decode, stream) = match self.decode(&mut guard, engine_pair, output_tokens).await {
            Ok(started) => started,
            Err(outcome) => return outcome,
        };
        match self.relay(&guard, stream, outputs).await {
            Ok(reason) => {
                guard.untrack_engine(&decode);
                self.host.metrics.count_attempt("decode", "ok");
                AttemptOutcome::Completed(reason)
            }
            Err(RelayError::Engine(kind)) => {
                let error = UpstreamError::new("stream", &decode.name, kind);
                self.attempt_failed("stream", &guard, &decode, error)
            }
            Err(RelayError::SlowCaller) => {
                let detail = "the caller left the stream unread for too long";
                AttemptOutcome::Fatal(self.problem(ProblemKind::SlowRequest, detail))
            }
        }
    }

    async fn prefill(
        &mut self,
        guard: &mut AttemptGuard,
        engine: &Endpoint,
    ) -> Result<(), UpstreamError> {
        let request = PrefillRequest {
            attempt: self.attempt.clone(),
            model: self.request.model.clone(),
            prompt: self.request.prompt.clone(),
            generated: self.sent_tokens,
            priority: u8::from(self.request.caller.class == Class::Short),
        };
        guard.track_engine(engine);
        self.progress.advance(Progress::Sent);
        let started_at = Instant::now();
        let call =
            tokio::time::timeout(PREFILL_TIMEOUT, self.host.engines.prefill(engine, &request));
        let timed_out = || UpstreamError::new("prefill", &engine.name, ErrorKind::Timeout);
        let reply = call.await.unwrap_or_else(|_| Err(timed_out()))?;
        if reply.attempt != self.attempt {
            self.host.metrics.stale_frames.inc();
            let kind = ErrorKind::Protocol("answer to another attempt".to_owned());
            return Err(UpstreamError::new("prefill", &engine.name, kind));
        }
        if self.sent_tokens == 0 {
            self.usage.prompt = reply.prompt;
            self.usage.cached = reply.cached;
        }
        let computed = reply.prompt.saturating_sub(reply.cached);
        let micros = started_at.elapsed().as_micros() as u64;
        guard.notify_owner(vec![PoolEvent::Prefilled(self.attempt.clone(), computed, micros)]);
        self.host.metrics.count_attempt("prefill", "ok");
        Ok(())
    }

    /// Transfers the prefill result to the decode engine, or to another if that fails.
    async fn decode(
        &mut self,
        guard: &mut AttemptGuard,
        engine_pair: EnginePair,
        output_tokens: u32,
    ) -> Result<(Endpoint, DecodeStream), AttemptOutcome> {
        let EnginePair { prefill, mut decode } = engine_pair;
        for transfer in 1..=MAX_TRANSFERS {
            let request = DecodeRequest {
                attempt: self.attempt.clone(),
                source: prefill.address,
                start: self.sent_tokens,
                max_output: output_tokens,
                priority: u8::from(self.request.caller.class == Class::Short),
            };
            guard.track_engine(&decode);
            let call = self.host.engines.decode(&decode, &request);
            let timed_out = || UpstreamError::new("transfer", &decode.name, ErrorKind::Timeout);
            let started = tokio::time::timeout(TRANSFER_TIMEOUT, call).await;
            let error = match started.unwrap_or_else(|_| Err(timed_out())) {
                Ok(stream) => {
                    guard.untrack_engine(&prefill);
                    self.host.metrics.count_attempt("transfer", "ok");
                    return Ok((decode, stream));
                }
                Err(error) => error,
            };
            self.host.metrics.count_attempt("transfer", error_label(&error.kind));
            log::debug!("request: {}: {error}", self.attempt);
            let replacement = match transfer {
                MAX_TRANSFERS => None,
                _ => self.replace_decode(guard, &error).await,
            };
            match replacement {
                Some(replacement) => {
                    // The failed engine may still be importing the prefill result.
                    self.host.cleanup.cancel(decode.clone(), self.attempt.clone());
                    guard.untrack_engine(&decode);
                    decode = replacement;
                }
                None => return Err(self.attempt_failed("transfer", guard, &decode, error)),
            }
        }
        Err(AttemptOutcome::Retry(self.problem(ProblemKind::UpstreamFailed, "no transfer worked")))
    }

    /// Relays tokens to the caller, each index exactly once and in order.
    async fn relay(
        &mut self,
        guard: &AttemptGuard,
        mut stream: DecodeStream,
        outputs: &mpsc::Sender<Output>,
    ) -> Result<FinishReason, RelayError> {
        loop {
            let next = tokio::time::timeout(STREAM_IDLE_TIMEOUT, stream.recv()).await;
            let frame = match next {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(error))) => return Err(RelayError::Engine(error.kind)),
                Ok(None) => return Err(RelayError::Engine(ErrorKind::Lost)),
                Err(_) => return Err(RelayError::Engine(ErrorKind::Timeout)),
            };
            if frame.attempt() != guard.attempt() {
                self.host.metrics.stale_frames.inc();
                continue;
            }
            match frame {
                Frame::Token { index, .. } if index < self.sent_tokens => {
                    self.host.metrics.stale_frames.inc();
                }
                Frame::Token { index, text, .. } if index == self.sent_tokens => {
                    self.send_token(text, outputs).await?;
                }
                Frame::End { tokens, finish_reason: reason, .. } if tokens == self.sent_tokens => {
                    return Ok(reason);
                }
                Frame::Token { .. } | Frame::End { .. } => {
                    let detail = format!("tokens missing after {}", self.sent_tokens);
                    return Err(RelayError::Engine(ErrorKind::Protocol(detail)));
                }
            }
        }
    }

    async fn send_token(
        &mut self,
        text: String,
        outputs: &mpsc::Sender<Output>,
    ) -> Result<(), RelayError> {
        self.progress.advance(Progress::Answering);
        if self.first_token_at.is_none() {
            let now = Instant::now();
            self.first_token_at = Some(now);
            let class = self.request.caller.class.name();
            let time = now - self.started_at;
            self.host.metrics.observe_first_token(&self.request.caller.customer, class, time);
        }
        let timeout = self.host.settings.bounds.stall_time;
        let result = outputs.send_timeout(Output::Token(text), timeout).await;
        result.map_err(|_| RelayError::SlowCaller)?;
        self.sent_tokens += 1;
        Ok(())
    }

    /// Records a failed step and returns [`AttemptOutcome::Retry`].
    ///
    /// An engine that may be down is reported to the pool's owner.
    fn attempt_failed(
        &self,
        step: &str,
        guard: &AttemptGuard,
        engine: &Endpoint,
        error: UpstreamError,
    ) -> AttemptOutcome {
        self.host.metrics.count_attempt(step, error_label(&error.kind));
        log::info!("request: {}: {error}", self.attempt);
        if matches!(error.kind, ErrorKind::Connect | ErrorKind::Lost | ErrorKind::Timeout) {
            guard.notify_owner(vec![PoolEvent::EngineFailed(engine.name.clone())]);
        }
        let kind = match error.kind {
            ErrorKind::Timeout => ProblemKind::UpstreamSlow,
            _ => ProblemKind::UpstreamFailed,
        };
        AttemptOutcome::Retry(self.problem(kind, error.to_string()))
    }

    fn record_token_interval(&self) {
        if let Some(first_token_at) = self.first_token_at
            && self.sent_tokens > 1
        {
            let interval = first_token_at.elapsed() / (self.sent_tokens - 1);
            let class = self.request.caller.class.name();
            self.host.metrics.observe_token_interval(
                &self.request.caller.customer,
                class,
                interval,
            );
        }
    }

    fn key_revoked(&self) -> Problem {
        self.problem(ProblemKind::BadKey, "the key was withdrawn while the request waited")
    }

    fn unavailable(&self, detail: &str) -> Problem {
        self.problem(ProblemKind::Unavailable, detail).with_retry_after(Duration::from_secs(1))
    }

    fn problem(&self, kind: ProblemKind, detail: impl Into<String>) -> Problem {
        Problem::new(kind, detail).with_executed(self.progress.executed())
    }
}

/// Error that ended the relay of a stream.
enum RelayError {
    /// The engine or the connection to it failed.
    Engine(ErrorKind),
    /// The caller read too slowly or disconnected.
    SlowCaller,
}

fn error_label(kind: &ErrorKind) -> &'static str {
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
