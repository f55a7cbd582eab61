//! Parses requests for completions, in the JSON format that existing clients send.

use coriandercove_base::{ModelId, Token};
use serde::Deserialize;
use serde_json::Value;
use snafu::{OptionExt, Snafu, ensure};

use crate::tokenizer::Tokenizer;

/// Maximum number of tokens of an answer if the request sets no limit.
pub const DEFAULT_MAX_TOKENS: u32 = 128;
/// Maximum number of tokens of a prompt, whatever the model allows.
pub const MAX_PROMPT_TOKENS: usize = 1 << 20;
/// Maximum number of messages in a chat request.
const MAX_MESSAGES: usize = 4096;

/// The interface that a request uses, which determines the format of prompt and answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CompletionKind {
    /// `POST /v1/chat/completions`.
    Chat,
    /// `POST /v1/completions`.
    Text,
}

/// A checked request for a completion.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Completion {
    /// Interface that the request came through.
    pub kind: CompletionKind,
    /// Model that the request names; not empty.
    pub model: ModelId,
    /// Tokens of the prompt; 1 to [`MAX_PROMPT_TOKENS`].
    pub prompt: Vec<Token>,
    /// Maximum number of tokens of the answer; at least 1.
    pub max_tokens: u32,
    /// Whether the caller wants a stream of tokens in place of one complete answer.
    pub stream: bool,
}

/// Why a request is refused. The texts are sent to the caller.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum RequestError {
    /// The body is not valid JSON, or has an unknown field or a field of the wrong type.
    #[snafu(display("{message}"))]
    Json {
        /// Position and problem, as the JSON parser reported them.
        message: String,
    },
    /// A required field is missing or empty.
    #[snafu(display("field `{field}` is missing; {allowed}"))]
    Missing {
        /// Name of the field.
        field: &'static str,
        /// Values that are allowed.
        allowed: &'static str,
    },
    /// A field has a value that is not supported.
    #[snafu(display("field `{field}`: {problem}; {allowed}"))]
    Invalid {
        /// Name of the field.
        field: &'static str,
        /// Value or property that is not allowed.
        problem: String,
        /// Values that are allowed.
        allowed: &'static str,
    },
}

/// The body as the caller sent it. Fields whose names begin with `_` here are accepted and ignored,
/// so that existing clients need no change: they change neither the tokens nor their number,
/// because engines are sent no sampling parameters. Any other unknown field is an error.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Body {
    model: Option<String>,
    prompt: Option<Value>,
    messages: Option<Vec<Message>>,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    stream: Option<bool>,
    n: Option<u64>,
    #[serde(rename = "stream_options")]
    _stream_options: Option<Value>,
    #[serde(rename = "temperature")]
    _temperature: Option<f64>,
    #[serde(rename = "top_p")]
    _top_p: Option<f64>,
    #[serde(rename = "seed")]
    _seed: Option<i64>,
    #[serde(rename = "user")]
    _user: Option<String>,
    #[serde(rename = "metadata")]
    _metadata: Option<Value>,
    #[serde(rename = "presence_penalty")]
    _presence_penalty: Option<f64>,
    #[serde(rename = "frequency_penalty")]
    _frequency_penalty: Option<f64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Message {
    role: String,
    content: String,
    #[serde(rename = "name")]
    _name: Option<String>,
}

/// Parses and checks the body of a request, and converts its prompt to tokens.
///
/// # Errors
/// [`RequestError`] names the field or position, the problem and what is allowed.
pub fn parse(
    kind: CompletionKind,
    body: &[u8],
    tokenizer: &dyn Tokenizer,
) -> Result<Completion, RequestError> {
    let body: Body = serde_json::from_slice(body).map_err(|e| RequestError::Json {
        message: format!("request body: {e}"),
    })?;
    let model = body.model.as_deref().filter(|m| !m.is_empty());
    let model = model.context(MissingSnafu {
        field: "model",
        allowed: "the name of a model",
    })?;
    ensure!(
        body.n.is_none_or(|n| n == 1),
        InvalidSnafu {
            field: "n",
            problem: "more than one answer is not served",
            allowed: "leave it out or set it to 1",
        }
    );
    let prompt = match kind {
        CompletionKind::Chat => chat_prompt(&body, tokenizer)?,
        CompletionKind::Text => text_prompt(&body, tokenizer)?,
    };
    ensure!(
        !prompt.is_empty() && prompt.len() <= MAX_PROMPT_TOKENS,
        InvalidSnafu {
            field: "prompt",
            problem: format!("it has {} tokens", prompt.len()),
            allowed: "1 to 1048576 tokens",
        }
    );
    Ok(Completion {
        kind,
        model: model.into(),
        prompt,
        max_tokens: max_tokens(&body)?,
        stream: body.stream.unwrap_or(false),
    })
}

/// Maximum number of tokens of the answer. `max_completion_tokens` takes precedence over
/// `max_tokens`.
fn max_tokens(body: &Body) -> Result<u32, RequestError> {
    let requested = body.max_completion_tokens.or(body.max_tokens);
    let requested = requested.unwrap_or_else(|| DEFAULT_MAX_TOKENS.into());
    u32::try_from(requested)
        .ok()
        .filter(|n| *n > 0)
        .context(InvalidSnafu {
            field: "max_tokens",
            problem: format!("{requested} is out of range"),
            allowed: "1 to 4294967295",
        })
}

/// Converts the prompt of `/v1/completions`, a text or a list of token numbers.
fn text_prompt(body: &Body, tokenizer: &dyn Tokenizer) -> Result<Vec<Token>, RequestError> {
    let allowed = "a text or a list of token numbers";
    match &body.prompt {
        None => MissingSnafu {
            field: "prompt",
            allowed,
        }
        .fail(),
        Some(Value::String(text)) => Ok(tokenizer.encode(text)),
        Some(Value::Array(tokens)) => tokens
            .iter()
            .map(|t| t.as_u64().and_then(|t| Token::try_from(t).ok()))
            .collect::<Option<Vec<_>>>()
            .context(InvalidSnafu {
                field: "prompt",
                problem: "an item is not a token number",
                allowed,
            }),
        Some(_) => InvalidSnafu {
            field: "prompt",
            problem: "wrong type",
            allowed,
        }
        .fail(),
    }
}

/// Converts the messages of `/v1/chat/completions` to one prompt that ends with the start of the
/// assistant's message.
fn chat_prompt(body: &Body, tokenizer: &dyn Tokenizer) -> Result<Vec<Token>, RequestError> {
    let allowed = "a list of 1 to 4096 messages with `role` and `content`";
    let messages = body.messages.as_ref().context(MissingSnafu {
        field: "messages",
        allowed,
    })?;
    ensure!(
        !messages.is_empty() && messages.len() <= MAX_MESSAGES,
        InvalidSnafu {
            field: "messages",
            problem: format!("it has {} messages", messages.len()),
            allowed,
        }
    );
    let text: String = messages
        .iter()
        .map(|m| format!("<{}>\n{}\n", m.role, m.content))
        .collect();
    Ok(tokenizer.encode(&(text + "<assistant>\n")))
}

#[cfg(test)]
mod tests;
