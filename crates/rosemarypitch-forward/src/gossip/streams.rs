//! Versions of streams that other hosts know, for take-ups at a host that knows them neither itself
//! nor from the store.
//!
//! The hosts of a row tell each other which streams they begin; [`crate::begun`] decides which of them
//! each host is sent. Those of other rows are asked.
//!
//! The version of a stream never changes, and a host that is asked reads the store after that, so
//! an answer is as good as one of the store itself.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::SliceRandom;
use rosemarypitch_peer::{PeerClient, PeerReply, PeerRequest, PeerTransport};
use tokio::task::JoinSet;
use tokio::time::{self, Instant};

use super::{EXCHANGE_TIMEOUT, Gossip, lock};
use crate::router::StreamQuery;
use crate::takeup;

/// Time after which hosts that lack streams are told of them again.
const RETELL_INTERVAL: Duration = Duration::from_secs(1);
/// Most hosts that are asked to read the store for a take-up, one after another.
const MAX_READERS: usize = 3;
/// Timeout for reading the store for another host; leaves time for the reply to arrive.
const READ_TIMEOUT: Duration = Duration::from_millis(250);

impl Gossip {
    /// Tells the row which streams begin here, until the process ends.
    pub(super) async fn tell_streams(self: Arc<Self>, peers: Arc<PeerClient>) {
        loop {
            // After a timeout, hosts are told that have joined or missed a message.
            let _ = time::timeout(RETELL_INTERVAL, self.router.streams_begun()).await;
            let (interval, hosts) = {
                let table = self.lock();
                let hosts = table.reachable_in_row(Instant::now()).into_iter();
                let hosts = hosts.map(|(host, address)| {
                    let incarnation = table.incarnation(&host);
                    (host, address, incarnation)
                });
                (table.interval(), hosts.collect::<Vec<_>>())
            };
            {
                let mut begun = lock(&self.begun);
                begun.add(Instant::now(), self.router.take_untold_streams());
                begun.retain_hosts(|known| hosts.iter().any(|(host, ..)| **host == *known));
            }
            for (host, address, incarnation) in hosts {
                let Some(batch) = lock(&self.begun).batch(&host, incarnation) else { continue };
                let (gossip, peers) = (self.clone(), peers.clone());
                tokio::spawn(async move {
                    let message = PeerRequest::Streams(batch.streams.clone());
                    match peers.call(address, &message, EXCHANGE_TIMEOUT).await {
                        Ok(PeerReply::Done) => lock(&gossip.begun).acknowledge(&host, &batch),
                        Ok(_) => log::info!("peers: streams not taken by host={host}"),
                        Err(error) => log::info!("peers: streams not told: {error}"),
                    }
                });
            }
            // Streams that begin meanwhile are told together.
            time::sleep(interval).await;
        }
    }

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
        let StreamQuery { service, first, read, reply } = query;
        let message = |read| {
            let (service, first) = (service.clone(), first.clone());
            PeerRequest::StreamVersion { service, first, read }
        };
        let now = Instant::now();
        let (mut readers, partners) = {
            let table = self.lock();
            (table.reachable(now), table.partners(now))
        };
        readers.shuffle(&mut rand::rng());
        readers.truncate(if read { MAX_READERS } else { 0 });
        let mut found = None;
        for (host, address) in readers {
            found = ask(&peers, &host, address, &message(true)).await;
            if found.is_some() {
                break;
            }
        }
        if found.is_none() {
            // This host knows the streams of its own row.
            let mut answers = JoinSet::new();
            for (host, address) in partners {
                let (peers, message) = (peers.clone(), message(false));
                answers.spawn(async move { ask(&peers, &host, address, &message).await });
            }
            while let Some(answer) = answers.join_next().await {
                match answer {
                    Ok(Some(version)) => {
                        found = Some(version);
                        break;
                    }
                    Ok(None) => {}
                    Err(error) => log::error!("peers: a question to another row failed: {error}"),
                }
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
        read: bool,
    ) -> Option<Arc<str>> {
        if let Some(version) = first.and_then(|first| self.router.known_stream(first)) {
            return Some(version);
        }
        if !read || self.router.is_store_lost() {
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

/// Asks a host which version began a stream; none if it cannot tell.
async fn ask(
    peers: &PeerClient,
    host: &str,
    address: SocketAddr,
    message: &PeerRequest,
) -> Option<Arc<str>> {
    match peers.call(address, message, EXCHANGE_TIMEOUT).await {
        Ok(PeerReply::StreamVersion(version)) => version,
        Ok(_) => {
            log::info!("peers: version of a stream not told by host={host}");
            None
        }
        Err(error) => {
            log::info!("peers: host={host} not asked for a version: {error}");
            None
        }
    }
}
