//! Finds a caller's key in what would be sent to an upstream.

use bytes::{Bytes, BytesMut};

/// Looks for a key in a body that comes in chunks.
///
/// It holds back as many bytes as could be the start of the key, so that no part of a key
/// that spans two chunks is passed on.
#[derive(Debug)]
pub struct LeakScan {
    key: Vec<u8>,
    held: BytesMut,
}

/// The key was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the request's body holds the caller's key")]
pub struct Leak;

impl LeakScan {
    /// Looks for `key`; without one nothing is held back.
    pub fn new(key: Option<&str>) -> Self {
        Self { key: key.unwrap_or_default().as_bytes().to_vec(), held: BytesMut::new() }
    }

    /// Takes a chunk and gives what may be passed on.
    pub fn push(&mut self, chunk: Bytes) -> Result<Bytes, Leak> {
        if self.key.is_empty() {
            return Ok(chunk);
        }
        self.held.extend_from_slice(&chunk);
        if contains(&self.held, &self.key) {
            return Err(Leak);
        }
        let passed = self.held.len().saturating_sub(self.key.len() - 1);
        Ok(self.held.split_to(passed).freeze())
    }

    /// Gives what was held back, at the end of the body.
    pub fn finish(&mut self) -> Bytes {
        self.held.split().freeze()
    }
}

/// Whether `text` holds `key`.
pub fn contains(text: &[u8], key: &[u8]) -> bool {
    !key.is_empty() && text.windows(key.len()).any(|window| window == key)
}

/// Whether a path or query holds `key`, percent-encoded or not.
pub fn target_contains(target: &str, key: &str) -> bool {
    contains(target.as_bytes(), key.as_bytes())
        || contains(&percent_decoded(target), key.as_bytes())
}

fn percent_decoded(target: &str) -> Vec<u8> {
    let bytes = target.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut at = 0;
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        let value = hex
            .and_then(|digits| std::str::from_utf8(digits).ok())
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        decoded.push(value.unwrap_or(bytes[at]));
        at += if value.is_some() { 3 } else { 1 };
    }
    decoded
}
