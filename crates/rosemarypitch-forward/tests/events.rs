//! Framing of events, at any split of the byte stream into chunks.

use bytes::Bytes;
use rosemarypitch_forward::events::EventFramer;
use rstest::rstest;

const STREAM: &str =
    "id: 1\ndata: a\n\nid: 2\ndata: b\n\n\nid: 7\r\ndata: c\r\n\r\n: note\n\nid: 9\nda";

fn push(events: &mut EventFramer, text: &str) -> String {
    let forwarded = events.push(&Bytes::copy_from_slice(text.as_bytes()));
    String::from_utf8(forwarded.to_vec()).expect("text")
}

#[test]
fn only_complete_events_are_forwarded_at_any_chunking() {
    let whole = STREAM.strip_suffix("id: 9\nda").expect("a truncated event");
    for first in 0..STREAM.len() {
        for second in first..STREAM.len() {
            let mut events = EventFramer::new(true);
            let parts = [&STREAM[..first], &STREAM[first..second], &STREAM[second..]];
            let forwarded: String = parts.iter().map(|part| push(&mut events, part)).collect();
            assert_eq!(forwarded, whole, "split at {first} and {second}");
            assert_eq!(events.position().events, 4);
            assert_eq!(events.position().last_id.as_deref(), Some("7"));
        }
    }
}

#[test]
fn a_discarded_partial_event_is_not_forwarded() {
    let mut events = EventFramer::new(true);
    assert_eq!(push(&mut events, "id: 1\n\nid: 2\nda"), "id: 1\n\n");
    events.discard_partial();
    assert_eq!(push(&mut events, "id: 2\n\n"), "id: 2\n\n");
    assert_eq!(events.position().last_id.as_deref(), Some("2"));
}

#[rstest]
#[case::buffered(true, "", "rest")]
#[case::forwarded(false, "rest", "")]
fn bytes_after_the_last_event_are_forwarded_once(
    #[case] whole: bool,
    #[case] at_once: &str,
    #[case] at_end: &str,
) {
    let mut events = EventFramer::new(whole);
    assert_eq!(push(&mut events, "rest"), at_once);
    assert_eq!(events.finish(), at_end);
}

#[rstest]
#[case::line("rest", true)]
#[case::field("data: rest\n", true)]
#[case::event("data: rest\n\n", false)]
#[case::event_of_crlf("data: rest\r\n\r\n", false)]
#[case::empty_lines("data: rest\n\n\n\r\n", false)]
fn bytes_that_end_inside_an_event_are_partial(#[case] text: &str, #[case] partial: bool) {
    for whole in [true, false] {
        let mut events = EventFramer::new(whole);
        assert!(!events.is_inside_event());
        assert_eq!(push(&mut events, text), if whole && partial { "" } else { text });
        assert_eq!(events.is_inside_event(), partial);
        events.discard_partial();
        assert!(events.is_resumed() && !events.is_inside_event());
    }
}

/// The next upstream of a stream after event 7, at any chunking.
#[rstest]
#[case::next("id: 8\ndata: a\n\nid: 9\n\n", "id: 8\ndata: a\n\nid: 9\n\n", false)]
#[case::later("id: 12\n\n", "id: 12\n\n", false)]
#[case::note(": note\n\nid: 8\n\n", ": note\n\nid: 8\n\n", false)]
#[case::end_without_id("id: 8\n\ndata: end\n\n", "id: 8\n\ndata: end\n\n", false)]
#[case::same_again("id: 7\ndata: a\n\nid: 8\n\n", "", true)]
#[case::from_the_start("id: 1\ndata: a\n\nid: 8\n\n", "", true)]
#[case::no_id("data: a\n\nid: 8\n\n", "", true)]
#[case::error("HTTP/1.1 500 Error\r\na: b\r\n\r\nid: 8\n\n", "", true)]
#[case::no_number("id: x\n\n", "id: x\n\n", false)]
#[case::note_and_error(": note\n\nfailed\n\n", ": note\n\n", true)]
fn only_events_that_follow_the_last_one_resume_a_stream(
    #[case] text: &str,
    #[case] expected: &str,
    #[case] misplaced: bool,
) {
    for split in 0..text.len() {
        let mut events = EventFramer::new(true);
        assert_eq!(push(&mut events, "id: 7\n\nid: 8\nda"), "id: 7\n\n");
        events.discard_partial();
        let forwarded = push(&mut events, &text[..split]) + &push(&mut events, &text[split..]);
        assert_eq!((forwarded.as_str(), events.is_misplaced()), (expected, misplaced), "{split}");
        if misplaced {
            events.discard_partial();
            assert_eq!(push(&mut events, "id: 8\n\n"), "id: 8\n\n");
            assert!(!events.is_misplaced());
        }
    }
}

/// A stream that ends inside an event looked complete.
#[rstest]
#[case::after_an_event("id: 1\ndata: a\n\n", false)]
#[case::after_blank_lines("id: 1\r\n\r\n\r\n", false)]
#[case::without_an_event("", false)]
#[case::inside_a_line("id: 1\n\nda", true)]
#[case::after_a_line("id: 1\n\ndata: b\n", true)]
fn the_end_of_a_stream_is_inside_an_event_or_after_one(
    #[case] stream: &str,
    #[case] inside: bool,
    #[values(true, false)] whole_only: bool,
) {
    for split in 0..=stream.len() {
        let mut events = EventFramer::new(whole_only);
        push(&mut events, &stream[..split]);
        push(&mut events, &stream[split..]);
        assert_eq!(events.is_inside_event(), inside, "split at {split}");
    }
}

/// A failing upstream may send bytes without end that are no event. They were buffered up to a
/// limit, and forwarded to the caller beyond it.
#[test]
fn an_event_too_long_is_reported_and_not_forwarded() {
    let mut events = EventFramer::new(true);
    let long = "x".repeat(40 << 10);
    assert_eq!(push(&mut events, "id: 1\n\n"), "id: 1\n\n");
    assert_eq!(push(&mut events, &long), "");
    assert!(!events.is_overlong());
    assert_eq!(push(&mut events, &long), "");
    assert!(events.is_overlong());
    assert!(events.is_resumable());
    // Another upstream goes on after the last complete event.
    events.discard_partial();
    assert!(!events.is_overlong());
    assert_eq!(events.position().last_id.as_deref(), Some("1"));
    assert_eq!(push(&mut events, "id: 2\n\n"), "id: 2\n\n");
}
