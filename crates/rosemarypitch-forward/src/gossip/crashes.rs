//! Exchanges of crash records with the other hosts; [`crate::crash_exchange`] decides which
//! records a host is sent.

use std::net::SocketAddr;
use std::sync::Arc;

use rand::seq::SliceRandom;
use rosemarypitch_limit::HostId;
use rosemarypitch_peer::{PeerClient, PeerReply, PeerRequest, PeerTransport};
use tokio::time::{self, Instant};

use super::{EXCHANGE_TIMEOUT, Gossip, lock};
use crate::crash_exchange::{Batch, MIN_ROUND_INTERVAL, ROUND_INTERVAL};

impl Gossip {
    /// Sends records of crashes to the hosts that lack them.
    pub(super) async fn share_crashes(self: Arc<Self>, peers: Arc<PeerClient>) {
        loop {
            let interval = ROUND_INTERVAL.mul_f64(rand::random_range(0.8..1.0));
            // After a timeout, the round serves hosts that have joined or missed an exchange.
            let _ = time::timeout(interval, self.router.crashes_changed()).await;
            self.send_crashes(&peers, Instant::now());
            time::sleep(MIN_ROUND_INTERVAL).await;
        }
    }

    /// Starts exchanges with all reachable hosts that lack records of this one.
    fn send_crashes(self: &Arc<Self>, peers: &Arc<PeerClient>, now: Instant) {
        let records = self.router.with_quarantine(|quarantine| quarantine.records(now));
        let mut reachable = match records.is_empty() {
            true => Vec::new(),
            false => self.lock().reachable(now),
        };
        reachable.shuffle(&mut rand::rng());
        let exchanges = lock(&self.crashes).start_round(now, reachable, &records);
        for (host, address, exchange) in exchanges {
            let (gossip, peers) = (self.clone(), peers.clone());
            tokio::spawn(async move {
                let wanted = send_batch(&peers, &host, address, &exchange.batch).await;
                let now = Instant::now();
                let more = lock(&gossip.crashes).finish(now, &host, &exchange, wanted);
                if more {
                    gossip.router.notify_crashes();
                }
            });
        }
    }

    /// Adds records that another host has sent; returns those that it offered and this host
    /// lacks.
    pub(super) fn receive_crashes(&self, from: &HostId, bytes: &[u8]) -> Vec<u64> {
        let host = &from.host;
        let (batch, dropped) = match Batch::decode(bytes) {
            Ok(decoded) => decoded,
            Err(error) => {
                log::warn!("quarantine: records from host={host} cannot be decoded: {error}");
                return Vec::new();
            }
        };
        if dropped > 0 {
            log::warn!("quarantine: invalid records dropped={dropped} host={host}");
        }
        let now = Instant::now();
        let (learned, wanted) = self.router.with_quarantine(|quarantine| {
            let records = batch.records.iter();
            let learned: Vec<u64> = records
                .filter(|record| quarantine.add(now, (*record).clone()))
                .map(|record| record.id)
                .collect();
            let wanted = batch.wanted(&quarantine.records(now));
            (learned, wanted)
        });
        let in_own_row = self.lock().layout().in_own_row(host);
        let count = learned.len();
        let mut crashes = lock(&self.crashes);
        crashes.observe(host, from.incarnation);
        crashes.add_known(host, batch.ids());
        if in_own_row {
            crashes.add_relayed(learned);
        }
        drop(crashes);
        if count > 0 {
            log::info!("quarantine: records learned count={count} host={host}");
        }
        if count > 0 && !in_own_row {
            self.router.notify_crashes();
        }
        wanted
    }
}

/// Sends records to a host; returns those that it asks for, or none if the exchange failed.
async fn send_batch(
    peers: &PeerClient,
    host: &Arc<str>,
    address: SocketAddr,
    batch: &Batch,
) -> Option<Vec<u64>> {
    let (count, offers) = (batch.records.len(), batch.offers.len());
    let message = match rosemarypitch_peer::encode(batch) {
        Ok(bytes) => PeerRequest::Crashes(bytes),
        Err(error) => {
            log::error!("quarantine: records cannot be encoded: {error}");
            return None;
        }
    };
    let reason = match peers.call(address, &message, EXCHANGE_TIMEOUT).await {
        Ok(PeerReply::Crashes(wanted)) => return Some(wanted),
        Ok(_) => "unexpected reply".to_owned(),
        Err(error) => error.to_string(),
    };
    log::info!("quarantine: records not sent count={count} offers={offers} host={host}: {reason}");
    None
}
