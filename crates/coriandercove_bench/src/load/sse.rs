//! Incremental reader of server-sent events with tokens.

use coriandercove_base::Token;
use serde::Deserialize;

/// What an event says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Tokens of the answer.
    Tokens(Vec<Token>),
    /// The answer is whole.
    Done,
    /// The stream cannot go on.
    Refused(Refused),
    /// Text that is no known event.
    Malformed,
}

/// Why a request was refused.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Refused {
    /// Stable name of the reason.
    pub reason: String,
    /// `not_run` or `unknown`.
    pub outcome: String,
    /// Earliest time for another try, in milliseconds.
    #[serde(default)]
    pub retry_after_ms: Option<u64>,
    /// Id of the request.
    #[serde(default)]
    pub request_id: String,
}

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
pub struct Reader {
    buf: Vec<u8>,
}

impl Reader {
    /// Takes bytes in and returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<Event> {
        self.buf.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(len) = self.buf[start..].windows(2).position(|w| w == b"\n\n") {
            events.push(event(&self.buf[start..start + len]));
            start += len + 2;
        }
        self.buf.drain(..start);
        events
    }
}

fn event(line: &[u8]) -> Event {
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
