//! The body of a streamed answer.

use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use actix_http::body::{BodySize, MessageBody};
use bytes::Bytes;
use coriandercove_base::RequestId;
use tokio::sync::mpsc::UnboundedReceiver;

use crate::runtime::Inner;

/// One piece of a streamed answer.
pub struct Piece {
    /// Encoded events.
    pub bytes: Bytes,
    /// Tokens in them.
    pub tokens: u32,
}

/// Cancels a request unless it has ended.
pub struct CancelGuard {
    entry: Rc<Inner>,
    req: RequestId,
}

impl CancelGuard {
    pub const fn new(entry: Rc<Inner>, req: RequestId) -> Self {
        Self { entry, req }
    }
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        self.entry.caller_gone(self.req);
    }
}

/// The body of a streamed answer. The queue is bounded by the credit that the entry grants as the
/// caller takes tokens.
pub struct TokenBody {
    rx: UnboundedReceiver<Piece>,
    taken: u32,
    guard: CancelGuard,
}

impl TokenBody {
    pub const fn new(rx: UnboundedReceiver<Piece>, guard: CancelGuard) -> Self {
        Self {
            rx,
            taken: 0,
            guard,
        }
    }
}

impl MessageBody for TokenBody {
    type Error = Infallible;

    fn size(&self) -> BodySize {
        BodySize::Stream
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Infallible>>> {
        match self.rx.poll_recv(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(None) => Poll::Ready(None),
            Poll::Ready(Some(piece)) => {
                self.taken += piece.tokens;
                self.guard.entry.caller_took(self.guard.req, self.taken);
                Poll::Ready(Some(Ok(piece.bytes)))
            }
        }
    }
}
