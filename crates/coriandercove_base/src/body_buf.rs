//! A buffer for a body whose size is accounted before it grows.

use bytes::{Bytes, BytesMut};
use snafu::Snafu;

/// Size of a buffer for a body of unknown length, before it grows.
const FIRST_BYTES: usize = 8 * 1024;

/// Why a body does not fit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum DoesNotFit {
    /// The body is longer than allowed.
    #[snafu(display("the body is longer than {limit} bytes"))]
    TooLong {
        /// Maximum length, in bytes.
        limit: usize,
    },
    /// The process has too little memory for it.
    #[snafu(display("no memory for a body of {bytes} bytes"))]
    NoMemory {
        /// Size that the buffer would have, in bytes.
        bytes: usize,
    },
}

/// Collects the pieces of a body.
#[derive(Debug)]
pub struct BodyBuf {
    buf: BytesMut,
    /// Size that was accounted; at least the length of `buf`.
    size: usize,
    /// Maximum length of the body.
    limit: usize,
    /// Length of the body, if it is announced.
    known: Option<usize>,
}

impl BodyBuf {
    /// Creates a buffer for a body of at most `limit` bytes, and of `known` bytes if that is announced.
    #[must_use]
    pub fn new(limit: usize, known: Option<usize>) -> Self {
        Self {
            buf: BytesMut::new(),
            size: 0,
            limit,
            known,
        }
    }

    /// Appends a piece. `may_hold` is asked before the buffer takes a size, and tells whether there is
    /// memory for it.
    ///
    /// # Errors
    /// [`DoesNotFit`]; the piece is not appended then.
    pub fn push(
        &mut self,
        piece: &[u8],
        may_hold: impl FnOnce(usize) -> bool,
    ) -> Result<(), DoesNotFit> {
        let needed = self.buf.len() + piece.len();
        if needed > self.limit {
            return Err(DoesNotFit::TooLong { limit: self.limit });
        }
        if needed > self.size {
            let doubled = needed.max(self.size * 2).max(FIRST_BYTES).min(self.limit);
            let size = self.known.unwrap_or(doubled).max(needed);
            if !may_hold(size) {
                return Err(DoesNotFit::NoMemory { bytes: size });
            }
            self.size = size;
            self.buf.reserve(size - self.buf.len());
        }
        self.buf.extend_from_slice(piece);
        Ok(())
    }

    /// Returns the body.
    #[must_use]
    pub fn freeze(self) -> Bytes {
        self.buf.freeze()
    }
}

#[cfg(test)]
mod tests;
