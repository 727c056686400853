//! Versions of streams over several hosts, with releases, kills and rollbacks of the store.
//!
//! A model of the deployment drives the state machines of the hosts and keeps the history of each
//! stream: its first event, and where callers took it up. No stream may have two versions.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rosemarypitch_forward::versions::{
    SETTLE_TIME, SoleVersion, StoredVersion, StreamLog, StreamRecord, StreamVersion, Versions,
};
use rstest::rstest;
use tokio::time::Instant;

const HOSTS: usize = 4;
const STEP: Duration = Duration::from_millis(50);
const STEPS: u64 = 6_000;
/// Longest time after which a caller takes its stream up.
const STREAM_STEPS: u64 = 14 * 20;
/// Longest time for which a host that runs misses changes of the store.
const LAG_STEPS: u64 = 10 * 20;

fn name(text: &str) -> Arc<str> {
    Arc::from(text)
}

/// What the store holds.
#[derive(Clone, Default)]
struct Contents {
    registered: BTreeSet<Arc<str>>,
    version: StoredVersion,
    records: BTreeMap<Arc<str>, Arc<str>>,
}

#[derive(Default)]
struct Store {
    now: Contents,
    era: u64,
    revision: u64,
    copy: Contents,
}

/// A host and what it knows of the store.
struct Host {
    versions: Versions,
    streams: StreamLog,
    /// Steps for which it neither hears from the store nor reaches it.
    cut: u64,
}

impl Host {
    fn start() -> Self {
        Self { versions: Versions::default(), streams: StreamLog::default(), cut: 0 }
    }

    /// Follows the store, writes what it has to, and records its streams.
    fn follow(&mut self, now: Instant, store: &mut Store, first: bool, random: &mut StdRng) {
        let service = name("model");
        self.versions.enter_era(store.era);
        let registered = [(service.clone(), store.now.registered.clone())].into();
        self.versions.set_registered(now, registered);
        if store.now.version.revision > 0 {
            self.versions.set_stored(&service, store.now.version.clone());
        }
        if let Some(change) = self.versions.next_change(now, &service, first) {
            if change.revision == store.now.version.revision {
                store.revision += 1;
                store.now.version = StoredVersion { sole: change.sole, revision: store.revision };
            }
            self.versions.set_stored(&service, store.now.version.clone());
        }
        // Calls of a busy host may take longer than a step.
        if random.random_bool(0.7) {
            let pending = self.streams.pending(now, &self.versions);
            for StreamRecord { attempt, version } in &pending {
                store.now.records.insert(attempt.clone(), version.clone());
            }
            self.streams.mark(&pending, store.era);
        }
    }

    /// Version at which a caller's stream goes on; `guess` names one where it is unknown.
    fn take_up(&self, store: &Store, first: &str, guess: bool) -> Option<Arc<str>> {
        if let Some(version) = self.streams.version(first) {
            return Some(version.clone());
        }
        if self.cut > 0 {
            return None;
        }
        let recorded = store.now.records.get(first).cloned();
        let sole: SoleVersion = store.now.version.sole.clone();
        let stored = StreamVersion { recorded, sole, era: store.era };
        let registered = self.versions.registered("model");
        let found = stored.resolve(&registered);
        found.or_else(|| registered.first().cloned().filter(|_| guess))
    }
}

/// Outcome of one run.
#[derive(Debug, Default)]
struct Outcome {
    joined: u32,
    taken_up: u32,
    went_on: u32,
    records: usize,
}

fn run(seed: u64, guess: bool, calm: bool) -> Outcome {
    let mut random = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut store = Store::default();
    store.now.registered.insert(name("v0"));
    let mut hosts: Vec<Host> = (0..HOSTS).map(|_| Host::start()).collect();
    let mut streams: Vec<(u64, Arc<str>, Arc<str>)> = Vec::new();
    let (mut outcome, mut newest, mut first) = (Outcome::default(), 0, true);
    for step in 0..STEPS {
        let now = start + STEP * step as u32;
        let quiet = calm || step < 100;
        if !quiet && random.random_bool(0.004) {
            newest += 1;
            store.now.registered.insert(name(&format!("v{newest}")));
        }
        if !quiet && store.now.registered.len() > 1 && random.random_bool(0.02) {
            store.now.registered.pop_first();
        }
        if step % 40 == 0 {
            store.copy = store.now.clone();
        }
        if !quiet && random.random_bool(0.002) {
            let registered = store.now.registered.clone();
            store.now = store.copy.clone();
            store.era += 1;
            // Servers write their entries again.
            store.now.registered.extend(registered);
        }
        if !quiet && random.random_bool(0.003) {
            hosts = (0..HOSTS).map(|_| Host::start()).collect();
            first = false;
        }
        for host in &mut hosts {
            if !quiet && random.random_bool(0.005) {
                host.cut = random.random_range(0..LAG_STEPS);
            }
            host.cut = host.cut.saturating_sub(1);
            if host.cut == 0 {
                host.follow(now, &mut store, first, &mut random);
            }
        }
        if step >= 2 && random.random_bool(0.5) {
            let host = &mut hosts[random.random_range(0..HOSTS)];
            let usable = host.versions.registered("model");
            let usable: Vec<_> =
                usable.iter().filter(|v| host.versions.admits("model", v)).collect();
            if !usable.is_empty() {
                let version = usable[random.random_range(0..usable.len())].clone();
                let attempt = name(&format!("a{step}"));
                let record = StreamRecord { attempt: attempt.clone(), version: version.clone() };
                host.streams.begin(now, &name("model"), record);
                streams.push((step, attempt, version));
            }
        }
        streams.retain(|(began, ..)| step - began < STREAM_STEPS);
        if !streams.is_empty() && random.random_bool(0.3) {
            let (_, first, version) = streams.swap_remove(random.random_range(0..streams.len()));
            let host = &hosts[random.random_range(0..HOSTS)];
            outcome.taken_up += 1;
            if let Some(found) = host.take_up(&store, &first, guess) {
                outcome.went_on += 1;
                outcome.joined += u32::from(found != version);
            }
        }
    }
    outcome.records = store.now.records.len();
    outcome
}

/// A stream that began at one version went on at another.
#[rstest]
#[case::quick(0..60)]
fn no_stream_has_two_versions(#[case] seeds: std::ops::Range<u64>) {
    let count = std::env::var("HISTORY_SEEDS").ok().and_then(|text| text.parse().ok());
    let mut all = Outcome::default();
    for seed in seeds.start..count.unwrap_or(seeds.end) {
        let outcome = run(seed, false, false);
        assert_eq!(outcome.joined, 0, "seed {seed}: {outcome:?}");
        all.taken_up += outcome.taken_up;
        all.went_on += outcome.went_on;
    }
    assert!(all.went_on * 2 > all.taken_up, "{all:?}");
}

/// The check finds a fault that it has to find: a version that is guessed where it is unknown.
#[test]
fn a_guess_joins_versions() {
    let joined: u32 = (0..20).map(|seed| run(seed, true, false).joined).sum();
    assert!(joined > 0);
}

#[test]
fn without_a_release_nothing_is_recorded_and_all_streams_go_on() {
    let outcome = run(1, false, true);
    assert_eq!(outcome.records, 0);
    assert_eq!(outcome.went_on, outcome.taken_up);
    assert!(outcome.taken_up > 500, "{outcome:?}");
}

/// A version that has been the only one for long enough is the sole one again.
#[test]
fn a_version_is_sole_only_after_it_was_alone_for_long_enough() {
    let (start, service) = (Instant::now(), name("model"));
    let mut versions = Versions::default();
    let set = |versions: &mut Versions, after: Duration, names: &[&str]| {
        let names = names.iter().map(|text| name(text)).collect();
        versions.set_registered(start + after, [(service.clone(), names)].into());
    };
    let due = |versions: &Versions, after: Duration| {
        versions.next_change(start + after, &service, false).map(|change| change.sole.version)
    };
    let second = Duration::from_secs(1);
    set(&mut versions, Duration::ZERO, &["v1", "v2"]);
    set(&mut versions, second, &["v2"]);
    assert_eq!(due(&versions, SETTLE_TIME), None);
    set(&mut versions, second * 2, &["v2"]);
    assert_eq!(due(&versions, SETTLE_TIME + second), Some(Some(name("v2"))));
    set(&mut versions, second * 3, &["v1", "v2"]);
    set(&mut versions, second * 4, &["v2"]);
    assert_eq!(due(&versions, SETTLE_TIME + second * 3), None);
    assert_eq!(due(&versions, SETTLE_TIME + second * 4), Some(Some(name("v2"))));
}
