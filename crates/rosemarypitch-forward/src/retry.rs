//! Whether a request may be sent to another upstream.

use std::sync::Arc;

use tokio::time::Instant;

use crate::call::Call;
use crate::router::Router;

/// Why a request is not sent to another upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// Another attempt would fail in the same way.
    Final,
    /// An upstream may have run the request, and the route forbids to run it again.
    Route,
    /// The request has used up its attempts.
    Attempts,
    /// The deadline has passed.
    Deadline,
    /// The service's retry budget is used up.
    Budget,
    /// No other upstream can take the request.
    NoUpstream,
}

impl Denial {
    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Final => "final",
            Self::Route => "route",
            Self::Attempts => "attempts",
            Self::Deadline => "deadline",
            Self::Budget => "budget",
            Self::NoUpstream => "no_upstream",
        }
    }
}

/// A retry taken from a service's budget, put back on drop unless it is made.
pub struct RetryPermit {
    router: Arc<Router>,
    service: Arc<str>,
    /// Time at which it was taken from the budget; none once it has been made.
    taken: Option<Instant>,
}

impl RetryPermit {
    /// Takes a retry from the budget of a request's service.
    pub fn take(router: &Arc<Router>, call: &Call) -> Result<Self, Denial> {
        let (now, service) = (Instant::now(), call.service.name.clone());
        if !router.take_retry(now, &service) {
            return Err(Denial::Budget);
        }
        Ok(Self { router: router.clone(), service, taken: Some(now) })
    }

    /// Records that the retry is made.
    pub fn spend(mut self) {
        self.taken = None;
    }
}

impl Drop for RetryPermit {
    fn drop(&mut self) {
        if let Some(taken) = self.taken.take() {
            self.router.put_back_retry(taken, &self.service);
        }
    }
}
