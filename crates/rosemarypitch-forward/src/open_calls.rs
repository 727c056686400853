//! Requests of callers that have no complete response yet.

use std::collections::HashMap;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, SizeHint};
use tokio::time::Instant;

use crate::relay::{ResponseBody, StreamError};

/// Largest number of requests that are logged by attempt when they are cut.
const MAX_LOGGED_CUTS: usize = 100;

/// Open requests of one host.
#[derive(Debug, Default)]
pub struct OpenCalls(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    next_id: u64,
    calls: HashMap<u64, (Arc<str>, Instant)>,
}

impl OpenCalls {
    /// Counts the request of an attempt as open until the returned guard is dropped.
    pub fn open(self: &Arc<Self>, attempt: Arc<str>, start: Instant) -> OpenCall {
        let mut state = self.lock();
        let id = state.next_id;
        state.next_id += 1;
        state.calls.insert(id, (attempt, start));
        drop(state);
        OpenCall { calls: self.clone(), id }
    }

    /// Number of open requests.
    pub fn count(&self) -> usize {
        self.lock().calls.len()
    }

    /// Logs the open requests, which the end of the process cuts.
    pub fn log_cut(&self, now: Instant) {
        for (attempt, start) in self.lock().calls.values().take(MAX_LOGGED_CUTS) {
            let age = now.saturating_duration_since(*start);
            log::warn!("server: request cut attempt={attempt} age_ms={}", age.as_millis());
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(|error| error.into_inner())
    }
}

/// An open request.
#[derive(Debug)]
pub struct OpenCall {
    calls: Arc<OpenCalls>,
    id: u64,
}

impl OpenCall {
    /// Keeps the request open until the body of its response is dropped.
    pub fn attach(self, body: ResponseBody) -> ResponseBody {
        TrackedBody { body, _open: self }.boxed_unsync()
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.calls.lock().calls.remove(&self.id);
    }
}

/// A response body whose request is open until it is dropped.
struct TrackedBody {
    body: ResponseBody,
    _open: OpenCall,
}

impl Body for TrackedBody {
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
