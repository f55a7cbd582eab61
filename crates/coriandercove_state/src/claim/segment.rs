//! Segments: the objects that hold the claims of a shard.

use coriandercove_base::data;
use snafu::Snafu;

use super::{Claim, MAX_CLAIM_BODY};

/// Largest encoded segment, in bytes.
pub const MAX_SEGMENT_BYTES: usize = 256 * 1024;
/// First byte of an encoded segment; a change of the encoding gets a new number.
const FORMAT: u8 = 1;

data! {
    /// Content of one segment object.
    ///
    /// A sealed segment is never written again. Within a segment, a key has one claim; the
    /// claim in the segment with the higher number is the newer one.
    #[derive(Default, Eq)]
    pub struct Segment {
        /// Unique for each write.
        pub write_id: u128,
        /// Whether the segment accepts no more writes.
        pub sealed: bool,
        /// The claims in the order of their first change.
        pub claims: Vec<Claim>,
    }
}

/// Why a segment cannot be encoded or decoded.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum SegmentError {
    /// The encoded segment is larger than [`MAX_SEGMENT_BYTES`].
    #[snafu(display("segment has {bytes} bytes, at most {MAX_SEGMENT_BYTES} are allowed"))]
    TooLarge {
        /// Size of the encoding.
        bytes: usize,
    },
    /// The object starts with another format number.
    #[snafu(display("segment format {found:?} is not {FORMAT}"))]
    Format {
        /// The first byte, if any.
        found: Option<u8>,
    },
    /// The object is not a valid encoding.
    #[snafu(display("segment is malformed: {message}"))]
    Malformed {
        /// What is wrong.
        message: String,
    },
}

impl Segment {
    /// Encodes the segment.
    ///
    /// # Errors
    /// [`SegmentError::TooLarge`].
    pub fn encode(&self) -> Result<Vec<u8>, SegmentError> {
        let out = postcard::to_extend(self, vec![FORMAT]).map_err(malformed)?;
        if out.len() > MAX_SEGMENT_BYTES {
            return Err(SegmentError::TooLarge { bytes: out.len() });
        }
        Ok(out)
    }

    /// Decodes a segment.
    ///
    /// # Errors
    /// The object is too large, has another format or is malformed.
    pub fn decode(bytes: &[u8]) -> Result<Self, SegmentError> {
        if bytes.len() > MAX_SEGMENT_BYTES {
            return Err(SegmentError::TooLarge { bytes: bytes.len() });
        }
        let Some((&FORMAT, rest)) = bytes.split_first() else {
            return Err(SegmentError::Format {
                found: bytes.first().copied(),
            });
        };
        let (segment, rest) = postcard::take_from_bytes::<Self>(rest).map_err(malformed)?;
        if !rest.is_empty() {
            return Err(SegmentError::Malformed {
                message: format!("{} bytes after the end", rest.len()),
            });
        }
        segment.check()
    }

    fn check(self) -> Result<Self, SegmentError> {
        let long = self.claims.iter().any(|c| c.state.is_too_large());
        if long {
            return Err(SegmentError::Malformed {
                message: format!("an answer body has more than {MAX_CLAIM_BODY} bytes"),
            });
        }
        Ok(self)
    }

    /// Adds a claim or replaces the one of the same key.
    pub fn set(&mut self, claim: Claim) {
        match self.claims.iter_mut().find(|c| c.key == claim.key) {
            Some(slot) => *slot = claim,
            None => self.claims.push(claim),
        }
    }
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "used as a function for map_err"
)]
fn malformed(error: postcard::Error) -> SegmentError {
    SegmentError::Malformed {
        message: error.to_string(),
    }
}

/// Number of the segment with this object name.
pub(super) fn number_of(prefix: &str, name: &str) -> Option<u64> {
    name.strip_prefix(prefix)?.parse().ok()
}

/// Object name of a segment. The digits are padded so that names sort like numbers.
pub(super) fn name_of(prefix: &str, number: u64) -> String {
    format!("{prefix}{number:012}")
}
