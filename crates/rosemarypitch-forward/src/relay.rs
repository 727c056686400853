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
pub struct Stream<F: FnMut(StreamEnd)> {
    inner: Incoming,
    deadline: Pin<Box<Sleep>>,
    ended: bool,
    on_end: F,
    _connection: Connection,
}

impl<F: FnMut(StreamEnd) + Send + Unpin + 'static> Stream<F> {
    /// Relays `inner` until `deadline`; `on_end` is called once.
    pub fn relay(
        inner: Incoming,
        connection: Connection,
        deadline: Instant,
        on_end: F,
    ) -> AnswerBody {
        let deadline = Box::pin(tokio::time::sleep_until(deadline));
        Self { inner, deadline, ended: false, on_end, _connection: connection }.boxed_unsync()
    }
}

impl<F: FnMut(StreamEnd)> Stream<F> {
    fn end(&mut self, end: StreamEnd) {
        if !std::mem::replace(&mut self.ended, true) {
            (self.on_end)(end);
        }
    }
}

impl<F: FnMut(StreamEnd) + Unpin> Body for Stream<F> {
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
            Some(Ok(frame)) => Poll::Ready(Some(Ok(frame))),
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

impl<F: FnMut(StreamEnd)> Drop for Stream<F> {
    fn drop(&mut self) {
        self.end(StreamEnd::Abandoned);
    }
}
