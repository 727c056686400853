//! State of the claims of a shard, without I/O.

use std::collections::HashMap;
use std::time::Duration;

use crate::claim::{ClaimKey, ClaimReply, ClaimRequest, Claimant};
use crate::record::{ClaimChange, ClaimState};

/// Number of windows for which a claim is retained after the window of its last change.
pub const RETAINED_WINDOWS: u64 = 60;
/// Age at which a window with changes is closed.
pub const WINDOW_DURATION: Duration = Duration::from_secs(60);

/// The retained claims of a shard, each with the window of its last change.
#[derive(Clone, Debug, Default)]
pub struct ClaimTable {
    window: u64,
    claims: HashMap<ClaimKey, (u64, ClaimState)>,
}

impl ClaimTable {
    /// Loads the changes of a stored window and drops expired claims.
    ///
    /// Windows must be loaded in ascending order.
    pub fn load(&mut self, window: u64, changes: &[ClaimChange]) {
        self.window = self.window.max(window);
        for change in changes {
            self.claims.insert(change.key.clone(), (window, change.state.clone()));
        }
        let oldest = self.window.saturating_sub(RETAINED_WINDOWS);
        self.claims.retain(|_, (window, _)| *window >= oldest);
    }

    /// Number of the current window.
    pub fn window(&self) -> u64 {
        self.window
    }

    /// Number of retained claims.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no claims are retained.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Applies a request and returns the reply with the change, if any.
    ///
    /// The change must be stored before the reply is sent.
    pub fn apply(&mut self, request: &ClaimRequest) -> (ClaimReply, Option<ClaimChange>) {
        let state = self.claims.get(request.key()).map(|(_, state)| state);
        let (reply, new) = match request {
            ClaimRequest::Claim { by, fingerprint, .. } => claim(state, by, fingerprint),
            ClaimRequest::Finish { by, response, .. } => match state {
                Some(ClaimState::Held { by: holder, fingerprint }) if holder == by => {
                    let fingerprint = fingerprint.clone();
                    let done = ClaimState::Done {
                        by: by.clone(),
                        fingerprint,
                        response: response.clone(),
                    };
                    (ClaimReply::Recorded, Some(done))
                }
                other => (reply_to_non_holder(other, by), None),
            },
            ClaimRequest::Release { by, .. } => match state {
                Some(ClaimState::Held { by: holder, .. }) if holder == by => {
                    (ClaimReply::Recorded, Some(ClaimState::Free))
                }
                other => (reply_to_non_holder(other, by), None),
            },
        };
        let change = new.map(|state| ClaimChange { key: request.key().clone(), state });
        if let Some(change) = &change {
            self.claims.insert(change.key.clone(), (self.window, change.state.clone()));
        }
        (reply, change)
    }
}

fn claim(
    state: Option<&ClaimState>,
    by: &Claimant,
    fingerprint: &std::sync::Arc<str>,
) -> (ClaimReply, Option<ClaimState>) {
    let held = ClaimState::Held { by: by.clone(), fingerprint: fingerprint.clone() };
    match state {
        None | Some(ClaimState::Free) => (ClaimReply::Claimed, Some(held)),
        Some(
            ClaimState::Held { fingerprint: other, .. }
            | ClaimState::Done { fingerprint: other, .. },
        ) if other != fingerprint => (ClaimReply::Mismatch, None),
        // A retry by the attempt that holds the claim, whose first reply was lost.
        Some(ClaimState::Held { by: holder, .. }) if holder == by => (ClaimReply::Claimed, None),
        Some(ClaimState::Held { by: holder, .. }) => (ClaimReply::Taken(holder.clone()), None),
        Some(ClaimState::Done { response, .. }) => (ClaimReply::Done(response.clone()), None),
    }
}

/// The reply to a request to finish or release a claim that the attempt does not hold.
fn reply_to_non_holder(state: Option<&ClaimState>, by: &Claimant) -> ClaimReply {
    match state {
        Some(ClaimState::Done { by: holder, response, .. }) if holder != by => {
            ClaimReply::Done(response.clone())
        }
        Some(ClaimState::Held { by: holder, .. }) => ClaimReply::Taken(holder.clone()),
        _ => ClaimReply::Recorded,
    }
}
