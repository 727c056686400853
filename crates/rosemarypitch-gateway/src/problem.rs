//! Refusals and failures, as callers see them.

use std::time::Duration;

use http::StatusCode;
use rosemarypitch_route::Executed;
use serde_json::json;

/// Media type of problems.
pub const MEDIA: &str = "application/problem+json";

/// A refusal or failure of one request.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{}: {detail}", kind.code())]
pub struct Problem {
    /// What kind it is.
    pub kind: ProblemKind,
    /// Whether the request has run at an upstream.
    pub executed: Executed,
    /// What happened, for a person.
    pub detail: String,
    /// When it may be tried again.
    pub retry_after: Option<Duration>,
}

/// Kinds of problems; each has a stable name and status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProblemKind {
    /// The request could not be read.
    BadRequest,
    /// No key, an unknown one, or one withdrawn.
    BadKey,
    /// No such route, model or service.
    NotFound,
    /// A method that the route does not have.
    BadMethod,
    /// The body was not sent in time.
    SlowRequest,
    /// The idempotency key is in use, or its call may have run.
    Conflict,
    /// The request is too large.
    TooLarge,
    /// The request breaks rules.
    Invalid,
    /// The customer's limit is spent.
    LimitSpent,
    /// An upstream failed.
    UpstreamFailed,
    /// No engine or server is free, or the host is stopping or not ready.
    Unavailable,
    /// An upstream did not answer in time.
    UpstreamSlow,
}

impl ProblemKind {
    /// The last part of the problem's type.
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

    /// The HTTP status.
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
    /// A problem of a request that has not run.
    pub fn new(kind: ProblemKind, detail: impl Into<String>) -> Self {
        Self { kind, executed: Executed::No, detail: detail.into(), retry_after: None }
    }

    /// Says whether the request has run.
    pub fn with_executed(self, executed: Executed) -> Self {
        Self { executed, ..self }
    }

    /// Says when it may be tried again.
    pub fn with_retry_after(self, after: Duration) -> Self {
        Self { retry_after: Some(after), ..self }
    }

    /// Whole seconds for Retry-After, at least one.
    pub fn retry_seconds(&self) -> Option<u64> {
        self.retry_after.map(|after| after.as_millis().div_ceil(1_000).max(1) as u64)
    }

    /// The JSON body; `error` repeats it in the form that OpenAI clients read.
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
