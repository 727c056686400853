//! Requests of callers that have no complete response yet.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};

use tokio::time::Instant;

use crate::body;
use crate::relay::ResponseBody;

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
        body::with_guard(body, self)
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.calls.lock().calls.remove(&self.id);
    }
}
