//! Length-prefixed, authenticated postcard frames.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::{Serialize, de::DeserializeOwned};
use snafu::{ResultExt, Snafu, ensure};

use crate::auth::{ClusterKey, MAC_BYTES};

/// Largest payload of a frame in bytes. A call's body is limited well below it.
pub const MAX_FRAME_BYTES: usize = 8 << 20;
/// Bytes of the length prefix.
const LENGTH_BYTES: usize = 4;

/// A frame that cannot be encoded or decoded.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CodecError {
    /// The frame is larger than allowed.
    #[snafu(display("frame of {length} bytes; at most {MAX_FRAME_BYTES} are allowed"))]
    TooLarge {
        /// Bytes of the payload.
        length: usize,
    },
    /// The frame was not sealed with the key of this connection, or is not the next one.
    #[snafu(display("frame {counter} is not authentic"))]
    NotAuthentic {
        /// Number of the frame on its connection.
        counter: u64,
    },
    /// The payload is not a valid message.
    #[snafu(display("frame {counter} is malformed: {source}"))]
    Malformed {
        /// Number of the frame on its connection.
        counter: u64,
        /// What the decoder found.
        source: postcard::Error,
    },
}

/// Seals the frames of one direction of a connection.
pub struct Sealer {
    key: ClusterKey,
    /// Frames sealed so far. Part of each code, so that frames cannot be replayed or reordered.
    counter: u64,
}

/// Opens the frames of one direction of a connection.
pub struct Opener {
    key: ClusterKey,
    /// Frames opened so far.
    counter: u64,
}

impl Sealer {
    pub const fn new(key: ClusterKey) -> Self {
        Self { key, counter: 0 }
    }

    /// Appends the encoded frame to `out`.
    pub fn seal<T: Serialize>(
        &mut self,
        message: &T,
        out: &mut BytesMut,
    ) -> Result<(), CodecError> {
        let start = out.len();
        out.put_bytes(0, LENGTH_BYTES + MAC_BYTES);
        let counter = self.counter;
        let encoded = postcard::to_io(message, out.writer());
        if let Err(source) = encoded {
            out.truncate(start);
            return Err(CodecError::Malformed { counter, source });
        }
        let length = out.len() - start - LENGTH_BYTES - MAC_BYTES;
        if length > MAX_FRAME_BYTES {
            out.truncate(start);
            return TooLargeSnafu { length }.fail();
        }
        let body = start + LENGTH_BYTES + MAC_BYTES;
        let mac = self.key.mac(&[&counter.to_le_bytes(), &out[body..]]);
        out[start..start + LENGTH_BYTES].copy_from_slice(&(length as u32).to_le_bytes());
        out[start + LENGTH_BYTES..body].copy_from_slice(&mac);
        self.counter += 1;
        Ok(())
    }
}

impl Opener {
    pub const fn new(key: ClusterKey) -> Self {
        Self { key, counter: 0 }
    }

    /// Takes the next frame out of `buf`; `None` until it is complete.
    pub fn open<T: DeserializeOwned>(
        &mut self,
        buf: &mut BytesMut,
    ) -> Result<Option<T>, CodecError> {
        let Some((mac, payload)) = split_frame(buf)? else {
            return Ok(None);
        };
        let counter = self.counter;
        let authentic = self.key.verify(&[&counter.to_le_bytes(), &payload], &mac);
        ensure!(authentic, NotAuthenticSnafu { counter });
        self.counter += 1;
        postcard::from_bytes(&payload)
            .map(Some)
            .context(MalformedSnafu { counter })
    }
}

/// Takes one frame off the front of `buf` as its code and its payload.
fn split_frame(buf: &mut BytesMut) -> Result<Option<(Bytes, Bytes)>, CodecError> {
    if buf.len() < LENGTH_BYTES {
        return Ok(None);
    }
    let length = (&buf[..]).get_u32_le() as usize;
    ensure!(length <= MAX_FRAME_BYTES, TooLargeSnafu { length });
    if buf.len() < LENGTH_BYTES + MAC_BYTES + length {
        return Ok(None);
    }
    buf.advance(LENGTH_BYTES);
    let mac = buf.split_to(MAC_BYTES).freeze();
    Ok(Some((mac, buf.split_to(length).freeze())))
}

#[cfg(test)]
mod tests;
