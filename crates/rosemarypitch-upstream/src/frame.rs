//! Frames of a decode stream.
//!
//! They are the most frequent messages of the system. A token is `{"i":INDEX,"t":"TEXT"}`,
//! the end is `{"n":TOKENS,"end":"stop"}`; both carry the attempt as `"a"`.

use std::fmt;

use rosemarypitch_route::AttemptId;
use serde::de::{self, MapAccess, Visitor};
use serde::ser::SerializeMap;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// One line of a decode stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Frame {
    /// One generated token.
    Token {
        /// The attempt.
        attempt: AttemptId,
        /// Index of the token in the whole output, from 0.
        index: u32,
        /// Text of the token.
        text: String,
    },
    /// The end of a complete stream.
    End {
        /// The attempt.
        attempt: AttemptId,
        /// Number of tokens in the whole output.
        tokens: u32,
        /// Reason for the end.
        finish_reason: FinishReason,
    },
}

/// Reason why a generation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model produced its stop token.
    Stop,
    /// The maximum output length was reached.
    Length,
}

impl Frame {
    /// The attempt that the frame belongs to.
    pub fn attempt(&self) -> &AttemptId {
        match self {
            Self::Token { attempt, .. } | Self::End { attempt, .. } => attempt,
        }
    }
}

impl Serialize for Frame {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut map = serializer.serialize_map(Some(3))?;
        map.serialize_entry("a", self.attempt())?;
        match self {
            Self::Token { index, text, .. } => {
                map.serialize_entry("i", index)?;
                map.serialize_entry("t", text)?;
            }
            Self::End { tokens, finish_reason, .. } => {
                map.serialize_entry("n", tokens)?;
                map.serialize_entry("end", finish_reason)?;
            }
        }
        map.end()
    }
}

impl<'de> Deserialize<'de> for Frame {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(FrameVisitor)
    }
}

struct FrameVisitor;

impl<'de> Visitor<'de> for FrameVisitor {
    type Value = Frame;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a token or the end of a stream")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Frame, A::Error> {
        let (mut attempt, mut index, mut text) = (None, None, None);
        let (mut tokens, mut end) = (None, None);
        while let Some(key) = map.next_key::<&str>()? {
            match key {
                "a" => attempt = Some(map.next_value()?),
                "i" => index = Some(map.next_value()?),
                "t" => text = Some(map.next_value()?),
                "n" => tokens = Some(map.next_value()?),
                "end" => end = Some(map.next_value()?),
                _ => {
                    map.next_value::<de::IgnoredAny>()?;
                }
            }
        }
        let attempt = attempt.ok_or_else(|| de::Error::missing_field("a"))?;
        match (index, text, tokens, end) {
            (Some(index), Some(text), None, None) => Ok(Frame::Token { attempt, index, text }),
            (None, None, Some(tokens), Some(end)) => {
                Ok(Frame::End { attempt, tokens, finish_reason: end })
            }
            _ => Err(de::Error::custom("neither a token nor an end")),
        }
    }
}
