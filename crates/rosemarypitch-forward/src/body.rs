//! Bodies of callers' requests, which are read within bounds or discarded, and of responses.
//!
//! A connection that is closed while bytes of a request are unread is reset, and a refusal that
//! was sent before may never arrive. The body of a refused request is therefore read first. If
//! it is too long or too slow for that, the rest is discarded after the refusal has been sent,
//! for a bounded time.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::byte_account::{Buffer, BufferError, ByteAccount};
use crate::refusal::{Cause, Refusal};
use crate::relay::{ResponseBody, StreamError};

/// Timeout for reading a body; callers usually send the body together with the head.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which the rest of a body is discarded after its refusal has been sent.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);
/// Size up to which the rest of a body is discarded after its refusal has been sent.
const MAX_DRAINED_BYTES: usize = 16 << 20;

/// Longest time for which a body waits for memory that others give up.
const ROOM_TIMEOUT: Duration = Duration::from_millis(250);
/// Time between two attempts to get memory.
const ROOM_INTERVAL: Duration = Duration::from_millis(5);
/// `Retry-After` when there is no memory for a body; those that are too slow have gone by then.
const ROOM_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Reads a complete body of at most `limit` bytes, in memory of `account`.
pub async fn read(
    body: &mut Incoming,
    limit: usize,
    account: &Arc<ByteAccount>,
) -> Result<Bytes, Refusal> {
    if body.size_hint().lower() > limit as u64 {
        return Err(Refusal::not_run(Cause::TooLarge));
    }
    let mut buffer = Buffer::new(Instant::now(), account, limit);
    let given_up = buffer.given_up();
    let collect = async {
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| Refusal::not_run(Cause::Malformed))?;
            let Ok(data) = frame.into_data() else { continue };
            add(&mut buffer, account, &data).await?;
        }
        buffer.join().map_err(refusal)
    };
    tokio::select! {
        biased;
        read = tokio::time::timeout(BODY_TIMEOUT, collect) => {
            read.unwrap_or(Err(Refusal::not_run(Cause::SlowCaller)))
        }
        () = given_up.notified() => Err(refusal(BufferError::Full)),
    }
}

/// Adds bytes to a body; without memory for them, the slowest of all bodies are given up.
async fn add(buffer: &mut Buffer, account: &ByteAccount, mut data: &[u8]) -> Result<(), Refusal> {
    let start = Instant::now();
    loop {
        let now = Instant::now();
        match buffer.add(now, &mut data) {
            Ok(()) => return Ok(()),
            Err(BufferError::Full) if now - start < ROOM_TIMEOUT => {
                account.give_up_slowest(now);
                tokio::time::sleep(ROOM_INTERVAL).await;
            }
            Err(error) => return Err(refusal(error)),
        }
    }
}

fn refusal(error: BufferError) -> Refusal {
    match error {
        BufferError::TooLong => Refusal::not_run(Cause::TooLarge),
        BufferError::Full => {
            let retry = ROOM_RETRY_AFTER.mul_f64(rand::random_range(0.7..1.6));
            Refusal::not_run(Cause::Crowded).with_retry_after(retry)
        }
    }
}

/// Discards a body of at most `limit` bytes; false if it is longer, too slow or broken.
pub async fn discard(body: &mut Incoming, limit: usize) -> bool {
    body.size_hint().lower() <= limit as u64 && discard_within(body, limit, BODY_TIMEOUT).await
}

async fn discard_within(body: &mut Incoming, limit: usize, time: Duration) -> bool {
    let read = async {
        let mut size = 0;
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else { return false };
            size += frame.data_ref().map_or(0, Bytes::len);
            if size > limit {
                return false;
            }
        }
        true
    };
    tokio::time::timeout(time, read).await.unwrap_or(false)
}

/// Body of a response without content, after which the rest of the request is discarded.
///
/// The response has to close the connection.
pub fn empty_then_drain(mut rest: Incoming) -> ResponseBody {
    let (sent, head_sent) = oneshot::channel::<Infallible>();
    tokio::spawn(async move {
        // hyper drops the response body, and with it the sender, once it has written the head. A
        // read before that would ask a caller that expects `100 Continue` for its body.
        let _ = head_sent.await;
        if !discard_within(&mut rest, MAX_DRAINED_BYTES, DRAIN_TIMEOUT).await {
            log::debug!("call: body of a refused request not read to its end");
        }
    });
    let attach = move |never: Infallible| {
        let _sent = &sent;
        match never {}
    };
    Full::new(Bytes::new()).map_err(attach).boxed_unsync()
}

/// Drops `guard` together with a response body.
pub fn with_guard(body: ResponseBody, guard: impl Send + Unpin + 'static) -> ResponseBody {
    GuardedBody { body, _guard: guard }.boxed_unsync()
}

struct GuardedBody<G> {
    body: ResponseBody,
    _guard: G,
}

impl<G: Unpin> Body for GuardedBody<G> {
    type Data = Bytes;
    type Error = StreamError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamError>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
