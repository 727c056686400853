//! Software versions of upstreams, and the one at which a stream may go on.
//!
//! What one version of an upstream's software writes another cannot read, so a stream goes on only
//! at the version that began it. While a service has a sole version, that is the version of every
//! stream. The store says whether it has one, and hosts use no other version before the store has
//! acknowledged that it has none any more. As long as there is none, each stream is recorded in the
//! store when it begins.
//!
//! Hosts also tell their row which streams they begin, so that others can answer for one that is cut
//! off, stands still or is gone.
//!
//! A sole version counts only in the store's era in which it was written: a store that was restored
//! from a copy may have lost that there is none any more.

use std::collections::hash_map::Entry;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use rosemarypitch_limit::rank;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Time for which a version has to be the only one before it is the sole one. Longer than streams
/// and the callers that resume them live, and than a host uses an outdated list of upstreams.
pub const SETTLE_TIME: Duration = Duration::from_secs(60);
/// Time for which a host remembers the streams that it has begun.
pub const STREAM_TIME: Duration = Duration::from_secs(30);
/// Most streams that are recorded in one call.
pub const MAX_RECORDS: usize = 32;
/// Most streams of other hosts that a host remembers; about 5 MB.
const MAX_TOLD: usize = 1 << 16;
/// Most streams that wait to be told to other hosts, which may take none for a while.
const MAX_UNTOLD: usize = 1 << 12;

/// Whether a service has a sole version, as the store has it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SoleVersion {
    /// Era of the store in which this was written.
    pub era: u64,
    /// The version; none while streams of several versions may run.
    pub version: Option<Arc<str>>,
}

/// A [`SoleVersion`] and the revision of its entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredVersion {
    /// What the entry says.
    pub sole: SoleVersion,
    /// Where the entry was written; 0 if there is none.
    pub revision: u64,
}

/// A change of a service's entry, to be made if it still has a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionChange {
    /// Service.
    pub service: Arc<str>,
    /// New value.
    pub sole: SoleVersion,
    /// Revision of the entry that it replaces; 0 if there must be none.
    pub revision: u64,
}

/// What the store says at a take-up of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StreamVersion {
    /// Version in the stream's record.
    pub recorded: Option<Arc<str>>,
    /// Entry of the service.
    pub sole: SoleVersion,
    /// Era of the answers.
    pub era: u64,
}

impl StreamVersion {
    /// The version that began the stream; none if several are possible. `registered` are the
    /// versions of the upstreams that the host knows.
    pub fn resolve(self, registered: &BTreeSet<Arc<str>>) -> Option<Arc<str>> {
        let Self { recorded, sole, era } = self;
        let sole = sole.version.filter(|_| sole.era == era);
        // The copy that the store was restored from may be older than another version.
        let sole = sole.filter(|version| registered.iter().all(|other| other == version));
        recorded.or(sole)
    }
}

/// What a host knows of the versions of all services.
#[derive(Debug, Default)]
pub struct Versions {
    era: u64,
    services: BTreeMap<Arc<str>, ServiceVersions>,
}

#[derive(Debug, Default)]
struct ServiceVersions {
    /// Versions of the registered upstreams.
    registered: BTreeSet<Arc<str>>,
    /// Since when there has been only one.
    alone_since: Option<Instant>,
    stored: Option<StoredVersion>,
}

impl ServiceVersions {
    fn sole(&self, era: u64) -> Option<&Arc<str>> {
        let sole = &self.stored.as_ref()?.sole;
        sole.version.as_ref().filter(|_| sole.era == era)
    }
}

impl Versions {
    /// Enters an era of the store; a later one leaves no service with a sole version.
    pub fn enter_era(&mut self, era: u64) {
        self.era = self.era.max(era);
    }

    /// Sets the versions of the registered upstreams, by service.
    pub fn set_registered(
        &mut self,
        now: Instant,
        registered: BTreeMap<Arc<str>, BTreeSet<Arc<str>>>,
    ) {
        for (name, service) in &mut self.services {
            if !registered.contains_key(name) {
                service.registered.clear();
                service.alone_since = None;
            }
        }
        for (name, versions) in registered {
            let service = self.services.entry(name).or_default();
            if service.registered != versions || service.alone_since.is_none() {
                service.alone_since = (versions.len() == 1).then_some(now);
                service.registered = versions;
            }
        }
    }

    /// Sets the entry of a service, unless a later one is known.
    pub fn set_stored(&mut self, service: &Arc<str>, stored: StoredVersion) {
        let known = &mut self.services.entry(service.clone()).or_default().stored;
        let rank = |stored: &StoredVersion| (stored.sole.era, stored.revision);
        // After a rollback the copy's entry is the one that has to be replaced.
        let older = known
            .as_ref()
            .is_some_and(|known| known.sole.era == self.era && rank(&stored) < rank(known));
        if !older {
            *known = Some(stored);
        }
    }

    /// Entries of all services.
    pub fn stored(&self) -> impl Iterator<Item = (&Arc<str>, &StoredVersion)> {
        self.services.iter().filter_map(|(name, service)| Some((name, service.stored.as_ref()?)))
    }

    /// Versions of the registered upstreams of a service.
    pub fn registered(&self, service: &str) -> BTreeSet<Arc<str>> {
        self.services.get(service).map(|known| known.registered.clone()).unwrap_or_default()
    }

    /// The sole version of a service, if it has one.
    pub fn sole(&self, service: &str) -> Option<&Arc<str>> {
        self.services.get(service)?.sole(self.era)
    }

    /// Whether upstreams of a version may be used.
    pub fn admits(&self, service: &str, version: &str) -> bool {
        self.sole(service).is_none_or(|sole| sole.as_ref() == version)
    }

    /// Whether a new stream at an upstream of a version has to be recorded.
    pub fn must_record(&self, service: &str, version: &str) -> bool {
        self.sole(service).is_none_or(|sole| sole.as_ref() != version)
    }

    /// Change of a service's entry that this host has to make now, if any. `first` on the first start
    /// of the whole fleet, before which no stream ran.
    pub fn next_change(
        &self,
        now: Instant,
        service: &Arc<str>,
        first: bool,
    ) -> Option<VersionChange> {
        let known = self.services.get(service)?;
        let revision = known.stored.as_ref().map_or(0, |stored| stored.revision);
        let change = |version: Option<Arc<str>>| {
            let sole = SoleVersion { era: self.era, version };
            Some(VersionChange { service: service.clone(), sole, revision })
        };
        match known.sole(self.era) {
            Some(sole) if known.registered.iter().any(|version| version != sole) => change(None),
            Some(_) => None,
            None => {
                let alone = known.alone_since?;
                let settled = now.saturating_duration_since(alone) >= SETTLE_TIME;
                let new = first && known.stored.is_none();
                let version = known.registered.first().filter(|_| settled || new)?;
                change(Some(version.clone()))
            }
        }
    }
}

/// The streams that a host has begun recently, and those of other hosts that it has been told of.
#[derive(Debug, Default)]
pub struct StreamLog {
    streams: BTreeMap<Arc<str>, LoggedStream>,
    /// Streams that the other hosts have not been told of.
    untold: Vec<ToldStream>,
    told: HashMap<u64, Arc<str>>,
    /// Digests of the streams in `told`, in the order of their arrival.
    arrivals: VecDeque<(Instant, u64)>,
}

/// A stream as hosts tell each other of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ToldStream {
    /// Digest of the attempt that brought its first event.
    pub digest: u64,
    /// Version that began it.
    pub version: Arc<str>,
}

/// Digest of the attempt that brings a stream's first event.
pub fn stream_digest(attempt: &str) -> u64 {
    rank("stream", attempt)
}

#[derive(Debug)]
struct LoggedStream {
    service: Arc<str>,
    version: Arc<str>,
    began: Instant,
    /// Era of the store in which it was recorded.
    recorded: Option<u64>,
}

/// Record of a stream in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamRecord {
    /// Attempt that brings the stream's first event.
    pub attempt: Arc<str>,
    /// Version of the upstream that began it.
    pub version: Arc<str>,
}

impl StreamLog {
    /// Adds a stream that begins.
    pub fn begin(&mut self, now: Instant, service: &Arc<str>, record: StreamRecord) {
        self.streams.retain(|_, stream| now.saturating_duration_since(stream.began) < STREAM_TIME);
        let StreamRecord { attempt, version } = record;
        if self.untold.len() < MAX_UNTOLD {
            let digest = stream_digest(&attempt);
            self.untold.push(ToldStream { digest, version: version.clone() });
        }
        let stream = LoggedStream { service: service.clone(), version, began: now, recorded: None };
        self.streams.insert(attempt, stream);
    }

    /// Version of a stream that this host has begun, or that another one has told it of.
    pub fn version(&self, attempt: &str) -> Option<&Arc<str>> {
        let own = self.streams.get(attempt).map(|stream| &stream.version);
        own.or_else(|| self.told.get(&stream_digest(attempt)))
    }

    /// Takes the streams that the other hosts have to be told of.
    pub fn take_untold(&mut self) -> Vec<ToldStream> {
        std::mem::take(&mut self.untold)
    }

    /// Adds streams of another host. The version of a stream never changes.
    pub fn add_told(&mut self, now: Instant, version: &Arc<str>, digests: &[u64]) {
        while let Some((at, digest)) = self.arrivals.front().copied()
            && (now.saturating_duration_since(at) >= STREAM_TIME || self.told.len() >= MAX_TOLD)
        {
            self.arrivals.pop_front();
            self.told.remove(&digest);
        }
        for digest in digests.iter().take(MAX_TOLD - self.told.len()) {
            if let Entry::Vacant(entry) = self.told.entry(*digest) {
                entry.insert(version.clone());
                self.arrivals.push_back((now, *digest));
            }
        }
    }

    /// Whether a stream is recorded in the era of the store.
    pub fn is_recorded(&self, attempt: &str, era: u64) -> bool {
        self.streams.get(attempt).is_some_and(|stream| stream.recorded == Some(era))
    }

    /// Streams to be recorded next, latest first: at most [`MAX_RECORDS`].
    pub fn pending(&self, now: Instant, versions: &Versions) -> Vec<StreamRecord> {
        let due = |stream: &LoggedStream| {
            stream.recorded != Some(versions.era)
                && now.saturating_duration_since(stream.began) < STREAM_TIME
                && versions.must_record(&stream.service, &stream.version)
        };
        let mut due: Vec<_> = self.streams.iter().filter(|(_, stream)| due(stream)).collect();
        due.sort_by_key(|(_, stream)| std::cmp::Reverse(stream.began));
        due.truncate(MAX_RECORDS);
        let record = |(attempt, stream): (&Arc<str>, &LoggedStream)| StreamRecord {
            attempt: attempt.clone(),
            version: stream.version.clone(),
        };
        due.into_iter().map(record).collect()
    }

    /// Marks streams as recorded in an era of the store.
    pub fn mark(&mut self, records: &[StreamRecord], era: u64) {
        for record in records {
            if let Some(stream) = self.streams.get_mut(&record.attempt) {
                stream.recorded = Some(era);
            }
        }
    }
}
