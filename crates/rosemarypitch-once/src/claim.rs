//! Requests to change claims, and replies to them.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Digest of the customer, the service and the idempotency key of a call.
pub type ClaimKey = Arc<str>;

/// Identifier of an attempt to run a call.
pub type Claimant = Arc<str>;

/// A request to change a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimRequest {
    /// Claims a key for an attempt, before its call is dispatched.
    Claim {
        /// Key of the claim.
        key: ClaimKey,
        /// The attempt that claims the key.
        by: Claimant,
        /// Digest of the request, to detect reuse of the key with another request.
        #[serde(rename = "print")]
        fingerprint: Arc<str>,
    },
    /// Records the response of a claimed call.
    Finish {
        /// Key of the claim.
        key: ClaimKey,
        /// The attempt that holds the claim.
        by: Claimant,
        /// Response of the call.
        #[serde(rename = "answer")]
        response: RecordedResponse,
    },
    /// Releases a claim whose call definitely has not run, so that the key can be claimed again.
    Release {
        /// Key of the claim.
        key: ClaimKey,
        /// The attempt that holds the claim.
        by: Claimant,
    },
}

impl ClaimRequest {
    /// Key of the claim to change.
    pub fn key(&self) -> &ClaimKey {
        match self {
            Self::Claim { key, .. } | Self::Finish { key, .. } | Self::Release { key, .. } => key,
        }
    }
}

/// An HTTP response that is recorded to be replayed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedResponse {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Content-Type` header, if present.
    #[serde(rename = "media")]
    pub media_type: Option<Arc<str>>,
    /// The body, or `None` if it cannot be stored, for example because it is too large.
    pub body: Option<Arc<str>>,
}

/// Result of a [`ClaimRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The attempt holds the claim and may dispatch the call.
    Claimed,
    /// The given attempt holds the claim; the call may have run.
    Taken(Claimant),
    /// The call has run with this response.
    Done(RecordedResponse),
    /// The key was used with another request.
    Mismatch,
    /// The change is stored, or had no effect because the claim was already finished, released
    /// or expired.
    Recorded,
    /// The change could not be stored, or its result is unknown; the call must not be dispatched.
    Unavailable,
}
