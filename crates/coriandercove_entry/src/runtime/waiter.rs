//! A caller that waits for its answer.

use bytes::Bytes;
use coriandercove_base::{RequestId, Token};
use coriandercove_caller::{FinishReason, NumberTokenizer, Outcome, ResponseWriter};
use coriandercove_policy::explain::Refusal;
use tokio::sync::{mpsc, oneshot};

use crate::http::Piece;
use crate::http::policy_body;

/// How an answer starts.
pub enum Started {
    /// Tokens follow in the body.
    Streaming,
    /// The whole answer as JSON.
    Whole(String),
    /// No answer.
    Refused(Refusal, Outcome),
}

/// A caller that waits for its answer.
pub struct Waiter {
    writer: ResponseWriter,
    stream: bool,
    prompt_tokens: u32,
    max_tokens: u32,
    /// Tells how the answer starts; taken when it has started.
    started: Option<oneshot::Sender<Started>>,
    tx: mpsc::UnboundedSender<Piece>,
    /// Tokens of a whole answer so far.
    tokens: Vec<Token>,
    /// Tokens passed on so far.
    count: u32,
}

impl Waiter {
    pub const fn new(
        writer: ResponseWriter,
        stream: bool,
        prompt_tokens: u32,
        max_tokens: u32,
        started: oneshot::Sender<Started>,
        tx: mpsc::UnboundedSender<Piece>,
    ) -> Self {
        Self {
            writer,
            stream,
            prompt_tokens,
            max_tokens,
            started: Some(started),
            tx,
            tokens: Vec::new(),
            count: 0,
        }
    }

    /// Whether a part of the answer has been sent.
    pub const fn has_started(&self) -> bool {
        self.started.is_none()
    }

    /// Passes tokens on. Returns how many the caller has taken in all if it takes each at once,
    /// as a whole answer does; a streamed answer reports that by itself.
    pub fn emit(&mut self, tokens: &[Token], finished: bool) -> Option<u32> {
        self.count += tokens.len() as u32;
        if self.stream {
            let finish = finished.then(|| self.finish_reason());
            let event = self.writer.event(tokens, finish, &NumberTokenizer);
            let piece = Piece {
                bytes: Bytes::from(event),
                tokens: tokens.len() as u32,
            };
            // If the body is gone, its guard has cancelled the request.
            let _ = self.tx.send(piece);
            self.start(Started::Streaming);
            return None;
        }
        self.tokens.extend_from_slice(tokens);
        if finished {
            let finish = self.finish_reason();
            let json =
                self.writer
                    .whole(self.prompt_tokens, &self.tokens, finish, &NumberTokenizer);
            self.start(Started::Whole(json));
        }
        Some(self.count)
    }

    /// Ends the answer without further tokens.
    pub fn refuse(mut self, req: RequestId, refusal: Refusal, outcome: Outcome) {
        if self.has_started() {
            let body = policy_body(req, &refusal, Outcome::Unknown);
            let event = ResponseWriter::error_event(&body);
            let _ = self.tx.send(Piece {
                bytes: Bytes::from(event),
                tokens: 0,
            });
        } else {
            self.start(Started::Refused(refusal, outcome));
        }
    }

    const fn finish_reason(&self) -> FinishReason {
        if self.count >= self.max_tokens {
            FinishReason::Length
        } else {
            FinishReason::Stop
        }
    }

    fn start(&mut self, started: Started) {
        if let Some(tx) = self.started.take() {
            // If the handler is gone, its guard has cancelled the request.
            let _ = tx.send(started);
        }
    }
}
