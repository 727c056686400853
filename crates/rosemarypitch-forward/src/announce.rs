//! This host's entry in the store, and the secret shared by all hosts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::deployment::DirectoryError;
use crate::router::Router;

/// TTL of a host's entry after its last renewal. Longer than partitions usually last, so that
/// a partitioned host still counts, and keeps the share of the limits that it goes on using.
pub const ENTRY_TTL: Duration = Duration::from_secs(15);
/// Time between renewals of the entry; three in a row may fail.
const RENEW_INTERVAL: Duration = Duration::from_secs(4);
/// Delay after a failed call to the store.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Length of the secret that a host proposes, in random 64-bit words.
const SECRET_WORDS: usize = 4;

/// A host's entry in the store, as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Address for connections of other hosts.
    pub address: SocketAddr,
    /// Its data centre.
    pub zone: Arc<str>,
}

/// Keeps this host's entry in the store until the process ends.
pub async fn announce(router: Arc<Router>) {
    let mut lease = None;
    let mut era = 0;
    let mut failed = false;
    loop {
        if router.is_store_lost() {
            // The control thread detects when the store is back.
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        }
        let current = router.store_position().position.era;
        let restored = std::mem::replace(&mut era, current) != current;
        // A restored store may have the lease without the entry.
        if restored || router.take_entry_lost() {
            lease = None;
        }
        let delay = match renew(&router, lease).await {
            Ok(renewed) => {
                if std::mem::take(&mut failed) {
                    log::info!("peers: entry renewed again lease={renewed}");
                }
                lease = Some(renewed);
                RENEW_INTERVAL
            }
            Err(error) => {
                if !std::mem::replace(&mut failed, true) {
                    log::info!("peers: entry not renewed: {error}");
                }
                RETRY_DELAY
            }
        };
        let delay = delay.mul_f64(rand::random_range(0.8..1.0));
        tokio::select! {
            () = router.left_era(era) => {}
            () = router.entry_lost() => {}
            () = tokio::time::sleep(delay) => {}
        }
    }
}

async fn renew(router: &Router, lease: Option<u64>) -> Result<u64, DirectoryError> {
    let directory = &router.directory;
    if let Some(lease) = lease
        && directory.renew_lease(lease).await?
    {
        return Ok(lease);
    }
    let lease = directory.grant_lease(ENTRY_TTL).await?;
    let entry = HostEntry { address: router.settings.peers, zone: router.settings.zone.clone() };
    let entry = Bytes::from(serde_json::json!(entry).to_string());
    directory.announce(&router.settings.host, entry, lease).await?;
    log::info!("peers: entry written lease={lease}");
    Ok(lease)
}

/// Generates a secret for the hosts to share, in hexadecimal.
pub fn new_secret() -> String {
    let words = std::iter::repeat_with(rand::random::<u64>).take(SECRET_WORDS);
    words.map(|word| format!("{word:016x}")).collect()
}
