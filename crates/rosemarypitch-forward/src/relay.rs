//! Response bodies for callers.
//!
//! A [`Stream`] forwards an upstream's events as they arrive. If the upstream closes the
//! stream early or becomes idle, and the route allows it, another upstream resumes after the
//! last complete event. The caller sees a single response.
//!
//! A stream that ends inside an event has been broken off, also where its connection was closed
//! in the regular way. A body of a declared length is complete with its last byte.
//!
//! An idle upstream may only have paused. Its connection is kept until another upstream is
//! ready to resume the stream; if none is, or the idle one goes on first, the stream stays
//! where it is.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
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
use crate::registry::Upstream;
use crate::router::Router;

/// Lower bound on the time after which callers abandon a silent stream.
const MIN_PATIENCE: Duration = Duration::from_secs(2);
/// Time after which callers abandon a silent stream, in multiples of the route's target.
const PATIENCE_TARGETS: u32 = 4;
/// The same in multiples of the route's maximum gap between events.
const PATIENCE_GAPS: u32 = 8;
/// Lower bound of the idle timeout; working upstreams may pause for about a second.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Upper bound of the idle timeout, longer than such pauses.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(3);

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
type OnEnd = Box<dyn FnOnce(StreamEnd, u64) + Send>;

/// Part of a stream that comes from one upstream.
pub struct Segment {
    body: Incoming,
    /// Number of events in the whole stream after the latest one of this part.
    events: u64,
    /// Whether the body is complete only if it ends after an event.
    ends_with_event: bool,
    /// Whether the body has neither a length nor chunks, and ends with its connection.
    is_unframed: bool,
    on_events: OnEvents,
    on_end: Option<OnEnd>,
    _connection: Connection,
}

impl Segment {
    /// Wraps the body of the response with a head, and its connection.
    ///
    /// `on_events` is called with the number of events in the whole stream so far, and
    /// `on_end` once when this part of it ends, with that number; it is 0 if this part
    /// had no event.
    pub fn new(
        head: &response::Parts,
        body: Incoming,
        connection: Connection,
        on_events: impl FnMut(u64) + Send + 'static,
        on_end: impl FnOnce(StreamEnd, u64) + Send + 'static,
    ) -> Self {
        let success = head.status.is_success();
        let has_length = head.headers.contains_key(header::CONTENT_LENGTH);
        Self {
            body,
            events: 0,
            ends_with_event: success && !has_length,
            is_unframed: success && is_unframed(head),
            on_events: Box::new(on_events),
            on_end: Some(Box::new(on_end)),
            _connection: connection,
        }
    }

    fn record_events(&mut self, events: u64) {
        self.events = events;
        (self.on_events)(events);
    }

    fn end(&mut self, end: StreamEnd) {
        if let Some(on_end) = self.on_end.take() {
            on_end(end, self.events);
        }
    }
}

/// Whether the end of a response's body is only marked by that of its connection.
pub fn is_unframed(head: &response::Parts) -> bool {
    let framing = [header::CONTENT_LENGTH, header::TRANSFER_ENCODING];
    !framing.iter().any(|name| head.headers.contains_key(name))
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
    /// Upstream that sends it.
    pub upstream: Arc<Upstream>,
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
    let OpenStream { head, segment, .. } = opened;
    let mut response = Response::new(body(segment));
    *response.status_mut() = head.status;
    *response.headers_mut() = router.dialect.response_headers(&head);
    response
}

/// Future of the next segment of a stream; none if no upstream can resume it.
pub type SegmentFuture = Pin<Box<dyn Future<Output = Option<Segment>> + Send>>;

/// Future of an upstream that is ready to resume a stream, as the future that resumes it there;
/// none if there is no such upstream. The upstream gets no request before that one is polled.
pub type PrepareFuture = Pin<Box<dyn Future<Output = Option<SegmentFuture>> + Send>>;

/// When and how a stream is resumed at another upstream.
pub struct ResumePolicy {
    /// Time without a complete event after which another upstream is prepared.
    pub idle_timeout: Duration,
    /// Prepares another upstream to resume after a position, after a failure.
    pub prepare: Box<dyn FnMut(Position, StreamError) -> PrepareFuture + Send>,
}

/// Returns the time without an event after which another upstream is to take over.
///
/// About half of the time for which callers wait is left for that.
pub fn idle_timeout(route: &Route) -> Duration {
    let gaps = route.gap.unwrap_or_default() * PATIENCE_GAPS;
    let patience = gaps.max(route.target * PATIENCE_TARGETS).max(MIN_PATIENCE);
    (patience / 2).clamp(MIN_IDLE_TIMEOUT, MAX_IDLE_TIMEOUT)
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

/// Logs why an interrupted stream is not resumed.
pub fn log_not_resumed(call: &Call, position: &Position, cause: StreamError, reason: &str) {
    log::info!(
        "call: stream not resumed attempt={} after={} events={} cause={cause:?} reason={reason}",
        call.meta.attempt,
        position.last_id.as_deref().unwrap_or("-"),
        position.events,
    );
}

/// A response body that relays a stream from one or more upstreams to a caller.
pub struct Stream {
    state: State,
    events: EventFramer,
    policy: Option<ResumePolicy>,
    deadline: Pin<Box<Sleep>>,
    idle_timer: Option<Pin<Box<Sleep>>>,
}

enum State {
    /// Reading a segment; another upstream is being prepared while that one is silent.
    Reading(Segment, Option<PrepareFuture>),
    /// The segment broke, and another upstream is being prepared.
    Preparing(PrepareFuture, StreamError),
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
        let idle_timer =
            policy.as_ref().map(|policy| Box::pin(tokio::time::sleep(policy.idle_timeout)));
        Self {
            state: State::Reading(segment, None),
            events: EventFramer::new(policy.is_some()),
            policy,
            deadline: Box::pin(tokio::time::sleep_until(deadline)),
            idle_timer,
        }
        .boxed_unsync()
    }

    /// Starts to resume at another upstream, or fails the body if that is not possible.
    fn interrupt(&mut self, cause: StreamError) -> Result<(), StreamError> {
        // This also drops a preparation that has begun, since it avoids the upstream whose
        // connection broke. That one may be the only one left.
        self.close_segment(cause);
        let policy = self.policy.as_mut().filter(|_| self.events.is_resumable()).ok_or(cause)?;
        let preparing = (policy.prepare)(self.events.position().clone(), cause);
        self.state = State::Preparing(preparing, cause);
        Ok(())
    }

    /// Closes the connection, so that the upstream stops before another one resumes.
    fn close_segment(&mut self, cause: StreamError) {
        if let State::Reading(segment, _) = &mut self.state {
            segment.end(StreamEnd::Broken(cause));
        }
        self.state = State::Ended;
        self.events.discard_partial();
    }

    /// Prepares another upstream while the current one is silent.
    fn poll_standby(&mut self, context: &mut Context<'_>) -> Poll<SegmentFuture> {
        let State::Reading(_, standby) = &mut self.state else { return Poll::Pending };
        let (Some(timer), Some(policy)) = (&mut self.idle_timer, &mut self.policy) else {
            return Poll::Pending;
        };
        loop {
            if let Some(preparing) = standby {
                if let Some(next) = ready!(preparing.as_mut().poll(context)) {
                    return Poll::Ready(next);
                }
                *standby = None;
                timer.as_mut().reset(Instant::now() + policy.idle_timeout);
            }
            ready!(timer.as_mut().poll(context));
            let position = self.events.position().clone();
            *standby = Some((policy.prepare)(position, StreamError::Silent));
        }
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
            if let State::Reading(segment, standby) = &mut self.state {
                *standby = None;
                segment.record_events(events);
            }
        }
        (!output.is_empty()).then(|| Frame::data(output))
    }

    /// Processes the regular end of the stream and returns the rest to forward.
    fn finish(&mut self) -> Option<Frame<Bytes>> {
        if let State::Reading(segment, _) = &mut self.state {
            segment.end(StreamEnd::Complete);
        }
        self.state = State::Ended;
        let rest = self.events.finish();
        (!rest.is_empty()).then(|| Frame::data(rest))
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
            stream.close_segment(StreamError::Timeout);
            return Poll::Ready(Some(Err(StreamError::Timeout)));
        }
        loop {
            let cause = match &mut stream.state {
                State::Ended => return Poll::Ready(None),
                State::Reading(..) if stream.events.is_overlong() => {
                    log::warn!("call: upstream sent an event that is too long");
                    StreamError::Upstream
                }
                State::Reading(..) if stream.events.is_misplaced() => {
                    log::warn!("call: upstream did not resume after the last event");
                    StreamError::Upstream
                }
                State::Reading(segment, _) => match Pin::new(&mut segment.body).poll_frame(context)
                {
                    Poll::Ready(Some(Ok(frame))) => match stream.accept(frame) {
                        Some(frame) => return Poll::Ready(Some(Ok(frame))),
                        None => continue,
                    },
                    Poll::Ready(None)
                        if stream.events.is_inside_event()
                            && (segment.ends_with_event || stream.events.is_resumed()) =>
                    {
                        log::info!("call: upstream ended a stream inside an event");
                        StreamError::Upstream
                    }
                    Poll::Ready(None)
                        if segment.is_unframed && stream.events.position().events == 0 =>
                    {
                        log::info!("call: upstream ended a stream before its first event");
                        StreamError::Upstream
                    }
                    Poll::Ready(None) => return Poll::Ready(stream.finish().map(Ok)),
                    Poll::Ready(Some(Err(_))) => StreamError::Upstream,
                    Poll::Pending => {
                        let next = ready!(stream.poll_standby(context));
                        stream.close_segment(StreamError::Silent);
                        stream.state = State::Resuming(next, StreamError::Silent);
                        continue;
                    }
                },
                State::Preparing(preparing, cause) => {
                    let cause = *cause;
                    let Some(next) = ready!(preparing.as_mut().poll(context)) else {
                        stream.state = State::Ended;
                        return Poll::Ready(Some(Err(cause)));
                    };
                    stream.state = State::Resuming(next, cause);
                    continue;
                }
                State::Resuming(resuming, cause) => match resuming.as_mut().poll(context) {
                    Poll::Pending => return Poll::Pending,
                    Poll::Ready(Some(segment)) => {
                        stream.state = State::Reading(segment, None);
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
