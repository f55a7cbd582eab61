//! Events of an engine's prefix cache.

use coriandercove_base::data;
use coriandercove_base::hash::mix64;

/// Inputs in one block of the prefix cache. Only whole blocks are cached.
pub const CACHE_BLOCK: usize = 16;

data! {
    /// Answer to `GET /v1/cache-events?after=N`.
    #[derive(Eq, Default)]
    pub struct CacheEvents {
        /// Events with a number above the one asked for, in order. They arrive late, and numbers that
        /// are missing were lost.
        pub events: Vec<CacheEvent>,
    }

    /// One change of an engine's prefix cache.
    #[derive(Eq, Copy)]
    pub struct CacheEvent {
        /// Number of the event, rising from 1 in each run of the engine.
        pub number: u64,
        /// Hash of all inputs up to the end of the block; see [`prefix_hashes`].
        pub prefix: u64,
        /// What happened to the block.
        pub change: CacheChange,
    }

    /// What happened to a block of the prefix cache.
    #[derive(Eq, Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum CacheChange {
        /// The block is in the cache.
        Stored,
        /// The block was dropped.
        Evicted,
    }
}

impl CacheEvents {
    /// Whether the numbers rise from above `after`.
    ///
    /// # Errors
    /// A description of the first event out of order.
    pub fn check(&self, after: u64) -> Result<(), String> {
        let mut last = after;
        for (i, event) in self.events.iter().enumerate() {
            if event.number <= last {
                let number = event.number;
                return Err(format!("events[{i}].number {number}: must be above {last}"));
            }
            last = event.number;
        }
        Ok(())
    }
}

/// The hash of each whole block of `inputs` together with everything before it.
#[must_use]
pub fn prefix_hashes(inputs: &[u64]) -> Vec<u64> {
    let mut hash = 0;
    inputs
        .chunks_exact(CACHE_BLOCK)
        .map(|block| {
            hash = next_prefix_hash(hash, block);
            hash
        })
        .collect()
}

/// The hash of a prefix that ends with `block`; `before` is the hash without it, 0 for none.
#[must_use]
pub fn next_prefix_hash(before: u64, block: &[u64]) -> u64 {
    let fold = |h, x: &u64| mix64(h ^ mix64(x.wrapping_add(1)));
    block.iter().fold(before, fold)
}
