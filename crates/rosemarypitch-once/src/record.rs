//! Values that are stored in the platform for each shard.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::claim::{ClaimKey, Claimant, RecordedResponse};

/// The head value of a shard, with the changes of the current window.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Number of the current window.
    pub window: u64,
    /// Changes of the current window, in the order in which they took effect.
    #[serde(rename = "items")]
    pub changes: Vec<ClaimChange>,
    /// All changes of the previous window, until it is archived.
    pub closing: Vec<ClaimChange>,
}

/// A closed window of a shard, which no writer changes any more.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Archive {
    /// Number of the window.
    pub window: u64,
    /// Changes of the window, in the order in which they took effect.
    #[serde(rename = "items")]
    pub changes: Vec<ClaimChange>,
}

/// A change to a claim, as the state that results from it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimChange {
    /// Key of the claim.
    pub key: ClaimKey,
    /// State of the claim after the change.
    pub state: ClaimState,
}

/// State of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// An attempt holds the claim and may have dispatched the call.
    Held {
        /// The attempt that holds the claim.
        by: Claimant,
        /// Digest of the request, to detect reuse of the key with another request.
        #[serde(rename = "print")]
        fingerprint: Arc<str>,
    },
    /// The call has run, and its response is recorded.
    Done {
        /// The attempt that ran it.
        by: Claimant,
        /// Digest of the request, to detect reuse of the key with another request.
        #[serde(rename = "print")]
        fingerprint: Arc<str>,
        /// Response of the call.
        #[serde(rename = "answer")]
        response: RecordedResponse,
    },
    /// The claim was released before the call ran; the key can be claimed again.
    Free,
}
