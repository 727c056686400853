//! A single attempt at a plain server, and its effect on the server's health.

use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, response};
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::{Chosen, ResponseClass, classify, resume_from, upstream_request};
use crate::call::Call;
use crate::client::{self, Exchange, SendError, SendStep};
use crate::config::RouteKind;
use crate::deployment::{SendParams, ServingStage};
use crate::events::Position;
use crate::health::Outcome;
use crate::registry::Upstream;
use crate::relay::{OpenStream, Segment, StreamEnd, StreamError};
use crate::router::Router;

/// Time without a complete response after which another server is to take over a request that
/// may run again, in multiples of the route's target.
const TIMEOUT_TARGETS: u32 = 3;

/// Outcome of one attempt.
pub enum SendOutcome {
    /// A complete response that comes from the upstream.
    Response(Response<Bytes>),
    /// A stream that comes from the upstream.
    Stream(OpenStream),
    /// The upstream reports that it has not run the request.
    NotRun,
    /// The upstream did not receive the request.
    Unsent,
    /// The upstream was silent, and another one is to receive the request.
    Replaced(Chosen),
    /// Any other outcome; the request may have run.
    Unknown,
}

/// Sends a request to one server and records the outcome.
///
/// If the server is silent, `replace` chooses another one that takes over; none if the request
/// has to stay.
pub async fn send(
    router: &Arc<Router>,
    call: &Arc<Call>,
    mut in_flight: InFlight,
    after: Option<&Position>,
    replace: impl FnMut() -> Option<Chosen>,
) -> SendOutcome {
    let start = Instant::now();
    let remaining = call.remaining(start);
    let upstream = &*in_flight.upstream.clone();
    let request = build_request(router, call, upstream, remaining, after);
    let connected = in_flight.connection.take();
    let receiving = receive(router, call, upstream, request, connected);
    let (outcome, detail) = match await_answer(call, receiving, replace).await {
        Answer::Received(Ok(received)) => (handle_response(call, in_flight, received), None),
        Answer::Received(Err(error)) => (handle_error(in_flight, &error), Some(error.to_string())),
        Answer::Replaced(next) => {
            in_flight.finish(Outcome::Failed);
            (SendOutcome::Replaced(next), None)
        }
        Answer::Late => {
            in_flight.finish(Outcome::Failed);
            (SendOutcome::Unknown, Some("silent".to_owned()))
        }
    };
    let detail = detail.unwrap_or_else(|| outcome.describe());
    router.metrics.count_send("plain", if outcome.is_ok() { "ok" } else { "failed" });
    log::info!(
        "call: sent attempt={} route={} upstream={} outcome=\"{detail}\" took_ms={} left_ms={}",
        call.meta.attempt,
        call.route.name,
        upstream.id,
        start.elapsed().as_millis(),
        remaining.as_millis(),
    );
    outcome
}

/// What a server's response was awaited for.
enum Answer {
    Received(Result<ReceivedResponse, SendError>),
    Replaced(Chosen),
    /// The deadline has passed.
    Late,
}

/// Waits for a response. The connection is closed when this returns without one.
async fn await_answer(
    call: &Call,
    receiving: impl Future<Output = Result<ReceivedResponse, SendError>>,
    mut replace: impl FnMut() -> Option<Chosen>,
) -> Answer {
    let mut receiving = pin!(receiving);
    let takeover_timeout = call.route.target * TIMEOUT_TARGETS;
    loop {
        let remaining = call.remaining(Instant::now());
        let may_leave = call.route.kind.may_run_again() && takeover_timeout < remaining;
        let timeout = if may_leave { takeover_timeout } else { remaining };
        match tokio::time::timeout(timeout, &mut receiving).await {
            Ok(received) => return Answer::Received(received),
            Err(_) if !may_leave => return Answer::Late,
            Err(_) => {}
        }
        let Some(next) = replace() else { continue };
        tokio::select! {
            biased;
            received = &mut receiving => return Answer::Received(received),
            connected = next.connect() => {
                if let Some(next) = connected {
                    return Answer::Replaced(next);
                }
            }
        }
    }
}

/// A received response and its classification.
struct ReceivedResponse {
    class: ResponseClass,
    head: response::Parts,
    body: ReceivedBody,
}

enum ReceivedBody {
    Buffered(Bytes),
    Stream(Exchange),
}

/// Sends a request; reads the complete response unless it is a stream.
async fn receive(
    router: &Arc<Router>,
    call: &Call,
    upstream: &Upstream,
    request: Request<Bytes>,
    connected: Option<TcpStream>,
) -> Result<ReceivedResponse, SendError> {
    let sent = match connected {
        Some(stream) => client::send_on(stream, upstream.address, request).await,
        None => client::send(upstream.address, request).await,
    };
    let Exchange { response, connection } = sent?;
    let (head, body) = response.into_parts();
    let meta = router.dialect.parse_response(&head);
    if let Some(load) = meta.load {
        let now = Instant::now();
        router
            .with_balancer(&call.service.name, |balancer| balancer.report(now, &upstream.id, load));
    }
    let class = classify(&meta, &call.meta.attempt, head.status);
    if super::is_about(class, &meta) {
        router.observe_response(upstream, head.status, &meta);
    }
    let exchange = Exchange { response: Response::new(body), connection };
    let success = class == ResponseClass::Genuine && head.status.is_success();
    if success && call.route.kind.is_stream() {
        return Ok(ReceivedResponse { class, head, body: ReceivedBody::Stream(exchange) });
    }
    let buffered = client::read_buffered(upstream.address, exchange).await?;
    Ok(ReceivedResponse { class, head, body: ReceivedBody::Buffered(buffered.into_body()) })
}

fn handle_response(call: &Call, in_flight: InFlight, received: ReceivedResponse) -> SendOutcome {
    let ReceivedResponse { class, head, body } = received;
    let body = match (class, body) {
        (ResponseClass::Genuine, body) => body,
        (ResponseClass::NotRun, _) => {
            in_flight.finish(Outcome::Failed);
            return SendOutcome::NotRun;
        }
        (ResponseClass::Mismatched, _) => {
            in_flight.finish(Outcome::Failed);
            return SendOutcome::Unknown;
        }
    };
    match body {
        ReceivedBody::Buffered(bytes) => {
            let failed = head.status.is_server_error();
            in_flight.finish(if failed { Outcome::Failed } else { Outcome::Succeeded });
            SendOutcome::Response(Response::from_parts(head, bytes))
        }
        ReceivedBody::Stream(exchange) => {
            let attempt = call.meta.attempt.clone();
            let upstream = in_flight.upstream.clone();
            let on_end = move |end, events| {
                log::info!(
                    "call: stream ended attempt={attempt} upstream={} end={end:?} events={events}",
                    in_flight.upstream.id
                );
                match end {
                    StreamEnd::Complete => in_flight.finish(Outcome::Succeeded),
                    StreamEnd::Broken(StreamError::Upstream | StreamError::Silent) => {
                        in_flight.finish(Outcome::Failed)
                    }
                    StreamEnd::Broken(StreamError::Timeout) | StreamEnd::Abandoned => {}
                }
            };
            let Exchange { response, connection } = exchange;
            let segment = Segment::new(&head, response.into_body(), connection, |_| {}, on_end);
            SendOutcome::Stream(OpenStream { head, segment, upstream })
        }
    }
}

fn handle_error(in_flight: InFlight, error: &SendError) -> SendOutcome {
    match error.step {
        SendStep::Connect => {
            in_flight.finish(Outcome::Unreachable);
            SendOutcome::Unsent
        }
        SendStep::Response | SendStep::Body => {
            in_flight.finish(Outcome::Failed);
            SendOutcome::Unknown
        }
    }
}

impl SendOutcome {
    fn is_ok(&self) -> bool {
        match self {
            Self::Response(response) => !response.status().is_server_error(),
            Self::Stream(_) => true,
            Self::NotRun | Self::Unsent | Self::Replaced(_) | Self::Unknown => false,
        }
    }

    fn describe(&self) -> String {
        match self {
            Self::Response(response) => response.status().as_u16().to_string(),
            Self::Stream(opened) => format!("{} stream", opened.head.status.as_u16()),
            Self::NotRun => "not run".to_owned(),
            Self::Unsent => "not reached".to_owned(),
            Self::Replaced(_) => "replaced".to_owned(),
            Self::Unknown => "foreign answer".to_owned(),
        }
    }
}

fn build_request(
    router: &Router,
    call: &Call,
    upstream: &Upstream,
    remaining: Duration,
    after: Option<&Position>,
) -> Request<Bytes> {
    let params = SendParams {
        upstream: &upstream.id,
        customer: call.customer.as_ref().map(|customer| customer.name.as_ref()),
        timeout: remaining,
        resume: resume_from(call, after),
        stage: ServingStage::Run { reservation: None, source: None },
    };
    upstream_request(router, call, &params)
}

/// A request in flight at a server; reports its end to the balancer on drop.
pub struct InFlight {
    router: Arc<Router>,
    service: Arc<str>,
    /// The server, at which the balancer has counted the request.
    pub upstream: Arc<Upstream>,
    /// Connection to the server, if one has been opened for the request.
    connection: Option<TcpStream>,
    kind: RouteKind,
    /// When the server was chosen.
    start: Instant,
    outcome: Option<Outcome>,
}

impl InFlight {
    /// Takes over a request from the balancer.
    pub fn new(router: &Arc<Router>, call: &Call, upstream: Arc<Upstream>) -> Self {
        let service = call.service.name.clone();
        let (router, kind, start) = (router.clone(), call.route.kind, Instant::now());
        Self { router, service, upstream, connection: None, kind, start, outcome: None }
    }

    /// Opens a connection to the server; none if that fails, which is recorded.
    pub async fn connect(mut self) -> Option<Self> {
        match client::connect(self.upstream.address).await {
            Ok(stream) => {
                self.connection = Some(stream);
                Some(self)
            }
            Err(error) => {
                log::info!("call: server cannot take over: {error}");
                self.finish(Outcome::Unreachable);
                None
            }
        }
    }

    fn finish(mut self, outcome: Outcome) {
        self.outcome = Some(outcome);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let now = Instant::now();
        let (id, outcome) = (&self.upstream.id, self.outcome);
        self.router.with_balancer(&self.service, |balancer| {
            balancer.finish(now, id, outcome);
            if outcome == Some(Outcome::Succeeded) {
                balancer.record_run(self.kind, now - self.start);
            }
        });
    }
}
