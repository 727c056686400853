//! Answers of the router's own, derived from what is known of the request.

use std::time::Duration;

use http::StatusCode;

/// Whether a request has run at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ran {
    /// It has not, and never will.
    No,
    /// It may have.
    Maybe,
}

/// Why a request gets no upstream's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The head is outside the protocol.
    Malformed,
    /// The body is too large.
    TooLarge,
    /// The caller was too slow.
    SlowCaller,
    /// No customer has the key.
    BadKey,
    /// No route has the path.
    NoRoute,
    /// No configuration is known that is current.
    NotConfigured,
    /// The customer is over its limit.
    OverLimit,
    /// There is no room, or will not be in time.
    Busy,
    /// No upstream takes the request.
    NoUpstream,
    /// An upstream failed.
    UpstreamFailed,
    /// The time for an answer is over.
    Timeout,
}

impl Cause {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::TooLarge => "too_large",
            Self::SlowCaller => "slow_caller",
            Self::BadKey => "bad_key",
            Self::NoRoute => "no_route",
            Self::NotConfigured => "not_configured",
            Self::OverLimit => "over_limit",
            Self::Busy => "busy",
            Self::NoUpstream => "no_upstream",
            Self::UpstreamFailed => "upstream_failed",
            Self::Timeout => "timeout",
        }
    }
}

/// An answer of the router's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub cause: Cause,
    /// Whether the request has run.
    pub ran: Ran,
    /// When the caller may try again.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal of a request that has not run.
    pub fn not_run(cause: Cause) -> Self {
        Self { cause, ran: Ran::No, retry_after: None }
    }

    /// A failure of a request in a given state.
    pub fn new(cause: Cause, ran: Ran) -> Self {
        Self { cause, ran, retry_after: None }
    }

    /// The same with a time after which to try again.
    pub fn with_retry_after(self, retry: Duration) -> Self {
        Self { retry_after: Some(retry), ..self }
    }

    /// The status: 429 and 503 promise that the request has not run.
    pub fn status(&self) -> StatusCode {
        match (self.cause, self.ran) {
            (Cause::Malformed, _) => StatusCode::BAD_REQUEST,
            (Cause::TooLarge, _) => StatusCode::PAYLOAD_TOO_LARGE,
            (Cause::SlowCaller, _) => StatusCode::REQUEST_TIMEOUT,
            (Cause::BadKey, _) => StatusCode::UNAUTHORIZED,
            (Cause::NoRoute, _) => StatusCode::NOT_FOUND,
            (Cause::Timeout, Ran::Maybe) => StatusCode::GATEWAY_TIMEOUT,
            (_, Ran::Maybe) => StatusCode::BAD_GATEWAY,
            (Cause::OverLimit, Ran::No) => StatusCode::TOO_MANY_REQUESTS,
            (_, Ran::No) => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}
