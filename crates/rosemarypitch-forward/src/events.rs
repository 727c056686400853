//! Boundaries of events in a stream of bytes.
//!
//! An event ends with an empty line. Where another upstream may go on with a stream, only
//! whole events are passed on, so that the beginning of one that broke off never reaches
//! the caller.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};

/// Longest event that is held back, in bytes; many times the usual event of some hundred.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Finds events in the bytes of a stream.
#[derive(Debug)]
pub struct EventFramer {
    /// Whether events are passed on whole only.
    whole_only: bool,
    /// What has come of the present event.
    partial: BytesMut,
    /// How much of it has been looked at.
    scanned: usize,
    /// Where its present line begins.
    line_start: usize,
    /// Identifier that its lines name.
    id: Option<Arc<str>>,
    position: Position,
}

/// How far a stream has come.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Position {
    /// Identifier of the last whole event.
    pub last_id: Option<Arc<str>>,
    /// Whole events.
    pub events: u64,
}

impl EventFramer {
    /// The beginning of a stream; `whole` if events are passed on whole only.
    pub fn new(whole_only: bool) -> Self {
        Self {
            whole_only,
            partial: BytesMut::new(),
            scanned: 0,
            line_start: 0,
            id: None,
            position: Position::default(),
        }
    }

    /// How far the stream has come.
    pub fn position(&self) -> &Position {
        &self.position
    }

    /// Whether another upstream could go on: nothing of a broken event has been passed on.
    pub fn is_resumable(&self) -> bool {
        self.whole_only
    }

    /// Takes bytes; gives those that may be passed on.
    pub fn push(&mut self, bytes: &Bytes) -> Bytes {
        self.partial.extend_from_slice(bytes);
        let end = self.scan();
        if self.partial.len() - end > MAX_EVENT_BYTES {
            return self.pass_through(bytes);
        }
        let complete = self.partial.split_to(end).freeze();
        self.scanned -= end;
        self.line_start -= end;
        if self.whole_only { complete } else { bytes.clone() }
    }

    /// Bytes that were held back, at the stream's end.
    pub fn finish(&mut self) -> Bytes {
        let rest = self.partial.split().freeze();
        self.discard_partial();
        if self.whole_only { rest } else { Bytes::new() }
    }

    /// Forgets what has come of the present event.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
        self.scanned = 0;
        self.line_start = 0;
        self.id = None;
    }

    /// Looks at new bytes; gives the end of the last whole event.
    fn scan(&mut self) -> usize {
        let mut end = 0;
        while self.scanned < self.partial.len() {
            let at = self.scanned;
            self.scanned += 1;
            if self.partial[at] != b'\n' {
                continue;
            }
            let line = self.partial[self.line_start..at].trim_ascii_end();
            if line.is_empty() {
                // Empty lines in a row end one event.
                if self.line_start > end {
                    self.position.events += 1;
                    self.position.last_id = self.id.take().or_else(|| self.position.last_id.take());
                }
                end = at + 1;
            } else if let Some(id) = line.strip_prefix(b"id:") {
                self.id = std::str::from_utf8(id.trim_ascii()).ok().map(Arc::from);
            }
            self.line_start = at + 1;
        }
        end
    }

    /// Passes on what has come of an event that is too long to be held back.
    fn pass_through(&mut self, bytes: &Bytes) -> Bytes {
        log::warn!("call: event of over {MAX_EVENT_BYTES} bytes is passed on in parts");
        let buffered = self.partial.split().freeze();
        self.discard_partial();
        if std::mem::take(&mut self.whole_only) { buffered } else { bytes.clone() }
    }
}
