//! Tests of the parser of decode stream frames.

use std::sync::Arc;

use proptest::prelude::{any, proptest};
use proptest::test_runner::{Config, RngSeed};
use rosemarypitch_route::AttemptId;
use rosemarypitch_upstream::{FinishReason, Frame};
use rstest::rstest;

fn attempt(request: u64) -> AttemptId {
    AttemptId { host: Arc::from("h"), incarnation: 7, request, attempt: 1 }
}

#[rstest]
#[case::no_attempt(r#"{"i":0,"t":"x"}"#)]
#[case::malformed_attempt(r#"{"a":"h/1","i":0,"t":"x"}"#)]
#[case::neither(r#"{"a":"h/1/2/3"}"#)]
#[case::both(r#"{"a":"h/1/2/3","i":0,"t":"x","n":1,"end":"stop"}"#)]
#[case::unknown_finish_reason(r#"{"a":"h/1/2/3","n":1,"end":"why"}"#)]
#[case::negative(r#"{"a":"h/1/2/3","i":-1,"t":"x"}"#)]
#[case::truncated(r#"{"a":"h/1/2/3","i":0,"#)]
fn malformed_frames_are_rejected(#[case] text: &str) {
    assert!(serde_json::from_str::<Frame>(text).is_err());
}

#[test]
fn unknown_fields_are_ignored() {
    let frame: Frame =
        serde_json::from_str(r#"{"a":"h/7/2/1","x":[1],"n":3,"end":"stop"}"#).expect("an end");
    assert_eq!(
        frame,
        Frame::End { attempt: attempt(2), tokens: 3, finish_reason: FinishReason::Stop }
    );
}

proptest! {
    #![proptest_config(Config { cases: 1_000, rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..Config::default() })]

    #[test]
    fn frames_survive_a_round_trip(request in any::<u64>(), index in any::<u32>(), text in ".{0,20}") {
        let frame = Frame::Token { attempt: attempt(request), index, text };
        let bytes = serde_json::to_vec(&frame).expect("JSON");
        assert_eq!(serde_json::from_slice::<Frame>(&bytes).expect("a frame"), frame);
    }

    #[test]
    fn arbitrary_bytes_are_parsed_or_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..60)) {
        let _ = serde_json::from_slice::<Frame>(&bytes);
    }
}
