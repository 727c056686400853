//! Bodies of answers to callers.
//!
//! A [`Stream`] passes an upstream's events on as they come. Where the route allows it,
//! another upstream goes on after the last whole event when the first one breaks off or
//! falls silent; the caller sees one answer.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::{Response, response};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming};
use tokio::time::{Instant, Sleep};

use crate::call::Call;
use crate::client::Connection;
use crate::config::Route;
use crate::events::{Events, Position};
use crate::refusal::Refusal;
use crate::router::Router;

/// Longest pauses between events, by the route, after which an upstream counts as silent: it
/// leaves time for another before callers give up, after eight of them.
const SILENT_GAPS: u32 = 3;
/// Pause after which an upstream counts as silent where the route names none; half of the
/// time after which callers give up.
const SILENCE: Duration = Duration::from_secs(1);

/// A body that breaks off; hyper then ends the connection without the body's end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BreakOff {
    /// The upstream broke off.
    #[error("the upstream broke off")]
    Upstream,
    /// The upstream fell silent.
    #[error("the upstream fell silent")]
    Silent,
    /// The time for the answer is over.
    #[error("the time for the answer is over")]
    Timeout,
}

/// A body of an answer to a caller.
pub type AnswerBody = UnsyncBoxBody<Bytes, BreakOff>;

/// A body of known bytes.
pub fn whole(bytes: Bytes) -> AnswerBody {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// What is told of the end of a stream at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// It was complete.
    Complete,
    /// The upstream or the time cut it.
    Broken(BreakOff),
    /// The caller left.
    Abandoned,
}

type OnEvents = Box<dyn FnMut(u64) + Send>;
type OnEnd = Box<dyn FnOnce(StreamEnd) + Send>;

/// The part of a stream that comes from one upstream.
pub struct Segment {
    body: Incoming,
    on_events: OnEvents,
    on_end: Option<OnEnd>,
    _connection: Connection,
}

impl Segment {
    /// An answer's body and its connection.
    ///
    /// `on_events` is told how many events the whole stream has, `on_end` once how this
    /// part of it ended.
    pub fn new(
        body: Incoming,
        connection: Connection,
        on_events: impl FnMut(u64) + Send + 'static,
        on_end: impl FnOnce(StreamEnd) + Send + 'static,
    ) -> Self {
        Self {
            body,
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

/// A stream whose answer has begun.
pub struct Opened {
    /// The answer's head.
    pub head: response::Parts,
    /// Its body.
    pub segment: Segment,
}

/// An answer for the caller: an upstream's head and what `body` makes of its stream.
pub fn response(
    router: &Router,
    opened: Opened,
    body: impl FnOnce(Segment) -> AnswerBody,
) -> Response<AnswerBody> {
    let mut response = Response::new(body(opened.segment));
    *response.status_mut() = opened.head.status;
    *response.headers_mut() = router.dialect.caller_headers(&opened.head);
    response
}

/// An upstream that goes on with a stream, once there is one.
pub type Resuming = Pin<Box<dyn Future<Output = Option<Segment>> + Send>>;

/// How a stream goes on when its upstream breaks off.
pub struct Resumption {
    /// Time without a byte after which the upstream counts as silent.
    pub silence: Duration,
    /// Looks for another upstream; none if there may be no further one.
    pub next: Box<dyn FnMut(Position) -> Option<Resuming> + Send>,
}

/// Time without a byte of a stream after which its upstream counts as silent.
pub fn silence(route: &Route) -> Duration {
    route.gap.map_or(SILENCE, |gap| gap * SILENT_GAPS)
}

/// Logs what became of a stream that broke off.
pub fn log_resumed(call: &Call, position: &Position, failed: Option<&Refusal>) {
    log::info!(
        "call: stream resumed attempt={} after={} events={} outcome={}",
        call.facts.attempt,
        position.last.as_deref().unwrap_or("-"),
        position.events,
        failed.map_or("ok", |refusal| refusal.cause.name()),
    );
}

/// A stream from upstreams to a caller.
pub struct Stream {
    flow: Flow,
    events: Events,
    resumption: Option<Resumption>,
    deadline: Pin<Box<Sleep>>,
    silence: Option<Pin<Box<Sleep>>>,
}

enum Flow {
    Reading(Segment),
    Resuming(Resuming, BreakOff),
    Ended,
}

impl Stream {
    /// Relays a stream until `deadline`.
    pub fn relay(
        segment: Segment,
        deadline: Instant,
        resumption: Option<Resumption>,
    ) -> AnswerBody {
        let silence = resumption.as_ref().map(|r| Box::pin(tokio::time::sleep(r.silence)));
        Self {
            flow: Flow::Reading(segment),
            events: Events::new(resumption.is_some()),
            resumption,
            deadline: Box::pin(tokio::time::sleep_until(deadline)),
            silence,
        }
        .boxed_unsync()
    }

    /// Goes on at another upstream, or ends without the stream's end.
    fn break_off(&mut self, cause: BreakOff) -> Result<(), BreakOff> {
        if let Flow::Reading(segment) = &mut self.flow {
            segment.end(StreamEnd::Broken(cause));
        }
        // Closes the connection, so that the upstream stops before another goes on.
        self.flow = Flow::Ended;
        self.events.drop_part();
        let resumption = self.resumption.as_mut().filter(|_| self.events.is_resumable());
        let next = resumption.and_then(|r| (r.next)(self.events.position().clone()));
        self.flow = Flow::Resuming(next.ok_or(cause)?, cause);
        Ok(())
    }

    fn rearm_silence(&mut self) {
        if let (Some(sleep), Some(resumption)) = (&mut self.silence, &self.resumption) {
            sleep.as_mut().reset(Instant::now() + resumption.silence);
        }
    }

    /// Takes a frame; gives what of it is passed on.
    fn take(&mut self, frame: Frame<Bytes>) -> Option<Frame<Bytes>> {
        self.rearm_silence();
        let bytes = match frame.into_data() {
            Ok(bytes) => bytes,
            Err(trailers) => return Some(trailers),
        };
        let before = self.events.position().events;
        let passed = self.events.push(&bytes);
        let events = self.events.position().events;
        if events > before
            && let Flow::Reading(segment) = &mut self.flow
        {
            (segment.on_events)(events);
        }
        (!passed.is_empty()).then(|| Frame::data(passed))
    }

    /// Takes the end of the last upstream's part.
    fn finish(&mut self) -> Option<Frame<Bytes>> {
        if let Flow::Reading(segment) = &mut self.flow {
            segment.end(StreamEnd::Complete);
        }
        self.flow = Flow::Ended;
        let rest = self.events.finish();
        (!rest.is_empty()).then(|| Frame::data(rest))
    }

    fn is_silent(&mut self, context: &mut Context<'_>) -> bool {
        self.silence.as_mut().is_some_and(|sleep| sleep.as_mut().poll(context).is_ready())
    }
}

impl Body for Stream {
    type Data = Bytes;
    type Error = BreakOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BreakOff>>> {
        let stream = &mut *self;
        if stream.deadline.as_mut().poll(context).is_ready() {
            if let Flow::Reading(segment) = &mut stream.flow {
                segment.end(StreamEnd::Broken(BreakOff::Timeout));
            }
            stream.flow = Flow::Ended;
            return Poll::Ready(Some(Err(BreakOff::Timeout)));
        }
        loop {
            let broken = match &mut stream.flow {
                Flow::Ended => return Poll::Ready(None),
                Flow::Reading(segment) => match Pin::new(&mut segment.body).poll_frame(context) {
                    Poll::Ready(Some(Ok(frame))) => match stream.take(frame) {
                        Some(frame) => return Poll::Ready(Some(Ok(frame))),
                        None => continue,
                    },
                    Poll::Ready(None) => return Poll::Ready(stream.finish().map(Ok)),
                    Poll::Ready(Some(Err(_))) => BreakOff::Upstream,
                    Poll::Pending if stream.is_silent(context) => BreakOff::Silent,
                    Poll::Pending => return Poll::Pending,
                },
                Flow::Resuming(resuming, cause) => match resuming.as_mut().poll(context) {
                    Poll::Pending => return Poll::Pending,
                    Poll::Ready(Some(segment)) => {
                        stream.flow = Flow::Reading(segment);
                        stream.rearm_silence();
                        continue;
                    }
                    Poll::Ready(None) => {
                        let cause = *cause;
                        stream.flow = Flow::Ended;
                        return Poll::Ready(Some(Err(cause)));
                    }
                },
            };
            if let Err(cause) = stream.break_off(broken) {
                return Poll::Ready(Some(Err(cause)));
            }
        }
    }
}
