//! Bodies of answers to callers.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming};
use tokio::time::{Instant, Sleep};

use crate::client::Connection;

/// A body that breaks off; hyper then ends the connection without the body's end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BreakOff {
    /// The upstream broke off.
    #[error("the upstream broke off")]
    Upstream,
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

/// What is told of the end of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// It was complete.
    Complete,
    /// The upstream or the time cut it.
    Broken(BreakOff),
    /// The caller left.
    Abandoned,
}

/// A stream from an upstream to a caller.
pub struct Stream<E, F: FnMut(StreamEnd)> {
    inner: Incoming,
    deadline: Pin<Box<Sleep>>,
    ended: bool,
    line_open: bool,
    on_events: E,
    on_end: F,
    _connection: Connection,
}

impl<E, F> Stream<E, F>
where
    E: FnMut(u64) + Send + Unpin + 'static,
    F: FnMut(StreamEnd) + Send + Unpin + 'static,
{
    /// Relays `inner` until `deadline`.
    ///
    /// `on_events` is told how many events have passed, `on_end` once how it ended.
    pub fn relay(
        inner: Incoming,
        connection: Connection,
        deadline: Instant,
        on_events: E,
        on_end: F,
    ) -> AnswerBody {
        let deadline = Box::pin(tokio::time::sleep_until(deadline));
        Self {
            inner,
            deadline,
            ended: false,
            line_open: false,
            on_events,
            on_end,
            _connection: connection,
        }
        .boxed_unsync()
    }
}

impl<E: FnMut(u64), F: FnMut(StreamEnd)> Stream<E, F> {
    /// Counts the empty lines, each of which ends an event.
    fn count(&mut self, bytes: &[u8]) {
        let mut events = 0;
        for byte in bytes {
            match byte {
                b'\n' if !self.line_open => events += 1,
                b'\n' => self.line_open = false,
                b'\r' => {}
                _ => self.line_open = true,
            }
        }
        if events > 0 {
            (self.on_events)(events);
        }
    }
}

impl<E, F: FnMut(StreamEnd)> Stream<E, F> {
    fn end(&mut self, end: StreamEnd) {
        if !std::mem::replace(&mut self.ended, true) {
            (self.on_end)(end);
        }
    }
}

impl<E: FnMut(u64) + Unpin, F: FnMut(StreamEnd) + Unpin> Body for Stream<E, F> {
    type Data = Bytes;
    type Error = BreakOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BreakOff>>> {
        if self.deadline.as_mut().poll(context).is_ready() {
            self.end(StreamEnd::Broken(BreakOff::Timeout));
            return Poll::Ready(Some(Err(BreakOff::Timeout)));
        }
        match ready!(Pin::new(&mut self.inner).poll_frame(context)) {
            Some(Ok(frame)) => {
                if let Some(bytes) = frame.data_ref() {
                    self.count(bytes);
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(_)) => {
                self.end(StreamEnd::Broken(BreakOff::Upstream));
                Poll::Ready(Some(Err(BreakOff::Upstream)))
            }
            None => {
                self.end(StreamEnd::Complete);
                Poll::Ready(None)
            }
        }
    }
}

impl<E, F: FnMut(StreamEnd)> Drop for Stream<E, F> {
    fn drop(&mut self) {
        self.end(StreamEnd::Abandoned);
    }
}
