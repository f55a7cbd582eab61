//! Hints on which target holds which prompt prefix in its cache.

use coriandercove_base::{TargetId, Time, Token, data};

data! {
    /// A cache event of an engine. Events arrive late and with gaps.
    #[derive(Eq)]
    pub enum CacheEvent {
        /// Blocks whose KV state is now cached.
        Stored(Vec<u64>),
        /// Blocks that were evicted.
        Evicted(Vec<u64>),
        /// The whole cache was dropped.
        Cleared,
    }
}

/// Settings of the hint map.
#[derive(Debug, Clone, PartialEq)]
pub struct AffinityConfig {
    /// Tokens of one block.
    pub block_tokens: usize,
    /// Bound of the hints (pairs of block and target).
    pub max_hints: usize,
    /// Targets remembered for one block.
    pub max_targets_per_block: usize,
}

/// Bounded map from prefix blocks to targets.
#[derive(Debug)]
pub struct Affinity {}

impl Affinity {
    /// An empty map.
    #[must_use]
    pub fn new(cfg: AffinityConfig) -> Self {
        unimplemented!()
    }

    /// Hashes of the whole blocks of a prompt; each covers everything before it.
    #[must_use]
    pub fn blocks(&self, prompt: &[Token]) -> Vec<u64> {
        unimplemented!()
    }

    /// Takes an event with its sequence number in; a gap lowers the trust in the target's hints.
    pub fn on_event(&mut self, target: &TargetId, number: u64, event: &CacheEvent) {
        unimplemented!()
    }

    /// Prompt tokens expected to be cached, sorted by target, for [`crate::chain::ChainRequest`].
    #[must_use]
    pub fn expected(&self, blocks: &[u64]) -> Vec<(TargetId, u32)> {
        unimplemented!()
    }

    /// Corrects hints and trust with the cached prompt tokens that a target reported.
    pub fn observe(&mut self, target: &TargetId, now: Time, blocks: &[u64], cached_tokens: u32) {
        unimplemented!()
    }

    /// Forgets a target, for example after a restart.
    pub fn forget(&mut self, target: &str) {
        unimplemented!()
    }
}
