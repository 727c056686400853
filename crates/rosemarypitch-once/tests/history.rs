//! History check: of all attempts with one idempotency key, at most one dispatches the call.
//!
//! Several writers of every shard run concurrently against one platform that loses responses
//! and becomes unavailable at times, on a paused clock.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use rosemarypitch_once::{
    ClaimReply, ClaimRequest, RETAINED_WINDOWS, RecordedResponse, SHARD_COUNT, Shard,
    WINDOW_DURATION, shard_of,
};
use rosemarypitch_standin::{MemoryStore, StoreFaults};
use rosemarypitch_store::Store;
use tokio::runtime;

/// An event in the history of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Event {
    /// An attempt claimed the key and dispatched its call.
    Dispatched { key: u64, attempt: Arc<str> },
    /// An attempt released its claim, and the release was recorded.
    Released { key: u64, attempt: Arc<str> },
    /// An attempt received a recorded response with this status.
    Replayed { key: u64, by: u16 },
}

struct Random(u64);

impl Random {
    fn next(&mut self, below: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % below
    }
}

const WRITERS: u64 = 3;
const ATTEMPTS: u64 = 60;
const KEYS: u64 = 12;

fn claim(key: u64, by: &Arc<str>) -> ClaimRequest {
    ClaimRequest::Claim { key: key_text(key), by: by.clone(), fingerprint: Arc::from("print") }
}

fn key_text(key: u64) -> Arc<str> {
    Arc::from(format!("key-{key}"))
}

fn answer(status: u16) -> RecordedResponse {
    RecordedResponse { status, media_type: None, body: Some(Arc::from("body")) }
}

fn on_paused_clock<T>(run: impl Future<Output = T>) -> T {
    let runtime = runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    runtime.expect("a runtime").block_on(run)
}

async fn run(seed: u64, has_fault: bool) -> Vec<Event> {
    let mut random = Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
    let store = MemoryStore::new(Duration::ZERO);
    let mut ports = Vec::new();
    let mut shards = HashMap::new();
    for writer in 0..WRITERS {
        let port = store.client(&format!("writer-{writer}"));
        for shard in 0..SHARD_COUNT {
            // The injected fault: each writer has a platform of its own.
            let own = MemoryStore::new(Duration::ZERO).client("alone");
            let store: Arc<dyn Store> = if has_fault { own } else { port.clone() };
            let name = Arc::from(format!("{writer}-{seed}"));
            shards.insert((writer, shard), Shard::start(store, shard, name));
        }
        ports.push(port);
    }
    let (events, mut history) = tokio::sync::mpsc::unbounded_channel();
    let mut tasks = tokio::task::JoinSet::new();
    for attempt in 0..ATTEMPTS {
        let port = &ports[random.next(WRITERS) as usize];
        port.set_faults(StoreFaults {
            down: random.next(8) == 0,
            slow_ms: random.next(40),
            lose_responses: random.next(5) == 0,
        });
        let key = random.next(KEYS);
        let writer = random.next(WRITERS);
        let shard = shards[&(writer, shard_of(&key_text(key)))].clone();
        let name: Arc<str> = Arc::from(format!("attempt-{attempt}"));
        let (outcome, pause) = (random.next(3), random.next(300));
        let events = events.clone();
        tasks.spawn(async move {
            match shard.submit(claim(key, &name)).await {
                ClaimReply::Claimed => {}
                ClaimReply::Done(answer) => {
                    let _ = events.send(Event::Replayed { key, by: answer.status });
                    return;
                }
                _ => return,
            }
            if outcome == 0 {
                // The call definitely has not run, so the claim may be released.
                let release = ClaimRequest::Release { key: key_text(key), by: name.clone() };
                if shard.submit(release).await == ClaimReply::Recorded {
                    let _ = events.send(Event::Released { key, attempt: name });
                }
                return;
            }
            let _ = events.send(Event::Dispatched { key, attempt: name.clone() });
            tokio::time::sleep(Duration::from_millis(pause)).await;
            if outcome == 1 {
                let answer = answer(key as u16);
                shard
                    .submit(ClaimRequest::Finish { key: key_text(key), by: name, response: answer })
                    .await;
            }
        });
        tokio::time::sleep(Duration::from_millis(random.next(80))).await;
    }
    drop(events);
    tasks.join_all().await;
    let mut all = Vec::new();
    while let Some(event) = history.recv().await {
        all.push(event);
    }
    all
}

/// Keys whose call was dispatched more than once, or replayed with the response of another key.
fn violations(history: &[Event]) -> Vec<u64> {
    let mut dispatched: HashMap<u64, u32> = HashMap::new();
    let mut found = Vec::new();
    for event in history {
        match event {
            Event::Dispatched { key, .. } => *dispatched.entry(*key).or_default() += 1,
            Event::Replayed { key, by } if u64::from(*by) != *key => found.push(*key),
            Event::Released { .. } | Event::Replayed { .. } => {}
        }
    }
    found.extend(dispatched.iter().filter(|(_, count)| **count > 1).map(|(key, _)| *key));
    found
}

fn seeds() -> u64 {
    std::env::var("HISTORY_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(200)
}

#[test]
fn at_most_one_attempt_of_a_key_dispatches() {
    let mut dispatched = 0;
    for seed in 0..seeds() {
        let history = on_paused_clock(run(seed, false));
        assert_eq!(violations(&history), [0; 0], "seed {seed}: {history:?}");
        let sent = history.iter().filter(|event| matches!(event, Event::Dispatched { .. }));
        dispatched += sent.count() as u64;
    }
    assert!(dispatched > seeds() * KEYS / 4, "only {dispatched} dispatched");
}

#[test]
fn the_check_detects_writers_that_do_not_share_a_platform() {
    let found = (0..20).any(|seed| !violations(&on_paused_clock(run(seed, true))).is_empty());
    assert!(found);
}

#[tokio::test(start_paused = true)]
async fn another_writer_reads_a_claim_from_an_archived_window() {
    let store = MemoryStore::new(Duration::ZERO);
    let key = key_text(1);
    let index = shard_of(&key);
    let first = Shard::start(store.client("first"), index, Arc::from("first"));
    assert_eq!(first.submit(claim(1, &Arc::from("one"))).await, ClaimReply::Claimed);
    for window in 0..RETAINED_WINDOWS - 2 {
        tokio::time::sleep(WINDOW_DURATION + Duration::from_secs(1)).await;
        let by: Arc<str> = Arc::from(format!("filler-{window}"));
        let filler = ClaimRequest::Claim {
            key: Arc::from(format!("filler-{window}")),
            by,
            fingerprint: Arc::from("print"),
        };
        assert_eq!(first.submit(filler).await, ClaimReply::Claimed);
    }
    let second = Shard::start(store.client("second"), index, Arc::from("second"));
    let reply = second.submit(claim(1, &Arc::from("two"))).await;
    assert_eq!(reply, ClaimReply::Taken(Arc::from("one")));
}

#[tokio::test(start_paused = true)]
async fn a_claim_stored_by_a_write_without_a_response_is_read_back() {
    let store = MemoryStore::new(Duration::ZERO);
    let port = store.client("one");
    let index = shard_of(&key_text(1));
    let shard = Shard::start(port.clone(), index, Arc::from("one"));
    port.set_faults(StoreFaults { lose_responses: true, ..StoreFaults::default() });
    let by: Arc<str> = Arc::from("attempt");
    assert_eq!(shard.submit(claim(1, &by)).await, ClaimReply::Unavailable);
    port.set_faults(StoreFaults::default());
    assert_eq!(shard.submit(claim(1, &by)).await, ClaimReply::Claimed);
    let other = shard.submit(claim(1, &Arc::from("other"))).await;
    assert_eq!(other, ClaimReply::Taken(by));
}

#[rstest::rstest]
#[case::finished("print", true, ClaimReply::Done(answer(201)))]
#[case::may_be_running("print", false, ClaimReply::Taken(Arc::from("one")))]
#[case::another_request("other", true, ClaimReply::Mismatch)]
#[tokio::test(start_paused = true)]
async fn a_retry_receives_the_state_of_the_first_call(
    #[case] print: &str,
    #[case] finished: bool,
    #[case] expected: ClaimReply,
) {
    let store = MemoryStore::new(Duration::ZERO);
    let shard = Shard::start(store.client("one"), shard_of("k"), Arc::from("one"));
    let key: Arc<str> = Arc::from("k");
    let one: Arc<str> = Arc::from("one");
    let first =
        ClaimRequest::Claim { key: key.clone(), by: one.clone(), fingerprint: Arc::from("print") };
    assert_eq!(shard.submit(first).await, ClaimReply::Claimed);
    if finished {
        let finish = ClaimRequest::Finish { key: key.clone(), by: one, response: answer(201) };
        assert_eq!(shard.submit(finish).await, ClaimReply::Recorded);
    }
    let again = ClaimRequest::Claim { key, by: Arc::from("two"), fingerprint: Arc::from(print) };
    assert_eq!(shard.submit(again).await, expected);
}
