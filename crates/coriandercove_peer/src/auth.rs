//! Authentication between the processes of one deployment by a shared key.

use std::fmt;

use subtle::ConstantTimeEq;

/// Bytes of a message authentication code on the wire.
pub const MAC_BYTES: usize = 16;
/// Bytes of the cluster key.
pub const KEY_BYTES: usize = 32;

/// A message authentication code.
pub type Mac = [u8; MAC_BYTES];

/// The key that all processes of a deployment share. Never printed.
#[derive(Clone, PartialEq, Eq)]
pub struct ClusterKey([u8; KEY_BYTES]);

impl fmt::Debug for ClusterKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ClusterKey(..)")
    }
}

impl ClusterKey {
    /// A key from its bytes.
    #[must_use]
    pub const fn new(bytes: [u8; KEY_BYTES]) -> Self {
        Self(bytes)
    }

    /// The key that a secret text stands for.
    #[must_use]
    pub fn from_secret(secret: &str) -> Self {
        Self(blake3::derive_key(
            "coriandercove 2026 cluster key",
            secret.as_bytes(),
        ))
    }

    /// Code over `parts`, which are length-prefixed so that they cannot be split differently.
    #[must_use]
    pub fn mac(&self, parts: &[&[u8]]) -> Mac {
        let mut mac = [0; MAC_BYTES];
        self.hasher(parts).finalize_xof().fill(&mut mac);
        mac
    }

    /// A key derived from this one for the purpose that `parts` name.
    #[must_use]
    pub fn derive(&self, parts: &[&[u8]]) -> Self {
        Self(*self.hasher(parts).finalize().as_bytes())
    }

    /// Whether `mac` is the code over `parts`, in constant time.
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
