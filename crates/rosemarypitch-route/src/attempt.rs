//! Identifiers of attempts at requests.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// Identifier of one attempt at a request, unique across hosts and their restarts.
///
/// Its text form is `HOST/INCARNATION/REQUEST/ATTEMPT`, numbers in hexadecimal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId {
    /// Host that serves the caller.
    pub host: Arc<str>,
    /// Incarnation of that host; a restart gets a greater one.
    pub incarnation: u64,
    /// Number of the request within the host run.
    pub request: u64,
    /// Number of the attempt within the request.
    pub attempt: u32,
}

/// Error for a text that is not a valid attempt identifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseAttemptIdError;

impl AttemptId {
    /// Returns the identifier of the next attempt at the same request.
    pub fn next(&self) -> Self {
        Self { attempt: self.attempt + 1, ..self.clone() }
    }
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { host, incarnation, request, attempt } = self;
        write!(f, "{host}/{incarnation:x}/{request:x}/{attempt:x}")
    }
}

impl FromStr for AttemptId {
    type Err = ParseAttemptIdError;

    fn from_str(text: &str) -> Result<Self, ParseAttemptIdError> {
        let mut parts = text.split('/');
        let mut part = || parts.next().filter(|part| !part.is_empty()).ok_or(ParseAttemptIdError);
        let host = Arc::from(part()?);
        let incarnation = u64::from_str_radix(part()?, 16).map_err(|_| ParseAttemptIdError)?;
        let request = u64::from_str_radix(part()?, 16).map_err(|_| ParseAttemptIdError)?;
        let attempt = u32::from_str_radix(part()?, 16).map_err(|_| ParseAttemptIdError)?;
        match parts.next() {
            None => Ok(Self { host, incarnation, request, attempt }),
            Some(_) => Err(ParseAttemptIdError),
        }
    }
}

impl fmt::Display for ParseAttemptIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not an attempt identifier")
    }
}

impl Serialize for AttemptId {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for AttemptId {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_str(AttemptVisitor)
    }
}

struct AttemptVisitor;

impl de::Visitor<'_> for AttemptVisitor {
    type Value = AttemptId;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an attempt identifier")
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<AttemptId, E> {
        text.parse().map_err(|error: ParseAttemptIdError| E::custom(error))
    }
}
