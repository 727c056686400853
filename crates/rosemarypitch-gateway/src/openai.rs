//! Requests and responses of the OpenAI-compatible interface.

use std::sync::Arc;

use rosemarypitch_upstream::FinishReason;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::completion::Usage;
use crate::problem::{Problem, ProblemKind};

/// Endpoint of the OpenAI-compatible interface that creates completions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApiEndpoint {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

/// Completion request; unsupported fields are ignored.
#[derive(Debug, Deserialize)]
pub struct Request {
    /// Name of the model.
    pub model: Arc<str>,
    messages: Option<Vec<Message>>,
    prompt: Option<Prompt>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    n: Option<u32>,
    /// Whether the answer is streamed as server-sent events.
    #[serde(default)]
    pub stream: bool,
    stream_options: Option<StreamOptions>,
}

#[derive(Debug, Deserialize)]
struct Message {
    role: Arc<str>,
    content: Content,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Parts(Vec<Part>),
}

#[derive(Debug, Deserialize)]
struct Part {
    #[serde(rename = "type")]
    kind: String,
    text: Option<String>,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Prompt {
    One(String),
    List(Vec<String>),
}

#[derive(Debug, Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

impl Request {
    /// Parses a request's body.
    pub fn parse(body: &[u8]) -> Result<Self, Problem> {
        serde_json::from_slice(body).map_err(|error| {
            let kind = match error.classify() {
                serde_json::error::Category::Data => ProblemKind::Invalid,
                _ => ProblemKind::BadRequest,
            };
            Problem::new(kind, format!("the body cannot be read: {error}"))
        })
    }

    /// Returns the prompt as text; chat messages are joined by newlines.
    pub fn prompt_text(&self, endpoint: ApiEndpoint) -> Result<Arc<str>, Problem> {
        if self.n.is_some_and(|n| n != 1) {
            return Err(invalid("n must be 1"));
        }
        let text = match endpoint {
            ApiEndpoint::Chat => self.chat_text()?,
            ApiEndpoint::Text => self.plain_text()?,
        };
        if text.is_empty() {
            return Err(invalid("the prompt is empty"));
        }
        Ok(Arc::from(text))
    }

    /// Returns the maximum output that the caller requested, in tokens.
    pub fn max_output(&self) -> Option<u32> {
        self.max_completion_tokens.or(self.max_tokens)
    }

    /// Returns whether a stream ends with a usage chunk.
    pub fn includes_usage(&self) -> bool {
        self.stream_options.as_ref().is_some_and(|options| options.include_usage)
    }

    fn chat_text(&self) -> Result<String, Problem> {
        let messages = self.messages.as_ref().ok_or_else(|| invalid("messages is missing"))?;
        let mut text = String::new();
        for (index, message) in messages.iter().enumerate() {
            if index > 0 {
                text.push('\n');
            }
            // A single message is the prompt itself, without its role.
            if messages.len() > 1 {
                text.push_str(&message.role);
                text.push_str(": ");
            }
            match &message.content {
                Content::Text(content) => text.push_str(content),
                Content::Parts(parts) => {
                    for part in parts {
                        text.push_str(part.text()?);
                    }
                }
            }
        }
        Ok(text)
    }

    fn plain_text(&self) -> Result<String, Problem> {
        match self.prompt.as_ref().ok_or_else(|| invalid("prompt is missing"))? {
            Prompt::One(text) => Ok(text.clone()),
            Prompt::List(texts) => match texts.as_slice() {
                [text] => Ok(text.clone()),
                _ => Err(invalid("prompt must be one text")),
            },
        }
    }
}

impl Part {
    fn text(&self) -> Result<&str, Problem> {
        match (self.kind.as_str(), &self.text) {
            ("text", Some(text)) => Ok(text),
            _ => Err(invalid("only text parts are served")),
        }
    }
}

/// Encodes the answer to one request, whole or in chunks.
#[derive(Clone, Debug)]
pub struct ResponseEncoder {
    /// Endpoint that was called.
    pub endpoint: ApiEndpoint,
    /// Identifier of the answer.
    pub id: String,
    /// Name of the model.
    pub model: Arc<str>,
    /// Time of the request, in Unix seconds.
    pub created: u64,
}

impl ResponseEncoder {
    /// Encodes a complete answer.
    pub fn completion(&self, text: &str, reason: FinishReason, usage: Usage) -> Value {
        let choice = match self.endpoint {
            ApiEndpoint::Chat => json!({
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "finish_reason": finish_reason(reason),
                "logprobs": null,
            }),
            ApiEndpoint::Text => json!({
                "index": 0, "text": text, "finish_reason": finish_reason(reason), "logprobs": null,
            }),
        };
        let object = match self.endpoint {
            ApiEndpoint::Chat => "chat.completion",
            ApiEndpoint::Text => "text_completion",
        };
        json!({
            "id": self.id,
            "object": object,
            "created": self.created,
            "model": self.model,
            "choices": [choice],
            "usage": usage_json(usage),
        })
    }

    /// Encodes the chunk of one token; the first chat chunk also has the role.
    pub fn token_chunk(&self, text: &str, first: bool) -> Value {
        let choice = match self.endpoint {
            ApiEndpoint::Chat if first => json!({
                "index": 0,
                "delta": { "role": "assistant", "content": text },
                "finish_reason": null,
            }),
            ApiEndpoint::Chat => json!({
                "index": 0, "delta": { "content": text }, "finish_reason": null,
            }),
            ApiEndpoint::Text => json!({ "index": 0, "text": text, "finish_reason": null }),
        };
        self.chunk(json!([choice]))
    }

    /// Encodes the chunk with the finish reason.
    pub fn end_chunk(&self, reason: FinishReason) -> Value {
        let choice = match self.endpoint {
            ApiEndpoint::Chat => {
                json!({ "index": 0, "delta": {}, "finish_reason": finish_reason(reason) })
            }
            ApiEndpoint::Text => {
                json!({ "index": 0, "text": "", "finish_reason": finish_reason(reason) })
            }
        };
        self.chunk(json!([choice]))
    }

    /// Encodes the chunk with the usage.
    pub fn usage_chunk(&self, usage: Usage) -> Value {
        let mut chunk = self.chunk(json!([]));
        chunk["usage"] = usage_json(usage);
        chunk
    }

    fn chunk(&self, choices: Value) -> Value {
        let object = match self.endpoint {
            ApiEndpoint::Chat => "chat.completion.chunk",
            ApiEndpoint::Text => "text_completion",
        };
        json!({
            "id": self.id,
            "object": object,
            "created": self.created,
            "model": self.model,
            "choices": choices,
        })
    }
}

fn finish_reason(reason: FinishReason) -> &'static str {
    match reason {
        FinishReason::Stop => "stop",
        FinishReason::Length => "length",
    }
}

fn usage_json(usage: Usage) -> Value {
    json!({
        "prompt_tokens": usage.prompt,
        "completion_tokens": usage.output,
        "total_tokens": usage.prompt + usage.output,
        "prompt_tokens_details": { "cached_tokens": usage.cached },
    })
}

fn invalid(detail: &str) -> Problem {
    Problem::new(ProblemKind::Invalid, detail)
}
