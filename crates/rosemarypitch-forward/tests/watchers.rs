//! Sharing of the store's watches: which hosts watch, and which updates they relay.

use std::sync::Arc;

use rosemarypitch_forward::config::ConfigSnapshot;
use rosemarypitch_forward::deployment::{StorePosition, Update};
use rosemarypitch_forward::watchers::{Source, UpdateLog, source};
use rstest::rstest;

fn names(count: usize) -> Vec<Arc<str>> {
    (0..count).map(|number| Arc::from(format!("edge-{number:02}"))).collect()
}

fn at(revision: u64) -> StorePosition {
    StorePosition { era: 1, revision }
}

fn removed(id: &str) -> Update {
    Update::HostRemoved(Arc::from(id))
}

/// Where each of `count` hosts that reach each other gets its updates from.
fn sources(count: usize) -> Vec<Source> {
    let hosts = names(count);
    let others = |own: &Arc<str>| hosts.iter().filter(|host| *host != own).cloned().collect();
    hosts.iter().map(|own| source(own, &others(own) as &Vec<Arc<str>>)).collect()
}

#[test]
fn each_host_of_a_small_row_watches_the_store() {
    assert_eq!(sources(5), vec![Source::Store { watcher: false }; 5]);
}

#[rstest]
#[case(8)]
#[case(20)]
#[case(33)]
fn two_hosts_of_a_row_watch_and_the_others_follow_them_evenly(#[case] count: usize) {
    let all = sources(count);
    let hosts = names(count);
    assert_eq!(all[..2], [Source::Store { watcher: true }, Source::Store { watcher: true }]);
    let followers =
        |of: usize| all.iter().filter(|source| **source == Source::Peer(hosts[of].clone())).count();
    assert_eq!(followers(0) + followers(1), count - 2);
    assert!(followers(0).abs_diff(followers(1)) <= 1);
}

#[test]
fn a_host_that_reaches_no_other_watches_the_store() {
    assert_eq!(source(&names(1)[0], &[]), Source::Store { watcher: false });
}

#[test]
fn a_log_relays_the_batches_after_a_revision() {
    let mut log = UpdateLog::default();
    log.reset(at(10));
    log.push(at(12), vec![removed("a"), removed("b")]);
    log.push(at(15), vec![removed("c")]);
    let relayed = |revision| log.since(at(revision)).map(|updates| updates.updates.len());
    assert_eq!(relayed(10), Some(3));
    // Part of the first batch is relayed again, followed by all that came after it.
    assert_eq!(relayed(11), Some(3));
    assert_eq!(relayed(12), Some(1));
    assert_eq!(relayed(15), Some(0));
    assert_eq!(log.since(at(12)).map(|updates| updates.position), Some(at(15)));
}

/// A host that follows a watcher never goes back, and misses no update.
#[test]
fn a_log_has_no_updates_for_hosts_that_are_ahead_or_too_far_behind() {
    let mut log = UpdateLog::default();
    log.reset(at(10));
    assert!(log.since(at(9)).is_none());
    log.push(at(12), vec![removed("a")]);
    // The host has read the store later than the watcher, which is about to catch up.
    assert_eq!(log.since(at(13)).map(|updates| updates.updates), Some(Vec::new()));
    for revision in 11..200 {
        log.push(at(revision), vec![removed("a")]);
    }
    assert!(log.since(at(20)).is_none());
    assert_eq!(log.since(at(190)).map(|updates| updates.updates.len()), Some(9));
    log.reset(at(300));
    assert!(log.since(at(199)).is_none());
}

#[test]
fn a_repeated_batch_is_recorded_once() {
    let mut log = UpdateLog::default();
    log.reset(at(10));
    log.push(at(12), vec![removed("a")]);
    log.push(at(12), vec![removed("a")]);
    assert_eq!(log.since(at(10)).map(|updates| updates.updates.len()), Some(1));
}

/// After the store was restored from a copy, revisions are given out again, and a log that only
/// rose relayed none of the new updates.
#[test]
fn a_log_has_no_updates_across_eras() {
    let mut log = UpdateLog::default();
    log.reset(at(10));
    log.push(at(12), vec![removed("a")]);
    let restored = |revision| StorePosition { era: 2, revision };
    assert!(log.since(restored(8)).is_none());
    log.reset(restored(8));
    log.push(restored(9), vec![removed("b")]);
    assert_eq!(log.since(restored(8)).map(|updates| updates.updates.len()), Some(1));
    assert!(log.since(at(8)).is_none());
    assert!(log.since(at(12)).is_none());
}

/// A host kept the last 64 versions of a large configuration, and was killed for its memory.
#[test]
fn a_log_keeps_only_the_latest_configuration() {
    let configs: Vec<Arc<ConfigSnapshot>> = (0..70)
        .map(|version| Arc::new(ConfigSnapshot { version, ..ConfigSnapshot::default() }))
        .collect();
    let mut log = UpdateLog::default();
    log.reset(at(10));
    for (revision, pair) in (11..).zip(configs.chunks(2)) {
        let mut updates: Vec<Update> = pair.iter().cloned().map(Update::Config).collect();
        updates.push(removed("a"));
        log.push(at(revision), updates);
    }
    let held = configs.iter().filter(|config| Arc::strong_count(config) > 1);
    assert_eq!(held.map(|config| config.version).collect::<Vec<_>>(), [69]);
    let relayed = log.since(at(20)).unwrap_or_default().updates;
    let versions = relayed.iter().filter_map(|update| match update {
        Update::Config(config) => Some(config.version),
        _ => None,
    });
    assert_eq!(versions.collect::<Vec<_>>(), [69]);
    assert_eq!(relayed.len(), 1 + 25);
}
