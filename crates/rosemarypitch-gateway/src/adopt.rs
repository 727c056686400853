//! Tells new owners of pools which attempts they took over.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use rosemarypitch_limit::HostId;
use rosemarypitch_peer::{Ask, Link, Note, PoolKey};
use tokio::sync::watch;

use crate::pools::Pools;
use crate::running_attempts::RunningAttempts;
use crate::view::View;

/// Longest wait for a peer to take note.
const NOTE_TIME: Duration = Duration::from_secs(1);

/// Watches who is there and tells each pool's new owner of this host's attempts.
pub async fn run(
    mut view: watch::Receiver<Arc<View>>,
    running: Arc<RunningAttempts>,
    pools: Pools,
    link: Arc<dyn Link>,
) {
    let mut owners: HashMap<PoolKey, HostId> = HashMap::new();
    while view.changed().await.is_ok() {
        let present = view.borrow_and_update().clone();
        let mut notes: HashMap<PoolKey, Vec<Note>> = HashMap::new();
        for (attempt, place) in running.placed() {
            if let Some(decode) = place.decode {
                notes.entry(place.pool).or_default().push(Note::Adopt(attempt, decode));
            }
        }
        for (key, notes) in notes {
            let Some(owner) = present.owner_near(&key.text()) else { continue };
            let before = owners.insert(key.clone(), owner.id.clone());
            if before.as_ref() == Some(&owner.id) {
                continue;
            }
            if present.is_own(owner) {
                pools.apply_notes(key, notes).await;
            } else if let Err(error) = link
                .call_idempotent(owner.address, &Ask::Notes(key.clone(), notes), NOTE_TIME)
                .await
            {
                log::warn!("pools: {error}");
                owners.remove(&key);
            }
        }
    }
}
