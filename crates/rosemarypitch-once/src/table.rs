//! All claims of a shard that are still retained.

use std::collections::HashMap;
use std::time::Duration;

use crate::claim::{ClaimKey, ClaimReply, ClaimRequest, Claimant};
use crate::record::{ClaimChange, ClaimState};

/// Windows for which a claim is kept after its own.
pub const RETAINED_WINDOWS: u64 = 60;
/// Shortest time that a window lasts.
pub const WINDOW_DURATION: Duration = Duration::from_secs(60);

/// All claims of a shard that are still retained.
#[derive(Clone, Debug, Default)]
pub struct ClaimTable {
    window: u64,
    claims: HashMap<ClaimKey, (u64, ClaimState)>,
}

impl ClaimTable {
    /// Takes in a window as stored; windows must come in order.
    pub fn load(&mut self, window: u64, changes: &[ClaimChange]) {
        self.window = self.window.max(window);
        for change in changes {
            self.claims.insert(change.key.clone(), (window, change.state.clone()));
        }
        let oldest = self.window.saturating_sub(RETAINED_WINDOWS);
        self.claims.retain(|_, (window, _)| *window >= oldest);
    }

    /// Number of the present window.
    pub fn window(&self) -> u64 {
        self.window
    }

    /// Claims retained.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no claim is retained.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Decides one change; `Some` item must be stored before the reply is given.
    pub fn apply(&mut self, ask: &ClaimRequest) -> (ClaimReply, Option<ClaimChange>) {
        let state = self.claims.get(ask.key()).map(|(_, state)| state);
        let (reply, new) = match ask {
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
                other => (settled(other, by), None),
            },
            ClaimRequest::Release { by, .. } => match state {
                Some(ClaimState::Held { by: holder, .. }) if holder == by => {
                    (ClaimReply::Recorded, Some(ClaimState::Free))
                }
                other => (settled(other, by), None),
            },
        };
        let change = new.map(|state| ClaimChange { key: ask.key().clone(), state });
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
        // Our own claim whose answer was lost.
        Some(ClaimState::Held { by: holder, .. }) if holder == by => (ClaimReply::Claimed, None),
        Some(ClaimState::Held { by: holder, .. }) => (ClaimReply::Taken(holder.clone()), None),
        Some(ClaimState::Done { response, .. }) => (ClaimReply::Done(response.clone()), None),
    }
}

/// The reply to a change that finds its claim settled already.
fn settled(state: Option<&ClaimState>, by: &Claimant) -> ClaimReply {
    match state {
        Some(ClaimState::Done { by: holder, response, .. }) if holder != by => {
            ClaimReply::Done(response.clone())
        }
        Some(ClaimState::Held { by: holder, .. }) => ClaimReply::Taken(holder.clone()),
        _ => ClaimReply::Recorded,
    }
}
