//! Authenticated datagrams between the processes of one deployment.

use coriandercove_base::{Incarnation, NodeId, data};
use serde::{Serialize, de::DeserializeOwned};
use snafu::{ResultExt, Snafu, ensure};

use crate::auth::{ClusterKey, MAC_BYTES};

/// Largest datagram in bytes, MAC included. It fits an Ethernet frame without IP fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// Bytes that [`seal`] adds to the encoded envelope.
pub const OVERHEAD_BYTES: usize = MAC_BYTES;

/// A datagram that cannot be encoded or decoded.
#[derive(Debug, Snafu)]
pub enum DatagramError {
    /// The datagram is larger than allowed.
    #[snafu(display("datagram of {length} bytes; at most {MAX_DATAGRAM_BYTES} are allowed"))]
    DatagramTooLarge {
        /// Bytes of the datagram, MAC included.
        length: usize,
    },
    /// The datagram was not sealed with the cluster key, or is shorter than a MAC.
    #[snafu(display("datagram is not authentic"))]
    Foreign,
    /// The datagram is authentic but its envelope cannot be decoded, or an envelope cannot be
    /// encoded.
    #[snafu(display("datagram is malformed: {source}"))]
    Undecodable {
        /// Error of the encoder or decoder.
        source: postcard::Error,
    },
}

data! {
    /// The content of a datagram: a message with the sender's identity.
    pub struct Envelope<T> {
        /// Name of the sender.
        pub from: NodeId,
        /// Incarnation of the sender.
        pub incarnation: Incarnation,
        /// Number of the datagram within the incarnation, from 1. [`open`] does not check it.
        pub sequence: u64,
        /// The message.
        pub message: T,
    }
}

/// Encodes a datagram and authenticates it with the cluster key.
///
/// # Errors
/// Returns [`DatagramError`] if it is larger than [`MAX_DATAGRAM_BYTES`].
pub fn seal<T: Serialize>(
    key: &ClusterKey,
    envelope: &Envelope<T>,
) -> Result<Vec<u8>, DatagramError> {
    let payload = postcard::to_stdvec(envelope).context(UndecodableSnafu)?;
    let length = payload.len() + MAC_BYTES;
    ensure!(
        length <= MAX_DATAGRAM_BYTES,
        DatagramTooLargeSnafu { length }
    );
    let mut out = Vec::with_capacity(length);
    out.extend_from_slice(&key.mac(&[b"datagram", &payload]));
    out.extend_from_slice(&payload);
    Ok(out)
}

/// Verifies and decodes a datagram.
///
/// # Errors
/// Returns [`DatagramError`] if it is too large, not sealed with `key`, or malformed.
pub fn open<T: DeserializeOwned>(
    key: &ClusterKey,
    bytes: &[u8],
) -> Result<Envelope<T>, DatagramError> {
    ensure!(
        bytes.len() <= MAX_DATAGRAM_BYTES,
        DatagramTooLargeSnafu {
            length: bytes.len()
        }
    );
    let (mac, payload) = bytes
        .split_at_checked(MAC_BYTES)
        .ok_or(DatagramError::Foreign)?;
    ensure!(key.verify(&[b"datagram", payload], mac), ForeignSnafu);
    postcard::from_bytes(payload).context(UndecodableSnafu)
}

#[cfg(test)]
mod tests;
