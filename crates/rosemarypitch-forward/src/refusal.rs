//! Error responses that the router itself generates.

use std::time::Duration;

use http::StatusCode;

/// Whether an upstream has executed a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ran {
    /// It was not executed and never will be.
    No,
    /// It may have been executed, fully or in part.
    Maybe,
}

/// Why the router answers a request itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The request head violates the protocol.
    Malformed,
    /// The body is too large.
    TooLarge,
    /// The caller sent the request too slowly.
    SlowCaller,
    /// The API key belongs to no customer.
    BadKey,
    /// No route matches the path.
    NoRoute,
    /// This host has no current configuration.
    NotConfigured,
    /// The customer has exceeded its rate limit.
    OverLimit,
    /// The engines have no capacity, or won't have any in time.
    Busy,
    /// No upstream accepts the request.
    NoUpstream,
    /// An upstream failed.
    UpstreamFailed,
    /// The request timed out.
    Timeout,
    /// This host stops before it could serve the request.
    Stopping,
    /// The request's task panicked.
    Internal,
    /// A part of the prompt crashes engines.
    Quarantined,
    /// The bodies of callers take all memory that this host has for them.
    Crowded,
    /// A stream is taken up, and no version is known to have begun it.
    UnknownVersion,
}

impl Cause {
    /// Name of the cause in logs and metrics.
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
            Self::Stopping => "stopping",
            Self::Internal => "internal",
            Self::Quarantined => "quarantined",
            Self::Crowded => "crowded",
            Self::UnknownVersion => "unknown_version",
        }
    }
}

/// An error response of the router itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request failed.
    pub cause: Cause,
    /// Whether an upstream has executed the request.
    pub ran: Ran,
    /// Delay after which the caller may retry.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal of a request that was not executed.
    pub fn not_run(cause: Cause) -> Self {
        Self { cause, ran: Ran::No, retry_after: None }
    }

    /// Creates a refusal without a retry delay.
    pub fn new(cause: Cause, ran: Ran) -> Self {
        Self { cause, ran, retry_after: None }
    }

    /// Sets the delay after which the caller may retry.
    pub fn with_retry_after(self, delay: Duration) -> Self {
        Self { retry_after: Some(delay), ..self }
    }

    /// HTTP status of the response. 429 and 503 guarantee that the request was not executed.
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
