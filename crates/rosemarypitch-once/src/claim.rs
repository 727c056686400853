//! Messages about claims.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Digest of a customer, a service and an idempotency key.
pub type ClaimKey = Arc<str>;

/// Identifier of the attempt that holds a claim.
pub type Claimant = Arc<str>;

/// A change to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimRequest {
    /// Claim a key for an attempt.
    Claim {
        /// The key.
        key: ClaimKey,
        /// The attempt.
        by: Claimant,
        /// Digest of the request, by which a key used for another one is noticed.
        #[serde(rename = "print")]
        fingerprint: Arc<str>,
    },
    /// Record the outcome of a claimed call.
    Finish {
        /// The key.
        key: ClaimKey,
        /// The attempt.
        by: Claimant,
        /// The answer.
        #[serde(rename = "answer")]
        response: RecordedResponse,
    },
    /// Give up a claim whose call surely has not run.
    Release {
        /// The key.
        key: ClaimKey,
        /// The attempt.
        by: Claimant,
    },
}

impl ClaimRequest {
    /// The key that the change is about.
    pub fn key(&self) -> &ClaimKey {
        match self {
            Self::Claim { key, .. } | Self::Finish { key, .. } | Self::Release { key, .. } => key,
        }
    }
}

/// A recorded answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedResponse {
    /// HTTP status.
    pub status: u16,
    /// Media type, if one was given.
    #[serde(rename = "media")]
    pub media_type: Option<Arc<str>>,
    /// The body, unless it was too long to keep.
    pub body: Option<Arc<str>>,
}

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The attempt holds the claim and may dispatch.
    Claimed,
    /// Another attempt holds it; the call may have run.
    Taken(Claimant),
    /// The call has run.
    Done(RecordedResponse),
    /// The key was used for another request.
    Mismatch,
    /// The change was recorded.
    Recorded,
    /// The platform gave no outcome; nothing may be dispatched.
    Unavailable,
}
