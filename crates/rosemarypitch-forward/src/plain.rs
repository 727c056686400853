//! The life of a request to a plain service.
//!
//! The request goes to one server after another while it has certainly not run, or while
//! it may run again. Answers are read whole before any byte reaches the caller, so that a
//! broken one never looks complete and a repeatable request can be sent again. Streams are
//! passed on event by event; one that may be resumed goes on at another server.

mod send;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use tokio::time::Instant;

use crate::call::Call;
use crate::edge::{AnswerHead, Resume, Sending};
use crate::events::Position;
use crate::refusal::{Cause, Ran, Refusal};
use crate::relay::{self, AnswerBody, Opened, Resuming, Resumption, Stream};
use crate::registry::Upstream;
use crate::router::Router;
use crate::config::RouteKind;

use send::Sent;

/// Most servers that are tried without a connection to any; each costs the connect time.
const MAX_UNREACHABLE: u32 = 4;
/// Time after which a caller that found all servers full may come back; several calls' work.
const FULL_RETRY: Duration = Duration::from_millis(200);

/// Runs a request.
pub async fn run(router: &Arc<Router>, call: &Arc<Call>) -> Result<Response<AnswerBody>, Refusal> {
    let mut tries = Tries::default();
    match open(router, call, &mut tries, None).await? {
        Answer::Whole(answer) => Ok(deliver(router, answer)),
        Answer::Stream(opened) => {
            let resumes = call.route.kind.may_run_again();
            let resumption = resumes.then(|| resumption(router, call, tries));
            let response = relay::response(router, opened, |segment| {
                Stream::relay(segment, call.deadline, resumption)
            });
            Ok(response)
        }
    }
}

/// How a stream goes on when its server breaks off.
fn resumption(router: &Arc<Router>, call: &Arc<Call>, tries: Tries) -> Resumption {
    let (router, call) = (router.clone(), call.clone());
    let silence = relay::silence(&call.route);
    // Only one attempt to go on is under way at a time.
    let tries = Arc::new(Mutex::new(tries));
    let next = Box::new(move |position: Position| {
        let (router, call, tries) = (router.clone(), call.clone(), tries.clone());
        let mut present = tries.lock().unwrap_or_else(|error| error.into_inner()).clone();
        if !present.may_go_on(&router, &call) {
            return None;
        }
        let resuming: Resuming = Box::pin(async move {
            let opened = open(&router, &call, &mut present, Some(&position)).await;
            *tries.lock().unwrap_or_else(|error| error.into_inner()) = present;
            relay::log_resumed(&call, &position, opened.as_ref().err());
            match opened {
                Ok(Answer::Stream(opened)) => Some(opened.segment),
                Ok(Answer::Whole(_)) | Err(_) => None,
            }
        });
        Some(resuming)
    });
    Resumption { silence, next }
}

/// What became of a request.
enum Answer {
    /// A whole answer.
    Whole(Response<Bytes>),
    /// A stream that has begun.
    Stream(Opened),
}

/// What has become of a request so far.
#[derive(Clone)]
struct Tries {
    /// Servers that it was sent to.
    tried: Vec<Arc<str>>,
    ran: Ran,
    /// Servers that had it.
    arrived: u32,
    /// Servers that may have run it.
    runs: u32,
    unreachable: u32,
    /// The answer of a server that failed.
    failure: Option<Response<Bytes>>,
}

impl Default for Tries {
    fn default() -> Self {
        let tried = Vec::new();
        Self { tried, ran: Ran::No, arrived: 0, runs: 0, unreachable: 0, failure: None }
    }
}

impl Tries {
    /// Whether the request may go to one more server.
    fn may_go_on(&self, router: &Router, call: &Call) -> bool {
        if self.unreachable >= MAX_UNREACHABLE || call.left(Instant::now()).is_zero() {
            return false;
        }
        if self.arrived == 0 {
            return true;
        }
        let safe = self.ran == Ran::No || call.route.kind.may_run_again();
        let left = self.runs < call.route.max_attempts;
        safe && left && router.take_retry(Instant::now(), &call.service.name)
    }

    fn note_run(&mut self) {
        self.ran = Ran::Maybe;
        self.arrived += 1;
        self.runs += 1;
    }
}

/// Brings a request to servers until one answers.
async fn open(
    router: &Arc<Router>,
    call: &Arc<Call>,
    tries: &mut Tries,
    after: Option<&Position>,
) -> Result<Answer, Refusal> {
    while let Some(upstream) = choose(router, call, &tries.tried) {
        tries.tried.push(upstream.id.clone());
        match send::send(router, call, &upstream, after).await {
            Sent::Stream(opened) => {
                tries.note_run();
                return Ok(Answer::Stream(opened));
            }
            Sent::Answer(answer) => {
                tries.note_run();
                let failed = answer.status().is_server_error();
                if !failed || !call.route.kind.may_run_again() {
                    return Ok(Answer::Whole(answer));
                }
                tries.failure = Some(answer);
            }
            Sent::NotRun => tries.arrived += 1,
            Sent::Unsent => tries.unreachable += 1,
            Sent::Lost => tries.note_run(),
        }
        if !tries.may_go_on(router, call) {
            break;
        }
    }
    if let Some(answer) = tries.failure.take() {
        return Ok(Answer::Whole(answer));
    }
    Err(refusal(call, tries))
}

fn refusal(call: &Call, tries: &Tries) -> Refusal {
    let cause = match (tries.ran, tries.arrived) {
        _ if call.left(Instant::now()).is_zero() => Cause::Timeout,
        (Ran::Maybe, _) => Cause::UpstreamFailed,
        (Ran::No, 0) => Cause::NoUpstream,
        (Ran::No, _) => Cause::Busy,
    };
    let refusal = Refusal::new(cause, tries.ran);
    if tries.ran == Ran::No {
        refusal.with_retry_after(FULL_RETRY.mul_f64(rand::random_range(0.7..1.6)))
    } else {
        refusal
    }
}

fn choose(router: &Router, call: &Call, tried: &[Arc<str>]) -> Option<Arc<Upstream>> {
    let now = Instant::now();
    let zone = &router.settings.zone;
    let chosen = router.with_balance(&call.service.name, |balance| {
        balance.choose(now, zone, tried, || rand::random_range(0.0..1.0))
    });
    chosen.flatten()
}

/// Whose answer an answer is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The upstream's, to this request.
    Own,
    /// The upstream's word that it has not run the request.
    NotRun,
    /// Not the upstream's, or not to this request.
    Foreign,
}

/// Tells whose answer an answer is.
pub fn classify(facts: &AnswerHead, attempt: &str, status: http::StatusCode) -> Verdict {
    let other = facts.attempt.as_deref().is_some_and(|id| id != attempt);
    if other || facts.encoded {
        return Verdict::Foreign;
    }
    if facts.not_run || status == http::StatusCode::MISDIRECTED_REQUEST {
        return Verdict::NotRun;
    }
    // Without the echo and the signature a success may belong to anyone.
    if status.is_success() && (!facts.sealed || facts.attempt.is_none()) {
        return Verdict::Foreign;
    }
    Verdict::Own
}

/// After which event an upstream is to begin.
pub fn resume<'a>(call: &Call, after: Option<&'a Position>) -> Resume<'a> {
    match (call.route.kind, after.and_then(|position| position.last.as_deref())) {
        (RouteKind::Stream { resumable: true }, Some(event)) => Resume::After(event),
        (RouteKind::Stream { resumable: true }, None) => Resume::Callers,
        _ => Resume::Never,
    }
}

/// The request as it goes to an upstream.
pub fn request(router: &Router, call: &Call, sending: &Sending<'_>) -> Request<Bytes> {
    let mut request = Request::new(call.body.clone());
    *request.method_mut() = call.head.method.clone();
    *request.uri_mut() = call.head.uri.clone();
    *request.headers_mut() = router.dialect.upstream_headers(&call.head, sending);
    request
}

/// An upstream's answer for the caller.
fn deliver(router: &Router, answer: Response<Bytes>) -> Response<AnswerBody> {
    let (head, body) = answer.into_parts();
    let mut response = Response::new(relay::whole(body));
    *response.status_mut() = head.status;
    *response.headers_mut() = router.dialect.caller_headers(&head);
    response
}
