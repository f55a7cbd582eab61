//! API keys of client accounts.
//!
//! A key holds 256 random bits, so it cannot be found by brute force. A fast hash (BLAKE3) is
//! therefore sufficient; slow password hashes exist for secrets that people choose.

use std::fmt::Write as _;

use rand::RngCore;
use subtle::ConstantTimeEq;

use crate::config::{Account, KeyHash};

/// Prefix of every key, by which scanners for leaked secrets recognize one.
pub const KEY_PREFIX: &str = "cck";
/// Length of the random secret in a key, in bytes.
const SECRET_BYTES: usize = 32;
/// Length of the random key id, in bytes. The id is not secret; 48 bits make a collision among a
/// few hundred thousand keys unlikely.
const ID_BYTES: usize = 6;
/// BLAKE3 key-derivation context, so that the hash equals no hash made for another purpose.
const CONTEXT: &str = "coriandercove 2026 client account key";

/// A new key in plain text, to be handed to its account, and its hash.
pub struct NewKey {
    /// The key, `cck_{id}_{secret}`.
    pub key: String,
    /// Id and hash, which the configuration stores in place of the key.
    pub hash: KeyHash,
}

/// Generates a key from `rng`, which must be a cryptographic generator.
pub fn generate_key(rng: &mut impl RngCore) -> NewKey {
    let id = random_hex::<ID_BYTES>(rng);
    let secret = random_hex::<SECRET_BYTES>(rng);
    let hash = hash_secret(&id, &secret);
    NewKey {
        key: format!("{KEY_PREFIX}_{id}_{secret}"),
        hash: KeyHash { id, hash },
    }
}

/// Hash of the secret part of a key, bound to its key id; 64 hexadecimal digits.
#[must_use]
pub fn hash_secret(id: &str, secret: &str) -> String {
    let mut hasher = blake3::Hasher::new_derive_key(CONTEXT);
    hasher.update(id.as_bytes());
    hasher.update(b"_");
    hasher.update(secret.as_bytes());
    hasher.finalize().to_hex().to_string()
}

/// Splits a key into its id and its secret. `None` if the key is malformed.
#[must_use]
pub fn split_key(key: &str) -> Option<(&str, &str)> {
    let rest = key.strip_prefix(KEY_PREFIX)?.strip_prefix('_')?;
    let (id, secret) = rest.split_once('_')?;
    let valid = is_hex(id, 2 * ID_BYTES) && is_hex(secret, 2 * SECRET_BYTES);
    valid.then_some((id, secret))
}

/// Whether `text` consists of exactly `len` lower-case hexadecimal digits.
#[must_use]
pub fn is_hex(text: &str, len: usize) -> bool {
    text.len() == len && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'))
}

/// Index of account keys by key id, built once for each configuration version.
#[derive(Debug, Default, Clone)]
pub struct KeyIndex {
    /// Key id, hash and index of the account; sorted by key id.
    keys: Vec<(String, String, usize)>,
}

impl KeyIndex {
    /// Indexes the keys of `accounts`. [`KeyIndex::find`] returns positions in this slice.
    #[must_use]
    pub fn new(accounts: &[Account]) -> Self {
        let mut keys: Vec<_> = accounts
            .iter()
            .enumerate()
            .flat_map(|(i, a)| {
                a.keys
                    .iter()
                    .map(move |k| (k.id.clone(), k.hash.clone(), i))
            })
            .collect();
        keys.sort();
        Self { keys }
    }

    /// Position of the account that `key` belongs to; `None` if the key is malformed or not valid.
    ///
    /// The id is not secret, so it is looked up by binary search. The hash is compared in constant
    /// time.
    #[must_use]
    pub fn find(&self, key: &str) -> Option<usize> {
        let (id, secret) = split_key(key)?;
        let i = self.keys.binary_search_by(|k| k.0.as_str().cmp(id)).ok()?;
        let (_, expected, account) = &self.keys[i];
        let actual = hash_secret(id, secret);
        let equal: bool = actual.as_bytes().ct_eq(expected.as_bytes()).into();
        equal.then_some(*account)
    }
}

fn random_hex<const N: usize>(rng: &mut impl RngCore) -> String {
    let mut bytes = [0; N];
    rng.fill_bytes(&mut bytes);
    hex(&bytes)
}

/// Lower-case hexadecimal form of `bytes`.
#[must_use]
pub fn hex(bytes: &[u8]) -> String {
    let mut out = String::with_capacity(2 * bytes.len());
    for b in bytes {
        // Writing to a string cannot fail.
        let _ = write!(out, "{b:02x}");
    }
    out
}

#[cfg(test)]
mod tests;
