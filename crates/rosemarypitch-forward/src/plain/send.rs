//! One send of a request to a server, and what it tells of the server.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, response};
use tokio::time::Instant;

use super::{Verdict, classify, request, resume};
use crate::call::Call;
use crate::client::{self, Exchange, SendError, SendStep};
use crate::edge::{SendStage, Sending};
use crate::events::Position;
use crate::health::Outcome;
use crate::registry::Upstream;
use crate::relay::{BreakOff, Opened, Segment, StreamEnd};
use crate::router::Router;

/// Targets after which a silent server's request is sent to another, if it may be repeated.
const PATIENCE_TARGETS: u32 = 3;

/// What became of one send.
pub enum Sent {
    /// A whole answer of the upstream, which is signed by it.
    Answer(Response<Bytes>),
    /// A stream of the upstream, which is signed by it.
    Stream(Opened),
    /// The upstream says that it has not run the request.
    NotRun,
    /// The upstream was not reached.
    Unsent,
    /// Anything else: it may have run.
    Lost,
}

/// Sends a request to a server.
pub async fn send(
    router: &Arc<Router>,
    call: &Arc<Call>,
    upstream: &Upstream,
    after: Option<&Position>,
) -> Sent {
    let start = Instant::now();
    let left = call.left(start);
    let limit = if call.route.kind.may_run_again() {
        left.min(call.route.target * PATIENCE_TARGETS)
    } else {
        left
    };
    let open = Open {
        router: router.clone(),
        service: call.service.name.clone(),
        id: upstream.id.clone(),
        outcome: None,
    };
    let request = build(router, call, upstream, left, after);
    let answered = tokio::time::timeout(limit, answer(router, call, upstream, request)).await;
    let (sent, detail) = match answered {
        Ok(Ok(answered)) => (judge(call, open, answered), None),
        Ok(Err(error)) => (judge_error(open, &error), Some(error.to_string())),
        Err(_) => {
            open.finish(Outcome::Failed);
            (Sent::Lost, Some("silent".to_owned()))
        }
    };
    let detail = detail.unwrap_or_else(|| sent.describe());
    router.metrics.send("plain", if sent.is_good() { "ok" } else { "failed" });
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

/// An answer as it came.
struct Answered {
    verdict: Verdict,
    head: response::Parts,
    body: AnsweredBody,
}

enum AnsweredBody {
    Whole(Bytes),
    Stream(Exchange),
}

/// Sends a request; reads the answer whole unless it is a stream.
async fn answer(
    router: &Arc<Router>,
    call: &Call,
    upstream: &Upstream,
    request: Request<Bytes>,
) -> Result<Answered, SendError> {
    let Exchange { response, connection } = client::send(upstream.address, request).await?;
    let (head, body) = response.into_parts();
    let facts = router.dialect.answer_head(&head);
    if let Some(load) = facts.load {
        let now = Instant::now();
        router.with_balance(&call.service.name, |balance| balance.report(now, &upstream.id, load));
    }
    let verdict = classify(&facts, &call.facts.attempt, head.status);
    let exchange = Exchange { response: Response::new(body), connection };
    let good = verdict == Verdict::Own && head.status.is_success();
    if good && call.route.kind.is_stream() {
        return Ok(Answered { verdict, head, body: AnsweredBody::Stream(exchange) });
    }
    let whole = client::read_whole(upstream.address, exchange).await?;
    Ok(Answered { verdict, head, body: AnsweredBody::Whole(whole.into_body()) })
}

fn judge(call: &Call, open: Open, answered: Answered) -> Sent {
    let Answered { verdict, head, body } = answered;
    let body = match (verdict, body) {
        (Verdict::Own, body) => body,
        (Verdict::NotRun, _) => {
            open.finish(Outcome::Failed);
            return Sent::NotRun;
        }
        (Verdict::Foreign, _) => {
            open.finish(Outcome::Failed);
            return Sent::Lost;
        }
    };
    match body {
        AnsweredBody::Whole(bytes) => {
            let failed = head.status.is_server_error();
            open.finish(if failed { Outcome::Failed } else { Outcome::Succeeded });
            Sent::Answer(Response::from_parts(head, bytes))
        }
        AnsweredBody::Stream(exchange) => {
            let attempt = call.facts.attempt.clone();
            let on_end = move |end: StreamEnd| {
                log::info!("call: stream ended attempt={attempt} upstream={} end={end:?}", open.id);
                match end {
                    StreamEnd::Complete => open.finish(Outcome::Succeeded),
                    StreamEnd::Broken(BreakOff::Upstream | BreakOff::Silent) => {
                        open.finish(Outcome::Failed)
                    }
                    StreamEnd::Broken(BreakOff::Timeout) | StreamEnd::Abandoned => {}
                }
            };
            let Exchange { response, connection } = exchange;
            let segment = Segment::new(response.into_body(), connection, |_| {}, on_end);
            Sent::Stream(Opened { head, segment })
        }
    }
}

fn judge_error(open: Open, error: &SendError) -> Sent {
    match error.step {
        SendStep::Connect => {
            open.finish(Outcome::Unreachable);
            Sent::Unsent
        }
        SendStep::Answer | SendStep::Body => {
            open.finish(Outcome::Failed);
            Sent::Lost
        }
    }
}

impl Sent {
    fn is_good(&self) -> bool {
        match self {
            Self::Answer(answer) => !answer.status().is_server_error(),
            Self::Stream(_) => true,
            Self::NotRun | Self::Unsent | Self::Lost => false,
        }
    }

    fn describe(&self) -> String {
        match self {
            Self::Answer(answer) => answer.status().as_u16().to_string(),
            Self::Stream(opened) => format!("{} stream", opened.head.status.as_u16()),
            Self::NotRun => "not run".to_owned(),
            Self::Unsent => "not reached".to_owned(),
            Self::Lost => "foreign answer".to_owned(),
        }
    }
}

fn build(
    router: &Router,
    call: &Call,
    upstream: &Upstream,
    left: Duration,
    after: Option<&Position>,
) -> Request<Bytes> {
    let sending = Sending {
        upstream: &upstream.id,
        customer: call.customer.as_ref().map(|customer| customer.name.as_ref()),
        patience: left,
        resume: resume(call, after),
        stage: SendStage::Run { hold: None, source: None },
    };
    request(router, call, &sending)
}

/// A request that a server has; counted off on every way out.
struct Open {
    router: Arc<Router>,
    service: Arc<str>,
    id: Arc<str>,
    outcome: Option<Outcome>,
}

impl Open {
    fn finish(mut self, outcome: Outcome) {
        self.outcome = Some(outcome);
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        let now = Instant::now();
        let outcome = self.outcome;
        self.router.with_balance(&self.service, |balance| balance.finish(now, &self.id, outcome));
    }
}
