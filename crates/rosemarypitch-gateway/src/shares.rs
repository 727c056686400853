//! Claims and renews this host's limit shares in the platform.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rosemarypitch_limit::{HostId, OwnershipStep, ShareOwnership, ShareRecord};
use rosemarypitch_store::{Store, StoreError, Swap};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::keeper::ConfigState;
use crate::limits::Limits;
use crate::membership::Membership;
use crate::metrics::Metrics;
use crate::view::View;

/// Longest time between looks at the record.
const LOOK: Duration = Duration::from_secs(10);
/// Time between looks while shares are free or the platform does not answer.
const SHORT_LOOK: Duration = Duration::from_secs(1);

/// What the task works with.
pub struct SharesParts {
    /// This host run.
    pub id: HostId,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// How long a share is held without the platform.
    pub tenure: Duration,
    /// The platform.
    pub store: Arc<dyn Store>,
    /// The limit actor, which lends the shares.
    pub limits: Limits,
    /// Membership, which tells peers of the shares.
    pub membership: Membership,
    /// Configuration in force.
    pub config: watch::Receiver<ConfigState>,
    /// Who is there.
    pub view: watch::Receiver<Arc<View>>,
    /// Turns true when the host is to give its shares up.
    pub leave: watch::Receiver<bool>,
    /// Metrics.
    pub metrics: Arc<Metrics>,
}

/// Owns shares until the host leaves; returns when they are given up.
pub async fn run(mut parts: SharesParts) {
    let mut tenure = ShareOwnership::new(parts.id.clone(), parts.tenure);
    let mut writes = 0;
    let mut since = None;
    loop {
        let leaving = *parts.leave.borrow();
        if leaving {
            tenure.leave();
        }
        let result = look(&parts, &mut tenure, &mut writes).await;
        if let Err(error) = &result {
            log::warn!("shares: {error}");
        }
        if leaving {
            return;
        }
        publish(&parts, &tenure, &mut since).await;
        let pause = match result {
            Ok(true) => LOOK.min(tenure.renewal_interval()),
            _ => SHORT_LOOK,
        };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            changed = parts.leave.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            changed = parts.config.changed(), if tenure.owned().is_none() => {
                if changed.is_err() {
                    return;
                }
            }
        }
    }
}

/// Reads the record and writes what follows; true when nothing is left to do.
async fn look(
    parts: &SharesParts,
    tenure: &mut ShareOwnership,
    writes: &mut u64,
) -> Result<bool, StoreError> {
    let key = format!("shares/{}", parts.data_centre);
    let entry = parts.store.read(&key).await?;
    let record = entry.as_ref().map(|entry| serde_json::from_slice::<ShareRecord>(&entry.value));
    let record = match record.transpose() {
        Ok(record) => record.unwrap_or_default(),
        Err(error) => {
            log::error!("shares: {key} cannot be read: {error}");
            return Ok(false);
        }
    };
    let document = parts.config.borrow().snapshot.document.clone();
    let Some(shares) = document.shares.get(&parts.data_centre).copied() else { return Ok(false) };
    let hosts = parts.view.borrow().in_data_centre(&parts.data_centre) as u32;
    let begun = Instant::now();
    let OwnershipStep::Write(new) = tenure.step(begun, &record, shares, hosts) else {
        return Ok(record.owners.iter().all(Option::is_some));
    };
    *writes += 1;
    let writer = format!("{}/shares/{writes}", parts.id);
    let value = serde_json::to_vec(&new).map(Bytes::from).unwrap_or_default();
    let expected = entry.map_or(0, |entry| entry.version);
    match parts.store.swap(&key, expected, &writer, value).await? {
        Swap::Stored(_) => {
            tenure.confirm_write(begun, &new);
            Ok(new.owners.iter().all(Option::is_some))
        }
        Swap::Conflict(_) => Ok(false),
    }
}

async fn publish(parts: &SharesParts, tenure: &ShareOwnership, since: &mut Option<(u32, Instant)>) {
    let Some((owned, until)) = tenure.owned() else { return };
    let now = Instant::now();
    let wait = if tenure.is_inherited() { Limits::quarantine() } else { Duration::ZERO };
    let start = match since {
        Some((before, start)) if *before > 0 => *start,
        _ => now + wait,
    };
    *since = Some((owned, start));
    parts.limits.set_owned(owned, start, until).await;
    let lasting = if now < until { owned } else { 0 };
    parts.metrics.shares.set(i64::from(lasting));
    parts.membership.set_shares(lasting).await;
}
