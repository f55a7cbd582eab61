//! Passes the tokens or the refusal of a stream to the HTTP handler of its request.

use bytes::Bytes;
use coriandercove_base::{RequestId, Token};
use coriandercove_caller::{FinishReason, NumberTokenizer, Outcome, ResponseWriter};
use coriandercove_policy::explain::Refusal;
use tokio::sync::{mpsc, oneshot};

use crate::http::BodyChunk;
use crate::http::core_refusal_body;

/// The start of a response, which decides its status and headers.
pub enum ResponseStart {
    /// The response is a stream; its events follow in the body.
    Streaming,
    /// The response is complete; this is its JSON body.
    Whole(String),
    /// The request is refused.
    Refused(Refusal, Outcome),
}

/// Receives the tokens of a stream and writes them for the caller, as events or as one JSON body.
pub struct ResponseSink {
    writer: ResponseWriter,
    /// Whether the caller wants a streamed response.
    stream: bool,
    prompt_tokens: u32,
    max_tokens: u32,
    /// Channel for the start of the response; taken once it has started.
    started: Option<oneshot::Sender<ResponseStart>>,
    /// Channel to the body of a streamed response.
    tx: mpsc::UnboundedSender<BodyChunk>,
    /// Tokens collected so far for a response that is not streamed.
    tokens: Vec<Token>,
    /// Number of tokens received so far.
    count: u32,
}

impl ResponseSink {
    pub const fn new(
        writer: ResponseWriter,
        stream: bool,
        prompt_tokens: u32,
        max_tokens: u32,
        started: oneshot::Sender<ResponseStart>,
        tx: mpsc::UnboundedSender<BodyChunk>,
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

    /// Returns whether the response has started, so that its status can no longer change.
    pub const fn has_started(&self) -> bool {
        self.started.is_none()
    }

    /// Writes tokens for the caller. For a response that is not streamed, returns the number of all
    /// tokens so far, which count as consumed at once; a streamed response reports consumption
    /// from its body.
    pub fn emit(&mut self, tokens: &[Token], finished: bool) -> Option<u32> {
        self.count += tokens.len() as u32;
        if self.stream {
            let finish = finished.then(|| self.finish_reason());
            let event = self.writer.event(tokens, finish, &NumberTokenizer);
            let chunk = BodyChunk {
                bytes: Bytes::from(event),
                tokens: tokens.len() as u32,
            };
            // If the body was dropped, its guard has cancelled the request.
            let _ = self.tx.send(chunk);
            self.start(ResponseStart::Streaming);
            return None;
        }
        self.tokens.extend_from_slice(tokens);
        if finished {
            let finish = self.finish_reason();
            let json = self.writer.complete_answer(
                self.prompt_tokens,
                &self.tokens,
                finish,
                &NumberTokenizer,
            );
            self.start(ResponseStart::Whole(json));
        }
        Some(self.count)
    }

    /// Ends the response without further tokens: with an error event if it has started, otherwise
    /// with a refusal.
    pub fn refuse(mut self, req: RequestId, refusal: Refusal, outcome: Outcome) {
        if self.has_started() {
            let body = core_refusal_body(req, &refusal, Outcome::Unknown);
            let event = ResponseWriter::error_event(&body);
            let _ = self.tx.send(BodyChunk {
                bytes: Bytes::from(event),
                tokens: 0,
            });
        } else {
            self.start(ResponseStart::Refused(refusal, outcome));
        }
    }

    const fn finish_reason(&self) -> FinishReason {
        if self.count >= self.max_tokens {
            FinishReason::Length
        } else {
            FinishReason::Stop
        }
    }

    fn start(&mut self, started: ResponseStart) {
        if let Some(tx) = self.started.take() {
            // If the handler was dropped, its guard has cancelled the request.
            let _ = tx.send(started);
        }
    }
}
