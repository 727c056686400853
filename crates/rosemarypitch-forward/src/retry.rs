//! Whether a request may be sent to another upstream.

use std::sync::Arc;

use tokio::time::Instant;

use crate::budget::RetryBudget;
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
    /// A part of the prompt crashes engines.
    Quarantine,
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
            Self::Quarantine => "quarantine",
            Self::NoUpstream => "no_upstream",
        }
    }
}

/// A retry permitted by a service's budget; returned to it on drop unless the retry is sent.
pub struct RetryPermit {
    router: Arc<Router>,
    service: Arc<str>,
    sent: bool,
}

impl RetryPermit {
    /// Asks the budget of a request's service for a retry.
    pub fn take(router: &Arc<Router>, call: &Call) -> Result<Self, Denial> {
        Self::ask(router, call, RetryBudget::permit)
    }

    /// Asks the budget for an attempt that counts as a retry only if it fails.
    pub fn take_first(router: &Arc<Router>, call: &Call) -> Result<Self, Denial> {
        Self::ask(router, call, RetryBudget::permit_first)
    }

    fn ask(
        router: &Arc<Router>,
        call: &Call,
        permit: impl FnOnce(&mut RetryBudget, Instant, usize) -> bool,
    ) -> Result<Self, Denial> {
        let (service, hosts) = (call.service.name.clone(), router.share().hosts);
        let permitted =
            router.with_budget(&service, |budget| permit(budget, Instant::now(), hosts));
        if !permitted {
            log::debug!("call: retry budget exhausted for service={service}");
            return Err(Denial::Budget);
        }
        Ok(Self { router: router.clone(), service, sent: false })
    }

    /// Counts the retry, which is sent now.
    pub fn spend(mut self) {
        self.sent = true;
        self.router.with_budget(&self.service, |budget| budget.send(Instant::now()));
    }
}

impl Drop for RetryPermit {
    fn drop(&mut self) {
        if !self.sent {
            self.router.with_budget(&self.service, RetryBudget::cancel);
        }
    }
}
