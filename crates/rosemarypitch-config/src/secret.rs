//! API keys of customers and operators, of which only digests are stored.

use std::fmt;

use rand::TryRngCore;
use rand::rngs::OsRng;
use serde::{Deserialize, Serialize};
use sha2::Digest as _;
use subtle::ConstantTimeEq;

/// Random bytes in a key.
const SECRET_BYTES: usize = 24;

/// A key in plain text, shown only once, to the operator who creates it.
#[derive(Clone)]
pub struct Secret(String);

impl Secret {
    /// Generates a key from the operating system's random number generator.
    ///
    /// # Panics
    ///
    /// Panics if the random number generator fails.
    pub fn random() -> Self {
        let mut bytes = [0; SECRET_BYTES];
        OsRng.try_fill_bytes(&mut bytes).expect("the system's random number generator failed");
        Self(format!("rp-{}", hex(&bytes)))
    }

    /// The key in plain text.
    pub fn text(&self) -> &str {
        &self.0
    }

    /// The digest under which the key is stored.
    pub fn digest(&self) -> Digest {
        Digest::of(&self.0)
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// SHA-256 digest of a key, as 64 lowercase hexadecimal digits.
#[derive(
    Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, schemars::JsonSchema,
)]
#[serde(transparent)]
pub struct Digest(String);

impl Digest {
    /// Computes the digest of a key in plain text.
    pub fn of(key: &str) -> Self {
        Self::of_bytes(key.as_bytes())
    }

    /// Computes the digest of arbitrary bytes.
    pub fn of_bytes(bytes: &[u8]) -> Self {
        Self(hex(&sha2::Sha256::digest(bytes)))
    }

    /// The hexadecimal digits.
    pub fn text(&self) -> &str {
        &self.0
    }

    /// Whether the text is 64 lowercase hexadecimal digits; deserializing doesn't check this.
    pub fn is_valid(&self) -> bool {
        let digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        self.0.len() == 64 && self.0.bytes().all(digit)
    }

    /// Compares two digests in constant time.
    pub fn matches(&self, other: &Self) -> bool {
        self.0.as_bytes().ct_eq(other.0.as_bytes()).into()
    }
}

impl From<&str> for Digest {
    fn from(text: &str) -> Self {
        Self(text.to_owned())
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({})", self.0)
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}
