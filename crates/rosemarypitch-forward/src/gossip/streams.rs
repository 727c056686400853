//! Versions of streams that other hosts know, for take-ups at a host that cannot read the store.
//!
//! The version of a stream never changes, and a host that is asked reads the store after that, so
//! an answer is as good as one of the store itself.

use std::sync::Arc;
use std::time::Duration;

use rand::seq::SliceRandom;
use rosemarypitch_peer::{PeerClient, PeerReply, PeerRequest, PeerTransport};
use tokio::time::{self, Instant};

use super::{EXCHANGE_TIMEOUT, Gossip};
use crate::router::StreamQuery;
use crate::takeup;

/// Most hosts that are asked to read the store for a take-up, one after another.
const MAX_READERS: usize = 3;
/// Timeout for reading the store for another host; leaves time for the reply to arrive.
const READ_TIMEOUT: Duration = Duration::from_millis(250);

impl Gossip {
    /// Asks other hosts about streams until the process ends.
    pub(super) async fn answer_queries(self: Arc<Self>, peers: Arc<PeerClient>) {
        let Some(mut queries) = self.router.take_queries() else {
            return log::error!("peers: questions about streams are taken twice");
        };
        while let Some(query) = queries.recv().await {
            tokio::spawn(self.clone().ask_version(peers.clone(), query));
        }
    }

    async fn ask_version(self: Arc<Self>, peers: Arc<PeerClient>, query: StreamQuery) {
        let StreamQuery { service, first, reply } = query;
        let mut readers = self.lock().reachable(Instant::now());
        readers.shuffle(&mut rand::rng());
        let message = PeerRequest::StreamVersion { service, first };
        let mut found = None;
        for (host, address) in readers.into_iter().take(MAX_READERS) {
            found = match peers.call(address, &message, EXCHANGE_TIMEOUT).await {
                Ok(PeerReply::StreamVersion(version)) => version,
                Ok(_) => {
                    log::info!("peers: version of a stream not told by host={host}");
                    None
                }
                Err(error) => {
                    log::info!("peers: host={host} not asked for a version: {error}");
                    None
                }
            };
            if found.is_some() {
                break;
            }
        }
        // The receiver is gone if the caller has left.
        let _ = reply.send(found);
    }

    /// Version that began a stream, for another host; none if this host cannot tell.
    pub(super) async fn stream_version(
        &self,
        service: &str,
        first: Option<&Arc<str>>,
    ) -> Option<Arc<str>> {
        if let Some(version) = first.and_then(|first| self.router.own_stream(first)) {
            return Some(version);
        }
        if self.router.is_store_lost() {
            return None;
        }
        let stored = takeup::stored_version(&self.router, service, first);
        let reason = match time::timeout(READ_TIMEOUT, stored).await {
            Ok(Ok(version)) => return version,
            Ok(Err(error)) => error.to_string(),
            Err(_) => "late".to_owned(),
        };
        log::info!("peers: version not read for another host: {reason}");
        None
    }
}
