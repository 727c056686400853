//! Which prompt parts are held responsible for crashes of engines.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rosemarypitch_forward::quarantine::{CrashRecord, Quarantine};
use rstest::rstest;
use tokio::time::Instant;

/// Time after which a crash is forgotten.
const RETENTION: Duration = Duration::from_secs(900);
/// Time for which a part is refused after two crashes.
const FIRST_BLOCK: Duration = Duration::from_secs(60);

/// A request that waited at an engine when it crashed.
#[derive(Clone, Copy)]
struct Waiting {
    /// Time of the crash, in milliseconds after the start.
    at: u64,
    engine: &'static str,
    /// Shared parts of its prompt, separated by spaces.
    parts: &'static str,
}

const fn waiting(at: u64, engine: &'static str, parts: &'static str) -> Waiting {
    Waiting { at, engine, parts }
}

/// A quarantine and the time that passes for it.
struct Scene {
    start: Instant,
    quarantine: Quarantine,
    next_id: u64,
}

impl Scene {
    fn new() -> Self {
        // Records of the past need instants before the start.
        let start = Instant::now() + Duration::from_secs(10_000);
        Self { start, quarantine: Quarantine::default(), next_id: 1 }
    }

    fn at(&self, millis: u64) -> Instant {
        self.start + Duration::from_millis(millis)
    }

    fn crash(&mut self, crash: Waiting) {
        let record = record(self.next_id, crash);
        self.next_id += 1;
        assert!(self.quarantine.add(self.at(crash.at), record));
    }

    fn crash_all(&mut self, crashes: &[Waiting]) {
        crashes.iter().for_each(|crash| self.crash(*crash));
    }

    fn answer(&mut self, millis: u64, text: &str) {
        self.quarantine.record_answer(self.at(millis), &parts(text));
    }

    fn is_blocked(&self, millis: u64, text: &str) -> bool {
        self.quarantine.blocked(self.at(millis), &parts(text)).is_some()
    }
}

fn parts(text: &str) -> Vec<Arc<str>> {
    text.split_whitespace().map(Arc::from).collect()
}

fn record(id: u64, crash: Waiting) -> CrashRecord {
    let engine = Arc::from(crash.engine);
    CrashRecord { id, engine, incarnation: 1, parts: parts(crash.parts), age_ms: 0 }
}

/// One request in each crash, all with `bad`, two of them with the same first part.
const DIFFERENT: &[Waiting] =
    &[waiting(0, "a", "f bad x"), waiting(1_000, "b", "g bad y"), waiting(2_000, "c", "f bad z")];
/// Sound requests wait at the crashed engines; after two crashes, `f` explains them as well.
const BYSTANDERS: &[Waiting] = &[
    waiting(0, "a", "f bad"),
    waiting(1, "a", "f u"),
    waiting(1, "a", "h v"),
    waiting(1_000, "b", "g bad"),
    waiting(1_001, "b", "f w"),
    waiting(2_000, "c", "h bad"),
    waiting(2_001, "c", "h v"),
];
/// All requests have the first part.
const COMMON_FIRST: &[Waiting] = &[
    waiting(0, "a", "f bad"),
    waiting(1, "a", "f u"),
    waiting(1_000, "b", "f bad"),
    waiting(1_001, "b", "f w"),
    waiting(2_000, "c", "f bad"),
];
/// A sound request is sent again to the next engine that crashes.
const SOUND_RETRIED: &[Waiting] = &[
    waiting(0, "a", "f bad"),
    waiting(1, "a", "g u"),
    waiting(1_000, "b", "g bad"),
    waiting(1_001, "b", "g u"),
    waiting(2_000, "c", "f bad"),
];
/// A sound request waits at the second crash, and another one with its part at the third, of
/// which the deadly request is not known here.
const LATER_TIE: &[Waiting] = &[
    waiting(0, "a", "f bad"),
    waiting(1_000, "b", "f bad"),
    waiting(1_001, "b", "u"),
    waiting(2_000, "c", "u"),
];
/// Two parts, each of which crashes engines.
const TWO_CULPRITS: &[Waiting] = &[
    waiting(0, "a", "f bad"),
    waiting(1_000, "b", "g bad"),
    waiting(2_000, "c", "h bad"),
    waiting(3_000, "d", "f u"),
    waiting(4_000, "e", "g u"),
];

#[rstest]
#[case::two_requests(&DIFFERENT[..2], &["h bad", "bad"], &["f x", "g y"])]
#[case::three_requests(DIFFERENT, &["h bad", "bad"], &["f x", "f z", "f g x y z"])]
#[case::one_request_sent_twice(&[waiting(0, "a", "f bad"), waiting(500, "b", "f bad")],
    &["f bad", "f bad x"], &["f", "f x", "bad"])]
#[case::bystanders(BYSTANDERS, &["f bad"], &["f u", "h v", "f w", "f", "g", "h"])]
#[case::bystanders_of_two_crashes(&BYSTANDERS[..5], &[], &["f u", "h v", "f w", "f", "g"])]
#[case::common_first_part(COMMON_FIRST, &["f bad", "h bad"], &["f u", "f w", "f"])]
#[case::sound_request_sent_twice(SOUND_RETRIED, &["h bad"], &["g u", "f", "g"])]
#[case::ambiguous(&SOUND_RETRIED[..4], &[], &["f bad", "g u", "g", "f"])]
#[case::later_tie(LATER_TIE, &["f bad"], &["u", "f u"])]
#[case::two_culprits(TWO_CULPRITS, &["h bad", "h u"], &["f", "g", "f g"])]
#[case::one_engine_again(&[waiting(0, "a", "f bad"), waiting(3_000, "a", "g bad")],
    &["bad", "h bad"], &["f", "g"])]
#[case::one_crash(&DIFFERENT[..1], &[], &["f bad x"])]
#[case::one_crash_with_two_requests(&[waiting(0, "a", "f bad"), waiting(300, "a", "g bad")],
    &[], &["f bad", "g bad"])]
fn the_part_that_crashes_have_in_common_is_blocked(
    #[case] crashes: &[Waiting],
    #[case] blocked: &[&str],
    #[case] sound: &[&str],
) {
    let mut scene = Scene::new();
    scene.crash_all(crashes);
    for text in blocked {
        assert!(scene.is_blocked(5_000, text), "{text}: {:?}", scene.quarantine.culprits());
    }
    for text in sound {
        assert!(!scene.is_blocked(5_000, text), "{text}: {:?}", scene.quarantine.culprits());
    }
}

#[test]
fn requests_without_shared_parts_are_neither_recorded_nor_blocked() {
    let mut scene = Scene::new();
    scene.crash_all(DIFFERENT);
    assert!(!scene.quarantine.add(scene.at(0), record(9, waiting(0, "d", ""))));
    assert!(!scene.is_blocked(5_000, ""));
}

#[test]
fn ordinary_crashes_under_different_requests_block_nothing() {
    let mut scene = Scene::new();
    let mut random = StdRng::seed_from_u64(1);
    let engines = ["a", "b", "c", "d", "e", "f", "g", "h"];
    for (number, engine) in (0..).zip(engines) {
        // The first part is common, so answers with it are completed all the time.
        scene.answer(number * 500, "first");
        for request in 0..4 {
            let own: Arc<str> = Arc::from(format!("own-{number}-{request}"));
            let crash = record(random.random(), waiting(0, engine, "first"));
            let crash = CrashRecord { parts: vec![crash.parts[0].clone(), own], ..crash };
            assert!(scene.quarantine.add(scene.at(number * 500 + request), crash));
        }
    }
    assert_eq!(scene.quarantine.culprits(), []);
}

/// A rack that fails takes many engines at once, at which requests with a part in common wait.
#[test]
fn simultaneous_crashes_block_nothing() {
    let mut scene = Scene::new();
    for (number, engine) in (0..).zip(["a", "b", "c", "d", "e", "f"]) {
        scene.crash(waiting(number * 15, engine, "f u"));
    }
    assert!(!scene.is_blocked(1_000, "f u"));
}

#[rstest]
#[case::since_the_crashes(1_500)]
#[case::between_the_crashes(500)]
#[case::shortly_before(0)]
fn a_part_that_an_engine_has_answered_is_not_blocked(#[case] answered: u64) {
    let mut scene = Scene::new();
    for (at, crash) in [(100, "f"), (1_100, "f")] {
        if answered < at {
            scene.answer(answered, "f");
        }
        scene.crash(waiting(at, if at == 100 { "a" } else { "b" }, crash));
    }
    scene.answer(answered.max(1_100), if answered > 1_100 { "f" } else { "other" });
    assert!(!scene.is_blocked(2_000, "f"));
}

/// A part may begin to crash engines that had answered it before.
#[test]
fn an_answer_long_before_the_crashes_clears_no_part() {
    let mut scene = Scene::new();
    scene.answer(0, "bad");
    scene.crash_all(&[waiting(60_000, "a", "bad"), waiting(61_000, "b", "bad")]);
    assert!(scene.is_blocked(62_000, "bad"));
}

#[test]
fn a_culprit_is_tried_again_after_its_last_crash_is_forgotten() {
    let mut scene = Scene::new();
    scene.crash_all(DIFFERENT);
    let last = 2_000 + RETENTION.as_millis() as u64;
    assert!(scene.is_blocked(last - 1, "bad"));
    assert!(!scene.is_blocked(last, "bad"));
    let left = scene.quarantine.blocked(scene.at(2_000), &parts("bad"));
    assert_eq!(left, Some(RETENTION));
    scene.answer(last, "other");
    assert_eq!(scene.quarantine.culprit_count(), 0);
    let old = CrashRecord { age_ms: RETENTION.as_millis() as u64, ..record(99, DIFFERENT[0]) };
    assert!(!scene.quarantine.add(scene.at(0), old));
}

#[test]
fn a_part_is_refused_for_a_shorter_time_after_two_crashes_than_after_three() {
    let mut scene = Scene::new();
    scene.crash_all(&DIFFERENT[..2]);
    let end = 1_000 + FIRST_BLOCK.as_millis() as u64;
    assert!(scene.is_blocked(end - 1, "bad"));
    assert!(!scene.is_blocked(end, "bad"));
    scene.crash(waiting(end, "c", "h bad"));
    assert_eq!(scene.quarantine.blocked(scene.at(end), &parts("bad")), Some(RETENTION));
}

/// Hosts receive records and answers of others in any order, some records repeatedly.
#[rstest]
fn records_in_any_order_give_the_same_culprits(
    #[values(BYSTANDERS, LATER_TIE, COMMON_FIRST, SOUND_RETRIED, TWO_CULPRITS, DIFFERENT)]
    crashes: &[Waiting],
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
) {
    const END: u64 = 6_000;
    let scene = Scene::new();
    let mut records: Vec<CrashRecord> = (0..)
        .zip(crashes)
        .map(|(number, crash)| CrashRecord {
            age_ms: END - crash.at,
            ..record(1 << number, *crash)
        })
        .collect();
    let (mut first, mut second) = (Quarantine::default(), Quarantine::default());
    for record in &records {
        assert!(first.add(scene.at(END), record.clone()));
    }
    records.shuffle(&mut StdRng::seed_from_u64(seed));
    for record in &records {
        assert!(second.add(scene.at(END), record.clone()));
        assert!(!second.add(scene.at(END), record.clone()), "known");
    }
    assert_eq!(first.culprits(), second.culprits());
    assert_ne!(first.culprits(), []);
    let mut third = Quarantine::default();
    for record in second.records(scene.at(END)) {
        assert!(third.add(scene.at(END), record));
    }
    assert_eq!(third.culprits(), first.culprits());
    assert_eq!(third.digest(scene.at(END)), first.digest(scene.at(END)));
    assert_ne!(third.digest(scene.at(END)), 0);
}

#[test]
fn records_are_bounded_and_a_culprit_outlasts_a_flood_of_them() {
    let mut scene = Scene::new();
    scene.crash_all(DIFFERENT);
    let mut random = StdRng::seed_from_u64(2);
    for number in 0..1_000 {
        let parts = vec![Arc::from(format!("own-{number}"))];
        let engine = Arc::from(format!("i-{number}"));
        let crash = CrashRecord { id: random.random(), engine, incarnation: 1, parts, age_ms: 0 };
        scene.quarantine.add(scene.at(3_000 + number), crash);
    }
    assert!(scene.quarantine.records(scene.at(9_000)).len() <= 128);
    assert!(scene.is_blocked(9_000, "bad"));
}
