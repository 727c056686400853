//! Claims and renews this host's limit shares in the platform's store.
//!
//! The store holds one record per data centre that assigns each share to a host instance.
//! Hosts update it by compare-and-swap.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rosemarypitch_limit::{HostId, OwnershipStep, ShareOwnership, ShareRecord};
use rosemarypitch_store::{Store, StoreError, SwapOutcome};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::config_sync::ConfigState;
use crate::limits::Limits;
use crate::membership::Membership;
use crate::metrics::Metrics;
use crate::view::View;

/// Maximum interval between checks of the share record.
const CHECK_INTERVAL: Duration = Duration::from_secs(10);
/// Interval between checks while shares are unassigned or the store is unavailable.
const SHORT_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Dependencies of the share task.
pub struct SharesDeps {
    /// This host instance.
    pub id: HostId,
    /// This host's data centre.
    pub data_centre: Arc<str>,
    /// How long a share stays owned after its last renewal in the store.
    pub tenure: Duration,
    /// The platform's store.
    pub store: Arc<dyn Store>,
    /// The limit actor, which lends the shares.
    pub limits: Limits,
    /// Membership, which announces the shares to peers.
    pub membership: Membership,
    /// Active configuration.
    pub config: watch::Receiver<ConfigState>,
    /// Current membership view.
    pub view: watch::Receiver<Arc<View>>,
    /// Turns true when the host must release its shares.
    pub leave: watch::Receiver<bool>,
    /// Metrics of this process.
    pub metrics: Arc<Metrics>,
}

/// Claims and renews shares until the host leaves; returns after their release.
///
/// If the store fails at that point, the shares are left to expire.
pub async fn run(mut deps: SharesDeps) {
    let mut ownership = ShareOwnership::new(deps.id.clone(), deps.tenure);
    let mut write_count = 0;
    let mut since = None;
    loop {
        let leaving = *deps.leave.borrow();
        if leaving {
            ownership.leave();
        }
        let result = update_record(&deps, &mut ownership, &mut write_count).await;
        if let Err(error) = &result {
            log::warn!("shares: {error}");
        }
        if leaving {
            return;
        }
        publish(&deps, &ownership, &mut since).await;
        let interval = match result {
            Ok(true) => CHECK_INTERVAL.min(ownership.renewal_interval()),
            _ => SHORT_CHECK_INTERVAL,
        };
        tokio::select! {
            () = tokio::time::sleep(interval) => {}
            changed = deps.leave.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            changed = deps.config.changed(), if ownership.owned().is_none() => {
                if changed.is_err() {
                    return;
                }
            }
        }
    }
}

/// Reads the record and writes this host's next change to it, if any.
///
/// Returns whether all shares are assigned. Errors are those of the store.
async fn update_record(
    deps: &SharesDeps,
    ownership: &mut ShareOwnership,
    write_count: &mut u64,
) -> Result<bool, StoreError> {
    let key = format!("shares/{}", deps.data_centre);
    let entry = deps.store.read(&key).await?;
    let record = entry.as_ref().map(|entry| serde_json::from_slice::<ShareRecord>(&entry.value));
    let record = match record.transpose() {
        Ok(record) => record.unwrap_or_default(),
        Err(error) => {
            log::error!("shares: cannot parse {key}: {error}");
            return Ok(false);
        }
    };
    let document = deps.config.borrow().snapshot.document.clone();
    let Some(shares) = document.shares.get(&deps.data_centre).copied() else { return Ok(false) };
    let hosts = deps.view.borrow().count_in_data_centre(&deps.data_centre) as u32;
    let started = Instant::now();
    let OwnershipStep::Write(new) = ownership.step(started, &record, shares, hosts) else {
        return Ok(record.owners.iter().all(Option::is_some));
    };
    *write_count += 1;
    let writer = format!("{}/shares/{write_count}", deps.id);
    let value = serde_json::to_vec(&new).map(Bytes::from).unwrap_or_default();
    let expected = entry.map_or(0, |entry| entry.version);
    match deps.store.compare_and_swap(&key, expected, &writer, value).await? {
        SwapOutcome::Stored(_) => {
            ownership.confirm_write(started, &new);
            Ok(new.owners.iter().all(Option::is_some))
        }
        SwapOutcome::Conflict(_) => Ok(false),
    }
}

/// Passes the owned shares on to the limit actor, the metrics and the peers.
///
/// Inherited shares are lent only after a quarantine. `since` holds the last count and start.
async fn publish(
    deps: &SharesDeps,
    ownership: &ShareOwnership,
    since: &mut Option<(u32, Instant)>,
) {
    let Some((owned, until)) = ownership.owned() else { return };
    let now = Instant::now();
    let quarantine = if ownership.is_inherited() { Limits::quarantine() } else { Duration::ZERO };
    let start = match since {
        Some((previous, start)) if *previous > 0 => *start,
        _ => now + quarantine,
    };
    *since = Some((owned, start));
    deps.limits.set_owned(owned, start, until).await;
    let current = if now < until { owned } else { 0 };
    deps.metrics.shares.set(i64::from(current));
    deps.membership.set_shares(current).await;
}
