//! Bodies of callers' requests: reading within bounds, and discarding.
//!
//! A connection that is closed while bytes of a request are unread is reset, and a refusal that
//! was sent before may never arrive. The body of a refused request is therefore read first. If
//! it is too long or too slow for that, the rest is discarded after the refusal has been sent,
//! for a bounded time.

use std::convert::Infallible;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use tokio::sync::oneshot;

use crate::refusal::{Cause, Refusal};
use crate::relay::ResponseBody;

/// Timeout for reading a body; callers usually send the body together with the head.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which the rest of a body is discarded after its refusal has been sent.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);
/// Size up to which the rest of a body is discarded after its refusal has been sent.
const MAX_DRAINED_BYTES: usize = 16 << 20;

/// Reads a complete body of at most `limit` bytes.
pub async fn read(body: &mut Incoming, limit: usize) -> Result<Bytes, Refusal> {
    if body.size_hint().lower() > limit as u64 {
        return Err(Refusal::not_run(Cause::TooLarge));
    }
    let collect = async {
        let mut bytes = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| Refusal::not_run(Cause::Malformed))?;
            let Ok(data) = frame.into_data() else { continue };
            if bytes.len() + data.len() > limit {
                return Err(Refusal::not_run(Cause::TooLarge));
            }
            bytes.extend_from_slice(&data);
        }
        Ok(bytes.freeze())
    };
    let read = tokio::time::timeout(BODY_TIMEOUT, collect).await;
    read.unwrap_or(Err(Refusal::not_run(Cause::SlowCaller)))
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
