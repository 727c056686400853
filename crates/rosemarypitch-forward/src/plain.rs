//! The life of a request to a plain service.
//!
//! The request goes to one server after another while it has certainly not run, or while
//! it may run again. Answers are read whole before any byte reaches the caller, so that a
//! broken one never looks complete and a repeatable request can be sent again.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use tokio::time::Instant;

use crate::call::Call;
use crate::client::{self, SendError, SendStep};
use crate::edge::{AnswerHead, SendStage, Sending};
use crate::health::Outcome;
use crate::refusal::{Cause, Ran, Refusal};
use crate::relay::{self, AnswerBody};
use crate::roster::Upstream;
use crate::router::Router;
use crate::site::RouteKind;

/// Most servers that are tried without a connection to any; each costs the connect time.
const MAX_UNREACHABLE: u32 = 4;
/// Targets after which a silent server's request is sent to another, if it may be repeated.
const PATIENCE_TARGETS: u32 = 3;
/// Time after which a caller that found all servers full may come back; several calls' work.
const FULL_RETRY: Duration = Duration::from_millis(200);

/// What became of one send.
enum Sent {
    /// A whole answer of the upstream, which is signed by it.
    Answer(Response<Bytes>),
    /// The upstream says that it has not run the request.
    NotRun,
    /// The upstream was not reached.
    Unsent,
    /// Anything else: it may have run.
    Lost,
}

/// Runs a request.
pub async fn run(router: &Arc<Router>, call: &Call) -> Result<Response<AnswerBody>, Refusal> {
    let mut tried: Vec<Arc<str>> = Vec::new();
    let mut ran = Ran::No;
    let mut arrived = 0;
    let mut may_have_run = 0;
    let mut unreachable = 0;
    let mut failure = None;
    loop {
        if arrived > 0 && !may_repeat(router, call, ran, may_have_run) {
            break;
        }
        let Some(upstream) = choose(router, call, &tried) else { break };
        tried.push(upstream.id.clone());
        match send(router, call, &upstream).await {
            Sent::Answer(answer) => {
                may_have_run += 1;
                let failed = answer.status().is_server_error();
                if !failed || !call.route.kind.is_repeatable() {
                    return Ok(deliver(router, answer));
                }
                ran = Ran::Maybe;
                arrived += 1;
                failure = Some(answer);
            }
            Sent::NotRun => arrived += 1,
            Sent::Unsent => unreachable += 1,
            Sent::Lost => {
                ran = Ran::Maybe;
                arrived += 1;
                may_have_run += 1;
            }
        }
        if unreachable >= MAX_UNREACHABLE || call.left(Instant::now()).is_zero() {
            break;
        }
    }
    if let Some(answer) = failure {
        return Ok(deliver(router, answer));
    }
    Err(refusal(call, ran, arrived))
}

fn refusal(call: &Call, ran: Ran, arrived: u32) -> Refusal {
    let cause = match (ran, arrived) {
        _ if call.left(Instant::now()).is_zero() => Cause::Timeout,
        (Ran::Maybe, _) => Cause::UpstreamFailed,
        (Ran::No, 0) => Cause::NoUpstream,
        (Ran::No, _) => Cause::Busy,
    };
    let refusal = Refusal::new(cause, ran);
    if ran == Ran::No {
        refusal.after(FULL_RETRY.mul_f64(rand::random_range(0.7..1.6)))
    } else {
        refusal
    }
}

/// Whether the request may go to one more server.
fn may_repeat(router: &Router, call: &Call, ran: Ran, may_have_run: u32) -> bool {
    let now = Instant::now();
    let safe = ran == Ran::No || call.route.kind.is_repeatable();
    safe && may_have_run < call.route.sends && router.take_repeat(now, &call.service.name)
}

fn choose(router: &Router, call: &Call, tried: &[Arc<str>]) -> Option<Arc<Upstream>> {
    let now = Instant::now();
    let zone = &router.settings.zone;
    let chosen = router.with_balance(&call.service.name, |balance| {
        balance.choose(now, zone, tried, || rand::random_range(0.0..1.0))
    });
    chosen.flatten()
}

async fn send(router: &Arc<Router>, call: &Call, upstream: &Upstream) -> Sent {
    let start = Instant::now();
    let left = call.left(start);
    let limit = match call.route.kind {
        RouteKind::Idempotent => left.min(call.route.target * PATIENCE_TARGETS),
        _ => left,
    };
    let open = Open { router, service: &call.service.name, id: &upstream.id, outcome: None };
    let request = build(router, call, upstream, left);
    let exchange = client::send_whole(upstream.address, request);
    let result = tokio::time::timeout(limit, exchange).await;
    let (sent, outcome, detail) = match result {
        Ok(Ok(response)) => judge(router, call, upstream, response),
        Ok(Err(error)) => judge_error(&error),
        Err(_) => (Sent::Lost, Outcome::Failed, "silent".to_owned()),
    };
    open.finish(outcome);
    router.metrics.send("plain", if outcome == Outcome::Good { "ok" } else { "failed" });
    log::info!(
        "call: sent attempt={} route={} upstream={} outcome=\"{detail}\" took_ms={} left_ms={}",
        call.facts.attempt,
        call.route.name,
        upstream.id,
        start.elapsed().as_millis(),
        left.as_millis(),
    );
    sent
}

fn judge(
    router: &Router,
    call: &Call,
    upstream: &Upstream,
    response: Response<Bytes>,
) -> (Sent, Outcome, String) {
    let (head, body) = response.into_parts();
    let facts = router.dialect.answer_head(&head);
    if let Some(load) = facts.load {
        let now = Instant::now();
        router.with_balance(&call.service.name, |balance| balance.report(now, &upstream.id, load));
    }
    let status = head.status;
    match classify(&facts, &call.facts.attempt, status) {
        Verdict::NotRun => (Sent::NotRun, Outcome::Failed, format!("not run {status}")),
        Verdict::Foreign => (Sent::Lost, Outcome::Failed, "foreign answer".to_owned()),
        Verdict::Own => {
            let outcome = if status.is_server_error() { Outcome::Failed } else { Outcome::Good };
            let answer = Response::from_parts(head, body);
            (Sent::Answer(answer), outcome, status.as_u16().to_string())
        }
    }
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

fn judge_error(error: &SendError) -> (Sent, Outcome, String) {
    match error.step {
        SendStep::Connect => (Sent::Unsent, Outcome::Unreachable, error.to_string()),
        SendStep::Answer | SendStep::Body => (Sent::Lost, Outcome::Failed, error.to_string()),
    }
}

fn build(router: &Router, call: &Call, upstream: &Upstream, left: Duration) -> Request<Bytes> {
    let sending = Sending {
        upstream: &upstream.id,
        customer: call.customer.as_ref().map(|customer| customer.name.as_ref()),
        patience: left,
        resumes: matches!(call.route.kind, RouteKind::Stream { resumable: true }),
        stage: SendStage::Run { hold: None, source: None },
    };
    request(router, call, &sending)
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
pub fn deliver(router: &Router, answer: Response<Bytes>) -> Response<AnswerBody> {
    let (head, body) = answer.into_parts();
    let mut response = Response::new(relay::whole(body));
    *response.status_mut() = head.status;
    *response.headers_mut() = router.dialect.caller_headers(&head);
    response
}

/// A request that a server has; counted off on every way out.
struct Open<'a> {
    router: &'a Router,
    service: &'a str,
    id: &'a str,
    outcome: Option<Outcome>,
}

impl Open<'_> {
    fn finish(mut self, outcome: Outcome) {
        self.outcome = Some(outcome);
    }
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        let now = Instant::now();
        let outcome = self.outcome;
        self.router.with_balance(self.service, |balance| balance.finish(now, self.id, outcome));
    }
}
