//! Contracts of the platform's and the engines' protocols, over HTTP.

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
use tokio::net::TcpListener;

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

async fn platform(calls: u32) -> (HttpStore, SocketAddr) {
    let (listener, address) = listen().await;
    tokio::spawn(serve_store(listener, MemoryStore::new(Duration::ZERO)));
    let count = IntCounterVec::new(Opts::new("calls", "calls"), &["step", "outcome"]);
    let timeout = Duration::from_millis(500);
    (HttpStore::new(address, timeout, calls, count.expect("a counter")), address)
}

async fn set_faults(address: SocketAddr, faults: &'static str) {
    let client = hyper_util::client::legacy::Client::builder(hyper_util::rt::TokioExecutor::new())
        .build_http::<http_body_util::Full<Bytes>>();
    let request =
        http::Request::put(format!("http://{address}/faults")).body(Bytes::from(faults).into());
    client.request(request.expect("a request")).await.expect("an answer");
}

#[tokio::test]
async fn the_platform_compares_swaps_watches_and_lists() {
    let (store, _) = platform(1_000).await;
    assert_eq!(store.read("k").await.expect("read"), None);
    let stored = store.compare_and_swap("k", 0, "w1", Bytes::from("one")).await.expect("swapped");
    assert_eq!(stored, SwapOutcome::Stored(1));
    let conflict =
        store.compare_and_swap("k", 0, "w2", Bytes::from("two")).await.expect("answered");
    let SwapOutcome::Conflict(Some(entry)) = conflict else { panic!("{conflict:?}") };
    assert_eq!((entry.version, entry.write_id.as_ref(), &entry.value[..]), (1, "w1", &b"one"[..]));
    // The same write again is the same write.
    assert_eq!(
        store.compare_and_swap("k", 0, "w1", Bytes::from("one")).await.expect("again"),
        SwapOutcome::Stored(1)
    );
    let none = store.watch("k", 1, Duration::from_millis(30)).await.expect("watched");
    assert_eq!(none, None);
    let (seen, swapped) = tokio::join!(
        store.watch("k", 1, Duration::from_secs(5)),
        store.compare_and_swap("k", 1, "w3", Bytes::from("three"))
    );
    assert_eq!(swapped.expect("swapped"), SwapOutcome::Stored(2));
    assert_eq!(seen.expect("watched").map(|entry| entry.version), Some(2));
    store.put_lease("hosts/a", Bytes::from("x"), Duration::from_secs(60)).await.expect("leased");
    assert_eq!(store.list_leases("hosts/").await.expect("listed"), [Bytes::from("x")]);
}

#[tokio::test]
async fn a_write_whose_answer_was_lost_is_known_to_be_stored() {
    let (store, address) = platform(1_000).await;
    set_faults(address, r#"{"lose_answers":true}"#).await;
    let swap = store.compare_and_swap("k", 0, "w1", Bytes::from("one")).await.expect("read back");
    assert_eq!(swap, SwapOutcome::Stored(1));
}

#[tokio::test]
async fn an_outage_and_a_spent_budget_are_told_apart() {
    let (store, address) = platform(8).await;
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

fn attempt(request: u64) -> AttemptId {
    AttemptId { host: Arc::from("h"), incarnation: 1, request, attempt: 1 }
}

async fn engine(shape: EngineShape) -> (Endpoint, Arc<Engine>) {
    let (listener, address) = listen().await;
    let engine = Engine::new(shape);
    tokio::spawn(serve_engine(listener, engine.clone()));
    (Endpoint { name: Arc::from("engine"), address, tls: false }, engine)
}

fn engines() -> HttpEngineClient {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let tls = rustls::ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .expect("versions")
        .with_root_certificates(rustls::RootCertStore::empty())
        .with_no_client_auth();
    HttpEngineClient::new(HttpClient::new(Arc::new(tls)))
}

fn prefill(request: u64) -> PrefillRequest {
    PrefillRequest {
        attempt: attempt(request),
        model: Arc::from("m"),
        prompt: Arc::from("a prompt of some words"),
        generated: 0,
        priority: 0,
    }
}

fn decode(request: u64, source: SocketAddr, start: u32) -> DecodeRequest {
    DecodeRequest { attempt: attempt(request), source, start, max_output: 6, priority: 0 }
}

fn fast(prefill: bool, slots: u32) -> EngineShape {
    EngineShape { prefill, slots, step_us: 100, step_each_us: 0, ..EngineShape::default() }
}

#[tokio::test]
async fn an_engine_prefills_exports_imports_and_resumes() {
    let (source, held) = engine(fast(true, 4)).await;
    let (target, _) = engine(fast(false, 4)).await;
    let engines = engines();
    for (request, start) in [(1, 0), (2, 4)] {
        let done = engines.prefill(&source, &prefill(request)).await.expect("prefilled");
        assert_eq!((done.attempt, done.prompt, done.cached), (attempt(request), 6, 0));
        assert_eq!(held.work().len(), 1);
        let ask = decode(request, source.address, start);
        let mut stream = engines.decode(&target, &ask).await.expect("imported");
        assert_eq!(held.work(), []);
        let mut texts = Vec::new();
        let mut whole = false;
        while let Some(frame) = stream.recv().await {
            match frame.expect("a frame") {
                Frame::Token { text, .. } => texts.push(text),
                Frame::End { tokens, .. } => whole = tokens == 6,
            }
        }
        let prompt = "a prompt of some words";
        let expected: Vec<String> = (start..6).map(|index| token_text(prompt, index)).collect();
        assert_eq!(texts, expected);
        assert!(whole);
    }
    assert_eq!(engines.work(&target).await.expect("listed"), []);
}

#[tokio::test]
async fn an_engine_refuses_what_it_has_no_room_for_or_does_not_hold() {
    let (source, _) = engine(fast(true, 4)).await;
    let (full, _) = engine(fast(false, 0)).await;
    let (target, _) = engine(fast(false, 4)).await;
    let engines = engines();
    let missing = engines.decode(&target, &decode(1, source.address, 0)).await;
    assert_eq!(missing.expect_err("not held").kind, ErrorKind::NotHeld);
    engines.prefill(&source, &prefill(2)).await.expect("prefilled");
    let busy = engines.decode(&full, &decode(2, source.address, 0)).await;
    assert_eq!(busy.expect_err("busy").kind, ErrorKind::Busy);
    for _ in 0..2 {
        engines.cancel(&source, &attempt(2)).await.expect("cancelled, and again");
    }
    assert_eq!(engines.work(&source).await.expect("listed"), []);
    let late = engines.prefill(&source, &prefill(2)).await;
    assert_eq!(late.expect_err("cancelled before").kind, ErrorKind::NotHeld);
}

#[tokio::test]
async fn an_order_with_an_old_fencing_number_is_refused_by_engines_that_check() {
    let engines = engines();
    for (fences, refused) in [(true, true), (false, false)] {
        let (address, _) = engine(EngineShape { fences, ..fast(true, 1) }).await;
        let order = |fence, prefill| Order { fence, command: Command::SetRole { prefill } };
        engines.order(&address, &order(5, false)).await.expect("taken");
        let old = engines.order(&address, &order(4, true)).await;
        assert_eq!(old.is_err(), refused);
        if let Err(error) = old {
            assert_eq!(error.kind, ErrorKind::Fenced(5));
        }
    }
}
