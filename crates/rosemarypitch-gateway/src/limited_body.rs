//! Request and response bodies with limits on size and time.

use std::error::Error;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::time::{Instant, Sleep};

use crate::key_scan::{KeyFound, KeyScanner};
use crate::problem::{Problem, ProblemKind};

/// Error while reading a body.
pub type BodyError = Box<dyn Error + Send + Sync>;

/// Body with its type erased.
pub type BoxBody = UnsyncBoxBody<Bytes, BodyError>;

/// Returns a body with the given bytes.
pub fn full(bytes: impl Into<Bytes>) -> BoxBody {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Limit that a body exceeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyLimit {
    /// Number of bytes.
    #[error("the body is too large")]
    Size,
    /// Deadline.
    #[error("the body took too long")]
    Time,
}

/// Body that fails when it exceeds a limit or contains the caller's key.
pub struct LimitedBody {
    inner: Incoming,
    remaining: u64,
    deadline: Pin<Box<Sleep>>,
    scanner: KeyScanner,
    ended: bool,
}

impl LimitedBody {
    /// Limits a body to `size` bytes and to `deadline`.
    ///
    /// Without a `key` the body is not scanned.
    pub fn new(inner: Incoming, size: u64, deadline: Instant, key: Option<&str>) -> Self {
        Self {
            inner,
            remaining: size,
            deadline: Box::pin(tokio::time::sleep_until(deadline)),
            scanner: KeyScanner::new(key),
            ended: false,
        }
    }
}

impl Body for LimitedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        if self.deadline.as_mut().poll(context).is_ready() {
            self.ended = true;
            return Poll::Ready(Some(Err(BodyLimit::Time.into())));
        }
        loop {
            let Some(frame) = ready!(Pin::new(&mut self.inner).poll_frame(context)) else {
                self.ended = true;
                let held_back = self.scanner.finish();
                let last = (!held_back.is_empty()).then(|| Ok(Frame::data(held_back)));
                return Poll::Ready(last);
            };
            match self.accept(frame) {
                // The scanner holds back the whole chunk.
                Ok(bytes) if bytes.is_empty() => {}
                Ok(bytes) => return Poll::Ready(Some(Ok(Frame::data(bytes)))),
                Err(error) => {
                    self.ended = true;
                    return Poll::Ready(Some(Err(error)));
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.ended
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }
}

impl LimitedBody {
    fn accept(&mut self, frame: Result<Frame<Bytes>, hyper::Error>) -> Result<Bytes, BodyError> {
        // Trailers are dropped, because none are on the allow-list.
        let Ok(bytes) = frame?.into_data() else { return Ok(Bytes::new()) };
        self.remaining = self.remaining.checked_sub(bytes.len() as u64).ok_or(BodyLimit::Size)?;
        Ok(self.scanner.push(bytes)?)
    }
}

/// Error while reading a whole body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// The body exceeds a limit.
    Limit(BodyLimit),
    /// The body contains the caller's key.
    ContainsKey,
    /// The connection was lost.
    Disconnected,
}

impl From<ReadError> for Problem {
    /// Returns the problem of a request that was not executed.
    fn from(error: ReadError) -> Self {
        let (kind, detail) = match error {
            ReadError::Limit(BodyLimit::Size) => (ProblemKind::TooLarge, "the body is too large"),
            ReadError::Limit(BodyLimit::Time) => {
                (ProblemKind::SlowRequest, "the body took too long")
            }
            ReadError::ContainsKey => (
                ProblemKind::BadRequest,
                "the request holds the caller's key outside the Authorization field",
            ),
            ReadError::Disconnected => (ProblemKind::BadRequest, "the body broke off"),
        };
        Self::new(kind, detail)
    }
}

/// Reads a whole body within limits.
pub async fn read(
    body: Incoming,
    size: u64,
    deadline: Instant,
    key: Option<&str>,
) -> Result<Bytes, ReadError> {
    if body.size_hint().lower() > size {
        return Err(ReadError::Limit(BodyLimit::Size));
    }
    let limited = LimitedBody::new(body, size, deadline, key);
    match limited.collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) => Err(read_error(error.as_ref())),
    }
}

/// Classifies the error of a body.
pub fn read_error(error: &(dyn Error + Send + Sync + 'static)) -> ReadError {
    if let Some(limit) = error.downcast_ref::<BodyLimit>() {
        return ReadError::Limit(*limit);
    }
    if error.is::<KeyFound>() { ReadError::ContainsKey } else { ReadError::Disconnected }
}
