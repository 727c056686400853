//! The platform's values for one shard.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::claim::{ClaimKey, Claimant, RecordedResponse};

/// The head value: claims of the present window.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Number of the window.
    pub window: u64,
    /// Changes in the order in which they took effect.
    #[serde(rename = "items")]
    pub changes: Vec<ClaimChange>,
    /// The window before, whole, until it is archived.
    pub closing: Vec<ClaimChange>,
}

/// An archived window; it never changes once written.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Archive {
    /// Number of the window.
    pub window: u64,
    /// Its changes.
    #[serde(rename = "items")]
    pub changes: Vec<ClaimChange>,
}

/// The state of a claim after one change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimChange {
    /// The key.
    pub key: ClaimKey,
    /// Its state.
    pub state: ClaimState,
}

/// ClaimState of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// An attempt may be running the call.
    Held {
        /// The attempt.
        by: Claimant,
        /// Digest of the request.
        #[serde(rename = "print")]
        fingerprint: Arc<str>,
    },
    /// The call has run.
    Done {
        /// The attempt that ran it.
        by: Claimant,
        /// Digest of the request.
        #[serde(rename = "print")]
        fingerprint: Arc<str>,
        /// Its answer.
        #[serde(rename = "answer")]
        response: RecordedResponse,
    },
    /// The call has not run; the key is free.
    Free,
}
