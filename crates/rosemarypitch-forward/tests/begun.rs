//! Which streams a host tells to the others.

use std::sync::Arc;
use std::time::Duration;

use rosemarypitch_forward::begun::BegunStreams;
use rosemarypitch_forward::versions::{STREAM_TIME, ToldStream};
use tokio::time::Instant;

const RUN: u64 = 1;
const NEXT_RUN: u64 = 2;

fn stream(digest: u64, version: &str) -> ToldStream {
    ToldStream { digest, version: Arc::from(version) }
}

fn sent(begun: &BegunStreams, host: &str, run: u64) -> Vec<(String, Vec<u64>)> {
    let batch = begun.batch(host, run);
    let streams = batch.into_iter().flat_map(|batch| batch.streams);
    streams.map(|(version, digests)| (version.to_string(), digests)).collect()
}

/// A host that was not told of a stream could not take it up once the stream's own host was gone.
#[test]
fn streams_are_told_until_they_are_acknowledged() {
    let now = Instant::now();
    let (b, mut begun) = (Arc::from("b"), BegunStreams::default());
    begun.add(now, vec![stream(1, "v1")]);
    let lost = begun.batch(&b, RUN).expect("a batch");
    begun.add(now, vec![stream(2, "v2"), stream(3, "v1")]);
    let v1 = |digests: &[u64]| ("v1".to_owned(), digests.to_vec());
    assert_eq!(sent(&begun, &b, RUN), [v1(&[3, 1]), ("v2".to_owned(), vec![2])]);
    let batch = begun.batch(&b, RUN).expect("a batch");
    begun.add(now, vec![stream(4, "v1")]);
    begun.acknowledge(&b, &batch);
    // The reply to the first message arrives after all.
    begun.acknowledge(&b, &lost);
    assert_eq!(sent(&begun, &b, RUN), [v1(&[4])]);
    let batch = begun.batch(&b, RUN).expect("a batch");
    begun.acknowledge(&b, &batch);
    assert_eq!(begun.batch(&b, RUN), None);
    // Another host, and a restarted one, know none of them.
    assert_eq!(sent(&begun, "c", RUN)[0], v1(&[4, 3, 1]));
    assert_eq!(sent(&begun, &b, NEXT_RUN)[0], v1(&[4, 3, 1]));
    begun.add(now + STREAM_TIME + Duration::from_secs(1), Vec::new());
    assert_eq!(begun.batch("c", RUN), None);
}
