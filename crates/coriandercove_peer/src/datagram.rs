//! Authenticated datagrams between the processes of one deployment.

use coriandercove_base::{Incarnation, NodeId, data};
use serde::{Serialize, de::DeserializeOwned};
use snafu::{ResultExt, Snafu, ensure};

use crate::auth::{ClusterKey, MAC_BYTES};

/// Largest datagram in bytes; fits an Ethernet frame without fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// Bytes that a datagram adds to its payload at the most, beside the names in its header.
pub const OVERHEAD_BYTES: usize = MAC_BYTES;

/// A datagram that cannot be encoded or decoded.
#[derive(Debug, Snafu)]
pub enum DatagramError {
    /// The datagram is larger than allowed.
    #[snafu(display("datagram of {length} bytes; at most {MAX_DATAGRAM_BYTES} are allowed"))]
    DatagramTooLarge {
        /// Bytes.
        length: usize,
    },
    /// The datagram was not sealed with the cluster key.
    #[snafu(display("datagram is not authentic"))]
    Foreign,
    /// The datagram is authentic but malformed.
    #[snafu(display("datagram is malformed: {source}"))]
    Undecodable {
        /// Cause.
        source: postcard::Error,
    },
}

data! {
    /// An authenticated message with its sender.
    pub struct Envelope<T> {
        /// Sender.
        pub from: NodeId,
        /// Run of the sender.
        pub incarnation: Incarnation,
        /// Number of the datagram within the run, from 1; receivers drop those seen already.
        pub sequence: u64,
        /// Content.
        pub message: T,
    }
}

/// Encodes and seals a datagram.
///
/// # Errors
/// [`DatagramError`] if it is larger than [`MAX_DATAGRAM_BYTES`].
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
/// [`DatagramError`] if it is foreign or malformed.
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
