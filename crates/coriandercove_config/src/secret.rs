//! Secrets that do not appear in logs or serialized data.

use std::fmt;

use subtle::ConstantTimeEq;

/// Shortest accepted secret, in bytes. Shorter ones can be guessed.
pub const MIN_SECRET_BYTES: usize = 16;

/// A secret such as the cluster key or the operator token. `Debug` does not show it.
#[derive(Clone)]
pub struct Secret(String);

impl Secret {
    /// Creates a secret from `text`, without surrounding white space.
    ///
    /// # Errors
    /// A message with the length and the minimum, if the secret is shorter than
    /// [`MIN_SECRET_BYTES`].
    pub fn new(text: &str) -> Result<Self, String> {
        let text = text.trim();
        if text.len() < MIN_SECRET_BYTES {
            return Err(format!(
                "the secret has {} bytes; at least {MIN_SECRET_BYTES} are required",
                text.len()
            ));
        }
        Ok(Self(text.to_owned()))
    }

    /// The secret in plain text. Never log the result.
    #[must_use]
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Whether `other` equals the secret, compared in constant time.
    #[must_use]
    pub fn matches(&self, other: &str) -> bool {
        let a = blake3::hash(self.0.as_bytes());
        let b = blake3::hash(other.as_bytes());
        a.as_bytes().ct_eq(b.as_bytes()).into()
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}
