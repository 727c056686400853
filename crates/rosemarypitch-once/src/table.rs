//! All claims of a shard that are still retained.

use std::collections::HashMap;
use std::time::Duration;

use crate::claim::{ClaimKey, ClaimReply, ClaimRequest, Claimant};
use crate::record::{Item, State};

/// Windows for which a claim is kept after its own.
pub const RETAINED_WINDOWS: u64 = 60;
/// Shortest time that a window lasts.
pub const WINDOW_TIME: Duration = Duration::from_secs(60);

/// All claims of a shard that are still retained.
#[derive(Clone, Debug, Default)]
pub struct Table {
    window: u64,
    claims: HashMap<ClaimKey, (u64, State)>,
}

impl Table {
    /// Takes in a window as stored; windows must come in order.
    pub fn load(&mut self, window: u64, items: &[Item]) {
        self.window = self.window.max(window);
        for item in items {
            self.claims.insert(item.key.clone(), (window, item.state.clone()));
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
    pub fn decide(&mut self, ask: &ClaimRequest) -> (ClaimReply, Option<Item>) {
        let state = self.claims.get(ask.key()).map(|(_, state)| state);
        let (reply, new) = match ask {
            ClaimRequest::Claim { by, fingerprint, .. } => claim(state, by, fingerprint),
            ClaimRequest::Finish { by, response, .. } => match state {
                Some(State::Held { by: holder, fingerprint }) if holder == by => {
                    let fingerprint = fingerprint.clone();
                    let done =
                        State::Done { by: by.clone(), fingerprint, response: response.clone() };
                    (ClaimReply::Recorded, Some(done))
                }
                other => (settled(other, by), None),
            },
            ClaimRequest::Release { by, .. } => match state {
                Some(State::Held { by: holder, .. }) if holder == by => {
                    (ClaimReply::Recorded, Some(State::Free))
                }
                other => (settled(other, by), None),
            },
        };
        let item = new.map(|state| Item { key: ask.key().clone(), state });
        if let Some(item) = &item {
            self.claims.insert(item.key.clone(), (self.window, item.state.clone()));
        }
        (reply, item)
    }
}

fn claim(
    state: Option<&State>,
    by: &Claimant,
    fingerprint: &std::sync::Arc<str>,
) -> (ClaimReply, Option<State>) {
    let held = State::Held { by: by.clone(), fingerprint: fingerprint.clone() };
    match state {
        None | Some(State::Free) => (ClaimReply::Claimed, Some(held)),
        Some(State::Held { fingerprint: other, .. } | State::Done { fingerprint: other, .. })
            if other != fingerprint =>
        {
            (ClaimReply::Mismatch, None)
        }
        // Our own claim whose answer was lost.
        Some(State::Held { by: holder, .. }) if holder == by => (ClaimReply::Claimed, None),
        Some(State::Held { by: holder, .. }) => (ClaimReply::Taken(holder.clone()), None),
        Some(State::Done { response, .. }) => (ClaimReply::Done(response.clone()), None),
    }
}

/// The reply to a change that finds its claim settled already.
fn settled(state: Option<&State>, by: &Claimant) -> ClaimReply {
    match state {
        Some(State::Done { by: holder, response, .. }) if holder != by => {
            ClaimReply::Done(response.clone())
        }
        Some(State::Held { by: holder, .. }) => ClaimReply::Taken(holder.clone()),
        _ => ClaimReply::Recorded,
    }
}
