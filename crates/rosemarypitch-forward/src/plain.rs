//! Forwarding of requests to plain services.
//!
//! A request is tried on one server after another as long as it has certainly not run or
//! may run again. Responses are buffered before any byte reaches the caller, so that a
//! truncated one never looks complete and an idempotent request can be retried. Streams are
//! forwarded event by event, and resumed at another server where the route allows it.

mod send;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use tokio::time::Instant;

use crate::call::Call;
use crate::config::RouteKind;
use crate::deployment::{ResponseMeta, ResumeFrom, SendParams, ServingStage};
use crate::events::Position;
use crate::refusal::{Cause, Ran, Refusal};
use crate::registry::Upstream;
use crate::relay::{
    self, OpenStream, PrepareFuture, ResponseBody, ResumePolicy, SegmentFuture, Stream, StreamError,
};
use crate::retry::{Denial, RetryPermit};
use crate::router::{Router, StopPhase};
use crate::takeup;

use send::{InFlight, SendOutcome};

/// Maximum number of unreachable servers per request; each may cost the connect timeout.
const MAX_UNREACHABLE: u32 = 4;
/// `Retry-After` when all servers are full; several requests complete in this time.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Forwards a request to a plain service.
pub async fn run(
    router: &Arc<Router>,
    call: &Arc<Call>,
) -> Result<Response<ResponseBody>, Refusal> {
    let version = takeup::version(router, call).await?;
    let mut state = RetryState { version, ..RetryState::default() };
    match try_upstreams(router, call, &mut state, None, None).await? {
        Reply::Buffered(response) => Ok(caller_response(router, response)),
        Reply::Stream(opened) => {
            let resumable = call.route.kind.may_run_again();
            state.version = Some(opened.upstream.version.clone());
            takeup::begin(router, call, &opened.upstream).await;
            let policy = resumable.then(|| resume_policy(router, call, state));
            let response = relay::response(router, opened, |segment| {
                Stream::relay(segment, call.deadline, policy)
            });
            Ok(response)
        }
    }
}

/// Returns how an interrupted stream is resumed at another server.
fn resume_policy(router: &Arc<Router>, call: &Arc<Call>, state: RetryState) -> ResumePolicy {
    let (router, call) = (router.clone(), call.clone());
    let idle_timeout = relay::idle_timeout(&call.route);
    // Only one attempt to resume runs at a time.
    let state = Arc::new(Mutex::new(state));
    let prepare = Box::new(move |position: Position, cause: StreamError| {
        let (router, call, state) = (router.clone(), call.clone(), state.clone());
        let mut current = state.lock().unwrap_or_else(|error| error.into_inner()).clone();
        let next = match current.next_server(&router, &call) {
            Ok(next) => next,
            Err(denial) => {
                relay::log_not_resumed(&call, &position, cause, denial.name());
                let none: PrepareFuture = Box::pin(std::future::ready(None));
                return none;
            }
        };
        let preparing: PrepareFuture = Box::pin(async move {
            // A silent server is only left for one that can be reached.
            let next = if cause == StreamError::Silent { next.connect().await? } else { next };
            let resuming: SegmentFuture = Box::pin(async move {
                let after = Some(&position);
                let opened = try_upstreams(&router, &call, &mut current, after, Some(next)).await;
                *state.lock().unwrap_or_else(|error| error.into_inner()) = current;
                relay::log_resumed(&call, &position, opened.as_ref().err());
                match opened {
                    Ok(Reply::Stream(opened)) => Some(opened.segment),
                    Ok(Reply::Buffered(_)) | Err(_) => None,
                }
            });
            Some(resuming)
        });
        preparing
    });
    ResumePolicy { idle_timeout, prepare }
}

/// Response of a server.
enum Reply {
    /// A completely read response.
    Buffered(Response<Bytes>),
    /// A stream whose response has started.
    Stream(OpenStream),
}

/// Outcome of a request's attempts so far.
#[derive(Clone)]
struct RetryState {
    /// Servers that have been tried.
    tried: Vec<Arc<str>>,
    /// Whether any server may have run the request.
    ran: Ran,
    /// Number of servers that received it.
    delivered: u32,
    /// Number of servers that may have run it.
    possible_runs: u32,
    /// Number of servers that could not be reached.
    unreachable: u32,
    /// Latest error response, for the caller if no other server succeeds.
    last_failure: Option<Response<Bytes>>,
    /// Software version that began the stream; none before its start.
    version: Option<Arc<str>>,
}

impl Default for RetryState {
    fn default() -> Self {
        let tried = Vec::new();
        Self {
            tried,
            ran: Ran::No,
            delivered: 0,
            possible_runs: 0,
            unreachable: 0,
            last_failure: None,
            version: None,
        }
    }
}

impl RetryState {
    /// Whether another attempt is allowed. One that follows a delivered attempt draws on the
    /// service's retry budget.
    fn may_retry(&self, router: &Arc<Router>, call: &Call) -> Result<Option<RetryPermit>, Denial> {
        let now = Instant::now();
        let safe = self.ran == Ran::No || call.route.kind.may_run_again();
        if call.remaining(now).is_zero() {
            Err(Denial::Deadline)
        } else if self.unreachable >= MAX_UNREACHABLE {
            Err(Denial::Attempts)
        } else if self.delivered == 0 {
            Ok(None)
        } else if !safe {
            Err(Denial::Route)
        } else if self.possible_runs >= call.route.max_attempts {
            Err(Denial::Attempts)
        } else {
            RetryPermit::take(router, call).map(Some)
        }
    }

    /// Chooses the server for another attempt.
    fn next_server(&self, router: &Arc<Router>, call: &Call) -> Result<Chosen, Denial> {
        let permit = self.may_retry(router, call)?;
        let server = choose_server(router, call, self).ok_or(Denial::NoUpstream)?;
        Ok(Chosen { server, permit })
    }

    /// Chooses the server that takes over a request from a silent one.
    fn replacement(&self, router: &Arc<Router>, call: &Call) -> Option<Chosen> {
        let mut state = self.clone();
        state.record_run();
        match state.next_server(router, call) {
            Ok(next) => Some(next),
            Err(denial) => {
                let (attempt, reason) = (&call.meta.attempt, denial.name());
                log::info!("call: silent server kept attempt={attempt} reason={reason}");
                None
            }
        }
    }

    fn record_run(&mut self) {
        self.ran = Ran::Maybe;
        self.delivered += 1;
        self.possible_runs += 1;
    }
}

/// A server that is to receive a request.
pub struct Chosen {
    server: InFlight,
    /// Retry that the request draws on, if any.
    permit: Option<RetryPermit>,
}

impl Chosen {
    /// Opens a connection to the server; none if that fails.
    pub async fn connect(self) -> Option<Self> {
        let Self { server, permit } = self;
        Some(Self { server: server.connect().await?, permit })
    }
}

/// Sends a request to one server after another until one responds.
///
/// `first` is the first one, if it has been chosen already.
async fn try_upstreams(
    router: &Arc<Router>,
    call: &Arc<Call>,
    state: &mut RetryState,
    after: Option<&Position>,
    first: Option<Chosen>,
) -> Result<Reply, Refusal> {
    let choose_first = || {
        let server = choose_server(router, call, state)?;
        Some(Chosen { server, permit: None })
    };
    let mut next = first.or_else(choose_first);
    while let Some(Chosen { server, permit }) = next {
        if after.is_none() && state.ran == Ran::No && !has_time(router, call) {
            return Err(stopping_refusal());
        }
        state.tried.push(server.upstream.id.clone());
        if let Some(permit) = permit {
            permit.spend();
        }
        let replace = || state.replacement(router, call);
        match send::send(router, call, server, after, replace).await {
            SendOutcome::Stream(opened) if after.is_some() && !opened.is_continuation() => {
                state.record_run();
                opened.reject();
            }
            SendOutcome::Stream(opened) => {
                state.record_run();
                return Ok(Reply::Stream(opened));
            }
            SendOutcome::Response(response) => {
                state.record_run();
                // A stream that has begun can only go on with a stream.
                let failed = response.status().is_server_error() || after.is_some();
                if !failed || !call.route.kind.may_run_again() {
                    return Ok(Reply::Buffered(response));
                }
                state.last_failure = Some(response);
            }
            SendOutcome::NotRun => state.delivered += 1,
            SendOutcome::Unsent => state.unreachable += 1,
            SendOutcome::Unknown => state.record_run(),
            SendOutcome::Replaced(replacement) => {
                state.record_run();
                next = Some(replacement);
                continue;
            }
        }
        call.set_ran(state.ran);
        next = match state.next_server(router, call) {
            Ok(next) => Some(next),
            Err(denial) => {
                let attempt = &call.meta.attempt;
                log::info!("call: not retried attempt={attempt} reason={}", denial.name());
                None
            }
        };
    }
    if let Some(response) = state.last_failure.take() {
        return Ok(Reply::Buffered(response));
    }
    Err(final_refusal(router, call, state))
}

/// Whether a request that is sent now is forecast to end before this host stops.
fn has_time(router: &Router, call: &Call) -> bool {
    let Some(times) = router.stop_times() else { return true };
    let now = Instant::now();
    let (phase, kind) = (router.phase(), call.route.kind);
    let end = if kind.is_stream() { times.exit } else { times.cut };
    let required =
        router.with_balancer(&call.service.name, |balancer| balancer.required_time(kind, phase));
    let required = match (required.flatten(), phase) {
        (Some(required), _) => required.max(call.route.target),
        (None, StopPhase::Running | StopPhase::Leaving) => call.route.target,
        (None, StopPhase::Finishing | StopPhase::Cutting) => Duration::MAX,
    };
    let required = required.min(call.remaining(now));
    let left = end.saturating_duration_since(now);
    if required >= left {
        log::info!(
            "call: no time before the stop attempt={} required_ms={} left_ms={}",
            call.meta.attempt,
            required.as_millis(),
            left.as_millis(),
        );
    }
    required < left
}

/// Refusal of a request that would not end before this host does.
fn stopping_refusal() -> Refusal {
    let retry = BUSY_RETRY_AFTER.mul_f64(rand::random_range(0.7..1.6));
    Refusal::not_run(Cause::Stopping).with_retry_after(retry)
}

fn final_refusal(router: &Router, call: &Call, state: &RetryState) -> Refusal {
    let cause = match (state.ran, state.delivered) {
        _ if call.remaining(Instant::now()).is_zero() => Cause::Timeout,
        (Ran::Maybe, _) => Cause::UpstreamFailed,
        (Ran::No, 0) => Cause::NoUpstream,
        (Ran::No, _) => Cause::Busy,
    };
    let refusal = Refusal::new(cause, state.ran);
    if state.ran == Ran::No {
        let busy = || BUSY_RETRY_AFTER.mul_f64(rand::random_range(0.7..1.6));
        let rest = router.rest_delay(&call.service.name);
        refusal.with_retry_after(rest.unwrap_or_else(busy))
    } else {
        refusal
    }
}

fn choose_server(router: &Arc<Router>, call: &Call, state: &RetryState) -> Option<InFlight> {
    let now = Instant::now();
    let zone = &router.settings.zone;
    let chosen = router.with_balancer(&call.service.name, |balancer| {
        let allowed = |server: &Upstream| {
            let fits = state.version.as_ref().is_none_or(|version| *version == server.version);
            fits && router.is_home(server, call.regions)
        };
        balancer.choose(now, zone, &state.tried, allowed, || rand::random_range(0.0..1.0))
    });
    Some(InFlight::new(router, call, chosen.flatten()?))
}

/// Whether a response can be trusted to answer the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// The upstream's response to this request.
    Genuine,
    /// The upstream's confirmation that it has not run the request.
    NotRun,
    /// A response of another server, or to another request.
    Mismatched,
}

/// Classifies a response to the attempt `attempt`.
pub fn classify(meta: &ResponseMeta, attempt: &str, status: StatusCode) -> ResponseClass {
    let other_attempt = meta.attempt.as_deref().is_some_and(|id| id != attempt);
    // Responses have no status above 599, though the parser accepts it.
    let is_final = !status.is_informational() && status.as_u16() < 600;
    if other_attempt || meta.encoded || !is_final {
        return ResponseClass::Mismatched;
    }
    // A success that also reports not to have run contradicts itself.
    if status.is_success() && meta.not_run {
        return ResponseClass::Mismatched;
    }
    if meta.not_run || status == StatusCode::MISDIRECTED_REQUEST {
        return ResponseClass::NotRun;
    }
    // Without the echoed identifier and the signature it may come from any server.
    let proven = meta.signed && meta.attempt.is_some();
    if (status.is_success() || promises_not_run(status)) && !proven {
        return ResponseClass::Mismatched;
    }
    ResponseClass::Genuine
}

/// Whether a response tells something about the upstream that was asked. Of a refusal without an
/// echo it is only known that it may rest.
pub fn is_about(class: ResponseClass, meta: &ResponseMeta) -> bool {
    class != ResponseClass::Mismatched || meta.rest.is_some() && meta.attempt.is_none()
}

/// Whether a status tells callers that the request has not run and never will.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Returns the position at which an upstream starts its stream.
pub fn resume_from<'a>(call: &Call, after: Option<&'a Position>) -> ResumeFrom<'a> {
    match (call.route.kind, after.and_then(|position| position.last_id.as_deref())) {
        (RouteKind::Stream { resumable: true }, Some(event)) => ResumeFrom::Event(event),
        (RouteKind::Stream { resumable: true }, None) => ResumeFrom::CallerPosition,
        _ => ResumeFrom::Start,
    }
}

/// Builds the request to an upstream.
pub fn upstream_request(router: &Router, call: &Call, params: &SendParams<'_>) -> Request<Bytes> {
    if matches!(params.stage, ServingStage::Run { .. }) {
        call.set_ran(Ran::Maybe);
    }
    let mut request = Request::new(call.body.clone());
    *request.method_mut() = call.head.method.clone();
    *request.uri_mut() = call.head.uri.clone();
    *request.headers_mut() = router.dialect.upstream_headers(&call.head, params);
    request
}

/// Converts a buffered response of an upstream into the response to the caller.
fn caller_response(router: &Router, response: Response<Bytes>) -> Response<ResponseBody> {
    let (head, body) = response.into_parts();
    let mut response = Response::new(relay::full_body(body));
    *response.status_mut() = head.status;
    *response.headers_mut() = router.dialect.response_headers(&head);
    response
}
