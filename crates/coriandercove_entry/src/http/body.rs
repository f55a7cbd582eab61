//! The body of a streamed response.

use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use actix_http::body::{BodySize, MessageBody};
use bytes::Bytes;
use coriandercove_base::RequestId;
use coriandercove_base::byte_budget::ByteShare;
use tokio::sync::mpsc::UnboundedReceiver;

use crate::runtime::Inner;

/// One chunk of a streamed response.
pub struct BodyChunk {
    /// Encoded server-sent events.
    pub bytes: Bytes,
    /// Number of tokens in the events.
    pub tokens: u32,
}

/// Cancels a request on drop unless it has ended, so that a caller's disconnect frees its stages.
pub struct CancelGuard {
    entry: Rc<Inner>,
    req: RequestId,
    /// Memory of the request.
    _share: ByteShare,
}

impl CancelGuard {
    pub const fn new(entry: Rc<Inner>, req: RequestId, share: ByteShare) -> Self {
        Self {
            entry,
            req,
            _share: share,
        }
    }
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        self.entry.end_request(self.req);
    }
}

/// The body of a streamed response. The channel itself is unbounded; the credit that the entry
/// grants as the caller reads tokens bounds its content.
pub struct TokenBody {
    rx: UnboundedReceiver<BodyChunk>,
    taken: u32,
    guard: CancelGuard,
}

impl TokenBody {
    pub const fn new(rx: UnboundedReceiver<BodyChunk>, guard: CancelGuard) -> Self {
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
            Poll::Ready(Some(chunk)) => {
                self.taken += chunk.tokens;
                self.guard.entry.on_consumed(self.guard.req, self.taken);
                Poll::Ready(Some(Ok(chunk.bytes)))
            }
        }
    }
}
