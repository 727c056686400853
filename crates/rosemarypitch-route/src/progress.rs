//! Progress of a request, and whether an upstream may have executed it.

use serde::{Deserialize, Serialize};

/// Whether an upstream has executed a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Executed {
    /// Certainly not executed, so a retry is safe.
    No,
    /// Possibly executed.
    Maybe,
    /// Executed, at least in part.
    Yes,
}

impl Executed {
    /// The value that refusals carry.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Maybe => "maybe",
            Self::Yes => "yes",
        }
    }
}

/// State of one request, from acceptance to the complete answer.
///
/// States only advance, since a request that was sent to an upstream cannot be recalled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Progress {
    /// Read and validated; no capacity is reserved.
    #[default]
    Accepted,
    /// Waits for tokens of its rate limit or for an engine.
    Queued,
    /// Some bytes may have reached an upstream.
    Sent,
    /// The upstream has started its answer.
    Answering,
    /// The whole answer has been received.
    Answered,
}

impl Progress {
    /// Advances to a later state; an earlier one is ignored.
    pub fn advance(&mut self, to: Self) {
        *self = (*self).max(to);
    }

    /// Whether the request was executed, as a refusal in this state reports it.
    pub fn executed(self) -> Executed {
        match self {
            Self::Accepted | Self::Queued => Executed::No,
            Self::Sent => Executed::Maybe,
            Self::Answering | Self::Answered => Executed::Yes,
        }
    }
}
