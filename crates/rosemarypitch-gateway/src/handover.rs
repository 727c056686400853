//! Hands placed attempts over to the new owner of a pool.
//!
//! When a pool's owner changes, each host reports its own placed attempts to the new owner,
//! which then counts their decode slots.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use rosemarypitch_limit::HostId;
use rosemarypitch_peer::{PeerRequest, PeerTransport, PoolEvent, PoolKey};
use tokio::sync::watch;

use crate::pools::Pools;
use crate::running_attempts::RunningAttempts;
use crate::view::View;

/// Timeout for reporting events to a pool's owner.
const NOTIFY_TIMEOUT: Duration = Duration::from_secs(1);

/// Watches the membership view and reports this host's placed attempts to new pool owners.
///
/// Returns when the view's sender is dropped.
pub async fn run(
    mut view: watch::Receiver<Arc<View>>,
    running: Arc<RunningAttempts>,
    pools: Pools,
    transport: Arc<dyn PeerTransport>,
) {
    let mut owners: HashMap<PoolKey, HostId> = HashMap::new();
    while view.changed().await.is_ok() {
        let current = view.borrow_and_update().clone();
        let mut events: HashMap<PoolKey, Vec<PoolEvent>> = HashMap::new();
        for (attempt, entry) in running.placed() {
            if let Some(decode) = entry.decode {
                events.entry(entry.pool).or_default().push(PoolEvent::Adopt(attempt, decode));
            }
        }
        for (key, events) in events {
            let Some(owner) = current.region_owner(&key.text()) else { continue };
            let previous = owners.insert(key.clone(), owner.id.clone());
            if previous.as_ref() == Some(&owner.id) {
                continue;
            }
            if current.is_own(owner) {
                pools.apply_pool_events(key, events).await;
            } else if let Err(error) = transport
                .call_idempotent(
                    owner.address,
                    &PeerRequest::PoolEvents(key.clone(), events),
                    NOTIFY_TIMEOUT,
                )
                .await
            {
                log::warn!("pools: {error}");
                owners.remove(&key);
            }
        }
    }
}
