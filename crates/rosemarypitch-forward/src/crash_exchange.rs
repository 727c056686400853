//! Selection of the crash records that a host sends to each of its peers.
//!
//! A host tells every peer that it reaches of the records that this peer is not known to have.
//! It has those that it has acknowledged and those that it has told of itself; a host that
//! restarts has none. So each pair of peers has about one exchange for a record, exchanges that
//! fail are repeated, and a host that joins learns what the others know. Nothing is sent while
//! there are no records, and records that expire cause no exchange.
//!
//! A record that was made at this host, or came from another row, is sent at once, and reaches
//! all hosts in two exchanges: from its host to the row and the partners, and from each partner
//! to its own row. The other hosts offer only its identifier, and send it to a peer that asks
//! for it because one of these exchanges failed or it was not running then.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::quarantine::CrashRecord;

/// Time between rounds in which records are sent to the peers that lack them.
pub const ROUND_INTERVAL: Duration = Duration::from_millis(400);
/// Shortest time between two rounds, in which the records of simultaneous crashes are batched.
pub const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// Largest number of records in a message.
pub const MAX_BATCH: usize = 32;
/// Largest number of records that a message offers.
pub const MAX_OFFERS: usize = 128;
/// Largest number of peers to which a round only offers records. All hosts of a row offer a
/// record in the same rounds, so a peer that lacks it is soon offered it by one of them.
pub const MAX_ROUND_OFFERS: usize = 4;
/// Largest size of a record; a batch stays well below the largest message of a peer.
const MAX_RECORD_BYTES: usize = 16 << 10;
/// Delay of the next exchange with a peer after one that failed; it doubles each time.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Longest such delay. Peers of an earlier release fail each exchange until they are replaced.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(8);

/// Which records each peer has.
#[derive(Debug, Default)]
pub struct CrashExchange {
    peers: HashMap<Arc<str>, Peer>,
    /// Records that another host of the row sends to its hosts and to its partners.
    relayed: HashSet<u64>,
}

#[derive(Debug, Default)]
struct Peer {
    incarnation: u64,
    /// Identifiers of the records that it has.
    known: HashSet<u64>,
    /// Offered records that it has asked for.
    wanted: HashSet<u64>,
    in_progress: bool,
    /// Whether more records are waiting for the end of the exchange in progress.
    more: bool,
    /// Exchanges that have failed since the last one that did not.
    failures: u32,
    retry_at: Option<Instant>,
}

/// Records for a peer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// The records.
    pub records: Vec<CrashRecord>,
    /// Identifiers of more records, to be sent if the peer asks for them.
    pub offers: Vec<u64>,
}

/// An exchange in progress.
#[derive(Debug)]
pub struct Exchange {
    /// What is sent to the peer.
    pub batch: Batch,
    /// Run of the peer that it is sent to.
    incarnation: u64,
}

impl CrashExchange {
    /// Records the run in which a peer is; a new run has no records.
    pub fn observe(&mut self, peer: &Arc<str>, incarnation: u64) {
        let state = self.peers.entry(peer.clone()).or_default();
        if state.incarnation != incarnation {
            *state = Peer { incarnation, in_progress: state.in_progress, ..Peer::default() };
        }
    }

    /// Forgets a peer.
    pub fn remove(&mut self, peer: &str) {
        self.peers.remove(peer);
    }

    /// Records that a peer has these records.
    pub fn add_known(&mut self, peer: &Arc<str>, ids: impl IntoIterator<Item = u64>) {
        self.peers.entry(peer.clone()).or_default().known.extend(ids);
    }

    /// Records that another host of the row spreads these records.
    pub fn add_relayed(&mut self, ids: impl IntoIterator<Item = u64>) {
        self.relayed.extend(ids);
    }

    /// Forgets the records that are not among `held`, all those of this host.
    pub fn retain(&mut self, held: &[CrashRecord]) {
        let held: HashSet<u64> = held.iter().map(|record| record.id).collect();
        self.relayed.retain(|id| held.contains(id));
        for peer in self.peers.values_mut() {
            peer.known.retain(|id| held.contains(id));
            peer.wanted.retain(|id| held.contains(id));
        }
    }

    /// Starts exchanges with those of `peers` that lack any of `records`, all those of this
    /// host. The order of the peers, which should be random, decides which of them are offered
    /// records first.
    pub fn start_round(
        &mut self,
        now: Instant,
        peers: Vec<(Arc<str>, SocketAddr)>,
        records: &[CrashRecord],
    ) -> Vec<(Arc<str>, SocketAddr, Exchange)> {
        self.retain(records);
        let mut offers = 0;
        let mut exchanges = Vec::new();
        for (peer, address) in peers {
            let may_offer = offers < MAX_ROUND_OFFERS;
            if let Some(exchange) = self.start(now, &peer, records, may_offer) {
                offers += usize::from(exchange.batch.records.is_empty());
                exchanges.push((peer, address, exchange));
            }
        }
        exchanges
    }

    /// Starts an exchange with a peer if it lacks any of `records` and none is in progress or
    /// has just failed. One that would only offer records starts if `may_offer`.
    pub fn start(
        &mut self,
        now: Instant,
        peer: &Arc<str>,
        records: &[CrashRecord],
        may_offer: bool,
    ) -> Option<Exchange> {
        let state = self.peers.entry(peer.clone()).or_default();
        let missing = || {
            records.iter().filter(|record| !state.known.contains(&record.id) && is_valid(record))
        };
        let count = missing().count();
        if count == 0 || state.retry_at.is_some_and(|at| now < at) {
            return None;
        }
        if state.in_progress {
            state.more = true;
            return None;
        }
        let is_offer = |record: &&CrashRecord| {
            self.relayed.contains(&record.id) && !state.wanted.contains(&record.id)
        };
        let records = missing().filter(|record| !is_offer(record)).take(MAX_BATCH).cloned();
        let offers = missing().filter(is_offer).take(MAX_OFFERS).map(|record| record.id);
        let batch = Batch { records: records.collect(), offers: offers.collect() };
        if batch.records.is_empty() && !may_offer {
            return None;
        }
        state.in_progress = true;
        state.more = count > batch.records.len() + batch.offers.len();
        Some(Exchange { batch, incarnation: state.incarnation })
    }

    /// Ends an exchange, in which the peer has asked for the records `wanted`; none if the
    /// exchange failed. True if another one is to be started at once.
    pub fn finish(
        &mut self,
        now: Instant,
        peer: &Arc<str>,
        exchange: &Exchange,
        wanted: Option<Vec<u64>>,
    ) -> bool {
        let Some(state) = self.peers.get_mut(peer) else { return false };
        state.in_progress = false;
        // The peer has restarted; which of its runs received the records is unknown.
        if state.incarnation != exchange.incarnation {
            return true;
        }
        let Some(wanted) = wanted else {
            let delay = RETRY_DELAY.saturating_mul(1 << state.failures.min(16));
            state.retry_at = Some(now + delay.min(MAX_RETRY_DELAY));
            state.failures += 1;
            return false;
        };
        state.failures = 0;
        state.retry_at = None;
        let Batch { records, offers } = &exchange.batch;
        let (missing, held): (Vec<u64>, Vec<u64>) =
            offers.iter().partition(|id| wanted.contains(id));
        state.known.extend(records.iter().map(|record| record.id).chain(held));
        state.more |= !missing.is_empty();
        state.wanted.extend(missing);
        std::mem::take(&mut state.more)
    }
}

impl Batch {
    /// Decodes a batch from a peer; also returns how many records and offers are dropped,
    /// because they are invalid or too many.
    pub fn decode(bytes: &[u8]) -> Result<(Self, usize), String> {
        let mut batch: Self = rosemarypitch_peer::decode(bytes)?;
        let count = batch.records.len() + batch.offers.len();
        batch.records.truncate(MAX_BATCH);
        batch.records.retain(is_valid);
        batch.offers.truncate(MAX_OFFERS);
        let dropped = count - batch.records.len() - batch.offers.len();
        Ok((batch, dropped))
    }

    /// Identifiers of the records that the sender of the batch has.
    pub fn ids(&self) -> impl Iterator<Item = u64> {
        self.records.iter().map(|record| record.id).chain(self.offers.iter().copied())
    }

    /// The offered records that are not among `held`.
    pub fn wanted(&self, held: &[CrashRecord]) -> Vec<u64> {
        let is_held = |id: &u64| held.iter().any(|record| record.id == *id);
        self.offers.iter().copied().filter(|id| !is_held(id)).collect()
    }
}

/// Whether hosts accept a record from each other.
pub fn is_valid(record: &CrashRecord) -> bool {
    let parts = record.parts.iter().map(|part| part.len() + 1);
    record.engine.len() + parts.sum::<usize>() <= MAX_RECORD_BYTES && !record.parts.is_empty()
}
