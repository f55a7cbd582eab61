//! Incremental parser of the server-sent events of a streamed completion.

use coriandercove_base::Token;
use serde::Deserialize;

/// An event of a streamed completion.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Tokens of the answer.
    Tokens(Vec<Token>),
    /// End marker of a complete answer.
    Done,
    /// The request failed after the stream had begun.
    Refused(Refusal),
    /// The event has an unknown form.
    Malformed,
}

/// Body of a refusal.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Refusal {
    /// Stable name of the reason.
    pub reason: String,
    /// `not_run` or `unknown`.
    pub outcome: String,
    /// Time after which the caller may retry, in milliseconds.
    #[serde(default)]
    pub retry_after_ms: Option<u64>,
    /// Id that the entry gave the request.
    #[serde(default)]
    pub request_id: String,
}

/// Body of an event with tokens.
#[derive(Deserialize)]
struct Chunk {
    choices: [Choice; 1],
}

#[derive(Deserialize)]
struct Choice {
    token_ids: Vec<Token>,
}

/// Splits a byte stream into events.
#[derive(Debug, Default)]
pub struct EventReader {
    buf: Vec<u8>,
}

impl EventReader {
    /// Appends bytes and returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<Event> {
        self.buf.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(len) = self.buf[start..].windows(2).position(|w| w == b"\n\n") {
            events.push(parse_event(&self.buf[start..start + len]));
            start += len + 2;
        }
        self.buf.drain(..start);
        events
    }
}

/// Parses one event without its terminating blank line.
fn parse_event(line: &[u8]) -> Event {
    let Some(data) = line.strip_prefix(b"data: ") else {
        return Event::Malformed;
    };
    if data == b"[DONE]" {
        return Event::Done;
    }
    if let Ok(chunk) = serde_json::from_slice::<Chunk>(data) {
        let [choice] = chunk.choices;
        return Event::Tokens(choice.token_ids);
    }
    serde_json::from_slice(data).map_or(Event::Malformed, Event::Refused)
}

#[cfg(test)]
mod tests;
