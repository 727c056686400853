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
    whole: bool,
    /// What has come of the present event.
    part: BytesMut,
    /// How much of it has been looked at.
    scanned: usize,
    /// Where its present line begins.
    line: usize,
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
    pub fn new(whole: bool) -> Self {
        Self {
            whole,
            part: BytesMut::new(),
            scanned: 0,
            line: 0,
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
        self.whole
    }

    /// Takes bytes; gives those that may be passed on.
    pub fn push(&mut self, bytes: &Bytes) -> Bytes {
        self.part.extend_from_slice(bytes);
        let end = self.scan();
        if self.part.len() - end > MAX_EVENT_BYTES {
            return self.give_up(bytes);
        }
        let events = self.part.split_to(end).freeze();
        self.scanned -= end;
        self.line -= end;
        if self.whole { events } else { bytes.clone() }
    }

    /// Bytes that were held back, at the stream's end.
    pub fn finish(&mut self) -> Bytes {
        let rest = self.part.split().freeze();
        self.discard_partial();
        if self.whole { rest } else { Bytes::new() }
    }

    /// Forgets what has come of the present event.
    pub fn discard_partial(&mut self) {
        self.part.clear();
        self.scanned = 0;
        self.line = 0;
        self.id = None;
    }

    /// Looks at new bytes; gives the end of the last whole event.
    fn scan(&mut self) -> usize {
        let mut end = 0;
        while self.scanned < self.part.len() {
            let at = self.scanned;
            self.scanned += 1;
            if self.part[at] != b'\n' {
                continue;
            }
            let line = self.part[self.line..at].trim_ascii_end();
            if line.is_empty() {
                // Empty lines in a row end one event.
                if self.line > end {
                    self.position.events += 1;
                    self.position.last_id = self.id.take().or_else(|| self.position.last_id.take());
                }
                end = at + 1;
            } else if let Some(id) = line.strip_prefix(b"id:") {
                self.id = std::str::from_utf8(id.trim_ascii()).ok().map(Arc::from);
            }
            self.line = at + 1;
        }
        end
    }

    /// Passes on what has come of an event that is too long to be held back.
    fn give_up(&mut self, bytes: &Bytes) -> Bytes {
        log::warn!("call: event of over {MAX_EVENT_BYTES} bytes is passed on in parts");
        let held = self.part.split().freeze();
        self.discard_partial();
        if std::mem::take(&mut self.whole) { held } else { bytes.clone() }
    }
}
