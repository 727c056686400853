//! How far a request has come, and what may be said of it.

use serde::{Deserialize, Serialize};

/// Whether a request has run at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Executed {
    /// It surely has not.
    No,
    /// It may have.
    Maybe,
    /// It has.
    Yes,
}

impl Executed {
    /// The word used in refusals.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Maybe => "maybe",
            Self::Yes => "yes",
        }
    }
}

/// State of one request, from accept to answer.
///
/// States only move forward: what has left for an upstream cannot be taken back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Progress {
    /// Read and checked, nothing taken.
    #[default]
    Accepted,
    /// Waits for its limit or for an engine.
    Queued,
    /// Bytes may have reached an upstream.
    Sent,
    /// The upstream has begun to answer.
    Answering,
    /// The whole answer has come.
    Answered,
}

impl Progress {
    /// Moves on; a step back is ignored.
    pub fn advance(&mut self, to: Self) {
        *self = (*self).max(to);
    }

    /// What a refusal at this point says.
    pub fn executed(self) -> Executed {
        match self {
            Self::Accepted | Self::Queued => Executed::No,
            Self::Sent => Executed::Maybe,
            Self::Answering | Self::Answered => Executed::Yes,
        }
    }
}
