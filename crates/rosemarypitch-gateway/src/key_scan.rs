//! Detects a caller's key in data that is about to be sent to an upstream.

use bytes::{Bytes, BytesMut};

/// Scans a chunked body for a key.
///
/// The last bytes of each chunk, one fewer than the key has, are held back until the next
/// one, because a key may span two chunks and no part of it may be forwarded.
#[derive(Debug)]
pub struct KeyScanner {
    key: Vec<u8>,
    held_back: BytesMut,
}

/// Error for a body that contains the key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the request's body holds the caller's key")]
pub struct KeyFound;

impl KeyScanner {
    /// Creates a scanner for `key`; without a key it passes every chunk on.
    pub fn new(key: Option<&str>) -> Self {
        Self { key: key.unwrap_or_default().as_bytes().to_vec(), held_back: BytesMut::new() }
    }

    /// Scans a chunk and returns the bytes that may be forwarded.
    pub fn push(&mut self, chunk: Bytes) -> Result<Bytes, KeyFound> {
        if self.key.is_empty() {
            return Ok(chunk);
        }
        self.held_back.extend_from_slice(&chunk);
        if contains(&self.held_back, &self.key) {
            return Err(KeyFound);
        }
        let safe_len = self.held_back.len().saturating_sub(self.key.len() - 1);
        Ok(self.held_back.split_to(safe_len).freeze())
    }

    /// Returns the bytes held back at the end of the body.
    pub fn finish(&mut self) -> Bytes {
        self.held_back.split().freeze()
    }
}

/// Returns whether `text` contains `key`; an empty key never matches.
pub fn contains(text: &[u8], key: &[u8]) -> bool {
    !key.is_empty() && text.windows(key.len()).any(|window| window == key)
}

/// Returns whether a path or query contains `key`, percent-encoded or not.
pub fn target_contains(target: &str, key: &str) -> bool {
    contains(target.as_bytes(), key.as_bytes())
        || contains(&percent_decoded(target), key.as_bytes())
}

fn percent_decoded(target: &str) -> Vec<u8> {
    let bytes = target.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut index = 0;
    while index < bytes.len() {
        let hex = bytes.get(index + 1..index + 3).filter(|_| bytes[index] == b'%');
        let value = hex
            .and_then(|digits| std::str::from_utf8(digits).ok())
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        decoded.push(value.unwrap_or(bytes[index]));
        index += if value.is_some() { 3 } else { 1 };
    }
    decoded
}
