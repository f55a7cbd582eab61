//! Change events of an engine's prefix cache, and the hashes that identify its blocks.

use coriandercove_base::data;
use coriandercove_base::hash::mix64;

/// Number of inputs in one block of the prefix cache. Only complete blocks are cached.
pub const CACHE_BLOCK: usize = 16;

data! {
    /// Answer to `GET /v1/cache-events?after=N`.
    #[derive(Eq, Default)]
    pub struct CacheEvents {
        /// Events with a number above `after`, in ascending order. They lag behind the cache, and
        /// an event whose number is missing was lost.
        pub events: Vec<CacheEvent>,
    }

    /// One change of an engine's prefix cache.
    #[derive(Eq, Copy)]
    pub struct CacheEvent {
        /// Number of the event, ascending from 1 in each run of the engine.
        pub number: u64,
        /// Hash of all inputs of the sequence up to the end of the block, as [`prefix_hashes`]
        /// computes it.
        pub prefix: u64,
        /// What happened to the block.
        pub change: CacheChange,
    }

    /// What happened to a block of the prefix cache.
    #[derive(Eq, Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum CacheChange {
        /// The block was added to the cache.
        Stored,
        /// The block was removed from the cache.
        Evicted,
    }
}

impl CacheEvents {
    /// Checks that the event numbers are above `after` and strictly ascending.
    ///
    /// # Errors
    /// Describes the first event that is out of order.
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

/// Hash of each prefix of `inputs` that ends with a complete block, shortest prefix first.
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

/// Extends a prefix hash by one block. `previous` is the hash of the prefix before `block`; 0 if
/// there is none.
#[must_use]
pub fn next_prefix_hash(previous: u64, block: &[u64]) -> u64 {
    let fold = |h, x: &u64| mix64(h ^ mix64(x.wrapping_add(1)));
    block.iter().fold(previous, fold)
}
