//! Encoding of frames on a connection: a length prefix, a message authentication code (MAC) and the
//! postcard payload.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::{Serialize, de::DeserializeOwned};
use snafu::{ResultExt, Snafu, ensure};

use crate::auth::{ClusterKey, MAC_BYTES};

/// Largest payload of a frame, in bytes. Bodies of calls are limited to well below it.
pub const MAX_FRAME_BYTES: usize = 8 << 20;
/// Largest body that a frame can carry; the rest of it holds the headers and the fields of a call.
pub const MAX_BODY_BYTES: usize = MAX_FRAME_BYTES - (256 << 10);
/// Bytes of the length prefix, a little-endian `u32` that counts the payload alone.
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
    /// The frame was not sealed with the session key of this direction, or it is not the next
    /// frame.
    #[snafu(display("frame {counter} is not authentic"))]
    NotAuthentic {
        /// Number of the frame in its direction of the connection, from 0.
        counter: u64,
    },
    /// The payload cannot be decoded, or the message cannot be encoded.
    #[snafu(display("frame {counter} is malformed: {source}"))]
    Malformed {
        /// Number of the frame in its direction of the connection, from 0.
        counter: u64,
        /// Error of the encoder or decoder.
        source: postcard::Error,
    },
}

/// Encodes and authenticates the frames of one direction of a connection.
pub struct Sealer {
    key: ClusterKey,
    /// Frames sealed so far. It is part of each MAC, so that a replayed or reordered frame is
    /// rejected.
    counter: u64,
}

/// Verifies and decodes the frames of one direction of a connection.
pub struct Opener {
    key: ClusterKey,
    /// Frames opened so far; must match the count of the [`Sealer`] at the other end.
    counter: u64,
}

impl Sealer {
    pub const fn new(key: ClusterKey) -> Self {
        Self { key, counter: 0 }
    }

    /// Appends the sealed frame to `out`; on an error, `out` is as before.
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

    /// Removes the next frame from the front of `buf` and decodes it; `None` while it is
    /// incomplete.
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

/// Removes one frame from the front of `buf` and returns its MAC and payload; `None` while it is
/// incomplete.
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
