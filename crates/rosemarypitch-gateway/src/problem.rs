//! Errors that are returned to callers as problem details (RFC 9457).

use std::time::Duration;

use http::StatusCode;
use rosemarypitch_route::Executed;
use serde_json::json;

/// Media type of a problem.
pub const MEDIA_TYPE: &str = "application/problem+json";

/// Why one request was rejected or failed.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{}: {detail}", kind.code())]
pub struct Problem {
    /// Kind, which determines the status and the code.
    pub kind: ProblemKind,
    /// Whether an upstream executed the request.
    pub executed: Executed,
    /// Explanation for people.
    pub detail: String,
    /// Delay after which the caller may retry.
    pub retry_after: Option<Duration>,
}

/// Kinds of problems; each has a stable code and HTTP status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProblemKind {
    /// The request is malformed.
    BadRequest,
    /// The key is missing, unknown or revoked.
    BadKey,
    /// The route, model or service does not exist.
    NotFound,
    /// The route does not support the method.
    BadMethod,
    /// The caller sent the body or read the answer too slowly.
    SlowRequest,
    /// The idempotency key is in use, or its call may have been executed.
    Conflict,
    /// The request is too large.
    TooLarge,
    /// The request is well-formed but not valid.
    Invalid,
    /// The customer's rate limit is exhausted.
    LimitSpent,
    /// An upstream failed.
    UpstreamFailed,
    /// No engine or server is available, or the host is stopping or not ready.
    Unavailable,
    /// An upstream timed out.
    UpstreamSlow,
}

impl ProblemKind {
    /// Returns the stable code, which is also the last part of the problem's type.
    pub fn code(self) -> &'static str {
        match self {
            Self::BadRequest => "bad-request",
            Self::BadKey => "bad-key",
            Self::NotFound => "not-found",
            Self::BadMethod => "bad-method",
            Self::SlowRequest => "slow-request",
            Self::Conflict => "conflict",
            Self::TooLarge => "too-large",
            Self::Invalid => "invalid",
            Self::LimitSpent => "limit-spent",
            Self::UpstreamFailed => "upstream-failed",
            Self::Unavailable => "unavailable",
            Self::UpstreamSlow => "upstream-slow",
        }
    }

    /// Returns the HTTP status.
    pub fn status(self) -> StatusCode {
        match self {
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::BadKey => StatusCode::UNAUTHORIZED,
            Self::NotFound => StatusCode::NOT_FOUND,
            Self::BadMethod => StatusCode::METHOD_NOT_ALLOWED,
            Self::SlowRequest => StatusCode::REQUEST_TIMEOUT,
            Self::Conflict => StatusCode::CONFLICT,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Invalid => StatusCode::UNPROCESSABLE_ENTITY,
            Self::LimitSpent => StatusCode::TOO_MANY_REQUESTS,
            Self::UpstreamFailed => StatusCode::BAD_GATEWAY,
            Self::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
            Self::UpstreamSlow => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

impl Problem {
    /// Creates a problem of a request that was not executed.
    pub fn new(kind: ProblemKind, detail: impl Into<String>) -> Self {
        Self { kind, executed: Executed::No, detail: detail.into(), retry_after: None }
    }

    /// Sets whether the request was executed.
    pub fn with_executed(self, executed: Executed) -> Self {
        Self { executed, ..self }
    }

    /// Sets the delay after which the caller may retry.
    pub fn with_retry_after(self, after: Duration) -> Self {
        Self { retry_after: Some(after), ..self }
    }

    /// Returns the value of the Retry-After header, in whole seconds and at least one.
    pub fn retry_seconds(&self) -> Option<u64> {
        self.retry_after.map(|after| after.as_millis().div_ceil(1_000).max(1) as u64)
    }

    /// Returns the JSON body; its member `error` has the format that OpenAI clients expect.
    pub fn json(&self, request: &str) -> serde_json::Value {
        let code = self.kind.code();
        json!({
            "type": format!("urn:rosemarypitch:problem:{code}"),
            "title": self.kind.status().canonical_reason(),
            "status": self.kind.status().as_u16(),
            "detail": self.detail,
            "ran": self.executed.as_str(),
            "request": request,
            "error": { "message": self.detail, "type": code, "code": code },
        })
    }
}
