//! Authentication between the processes of one deployment by a shared key, with keyed BLAKE3.

use std::fmt;

use subtle::ConstantTimeEq;

/// Bytes of a message authentication code (MAC) on the wire.
pub const MAC_BYTES: usize = 16;
/// Bytes of the cluster key.
pub const KEY_BYTES: usize = 32;

/// A message authentication code.
pub type Mac = [u8; MAC_BYTES];

/// The key that all processes of a deployment share, or a key derived from it. Its `Debug` text
/// does not contain the key.
#[derive(Clone, PartialEq, Eq)]
pub struct ClusterKey([u8; KEY_BYTES]);

impl fmt::Debug for ClusterKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ClusterKey(..)")
    }
}

impl ClusterKey {
    /// Creates a key from its bytes.
    #[must_use]
    pub const fn new(bytes: [u8; KEY_BYTES]) -> Self {
        Self(bytes)
    }

    /// Derives the cluster key from a secret text.
    #[must_use]
    pub fn from_secret(secret: &str) -> Self {
        Self(blake3::derive_key(
            "coriandercove 2026 cluster key",
            secret.as_bytes(),
        ))
    }

    /// Computes the MAC over `parts`. Each part is preceded by its length, so that the same bytes
    /// split differently give another MAC.
    #[must_use]
    pub fn mac(&self, parts: &[&[u8]]) -> Mac {
        let mut mac = [0; MAC_BYTES];
        self.hasher(parts).finalize_xof().fill(&mut mac);
        mac
    }

    /// Derives another key from this one. `parts` identify its purpose.
    #[must_use]
    pub fn derive(&self, parts: &[&[u8]]) -> Self {
        Self(*self.hasher(parts).finalize().as_bytes())
    }

    /// Returns whether `mac` is the MAC over `parts`. The comparison takes constant time.
    #[must_use]
    pub fn verify(&self, parts: &[&[u8]], mac: &[u8]) -> bool {
        self.mac(parts)[..].ct_eq(mac).into()
    }

    fn hasher(&self, parts: &[&[u8]]) -> blake3::Hasher {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        hasher
    }
}

#[cfg(test)]
mod tests;
