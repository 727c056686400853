//! Versions of streams over several hosts, with releases, kills and rollbacks of the store.
//!
//! A model of the deployment drives the state machines of the hosts and keeps the history of each
//! stream: its first event, and where callers took it up. Hosts are cut off from the store or from
//! each other and serve on, or stand still; connections to the store are silent; writes are executed
//! late. No stream may have two versions, and nearly all that callers take up go on.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rosemarypitch_forward::begun::BegunStreams;
use rosemarypitch_forward::versions::{
    SETTLE_TIME, StoredVersion, StreamLog, StreamRecord, StreamVersion, VersionChange, Versions,
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
/// Longest time for which a write is executed late.
const LATE_STEPS: u64 = 6 * 20;
/// Hosts that are asked to read the store.
const MAX_READERS: usize = 3;

/// What is wrong with the hosts of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// A stream of unknown version goes on at any one.
    Guess,
    /// Hosts don't tell each other of their streams, and read the store for nobody.
    Mute,
    /// The same, and a host that does not reach the store goes by its copy of the sole version.
    Copy,
}

impl Fault {
    fn is_mute(self) -> bool {
        matches!(self, Self::Mute | Self::Copy)
    }
}

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

/// A call that changes the store.
enum Write {
    Version(VersionChange),
    Records(Vec<StreamRecord>),
}

#[derive(Default)]
struct Store {
    now: Contents,
    era: u64,
    revision: u64,
    copy: Contents,
    /// Writes that were not answered, and when they are executed.
    late: Vec<(u64, Write)>,
}

impl Store {
    fn execute(&mut self, write: Write) {
        match write {
            Write::Version(change) if change.revision == self.now.version.revision => {
                self.revision += 1;
                self.now.version = StoredVersion { sole: change.sole, revision: self.revision };
            }
            Write::Version(_) => {}
            Write::Records(records) => {
                let records = records.into_iter().map(|record| (record.attempt, record.version));
                self.now.records.extend(records);
            }
        }
    }

    /// Executes a write; false if it is not answered, and executed late.
    fn write(&mut self, step: u64, write: Write, random: &mut StdRng) -> bool {
        if random.random_bool(0.1) {
            self.late.push((step + random.random_range(1..LATE_STEPS), write));
            return false;
        }
        self.execute(write);
        true
    }

    fn execute_late(&mut self, step: u64) {
        let due: Vec<(u64, Write)> = self.late.extract_if(.., |(at, _)| *at <= step).collect();
        due.into_iter().for_each(|(_, write)| self.execute(write));
    }
}

/// A host and what it knows of the store.
struct Host {
    /// Differs for each run.
    incarnation: u64,
    versions: Versions,
    streams: StreamLog,
    begun: BegunStreams,
    /// Steps for which it neither hears from the store nor reaches it.
    cut: u64,
    /// Steps for which it reaches no other host.
    apart: u64,
    /// Steps for which it stands still.
    still: u64,
}

impl Host {
    fn start(incarnation: u64) -> Self {
        let (versions, streams) = (Versions::default(), StreamLog::default());
        let begun = BegunStreams::default();
        Self { incarnation, versions, streams, begun, cut: 0, apart: 0, still: 0 }
    }

    /// Begins and ends its troubles.
    fn suffer(&mut self, quiet: bool, random: &mut StdRng) {
        for (trouble, chance) in
            [(&mut self.cut, 0.005), (&mut self.apart, 0.001), (&mut self.still, 0.001)]
        {
            *trouble = trouble.saturating_sub(1);
            if !quiet && random.random_bool(chance) {
                *trouble = random.random_range(0..LAG_STEPS);
            }
        }
    }

    fn reaches_hosts(&self) -> bool {
        self.apart == 0 && self.still == 0
    }

    /// Follows the store, writes what it has to, and records its streams.
    fn follow(
        &mut self,
        step: u64,
        now: Instant,
        store: &mut Store,
        first: bool,
        random: &mut StdRng,
    ) {
        let service = name("model");
        self.versions.enter_era(store.era);
        let registered = [(service.clone(), store.now.registered.clone())].into();
        self.versions.set_registered(now, registered);
        if store.now.version.revision > 0 {
            self.versions.set_stored(&service, store.now.version.clone());
        }
        if let Some(change) = self.versions.next_change(now, &service, first)
            && store.write(step, Write::Version(change), random)
        {
            self.versions.set_stored(&service, store.now.version.clone());
        }
        // Calls of a busy host may take longer than a step.
        if random.random_bool(0.7) {
            let pending = self.streams.pending(now, &self.versions);
            if store.write(step, Write::Records(pending.clone()), random) {
                self.streams.mark(&pending, store.era);
            }
        }
    }

    /// Version of a stream as the store says now; none if this host does not reach it.
    fn read(&self, store: &Store, first: &str) -> Option<Arc<str>> {
        let recorded = store.now.records.get(first).cloned();
        let sole = store.now.version.sole.clone();
        let stored = StreamVersion { recorded, sole, era: store.era };
        stored.resolve(&self.versions.registered("model")).filter(|_| self.cut == 0)
    }
}

/// Tells each host of the streams that the others have begun; messages and replies get lost.
fn tell(now: Instant, hosts: &mut [Host], random: &mut StdRng) {
    for index in 0..hosts.len() {
        let untold = hosts[index].streams.take_untold();
        hosts[index].begun.add(now, untold);
        for other in (0..hosts.len()).filter(|other| *other != index) {
            if !hosts[index].reaches_hosts() || !hosts[other].reaches_hosts() {
                continue;
            }
            let (host, incarnation) = (name(&format!("h{other}")), hosts[other].incarnation);
            let batch = hosts[index].begun.batch(&host, incarnation);
            let Some(batch) = batch.filter(|_| random.random_bool(0.9)) else { continue };
            for (version, digests) in &batch.streams {
                hosts[other].streams.add_told(now, version, digests);
            }
            if random.random_bool(0.9) {
                hosts[index].begun.acknowledge(&host, &batch);
            }
        }
    }
}

/// Version at which a caller's stream goes on at a host.
fn take_up(
    hosts: &[Host],
    index: usize,
    store: &Store,
    first: &str,
    fault: Fault,
    random: &mut StdRng,
) -> Option<Arc<str>> {
    let host = &hosts[index];
    if let Some(version) = host.streams.version(first) {
        return Some(version.clone());
    }
    // A silent connection costs the call.
    let silent = random.random_bool(0.1);
    if let Some(version) = host.read(store, first).filter(|_| !silent) {
        return Some(version);
    }
    let mut readers: Vec<usize> =
        (0..hosts.len()).filter(|other| *other != index && hosts[*other].reaches_hosts()).collect();
    readers.shuffle(random);
    readers.truncate(if host.reaches_hosts() && !fault.is_mute() { MAX_READERS } else { 0 });
    let found = readers.into_iter().find_map(|other| {
        let known = hosts[other].streams.version(first).cloned();
        known.or_else(|| hosts[other].read(store, first))
    });
    let guess = match fault {
        Fault::Guess => host.versions.registered("model").first().cloned(),
        Fault::Copy => host.versions.sole("model").filter(|_| host.cut > 0).cloned(),
        Fault::None | Fault::Mute => None,
    };
    found.or(guess)
}

/// Outcome of one run.
#[derive(Debug, Default)]
struct Outcome {
    joined: u32,
    taken_up: u32,
    went_on: u32,
    /// Streams that no host could tell of, though the one that began them had not been killed.
    lost: u32,
    records: usize,
}

fn run(seed: u64, fault: Fault, calm: bool) -> Outcome {
    let mut random = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut store = Store::default();
    store.now.registered.insert(name("v0"));
    let mut hosts: Vec<Host> = (0..HOSTS).map(|_| Host::start(0)).collect();
    let mut streams: Vec<(u64, Arc<str>, Arc<str>)> = Vec::new();
    let (mut outcome, mut newest) = (Outcome::default(), 0);
    let (mut first, mut killed_at) = (true, 0);
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
            hosts = (0..HOSTS).map(|_| Host::start(step)).collect();
            (first, killed_at) = (false, step);
        }
        store.execute_late(step);
        for host in &mut hosts {
            host.suffer(quiet, &mut random);
            if host.cut == 0 && host.still == 0 {
                host.follow(step, now, &mut store, first, &mut random);
            }
        }
        if !fault.is_mute() {
            tell(now, &mut hosts, &mut random);
        }
        let index = random.random_range(0..HOSTS);
        if step >= 2 && random.random_bool(0.5) && hosts[index].still == 0 {
            let host = &mut hosts[index];
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
        let index = random.random_range(0..HOSTS);
        if !streams.is_empty() && random.random_bool(0.3) && hosts[index].still == 0 {
            let (began, first, version) =
                streams.swap_remove(random.random_range(0..streams.len()));
            outcome.taken_up += 1;
            match take_up(&hosts, index, &store, &first, fault, &mut random) {
                Some(found) => {
                    outcome.went_on += 1;
                    outcome.joined += u32::from(found != version);
                }
                None => outcome.lost += u32::from(began > killed_at),
            }
        }
    }
    outcome.records = store.now.records.len();
    outcome
}

/// Outcome of all runs, none of which may join versions.
fn run_all(seeds: std::ops::Range<u64>, fault: Fault) -> Outcome {
    let mut all = Outcome::default();
    for seed in seeds {
        let outcome = run(seed, fault, false);
        assert_eq!(outcome.joined, 0, "seed {seed}: {outcome:?}");
        all.taken_up += outcome.taken_up;
        all.went_on += outcome.went_on;
        all.lost += outcome.lost;
    }
    all
}

/// A stream that began at one version went on at another.
#[rstest]
#[case::quick(0..60)]
fn no_stream_has_two_versions(#[case] seeds: std::ops::Range<u64>) {
    let count = std::env::var("HISTORY_SEEDS").ok().and_then(|text| text.parse().ok());
    let all = run_all(seeds.start..count.unwrap_or(seeds.end), Fault::None);
    assert!(all.went_on * 100 > all.taken_up * 90, "{all:?}");
    assert!(all.lost * 100 < all.taken_up * 2, "{all:?}");
}

/// The check finds faults that it has to find: a version that is guessed where it is unknown, and a
/// copy of the sole version that is older than the stream.
#[rstest]
#[case::guess(Fault::Guess)]
#[case::copy(Fault::Copy)]
fn a_guess_joins_versions(#[case] fault: Fault) {
    let joined: u32 = (0..20).map(|seed| run(seed, fault, false).joined).sum();
    assert!(joined > 0);
}

/// The check finds streams that go on nowhere.
#[test]
fn hosts_that_tell_nothing_lose_streams() {
    let all = run_all(0..20, Fault::Mute);
    assert!(all.lost * 100 > all.taken_up * 20, "{all:?}");
}

#[test]
fn without_a_release_nothing_is_recorded_and_all_streams_go_on() {
    let outcome = run(1, Fault::None, true);
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
