//! Whether a request may be sent to another upstream.

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
        }
    }
}
