//! Memory of bodies, and places of connections, without a network.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rosemarypitch_forward::byte_account::{Buffer, BufferError, ByteAccount};
use rosemarypitch_forward::crowd::{Capacity, Claim, Crowd, Place};
use rstest::rstest;
use tokio::time::Instant;

const MB: usize = 1 << 20;

fn add(buffer: &mut Buffer, now: Instant, size: usize) -> Result<(), BufferError> {
    buffer.add(now, &mut &vec![b'x'; size][..])
}

/// Bodies that arrive, end, are cancelled or fail, in any order.
#[rstest]
fn the_account_never_exceeds_its_limit_and_ends_at_zero(
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
    #[values(64 << 10, MB, 8 * MB)] limit: usize,
) {
    let mut random = StdRng::seed_from_u64(seed);
    let account = ByteAccount::new(limit);
    let mut now = Instant::now();
    let (mut arriving, mut complete): (Vec<Buffer>, Vec<(Bytes, usize)>) = Default::default();
    let mut refused = 0;
    for _ in 0..3_000 {
        now += Duration::from_millis(random.random_range(0..20));
        match random.random_range(0..10) {
            0..2 => arriving.push(Buffer::new(now, &account, MB)),
            2..7 if !arriving.is_empty() => {
                let index = random.random_range(0..arriving.len());
                let size = 1 << random.random_range(0..18);
                refused += usize::from(add(&mut arriving[index], now, size).is_err());
            }
            7 if !arriving.is_empty() => {
                let buffer = arriving.swap_remove(random.random_range(0..arriving.len()));
                let length = buffer.length();
                complete.extend(buffer.join().ok().map(|bytes| (bytes, length)));
            }
            8 if !arriving.is_empty() => {
                arriving.swap_remove(random.random_range(0..arriving.len()));
            }
            9 if !complete.is_empty() => {
                complete.swap_remove(random.random_range(0..complete.len()));
            }
            _ => {}
        }
        assert!(account.used() <= limit);
        let held: usize = complete.iter().map(|(bytes, _)| bytes.len()).sum();
        assert!(account.used() >= held);
        assert_eq!(account.arriving(), arriving.len());
    }
    assert!(refused > 0 || limit > MB);
    assert!(complete.iter().all(|(bytes, length)| bytes.len() == *length));
    drop((arriving, complete));
    assert_eq!((account.used(), account.arriving()), (0, 0));
}

#[test]
fn the_memory_of_a_complete_body_is_returned_with_its_last_copy() {
    let now = Instant::now();
    let account = ByteAccount::new(4 * MB);
    let mut buffer = Buffer::new(now, &account, MB);
    assert_eq!(add(&mut buffer, now, MB), Ok(()));
    assert_eq!(add(&mut buffer, now, 1), Err(BufferError::TooLong));
    let bytes = buffer.join().expect("room for a copy");
    assert_eq!(account.used(), MB);
    let copy = bytes.clone();
    drop(bytes);
    assert_eq!(account.used(), MB);
    drop(copy);
    assert_eq!(account.used(), 0);
}

/// Bodies that stop short of their end left no room for any other request.
#[test]
fn small_bodies_have_room_beside_large_ones_that_make_no_progress() {
    let now = Instant::now();
    let account = ByteAccount::new(4 * MB);
    let stuck: Vec<Buffer> = (0..8)
        .map(|_| {
            let mut buffer = Buffer::new(now, &account, MB);
            // The last ones find no room.
            let _ = add(&mut buffer, now, MB - 1);
            buffer
        })
        .collect();
    let mut ordinary = Buffer::new(now, &account, MB);
    assert_eq!(add(&mut ordinary, now, 5_000), Ok(()));
    assert_eq!(ordinary.join().map(|bytes| bytes.len()), Ok(5_000));
    assert!(stuck.iter().any(|buffer| buffer.length() < MB - 1));
}

#[test]
fn the_body_without_progress_for_longest_is_given_up_first() {
    let start = Instant::now();
    let account = ByteAccount::new(MB);
    let ms = Duration::from_millis;
    let mut first = Buffer::new(start, &account, MB);
    let _second = Buffer::new(start + ms(10), &account, MB);
    assert!(!account.give_up_slowest(start + ms(100)), "all may still make progress");
    assert_eq!(add(&mut first, start + ms(250), 10), Ok(()));
    assert!(account.give_up_slowest(start + ms(260)));
    assert_eq!(account.arriving(), 1);
    assert!(!account.give_up_slowest(start + ms(260)), "the other one made progress");
    assert!(account.give_up_slowest(start + ms(450)));
}

fn enter(crowd: &Arc<Crowd>, now: Instant) -> Option<Place> {
    crowd.enter(now, 3)
}

/// Whether a connection has to be closed for another one.
fn is_displaced(place: &Place) -> bool {
    let mut context = std::task::Context::from_waker(std::task::Waker::noop());
    std::pin::pin!(place.displaced()).as_mut().poll(&mut context).is_ready()
}

/// Connections that say nothing took all descriptors.
#[test]
fn a_new_connection_takes_the_place_of_one_that_never_completed_a_request() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let crowd = Arc::new(Crowd::default());
    let places: Vec<Place> = (0..3).filter_map(|n| enter(&crowd, at(n))).collect();
    places[0].set(Claim::Waiting(at(5)));
    places[1].set(Claim::Serving);
    let newcomer = enter(&crowd, at(10)).expect("a place");
    assert_eq!(places.iter().map(is_displaced).collect::<Vec<_>>(), [false, false, true]);
    // It is still closing, and counts no more.
    let next = enter(&crowd, at(11)).expect("a place");
    assert!(is_displaced(&newcomer), "it is the only one on which nothing was served");
    next.set(Claim::Serving);
    let last = enter(&crowd, at(12)).expect("a place");
    assert!(is_displaced(&places[0]), "the one that waits goes before those that are served");
    last.set(Claim::Serving);
    assert!(enter(&crowd, at(13)).is_none(), "all are served");
    drop(last);
    assert!(enter(&crowd, at(14)).is_some());
    drop((places, newcomer, next));
    assert_eq!(crowd.count(), 0);
}

#[rstest]
#[case::unknown(None, None, usize::MAX)]
#[case::by_memory(Some(96 * MB), Some(100_000), 768)]
#[case::by_descriptors(Some(512 * MB), Some(3_075), 2_307)]
#[case::few_descriptors(Some(512 * MB), Some(100), 68)]
#[case::hardly_any(Some(1), Some(1), 1)]
fn connections_are_bounded_by_what_the_host_has(
    #[case] memory: Option<usize>,
    #[case] descriptors: Option<usize>,
    #[case] expected: usize,
) {
    let capacity = Capacity { memory, descriptors };
    assert_eq!(capacity.connections(), expected);
    // At least one of the largest bodies fits, and its copy.
    assert!(capacity.bodies(4 * MB) >= 8 * MB);
}
