//! Bodies with bounds on size and time.

use std::error::Error;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::time::{Instant, Sleep};

use crate::leak::{Leak, LeakScan};
use crate::problem::{Problem, ProblemKind};

/// Error of a body.
pub type BodyError = Box<dyn Error + Send + Sync>;

/// A body of any kind.
pub type AnyBody = UnsyncBoxBody<Bytes, BodyError>;

/// A body of known bytes.
pub fn full(bytes: impl Into<Bytes>) -> AnyBody {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// A bound that a body went over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Bound {
    /// Too many bytes.
    #[error("the body is too large")]
    Size,
    /// Too long a time.
    #[error("the body took too long")]
    Time,
}

/// A body that ends with an error beyond its bounds, or when it holds the caller's key.
pub struct Bounded {
    inner: Incoming,
    left: u64,
    deadline: Pin<Box<Sleep>>,
    scan: LeakScan,
    ended: bool,
}

impl Bounded {
    /// Bounds a body to `size` bytes until `deadline`.
    pub fn new(inner: Incoming, size: u64, deadline: Instant, key: Option<&str>) -> Self {
        Self {
            inner,
            left: size,
            deadline: Box::pin(tokio::time::sleep_until(deadline)),
            scan: LeakScan::new(key),
            ended: false,
        }
    }
}

impl Body for Bounded {
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
            return Poll::Ready(Some(Err(Bound::Time.into())));
        }
        loop {
            let Some(frame) = ready!(Pin::new(&mut self.inner).poll_frame(context)) else {
                self.ended = true;
                let rest = self.scan.finish();
                let last = (!rest.is_empty()).then(|| Ok(Frame::data(rest)));
                return Poll::Ready(last);
            };
            match self.take(frame) {
                // All of the chunk was held back.
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

impl Bounded {
    fn take(&mut self, frame: Result<Frame<Bytes>, hyper::Error>) -> Result<Bytes, BodyError> {
        // Trailers are dropped: they are no part of the allow-list.
        let Ok(bytes) = frame?.into_data() else { return Ok(Bytes::new()) };
        self.left = self.left.checked_sub(bytes.len() as u64).ok_or(Bound::Size)?;
        Ok(self.scan.push(bytes)?)
    }
}

/// Why a whole body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// It went over a bound.
    Bound(Bound),
    /// It holds the caller's key.
    Leak,
    /// The caller's connection broke.
    Broken,
}

impl From<ReadError> for Problem {
    /// A problem of a request of which nothing was passed on.
    fn from(error: ReadError) -> Self {
        let (kind, detail) = match error {
            ReadError::Bound(Bound::Size) => (ProblemKind::TooLarge, "the body is too large"),
            ReadError::Bound(Bound::Time) => (ProblemKind::SlowRequest, "the body took too long"),
            ReadError::Leak => (
                ProblemKind::BadRequest,
                "the request holds the caller's key outside the Authorization field",
            ),
            ReadError::Broken => (ProblemKind::BadRequest, "the body broke off"),
        };
        Self::new(kind, detail)
    }
}

/// Reads a whole body within bounds.
pub async fn read(
    body: Incoming,
    size: u64,
    deadline: Instant,
    key: Option<&str>,
) -> Result<Bytes, ReadError> {
    if body.size_hint().lower() > size {
        return Err(ReadError::Bound(Bound::Size));
    }
    let bounded = Bounded::new(body, size, deadline, key);
    match bounded.collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) => Err(cause(error.as_ref())),
    }
}

/// What a body's error means.
pub fn cause(error: &(dyn Error + Send + Sync + 'static)) -> ReadError {
    if let Some(bound) = error.downcast_ref::<Bound>() {
        return ReadError::Bound(*bound);
    }
    if error.is::<Leak>() { ReadError::Leak } else { ReadError::Broken }
}
