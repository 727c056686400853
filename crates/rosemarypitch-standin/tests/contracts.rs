//! Contract tests of the HTTP protocols of the store and the engines.
//!
//! The production clients call the stand-in servers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use prometheus::{IntCounterVec, Opts};
use rosemarypitch_route::AttemptId;
use rosemarypitch_standin::{
    Engine, EngineShape, MemoryStore, serve_engine, serve_store, token_text,
};
use rosemarypitch_store::{ErrorKind as StoreErrorKind, HttpStore, Store, SwapOutcome};
use rosemarypitch_upstream::wire::{Command, DecodeRequest, Order, PrefillRequest};
use rosemarypitch_upstream::{
    Endpoint, EngineClient, ErrorKind, Frame, HttpClient, HttpEngineClient,
};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

async fn bind() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

async fn start_store(calls: u32) -> (HttpStore, SocketAddr) {
    let (listener, address) = bind().await;
    tokio::spawn(serve_store(listener, MemoryStore::new(Duration::ZERO)));
    (client_of(address, calls), address)
}

fn client_of(address: SocketAddr, calls: u32) -> HttpStore {
    let count = IntCounterVec::new(Opts::new("calls", "calls"), &["step", "outcome"]);
    let timeout = Duration::from_millis(500);
    HttpStore::new(address, timeout, calls, count.expect("a counter"))
}

async fn set_faults(address: SocketAddr, faults: &'static str) {
    let client = hyper_util::client::legacy::Client::builder(hyper_util::rt::TokioExecutor::new())
        .build_http::<http_body_util::Full<Bytes>>();
    let request =
        http::Request::put(format!("http://{address}/faults")).body(Bytes::from(faults).into());
    client.request(request.expect("a request")).await.expect("an answer");
}

#[tokio::test]
async fn store_supports_swap_watch_lease_and_list() {
    let (store, _) = start_store(1_000).await;
    assert_eq!(store.read("k").await.expect("read"), None);
    let stored = store.compare_and_swap("k", 0, "w1", Bytes::from("one")).await.expect("swapped");
    assert_eq!(stored, SwapOutcome::Stored(1));
    let conflict =
        store.compare_and_swap("k", 0, "w2", Bytes::from("two")).await.expect("answered");
    let SwapOutcome::Conflict(Some(entry)) = conflict else { panic!("{conflict:?}") };
    assert_eq!((entry.version, entry.write_id.as_ref(), &entry.value[..]), (1, "w1", &b"one"[..]));
    // A retry with the same write identifier succeeds without writing again.
    assert_eq!(
        store.compare_and_swap("k", 0, "w1", Bytes::from("one")).await.expect("again"),
        SwapOutcome::Stored(1)
    );
    let none = store.watch("k", 1, Duration::from_millis(30)).await.expect("watched");
    assert_eq!(none, None);
    let (watched, swapped) = tokio::join!(
        store.watch("k", 1, Duration::from_secs(5)),
        store.compare_and_swap("k", 1, "w3", Bytes::from("three"))
    );
    assert_eq!(swapped.expect("swapped"), SwapOutcome::Stored(2));
    assert_eq!(watched.expect("watched").map(|entry| entry.version), Some(2));
    store.put_lease("hosts/a", Bytes::from("x"), Duration::from_secs(60)).await.expect("leased");
    assert_eq!(store.list_leases("hosts/").await.expect("listed"), [Bytes::from("x")]);
}

#[tokio::test]
async fn swap_with_a_lost_response_is_confirmed_by_reading_back() {
    let (store, address) = start_store(1_000).await;
    set_faults(address, r#"{"lose_answers":true}"#).await;
    let swap = store.compare_and_swap("k", 0, "w1", Bytes::from("one")).await.expect("read back");
    assert_eq!(swap, SwapOutcome::Stored(1));
}

#[tokio::test]
async fn an_outage_and_an_exhausted_call_budget_are_distinct_errors() {
    let (store, address) = start_store(8).await;
    set_faults(address, r#"{"down":true}"#).await;
    let error = store.read("k").await.expect_err("down");
    assert_eq!((error.step, error.key.as_ref()), ("read", "k"));
    assert_eq!(error.address.as_ref(), address.to_string());
    assert!(!error.had_no_effect());
    let mut last = error;
    for _ in 0..8 {
        last = store.read("k").await.expect_err("down");
    }
    assert_eq!(last.kind, StoreErrorKind::RateLimited);
    assert!(last.had_no_effect());
}

/// Forwards connections to an address until they are silenced; later ones are forwarded again.
async fn start_proxy(to: SocketAddr, silence: Arc<Notify>) -> SocketAddr {
    let (listener, address) = bind().await;
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let silence = silence.clone();
            tokio::spawn(async move {
                let mut upstream = TcpStream::connect(to).await.expect("a connection");
                tokio::select! {
                    result = tokio::io::copy_bidirectional(&mut stream, &mut upstream) => {
                        result.expect("a connection that ends")
                    }
                    () = silence.notified() => std::future::pending().await,
                }
            });
        }
    });
    address
}

/// Each attempt of a call was sent on the next silent connection, so that the call failed.
#[tokio::test]
async fn only_one_attempt_waits_for_silent_connections() {
    let silence = Arc::new(Notify::new());
    let store = client_of(start_proxy(start_store(1_000).await.1, silence.clone()).await, 1_000);
    let read = || store.read("k");
    let reads = tokio::join!(read(), read(), read(), read(), read());
    assert!(reads.4.is_ok());
    silence.notify_waiters();
    assert_eq!(store.read("k").await.expect("an answer"), None);
}

fn attempt(request: u64) -> AttemptId {
    AttemptId { host: Arc::from("h"), incarnation: 1, request, attempt: 1 }
}

async fn start_engine(shape: EngineShape) -> (Endpoint, Arc<Engine>) {
    let (listener, address) = bind().await;
    let engine = Engine::new(shape);
    tokio::spawn(serve_engine(listener, engine.clone()));
    (Endpoint { name: Arc::from("engine"), address, tls: false }, engine)
}

fn http_engines() -> HttpEngineClient {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let tls = rustls::ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .expect("versions")
        .with_root_certificates(rustls::RootCertStore::empty())
        .with_no_client_auth();
    HttpEngineClient::new(HttpClient::new(Arc::new(tls)))
}

fn prefill_request(request: u64) -> PrefillRequest {
    PrefillRequest {
        attempt: attempt(request),
        model: Arc::from("m"),
        prompt: Arc::from("a prompt of some words"),
        generated: 0,
        priority: 0,
    }
}

fn decode_request(request: u64, source: SocketAddr, start: u32) -> DecodeRequest {
    DecodeRequest { attempt: attempt(request), source, start, max_output: 6, priority: 0 }
}

fn fast_shape(prefill: bool, slots: u32) -> EngineShape {
    EngineShape { prefill, slots, step_us: 100, step_each_us: 0, ..EngineShape::default() }
}

#[tokio::test]
async fn a_decode_imports_the_prefill_result_and_starts_at_any_token() {
    let (source, source_engine) = start_engine(fast_shape(true, 4)).await;
    let (target, _) = start_engine(fast_shape(false, 4)).await;
    let engines = http_engines();
    for (request, start) in [(1, 0), (2, 4)] {
        let done = engines.prefill(&source, &prefill_request(request)).await.expect("prefilled");
        assert_eq!((done.attempt, done.prompt, done.cached), (attempt(request), 6, 0));
        assert_eq!(source_engine.work().len(), 1);
        let decode = decode_request(request, source.address, start);
        let mut stream = engines.decode(&target, &decode).await.expect("imported");
        assert_eq!(source_engine.work(), []);
        let mut texts = Vec::new();
        let mut ended = false;
        while let Some(frame) = stream.recv().await {
            match frame.expect("a frame") {
                Frame::Token { text, .. } => texts.push(text),
                Frame::End { tokens, .. } => ended = tokens == 6,
            }
        }
        let prompt = "a prompt of some words";
        let expected: Vec<String> = (start..6).map(|index| token_text(prompt, index)).collect();
        assert_eq!(texts, expected);
        assert!(ended);
    }
    assert_eq!(engines.work(&target).await.expect("listed"), []);
}

#[tokio::test]
async fn engines_refuse_missing_results_full_batches_and_cancelled_attempts() {
    let (source, _) = start_engine(fast_shape(true, 4)).await;
    let (full, _) = start_engine(fast_shape(false, 0)).await;
    let (target, _) = start_engine(fast_shape(false, 4)).await;
    let engines = http_engines();
    let missing = engines.decode(&target, &decode_request(1, source.address, 0)).await;
    assert_eq!(missing.expect_err("not held").kind, ErrorKind::NotHeld);
    engines.prefill(&source, &prefill_request(2)).await.expect("prefilled");
    let busy = engines.decode(&full, &decode_request(2, source.address, 0)).await;
    assert_eq!(busy.expect_err("busy").kind, ErrorKind::Busy);
    for _ in 0..2 {
        engines.cancel(&source, &attempt(2)).await.expect("cancelled, and again");
    }
    assert_eq!(engines.work(&source).await.expect("listed"), []);
    let late = engines.prefill(&source, &prefill_request(2)).await;
    assert_eq!(late.expect_err("cancelled before").kind, ErrorKind::NotHeld);
}

#[tokio::test]
async fn orders_with_an_old_fencing_number_are_refused_by_engines_that_check_it() {
    let engines = http_engines();
    for (fences, refused) in [(true, true), (false, false)] {
        let (address, _) = start_engine(EngineShape { fences, ..fast_shape(true, 1) }).await;
        let order = |fence, prefill| Order { fence, command: Command::SetRole { prefill } };
        engines.order(&address, &order(5, false)).await.expect("taken");
        let stale = engines.order(&address, &order(4, true)).await;
        assert_eq!(stale.is_err(), refused);
        if let Err(error) = stale {
            assert_eq!(error.kind, ErrorKind::Fenced(5));
        }
    }
}
