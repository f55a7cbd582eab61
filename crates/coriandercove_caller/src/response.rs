//! Encodes answers to requests for completions, as server-sent events or as one JSON object.

use std::time::SystemTime;

use coriandercove_base::{ModelId, Token};
use serde::Serialize;

use crate::request::CompletionKind;
use crate::tokenizer::Tokenizer;

/// Last event of a complete stream.
const DONE: &str = "data: [DONE]\n\n";

/// Why an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model ended the answer.
    Stop,
    /// The answer reached the maximum number of tokens.
    Length,
}

/// Encodes the answer to one request, either as a stream of events or as one object.
pub struct ResponseWriter {
    kind: CompletionKind,
    id: String,
    created: u64,
    model: ModelId,
}

#[derive(Serialize)]
struct Chunk<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: [Choice; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Serialize)]
struct Choice {
    index: u32,
    #[serde(flatten)]
    content: Content,
    token_ids: Vec<Token>,
    finish_reason: Option<FinishReason>,
}

#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
enum Content {
    Text(String),
    Delta(Delta),
    Message(Message),
}

#[derive(Serialize)]
struct Delta {
    content: String,
}

#[derive(Serialize)]
struct Message {
    role: &'static str,
    content: String,
}

#[derive(Serialize)]
struct Usage {
    prompt_tokens: u32,
    completion_tokens: u32,
    total_tokens: u32,
}

impl ResponseWriter {
    /// Creates a writer for the answer to the request `id`. The answer is dated with the current
    /// time.
    #[must_use]
    pub fn new(kind: CompletionKind, id: String, model: ModelId) -> Self {
        let created = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        Self {
            kind,
            id,
            created: created.map_or(0, |d| d.as_secs()),
            model,
        }
    }

    /// Encodes one server-sent event with some tokens. With a finish reason, the event that ends
    /// the stream, `[DONE]`, follows.
    #[must_use]
    pub fn event(
        &self,
        tokens: &[Token],
        finish: Option<FinishReason>,
        tokenizer: &dyn Tokenizer,
    ) -> String {
        let text: String = tokens.iter().map(|t| tokenizer.decode(*t)).collect();
        let (object, content) = match self.kind {
            CompletionKind::Chat => (
                "chat.completion.chunk",
                Content::Delta(Delta { content: text }),
            ),
            CompletionKind::Text => ("text_completion", Content::Text(text)),
        };
        let chunk = self.chunk(object, content, tokens, finish, None);
        let end = if finish.is_some() { DONE } else { "" };
        format!("data: {}\n\n{end}", to_json(&chunk))
    }

    /// Encodes the event that ends a stream which cannot continue. No `[DONE]` follows, so that a
    /// client does not take the answer for complete.
    #[must_use]
    pub fn error_event(refusal: &crate::RefusalBody) -> String {
        format!("data: {}\n\n", refusal.to_json())
    }

    /// Encodes the complete answer as one JSON object. `prompt_tokens` is the number of tokens of
    /// the prompt, for the usage.
    #[must_use]
    pub fn complete_answer(
        &self,
        prompt_tokens: u32,
        tokens: &[Token],
        finish: FinishReason,
        tokenizer: &dyn Tokenizer,
    ) -> String {
        let text: String = tokens.iter().map(|t| tokenizer.decode(*t)).collect();
        let (object, content) = match self.kind {
            CompletionKind::Chat => {
                let message = Message {
                    role: "assistant",
                    content: text,
                };
                ("chat.completion", Content::Message(message))
            }
            CompletionKind::Text => ("text_completion", Content::Text(text)),
        };
        let completion_tokens = tokens.len() as u32;
        let total_tokens = prompt_tokens + completion_tokens;
        let usage = Usage {
            prompt_tokens,
            completion_tokens,
            total_tokens,
        };
        to_json(&self.chunk(object, content, tokens, Some(finish), Some(usage)))
    }

    fn chunk<'a>(
        &'a self,
        object: &'static str,
        content: Content,
        tokens: &[Token],
        finish_reason: Option<FinishReason>,
        usage: Option<Usage>,
    ) -> Chunk<'a> {
        let choice = Choice {
            index: 0,
            content,
            token_ids: tokens.to_vec(),
            finish_reason,
        };
        Chunk {
            id: &self.id,
            object,
            created: self.created,
            model: &self.model,
            choices: [choice],
            usage,
        }
    }
}

fn to_json(value: &impl Serialize) -> String {
    // Answers hold only strings and numbers, which always serialize.
    serde_json::to_string(value).unwrap_or_default()
}
