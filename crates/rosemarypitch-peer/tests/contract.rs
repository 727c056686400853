//! Tests of the interface between hosts: membership, handshake, calls, and the codec.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::{any, proptest};
use proptest::test_runner::{Config, RngSeed};
use rosemarypitch_limit::HostId;
use rosemarypitch_peer::{
    ErrorKind, Handler, HandlerFuture, Heartbeat, HostInfo, HostReport, MAX_MESSAGE_BYTES,
    MemberTable, MembershipEvent, MembershipTimings, PROTOCOL_VERSION, PeerClient, PeerReply,
    PeerRequest, PeerServer, PeerTransport, RowReport, decode, encode,
};
use rstest::rstest;
use tokio::net::TcpListener;
use tokio::time::Instant;

const TIMINGS: MembershipTimings = MembershipTimings {
    heartbeat_interval: Duration::from_millis(500),
    timeout: Duration::from_millis(2_500),
};

fn host_info(host: &str, incarnation: u64, port: u16) -> HostInfo {
    HostInfo {
        id: HostId { host: Arc::from(host), incarnation },
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        data_centre: Arc::from("a"),
        region: Arc::from("r"),
        config_number: 1,
        leaving: false,
        shares: 0,
        age_ms: 0,
        config_age_ms: 0,
    }
}

fn heartbeat(host: &str, incarnation: u64) -> Heartbeat {
    Heartbeat { sender: host_info(host, incarnation, 2), relayed: Vec::new() }
}

fn members() -> MemberTable {
    MemberTable::new(host_info("own", 1, 1), TIMINGS)
}

#[test]
fn a_silent_host_expires_and_a_new_run_replaces_the_old() {
    let now = Instant::now();
    let mut members = members();
    let id = |incarnation| HostId { host: Arc::from("x"), incarnation };
    assert_eq!(members.apply_heartbeat(now, &heartbeat("x", 5)), [MembershipEvent::Up(id(5))]);
    assert_eq!(members.apply_heartbeat(now, &heartbeat("x", 5)), []);
    // A delayed heartbeat of an earlier run has no effect.
    assert_eq!(members.apply_heartbeat(now, &heartbeat("x", 4)), []);
    let replaced = members.apply_heartbeat(now, &heartbeat("x", 6));
    assert_eq!(replaced, [MembershipEvent::Down(id(5)), MembershipEvent::Up(id(6))]);
    assert_eq!(members.expire(now + TIMINGS.timeout), []);
    assert_eq!(members.expire(now + TIMINGS.timeout * 2), [MembershipEvent::Down(id(6))]);
}

#[test]
fn a_host_relayed_by_others_does_not_expire() {
    let now = Instant::now();
    let mut members = members();
    members.apply_heartbeat(now, &heartbeat("x", 5));
    let later = now + TIMINGS.timeout - Duration::from_millis(100);
    let relayed = Heartbeat { relayed: vec![host_info("x", 5, 2)], ..heartbeat("y", 1) };
    members.apply_heartbeat(later, &relayed);
    assert_eq!(members.expire(now + TIMINGS.timeout + Duration::from_millis(500)), []);
}

#[test]
fn a_leaving_host_is_not_live() {
    let mut members = members();
    let mut leaving = heartbeat("x", 5);
    leaving.sender.leaving = true;
    members.apply_heartbeat(Instant::now(), &leaving);
    assert_eq!(members.live().len(), 1);
    assert_eq!(members.peers().count(), 1);
}

#[test]
fn a_recent_heartbeat_suppresses_the_next_one() {
    let now = Instant::now();
    let mut members = members();
    members.apply_heartbeat(now, &heartbeat("x", 5));
    assert_eq!(members.heartbeats_due(now + Duration::from_millis(100)), []);
    assert_eq!(members.heartbeats_due(now + TIMINGS.heartbeat_interval).len(), 1);
    // Of two hosts, the one with the greater name waits longer, so only one of them sends.
    let mut other = MemberTable::new(host_info("zz", 1, 1), TIMINGS);
    other.apply_heartbeat(now, &heartbeat("x", 5));
    assert_eq!(other.heartbeats_due(now + TIMINGS.heartbeat_interval), []);
    assert_eq!(other.heartbeats_due(now + TIMINGS.heartbeat_interval * 3 / 2).len(), 1);
}

struct Echo;

impl Handler for Echo {
    fn handle<'a>(&'a self, _from: &'a HostId, request: PeerRequest) -> HandlerFuture<'a> {
        Box::pin(async move {
            match request {
                PeerRequest::Document(0) => std::future::pending().await,
                PeerRequest::Document(number) => {
                    PeerReply::Document(Some(vec![7; number as usize]))
                }
                _ => PeerReply::Done,
            }
        })
    }
}

async fn server(secret: &str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let server = PeerServer {
        id: HostId { host: Arc::from("server"), incarnation: 1 },
        secret: Arc::from(secret),
        traffic: Arc::default(),
        handler: Arc::new(Echo),
    };
    tokio::spawn(Arc::new(server).run(listener));
    address
}

fn client(secret: &str) -> PeerClient {
    let id = HostId { host: Arc::from("client"), incarnation: 1 };
    PeerClient::new(id, Arc::from(secret), Arc::default())
}

const TIMEOUT: Duration = Duration::from_secs(5);

#[tokio::test]
async fn replies_arrive_unchanged() {
    let peer = server("secret-of-the-fleet").await;
    let client = client("secret-of-the-fleet");
    for size in [1, 100_000, 1_000_000] {
        let reply =
            client.call(peer, &PeerRequest::Document(size), TIMEOUT).await.expect("a reply");
        let PeerReply::Document(Some(bytes)) = reply else { panic!("{reply:?}") };
        assert_eq!(bytes, vec![7; size as usize]);
    }
}

#[tokio::test]
async fn a_client_with_another_secret_is_rejected() {
    let peer = server("secret-of-the-fleet").await;
    let error = client("another-secret").call(peer, &PeerRequest::Document(1), TIMEOUT).await;
    assert_eq!(error.expect_err("refused").kind, ErrorKind::Handshake);
}

#[tokio::test]
async fn a_call_without_reply_times_out_and_does_not_block_others() {
    let peer = server("secret-of-the-fleet").await;
    let client = client("secret-of-the-fleet");
    let timeout = Duration::from_millis(50);
    let error = client.call(peer, &PeerRequest::Document(0), timeout).await.expect_err("no answer");
    assert_eq!((error.step, error.kind), ("answer", ErrorKind::Timeout));
    assert_eq!(error.address.as_ref(), peer.to_string());
    assert!(client.call(peer, &PeerRequest::Document(1), TIMEOUT).await.is_ok());
}

/// Forwards connections; those opened before `silent` turns true stop forwarding then.
async fn proxy(target: SocketAddr, silent: tokio::sync::watch::Receiver<bool>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut client, _)) = listener.accept().await {
            let mut silent = silent.clone();
            let started_silent = *silent.borrow();
            tokio::spawn(async move {
                let mut server = tokio::net::TcpStream::connect(target).await.expect("connected");
                let copy = tokio::io::copy_bidirectional(&mut client, &mut server);
                tokio::select! {
                    _ = copy => {}
                    _ = silent.wait_for(|silent| *silent), if !started_silent => {}
                }
                // Both connections stay open without sending anything.
                std::future::pending::<()>().await;
            });
        }
    });
    address
}

#[tokio::test]
async fn a_dead_connection_is_replaced() {
    let server = server("secret-of-the-fleet").await;
    let (silence, silent) = tokio::sync::watch::channel(false);
    let peer = proxy(server, silent).await;
    let client = client("secret-of-the-fleet");
    let timeout = Duration::from_millis(300);
    assert!(client.call(peer, &PeerRequest::Document(1), timeout).await.is_ok());
    silence.send_replace(true);
    assert!(client.call_idempotent(peer, &PeerRequest::Document(1), timeout).await.is_ok());
}

#[tokio::test]
async fn an_unreachable_peer_fails_to_connect() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let peer = listener.local_addr().expect("an address");
    drop(listener);
    let error =
        client("s").call(peer, &PeerRequest::Document(1), TIMEOUT).await.expect_err("nobody");
    assert_eq!(error.kind, ErrorKind::Connect);
}

#[rstest]
#[case::empty(&[])]
#[case::other_version(&[PROTOCOL_VERSION + 1, 1, 2])]
#[case::unknown_message(&[PROTOCOL_VERSION, 200])]
#[case::truncated(&[PROTOCOL_VERSION, 0, 4, b'a'])]
fn malformed_messages_are_rejected(#[case] bytes: &[u8]) {
    assert!(decode::<PeerRequest>(bytes).is_err());
}

/// Hosts of the previous release cannot decode a report with another field, and would count
/// each host of the new release as unreachable.
#[test]
fn reports_keep_the_encoding_of_the_previous_release() {
    let reach = [0, 0, 0, 0, 0, 0];
    let host = [&[0, 0, 0, 0][..], &reach, &[0, 0, 0]].concat();
    let row = [&[0, 0, 0, 0, 0, 0][..], &reach, &[0, 0]].concat();
    let message = |variant: u8, body: &[u8]| [&[PROTOCOL_VERSION, variant], body].concat();
    let (report, reachable) = (HostReport::default(), true);
    let request = PeerRequest::Report { report: report.clone(), reachable };
    assert_eq!(encode(&request).expect("encoded"), message(11, &[&host[..], &[1]].concat()));
    assert_eq!(encode(&PeerReply::Report(report)).expect("encoded"), message(7, &host));
    let report = RowReport::default();
    let request = PeerRequest::Row(report.clone());
    assert_eq!(encode(&request).expect("encoded"), message(12, &row));
    assert_eq!(encode(&PeerReply::Row(report)).expect("encoded"), message(8, &row));
}

#[test]
fn crash_records_follow_the_messages_of_the_previous_release() {
    let request = encode(&PeerRequest::Crashes(vec![7])).expect("encoded");
    assert_eq!(request, [PROTOCOL_VERSION, 15, 1, 7]);
    let reply = encode(&PeerReply::Crashes(vec![7])).expect("encoded");
    assert_eq!(reply, [PROTOCOL_VERSION, 13, 1, 7]);
}

/// A host of the previous release cannot decode crash records; its other calls go on.
#[tokio::test]
async fn a_request_that_the_peer_cannot_decode_fails_alone() {
    let peer = server("secret-of-the-fleet").await;
    let client = client("secret-of-the-fleet");
    assert!(client.call(peer, &PeerRequest::Document(1), TIMEOUT).await.is_ok());
    let undecodable = PeerRequest::Crashes(vec![0; MAX_MESSAGE_BYTES]);
    let waiting = client.call(peer, &PeerRequest::Document(0), Duration::from_millis(500));
    let (waiting, error) = tokio::join!(waiting, client.call(peer, &undecodable, TIMEOUT));
    assert_eq!(error.expect_err("no reply").kind, ErrorKind::Lost);
    assert_eq!(waiting.expect_err("no reply").kind, ErrorKind::Timeout);
    assert!(client.call(peer, &PeerRequest::Document(1), TIMEOUT).await.is_ok());
}

#[test]
fn trailing_bytes_are_rejected() {
    let mut bytes = encode(&PeerRequest::Document(7)).expect("encoded");
    assert!(decode::<PeerRequest>(&bytes).is_ok());
    bytes.push(0);
    assert!(decode::<PeerRequest>(&bytes).is_err());
}

proptest! {
    #![proptest_config(Config { cases: 2_000, rng_seed: RngSeed::Fixed(3), failure_persistence: None, ..Config::default() })]

    #[test]
    fn arbitrary_bytes_are_decoded_or_rejected(mut bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        if let Some(first) = bytes.first_mut() {
            *first = PROTOCOL_VERSION;
        }
        if let Ok(request) = decode::<PeerRequest>(&bytes) {
            assert!(encode(&request).is_ok());
        }
        let _ = decode::<PeerReply>(&bytes);
    }
}
