//! Selection of the crash records that a host sends to a peer.

use std::sync::Arc;
use std::time::Duration;

use rosemarypitch_forward::crash_exchange::{
    Batch, CrashExchange, MAX_BATCH, MAX_OFFERS, MAX_ROUND_OFFERS,
};
use rosemarypitch_forward::quarantine::CrashRecord;
use tokio::time::Instant;

fn record(id: u64) -> CrashRecord {
    let parts = ["9f86d081884c7d65", "60303ae22b998861", "fd61a03af4f77d87"].map(Arc::from);
    let engine = Arc::from("i-d7f7e75727");
    CrashRecord { id, engine, incarnation: 1, parts: parts.to_vec(), age_ms: 0 }
}

fn peer() -> Arc<str> {
    Arc::from("edge-1")
}

fn after(start: Instant, millis: u64) -> Instant {
    start + Duration::from_millis(millis)
}

#[test]
fn a_delivered_record_is_not_sent_again_and_expiry_sends_nothing() {
    let (now, peer, records) = (Instant::now(), peer(), [record(1), record(2)]);
    let mut crashes = CrashExchange::default();
    crashes.observe(&peer, 7);
    assert!(crashes.start(now, &peer, &[], true).is_none());
    let exchange = crashes.start(now, &peer, &records, true).expect("an exchange");
    assert_eq!(exchange.batch, Batch { records: records.to_vec(), offers: Vec::new() });
    assert!(!crashes.finish(now, &peer, &exchange, Some(Vec::new())));
    assert!(crashes.start(now, &peer, &records, true).is_none());
    crashes.retain(&records[1..]);
    assert!(crashes.start(now, &peer, &records[1..], true).is_none());
}

#[test]
fn records_that_a_peer_has_sent_are_not_returned_to_it() {
    let (now, peer) = (Instant::now(), peer());
    let mut crashes = CrashExchange::default();
    crashes.observe(&peer, 7);
    crashes.add_known(&peer, [1]);
    let exchange = crashes.start(now, &peer, &[record(1), record(2)], true).expect("an exchange");
    assert_eq!(exchange.batch, Batch { records: vec![record(2)], offers: Vec::new() });
}

/// Each host of a row that learned of a crash sent the whole record to each peer.
#[test]
fn a_relayed_record_is_only_sent_to_a_peer_that_asks_for_it() {
    let (now, peer) = (Instant::now(), peer());
    let records = [record(1), record(2), record(3)];
    let mut crashes = CrashExchange::default();
    crashes.observe(&peer, 7);
    crashes.add_relayed([2, 3]);
    let exchange = crashes.start(now, &peer, &records, true).expect("an exchange");
    assert_eq!(exchange.batch, Batch { records: vec![record(1)], offers: vec![2, 3] });
    let wanted = exchange.batch.wanted(&[record(2)]);
    assert_eq!(wanted, [3]);
    assert!(crashes.finish(now, &peer, &exchange, Some(wanted)), "a record is to be sent");
    let exchange = crashes.start(now, &peer, &records, true).expect("an exchange");
    assert_eq!(exchange.batch, Batch { records: vec![record(3)], offers: Vec::new() });
    assert!(!crashes.finish(now, &peer, &exchange, Some(Vec::new())));
    assert!(crashes.start(now, &peer, &records, true).is_none());
}

#[test]
fn a_peer_that_fails_is_tried_again_ever_more_rarely() {
    let (start, peer, records) = (Instant::now(), peer(), [record(1)]);
    let mut crashes = CrashExchange::default();
    crashes.observe(&peer, 7);
    let mut tries = Vec::new();
    for time in (0..40_000).step_by(100) {
        let now = after(start, time);
        if let Some(exchange) = crashes.start(now, &peer, &records, true) {
            crashes.finish(now, &peer, &exchange, None);
            tries.push(time);
        }
    }
    assert_eq!(tries, [0, 200, 600, 1_400, 3_000, 6_200, 12_600, 20_600, 28_600, 36_600]);
    // A new release of the peer starts as another run.
    crashes.observe(&peer, 8);
    assert!(crashes.start(after(start, 40_000), &peer, &records, true).is_some());
}

#[test]
fn a_peer_that_restarts_gets_all_records_again() {
    let (now, peer, records) = (Instant::now(), peer(), [record(1)]);
    let mut crashes = CrashExchange::default();
    crashes.observe(&peer, 7);
    let exchange = crashes.start(now, &peer, &records, true).expect("an exchange");
    // Whether the old run or the new one received the records is unknown.
    crashes.observe(&peer, 8);
    assert!(crashes.finish(now, &peer, &exchange, Some(Vec::new())));
    let exchange = crashes.start(now, &peer, &records, true).expect("one with the new run");
    crashes.finish(now, &peer, &exchange, Some(Vec::new()));
    crashes.observe(&peer, 8);
    assert!(crashes.start(now, &peer, &records, true).is_none());
    crashes.observe(&peer, 9);
    assert!(crashes.start(now, &peer, &records, true).is_some());
}

#[test]
fn one_exchange_at_a_time_carries_a_bounded_number_of_records() {
    let (now, peer) = (Instant::now(), peer());
    let records: Vec<CrashRecord> = (1..=MAX_BATCH as u64 + 3).map(record).collect();
    let mut crashes = CrashExchange::default();
    crashes.observe(&peer, 7);
    let first = crashes.start(now, &peer, &records, true).expect("an exchange");
    assert_eq!(first.batch.records.len(), MAX_BATCH);
    assert!(crashes.start(now, &peer, &records, true).is_none());
    assert!(crashes.finish(now, &peer, &first, Some(Vec::new())), "more records are waiting");
    let rest = crashes.start(now, &peer, &records, true).expect("an exchange");
    assert_eq!(rest.batch.records.len(), 3);
    assert!(!crashes.finish(now, &peer, &rest, Some(Vec::new())));
}

#[test]
fn malformed_and_oversized_records_of_peers_are_dropped() {
    let encode = |records: &[CrashRecord], offers: &[u64]| {
        let batch = Batch { records: records.to_vec(), offers: offers.to_vec() };
        rosemarypitch_peer::encode(&batch).expect("encoded")
    };
    let large = CrashRecord { parts: vec![Arc::from("p".repeat(20_000))], ..record(1) };
    let empty = CrashRecord { parts: Vec::new(), ..record(2) };
    let bytes = encode(&[large.clone(), empty, record(3)], &[4]);
    let (batch, dropped) = Batch::decode(&bytes).expect("decoded");
    assert_eq!((batch, dropped), (Batch { records: vec![record(3)], offers: vec![4] }, 2));
    let many: Vec<CrashRecord> = (0..MAX_BATCH as u64 + 5).map(record).collect();
    let offers: Vec<u64> = (0..MAX_OFFERS as u64 + 7).collect();
    let bytes = encode(&many, &offers);
    let (batch, dropped) = Batch::decode(&bytes).expect("decoded");
    assert_eq!((batch.records.len(), batch.offers.len(), dropped), (MAX_BATCH, MAX_OFFERS, 12));
    assert!(Batch::decode(&bytes[..bytes.len() - 1]).is_err());
    assert!(Batch::decode(&[]).is_err());
    let mut crashes = CrashExchange::default();
    assert!(crashes.start(Instant::now(), &peer(), &[large], true).is_none());
}

/// All hosts of a row offered a record to each other at once, and the exchanges of a busy row
/// timed out.
#[test]
fn a_round_offers_records_to_a_few_peers_only() {
    let (now, records) = (Instant::now(), [record(1), record(2)]);
    let address = "127.0.0.1:9".parse().expect("an address");
    let name = |number: usize| -> Arc<str> { Arc::from(format!("edge-{number:02}")) };
    let peers: Vec<_> = (0..20).map(|number| (name(number), address)).collect();
    let mut crashes = CrashExchange::default();
    crashes.add_relayed([1, 2]);
    let exchanges = crashes.start_round(now, peers.clone(), &records);
    assert_eq!(exchanges.len(), MAX_ROUND_OFFERS);
    for (peer, _, exchange) in &exchanges {
        assert!(!crashes.finish(now, peer, exchange, Some(Vec::new())));
    }
    let next = crashes.start_round(now, peers.clone(), &records);
    assert_eq!(next.len(), MAX_ROUND_OFFERS);
    assert!(next.iter().all(|(peer, ..)| exchanges.iter().all(|(other, ..)| peer != other)));
    // A record of the host's own goes to all peers.
    let records = [record(1), record(2), record(3)];
    assert_eq!(crashes.start_round(now, peers, &records).len(), 20 - MAX_ROUND_OFFERS);
}
