//! The interface between hosts: membership, handshake, messages and their parser.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::{any, proptest};
use proptest::test_runner::{Config, RngSeed};
use rosemarypitch_limit::HostId;
use rosemarypitch_peer::{
    ErrorKind, Handler, HandlerFuture, Heartbeat, HostInfo, MemberTable, MembershipEvent,
    MembershipTimings, PROTOCOL_VERSION, PeerClient, PeerReply, PeerRequest, PeerServer,
    PeerTransport, decode, encode,
};
use rstest::rstest;
use tokio::net::TcpListener;
use tokio::time::Instant;

const RULES: MembershipTimings = MembershipTimings {
    heartbeat_interval: Duration::from_millis(500),
    timeout: Duration::from_millis(2_500),
};

fn sighting(host: &str, incarnation: u64, port: u16) -> HostInfo {
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

fn beat(host: &str, incarnation: u64) -> Heartbeat {
    Heartbeat { sender: sighting(host, incarnation, 2), relayed: Vec::new() }
}

fn members() -> MemberTable {
    MemberTable::new(sighting("own", 1, 1), RULES)
}

#[test]
fn a_silent_host_is_gone_and_a_new_run_replaces_the_old() {
    let now = Instant::now();
    let mut members = members();
    let id = |incarnation| HostId { host: Arc::from("x"), incarnation };
    assert_eq!(members.apply_heartbeat(now, &beat("x", 5)), [MembershipEvent::Up(id(5))]);
    assert_eq!(members.apply_heartbeat(now, &beat("x", 5)), []);
    // A heartbeat of an earlier run that was under way changes nothing.
    assert_eq!(members.apply_heartbeat(now, &beat("x", 4)), []);
    let replaced = members.apply_heartbeat(now, &beat("x", 6));
    assert_eq!(replaced, [MembershipEvent::Down(id(5)), MembershipEvent::Up(id(6))]);
    assert_eq!(members.expire(now + RULES.timeout), []);
    assert_eq!(members.expire(now + RULES.timeout * 2), [MembershipEvent::Down(id(6))]);
}

#[test]
fn a_host_that_others_hear_is_not_gone() {
    let now = Instant::now();
    let mut members = members();
    members.apply_heartbeat(now, &beat("x", 5));
    let later = now + RULES.timeout - Duration::from_millis(100);
    let relayed = Heartbeat { relayed: vec![sighting("x", 5, 2)], ..beat("y", 1) };
    members.apply_heartbeat(later, &relayed);
    assert_eq!(members.expire(now + RULES.timeout + Duration::from_millis(500)), []);
}

#[test]
fn a_leaving_host_is_not_live() {
    let mut members = members();
    let mut leaving = beat("x", 5);
    leaving.sender.leaving = true;
    members.apply_heartbeat(Instant::now(), &leaving);
    assert_eq!(members.live().len(), 1);
    assert_eq!(members.peers().count(), 1);
}

#[test]
fn a_peer_that_was_just_heard_gets_no_heartbeat() {
    let now = Instant::now();
    let mut members = members();
    members.apply_heartbeat(now, &beat("x", 5));
    assert_eq!(members.heartbeats_due(now + Duration::from_millis(100)), []);
    assert_eq!(members.heartbeats_due(now + RULES.heartbeat_interval).len(), 1);
    // The other of the two waits longer, so that one exchange serves both.
    let mut other = MemberTable::new(sighting("zz", 1, 1), RULES);
    other.apply_heartbeat(now, &beat("x", 5));
    assert_eq!(other.heartbeats_due(now + RULES.heartbeat_interval), []);
    assert_eq!(other.heartbeats_due(now + RULES.heartbeat_interval * 3 / 2).len(), 1);
}

struct Echo;

impl Handler for Echo {
    fn handle<'a>(&'a self, _from: &'a HostId, ask: PeerRequest) -> HandlerFuture<'a> {
        Box::pin(async move {
            match ask {
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

const LIMIT: Duration = Duration::from_secs(5);

#[tokio::test]
async fn messages_come_through_whole() {
    let peer = server("secret-of-the-fleet").await;
    let client = client("secret-of-the-fleet");
    for size in [1, 100_000, 1_000_000] {
        let reply = client.call(peer, &PeerRequest::Document(size), LIMIT).await.expect("a reply");
        let PeerReply::Document(Some(bytes)) = reply else { panic!("{reply:?}") };
        assert_eq!(bytes, vec![7; size as usize]);
    }
}

#[tokio::test]
async fn a_peer_with_another_secret_is_refused() {
    let peer = server("secret-of-the-fleet").await;
    let error = client("another-secret").call(peer, &PeerRequest::Document(1), LIMIT).await;
    assert_eq!(error.expect_err("refused").kind, ErrorKind::Handshake);
}

#[tokio::test]
async fn an_unanswered_call_ends_and_does_not_block_others() {
    let peer = server("secret-of-the-fleet").await;
    let client = client("secret-of-the-fleet");
    let limit = Duration::from_millis(50);
    let error = client.call(peer, &PeerRequest::Document(0), limit).await.expect_err("no answer");
    assert_eq!((error.step, error.kind), ("answer", ErrorKind::Timeout));
    assert_eq!(error.address.as_ref(), peer.to_string());
    assert!(client.call(peer, &PeerRequest::Document(1), LIMIT).await.is_ok());
}

/// Forwards connections; those opened before `silent` turns true say nothing any more.
async fn proxy(target: SocketAddr, silent: tokio::sync::watch::Receiver<bool>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut near, _)) = listener.accept().await {
            let mut silent = silent.clone();
            let born_silent = *silent.borrow();
            tokio::spawn(async move {
                let mut far = tokio::net::TcpStream::connect(target).await.expect("connected");
                let copy = tokio::io::copy_bidirectional(&mut near, &mut far);
                tokio::select! {
                    _ = copy => {}
                    _ = silent.wait_for(|silent| *silent), if !born_silent => {}
                }
                // Keep both ends open and say nothing.
                std::future::pending::<()>().await;
            });
        }
    });
    address
}

#[tokio::test]
async fn a_silent_connection_is_replaced_by_a_new_one() {
    let server = server("secret-of-the-fleet").await;
    let (silence, silent) = tokio::sync::watch::channel(false);
    let peer = proxy(server, silent).await;
    let client = client("secret-of-the-fleet");
    let limit = Duration::from_millis(300);
    assert!(client.call(peer, &PeerRequest::Document(1), limit).await.is_ok());
    silence.send_replace(true);
    assert!(client.call_idempotent(peer, &PeerRequest::Document(1), limit).await.is_ok());
}

#[tokio::test]
async fn a_peer_that_is_not_there_was_sent_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let peer = listener.local_addr().expect("an address");
    drop(listener);
    let error = client("s").call(peer, &PeerRequest::Document(1), LIMIT).await.expect_err("nobody");
    assert_eq!(error.kind, ErrorKind::Connect);
}

#[rstest]
#[case::empty(&[])]
#[case::other_version(&[PROTOCOL_VERSION + 1, 1, 2])]
#[case::unknown_message(&[PROTOCOL_VERSION, 200])]
#[case::cut_short(&[PROTOCOL_VERSION, 0, 4, b'a'])]
fn bad_messages_are_refused(#[case] bytes: &[u8]) {
    assert!(decode::<PeerRequest>(bytes).is_err());
}

#[test]
fn bytes_left_over_are_refused() {
    let mut bytes = encode(&PeerRequest::Document(7)).expect("encoded");
    assert!(decode::<PeerRequest>(&bytes).is_ok());
    bytes.push(0);
    assert!(decode::<PeerRequest>(&bytes).is_err());
}

proptest! {
    #![proptest_config(Config { cases: 2_000, rng_seed: RngSeed::Fixed(3), failure_persistence: None, ..Config::default() })]

    #[test]
    fn any_bytes_are_decoded_or_refused(mut bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        if let Some(first) = bytes.first_mut() {
            *first = PROTOCOL_VERSION;
        }
        if let Ok(ask) = decode::<PeerRequest>(&bytes) {
            assert!(encode(&ask).is_ok());
        }
        let _ = decode::<PeerReply>(&bytes);
    }
}
