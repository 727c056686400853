//! Passes on to the row which upstreams have said in a response that they leave.
//!
//! The store usually says so too. A host that is cut off from it learns it from its neighbours
//! before it gets such a response itself. A host that has learned it from a neighbour does not
//! pass it on.

use std::sync::Arc;

use rosemarypitch_peer::{PeerClient, PeerReply, PeerRequest, PeerTransport};
use tokio::time::Instant;

use super::{EXCHANGE_TIMEOUT, Gossip};

/// Largest number of upstreams in a message; the others are found out by each host itself.
const MAX_DEPARTURES: usize = 64;

impl Gossip {
    /// Tells the row of each upstream that has said to this host that it leaves.
    pub(super) async fn share_departures(self: Arc<Self>, peers: Arc<PeerClient>) {
        loop {
            let mut departures = self.router.next_departures().await;
            departures.truncate(MAX_DEPARTURES);
            let reachable = self.lock().reachable_in_row(Instant::now());
            for (host, address) in reachable {
                let (peers, message) = (peers.clone(), PeerRequest::Departures(departures.clone()));
                tokio::spawn(async move {
                    match peers.call(address, &message, EXCHANGE_TIMEOUT).await {
                        Ok(PeerReply::Done) => {}
                        Ok(_) => log::info!("peers: departures not taken by host={host}"),
                        Err(error) => log::info!("peers: departures not sent: {error}"),
                    }
                });
            }
        }
    }

    /// Stops to use upstreams that have told a neighbour that they leave.
    pub(super) fn receive_departures(&self, from: &Arc<str>, departures: &[(Arc<str>, u64)]) {
        let now = Instant::now();
        for (id, incarnation) in departures.iter().take(MAX_DEPARTURES) {
            self.router.mark_leaving(now, id, *incarnation, from);
        }
    }
}
