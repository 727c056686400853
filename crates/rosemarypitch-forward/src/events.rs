//! Framing of server-sent events in a stream of bytes.
//!
//! An empty line ends an event. Where another upstream may resume a stream, only complete
//! events are forwarded, so that a truncated event never reaches the caller.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};

/// Maximum size of an event, in bytes; a typical event has a few hundred.
const MAX_EVENT_BYTES: usize = 64 << 10;

/// Splits a byte stream into events and tracks the position in it.
#[derive(Debug)]
pub struct EventFramer {
    /// Whether events are forwarded only once they are complete.
    whole_only: bool,
    /// Bytes received of the current event.
    partial: BytesMut,
    /// Number of those bytes that have been scanned.
    scanned: usize,
    /// Offset at which the current line starts.
    line_start: usize,
    /// Identifier from the current event's `id` field.
    id: Option<Arc<str>>,
    position: Position,
    /// Whether the bytes come from another upstream than those at the start.
    resumed: bool,
    /// Whether the next event has to follow the last one of the upstream before.
    unproven: bool,
    /// Whether the current event has a field.
    has_field: bool,
    /// Whether an event did not follow.
    misplaced: bool,
}

/// Position in an event stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Position {
    /// Identifier of the last complete event that has one.
    pub last_id: Option<Arc<str>>,
    /// Number of complete events.
    pub events: u64,
}

impl EventFramer {
    /// Starts at the beginning of a stream; `whole_only` forwards only complete events.
    pub fn new(whole_only: bool) -> Self {
        Self {
            whole_only,
            partial: BytesMut::new(),
            scanned: 0,
            line_start: 0,
            id: None,
            position: Position::default(),
            resumed: false,
            unproven: false,
            has_field: false,
            misplaced: false,
        }
    }

    /// Returns the position after the last complete event.
    pub fn position(&self) -> &Position {
        &self.position
    }

    /// Whether the current event exceeds the size limit. A failing upstream may send bytes
    /// without end that are no event.
    pub fn is_overlong(&self) -> bool {
        self.partial.len() > MAX_EVENT_BYTES
    }

    /// Whether an upstream that resumed the stream sent something else than the events that
    /// follow: earlier ones again, or an error.
    pub fn is_misplaced(&self) -> bool {
        self.misplaced
    }

    /// Whether the bytes received so far end inside an event.
    pub fn is_inside_event(&self) -> bool {
        !self.partial.trim_ascii().is_empty()
    }

    /// Whether another upstream can resume: no part of an incomplete event was forwarded.
    pub fn is_resumable(&self) -> bool {
        self.whole_only
    }

    /// Whether another upstream has resumed the stream.
    pub fn is_resumed(&self) -> bool {
        self.resumed
    }

    /// Takes received bytes and returns those to forward now.
    pub fn push(&mut self, bytes: &Bytes) -> Bytes {
        self.partial.extend_from_slice(bytes);
        let end = self.scan();
        let complete = self.partial.split_to(end).freeze();
        self.scanned -= end;
        self.line_start -= end;
        if self.whole_only { complete } else { bytes.clone() }
    }

    /// Takes the end of the stream and returns the bytes still buffered.
    pub fn finish(&mut self) -> Bytes {
        let rest = self.partial.split().freeze();
        self.clear_partial();
        if self.whole_only { rest } else { Bytes::new() }
    }

    /// Discards the bytes received of an incomplete event, for another upstream to resume.
    pub fn discard_partial(&mut self) {
        self.clear_partial();
        self.resumed = true;
        self.unproven = self.position.last_id.is_some();
    }

    fn clear_partial(&mut self) {
        self.partial.clear();
        self.scanned = 0;
        self.line_start = 0;
        self.id = None;
        self.has_field = false;
        self.misplaced = false;
    }

    /// Scans new bytes and returns the end offset of the last complete event, 0 if none.
    fn scan(&mut self) -> usize {
        let mut end = 0;
        while self.scanned < self.partial.len() && !self.misplaced {
            let at = self.scanned;
            self.scanned += 1;
            if self.partial[at] != b'\n' {
                continue;
            }
            let line = self.partial[self.line_start..at].trim_ascii_end();
            if line.is_empty() {
                // Consecutive empty lines end only one event.
                if self.line_start > end {
                    let (id, has_field) = (self.id.take(), std::mem::take(&mut self.has_field));
                    if self.unproven && has_field {
                        self.misplaced = !follows(self.position.last_id.as_deref(), id.as_deref());
                        if self.misplaced {
                            break;
                        }
                        self.unproven = false;
                    }
                    self.position.events += 1;
                    self.position.last_id = id.or_else(|| self.position.last_id.take());
                }
                end = at + 1;
            } else {
                self.has_field |= line[0] != b':';
                if let Some(id) = line.strip_prefix(b"id:") {
                    self.id = std::str::from_utf8(id.trim_ascii()).ok().map(Arc::from);
                }
            }
            self.line_start = at + 1;
        }
        end
    }
}

/// Whether an event with the identifier `id` can come after the event `last`. Identifiers
/// increase, but not always by one.
fn follows(last: Option<&str>, id: Option<&str>) -> bool {
    let number = |id: &str| id.parse::<u64>().ok();
    match (last, id) {
        (Some(last), Some(id)) => match (number(last), number(id)) {
            (Some(last), Some(id)) => id > last,
            _ => id != last,
        },
        (None, _) => true,
        (Some(_), None) => false,
    }
}
