//! Streams that this host has begun, and which of them the other hosts of its row know.
//!
//! Each host is sent the streams that it has not acknowledged, once or until they arrive. A host that
//! has restarted has forgotten what its earlier run acknowledged.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use tokio::time::Instant;

use crate::versions::{STREAM_TIME, ToldStream};

/// Most streams in a message; the latest ones.
const MAX_SENT: usize = 1 << 10;

/// Streams begun recently, numbered in the order in which they began.
#[derive(Debug, Default)]
pub struct BegunStreams {
    streams: VecDeque<BegunStream>,
    last_number: u64,
    /// By host: its run, and the number of the last stream that it knows.
    known: HashMap<Arc<str>, (u64, u64)>,
}

#[derive(Debug)]
struct BegunStream {
    stream: ToldStream,
    number: u64,
    at: Instant,
}

/// Streams for one host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamBatch {
    /// Digests of the streams by version.
    pub streams: Vec<(Arc<str>, Vec<u64>)>,
    /// Run of the host.
    incarnation: u64,
    /// Number of the last stream.
    last: u64,
}

impl BegunStreams {
    /// Adds streams that have begun.
    pub fn add(&mut self, now: Instant, streams: Vec<ToldStream>) {
        let old = |begun: &BegunStream| now.saturating_duration_since(begun.at) >= STREAM_TIME;
        while self.streams.front().is_some_and(old) {
            self.streams.pop_front();
        }
        for stream in streams {
            self.last_number += 1;
            self.streams.push_back(BegunStream { stream, number: self.last_number, at: now });
        }
    }

    /// Forgets the hosts for which `is_known` is false.
    pub fn retain_hosts(&mut self, is_known: impl Fn(&str) -> bool) {
        self.known.retain(|host, _| is_known(host));
    }

    /// Streams that a run of a host has not acknowledged; none if there are no such streams.
    pub fn batch(&self, host: &str, incarnation: u64) -> Option<StreamBatch> {
        let known = self.known.get(host).filter(|(run, _)| *run == incarnation);
        let known = known.map_or(0, |(_, number)| *number);
        let last = self.streams.back().map(|begun| begun.number).filter(|last| *last > known)?;
        let mut streams: Vec<(Arc<str>, Vec<u64>)> = Vec::new();
        let later = self.streams.iter().rev().take_while(|begun| begun.number > known);
        for BegunStream { stream, .. } in later.take(MAX_SENT) {
            match streams.iter_mut().find(|(version, _)| *version == stream.version) {
                Some((_, digests)) => digests.push(stream.digest),
                None => streams.push((stream.version.clone(), vec![stream.digest])),
            }
        }
        Some(StreamBatch { streams, incarnation, last })
    }

    /// Records that a host has acknowledged a batch.
    pub fn acknowledge(&mut self, host: &Arc<str>, batch: &StreamBatch) {
        let known = self.known.entry(host.clone()).or_default();
        if known.0 != batch.incarnation || known.1 < batch.last {
            *known = (batch.incarnation, batch.last);
        }
    }
}
