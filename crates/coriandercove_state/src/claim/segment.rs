//! Segments: the store objects that hold the claims of a shard.

use coriandercove_base::data;
use snafu::Snafu;

use super::{Claim, MAX_CLAIM_BODY};

/// Largest encoded segment, in bytes.
pub const MAX_SEGMENT_BYTES: usize = 256 * 1024;
/// First byte of an encoded segment. Increased with each change of the encoding.
const FORMAT_VERSION: u8 = 1;

data! {
    /// Content of one segment object.
    ///
    /// A sealed segment is never written again. A key has at most one claim in a segment. If it
    /// has claims in several segments, the one in the segment with the highest number counts.
    #[derive(Default, Eq)]
    pub struct Segment {
        /// Random and unique for each write.
        pub write_id: u128,
        /// Whether the segment accepts no more writes.
        pub sealed: bool,
        /// The claims, in the order in which their keys were first written to the segment.
        pub claims: Vec<Claim>,
    }
}

/// Why a segment cannot be encoded or decoded.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum SegmentError {
    /// The encoded segment is larger than [`MAX_SEGMENT_BYTES`].
    #[snafu(display("segment has {bytes} bytes, at most {MAX_SEGMENT_BYTES} are allowed"))]
    TooLarge {
        /// Size of the encoded segment.
        bytes: usize,
    },
    /// The object does not start with the supported format version.
    #[snafu(display("segment format version is {found:?}, expected {FORMAT_VERSION}"))]
    Format {
        /// First byte of the object, absent if the object is empty.
        found: Option<u8>,
    },
    /// The object cannot be decoded, or a claim in it exceeds a limit.
    #[snafu(display("segment is malformed: {message}"))]
    Malformed {
        /// Cause, for the operator.
        message: String,
    },
}

impl Segment {
    /// Encodes the segment.
    ///
    /// # Errors
    /// [`SegmentError::TooLarge`] if the encoding exceeds [`MAX_SEGMENT_BYTES`].
    pub fn encode(&self) -> Result<Vec<u8>, SegmentError> {
        let out = postcard::to_extend(self, vec![FORMAT_VERSION]).map_err(malformed)?;
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
        let Some((&FORMAT_VERSION, rest)) = bytes.split_first() else {
            return Err(SegmentError::Format {
                found: bytes.first().copied(),
            });
        };
        let (segment, rest) = postcard::take_from_bytes::<Self>(rest).map_err(malformed)?;
        if !rest.is_empty() {
            return Err(SegmentError::Malformed {
                message: format!("{} unexpected bytes after the segment", rest.len()),
            });
        }
        segment.check_limits()
    }

    fn check_limits(self) -> Result<Self, SegmentError> {
        let has_large_body = self.claims.iter().any(|c| c.state.is_too_large());
        if has_large_body {
            return Err(SegmentError::Malformed {
                message: format!("an answer body exceeds the limit of {MAX_CLAIM_BODY} bytes"),
            });
        }
        Ok(self)
    }

    /// Adds a claim, or replaces the claim of the same key.
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

/// Returns the segment number in an object name, or `None` if it is no segment of `prefix`.
pub(super) fn number_of(prefix: &str, name: &str) -> Option<u64> {
    name.strip_prefix(prefix)?.parse().ok()
}

/// Returns the object name of a segment. The number is padded so that names sort by number.
pub(super) fn name_of(prefix: &str, number: u64) -> String {
    format!("{prefix}{number:012}")
}
