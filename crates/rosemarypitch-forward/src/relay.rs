//! Response bodies for callers.
//!
//! A [`Stream`] forwards an upstream's events as they arrive. If the upstream closes the
//! stream early or becomes idle, and the route allows it, another upstream resumes after the
//! last complete event. The caller sees a single response.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::{Response, header, response};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming};
use tokio::time::{Instant, Sleep};

use crate::call::Call;
use crate::client::Connection;
use crate::config::Route;
use crate::events::{EventFramer, Position};
use crate::refusal::Refusal;
use crate::router::Router;

/// Idle timeout in multiples of the route's maximum gap between events. Callers give up
/// after eight gaps, which leaves time to resume at another upstream.
const IDLE_GAPS: u32 = 3;
/// Idle timeout on routes without a maximum gap; callers give up after twice this time.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// Content type of a stream of events; parameters may follow.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// Reason why a response body ends early; hyper then closes the connection without the final
/// chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StreamError {
    /// The upstream's stream failed before its end.
    #[error("the upstream ended the stream early")]
    Upstream,
    /// The upstream sent no complete event within the idle timeout.
    #[error("the upstream sent no complete event within the idle timeout")]
    Silent,
    /// The caller's deadline has passed.
    #[error("the deadline for the response has passed")]
    Timeout,
}

/// Body of a response to a caller.
pub type ResponseBody = UnsyncBoxBody<Bytes, StreamError>;

/// Creates a body from bytes that are already complete.
pub fn full_body(bytes: Bytes) -> ResponseBody {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// How one upstream's part of a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// The upstream sent the complete stream.
    Complete,
    /// The upstream failed or the deadline passed.
    Broken(StreamError),
    /// The caller disconnected.
    Abandoned,
}

type OnEvents = Box<dyn FnMut(u64) + Send>;
type OnEnd = Box<dyn FnOnce(StreamEnd) + Send>;

/// Part of a stream that comes from one upstream.
pub struct Segment {
    body: Incoming,
    /// Whether the body has neither a length nor chunks, and ends with its connection.
    unframed: bool,
    on_events: OnEvents,
    on_end: Option<OnEnd>,
    _connection: Connection,
}

impl Segment {
    /// Wraps a response's body and its connection.
    ///
    /// `on_events` is called with the number of events in the whole stream so far, and
    /// `on_end` once when this part of it ends.
    pub fn new(
        body: Incoming,
        connection: Connection,
        on_events: impl FnMut(u64) + Send + 'static,
        on_end: impl FnOnce(StreamEnd) + Send + 'static,
    ) -> Self {
        Self {
            body,
            unframed: false,
            on_events: Box::new(on_events),
            on_end: Some(Box::new(on_end)),
            _connection: connection,
        }
    }

    fn end(&mut self, end: StreamEnd) {
        if let Some(on_end) = self.on_end.take() {
            on_end(end);
        }
    }
}

impl Drop for Segment {
    fn drop(&mut self) {
        self.end(StreamEnd::Abandoned);
    }
}

/// A stream whose response head has arrived.
pub struct OpenStream {
    /// Head of the response.
    pub head: response::Parts,
    /// Body of the response.
    pub segment: Segment,
}

impl OpenStream {
    /// Whether the response can go on with a stream that another upstream began.
    pub fn is_continuation(&self) -> bool {
        let kind = self.head.headers.get(header::CONTENT_TYPE);
        let kind = kind.map(|value| value.as_bytes().to_ascii_lowercase());
        self.head.status.is_success() && kind.is_none_or(|kind| kind.starts_with(EVENT_STREAM))
    }

    /// Closes the connection and reports the upstream as failed.
    pub fn reject(mut self) {
        log::warn!("call: upstream cannot resume the stream status={}", self.head.status);
        self.segment.end(StreamEnd::Broken(StreamError::Upstream));
    }
}

/// Builds the response to the caller from an upstream's head and the body that `body`
/// creates from its stream.
pub fn response(
    router: &Router,
    opened: OpenStream,
    body: impl FnOnce(Segment) -> ResponseBody,
) -> Response<ResponseBody> {
    let OpenStream { head, mut segment } = opened;
    let framing = [header::CONTENT_LENGTH, header::TRANSFER_ENCODING];
    let framed = framing.iter().any(|name| head.headers.contains_key(name));
    segment.unframed = head.status.is_success() && !framed;
    let mut response = Response::new(body(segment));
    *response.status_mut() = head.status;
    *response.headers_mut() = router.dialect.response_headers(&head);
    response
}

/// Future of the next segment of a stream; none if no upstream can resume it.
pub type SegmentFuture = Pin<Box<dyn Future<Output = Option<Segment>> + Send>>;

/// When and how a stream is resumed at another upstream.
pub struct ResumePolicy {
    /// Time without a complete event after which the upstream is considered failed.
    pub idle_timeout: Duration,
    /// Starts to resume after a position; none if no further attempt is allowed.
    pub next: Box<dyn FnMut(Position) -> Option<SegmentFuture> + Send>,
}

/// Returns the time without a complete event after which a stream's upstream is considered failed.
pub fn idle_timeout(route: &Route) -> Duration {
    route.gap.map_or(DEFAULT_IDLE_TIMEOUT, |gap| gap * IDLE_GAPS)
}

/// Logs whether an interrupted stream could be resumed.
pub fn log_resumed(call: &Call, position: &Position, failed: Option<&Refusal>) {
    log::info!(
        "call: stream resumed attempt={} after={} events={} outcome={}",
        call.meta.attempt,
        position.last_id.as_deref().unwrap_or("-"),
        position.events,
        failed.map_or("ok", |refusal| refusal.cause.name()),
    );
}

/// A response body that relays a stream from one or more upstreams to a caller.
pub struct Stream {
    state: State,
    events: EventFramer,
    policy: Option<ResumePolicy>,
    deadline: Pin<Box<Sleep>>,
    idle_timer: Option<Pin<Box<Sleep>>>,
    /// Whether the first segment's body ends with its connection.
    unframed: bool,
}

enum State {
    Reading(Segment),
    Resuming(SegmentFuture, StreamError),
    Ended,
}

impl Stream {
    /// Creates a body that relays a stream until `deadline`.
    pub fn relay(
        segment: Segment,
        deadline: Instant,
        policy: Option<ResumePolicy>,
    ) -> ResponseBody {
        let unframed = segment.unframed;
        let idle_timer =
            policy.as_ref().map(|policy| Box::pin(tokio::time::sleep(policy.idle_timeout)));
        Self {
            state: State::Reading(segment),
            events: EventFramer::new(policy.is_some()),
            policy,
            deadline: Box::pin(tokio::time::sleep_until(deadline)),
            idle_timer,
            unframed,
        }
        .boxed_unsync()
    }

    /// Starts to resume at another upstream, or fails the body if that is not possible.
    fn interrupt(&mut self, cause: StreamError) -> Result<(), StreamError> {
        if let State::Reading(segment) = &mut self.state {
            segment.end(StreamEnd::Broken(cause));
        }
        // Closes the connection, so that the upstream stops before another one resumes.
        self.state = State::Ended;
        self.events.discard_partial();
        let policy = self.policy.as_mut().filter(|_| self.events.is_resumable());
        let next = policy.and_then(|policy| (policy.next)(self.events.position().clone()));
        self.state = State::Resuming(next.ok_or(cause)?, cause);
        Ok(())
    }

    fn reset_idle_timer(&mut self) {
        if let (Some(sleep), Some(policy)) = (&mut self.idle_timer, &self.policy) {
            sleep.as_mut().reset(Instant::now() + policy.idle_timeout);
        }
    }

    /// Processes a received frame and returns what to forward of it.
    fn accept(&mut self, frame: Frame<Bytes>) -> Option<Frame<Bytes>> {
        let bytes = match frame.into_data() {
            Ok(bytes) => bytes,
            Err(trailers) => return Some(trailers),
        };
        let before = self.events.position().events;
        let output = self.events.push(&bytes);
        let events = self.events.position().events;
        if events > before {
            self.reset_idle_timer();
            if let State::Reading(segment) = &mut self.state {
                (segment.on_events)(events);
            }
        }
        (!output.is_empty()).then(|| Frame::data(output))
    }

    /// Whether a segment that has ended lacks the rest of an event. The end of an unframed body
    /// may be that of its connection, and what another upstream sends has to be whole events.
    fn is_truncated(&self) -> bool {
        self.events.is_partial() && (self.unframed || self.events.is_resumed())
    }

    /// Processes the regular end of the stream and returns the rest to forward.
    fn finish(&mut self) -> Option<Frame<Bytes>> {
        if let State::Reading(segment) = &mut self.state {
            segment.end(StreamEnd::Complete);
        }
        self.state = State::Ended;
        let rest = self.events.finish();
        (!rest.is_empty()).then(|| Frame::data(rest))
    }

    fn is_idle(&mut self, context: &mut Context<'_>) -> bool {
        self.idle_timer.as_mut().is_some_and(|sleep| sleep.as_mut().poll(context).is_ready())
    }
}

impl Body for Stream {
    type Data = Bytes;
    type Error = StreamError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamError>>> {
        let stream = &mut *self;
        if stream.deadline.as_mut().poll(context).is_ready() {
            if let State::Reading(segment) = &mut stream.state {
                segment.end(StreamEnd::Broken(StreamError::Timeout));
            }
            stream.state = State::Ended;
            return Poll::Ready(Some(Err(StreamError::Timeout)));
        }
        loop {
            let cause = match &mut stream.state {
                State::Ended => return Poll::Ready(None),
                State::Reading(_) if stream.events.is_overlong() => {
                    log::warn!("call: upstream sent an event that is too long");
                    StreamError::Upstream
                }
                State::Reading(_) if stream.events.is_misplaced() => {
                    log::warn!("call: upstream did not resume after the last event");
                    StreamError::Upstream
                }
                State::Reading(segment) => match Pin::new(&mut segment.body).poll_frame(context) {
                    Poll::Ready(Some(Ok(frame))) => match stream.accept(frame) {
                        Some(frame) => return Poll::Ready(Some(Ok(frame))),
                        None => continue,
                    },
                    Poll::Ready(None) if stream.is_truncated() => StreamError::Upstream,
                    Poll::Ready(None) => return Poll::Ready(stream.finish().map(Ok)),
                    Poll::Ready(Some(Err(_))) => StreamError::Upstream,
                    Poll::Pending if stream.is_idle(context) => StreamError::Silent,
                    Poll::Pending => return Poll::Pending,
                },
                State::Resuming(resuming, cause) => match resuming.as_mut().poll(context) {
                    Poll::Pending => return Poll::Pending,
                    Poll::Ready(Some(segment)) => {
                        stream.state = State::Reading(segment);
                        stream.reset_idle_timer();
                        continue;
                    }
                    Poll::Ready(None) => {
                        let cause = *cause;
                        stream.state = State::Ended;
                        return Poll::Ready(Some(Err(cause)));
                    }
                },
            };
            if let Err(cause) = stream.interrupt(cause) {
                return Poll::Ready(Some(Err(cause)));
            }
        }
    }
}
