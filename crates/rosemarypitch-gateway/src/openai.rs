//! Messages of the OpenAI-compatible interface.

use std::sync::Arc;

use rosemarypitch_upstream::FinishReason;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::completion::Usage;
use crate::problem::{Problem, ProblemKind};

/// Which of the two forms of completions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

/// A completion request; fields that change nothing here are ignored.
#[derive(Debug, Deserialize)]
pub struct Request {
    /// The model.
    pub model: Arc<str>,
    messages: Option<Vec<Message>>,
    prompt: Option<Prompt>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    n: Option<u32>,
    /// Whether the answer is streamed.
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
    /// Reads a request's body.
    pub fn parse(body: &[u8]) -> Result<Self, Problem> {
        serde_json::from_slice(body).map_err(|error| {
            let kind = match error.classify() {
                serde_json::error::Category::Data => ProblemKind::Invalid,
                _ => ProblemKind::BadRequest,
            };
            Problem::new(kind, format!("the body cannot be read: {error}"))
        })
    }

    /// The prompt's text.
    pub fn text(&self, form: Form) -> Result<Arc<str>, Problem> {
        if self.n.is_some_and(|n| n != 1) {
            return Err(invalid("n must be 1"));
        }
        let text = match form {
            Form::Chat => self.chat_text()?,
            Form::Text => self.plain_text()?,
        };
        if text.is_empty() {
            return Err(invalid("the prompt is empty"));
        }
        Ok(Arc::from(text))
    }

    /// The output bound that the caller names.
    pub fn max_output(&self) -> Option<u32> {
        self.max_completion_tokens.or(self.max_tokens)
    }

    /// Whether a stream ends with the usage.
    pub fn wants_usage(&self) -> bool {
        self.stream_options.as_ref().is_some_and(|options| options.include_usage)
    }

    fn chat_text(&self) -> Result<String, Problem> {
        let messages = self.messages.as_ref().ok_or_else(|| invalid("messages is missing"))?;
        let mut text = String::new();
        for (index, message) in messages.iter().enumerate() {
            if index > 0 {
                text.push('\n');
            }
            // A lone user message is the prompt itself.
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

/// Names one answer in all of its parts.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Form of the answer.
    pub form: Form,
    /// Identifier.
    pub id: String,
    /// The model.
    pub model: Arc<str>,
    /// Unix time, in seconds.
    pub created: u64,
}

impl Answer {
    /// A whole answer.
    pub fn whole(&self, text: &str, end: FinishReason, usage: Usage) -> Value {
        let choice = match self.form {
            Form::Chat => json!({
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "finish_reason": reason(end),
                "logprobs": null,
            }),
            Form::Text => json!({
                "index": 0, "text": text, "finish_reason": reason(end), "logprobs": null,
            }),
        };
        let object = match self.form {
            Form::Chat => "chat.completion",
            Form::Text => "text_completion",
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

    /// A part of a stream with a token's text.
    pub fn token(&self, text: &str, first: bool) -> Value {
        let choice = match self.form {
            Form::Chat if first => json!({
                "index": 0,
                "delta": { "role": "assistant", "content": text },
                "finish_reason": null,
            }),
            Form::Chat => json!({
                "index": 0, "delta": { "content": text }, "finish_reason": null,
            }),
            Form::Text => json!({ "index": 0, "text": text, "finish_reason": null }),
        };
        self.chunk(json!([choice]))
    }

    /// The part of a stream that tells why it ended.
    pub fn end(&self, end: FinishReason) -> Value {
        let choice = match self.form {
            Form::Chat => json!({ "index": 0, "delta": {}, "finish_reason": reason(end) }),
            Form::Text => json!({ "index": 0, "text": "", "finish_reason": reason(end) }),
        };
        self.chunk(json!([choice]))
    }

    /// The part of a stream that tells its usage.
    pub fn usage(&self, usage: Usage) -> Value {
        let mut chunk = self.chunk(json!([]));
        chunk["usage"] = usage_json(usage);
        chunk
    }

    fn chunk(&self, choices: Value) -> Value {
        let object = match self.form {
            Form::Chat => "chat.completion.chunk",
            Form::Text => "text_completion",
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

fn reason(end: FinishReason) -> &'static str {
    match end {
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
