//! Hash functions whose results are the same in all processes and versions.

/// Returns the first 64 bits of the BLAKE3 hash of `parts`. Each part is prefixed by its length, so
/// that different splits of the same bytes give different hashes.
#[must_use]
pub fn hash64(parts: &[&[u8]]) -> u64 {
    u64::from_le_bytes(hash_prefix(parts))
}

/// Returns the first 128 bits of the BLAKE3 hash of `parts`; see [`hash64`].
#[must_use]
pub fn hash128(parts: &[&[u8]]) -> u128 {
    u128::from_le_bytes(hash_prefix(parts))
}

fn hash_prefix<const N: usize>(parts: &[&[u8]]) -> [u8; N] {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut out = [0; N];
    hasher.finalize_xof().fill(&mut out);
    out
}

/// Mixes a 64-bit value with the finaliser of SplitMix64, a bijection with a good avalanche effect.
#[must_use]
pub const fn mix64(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Rendezvous hashing: returns the indices of the `n` candidates with the highest weight for `key`,
/// highest first.
///
/// Adding or removing a candidate changes the result only for keys of which it is among the `n`.
#[must_use]
pub fn rendezvous<T: AsRef<str>>(key: u64, candidates: &[T], n: usize) -> Vec<usize> {
    let mut weighted: Vec<(u64, usize)> = candidates
        .iter()
        .enumerate()
        .map(|(i, name)| (mix64(key ^ hash64(&[name.as_ref().as_bytes()])), i))
        .collect();
    weighted.sort_unstable_by(|a, b| b.cmp(a));
    weighted.into_iter().take(n).map(|(_, i)| i).collect()
}
